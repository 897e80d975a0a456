"""Tests of peridotyard_emulator.load and callers."""

import json
import random

from peridotyard_core import addresses
from peridotyard_daemon.connection import http
from peridotyard_emulator import callers
from peridotyard_emulator import load
import pytest
import trio

PROMPT = callers.Prompt("m", 12, "Summarize plot 7.", 3, 40)


def make_response(**values) -> callers.Response:
    values = {
        "status": 200,
        "text": PROMPT.generate(),
        "is_complete": True,
        "sent_s": 1.0,
        "arrivals_s": (1.5, 1.6, 1.8),
    } | values
    return callers.Response(**values)


def test_rate_rises_twentyfold():
    """Guards against a load profile that never reaches its peak."""
    profile = load.Profile(2, 100)
    assert profile.compute_rate(0) == profile.compute_rate(29) == 2
    assert profile.compute_rate(50) == profile.compute_rate(99) == 40
    rates = [profile.compute_rate(at_s) for at_s in range(100)]
    assert rates == sorted(rates)


def test_arrivals_follow_the_profile_and_the_seed():
    """Guards against runs that differ in load, and so cannot be compared."""
    profile = load.Profile(2, 100)
    arrivals = profile.list_arrivals(random.Random(1))
    assert arrivals == profile.list_arrivals(random.Random(1))
    assert arrivals == sorted(arrivals)
    baseline_count = sum(at_s < 30 for at_s in arrivals)
    peak_count = sum(at_s >= 50 for at_s in arrivals)
    # Expected are 60 and 2,000; the limits are five standard deviations.
    assert 60 - 39 < baseline_count < 60 + 39
    assert 2000 - 224 < peak_count < 2000 + 224


@pytest.mark.parametrize(
    ("percent", "expected"), [(50, 2), (75, 3), (95, 4), (99, 4), (0, 1)]
)
def test_percentile(percent, expected):
    """Guards against percentiles that leave out the slowest request."""
    assert load.compute_percentile([4, 1, 3, 2], percent) == expected


def test_expected_stream_is_counted():
    """Guards against gaps measured from the start instead of between chunks."""
    results = load.Results()
    results.add_stream(PROMPT, make_response())
    assert results.completed["streams"] == 1
    assert results.tokens == 40
    assert results.first_chunk_s == [0.5]
    assert results.chunk_gaps_s == pytest.approx([0.1, 0.2])
    assert not results.wrong


@pytest.mark.parametrize(
    "values",
    [
        {"text": PROMPT.generate()[:-1]},
        {"text": PROMPT.generate() + "x"},
        {"is_complete": False},
        {"text": "", "is_complete": False, "arrivals_s": ()},
        {"text": "?", "code": "stream-lost"},
    ],
)
def test_wrong_stream_is_reported(values):
    """Guards against a load run that passes although tokens were lost."""
    results = load.Results()
    results.add_stream(PROMPT, make_response(**values))
    assert len(results.wrong) == 1
    assert not results.completed
    assert "wrong: 1" in results.render(1.0)


def test_refusals_are_counted_by_code():
    """Guards against rejected requests that are reported as wrong."""
    results = load.Results()
    refused = callers.Response(status=503, code="overloaded", verdict="not-run")
    results.add_stream(PROMPT, refused)
    results.add_call("a", refused, "")
    assert "  overloaded (not-run): 2" in results.render(1.0)
    assert not results.wrong


@pytest.mark.parametrize(
    "arguments",
    [
        ["--rate", "nan"],
        ["--rate", "0"],
        ["--duration", "inf"],
        ["--stream-share", "1.1"],
        ["--stream-share", "nan"],
        [],
    ],
)
def test_bad_options_are_rejected(arguments, tmp_path, capsys):
    """Guards against a run that sends nothing and reports success."""
    path = str(tmp_path / "none.json")
    with pytest.raises(SystemExit) as caught:
        load.main(["--ready-file", path, *arguments])
    assert caught.value.code == 2
    name = arguments[0] if arguments else path
    assert name in capsys.readouterr().err


def stream_from(chunks, status=200):
    """Returns the response that a caller reads from chunks sent by a server."""

    async def respond(scope, receive, send):
        if scope["type"] == "lifespan":
            await http.run_lifespan(receive, send)
            return
        await http.read_body(receive, 1 << 20, 10)
        await send(
            {"type": "http.response.start", "status": status, "headers": []}
        )
        for chunk in chunks:
            await send(
                {
                    "type": "http.response.body",
                    "body": chunk,
                    "more_body": True,
                }
            )
        await send({"type": "http.response.body"})

    async def check():
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            address = addresses.Address("127.0.0.1", 0)

            async def serve(task_status):
                await http.serve(
                    respond, address, stopped, task_status=task_status
                )

            (url,) = await nursery.start(serve)
            with trio.fail_after(30):
                async with callers.Caller(url, "key") as caller:
                    got = await caller.stream(PROMPT)
            stopped.set()
        return got

    return trio.run(check)


def make_event(value) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def test_events_that_are_split_are_joined():
    """Guards against text lost if an event spans two reads."""
    event = make_event({"choices": [{"text": "ab", "finish_reason": None}]})
    last = make_event({"choices": [{"text": "c", "finish_reason": "length"}]})
    data = event + last + b"data: [DONE]\n\n"
    got = stream_from([data[:9], data[9:30], data[30:]])
    assert (got.text, got.finish, got.is_complete) == ("abc", "length", True)
    assert got.is_success


def test_error_event_ends_the_stream_incomplete():
    """Guards against a lost stream that is read as a complete response."""
    event = make_event({"choices": [{"text": "ab"}]})
    error = {"error": {"code": "stream-lost", "verdict": "may-have-run"}}
    got = stream_from([event, make_event(error)])
    assert (got.text, got.is_complete) == ("ab", False)
    assert (got.code, got.verdict) == ("stream-lost", "may-have-run")
    assert not got.is_success


def test_refusal_is_read():
    """Guards against a refusal that is reported without its code."""
    error = {"error": {"code": "overloaded", "verdict": "not-run"}}
    got = stream_from([json.dumps(error).encode()], 503)
    assert (got.status, got.code) == (503, "overloaded")
    got = stream_from([b"<html>"], 502)
    assert (got.status, got.code) == (502, "unreadable-error")
