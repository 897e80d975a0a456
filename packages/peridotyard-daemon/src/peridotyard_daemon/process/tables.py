"""Client of the transactional table service."""

import collections.abc
import dataclasses
import json
import typing
import urllib.parse

from peridotyard_core import addresses
from returns import result

from peridotyard_daemon.connection import http
from peridotyard_daemon.process import platform


@dataclasses.dataclass(frozen=True)
class Row:
    """A stored row; `version` grows with each write of the key."""

    version: int
    value: typing.Any

    @classmethod
    def from_json(cls, value) -> "Row | None":
        """Reads the row of a response; None or version 0 means absent."""
        if value is None or int(value["version"]) == 0:
            return None
        return cls(int(value["version"]), value["value"])


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A condition was not met, so that nothing was written.

    Attributes:
        rows: The current row of each failed condition, None if absent.
    """

    rows: dict[str, Row | None]


class Table:
    """Client of the table service, owned by the process.

    All methods return `platform.Failure` if a request fails; `transact` may
    also return a `Conflict`. After `platform.Lost` a write may still take
    effect later.
    """

    def __init__(
        self, address: addresses.Address, timeout_s: float, client=None
    ):
        self._client = client or http.Client(address, timeout_s)

    async def transact(
        self,
        conditions: collections.abc.Mapping[str, int],
        puts: collections.abc.Mapping[str, typing.Any],
        deletes: collections.abc.Sequence[str] = (),
    ) -> result.Result[dict[str, int], platform.Failure | Conflict]:
        """Writes and removes rows atomically.

        Args:
            conditions: Required version of each key, 0 for absent.
            puts: New JSON value of each key.
            deletes: Keys to remove.

        Returns:
            The new version of each key that was put.
        """
        body = {
            "conditions": [
                {"key": key, "version": version}
                for key, version in conditions.items()
            ],
            "puts": [{"key": k, "value": v} for k, v in puts.items()],
            "deletes": list(deletes),
        }
        outcome = await platform.exchange(
            self._client,
            "POST",
            "/v1/transact",
            accepted=(200, 409),
            body=json.dumps(body).encode(),
            headers=[("content-type", "application/json")],
        )
        match outcome:
            case result.Success(response) if response.status == 409:
                conflict = platform.parse(response, _parse_conflict)
                return conflict.bind(result.Failure)
            case result.Success(response):
                return platform.parse(
                    response,
                    lambda value: {
                        key: int(version)
                        for key, version in value["versions"].items()
                    },
                )
        return outcome

    async def read(self, key: str) -> result.Result:
        """Returns the `Row` of a key, None if absent, or a failure."""
        outcome = await platform.exchange(
            self._client,
            "GET",
            "/v1/rows/" + urllib.parse.quote(key, safe=""),
            accepted=(200, 404),
        )
        match outcome:
            case result.Success(response) if response.status == 404:
                return result.Success(None)
            case result.Success(response):
                return platform.parse(response, Row.from_json)
        return outcome

    async def scan(self, prefix: str) -> result.Result:
        """Returns the rows whose keys begin with a prefix, by key."""
        outcome = await platform.exchange(
            self._client,
            "GET",
            "/v1/rows?prefix=" + urllib.parse.quote(prefix, safe=""),
        )
        return outcome.bind(
            lambda response: platform.parse(
                response,
                lambda value: {
                    key: Row.from_json(row)
                    for key, row in value["rows"].items()
                },
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._client.close()


def _parse_conflict(value) -> Conflict:
    return Conflict(
        {key: Row.from_json(row) for key, row in value["conflicts"].items()}
    )
