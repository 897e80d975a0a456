"""Tests of peridotyard_daemon.process.mesh with many entries."""

import contextlib
import dataclasses
import math

import hypothesis
from hypothesis import strategies
from peridotyard_core import addresses
from peridotyard_core import crashes
from peridotyard_core import fleet
from peridotyard_daemon.connection import frames
from peridotyard_daemon.connection import peers
from peridotyard_daemon.process import mesh
from peridotyard_daemon.process import views
from peridotyard_daemon.wire.generated import ttypes
import pytest
from thrift import Thrift
import trio

from tests.support import cases
from tests.support import deployments
from tests.support import virtual_clock

# Entries of one zone that form two groups with two hubs each.
ENTRIES = 17


@contextlib.asynccontextmanager
async def open_large_deployment():
    async with deployments.open_deployment(entries=ENTRIES) as deployment:
        await trio.sleep(11)
        yield deployment


def list_hubs(deployment) -> list:
    return [entry for entry in deployment.entries if not entry._mesh.is_member]


def list_members(deployment) -> list:
    return [entry for entry in deployment.entries if entry._mesh.is_member]


def list_suspecting(deployment) -> list:
    """Returns the entries that suspect the server y."""
    return [
        entry
        for entry in deployment.entries
        if entry.view.is_suspected(entry.view.servers["y"])
    ]


def count_connections(entry) -> int:
    return len(entry._mesh._peers.connections)


def kill_entry(deployment, entry) -> None:
    """Ends the connections of an entry and refuses new ones."""
    number = deployment.entries.index(entry) + 1
    deployment.isolate(number)
    deployment.network.stop_serving(f"10.1.0.{number}:82")
    deployment.network.reset(f"10.1.0.{number}:82")
    deployment.network.reset(f"10.1.0.{number}")
    deployment.cut_from_store(number)


@cases.run_on_virtual_clock
async def test_members_are_connected_to_their_hubs_only():
    """Guards against a full mesh, whose cost grows with the square."""
    async with open_large_deployment() as deployment:
        hubs, members = list_hubs(deployment), list_members(deployment)
        assert len(hubs) == 4
        assert {count_connections(entry) for entry in members} == {2}
        assert sum(count_connections(entry) for entry in hubs) == 2 * 13 + 4 * 3


@cases.run_on_virtual_clock
async def test_configuration_reaches_all_entries_through_the_hubs():
    """Guards against entries that keep an older configuration.

    All members but one have lost the store.
    """
    async with open_large_deployment() as deployment:
        for entry in list_members(deployment):
            number = deployment.entries.index(entry) + 1
            deployment.cut_from_store(number)
        deployment.rows.put("op", "config", deployments.encode_routing(5))
        await trio.sleep(1)
        versions = [e.view.routing.version for e in deployment.entries]
        assert versions == [5] * ENTRIES


@cases.run_on_virtual_clock
async def test_one_entry_reads_the_store_for_all_groups():
    """Guards against store reads that grow with the number of entries."""
    async with open_large_deployment() as deployment:
        before = dict(deployment.rows.calls)
        await trio.sleep(10)
        reads = deployment.rows.calls["/rows-feed"] - before["/rows-feed"]
        # Two tables, about one read a second each.
        assert reads < 3 * 10
        writes = deployment.rows.calls["/rows-tx"] - before["/rows-tx"]
        # One of each of the four hubs each 5 s, and those for the lease.
        assert writes <= 2 * 4 + 10 / 0.8 + 2
        listed = {len(entry._presence.entries) for entry in deployment.entries}
        assert listed == {ENTRIES - 1}
        assert {e.view.entry_count for e in deployment.entries} == {ENTRIES}


@cases.run_on_virtual_clock
async def test_member_writes_its_row_again_if_its_hubs_are_lost():
    """Guards against a live entry that the others take for an ended one.

    Its share of the retry budget would be spent by the others.
    """
    async with open_large_deployment() as deployment:
        member = list_members(deployment)[0]
        number = deployment.entries.index(member) + 1
        deployment.isolate(number)
        deployment.network.reset(f"10.1.0.{number}")
        deployment.network.reset(f"10.1.0.{number}:82")
        others = [e for e in deployment.entries if e is not member]
        for _ in range(30):
            await trio.sleep(0.5)
            assert {e.view.entry_count for e in others} == {ENTRIES}


# Guards against entries that take each other for ended, close all connections
# and place layers side by side, since the store fails the writes of their rows.
@pytest.mark.parametrize("entries", [3, ENTRIES])
@cases.run_on_virtual_clock
async def test_entries_stay_connected_while_the_store_fails_writes(entries):
    async with deployments.open_deployment(entries=entries) as deployment:
        await trio.sleep(11)
        connections = [count_connections(entry) for entry in deployment.entries]
        members = list_members(deployment)
        deployment.rows.fault = "full"
        await trio.sleep(5)
        for _ in range(30):
            await trio.sleep(1)
            assert connections == [
                count_connections(entry) for entry in deployment.entries
            ]
            assert list_members(deployment) == members
            assert sum(e._may_place() for e in deployment.entries) == 1
        deployment.rows.fault = ""
        await trio.sleep(8)
        assert connections == [
            count_connections(entry) for entry in deployment.entries
        ]
        assert {e.view.entry_count for e in deployment.entries} == {entries}


# Guards against an entry that loses its connections, and with them new
# configurations, since the store responds to all entries but this one.
@cases.run_on_virtual_clock
async def test_entry_that_loses_the_store_stays_connected():
    async with deployments.open_deployment(entries=3) as deployment:
        await trio.sleep(11)
        deployment.cut_from_store(3)
        await trio.sleep(30)
        deployment.rows.put("op", "config", deployments.encode_routing(5))
        await trio.sleep(2)
        versions = [e.view.routing.version for e in deployment.entries]
        assert versions == [5] * 3
        assert [count_connections(e) for e in deployment.entries] == [2] * 3


# Guards against members that fill the queue of a slow store with retries.
@cases.run_on_virtual_clock
async def test_members_write_seldom_while_the_store_fails_writes():
    async with open_large_deployment() as deployment:
        deployment.rows.fault = "full"
        await trio.sleep(10)
        before = deployment.rows.calls["/rows-tx"]
        await trio.sleep(10)
        writes = deployment.rows.calls["/rows-tx"] - before
        hubs, members = list_hubs(deployment), list_members(deployment)
        # Of each hub one each 0.8 s, which claims the lease.
        assert writes <= len(hubs) * 13 + len(members) * 5


@cases.run_on_virtual_clock
async def test_only_hubs_hold_the_lease():
    async with open_large_deployment() as deployment:
        holders = [
            entry
            for entry in deployment.entries
            if entry._presence.is_lease_holder()
        ]
        assert len(holders) == 1
        assert holders[0] in list_hubs(deployment)
        assert sum(e._may_place() for e in deployment.entries) == 1


@cases.run_on_virtual_clock
async def test_requests_in_flight_are_known_in_all_groups():
    """Guards against paths over servers that other groups have filled."""
    async with open_large_deployment() as deployment:
        deployment.servers["x"].events = 60
        busy = [list_members(deployment)[0], list_hubs(deployment)[0]]
        for entry in busy:
            number = deployment.entries.index(entry) + 1
            deployment.nursery.start_soon(deployment.call, number)
        await trio.sleep(2.2)
        loads = [
            entry.view.get_load(entry.view.servers["x"])
            for entry in deployment.entries
        ]
        assert loads == [2] * ENTRIES
        await trio.sleep(6)
        assert not any(
            entry.view.get_load(entry.view.servers["x"])
            for entry in deployment.entries
        )


TENANTS = [
    {"name": "north", "apiKeys": ["key-1"], "priority": 0},
    {"name": "south", "apiKeys": ["key-2"], "priority": 5},
]


def read_demand(entry, priority=0) -> tuple[float, float]:
    """Returns arrivals per second and streams, as an entry knows them."""
    for row in entry.context.shares.describe():
        if row["priority"] == priority and row["workspace"] is None:
            return row["arrivals_per_s"], row["streams"]
    return 0.0, 0.0


@pytest.mark.parametrize("entries", [3, ENTRIES])
@cases.run_on_virtual_clock
async def test_demand_is_known_at_all_entries(entries):
    """Guards against entries that only know their own callers."""
    async with deployments.open_deployment(entries=entries) as deployment:
        deployment.rows.put(
            "op", "config", deployments.encode_routing(5, tenants=TENANTS)
        )
        await trio.sleep(11)
        deployment.servers["x"].events = 200
        for number in (1, entries):
            deployment.nursery.start_soon(deployment.call, number)
        await trio.sleep(3)
        for entry in deployment.entries:
            arrivals, streams = read_demand(entry)
            assert streams == pytest.approx(2, abs=0.2)
            assert 0 < arrivals < 2.5
            assert read_demand(entry, 5) == (0.0, 0.0)
        # A partitioned entry takes the others to be like itself.
        deployment.isolate(entries)
        deployment.network.reset(f"10.1.0.{entries}:82")
        deployment.network.reset(f"10.1.0.{entries}")
        await trio.sleep(1)
        deployment.nursery.start_soon(deployment.call, entries)
        await trio.sleep(3)
        lonely = deployment.entries[-1]
        assert read_demand(lonely)[1] == pytest.approx(
            max(1, lonely.view.entry_count), abs=0.2
        )
        await trio.sleep(12)
        for entry in deployment.entries[:-1]:
            assert read_demand(entry)[1] == 0


@cases.run_on_virtual_clock
async def test_no_demand_is_sent_if_all_requests_have_one_priority():
    """Guards against messages that nobody needs."""
    async with deployments.open_deployment(entries=2) as deployment:
        await trio.sleep(4)
        deployment.servers["x"].events = 50
        deployment.nursery.start_soon(deployment.call)
        await trio.sleep(1)
        for entry in deployment.entries:
            assert entry.context.shares.describe() == []
            assert entry.context.shares._reports == {}
            assert entry.context.shares._meters is None


def encode_and_decode(message):
    frame = ttypes.Frame(in_flight=message)
    payload = frames.encode(frame)[frames.HEADER.size :]
    return frames.decode(payload).in_flight


def test_demand_survives_the_wire():
    """Guards against fields that the encoding written by hand loses."""
    records = [
        ttypes.Demand("model", 9, None, 1500, 3000, 2000),
        ttypes.Demand("model", 0, "", 1, 2, 3),
        ttypes.Demand("model", 0, "north", 2**31 - 1, 0, 0),
    ]
    report = ttypes.DemandReport(records, 39500, 700)
    message = ttypes.InFlight({"x": 2}, True, report)
    assert encode_and_decode(message) == message


def test_messages_without_demand_are_understood():
    """Guards against entries of two versions that do not work together.

    The bytes are those that the struct with two fields was encoded to.
    """
    earlier = bytes.fromhex("0c2a1b0185017804110000")
    frame = ttypes.Frame(in_flight=ttypes.InFlight({"x": 2}, True))
    assert frames.decode(earlier) == frame
    assert frames.decode(earlier).in_flight.demand is None
    assert frames.encode(frame)[frames.HEADER.size :] == earlier


@cases.run_on_virtual_clock
async def test_loads_from_a_lost_hub_do_not_stay_in_effect():
    """Guards against a load that no entry has, which keeps servers unused.

    A member has received the sum of all entries from its hub, and has no hub
    any more.
    """
    async with open_large_deployment() as deployment:
        deployment.servers["x"].events = 60
        busy = list_hubs(deployment)[0]
        deployment.nursery.start_soon(
            deployment.call, deployment.entries.index(busy) + 1
        )
        await trio.sleep(2)
        member = list_members(deployment)[0]
        server = member.view.servers["x"]
        assert member.view.get_load(server) == 1
        number = deployment.entries.index(member) + 1
        deployment.isolate(number)
        deployment.network.reset(f"10.1.0.{number}")
        deployment.network.reset(f"10.1.0.{number}:82")
        await trio.sleep(3)
        assert member.view.get_load(server) == 0


@cases.run_on_virtual_clock
async def test_members_find_other_hubs_when_both_are_lost():
    """Guards against a group without a connection to the others."""
    async with open_large_deployment() as deployment:
        member = list_members(deployment)[0]
        uplinks = set(member._mesh._topology.uplinks)
        lost = [e for e in deployment.entries if e._settings.peers in uplinks]
        for entry in lost:
            kill_entry(deployment, entry)
        await trio.sleep(20)
        remaining = [e for e in deployment.entries if e not in lost]
        assert all(count_connections(entry) for entry in remaining)
        assert sum(e._presence.is_lease_holder() for e in remaining) == 1
        deployment.rows.put("op", "config", deployments.encode_routing(6))
        await trio.sleep(2)
        assert {e.view.routing.version for e in remaining} == {6}


@cases.run_on_virtual_clock
async def test_lost_server_costs_few_probes_however_many_entries():
    """Guards against a storm of probes by each entry of each lost server.

    Load pattern: a server is lost that streams of all entries use. On the
    previous design, each entry probed it each 0.4 s, 65,000 times on a day of
    a large deployment.
    """
    async with open_large_deployment() as deployment:
        address = str(deployment.servers["y"].server.address)
        deployment.network.stop_serving(address)
        deployment.network.reset(address)
        before = sum(
            e.context.metrics._totals["probes"] for e in deployment.entries
        )
        entry = list_members(deployment)[0]
        entry.view.suspect(entry.view.servers["y"], "test")
        await trio.sleep(0.2)
        assert list_suspecting(deployment) == deployment.entries
        await trio.sleep(7.8)
        assert list_suspecting(deployment) == deployment.entries
        probes = (
            sum(e.context.metrics._totals["probes"] for e in deployment.entries)
            - before
        )
        # Two checkers, each 0.4 s for 8 s.
        assert probes <= 2 * 8 / 0.4 + 6


@cases.run_on_virtual_clock
async def test_server_that_responds_again_is_used_by_all_entries():
    """Guards against a server that stays unused after a short outage."""
    async with open_large_deployment() as deployment:
        address = str(deployment.servers["y"].server.address)
        for number in range(1, ENTRIES + 1):
            deployment.network.partition(f"10.1.0.{number}", address)
        entry = list_members(deployment)[0]
        entry.view.suspect(entry.view.servers["y"], "test")
        await trio.sleep(1)
        assert list_suspecting(deployment) == deployment.entries
        for number in range(1, ENTRIES + 1):
            deployment.network.heal(f"10.1.0.{number}", address)
        await trio.sleep(0.8)
        assert list_suspecting(deployment) == []


@cases.run_on_virtual_clock
async def test_wrong_suspicion_of_one_entry_does_not_spread():
    """Guards against an entry with a faulty link that blocks a sound server."""
    async with open_large_deployment() as deployment:
        entry = list_members(deployment)[0]
        entry.view.suspect(entry.view.servers["y"], "test")
        await trio.sleep(0.3)
        assert list_suspecting(deployment) in ([], [entry])


@cases.run_on_virtual_clock
async def test_crash_is_known_to_all_entries():
    async with open_large_deployment() as deployment:
        entry = list_members(deployment)[-1]

        def count_known():
            return sum(
                other.context.quarantine.count_crashes(77)
                for other in deployment.entries
            )

        entry._mesh.announce_crash(77, crashes.Crash(2))
        await trio.sleep(0.2)
        assert count_known() == ENTRIES - 1
        entry._mesh.announce_answered(77)
        await trio.sleep(0.2)
        assert count_known() == 0
        # A report from before the answer comes late.
        entry._mesh.announce_crash(77, crashes.Crash(2))
        await trio.sleep(0.2)
        assert count_known() == 0


@cases.run_on_virtual_clock
async def test_evidence_on_parts_of_prompts_is_known_to_all_entries():
    """Guards against a part that only the entries of one group refuse."""
    async with open_large_deployment() as deployment:
        first, *_, last = list_members(deployment)
        server = first.view.servers["x"]
        for number in range(3):
            crashed = dataclasses.replace(server, instance=f"x{number}")
            successions = first.context.parts.get_successions((7,))
            first.context.parts.record_crash((7,), crashed, successions)
            await trio.sleep(0.2)
        parts = [entry.context.parts for entry in deployment.entries]
        assert [len(p.make_evidence().suspicions) for p in parts] == [
            3
        ] * ENTRIES
        last.context.parts.record_answer((7,))
        await trio.sleep(0.2)
        assert all(p.make_evidence().is_empty for p in parts)


@pytest.mark.parametrize("confirmed", [True, False])
def test_confirmed_suspicion_needs_no_own_check(confirmed):
    @cases.run_on_virtual_clock
    async def check():
        async with deployments.open_deployment() as deployment:
            view: views.View = deployment.entries[0].view
            server = view.servers["x"]
            if confirmed:
                view.apply_peer_suspicion(server, "other")
            else:
                view.suspect(server, "test")
            expected = [] if confirmed else [server]
            assert view.list_suspects_to_check() == expected

    check()


# Found on the day capped-any-service, cobfleet seed 13 (issue 23): LIMIT, each
# of three entries sent eight requests in four seconds to a server with a limit
# of 1 a second.
@cases.run_on_virtual_clock
async def test_limit_holds_for_the_requests_of_all_entries():
    layers = [("x", "a", (0, 20)), ("y", "a", (0, 20))]
    async with deployments.open_deployment(4, layers) as deployment:
        await trio.sleep(8)
        limited = deployment.servers["x"]
        limited.stated = ((b"Server-Limit", b"1"),)
        start = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(160):
                nursery.start_soon(deployment.call, number % 4 + 1)
                await trio.sleep(0.1)
        times = [at for at in limited.arrived_at if at >= start + 4]
        most = max(sum(t <= at < t + 4 for at in times) for t in times)
        assert 3 <= most <= 1.5 * 4 + 5
        assert len(times) >= 0.8 * 12
        for entry in deployment.entries:
            record = entry.context.statements.find_record(limited.server)
            assert record.limit_per_s == 1.0


@cases.run_on_virtual_clock
async def test_limit_holds_in_a_large_fleet_and_for_an_entry_that_starts():
    async with open_large_deployment() as deployment:
        limited = deployment.servers["x"]
        limited.stated = ((b"Server-Limit", b"1"),)
        start = trio.current_time()
        deployment.start_entry(ENTRIES + 1)
        async with trio.open_nursery() as nursery:
            for number in range(160):
                count = len(deployment.entries)
                nursery.start_soon(deployment.call, number % count + 1)
                await trio.sleep(0.1)
        times = [at for at in limited.arrived_at if at >= start + 4]
        most = max(sum(t <= at < t + 4 for at in times) for t in times)
        assert most <= 1.5 * 4 + 5
        assert len(times) >= 0.8 * 12


@cases.run_on_virtual_clock
async def test_one_response_tells_all_entries_that_a_server_leaves():
    """Guards against DRAIN while the store is away and lists it as ready."""
    layers = [("x", "a", (0, 20)), ("y", "a", (0, 20))]
    async with deployments.open_deployment(4, layers) as deployment:
        await trio.sleep(8)
        deployment.rows.fault = "refuse"
        leaving = deployment.servers["x"]
        leaving.stated = ((b"Server-Leaving", b"1"),)
        while not leaving.requests:
            await deployment.call(1)
        await trio.sleep(0.1)
        for number in range(12):
            assert b" 200 " in await deployment.call(number % 4 + 1)
        assert len(leaving.requests) == 1
        for entry in deployment.entries:
            assert not entry.view.servers["x"].ready
        # An entry that starts learns it from the others.
        deployment.rows.fault = ""
        deployment.start_entry(5)
        await trio.sleep(3)
        assert not deployment.entries[4].view.servers["x"].ready


@cases.run_on_virtual_clock
async def test_announced_layers_are_those_of_one_process_of_a_server():
    """Guards against layers from before a restart that are announced late."""
    async with deployments.open_deployment(2) as deployment:
        await trio.sleep(8)
        sender, receiver = (entry.view for entry in deployment.entries)
        server = dataclasses.replace(sender.servers["x"], started_at_ms=5)
        sender.apply_server(server)
        receiver.apply_server(server)

        async def announce(layer_range):
            deployment.entries[0]._mesh.announce_layers({"x": layer_range})
            # Shorter than the time until the server's next report.
            await trio.sleep(0.02)
            return receiver.servers["x"].layer_range

        moved = fleet.LayerRange(0, 9)
        assert await announce(moved) == moved
        receiver.apply_server(
            dataclasses.replace(server, started_at_ms=6, layer_range=None)
        )
        assert await announce(fleet.LayerRange(0, 8)) is None


@cases.run_on_virtual_clock
async def test_layers_of_a_server_that_states_that_it_leaves_are_placed():
    async with deployments.open_deployment(
        1,
        [("x", "a", (0, 10)), ("y", "a", (10, 20)), ("z", "a", (10, 20))],
    ) as deployment:
        await trio.sleep(4)
        entry = deployment.entries[0]
        server = entry.view.servers["x"]
        codec = entry.context.codec
        head = codec.decode_response(200, ((b"Server-Leaving", b"1"),))
        entry.context.statements.record(server, head)
        await trio.sleep(4)
        orders = deployment.servers["y"].orders + deployment.servers["z"].orders
        assert any(order["from"] == 0 for order in orders)


def make_hello(**changes) -> ttypes.Hello:
    fields = {
        "instance": "front-9#1",
        "zone": "a",
        "role": mesh.ROLE,
        "address": "10.1.0.9:82",
        "protocol": peers.PROTOCOL_VERSION,
        "heartbeat_ms": 500,
        "idle_heartbeat_ms": 500,
    }
    return ttypes.Hello(**fields | changes)


async def send_frames(deployment, sent, hello=None) -> None:
    """Sends frames to the first entry as another entry, then disconnects."""
    host = deployment.network.join("10.1.0.9")
    stream = await host.dial(addresses.Address("10.1.0.1", 82))
    for frame in (ttypes.Frame(hello=hello or make_hello()), *sent):
        data = frame if isinstance(frame, bytes) else frames.encode(frame)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(data)
    await trio.sleep(0.2)
    await trio.aclose_forcefully(stream)


def frame_payload(payload: bytes) -> bytes:
    return frames.HEADER.pack(len(payload)) + payload


ODD_FRAMES = [
    frame_payload(b""),
    frame_payload(b"\xff" * 40),
    frame_payload(b"\x1c" * 1000000),
    b"\xff\xff\xff\xff",
    ttypes.Frame(config_delta=ttypes.ConfigDelta(revision=9)),
    ttypes.Frame(offer=ttypes.Offer("x", first_layer=-5, end_layer=2**31 - 1)),
    ttypes.Frame(in_flight=ttypes.InFlight({"x": -(2**31), "y": 2**31 - 1})),
    ttypes.Frame(
        in_flight=ttypes.InFlight(
            demand=ttypes.DemandReport(
                [ttypes.Demand("model", -5, "x", -1, 2**31 - 1, -(2**31))],
                -(2**31),
                -(2**31),
            )
        )
    ),
    ttypes.Frame(
        server_statements=ttypes.ServerStatements(
            [ttypes.ServerStatement("x", 0, True, math.nan, -(2**63))]
        )
    ),
    ttypes.Frame(server_statements=ttypes.ServerStatements()),
    ttypes.Frame(
        prompt_parts=ttypes.PromptParts(
            [
                ttypes.PromptSuspicion(5, crash, 2**31 - 1, 0, -(2**31))
                for crash in range(3)
            ],
            confirmed=[5],
        )
    ),
    ttypes.Frame(
        reservation_request=ttypes.ReservationRequest(
            1, ttypes.ServerStatement("x", 0, True, math.nan), -(2**31)
        )
    ),
    ttypes.Frame(
        table_rows=ttypes.TableRows("servers", rows=[ttypes.TableRow("\0")])
    ),
    ttypes.Frame(heartbeat=ttypes.Heartbeat(1, 2**62, -(2**63), True)),
]


@pytest.mark.parametrize("frame", ODD_FRAMES)
@cases.run_on_virtual_clock
async def test_odd_frame_ends_at_most_its_own_connection(frame):
    """Guards against an entry that ends with the requests of all callers."""
    async with deployments.open_deployment(
        2, expects_errors=True
    ) as deployment:
        await send_frames(deployment, [frame])
        assert deployment.entries[0]._mesh._peers.connections
        assert b" 200 " in await deployment.call(1)
        assert b" 200 " in await deployment.call(2)


@pytest.mark.parametrize(
    "hello",
    [
        make_hello(protocol=0),
        make_hello(instance="a\nb"),
        make_hello(instance="a" * 1000),
        make_hello(capacity=math.nan),
        make_hello(heartbeat_ms=-(2**31), idle_heartbeat_ms=2**31 - 1),
        make_hello(address="x"),
    ],
)
@cases.run_on_virtual_clock
async def test_odd_hello_ends_at_most_its_own_connection(hello):
    async with deployments.open_deployment(2) as deployment:
        await send_frames(deployment, [], hello)
        assert b" 200 " in await deployment.call(1)


@cases.run_on_virtual_clock
async def test_error_of_a_handler_ends_only_its_own_connection(monkeypatch):
    """Guards against one message that ends an entry, and then the others."""
    async with deployments.open_deployment(
        2, expects_errors=True
    ) as deployment:
        entry = deployment.entries[0]

        def fail(*_):
            raise RuntimeError("reason")

        frame = ttypes.Frame(suspects=ttypes.Suspects(instances=["x"]))
        with monkeypatch.context() as patch:
            patch.setattr(entry._mesh, "_find_servers", fail)
            await send_frames(deployment, [frame])
        assert len(entry._mesh._peers.connections) == 1
        with monkeypatch.context() as patch:
            patch.setattr(entry._mesh, "_fetch_if_newer", fail)
            await send_frames(deployment, [])
        metrics = await deployment.call(target="/metrics", port=83)
        assert b'internal_errors_total{kind="peer"} 2' in metrics
        assert b" 200 " in await deployment.call()


def build_values(kind: int, arguments) -> strategies.SearchStrategy:
    """Returns values of one field of a thrift struct, also extreme ones."""
    types = Thrift.TType
    integers = {types.I32: 31, types.I64: 63}
    match kind:
        case types.BOOL:
            return strategies.booleans()
        case types.DOUBLE:
            return strategies.floats()
        case types.STRING if arguments == "BINARY":
            return strategies.binary(max_size=20)
        case types.STRING:
            names = strategies.sampled_from(["x", "y", "servers", "routing"])
            return names | strategies.text(max_size=5)
        case types.LIST:
            return strategies.lists(build_values(*arguments[:2]), max_size=2)
        case types.MAP:
            return strategies.dictionaries(
                build_values(*arguments[:2]),
                build_values(*arguments[2:4]),
                max_size=2,
            )
        case types.STRUCT:
            return build_structs(arguments[0])
    limit = 2 ** integers[kind]
    extremes = strategies.sampled_from([-limit, -1, 0, 1, limit - 1])
    return extremes | strategies.integers(-limit, limit - 1)


def build_structs(struct: type) -> strategies.SearchStrategy:
    fields = {
        item[2]: strategies.one_of(
            strategies.none(), build_values(item[1], item[3])
        )
        for item in struct.thrift_spec
        if item is not None
    }
    return strategies.builds(struct, **fields)


_frame_strategies = strategies.one_of(
    [
        strategies.builds(ttypes.Frame, **{item[2]: build_structs(item[3][0])})
        for item in ttypes.Frame.thrift_spec
        if item is not None
        and item[2]
        in (
            "heartbeat",
            "config_notice",
            "config_fetch",
            "config_delta",
            "table_rows",
            "offer",
            "quarantine",
            "prompt_parts",
            "suspects",
            "in_flight",
            "server_statements",
            "reservation_request",
            "reservation_reply",
        )
    ]
)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    sent=strategies.lists(_frame_strategies, min_size=1, max_size=8)
)
def test_no_frames_of_a_peer_end_the_entries(sent):
    async def run():
        async with deployments.open_deployment(
            2, expects_errors=True
        ) as deployment:
            for frame in sent:
                await send_frames(deployment, [frame])
            # A reserved request waits for a limit that the frames may state.
            await trio.sleep(5)
            assert await deployment.call(2)
            for entry in deployment.entries:
                text = entry.context.metrics.render()
                assert 'internal_errors_total{kind="request"}' not in text

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_connections_to_seeds_end_once_the_entries_are_known():
    """Guards against messages of a large fleet that pass twice.

    Entries that start together connect to their seeds before their rows can
    be read, and a part of the list makes all of them hubs.
    """
    async with deployments.open_deployment(entries=0) as deployment:
        for number in range(1, 13):
            deployment.start_entry(number, seeds=(1, 2, 3))
        await trio.sleep(10)
        for entry in deployment.entries:
            mesh = entry._mesh
            if mesh.is_member:
                keys = {
                    connection.key for connection in mesh._peers.connections
                }
                assert keys == {str(hub) for hub in mesh._topology.uplinks}
