"""Lookup tables for one revision of the configuration."""

import collections.abc
import dataclasses

from peridotyard_core import configuration as configuration_module


@dataclasses.dataclass(frozen=True)
class Catalog:
    """Lookup tables of one revision, owned by its `Replicator`."""

    revision: int
    _workspaces: collections.abc.Mapping
    _operators: collections.abc.Mapping
    _models: collections.abc.Mapping
    _services: collections.abc.Mapping
    _limits: collections.abc.Mapping

    @classmethod
    def from_config(
        cls, configuration: configuration_module.Configuration
    ) -> "Catalog":
        """Makes the tables from a configuration."""
        values = {kind: [] for kind in configuration_module.KINDS}
        for (kind, _), record in configuration.objects.items():
            values[kind].append(record.value)
        return cls(
            configuration.revision,
            {
                key_hash: workspace
                for workspace in values["workspace"]
                for key_hash in workspace.key_hashes
            },
            {item.token_hash: item for item in values["operator"]},
            {item.name: item for item in values["model"]},
            {item.name: item for item in values["service"]},
            {item.workspace: item for item in values["limit"]},
        )

    def authenticate(
        self, api_key: str
    ) -> configuration_module.Workspace | None:
        """Returns the workspace of an API key, None if the key is unknown."""
        return self._workspaces.get(configuration_module.hash_secret(api_key))

    def find_workspace(
        self, name: str
    ) -> configuration_module.Workspace | None:
        """Returns a workspace with an API key by name, None if unknown."""
        for workspace in self._workspaces.values():
            if workspace.name == name:
                return workspace
        return None

    def authenticate_operator(
        self, token: str
    ) -> configuration_module.Operator | None:
        """Returns the operator of a token, None if the token is unknown."""
        return self._operators.get(configuration_module.hash_secret(token))

    def find_model(self, name: str) -> configuration_module.Model | None:
        """Returns a model by name, None if there is none."""
        return self._models.get(name)

    def find_service(self, name: str) -> configuration_module.Service | None:
        """Returns a plain service by name, None if there is none."""
        return self._services.get(name)

    def find_limit(self, workspace: str) -> configuration_module.Limit | None:
        """Returns the limit of a workspace, if it has one."""
        return self._limits.get(workspace)
