"""Reads the requests of a caller's connection, within their limits."""

import collections.abc
import json
import re

import h11
from peridotyard_core import fleet
import trio

from peridotyard_daemon.connection import chunks
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import intake as intake_module

# Most heads are shorter than this. Bodies are received in larger pieces.
HEAD_RECEIVE_BYTES = 1 << 14
BODY_RECEIVE_BYTES = 1 << 16
# Chunks that are decoded at once, in less than a millisecond.
CHUNK_STEP = 512
# Chunks of a body from which on it waits for its turn before each step.
FREE_CHUNKS = 1024
# Retry-After of a request whose body was given up for want of memory.
RETRY_AFTER_S = 1.0

# End of a request head, as h11 finds it.
_HEAD_END = re.compile(rb"\n\r?\n")

_JSON_HEADER = (b"Content-Type", b"application/json")


class RejectedError(Exception):
    """The request is not served.

    Attributes:
        status: HTTP status of the error response, such as 400, 408 or 431.
        headers: Headers of the response.
        body: Body of the response.
    """

    def __init__(
        self,
        status: int,
        message: str,
        headers: tuple[tuple[bytes, bytes], ...] = (_JSON_HEADER,),
        body: bytes | None = None,
    ):
        self.status = status
        self.headers = headers
        if body is None:
            body = json.dumps({"error": message}).encode()
        self.body = body
        super().__init__(message)


# Checks a request by its method, target and headers. Returns None, or the
# status, headers and body of the response with which it is refused.
HeadCheck = collections.abc.Callable[
    [str, str, tuple],
    collections.abc.Awaitable[
        tuple[int, collections.abc.Sequence[tuple[bytes, bytes]], bytes] | None
    ],
]


async def accept_all(_method: str, _target: str, _headers: tuple) -> None:
    """Refuses no request by its head."""


class RequestReader:
    """Reads heads and bodies, owned by the connection.

    Attributes:
        http: The h11 connection.
        pending: Received bytes that h11 has not got.
        at_end: Whether the caller has closed the connection, or half of it.
        progressed_at: Time at which bytes were received last.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        limits: fleet.CallerLimits,
        decoding: trio.Lock,
        hold: collections.abc.Callable[[int, int], bool],
        check_head: HeadCheck,
        write: collections.abc.Callable[
            [bytes], collections.abc.Awaitable[None]
        ],
    ):
        """Creates a reader before the first request.

        Args:
            stream: The connection.
            limits: Limits of the first request.
            decoding: See `intake.Intake`.
            hold: Returns whether a number of further bytes may be kept, given
                the largest number that the configuration allows.
            check_head: Checks a request before its body is received.
            write: Sends bytes to the caller.
        """
        self._stream = stream
        self._decoding = decoding
        self._hold = hold
        self._check_head = check_head
        self._write = write
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self.pending = bytearray()
        self.at_end = False
        self.progressed_at = trio.current_time()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection, or half of it."""
        return self.at_end or upstreams.is_closed_by_peer(self._stream)

    @property
    def has_input(self) -> bool:
        """Whether bytes of the next request have been received."""
        return bool(self.pending or self.http.trailing_data[0])

    async def read_head(self):
        """Returns the head of the next request, or another event of h11.

        h11 gets nothing behind the head, so that the body can be decoded
        without it.

        Raises:
            RejectedError: The head is malformed.
        """
        tail = b""
        while True:
            if not self.pending and not self.at_end:
                await self.receive()
            found = _HEAD_END.search(tail + self.pending)
            end = len(self.pending)
            if found is not None:
                end = found.end() - len(tail)
            data = bytes(self.pending[:end])
            del self.pending[:end]
            tail = (tail + data)[-2:]
            try:
                self.http.receive_data(data)
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise RejectedError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                return event

    async def read_body(
        self, request: h11.Request, limits: fleet.CallerLimits
    ) -> bytes:
        """Receives the body of a request that may be served.

        Raises:
            RejectedError: The request violates a limit, is refused by its head,
                or its body cannot be kept.
            trio.BrokenResourceError: The caller has disconnected.
        """
        length = _find_length(request)
        if length == 0:
            self._expect_end(self.http.next_event())
            return b""
        if length is not None and length > limits.body_bytes:
            raise _make_size_error(limits)
        if not self._has_complete_body(length):
            # The handler checks the others as well.
            refusal = await self._check_head(
                request.method.decode("ascii").upper(),
                request.target.decode("latin-1"),
                tuple(request.headers.raw_items()),
            )
            if refusal is not None:
                status, headers, body = refusal
                raise RejectedError(status, "refused", tuple(headers), body)
            if self.http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self._write(self.http.send(interim))
        if length is None:
            return await self._read_chunks(limits)
        return await self._read_length(length, limits)

    def _has_complete_body(self, length: int | None) -> bool:
        """Returns whether the body has probably arrived with its head."""
        if length is None:
            return self.pending.endswith(b"0\r\n\r\n")
        return len(self.pending) >= length

    async def _read_length(
        self, length: int, limits: fleet.CallerLimits
    ) -> bytes:
        """Receives a body of a known length."""
        body = bytearray()
        while len(body) < length:
            if not self.pending:
                await self._receive_body_part(limits)
            piece = bytes(self.pending[: length - len(body)])
            del self.pending[: len(piece)]
            self._hold_body(len(piece), limits)
            self.http.receive_data(piece)
            # h11 only has to know how much of the body has arrived.
            self.http.next_event()
            body += piece
        self._expect_end(self.http.next_event())
        return bytes(body)

    async def _read_chunks(self, limits: fleet.CallerLimits) -> bytes:
        """Receives a chunked body."""
        body = bytearray()
        decoder = chunks.Decoder(limits.body_bytes, limits.header_bytes)
        while decoder.trailers is None:
            data = await self._decode_step(decoder)
            if data is None:
                await self._receive_body_part(limits)
                continue
            self._hold_body(len(data), limits)
            body += data
        # h11 gets the end of the body only, and checks the trailers.
        self.http.receive_data(b"0\r\n" + decoder.trailers)
        try:
            self._expect_end(self.http.next_event())
        except h11.RemoteProtocolError as error:
            raise RejectedError(error.error_status_hint, str(error)) from error
        return bytes(body)

    async def _decode_step(self, decoder: chunks.Decoder) -> bytearray | None:
        """Decodes received chunks; see `chunks.Decoder.decode`."""
        try:
            if decoder.chunks <= FREE_CHUNKS:
                return decoder.decode(self.pending, CHUNK_STEP)
            async with self._decoding:
                if self.is_disconnected:
                    raise trio.BrokenResourceError("caller has disconnected")
                return decoder.decode(self.pending, CHUNK_STEP)
        except chunks.ChunkError as error:
            raise RejectedError(error.status, str(error)) from error

    def _hold_body(self, count: int, limits: fleet.CallerLimits) -> None:
        """Takes memory for a part of a body, and for its later copy."""
        copies = intake_module.BODY_COPIES
        if count and not self._hold(count * copies, limits.body_bytes * copies):
            raise make_memory_error()

    def _expect_end(self, event) -> None:
        if not isinstance(event, h11.EndOfMessage):
            raise trio.BrokenResourceError(
                "connection closed within a request body"
            )

    async def _receive_body_part(self, limits: fleet.CallerLimits) -> None:
        """Receives some bytes of a request body."""
        received = None
        with trio.move_on_after(limits.idle_timeout_s):
            received = await self.receive(BODY_RECEIVE_BYTES)
        if received is None:
            raise RejectedError(408, "request body not received in time")
        if not received:
            raise trio.BrokenResourceError(
                "connection closed within a request body"
            )

    async def receive(self, limit: int = HEAD_RECEIVE_BYTES) -> bool:
        """Receives bytes into the buffer; returns False at end of stream.

        Args:
            limit: Largest number of bytes.
        """
        data = await self._stream.receive_some(limit)
        self.pending += data
        self.at_end = not data
        self.progressed_at = trio.current_time()
        return bool(data)


def _find_length(request: h11.Request) -> int | None:
    """Returns the length of the body of a request; None if it is chunked."""
    headers = dict(request.headers)
    if b"transfer-encoding" in headers:
        return None
    return int(headers.get(b"content-length", 0))


def _make_size_error(limits: fleet.CallerLimits) -> RejectedError:
    return RejectedError(413, f"request body exceeds {limits.body_bytes} bytes")


def make_memory_error() -> RejectedError:
    """Returns the refusal of a request whose body cannot be kept.

    It has not run, since it was not read completely.
    """
    retry_after = f"{RETRY_AFTER_S:g}".encode()
    return RejectedError(
        503,
        "not run: too many request bodies are being received",
        (_JSON_HEADER, (b"Retry-After", retry_after)),
    )


def measure_head(request: h11.Request) -> int:
    """Returns the size of a request head in bytes."""
    # Delimiters count too: 14 bytes for the spaces, version and line end of the
    # request line and the empty last line, 4 for ": " and the line end of each
    # header.
    size = len(request.method) + len(request.target) + 14
    return size + sum(
        len(name) + len(value) + 4
        for name, value in request.headers.raw_items()
    )
