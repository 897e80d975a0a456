"""Tests of peridotyard_daemon.process.network and sockets."""

import socket

from peridotyard_core import addresses
from peridotyard_daemon.process import network
from peridotyard_daemon.process import sockets
import pytest
import trio

HOST = "127.0.64.8"


def test_connection_made_before_the_start_is_served():
    # Guards against connections of callers that are refused while a restarted
    # process loads its modules.
    bound_socket = sockets.listen(HOST, 0)
    port = bound_socket.getsockname()[1]
    address = addresses.Address(HOST, port)
    with socket.create_connection((HOST, port), 5) as caller:
        caller.sendall(b"hello")

        async def serve():
            async def echo(stream):
                await stream.send_all(await stream.receive_some(100))

            async with trio.open_nursery() as nursery:
                tcp = network.TcpNetwork({address: bound_socket})
                await nursery.start(tcp.serve, address, echo)
                response = await trio.to_thread.run_sync(caller.recv, 100)
                nursery.cancel_scope.cancel()
                return response

        assert trio.run(serve) == b"hello"


def test_address_in_use_is_an_error():
    bound_socket = sockets.listen(HOST, 0)
    with pytest.raises(OSError, match="in use"):
        sockets.listen(HOST, bound_socket.getsockname()[1])
    bound_socket.close()
