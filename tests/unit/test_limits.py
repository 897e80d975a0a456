"""Tests of peridotyard_core.limits."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import limits

from tests.support import cases

# Window in which requests are counted, and how far they may exceed the limit.
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


def simulate(rate_per_s, inquiries) -> list[float]:
    """Returns the times of the granted requests.

    Args:
        rate_per_s: Limit of the server.
        inquiries: Pause before each inquiry and its longest wait, seconds.
    """
    bucket = limits.RequestRate(0.0)
    now = 0.0
    sent_at = []
    for pause_s, max_wait_s in inquiries:
        now += pause_s
        match bucket.reserve(rate_per_s, max_wait_s, now):
            case limits.Granted(wait_s=wait_s):
                assert wait_s <= max_wait_s
                sent_at.append(now + wait_s)
            case limits.Denied(wait_s=wait_s):
                assert wait_s > max_wait_s
    return sorted(sent_at)


def count_most(sent_at: list[float]) -> int:
    """Returns the largest number of requests in a window."""
    return max(
        (sum(t <= at < t + WINDOW_S for at in sent_at) for t in sent_at),
        default=0,
    )


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    rate_per_s=strategies.floats(0.0, 50.0),
    inquiries=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 3.0), strategies.sampled_from([0.0, 0.2])
        ),
        max_size=200,
    ),
)
def test_requests_stay_within_the_limit(rate_per_s, inquiries):
    rate_per_s = max(rate_per_s, limits.MIN_RATE_PER_S)
    most = count_most(simulate(rate_per_s, inquiries))
    assert most <= EXCESS_FACTOR * WINDOW_S * rate_per_s + EXCESS_REQUESTS


def test_limit_is_used_up_while_more_is_asked_for():
    sent_at = simulate(1.0, [(0.05, 0.0)] * 2000)
    assert 95 <= len(sent_at) <= 101


def test_server_with_the_limit_zero_is_asked_now_and_then():
    sent_at = simulate(0.0, [(0.1, 0.0)] * 600)
    assert 14 <= len(sent_at) <= 16


def test_new_coordinator_begins_without_unused_requests():
    bucket = limits.RequestRate(100.0)
    assert bucket.reserve(2.0, 0.0, 100.0) == limits.Denied(0.5)
