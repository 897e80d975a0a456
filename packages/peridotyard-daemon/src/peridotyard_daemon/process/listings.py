"""Rows of the platform's list of servers, and which of them have changed.

Servers write their rows with each heartbeat, and mostly nothing but the count
of heartbeats differs from the row before.
"""

import collections
import collections.abc
import dataclasses

from peridotyard_core import fleet

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import rejections
from peridotyard_daemon.process import stores

# Removed rows that are remembered, see `ServerRows.has_change_outside`. They
# cover the changes of a few seconds.
MAX_REMOVALS = 256
# Removed servers that are remembered, see `ServerRows`. They cover the seconds
# by which a copy of the store is older than the store was.
MAX_REMOVED_SERVERS = 2048

# Rows that are kept, ten times those of the target size. Rows of further
# servers are rejected until others are removed.
MAX_ROWS = 100_000

_log = logs.Logger("store")

Decode = collections.abc.Callable[[str, bytes, int], fleet.Server]
Rows = tuple[stores.Row, ...]


class ServerRows:
    """The list of servers as last read, owned by the synchronizer.

    After the store was restored from a copy, its rows may be older than the
    known ones, although their revisions are of a newer era. In the first whole
    list of the era, the server's own count of heartbeats orders the rows of one
    process. The start times of two processes do not order them, since the clock
    of a machine may be set back. A row that is not shown to be newer is ignored
    until the server writes it again, so a server that was removed stays so.

    A row that cannot be read names no server. Whatever was known under its key
    is no longer listed, as after the removal of the row: the platform's rules
    say that such an entry names no server to use, and a server that is alive
    writes its row again with its next heartbeat.
    """

    def __init__(
        self,
        decode: Decode,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        """Creates an empty list.

        Args:
            decode: Decodes a row from its key, value and revision; raises
                `ValueError` if it is malformed.
            count: Increases the counter of the given name.
        """
        self._decode = decode
        # Listed servers by instance, and the revisions of their last changes.
        self._servers: dict[str, fleet.Server] = {}
        self._changed_at: dict[str, int] = {}
        # The rows of listed servers as last read.
        self._rows: dict[str, stores.Row] = {}
        self._removals: collections.deque[tuple[str, int]] = collections.deque(
            maxlen=MAX_REMOVALS
        )
        # The last known rows of removed servers, with the revision of the
        # removal.
        self._removed: collections.OrderedDict[
            str, tuple[fleet.Server, int]
        ] = collections.OrderedDict()
        # Revision of the first whole list of the newest era. Rows of this era
        # with a greater revision were not in the copy.
        self._restored_at = 0
        self._rejections = rejections.Rejections("server", count)

    def get(self, instance: str) -> fleet.Server | None:
        """Returns a listed server; None if its row cannot be read."""
        return self._servers.get(instance)

    def has_row(self, instance: str) -> bool:
        """Returns whether the table has a row of a server, readable or not."""
        return instance in self._changed_at

    def list_rows(self) -> Rows:
        """Returns the rows of all listed servers as last read."""
        return tuple(self._rows.values())

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
        if stores.get_era(revision) > stores.get_era(self._restored_at):
            self._restored_at = revision
        missing = set(self._changed_at) - {row.key for row in rows}
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
        if row.key not in self._changed_at and len(self._changed_at) >= (
            MAX_ROWS
        ):
            error = ValueError(f"there are {MAX_ROWS} other rows")
            self._rejections.record(row.key, row.revision, error)
            return False
        server = self._read(row)
        known = self._servers.get(row.key)
        if server is None:
            if known is None and row.key in self._changed_at:
                return False
            self._withdraw(row.key, row.revision)
        else:
            if self._is_restored(server):
                _log.info(
                    "row from a copy of the store ignored",
                    instance=row.key,
                    heartbeats=server.heartbeats,
                    revision=stores.format_revision(row.revision),
                )
                return False
            self._servers[row.key] = server
            self._rows[row.key] = row
            if known is not None and server == dataclasses.replace(
                known, revision=server.revision, heartbeats=server.heartbeats
            ):
                return False
        self._changed_at[row.key] = row.revision
        return True

    def _is_restored(self, server: fleet.Server) -> bool:
        """Returns whether a row is older than what is known of its server."""
        known = self._servers.get(server.instance)
        if known is not None:
            known_at, is_removed = known.revision, False
        elif server.instance in self._removed:
            known, known_at = self._removed[server.instance]
            is_removed = True
        else:
            return False
        if stores.get_era(server.revision) <= stores.get_era(known_at):
            return False
        if server.revision > self._restored_at:
            return False
        if server.started_at_ms != known.started_at_ms:
            return True
        if is_removed:
            return server.heartbeats <= known.heartbeats
        return server.heartbeats < known.heartbeats

    def _record_removal(self, instance: str, revision: int) -> None:
        self._withdraw(instance, revision)
        self._changed_at.pop(instance, None)
        self._rejections.discard(instance)
        self._removals.append((instance, revision))

    def _withdraw(self, instance: str, revision: int) -> None:
        """Ends the listing of a server; its last row stays known."""
        server = self._servers.pop(instance, None)
        if server is None:
            return
        del self._rows[instance]
        self._removed[instance] = (server, revision)
        self._removed.move_to_end(instance)
        if len(self._removed) > MAX_REMOVED_SERVERS:
            self._removed.popitem(last=False)

    def _read(self, row: stores.Row) -> fleet.Server | None:
        try:
            return self._decode(row.key, row.value, row.revision)
        except ValueError as error:
            self._rejections.record(row.key, row.revision, error)
            return None
