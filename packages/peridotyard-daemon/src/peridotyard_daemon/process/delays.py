"""Delays of the event loop of a process."""

import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import metrics as metrics_module

# Time between two measurements.
INTERVAL_S = 0.25
# Delay from which on a line is logged. Callers notice such a pause between two
# events, and the timeouts of probes pass meanwhile.
LOG_DELAY_S = 0.1

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
