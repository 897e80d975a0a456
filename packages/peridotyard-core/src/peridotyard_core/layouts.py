"""Layout of a model's layers over the servers of a fleet.

All functions are pure: the layout follows from the fleet as it is reported,
so that a new holder of the placement duty needs no plan of the old one.
"""

import collections
import collections.abc
import dataclasses

from peridotyard_core import fleet

# Smallest room for KV cache that a server keeps beside its layers, in mean
# requests. Below a handful of streams a server only adds a stage to the paths.
SMALLEST_STREAMS = 6.0
# Steps in which the room for KV cache is searched, as a factor.
ROOM_STEP = 0.9


@dataclasses.dataclass(frozen=True)
class Placement:
    """Layers that a server is to hold.

    Attributes:
        server: The server as last reported.
        layer_range: The layers.
    """

    server: fleet.Server
    layer_range: fleet.LayerRange


Servers = collections.abc.Sequence[fleet.Server]
LayerRanges = dict[str, fleet.LayerRange]


def list_uncovered(
    layer_ranges: collections.abc.Iterable[fleet.LayerRange], layers: int
) -> list[fleet.LayerRange]:
    """Returns the ranges of layers that no given range contains."""
    missing = []
    layer = 0
    for layer_range in sorted(layer_ranges):
        if layer_range.first > layer:
            missing.append(fleet.LayerRange(layer, layer_range.first))
        layer = max(layer, layer_range.end)
    if layer < layers:
        missing.append(fleet.LayerRange(layer, layers))
    return missing


def group_zones(servers: Servers, engine: fleet.Engine) -> list[list]:
    """Groups servers such that each group can hold all layers.

    A zone that can hold the model is a group of its own, since paths within a
    zone do not use the links between zones. The others form one group; if
    that is too small as well, it joins the smallest of the others.
    """
    by_zone = collections.defaultdict(list)
    for server in servers:
        if engine.find_accelerator_type(server.accelerator_type) is not None:
            by_zone[server.zone].append(server)
    groups, rest = [], []
    for zone in sorted(by_zone):
        members = by_zone[zone]
        if _count_layers(members, engine, SMALLEST_STREAMS) >= engine.layers:
            groups.append(members)
        else:
            rest.extend(members)
    if rest:
        enough = _count_layers(rest, engine, SMALLEST_STREAMS) >= engine.layers
        if enough or not groups:
            groups.append(rest)
        else:
            min(groups, key=len).extend(rest)
    return groups


def plan_group(servers: Servers, engine: fleet.Engine) -> LayerRanges:
    """Lays a group out from nothing.

    One chain of servers holds each layer once, with as few stages as the
    cards allow. The room for KV cache is the largest one at which the rest of
    the group can take over the layers of any single server; the rest holds
    second copies of the largest stages, which are the slowest to reload.
    """
    room = find_room(servers, engine)
    sizes = {s.instance: _fit(s, engine, room) for s in servers}
    ordered = sorted(servers, key=lambda s: (-sizes[s.instance], s.instance))
    chain, held = [], 0
    for server in ordered:
        if held >= engine.layers:
            break
        if sizes[server.instance] > 0:
            chain.append(server)
            held += sizes[server.instance]
    # The surplus of the chain is spread over all its stages.
    names = [server.instance for server in chain]
    layer_ranges = _spread(names, sizes, 0, engine.layers)
    for server in ordered:
        if server.instance not in layer_ranges and sizes[server.instance] > 0:
            layer_ranges[server.instance] = _choose_copy(
                layer_ranges, sizes[server.instance], engine.layers
            )
    return layer_ranges


def find_room(servers: Servers, engine: fleet.Engine) -> float:
    """Returns the room for KV cache of a plan, in mean requests a server."""
    # All servers together cannot serve more than their slots.
    room = float(max(engine.slots, SMALLEST_STREAMS))
    while room > SMALLEST_STREAMS:
        sizes = sorted(
            (_fit(server, engine, room) for server in servers), reverse=True
        )
        chain, largest = 0, sizes[0] if sizes else 0
        while sizes and chain < engine.layers:
            chain += sizes.pop(0)
        if chain >= engine.layers and sum(sizes) >= largest:
            return room
        room *= ROOM_STEP
    return SMALLEST_STREAMS


def repair_group(
    servers: Servers, layer_ranges: LayerRanges, engine: fleet.Engine
) -> LayerRanges:
    """Returns the layer ranges to change so that every layer is held again.

    Args:
        servers: Servers that take work.
        layer_ranges: What they hold, or were ordered to hold.
        engine: The engine.

    Returns:
        New layer ranges by instance; empty if nothing is to be done.
    """
    room = find_room(servers, engine)
    held = {
        s.instance: layer_ranges[s.instance]
        for s in servers
        if s.instance in layer_ranges
    }
    streams = room
    while True:
        current = dict(held)
        changes = _cover(servers, current, engine, streams)
        if not list_uncovered(current.values(), engine.layers):
            break
        # A server with little room is better than a layer without a holder.
        shifted = _shift(servers, held, engine, streams / 2)
        if shifted:
            return shifted
        if streams <= SMALLEST_STREAMS:
            return _replan(servers, layer_ranges, engine) or changes
        streams = max(streams / 2, SMALLEST_STREAMS)
    for server in servers:
        if server.instance not in current:
            size = _fit(server, engine, room)
            if size > 0:
                layer_range = _choose_copy(current, size, engine.layers)
                current[server.instance] = layer_range
                changes[server.instance] = layer_range
    return changes


def _replan(
    servers, layer_ranges: LayerRanges, engine: fleet.Engine
) -> LayerRanges:
    """Returns the changes to a layout from nothing, if that is complete.

    It is for a group whose spare servers do not suffice. No path of the group
    is whole then, so that moving all layers loses nothing more.
    """
    fresh = plan_group(servers, engine)
    if list_uncovered(fresh.values(), engine.layers):
        return {}
    return {
        name: layer_range
        for name, layer_range in fresh.items()
        if layer_ranges.get(name) != layer_range
    }


def _shift(servers, held: LayerRanges, engine, streams: float) -> LayerRanges:
    """Moves the borders between servers next to the uncovered layers.

    Returns:
        The changes with which the fewest servers in a row take over the
        uncovered layers beside what they hold; empty if none can.
    """
    missing = list_uncovered(held.values(), engine.layers)
    first, end = missing[0].first, missing[-1].end
    fits = {s.instance: _fit(s, engine, streams) for s in servers}
    spare = [
        s.instance
        for s in servers
        if _is_spare(s.instance, held, engine.layers) and fits[s.instance]
    ]
    row = sorted((n for n in held if n not in spare), key=held.__getitem__)
    before = [n for n in reversed(row) if held[n].first < first]
    after = [n for n in row if held[n].end > end and n not in before]
    inside = [n for n in row if n not in before and n not in after]
    for width in range(1, len(row) + 1):
        for count in range(min(width, len(before)) + 1):
            lower = before[:count][::-1]
            upper = after[: width - count]
            window = lower + inside + spare + upper
            begin = min([first, *(held[n].first for n in lower)])
            stop = max([end, *(held[n].end for n in upper)])
            if sum(fits[n] for n in window) >= stop - begin:
                fresh = _spread(window, fits, begin, stop)
                return {n: s for n, s in fresh.items() if held.get(n) != s}
    return {}


def _spread(names, sizes: dict[str, int], first: int, end: int) -> LayerRanges:
    """Divides a range among servers in proportion to what fits on each."""
    layer_ranges: LayerRanges = {}
    left = sum(sizes[name] for name in names)
    layer = first
    for name in names:
        size, need = sizes[name], end - layer
        if need <= 0:
            break
        left -= size
        # The servers after this one have to be able to hold the rest.
        share = max(round(need * size / (left + size)), need - left)
        share = min(share, size, need)
        if share > 0:
            layer_ranges[name] = fleet.LayerRange(layer, layer + share)
            layer += share
    return layer_ranges


def _cover(
    servers, current: LayerRanges, engine, streams: float
) -> LayerRanges:
    """Gives uncovered layers to servers that are free or hold a copy."""
    changes: LayerRanges = {}
    while missing := list_uncovered(current.values(), engine.layers):
        gap = max(missing, key=lambda layer_range: layer_range.size)
        spare = [
            server
            for server in servers
            if server.instance not in changes
            and _is_spare(server.instance, current, engine.layers)
            and _fit(server, engine, streams) > 0
        ]
        # An empty server gives up no copy, and a small one gives up less than
        # a large one, which usually is the faster card too. Streams cannot
        # leave their first server, so that one loads only after they ended.
        taker = min(
            spare,
            key=lambda s: (
                s.instance in current,
                s.instance in current and current[s.instance].first == 0,
                _fit(s, engine, streams),
            ),
            default=None,
        )
        if taker is None:
            return changes
        size = min(_fit(taker, engine, streams), gap.size)
        layer_range = fleet.LayerRange(gap.first, gap.first + size)
        current[taker.instance] = layer_range
        changes[taker.instance] = layer_range
    return changes


def _is_spare(instance: str, current: LayerRanges, layers: int) -> bool:
    if instance not in current:
        return True
    before = list_uncovered(current.values(), layers)
    others = [
        layer_range for name, layer_range in current.items() if name != instance
    ]
    return list_uncovered(others, layers) == before


def _fit(server, engine: fleet.Engine, streams: float) -> int:
    """Returns the layers that fit beside the KV cache of some streams."""
    accelerator_type = engine.find_accelerator_type(server.accelerator_type)
    if accelerator_type is None:
        return 0
    tokens = streams * (engine.prompt_tokens + engine.response_tokens)
    kv_mb = tokens * engine.kv_token_mb / engine.layers
    return min(
        int(accelerator_type.memory_mb / (engine.layer_mb + kv_mb)),
        engine.layers,
    )


def _count_layers(servers, engine: fleet.Engine, streams: float) -> int:
    return sum(_fit(server, engine, streams) for server in servers)


def _choose_copy(
    layer_ranges: LayerRanges, size: int, layers: int
) -> fleet.LayerRange:
    """Returns the range of a further copy.

    It begins in the largest stage of which some layer has only one holder.
    """
    holders = [0] * layers
    largest = [0] * layers
    for layer_range in layer_ranges.values():
        for layer in range(layer_range.first, layer_range.end):
            holders[layer] += 1
            largest[layer] = max(largest[layer], layer_range.size)
    first = max(
        range(layers),
        key=lambda layer: (-holders[layer], largest[layer], -layer),
    )
    first = min(first, layers - size)
    return fleet.LayerRange(first, first + size)
