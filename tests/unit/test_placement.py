"""Tests of peridotyard_daemon.process.placement and presence."""

import contextlib
import random

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import layouts
from peridotyard_core import leases
from peridotyard_core import topologies
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import placement
from peridotyard_daemon.process import presence
from peridotyard_daemon.process import statements
from peridotyard_daemon.process import views
from peridotyard_platform import codec
from peridotyard_platform import store
import trio
import trio.testing

from tests.support import cases
from tests.support import fleets
from tests.support import memory
from tests.support import platform_store
from tests.support import servers as servers_module

ENGINE = fleets.make_engine(layers=20)
ROUTING = fleet.Routing(
    1, (), (fleet.Service("model", 100, ENGINE),), None, fleet.CallerLimits()
)


class PlacingEntry:
    """Presence and placement of one entry with emulated servers and store."""

    def __init__(self, network, name, clock):
        host = network.join(name)
        self.view = views.View("a")
        self.view.apply_routing(ROUTING, "test")
        client = store.PlatformStore(platform_store.ADDRESS, host.dial)
        self.presence = presence.Presence(
            self.view,
            client,
            name,
            topologies.Entry(
                addresses.Address(
                    f"10.9.0.{random.Random(name).randrange(200)}", 1
                )
            ),
            clock,
        )
        self.counts = []
        self.published = []
        self.placement = placement.Placement(
            self.view,
            self.presence.is_lease_holder,
            upstreams.Pool(host.dial),
            codec.Codec(),
            self.counts.append,
            self.published.append,
            statements.Statements(self.counts.append, random.Random(0)),
        )

    def apply_servers(self, stand_ins):
        for item in stand_ins.values():
            self.view.apply_server(item.server)


@contextlib.asynccontextmanager
async def open_fleet(servers, names=("first",), clock=trio.current_time):
    network = memory.MemoryNetwork()
    stand_ins = {}
    async with trio.open_nursery() as nursery:
        rows = platform_store.StandIn()
        rows.join(network, nursery)
        for server in servers:
            stand_ins[server.instance] = servers_module.StandIn(server)
            stand_ins[server.instance].join(network, nursery)
        await trio.testing.wait_all_tasks_blocked()
        holders = []
        for name in names:
            holder = PlacingEntry(network, name, clock)
            holder.apply_servers(stand_ins)
            nursery.start_soon(holder.presence.run)
            nursery.start_soon(holder.placement.run)
            holders.append(holder)
        yield network, rows, stand_ins, holders
        nursery.cancel_scope.cancel()


def make_servers():
    servers = fleets.make_zone("a", 0, 3, 2)
    return [
        fleet.Server(
            **{
                **{f: getattr(s, f) for f in s.__dataclass_fields__},
                "address": addresses.Address(f"10.0.0.{number}", 80),
            }
        )
        for number, s in enumerate(servers, 1)
    ]


def list_missing(stand_ins, without=()):
    layer_ranges = [
        item.server.layer_range
        for name, item in stand_ins.items()
        if item.server.layer_range and name not in without
    ]
    return layouts.list_uncovered_ranges(layer_ranges, ENGINE.layers)


def find_needed(stand_ins):
    """Returns the name of a server that alone holds some layer."""
    return next(
        name for name in stand_ins if list_missing(stand_ins, without=(name,))
    )


def stop_server(network, holder, item):
    """Stops a server and has the lease holder suspect it."""
    address = str(item.server.address)
    network.stop_serving(address)
    network.reset(address)
    holder.view.suspect(item.server, "test")


@cases.run_on_virtual_clock
async def test_fleet_without_layers_is_laid_out_once():
    async with open_fleet(make_servers()) as (_, _, stand_ins, holders):
        await trio.sleep(8)
        assert not list_missing(stand_ins)
        orders = sum(len(item.orders) for item in stand_ins.values())
        assert orders == len(stand_ins)
        await trio.sleep(20)
        assert orders == sum(len(item.orders) for item in stand_ins.values())
        assert holders[0].presence.is_lease_holder()


@cases.run_on_virtual_clock
async def test_layers_of_a_dead_server_are_placed_on_others():
    async with open_fleet(make_servers()) as (network, _, stand_ins, holders):
        await trio.sleep(8)
        lost = find_needed(stand_ins)
        stop_server(network, holders[0], stand_ins[lost])
        await trio.sleep(2)
        assert not list_missing(stand_ins, without=(lost,))
        # The other entries must not use layers that a server releases.
        moved = {
            name: layer_range
            for layer_ranges in holders[0].published
            for name, layer_range in layer_ranges.items()
        }
        assert (
            moved.items()
            <= {
                name: item.server.layer_range
                for name, item in stand_ins.items()
            }.items()
        )


@cases.run_on_virtual_clock
async def test_late_report_does_not_restore_released_layers():
    # Guards against paths over released layers. A report from before an order
    # still showed them, all entries chose paths over them, and these were
    # refused for half a second.
    async with open_fleet(make_servers()) as (network, _, stand_ins, holders):
        await trio.sleep(8)
        lost = find_needed(stand_ins)
        former = {
            name: item.server.layer_range for name, item in stand_ins.items()
        }
        for item in stand_ins.values():
            item.lag_s = 0.6
        holders[0].published.clear()
        stop_server(network, holders[0], stand_ins[lost])
        await trio.sleep(4)
        assert not list_missing(stand_ins, without=(lost,))
        announced = [
            (name, layer_range)
            for layer_ranges in holders[0].published
            for name, layer_range in layer_ranges.items()
        ]
        assert announced
        assert not set(announced) & set(former.items())


@cases.run_on_virtual_clock
async def test_only_one_of_two_entries_sends_orders():
    async with open_fleet(make_servers(), ("first", "second")) as (
        _,
        _,
        stand_ins,
        holders,
    ):
        await trio.sleep(20)
        assert sum(h.presence.is_lease_holder() for h in holders) == 1
        assert not list_missing(stand_ins)
        assert all(len(item.orders) == 1 for item in stand_ins.values())
        assert [h.view.entry_count for h in holders] == [2, 2]


@cases.run_on_virtual_clock
async def test_lease_moves_when_its_holder_loses_the_store():
    async with open_fleet(make_servers(), ("first", "second")) as (
        network,
        _,
        _,
        holders,
    ):
        await trio.sleep(5)
        old = next(h for h in holders if h.presence.is_lease_holder())
        new = next(h for h in holders if h is not old)
        name = "first" if old is holders[0] else "second"
        network.partition(name, str(platform_store.ADDRESS))
        for _ in range(120):
            await trio.sleep(0.1)
            assert not (
                old.presence.is_lease_holder()
                and new.presence.is_lease_holder()
            )
        assert new.presence.is_lease_holder()


@cases.run_on_virtual_clock
async def test_store_faults_never_lead_to_two_lease_holders():
    async with open_fleet(make_servers(), ("first", "second")) as (
        _,
        rows,
        _,
        holders,
    ):
        for fault in ("", "lose", "refuse", "late", "silent", ""):
            rows.fault = fault
            for _ in range(80):
                await trio.sleep(0.1)
                assert sum(h.presence.is_lease_holder() for h in holders) <= 1
        assert sum(h.presence.is_lease_holder() for h in holders) == 1


def read_lease(entry, holder, times=3):
    """Lets an entry read a valid lease of a holder, now and each second."""

    async def read():
        for _ in range(times):
            now = trio.current_time()
            record = leases.Record(holder, now + 2.0)
            entry.presence._record_vacancy(record, now)
            await trio.sleep(1.0)

    return read()


# Guards against layers that nobody places, since the row of a claim whose
# response was lost names an entry that does not know that it holds the lease.
@cases.run_on_virtual_clock
async def test_lease_of_a_connected_entry_that_does_not_hold_it_is_vacant():
    entry = PlacingEntry(memory.MemoryNetwork(), "first", trio.current_time)
    entry.presence.is_connected = lambda name: name == "second"
    await read_lease(entry, "second")
    assert entry.presence.is_lease_vacant()
    entry.presence.update_holder("second", True)
    assert not entry.presence.is_lease_vacant()
    await read_lease(entry, "second")
    assert not entry.presence.is_lease_vacant()


# Guards against a second entry that places layers beside a partitioned holder.
@cases.run_on_virtual_clock
async def test_lease_of_an_entry_without_a_connection_is_not_vacant():
    entry = PlacingEntry(memory.MemoryNetwork(), "first", trio.current_time)
    await read_lease(entry, "second")
    assert not entry.presence.is_lease_vacant()


# Guards against an entry that acts for a holder on what it read long ago.
@cases.run_on_virtual_clock
async def test_old_read_of_the_lease_shows_no_vacancy():
    entry = PlacingEntry(memory.MemoryNetwork(), "first", trio.current_time)
    entry.presence.is_connected = lambda name: True
    await read_lease(entry, "second")
    assert entry.presence.is_lease_vacant()
    await trio.sleep(presence.VACANCY_LIFETIME_S)
    assert not entry.presence.is_lease_vacant()


@cases.run_on_virtual_clock
async def test_refused_orders_are_sent_again():
    # Guards against an order that is not repeated: a server refuses one that is
    # based on an outdated state of it.
    async with open_fleet(make_servers()) as (_, _, stand_ins, _):
        for item in stand_ins.values():
            item.accepts_orders = False
        await trio.sleep(4)
        first = sum(len(item.orders) for item in stand_ins.values())
        assert first >= len(stand_ins)
        for item in stand_ins.values():
            item.accepts_orders = True
        await trio.sleep(6)
        assert not list_missing(stand_ins)


@cases.run_on_virtual_clock
async def test_layers_stay_while_a_server_is_silent_for_a_second():
    """Guards against layers released because a sound server was silent.

    Servers that release layers refuse new streams over them, and the silent
    server holds its layers all the time.
    """
    async with open_fleet(make_servers()) as (_, _, stand_ins, holders):
        await trio.sleep(8.0)
        assert not list_missing(stand_ins)
        before = {
            name: item.server.layer_range for name, item in stand_ins.items()
        }
        view = holders[0].view
        for silent in before:
            view.suspect(view.servers[silent], "no response to probes")
            await trio.sleep(1.0)
            view.clear_suspicion(view.servers[silent])
            await trio.sleep(2.0)
            for name, held in before.items():
                now = stand_ins[name].server.layer_range
                assert now.first <= held.first, (silent, name)
                assert held.end <= now.end, (silent, name)


@cases.run_on_virtual_clock
async def test_layers_of_an_ended_server_are_placed_at_once():
    """Guards against a repair that waits, as for a silent server.

    Another entry has found that the server does not respond, which does not
    tell whether it has ended.
    """
    async with open_fleet(make_servers()) as (network, _, stand_ins, holders):
        await trio.sleep(8)
        name = find_needed(stand_ins)
        ended = stand_ins[name].server
        network.stop_serving(str(ended.address))
        network.reset(str(ended.address))
        holders[0].view.apply_peer_suspicion(ended, "second")
        await trio.sleep(1.0)
        assert not list_missing(stand_ins, without=(name,))


@cases.run_on_virtual_clock
async def test_layers_of_a_silent_server_that_leaves_are_placed_at_once():
    """Guards against a repair that waits for a server that does not return."""
    async with open_fleet(make_servers()) as (_, _, stand_ins, holders):
        await trio.sleep(8)
        name = find_needed(stand_ins)
        view = holders[0].view
        leaving = stand_ins[name].server
        for _ in range(views.REFUSALS_UNTIL_LEAVING):
            view.record_refusal(leaving)
            view.get_health(leaving).refused_until = 0.0
        view.suspect(leaving, "no response to probes")
        assert view.is_leaving(leaving)
        await trio.sleep(1.0)
        assert not list_missing(stand_ins, without=(name,))


@cases.run_on_virtual_clock
async def test_layers_of_a_server_that_stays_silent_are_placed():
    """Guards against layers that stay away with a server that is cut off."""
    async with open_fleet(make_servers()) as (_, _, stand_ins, holders):
        await trio.sleep(8)
        name = find_needed(stand_ins)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stand_ins[name].fall_silent, 60)
            view = holders[0].view
            view.suspect(view.servers[name], "no response to probes")
            await trio.sleep(views.SILENCE_LIMIT_S + 1.0)
            assert not list_missing(stand_ins, without=(name,))
            nursery.cancel_scope.cancel()
