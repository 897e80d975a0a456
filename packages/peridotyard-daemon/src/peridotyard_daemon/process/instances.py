"""Client of the platform's list of instances."""

import dataclasses

from peridotyard_core import addresses
from returns import result

from peridotyard_daemon.connection import http
from peridotyard_daemon.process import platform

STATES = ("live", "leaving")


@dataclasses.dataclass(frozen=True)
class Instance:
    """One instance of the list, which may be outdated."""

    instance: str
    zone: str
    role: str
    address: addresses.Address
    state: str

    @classmethod
    def from_json(cls, value) -> "Instance":
        """Reads an element of the list.

        Raises:
            ValueError: The address or the state is invalid.
        """
        if value["state"] not in STATES:
            raise ValueError(f"state {value['state']!r}; allowed: {STATES}")
        return cls(
            value["instance"],
            value["zone"],
            value["role"],
            addresses.Address.from_text(value["address"]),
            value["state"],
        )


class InstanceList:
    """Client of the instance list, owned by the process."""

    def __init__(
        self, address: addresses.Address, timeout_s: float, client=None
    ):
        self._client = client or http.Client(address, timeout_s)

    async def read(self) -> result.Result:
        """Returns the instances, or a `platform.Failure`."""
        outcome = await platform.exchange(self._client, "GET", "/v1/instances")
        return outcome.bind(
            lambda response: platform.parse(
                response,
                lambda value: tuple(
                    Instance.from_json(item) for item in value["instances"]
                ),
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()
