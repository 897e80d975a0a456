"""Tests of tests.soak: a short run, and the checks of its results."""

import pathlib
import subprocess
import sys
import time

from peridotyard_core import addresses
import trio

from tests.soak import callers
from tests.soak import proxies
from tests.soak import stand_ins

SECONDS = 4


def test_guarantees_hold_in_a_short_seeded_run():
    """Guards against entries that violate a guarantee under faults."""
    done = subprocess.run(
        [sys.executable, "-m", "tests.soak", "--seeds", "1"]
        + ["--seconds", str(SECONDS)],
        capture_output=True,
        text=True,
        timeout=180,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr


def make_outcome(route, status, body=b"", complete=True):
    return callers.Outcome("c1", route, status, complete, body)


def test_checks_find_each_violated_guarantee():
    """Guards against a soak that passes because its checks never fail."""
    events = b"".join(
        f"id: {n}\ndata: token {n}\n\n".encode()
        for n in range(1, stand_ins.EVENTS + 1)
    )
    broken = {
        "TWICE": (make_outcome("book", 200, b"answer to c1"), ["c1", "c1"]),
        "REFUSED": (make_outcome("book", 503), ["c1"]),
        "MIXED": (make_outcome("look", 200, b"answer to c2"), ["c1"]),
        "ORDER": (make_outcome("chat", 200, events[len(events) // 2 :]), []),
    }
    for rule, (outcome, runs) in broken.items():
        (problem,) = callers.find_problems([outcome], runs)
        assert problem.startswith(rule)
    (problem,) = callers.find_problems(
        [make_outcome("chat", 200, events[:40])], []
    )
    assert "ends early" in problem
    for outcome, runs in (
        (make_outcome("book", 200, b"answer to c1"), ["c1"]),
        (make_outcome("book", 502), ["c1"]),
        (make_outcome("look", 200, b"answer", complete=False), ["c1", "c1"]),
        (make_outcome("chat", 200, events), ["c1", "c1"]),
        (make_outcome("chat", 200, events[:40], complete=False), ["c1"]),
    ):
        assert callers.find_problems([outcome], runs) == []


def test_path_of_a_request_is_parsed():
    """Guards against stand-ins that check other layers than requested."""
    parts = stand_ins.read_path("10.0.0.1:80=0-8, 10.0.0.2:80=8-20")
    assert parts == [("10.0.0.1:80", 0, 8), ("10.0.0.2:80", 8, 20)]


def test_stand_in_may_end_before_its_listener_has_begun():
    """Guards against a soak that stops with an error of its own."""

    async def run():
        listeners = proxies.Listeners()
        address = addresses.Address("127.0.0.1", 0)
        for _ in range(2):
            listeners.listen_addresses[address] = address
            async with trio.open_nursery() as nursery:
                nursery.start_soon(listeners.serve, address, None)
                listeners.stop_serving(str(address))

    trio.run(run)


def test_processes_end_with_the_soak():
    """Guards against entries that outlive a terminated soak.

    They would keep their addresses and load the machine.
    """
    soak = subprocess.Popen(
        [sys.executable, "-m", "tests.soak", "--seeds", "2"]
        + ["--seconds", "60"],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    children = pathlib.Path(f"/proc/{soak.pid}/task/{soak.pid}/children")
    deadline = time.monotonic() + 60
    while not (pids := children.read_text().split()):
        assert time.monotonic() < deadline
        time.sleep(0.1)
    time.sleep(1)
    pids = children.read_text().split()
    soak.terminate()
    soak.wait(timeout=30)
    assert not [pid for pid in pids if pathlib.Path("/proc", pid).exists()]
