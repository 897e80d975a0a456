"""Tests of peridotyard_daemon.connection.chunks."""

import h11
import hypothesis
from hypothesis import strategies
from peridotyard_daemon.connection import chunks
import pytest

from tests.support import cases

BODY_BYTES = 200
OTHER_BYTES = 60
NEXT_REQUEST = b"GET /next"


def decode(encoded, piece_bytes, chunk_limit=3):
    """Returns the body and what follows it, None for a body without an end."""
    decoder = chunks.Decoder(BODY_BYTES, OTHER_BYTES)
    buffer = bytearray()
    body = b""
    for begin in range(0, len(encoded), piece_bytes):
        buffer += encoded[begin : begin + piece_bytes]
        while decoder.trailers is None:
            data = decoder.decode(buffer, chunk_limit)
            if data is None:
                break
            body += data
    return None if decoder.trailers is None else (body, bytes(buffer))


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=20), max_size=8),
    strategies.integers(1, 40),
    strategies.sampled_from([b"", b";a=b", b" ;x"]),
    strategies.sampled_from([b"", b"X-Sum: 1\r\n"]),
)
def test_any_split_yields_the_body(parts, piece_bytes, extension, trailer):
    """Guards against bytes lost or added where reads end within a chunk."""
    encoded = b"".join(
        b"%X%b\r\n%b\r\n" % (len(part), extension, part) for part in parts
    )
    encoded += b"0\r\n" + trailer + b"\r\n" + NEXT_REQUEST
    decoded = decode(encoded, piece_bytes)
    # With pieces, a part of the next request may not have been received.
    assert decoded[0] == b"".join(parts)
    assert decoded[1] == NEXT_REQUEST


@pytest.mark.parametrize(
    ("encoded", "status"),
    [
        (b"g\r\n", 400),
        (b"-1\r\n", 400),
        (b"\r\n", 400),
        (b"1 1\r\n", 400),
        (b"1\r\nabc", 400),
        (b"1\nab\r\n", 400),
        (b"11111111111111111\r\n", 400),
        (b"c9\r\n", 413),
        (b"ffffffffffffffff\r\n", 413),
        (b"64\r\n" + b"x" * 100 + b"\r\n65\r\n", 413),
        (b"1;" + b"x" * 100 + b"\r\n", 400),
        (b"1;" + b"x" * 100, 400),
        (b"1;abcdefghijklmnopqrstuvwxyz\r\nx\r\n" * 9, 400),
        (b"0\r\nX: " + b"y" * 100, 431),
        (b"0\r\nX: " + b"y" * 100 + b"\r\n\r\n", 431),
    ],
)
def test_malformed_and_endless_parts_are_rejected(encoded, status):
    """Guards against framing that is unbounded or read in two ways."""
    with pytest.raises(chunks.ChunkError) as caught:
        # In one piece, and if some bytes are missing then, byte by byte.
        decode(encoded, len(encoded))
        decode(encoded, 1)
    assert caught.value.status == status


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(strategies.binary(max_size=40))
def test_agrees_with_h11(encoded):
    """Guards against a body that another HTTP library reads differently."""
    http = h11.Connection(h11.SERVER)
    http.receive_data(
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    http.next_event()
    http.receive_data(encoded)
    expected = b""
    try:
        while isinstance(event := http.next_event(), h11.Data):
            expected += event.data
    except h11.RemoteProtocolError:
        event = None
    try:
        decoded = decode(encoded, len(encoded) or 1)
    except chunks.ChunkError:
        decoded = None
    if decoded is not None:
        assert isinstance(event, h11.EndOfMessage)
        assert decoded[0] == expected


def test_step_decodes_a_bounded_number_of_chunks():
    """Guards against a read of many small chunks that holds the event loop."""
    decoder = chunks.Decoder(10_000, OTHER_BYTES)
    buffer = bytearray(b"1\r\nx\r\n" * 1000)
    data = decoder.decode(buffer, 100)
    assert len(data) <= 100
    assert decoder.chunks == 100
    assert len(buffer) > 5000
