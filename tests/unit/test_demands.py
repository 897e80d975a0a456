"""Tests of the modules demands of peridotyard_core and of the daemon."""

import random

import hypothesis
from hypothesis import strategies
import logbook
from peridotyard_core import demands
from peridotyard_core import fleet
from peridotyard_daemon.process import demands as demands_module
from peridotyard_daemon.process import views
from peridotyard_daemon.wire.generated import ttypes
import pytest
import trio

from tests.support import cases
from tests.support import fleets
from tests.support import gateways

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
    assert meters.make_report(120.0).figures == {}
    assert not meters._meters


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
            meters.end_stream(KEY, 3.0)
    figures = meters.make_report(20.0).figures[TOTAL]
    assert figures.needed == pytest.approx(12.0, rel=0.15)
    assert figures.in_progress == 0


def test_streams_that_full_servers_refuse_do_not_shorten_the_mean():
    """Guards against a need that is too low the more streams are refused."""
    meters = demands.Meters(0.0)
    for number in range(80):
        now = number * 0.25
        meters.record_arrival(KEY, now)
        meters.begin_stream(KEY, now)
        meters.end_stream(KEY, None if number % 4 else 3.0)
    figures = meters.make_report(20.0).figures[TOTAL]
    assert figures.needed == pytest.approx(12.0, rel=0.15)


def test_workspaces_are_bounded_and_the_heaviest_are_reported():
    """Guards against memory that grows with the number of workspaces."""
    meters = demands.Meters(0.0)
    hot = demands.Key("model", 1, "hot")
    for number in range(2000):
        now = number * 0.01
        meters.record_arrival(demands.Key("model", 1, f"w{number}"), now)
        meters.record_arrival(hot, now)
    meters.end_stream(hot, 2.0)
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


def make_shares(counts=None, priorities=(0, 9)):
    """Returns the shares of an entry with one server."""
    view = views.View("a", random.Random(0))
    view.apply_routing(gateways.make_routing(priorities), "test")
    view.entry_count = 40
    view.apply_server(
        fleets.make_server("x", layer_range=fleet.LayerRange(0, 10))
    )
    view.apply_server(
        fleets.make_server(
            "y",
            layer_range=fleet.LayerRange(10, 20),
            address=fleets.make_server("z").address,
        )
    )
    count = (lambda _: None) if counts is None else counts.append
    return demands_module.CapacityShares(view, count)


def make_message(*records, entries=39000, age_ms=0):
    return ttypes.DemandReport(
        [ttypes.Demand(*record) for record in records], entries, age_ms
    )


HIGH_NEED = ("model", 0, None, 9000, 13000, 2000)
LOW_NEED = ("model", 9, None, 30000, 60000, 9000)
LOW_KEY = demands.Key("model", 9, "north")


@cases.run_on_virtual_clock
async def test_report_of_others_is_used_for_three_seconds():
    """Guards against capacity withheld for callers of a lost entry."""
    shares = make_shares()
    shares.apply_report("hub", make_message(HIGH_NEED, LOW_NEED))
    assert shares.get_withheld(LOW_KEY) > 0.3
    await trio.sleep(3.1)
    assert shares.get_withheld(LOW_KEY) == 0
    shares.apply_report("hub", make_message(HIGH_NEED, LOW_NEED, age_ms=3000))
    await trio.sleep(1)
    assert shares.get_withheld(LOW_KEY) == 0


@cases.run_on_virtual_clock
async def test_own_demand_is_subtracted_from_the_sum_of_all():
    """Guards against an entry that counts its own requests twice."""
    shares = make_shares()
    for _ in range(4):
        shares.record_arrival(demands.Key("model", 0, "north"))
        shares.begin_stream(demands.Key("model", 0, "north"))
    await trio.sleep(0.5)
    sent = shares.make_due_report("primary", 0.45)
    assert shares.make_due_report("primary", 0.45) is None
    record = next(item for item in sent.demands if item.workspace is None)
    assert record.in_progress == 4000
    total = ("model", 0, None, record.arrivals, record.needed, 20000)
    shares.apply_report("hub", make_message(total, entries=40000), True)
    rows = [row for row in shares.describe() if row["workspace"] is None]
    assert [row["streams"] for row in rows] == [20.0]
    assert rows[0]["entries"] == 40


@cases.run_on_virtual_clock
async def test_service_with_one_priority_is_not_measured():
    """Guards against reports on services for which nobody competes."""
    shares = make_shares()
    plain = demands.Key("plain", 1, "north")
    for key in (plain, LOW_KEY):
        shares.record_arrival(key)
        shares.begin_stream(key)
        shares.end_stream(key, 1.0)
    sent = shares.make_due_report("primary", 0.45)
    assert {record.service for record in sent.demands} == {"model"}


INVALID_MESSAGES = [
    make_message(("other", 0, None, 1, 1, 1)),
    make_message(("model", 10, None, 1, 1, 1)),
    make_message(("model", -1, None, 1, 1, 1)),
    make_message(("model", 0, None, -1, 1, 1)),
    make_message(("model", 0, None, 1, 2**31 - 1, 1)),
    make_message(("model", 0, "x" * 1000, 1, 1, 1)),
    make_message(HIGH_NEED, entries=-5),
    make_message(HIGH_NEED, age_ms=-5),
    make_message(*(5000 * [HIGH_NEED])),
]


@pytest.mark.parametrize("message", INVALID_MESSAGES)
@cases.run_on_virtual_clock
async def test_invalid_demand_is_counted_and_ignored(message):
    """Guards against an entry that withholds capacity on wrong values."""
    counts = []
    shares = make_shares(counts)
    shares.apply_report("hub", message)
    assert counts == ["invalid_demands"]
    if len(message.demands) == 1:
        assert shares.describe() == []


@cases.run_on_virtual_clock
async def test_shares_are_computed_a_few_times_a_second(monkeypatch):
    """Guards against work for each request that grows with the servers."""
    shares = make_shares()
    shares.apply_report("hub", make_message(HIGH_NEED, LOW_NEED))
    calls = []
    compute = demands_module.shares.compute_shares
    monkeypatch.setattr(
        demands_module.shares,
        "compute_shares",
        lambda *arguments: calls.append(1) or compute(*arguments),
    )
    for _ in range(200):
        shares.get_withheld(LOW_KEY)
        shares.may_begin(LOW_KEY)
        await trio.sleep(0.005)
    assert len(calls) <= 5


@cases.run_on_virtual_clock
async def test_released_capacity_is_divided_among_the_entries():
    """Guards against entries that all take the same free capacity."""
    shares = make_shares()
    began = 0
    for _ in range(400):
        shares.record_arrival(LOW_KEY)
        # One of 40 entries, with a hundredth of the low requests.
        others = ("model", 9, None, 990000, 990000, 13000)
        shares.apply_report("hub", make_message(HIGH_NEED, others))
        if shares.may_begin(LOW_KEY):
            began += 1
            shares.begin_stream(LOW_KEY)
            shares.end_stream(LOW_KEY, 1.0)
        await trio.sleep(0.1)
    assert 1 <= began <= 40


@cases.run_on_virtual_clock
async def test_begin_and_end_of_withholding_are_logged_once():
    """Guards against a line for each computation."""
    shares = make_shares()
    with logbook.TestHandler().applicationbound() as handler:
        for _ in range(8):
            shares.apply_report("hub", make_message(HIGH_NEED, LOW_NEED))
            shares.get_withheld(LOW_KEY)
            await trio.sleep(0.5)
        for _ in range(20):
            shares.get_withheld(LOW_KEY)
            await trio.sleep(0.5)
    texts = [text for text in handler.formatted_records if "withheld" in text]
    assert len(texts) == 2
    assert "capacity withheld from lower priorities" in texts[0]
    assert "capacity no longer withheld" in texts[1]
