"""Which entries connect to each other.

In a small fleet, each entry connects to all others. In a larger one, the
entries of a zone form groups, and each group has some hubs: its entries with
the most capacity. A member connects to the hubs of its group only, and hubs
connect to each other, so the number of connections of an entry grows with the
square root of the number of entries at most. All functions are pure: each entry
computes the same topology from the same list of entries.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import math

from peridotyard_core import addresses

# Entries up to which each of them is a hub.
FULL_MESH_LIMIT = 8
# Smallest number of entries for which a group is divided.
GROUP_SIZE_MIN = 16
# Hubs of a group. With two, the loss of one leaves its members connected.
HUBS_PER_GROUP = 2


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry as the others know it.

    Attributes:
        address: Where it accepts connections of other entries.
        zone: Its availability zone; empty if unknown.
        capacity: Its processor capacity, in cores of normal speed; 0 if
            unknown.
    """

    address: addresses.Address
    zone: str = ""
    capacity: float = 0.0


@dataclasses.dataclass(frozen=True)
class Topology:
    """Connections from the point of view of one entry.

    Attributes:
        hubs: Addresses of the hubs of all groups.
        uplinks: Addresses of the hubs that this entry connects to as a member,
            preferred one first; empty for a hub.
        dials: Addresses to which this entry opens connections.
        is_grouped: Whether some entries are members of a group and not hubs.
    """

    hubs: frozenset[addresses.Address] = frozenset()
    uplinks: tuple[addresses.Address, ...] = ()
    dials: frozenset[addresses.Address] = frozenset()
    is_grouped: bool = False

    @classmethod
    def from_entries(
        cls, own: Entry, others: collections.abc.Iterable[Entry]
    ) -> "Topology":
        """Computes the connections of an entry.

        Args:
            own: The entry.
            others: The other entries that can be reached.
        """
        entries = {entry.address: entry for entry in others}
        entries[own.address] = own
        groups = _divide_into_groups(tuple(entries.values()))
        hubs = frozenset(hub.address for group in groups for hub in group.hubs)
        is_grouped = len(hubs) < len(entries)
        if own.address in hubs:
            # Of two hubs, the one with the lower address dials, as a connection
            # carries both directions.
            dials = frozenset(h for h in hubs if str(h) > str(own.address))
            return cls(hubs, (), dials, is_grouped)
        group = next(group for group in groups if own in group.members)
        # Rotated by the member's address, so that the members of a group are
        # divided among its hubs.
        ordered = sorted(
            (hub.address for hub in group.hubs),
            key=lambda hub: _hash(f"{own.address} {hub}"),
        )
        return cls(hubs, tuple(ordered), frozenset(ordered), is_grouped)


@dataclasses.dataclass(frozen=True)
class _Group:
    hubs: tuple[Entry, ...]
    members: tuple[Entry, ...]


def choose_checkers(
    instance: str, hubs: collections.abc.Collection[addresses.Address]
) -> frozenset[addresses.Address]:
    """Returns the hubs that check a suspected server for all entries.

    They are drawn by rendezvous hashing, so the loss of a hub changes only the
    checkers of the servers that it checked.
    """
    ordered = sorted(hubs, key=lambda hub: _hash(f"{instance} {hub}"))
    return frozenset(ordered[:HUBS_PER_GROUP])


def choose_coordinator(
    instance: str, entries: collections.abc.Collection[str]
) -> str:
    """Returns the entry that coordinates the requests to a server.

    Args:
        instance: The server's instance.
        entries: Addresses of the entries that can be reached, this one
            included.
    """
    return min(entries, key=lambda entry: _hash(f"{instance} {entry}"))


def _divide_into_groups(entries: tuple[Entry, ...]) -> list[_Group]:
    if len(entries) <= FULL_MESH_LIMIT:
        return [_Group(entries, ())]
    by_zone = collections.defaultdict(list)
    for entry in entries:
        by_zone[entry.zone].append(entry)
    # With groups of this size, a hub has about as many members as other hubs.
    size = max(GROUP_SIZE_MIN, math.isqrt(len(entries)))
    groups = []
    for zone in sorted(by_zone):
        groups += _divide_zone(by_zone[zone], size)
    return groups


def _divide_zone(entries: list[Entry], size: int) -> list[_Group]:
    count = math.ceil(len(entries) / size)
    ordered = sorted(
        entries, key=lambda e: (-e.capacity, _hash(str(e.address)))
    )
    hubs = ordered[: HUBS_PER_GROUP * count]
    members: list[list[Entry]] = [[] for _ in range(count)]
    for entry in ordered[HUBS_PER_GROUP * count :]:
        index = min(
            range(count), key=lambda i: _hash(f"{entry.address} group {i}")
        )
        members[index].append(entry)
    return [
        _Group(tuple(hubs[index::count]), tuple(members[index]))
        for index in range(count)
    ]


def _hash(text: str) -> int:
    """Returns a hash that is equal in all processes."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
