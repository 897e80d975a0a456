"""Tests of peridotyard_core.silences."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import silences
import pytest

from tests.support import cases

WEIGHT = 0.2


def observe(gaps_s):
    """Returns the gaps of a stream after all of these."""
    gaps = silences.Gaps.from_first(gaps_s[0])
    for gap_s in gaps_s[1:]:
        gaps = gaps.add(gap_s, WEIGHT)
    return gaps


def test_missing_event_of_a_regular_stream_is_noticed_early():
    """Guards against a regular stream that waits like any other one."""
    gaps = observe([0.05] * 20)
    assert gaps.compute_early_limit(0.125) == pytest.approx(0.075)


@pytest.mark.parametrize("count", [1, 3])
def test_new_stream_has_no_early_check(count):
    """Guards against checks after gaps that say nothing yet."""
    assert observe([0.05] * count).compute_early_limit(0.125) is None


def test_irregular_stream_has_no_early_check():
    """Guards against connections for each longer step of a busy server."""
    gaps = observe([0.03, 0.07, 0.05, 0.09, 0.02, 0.06] * 5)
    assert gaps.compute_early_limit(2.5 * gaps.mean_s) is None


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    gaps_s=strategies.lists(strategies.floats(0, 2), min_size=1, max_size=30),
    usual_s=strategies.floats(0, 2),
)
def test_early_limit_is_above_the_usual_gaps_and_below_the_usual_limit(
    gaps_s, usual_s
):
    """Guards against checks in the normal course of any stream."""
    gaps = observe(gaps_s)
    limit_s = gaps.compute_early_limit(usual_s)
    if limit_s is not None:
        assert limit_s < usual_s
        assert limit_s >= silences.MIN_S
        assert limit_s >= gaps.mean_s + gaps.deviation_s


def test_connections_of_fruitless_checks_are_a_small_share():
    """Guards against checks that load the servers of a busy fleet."""
    credit = silences.Credit()
    opened = 0
    for _ in range(10000):
        credit.earn()
        opened += credit.try_spend()
    assert opened <= silences.MAX_CREDIT + 10000 * silences.CREDIT_SHARE


def test_connections_that_find_lost_servers_are_not_limited():
    """Guards against late detection when many servers are lost."""
    credit = silences.Credit()
    for _ in range(1000):
        assert credit.try_spend()
        credit.refund()
