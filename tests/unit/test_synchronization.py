"""Tests of peridotyard_daemon.process.synchronization."""

import collections
import contextlib
import json
import random

import hypothesis
from hypothesis import strategies
from peridotyard_daemon.process import stores
from peridotyard_daemon.process import synchronization
from peridotyard_daemon.process import views
from peridotyard_platform import schema
from peridotyard_platform import store
import pytest
import trio
import trio.testing

from tests.support import cases
from tests.support import memory
from tests.support import odd_values
from tests.support import platform_store
from tests.support import virtual_clock


def encode_server(**changes):
    value = {
        "service": "model",
        "address": "10.0.0.9:80",
        "zone": "a",
        "version": "v1",
        "slots": 96,
        "state": "ready",
        "sequence": 1,
        "kind": "wide",
        "born": 5,
    }
    return json.dumps(value | changes).encode()


def encode_routing(version):
    return json.dumps(
        {"version": version, "routes": [], "services": []}
    ).encode()


@contextlib.asynccontextmanager
async def open_synchronizer(count=lambda _: None):
    network = memory.MemoryNetwork()
    stand_in = platform_store.StandIn()
    view = views.View("a")
    client = store.PlatformStore(
        platform_store.ADDRESS, network.join("entry").dial
    )
    synchronizer = synchronization.Synchronizer(
        view, client, schema.Schema(2.5), random.Random(0), count
    )
    async with trio.open_nursery() as nursery:
        stand_in.join(network, nursery)
        await trio.testing.wait_all_tasks_blocked()
        nursery.start_soon(synchronizer.run)
        yield stand_in, view, synchronizer
        nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def open_view():
    async with open_synchronizer() as (stand_in, view, _):
        yield stand_in, view


@cases.run_on_virtual_clock
async def test_configuration_is_applied_at_once():
    async with open_view() as (stand_in, view):
        stand_in.put("op", "config", encode_routing(3))
        await trio.sleep(0.1)
        assert view.routing.version == 3
        stand_in.put("op", "config", encode_routing(5))
        await trio.sleep(0.1)
        assert view.routing.version == 5


@cases.run_on_virtual_clock
async def test_older_or_unreadable_configuration_changes_nothing():
    async with open_view() as (stand_in, view):
        stand_in.put("op", "config", encode_routing(5))
        await trio.sleep(0.1)
        for value in (encode_routing(4), b"{", b"[]", b'{"version": 9}'):
            stand_in.put("op", "config", value)
            await trio.sleep(0.1)
            assert view.routing.version == 5


@cases.run_on_virtual_clock
async def test_leaving_server_is_known_within_a_second():
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        await trio.sleep(2)
        assert view.servers["s1"].ready
        stand_in.put("servers", "s1", encode_server(state="draining"))
        await trio.sleep(1)
        assert not view.servers["s1"].ready
        stand_in.put("servers", "s1", None)
        await trio.sleep(2)
        assert "s1" not in view.servers


@cases.run_on_virtual_clock
async def test_unreadable_row_leaves_the_other_servers():
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        for number, value in enumerate(
            (
                b"\xff",
                b"3",
                encode_server(state="x"),
                encode_server(address=7),
                encode_server(layers=[1]),
            )
        ):
            stand_in.put("servers", f"bad{number}", value)
        await trio.sleep(2)
        assert list(view.servers) == ["s1"]


@cases.run_on_virtual_clock
async def test_odd_rows_leave_the_other_servers():
    """Guards against an entry that ends with all its requests.

    It read the row again after each start, so that it ended without end.
    """
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        for number, value in enumerate(odd_values.DOCUMENTS):
            stand_in.put("servers", f"bad{number}", value)
            stand_in.put("op", "config", value)
        stand_in.put("servers", "a\r\nb", encode_server(address="10.0.0.8:80"))
        stand_in.put("servers", "far", encode_server(address="10.0.0.8:65536"))
        await trio.sleep(2)
        assert list(view.servers) == ["s1"]
        stand_in.put("op", "config", encode_routing(5))
        stand_in.put("servers", "s2", encode_server(address="10.0.0.7:80"))
        await trio.sleep(2)
        assert set(view.servers) == {"s1", "s2"}
        assert view.routing.version == 5


@cases.run_on_virtual_clock
async def test_row_that_has_become_unreadable_names_no_server():
    """Guards against requests to a server whose row names none any more."""
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        stand_in.put("servers", "s2", encode_server(address="10.0.0.8:80"))
        await trio.sleep(2)
        stand_in.put("servers", "s1", b"[" * 4000)
        await trio.sleep(1)
        assert list(view.servers) == ["s2"]
        stand_in.put("servers", "s1", encode_server(sequence=2))
        await trio.sleep(1)
        assert set(view.servers) == {"s1", "s2"}


@cases.run_on_virtual_clock
async def test_unreadable_rows_are_counted_and_forwarded_once():
    """Guards against traffic and logs that grow with another writer's rows."""
    counted = collections.Counter()
    async with open_synchronizer(lambda name: counted.update([name])) as (
        stand_in,
        _,
        synchronizer,
    ):
        forwarded = []
        synchronizer.publish = lambda *arguments: forwarded.extend(
            arguments[2].rows
        )
        await trio.sleep(1)
        for _ in range(5):
            stand_in.put("servers", "bad", b"[" * 4000)
            await trio.sleep(1)
        assert counted["unreadable_rows.server"] == 5
        assert len(forwarded) == 1
        stand_in.put("servers", "bad", None)
        await trio.sleep(1)
        assert len(forwarded) == 2


@cases.run_on_virtual_clock
async def test_last_known_state_is_used_during_an_outage():
    async with open_view() as (stand_in, view):
        stand_in.put("op", "config", encode_routing(3))
        stand_in.put("servers", "s1", encode_server())
        await trio.sleep(2)
        stand_in.fault = "refuse"
        await trio.sleep(30)
        assert view.routing.version == 3
        assert "s1" in view.servers


@cases.run_on_virtual_clock
async def test_server_that_expired_in_an_outage_may_register_again():
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        stand_in.put("servers", "s2", encode_server(address="10.0.0.8:80"))
        await trio.sleep(2)
        stand_in.fault = "refuse"
        await trio.sleep(5)
        stand_in.put("servers", "s1", None)
        stand_in.put("servers", "s2", None)
        stand_in.fault = ""
        await trio.sleep(1.2)
        assert set(view.servers) == {"s1", "s2"}
        stand_in.put("servers", "s1", encode_server())
        await trio.sleep(4)
        assert set(view.servers) == {"s1"}


@cases.run_on_virtual_clock
async def test_whole_table_is_read_again_after_lost_history():
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        stand_in.put("servers", "s2", encode_server(address="10.0.0.8:80"))
        await trio.sleep(2)
        stand_in.put("servers", "s1", None)
        stand_in.put("servers", "s3", encode_server(address="10.0.0.7:80"))
        stand_in.discard_history()
        await trio.sleep(3)
        assert set(view.servers) == {"s2", "s3"}


@cases.run_on_virtual_clock
async def test_server_at_the_address_of_an_older_one_replaces_it():
    # Guards against two orders to one server that is listed under two names:
    # the row of a crashed server stays for seconds after another one has
    # started at its address.
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server(born=5))
        stand_in.put("servers", "s2", encode_server(born=9))
        await trio.sleep(2)
        assert set(view.servers) == {"s2"}
        stand_in.put("servers", "s1", encode_server(born=5, slots=3))
        await trio.sleep(2)
        assert set(view.servers) == {"s2"}


@pytest.mark.parametrize("born", [1, 9])
def test_server_is_used_again_once_another_row_at_its_address_is_gone(born):
    """Guards against a live server that stays unused.

    Its rows differ in the count of heartbeats only.
    """

    async def run():
        async with open_view() as (stand_in, view):
            stand_in.put("servers", "s1", encode_server(sequence=1))
            await trio.sleep(1)
            stand_in.put("servers", "s2", encode_server(born=born))
            await trio.sleep(1)
            assert list(view.servers) == ["s2"]
            stand_in.put("servers", "s1", encode_server(sequence=2))
            stand_in.put("servers", "s2", None)
            await trio.sleep(1)
            assert list(view.servers) == ["s1"]

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_server_with_a_clock_set_back_replaces_the_one_at_its_address():
    # Guards against a live server that is not used, as a crashed one at its
    # address states a later time of its start.
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server(born=60_000))
        await trio.sleep(1)
        stand_in.put("servers", "s2", encode_server(born=1_000))
        await trio.sleep(1)
        assert list(view.servers) == ["s2"]
        stand_in.put("servers", "s1", None)
        await trio.sleep(1)
        assert list(view.servers) == ["s2"]


@cases.run_on_virtual_clock
async def test_row_of_an_unknown_service_hides_no_server():
    # Guards against 503 for all requests while another writer's row names the
    # address of a live server.
    async with open_view() as (stand_in, view):
        value = json.loads(encode_routing(3)) | {
            "services": [{"name": "model"}]
        }
        stand_in.put("op", "config", json.dumps(value).encode())
        stand_in.put("servers", "s1", encode_server())
        await trio.sleep(1)
        stand_in.put("servers", "s2", encode_server(service="other", born=9))
        await trio.sleep(1)
        assert list(view.servers) == ["s1"]


@cases.run_on_virtual_clock
async def test_incomplete_row_does_not_bring_back_a_server():
    # Guards against DRAIN: a row without the fields that each server writes
    # brought back a server that had left a second before.
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        await trio.sleep(1)
        stand_in.put("servers", "s1", None)
        await trio.sleep(1)
        fields = json.loads(encode_server())
        for name in ("version", "slots", "sequence", "born"):
            del fields[name]
        stand_in.put("servers", "s1", json.dumps(fields).encode())
        await trio.sleep(1)
        assert not view.servers


@cases.run_on_virtual_clock
async def test_server_that_is_not_used_expires_in_an_outage():
    # Guards against a server that is used again although its row is gone.
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server())
        stand_in.put("servers", "s2", encode_server())
        await trio.sleep(1)
        stand_in.fault = "refuse"
        await trio.sleep(5)
        stand_in.put("servers", "s1", None)
        stand_in.fault = ""
        await trio.sleep(4)
        stand_in.put("servers", "s2", None)
        await trio.sleep(1)
        assert not view.servers


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["config", "put", "drain", "remove", "forget", "fault", "wait"]
        ),
        strategies.integers(0, 4),
    ),
    max_size=30,
)
FAULTS = ("", "refuse", "silent", "reset", "lose")


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(steps=STEPS)
def test_view_never_reverts_and_converges_to_the_store(steps):
    async def run():
        versions = []
        version = 0
        async with open_view() as (stand_in, view):
            for kind, number in steps:
                key = f"s{number}"
                match kind:
                    case "config":
                        version += 1
                        value = encode_routing(version)
                        stand_in.put("op", "config", value)
                    case "put":
                        value = encode_server(address=f"10.0.0.{number}:80")
                        stand_in.put("servers", key, value)
                    case "drain":
                        value = encode_server(
                            state="draining", address=f"10.0.0.{number}:80"
                        )
                        stand_in.put("servers", key, value)
                    case "remove":
                        stand_in.put("servers", key, None)
                    case "forget":
                        stand_in.discard_history()
                    case "fault":
                        stand_in.fault = FAULTS[number]
                    case "wait":
                        await trio.sleep(0.3 * number)
                if view.routing is not None:
                    versions.append(view.routing.version)
            stand_in.fault = ""
            await trio.sleep(12)
            assert versions == sorted(versions)
            assert (view.routing.version if view.routing else 0) == version
            expected = {
                key: json.loads(value)["state"] == "ready"
                for (table, key), (_, value) in stand_in.rows.items()
                if table == "servers"
            }
            assert {k: s.ready for k, s in view.servers.items()} == expected

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_configuration_is_applied_soon_after_a_silent_outage():
    # Guards against a watch call that hangs for too long after an outage. One
    # hung for 3.3 s after the store had recovered; an entry must be up to date
    # again within three seconds.
    for outage_s in (0.5, 3.0, 7.3):
        async with open_view() as (stand_in, view):
            stand_in.put("op", "config", encode_routing(3))
            await trio.sleep(2.03)
            stand_in.fault = "silent"
            await trio.sleep(outage_s)
            stand_in.fault = ""
            stand_in.put("op", "config", encode_routing(5))
            await trio.sleep(2.7)
            assert view.routing.version == 5


def make_listing(stand_in, version, clock_s=None):
    """Writes a configuration; returns it as another entry would forward it."""
    revision = stand_in.put("op", "config", encode_routing(version))
    row = stores.Row("config", encode_routing(version), revision)
    if clock_s is None:
        clock_s = trio.current_time()
    return stores.Listing((row,), revision, clock_s)


@cases.run_on_virtual_clock
async def test_read_of_another_entry_replaces_own_calls():
    async with open_synchronizer() as (stand_in, view, synchronizer):
        after = stand_in.put("op", "config", encode_routing(3))
        await trio.sleep(2)
        for version in range(4, 20):
            listing = make_listing(stand_in, version)
            synchronizer.apply_peer_rows("op", after, listing, True)
            after = listing.revision
            assert view.routing.version == version
            await trio.sleep(0.9)
        calls = stand_in.calls["/rows-feed"]
        # Without forwarded reads, this entry reads the store by itself.
        stand_in.put("op", "config", encode_routing(30))
        await trio.sleep(1.5)
        assert view.routing.version == 30
        assert stand_in.calls["/rows-feed"] > calls


@cases.run_on_virtual_clock
async def test_late_or_incomplete_read_does_not_replace_own_calls():
    # Guards against reads that are skipped because of a forwarded read that is
    # outdated, such as a frame that was delayed on a suspended machine.
    async with open_synchronizer() as (stand_in, view, synchronizer):
        after = stand_in.put("op", "config", encode_routing(3))
        await trio.sleep(2)
        late_s = trio.current_time() - 1.5
        listing = make_listing(stand_in, 4, late_s)
        synchronizer.apply_peer_rows("op", after, listing, True)
        stand_in.put("op", "config", encode_routing(5))
        await trio.sleep(0.1)
        assert view.routing.version == 5
        missed = stand_in.put("op", "config", encode_routing(6))
        listing = make_listing(stand_in, 7)
        synchronizer.apply_peer_rows("op", missed, listing, True)
        stand_in.put("op", "config", encode_routing(8))
        await trio.sleep(0.1)
        assert view.routing.version == 8


@cases.run_on_virtual_clock
async def test_older_read_of_another_entry_changes_nothing():
    async with open_synchronizer() as (stand_in, view, synchronizer):
        stand_in.put("op", "config", encode_routing(3))
        await trio.sleep(2)
        old = make_listing(stand_in, 4)
        stand_in.put("op", "config", encode_routing(5))
        await trio.sleep(0.1)
        synchronizer.apply_peer_rows("op", 0, old, True)
        assert view.routing.version == 5


class Group:
    """Entries that forward their reads, with delays and losses."""

    def __init__(self, network, nursery, count):
        self._nursery = nursery
        self.delay_s = 0.0
        self.drops = False
        # Entries that are frozen: what is sent to them arrives when they wake.
        self._awake = [trio.Event() for _ in range(count)]
        for event in self._awake:
            event.set()
        self.views = []
        self.synchronizers = []
        for number in range(count):
            view = views.View("a")
            client = store.PlatformStore(
                platform_store.ADDRESS, network.join(f"e{number}").dial
            )
            synchronizer = synchronization.Synchronizer(
                view, client, schema.Schema(2.5), random.Random(number)
            )
            synchronizer.publish = self._make_publish(number)
            self.views.append(view)
            self.synchronizers.append(synchronizer)
            nursery.start_soon(synchronizer.run)

    def freeze(self, number):
        """Holds the forwarded reads for an entry."""
        if self._awake[number].is_set():
            self._awake[number] = trio.Event()

    def wake(self, number):
        """Delivers the forwarded reads for an entry."""
        self._awake[number].set()

    def _make_publish(self, number):
        def publish(*reading):
            if not self.drops:
                self._nursery.start_soon(self._deliver, number, reading)

        return publish

    async def _deliver(self, number, reading):
        await trio.sleep(self.delay_s)
        for other, synchronizer in enumerate(self.synchronizers):
            if other != number:
                self._nursery.start_soon(
                    self._receive, other, synchronizer, reading, number < other
                )

    async def _receive(self, number, synchronizer, reading, may_skip_reads):
        await self._awake[number].wait()
        # An entry may skip reads because of a lower-numbered one.
        synchronizer.apply_peer_rows(*reading, may_skip_reads)


GROUP_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["config", "config", "cut", "heal", "delay", "drop", "wait", "wait"]
        ),
        strategies.integers(0, 2),
    ),
    max_size=25,
)
# Configurations have to be in effect after two seconds.
APPLY_S = 1.8
RECOVERY_S = 3.0


class Scenario:
    """Injects the faults of one example and checks the invariants."""

    def __init__(self, network, stand_in, group):
        self._network = network
        self._stand_in = stand_in
        self._group = group
        self._healed_at = [float("-inf")] * 3
        self._cut = [False] * 3
        self._acked = []
        self._seen = [0] * 3

    async def step(self, kind, number):
        """Runs one step of the example."""
        host, address = f"e{number}", str(platform_store.ADDRESS)
        match kind:
            case "config":
                version = len(self._acked) + 1
                self._stand_in.put("op", "config", encode_routing(version))
                self._acked.append((version, trio.current_time()))
            case "cut":
                self._cut[number] = True
                self._network.partition(host, address)
            case "heal":
                if self._cut[number]:
                    self._healed_at[number] = trio.current_time()
                self._cut[number] = False
                self._network.heal(host, address)
            case "delay":
                self._group.delay_s = (0.0, 0.4, 2.5)[number]
            case "drop":
                self._group.drops = number > 0
            case "wait":
                for _ in range(5 * (number + 1)):
                    await trio.sleep(0.1)
                    self._check()

    def _check(self):
        now = trio.current_time()
        old = [v for v, at in self._acked if now - at > APPLY_S]
        due = max(old, default=0)
        for number, view in enumerate(self._group.views):
            version = view.routing.version if view.routing else 0
            assert version >= self._seen[number]
            self._seen[number] = version
            undisturbed_s = now - self._healed_at[number]
            is_undisturbed = (
                not self._cut[number] and undisturbed_s > RECOVERY_S
            )
            assert not is_undisturbed or version >= due


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(steps=GROUP_STEPS)
def test_connected_entries_apply_each_configuration_in_time(steps):
    # Guards against an entry that misses a configuration because the entry
    # that reads for the others is partitioned, or because its forwarded reads
    # are late or lost.
    async def run():
        network = memory.MemoryNetwork()
        stand_in = platform_store.StandIn()
        async with trio.open_nursery() as nursery:
            stand_in.join(network, nursery)
            await trio.testing.wait_all_tasks_blocked()
            scenario = Scenario(network, stand_in, Group(network, nursery, 3))
            await trio.sleep(1)
            for kind, number in [*steps, ("wait", 2), ("wait", 2), ("wait", 2)]:
                await scenario.step(kind, number)
            nursery.cancel_scope.cancel()

    virtual_clock.run(run)


@contextlib.asynccontextmanager
async def open_group(count=3):
    """Runs entries that read two servers; yields network, store and group."""
    network = memory.MemoryNetwork()
    stand_in = platform_store.StandIn()
    async with trio.open_nursery() as nursery:
        stand_in.join(network, nursery)
        await trio.testing.wait_all_tasks_blocked()
        for number in (1, 2):
            address = f"10.0.0.{number}:80"
            stand_in.put(
                "servers", f"s{number}", encode_server(address=address)
            )
        group = Group(network, nursery, count)
        await trio.sleep(3)
        yield network, stand_in, group
        nursery.cancel_scope.cancel()


@cases.run_on_virtual_clock
async def test_server_may_register_again_after_an_outage_seen_by_a_peer():
    # Guards against a server that is removed by an entry that learns the end of
    # the outage, and the removal, from another entry alone.
    async with open_group(2) as (network, stand_in, group):
        network.partition("e1", str(platform_store.ADDRESS))
        stand_in.fault = "refuse"
        await trio.sleep(5)
        stand_in.put("servers", "s1", None)
        stand_in.fault = ""
        await trio.sleep(1.5)
        known = group.synchronizers[1]._feeds["servers"].revision
        assert known == stand_in.revision
        assert all("s1" in view.servers for view in group.views)
        await trio.sleep(1.2)
        assert not any("s1" in view.servers for view in group.views)


@cases.run_on_virtual_clock
async def test_two_entries_do_not_extend_the_time_to_register_again():
    # Guards against a server that stays listed after it has left. Each
    # forwarded read extended the time to register again, and the server still
    # received a request two seconds later.
    async with open_group(2) as (_, stand_in, group):
        group.delay_s = 0.3
        stand_in.fault = "refuse"
        await trio.sleep(5)
        stand_in.put("servers", "s1", None)
        stand_in.fault = ""
        for _ in range(20):
            await trio.sleep(0.15)
            stand_in.put("servers", "s3", encode_server(address="10.0.0.3:80"))
        assert not any("s1" in view.servers for view in group.views)
        stand_in.put("servers", "s2", None)
        await trio.sleep(1.0)
        assert not any("s2" in view.servers for view in group.views)


@cases.run_on_virtual_clock
async def test_failure_of_one_entry_keeps_no_server_that_has_left():
    # Guards against DRAIN: an entry whose calls had failed kept servers without
    # a row for two seconds, and had the other entries keep them, although the
    # store had responded to those all the time.
    for is_frozen in (False, True):
        async with open_group() as (network, stand_in, group):
            network.partition("e0", str(platform_store.ADDRESS))
            if is_frozen:
                group.freeze(0)
            await trio.sleep(4)
            network.heal("e0", str(platform_store.ADDRESS))
            group.wake(0)
            # The calls of the entry succeed again within a second.
            await trio.sleep(0.8)
            for number in (1, 2):
                await trio.sleep(0.3)
                stand_in.put("servers", f"s{number}", None)
            await trio.sleep(0.9)
            for view in group.views:
                assert not view.servers


@cases.run_on_virtual_clock
async def test_server_that_left_after_an_outage_is_removed_in_time():
    # Guards against DRAIN: the time to register again, and the wait for the
    # next rows after it, were longer together than servers continue to serve.
    async with open_group(1) as (_, stand_in, group):
        stand_in.fault = "refuse"
        await trio.sleep(4)
        stand_in.fault = ""
        await trio.sleep(1.5)
        # Without heartbeats there is no other row that leads to the removal.
        stand_in.put("servers", "s1", None)
        await trio.sleep(1.8)
        assert list(group.views[0].servers) == ["s2"]


@cases.run_on_virtual_clock
async def test_server_that_left_just_after_an_outage_is_removed_in_time():
    # Guards against DRAIN: a server that left after the first response that
    # followed the outage was kept as long as one that may register again.
    async with open_group(1) as (_, stand_in, group):
        stand_in.fault = "refuse"
        await trio.sleep(4)
        stand_in.fault = ""
        stand_in.put("servers", "s2", encode_server(address="10.0.0.3:80"))
        while group.views[0].servers["s2"].address.host != "10.0.0.3":
            await trio.sleep(0.01)
        stand_in.put("servers", "s1", None)
        await trio.sleep(synchronization.REMOVAL_DELAY_MAX_S)
        assert list(group.views[0].servers) == ["s2"]


DEPARTURE_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["leave", "leave", "leave", "cut", "freeze", "away", "wait", "wait"]
        ),
        strategies.integers(0, 3),
    ),
    max_size=12,
)
# A request must not reach a server two seconds after the acknowledgement that
# the server has left. An entry sends it some time before that.
USE_S = 1.9
# Time for which an entry and the store have to be undisturbed before the bound
# holds for them.
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
# Duration of a cut or freeze of an entry.
FAILURE_S = 2.5
# Number of a server that does not leave.
STAYING = 11


class Departures:
    """Servers that leave beside faults of entries and of the store."""

    def __init__(self, network, stand_in, group):
        self._network = network
        self._stand_in = stand_in
        self._group = group
        # Time at which the last disturbance of each entry ends.
        self._healed_at = [float("-inf")] * 3
        self._away = False
        self._returned_at = float("-inf")
        self._live = set()
        # Time of the acknowledgement, and whether the store was stable then.
        self._left = {}
        self._beat = 1
        # Servers whose rows expired while the store was away.
        self._lapsed = set()

    async def beat(self):
        """Writes the rows of the live servers."""
        while True:
            if not self._away:
                self._beat += 1
                for number in self._live:
                    self._write(number)
                self._lapsed.clear()
            await trio.sleep(HEARTBEAT_S)

    def start(self, number):
        """Starts a server."""
        self._live.add(number)
        self._write(number)

    def _write(self, number):
        value = encode_server(
            address=f"10.0.1.{number}:80", sequence=self._beat
        )
        self._stand_in.put("servers", f"s{number}", value)

    def _is_stable(self):
        now = trio.current_time()
        return not self._away and now - self._returned_at >= CONTACT_S

    async def step(self, kind, number):
        """Runs one step of the example."""
        match kind:
            case "leave":
                server = min(self._live - {STAYING})
                self._live.remove(server)
                self._stand_in.put("servers", f"s{server}", None)
                self._left[server] = (trio.current_time(), self._is_stable())
                self.start(max(self._live) + 10)
            case "cut" | "freeze":
                # Three is for all entries.
                for entry in range(3) if number == 3 else (number,):
                    self._disturb(entry, kind == "freeze")
            case "away":
                await self._interrupt_store(4.0 + number)
            case "wait":
                await self._wait(0.4 * (number + 1))

    def _disturb(self, entry, is_frozen):
        self._healed_at[entry] = trio.current_time() + FAILURE_S
        address = str(platform_store.ADDRESS)
        self._network.partition(f"e{entry}", address)
        if is_frozen:
            self._group.freeze(entry)

    def _heal(self, entry):
        self._network.heal(f"e{entry}", str(platform_store.ADDRESS))
        self._group.wake(entry)

    async def _interrupt_store(self, duration_s):
        """Makes the store unavailable; the row of a live server expires."""
        self._away = True
        self._stand_in.fault = "refuse"
        await self._wait(duration_s)
        self._lapsed = {STAYING}
        for number in self._lapsed:
            self._stand_in.put("servers", f"s{number}", None)
        self._away = False
        self._returned_at = trio.current_time()
        self._stand_in.fault = ""

    async def _wait(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            await trio.sleep(0.1)
            self._check()

    def _check(self):
        now = trio.current_time()
        for number, view in enumerate(self._group.views):
            if now >= self._healed_at[number]:
                self._heal(number)
            if now <= self._healed_at[number] + CONTACT_S:
                continue
            for server in self._lapsed:
                assert f"s{server}" in view.servers
            if not self._is_stable():
                continue
            for server, (acked_at, was_stable) in self._left.items():
                if was_stable and now - acked_at > USE_S:
                    assert f"s{server}" not in view.servers


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(steps=DEPARTURE_STEPS)
# The store is away again before a live server has registered.
@hypothesis.example(steps=[("away", 0), ("wait", 0), ("away", 0)])
def test_servers_that_left_are_not_used_beside_local_failures(steps):
    """Guards against DRAIN after cuts and freezes of some or all entries.

    Also against the removal of live servers whose rows expired in an outage.
    """

    async def run():
        async with open_group() as (network, stand_in, group):
            async with trio.open_nursery() as nursery:
                departures = Departures(network, stand_in, group)
                for number in range(STAYING, STAYING + 4):
                    departures.start(number)
                nursery.start_soon(departures.beat)
                await departures.step("wait", 3)
                for kind, number in [*steps, *[("wait", 3)] * 4]:
                    await departures.step(kind, number)
                nursery.cancel_scope.cancel()

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_heartbeats_of_servers_are_not_forwarded():
    """Guards against traffic between entries that grows with all heartbeats.

    Load pattern: a large fleet without load. 130 servers write their rows each
    1.2 s, and one entry with a slow link forwarded all of them to 67 others.
    """
    async with open_synchronizer() as (stand_in, view, synchronizer):
        names = [f"s{number}" for number in range(130)]
        for number, name in enumerate(names):
            address = f"10.0.1.{number + 1}:80"
            stand_in.put("servers", name, encode_server(address=address))
        await trio.sleep(2)
        published = []
        synchronizer.publish = lambda *reading: published.append(reading[2])
        for sequence in range(2, 10):
            for number, name in enumerate(names):
                address = f"10.0.1.{number + 1}:80"
                value = encode_server(address=address, sequence=sequence)
                stand_in.put("servers", name, value)
            await trio.sleep(1.2)
        assert published[-1].revision == stand_in.revision
        assert not any(listing.rows for listing in published)
        stand_in.put("servers", "s7", encode_server(state="draining"))
        stand_in.put("servers", "s8", None)
        await trio.sleep(1.2)
        rows = [row for listing in published for row in listing.rows]
        assert sorted(row.key for row in rows) == ["s7", "s8"]
        assert "s8" not in view.servers


@cases.run_on_virtual_clock
async def test_changes_of_another_entry_do_not_hide_a_change_back():
    """Guards against a server that stays leaving for one entry.

    This entry has read that the server leaves. The other one has read before
    and after, and found no difference.
    """
    async with open_synchronizer() as (stand_in, view, synchronizer):
        before = stand_in.put("servers", "s1", encode_server())
        await trio.sleep(2)
        stand_in.put("servers", "s1", encode_server(state="draining"))
        await trio.sleep(1)
        assert not view.servers["s1"].ready
        after = stand_in.put("servers", "s1", encode_server())
        no_changes = stores.Listing((), after, trio.current_time())
        synchronizer.apply_peer_rows("servers", before, no_changes, True)
        await trio.sleep(1)
        assert view.servers["s1"].ready


# The tests below guard against CONFIG and DRAIN after the store has returned
# from a copy (issue 23, day restored).


@cases.run_on_virtual_clock
async def test_change_after_a_restore_is_applied_although_its_version_is_old():
    """The versions pass the known one again before the next read."""
    async with open_view() as (stand_in, view):
        stand_in.put("op", "config", encode_routing(3))
        saved = stand_in.copy()
        for _ in range(20):
            stand_in.put("status", "x", b"")
        await trio.sleep(0.5)
        stand_in.restore(saved)
        stand_in.put("op", "config", encode_routing(8))
        stand_in.put("servers", "s1", encode_server())
        for _ in range(30):
            stand_in.put("status", "x", b"")
        await trio.sleep(1.5)
        assert view.routing.version == 8
        assert "s1" in view.servers


@cases.run_on_virtual_clock
async def test_configuration_does_not_go_back_with_the_store():
    async with open_view() as (stand_in, view):
        stand_in.put("op", "config", encode_routing(3))
        saved = stand_in.copy()
        stand_in.put("op", "config", encode_routing(5))
        await trio.sleep(0.5)
        stand_in.restore(saved)
        await trio.sleep(1.5)
        assert view.routing.version == 5


@cases.run_on_virtual_clock
async def test_version_that_is_given_again_replaces_the_lost_configuration():
    async with open_view() as (stand_in, view):
        stand_in.put("op", "config", encode_routing(3))
        saved = stand_in.copy()
        stand_in.put("op", "config", encode_routing(5))
        await trio.sleep(0.5)
        stand_in.restore(saved)
        value = json.loads(encode_routing(5)) | {"services": [{"name": "new"}]}
        stand_in.put("op", "config", json.dumps(value).encode())
        await trio.sleep(1.5)
        assert list(view.routing.services) == ["new"]


@cases.run_on_virtual_clock
async def test_leaving_server_stays_so_with_the_row_of_a_copy():
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server(sequence=1))
        saved = stand_in.copy()
        leaving = encode_server(state="draining", sequence=2)
        stand_in.put("servers", "s1", leaving)
        await trio.sleep(1.5)
        assert not view.servers["s1"].ready
        stand_in.restore(saved)
        await trio.sleep(1.5)
        assert not view.servers["s1"].ready
        stand_in.put("servers", "s1", encode_server(sequence=3))
        await trio.sleep(1.5)
        assert view.servers["s1"].ready


@cases.run_on_virtual_clock
async def test_server_that_has_left_does_not_return_with_a_copy():
    async with open_view() as (stand_in, view):
        stand_in.put("servers", "s1", encode_server(sequence=4))
        saved = stand_in.copy()
        await trio.sleep(1.5)
        assert "s1" in view.servers
        stand_in.put("servers", "s1", None)
        await trio.sleep(1.5)
        assert "s1" not in view.servers
        stand_in.restore(saved)
        await trio.sleep(3)
        assert "s1" not in view.servers
        stand_in.put("servers", "s1", encode_server(sequence=5))
        await trio.sleep(1.5)
        assert "s1" in view.servers


@cases.run_on_virtual_clock
async def test_server_that_is_missing_in_a_copy_may_register_again():
    async with open_view() as (stand_in, view):
        saved = stand_in.copy()
        stand_in.put("servers", "s1", encode_server(sequence=1))
        stand_in.put("servers", "s2", encode_server(address="10.0.0.8:80"))
        await trio.sleep(1.5)
        stand_in.restore(saved)
        await trio.sleep(1.5)
        assert "s1" in view.servers
        stand_in.put("servers", "s1", encode_server(sequence=2))
        await trio.sleep(2.5)
        assert list(view.servers) == ["s1"]


@cases.run_on_virtual_clock
async def test_restarted_server_with_a_clock_set_back_returns_after_a_restore():
    # Guards against a live server whose rows are all taken for those of the
    # copy, as its process states an earlier start than the one before.
    async with open_view() as (stand_in, view):
        saved = stand_in.copy()
        stand_in.put("servers", "s1", encode_server(sequence=9, born=60_000))
        await trio.sleep(1.5)
        stand_in.restore(saved)
        await trio.sleep(0.2)
        for sequence in range(1, 5):
            row = encode_server(sequence=sequence, born=1_000)
            stand_in.put("servers", "s1", row)
            await trio.sleep(1.2)
        assert view.servers["s1"].started_at_ms == 1_000


@cases.run_on_virtual_clock
async def test_read_of_a_new_era_leads_to_an_own_read():
    async with open_synchronizer() as (stand_in, view, synchronizer):
        stand_in.put("op", "config", encode_routing(3))
        await trio.sleep(0.5)
        known = synchronizer._feeds["op"].revision
        clock_s = trio.current_time()
        fresh = stores.Listing((), known, clock_s)
        assert not synchronizer.apply_peer_rows("op", known, fresh, True)
        await trio.sleep(0.95)
        stand_in.restore(stand_in.copy())
        stand_in.put("op", "config", encode_routing(8))
        newer = stores.make_revision(1, stand_in.revision)
        listing = stores.Listing((), newer, trio.current_time())
        assert not synchronizer.apply_peer_rows("op", newer, listing, True)
        await trio.sleep(0.05)
        assert view.routing.version == 8
        older = stores.Listing((), known, trio.current_time())
        assert not synchronizer.apply_peer_rows("op", known, older, True)
        assert synchronizer._feeds["op"].revision == newer


_restore_steps = strategies.lists(
    strategies.one_of(
        strategies.just(("config",)),
        strategies.just(("copy",)),
        strategies.just(("restore",)),
        strategies.tuples(strategies.just("server"), strategies.booleans()),
        strategies.tuples(
            strategies.just("sleep"), strategies.sampled_from([0.05, 0.3, 1.2])
        ),
    ),
    max_size=25,
)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(steps=_restore_steps)
def test_view_never_reverts_over_restores_and_converges(steps):
    """The operator and the server write again what the store has lost."""

    async def run():
        async with open_view() as (stand_in, view):
            version, heartbeats, ready = 1, 1, True
            stand_in.put("op", "config", encode_routing(version))
            stand_in.put("servers", "s1", encode_server(sequence=1))
            saved = stand_in.copy()
            seen = 0
            for step in steps:
                match step:
                    case ("config",):
                        version += 2
                        stand_in.put("op", "config", encode_routing(version))
                    case ("copy",):
                        saved = stand_in.copy()
                    case ("restore",):
                        stand_in.restore(saved)
                    case ("server", ready):
                        heartbeats += 1
                    case ("sleep", duration_s):
                        await trio.sleep(duration_s)
                if step[0] == "server":
                    state = "ready" if ready else "draining"
                    value = encode_server(state=state, sequence=heartbeats)
                    stand_in.put("servers", "s1", value)
                if view.routing is not None:
                    assert view.routing.version >= seen
                    seen = view.routing.version
            stand_in.put("op", "config", encode_routing(version))
            state = "ready" if ready else "draining"
            value = encode_server(state=state, sequence=heartbeats + 1)
            stand_in.put("servers", "s1", value)
            await trio.sleep(3.0)
            assert view.routing.version == version
            assert view.servers["s1"].ready == ready

    virtual_clock.run(run)
