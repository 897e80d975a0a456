"""Tests of peridotyard_core.holdings."""

import random

from peridotyard_core import holdings
import pytest

KIB = 1 << 10
LIMIT = 1 << 20
LARGE_LIMIT = int(LIMIT * holdings.LARGE_SHARE)


@pytest.fixture
def budget():
    return holdings.Budget(LIMIT)


def open_stalled(budget, count, size):
    """Returns holdings of one client, in the order of their last progress."""
    stalled = [budget.open("crowd", float(n)) for n in range(count)]
    for holding in stalled:
        assert budget.grow(holding, size, 0.0) == holdings.Granted()
    return stalled


def test_stalled_bodies_give_way_to_a_body_in_progress(budget):
    """Guards against a crowd that stops short of the end and keeps others out.

    The one without progress for the longest time is dropped first.
    """
    crowd = open_stalled(budget, 7, 100 * KIB)
    ordinary = budget.open("caller", 20.0)
    granted = budget.grow(ordinary, 150 * KIB, 20.0)
    assert granted == holdings.Granted((crowd[0],))
    assert [holding.is_dropped for holding in crowd] == [True] + 6 * [False]
    assert budget.held_bytes == 750 * KIB


def test_bodies_that_all_make_progress_are_dropped_by_size(budget):
    """Guards against small requests refused beside many large uploads."""
    now = 5.0
    crowd = [budget.open("crowd", now) for _ in range(6)]
    for number, holding in enumerate(crowd):
        budget.grow(holding, (120 + number) * KIB, now)
    small = budget.open("caller", now)
    assert budget.grow(small, 2 * KIB, now) == holdings.Granted()
    large = budget.open("caller", now)
    granted = budget.grow(large, 40 * KIB, now)
    assert granted == holdings.Granted((crowd[-1],))


def test_largest_holder_is_denied_for_itself(budget):
    """Guards against an upload that drops the smaller ones of others."""
    others = [budget.open(f"caller-{n}", 0.0) for n in range(6)]
    for holding in others:
        budget.grow(holding, 100 * KIB, 0.0)
    large = budget.open("crowd", 0.0)
    assert budget.grow(large, 160 * KIB, 0.5) == holdings.Granted()
    assert budget.grow(large, 100 * KIB, 0.5) == holdings.Denied()
    assert not any(holding.is_dropped for holding in others)


def test_client_that_holds_most_is_dropped_before_others(budget):
    """Guards against one client that crowds out the bodies of all others."""
    now = 0.0
    single = budget.open("caller", now)
    budget.grow(single, 200 * KIB, now)
    crowd = [budget.open("crowd", now) for _ in range(5)]
    for holding in crowd:
        budget.grow(holding, 100 * KIB, now)
    other = budget.open("other", now)
    granted = budget.grow(other, 100 * KIB, now)
    assert isinstance(granted, holdings.Granted)
    assert set(granted.dropped) <= set(crowd)
    assert not single.is_dropped


def test_bodies_in_service_are_not_dropped(budget):
    """Guards against a request that loses its body while it runs."""
    running = budget.open("caller", 0.0)
    budget.grow(running, LARGE_LIMIT, 0.0)
    running.is_droppable = False
    other = budget.open("other", 100.0)
    assert budget.grow(other, 64 * KIB, 100.0) == holdings.Denied()
    assert budget.grow(other, 16 * KIB, 100.0) == holdings.Granted()
    budget.close(running)
    assert budget.grow(other, 64 * KIB, 100.0) == holdings.Granted()


def test_single_bytes_are_no_progress(budget):
    """Guards against bodies kept alive by a byte now and then."""
    slow = budget.open("crowd", 0.0)
    budget.grow(slow, 700 * KIB, 0.0)
    for second in range(1, 10):
        slow.record_progress(1, float(second))
    ordinary = budget.open("caller", 10.0)
    assert budget.grow(ordinary, 100 * KIB, 10.0) == holdings.Granted((slow,))


def test_dropped_holding_gets_nothing_more(budget):
    """Guards against memory that is used but not counted."""
    (slow,) = open_stalled(budget, 1, 700 * KIB)
    budget.grow(budget.open("caller", 5.0), 200 * KIB, 5.0)
    assert slow.is_dropped
    assert budget.grow(slow, 1, 5.0) == holdings.Denied()
    budget.close(slow)
    assert budget.held_bytes == 200 * KIB


def test_sum_stays_below_the_limit_in_any_order():
    """Guards against a sum that drifts from what the holdings have."""
    source = random.Random(1)
    budget = holdings.Budget(LIMIT)
    kept = []
    now = 0.0
    for _ in range(5000):
        now += source.random()
        match source.randrange(4):
            case 0:
                kept.append(budget.open(source.choice("abc"), now))
            case 1 if kept:
                budget.close(kept.pop(source.randrange(len(kept))))
            case _ if kept:
                holding = source.choice(kept)
                holding.is_droppable = source.random() < 0.8
                count = source.randrange(100 * KIB)
                budget.grow(holding, count, now)
                holding.record_progress(count, now)
        assert budget.held_bytes <= LIMIT
        assert budget.held_bytes == sum(h.held_bytes for h in kept)
