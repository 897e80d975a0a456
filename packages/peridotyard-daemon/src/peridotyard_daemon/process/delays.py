"""Delays of the event loop of a process."""

import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import metrics as metrics_module

# Time between two measurements.
INTERVAL_S = 0.25
# Delay from which on a line is logged. Callers notice such a pause between two
# events, and the timeouts of probes pass meanwhile.
LOG_DELAY_S = 0.1
# Delay from which on the process counts as paused: it was stopped, or its
# machine was. A busy loop is late by less.
PAUSE_MIN_S = 1.0

_log = logs.Logger("loop")


async def watch_delays(metrics: metrics_module.Metrics) -> None:
    """Measures how late the loop runs a due task, until cancelled.

    While the loop is late, the process notices neither events of servers nor
    callers that disconnect.
    """
    while True:
        due = trio.current_time() + INTERVAL_S
        await trio.sleep_until(due)
        late_s = trio.current_time() - due
        metrics.record("loop_delay", "", "", late_s)
        if late_s >= LOG_DELAY_S:
            _log.warning("event loop delayed", late_ms=round(1000 * late_s))


class PauseDetector:
    """Finds whether this process was paused, owned by the part that asks.

    Whatever a process knows when it resumes is as old as the pause is long, so
    the age of its knowledge shows nothing about the others.
    """

    def __init__(self):
        self._resumed_at = float("-inf")
        self._checked_at = float("inf")

    def get_running_s(self) -> float:
        """Returns for how long the process has run without a pause, seconds."""
        now = trio.current_time()
        if now - self._checked_at >= INTERVAL_S + PAUSE_MIN_S:
            self._resumed_at = now
        self._checked_at = now
        return now - self._resumed_at

    async def run(self) -> None:
        """Looks for pauses until cancelled."""
        while True:
            self.get_running_s()
            await trio.sleep(INTERVAL_S)
