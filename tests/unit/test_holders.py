"""Tests of request.holders, and of its use by completions and the entry."""

import functools

from peridotyard_daemon.wire.generated import ttypes
import pytest
import trio

from tests.support import entries
from tests.support import sidecars

PROMPT = "a shared prefix of at least sixty-four positions, which is one key; "
RANGES = ((0, 4), (0, 4), (0, 4))


def with_caches(*ranges, **options):
    """Returns a decorator for tests with servers that state a cache."""

    def decorate(check):
        @functools.wraps(check)
        async def run(cluster, **arguments):
            for item in cluster.sidecars:
                state_cache(item)
            await trio.sleep(0.1)
            await check(cluster, **arguments)

        return entries.with_cluster(*ranges, prefixes_enabled=True, **options)(
            run
        )

    return decorate


def state_cache(item, cache_id=1):
    item.cache = ttypes.PrefixCache(cache_id, 16, 4096, False, 200.0, 2000.0)
    item.held = 0
    item.offer()


def send(cluster, suffix="", **fields):
    return cluster.make_completion(prompt=PROMPT + suffix, **fields)


def count_opens(cluster):
    return [len(item.opens) for item in cluster.sidecars]


def check_idle(cluster):
    """Checks that no prompt is counted as pending."""
    tracker = cluster.entry.completions.holders
    assert not tracker._runs
    for item in cluster.sidecars:
        assert tracker.knowledge.get_pending(str(item.address)) == 0


@with_caches(*RANGES)
async def test_prompt_returns_to_the_holder_of_its_prefix(cluster):
    """Guards against a prefix that is computed again on another server."""
    for number in range(6):
        caller = await cluster.call(send(cluster, f"{number}"))
        assert caller.text == sidecars.generate(PROMPT + f"{number}", 7, 20)
    assert sorted(count_opens(cluster)) == [0, 0, 6]
    count = cluster.entry.metrics.get_count
    assert count("prefixes.prompt_positions") == 6 * (len(PROMPT) + 1)
    assert count("prefixes.hits_reported") == 0
    assert 0 < count("prefixes.hits_expected") < 5 * 64
    check_idle(cluster)


@with_caches(*RANGES)
async def test_keys_go_to_servers_with_a_cache_only(cluster):
    """Guards against keys that the engine cannot use."""
    for item in cluster.sidecars[1:]:
        item.is_ready = False
        item.offer()
    cluster.sidecars[0].cache = None
    cluster.sidecars[0].offer()
    await trio.sleep(0.1)
    await cluster.call(send(cluster))
    state_cache(cluster.sidecars[0])
    await trio.sleep(0.1)
    await cluster.call(send(cluster))
    await cluster.call(cluster.make_completion(prompt="short"))
    first, second, third = cluster.sidecars[0].opens
    assert (first.prefix_keys, first.key_positions) == (None, None)
    assert (len(second.prefix_keys), second.key_positions) == (1, 64)
    assert (third.prefix_keys, third.key_positions) == (None, None)


@with_caches((0, 4), (0, 4))
async def test_full_holder_leaves_the_request_to_another(cluster):
    """Guards against a rejection while another server has capacity."""
    await cluster.call(send(cluster))
    holder = next(item for item in cluster.sidecars if item.opens)
    holder.limit = 1
    holder.offer()
    await trio.sleep(0.1)
    callers = [cluster.start_call(send(cluster, f"{n}")) for n in range(3)]
    await trio.sleep(2)
    assert [caller.status for caller in callers] == [200, 200, 200]
    assert len(holder.opens) == 2
    check_idle(cluster)


@pytest.mark.parametrize("cause", ["restart", "cache"])
@with_caches((0, 4), (0, 4))
async def test_server_that_lost_its_cache_is_no_holder(cluster, cause):
    """Guards against prefixes that an earlier process of a server held."""
    await cluster.call(send(cluster))
    holder = next(item for item in cluster.sidecars if item.opens)
    address = str(holder.address)
    knowledge = cluster.entry.completions.holders.knowledge
    keys = holder.opens[0].prefix_keys
    assert knowledge.estimate_held(address, keys, trio.current_time()) > 0
    if cause == "restart":
        holder.restart()
    else:
        state_cache(holder, cache_id=2)
    await trio.sleep(1)
    assert knowledge.find_cache(address) is not None
    assert knowledge.estimate_held(address, keys, trio.current_time()) == 0


@with_caches((0, 4))
async def test_news_change_what_is_known_unless_invalid(cluster):
    """Guards against invalid events that are applied or end a connection."""
    item = cluster.sidecars[0]
    count = cluster.entry.metrics.get_count
    knowledge = cluster.entry.completions.holders.knowledge

    async def post(**fields):
        news = ttypes.CacheNews(**{"cache_id": 1} | fields)
        item.entry.post(ttypes.Frame(cache_news=news))
        await trio.sleep(0.1)
        return knowledge.estimate_held(
            str(item.address), (5,), trio.current_time()
        )

    assert await post(sequence=1, stored=[5]) > 63
    assert await post(sequence=1, evicted=[5]) > 63
    assert await post(sequence=2, evicted=[5], cache_id=3) > 63
    assert await post(sequence=2, evicted=[5] * 99) > 63
    assert count("prefixes.invalid_events") == 3
    assert await post(sequence=4, evicted=[5]) == 0
    assert count("prefixes.event_gaps") == 2
    assert count("prefixes.events") == 2


@pytest.mark.parametrize("held", [-1, 10**9])
@with_caches((0, 4))
async def test_invalid_hit_report_is_bounded(cluster, held):
    """Guards against reports that count more positions than were sent."""
    cluster.sidecars[0].held = held
    await cluster.call(send(cluster))
    count = cluster.entry.metrics.get_count
    assert count("prefixes.hits_reported") == (0 if held < 0 else len(PROMPT))
    assert count("prefixes.invalid_events") == (held < 0)
    check_idle(cluster)


@pytest.mark.parametrize("fault", ["kill", "fail", "disconnect"])
@with_caches((0, 2), (2, 4), (0, 2), (2, 4))
async def test_interrupted_prompts_are_not_pending(cluster, fault):
    """Guards against a server that is avoided for work that it never gets."""
    for item in cluster.sidecars:
        item.held = None
    caller = cluster.start_call(send(cluster))
    await trio.sleep(0.1)
    holder = next(item for item in cluster.sidecars if item.opens)
    if fault == "disconnect":
        caller.disconnect()
    else:
        getattr(holder, fault)()
    await trio.sleep(2)
    if fault != "disconnect":
        assert caller.text == sidecars.generate(PROMPT, 7, 20)
    cluster.sidecars = [
        item for item in cluster.sidecars if fault != "kill" or item != holder
    ]
    check_idle(cluster)


@entries.with_cluster(*RANGES)
async def test_disabled_setting_costs_nothing(cluster):
    """Guards against state, messages or fields where the setting is off."""
    for item in cluster.sidecars:
        state_cache(item)
    await trio.sleep(0.1)
    item = cluster.sidecars[0]
    news = ttypes.CacheNews(1, 1, [5], [], 1)
    item.entry.post(ttypes.Frame(cache_news=news))
    for number in range(6):
        await cluster.call(send(cluster, f"{number}"))
    assert cluster.entry.completions.holders is None
    assert item.entry.peer.uses_cache_news is None
    opens = [message for item in cluster.sidecars for message in item.opens]
    assert len(opens) == 6
    assert all(message.prefix_keys is None for message in opens)
    assert cluster.entry.metrics.get_count("prefixes.events") == 0
