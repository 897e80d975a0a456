"""Connections to other processes: hello, heartbeats and reconnection."""

import collections.abc
import dataclasses
import typing

from peridotyard_core import addresses
from peridotyard_core import buffers as buffers_module
from peridotyard_core import errors
import trio

from peridotyard_daemon.connection import frames
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.process import violations as violations_module
from peridotyard_daemon.wire.generated import ttypes

PROTOCOL_VERSION = 1
# The connection is closed when more than this is queued for a peer that does
# not read, so that one slow process cannot exhaust the memory of another.
QUEUE_LIMIT_BYTES = 32 << 20
# Queued frames are combined into one write until it reaches this size.
WRITE_BYTES = 1 << 16
# A connection counts as busy for this long after its last frame other than a
# heartbeat. Both ends see nearly the same last frame, so they agree on whether
# the connection is busy.
BUSY_HOLD_S = 10.0
# Larger than any heartbeat, so a larger read is part of another frame.
HEARTBEAT_BYTES = 64
RECONNECT_DELAY_MIN_S = 0.05
RECONNECT_DELAY_MAX_S = 2.0
# Limit of accepted connections that have sent no hello. They are in no table
# yet, so a peer could otherwise open any number of them. Above the limit, a new
# one replaces the oldest.
HELLO_LIMIT = 1024
# Limits of a hello. Its texts take 2 KB at most.
HELLO_FRAME_LIMITS = frames.Limits(
    frame_bytes=1 << 12, list_length=64, receive_bytes=1 << 12
)
# Limit of accepted connections. An entry has one of each sidecar, and there are
# 10,000 backend servers at the target size.
CONNECTION_LIMIT = 16_384
# Limit of the incomplete frames of all connections together; it exceeds the
# largest frame.
UNFINISHED_LIMIT_BYTES = 24 << 20
# Time for a peer to accept the bytes of one write.
WRITE_TIMEOUT_S = frames.FRAME_TIMEOUT_S
# Longest heartbeat interval of a peer, milliseconds; that of the settings.
HEARTBEAT_LIMIT_MS = 30_000

# Characters of each text in a hello; the store takes keys of 200 bytes.
HELLO_TEXT_LENGTH = 128
# Largest processor capacity in a hello, in cores.
MAX_CAPACITY = 1e6

# Reason of the end of a connection whose peer has stayed silent.
TIMEOUT_REASON = "nothing received within the heartbeat timeout"

_log = logs.Logger("peers")


class UnreachableError(errors.PeridotyardError):
    """No connection to the address could be made in time."""


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timing of the connections of a process.

    Attributes:
        heartbeat_s: Heartbeat interval on a busy connection, seconds.
        misses: Heartbeat intervals without input after which a connection is
            closed.
        dial_s: Time limit for a connection and its hello, seconds.
        idle_heartbeat_s: Heartbeat interval on an idle connection, seconds.
    """

    heartbeat_s: float
    misses: int
    dial_s: float
    idle_heartbeat_s: float = 1.0

    @classmethod
    def from_config(cls, settings) -> "Timing":
        """Makes the timing from a `settings.DaemonSettings`."""
        return cls(
            settings.heartbeat_s,
            settings.heartbeat_misses,
            settings.dial_timeout_s,
            settings.idle_heartbeat_s,
        )

    def choose_interval(self, busy: bool) -> float:
        """Returns the heartbeat interval in seconds."""
        # The interval of an idle connection is never the shorter one.
        if busy:
            return self.heartbeat_s
        return max(self.heartbeat_s, self.idle_heartbeat_s)


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the connections of a process.

    Attributes:
        connections: Largest number of accepted connections.
        unfinished_bytes: Largest size of all incomplete frames together.
        frame: Limits of each frame after the hello.
    """

    connections: int = CONNECTION_LIMIT
    unfinished_bytes: int = UNFINISHED_LIMIT_BYTES
    frame: frames.Limits = frames.Limits()


class Handler(typing.Protocol):
    """Callbacks of a process for its connections.

    They must not block: they run in the task that reads the connection, one at
    a time.
    """

    def make_hello(self) -> ttypes.Hello:
        """Returns the first message to a peer."""

    def make_heartbeat(self) -> ttypes.Heartbeat:
        """Returns a heartbeat; its sequence is set by the connection."""

    def handle_connected(self, connection: "Connection") -> None:
        """Called once both sides have sent their hello."""

    def handle_frame(self, connection: "Connection", frame) -> None:
        """Called for each frame but a hello or a heartbeat of revision 0.

        Such a heartbeat carries no configuration revision.
        """

    def handle_closed(self, connection: "Connection", reason: str) -> None:
        """Called once for each connection passed to `handle_connected`."""


class Connection:
    """One duplex connection to a peer, owned by `Peers`.

    A connection that receives nothing within the heartbeat timeout, that is
    `Timing.misses` heartbeat intervals of the peer, is closed.

    Attributes:
        peer: The hello of the peer.
        dialed: Address that this side connected to; None if the peer opened
            the connection.
    """

    def __init__(
        self,
        stream,
        handler: Handler,
        timing: Timing,
        dialed,
        count,
        violations: violations_module.Violations,
        buffers: buffers_module.Buffers,
        frame_limits: frames.Limits,
    ):
        self.peer: ttypes.Hello = ttypes.Hello()
        self.dialed: addresses.Address | None = dialed
        self._stream = stream
        self._reader = frames.FrameReader(
            stream, self._record_data, HELLO_FRAME_LIMITS, buffers
        )
        self._frame_limits = frame_limits
        self._violations = violations
        self._handler = handler
        self._timing = timing
        self._count = count
        self._queue: list[bytes] = []
        self._queued_bytes = 0
        self._wakeup = trio.Event()
        self._received_at = 0.0
        self._sent_at = 0.0
        self._busy_until = 0.0
        self._busy_changed_at = 0.0
        self._became_busy = trio.Event()
        self._sequence = 0
        self._reason = ""
        self._scope = trio.CancelScope()
        self._closed = trio.Event()

    @property
    def is_open(self) -> bool:
        """Whether frames can be posted."""
        return not self._closed.is_set()

    @property
    def key(self) -> str:
        """Address at which the peer listens, or its instance name."""
        return self.peer.address or self.peer.instance

    def post(self, frame: ttypes.Frame) -> bool:
        """Queues a frame; it is sent in the order of the calls.

        Returns:
            False if the connection is closed and the frame was dropped. True
            does not guarantee that the peer receives it.
        """
        if not self.is_open:
            return False
        try:
            data = frames.encode(frame)
        except frames.FrameError as error:
            # Closing reports the failure; a frame that is too large can never
            # be sent and would otherwise be lost silently.
            self.close(str(error))
            return False
        return self.post_encoded(data, frame.heartbeat is None)

    def post_encoded(self, data: bytes, counts_as_use: bool = True) -> bool:
        """Queues an encoded frame; see `post`.

        Args:
            data: The frame, with its length prefix.
            counts_as_use: Whether the frame is other than a heartbeat.
        """
        if not self.is_open:
            return False
        self._queue.append(data)
        self._queued_bytes += len(data)
        if counts_as_use:
            self._record_use()
        if self._queued_bytes > QUEUE_LIMIT_BYTES:
            self.close("the peer does not read")
            return False
        self._wakeup.set()
        return True

    def close(self, reason: str) -> None:
        """Closes the connection at once; queued frames are dropped."""
        if self.is_open:
            self._reason = reason
        self._closed.set()
        self._scope.cancel()

    def end_by_error(self, error: Exception) -> None:
        """Closes the connection after an error that its frames have caused."""
        self._count("internal_errors.peer")
        _log.error(
            "peer connection ended by an internal error",
            peer=self.peer.instance,
            **logs.describe_error(error),
        )
        self.close("internal error")

    async def wait_closed(self) -> None:
        """Waits until no more frames can be posted."""
        await self._closed.wait()

    async def exchange_hello(self) -> None:
        """Sends the hello and waits for the peer's.

        Raises:
            frames.FrameError: The peer's first frame is not a hello of this
                protocol version.
            trio.BrokenResourceError: The connection failed.
        """
        hello = self._handler.make_hello()
        hello.heartbeat_ms = round(self._timing.choose_interval(True) * 1000)
        hello.idle_heartbeat_ms = round(
            self._timing.choose_interval(False) * 1000
        )
        await self._stream.send_all(frames.encode(ttypes.Frame(hello=hello)))
        frame = await self._reader.receive()
        if frame is None or frame.hello is None:
            raise frames.FrameError("the first frame is not a hello")
        if frame.hello.protocol != PROTOCOL_VERSION:
            raise frames.FrameError(
                f"peer has protocol version {frame.hello.protocol}, not"
                f" {PROTOCOL_VERSION}"
            )
        _check_hello(frame.hello)
        self.peer = frame.hello
        self._reader.limits = self._frame_limits

    async def run(self) -> str:
        """Exchanges frames until the connection ends.

        Returns:
            The reason for its end.
        """
        now = trio.current_time()
        self._received_at = self._sent_at = self._busy_changed_at = now
        # A handler may have closed the connection before it runs.
        if self.is_open:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    for run in (self._read, self._write, self._run_heartbeats):
                        nursery.start_soon(self._run_contained, run)
        self._closed.set()
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(self._stream)
        return self._reason or "cancelled"

    async def _run_contained(self, run) -> None:
        try:
            await run()
        except Exception as error:
            # An error in one connection must not end all others.
            self.end_by_error(error)

    async def _read(self) -> None:
        try:
            while True:
                frame = await self._reader.receive()
                if frame is None:
                    self.close("the peer closed the connection")
                    return
                if frame.heartbeat is None:
                    self._record_use()
                if frame.heartbeat is None or frame.heartbeat.revision:
                    self._handler.handle_frame(self, frame)
                if not self.is_open:
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close("the connection failed")
        except frames.FrameError as error:
            self._violations.record("peer_frame", error)
            self.close(str(error))

    async def _write(self) -> None:
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup = trio.Event()
                while self._queue:
                    data = self._dequeue_batch()
                    # A peer that sends heartbeats and does not read would
                    # otherwise keep the queue.
                    with trio.fail_after(WRITE_TIMEOUT_S):
                        await self._stream.send_all(data)
                    self._sent_at = trio.current_time()
        except trio.TooSlowError:
            self.close("the peer does not read")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self.close("the connection failed")

    def _dequeue_batch(self) -> bytes:
        size = 0
        count = 0
        for data in self._queue:
            count += 1
            size += len(data)
            if size >= WRITE_BYTES:
                break
        data = b"".join(self._queue[:count])
        del self._queue[:count]
        self._queued_bytes -= size
        return data

    def _record_data(self, size: int) -> None:
        self._received_at = trio.current_time()
        # A large frame takes long to arrive on a slow link, while its sender
        # already expects the heartbeat interval of a busy connection.
        if size > HEARTBEAT_BYTES:
            self._record_use()

    def _record_use(self) -> None:
        now = trio.current_time()
        if now >= self._busy_until:
            self._busy_changed_at = now
            self._became_busy.set()
        self._busy_until = now + BUSY_HOLD_S

    async def _run_heartbeats(self) -> None:
        busy = False
        woken_at = trio.current_time()
        while True:
            interval_s = self._timing.choose_interval(busy)
            with trio.move_on_after(interval_s):
                await self._became_busy.wait()
                self._became_busy = trio.Event()
            now = trio.current_time()
            # After a pause of this process, frames of the peer may be received
            # but not yet read, so the connection must not time out yet.
            if now - woken_at > 2 * interval_s:
                self._received_at = max(self._received_at, now - interval_s)
            woken_at = now
            if self._has_timed_out(busy, now):
                self.close(TIMEOUT_REASON)
                return
            was_busy, busy = busy, now < self._busy_until
            if busy != was_busy:
                self._busy_changed_at = now
            elif now - self._sent_at < interval_s / 2 or self._queue:
                continue
            self._post_heartbeat()

    def _has_timed_out(self, busy: bool, now: float) -> bool:
        if busy:
            interval_ms = self.peer.heartbeat_ms
        else:
            interval_ms = self.peer.idle_heartbeat_ms
        # The tolerance keeps rounding of the clock from delaying detection by
        # an interval.
        limit_s = self._timing.misses * interval_ms / 1000 - 1e-6
        # The peer changes its interval when it receives the first frame, so the
        # time before the change does not count: its interval was another one.
        return now - max(self._received_at, self._busy_changed_at) >= limit_s

    def _post_heartbeat(self) -> None:
        self._sequence += 1
        heartbeat = self._handler.make_heartbeat()
        heartbeat.sequence = self._sequence
        self.post(ttypes.Frame(heartbeat=heartbeat))


class Peers:
    """All connections of a process to other processes, owned by the process.

    Each pair of processes shares one connection where possible: a process also
    uses a connection that the peer opened to reach the peer's address. Two
    processes that connect to each other at the same time have two connections,
    which is harmless, since every message is self-contained.
    """

    def __init__(
        self,
        network: network_module.Network,
        handler: Handler,
        timing: Timing,
        count: collections.abc.Callable[[str], None] = lambda _: None,
        limits: Limits = Limits(),
    ):
        self._network = network
        self._handler = handler
        self._timing = timing
        self._count = count
        self._limits = limits
        self._buffers = buffers_module.Buffers(limits.unfinished_bytes)
        self._violations = violations_module.Violations(count)
        self._accepted = 0
        self._connections: dict[str, Connection] = {}
        self._dials: dict[str, trio.Event] = {}
        self._reconnect_scopes: dict[str, trio.CancelScope] = {}
        # Accepted connections without a hello, oldest first.
        self._pending_hellos: dict[Connection, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    @classmethod
    def from_config(
        cls,
        settings,
        network,
        handler,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ) -> "Peers":
        """Makes the connections from a `settings.DaemonSettings`."""
        return cls(network, handler, Timing.from_config(settings), count)

    @property
    def connections(self) -> tuple[Connection, ...]:
        """The open connections."""
        return tuple(self._connections.values())

    def find(self, key: str) -> Connection | None:
        """Returns the open connection to an address or instance."""
        return self._connections.get(key)

    async def run(
        self,
        address: addresses.Address | None,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections at the address, if any, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            if address is not None:
                await nursery.start(self._network.serve, address, self._accept)
            task_status.started()
            await trio.sleep_forever()

    async def connect(self, address: addresses.Address) -> Connection:
        """Returns an open connection to the address, a new one if needed.

        Raises:
            UnreachableError: No connection was made within the dial timeout.
        """
        key = str(address)
        while True:
            # A connection that is closing stays in the table until its tasks
            # end; returning it would make `_reconnect` spin.
            connection = self._connections.get(key)
            if connection is not None and connection.is_open:
                return connection
            dial = self._dials.get(key)
            if dial is None:
                return await self._dial(address)
            await dial.wait()
            if key not in self._connections:
                raise UnreachableError(f"{key} cannot be reached")

    def keep_connected(self, address: addresses.Address) -> None:
        """Connects to the address, and reconnects when the connection ends."""
        key = str(address)
        if key not in self._reconnect_scopes:
            self._reconnect_scopes[key] = trio.CancelScope()
            self._nursery.start_soon(
                self._reconnect, address, self._reconnect_scopes[key]
            )

    def stop_reconnecting(self, address: addresses.Address) -> None:
        """Stops reconnecting to the address; an open connection stays open."""
        scope = self._reconnect_scopes.pop(str(address), None)
        if scope is not None:
            scope.cancel()

    def broadcast(self, frame: ttypes.Frame, role: str = "") -> None:
        """Posts a frame to all open connections, or those of one role."""
        self.post_all(
            frame,
            [
                connection
                for connection in self._connections.values()
                if not role or connection.peer.role == role
            ],
        )

    def post_all(
        self,
        frame: ttypes.Frame,
        receivers: collections.abc.Sequence[Connection],
    ) -> None:
        """Posts a frame to several connections; it is encoded once."""
        if not receivers:
            return
        try:
            data = frames.encode(frame)
        except frames.FrameError as error:
            for connection in receivers:
                connection.close(str(error))
            return
        for connection in receivers:
            connection.post_encoded(data, frame.heartbeat is None)

    async def _reconnect(self, address, scope) -> None:
        pause_s = RECONNECT_DELAY_MIN_S
        with scope:
            while True:
                try:
                    connection = await self.connect(address)
                except UnreachableError:
                    await trio.sleep(pause_s)
                    pause_s = min(pause_s * 2, RECONNECT_DELAY_MAX_S)
                    continue
                pause_s = RECONNECT_DELAY_MIN_S
                await connection.wait_closed()
                # Lets the tasks of the connection remove it first.
                await trio.sleep(RECONNECT_DELAY_MIN_S)

    async def _dial(self, address) -> Connection:
        key = str(address)
        self._dials[key] = trio.Event()
        try:
            with trio.move_on_after(self._timing.dial_s):
                connection = await self._open(address)
                self._nursery.start_soon(self._run_connection, connection, key)
                return connection
        except (OSError, trio.BrokenResourceError, frames.FrameError) as error:
            raise UnreachableError(f"{key} cannot be reached") from error
        finally:
            self._dials.pop(key).set()
        raise UnreachableError(f"{key} did not respond in time")

    async def _open(self, address) -> Connection:
        stream = await self._network.dial(address)
        connection = self._make_connection(stream, address)
        try:
            await connection.exchange_hello()
        except BaseException:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
            raise
        self._add(connection, str(address))
        return connection

    def _make_connection(self, stream, dialed) -> Connection:
        return Connection(
            stream,
            self._handler,
            self._timing,
            dialed,
            self._count,
            self._violations,
            self._buffers,
            self._limits.frame,
        )

    def _add(self, connection: Connection, key: str) -> None:
        self._connections[key] = connection
        try:
            self._handler.handle_connected(connection)
        except Exception as error:
            connection.end_by_error(error)

    async def _accept(self, stream) -> None:
        if len(self._pending_hellos) >= HELLO_LIMIT:
            self._end_oldest_pending()
        connection = self._make_connection(stream, None)
        scope = trio.CancelScope(
            deadline=trio.current_time() + self._timing.dial_s
        )
        self._pending_hellos[connection] = scope
        try:
            with scope:
                await connection.exchange_hello()
        except (trio.BrokenResourceError, frames.FrameError) as error:
            self._violations.record("peer_hello", error)
            await trio.aclose_forcefully(stream)
            return
        finally:
            self._pending_hellos.pop(connection, None)
        if scope.cancelled_caught:
            self._violations.record("peer_hello", "no hello in time")
            await trio.aclose_forcefully(stream)
            return
        if self._accepted >= self._limits.connections:
            self._violations.record(
                "peer_connections",
                f"{self._accepted} connections are open, the next one is of"
                f" {connection.key}",
            )
            await trio.aclose_forcefully(stream)
            return
        self._accepted += 1
        try:
            self._add(connection, connection.key)
            await self._run_connection(connection, connection.key)
        finally:
            self._accepted -= 1

    def _end_oldest_pending(self) -> None:
        """Ends the connection that has waited longest for its hello.

        A peer sends its hello at once, so that it is seldom the oldest one.
        """
        self._violations.record(
            "peer_hellos", "too many connections without a hello"
        )
        oldest = next(iter(self._pending_hellos))
        self._pending_hellos.pop(oldest).cancel()

    async def _run_connection(self, connection: Connection, key: str) -> None:
        reason = "cancelled"
        try:
            reason = await connection.run()
        finally:
            connection.close("cancelled")
            if self._connections.get(key) is connection:
                del self._connections[key]
            _log.info(
                "peer connection closed",
                peer=connection.peer.instance,
                reason=reason,
            )
            self._handler.handle_closed(connection, reason)


def _check_hello(hello: ttypes.Hello) -> None:
    """Checks the texts and numbers of a peer's hello.

    Raises:
        frames.FrameError: One of them is malformed.
    """
    for text in (hello.instance, hello.zone, hello.role, hello.address):
        if not text.isprintable() or len(text) > HELLO_TEXT_LENGTH:
            raise frames.FrameError("a text of the hello is malformed")
    if not 0 <= hello.capacity <= MAX_CAPACITY:
        raise frames.FrameError(f"capacity {hello.capacity} is out of range")
    for interval_ms in (hello.heartbeat_ms, hello.idle_heartbeat_ms):
        if not 0 <= interval_ms <= HEARTBEAT_LIMIT_MS:
            raise frames.FrameError(
                f"heartbeat interval of {interval_ms} ms is out of range"
            )
