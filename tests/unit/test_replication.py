"""Tests of version.replication and version.catalog."""

import contextlib
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from peridotyard_core import addresses
from peridotyard_core import configuration
from peridotyard_core import revisions
from peridotyard_core import verdicts
from peridotyard_daemon.connection import peers
from peridotyard_daemon.version import replication
from peridotyard_daemon.wire.generated import ttypes
import pytest
import returns.result
import trio

from tests.support import memory
from tests.support import tables
from tests.support import virtual_clock

TIMING = peers.Timing(heartbeat_s=0.4, misses=3, dial_s=0.5)
POLL_S = 1.0


class RecordingReplicator(replication.Replicator):
    """A replicator that records each configuration it applies."""

    def __setattr__(self, name, value):
        if name == "configuration":
            self.__dict__.setdefault("applied", []).append(value)
        super().__setattr__(name, value)


class Process:
    """A process with a replicator and peers; implements `peers.Handler`."""

    def __init__(
        self, number, network, table, role="entry", submit_timeout_s=3.0
    ):
        self.address = addresses.Address("127.0.0.1", 1 + number)
        self.role = role
        self.replicator = RecordingReplicator(
            f"i{number}",
            role,
            table,
            POLL_S,
            random=random.Random(number),
            read_clock=lambda: 0.0,
            submit_timeout_s=submit_timeout_s,
        )
        self.peers = peers.Peers(network.join(str(self.address)), self, TIMING)
        self.scope = trio.CancelScope()

    def make_hello(self):
        hello = ttypes.Hello(
            instance=self.replicator._instance,
            role=self.role,
            address=str(self.address),
            protocol=peers.PROTOCOL_VERSION,
        )
        self.replicator.fill_hello(hello)
        return hello

    def make_heartbeat(self):
        heartbeat = ttypes.Heartbeat()
        self.replicator.fill_heartbeat(heartbeat)
        return heartbeat

    def handle_connected(self, connection):
        self.replicator.handle_connected(connection)

    def handle_frame(self, connection, frame):
        self.replicator.handle_frame(connection, frame)

    def handle_closed(self, connection, reason):
        pass

    async def run(self, others, task_status):
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(self.peers.run, self.address)
                for other in others:
                    self.peers.keep_connected(other)
                task_status.started()
                await self.replicator.run()


@contextlib.asynccontextmanager
async def start_processes(count, table, tableless=()):
    """Starts connected processes; those in `tableless` have only peers."""
    network = memory.MemoryNetwork()
    async with trio.open_nursery() as nursery:
        processes = []
        for number in range(count):
            own = None if number in tableless else table
            process = Process(number, network, own)
            others = [item.address for item in processes]
            processes.append(process)
            await nursery.start(process.run, others)
        yield processes, network
        nursery.cancel_scope.cancel()


def make_change(change_id, expected, weight, name="north", **fields):
    value = weight and configuration.Workspace(name, weight=weight, **fields)
    key = ("workspace", name)
    return configuration.Change(
        change_id, "ana", {key: expected}, {key: value or None}
    )


def get_weight(process, name="north"):
    record = process.replicator.configuration.objects.get(("workspace", name))
    return record and record.value.weight


def run_pair(check, **options):
    async def body():
        table = tables.MemoryTable()
        async with start_processes(2, table, **options) as (pair, network):
            await trio.sleep(1)
            await check(table, network, *pair)

    virtual_clock.run(body)


def test_change_is_in_effect_everywhere_within_seconds():
    """Guards against processes that get a change only at their next poll."""

    async def check():
        table = tables.MemoryTable()
        async with start_processes(8, table, tableless=(6, 7)) as (items, _):
            await trio.sleep(1)
            result = await items[0].replicator.submit(make_change("c1", 0, 2))
            assert result == returns.result.Success(1)
            await trio.sleep(0.1)
            assert [get_weight(item) for item in items] == [2] * 8
            await trio.sleep(1)
            for item in items:
                assert not revisions.find_lagging(
                    item.replicator.list_reports(), 1
                )
                assert item.replicator.confirmed_age_s <= 3

    virtual_clock.run(check)


def test_new_process_gets_the_configuration_from_peers():
    """Guards against an unusable process after a restart in a table outage."""

    async def check(table, network, first, second):
        await first.replicator.submit(make_change("c1", 0, 2))
        table.is_down = True
        second.scope.cancel()
        await trio.sleep(1)
        async with trio.open_nursery() as nursery:
            again = Process(1, network, table)
            await nursery.start(again.run, [first.address])
            await trio.sleep(2)
            assert again.replicator.loaded.is_set()
            assert get_weight(again) == 2
            nursery.cancel_scope.cancel()

    run_pair(check)


def test_configuration_is_kept_while_the_table_is_down():
    """Guards against a configuration that is lost in an outage of the table."""

    async def check(table, _network, first, second):
        await first.replicator.submit(make_change("c1", 0, 2))
        table.is_down = True
        result = await first.replicator.submit(make_change("c2", 1, 3))
        failure = result.failure()
        assert failure.code == "store-unavailable"
        assert failure.verdict is verdicts.Verdict.NOT_RUN
        await trio.sleep(60)
        assert get_weight(first) == get_weight(second) == 2
        assert first.replicator.confirmed_age_s > 60

    run_pair(check)


def test_conflict_shows_both_versions():
    """Guards against an operator who overwrites an unseen concurrent change."""

    async def check(_table, _network, first, second):
        await first.replicator.submit(make_change("c1", 0, 2))
        result = await second.replicator.submit(make_change("c2", 0, 3))
        failure = result.failure()
        assert failure.code == "conflict"
        (conflict,) = failure.conflicts
        assert (conflict.expected, conflict.actual) == (0, 1)
        assert conflict.submitted["weight"] == 3
        assert conflict.current["weight"] == 2
        assert get_weight(second) == 2

    run_pair(check)


def test_changes_of_different_objects_do_not_conflict():
    """Guards against rejected changes where operators edit separate objects."""

    async def check(_table, _network, *pair):
        results = []

        async def submit(process, name):
            change = make_change(name, 0, 2, name)
            results.append(await process.replicator.submit(change))

        async with trio.open_nursery() as nursery:
            for number in range(6):
                nursery.start_soon(submit, pair[number % 2], f"w{number}")
        assert sorted(result.unwrap() for result in results) == list(
            range(1, 7)
        )

    run_pair(check)


@pytest.mark.parametrize("late_s", [0.0, 0.3])
def test_lost_response_is_resolved_by_the_change_id(late_s):
    """Guards against a change that is made twice or misreported.

    The response to the transaction is lost, and the transaction takes effect
    at once or later.
    """

    async def check(table, _network, first, second):
        table.lost_responses, table.effect_delay_s = 1, late_s
        result = await first.replicator.submit(make_change("c1", 0, 2))
        assert result == returns.result.Success(1)
        await trio.sleep(5)
        assert first.replicator.configuration.revision == 1
        # An operator who missed the response repeats the change elsewhere.
        again = await second.replicator.submit(make_change("c1", 0, 2))
        assert again == returns.result.Success(1)
        other = await second.replicator.submit(make_change("c1", 1, 5))
        assert other.failure().code == "idempotency-key-reused"

    run_pair(check)


def test_unresolved_outcome_is_reported_as_may_have_run():
    """Guards against the verdict "not-run" for a change that still runs."""

    async def check(table, _network, first, _second):
        table.lost_responses = 1000
        table.effect_delay_s = 5.0
        result = await first.replicator.submit(make_change("c1", 0, 2))
        assert result.failure().verdict is verdicts.Verdict.MAY_HAVE_RUN
        await trio.sleep(10)
        assert get_weight(first) == 2

    run_pair(check)


def test_batch_is_atomic():
    """Guards against a batch of which only the valid part is applied."""

    async def check(table, _network, first, _second):
        change = make_change("c1", 0, 2, models=("none",))
        values = {
            **change.values,
            ("service", "ledger"): configuration.Service("ledger"),
        }
        batch = configuration.Change(
            "c1", "a", dict.fromkeys(values, 0), values
        )
        failure = (await first.replicator.submit(batch)).failure()
        assert failure.code == "invalid-configuration"
        assert failure.place == "workspace/north.models[0]"
        assert not table.rows

    run_pair(check)


def test_audit_trail_is_complete_and_newest_first():
    """Guards against a log row without author or a page that skips rows."""

    async def check(_table, _network, first, _second):
        for number in range(120):
            await first.replicator.submit(make_change(f"c{number}", number, 1))
        rows = (await first.replicator.read_changes(110)).unwrap()
        assert [row["revision"] for row in rows] == list(range(120, 10, -1))
        assert {row["author"] for row in rows} == {"ana"}
        rows = (await first.replicator.read_changes(50, before=11)).unwrap()
        assert [row["change_id"] for row in rows][:2] == ["c9", "c8"]

    run_pair(check)


def test_confirmed_processes_do_not_poll():
    """Guards against a poll rate that grows with the number of processes."""

    async def check():
        table = tables.MemoryTable()
        async with start_processes(8, table) as (items, _):
            # Connections do not pass on heartbeats of revision 0.
            await items[0].replicator.submit(make_change("c1", 0, 2))
            await trio.sleep(10)
            before = table.reads
            await trio.sleep(50)
            # Without confirmations, each of the eight would poll about once a
            # second.
            assert table.reads - before < 200

    virtual_clock.run(check)


def test_silent_peer_is_reported_as_lagging_until_it_expires():
    """Guards against a change reported as applied while a process lags."""

    async def check(_table, network, first, second):
        network.partition(str(first.address), str(second.address))
        second.scope.cancel()
        await first.replicator.submit(make_change("c1", 0, 2))
        await trio.sleep(5)
        lagging = revisions.find_lagging(first.replicator.list_reports(), 1)
        assert [item.instance for item in lagging] == ["i1"]
        await trio.sleep(revisions.REPORT_RETENTION_S)
        assert not revisions.find_lagging(first.replicator.list_reports(), 1)

    run_pair(check)


def test_change_during_the_first_scan_is_complete():
    """Guards against a mix of two revisions, since a scan is not a snapshot."""

    async def check():
        table = tables.MemoryTable()
        writer = Process(0, memory.MemoryNetwork(), table).replicator
        reader = Process(1, memory.MemoryNetwork(), table).replicator

        async def submit(change_id, expected, weight):
            values = {}
            for name in "abcd":
                values |= make_change("c", 0, weight, name).values
            change = configuration.Change(
                change_id, "ana", dict.fromkeys(values, expected), values
            )
            assert (await writer.submit(change)).unwrap() == expected + 1

        await submit("c1", 0, 1)
        table.delay_s = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reader.refresh)
            # Half of the rows are read after 1.5 s, the others after 2 s.
            await trio.sleep(1.6)
            table.delay_s = 0.002
            await submit("c2", 1, 2)
        assert reader.configuration == writer.configuration

    virtual_clock.run(check)


def test_malformed_delta_of_a_peer_is_ignored():
    """Guards against a faulty peer that ends or corrupts other processes."""

    async def check(_table, _network, first, second):
        await first.replicator.submit(make_change("c1", 0, 2))
        await trio.sleep(1)
        connection = second.peers.connections[0]
        for body in ("{", "[]", '{"kind": "workspace", "name": ""}'):
            record = ttypes.ConfigRecord("workspace", "north", 9, body)
            connection.post(
                ttypes.Frame(
                    config_delta=ttypes.ConfigDelta(0, 9, 0, True, [record])
                )
            )
        await trio.sleep(1)
        assert get_weight(first) == 2
        assert first.replicator.configuration.revision == 1

    run_pair(check)


class ReplicatorMachine(stateful.RuleBasedStateMachine):
    """Collects steps and runs them on the virtual clock in `teardown`."""

    count = 4

    def __init__(self):
        super().__init__()
        self.steps = []

    @stateful.rule(
        process=st.integers(0, 3),
        name=st.sampled_from(["a", "b"]),
        weight=st.integers(0, 3),
        offset=st.sampled_from([0, 0, 0, -1]),
        pause_s=st.sampled_from([0, 0, 0.01, 1]),
    )
    def submit(self, process, name, weight, offset, pause_s):
        self.steps.append(("submit", process, name, weight, offset, pause_s))

    @stateful.rule(
        name=st.sampled_from(["a", "b"]),
        weights=st.lists(st.integers(0, 3), min_size=2, max_size=3),
    )
    def race(self, name, weights):
        for process, weight in enumerate(weights):
            self.steps.append(("submit", process, name, weight, 0, 0))

    @stateful.rule(
        process=st.integers(0, 2),
        weight=st.integers(1, 3),
        count=st.sampled_from([1, 2, 100]),
        late_s=st.sampled_from([0, 0.1, 1, 4]),
    )
    def submit_without_responses(self, process, weight, count, late_s):
        self.steps.append(("table", False, 0.002, 1))
        self.steps.append(("lose", count, late_s))
        self.steps.append(("submit", process, "a", weight, 0, 5))
        self.steps.append(("lose", 0, 0))

    @stateful.rule(
        is_down=st.booleans(),
        delay_s=st.sampled_from([0.002, 0.002, 0.4, 1]),
        pause_s=st.sampled_from([0, 1, 5]),
    )
    def switch_table(self, is_down, delay_s, pause_s):
        self.steps.append(("table", is_down, delay_s, pause_s))

    @stateful.rule(
        count=st.integers(1, 3), late_s=st.sampled_from([0, 0.1, 1, 4])
    )
    def lose_responses(self, count, late_s):
        self.steps.append(("lose", count, late_s))

    @stateful.rule(process=st.integers(0, 3))
    def restart(self, process):
        self.steps.append(("restart", process))

    @stateful.rule(process=st.integers(1, 3), is_cut=st.booleans())
    def isolate(self, process, is_cut):
        """Process 3 has no table, so it becomes outdated when isolated."""
        self.steps.append(("isolate", process, is_cut))

    def teardown(self):
        if any(step[0] == "submit" for step in self.steps):
            virtual_clock.run(Simulation(self.steps).run)


class Simulation:
    """One run of the steps, and the oracle that checks it."""

    def __init__(self, steps):
        self.steps = steps
        self.table = tables.MemoryTable()
        self.network = memory.MemoryNetwork()
        self.replicators = []
        self.processes = {}
        self.outcomes = {}

    async def run(self):
        async with trio.open_nursery() as nursery:
            for number in range(ReplicatorMachine.count):
                await self.start(nursery, number)
            for index, step in enumerate(self.steps):
                await self.run_step(nursery, index, step)
            self.table.is_down, self.table.lost_responses = False, 0
            self.table.delay_s = 0.002
            for number in range(1, ReplicatorMachine.count):
                self.isolate(number, False)
            await trio.sleep(12)
            self.check()
            nursery.cancel_scope.cancel()

    async def start(self, nursery, number):
        own = None if number == 3 else self.table
        process = Process(number, self.network, own)
        others = [
            addresses.Address("127.0.0.1", 1 + other)
            for other in range(ReplicatorMachine.count)
            if other != number
        ]
        self.processes[number] = process
        self.replicators.append(process.replicator)
        await nursery.start(process.run, others)

    def isolate(self, number, is_cut):
        change = self.network.partition if is_cut else self.network.heal
        for other in range(ReplicatorMachine.count):
            if other != number:
                change(f"127.0.0.1:{1 + number}", f"127.0.0.1:{1 + other}")

    async def run_step(self, nursery, index, step):
        match step:
            case ("submit", number, name, weight, offset, pause_s):
                held = self.processes[number].replicator.configuration
                record = held.objects.get(("workspace", name))
                expected = max(0, (record.revision if record else 0) + offset)
                change = make_change(f"c{index}", expected, weight, name)
                nursery.start_soon(self.submit, number, change)
                await trio.sleep(pause_s)
            case ("table", is_down, delay_s, pause_s):
                self.table.is_down = is_down
                self.table.delay_s = delay_s
                await trio.sleep(pause_s)
            case ("lose", count, late_s):
                self.table.lost_responses, self.table.effect_delay_s = (
                    count,
                    late_s,
                )
            case ("restart", number):
                self.processes[number].scope.cancel()
                self.network.reset(f"127.0.0.1:{1 + number}")
                await trio.sleep(0.1)
                await self.start(nursery, number)
            case ("isolate", number, is_cut):
                self.isolate(number, is_cut)
                await trio.sleep(1)

    async def submit(self, number, change):
        self.outcomes[change.change_id] = (change, None)
        result = await self.processes[number].replicator.submit(change)
        self.outcomes[change.change_id] = (change, result)

    def check(self):
        """Replays the log and compares all processes with the result."""
        rows = sorted(
            (
                row.value
                for key, row in self.table.rows.items()
                if key.startswith(replication.LOG_PREFIX)
            ),
            key=lambda row: row["revision"],
        )
        assert [r["revision"] for r in rows] == list(range(1, len(rows) + 1))
        logged = {row["change_id"]: row["revision"] for row in rows}
        assert len(logged) == len(rows)
        states = [{}]
        for row in rows:
            change, _ = self.outcomes[row["change_id"]]
            ((key, value),) = change.values.items()
            revision, _ = states[-1].get(key, (0, None))
            # No change of another operator is overwritten unseen.
            assert change.expected[key] == revision
            state = {**states[-1], key: (row["revision"], value)}
            if value is None:
                del state[key]
            states.append(state)
        for change, result in self.outcomes.values():
            match result:
                case returns.result.Success(revision):
                    assert logged[change.change_id] == revision
                case returns.result.Failure(failure):
                    if failure.verdict is verdicts.Verdict.NOT_RUN:
                        assert change.change_id not in logged
                case _:
                    raise AssertionError("a submit has not ended")
        for item in self.replicators:
            seen = [state.revision for state in item.applied]
            assert seen == sorted(set(seen))
            for state in item.applied:
                got = {
                    key: (record.revision, record.value)
                    for key, record in state.objects.items()
                }
                assert got == states[state.revision]
        for process in self.processes.values():
            assert process.replicator.configuration.revision == len(rows)


TestReplicatorMachine = ReplicatorMachine.TestCase
TestReplicatorMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=25,
    stateful_step_count=24,
    deadline=None,
    database=None,
)
