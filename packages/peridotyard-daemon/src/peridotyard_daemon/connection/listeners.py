"""Serves an ASGI application with hypercorn, with limits on its connections.

Hypercorn by itself accepts any number of connections, waits without a time
limit for a peer to read, and ends with the first unexpected exception in one
connection.
"""

import collections.abc
import contextlib
import dataclasses
import functools

from peridotyard_core import addresses
import trio

from peridotyard_daemon.process import sockets
from peridotyard_daemon.process import violations as violations_module

KEEP_ALIVE_TIMEOUT_S = 75
HEAD_BYTES = 32 << 10
# Time for which a connection is not closed for a new one. The head of a request
# arrives within it, also if a packet was lost once.
IDLE_MIN_S = 1.0
# Response to a connection above the limit. Its request was not read.
TOO_MANY_CONNECTIONS = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)
# Time to send it; it fits into the buffer of a new connection.
REJECTION_TIMEOUT_S = 0.1


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the connections of one address.

    Attributes:
        connections: Largest number of open connections.
        write_s: Time for a peer to accept the bytes of one write, seconds.
    """

    connections: int = 10_000
    write_s: float = 30.0


DEFAULT_LIMITS = Limits()


class _TimedStream:
    """A connection whose writes have a time limit.

    It has the methods of a stream that hypercorn uses.
    """

    def __init__(self, stream: trio.SocketStream, write_s: float):
        self.socket = stream.socket
        self.receive_some = stream.receive_some
        self.send_eof = stream.send_eof
        self.aclose = stream.aclose
        self._stream = stream
        self._write_s = write_s

    async def send_all(self, data: bytes) -> None:
        """Sends bytes.

        Raises:
            trio.BrokenResourceError: The peer disconnected or does not read.
        """
        with trio.move_on_after(self._write_s) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError("the peer does not read")


def _define_server() -> type:
    """Returns the class of one connection."""
    from hypercorn import events  # noqa: PLC0415
    from hypercorn.trio import tcp_server  # noqa: PLC0415

    class Server(tcp_server.TCPServer):
        """A connection that ends when its peer closes it between requests.

        Hypercorn keeps it until the time limit for the next request passes.

        Attributes:
            idle_since: Time since which the connection waits for the head of a
                request; None while a request is in progress.
            scope: Ends the connection.
        """

        def __init__(self, *arguments):
            super().__init__(*arguments)
            self.idle_since: float | None = trio.current_time()
            self.scope = trio.CancelScope()

        async def run(self) -> None:
            with self.scope:
                await super().run()

        async def protocol_send(self, event) -> None:
            if isinstance(event, events.Updated):
                self.idle_since = trio.current_time() if event.idle else None
            await super().protocol_send(event)

        async def _read_data(self) -> None:
            await super()._read_data()
            await self.idle_task.stop()

    return Server


class Listener:
    """The connections of one address, owned by the process.

    At the limit of connections, a new one replaces the one that has waited
    longest for the head of a request, so that idle connections do not keep
    others out.
    """

    def __init__(
        self,
        app,
        limits: Limits,
        grace_s: float = 1.0,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        """Creates a listener without connections.

        Args:
            app: The ASGI application.
            limits: Limits of the connections.
            grace_s: Seconds for requests in progress to end after a stop.
            count: Increases the counter of the given name.
        """
        # Imported lazily: a sidecar serves no HTTP, and hypercorn takes 6 MB.
        from hypercorn import app_wrappers  # noqa: PLC0415
        from hypercorn import config as config_module  # noqa: PLC0415
        from hypercorn.trio import worker_context  # noqa: PLC0415

        config = config_module.Config()
        config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
        config.h11_max_incomplete_size = HEAD_BYTES
        config.include_server_header = False
        config.accesslog = None
        config.errorlog = None
        self._servers = set()
        self._context = worker_context.WorkerContext(None)
        self._make_server = functools.partial(
            _define_server(),
            app_wrappers.ASGIWrapper(app),
            config,
            self._context,
            {},
        )
        self._limits = limits
        self._grace_s = grace_s
        self._violations = violations_module.Violations(count)

    async def run(
        self,
        address: addresses.Address,
        stopped: trio.Event,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until `stopped` is set; started with the URLs once it listens.

        Raises:
            OSError: The address cannot be listened at.
        """
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=sockets.BACKLOG
        )
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as acceptors:
                await acceptors.start(
                    functools.partial(
                        trio.serve_listeners,
                        self._serve,
                        listeners,
                        handler_nursery=connections,
                    )
                )
                task_status.started(
                    [
                        "http://{}:{}".format(*item.socket.getsockname()[:2])
                        for item in listeners
                    ]
                )
                await stopped.wait()
                acceptors.cancel_scope.cancel()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = (
                trio.current_time() + self._grace_s
            )

    async def _serve(self, stream: trio.SocketStream) -> None:
        if len(self._servers) >= self._limits.connections and (
            not self._end_idle()
        ):
            await self._reject(stream)
            return
        server = self._make_server(_TimedStream(stream, self._limits.write_s))
        self._servers.add(server)
        try:
            await server.run()
        except Exception as error:
            # An error in one connection must not end all others.
            self._violations.record("malformed_connection", repr(error))
        finally:
            self._servers.discard(server)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _end_idle(self) -> bool:
        """Ends the connection that is idle longest; returns whether it did."""
        latest = trio.current_time() - IDLE_MIN_S
        idle = [
            server
            for server in self._servers
            if server.idle_since is not None and server.idle_since <= latest
        ]
        if not idle:
            return False
        server = min(idle, key=lambda item: item.idle_since)
        self._violations.record("idle_connections", "an idle one was closed")
        self._servers.remove(server)
        server.scope.cancel()
        return True

    async def _reject(self, stream: trio.SocketStream) -> None:
        self._violations.record(
            "connections", f"{len(self._servers)} connections are open"
        )
        with (
            trio.move_on_after(REJECTION_TIMEOUT_S),
            contextlib.suppress(trio.BrokenResourceError),
        ):
            await stream.send_all(TOO_MANY_CONNECTIONS)
        await trio.aclose_forcefully(stream)
