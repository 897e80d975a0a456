"""Tests of process.logs."""

import io
import json
import os
import sys

from peridotyard_core import settings
from peridotyard_daemon.process import logs
import pytest


@pytest.fixture
def start(monkeypatch):
    """Returns a function that starts the logs and returns their output."""

    def start_logs(**values) -> io.StringIO:
        output = io.StringIO()
        monkeypatch.setattr(sys, "stderr", output)
        logs.start(
            settings.ProcessSettings(
                instance="a", zone="b", **DEFAULTS | values
            )
        )
        return output

    yield start_logs
    logs.stop()


DEFAULTS = {
    "log_level": "info",
    "log_format": "text",
    "debug": (),
    "statsd": None,
    "metrics_interval_s": 1.0,
}


def test_text_line_has_part_and_fields(start):
    """Guards against lines that a search for a request cannot find."""
    output = start()
    logs.Logger("chains").warning("a stage was replaced", request="r1", stage=2)
    (line,) = output.getvalue().splitlines()
    time, rest = line.split(" ", 1)
    assert time.endswith("Z")
    assert rest == ("warning chains: a stage was replaced request=r1 stage=2")


@pytest.mark.parametrize(
    "value", ["two words", 'a "quote"', "a=b", "line\nbreak", "", "\x1b[31m"]
)
def test_field_values_cannot_forge_a_line(start, value):
    """Guards against a caller's text that forges another log line."""
    output = start()
    logs.Logger("calls").info("refused", path=value)
    (line,) = output.getvalue().splitlines()
    assert line.endswith(f"path={json.dumps(value)}")


def test_json_line(start):
    """Guards against a field that overwrites the time or the level."""
    output = start(log_format="json")
    logs.Logger("calls").error("refused", path="a\nb", level="forged", count=3)
    (line,) = output.getvalue().splitlines()
    value = json.loads(line)
    assert value.pop("time").endswith("Z")
    assert value == {
        "level": "error",
        "part": "calls",
        "message": "refused",
        "path": "a\nb",
        "count": 3,
    }


def test_level_and_debug_parts(start):
    """Guards against debug lines of parts other than the selected one."""
    output = start(log_level="warning", debug=("chains",))
    for name in ("chains", "calls"):
        part = logs.Logger(name)
        part.debug("details")
        part.info("event")
        part.warning("refusal")
    got = [line.split(" ", 1)[1] for line in output.getvalue().splitlines()]
    assert got == [
        "debug chains: details",
        "info chains: event",
        "warning chains: refusal",
        "warning calls: refusal",
    ]


def test_second_start_replaces_the_first(start):
    """Guards against a line that is written to two outputs."""
    first = start()
    second = start()
    logs.Logger("calls").info("started")
    assert not first.getvalue()
    assert second.getvalue()


def open_output():
    """Returns a bounded output on a pipe, and the pipe's other end."""
    reader, writer = os.pipe()
    now = [0.0]
    return logs.BoundedOutput(writer, lambda: now[0]), reader, now


def test_bounded_output_counts_what_it_drops():
    """Guards against an unlimited log, and against gaps that are not shown."""
    output, reader, now = open_output()
    for number in range(1200):
        output.write(f"{number}\n")
    assert len(os.read(reader, 1 << 16).splitlines()) == logs.BURST_LINES
    now[0] += 1.0
    output.write("later\n")
    first, second = os.read(reader, 1 << 16).splitlines()
    assert json.loads(first)["count"] == 200
    assert second == b"later"


def test_bounded_output_does_not_wait_for_its_reader():
    """Guards against requests that wait for a slow reader of the log."""
    output, reader, now = open_output()
    line = "x" * 999 + "\n"
    for _ in range(400):
        now[0] += 1.0
        output.write(line)
    data = b""
    while len(data) < 100_000:
        data += os.read(reader, 1 << 16)
        now[0] += 1.0
        output.write(line)
    lines = data.decode().splitlines()[:-1]
    assert all(len(item) == 999 or "count" in item for item in lines)
