"""Measures the processor time of a log line and of a stream event."""

import os
import time

import h11
from peridotyard_core import events
from peridotyard_daemon.process import logs

LINES = 5000
EVENTS = 20000
# Log lines of one streamed request: sent, path ended, request ended, and a
# fraction of the lines for repairs and refusals.
LINES_PER_REQUEST = 4
# Events of one streamed request on the users' sites.
EVENTS_PER_REQUEST = 77
# Events of the platform have about this size.
EVENT = b"id: %d\ndata: " + b"x" * 120 + b"\n\n"


class _Settings:
    """The settings that `logs.start` reads."""

    log_level = "info"
    log_format = "json"
    debug = ()


def measure_line() -> float:
    """Returns the processor seconds of one log line of a request."""
    sink = os.open(os.devnull, os.O_WRONLY)
    # The clock advances with each line, so that no line is dropped.
    ticks = iter(range(1_000_000))
    logs.start(_Settings(), logs.BoundedOutput(sink, lambda: next(ticks)))
    logger = logs.Logger("stream")
    began = time.process_time()
    for number in range(LINES):
        logger.info(
            "request sent on a path",
            request=f"{number:016x}",
            path="10.1.64.33:8606=0-14," * 10,
            after=None,
            routing=14,
            fleet_age_ms=312,
        )
    elapsed_s = time.process_time() - began
    logs.stop()
    os.close(sink)
    return elapsed_s / LINES


def measure_event() -> float:
    """Returns the processor seconds of forwarding one event to a caller."""
    splitter = events.Splitter()
    sequence = events.Sequence(None)
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    http.next_event()
    http.next_event()
    http.send(h11.Response(status_code=200, headers=[]))
    began = time.process_time()
    for number in range(1, EVENTS + 1):
        batch = sequence.check(splitter.feed(EVENT % number))
        for event in batch.events:
            http.send(h11.Data(data=event.data))
        sequence.advance(batch)
    return (time.process_time() - began) / EVENTS


def main() -> int:
    """Prints the table."""
    line_s, event_s = measure_line(), measure_event()
    rows = (
        ("log line", line_s, LINES_PER_REQUEST),
        ("event: split, check order, chunk", event_s, EVENTS_PER_REQUEST),
    )
    print("| step | processor us | a request | processor us a request |")
    print("| --- | --- | --- | --- |")
    for name, seconds, count in rows:
        each = 1e6 * seconds
        print(f"| {name} | {each:.1f} | {count} | {each * count:.0f} |")
    return 0
