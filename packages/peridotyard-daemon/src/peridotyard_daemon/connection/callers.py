"""HTTP/1.1 server connections of callers, with configurable limits.

It is built on h11 instead of hypercorn for three reasons: the response of a
lost stream must end without its final chunk, a disconnect of the caller must
be detected while its request runs, and the limits change with the
configuration.
"""

import collections.abc
import contextlib
import json
import typing

import h11
from peridotyard_core import fleet
import trio

from peridotyard_daemon.connection import upstreams

RECEIVE_BYTES = 1 << 16
# Pipelined requests are buffered up to this size while another request runs;
# the rest stays in the socket's receive buffer.
PIPELINE_BYTES = 1 << 16
# Time between two checks for a disconnect while that buffer is full.
DISCONNECT_POLL_S = 0.2
# Time limit of one write; the connection of a caller that does not read its
# response is closed after it.
SEND_TIMEOUT_S = 20.0
# Time for a caller to read an error response before its connection is closed;
# closing a connection with unread input resets it.
LINGER_S = 0.2


class RejectedError(Exception):
    """The request violates a limit or the protocol.

    Attributes:
        status: HTTP status of the error response, such as 400, 408 or 431.
    """

    def __init__(self, status: int, message: str):
        self.status = status
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
            data += http.send(h11.Data(data=body))
        with contextlib.suppress(h11.LocalProtocolError):
            data += http.send(h11.EndOfMessage())
        await self._connection.write(data)
        self.finished = True

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


class CallerConnection:
    """One connection of a caller; serves its requests one at a time, in order.

    Attributes:
        http: The h11 connection; None until `run`.
        method: Method of the request in progress.
        busy: Whether a request is being read or served.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        read_limits: collections.abc.Callable[[], fleet.CallerLimits],
        is_draining: collections.abc.Callable[[], bool],
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
        """
        self._stream = stream
        self._handler = handler
        self._read_limits = read_limits
        self._is_draining = is_draining
        self._pending = bytearray()
        self._at_end = False
        self.http: typing.Any = None
        self.method = ""
        self.busy = False
        self._closing = False
        self._is_rejecting = False
        self._idle_scope = trio.CancelScope()

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
        if self._is_rejecting or (closing and not self._has_input):
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
            with trio.move_on_after(0.1, shield=True):
                await self._stream.aclose()

    async def write(self, data: bytes) -> None:
        """Sends bytes to the caller.

        Raises:
            trio.BrokenResourceError: The caller disconnected or does not read.
        """
        with trio.move_on_after(SEND_TIMEOUT_S) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("caller does not read its response")

    async def _serve_one(self) -> bool:
        """Serves one request; returns whether another one may follow."""
        try:
            request, body = await self._read_request()
        except RejectedError as error:
            await self._reject(error)
            return False
        if request is None or self.is_disconnected:
            return False
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
        with trio.move_on_after(limits.header_timeout_s):
            request = await self._next_event()
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
        return request, await self._read_body(limits)

    async def _read_body(self, limits: fleet.CallerLimits) -> bytes:
        body = bytearray()
        while True:
            if self.http.they_are_waiting_for_100_continue:
                interim = h11.InformationalResponse(status_code=100, headers=[])
                await self.write(self.http.send(interim))
            event = None
            with trio.move_on_after(limits.idle_timeout_s):
                event = await self._next_event()
            if event is None:
                raise RejectedError(408, "request body not received in time")
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise trio.BrokenResourceError(
                    "connection closed within a request body"
                )
            body += event.data
            if len(body) > limits.body_bytes:
                raise RejectedError(
                    413, f"request body exceeds {limits.body_bytes} bytes"
                )

    async def _next_event(self):
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                status = error.error_status_hint
                raise RejectedError(status, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if not self._pending:
                await self._receive_pending()
            data, self._pending = bytes(self._pending), bytearray()
            if data or self._at_end:
                self.http.receive_data(data)

    async def _receive_pending(self) -> bool:
        """Receives bytes into the buffer; returns False at end of stream."""
        data = await self._stream.receive_some(RECEIVE_BYTES)
        self._pending += data
        self._at_end = not data
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
        body = json.dumps({"error": str(error)}).encode()
        headers = [(b"Content-Type", b"application/json")]
        await Responder(self).send_complete(error.status, headers, body)
        # Closing with unread bytes would reset the connection before the
        # caller has read the response.
        with trio.move_on_after(LINGER_S):
            await self._stream.send_eof()
            while await self._stream.receive_some(RECEIVE_BYTES):
                pass

    def _abort_if_unframed(self) -> None:
        """Resets the connection if closing it would complete the response.

        For an HTTP/1.0 caller, a response without length ends with the
        connection, so a truncated response would look complete.
        """
        if self.http.their_http_version == b"1.0":
            upstreams.reset_on_close(self._stream)


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
