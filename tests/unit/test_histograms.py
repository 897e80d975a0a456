"""Tests of peridotyard_core.histograms."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import histograms
import pytest


def make_key(workspace, figure="first_token", priority="normal"):
    return histograms.Key(figure, workspace, priority)


def test_percentiles():
    """Guards against seconds that are recorded as milliseconds."""
    item = histograms.HistogramSet()
    for number in range(1, 101):
        item.record(make_key("north"), number / 100)
    (summary,) = item.summarize()
    assert summary.count == 100
    # Two significant digits, so 1% above the exact value.
    assert summary.p50_ms == pytest.approx(500, rel=0.01)
    assert summary.p95_ms == pytest.approx(950, rel=0.01)
    assert summary.p99_ms == pytest.approx(990, rel=0.01)
    assert summary.max_ms == pytest.approx(1000, rel=0.01)


@pytest.mark.parametrize(
    ("duration_s", "expected_ms"),
    [(-1, 1), (0, 1), (0.0001, 1), (119, 119_000), (1e6, 120_000)],
)
def test_durations_out_of_range_are_clamped(duration_s, expected_ms):
    """Guards against an outlier that is lost or raises an exception."""
    item = histograms.HistogramSet()
    item.record(make_key("north"), duration_s)
    (summary,) = item.summarize()
    assert summary.max_ms == pytest.approx(expected_ms, rel=0.01)


def test_least_recently_used_is_merged():
    """Guards against evicting a workspace that is in use."""
    item = histograms.HistogramSet(limit=2)
    item.record(make_key("busy"), 0.1)
    item.record(make_key("idle"), 0.2)
    item.record(make_key("busy"), 0.1)
    item.record(make_key("new"), 0.3)
    counts = {s.key.workspace: s.count for s in item.summarize()}
    assert counts == {"busy": 2, "new": 1, histograms.OTHER: 1}


@hypothesis.settings(derandomize=True, database=None, max_examples=100)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 30),
            strategies.sampled_from(["first_token", "between_tokens"]),
            strategies.sampled_from(["high", "normal", "low"]),
        ),
        max_size=200,
    ),
    strategies.integers(1, 10),
)
def test_no_count_is_lost_and_memory_is_bounded(records, limit):
    """Guards against memory that grows with the number of workspaces."""
    item = histograms.HistogramSet(limit)
    for number, figure, priority in records:
        item.record(make_key(f"w{number}", figure, priority), 0.01)
    summaries = item.summarize()
    assert sum(summary.count for summary in summaries) == len(records)
    # One histogram for evicted workspaces for each figure and priority.
    merged = {(figure, priority) for _, figure, priority in records}
    assert len(summaries) <= limit + len(merged)
