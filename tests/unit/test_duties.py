"""Tests of peridotyard_daemon.process.duties."""

import collections

from peridotyard_daemon.process import duties
import pytest
import trio

from tests.support import cases


@cases.run_on_virtual_clock
async def test_failed_duty_starts_again_after_growing_pauses():
    """Guards against a duty that ends the process, or fails in a tight loop."""
    starts = []
    counted = collections.Counter()

    async def fail():
        starts.append(trio.current_time())
        await trio.sleep(0)
        raise RuntimeError("reason")

    with trio.move_on_after(60):
        await duties.run("test", fail, lambda name: counted.update([name]))
    pauses = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert pauses[:4] == pytest.approx([0.1, 0.2, 0.4, 0.8])
    assert max(pauses) == pytest.approx(duties.PAUSE_MAX_S)
    assert counted == {"internal_errors.test": len(starts)}


@cases.run_on_virtual_clock
async def test_pause_is_short_again_after_a_steady_time():
    starts = []

    async def fail():
        starts.append(trio.current_time())
        await trio.sleep(0 if len(starts) < 6 else duties.STEADY_S)
        raise RuntimeError("reason")

    with trio.move_on_after(30):
        await duties.run("test", fail, lambda _: None)
    assert starts[6] - starts[5] == pytest.approx(
        duties.STEADY_S + duties.PAUSE_MIN_S
    )


@cases.run_on_virtual_clock
async def test_error_within_a_nursery_is_contained():
    """Guards against an exception group that passes as another kind."""
    runs = []

    async def fail():
        raise ValueError("reason")

    async def work():
        runs.append(1)
        if len(runs) > 2:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail)
            nursery.start_soon(trio.sleep_forever)

    await duties.run("test", work, lambda _: None)
    assert len(runs) == 3
