"""Tests of peridotyard_daemon.connection.callers."""

import contextlib
import socket

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_daemon.connection import callers
from peridotyard_daemon.process import intake
import pytest
import trio
import trio.testing

from tests.support import cases
from tests.support import memory
from tests.support import virtual_clock

ADDRESS = addresses.Address("10.0.0.1", 80)
LIMITS = fleet.CallerLimits(
    header_bytes=1000, body_bytes=50, header_timeout_s=3, idle_timeout_s=15
)


class Entry:
    """Runs one handler and records the requests that it gets."""

    def __init__(self, handler=None):
        self.requests = []
        self.cancelled = 0
        self.draining = False
        self.connections = []
        self.intake = intake.Intake()
        self.network = memory.MemoryNetwork()
        self.refusal = None
        self.checked = []
        self._handler = handler or self._respond

    async def handle(self, method, target, headers, body, responder):
        self.requests.append((method, target, body))
        try:
            await self._handler(responder)
        except trio.Cancelled:
            self.cancelled += 1
            raise

    async def check_head(self, method, target, _headers):
        self.checked.append((method, target))
        return self.refusal

    async def _respond(self, responder):
        await responder.send_complete(200, [], b"ok")


@contextlib.asynccontextmanager
async def open_connection(entry):
    network = entry.network

    async def serve(stream):
        connection = callers.CallerConnection(
            stream,
            entry.handle,
            lambda: LIMITS,
            lambda: entry.draining,
            entry.intake,
            entry.check_head,
        )
        entry.connections.append(connection)
        if entry.intake.add_connection(connection):
            await connection.run()
        entry.intake.remove_connection(connection)

    async with trio.open_nursery() as nursery:
        host = network.join(str(ADDRESS))
        nursery.start_soon(host.serve, ADDRESS, serve)
        await trio.testing.wait_all_tasks_blocked()
        yield await network.join("caller").dial(ADDRESS)
        nursery.cancel_scope.cancel()


async def open_further(entry):
    """Returns another connection to an entry."""
    return await entry.network.join("caller").dial(ADDRESS)


async def receive(stream, seconds=30.0):
    """Returns what arrives until the end of the stream or the time limit."""
    data = b""
    with trio.move_on_after(seconds):
        while chunk := await stream.receive_some():
            data += chunk
    return data


GET = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


@cases.run_on_virtual_clock
async def test_pipelined_requests_are_answered_in_order():
    """Guards against pipelined input that is lost or served out of order."""
    entry = Entry()
    async with open_connection(entry) as stream:
        await stream.send_all(GET + GET.replace(b"/x", b"/y") + GET[:9])
        data = await receive(stream, 1)
        assert data.count(b"200") == 2
        await stream.send_all(GET[9:])
        assert (await receive(stream, 1)).count(b"200") == 1
        assert [target for _, target, _ in entry.requests] == ["/x", "/y", "/x"]


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET /x HTTP/1.1\r\n\r\n", b"400"),
        (GET[:-2] + b"X: " + b"y" * 1100 + b"\r\n\r\n", b"431"),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n"
            + b"x" * 60,
            b"413",
        ),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 60\r\n\r\n"
            + b"x" * 60
            + GET,
            b"413",
        ),
        (
            b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: gzip\r\n\r\nabcd",
            b"501",
        ),
    ],
)
def test_bad_requests_are_rejected_before_the_handler(request_bytes, status):
    """Guards against malformed or oversized requests that reach a server."""
    entry = Entry()

    async def run():
        async with open_connection(entry) as stream:
            await stream.send_all(request_bytes)
            data = await receive(stream)
            assert data.startswith(b"HTTP/1.1 " + status)
            assert b"connection: close" in data.lower()

    virtual_clock.run(run)
    assert entry.requests == []


@cases.run_on_virtual_clock
async def test_slow_head_times_out():
    """Guards against callers that hold connections by sending slowly."""
    entry = Entry()
    async with open_connection(entry) as stream:
        await stream.send_all(GET[:10])
        began = trio.current_time()
        assert b"408" in await receive(stream)
        assert trio.current_time() - began < 4


@cases.run_on_virtual_clock
async def test_idle_connection_is_closed_after_its_timeout():
    """Guards against idle connections that are closed early or never."""
    entry = Entry()
    async with open_connection(entry) as stream:
        await stream.send_all(GET)
        await receive(stream, 12)
        await stream.send_all(GET)
        began = trio.current_time()
        await receive(stream)
        assert len(entry.requests) == 2
        assert trio.current_time() - began == pytest.approx(15, abs=0.1)


@cases.run_on_virtual_clock
async def test_request_is_cancelled_when_its_caller_disconnects():
    """Guards against a server that works for a disconnected caller."""

    async def wait(_responder):
        await trio.sleep_forever()

    entry = Entry(wait)
    async with open_connection(entry) as stream:
        await stream.send_all(GET)
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.1)
        assert entry.cancelled == 1


def make_socket_connection(entry, accepted):
    """Returns the connection of a caller on a socket; run it within trio."""
    stream = trio.SocketStream(trio.socket.from_stdlib_socket(accepted))
    return callers.CallerConnection(
        stream, entry.handle, lambda: LIMITS, lambda: False
    )


def serve_left_caller(sent):
    """Returns the requests that are handled for a caller that has left.

    It runs on loopback, since only a socket shows that the peer has closed it.

    Args:
        sent: Bytes that the caller sends before it leaves.
    """
    entry = Entry()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        with socket.create_connection(listener.getsockname()) as caller:
            accepted, _ = listener.accept()
            caller.sendall(sent)

        async def serve():
            connection = make_socket_connection(entry, accepted)
            with trio.fail_after(5):
                await connection.run()

        trio.run(serve)
    return entry.requests


@pytest.mark.parametrize("sent", [GET, GET * 2, GET + b"x" * 100_000])
def test_request_whose_caller_has_left_is_not_run(sent):
    """Guards against work that begins after its caller has given up.

    A busy entry may read a request and the end of its connection together.
    """
    assert serve_left_caller(sent) == []


def test_caller_that_leaves_behind_unread_bytes_is_noticed():
    """Guards against work that goes on where the read buffer is full."""

    async def wait(_responder):
        await trio.sleep_forever()

    entry = Entry(wait)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()

        async def serve():
            connection = make_socket_connection(entry, accepted)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.run)
                caller.sendall(GET + b"x" * (5 * callers.PIPELINE_BYTES // 2))
                await trio.sleep(0.1)
                assert len(entry.requests) == 1
                caller.close()
                with trio.move_on_after(2):
                    while not entry.cancelled:
                        await trio.sleep(0.05)
                assert entry.cancelled == 1
                nursery.cancel_scope.cancel()

        trio.run(serve)


@cases.run_on_virtual_clock
async def test_truncated_response_does_not_look_complete():
    """Guards against a final chunk after a response that was not finished."""

    async def truncate(responder):
        await responder.start(200, [], b"part")

    entry = Entry(truncate)
    async with open_connection(entry) as stream:
        await stream.send_all(GET)
        data = await receive(stream)
        assert b"part" in data
        assert not data.endswith(b"0\r\n\r\n")


@cases.run_on_virtual_clock
async def test_chunked_body_is_read_completely():
    """Guards against a body that ends with the first read."""
    entry = Entry()
    async with open_connection(entry) as stream:
        await stream.send_all(
            b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n"
        )
        await trio.sleep(0.5)
        await stream.send_all(b"2\r\nde\r\n0\r\n\r\n")
        await receive(stream, 1)
        assert entry.requests == [("POST", "/x", b"abcde")]


@cases.run_on_virtual_clock
async def test_connection_is_closed_after_its_request_while_draining():
    """Guards against a connection that is reused while the process stops."""

    async def slow(responder):
        await responder.start(200, [], b"begin")
        await trio.sleep(2)
        await responder.finish()

    entry = Entry(slow)
    async with open_connection(entry) as stream:
        await stream.send_all(GET)
        await trio.sleep(0.5)
        entry.draining = True
        entry.connections[0].close_when_idle()
        data = await receive(stream, 5)
        assert data.endswith(b"0\r\n\r\n")
        with pytest.raises((trio.BrokenResourceError, AssertionError)):
            await stream.send_all(GET)
            assert await receive(stream, 1)


@cases.run_on_virtual_clock
async def test_response_while_draining_announces_the_close():
    """Guards against callers that reuse a connection about to close."""
    entry = Entry()
    entry.draining = True
    async with open_connection(entry) as stream:
        await stream.send_all(GET)
        assert b"connection: close" in (await receive(stream, 1)).lower()


@cases.run_on_virtual_clock
async def test_announced_body_over_the_limit_is_refused_by_its_head():
    """Guards against a body that is read, or asked for, to be refused."""
    entry = Entry()
    async with open_connection(entry) as stream:
        await stream.send_all(
            POST + b"Content-Length: 60\r\nExpect: 100-continue\r\n\r\n"
        )
        data = await receive(stream, 1)
        assert data.startswith(b"HTTP/1.1 413")
        assert entry.requests == []


@cases.run_on_virtual_clock
async def test_body_that_is_asked_for_is_served():
    """Guards against a caller that waits for leave to send its body."""
    entry = Entry()
    async with open_connection(entry) as stream:
        await stream.send_all(
            POST + b"Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"
        )
        assert (await receive(stream, 1)).startswith(b"HTTP/1.1 100")
        await stream.send_all(b"abcde")
        assert b"200" in await receive(stream, 1)
        assert entry.requests == [("POST", "/x", b"abcde")]


@pytest.mark.parametrize("framing", [b"Content-Length: 9\r\n\r\n1234", b""])
@cases.run_on_virtual_clock
async def test_refused_head_ends_the_request_before_its_body(framing):
    """Guards against bodies that are received for nobody."""
    entry = Entry()
    entry.refusal = (401, [(b"X-Reason", b"key")], b"unknown key")
    async with open_connection(entry) as stream:
        await stream.send_all((POST + framing) if framing else CHUNKED)
        data = await receive(stream, 1)
        assert data.startswith(b"HTTP/1.1 401")
        assert b"X-Reason: key" in data
        assert data.endswith(b"unknown key")
        assert entry.requests == []
        assert entry.checked == [("POST", "/x")]


@cases.run_on_virtual_clock
async def test_body_without_progress_is_given_up_for_another_one():
    """Guards against stalled bodies that keep those of others out.

    The refusal promises that the request has not run, and says when to return.
    """
    entry = Entry()
    # The configuration allows bodies of 50 bytes, each of which counts twice.
    entry.intake = intake.Intake(intake.Limits(10, 132))
    async with open_connection(entry) as stalled:
        await stalled.send_all(CHUNKED + b"28\r\n" + b"x" * 40 + b"\r\n")
        await trio.sleep(3)
        other = await open_further(entry)
        await other.send_all(POST + b"Content-Length: 50\r\n\r\n" + b"y" * 50)
        assert b"200" in await receive(other, 1)
        refused = await receive(stalled, 1)
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"Retry-After: 1" in refused
        assert [body for _, _, body in entry.requests] == [b"y" * 50]
        assert entry.intake.describe()["data_bytes"] == 0


@cases.run_on_virtual_clock
async def test_body_ends_within_its_time():
    """Guards against a body that is kept open by a byte now and then."""
    entry = Entry()
    async with open_connection(entry) as stream:
        await stream.send_all(POST + b"Content-Length: 50\r\n\r\n")
        began = trio.current_time()
        with contextlib.suppress(trio.BrokenResourceError):
            for _ in range(20):
                await stream.send_all(b"x")
                await trio.sleep(5)
        assert b"408" in await receive(stream, 1)
        assert trio.current_time() - began < 2 * callers.BODY_TIMEOUT_S
        assert entry.requests == []


@cases.run_on_virtual_clock
async def test_many_connections_leave_room_for_a_new_one():
    """Guards against silent connections that keep new callers out."""
    entry = Entry()
    entry.intake = intake.Intake(intake.Limits(3, 1000))
    async with open_connection(entry) as first:
        await first.send_all(GET)
        await receive(first, 1)
        silent = [await open_further(entry) for _ in range(5)]
        await trio.sleep(1)
        other = await open_further(entry)
        await other.send_all(GET)
        assert b"200" in await receive(other, 1)
        assert entry.intake.describe()["connections"] == 3
        # The one that has carried a request is kept.
        await first.send_all(GET)
        assert b"200" in await receive(first, 1)
        assert await receive(silent[0], 1) == b""


@cases.run_on_virtual_clock
async def test_connections_in_use_make_room_after_their_response():
    """Guards against callers that occupy all connections for good."""

    async def work(responder):
        await trio.sleep(1)
        await responder.send_complete(200, [], b"ok")

    entry = Entry(work)
    entry.intake = intake.Intake(intake.Limits(4, 1000))
    async with open_connection(entry) as first:
        streams = [first] + [await open_further(entry) for _ in range(3)]
        for stream in streams:
            await stream.send_all(GET * 3)
        await trio.sleep(1.5)
        other = await open_further(entry)
        await other.send_all(GET)
        # All others have their second request in progress; the one of the
        # first connection is its last.
        assert b"200" in await receive(other, 3)
        data = [await receive(stream, 3) for stream in streams]
        counts = sorted(answers.count(b"HTTP/1.1 200") for answers in data)
        assert counts == [2, 3, 3, 3]
        closed = [b"connection: close" in answers.lower() for answers in data]
        assert closed.count(True) == 1


@cases.run_on_virtual_clock
async def test_large_response_arrives_whole():
    """Guards against pieces of a response that are lost or repeated."""
    body = bytes(range(256)) * 1000

    async def respond(responder):
        await responder.send_complete(200, [], body)

    entry = Entry(respond)
    async with open_connection(entry) as stream:
        await stream.send_all(GET)
        data = await receive(stream, 1)
        assert data.endswith(b"\r\n\r\n" + body)
        await stream.send_all(GET)
        assert (await receive(stream, 1)).endswith(body)


@cases.run_on_virtual_clock
async def test_response_that_is_received_from_a_server_is_kept():
    """Guards against a response given up while a server still sends it."""
    held = []

    async def respond(responder):
        held.append(responder.hold(90))
        await trio.sleep(5)
        held.append(responder.hold(10))
        await responder.send_complete(200, [], b"ok")

    entry = Entry(respond)
    entry.intake = intake.Intake(intake.Limits(10, 150))
    async with open_connection(entry) as stream:
        await stream.send_all(GET)
        await trio.sleep(2)
        other = await open_further(entry)
        await other.send_all(POST + b"Content-Length: 50\r\n\r\n" + b"y" * 50)
        assert b" 503 " in (await receive(other, 1))[:15]
        assert b" 200 " in (await receive(stream, 5))[:15]
        assert held == [True, True]
