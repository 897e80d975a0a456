"""Tests of process.caches, and of the reports on prefixes to the entries."""

import types

from peridotyard_core import prefixes
from peridotyard_daemon.process import caches
from peridotyard_daemon.wire.generated import ttypes
import pytest
import trio

from tests.support import virtual_clock
from tests.unit import test_stages

OPTIONS = {"cache_block": 4, "cache_event_gap": 0}


class Peers:
    """Connections of a sidecar, which store the posted messages."""

    def __init__(self, uses_cache_news=True):
        peer = ttypes.Hello(role="entry", uses_cache_news=uses_cache_news)
        self.connections = (types.SimpleNamespace(peer=peer),)
        self.posted = []

    def post_all(self, frame, receivers):
        assert receivers
        self.posted.append(frame.cache_news)


def make_event(sequence, stored=(), evicted=(), cache_id=7):
    return ttypes.EngineCacheEvent(
        sequence, [], [], cache_id, list(stored), list(evicted), 10 * sequence
    )


def report(*events, requests=(), uses_cache_news=True):
    """Returns the messages on events that arrive 2 seconds apart."""

    async def run():
        peers = Peers(uses_cache_news)
        reporter = caches.CacheReporter(peers)
        for keys in requests:
            reporter.record_prefixes(keys)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reporter.run)
            for event in events:
                reporter.record_event(event)
                await trio.sleep(2)
            nursery.cancel_scope.cancel()
        found.extend(peers.posted)

    found = []
    virtual_clock.run(run)
    return found


def test_message_is_bounded_and_names_the_most_requested_prefixes():
    """Guards against messages that exceed the traffic budget of an entry."""
    event = make_event(1, range(100, 400), range(10))
    (news,) = report(event, requests=[[105, 106], [106], [3]])
    assert len(news.stored) + len(news.evicted) == prefixes.NEWS_KEYS_LIMIT
    assert news.stored[:2] == [106, 105]
    assert news.evicted[0] == 3


def test_messages_count_lost_events_and_skip_repeated_ones():
    """Guards against gaps that an entry does not notice."""
    first, second, third = report(
        make_event(4, [1]),
        make_event(7, [2]),
        make_event(6, [3]),
        make_event(8, [], [1]),
    )
    assert (first.sequence, first.lost, first.stored) == (1, 0, [1])
    assert (second.sequence, second.lost, second.stored) == (2, 2, [2])
    assert (third.sequence, third.lost, third.evicted) == (3, 0, [1])
    assert third.stored_blocks == 80


def test_changes_of_another_cache_are_not_mixed():
    """Guards against prefixes of an earlier process under the new id."""
    _, news = report(make_event(9, [1]), make_event(1, [2], cache_id=8))
    assert (news.cache_id, news.stored, news.lost) == (8, [2], 0)


@pytest.mark.parametrize("uses_cache_news", [None, False])
def test_entries_that_do_not_use_the_news_get_none(uses_cache_news):
    """Guards against traffic where the setting is off."""
    assert not report(make_event(1, [1]), uses_cache_news=uses_cache_news)


@test_stages.with_chain(OPTIONS)
async def test_stages_report_hits_and_changes(chain):
    """Guards against knowledge that does not reach the entry."""
    chain.entry.uses_cache_news = True
    for item in chain.entry.peers.connections:
        item.close("test")
    await trio.sleep(1)
    await chain.open(1, keys=[11, 12])
    await trio.sleep(1)
    await chain.open(2, keys=[11, 12])
    await trio.sleep(4)
    received = chain.entry.received
    hits = {(h.stream, h.index): h.held for h in received["prefix_hit"]}
    assert hits == {
        (stream, index): held
        for stream, held in ((1, 0), (2, len(test_stages.PROMPT)))
        for index in range(3)
    }
    stored = [item.stored for item in received["cache_news"] if item.stored]
    assert stored == 3 * [[12, 11]]
    offers = received["offer"]
    assert all(offer.cache.block == 4 for offer in offers if offer.ready)
    chain.check_tokens(1)


@test_stages.with_chain(OPTIONS)
async def test_stages_report_nothing_without_keys(chain):
    """Guards against messages that cost something where the setting is off."""
    await chain.open()
    await trio.sleep(5)
    assert not chain.entry.received["prefix_hit"]
    assert not chain.entry.received["cache_news"]
    chain.check_tokens()


@test_stages.with_chain(OPTIONS)
async def test_keys_of_a_prompt_are_bounded(chain):
    """Guards against an entry that makes sidecars keep any number of keys."""
    await chain.open(keys=list(range(1000)))
    await trio.sleep(1)
    requests = chain.sidecars[0]._cache_reporter._requests
    assert len(requests) == prefixes.PROMPT_KEYS_LIMIT
    chain.check_tokens()
