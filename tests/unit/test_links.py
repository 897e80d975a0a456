"""Tests of peridotyard_core.links."""

import random

import hypothesis
from hypothesis import strategies
from peridotyard_core import links

from tests.support import cases
from tests.support import fleets

ENTRIES = 20
# Time without an event after which callers leave, and the latency objective.
CALLER_LIMIT_S = 2.4
OBJECTIVE_S = 0.6
# Time after which a refused caller returns; it returns once.
RETURN_S = 2.0
TICK_S = 0.01


def simulate(load_of, duration_s: float, is_limited: bool) -> list[float]:
    """Simulates streams over a link that sends one prompt after another.

    Args:
        load_of: Function that returns the requests per second at a time, as a
            multiple of those that the link carries.
        duration_s: Duration of the simulation, seconds.
        is_limited: Whether the entries use only their share of the link.

    Returns:
        Times of the first events that were in time.
    """
    rate_per_s = links.compute_rate(fleets.make_engine())
    transfer_s = links.USED_PART / rate_per_s
    shares = [
        links.LinkShare(random.Random(number)) for number in range(ENTRIES)
    ]
    link_free_at = 0.0
    in_time = []
    returning: list[float] = []
    due, number = 0.0, 0
    for tick in range(round(duration_s / TICK_S)):
        now = tick * TICK_S
        due += load_of(now) / transfer_s * TICK_S
        new = int(due)
        due -= new
        returned = sum(at <= now for at in returning)
        returning = [at for at in returning if at > now]
        for index in range(new + returned):
            number += 1
            share = shares[number % ENTRIES]
            entry_rate = rate_per_s / ENTRIES
            if is_limited and not share.has_room(entry_rate, now):
                if index < new:
                    returning.append(now + RETURN_S)
                continue
            share.record_changes(1, entry_rate, now)
            if max(link_free_at, now) - now > CALLER_LIMIT_S:
                # The caller leaves before its prompt is sent completely. A
                # part of the prompt has been sent by then.
                link_free_at += 0.5 * transfer_s
                continue
            link_free_at = max(link_free_at, now) + transfer_s
            if link_free_at - now <= OBJECTIVE_S:
                in_time.append(link_free_at)
    return in_time


def count_per_s(times: list[float], first_s: float, last_s: float) -> float:
    """Returns the number of times in a span, per second."""
    return sum(first_s <= at < last_s for at in times) / (last_s - first_s)


def make_burst(now: float) -> float:
    """Returns the load of a burst of twice the capacity, from 5 to 25 s."""
    return 2.0 if 5.0 <= now < 25.0 else 0.5


def test_streams_over_a_saturated_link_stay_near_its_capacity():
    """Guards against a collapse while no zone has all layers (overload-c).

    All streams then change zones, and none of them had an event in time.
    """
    rate_per_s = links.compute_rate(fleets.make_engine())
    limited = simulate(make_burst, 40.0, is_limited=True)
    assert count_per_s(limited, 8.0, 25.0) >= 0.9 * rate_per_s
    normal = 0.5 * rate_per_s / links.USED_PART
    assert count_per_s(limited, 28.0, 38.0) >= 0.95 * normal
    unlimited = simulate(make_burst, 40.0, is_limited=False)
    assert count_per_s(unlimited, 8.0, 25.0) <= 0.1 * rate_per_s


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    rate_per_s=strategies.floats(0.01, 50.0),
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 2.0),
            strategies.integers(1, 3),
            strategies.booleans(),
        ),
        max_size=100,
    ),
)
def test_new_streams_stay_within_the_share(rate_per_s, steps):
    """Guards against more zone changes than the share, whatever is resumed."""
    share = links.LinkShare(random.Random(0))
    now, used = 0.0, 0
    for pause_s, changes, has_begun in steps:
        now += pause_s
        if has_begun:
            # Streams that have begun are never refused.
            share.record_changes(changes, rate_per_s, now)
            used += changes
        elif share.has_room(rate_per_s, now):
            share.record_changes(changes, rate_per_s, now)
            used += changes
            # Each share is rounded up by less than one.
            shares = 1 + int(now / links.INTERVAL_S)
            saved = links.SAVED_S * rate_per_s
            assert used <= saved + rate_per_s * now + shares + changes


def test_many_entries_use_no_more_than_the_links_carry_at_once():
    """Guards against the saved shares of thousands of idle entries."""
    entries, rate_per_s = 3712, 20.0
    shares = [links.LinkShare(random.Random(n)) for n in range(entries)]
    allowed = sum(s.has_room(rate_per_s / entries, 100.0) for s in shares)
    assert allowed <= 2 * rate_per_s * links.SAVED_S


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    rate_per_s=strategies.floats(0.01, 50.0),
    changes=strategies.integers(1, 20),
)
def test_share_is_usable_again_after_streams_that_have_begun(
    rate_per_s, changes
):
    """Guards against an entry that never uses the links again."""
    share = links.LinkShare(random.Random(0))
    share.record_changes(changes, rate_per_s, 0.0)
    later = changes / rate_per_s + links.INTERVAL_S
    # A share of less than one is rounded up with that probability.
    draws = 50 + round(50 / rate_per_s)
    assert any(
        share.has_room(rate_per_s, later + draw * links.INTERVAL_S)
        for draw in range(draws)
    )


def test_links_of_unknown_bandwidth_are_not_limited():
    engine = fleets.make_engine(zone_link_mbps=0.0)
    rate_per_s = links.compute_rate(engine)
    share = links.LinkShare(random.Random(0))
    for _ in range(100):
        assert share.has_room(rate_per_s, 0.0)
        share.record_changes(3, rate_per_s, 0.0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 2), strategies.integers(0, 3)),
        max_size=20,
    ),
    strategies.floats(0.1, 10),
)
@hypothesis.settings(**cases.DERANDOMIZED)
def test_estimated_chance_is_that_of_the_next_decision(steps, rate_per_s):
    """Guards against an explained room on the links that a request lacks."""
    share = links.LinkShare(random.Random(0))
    now = 0.0
    for elapsed_s, changes in steps:
        now += elapsed_s
        share.record_changes(changes, rate_per_s, now)
        now += elapsed_s
        chance = share.estimate_chance(rate_per_s, now)
        assert share.estimate_chance(rate_per_s, now) == chance
        if share.has_room(rate_per_s, now):
            assert chance > 0
        else:
            assert chance < 1
        # The decision holds until the next interval.
        settled = float(share.has_room(rate_per_s, now))
        assert share.estimate_chance(rate_per_s, now) == settled


def test_estimated_chance_is_the_share_of_draws_with_room():
    """Guards against a chance that is not that of the random draw."""
    drawn = [
        links.LinkShare(random.Random(seed)).has_room(0.3, 1.0)
        for seed in range(2000)
    ]
    chance = links.LinkShare(random.Random(0)).estimate_chance(0.3, 1.0)
    assert abs(sum(drawn) / len(drawn) - chance) < 0.05
