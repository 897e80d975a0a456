"""Tests of peridotyard_core.pauses."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import pauses
import pytest

from tests.support import cases

Mark, Stage, Cause = pauses.Mark, pauses.Stage, pauses.Cause


def analyze(*items, next_event_ms):
    """Returns the pause of marks with times in ms, its stages in ms."""
    marks = [pauses.TimedMark(mark, ms / 1000) for mark, ms in items]
    pause = pauses.analyze_pause(marks, next_event_ms / 1000)
    return pause.cause, {
        stage: round(1000 * duration_s)
        for stage, duration_s in pause.stages.items()
    }


REPAIRED = (
    (Mark.LAST_EVENT, 0),
    (Mark.CALLER_READY, 1),
    (Mark.SILENT, 101),
    (Mark.PROBE_SENT, 101),
    (Mark.PROBE_RESULT, 151),
    (Mark.SERVER_LOST, 151),
    (Mark.DECIDED, 153),
    (Mark.ORDER_SENT, 153),
    (Mark.ACCEPTED, 160),
)


def test_repaired_path_has_all_stages():
    """Guards against a part of a pause that is ascribed to another stage."""
    cause, stages = analyze(*REPAIRED, next_event_ms=240)
    assert cause is Cause.SERVER_LOST
    assert stages == {
        Stage.CALLER: 1,
        Stage.SILENCE: 100,
        Stage.PROBE: 50,
        Stage.DECISION: 2,
        Stage.ORDER: 7,
        Stage.RESUME: 80,
    }


def test_checks_while_a_path_resumes_belong_to_the_resumption():
    """Guards against a long prefill that looks like a long probe."""
    checks = [(Mark.SILENT, 200), (Mark.PROBE_SENT, 200)]
    checks.append((Mark.PROBE_RESULT, 230))
    _, stages = analyze(*REPAIRED, *checks, next_event_ms=360)
    assert stages[Stage.RESUME] == 200
    assert stages[Stage.PROBE] == 50


def test_checks_of_a_sound_path_belong_to_its_silence():
    """Guards against a slow server that looks like a slow probe."""
    cause, stages = analyze(
        (Mark.LAST_EVENT, 0),
        (Mark.SILENT, 100),
        (Mark.PROBE_SENT, 100),
        (Mark.PROBE_RESULT, 140),
        next_event_ms=500,
    )
    assert cause is Cause.SLOW_SERVER
    assert stages == {Stage.SILENCE: 500}


def test_lost_connection_has_a_decision_and_an_order():
    """Guards against a new request whose stages are not told apart."""
    cause, stages = analyze(
        (Mark.LAST_EVENT, 0),
        (Mark.SILENT, 30),
        (Mark.PROBE_SENT, 30),
        (Mark.PROBE_RESULT, 31),
        (Mark.SERVER_LOST, 31),
        (Mark.DECIDED, 36),
        (Mark.REQUEST_SENT, 38),
        (Mark.ACCEPTED, 40),
        next_event_ms=90,
    )
    assert cause is Cause.SERVER_LOST
    assert stages == {
        Stage.SILENCE: 30,
        Stage.PROBE: 1,
        Stage.DECISION: 5,
        Stage.ORDER: 4,
        Stage.RESUME: 50,
    }


@pytest.mark.parametrize(
    ("marks", "cause"),
    [
        ((Mark.SERVER_LOST, Mark.REFUSED, Mark.ACCEPTED), Cause.REJECTED),
        ((Mark.SERVER_LOST, Mark.SECOND_PATH), Cause.SECOND_PATH),
        ((Mark.SERVER_LOST, Mark.ACCEPTED), Cause.SERVER_LOST),
        ((Mark.ORDER_SENT, Mark.ACCEPTED), Cause.PATH_CHANGED),
        ((), Cause.SLOW_SERVER),
    ],
)
def test_cause_follows_from_the_marks(marks, cause):
    """Guards against a cause that hides what made the pause long."""
    items = [(mark, 10 * n) for n, mark in enumerate(marks, 1)]
    found, _ = analyze((Mark.LAST_EVENT, 0), *items, next_event_ms=400)
    assert found is cause


@pytest.mark.parametrize(
    ("ready_ms", "cause"), [(300, Cause.CALLER), (100, Cause.SLOW_SERVER)]
)
def test_caller_that_does_not_read_is_told_apart(ready_ms, cause):
    """Guards against servers that are blamed for a caller's slow link."""
    found, stages = analyze(
        (Mark.LAST_EVENT, 0), (Mark.CALLER_READY, ready_ms), next_event_ms=400
    )
    assert found is cause
    assert stages[Stage.CALLER] == ready_ms


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    marks=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(list(Mark)), strategies.integers(0, 90)
        ),
        max_size=2 * pauses.MAX_MARKS,
    ),
    last_ms=strategies.integers(0, 90),
)
def test_stages_of_any_marks_add_up(marks, last_ms):
    """Guards against time that no stage accounts for, whatever the order."""
    recorder = pauses.Recorder()
    assert recorder.record_event(1.0, 0.01) is None
    now_ms = 1000
    for mark, step_ms in marks:
        now_ms += step_ms
        recorder.add(mark, now_ms / 1000)
    now_ms += last_ms
    pause = recorder.record_event(now_ms / 1000, 0.01)
    if pause is None:
        assert now_ms <= 1010
        return
    assert sum(pause.stages.values()) == pytest.approx(pause.duration_s)
    assert min(pause.stages.values()) > 0
    assert pause.duration_s == pytest.approx((now_ms - 1000) / 1000)


def test_marks_before_the_first_event_and_too_many_are_dropped():
    """Guards against marks of a stream that grow without bound."""
    recorder = pauses.Recorder()
    recorder.add(Mark.SILENT, 0.0)
    assert recorder.record_event(5.0, 0.2) is None
    for number in range(10 * pauses.MAX_MARKS):
        recorder.add(Mark.SILENT, 5.0 + number)
    assert len(recorder._marks) == pauses.MAX_MARKS


@pytest.mark.parametrize(("limit_s", "is_found"), [(0.0, False), (0.2, True)])
def test_pause_is_reported_only_above_an_objective(limit_s, is_found):
    """Guards against reports for routes that state no objective."""
    recorder = pauses.Recorder()
    recorder.record_event(1.0, limit_s)
    assert recorder.record_event(1.1, limit_s) is None
    assert (recorder.record_event(1.5, limit_s) is not None) == is_found


def test_reports_per_second_are_bounded_and_the_rest_is_counted():
    """Guards against a flood of equal lines when a server is lost."""
    limit = pauses.ReportLimit()
    admitted = [limit.admit(3.0 + n / 100) for n in range(100)]
    assert [n for n in admitted if n is not None] == [0] * pauses.REPORTS_PER_S
    assert limit.admit(4.0) == 100 - pauses.REPORTS_PER_S
    assert limit.admit(4.1) == 0
