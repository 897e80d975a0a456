"""Tests of peridotyard_daemon.connection.listeners, over real sockets."""

import collections
import contextlib
import functools
import socket

from peridotyard_core import addresses
from peridotyard_daemon.connection import http
from peridotyard_daemon.connection import listeners
import pytest
import trio

GET = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\n"
    b"Upgrade: websocket\r\n"
)
# The preface of HTTP/2, empty settings, and a request whose path is 0xff.
HTTP2 = (
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
    b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
    b"\x00\x00\x08\x01\x05\x00\x00\x00\x01"
    b"\x82\x86\x04\x02/\xff\x41\x00"
)
WAITING = b"POST /wait HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n"
LARGE_BYTES = 32 << 20


async def respond(scope, receive, send):
    if scope["type"] != "http":
        raise NotImplementedError
    if scope["path"] == "/wait":
        while (await receive())["type"] != "http.disconnect":
            pass
        return
    body = b"x" * (LARGE_BYTES if scope["path"] == "/large" else 1)
    await http.send_bytes(send, 200, body, b"text/plain")


@contextlib.asynccontextmanager
async def open_listener(limits):
    """Yields the counters and a function that opens a connection."""
    counts = collections.Counter()
    stopped = trio.Event()
    serve = functools.partial(
        http.serve,
        respond,
        addresses.Address("127.0.0.1", 0),
        stopped,
        limits=limits,
        count=lambda name: counts.update([name]),
    )
    async with trio.open_nursery() as nursery:
        (url,) = await nursery.start(
            lambda task_status: serve(task_status=task_status)
        )
        port = int(url.rpartition(":")[2])
        yield counts, lambda: trio.open_tcp_stream("127.0.0.1", port)
        stopped.set()


async def exchange(dial, data=GET) -> bytes:
    """Sends bytes; returns all bytes that are received until the end."""
    received = b""
    async with await dial() as stream:
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
            async for part in stream:
                received += part
    return received


def run(check, limits=listeners.DEFAULT_LIMITS):
    async def limited():
        with trio.fail_after(20):
            await run_check()

    async def run_check():
        async with open_listener(limits) as (counts, dial):
            await check(counts, dial)

    trio.run(limited)


@pytest.mark.parametrize(
    "data",
    [
        UPGRADE + b"Sec-WebSocket-Protocol: \xff\r\n\r\n",
        UPGRADE + b"Sec-WebSocket-Extensions: \xff\r\n\r\n",
        HTTP2,
    ],
    ids=["protocol", "extensions", "path"],
)
def test_malformed_request_ends_its_connection_alone(data):
    """Guards against one request without a key that ends the process.

    An exception of hypercorn in one connection ended its server, and with it
    the entry: the decoding of some headers of WebSocket and HTTP/2.
    """

    async def check(counts, dial):
        async with await dial() as stream:
            await stream.send_all(data)
            with contextlib.suppress(trio.BrokenResourceError):
                while await stream.receive_some():
                    pass
        assert counts["input_limits.malformed_connection"] == 1
        assert (await exchange(dial)).startswith(b"HTTP/1.1 200")

    run(check)


def test_number_of_connections_is_bounded():
    """Guards against connections that fill the memory."""

    async def check(counts, dial):
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(3):
                stream = await stack.enter_async_context(await dial())
                # The body of the request does not arrive.
                await stream.send_all(WAITING)
            await trio.sleep(listeners.IDLE_MIN_S + 0.2)
            for _ in range(20):
                response = await exchange(dial, b"")
                assert response == listeners.TOO_MANY_CONNECTIONS
            assert counts["input_limits.connections"] == 20
        await trio.sleep(0.1)
        assert (await exchange(dial)).startswith(b"HTTP/1.1 200")

    run(check, listeners.Limits(connections=3))


@pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\nX-"])
def test_idle_connections_do_not_keep_others_out(data):
    """Guards against a caller whose idle connections lock out all others."""

    async def check(counts, dial):
        async with contextlib.AsyncExitStack() as stack:
            streams = []
            for _ in range(3):
                stream = await stack.enter_async_context(await dial())
                if data:
                    await stream.send_all(data)
                streams.append(stream)
                await trio.sleep(0.05)
            # A new connection has the time to send a request.
            response = await exchange(dial, b"")
            assert response == listeners.TOO_MANY_CONNECTIONS
            await trio.sleep(listeners.IDLE_MIN_S)
            assert (await exchange(dial)).startswith(b"HTTP/1.1 200")
            assert counts["input_limits.idle_connections"] == 1
            # The one that was idle longest was closed.
            assert await streams[0].receive_some() == b""
            with trio.move_on_after(0.1) as scope:
                await streams[1].receive_some()
            assert scope.cancelled_caught

    run(check, listeners.Limits(connections=3))


@pytest.mark.parametrize("data", [b"", GET.replace(b"close", b"keep-alive")])
def test_connection_ends_when_its_peer_closes_it(data):
    """Guards against closed connections that count until the idle limit."""

    async def check(counts, dial):
        for _ in range(10):
            async with await dial() as stream:
                if data:
                    await stream.send_all(data)
                    await stream.receive_some()
            await trio.sleep(0.02)
        assert (await exchange(dial)).startswith(b"HTTP/1.1 200")
        assert not counts

    run(check, listeners.Limits(connections=3))


def test_connection_whose_peer_does_not_read_is_closed():
    """Guards against responses that stay in memory for ever."""

    async def check(_counts, dial):
        stream = await dial()
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        await stream.send_all(GET.replace(b"/ ", b"/large ", 1))
        await trio.sleep(1.0)
        size = 0
        with contextlib.suppress(trio.BrokenResourceError):
            async for part in stream:
                size += len(part)
        assert size < LARGE_BYTES
        assert (await exchange(dial)).startswith(b"HTTP/1.1 200")

    run(check, listeners.Limits(write_s=0.3))
