"""Tests of peridotyard_daemon.connection.bodies."""

import collections

from peridotyard_daemon.connection import bodies
from peridotyard_daemon.connection import http
import pytest
import trio

from tests.support import cases
from tests.support import entries

LIMIT_BYTES = 1 << 20
MEMORY_BYTES = 4 << 20


class Sender:
    """A caller that sends parts of a body and then stops.

    Attributes:
        sent: Number of parts that were received.
    """

    def __init__(self, parts, is_complete=False, length=None):
        headers = {} if length is None else {"content-length": length}
        self.request = http.Request("POST", "/", {}, headers, "/")
        self._parts = list(parts)
        self._is_complete = is_complete
        self.sent = 0

    async def receive(self):
        await trio.lowlevel.checkpoint()
        if self.sent == len(self._parts):
            await trio.sleep_forever()
        part = self._parts[self.sent]
        self.sent += 1
        more = self.sent < len(self._parts) or not self._is_complete
        return {"type": "http.request", "body": part, "more_body": more}


class Reader:
    """Reads the bodies of an address.

    Attributes:
        counts: Counters.
        codes: Code of each rejected request.
        bodies: Length of each complete body.
    """

    def __init__(self, limit_bytes=LIMIT_BYTES, memory_bytes=MEMORY_BYTES):
        self.counts = collections.Counter()
        self.shared = bodies.Bodies(
            limit_bytes, memory_bytes, lambda name: self.counts.update([name])
        )
        self.codes = []
        self.bodies = []

    async def read(self, sender, work_s=0.0):
        with self.shared.open(sender.request, sender.receive) as body:
            try:
                data = await http.read_body(
                    body.receive, self.shared.limit_bytes, 10.0
                )
                self.bodies.append(len(data))
                await trio.sleep(work_s)
            except http.RequestError as error:
                self.codes.append(error.failure.code)
                assert error.failure.verdict.value == "not-run"


@pytest.mark.parametrize("length", [str(LIMIT_BYTES + 1), "9" * 30])
@cases.run_on_virtual_clock
async def test_announced_length_above_the_limit_is_rejected_unread(length):
    """Guards against a body that is read up to the limit for nothing."""
    reader = Reader()
    sender = Sender([b"x"] * 10, length=length)
    await reader.read(sender)
    assert reader.codes == ["body-too-large"]
    assert sender.sent == 0
    assert reader.counts["input_limits.body_length"] == 1


@pytest.mark.parametrize("length", [None, "", "\xb2", "-1", "abc"])
@cases.run_on_virtual_clock
async def test_malformed_length_counts_as_not_announced(length):
    """Guards against an exception for a header that a server passes on."""
    reader = Reader()
    await reader.read(Sender([b"x"], True, length))
    assert reader.bodies == [1]


@cases.run_on_virtual_clock
async def test_body_of_tiny_parts_is_rejected():
    """Guards against seconds of processor time for one small body."""
    reader = Reader()
    sender = Sender([b"x"] * (1 << 18))
    await reader.read(sender)
    assert reader.codes == ["bad-request"]
    assert sender.sent == bodies.SMALL_PARTS + 1
    assert reader.counts["input_limits.body_parts"] == 1
    # Each token of JSON by itself is accepted.
    await reader.read(Sender([b'"ab"'] * 30_000, True))
    assert reader.bodies == [120_000]


@cases.run_on_virtual_clock
async def test_stopped_bodies_share_a_limit():
    """Guards against callers that send the beginning of bodies and stop.

    Each body is within its limit, and all together fill the memory. Ordinary
    requests go on meanwhile.
    """
    reader = Reader()
    part = bytes(1 << 16)
    async with trio.open_nursery() as nursery:
        for number in range(80):
            nursery.start_soon(reader.read, Sender([part] * 15))
            await trio.sleep(0.01)
            assert reader.shared.buffers.total_bytes <= MEMORY_BYTES
            if number % 10 == 0:
                await reader.read(Sender([b"x" * 1000], True))
                await reader.read(Sender([part] * 2, True))
        assert collections.Counter(reader.bodies) == {1000: 8, 1 << 17: 8}
        rejected = reader.counts["input_limits.body_memory"]
        assert reader.codes == ["overloaded"] * rejected
        # 4 bodies of 960 KiB are left.
        assert rejected == 76
    # These end with their time limit.
    assert reader.codes[rejected:] == ["request-timeout"] * 4
    assert reader.shared.buffers.total_bytes == 0


@cases.run_on_virtual_clock
async def test_bodies_of_requests_in_progress_count():
    """Guards against complete bodies of waiting requests that fill the memory.

    A request that may have run is not rejected any more.
    """
    reader = Reader()
    whole = [bytes(LIMIT_BYTES)]
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(reader.read, Sender(whole, True), 5.0)
            await trio.sleep(0.1)
        assert len(reader.bodies) == 4
        assert reader.codes == ["overloaded"] * 2
        await reader.read(Sender([bytes(bodies.SMALL_BYTES)], True))
        assert len(reader.bodies) == 5
    await reader.read(Sender(whole, True))
    assert len(reader.bodies) == 6


@entries.with_cluster((0, 4), body_memory_bytes=1 << 20)
async def test_entry_serves_ordinary_requests_beside_stopped_bodies(cluster):
    """Guards against limits that the entry does not apply to its callers."""
    stalled = []
    for _ in range(20):
        caller = entries.Caller("/v1/completions", {})
        caller._arrivals = [
            {"type": "http.request", "body": bytes(1 << 17), "more_body": True}
        ]
        stalled.append(cluster.start_call(caller))
        await trio.sleep(0.01)
    caller = await cluster.call(cluster.make_completion(3, stream=False))
    assert caller.status == 200
    rejected = [item for item in stalled if item.messages]
    # Eight of them fit, and the ordinary request displaces another one.
    assert len(rejected) == 13
    assert {item.status for item in rejected} == {503}
    assert all(item.headers[b"retry-after"] for item in rejected)
    await trio.sleep(11)
    assert {item.status for item in stalled} == {503, 408}
