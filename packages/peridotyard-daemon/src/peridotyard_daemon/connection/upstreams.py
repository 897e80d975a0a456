"""HTTP/1.1 connections to backend servers, with a pool of idle ones.

It is built on h11 instead of httpcore for three reasons: a response to an
earlier request must be distinguished from the expected one, a stream must be
forwarded while its connection is monitored, and a failure must state whether
the request was sent.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import re
import select
import socket
import struct

import h11
from peridotyard_core import addresses
from peridotyard_core import buffers as buffers_module
from peridotyard_core import errors
from returns import result
import trio

from peridotyard_daemon.process import violations as violations_module

RECEIVE_BYTES = 1 << 16
# A server in the same region accepts a connection within a few milliseconds;
# TCP retransmits a lost connection request after one second.
CONNECT_TIMEOUT_S = 1.2
# Time limit of the connection attempt that distinguishes a terminated server
# from one that lost a response or is silent. A terminated server refuses the
# connection within a round trip, 2 ms within a region.
REFUSAL_TIMEOUT_S = 0.05
# TCP closes a connection on which data or keep-alive probes stay unacknowledged
# for this long. Otherwise a connection to a machine that lost power would stay
# open for minutes.
USER_TIMEOUT_MS = 2000
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# Idle connections expire after this time, or earlier if the server states a
# shorter timeout.
IDLE_TIMEOUT_S = 4.0
# Idle connections expire this long before the server's own timeout, so that
# the server does not close one while a request is in transit.
IDLE_MARGIN_S = 1.0
# Longest body of a small response, see `Pool.fetch`. A page of the platform's
# store takes 1.4 MB.
FETCH_LIMIT_BYTES = 4 << 20
# Limit of the unfinished bodies of all responses together. It exceeds the
# longest body, 16 MiB, and fits into the smallest machine of 152 MB.
UNFINISHED_LIMIT_BYTES = 24 << 20
# Events of h11 that are handled between two checkpoints. One read of 64 KiB has
# up to 10,000 of them, at 10 to 30 microseconds each.
EVENTS_PER_CHECKPOINT = 64
# Informational responses ahead of one response. Servers send none or one.
INFORMATIONAL_LIMIT = 16
# Responses to other requests that are skipped ahead of one response. A server
# sends at most a second copy of each late one.
SKIP_LIMIT = 16
# Parts of a response that may be small, and the least mean size in bytes beyond
# them. Each part costs as much processor time as some kilobytes. An event of a
# stream has at least 14 bytes, and a server that sends each line of an event by
# itself more than 4 for each part.
SMALL_PARTS = 16_384
MIN_PART_BYTES = 4
# Headers that state where a body ends.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
# Timeout of idle connections in a Keep-Alive header, whole seconds.
_KEEP_ALIVE_TIMEOUT = re.compile(
    rb"(?:.*,)?\s*timeout=([0-9]{1,9})\s*(?:,.*)?", re.IGNORECASE
)
# Idle connections per server. More would use up connections that other entries
# need, since the server limits the total of all entries.
IDLE_LIMIT = 12
# Time for which it is known when an address last sent bytes. It exceeds the
# time limits of all requests to which a missing response is a failure.
HEARD_LIFETIME_S = 10.0


class UnsentError(errors.PeridotyardError):
    """No connection was made, so the server did not receive the request."""


class RefusedError(UnsentError):
    """The host is reachable, but no process accepts connections there."""


class ResponseTimeoutError(errors.PeridotyardError):
    """There was no response in time; the request may have been received."""


class LostError(errors.PeridotyardError):
    """The connection failed after the request may have been received."""


def set_socket_options(stream: trio.abc.Stream) -> None:
    """Enables keep-alive probes, the user timeout and TCP_NODELAY.

    In-memory connections have no socket and stay as they are.
    """
    sock = getattr(stream, "socket", None)
    if sock is not None:
        _set_socket_options(sock)


def reset_on_close(stream: trio.abc.Stream) -> None:
    """Makes the connection end with a reset, which the peer sees as a failure.

    In-memory connections have no socket and stay as they are.
    """
    sock = getattr(stream, "socket", None)
    if sock is not None:
        # Setting the option fails on a connection that was already reset.
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def is_closed_by_peer(stream: trio.abc.Stream) -> bool:
    """Returns whether the peer has closed or reset a connection.

    It does not read, so it also sees an end behind unread bytes. For in-memory
    connections, which have no socket, it is False.
    """
    sock = getattr(stream, "socket", None)
    if sock is None or sock.fileno() < 0:
        return False
    return _is_signalled(sock, select.POLLRDHUP)


def _is_signalled(sock: trio.socket.SocketType, events: int) -> bool:
    """Returns whether a poll of a socket reports events, an end or an error."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    return bool(poll.poll(0))


def _set_socket_options(sock: trio.socket.SocketType) -> None:
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def open_tcp(address: addresses.Address) -> trio.abc.Stream:
    """Opens a TCP connection.

    Raises:
        OSError: The connection was refused or not made in time.
    """
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_socket_options(sock)
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await sock.connect((address.host, address.port))
    except BaseException as error:
        sock.close()
        if isinstance(error, trio.TooSlowError):
            raise TimeoutError(f"{address}: connection timed out") from error
        raise
    return trio.SocketStream(sock)


@dataclasses.dataclass(frozen=True)
class Response:
    """A small and complete response, see `Pool.fetch`.

    Attributes:
        status: HTTP status.
        body: The complete body.
        headers: Names and values of the headers.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the value of a header, the first one if there are several.

        Args:
            name: Name of the header in lower case.
        """
        return next((v for key, v in self.headers if key.lower() == name), None)


class Connection:
    """One connection to a server; it carries one request at a time.

    Owned by the request in progress, or by the pool while idle.

    Attributes:
        address: The server's address.
        is_framed: Whether the response has a length or chunks; otherwise, it
            ends with the connection.
        is_reused: Whether it has carried another request before.
        is_skipping: Whether the response in progress belongs to another
            request, see `skip_response`.
        keep_alive_s: Time for which the server keeps it open while idle,
            seconds; None if the last response does not state it.
    """

    def __init__(
        self,
        address: addresses.Address,
        stream: trio.abc.Stream,
        notify_received: collections.abc.Callable[
            [addresses.Address], None
        ] = lambda _: None,
        buffers: buffers_module.Buffers | None = None,
        violations: violations_module.Violations | None = None,
    ):
        """Wraps a new connection.

        Args:
            address: The server's address.
            stream: The connection.
            notify_received: Called with the address whenever bytes arrive.
            buffers: Unfinished bodies of all connections; None for those of
                this connection alone.
            violations: Record of responses that violate a limit; None for one
                that counts nothing.
        """
        self.address = address
        self.is_framed = True
        self.is_reused = False
        self.is_skipping = False
        self.keep_alive_s: float | None = None
        self._stream = stream
        self._notify_received = notify_received
        self._buffers = buffers or buffers_module.Buffers(
            UNFINISHED_LIMIT_BYTES
        )
        self._violations = violations or violations_module.Violations()
        self._http = h11.Connection(h11.CLIENT)
        self._request = None
        self._unchecked_events = 0
        self._skipped_responses = 0
        self._informational_responses = 0
        self._parts = 0
        self._part_bytes = 0

    async def send(self, method: str, target: str, headers, body: bytes):
        """Sends a complete request.

        Raises:
            LostError: The connection failed; the server may have received it.
        """
        pairs = list(headers)
        names = {name.lower() for name, _ in pairs}
        if b"host" not in names:
            pairs.insert(0, (b"Host", str(self.address).encode()))
        if body or method in ("POST", "PUT", "PATCH"):
            pairs.append((b"Content-Length", str(len(body)).encode()))
        self._request = h11.Request(method=method, target=target, headers=pairs)
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        try:
            await self._stream.send_all(data)
        except (OSError, trio.BrokenResourceError) as error:
            raise LostError(f"{self.address}: {error!r}") from error

    async def receive(self):
        """Returns the next event of the response.

        Returns:
            An h11 `Response`, `Data` or `EndOfMessage`.

        If it is cancelled, a later call returns the same event.

        Raises:
            LostError: The connection failed, or the response is malformed or
                consists of too many small parts.
        """
        while True:
            self._unchecked_events += 1
            if self._unchecked_events > EVENTS_PER_CHECKPOINT:
                self._unchecked_events = 0
                await trio.lowlevel.checkpoint()
            try:
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(RECEIVE_BYTES)
                    self._unchecked_events = 0
                    if data:
                        self._notify_received(self.address)
                    self._http.receive_data(data)
                    continue
            except (
                OSError,
                trio.BrokenResourceError,
                h11.RemoteProtocolError,
            ) as error:
                raise LostError(f"{self.address}: {error!r}") from error
            if isinstance(event, h11.InformationalResponse):
                self._record_informational()
                continue
            if isinstance(event, h11.Data):
                self._record_part(len(event.data))
            if isinstance(event, h11.Response):
                self._informational_responses = 0
                self._parts = self._part_bytes = 0
                names = {name for name, _ in event.headers}
                self.is_framed = not names.isdisjoint(FRAMING_HEADERS)
                self.keep_alive_s = _find_keep_alive(event.headers)
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise LostError(f"{self.address}: the response ended early")
            return event

    def _record_informational(self) -> None:
        self._informational_responses += 1
        if self._informational_responses > INFORMATIONAL_LIMIT:
            raise self._reject(
                "response_framing",
                f"more than {INFORMATIONAL_LIMIT} informational responses",
            )

    def _record_part(self, size: int) -> None:
        self._parts += 1
        self._part_bytes += size
        if (
            self._parts > SMALL_PARTS
            and self._part_bytes < MIN_PART_BYTES * self._parts
        ):
            raise self._reject(
                "response_framing", "the response has tiny parts"
            )

    def _reject(self, kind: str, reason: str) -> LostError:
        """Records a response that violates a limit; returns its error."""
        error = LostError(f"{self.address}: {reason}")
        self._violations.record(kind, error)
        return error

    async def receive_body(self, limit_bytes: int) -> bytes:
        """Returns the body of the response, after its head.

        Args:
            limit_bytes: Length from which the body is not buffered any further.

        Raises:
            LostError: It ended early, is longer than the limit, or was given
                up since all bodies together exceed their limit.
        """
        with trio.CancelScope() as scope:
            buffer = self._buffers.open(scope.cancel, trio.current_time())
            try:
                return await self._receive_into(buffer, limit_bytes)
            finally:
                self._buffers.close(buffer)
        raise self._reject(
            "response_memory",
            f"body given up for memory after {buffer.size_bytes} bytes",
        )

    async def _receive_into(
        self, buffer: buffers_module.Buffer, limit_bytes: int
    ) -> bytes:
        body = bytearray()
        try:
            while not isinstance(
                event := await self.receive(), h11.EndOfMessage
            ):
                body += event.data
                if len(body) > limit_bytes:
                    raise self._reject(
                        "response_length", "response body is too long"
                    )
                self._buffers.resize(buffer, len(body), trio.current_time())
        except BaseException:
            # The traceback may keep this frame for some time.
            body.clear()
            raise
        return bytes(body)

    async def skip_response(self, limit_bytes: int) -> None:
        """Receives the rest of a response to another request.

        A server may send a second response to an earlier request before the
        expected one. If this is cancelled, call it again.

        Args:
            limit_bytes: Largest length of the rest of the body.

        Raises:
            LostError: The response ended early or is longer than the limit,
                the server closes the connection after it, or it is one of too
                many.
        """
        await self.receive_body(limit_bytes)
        self._skipped_responses += 1
        if self._skipped_responses > SKIP_LIMIT:
            raise self._reject(
                "response_skips",
                f"more than {SKIP_LIMIT} responses to other requests",
            )
        trailing, closed = self._http.trailing_data
        if self._http.their_state is not h11.DONE or closed:
            raise LostError(
                f"{self.address}: closed after the response to another request"
            )
        next_http = h11.Connection(h11.CLIENT)
        next_http.send(self._request)
        with contextlib.suppress(h11.LocalProtocolError):
            # Only advances the state of h11; the body was already sent.
            length = dict(self._request.headers).get(b"content-length", b"0")
            if int(length):
                next_http.send(h11.Data(data=bytes(int(length))))
            next_http.send(h11.EndOfMessage())
        if trailing:
            next_http.receive_data(trailing)
        self._http = next_http
        self.is_skipping = False

    def try_start_next_cycle(self) -> bool:
        """Prepares for another request; returns whether one can be sent."""
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._skipped_responses = 0
        self.is_reused = True
        return True

    def is_reusable(self) -> bool:
        """Returns whether an idle connection is open and has nothing to read.

        Unread bytes would belong to no request of this entry, and an end of
        the stream means that the server has closed the connection.
        """
        sock = getattr(self._stream, "socket", None)
        if sock is None:
            return True
        return not _is_signalled(sock, select.POLLIN)

    def abort(self) -> None:
        """Resets the connection, so that the server stops the request."""
        reset_on_close(self._stream)
        getattr(self._stream, "socket", self._stream).close()


class Pool:
    """Pool of idle connections to servers, owned by the process."""

    def __init__(
        self,
        dial=open_tcp,
        notify_dialed=None,
        names_request=None,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        """Makes an empty pool.

        Args:
            dial: Async function from an address to a stream.
            notify_dialed: Called without arguments for each new connection.
            names_request: Returns whether the headers of a response name the
                request of a caller, which `fetch` never sends.
            count: Increases the counter of the given name.
        """
        self._dial = dial
        self._notify_dialed = notify_dialed or (lambda: None)
        self._names_request = names_request or (lambda _: False)
        self._buffers = buffers_module.Buffers(UNFINISHED_LIMIT_BYTES)
        self._violations = violations_module.Violations(count)
        self._idle = collections.defaultdict(collections.deque)
        self._heard_at: dict[addresses.Address, float] = {}

    async def acquire(
        self, address: addresses.Address, force_new: bool = False
    ) -> Connection:
        """Returns an idle connection if there is one, else a new one.

        Args:
            address: The server's address.
            force_new: Whether to open a new connection in any case.

        Raises:
            UnsentError: No connection could be made.
        """
        idle = self._idle.get(address)
        now = trio.current_time()
        while idle and not force_new:
            connection, expires = idle.pop()
            if now < expires and connection.is_reusable():
                return connection
            connection.abort()
        try:
            stream = await self._dial(address)
        except ConnectionRefusedError as error:
            raise RefusedError(f"{address}: {error!r}") from error
        except OSError as error:
            raise UnsentError(f"{address}: {error!r}") from error
        self._notify_dialed()
        return Connection(
            address,
            stream,
            self._record_heard,
            self._buffers,
            self._violations,
        )

    def _record_heard(self, address: addresses.Address) -> None:
        self._heard_at[address] = trio.current_time()

    def get_heard_at(self, address: addresses.Address) -> float:
        """Returns when bytes last arrived from an address.

        It is the time on any connection of this pool, and minus infinity if
        that is more than `HEARD_LIFETIME_S` ago.
        """
        return self._heard_at.get(address, float("-inf"))

    async def try_connect(self, address: addresses.Address) -> None:
        """Opens a new connection and closes it, to see whether it is refused.

        Returns without an error if there is no result within
        `REFUSAL_TIMEOUT_S`.

        Raises:
            RefusedError: The connection was refused, so the process has ended.
            UnsentError: No connection could be made for another reason.
        """
        with trio.move_on_after(REFUSAL_TIMEOUT_S):
            (await self.acquire(address, force_new=True)).abort()

    def release(self, connection: Connection) -> None:
        """Returns a connection to the pool after a complete response."""
        idle = self._idle[connection.address]
        if not connection.try_start_next_cycle() or len(idle) >= IDLE_LIMIT:
            connection.abort()
            return
        limit_s = IDLE_TIMEOUT_S
        if connection.keep_alive_s is not None:
            limit_s = min(limit_s, connection.keep_alive_s - IDLE_MARGIN_S)
        if limit_s <= 0:
            connection.abort()
            return
        idle.append((connection, trio.current_time() + limit_s))

    def close_idle(self, address: addresses.Address) -> None:
        """Closes the idle connections to an address after a failure."""
        for connection, _ in self._idle.pop(address, ()):
            connection.abort()

    def close_expired(self) -> None:
        """Closes the idle connections that have expired.

        Also discards the times at which addresses were heard, after
        `HEARD_LIFETIME_S`.
        """
        now = trio.current_time()
        self._heard_at = {
            address: at
            for address, at in self._heard_at.items()
            if now - at < HEARD_LIFETIME_S
        }
        for address, idle in list(self._idle.items()):
            while idle and idle[0][1] <= now:
                idle.popleft()[0].abort()
            if not idle:
                del self._idle[address]

    async def fetch(
        self,
        address: addresses.Address,
        method: str,
        target: str,
        headers=(),
        body: bytes = b"",
        *,
        force_new: bool = False,
    ) -> Response:
        """Sends a small request; returns the complete response.

        Args:
            address: The server's address.
            method: HTTP method.
            target: Path and query.
            headers: Headers of the request.
            body: Body of the request.
            force_new: Whether to open a new connection in any case.

        Raises:
            UnsentError: The server did not receive the request.
            LostError: The server may have received it; there is no response.
        """
        connection = await self.acquire(address, force_new)
        done = False
        try:
            await connection.send(method, target, headers, body)
            head = await connection.receive()
            response_headers = tuple(head.headers.raw_items())
            if self._names_request(response_headers):
                # A late second response to an earlier request on this
                # connection.
                raise LostError(f"{address}: response to another request")
            content = await connection.receive_body(FETCH_LIMIT_BYTES)
            done = True
        finally:
            if not done:
                connection.abort()
        self.release(connection)
        return Response(head.status_code, content, response_headers)

    async def try_fetch(
        self,
        address: addresses.Address,
        method: str,
        target: str,
        headers=(),
        body: bytes = b"",
        *,
        timeout_s: float,
        force_new: bool = False,
    ) -> result.Result[Response, errors.PeridotyardError]:
        """Sends a small request with a time limit; see `fetch`.

        Returns:
            The response, or one of the errors of this module.
        """
        with trio.move_on_after(timeout_s):
            try:
                response = await self.fetch(
                    address, method, target, headers, body, force_new=force_new
                )
                return result.Success(response)
            except (UnsentError, LostError) as error:
                return result.Failure(error)
        timeout = ResponseTimeoutError(
            f"{address}: no response within {timeout_s} s"
        )
        return result.Failure(timeout)


def _find_keep_alive(headers) -> float | None:
    """Returns the timeout in a Keep-Alive header, None if there is none."""
    for name, value in headers:
        if name == b"keep-alive":
            found = _KEEP_ALIVE_TIMEOUT.fullmatch(value)
            return float(found[1]) if found else None
    return None
