"""Assignment of a model's layers to the servers of a fleet.

All functions are pure: the assignment follows from the reported state of the
fleet, so a new holder of the placement lease does not need the plan of the
previous one.
"""

import collections
import collections.abc
import dataclasses

from peridotyard_core import fleet

# Smallest number of streams of mean length for whose KV cache a server keeps
# memory beside its layers. With fewer streams a server adds a stage to the
# paths and hardly any capacity.
MIN_STREAM_CAPACITY = 6.0
# Factor between two stream capacities that `find_stream_capacity` tries.
CAPACITY_STEP_FACTOR = 0.9
# Fraction of the stream capacity without spare servers that a plan with spare
# servers must keep. Below it, spares would cost more streams in normal
# operation than they save after a loss, which the remaining servers repair by
# loading the lost layers in addition to their own.
SPARE_MIN_CAPACITY_SHARE = 0.4


@dataclasses.dataclass(frozen=True)
class Placement:
    """Layers that are assigned to a server.

    Attributes:
        server: The server as last reported.
        layer_range: The assigned layers.
    """

    server: fleet.Server
    layer_range: fleet.LayerRange


Servers = collections.abc.Sequence[fleet.Server]
LayerRanges = dict[str, fleet.LayerRange]


def list_uncovered_ranges(
    layer_ranges: collections.abc.Iterable[fleet.LayerRange], layers: int
) -> list[fleet.LayerRange]:
    """Returns the ranges of layers that no given range contains.

    Args:
        layer_ranges: Ranges of layers that servers hold.
        layers: Number of layers of the model.
    """
    missing = []
    layer = 0
    for layer_range in sorted(_clip_ranges(layer_ranges, layers)):
        if layer_range.first > layer:
            missing.append(fleet.LayerRange(layer, layer_range.first))
        layer = max(layer, layer_range.end)
    if layer < layers:
        missing.append(fleet.LayerRange(layer, layers))
    return missing


def _clip_ranges(
    layer_ranges: collections.abc.Iterable[fleet.LayerRange], layers: int
) -> list[fleet.LayerRange]:
    """Returns the parts of ranges that are layers of the model.

    Reports and rows are written by others: their layers may be those of another
    model.

    Args:
        layer_ranges: Ranges of layers that servers state.
        layers: Number of layers of the model.
    """
    clipped = (
        fleet.LayerRange(max(r.first, 0), min(r.end, layers))
        for r in layer_ranges
    )
    return [layer_range for layer_range in clipped if layer_range.size > 0]


def group_zones(servers: Servers, engine: fleet.Engine) -> list[list]:
    """Groups servers such that each group can hold all layers, if possible.

    A zone that can hold the model is a group of its own, since paths within a
    zone do not use the links between zones. The servers of all other zones
    form one group; if that cannot hold the model either, they join the
    smallest group. Servers of unknown accelerator types are left out.
    """
    by_zone = collections.defaultdict(list)
    for server in servers:
        if engine.find_accelerator_type(server.accelerator_type) is not None:
            by_zone[server.zone].append(server)
    groups, remaining_servers = [], []
    for zone in sorted(by_zone):
        members = by_zone[zone]
        if (
            _count_group_layers(members, engine, MIN_STREAM_CAPACITY)
            >= engine.layers
        ):
            groups.append(members)
        else:
            remaining_servers.extend(members)
    if remaining_servers:
        enough = (
            _count_group_layers(remaining_servers, engine, MIN_STREAM_CAPACITY)
            >= engine.layers
        )
        if enough or not groups:
            groups.append(remaining_servers)
        else:
            min(groups, key=len).extend(remaining_servers)
    return groups


def plan_group(servers: Servers, engine: fleet.Engine) -> LayerRanges:
    """Assigns all layers to a group, regardless of what its servers hold.

    One chain of servers holds each layer once, with as few stages as the
    accelerators allow. The spare servers of the group hold second copies of the
    largest stages, which take longest to load again. A group with little memory
    has no spares, see `find_stream_capacity`.
    """
    stream_capacity = find_stream_capacity(servers, engine)
    sizes = {
        s.instance: _count_fitting_layers(s, engine, stream_capacity)
        for s in servers
    }
    ordered = sorted(servers, key=lambda s: (-sizes[s.instance], s.instance))
    chain, held = [], 0
    for server in ordered:
        if held >= engine.layers:
            break
        if sizes[server.instance] > 0:
            chain.append(server)
            held += sizes[server.instance]
    # If the chain could hold more than all layers, the surplus memory is
    # divided among all its stages.
    names = [server.instance for server in chain]
    layer_ranges = _distribute_layers(names, sizes, 0, engine.layers)
    for server in ordered:
        if server.instance not in layer_ranges and sizes[server.instance] > 0:
            layer_ranges[server.instance] = _choose_copy_range(
                layer_ranges, sizes[server.instance], engine.layers
            )
    return layer_ranges


def find_stream_capacity(servers: Servers, engine: fleet.Engine) -> float:
    """Returns the stream capacity of a plan for a group.

    That is the number of streams of mean length for whose KV cache each server
    keeps memory beside its layers. It is the largest one at which the spare
    servers of the group can take over the layers of any single server, unless
    that is too small a part of the capacity without spares.
    """
    with_spares = _find_largest_capacity(servers, engine, needs_spares=True)
    without = _find_largest_capacity(servers, engine, needs_spares=False)
    if with_spares >= SPARE_MIN_CAPACITY_SHARE * without:
        return with_spares
    return without


def _find_largest_capacity(
    servers: Servers, engine: fleet.Engine, needs_spares: bool
) -> float:
    """Returns the largest stream capacity at which a chain holds all layers.

    Args:
        servers: Servers of the group.
        engine: The engine.
        needs_spares: Whether the servers outside the chain must be able to hold
            the layers of any server in it.
    """
    # Together the servers accept no more streams than they have slots.
    stream_capacity = float(max(engine.slots, MIN_STREAM_CAPACITY))
    while stream_capacity > MIN_STREAM_CAPACITY:
        sizes = sorted(
            (
                _count_fitting_layers(server, engine, stream_capacity)
                for server in servers
            ),
            reverse=True,
        )
        chain_layers, largest = 0, sizes[0] if sizes else 0
        while sizes and chain_layers < engine.layers:
            chain_layers += sizes.pop(0)
        has_spares = sum(sizes) >= largest
        if chain_layers >= engine.layers and (has_spares or not needs_spares):
            return stream_capacity
        stream_capacity *= CAPACITY_STEP_FACTOR
    return MIN_STREAM_CAPACITY


def repair_group(
    servers: Servers, layer_ranges: LayerRanges, engine: fleet.Engine
) -> LayerRanges:
    """Returns the layer ranges to change so that every layer is held again.

    Args:
        servers: Servers of the group that accept new work.
        layer_ranges: Layers that they hold, or were ordered to hold.
        engine: The engine.

    Returns:
        New layer ranges by instance; empty if no change is needed.
    """
    stream_capacity = find_stream_capacity(servers, engine)
    held = {}
    for server in servers:
        if server.instance in layer_ranges:
            # A server whose layers are all beyond the model holds none.
            for layer_range in _clip_ranges(
                [layer_ranges[server.instance]], engine.layers
            ):
                held[server.instance] = layer_range
    streams = stream_capacity
    while True:
        current = dict(held)
        changes = _cover_gaps(servers, current, engine, streams)
        if not list_uncovered_ranges(current.values(), engine.layers):
            break
        # A server with a small stream capacity is better than a layer that no
        # server holds.
        shifted = _shift_boundaries(servers, held, engine, streams / 2)
        if shifted:
            return shifted
        if streams <= MIN_STREAM_CAPACITY:
            return _replan_group(servers, layer_ranges, engine) or changes
        streams = max(streams / 2, MIN_STREAM_CAPACITY)
    for server in servers:
        if server.instance not in current:
            size = _count_fitting_layers(server, engine, stream_capacity)
            if size > 0:
                layer_range = _choose_copy_range(current, size, engine.layers)
                current[server.instance] = layer_range
                changes[server.instance] = layer_range
    return changes


def _replan_group(
    servers, layer_ranges: LayerRanges, engine: fleet.Engine
) -> LayerRanges:
    """Returns the changes to a new plan for the group, if it is complete.

    This is for a group whose spare servers do not suffice to repair it. The
    group has no complete path then, so moving all layers interrupts no stream.
    """
    new_ranges = plan_group(servers, engine)
    if list_uncovered_ranges(new_ranges.values(), engine.layers):
        return {}
    return {
        name: layer_range
        for name, layer_range in new_ranges.items()
        if layer_ranges.get(name) != layer_range
    }


def _shift_boundaries(
    servers, held: LayerRanges, engine, streams: float
) -> LayerRanges:
    """Moves the boundaries between servers next to the uncovered layers.

    Args:
        servers: Servers of the group that accept new work.
        held: Layers that they hold; some layers are uncovered.
        engine: The engine.
        streams: Stream capacity that each server keeps.

    Returns:
        The changes by which the fewest adjacent servers take over the
        uncovered layers in addition to their own; empty if no servers can.
    """
    missing = list_uncovered_ranges(held.values(), engine.layers)
    first, end = missing[0].first, missing[-1].end
    capacities = {
        s.instance: _count_fitting_layers(s, engine, streams) for s in servers
    }
    spare = [
        s.instance
        for s in servers
        if _is_spare(s.instance, held, engine.layers) and capacities[s.instance]
    ]
    ordered = sorted((n for n in held if n not in spare), key=held.__getitem__)
    before = [n for n in reversed(ordered) if held[n].first < first]
    after = [n for n in ordered if held[n].end > end and n not in before]
    inside = [n for n in ordered if n not in before and n not in after]
    for width in range(1, len(ordered) + 1):
        for count in range(min(width, len(before)) + 1):
            lower = before[:count][::-1]
            upper = after[: width - count]
            window = lower + inside + spare + upper
            window_first = min([first, *(held[n].first for n in lower)])
            window_end = max([end, *(held[n].end for n in upper)])
            if sum(capacities[n] for n in window) >= window_end - window_first:
                new_ranges = _distribute_layers(
                    window, capacities, window_first, window_end
                )
                return {n: r for n, r in new_ranges.items() if held.get(n) != r}
    return {}


def _distribute_layers(
    names, sizes: dict[str, int], first: int, end: int
) -> LayerRanges:
    """Divides a range among servers in proportion to what fits on each.

    Args:
        names: Instances in the order in which they take the layers.
        sizes: Number of layers that fit, by instance.
        first: First layer of the range.
        end: Layer after the range.
    """
    layer_ranges: LayerRanges = {}
    remaining_capacity = sum(sizes[name] for name in names)
    layer = first
    for name in names:
        size, remaining_layers = sizes[name], end - layer
        if remaining_layers <= 0:
            break
        remaining_capacity -= size
        # The servers after this one must be able to hold the remaining layers.
        share = max(
            round(remaining_layers * size / (remaining_capacity + size)),
            remaining_layers - remaining_capacity,
        )
        share = min(share, size, remaining_layers)
        if share > 0:
            layer_ranges[name] = fleet.LayerRange(layer, layer + share)
            layer += share
    return layer_ranges


def _cover_gaps(
    servers, current: LayerRanges, engine, streams: float
) -> LayerRanges:
    """Assigns uncovered layers to servers that hold none or a spare copy.

    Args:
        servers: Servers of the group that accept new work.
        current: Layers that they hold; changed in place.
        engine: The engine.
        streams: Stream capacity that each server keeps.

    Returns:
        The changes by instance; some layers may remain uncovered.
    """
    changes: LayerRanges = {}
    while missing := list_uncovered_ranges(current.values(), engine.layers):
        gap = max(missing, key=lambda layer_range: layer_range.size)
        spare = [
            server
            for server in servers
            if server.instance not in changes
            and _is_spare(server.instance, current, engine.layers)
            and _count_fitting_layers(server, engine, streams) > 0
        ]
        # An empty server is preferred, since no copy is lost, and then a small
        # one, since it loses fewer layers than a large one, which usually has
        # the faster accelerator too.
        # Streams cannot leave the first server of their path, so a server of
        # the first stage can load other layers only after its streams end.
        receiver = min(
            spare,
            key=lambda s: (
                s.instance in current,
                s.instance in current and current[s.instance].first == 0,
                _count_fitting_layers(s, engine, streams),
            ),
            default=None,
        )
        if receiver is None:
            return changes
        size = min(_count_fitting_layers(receiver, engine, streams), gap.size)
        layer_range = fleet.LayerRange(gap.first, gap.first + size)
        current[receiver.instance] = layer_range
        changes[receiver.instance] = layer_range
    return changes


def _is_spare(instance: str, current: LayerRanges, layers: int) -> bool:
    """Returns whether a server holds no layers that only it holds."""
    if instance not in current:
        return True
    before = list_uncovered_ranges(current.values(), layers)
    others = [
        layer_range for name, layer_range in current.items() if name != instance
    ]
    return list_uncovered_ranges(others, layers) == before


def _count_fitting_layers(server, engine: fleet.Engine, streams: float) -> int:
    """Returns the number of layers that fit beside the KV cache of streams."""
    accelerator_type = engine.find_accelerator_type(server.accelerator_type)
    if accelerator_type is None:
        return 0
    tokens = streams * (engine.prompt_tokens + engine.response_tokens)
    kv_mb = tokens * engine.kv_token_mb / engine.layers
    return min(
        int(accelerator_type.memory_mb / (engine.layer_mb + kv_mb)),
        engine.layers,
    )


def _count_group_layers(servers, engine: fleet.Engine, streams: float) -> int:
    """Returns the number of layers that fit on all servers together."""
    return sum(
        _count_fitting_layers(server, engine, streams) for server in servers
    )


def _choose_copy_range(
    layer_ranges: LayerRanges, size: int, layers: int
) -> fleet.LayerRange:
    """Returns the layers of which a spare server holds another copy.

    The range begins at the layer with the fewest holders; among such layers, at
    the first one in the largest stage. It begins earlier if it would not fit.

    Args:
        layer_ranges: Layers that servers hold, by instance.
        size: Number of layers of the copy.
        layers: Number of layers of the model.
    """
    holders = [0] * layers
    largest = [0] * layers
    for layer_range in _clip_ranges(layer_ranges.values(), layers):
        for layer in range(layer_range.first, layer_range.end):
            holders[layer] += 1
            largest[layer] = max(largest[layer], layer_range.size)
    first = max(
        range(layers),
        key=lambda layer: (-holders[layer], largest[layer], -layer),
    )
    first = min(first, layers - size)
    return fleet.LayerRange(first, first + size)
