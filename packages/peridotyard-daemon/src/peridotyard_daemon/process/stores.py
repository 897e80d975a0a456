"""Interface of a versioned table store, and types of its answers."""

import dataclasses
import typing

from returns import result

from peridotyard_daemon.process import platform


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of a table.

    Attributes:
        key: Key within the table.
        value: The content; empty for a removed row.
        revision: Revision of the transaction that wrote or removed it.
        removed: Whether the row was removed.
    """

    key: str
    value: bytes
    revision: int
    removed: bool = False


@dataclasses.dataclass(frozen=True)
class Listing:
    """Rows of a table as of one moment, or its changes up to one.

    Attributes:
        rows: The rows.
        revision: Newest revision of the store at that moment.
        clock_s: The store's steady clock.
    """

    rows: tuple[Row, ...]
    revision: int
    clock_s: float


@dataclasses.dataclass(frozen=True)
class Write:
    """One row to write.

    Attributes:
        table: Name of the table.
        key: Key within the table.
        value: The content.
    """

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True)
class Condition:
    """Revision that a row must have; 0 if it must not exist."""

    table: str
    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class HistoryLost:
    """The changes since a revision are not kept any more."""


@dataclasses.dataclass(frozen=True)
class Conflict:
    """A condition did not hold, so that nothing was written.

    Attributes:
        rows: Present rows of the conditions.
    """

    rows: tuple[Row, ...]


Failure = platform.Failure | HistoryLost | Conflict


@dataclasses.dataclass(frozen=True)
class Committed:
    """A transaction was written.

    Attributes:
        revision: Revision of the written rows.
        clock_s: The store's steady clock.
    """

    revision: int
    clock_s: float


class Store(typing.Protocol):
    """Client of the store; every call ends within its timeout."""

    async def scan(self, table: str) -> result.Result[Listing, Failure]:
        """Returns all rows of a table."""

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> result.Result[Listing, Failure]:
        """Returns the changes after a revision, waiting for the first."""

    async def commit(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[Write, ...],
        deletes: tuple[tuple[str, str], ...] = (),
    ) -> result.Result[Committed, Failure]:
        """Writes all rows if all conditions hold, else none."""
