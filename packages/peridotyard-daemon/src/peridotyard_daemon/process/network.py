"""Connections between processes: dialing and listening."""

import typing

from peridotyard_core import addresses
import trio

# The longest queue of connections that the kernel has not handed over yet.
BACKLOG = 1024


class Network(typing.Protocol):
    """What the processes need of a network; tests have one in memory."""

    async def dial(self, address: addresses.Address) -> trio.abc.Stream:
        """Opens a connection.

        Raises:
            OSError: Nobody listens there, or the address cannot be reached.
        """

    async def serve(
        self, address: addresses.Address, handler, task_status
    ) -> None:
        """Runs `handler(stream)` in a task for each incoming connection."""


class TcpNetwork:
    """Connections over TCP."""

    async def dial(self, address: addresses.Address) -> trio.abc.Stream:
        """Opens a connection; see `Network`."""
        stream = await trio.open_tcp_stream(address.host, address.port)
        # Steps are small and each waits for the one before.
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        return stream

    async def serve(
        self,
        address: addresses.Address,
        handler,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections until it is cancelled; see `Network`."""
        await trio.serve_tcp(
            handler,
            address.port,
            host=address.host,
            backlog=BACKLOG,
            task_status=task_status,
        )
