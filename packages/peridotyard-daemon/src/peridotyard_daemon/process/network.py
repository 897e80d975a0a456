"""Connections between processes: dialing and listening."""

import collections.abc
import socket
import typing

from peridotyard_core import addresses
import trio

from peridotyard_daemon.process import sockets


class Network(typing.Protocol):
    """Interface to open and accept connections; tests have one in memory."""

    async def dial(self, address: addresses.Address) -> trio.abc.Stream:
        """Opens a connection.

        Raises:
            OSError: No process listens there, or the address is unreachable.
        """

    async def serve(
        self, address: addresses.Address, handler, task_status
    ) -> None:
        """Runs `handler(stream)` in a task for each incoming connection."""


class TcpNetwork:
    """Connections over TCP."""

    def __init__(
        self,
        listening: (
            collections.abc.Mapping[addresses.Address, socket.socket] | None
        ) = None,
    ):
        """Creates the network of a process.

        Args:
            listening: Sockets that are already listening, by address.
        """
        self._listening = dict(listening or {})

    async def dial(self, address: addresses.Address) -> trio.abc.Stream:
        """Opens a connection; see `Network`."""
        stream = await trio.open_tcp_stream(address.host, address.port)
        # Frames are small, and each step waits for the previous one.
        stream.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
        return stream

    async def serve(
        self,
        address: addresses.Address,
        handler,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections until cancelled; see `Network`."""
        bound_socket = self._listening.pop(address, None)
        if bound_socket is None:
            listeners = await trio.open_tcp_listeners(
                address.port, host=address.host, backlog=sockets.BACKLOG
            )
        else:
            stream = trio.socket.from_stdlib_socket(bound_socket)
            listeners = [trio.SocketListener(stream)]
        await trio.serve_listeners(handler, listeners, task_status=task_status)
