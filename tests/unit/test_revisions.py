"""Tests of peridotyard_core.revisions."""

import random

from peridotyard_core import configuration
from peridotyard_core import revisions
import pytest


def make_record(name, revision, weight=1):
    value = weight and configuration.Workspace(name, weight=weight)
    return configuration.Record("workspace", name, revision, value or None)


def make_delta(since, *records, full=False):
    revision = max(record.revision for record in records)
    return revisions.Delta(since, revision, records, full)


def apply_all(*deltas):
    current = configuration.Configuration()
    for delta in deltas:
        current = revisions.apply_delta(current, delta)
    return current


def test_older_revision_and_gap_are_not_applied():
    """Guards against a peer with an older revision that reverts a change."""
    current = apply_all(make_delta(0, make_record("a", 5, 2), full=True))
    for delta in (
        make_delta(0, make_record("a", 4), full=True),
        make_delta(0, make_record("a", 5), full=True),
        make_delta(6, make_record("a", 7)),
    ):
        assert revisions.apply_delta(current, delta) is current


def test_delta_from_before_the_current_revision_changes_only_what_is_newer():
    """Guards against a delta that overwrites a newer or deleted object."""
    current = apply_all(
        make_delta(0, make_record("a", 1), make_record("b", 2)),
        make_delta(2, make_record("a", 3, weight=0)),
    )
    later = revisions.apply_delta(
        current,
        make_delta(
            0, make_record("a", 1), make_record("b", 2), make_record("c", 4)
        ),
    )
    assert later.revision == 4
    assert {name for _, name in later.objects} == {"b", "c"}


def test_history_makes_the_same_configuration_from_any_revision():
    """Guards against peers that have different objects at one revision."""
    history = revisions.History(limit=4)
    states = [configuration.Configuration()]
    for number in range(1, 11):
        name = "abc"[number % 3]
        delta = make_delta(
            number - 1, make_record(name, number, weight=number % 4)
        )
        history.add(states[-1].revision, delta)
        states.append(revisions.apply_delta(states[-1], delta))
    for state in states[:-1]:
        delta = history.make_delta(states[-1], state.revision)
        assert revisions.apply_delta(state, delta) == states[-1]
        assert delta.full == (state.revision < 6)


@pytest.mark.parametrize("processes", [1000, 14000])
def test_total_poll_rate_is_independent_of_the_processes(processes):
    """Guards against a large fleet whose polls overload the table service."""
    source = random.Random(0)
    intervals = [
        revisions.choose_poll_interval(processes, 1.0, source)
        for _ in range(5000)
    ]
    rate = processes * len(intervals) / sum(intervals)
    assert rate == pytest.approx(revisions.TOTAL_POLLS_PER_S, rel=0.02)
    assert len(set(intervals)) > 4000


def test_few_processes_poll_at_the_set_interval():
    """Guards against a small deployment that polls more often than set."""
    source = random.Random(0)
    for _ in range(100):
        interval_s = revisions.choose_poll_interval(3, 2.0, source)
        assert 1.0 <= interval_s <= 3.0


def test_push_targets_and_lagging_processes_are_those_behind():
    """Guards against a wait that ends before all processes are up to date."""
    assert revisions.choose_push_targets({"a": 3, "b": 4}, 4) == ["a"]
    reports = [
        revisions.Report("done", "entry", 4, 29.0),
        revisions.Report("behind", "sidecar", 3, 0.1),
        revisions.Report("silent", "sidecar", 2, 29.0),
        revisions.Report("ended", "sidecar", 2, 31.0),
    ]
    lagging = revisions.find_lagging(reports, 4)
    assert [report.instance for report in lagging] == ["silent", "behind"]
