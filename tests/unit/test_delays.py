"""Tests of peridotyard_daemon.process.delays."""

import time

from peridotyard_daemon.process import delays
from peridotyard_daemon.process import metrics
import trio


async def _block_loop(duration_s: float) -> None:
    registry = metrics.Metrics(None, 1.0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(delays.watch_delays, registry)
        await trio.sleep(delays.INTERVAL_S / 2)
        time.sleep(duration_s)
        await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    (summary,) = registry.histograms.summarize()
    assert summary.key.figure == "loop_delay"
    assert summary.max_ms >= 1000 * (duration_s - delays.INTERVAL_S)


def test_delay_of_a_blocked_loop_is_measured():
    """Guards against a busy process whose logs look like those of an idle one.

    It runs in real time, since the virtual clock stands still meanwhile.
    """
    trio.run(_block_loop, 0.6)
