"""Tests of peridotyard_daemon.connection.upstreams."""

import collections
import contextlib
import time

import h11
from peridotyard_core import addresses
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.request import forwards
from peridotyard_platform import codec
import pytest
import trio
import trio.testing

from tests.support import cases
from tests.support import memory
from tests.support import virtual_clock

ADDRESS = addresses.Address("10.0.0.1", 80)


def encode(request_id, body, extra=b""):
    return (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s"
        % (request_id, len(body), extra, body)
    )


@contextlib.asynccontextmanager
async def open_pool(*responses):
    """Serves one scripted response for each request.

    Each response is a list of steps: bytes are sent, a float is a pause in
    seconds, None closes the connection, and "reset" resets it.
    """
    network = memory.MemoryNetwork()
    script = list(responses)
    dialed = []

    async def serve(stream):
        try:
            while script and await stream.receive_some():
                for part in script.pop(0):
                    if part is None:
                        await stream.aclose()
                        return
                    if part == "reset":
                        network.reset(str(ADDRESS))
                        return
                    if isinstance(part, float):
                        await trio.sleep(part)
                    else:
                        await stream.send_all(part)
            await trio.sleep_forever()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async with trio.open_nursery() as nursery:
        host = network.join(str(ADDRESS))
        nursery.start_soon(host.serve, ADDRESS, serve)
        await trio.testing.wait_all_tasks_blocked()
        dial = network.join("entry").dial
        pool = upstreams.Pool(
            dial,
            lambda: dialed.append(1),
            lambda headers: bool(
                codec.Codec().decode_response(200, headers).request_id
            ),
        )
        yield pool, dialed
        nursery.cancel_scope.cancel()


async def exchange(pool, request_id="r1"):
    connection = await pool.acquire(ADDRESS)
    await connection.send("POST", "/x", [(b"Host", b"a")], b"body")
    await forwards.receive_head(connection, codec.Codec(), request_id)
    body = await forwards.read_body(connection)
    pool.release(connection)
    return body


@cases.run_on_virtual_clock
async def test_connection_is_reused():
    """Guards against a new connection for each request."""
    responses = [[encode(b"r1", b"one")], [encode(b"r1", b"two")]]
    async with open_pool(*responses) as (pool, dialed):
        assert await exchange(pool) == b"one"
        assert await exchange(pool) == b"two"
        assert len(dialed) == 1


@cases.run_on_virtual_clock
async def test_response_to_another_request_is_skipped():
    """Guards against a caller that gets the response of another caller."""
    responses = [
        [encode(b"r1", b"one")],
        [encode(b"r1", b"one") + encode(b"r2", b"two")],
    ]
    async with open_pool(*responses) as (pool, _):
        assert await exchange(pool) == b"one"
        assert await exchange(pool, "r2") == b"two"


@cases.run_on_virtual_clock
async def test_response_that_is_skipped_may_pause():
    """Guards against a sound run lost to a pause within a stray response.

    While a stream waits for the head of its response, each check of its path
    cancels the wait, which then begins again.
    """
    stray = encode(b"r1", b"one")
    steps = [step for byte in stray for step in (bytes([byte]), 0.02)]
    async with open_pool([stray], [*steps, encode(b"r2", b"two")]) as (pool, _):
        assert await exchange(pool) == b"one"
        connection = await pool.acquire(ADDRESS)
        await connection.send("POST", "/x", [(b"Host", b"a")], b"body")
        head = None
        while head is None:
            with trio.move_on_after(0.05):
                head = await forwards.receive_head(
                    connection, codec.Codec(), "r2"
                )
        assert head.request_id == "r2"
        assert await forwards.read_body(connection) == b"two"


@cases.run_on_virtual_clock
async def test_connection_with_bytes_after_the_response_is_not_reused():
    """Guards against stray bytes that are read as the next response."""
    responses = [
        [encode(b"r1", b"one") + b"HTTP/1.1 200"],
        [encode(b"r2", b"two")],
    ]
    async with open_pool(*responses) as (pool, dialed):
        assert await exchange(pool) == b"one"
        assert await exchange(pool, "r2") == b"two"
        assert len(dialed) == 2


@pytest.mark.parametrize(
    "parts",
    [
        [None],
        ["reset"],
        [b"nonsense\r\n\r\n"],
        [encode(b"r1", b"whole")[:-2], None],
        [encode(b"r1", b"whole")[:-2], "reset"],
        [b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n\r\npart", "reset"],
    ],
)
def test_broken_response_is_lost_and_not_unsent(parts):
    """Guards against a second run of a request that may have been received.

    Only a request that was certainly not received may be sent elsewhere.
    """

    async def run():
        async with open_pool(parts) as (pool, _):
            with pytest.raises(upstreams.LostError):
                await exchange(pool)

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_response_without_length_ends_with_its_connection():
    """Guards against a complete response without length taken for lost."""
    response = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n\r\nwhole"
    async with open_pool([response, None]) as (pool, _):
        assert await exchange(pool) == b"whole"


@cases.run_on_virtual_clock
async def test_request_to_an_unreachable_server_is_unsent():
    """Guards against a failed connection taken for a request that may run."""
    pool = upstreams.Pool(memory.MemoryNetwork().join("entry").dial)
    with pytest.raises(upstreams.UnsentError):
        await pool.acquire(ADDRESS)


@cases.run_on_virtual_clock
async def test_idle_connection_is_dropped_before_the_server_closes_it():
    """Guards against a request on a connection that the server is closing."""
    responses = [
        [encode(b"r1", b"one", b"Keep-Alive: timeout=3\r\n")],
        [encode(b"r1", b"two")],
    ]
    async with open_pool(*responses) as (pool, dialed):
        await exchange(pool)
        await trio.sleep(2.5)
        await exchange(pool)
        assert len(dialed) == 2


@pytest.mark.parametrize(
    ("stated", "idle_s"),
    [
        (b"timeout=3", 2.0),
        (b"max=5, timeout=3", 2.0),
        (b"Timeout=2", 1.0),
        (b"timeout=100", 4.0),
        (b"max=2", 4.0),
        (b"timeout=", 4.0),
        (b"timeout=-3", 4.0),
        (b"timeout=" + b"9" * 5000, 4.0),
        (b"timeout=\xb2", 4.0),
    ],
)
@cases.run_on_virtual_clock
async def test_idle_connection_of_a_fetch_is_dropped_in_time(stated, idle_s):
    """Guards against a request on a connection that the server is closing.

    The timeout that servers state was used for plain requests alone, and
    requests are sent on the connections of reports and orders too.
    """
    stated = b"Keep-Alive: " + stated + b"\r\n"
    for wait_s, connections in ((idle_s - 0.1, 1), (idle_s + 0.1, 2)):
        responses = [[encode(b"", b"one", stated)]] * 2
        async with open_pool(*responses) as (pool, dialed):
            await pool.fetch(ADDRESS, "GET", "/report")
            await trio.sleep(wait_s)
            await pool.fetch(ADDRESS, "GET", "/report")
            assert len(dialed) == connections


@cases.run_on_virtual_clock
async def test_informational_responses_are_skipped():
    """Guards against a 1xx response taken for the final one."""
    response = b"HTTP/1.1 103 Early Hints\r\n\r\n" + encode(b"r1", b"one")
    async with open_pool([response]) as (pool, _):
        assert await exchange(pool) == b"one"


@cases.run_on_virtual_clock
async def test_late_second_response_is_not_the_response_to_an_order():
    """Guards against an order that counts as accepted and was not.

    A server sends a second copy of a response on a pooled connection, which is
    then used for an order or a report.
    """
    responses = [
        [encode(b"r1", b"one"), 0.05, encode(b"r1", b"one")],
        [b"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"],
    ]
    async with open_pool(*responses) as (pool, _):
        assert await exchange(pool) == b"one"
        with pytest.raises(upstreams.LostError):
            await pool.fetch(ADDRESS, "POST", "/order", (), b"{}")


@pytest.mark.parametrize(
    "first",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nX-Long: ",
        b"\xa7",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"ffffffff\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
    ],
    ids=["head", "header", "no-head", "length", "chunk", "unframed"],
)
@cases.run_on_virtual_clock
async def test_bytes_without_end_are_not_buffered(first):
    """Guards against a server in trouble that fills the memory of the entry."""
    piece = 64 * (b"X-Filler: " + b"x" * 990 + b"\r\n")
    count = 20 * upstreams.FETCH_LIMIT_BYTES // len(piece)
    sent = []

    def send_pieces():
        yield first
        for number in range(count):
            sent.append(number)
            yield piece
            yield 0.001

    async with open_pool(send_pieces()) as (pool, dialed):
        with pytest.raises(upstreams.LostError):
            await pool.fetch(ADDRESS, "GET", "/report")
        received = len(sent) * len(piece)
        assert received <= 2 * upstreams.FETCH_LIMIT_BYTES
        # The connection is closed and not used again.
        assert not pool._idle
        assert len(dialed) == 1


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (CHUNKED, b"1\r\na\r\n" * 10_000),
        (CHUNKED + b"1;", b"a" * 60_000),
        (CHUNKED + b"0\r\n", b"X-Filler: x\r\n" * 5_000),
        (b"HTTP/1.1 100 A\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
        (
            b"HTTP/1.1 100 A\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * 1_000,
        ),
    ],
    ids=["tiny chunks", "extension", "trailers", "continue", "hints"],
)
@cases.run_on_virtual_clock
async def test_response_of_tiny_parts_without_end_is_lost(first, piece):
    """Guards against a core that is busy with the framing of one response.

    Tiny chunks and informational responses were read until the time limit of
    the request.
    """
    sent = []

    def send_pieces():
        yield first
        for number in range(200):
            sent.append(number)
            yield piece
            yield 0.001

    async with open_pool(send_pieces()) as (pool, _):
        with pytest.raises(upstreams.LostError):
            await pool.fetch(ADDRESS, "GET", "/report")
        assert len(sent) <= 4
        assert not pool._idle


@cases.run_on_virtual_clock
async def test_other_tasks_run_while_a_response_of_many_chunks_is_read():
    """Guards against a process that one read of a server stops for long.

    A read of 64 KiB has up to 10,000 chunks, which were handled in 80 ms
    without a checkpoint. The response is within the limits.
    """
    count = 8_000
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            await trio.lowlevel.checkpoint()
            turns += 1

    # The virtual clock stands still while a task spins, and connections of the
    # network in memory have a latency.
    ours, theirs = trio.testing.memory_stream_pair()
    connection = upstreams.Connection(ADDRESS, ours)
    await connection.send("GET", "/report", (), b"")
    await theirs.send_all(CHUNKED + b"5\r\nabcde\r\n" * count + b"0\r\n\r\n")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_turns)
        assert isinstance(await connection.receive(), h11.Response)
        assert await connection.receive_body(1 << 20) == b"abcde" * count
        nursery.cancel_scope.cancel()
    assert turns >= count // upstreams.EVENTS_PER_CHECKPOINT


@cases.run_on_virtual_clock
async def test_stream_of_many_short_events_is_no_response_of_tiny_parts():
    """Guards against a long stream that is taken for one of tiny parts."""
    count = 3 * upstreams.SMALL_PARTS
    body = CHUNKED + b"5\r\nid:1\n\r\n" * count + b"0\r\n\r\n"
    async with open_pool([body]) as (pool, _):
        response = await pool.fetch(ADDRESS, "GET", "/stream")
    assert len(response.body) == 5 * count


@cases.run_on_virtual_clock
async def test_number_of_responses_to_other_requests_is_bounded():
    """Guards against a request that reads the responses to others for ever.

    Each of them is logged and prepares a new state of the connection.
    """
    stray = encode(b"r0", b"one")
    for count, is_sound in ((upstreams.SKIP_LIMIT, True), (10_000, False)):
        response = stray * count + encode(b"r1", b"two")
        async with open_pool([response]) as (pool, _):
            if is_sound:
                assert await exchange(pool) == b"two"
                continue
            began = time.process_time()
            with pytest.raises(upstreams.LostError):
                await exchange(pool)
            assert time.process_time() - began < 1.0


@cases.run_on_virtual_clock
async def test_unfinished_responses_share_a_limit():
    """Guards against servers whose long responses stop before their end.

    Each response is within its limit, and ten of them fill the smallest
    machine.
    """
    length = forwards.RESPONSE_LIMIT_BYTES - 1
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
    network = memory.MemoryNetwork()
    counts = collections.Counter()
    lost = []

    async def serve(stream):
        request = await stream.receive_some()
        if b"/stalled" in request:
            await stream.send_all(head + bytes(length - 1))
            await trio.sleep_forever()
        body = bytes(1 << 20)
        for data in (
            encode(b"", body)[: 1 << 19],
            encode(b"", body)[1 << 19 :],
        ):
            await stream.send_all(data)
            await trio.sleep(0.2)
        await trio.sleep_forever()

    async with trio.open_nursery() as nursery:
        host = network.join(str(ADDRESS))
        nursery.start_soon(host.serve, ADDRESS, serve)
        await trio.testing.wait_all_tasks_blocked()
        pool = upstreams.Pool(
            network.join("entry").dial, count=lambda name: counts.update([name])
        )

        async def read_stalled():
            connection = await pool.acquire(ADDRESS)
            await connection.send("GET", "/stalled", (), b"")
            await connection.receive()
            with pytest.raises(upstreams.LostError):
                await connection.receive_body(forwards.RESPONSE_LIMIT_BYTES)
            lost.append(trio.current_time())

        for _ in range(10):
            nursery.start_soon(read_stalled)
            await trio.sleep(0.1)
            total = pool._buffers.total_bytes
            assert total <= upstreams.UNFINISHED_LIMIT_BYTES
        assert len(lost) == counts["input_limits.response_memory"] == 9
        # A body that goes on arriving is not the one that is given up.
        response = await pool.fetch(ADDRESS, "GET", "/sound")
        assert len(response.body) == 1 << 20
        nursery.cancel_scope.cancel()


def encode_refusal(request_id=b"") -> bytes:
    name = b"X-Attempt-Id: %s\r\n" % request_id if request_id else b""
    return (
        b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
        b"%sContent-Length: 0\r\n\r\n" % name
    )


# Reported by another operator: callers were told "not run" for requests that a
# server was running.
@pytest.mark.parametrize("named", [b"", b"r0"])
@cases.run_on_virtual_clock
async def test_second_copy_of_a_refusal_does_not_refuse_the_next_request(named):
    responses = [
        [encode_refusal(named)],
        [encode_refusal(named), 0.05, encode(b"r1", b"one")],
    ]
    async with open_pool(*responses) as (pool, dialed):
        wire = codec.Codec()
        connection = await pool.acquire(ADDRESS)
        await connection.send("GET", "/", (), b"")
        head = await forwards.receive_head(connection, wire, "r0")
        assert head.not_run
        await forwards.read_body(connection)
        pool.release(connection)
        connection = await pool.acquire(ADDRESS)
        await connection.send("GET", "/", (), b"")
        assert len(dialed) == 1
        if named:
            head = await forwards.receive_head(connection, wire, "r1")
            assert head.status == 200
        else:
            # It may have run, so it must not count as refused.
            with pytest.raises(upstreams.LostError):
                await forwards.receive_head(connection, wire, "r1")


# Reported by another operator: callers got a 200 with an empty or short body.
@pytest.mark.parametrize("how", [None, "reset"])
@cases.run_on_virtual_clock
async def test_response_whose_head_is_cut_is_lost_at_every_byte(how):
    for extra in (b"", b"Transfer-Encoding: chunked\r\n"):
        head = encode(b"r1", b"", b"Keep-Alive: timeout=5\r\n")
        if extra:
            head = head.replace(b"Content-Length: 0\r\n", extra)
        else:
            head = head.replace(b"Length: 0", b"Length: 4")
        for length in range(len(head) + 1):
            async with open_pool([head[:length], how]) as (pool, _):
                with pytest.raises(upstreams.LostError):
                    await exchange(pool)


@cases.run_on_virtual_clock
async def test_time_at_which_an_address_was_heard_is_known_for_a_time():
    # Guards against servers without a sign of life that count as alive, and
    # against times that are kept for addresses that are gone.
    async with open_pool([0.5, encode(b"r1", b"one")]) as (pool, _):
        assert pool.get_heard_at(ADDRESS) == float("-inf")
        connection = await pool.acquire(ADDRESS)
        await connection.send("GET", "/", [], b"")
        assert pool.get_heard_at(ADDRESS) == float("-inf")
        await connection.receive()
        assert trio.current_time() - pool.get_heard_at(ADDRESS) < 0.01
        await trio.sleep(upstreams.HEARD_LIFETIME_S + 1)
        pool.close_expired()
        assert pool.get_heard_at(ADDRESS) == float("-inf")
