"""Tests of peridotyard_core.events."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import events
import pytest

from tests.support import cases


def encode(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    count=strategies.integers(0, 20),
    cuts=strategies.lists(strategies.integers(0, 400), max_size=8),
)
def test_events_are_complete_however_the_bytes_arrive(count, cuts):
    """Guards against a part of an event that is forwarded to the caller.

    A server may stop in the middle of an event.
    """
    data = b"".join(encode(number) for number in range(count))
    edges = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    splitter = events.Splitter()
    found = []
    for start, end in zip(edges, edges[1:], strict=False):
        found += splitter.feed(data[start:end])
    assert [event.number for event in found] == list(range(count))
    assert b"".join(event.data for event in found) == data
    assert splitter.is_empty


def test_incomplete_event_is_held_back():
    """Guards against an event that is returned before its end."""
    splitter = events.Splitter()
    assert splitter.feed(b"id: 1\ndata: x\n") == []
    assert not splitter.is_empty


def test_line_ends_with_carriage_return():
    """Guards against events with CR LF line ends that are not recognised."""
    splitter = events.Splitter()
    found = splitter.feed(b"id: 7\r\ndata: x\r\n\r\n")
    assert [event.number for event in found] == [7]


def test_event_without_end_does_not_fill_the_memory():
    """Guards against memory that grows with an event that never ends."""
    splitter = events.Splitter()
    with pytest.raises(events.SequenceError):
        splitter.feed(b"x" * (events.EVENT_LIMIT_BYTES + 1))


@pytest.mark.parametrize("number", [3, 4, 6, 0])
def test_event_out_of_sequence_is_rejected(number):
    """Guards against a response that is joined from parts of two runs."""
    sequence = events.Sequence(4)
    with pytest.raises(events.SequenceError):
        sequence.accept_event(events.Event(number, b""))
    assert sequence.last == 4


def test_sequence_continues_after_the_last_event():
    """Guards against a continued stream whose next event is rejected."""
    sequence = events.Sequence(4)
    sequence.accept_event(events.Event(5, b""))
    sequence.accept_event(events.Event(None, b": comment\n\n"))
    sequence.accept_event(events.Event(6, b""))
    assert sequence.last == 6
