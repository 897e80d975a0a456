"""Rows of the platform's list of servers, and which of them have changed.

Servers write their rows with each heartbeat, and mostly nothing but the count
of heartbeats differs from the row before.
"""

import collections
import collections.abc
import dataclasses

from peridotyard_core import fleet

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import stores

# Removed rows that are remembered, see `ServerRows.has_change_outside`. They
# cover the changes of a few seconds.
MAX_REMOVALS = 256

_log = logs.Logger("store")

Decode = collections.abc.Callable[[str, bytes, int], fleet.Server]
Rows = tuple[stores.Row, ...]


class ServerRows:
    """The list of servers as last read, owned by the synchronizer."""

    def __init__(self, decode: Decode):
        """Creates an empty list.

        Args:
            decode: Decodes a row from its key, value and revision; raises
                `ValueError` if it is malformed.
        """
        self._decode = decode
        # Listed servers by instance, and the revisions of their last changes.
        self._servers: dict[str, fleet.Server] = {}
        self._changed_at: dict[str, int] = {}
        self._removals: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=MAX_REMOVALS
        )
        # Keys of unreadable rows that have been logged.
        self._unreadable: set[str] = set()

    def get(self, instance: str) -> fleet.Server | None:
        """Returns a listed server; None if its row has never been readable."""
        return self._servers.get(instance)

    def update(self, rows: Rows) -> Rows:
        """Records rows; returns those that differ in more than a heartbeat."""
        return tuple(row for row in rows if self._record(row))

    def replace(self, rows: Rows, revision: int) -> tuple[Rows, set[str]]:
        """Records the complete list.

        Args:
            rows: All rows.
            revision: Revision of the list.

        Returns:
            The changed rows, and the instances that are no longer listed.
        """
        missing = set(self._servers) - {row.key for row in rows}
        for instance in missing:
            self._record_removal(instance, revision)
        return self.update(rows), missing

    def has_change_outside(self, after: int, rows: Rows) -> bool:
        """Returns whether a newer change is known that the rows do not have.

        The rows are the changes that another entry has found since it knew the
        revision `after`. If this entry has read more since then, a server may
        have changed and changed back in between.

        Args:
            after: Revision of the list before the changes.
            rows: The changes.
        """
        keys = {row.key for row in rows}
        newer = [key for key, at in self._changed_at.items() if at > after]
        newer += [key for key, at in self._removals if at > after]
        return any(key not in keys for key in newer)

    def _record(self, row: stores.Row) -> bool:
        """Records one row; returns whether it has changed."""
        if row.removed:
            self._record_removal(row.key, row.revision)
            return True
        server = self._read(row)
        known = self._servers.get(row.key)
        if server is not None:
            self._servers[row.key] = server
            if known is not None and server == dataclasses.replace(
                known, revision=server.revision
            ):
                return False
        self._changed_at[row.key] = row.revision
        return True

    def _record_removal(self, instance: str, revision: int) -> None:
        self._servers.pop(instance, None)
        self._changed_at.pop(instance, None)
        self._unreadable.discard(instance)
        self._removals.append((instance, revision))

    def _read(self, row: stores.Row) -> fleet.Server | None:
        try:
            return self._decode(row.key, row.value, row.revision)
        except ValueError as error:
            # Logged once for each key, since a server that writes its row with
            # each heartbeat would fill the log.
            if row.key not in self._unreadable:
                _log.warning(
                    "unreadable server row ignored",
                    key=row.key,
                    revision=row.revision,
                    error=str(error),
                )
            self._unreadable.add(row.key)
            return None
