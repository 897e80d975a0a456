"""Tests of process.tables and the other clients of platform services."""

from peridotyard_daemon.process import instances
from peridotyard_daemon.process import objects
from peridotyard_daemon.process import platform
from peridotyard_daemon.process import tables
from peridotyard_daemon.process import weights
from peridotyard_emulator import faults
from peridotyard_emulator import instances as emulated_instances
from peridotyard_emulator import objects as emulated_objects
from peridotyard_emulator import table as emulated_table
from peridotyard_emulator import web
from peridotyard_emulator import weights as emulated_weights
import pytest
import trio

from tests.support import cases

ITEM = {
    "instance": "s1",
    "zone": "akl",
    "role": "sidecar",
    "address": "127.0.0.1:7000",
    "state": "live",
}


def make_client(state, timeout_s=1.0):
    application = web.Application(state, faults.Faults())
    return application, web.LocalClient(application, timeout_s)


def make_table():
    application, client = make_client(emulated_table.TableState())
    return application, client, tables.Table(None, 1.0, client)


@cases.run_on_virtual_clock
async def test_rows_are_written_read_and_scanned():
    """Guards against keys and versions that differ between the two ends."""
    _, _, table = make_table()
    key = "claims/a%2Fb/c"
    versions = (await table.transact({key: 0}, {key: [1]})).unwrap()
    row = tables.Row(versions[key], [1])
    assert (await table.read(key)).unwrap() == row
    assert (await table.read("claims/a/b/c")).unwrap() is None
    assert (await table.scan("claims/")).unwrap() == {key: row}
    conflict = (await table.transact({key: 0}, {key: [2]})).failure()
    assert conflict == tables.Conflict({key: row})
    await table.transact({key: row.version}, {}, [key])
    again = (await table.transact({key: 0}, {key: [3]})).unwrap()
    assert again[key] > row.version
    assert (await table.transact({"x": 3}, {})).failure().rows == {"x": None}


@pytest.mark.parametrize(
    ("kind", "expected", "has_effect"),
    [
        ("outage", platform.Lost, False),
        ("lost-reply", platform.Lost, True),
        ("refuse", platform.Unavailable, False),
    ],
)
@cases.run_on_virtual_clock
async def test_failures_of_a_write_are_distinct(kind, expected, has_effect):
    """Guards against a lost response that is taken for a refusal."""
    application, _, table = make_table()
    application.faults.add(faults.Fault(kind, count=1))
    outcome = await table.transact({"k": 0}, {"k": 1})
    assert isinstance(outcome.failure(), expected)
    assert ((await table.read("k")).unwrap() is not None) == has_effect


@cases.run_on_virtual_clock
async def test_unsent_and_limited_requests_have_no_effect():
    """Guards against waiting for a write that was never processed."""
    _, client, table = make_table()
    client.is_reachable = False
    assert isinstance((await table.read("k")).failure(), platform.Unsent)
    state = emulated_table.TableState(2, 2, trio.current_time)
    table = tables.Table(None, 1.0, make_client(state)[1])
    outcomes = [await table.transact({}, {"k": n}) for n in range(3)]
    assert outcomes[2].failure() == platform.Unavailable(429)
    await trio.sleep(0.5)
    assert (await table.transact({}, {"k": 9})).unwrap()
    assert state.describe()["counts"]["limited"] == 1


@cases.run_on_virtual_clock
async def test_malformed_response_counts_as_lost():
    """Guards against a decoder error that ends the process."""

    class MalformedService:

        def handle(self, call):
            return web.Response(value={"versions": 3, "version": "x"})

    table = tables.Table(None, 1.0, make_client(MalformedService())[1])
    for outcome in (
        await table.transact({}, {}),
        await table.read("k"),
        await table.scan(""),
    ):
        assert isinstance(outcome.failure(), platform.Lost)


@cases.run_on_virtual_clock
async def test_objects_are_stored_listed_and_removed():
    """Guards against an absent object that looks like an outage."""
    store = objects.Objects(
        None, 1.0, make_client(emulated_objects.ObjectsState())[1]
    )
    await store.put("a/b c", b"\x00\xff")
    assert (await store.get("a/b c")).unwrap() == b"\x00\xff"
    assert (await store.list("a/")).unwrap() == ("a/b c",)
    await store.delete("a/b c")
    assert (await store.get("a/b c")).unwrap() is None


@cases.run_on_virtual_clock
async def test_instance_list_lags():
    """Guards against tests that rely on an instance list without lag."""
    state = emulated_instances.InstancesState(30, now=trio.current_time)
    _, client = make_client(state)
    source = instances.InstanceList(None, 1.0, client)
    await client.request(
        "PUT", "/control/instances", body=b'{"instances": [{}]}'
    )
    state.replace([ITEM])
    await trio.sleep(29)
    assert (await source.read()).unwrap() == ()
    await trio.sleep(1)
    (found,) = (await source.read()).unwrap()
    assert found == instances.Instance.from_json(ITEM)


@cases.run_on_virtual_clock
async def test_weights_are_read_in_parts_at_the_limited_rate():
    """Guards against an emulated store that exceeds its bandwidth."""
    state = emulated_weights.WeightsState(
        {"north": 300_000}, 100_000, trio.current_time
    )
    store = weights.Weights(None, 60, make_client(state, 60)[1])
    assert (await store.list()).unwrap() == {"north": 300_000}
    parts = [
        (await store.read("north", offset, 100_000)).unwrap()
        for offset in (0, 100_000, 200_000, 300_000)
    ]
    expected = emulated_weights.make_bytes("north", 0, 300_000)
    assert b"".join(parts) == expected
    assert trio.current_time() == pytest.approx(3, abs=0.1)
    assert (await store.read("south", 0, 1)).unwrap() is None
