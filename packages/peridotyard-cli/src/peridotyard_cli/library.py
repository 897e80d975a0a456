"""Library for configuration files that operators write in Python.

Such a file builds a `Configuration` and prints it:

    from peridotyard_cli import library

    config = library.Configuration()
    model = config.add_model("reference", version="v1", layers=24)
    config.add_workspace("north", keys=["a key"], models=[model])
    config.print()
"""

import dataclasses
import json
import typing

from peridotyard_core import configuration as configuration_module
from peridotyard_core import errors


def hash_secret(secret: str, place: str) -> str:
    """Returns the SHA-256 of an API key or operator token.

    Raises:
        errors.ConfigurationError: The secret cannot be sent in a header.
    """
    if (
        not isinstance(secret, str)
        or not secret
        or not all("!" <= letter <= "~" for letter in secret)
    ):
        # The message omits the secret, since error messages are logged.
        raise errors.ConfigurationError(
            place, "invalid secret", "printable ASCII without spaces"
        )
    return configuration_module.hash_secret(secret)


def make_workspace(name: str, *, keys=(), **fields):
    """Returns a workspace; `keys` are API keys as text."""
    hashes = [
        hash_secret(key, f"workspace/{name}.keys[{index}]")
        for index, key in enumerate(keys)
    ]
    # Hashes are accepted as well, so that a file need not contain the keys.
    hashes += fields.pop("key_hashes", [])
    return _make("workspace", name, key_hashes=hashes, **fields)


def make_model(name: str, *, version: str, layers: int, **fields):
    """Returns a model."""
    return _make("model", name, version=version, layers=layers, **fields)


def make_adapter(name: str, *, model, version: str):
    """Returns an adapter of a model."""
    return _make("adapter", name, model=model, version=version)


def make_service(name: str, **fields):
    """Returns a plain service: an HTTP service that does not run a model."""
    return _make("service", name, **fields)


def make_limit(name: str, *, workspace, **fields):
    """Returns a limit on the requests of a workspace."""
    return _make("limit", name, workspace=workspace, **fields)


def make_placement_rule(name: str, *, model, version: str, **fields):
    """Returns a rule for the number and zones of the copies of a model."""
    return _make("placement-rule", name, model=model, version=version, **fields)


def make_operator(name: str, *, token: str = "", **fields):
    """Returns an operator; `token` is the token as text."""
    if token or "token_hash" not in fields:
        fields["token_hash"] = hash_secret(token, f"operator/{name}.token")
    return _make("operator", name, **fields)


def _make(kind: str, name: str, **fields):
    value = {"kind": kind, "name": name}
    value |= {field: _simplify(part) for field, part in fields.items()}
    return configuration_module.parse_object(value, kind)


def _simplify(part: typing.Any) -> typing.Any:
    """Returns the name of a configuration object, other values unchanged.

    A file can thus refer to an object by the object itself or by its name.
    """
    if isinstance(part, (list, tuple)):
        return [_simplify(item) for item in part]
    if type(part) in configuration_module.KIND_NAMES:
        return part.name
    return part


class Configuration:
    """The objects of one configuration file, owned by the file.

    Each `add_...` method takes the arguments of the function `make_...`,
    returns the new object, and raises `errors.ConfigurationError` if it is
    invalid or has the kind and name of another one.
    """

    def __init__(self):
        self.objects: dict[configuration_module.Key, typing.Any] = {}

    def add(self, value):
        """Adds an object that a `make_...` function returned; returns it."""
        kind = configuration_module.KIND_NAMES[type(value)]
        key = (kind, value.name)
        if key in self.objects:
            text = configuration_module.render_key(key)
            raise errors.ConfigurationError(text, "is given twice")
        self.objects[key] = value
        return value

    def add_workspace(self, name: str, **fields):
        """Adds a workspace."""
        return self.add(make_workspace(name, **fields))

    def add_model(self, name: str, **fields):
        """Adds a model."""
        return self.add(make_model(name, **fields))

    def add_adapter(self, name: str, **fields):
        """Adds an adapter, and lists it in its model if that is in the file."""
        adapter = self.add(make_adapter(name, **fields))
        key = ("model", adapter.model)
        model = self.objects.get(key)
        if model is not None and name not in model.adapters:
            self.objects[key] = dataclasses.replace(
                model, adapters=(*model.adapters, name)
            )
        return adapter

    def add_service(self, name: str, **fields):
        """Adds a plain service."""
        return self.add(make_service(name, **fields))

    def add_limit(self, name: str, **fields):
        """Adds a limit."""
        return self.add(make_limit(name, **fields))

    def add_placement_rule(self, name: str, **fields):
        """Adds a placement rule."""
        return self.add(make_placement_rule(name, **fields))

    def add_operator(self, name: str, **fields):
        """Adds an operator."""
        return self.add(make_operator(name, **fields))

    def check(self) -> None:
        """Checks the references between the objects.

        Raises:
            errors.ConfigurationError: An object refers to a missing one.
        """
        empty = configuration_module.Configuration()
        configuration_module.check_references(empty.replace(1, self.objects))

    def render(self) -> str:
        """Returns the configuration as JSON text."""
        objects = [
            configuration_module.render_object(value)
            for _, value in sorted(self.objects.items())
        ]
        return json.dumps({"objects": objects}, indent=2)

    def print(self) -> None:
        """Checks the configuration and prints it as JSON.

        Raises:
            errors.ConfigurationError: An object refers to a missing one.
        """
        self.check()
        print(self.render())
