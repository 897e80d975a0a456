"""Client of the weight store."""

import urllib.parse

from peridotyard_core import addresses
from returns import result

from peridotyard_daemon.connection import http
from peridotyard_daemon.process import platform


class Weights:
    """Client of the weight store, owned by the process.

    Files are read in parts, so that a process never holds a complete file in
    memory and a lost response costs only one part.
    """

    def __init__(
        self, address: addresses.Address, timeout_s: float, client=None
    ):
        self._client = client or http.Client(address, timeout_s)

    async def list(self) -> result.Result:
        """Returns the size in bytes of each file, by name."""
        outcome = await platform.exchange(self._client, "GET", "/v1/weights")
        return outcome.bind(
            lambda response: platform.parse(
                response,
                lambda value: {
                    name: int(size) for name, size in value["weights"].items()
                },
            )
        )

    async def read(self, name: str, offset: int, count: int) -> result.Result:
        """Reads a part of a file.

        Args:
            name: Name of the file.
            offset: First byte of the part.
            count: Size of the part in bytes.

        Returns:
            Up to `count` bytes; None if there is no such file.
        """
        path = "/v1/weights/" + urllib.parse.quote(name, safe="")
        outcome = await platform.exchange(
            self._client,
            "GET",
            f"{path}?offset={offset}&count={count}",
            accepted=(200, 404),
        )
        return outcome.map(
            lambda response: response.body if response.status == 200 else None
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()
