"""Tests of request.chains with scripted sidecars."""

import json

import pytest
import trio

from tests.support import entries
from tests.support import sidecars

EXPECTED = sidecars.generate("abc", 7, 20)
# Two stages, with two servers for each.
RANGES = ((0, 2), (2, 4), (0, 2), (2, 4))


def find_stage(cluster, first_layer):
    """Returns the sidecar that runs a stage now."""
    return next(
        item
        for item in cluster.sidecars
        if item.streams and item.layers[0] == first_layer
    )


def check_complete(caller):
    assert caller.text == EXPECTED
    assert caller.events[-1] == "[DONE]"


def check_idle(cluster):
    """Checks that no stage has a stream and that all counts are zero."""
    assert not any(item.streams for item in cluster.sidecars)
    assert not cluster.entry.table._own_streams
    assert not cluster.entry.completions.in_flight


async def start(cluster, count=20):
    """Returns a caller in the middle of its response, and the two stages."""
    caller = cluster.start_call(cluster.make_completion(count))
    await trio.sleep(0.2)
    assert 0 < len(caller.text) < count
    return caller, find_stage(cluster, 0), find_stage(cluster, 2)


@pytest.mark.parametrize("index", [0, 1])
@pytest.mark.parametrize(
    ("fault", "limit_s"),
    [(None, 0.3), ("kill", 0.3), ("restart", 0.3), ("fail", 0.3), ("stall", 1)],
)
@entries.with_cluster(*RANGES)
async def test_failed_stage_is_replaced_in_time(cluster, index, fault, limit_s):
    """Guards against a response that fails, hangs or restarts with a stage."""
    caller, *stages = await start(cluster)
    if fault:
        getattr(stages[index], fault)()
    await trio.sleep(limit_s)
    check_complete(caller)
    recoveries = cluster.entry.metrics.get_count("streams.recoveries")
    assert recoveries == (1 if fault else 0)
    # Only a stall may replace the other stage too, since it names no stage.
    other = stages[1 - index]
    assert fault == "stall" or ("close", 2) not in other.log[:-1]
    await trio.sleep(0.1)
    check_idle(cluster)


@entries.with_cluster(*RANGES)
async def test_stage_that_reaches_no_neighbour_is_replaced(cluster):
    """Guards against trying all neighbours of a stage with a broken link."""
    cluster.sidecars[0].fails_at, cluster.sidecars[0].unreachable = 5, 1
    cluster.sidecars[2].is_ready = False
    cluster.sidecars[2].offer()
    await trio.sleep(0.1)
    caller = cluster.start_call(cluster.make_completion())
    await trio.sleep(0.1)
    cluster.sidecars[2].is_ready = True
    cluster.sidecars[2].offer()
    await trio.sleep(2)
    check_complete(caller)
    assert cluster.entry.metrics.get_count("streams.recoveries") == 2
    assert ("open", 3) not in cluster.sidecars[0].log


@pytest.mark.parametrize("fault", ["refusal", "ignores_open"])
@entries.with_cluster(*RANGES)
async def test_stage_that_does_not_accept_is_replaced_before_any_step(
    cluster, fault
):
    """Guards against layers that run although a stage has not accepted."""
    for item in cluster.sidecars[:2]:
        setattr(item, fault, "overloaded" if fault == "refusal" else True)
    # A lower limit makes the other servers the second choice.
    for item in cluster.sidecars[2:]:
        item.limit = 1
        item.offer()
    await trio.sleep(0.1)
    check_complete(await cluster.call(cluster.make_completion()))
    assert all(item.log for item in cluster.sidecars[:2])
    assert not any(item.ran for item in cluster.sidecars[:2])
    generations = {g for item in cluster.sidecars for _, g, _ in item.ran}
    assert len(generations) == 1


@entries.with_cluster(*RANGES)
async def test_refusal_by_all_is_not_run(cluster):
    """Guards against a may-have-run verdict where no layer has run."""
    for item in cluster.sidecars:
        item.refusal = "overloaded"
    caller = await cluster.call(cluster.make_completion())
    assert caller.status == 503
    assert caller.json["error"]["verdict"] == "not-run"
    assert b"retry-after" in caller.headers
    assert not any(item.ran for item in cluster.sidecars)


@entries.with_cluster(*RANGES)
async def test_refusals_are_retried_within_the_budget(cluster):
    """Guards against retries that multiply an overload."""
    while cluster.entry.completions.context.budget.try_spend():
        pass
    for item in cluster.sidecars:
        item.refusal = "overloaded"
    caller = await cluster.call(cluster.make_completion())
    assert caller.json["error"]["code"] == "overloaded"
    assert sum(("open", 2) in item.log for item in cluster.sidecars) == 0


@entries.with_cluster((0, 2), (2, 4))
async def test_missing_capacity_is_an_error_event_without_done(cluster):
    """Guards against a hanging stream if the only copy of a layer is lost."""
    caller, _, last = await start(cluster)
    last.kill()
    await trio.sleep(2)
    error = json.loads(caller.events[-1])["error"]
    assert error["code"] == "no-capacity"
    assert error["verdict"] == "may-have-run"
    assert "[DONE]" not in caller.events
    assert EXPECTED.startswith(caller.text) and caller.text
    check_idle(cluster)


@entries.with_cluster((0, 2), (2, 4))
async def test_returning_server_is_used_while_capacity_is_missing(cluster):
    """Guards against an error when an engine restarts within the wait."""
    caller, _, last = await start(cluster)
    last.is_ready = False
    last.offer()
    last._report_failure(next(iter(last.streams.values())))
    await trio.sleep(0.3)
    last.is_ready = True
    last.offer()
    await trio.sleep(2)
    check_complete(caller)


@entries.with_cluster((0, 2), (2, 4), stall_s=1.0)
async def test_chain_that_still_sends_tokens_is_not_given_up(cluster):
    """Guards against a live stream ended since a stage has no replacement.

    Only the connection from the entry to the first stage is lost.
    """
    caller, first, _ = await start(cluster)
    for item in cluster.sidecars:
        item.step_s = 0.2
    address = str(cluster.settings.peer_address)
    cluster.network.partition(address, str(first.address))
    await trio.sleep(5.0)
    check_complete(caller)
    assert ("open", 2) not in first.log


@entries.with_cluster(*RANGES, stall_s=5.0)
async def test_silent_connection_to_the_last_stage_is_resumed(cluster):
    """Guards against a new generation, or lost tokens, for a lost link."""
    caller, _, last = await start(cluster)
    address = str(cluster.settings.peer_address)
    cluster.network.partition(address, str(last.address))
    # The last token is among the lost ones, so no later token reveals a gap.
    await trio.sleep(0.5)
    cluster.network.heal(address, str(last.address))
    cluster.network.reset(address)
    await trio.sleep(1)
    check_complete(caller)
    assert ("attach", 1) in last.log
    assert ("open", 2) not in last.log


# The prefix is sent 1 ms after the request, when the stages have accepted it.
@pytest.mark.parametrize("delay_s", [0.0, 0.0008])
@entries.with_cluster((0, 2), (2, 4), open_timeout_s=5.0, first_token_s=5.0)
async def test_messages_lost_before_the_first_token_are_resent(
    cluster, delay_s
):
    """Guards against a stream whose StreamOpen or prefix was lost."""
    ends = str(cluster.settings.peer_address), str(cluster.sidecars[0].address)
    caller = cluster.start_call(cluster.make_completion())
    if not delay_s:
        cluster.network.partition(*ends)
    await trio.sleep(delay_s)
    cluster.network.partition(*ends)
    await trio.sleep(0.2)
    assert not cluster.sidecars[0].ran
    cluster.network.heal(*ends)
    cluster.network.reset(ends[0])
    await trio.sleep(1)
    check_complete(caller)
    assert ("open", 2) not in cluster.sidecars[0].log


@entries.with_cluster(*RANGES)
async def test_gap_is_filled_by_attach(cluster):
    """Guards against tokens that are sent to the caller out of order."""
    caller, _, last = await start(cluster)
    last.drops_tokens = True
    await trio.sleep(0.05)
    last.drops_tokens = False
    await trio.sleep(2)
    check_complete(caller)
    assert ("attach", 1) in last.log


@entries.with_cluster(*RANGES)
async def test_tokens_of_other_streams_and_generations_are_dropped(cluster):
    """Guards against a response that gets the tokens of another.

    This is requirement R2 of docs/design.md.
    """
    first = cluster.start_call(cluster.make_completion())
    second = cluster.start_call(cluster.make_completion(prompt="xyz"))
    await trio.sleep(0.1)
    # The replaced stage is still running and resends its tokens late.
    old = find_stage(cluster, 2)
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


@entries.with_cluster(*RANGES)
async def test_caller_that_disconnects_cancels_all_stages(cluster):
    """Guards against work for a caller that has disconnected."""
    caller, *_ = await start(cluster, 60)
    caller.disconnect()
    await trio.sleep(0.1)
    check_idle(cluster)


@entries.with_cluster(*RANGES)
async def test_close_reaches_a_stage_after_its_connection_returns(cluster):
    """Guards against streams that stay open if the StreamClose is lost."""
    caller, _, last = await start(cluster, 60)
    address = str(cluster.settings.peer_address)
    cluster.network.partition(address, str(last.address))
    await trio.sleep(1)
    caller.disconnect()
    await trio.sleep(1)
    assert last.streams
    cluster.network.heal(address, str(last.address))
    await trio.sleep(5)
    assert not last.streams


@entries.with_cluster(*[(0, 4)] * 5, recovery_limit=2)
async def test_recoveries_are_limited(cluster):
    """Guards against a request that crosses all servers without end."""
    for item in cluster.sidecars:
        item.fails_at = 0
    caller = await cluster.call(cluster.make_completion())
    assert caller.status == 502
    assert caller.json["error"]["code"] == "stream-lost"
    assert caller.json["error"]["verdict"] == "may-have-run"
