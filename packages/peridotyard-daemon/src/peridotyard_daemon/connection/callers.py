"""HTTP/1.1 server connections of callers, with configurable limits.

It is built on h11 instead of hypercorn for three reasons: the response of a
lost stream must end without its final chunk, a disconnect of the caller must
be detected while its request runs, and the limits change with the
configuration.
"""

import collections.abc
import contextlib
import json
import re
import typing

import h11
from peridotyard_core import fleet
from peridotyard_core import holdings
import trio

from peridotyard_daemon.connection import chunks
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import intake as intake_module

# Most heads are shorter than this. Bodies are received in larger pieces.
HEAD_RECEIVE_BYTES = 1 << 14
BODY_RECEIVE_BYTES = 1 << 16
# Large responses are sent in pieces of this size, so that h11 copies no more
# and that progress is seen.
SEND_BYTES = 1 << 16
# Pipelined requests are buffered up to this size while another request runs;
# the rest stays in the socket's receive buffer.
PIPELINE_BYTES = 1 << 14
# Longest time from the head to the end of a body, beside the time limit of one
# pause. Callers wait for some 25 s for a response.
BODY_TIMEOUT_S = 60.0
# Chunks that are decoded at once, in less than a millisecond.
CHUNK_STEP = 512
# Chunks of a body from which on it waits for its turn before each step.
FREE_CHUNKS = 1024
# Retry-After of a request whose body was given up for want of memory.
RETRY_AFTER_S = 1.0
# Time between two checks for a disconnect while that buffer is full.
DISCONNECT_POLL_S = 0.2
# Time limit of one write; the connection of a caller that does not read its
# response is closed after it.
SEND_TIMEOUT_S = 20.0
# Time for a caller to read an error response before its connection is closed;
# closing a connection with unread input resets it.
LINGER_S = 0.2


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


class Responder:
    """Writes the response to one request, owned by that request.

    Attributes:
        started: Whether the status line was sent.
        finished: Whether the complete response was sent.
    """

    def __init__(self, connection: "CallerConnection"):
        self._connection = connection
        self.started = False
        self.finished = False

    def hold(self, count: int) -> bool:
        """Returns whether the entry may keep further bytes of the response.

        Args:
            count: Number of bytes that were received from a server.
        """
        return self._connection.hold(count)

    def check_connected(self) -> None:
        """Checks that somebody waits for the response.

        Raises:
            trio.BrokenResourceError: The caller has disconnected.
        """
        if self._connection.is_disconnected:
            raise trio.BrokenResourceError("caller has disconnected")

    async def send_complete(self, status: int, headers, body: bytes) -> None:
        """Sends a complete response, with its length."""
        self.started = True
        pairs = list(headers) + self._connection.make_closing_headers()
        pairs.append((b"Content-Length", str(len(body)).encode()))
        http = self._connection.http
        data = http.send(
            h11.Response(status_code=status, headers=pairs, reason=b"")
        )
        # A response to HEAD states the length of the body but does not send it.
        if body and self._connection.method != "HEAD":
            data = await self._send_pieces(data, body)
        with contextlib.suppress(h11.LocalProtocolError):
            data += http.send(h11.EndOfMessage())
        await self._connection.write(data)
        self.finished = True

    async def _send_pieces(self, data: bytes, body: bytes) -> bytes:
        """Sends all but the last piece of a body, after some other bytes.

        Returns:
            What is left to send.
        """
        for begin in range(0, len(body), SEND_BYTES):
            if begin:
                await self._connection.write(data)
                data = b""
            piece = body[begin : begin + SEND_BYTES]
            data += self._connection.http.send(h11.Data(data=piece))
        return data

    async def start(self, status: int, headers, data: bytes) -> None:
        """Starts a response of unknown length: sends its head and `data`."""
        self.started = True
        pairs = list(headers) + self._connection.make_closing_headers()
        http = self._connection.http
        out = http.send(
            h11.Response(status_code=status, headers=pairs, reason=b"")
        )
        if data:
            out += http.send(h11.Data(data=data))
        await self._connection.write(out)

    async def send(self, data: bytes) -> None:
        """Sends the next part of the body."""
        out = self._connection.http.send(h11.Data(data=data))
        await self._connection.write(out)

    async def finish(self) -> None:
        """Sends the end of the response, which marks it as complete."""
        out = self._connection.http.send(h11.EndOfMessage())
        await self._connection.write(out)
        self.finished = True


Handler = collections.abc.Callable[
    [str, str, tuple, bytes, Responder], collections.abc.Awaitable[None]
]
# Checks a request by its method, target and headers. Returns None, or the
# status, headers and body of the response with which it is refused.
HeadCheck = collections.abc.Callable[
    [str, str, tuple],
    collections.abc.Awaitable[
        tuple[int, collections.abc.Sequence[tuple[bytes, bytes]], bytes] | None
    ],
]


async def _accept_all(_method: str, _target: str, _headers: tuple) -> None:
    """Refuses no request by its head."""


class CallerConnection:
    """One connection of a caller; serves its requests one at a time, in order.

    Attributes:
        http: The h11 connection; None until `run`.
        method: Method of the request in progress.
        busy: Whether a request is being read or served.
        is_serving: Whether a request was read and is being served.
        is_evicted: Whether it closes as soon as no request is in progress.
        served: Number of requests that have been served.
        progressed_at: Time at which it last received bytes.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        read_limits: collections.abc.Callable[[], fleet.CallerLimits],
        is_draining: collections.abc.Callable[[], bool],
        intake: intake_module.Intake | None = None,
        check_head: HeadCheck = _accept_all,
    ):
        """Wraps a new connection.

        Args:
            stream: The connection.
            handler: Serves one request, given its method, target, headers,
                body and responder. If it returns before the response is
                finished, the connection is closed, so that the caller sees a
                truncated response.
            read_limits: Returns the limits currently in force.
            is_draining: Returns whether to close the connection after the
                request in progress.
            intake: Bounds the data of all callers together; None for a
                connection that shares no bound with others.
            check_head: Checks a request before its body is received.
        """
        self._stream = stream
        self._handler = handler
        self._read_limits = read_limits
        self._is_draining = is_draining
        self._intake = intake or intake_module.Intake()
        self._check_head = check_head
        self._client = _describe_client(stream)
        self._holding: holdings.Holding | None = None
        self._pending = bytearray()
        self._at_end = False
        self.http: typing.Any = None
        self.method = ""
        self.busy = False
        self._closing = False
        self._is_rejecting = False
        self._idle_scope = trio.CancelScope()
        # Encloses what can be given up: reading a request, sending a response.
        self._scope: trio.CancelScope | None = None
        self.is_serving = False
        self.is_evicted = False
        self.served = 0
        self.progressed_at = trio.current_time()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection, or half of it."""
        return self._at_end or upstreams.is_closed_by_peer(self._stream)

    def make_closing_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns a "Connection: close" header if the connection will close.

        It stays open for a pipelined request that has been received, which
        would end without a response otherwise.
        """
        closing = self._closing or self._is_draining()
        if (
            self._is_rejecting
            or self.is_evicted
            or (closing and not self._has_input)
        ):
            return [(b"Connection", b"close")]
        return []

    @property
    def _has_input(self) -> bool:
        """Whether bytes of the next request have been received."""
        return bool(self._pending or self.http.trailing_data[0])

    def close_when_idle(self) -> None:
        """Closes the connection after the request in progress, if any."""
        self._closing = True
        if not self.busy:
            self._idle_scope.cancel()

    def evict(self) -> None:
        """Closes the connection, after the response in progress if any."""
        self.is_evicted = True
        self.close_when_idle()
        if not self.is_serving and self._scope is not None:
            self._scope.cancel()

    def hold(self, count: int, single_limit_bytes: int = 0) -> bool:
        """Returns whether a number of further bytes may be kept.

        Args:
            count: Number of bytes.
            single_limit_bytes: See `intake.Intake.grow`.
        """
        if self._holding is None:
            self._holding = self._intake.open(self._client, self._drop)
        return self._intake.grow(self._holding, count, single_limit_bytes)

    def _drop(self) -> None:
        """Gives up the data that is being received or sent."""
        if self._scope is not None:
            self._scope.cancel()

    def _release(self) -> None:
        """Ends the holding of the request that has ended."""
        if self._holding is not None:
            self._intake.close(self._holding)
            self._holding = None

    async def run(self) -> None:
        """Serves requests until either side closes the connection."""
        limits = self._read_limits()
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        try:
            while await self._serve_one() and (
                self._has_input or not self._closing
            ):
                self.http.start_next_cycle()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # The caller has disconnected, so no error can be reported to it.
            pass
        finally:
            self._release()
            with trio.move_on_after(0.1, shield=True):
                await self._stream.aclose()

    async def write(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            trio.BrokenResourceError: The caller disconnected, does not read, or
                the memory for its response is needed for others.
        """
        outer_scope = self._scope
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            self._scope = scope
            self._set_droppable(True)
            try:
                await self._stream.send_all(data)
            finally:
                self._set_droppable(outer_scope is not None)
                self._scope = outer_scope
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("caller does not read its response")
        if self._holding is not None:
            self._holding.record_progress(len(data), trio.current_time())

    def _set_droppable(self, is_droppable: bool) -> None:
        if self._holding is not None:
            self._holding.is_droppable = is_droppable

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether another one may follow."""
        self._release()
        try:
            request, body = await self._read_request()
        except RejectedError as error:
            self._release()
            self._intake.record_refusal(f"status_{error.status}")
            await self._reject(error)
            return False
        if request is None or self.is_disconnected:
            return False
        self.is_serving = True
        try:
            return await self._serve(request, body)
        finally:
            self.is_serving = False
            self.served += 1

    async def _serve(self, request: h11.Request, body: bytes) -> bool:
        """Serves a request; returns whether another one may follow."""
        self._set_droppable(False)
        responder = Responder(self)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_disconnect, nursery.cancel_scope)
            # Caught here, since the nursery would wrap the error in an
            # exception group.
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                await self._handler(
                    self.method,
                    request.target.decode("latin-1"),
                    tuple(request.headers.raw_items()),
                    body,
                    responder,
                )
            nursery.cancel_scope.cancel()
        self.busy = False
        if not responder.finished:
            self._abort_if_unframed()
            return False
        return (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
        )

    async def _read_request(self):
        """Returns the next request and its body.

        The result is (None, b"") if the connection ended or was idle too long.

        Raises:
            RejectedError: The request violates a limit or the protocol.
        """
        if self.is_evicted:
            return None, b""
        limits = self._read_limits()
        # Cleared for the case that the head is rejected: the error response
        # must not depend on the method of the previous request.
        self.method = ""
        request = None
        with trio.move_on_after(limits.idle_timeout_s) as self._idle_scope:
            # The connection counts as idle until the first byte of a request.
            if not self._has_input and not await self._receive_pending():
                return None, b""
            self.busy = True
        if self._idle_scope.cancelled_caught:
            return None, b""
        with trio.move_on_after(limits.header_timeout_s) as self._scope:
            request = await self._read_head()
        self._scope = None
        if self.is_evicted:
            return None, b""
        if request is None:
            raise RejectedError(408, "request head not received in time")
        if not isinstance(request, h11.Request):
            return None, b""
        # The size limit of h11 applies only to heads that arrive in several
        # reads.
        if _measure_head(request) > limits.header_bytes:
            raise RejectedError(
                431, f"request head exceeds {limits.header_bytes} bytes"
            )
        self.method = request.method.decode("ascii").upper()
        body = b""
        with trio.move_on_after(BODY_TIMEOUT_S) as self._scope:
            body = await self._read_body(request, limits)
        scope, self._scope = self._scope, None
        if self.is_evicted or (self._holding and self._holding.is_dropped):
            raise _make_memory_error()
        if scope.cancelled_caught:
            raise RejectedError(408, "request body not received in time")
        return request, body

    async def _read_body(
        self, request: h11.Request, limits: fleet.CallerLimits
    ) -> bytes:
        """Receives the body of a request that may be served."""
        length = _find_length(request)
        if length == 0:
            self._expect_end(self.http.next_event())
            return b""
        if length is not None and length > limits.body_bytes:
            raise _make_size_error(limits)
        if not self._has_complete_body(length):
            # The handler checks the others as well.
            refusal = await self._check_head(
                self.method,
                request.target.decode("latin-1"),
                tuple(request.headers.raw_items()),
            )
            if refusal is not None:
                status, headers, body = refusal
                raise RejectedError(status, "refused", tuple(headers), body)
            if self.http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self.write(self.http.send(interim))
        if length is None:
            return await self._read_chunks(limits)
        return await self._read_length(length, limits)

    def _has_complete_body(self, length: int | None) -> bool:
        """Returns whether the body has probably arrived with its head."""
        if length is None:
            return self._pending.endswith(b"0\r\n\r\n")
        return len(self._pending) >= length

    async def _read_length(
        self, length: int, limits: fleet.CallerLimits
    ) -> bytes:
        """Receives a body of a known length."""
        body = bytearray()
        while len(body) < length:
            if not self._pending:
                await self._receive_body_part(limits)
            piece = bytes(self._pending[: length - len(body)])
            del self._pending[: len(piece)]
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
                return decoder.decode(self._pending, CHUNK_STEP)
            async with self._intake.decoding:
                if self.is_disconnected:
                    raise trio.BrokenResourceError("caller has disconnected")
                return decoder.decode(self._pending, CHUNK_STEP)
        except chunks.ChunkError as error:
            raise RejectedError(error.status, str(error)) from error

    def _hold_body(self, count: int, limits: fleet.CallerLimits) -> None:
        """Takes memory for a part of a body, and for its later copy."""
        copies = intake_module.BODY_COPIES
        if count and not self.hold(count * copies, limits.body_bytes * copies):
            raise _make_memory_error()

    def _expect_end(self, event) -> None:
        if not isinstance(event, h11.EndOfMessage):
            raise trio.BrokenResourceError(
                "connection closed within a request body"
            )

    async def _receive_body_part(self, limits: fleet.CallerLimits) -> None:
        """Receives some bytes of a request body."""
        received = None
        with trio.move_on_after(limits.idle_timeout_s):
            received = await self._receive_pending(BODY_RECEIVE_BYTES)
        if received is None:
            raise RejectedError(408, "request body not received in time")
        if not received:
            raise trio.BrokenResourceError(
                "connection closed within a request body"
            )

    async def _read_head(self):
        """Returns the head of the next request, or another event of h11.

        h11 gets nothing behind the head, so that the body can be decoded
        without it.
        """
        tail = b""
        while True:
            if not self._pending and not self._at_end:
                await self._receive_pending()
            found = _HEAD_END.search(tail + self._pending)
            end = len(self._pending)
            if found is not None:
                end = found.end() - len(tail)
            data = bytes(self._pending[:end])
            del self._pending[:end]
            tail = (tail + data)[-2:]
            try:
                self.http.receive_data(data)
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise RejectedError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                return event

    async def _receive_pending(self, limit: int = HEAD_RECEIVE_BYTES) -> bool:
        """Receives bytes into the buffer; returns False at end of stream.

        Args:
            limit: Largest number of bytes.
        """
        data = await self._stream.receive_some(limit)
        self._pending += data
        self._at_end = not data
        self.progressed_at = trio.current_time()
        return bool(data)

    async def _watch_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancels the request when the caller disconnects.

        A half-closed connection counts as a disconnect too, since a request
        that nobody waits for must not occupy a server.
        """
        try:
            while len(self._pending) < PIPELINE_BYTES:
                if not await self._receive_pending():
                    break
            else:
                while not self.is_disconnected:
                    await trio.sleep(DISCONNECT_POLL_S)
        except (OSError, trio.BrokenResourceError):
            # Same effect as an orderly close: nobody reads the response.
            self._at_end = True
        scope.cancel()

    async def _reject(self, error: RejectedError) -> None:
        if self.http.our_state is not h11.IDLE and (
            self.http.our_state is not h11.SEND_RESPONSE
        ):
            return
        self._is_rejecting = True
        await Responder(self).send_complete(
            error.status, error.headers, error.body
        )
        # Closing with unread bytes would reset the connection before the
        # caller has read the response.
        with trio.move_on_after(LINGER_S):
            await self._stream.send_eof()
            while await self._stream.receive_some(BODY_RECEIVE_BYTES):
                pass

    def _abort_if_unframed(self) -> None:
        """Resets the connection if closing it would complete the response.

        For an HTTP/1.0 caller, a response without length ends with the
        connection, so a truncated response would look complete.
        """
        if self.http.their_http_version == b"1.0":
            upstreams.reset_on_close(self._stream)


def _find_length(request: h11.Request) -> int | None:
    """Returns the length of the body of a request; None if it is chunked."""
    headers = dict(request.headers)
    if b"transfer-encoding" in headers:
        return None
    return int(headers.get(b"content-length", 0))


def _make_size_error(limits: fleet.CallerLimits) -> RejectedError:
    return RejectedError(413, f"request body exceeds {limits.body_bytes} bytes")


def _make_memory_error() -> RejectedError:
    """Returns the refusal of a request whose body cannot be kept.

    It has not run, since it was not read completely.
    """
    retry_after = f"{RETRY_AFTER_S:g}".encode()
    return RejectedError(
        503,
        "not run: too many request bodies are being received",
        (_JSON_HEADER, (b"Retry-After", retry_after)),
    )


def _describe_client(stream: trio.abc.Stream) -> str:
    """Returns the address of the peer, empty for one without a socket."""
    sock = getattr(stream, "socket", None)
    if sock is None:
        return ""
    try:
        return str(sock.getpeername()[0])
    except OSError:
        # It has disconnected already.
        return ""


def _measure_head(request: h11.Request) -> int:
    """Returns the size of a request head in bytes."""
    # Delimiters count too: 14 bytes for the spaces, version and line end of the
    # request line and the empty last line, 4 for ": " and the line end of each
    # header.
    size = len(request.method) + len(request.target) + 14
    return size + sum(
        len(name) + len(value) + 4
        for name, value in request.headers.raw_items()
    )
