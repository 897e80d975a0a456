"""Tests of request.chains on scripted sidecars."""

import json

import pytest
import trio

from tests.support import entries
from tests.support import sidecars

EXPECTED = sidecars.generate("abc", 7, 20)
# Two stages, with a spare for each.
RANGES = ((0, 2), (2, 4), (0, 2), (2, 4))


def find_stage(yard, first_layer):
    """Returns the sidecar that runs a stage now."""
    return next(
        item
        for item in yard.sidecars
        if item.streams and item.layers[0] == first_layer
    )


def check_complete(caller):
    assert caller.text == EXPECTED
    assert caller.events[-1] == "[DONE]"


def check_idle(yard):
    """No stage keeps a stream, no count is left over."""
    assert not any(item.streams for item in yard.sidecars)
    assert not yard.entry.table._own
    assert not yard.entry.completions.in_flight


@entries.with_yard(*RANGES)
async def test_response_passes_all_stages(yard):
    """Guards against lost, repeated or reordered tokens without failures."""
    check_complete(await yard.call(yard.complete()))
    await trio.sleep(1)
    check_idle(yard)


@pytest.mark.parametrize("layer", [0, 2])
@entries.with_yard(*RANGES)
async def test_killed_stage_is_replaced_and_the_other_kept(yard, layer):
    """Guards against a response that ends, or restarts, with one stage."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.2)
    other = find_stage(yard, 2 - layer)
    find_stage(yard, layer).kill()
    killed_at = trio.current_time()
    while len(caller.text) < 20:
        await trio.sleep(0.01)
    # Well below the stall limit: the lost connection itself is noticed.
    assert trio.current_time() - killed_at < 0.6
    await trio.sleep(0.1)
    check_complete(caller)
    assert ("open", 2) in other.log
    assert ("open", 3) not in other.log
    check_idle(yard)


@entries.with_yard(*RANGES)
async def test_reported_failure_is_recovered_on_the_spare(yard):
    """Guards against ignored StreamFailed messages."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.2)
    find_stage(yard, 0).fails_at = 0
    await trio.sleep(1)
    check_complete(caller)
    assert yard.entry.metrics.count("streams.recoveries") == 1


@entries.with_yard(*RANGES)
async def test_stage_that_reaches_no_neighbour_is_replaced(yard):
    """Guards against trying all neighbours of a stage with a broken link."""
    yard.sidecars[0].fails_at, yard.sidecars[0].blames = 5, 1
    yard.sidecars[2].is_ready = False
    yard.sidecars[2].offer()
    await trio.sleep(0.1)
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.1)
    yard.sidecars[2].is_ready = True
    yard.sidecars[2].offer()
    await trio.sleep(2)
    check_complete(caller)
    assert yard.entry.metrics.count("streams.recoveries") == 2
    assert ("open", 3) not in yard.sidecars[0].log


@entries.with_yard(*RANGES)
async def test_stalled_stage_without_report_is_replaced(yard):
    """Guards against a stream that hangs when no stage reports a fault."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.2)
    find_stage(yard, 2).is_stalled = True
    await trio.sleep(3)
    check_complete(caller)
    assert yard.entry.metrics.count("streams.recoveries") == 1


@pytest.mark.parametrize("fault", ["refusal", "is_deaf"])
@entries.with_yard(*RANGES)
async def test_stage_that_does_not_accept_is_replaced_before_any_step(
    yard, fault
):
    """Guards against layers that run although a stage has not accepted."""
    for item in yard.sidecars[:2]:
        setattr(item, fault, "overloaded" if fault == "refusal" else True)
    # Servers with a lower limit are the second choice.
    for item in yard.sidecars[2:]:
        item.limit = 1
        item.offer()
    await trio.sleep(0.1)
    check_complete(await yard.call(yard.complete()))
    assert all(item.log for item in yard.sidecars[:2])
    assert not any(item.ran for item in yard.sidecars[:2])
    generations = {g for item in yard.sidecars for _, g, _ in item.ran}
    assert len(generations) == 1


@entries.with_yard(*RANGES)
async def test_refusal_by_all_is_not_run(yard):
    """Guards against a may-have-run verdict where no layer has run."""
    for item in yard.sidecars:
        item.refusal = "overloaded"
    caller = await yard.call(yard.complete())
    assert caller.status == 503
    assert caller.json["error"]["verdict"] == "not-run"
    assert b"retry-after" in caller.headers
    assert not any(item.ran for item in yard.sidecars)


@entries.with_yard(*RANGES)
async def test_refusals_are_retried_within_the_budget(yard):
    """Guards against retries that multiply an overload."""
    while yard.entry.completions.fleet.budget.spend():
        pass
    for item in yard.sidecars:
        item.refusal = "overloaded"
    caller = await yard.call(yard.complete())
    assert caller.json["error"]["code"] == "overloaded"
    assert sum(("open", 2) in item.log for item in yard.sidecars) == 0


@entries.with_yard((0, 2), (2, 4))
async def test_missing_capacity_is_an_error_event_without_done(yard):
    """Guards against a hanging stream when the only copy of a layer dies."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.2)
    find_stage(yard, 2).kill()
    await trio.sleep(2)
    error = json.loads(caller.events[-1])["error"]
    assert error["code"] == "no-capacity"
    assert error["verdict"] == "may-have-run"
    assert "[DONE]" not in caller.events
    assert EXPECTED.startswith(caller.text) and caller.text
    check_idle(yard)


@entries.with_yard((0, 2), (2, 4))
async def test_returning_server_is_used_while_capacity_is_missing(yard):
    """Guards against an error when an engine restarts within the wait."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.2)
    last = find_stage(yard, 2)
    last.is_ready = False
    last.offer()
    last._report_failure(next(iter(last.streams.values())))
    await trio.sleep(0.3)
    last.is_ready = True
    last.offer()
    await trio.sleep(2)
    check_complete(caller)


@entries.with_yard(*RANGES, stall_s=5.0)
async def test_silent_connection_to_the_last_stage_is_resumed(yard):
    """Guards against a new generation, or lost tokens, for a lost link."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.2)
    last = find_stage(yard, 2)
    address = str(yard.settings.peer_address)
    yard.network.cut(address, str(last.address))
    # The last token is among the lost ones, so no later one shows a gap.
    await trio.sleep(0.5)
    yard.network.heal(address, str(last.address))
    yard.network.reset(address)
    await trio.sleep(1)
    check_complete(caller)
    assert ("attach", 1) in last.log
    assert ("open", 2) not in last.log


# The prefix leaves 1 ms after the request, when the stages have accepted.
@pytest.mark.parametrize("delay_s", [0.0, 0.0008])
@entries.with_yard((0, 2), (2, 4), open_timeout_s=5.0, first_token_s=5.0)
async def test_messages_lost_before_the_first_token_are_repeated(yard, delay_s):
    """Guards against a stream whose StreamOpen or prefix was lost."""
    ends = str(yard.settings.peer_address), str(yard.sidecars[0].address)
    caller = yard.call_soon(yard.complete())
    if not delay_s:
        yard.network.cut(*ends)
    await trio.sleep(delay_s)
    yard.network.cut(*ends)
    await trio.sleep(0.2)
    assert not yard.sidecars[0].ran
    yard.network.heal(*ends)
    yard.network.reset(ends[0])
    await trio.sleep(1)
    check_complete(caller)
    assert ("open", 2) not in yard.sidecars[0].log


@entries.with_yard(*RANGES)
async def test_restarted_stage_is_replaced_at_once(yard):
    """Guards against waiting for a process that has lost its streams."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.2)
    first = find_stage(yard, 0)
    first.incarnation += 100
    first.streams.clear()
    yard.network.reset(str(first.address))
    await trio.sleep(0.4)
    check_complete(caller)


@entries.with_yard(*RANGES)
async def test_gap_is_filled_by_attach(yard):
    """Guards against tokens that are sent to the caller out of order."""
    caller = yard.call_soon(yard.complete())
    await trio.sleep(0.15)
    last = find_stage(yard, 2)
    last.drops_tokens = True
    await trio.sleep(0.05)
    last.drops_tokens = False
    await trio.sleep(2)
    check_complete(caller)
    assert ("attach", 1) in last.log


@entries.with_yard(*RANGES)
async def test_tokens_of_other_streams_and_generations_are_dropped(yard):
    """Guards against a response that gets the tokens of another (R2)."""
    first = yard.call_soon(yard.complete())
    second = yard.call_soon(yard.complete(prompt="xyz"))
    await trio.sleep(0.1)
    # The replaced stage lives on and repeats its tokens late.
    old = find_stage(yard, 2)
    for message in list(old.streams.values()):
        old._report_failure(message)
    await trio.sleep(0.05)
    for tokens in old.retained.values():
        old.post_tokens(tokens)
        for token in tokens:
            token.position += 4
            token.token = ord("!")
        old.post_tokens(tokens)
    await trio.sleep(3)
    check_complete(first)
    assert second.text == sidecars.generate("xyz", 7, 20)


@entries.with_yard(*RANGES)
async def test_caller_that_leaves_cancels_all_stages(yard):
    """Guards against work for a caller that is gone."""
    caller = yard.call_soon(yard.complete(60))
    await trio.sleep(0.2)
    assert any(item.ran for item in yard.sidecars)
    caller.disconnect()
    await trio.sleep(0.1)
    check_idle(yard)


@entries.with_yard(*RANGES)
async def test_close_reaches_a_stage_after_its_connection_returns(yard):
    """Guards against streams that stay on a stage which missed the close."""
    caller = yard.call_soon(yard.complete(60))
    await trio.sleep(0.2)
    last = find_stage(yard, 2)
    address = str(yard.settings.peer_address)
    yard.network.cut(address, str(last.address))
    await trio.sleep(1)
    caller.disconnect()
    await trio.sleep(1)
    assert last.streams
    yard.network.heal(address, str(last.address))
    await trio.sleep(5)
    assert not last.streams


@entries.with_yard(*[(0, 4)] * 5, recovery_limit=2)
async def test_recoveries_are_limited(yard):
    """Guards against a request that visits every server without end."""
    for item in yard.sidecars:
        item.fails_at = 0
    caller = await yard.call(yard.complete())
    assert caller.status == 502
    assert caller.json["error"]["code"] == "stream-lost"
    assert caller.json["error"]["verdict"] == "may-have-run"
