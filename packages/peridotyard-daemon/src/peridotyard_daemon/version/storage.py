"""Access to the table service for the replication of the configuration."""

from peridotyard_core import verdicts
from returns import result

from peridotyard_daemon.process import platform
from peridotyard_daemon.process import tables


class Storage:
    """A table client whose failures carry a code and a verdict.

    Owned by the process; implements `replication.Table`.
    """

    def __init__(self, table: tables.Table):
        self._table = table

    async def transact(self, conditions, puts, deletes) -> result.Result:
        """Writes atomically; see `tables.Table.transact`."""
        outcome = await self._table.transact(conditions, puts, deletes)
        return outcome.alt(_translate)

    async def read(self, key: str) -> result.Result:
        """Returns a row; see `tables.Table.read`."""
        return (await self._table.read(key)).alt(_translate)

    async def scan(self, prefix: str) -> result.Result:
        """Returns rows by prefix; see `tables.Table.scan`."""
        return (await self._table.scan(prefix)).alt(_translate)


def _translate(failure) -> verdicts.Failure:
    match failure:
        case tables.Conflict(rows):
            return verdicts.make_not_run_failure(
                "conflict", "Changed concurrently: " + ", ".join(sorted(rows))
            )
        case platform.Lost(reason):
            return verdicts.make_may_have_run_failure(
                "store-unavailable", reason
            )
        case platform.Unavailable(status):
            return verdicts.make_not_run_failure(
                "store-unavailable", f"status {status}"
            )
        case platform.Rejected(status, message):
            return verdicts.make_not_run_failure(
                "internal", f"status {status}: {message}"
            )
        case platform.Unsent(reason):
            return verdicts.make_not_run_failure("store-unavailable", reason)
    raise TypeError(failure)
