"""Tests of request.calls, request.claims and connection.backends."""

import functools
import inspect
import itertools
import json
import types

import hypothesis
from hypothesis import strategies
from peridotyard_core import addresses
from peridotyard_daemon.connection import backends
from peridotyard_daemon.connection import http
from peridotyard_daemon.process import tables
from peridotyard_daemon.request import calls
from peridotyard_daemon.request import claims
from peridotyard_emulator import faults
from peridotyard_emulator import service
from peridotyard_emulator import table
from peridotyard_emulator import web
import pytest
from returns import result
import trio

from tests.support import virtual_clock

B1 = {"id": "b1"}
SLOW = {"id": "b1", "mark": "slow"}
SERVICE = types.SimpleNamespace(idempotent_methods=("GET", "HEAD"))
WORKSPACE = types.SimpleNamespace(name="kea", services=("bookings",))
BUDGET = types.SimpleNamespace(
    record_success=lambda: None, try_spend=lambda: True
)


class ConnectionEnd:
    """One end of an in-memory connection of an entry and a sidecar."""

    def __init__(self, nursery, handler):
        self.nursery = nursery
        self.handler = handler
        self.is_open = True
        self.other = None

    def post(self, frame):
        if self.is_open:
            self.nursery.start_soon(self.deliver, frame)
        return self.is_open

    async def deliver(self, frame):
        await trio.sleep(0.001)
        if self.other.is_open:
            self.other.handler.handle_frame(self.other, frame)

    def close(self):
        for end in (self, self.other):
            end.is_open = False
            end.handler.handle_closed(end)


class Sidecar:
    """A sidecar, its service and connection; also its own `Backend`."""

    def __init__(self, world, concurrency):
        self.application = web.Application(
            world.service, faults.Faults(), lambda: None
        )
        self.application.nursery = world.nursery
        self.client = web.LocalClient(self.application, 60)
        self.claims = claims.Claims(
            self,
            tables.Table(None, 0.3, web.LocalClient(world.store, 0.3)),
            lambda _: 1000,
            concurrency=concurrency,
            read_time=trio.current_time,
        )
        self.connection = ConnectionEnd(world.nursery, world.calls)
        self.connection.other = ConnectionEnd(world.nursery, self.claims)
        self.connection.other.other = self.connection
        self.scope = trio.CancelScope()

    async def run(self, task_status):
        with self.scope:
            await self.claims.run(task_status)

    async def probe(self, timeout_s):
        return True

    async def call(self, method, path, headers, body, timeout_s):
        self.headers = dict(headers)
        try:
            response = await self.client.request(
                method, path, body=body, timeout_s=timeout_s
            )
        except http.UnsentError as error:
            return result.Failure(backends.Unsent(str(error)))
        except http.LostError as error:
            return result.Failure(backends.Lost(str(error)))
        return result.Success(response)


class World:
    """An entry, its sidecars, their service and the table service."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.sidecars = []
        self.service = service.ServiceState("bookings", 0.01, 2.0)
        self.store = web.Application(
            table.TableState(now=trio.current_time), faults.Faults()
        )
        self.store.nursery = nursery
        self.calls = calls.Calls(
            self.list_servers,
            lambda name: SERVICE,
            BUDGET,
            timeout_s=5.0,
            body_limit_bytes=10_000,
            body_timeout_s=1.0,
        )

    def list_servers(self, name):
        return [
            (sidecar.connection, index)
            for index, sidecar in enumerate(self.sidecars)
        ]

    async def add(self, concurrency=8):
        self.sidecars.append(Sidecar(self, concurrency))
        await self.nursery.start(self.sidecars[-1].run)

    async def act_after(self, delay_s, function, *args):
        await trio.sleep(delay_s)
        function(*args)

    async def call(self, key, record=None, disconnected=None):
        """Submits a booking, or looks up b1 if there is no record."""
        body = b"" if record is None else json.dumps(record).encode()
        method, path = ("GET", "/b1") if record is None else ("POST", "")
        headers = {"idempotency-key": key, "authorization": "x", "te": "y"}
        request = http.Request(
            method, "", {}, headers, f"/v1/services/bookings/bookings{path}"
        )
        messages = [{"type": "http.request", "body": body}]
        sent = []

        async def receive():
            if messages:
                return messages.pop()
            await (
                trio.Event() if disconnected is None else disconnected
            ).wait()
            return {"type": "http.disconnect"}

        async def send(message):
            sent.append(message)

        await self.calls.handle(request, WORKSPACE, "r1", receive, send)
        if not sent:
            return None
        value = json.loads(sent[1]["body"])
        error = value.get("error")
        # The emulated service sends its errors as strings.
        error = error if isinstance(error, dict) else {}
        return types.SimpleNamespace(
            status=sent[0]["status"],
            value=value,
            code=error.get("code"),
            verdict=error.get("verdict"),
            replayed=(b"idempotent-replayed", b"true") in sent[0]["headers"],
        )


def in_world(function):
    """Runs an async test in a `World` with two sidecars and virtual time."""

    @functools.wraps(function)
    def test(**parameters):
        async def check():
            async with trio.open_nursery() as nursery:
                world = World(nursery)
                await world.add()
                await world.add()
                await function(world, **parameters)
                nursery.cancel_scope.cancel()

        virtual_clock.run(check)

    # pytest and hypothesis find the arguments to pass in the signature.
    _, *rest = inspect.signature(function).parameters.values()
    test.__signature__ = inspect.Signature(
        [item.replace(kind=item.KEYWORD_ONLY) for item in rest]
    )
    return test


@in_world
async def test_duplicate_gets_the_stored_outcome(world):
    """Guards against a duplicate booking, and against leaked credentials."""
    first = await world.call("k", B1)
    assert world.sidecars[0].headers == {"x-request-id": "r1"}
    await trio.sleep(1)
    second = await world.call("k", B1)
    assert (first.status, first.replayed) == (201, False)
    assert (second.status, second.replayed) == (201, True)
    assert second.value == first.value
    other = await world.call("k", {"id": "b2"})
    assert (other.status, other.verdict) == (422, "not-run")
    assert world.service.executions == {"b1": 1}
    # The retention of 1000 s has passed.
    await trio.sleep(1000)
    assert not (await world.call("k", B1)).replayed


@in_world
async def test_concurrent_duplicates_wait_for_the_outcome(world):
    """Guards against a second run while the first one is in progress."""
    replies = []

    async def submit():
        replies.append(await world.call("k", SLOW))

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(submit)
    assert [reply.status for reply in replies] == [201] * 4
    assert sorted(reply.replayed for reply in replies) == [0, 1, 1, 1]
    assert world.service.executions == {"b1": 1}


@in_world
async def test_key_is_required_and_limited(world):
    """Guards against a booking that cannot be retried safely."""
    reply = await world.call("", B1)
    assert (reply.status, reply.code) == (400, "idempotency-key-required")
    assert (await world.call("k" * 256, B1)).status == 400
    assert (await world.call("")).status == 404


@in_world
async def test_table_outage_rejects_bookings_and_keeps_lookups(world):
    """Guards against unclaimed runs, and lookups that need the table."""
    await world.call("k0", B1)
    await trio.sleep(1)
    world.store.faults.add(faults.Fault("refuse"))
    reply = await world.call("k", {"id": "b2"})
    assert (reply.code, reply.verdict) == ("store-unavailable", "not-run")
    assert (await world.call("")).status == 200
    assert "b2" not in world.service.executions


@pytest.mark.parametrize("kind", ["lost-reply", "late-effect", "outage"])
@in_world
async def test_lost_claim_is_resolved(world, kind):
    """Guards against a call that fails because a write's response was lost."""
    world.store.faults.add(faults.Fault(kind, 1, 0.5))
    reply = await world.call("k", B1)
    assert (reply.status, reply.replayed) == (201, False)
    await trio.sleep(1)
    assert (await world.call("k", B1)).replayed
    assert world.service.executions == {"b1": 1}


@pytest.mark.parametrize("kind", ["lost-reply", "late-effect", "outage"])
@in_world
async def test_unresolved_claim_is_released(world, kind):
    """Guards against not-run for a call that runs or blocks its key later."""
    world.store.faults.add(faults.Fault(kind, 1, 9.0))
    world.store.faults.add(faults.Fault("outage"))
    reply = await world.call("k", B1)
    assert (reply.code, reply.verdict) == ("deadline-exceeded", "not-run")
    world.store.faults.clear()
    await trio.sleep(20)
    assert not world.service.executions
    assert world.sidecars[0].claims.in_flight == 0
    assert (await world.call("k", B1)).status == 201


@in_world
async def test_outcome_is_written_after_an_outage(world):
    """Guards against a caller that waits for the table after its call ran."""
    outage = faults.Fault("outage")
    world.nursery.start_soon(
        world.act_after, 0.005, world.store.faults.add, outage
    )
    assert (await world.call("k", B1)).status == 201
    assert trio.current_time() < 0.1
    world.sidecars[0].claims.start_drain()
    await trio.sleep(10)
    assert world.sidecars[0].claims.in_flight == 1
    world.store.faults.clear()
    await trio.sleep(10)
    assert world.sidecars[0].claims.in_flight == 0
    assert (await world.call("k", B1)).replayed


@in_world
async def test_lost_sidecar_is_replaced_with_the_same_key(world):
    """Guards against a lost server that loses or repeats a booking."""
    first, second = (sidecar.connection for sidecar in world.sidecars)
    world.nursery.start_soon(world.act_after, 0.5, first.close)
    reply = await world.call("k", SLOW)
    assert (reply.status, reply.replayed) == (201, True)
    assert world.service.executions == {"b1": 1}
    second.close()
    reply = await world.call("k2", B1)
    assert (reply.code, reply.verdict) == ("no-capacity", "not-run")


@pytest.mark.parametrize("mark", ["silent", "crash"])
@in_world
async def test_lost_call_may_have_run(world, mark):
    """Guards against not-run, or a second run, after a lost response."""
    for _ in range(2):
        reply = await world.call("k", {"id": "b1", "mark": mark})
        assert (reply.status, reply.verdict) == (502, "may-have-run")
    assert world.service.executions == {"b1": 1}


@in_world
async def test_not_run_is_retried_elsewhere(world):
    """Guards against errors while another server could serve the call."""
    first, second = world.sidecars
    first.client.is_reachable = False
    assert (await world.call("k", B1)).status == 201
    assert (await world.call("")).status == 200
    first.client.is_reachable = True
    first.claims.start_drain()
    assert (await world.call("k2", B1)).status == 201
    second.claims.start_drain()
    reply = await world.call("k3", B1)
    assert (reply.code, reply.verdict) == ("draining", "not-run")
    await world.add(concurrency=1)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.call, "k4", SLOW)
        await trio.sleep(0.1)
        reply = await world.call("")
    assert (reply.code, reply.verdict) == ("overloaded", "not-run")


@in_world
async def test_lost_lookup_is_retried_once(world):
    """Guards against a request that crashes every server of the service."""
    await world.add()
    for sidecar in world.sidecars:
        sidecar.application.faults.add(faults.Fault("outage"))
    for index, at_s in enumerate((0.5, 1.0)):
        close = world.sidecars[index].connection.close
        world.nursery.start_soon(world.act_after, at_s, close)
    reply = await world.call("")
    assert (reply.code, reply.verdict) == ("backend-lost", "may-have-run")
    assert trio.current_time() < 1.1


@in_world
async def test_only_lookups_are_cancelled_with_their_caller(world):
    """Guards against a booking without outcome, and work for nobody."""
    disconnected = trio.Event()
    for sidecar in world.sidecars:
        sidecar.application.faults.add(faults.Fault("slow", 2, 1.0))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.call, "k", SLOW, disconnected)
        nursery.start_soon(world.call, "", None, disconnected)
        await trio.sleep(0.1)
        assert world.calls.in_flight == 2
        disconnected.set()
        await trio.sleep(0.1)
        assert world.calls.in_flight == 1
        assert sum(s.claims.in_flight for s in world.sidecars) == 1
    await trio.sleep(10)
    assert (await world.call("k", SLOW)).replayed


KINDS = faults.KINDS[:5]
# Each is (action, key or kind of fault, detail).
ACTIONS = [
    *itertools.product(["call"], "ab", [None, "silent", "slow"]),
    *itertools.product(["table"], KINDS, [1, 2, 3]),
    *itertools.product(["backend"], KINDS, [0, 1]),
    *itertools.product(["close", "restart"], [""], [0, 1]),
]
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([0.0, 0.01, 0.3, 2.0]),
        # Every second step is a call.
        strategies.sampled_from(ACTIONS[:6]) | strategies.sampled_from(ACTIONS),
    ),
    min_size=4,
    max_size=14,
)


def check_replies(replies, executions):
    """Compares the replies to one key with the service's executions."""
    assert executions <= 1
    if any("executions" in reply.value for reply in replies):
        assert executions == 1
    if {reply.verdict for reply in replies} == {"not-run"}:
        assert executions == 0


@hypothesis.given(steps=STEPS)
@hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)
@in_world
async def test_no_schedule_runs_a_key_twice(world, steps):
    """Guards against the faults of section 8 of docs/design.md in any order."""
    # Those are faults of the table, the service and the sidecars. Under none of
    # them may a key run twice, or a caller get a wrong verdict.
    replies_by_key = {"a": [], "b": []}
    marks = {}

    async def submit(key):
        reply = await world.call(key, {"id": key, "mark": marks[key]})
        replies_by_key[key].append(reply)

    async with trio.open_nursery() as nursery:
        for pause_s, (action, kind, detail) in steps:
            await trio.sleep(pause_s)
            if action == "call":
                # All calls of a key have the body of the first one.
                marks.setdefault(kind, detail)
                nursery.start_soon(submit, kind)
            elif action == "table":
                world.store.faults.add(faults.Fault(kind, detail, 1.0))
            elif action == "backend":
                active = world.sidecars[detail].application.faults
                active.add(faults.Fault(kind, 1, 1.0))
            else:
                if action == "restart":
                    world.sidecars[detail].scope.cancel()
                world.sidecars[detail].connection.close()
                await world.add()
    world.store.faults.clear()
    await trio.sleep(60)
    for sidecar in world.sidecars:
        assert sidecar.scope.cancel_called or not sidecar.claims.in_flight
    for key, replies in replies_by_key.items():
        check_replies(replies, world.service.executions[key])


OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: X-Hop\r\nX-Hop: 1"


@pytest.mark.parametrize(
    ("response", "expected"),
    [
        (None, backends.Unsent),
        (b"", backends.Lost),
        (OK % 9 + b"\r\n\r\nhalf", backends.Lost),
        (OK % 99 + b"\r\n\r\n" + b"x" * 99, backends.TooLarge),
        (OK % 2 + b"\r\nA: b\r\n\r\nok", http.Response),
    ],
)
def test_backend_distinguishes_unsent_from_lost(response, expected):
    """Guards against a second run after a truncated response."""

    async def reply(stream):
        request = await stream.receive_some(4096)
        assert b"gzip" not in request
        await stream.send_all(response)
        await stream.aclose()

    async def check():
        async with trio.open_nursery() as nursery:
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listener.socket.getsockname()[1]
            if response is None:
                await listener.aclose()
            else:
                nursery.start_soon(trio.serve_listeners, reply, [listener])
            address = addresses.Address("127.0.0.1", port)
            backend = backends.Backend(address, 2, limit_bytes=50)
            headers = [("Connection", "close, TE"), ("te", "gzip")]
            got = await backend.call("POST", "/x", headers, b"{}", 5)
            if expected is http.Response:
                assert got.unwrap().headers == (("A", "b"),)
            else:
                assert isinstance(got.failure(), expected)
            await backend.close()
            nursery.cancel_scope.cancel()

    trio.run(check)
