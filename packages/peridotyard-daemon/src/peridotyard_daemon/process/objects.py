"""Client of the object store."""

import urllib.parse

from peridotyard_core import addresses
from returns import result

from peridotyard_daemon.connection import http
from peridotyard_daemon.process import platform


class Objects:
    """Client of the object store, owned by the process."""

    def __init__(
        self, address: addresses.Address, timeout_s: float, client=None
    ):
        self._client = client or http.Client(address, timeout_s)

    async def put(self, key: str, data: bytes) -> result.Result:
        """Stores an object; the last write wins. Returns None on success."""
        outcome = await platform.exchange(
            self._client, "PUT", _make_path(key), body=data
        )
        return outcome.map(lambda _: None)

    async def get(self, key: str) -> result.Result:
        """Returns the content of an object, None if absent."""
        outcome = await platform.exchange(
            self._client, "GET", _make_path(key), accepted=(200, 404)
        )
        return outcome.map(
            lambda response: response.body if response.status == 200 else None
        )

    async def delete(self, key: str) -> result.Result:
        """Removes an object if it exists. Returns None on success."""
        outcome = await platform.exchange(
            self._client, "DELETE", _make_path(key), accepted=(200, 404)
        )
        return outcome.map(lambda _: None)

    async def list(self, prefix: str) -> result.Result:
        """Returns the sorted keys that begin with a prefix."""
        path = "/v1/objects?prefix=" + urllib.parse.quote(prefix, safe="")
        outcome = await platform.exchange(self._client, "GET", path)
        return outcome.bind(
            lambda response: platform.parse(
                response, lambda value: tuple(value["keys"])
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


def _make_path(key: str) -> str:
    return "/v1/objects/" + urllib.parse.quote(key, safe="")
