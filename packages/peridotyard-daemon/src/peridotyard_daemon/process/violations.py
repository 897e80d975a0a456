"""Inputs that were rejected for a limit: counted, and logged at a low rate.

A peer can cause thousands of rejections per second, whose log lines would
displace all others.
"""

import collections
import collections.abc

import trio

from peridotyard_daemon.process import logs

# Shortest time between two log lines on the same kind of violation.
LOG_INTERVAL_S = 1.0
# Characters of a reason that are logged.
REASON_LENGTH = 200

_log = logs.Logger("limits")


class Violations:
    """Rejected inputs of one listener or client, owned by it."""

    def __init__(
        self, count: collections.abc.Callable[[str], None] = lambda _: None
    ):
        """Creates an empty record.

        Args:
            count: Increases the counter of the given name.
        """
        self._count = count
        self._logged_at: dict[str, float] = {}
        self._unlogged: collections.Counter[str] = collections.Counter()

    def record(self, kind: str, reason: object) -> None:
        """Records that an input was rejected.

        Args:
            kind: Which limit it violated; one of a small set of names.
            reason: Description of the input for the log.
        """
        self._count(f"input_limits.{kind}")
        self._unlogged[kind] += 1
        now = trio.current_time()
        if now - self._logged_at.get(kind, float("-inf")) < LOG_INTERVAL_S:
            return
        self._logged_at[kind] = now
        _log.warning(
            "input rejected",
            kind=kind,
            count=self._unlogged.pop(kind),
            reason=str(reason)[:REASON_LENGTH],
        )
