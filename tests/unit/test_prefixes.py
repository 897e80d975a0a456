"""Tests of prefixes, by load pattern and by fault of the knowledge."""

import collections
import dataclasses
import random

from peridotyard_core import pipelines
from peridotyard_core import prefixes
import pytest

CACHE = prefixes.Cache(
    cache_id=1,
    block=16,
    blocks=4096,
    is_isolated=False,
    position_s=0.0002,
    step_s=0.002,
)
SERVERS = ("a", "b", "c", "d")


def make_prompt(text, workspace="north", version="1"):
    return prefixes.Prompt(
        list(text.encode()), "m", version, workspace=workspace
    )


def make_shared(number, shared=512, own=64):
    """Returns a prompt with a shared prefix and a part of its own."""
    return make_prompt("s" * shared + f"{number:0{own}d}")


def make_offer(address, load=0, limit=64, layers=(0, 4)):
    return pipelines.StageOffer(
        address, address, "m", "1", *layers, load=load, limit=limit
    )


class Entry:
    """An entry whose servers run prompts and count what they hold.

    Attributes:
        knowledge: What the entry knows.
        loads: Streams in progress by server.
        counts: Prompts by server.
    """

    def __init__(self, servers=SERVERS, cache=CACHE):
        self.knowledge = prefixes.Knowledge()
        source = random.Random(1)
        self.selector = prefixes.PrefixSelector(
            self.knowledge, pipelines.LeastLoadSelector(source), source
        )
        self.loads = dict.fromkeys(servers, 0)
        self.counts = collections.Counter()
        self.sent = []
        self.limit = 64
        for address in servers:
            self.knowledge.set_cache(address, cache)

    def select(self, prompt, now=0.0):
        offers = [make_offer(a, n, self.limit) for a, n in self.loads.items()]
        chain = self.selector.select_chain(prompt, offers, 4, now)
        return chain[0].offer.address if chain else None

    def start(self, prompt, now=0.0):
        """Sends a prompt to the selected server; returns the server."""
        address = self.select(prompt, now)
        self.loads[address] += 1
        self.counts[address] += 1
        self.sent.append(self.knowledge.record_sent(address, prompt, now))
        return address

    def finish(self, held=None):
        """Ends all prompts in progress."""
        for sent in self.sent:
            reported = sent.unweighted if held is None else held
            self.knowledge.record_run(sent, round(reported))
        self.sent.clear()
        self.loads = dict.fromkeys(self.loads, 0)

    def estimate(self, address, prompt, now=0.0):
        keys = prompt.get_keys(CACHE)
        return self.knowledge.estimate_held(address, keys, now)

    def apply(self, sequence, address="a", **fields):
        news = prefixes.News(
            sequence,
            **{"cache_id": 1, "stored": (), "evicted": (), "stored_blocks": 0}
            | fields,
        )
        return self.knowledge.apply_news(address, news, 0.0)


@pytest.fixture(name="entry")
def make_entry():
    return Entry()


def test_no_shared_prefix_spreads_the_load(entry):
    """Guards against prompts without a common prefix that crowd one server."""
    for number in range(200):
        entry.start(make_prompt(f"{number:0512d}"[::-1]))
    assert max(entry.counts.values()) - min(entry.counts.values()) <= 2


def test_hot_prefix_stays_with_its_idle_holder(entry):
    """Guards against a cold start although the holder of a prefix is idle."""
    first = entry.start(make_shared(0))
    entry.finish()
    for number in range(1, 20):
        assert entry.start(make_shared(number)) == first
        entry.finish()


def test_one_hot_prefix_moves_on_when_its_holder_is_busy(entry):
    """Guards against a hot prefix that brings all load to one server."""
    for number in range(200):
        entry.start(make_shared(number))
        if number % 8 == 7:
            entry.loads = {a: n * 3 // 4 for a, n in entry.loads.items()}
    assert len(entry.counts) == len(SERVERS)
    assert max(entry.counts.values()) < 2 * 200 / len(SERVERS)


@pytest.mark.parametrize(("other_load", "moves"), [(0, True), (8, False)])
def test_prefill_elsewhere_counts_the_streams_it_delays(
    entry, other_load, moves
):
    """Guards against a hot prefix that is computed on every busy server."""
    holder = entry.start(make_shared(0))
    entry.finish()
    entry.loads = dict.fromkeys(SERVERS, other_load)
    entry.loads[holder] = 8
    # The prompts before it keep the holder busy for longer than a prefill.
    for number in range(1, 12):
        entry.knowledge.record_sent(holder, make_shared(number), 0.0)
    assert (entry.select(make_shared(20)) != holder) == moves


def test_full_holder_leaves_the_request_to_others(entry):
    """Guards against a request that waits or fails because of its holder."""
    holder = entry.start(make_shared(0))
    entry.finish()
    entry.loads[holder] = entry.limit
    assert entry.select(make_shared(1)) not in (None, holder)
    entry.loads = dict.fromkeys(SERVERS, entry.limit)
    assert entry.select(make_shared(2)) is None


def test_scarce_memory_lowers_the_saving(entry):
    """Guards against a saving that counts in full when memory is scarce."""
    entry.knowledge.set_cache("a", dataclasses.replace(CACHE, blocks=64))
    prompt = make_prompt("s" * 512)
    entry.knowledge.record_sent("a", prompt, 0.0)
    assert entry.estimate("a", prompt) == 512
    entry.knowledge.record_sent("a", make_prompt("t" * 512), 0.0)
    assert entry.estimate("a", prompt) == pytest.approx(256)
    entry.apply(1, stored_blocks=128)
    assert entry.estimate("a", prompt) == 0


def test_stale_knowledge_decays_to_nothing(entry):
    """Guards against a record that attracts requests forever."""
    prompt = make_prompt("s" * 512)
    entry.knowledge.record_sent("a", prompt, 0.0)
    half = entry.estimate("a", prompt, prefixes.HALF_LIFE_S)
    assert half == pytest.approx(256)
    assert entry.estimate("a", prompt, prefixes.RETENTION_S) == 0


def test_wrong_knowledge_costs_one_slow_start_and_trust(entry):
    """Guards against repeated slow starts on a server whose news is wrong."""
    prompts = [make_prompt(f"{number}" * 512) for number in range(8)]
    for sequence, prompt in enumerate(prompts, 1):
        entry.apply(sequence, stored=prompt.get_keys(CACHE))
    expected = entry.estimate("a", prompts[7])
    for prompt in prompts[:7]:
        entry.start(prompt)
        entry.finish(held=0)
    assert entry.counts["a"] >= 1
    assert entry.estimate("a", prompts[7]) < expected / 2
    # The server has computed the first prompt by now, so that it is held.
    assert entry.estimate("a", prompts[0]) > 0
    for _ in range(20):
        sent = entry.knowledge.record_sent("a", prompts[0], 0.0)
        entry.knowledge.record_run(sent, 512)
    assert entry.estimate("a", prompts[7]) > 0.9 * expected


def test_gap_in_the_events_changes_only_the_count(entry):
    """Guards against a lost event that discards or invents knowledge."""
    prompt = make_prompt("s" * 512)
    keys = prompt.get_keys(CACHE)
    assert entry.apply(1, stored=keys[:4]) == prefixes.Applied(0)
    assert entry.apply(4, stored=keys[4:6]) == prefixes.Applied(2)
    assert entry.apply(5, lost=3) == prefixes.Applied(3)
    assert entry.estimate("a", prompt) == 6 * 64
    assert entry.apply(6, evicted=keys[:1]) == prefixes.Applied(0)
    assert entry.estimate("a", prompt) == 5 * 64


@pytest.mark.parametrize(
    ("address", "fields", "reason"),
    [
        ("x", {"sequence": 3}, "unknown server"),
        ("a", {"sequence": 0}, "out of bounds"),
        ("a", {"sequence": 3, "stored_blocks": -1}, "out of bounds"),
        ("a", {"sequence": 3, "lost": -1}, "out of bounds"),
        ("a", {"sequence": 3, "stored": (7,) * 33}, "out of bounds"),
        ("a", {"sequence": 3, "cache_id": 2}, "another cache"),
        ("a", {"sequence": 2}, "repeated"),
    ],
)
def test_invalid_event_changes_nothing(entry, address, fields, reason):
    """Guards against events out of bounds that change what is known."""
    prompt = make_prompt("s" * 512)
    entry.apply(2, stored=prompt.get_keys(CACHE))
    news = {"evicted": prompt.get_keys(CACHE)} | fields
    assert entry.apply(address=address, **news) == prefixes.Ignored(reason)
    assert entry.estimate("a", prompt) == 512
    assert entry.apply(3) == prefixes.Applied(0)


@pytest.mark.parametrize("cause", ["restarted", "released", "lost"])
def test_server_that_lost_its_cache_holds_nothing(entry, cause):
    """Guards against prefixes of an earlier process, or of released layers."""
    prompt = make_shared(0)
    holder = entry.start(prompt)
    if cause == "lost":
        entry.knowledge.remove_server(holder)
        entry.knowledge.set_cache(holder, None)
        assert entry.knowledge.find_cache(holder) is None
    # A restart and other layers both change the id of the cache.
    cache = dataclasses.replace(CACHE, cache_id=2)
    entry.knowledge.set_cache(holder, cache)
    assert entry.estimate(holder, prompt) == 0
    # Reports on the time before do not count for the new cache.
    entry.finish(held=0)
    assert entry.knowledge.get_pending(holder) == 0
    sent = entry.knowledge.record_sent(holder, prompt, 0.0)
    assert sent.expected == 0
    assert entry.estimate(holder, prompt) == 576


def test_keys_depend_on_all_that_separates_caches():
    """Guards against a hit in the cache of another version or workspace."""
    text = "s" * 256
    isolated = dataclasses.replace(CACHE, is_isolated=True)
    base = make_prompt(text)
    assert len(base.get_keys(CACHE)) == 4
    assert base.get_keys(CACHE) != base.get_keys(isolated)
    other = make_prompt(text, workspace="south")
    assert base.get_keys(CACHE) == other.get_keys(CACHE)
    assert not {*base.get_keys(isolated)} & {*other.get_keys(isolated)}
    newer = make_prompt(text, version="2")
    assert not {*base.get_keys(CACHE)} & {*newer.get_keys(CACHE)}
    longer = make_prompt(text + "t" * 9999)
    assert longer.get_keys(CACHE)[:4] == base.get_keys(CACHE)
    assert len(longer.get_keys(CACHE)) == prefixes.PROMPT_KEYS_LIMIT


def test_records_are_bounded():
    """Guards against memory that grows with the number of prompts."""
    knowledge = prefixes.Knowledge(records_limit=10)
    knowledge.set_cache("a", CACHE)
    for number in range(20):
        knowledge.record_sent("a", make_prompt(f"{number}" * 512), 0.0)
    assert len(knowledge) == 10


@pytest.mark.parametrize(
    "changes",
    [
        {"block": 0},
        {"blocks": 0},
        {"position_s": 0.0},
        {"position_s": float("nan")},
        {"step_s": float("inf")},
        {"step_s": -1.0},
    ],
)
def test_invalid_figures_count_as_no_cache(entry, changes):
    """Guards against figures that make a server infinitely fast or slow."""
    cache = dataclasses.replace(CACHE, **changes)
    entry.knowledge.set_cache("a", cache)
    assert entry.knowledge.find_cache("a") is None
    for _ in range(40):
        entry.start(make_prompt("x"))
    # Without figures of its own it gets the mean ones.
    assert 5 <= entry.counts["a"] <= 15


def test_servers_without_caches_are_selected_by_load():
    """Guards against a setting that changes the selection without caches."""
    entry = Entry(cache=None)
    entry.loads = {"a": 3, "b": 1, "c": 2, "d": 5}
    assert entry.select(make_shared(0)) == "b"


def test_each_layer_range_goes_to_its_holder(entry):
    """Guards against a saving that is only weighed at the first stage."""
    ranges = {"a": (0, 2), "b": (0, 2), "c": (2, 4), "d": (2, 4)}
    prompt = make_shared(0)
    for address in ("b", "c"):
        sent = entry.knowledge.record_sent(address, prompt, 0.0)
        entry.knowledge.record_run(sent, 0)
    offers = [make_offer(a, layers=r) for a, r in ranges.items()]
    chain = entry.selector.select_chain(make_shared(1), offers, 4, 0.0)
    assert [stage.offer.address for stage in chain] == ["b", "c"]
