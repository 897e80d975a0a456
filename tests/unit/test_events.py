"""Tests of peridotyard_core.events."""

import time

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
        batch = splitter.feed(data[start:end])
        assert batch.error is None
        found += batch.events
    assert [event.number for event in found] == list(range(count))
    assert b"".join(event.data for event in found) == data
    assert splitter.is_empty


def test_incomplete_event_is_held_back():
    """Guards against an event that is returned before its end."""
    splitter = events.Splitter()
    assert splitter.feed(b"id: 1\ndata: x\n") == events.Batch(())
    assert not splitter.is_empty


def test_event_in_small_parts_costs_no_more_than_its_bytes():
    """Guards against seconds of processor time for an event without end.

    A server that sends a long event in small parts had the whole event copied
    for each part: 4 s instead of 0.1 s for the longest event in 16 bytes each.
    """
    splitter = events.Splitter()
    began = time.process_time()
    for _ in range(events.EVENT_LIMIT_BYTES // 16):
        assert splitter.feed(b"a" * 16) == events.Batch(())
    assert time.process_time() - began < 1.0


def test_line_ends_with_carriage_return():
    """Guards against events with CR LF line ends that are not recognised."""
    splitter = events.Splitter()
    batch = splitter.feed(b"id: 7\r\ndata: x\r\n\r\n")
    assert [event.number for event in batch.events] == [7]
    assert batch.error is None


def test_event_without_end_does_not_fill_the_memory():
    """Guards against memory that grows with an event that never ends."""
    splitter = events.Splitter()
    batch = splitter.feed(encode(1) + b"x" * (events.EVENT_LIMIT_BYTES + 1))
    assert [event.number for event in batch.events] == [1]
    assert isinstance(batch.error, events.SequenceError)


@pytest.mark.parametrize(
    "chunk",
    [
        b"id: 2\ndata: x\r\n\r\n",
        b": comment\nid: 2\ndata: x\n\n",
        b"x-versions: 3\nid: 2\nevent: token\ndata: x\ndata: y\n\n",
        b"data: x\nid:2\nretry: 5\n\n",
    ],
)
def test_sound_event_is_accepted(chunk):
    """Guards against streams that are cut off for an unusual sound event."""
    batch = events.Splitter().feed(chunk)
    assert batch == events.Batch((events.Event(2, chunk),))


@pytest.mark.parametrize("chunk", [b": comment\n\n", b"retry: 5\n\n", b"\n\n"])
def test_bytes_without_data_need_no_id(chunk):
    """Guards against streams that are cut off for a comment."""
    batch = events.Splitter().feed(chunk)
    assert batch == events.Batch((events.Event(None, chunk),))


@pytest.mark.parametrize(
    "chunk",
    [
        b"ie: 2\ndata: x\n\n",
        b":d: 2\ndata: x\n\n",
        b"id: \n\ndata: x\n\n",
        b"id: 2\n\nata: x\n\n",
        b"id: 2Xdata: x\n\n",
        b"id: 2\ndata: xX\nid: 3\ndata: y\n\n",
        b"id: 2\ndata: x\nXid: 3\ndata: y\n\n",
        b"id: 2\ndata: x\n:id: 3\ndata: y\n\n",
        b"id: 2\ndata: x\n\rid: 3\ndata: y\n\n",
        b"id: 2\ndata: x\ny\n\n",
        b"id: -2\ndata: x\n\n",
        b"id: %s\ndata: x\n\n" % (b"2" * 5000),
        b"\xa7\x00\n\n",
    ],
)
def test_malformed_event_ends_the_batch(chunk):
    """Guards against a hidden id, joined events and unexpected exceptions.

    The events before it in the same bytes must not be lost either.
    """
    batch = events.Splitter().feed(encode(1) + chunk + encode(3))
    assert batch.events == (events.Event(1, encode(1)),)
    assert isinstance(batch.error, events.SequenceError)


def make_batch(*numbers):
    """Returns a batch of events; None stands for a comment."""
    return events.Batch(tuple(events.Event(n, b"") for n in numbers))


def list_ids(batch):
    return [event.number for event in batch.events]


@pytest.mark.parametrize("number", [3, 4, 6, 0])
def test_event_out_of_sequence_is_rejected(number):
    """Guards against a response that is joined from parts of two runs."""
    sequence = events.Sequence(4)
    batch = sequence.check(make_batch(number))
    assert batch.events == ()
    assert isinstance(batch.error, events.SequenceError)
    sequence.advance(batch)
    assert sequence.last == 4
    assert sequence.is_certain


def test_sequence_continues_after_the_last_event():
    """Guards against a continued stream whose next event is rejected."""
    sequence = events.Sequence(4)
    for batch in (make_batch(5), make_batch(None), make_batch(6, 7)):
        assert sequence.check(batch) == batch
        sequence.advance(batch)
    assert sequence.last == 7


def test_events_ahead_of_a_wrong_one_are_kept():
    """Guards against sound events that are lost with a wrong one."""
    sequence = events.Sequence(4)
    batch = sequence.check(make_batch(5, None, 6, 9, 10))
    assert list_ids(batch) == [5, None, 6]
    assert isinstance(batch.error, events.SequenceError)
    # They count only once they have been sent.
    assert sequence.last == 4
    sequence.advance(batch)
    assert sequence.last == 6


@pytest.mark.parametrize(
    ("number", "accepted"), [(0, 1), (1, 1), (2, 0), (9, 0)]
)
def test_stream_begins_with_its_first_event(number, accepted):
    """Guards against a stream that lacks its beginning."""
    batch = events.Sequence(None).check(make_batch(number))
    assert len(batch.events) == accepted
    assert (batch.error is None) == bool(accepted)


@pytest.mark.parametrize(("first", "second"), [(0, 2), (1, 1)])
def test_stream_with_an_ambiguous_first_id_is_not_resumed(first, second):
    """Guards against a resumption after a first event with a wrong id."""
    sequence = events.Sequence(None)
    together = sequence.check(make_batch(first, second))
    assert together.events == ()
    sequence.advance(together)
    assert sequence.is_certain
    sequence.advance(sequence.check(make_batch(first)))
    batch = sequence.check(make_batch(second))
    sequence.advance(batch)
    assert batch.error is not None
    assert not sequence.is_certain


def relay(streams, after):
    """Relays a stream that one server after another continues.

    Args:
        streams: Returns the pieces of bytes that each server sends, given the
            id after which it continues.
        after: Id after which the caller asked to continue, None for none.

    Returns:
        The bytes that the caller gets, and whether the stream looks complete.
    """
    sequence = events.Sequence(after)
    sent = b""
    for make_pieces in streams:
        splitter = events.Splitter()
        error = None
        for piece in make_pieces(sequence.last):
            batch = sequence.check(splitter.feed(piece))
            sent += b"".join(event.data for event in batch.events)
            sequence.advance(batch)
            error = batch.error
            if error is not None:
                break
        if error is None and splitter.is_empty:
            return sent, True
        if not sequence.is_certain:
            break
    return sent, False


def read_pieces(stream):
    """Reads a stream as a caller does; returns pairs of id and data."""
    pieces = []
    number, data = None, []
    for line in stream.splitlines():
        name, _, value = line.partition(b":")
        if not line and data:
            pieces.append((number, b"\n".join(data)))
            number, data = None, []
        elif name == b"id":
            number = int(value)
        elif name == b"data":
            data.append(value.strip())
    return pieces


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    data=strategies.data(),
    first=strategies.sampled_from(events.FIRST_IDS),
    count=strategies.integers(2, 12),
    end=strategies.sampled_from([b"\n", b"\r\n"]),
)
def test_caller_gets_a_gapless_prefix_whatever_byte_is_wrong(
    data, first, count, end
):
    """Guards against streams that lack events and look complete.

    The first server spoils one byte; a sound one continues the stream.
    """
    last = first + count - 1
    after = data.draw(
        strategies.one_of(strategies.none(), strategies.integers(first, last))
    )
    begin = first if after is None else after + 1

    def send(after):
        begin = first if after is None else after + 1
        chunks = (encode(n).replace(b"\n", end) for n in range(begin, last + 1))
        return b"".join(chunks)

    def send_spoiled(after):
        stream = bytearray(send(after))
        if stream:
            position = data.draw(strategies.integers(0, len(stream) - 1))
            # Bytes with a meaning are drawn more often.
            stream[position] = data.draw(
                strategies.one_of(
                    strategies.sampled_from(b"\r\n: 0123456789id"),
                    strategies.integers(0, 255),
                )
            )
        cuts = data.draw(strategies.lists(strategies.integers(0, len(stream))))
        edges = [0, *sorted(cuts), len(stream)]
        return [
            bytes(stream[a:b]) for a, b in zip(edges, edges[1:], strict=False)
        ]

    sent, is_complete = relay(
        [send_spoiled, lambda after: [send(after)]], after
    )
    pieces = read_pieces(sent)
    numbers = [number for number, _ in pieces]
    start = numbers[0] if numbers and after is None else begin
    assert start in events.FIRST_IDS or after is not None
    assert numbers == list(range(start, start + len(numbers)))
    if is_complete:
        assert numbers == list(range(begin, last + 1))
        changed = [
            text for number, text in pieces if text != b"token %d" % number
        ]
        # No more than the one wrong byte, and no text of another event.
        assert len(changed) <= 1
        assert not any(b"data" in text for text in changed)
