"""Tests of peridotyard_core.demands."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import demands
import pytest

from tests.support import cases

KEY = demands.Key("model", 1, "north")
TOTAL = demands.Key("model", 1)


def make_report(arrivals=4.0, entries=1.0, age_s=0.0):
    figures = {TOTAL: demands.Figures(arrivals, 2 * arrivals, arrivals)}
    return demands.Report(figures, entries, age_s)


def test_measured_rate_follows_the_arrivals():
    """Guards against a demand that lags behind a surge, or never decays."""
    meters = demands.Meters(0.0)
    for number in range(40):
        meters.record_arrival(KEY, number * 0.25)
    figures = meters.make_report(10.0).figures
    assert figures[TOTAL].arrivals_per_s == pytest.approx(4.0, rel=0.15)
    assert figures[KEY] == figures[TOTAL]
    assert meters.make_report(60.0).figures == {}


def test_first_requests_of_a_process_are_no_surge():
    """Guards against a rate of thousands after one request at the start."""
    meters = demands.Meters(0.0)
    meters.record_arrival(KEY, 0.001)
    assert meters.make_report(0.001).figures[TOTAL].arrivals_per_s < 1.5


def test_need_is_the_rate_times_the_mean_duration():
    """Guards against a need without the requests that were rejected."""
    meters = demands.Meters(0.0)
    for number in range(80):
        now = number * 0.25
        meters.record_arrival(KEY, now)
        if number % 2:
            meters.begin_stream(KEY, now)
            meters.end_stream(KEY, 3.0, now)
    figures = meters.make_report(20.0).figures[TOTAL]
    assert figures.needed == pytest.approx(12.0, rel=0.15)
    assert figures.in_progress == 0


def test_workspaces_are_bounded_and_the_heaviest_are_reported():
    """Guards against memory that grows with the number of workspaces."""
    meters = demands.Meters(0.0)
    hot = demands.Key("model", 1, "hot")
    for number in range(2000):
        now = number * 0.01
        meters.record_arrival(demands.Key("model", 1, f"w{number}"), now)
        meters.record_arrival(hot, now)
    meters.end_stream(hot, 2.0, 20.0)
    figures = meters.make_report(20.0).figures
    names = {key.workspace for key in figures if key.workspace is not None}
    assert len(names) <= demands.REPORTED_WORKSPACES
    assert "hot" in names
    assert len(meters._meters) <= demands.MEASURED_WORKSPACES + 1


def test_weight_of_a_report_falls_with_its_age():
    """Guards against demand that no longer exists."""
    ages = (0.0, 0.5, 1.0, 2.0, 3.0, 60.0)
    weights = [demands.compute_weight(age_s) for age_s in ages]
    assert weights == [1.0, 1.0, 1.0, 0.5, 0.0, 0.0]
    total = demands.sum_reports([make_report(), make_report(age_s=9.0)])
    assert total.entries == 1.0
    assert total.figures[TOTAL].arrivals_per_s == 4.0


def test_entries_without_a_report_are_taken_to_be_like_the_known_ones():
    """Guards against a partitioned entry that takes the fleet to be idle."""
    own = demands.extrapolate(make_report(), 40)
    assert own.figures[TOTAL].arrivals_per_s == pytest.approx(160.0)
    known = demands.sum_reports([make_report(), make_report(100.0, entries=19)])
    whole = demands.extrapolate(known, 40)
    assert whole.figures[TOTAL].arrivals_per_s == pytest.approx(208.0)
    assert demands.extrapolate(make_report(), 0) == make_report()


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 50.0), strategies.floats(0.0, 4.0)
        ),
        max_size=20,
    )
)
def test_subtracted_report_is_never_negative(parts):
    """Guards against negative demand if the own figures have grown."""
    reports = [make_report(rate, age_s=age_s) for rate, age_s in parts]
    total = demands.sum_reports(reports)
    rest = total.subtract(make_report(20.0))
    for value in rest.figures.values():
        assert value.arrivals_per_s >= 0
        assert value.needed >= 0
        assert value.in_progress >= 0
    assert rest.entries >= 0
