"""HTTP/1.1 server connections of callers, with configurable limits.

It is built on h11 instead of hypercorn for three reasons: the response of a
lost stream must end without its final chunk, a disconnect of the caller must
be detected while its request runs, and the limits change with the
configuration.
"""

import collections.abc
import contextlib

import h11
from peridotyard_core import fleet
from peridotyard_core import holdings
import trio

from peridotyard_daemon.connection import requests
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import intake as intake_module

# Large responses are sent in pieces of this size, so that h11 copies no more
# and that progress is seen.
SEND_BYTES = 1 << 16
# Pipelined requests are buffered up to this size while another request runs;
# the rest stays in the socket's receive buffer.
PIPELINE_BYTES = 1 << 14
# Longest time from the head to the end of a body, beside the time limit of one
# pause. Callers wait for some 25 s for a response.
BODY_TIMEOUT_S = 60.0
# Time between two checks for a disconnect while that buffer is full.
DISCONNECT_POLL_S = 0.2
# Time limit of one write; the connection of a caller that does not read its
# response is closed after it.
SEND_TIMEOUT_S = 20.0
# Time for a caller to read an error response before its connection is closed;
# closing a connection with unread input resets it.
LINGER_S = 0.2


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


class CallerConnection:
    """One connection of a caller; serves its requests one at a time, in order.

    Attributes:
        method: Method of the request in progress.
        busy: Whether a request is being read or served.
        is_serving: Whether a request was read and is being served.
        is_evicted: Whether it closes as soon as no request is in progress.
        served: Number of requests that have been served.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        read_limits: collections.abc.Callable[[], fleet.CallerLimits],
        is_draining: collections.abc.Callable[[], bool],
        intake: intake_module.Intake | None = None,
        check_head: requests.HeadCheck = requests.accept_all,
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
        self._client = _describe_client(stream)
        self._holding: holdings.Holding | None = None
        self._reader = requests.RequestReader(
            stream,
            read_limits(),
            self._intake.decoding,
            self.hold,
            check_head,
            self.write,
        )
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

    @property
    def http(self) -> h11.Connection:
        """The h11 connection."""
        return self._reader.http

    @property
    def progressed_at(self) -> float:
        """Time at which it last received bytes."""
        return self._reader.progressed_at

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection, or half of it."""
        return self._reader.is_disconnected

    def make_closing_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns a "Connection: close" header if the connection will close.

        It stays open for a pipelined request that has been received, which
        would end without a response otherwise.
        """
        closing = self._closing or self._is_draining()
        if (
            self._is_rejecting
            or self.is_evicted
            or (closing and not self._reader.has_input)
        ):
            return [(b"Connection", b"close")]
        return []

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
            # A response is kept while a server sends it.
            self._holding.is_droppable = not self.is_serving
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
        try:
            while await self._serve_one() and (
                self._reader.has_input or not self._closing
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
        except requests.RejectedError as error:
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
            requests.RejectedError: The request violates a limit or the
                protocol.
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
            if not self._reader.has_input and not await self._reader.receive():
                return None, b""
            self.busy = True
        if self._idle_scope.cancelled_caught:
            return None, b""
        with trio.move_on_after(limits.header_timeout_s) as self._scope:
            request = await self._reader.read_head()
        self._scope = None
        if self.is_evicted:
            return None, b""
        if request is None:
            raise requests.RejectedError(
                408, "request head not received in time"
            )
        if not isinstance(request, h11.Request):
            return None, b""
        # The size limit of h11 applies only to heads that arrive in several
        # reads.
        if requests.measure_head(request) > limits.header_bytes:
            raise requests.RejectedError(
                431, f"request head exceeds {limits.header_bytes} bytes"
            )
        self.method = request.method.decode("ascii").upper()
        body = b""
        with trio.move_on_after(BODY_TIMEOUT_S) as self._scope:
            body = await self._reader.read_body(request, limits)
        scope, self._scope = self._scope, None
        if self.is_evicted or (self._holding and self._holding.is_dropped):
            raise requests.make_memory_error()
        if scope.cancelled_caught:
            raise requests.RejectedError(
                408, "request body not received in time"
            )
        return request, body

    async def _watch_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancels the request when the caller disconnects.

        A half-closed connection counts as a disconnect too, since a request
        that nobody waits for must not occupy a server.
        """
        try:
            while len(self._reader.pending) < PIPELINE_BYTES:
                if not await self._reader.receive():
                    break
            else:
                while not self.is_disconnected:
                    await trio.sleep(DISCONNECT_POLL_S)
        except (OSError, trio.BrokenResourceError):
            # Same effect as an orderly close: nobody reads the response.
            self._reader.at_end = True
        scope.cancel()

    async def _reject(self, error: requests.RejectedError) -> None:
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
            while await self._stream.receive_some(requests.BODY_RECEIVE_BYTES):
                pass

    def _abort_if_unframed(self) -> None:
        """Resets the connection if closing it would complete the response.

        For an HTTP/1.0 caller, a response without length ends with the
        connection, so a truncated response would look complete.
        """
        if self.http.their_http_version == b"1.0":
            upstreams.reset_on_close(self._stream)


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
