"""Tests of an entry's process under clients that keep no limit.

Each test starts one entry on loopback addresses and checks what does not depend
on the speed of the machine. The crowd and the bounds stem from the limits of
the machine in its settings, see `tests.support.crowds`.
"""

import itertools

import pytest
import trio

from tests.support import crowds

CHUNK_BYTES = 1 << 16
CHUNKED = "Transfer-Encoding: chunked"
# A body that stops this much short of the limit.
SHORT_BYTES = 4096


def send_large_chunks(system):
    """Sends a body in large chunks and stops just short of its end."""
    yield system.make_head(CHUNKED)
    chunk = crowds.make_chunk(b"x" * CHUNK_BYTES)
    sent = 0
    while sent + CHUNK_BYTES <= system.machine.body_bytes - SHORT_BYTES:
        yield chunk
        sent += CHUNK_BYTES
    rest = system.machine.body_bytes - SHORT_BYTES - sent
    yield crowds.make_chunk(b"x" * rest)


def send_small_chunks(system):
    """Sends a body in chunks of one byte and stops short of its end."""
    yield system.make_head(CHUNKED)
    yield from itertools.repeat(crowds.make_chunk(b"x") * 5000, 50)


def send_announced(system):
    """Announces a body within the limit and stops just short of its end."""
    yield system.make_head(f"Content-Length: {system.machine.body_bytes}")
    yield b"x" * (system.machine.body_bytes - SHORT_BYTES)


def announce_too_much(system):
    """Announces a body far over the limit and sends the part below it."""
    yield system.make_head(f"Content-Length: {64 * system.machine.body_bytes}")
    yield b"x" * (system.machine.body_bytes - SHORT_BYTES)


def send_too_much(system):
    """Sends a body far over the limit, in chunks."""
    yield system.make_head(CHUNKED)
    chunk = crowds.make_chunk(b"x" * CHUNK_BYTES)
    yield from itertools.repeat(
        chunk, 16 * system.machine.body_bytes // CHUNK_BYTES
    )


def send_pipelined(system):
    """Sends requests without end and reads no answer."""
    for _ in range(2000):
        head = system.make_head("Content-Length: 2000")
        yield (head + b"x" * 2000) * 2


def read_no_answer(system):
    """Asks for a large answer and does not read it."""
    size = f"{crowds.SIZE_HEADER}: {system.machine.body_bytes}"
    yield system.make_head(f"Content-Length: 2\r\n{size}") + b"{}"


def send_nothing(_system):
    """Sends nothing."""
    return ()


def send_part_of_head(system):
    """Sends a head without its end."""
    yield system.make_head(CHUNKED)[:-4]


@pytest.mark.parametrize(
    ("make_pieces", "count"),
    [
        (send_large_chunks, crowds.CROWD),
        (send_small_chunks, crowds.CROWD),
        (send_announced, crowds.CROWD),
        (announce_too_much, crowds.CROWD),
        (send_too_much, crowds.CROWD),
        (send_pipelined, crowds.CROWD),
        (read_no_answer, crowds.CROWD),
        (send_nothing, crowds.DESCRIPTORS),
        (send_part_of_head, crowds.DESCRIPTORS),
    ],
    ids=lambda value: getattr(value, "__name__", None),
)
def test_entry_outlives_clients_outside_the_limits(
    make_pieces, count, tmp_path
):
    """Guards against clients that end or occupy the entry for all others."""
    system = crowds.System(tmp_path)

    async def run():
        async with trio.open_nursery() as nursery:
            await system.start(nursery)
            async with trio.open_nursery() as crowd:
                await crowds.send_crowd(
                    system, lambda: make_pieces(system), crowd, count
                )
                status_during = await system.send_ordinary()
                # Connections are accepted in order, so all of the crowd's are.
                system.sample()
                crowd.cancel_scope.cancel()
            status_after = await system.send_ordinary()
            assert system.is_running()
            nursery.cancel_scope.cancel()
        return status_during, status_after

    try:
        statuses = trio.run(run)
    finally:
        system.stop()
    print(system.usage, statuses)
    assert statuses == (200, 200)
    usage = system.usage
    assert usage.memory_mb + usage.unread_mb <= crowds.MEMORY_MB
    assert usage.descriptors <= crowds.DESCRIPTORS


def test_single_request_at_the_limits_is_served(tmp_path):
    """Guards against a bound that a caller within the limits reaches."""
    system = crowds.System(tmp_path)
    small = b"x" * crowds.BODY_BYTES
    chunks = crowds.make_chunk(b"x") * (crowds.BODY_BYTES // 16)
    requests = [
        (f"Content-Length: {crowds.BODY_BYTES}", small),
        (CHUNKED, crowds.make_chunk(small) + b"0\r\n\r\n"),
        (CHUNKED, chunks + b"0\r\n\r\n"),
    ]

    async def send(framing, body):
        head = system.make_head(f"{framing}\r\nConnection: close")
        data = b""
        async with await crowds.open_stream(system.callers) as stream:
            await stream.send_all(head + body)
            while part := await stream.receive_some():
                data += part
        return data.split(b" ")[1]

    async def run():
        async with trio.open_nursery() as nursery:
            await system.start(nursery)
            with trio.fail_after(crowds.ANSWER_LIMIT_S):
                statuses = [await send(*request) for request in requests]
            nursery.cancel_scope.cancel()
        return statuses

    try:
        assert trio.run(run) == [b"200"] * len(requests)
    finally:
        system.stop()
