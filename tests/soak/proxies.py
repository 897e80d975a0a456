"""Listeners of the stand-ins, and proxies that inject network faults."""

import enum

from peridotyard_core import addresses
from peridotyard_daemon.connection import upstreams
import trio

CHUNK_BYTES = 1 << 16


class Mode(enum.Enum):
    """What a proxy does with the bytes of its connections.

    PASS forwards them, and DELAY forwards each chunk after a delay. The HOLD
    modes forward nothing in both directions or in one, as on a lossy link that
    has to retransmit; the bytes arrive when the mode ends. RESET resets all
    connections, also new ones.
    """

    PASS = "pass"
    DELAY = "delay"
    HOLD = "hold"
    HOLD_REQUESTS = "hold-requests"
    HOLD_RESPONSES = "hold-responses"
    RESET = "reset"


class Listeners:
    """Network of the stand-ins; see `tests.support.memory.HostNetwork`.

    Attributes:
        listen_addresses: Address at which a stand-in listens, by the address of
            its proxy, which entries know.
    """

    def __init__(self):
        self.listen_addresses: dict[addresses.Address, addresses.Address] = {}
        self._scopes: dict[str, trio.CancelScope] = {}

    def join(self, _host: str) -> "Listeners":
        """Returns the network of a host, which is the same for all hosts."""
        return self

    async def serve(self, address: addresses.Address, handler) -> None:
        """Accepts connections until `stop_serving`."""
        listen_address = self.listen_addresses[address]

        async def run(stream):
            upstreams.set_socket_options(stream)
            try:
                await handler(stream)
            except* (trio.BrokenResourceError, trio.ClosedResourceError):
                upstreams.reset_on_close(stream)
                await trio.aclose_forcefully(stream)

        try:
            with self._find_scope(str(address)):
                await trio.serve_tcp(
                    run, listen_address.port, host=listen_address.host
                )
        finally:
            del self._scopes[str(address)]

    def stop_serving(self, address: str) -> None:
        """Ends the listener of a stand-in and breaks its connections.

        The task of the listener may not have begun yet.
        """
        self._find_scope(address).cancel()

    def _find_scope(self, address: str) -> trio.CancelScope:
        return self._scopes.setdefault(address, trio.CancelScope())

    def reset(self, _address: str) -> None:
        """Does nothing, since `stop_serving` has ended the connections."""


class Proxy:
    """Forwards connections to another address, with an optional fault."""

    def __init__(self, address: addresses.Address, target: addresses.Address):
        self.address = address
        self._target = target
        self._mode = Mode.PASS
        self._delay_s = 0.0
        self._changed = trio.Event()
        self._connections: set[trio.CancelScope] = set()

    def set_mode(self, mode: Mode, delay_s: float = 0.0) -> None:
        """Changes the mode; RESET also resets all open connections.

        Args:
            mode: The mode.
            delay_s: Delay of each chunk in seconds, for DELAY.
        """
        self._mode = mode
        self._delay_s = delay_s
        self._changed.set()
        self._changed = trio.Event()
        if mode is Mode.RESET:
            for scope in list(self._connections):
                scope.cancel()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accepts connections until cancelled."""
        await trio.serve_tcp(
            self._serve,
            self.address.port,
            host=self.address.host,
            task_status=task_status,
        )

    async def _serve(self, stream: trio.SocketStream) -> None:
        with trio.CancelScope() as scope:
            self._connections.add(scope)
            try:
                if self._mode is not Mode.RESET:
                    await self._forward(stream)
            except* OSError:
                # The target does not listen; the client's connection is reset.
                pass
            finally:
                self._connections.discard(scope)
        upstreams.reset_on_close(stream)
        await trio.aclose_forcefully(stream)

    async def _forward(self, stream: trio.SocketStream) -> None:
        target = await trio.open_tcp_stream(
            self._target.host, self._target.port
        )
        async with target, trio.open_nursery() as nursery:

            async def copy_bytes(source, sink, hold_mode: Mode) -> None:
                try:
                    while data := await source.receive_some(CHUNK_BYTES):
                        await self._wait_while_held(hold_mode)
                        await sink.send_all(data)
                    await self._wait_while_held(hold_mode)
                    await sink.send_eof()
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    nursery.cancel_scope.cancel()

            nursery.start_soon(copy_bytes, stream, target, Mode.HOLD_REQUESTS)
            nursery.start_soon(copy_bytes, target, stream, Mode.HOLD_RESPONSES)

    async def _wait_while_held(self, hold_mode: Mode) -> None:
        while self._mode in (Mode.HOLD, hold_mode):
            await self._changed.wait()
        if self._mode is Mode.DELAY:
            await trio.sleep(self._delay_s)
