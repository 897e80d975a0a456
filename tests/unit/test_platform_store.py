"""Tests of peridotyard_platform.store."""

import base64
import contextlib
import json

from peridotyard_daemon.process import platform
from peridotyard_daemon.process import stores
from peridotyard_platform import store
import pytest
from returns import result
import trio

from tests.support import cases
from tests.support import memory
from tests.support import odd_values
from tests.support import platform_store
from tests.support import virtual_clock


@contextlib.asynccontextmanager
async def open_store():
    network = memory.MemoryNetwork()
    stand_in = platform_store.StandIn()
    async with trio.open_nursery() as nursery:
        stand_in.join(network, nursery)
        await trio.testing.wait_all_tasks_blocked()
        client = store.PlatformStore(
            platform_store.ADDRESS, network.join("entry").dial
        )
        yield stand_in, client
        nursery.cancel_scope.cancel()


def write(key, value=b"x"):
    return stores.Write("t", key, value)


@cases.run_on_virtual_clock
async def test_scan_reads_all_pages():
    """Guards against a missing page, whose servers would count as removed."""
    async with open_store() as (stand_in, client):
        keys = [f"k{number}" for number in range(8)]
        for key in keys:
            stand_in.put("t", key, key.encode())
        stand_in.put("other", "x", b"x")
        listing = (await client.scan("t")).unwrap()
        assert [row.key for row in listing.rows] == keys
        assert listing.rows[0].value == b"k0"
        assert listing.revision == stand_in.revision


@cases.run_on_virtual_clock
async def test_watch_returns_changes_as_they_happen():
    """Guards against changes that are seen only when the wait ends."""
    async with open_store() as (stand_in, client):
        before = stand_in.put("t", "a", b"1")
        async with trio.open_nursery() as nursery:

            async def change():
                await trio.sleep(0.3)
                stand_in.put("t", "a", None)

            nursery.start_soon(change)
            listing = (await client.watch("t", before, 1.0)).unwrap()
        assert [(row.key, row.removed) for row in listing.rows] == [("a", True)]
        assert trio.current_time() < 0.5


@cases.run_on_virtual_clock
async def test_watch_without_changes_ends_with_its_wait():
    """Guards against a watch without changes that fails or does not end."""
    async with open_store() as (stand_in, client):
        listing = (await client.watch("t", stand_in.revision, 1.0)).unwrap()
        assert listing.rows == ()


@cases.run_on_virtual_clock
async def test_lost_history_is_distinguished_from_no_change():
    """Guards against changes missed because the store has discarded them."""
    async with open_store() as (stand_in, client):
        before = stand_in.revision
        stand_in.put("t", "a", b"1")
        stand_in.discard_history()
        outcome = await client.watch("t", before, 1.0)
        assert outcome == result.Failure(stores.HistoryLost())


@cases.run_on_virtual_clock
async def test_condition_that_does_not_hold_writes_nothing():
    """Guards against a write over a row that another process has changed."""
    async with open_store() as (stand_in, client):
        revision = stand_in.put("t", "a", b"1")
        outcome = await client.commit(
            (stores.Condition("t", "a", revision - 1),), (write("b"),)
        )
        assert outcome.failure().rows == (stores.Row("a", b"1", revision),)
        assert ("t", "b") not in stand_in.rows
        outcome = await client.commit(
            (stores.Condition("t", "a", revision),), (write("b"),)
        )
        assert isinstance(outcome, result.Success)


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        ("refuse", platform.Unavailable),
        ("silent", platform.Lost),
        ("reset", platform.Lost),
        ("lose", platform.Lost),
        ("late", platform.Lost),
    ],
)
def test_failed_commit_states_whether_it_may_have_run(fault, kind):
    """Guards against an unknown outcome reported as success or as not run."""

    async def run():
        async with open_store() as (stand_in, client):
            stand_in.fault = fault
            outcome = await client.commit((), (write("a"),))
            assert isinstance(outcome.failure(), kind)
            assert trio.current_time() < 2
            stand_in.fault = ""
            assert isinstance(await client.scan("t"), result.Success)

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_store_that_cannot_be_reached_is_unsent():
    """Guards against a failed connection taken for a request that may run."""
    network = memory.MemoryNetwork()
    client = store.PlatformStore(
        platform_store.ADDRESS, network.join("entry").dial
    )
    outcome = await client.scan("t")
    assert isinstance(outcome.failure(), platform.Unsent)


@cases.run_on_virtual_clock
async def test_silent_connection_is_replaced():
    """Guards against a client that keeps using a lost connection.

    A middlebox may have lost the state of one connection while new ones work.
    """
    async with open_store() as (stand_in, client):
        await client.scan("t")
        network_fault, stand_in.fault = stand_in.fault, "silent"
        assert isinstance((await client.scan("t")).failure(), platform.Lost)
        stand_in.fault = network_fault
        assert isinstance(await client.scan("t"), result.Success)


@cases.run_on_virtual_clock
async def test_revisions_of_a_new_era_are_greater():
    """Guards against a store that goes back to lower versions."""
    async with open_store() as (stand_in, client):
        saved = stand_in.copy()
        for _ in range(5):
            stand_in.put("t", "a", b"1")
        before = (await client.scan("t")).unwrap()
        stand_in.restore(saved)
        stand_in.put("t", "a", b"2")
        after = (await client.scan("t")).unwrap()
        assert stores.get_number(after.revision) < stores.get_number(
            before.revision
        )
        assert after.revision > before.revision
        assert after.rows[0].revision > before.rows[0].revision
        assert stores.format_revision(after.revision) == "1.2"


@cases.run_on_virtual_clock
async def test_history_of_an_earlier_era_is_lost():
    """Guards against changes that are missed when a version is given again.

    The store has passed the known version again, so it has no reason for 410.
    """
    async with open_store() as (stand_in, client):
        saved = stand_in.copy()
        known = stand_in.put("t", "a", b"1")
        known = (await client.scan("t")).unwrap().revision
        stand_in.restore(saved)
        stand_in.put("t", "b", b"2")
        stand_in.put("t", "c", b"3")
        outcome = await client.watch("t", known, 0.1)
        assert isinstance(outcome.failure(), stores.HistoryLost)
        calls = stand_in.calls["/rows-feed"]
        outcome = await client.watch("t", known, 0.1)
        assert isinstance(outcome.failure(), stores.HistoryLost)
        assert stand_in.calls["/rows-feed"] == calls


async def lose_lease(stand_in, client) -> stores.Condition:
    """Gives the version of an own row to a row of another process.

    Returns:
        The condition that held before the restore.
    """
    saved = stand_in.copy()
    outcome = await client.commit((), (write("lease", b"own"),))
    known = outcome.unwrap().revision
    stand_in.restore(saved)
    stand_in.put("t", "lease", b"other")
    assert stand_in.revision == stores.get_number(known)
    return stores.Condition("t", "lease", known)


@cases.run_on_virtual_clock
async def test_condition_of_an_earlier_era_does_not_hold():
    """Guards against two holders of a lease whose version is given again."""
    async with open_store() as (stand_in, client):
        condition = await lose_lease(stand_in, client)
        await client.scan("t")
        outcome = await client.commit((condition,), (write("lease", b"own"),))
        assert isinstance(outcome.failure(), stores.Conflict)
        assert stand_in.rows["t", "lease"][1] == b"other"


@cases.run_on_virtual_clock
async def test_write_under_a_condition_of_an_earlier_era_is_no_success():
    """As above, with a client that does not know of the new era yet."""
    async with open_store() as (stand_in, client):
        condition = await lose_lease(stand_in, client)
        outcome = await client.commit((condition,), (write("lease", b"own"),))
        assert isinstance(outcome.failure(), stores.Conflict)


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"9" * 40, b"\xb2"])
@cases.run_on_virtual_clock
async def test_malformed_era_counts_as_not_stated(value):
    async with open_store() as (stand_in, client):
        stand_in.era = 3
        known = (await client.scan("t")).unwrap().revision
        assert stores.get_era(known) == 3
        stand_in._make_headers = lambda: [(b"Store-Era", value)]
        assert (await client.scan("t")).unwrap().revision == known


@pytest.mark.parametrize(
    "field", [{"value": "x"}, {"value": 7}, {"value": [1]}, {"key": "\ud800"}]
)
@cases.run_on_virtual_clock
async def test_odd_row_leaves_the_others(field, monkeypatch):
    """Guards against one row that keeps an entry from reading the table."""
    async with open_store() as (stand_in, client):
        for key in ("a", "b", "c"):
            stand_in.put("t", key, b"x")
        render = platform_store._render
        monkeypatch.setattr(
            platform_store,
            "_render",
            lambda table, key, *rest: render(table, key, *rest)
            | (field if key == "b" else {}),
        )
        listing = (await client.scan("t")).unwrap()
        readable = [row.key for row in listing.rows if row.value == b"x"]
        assert readable == ["a", "c"]


@pytest.mark.parametrize(
    "body",
    [
        *odd_values.DOCUMENTS,
        *odd_values.list_variants({"rows": [{"key": "a"}], "ver": 3}),
        *odd_values.list_variants(
            {
                "rows": [{"key": "a", "value": "", "ver": 3}],
                "nowMs": 5,
                "ver": 3,
            }
        ),
    ],
)
@cases.run_on_virtual_clock
async def test_odd_response_is_a_failure_or_a_listing(body):
    """Guards against a response that ends the process."""
    async with open_store() as (stand_in, client):

        async def respond(_method, _target, _headers, _body, responder):
            await responder.send_complete(200, [], body)

        stand_in._handle = respond
        await client.watch("t", 1, 0.1)
        await client.commit((), (write("a"),))


def list_pages(make_rows, delay_s=0.0):
    """Returns a handler of the store that always has another page."""
    count = 0

    async def respond(_method, _target, _headers, _body, responder):
        nonlocal count
        count += 1
        await trio.sleep(delay_s)
        page = {"rows": make_rows(count), "ver": 3, "nowMs": 5, "hasMore": True}
        await responder.send_complete(200, [], json.dumps(page).encode())

    return respond


def render_row(key, value=b""):
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "ver": 3}


@pytest.mark.parametrize(
    ("make_rows", "delay_s", "calls"),
    [
        (lambda _: [render_row("a")], 0.0, 2),
        (
            lambda count: [
                render_row(f"{count:06}-{row:03}") for row in range(500)
            ],
            0.0,
            201,
        ),
        (lambda count: [render_row(f"{count:06}", bytes(2 << 20))], 0.0, 25),
        (lambda count: [render_row(f"{count:06}")], 1.0, 31),
    ],
    ids=["the same", "short", "large", "slow"],
)
@cases.run_on_virtual_clock
async def test_pages_without_end_are_lost(make_rows, delay_s, calls):
    """Guards against a listing that fills the memory or never ends.

    Its entry would neither learn of changes nor report a failure.
    """
    async with open_store() as (stand_in, client):
        made = []

        def record(count):
            made.append(count)
            return make_rows(count)

        stand_in._handle = list_pages(record, delay_s)
        with trio.fail_after(100):
            outcome = await client.scan("t")
        assert isinstance(outcome.failure(), platform.Lost)
        assert len(made) <= calls


@pytest.mark.parametrize(
    ("count", "kind"),
    [
        (store.RESPONSE_ROWS, result.Success),
        (store.RESPONSE_ROWS + 1, result.Failure),
    ],
)
@cases.run_on_virtual_clock
async def test_response_with_very_many_rows_is_lost(count, kind):
    """Guards against seconds without a checkpoint for one response.

    The limit of its size allows 100,000 rows.
    """
    async with open_store() as (stand_in, client):

        async def respond(_method, _target, _headers, _body, responder):
            rows = [render_row("a")] * count
            body = json.dumps({"rows": rows, "ver": 3}).encode()
            await responder.send_complete(200, [], body)

        stand_in._handle = respond
        assert isinstance(await client.scan("t"), kind)
        assert isinstance(await client.watch("t", 3, 0.1), kind)


@cases.run_on_virtual_clock
async def test_row_with_a_long_key_is_ignored():
    """Guards against keys that fill the memory; all known ones are kept."""
    async with open_store() as (stand_in, client):
        for key in ("a", "b" * store.KEY_LENGTH, "c" * (store.KEY_LENGTH + 1)):
            stand_in.put("t", key, b"x")
        listing = (await client.scan("t")).unwrap()
        assert [len(row.key) for row in listing.rows] == [1, store.KEY_LENGTH]
