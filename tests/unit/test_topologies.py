"""Tests of peridotyard_core.topologies."""

import math

import hypothesis
from hypothesis import strategies
from peridotyard_core import addresses
from peridotyard_core import topologies

from tests.support import cases


def make_entries(zones: int, count: int) -> list:
    return [
        topologies.Entry(
            addresses.Address(f"10.{index % zones}.0.{index // zones + 1}", 1),
            f"zone-{index % zones}",
            2.0 if index // zones < 3 else 0.4,
        )
        for index in range(count)
    ]


def compute_all(entries) -> dict:
    return {
        entry.address: topologies.Topology.from_entries(entry, entries)
        for entry in entries
    }


def list_connections(computed) -> set:
    return {
        frozenset((own, other))
        for own, topology in computed.items()
        for other in topology.dials
    }


def find_reachable(start, connections) -> set:
    reached, queue = {start}, [start]
    while queue:
        own = queue.pop()
        for pair in connections:
            if own in pair:
                for other in pair - reached:
                    reached.add(other)
                    queue.append(other)
    return reached


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    zones=strategies.integers(1, 6), count=strategies.integers(1, 90)
)
def test_all_entries_are_connected_within_three_steps(zones, count):
    """Guards against an entry that receives nothing from the others."""
    entries = make_entries(zones, count)
    computed = compute_all(entries)
    connections = list_connections(computed)
    assert len(find_reachable(entries[0].address, connections)) == count
    hubs = computed[entries[0].address].hubs
    assert all(topology.hubs == hubs for topology in computed.values())
    for first in hubs:
        for second in hubs - {first}:
            assert frozenset((first, second)) in connections


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(zones=strategies.integers(1, 6), data=strategies.data())
def test_loss_of_one_entry_leaves_the_others_connected(zones, data):
    """Guards against a hub whose loss isolates the members of its group."""
    entries = make_entries(zones, data.draw(strategies.integers(2, 80)))
    lost = data.draw(strategies.sampled_from(entries)).address
    computed = compute_all(entries)
    connections = {
        pair for pair in list_connections(computed) if lost not in pair
    }
    remaining = {entry.address for entry in entries} - {lost}
    zones_of = {entry.address: entry.zone for entry in entries}
    in_zone = [a for a in remaining if zones_of[a] == zones_of[lost]]
    if not remaining or (len(in_zone) == 0 and len(entries) > 8):
        return
    assert find_reachable(min(remaining, key=str), connections) == remaining


def test_small_fleet_is_a_full_mesh():
    entries = make_entries(3, topologies.FULL_MESH_LIMIT)
    connections = list_connections(compute_all(entries))
    assert len(connections) == 8 * 7 / 2


def test_connections_do_not_grow_with_the_square_of_the_entries():
    """Guards against a full mesh: 2,278 connections at 68 entries."""
    for zones, count in ((5, 68), (25, 3712)):
        entries = [
            topologies.Entry(
                addresses.Address(f"10.{i // 250}.0.{i % 250 + 1}", 1),
                f"zone-{i % zones}",
                float(i % 7),
            )
            for i in range(count)
        ]
        hubs = topologies.Topology.from_entries(entries[0], entries).hubs
        members = count - len(hubs)
        degree = len(hubs) - 1 + 2 * members / len(hubs)
        assert len(hubs) + members / len(hubs) < 6 * math.sqrt(count)
        assert degree < 6 * math.sqrt(count)


def test_hubs_are_the_entries_with_the_most_capacity():
    """Guards against a small machine that forwards for its whole group."""
    entries = make_entries(5, 68)
    hubs = topologies.Topology.from_entries(entries[0], entries).hubs
    capacities = {entry.address: entry.capacity for entry in entries}
    assert {capacities[hub] for hub in hubs} == {2.0}
    assert len(hubs) == 2 * 5


def test_few_hubs_check_a_server_and_a_lost_hub_moves_few():
    """Guards against checks of a lost server by each entry."""
    hubs = {addresses.Address(f"10.0.0.{i}", 1) for i in range(1, 11)}
    lost = min(hubs, key=str)
    for number in range(50):
        before = topologies.choose_checkers(f"s{number}", hubs)
        after = topologies.choose_checkers(f"s{number}", hubs - {lost})
        assert len(before) == 2
        assert len(after & before) == 2 - (lost in before)
