"""Tests of peridotyard_core.membership."""

from peridotyard_core import membership
from peridotyard_core import pipelines
import pytest


def make_row(address, state="live", role="sidecar"):
    return membership.Instance(address, "z", role, address, state)


def make_offer(load=0, sequence=0, **fields):
    stage = pipelines.StageOffer(
        "i", "", "m", "1", 0, 4, adapters=("x",), load=load
    )
    return membership.Offer(stage, sequence=sequence, **fields)


@pytest.fixture
def table():
    routing_table = membership.RoutingTable()
    routing_table.update_instances(
        [make_row("a"), make_row("b"), make_row("e", role="entry")]
    )
    routing_table.record_connected("a", 1)
    routing_table.record_offer("a", make_offer())
    return routing_table


def count(table, adapter=""):
    return len(table.find_stages("m", "1", adapter))


@pytest.mark.parametrize(
    "rows", [None, [], [make_row("c")], [make_row("a", "leaving")]]
)
def test_instance_list_never_removes_a_connected_sidecar(table, rows):
    """Guards against a table emptied by an empty, outdated or missing list."""
    listed, removed = table.update_instances(rows)
    assert count(table) == 1
    assert "a" in listed and "e" not in listed
    assert removed == (["b"] if rows else [])
    table.update_instances(rows)
    table.record_disconnected("a")
    assert count(table) == 0
    # Only a disconnected address may be removed by the list.
    assert ("a" in table.update_instances(rows)[1]) == bool(rows)


@pytest.mark.parametrize(
    "change",
    [
        lambda table: table.record_leaving("a"),
        lambda table: table.record_offer("a", make_offer(draining=True)),
        lambda table: table.record_offer("a", make_offer(ready=False)),
        lambda table: table.record_disconnected("a"),
    ],
)
def test_leaving_sidecar_gets_no_new_work(table, change):
    """Guards against new work for a sidecar that drains or is not ready.

    Requirement R5 of docs/design.md.
    """
    change(table)
    assert count(table) == 0
    # A new process at the address takes work again.
    table.record_connected("a", 2)
    table.record_offer("a", make_offer(sequence=1))
    assert count(table) == 1


def test_older_offer_is_ignored(table):
    """Guards against an older offer that replaces a newer one."""
    table.record_offer("a", make_offer(sequence=5, ready=False))
    table.record_offer("a", make_offer(sequence=4))
    assert count(table) == 0


def test_own_streams_count_at_once_and_are_not_counted_twice(table):
    """Guards against a load that lags behind, and against double counting.

    Between two reports of a sidecar an entry would send all streams to the
    same server if it did not count its own streams at once.
    """
    (stage,) = table.find_stages("m", "1", "x")
    chain = (pipelines.ChainStage(stage, 0, 4),)
    table.add_stream(chain)
    table.record_offer("a", make_offer(load=3, sequence=1))
    table.add_stream(chain)
    assert table.find_stages("m", "1")[0].load == 4
    table.remove_stream(chain)
    table.remove_stream(chain)
    assert table.find_stages("m", "1")[0].load == 2
    assert not table._own_streams


def test_lookup_matches_model_adapter_and_service(table):
    """Guards against work for a server that lacks the model or service."""
    assert not table.find_stages("m", "2")
    assert (count(table, "x"), count(table, "y")) == (1, 0)
    offer = make_offer(kind="service", service="ledger", sequence=1)
    table.record_offer("a", offer)
    assert table.find_services("ledger") == [("a", 0)]
    assert not table.find_services("bookings") and not count(table)
