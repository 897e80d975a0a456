"""Rows of a table that cannot be read: logged once for each key, and counted.

Another program may write such a row with each of its heartbeats.
"""

import collections.abc

from peridotyard_daemon.process import logs

# Keys whose rows are logged; further ones are only counted.
MAX_LOGGED_KEYS = 256
# Characters of a key and of an error that are logged.
LOGGED_LENGTH = 200

_log = logs.Logger("store")


class Rejections:
    """Unreadable rows of one table, owned by the reader of the table."""

    def __init__(self, kind: str, count: collections.abc.Callable[[str], None]):
        """Creates an empty record.

        Args:
            kind: What the rows describe, for the log and the metric.
            count: Increases the counter of the given name.
        """
        self._kind = kind
        self._count = count
        self._logged: set[str] = set()

    def record(self, key: str, revision: int, error: ValueError) -> None:
        """Records that a row could not be read.

        Args:
            key: Key of the row.
            revision: Revision of the row.
            error: Why it could not be read.
        """
        self._count(f"unreadable_rows.{self._kind}")
        if key in self._logged or len(self._logged) >= MAX_LOGGED_KEYS:
            return
        self._logged.add(key)
        _log.warning(
            f"unreadable {self._kind} row ignored",
            key=key[:LOGGED_LENGTH],
            revision=revision,
            error=str(error)[:LOGGED_LENGTH],
        )

    def discard(self, key: str) -> None:
        """Records that a row was removed."""
        self._logged.discard(key)
