"""Clients that keep no limit: what they cost an entry, and who is served.

Starts one entry as a process for each crowd, with its stand-ins, see
`tests.support.crowds`. An ordinary caller sends a small request every half
second while the crowd sends and stays open.
"""

import functools
import itertools
import pathlib
import tempfile

import trio

from tests.support import crowds
from tests.unit import test_crowds

MACHINE = crowds.Machine(memory_mb=152, descriptors=1535, body_bytes=4 << 20)
COUNTS = (80, 400)
INTERVAL_S = 0.5
REQUESTS = 16


def send_many_small_chunks(system):
    """Sends 6 MB in chunks of one byte and stops short of the end."""
    yield system.make_head(test_crowds.CHUNKED)
    yield from itertools.repeat(crowds.make_chunk(b"x") * 5000, 200)


CROWDS = {
    "chunks of 64 KiB": test_crowds.send_large_chunks,
    "announced, stops short": test_crowds.send_announced,
    "64 MB in chunks": test_crowds.send_too_much,
    "chunks of one byte": send_many_small_chunks,
    "announced over the limit": test_crowds.announce_too_much,
    "pipelined without end": test_crowds.send_pipelined,
    "reads no answer": test_crowds.read_no_answer,
    "sends nothing": test_crowds.send_nothing,
}


async def measure(folder: pathlib.Path, make_pieces, count: int) -> str:
    """Returns the columns of one crowd."""
    system = crowds.System(folder, MACHINE)
    try:
        async with trio.open_nursery() as nursery:
            await system.start(nursery)
            system.sample()
            before = system.usage.memory_mb
            statuses = []

            async def send_ordinary() -> None:
                for _ in range(REQUESTS):
                    await trio.sleep(INTERVAL_S)
                    with trio.move_on_after(10):
                        statuses.append(await system.send_ordinary())

            async with trio.open_nursery() as crowd:
                async with trio.open_nursery() as callers:
                    callers.start_soon(send_ordinary)
                    await crowds.send_crowd(
                        system,
                        functools.partial(make_pieces, system),
                        crowd,
                        count,
                    )
                system.sample()
                crowd.cancel_scope.cancel()
            after = [await system.send_ordinary() for _ in range(3)]
            alive = system.is_running()
            nursery.cancel_scope.cancel()
    finally:
        system.stop()
    usage = system.usage
    return (
        f"{before:.0f} | {usage.memory_mb:.0f} | {usage.unread_mb:.0f} |"
        f" {usage.descriptors} | {statuses.count(200)} of {REQUESTS} |"
        f" {after.count(200)} of 3 | {'yes' if alive else 'no'}"
    )


def main() -> int:
    """Prints a table."""
    print(
        f"One entry, {MACHINE.memory_mb} MB, {MACHINE.descriptors} descriptors,"
        f" bodies up to {MACHINE.body_bytes >> 20} MiB.\n"
    )
    print(
        "| crowd | clients | MB before | peak | unread | descriptors |"
        " answered during | after | alive |"
    )
    print("|" + " --- |" * 9)
    for name, make_pieces in CROWDS.items():
        for count in COUNTS:
            with tempfile.TemporaryDirectory() as folder:
                columns = trio.run(
                    measure, pathlib.Path(folder), make_pieces, count
                )
            print(f"| {name} | {count} | {columns} |", flush=True)
    return 0
