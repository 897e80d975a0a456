"""Tests of peridotyard_daemon.connection.http, over real sockets."""

import contextlib

from peridotyard_core import addresses
from peridotyard_daemon.connection import http
import pytest
import trio

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@contextlib.asynccontextmanager
async def open_client(make_response, timeout_s=10.0):
    """Yields a client of a server that sends the given parts."""

    async def serve(stream):
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.receive_some()
            for part in make_response():
                await stream.send_all(part)
            await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            lambda task_status: trio.serve_tcp(
                serve, 0, host="127.0.0.1", task_status=task_status
            )
        )
        port = listeners[0].socket.getsockname()[1]
        client = http.Client(addresses.Address("127.0.0.1", port), timeout_s)
        with trio.fail_after(20):
            yield client
        await client.close()
        nursery.cancel_scope.cancel()


def repeat(first, part):
    yield first
    while True:
        yield part


@pytest.mark.parametrize(
    ("first", "part"),
    [
        (CHUNKED, b"100000\r\n" + bytes(1 << 20) + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", bytes(1 << 20)),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
            bytes(1 << 20),
        ),
        (b"HTTP/1.1 200 OK\r\n", b"X-Filler: x\r\n" * 1000),
    ],
    ids=["chunks", "unframed", "length", "head"],
)
def test_response_without_end_is_lost(first, part, monkeypatch):
    """Guards against a platform service that fills the memory."""
    monkeypatch.setattr(http, "RESPONSE_LIMIT_BYTES", 4 << 20)

    async def check():
        async with open_client(lambda: repeat(first, part)) as client:
            began = trio.current_time()
            with pytest.raises(http.LostError):
                await client.request("GET", "/")
            assert trio.current_time() - began < 5

    trio.run(check)


def test_time_limit_holds_for_tiny_chunks_without_end():
    """Guards against a response whose reading never ends."""

    async def check():
        part = b"1\r\na\r\n" * 10_000
        async with open_client(lambda: repeat(CHUNKED, part), 0.5) as client:
            began = trio.current_time()
            with pytest.raises(http.LostError):
                await client.request("GET", "/")
            assert trio.current_time() - began < 2

    trio.run(check)


def test_other_tasks_run_between_the_parts_of_a_body():
    """Guards against one read with 10,000 chunks that stops the process."""
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    async def make_parts():
        for _ in range(10_000):
            yield b"a"

    async def check():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            body = await http.read_parts(make_parts(), 10_000)
            assert body == b"a" * 10_000
            nursery.cancel_scope.cancel()
        assert turns >= 100
        assert await http.read_parts(make_parts(), 9_999) is None

    trio.run(check)
