"""Compares layouts and path choice on mixed accelerators with simpler ones.

The figures come from the project's own model: the memory of a server that its
layers leave free determines how many streams it can hold, and the maximum flow
from the first to the last layer is the number of streams that a layout can hold
at a time. The upper bound assumes one copy of the layers and all other memory
of the fleet for streams, which no layout of whole layers reaches.
"""

import collections
import dataclasses
import heapq
import random as random_module

import networkx
from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import layouts
from peridotyard_core import paths

ENGINE = fleet.Engine(
    layers=80,
    layer_mb=1750.0,
    kv_token_mb=0.918,
    activation_mb=0.0458,
    step_ms=0.85,
    stream_ms=0.00594,
    prefill_tokens_per_ms=252.0,
    zone_link_mbps=7900.0,
    load_s=14.0,
    parallel_loads=6,
    prompt_tokens=772,
    response_tokens=154,
    slots=96,
    stall_s=2.5,
    accelerator_types=(
        fleet.AcceleratorType("large", 36000, 3.1, 3.2),
        fleet.AcceleratorType("middle", 21600, 16.0, 8.2),
        fleet.AcceleratorType("small", 14400, 15.0, 15.0),
    ),
)
# Servers of each zone by accelerator type: large, middle, small.
FLEETS = {
    "3 zones, 38 servers": {"a": (3, 3, 5), "b": (1, 5, 8), "c": (1, 7, 5)},
    "1 zone, small only": {"a": (0, 0, 24)},
    "4 zones, 59 servers": {
        "a": (1, 4, 7),
        "b": (1, 7, 10),
        "c": (1, 11, 5),
        "d": (1, 4, 7),
    },
}
SEED = 7
STREAMS_PER_S = 28.0
STREAM_S = 3.0
SIMULATED_S = 200.0


def make_fleet(zones: dict[str, tuple[int, int, int]]) -> list[fleet.Server]:
    """Returns servers without layers."""
    servers = []
    for zone, counts in zones.items():
        for accelerator_type, count in zip(
            ENGINE.accelerator_types, counts, strict=True
        ):
            for number in range(count):
                address = addresses.Address("127.0.0.1", len(servers) + 1)
                servers.append(
                    fleet.Server(
                        f"{zone}-{accelerator_type.name}-{number}",
                        "model",
                        address,
                        zone,
                        True,
                        ENGINE.slots,
                        accelerator_type.name,
                    )
                )
    return servers


def lay_out_planned(servers) -> layouts.LayerRanges:
    """Returns the layout that this project plans."""
    layer_ranges = {}
    for group in layouts.group_zones(servers, ENGINE):
        layer_ranges |= layouts.plan_group(group, ENGINE)
    return layer_ranges


def lay_out_by_type(servers) -> layouts.LayerRanges:
    """Returns one copy per accelerator type, across all zones."""
    layer_ranges = {}
    for accelerator_type in ENGINE.accelerator_types:
        members = [
            s for s in servers if s.accelerator_type == accelerator_type.name
        ]
        if members:
            layer_ranges |= layouts.plan_group(members, ENGINE)
    return layer_ranges


def lay_out_randomly(servers) -> layouts.LayerRanges:
    """Returns layer ranges that fill 75 % of each memory, at random layers."""
    random = random_module.Random(SEED)
    layer_ranges = {}
    for server in servers:
        accelerator_type = ENGINE.find_accelerator_type(server.accelerator_type)
        size = int(accelerator_type.memory_mb * 0.75 / ENGINE.layer_mb)
        first = random.randrange(ENGINE.layers - size + 1)
        layer_ranges[server.instance] = fleet.LayerRange(first, first + size)
    return layer_ranges


def measure_flow(servers) -> float:
    """Returns the number of streams that a layout can hold at a time."""
    graph = networkx.DiGraph()
    for server in servers:
        accelerator_type = ENGINE.find_accelerator_type(server.accelerator_type)
        name = server.instance
        stream_capacity = ENGINE.compute_stream_capacity(
            accelerator_type, server.layer_range.size
        )
        graph.add_edge((name, "in"), (name, "out"), capacity=stream_capacity)
        for layer in range(server.layer_range.first, server.layer_range.end):
            graph.add_edge(layer, (name, "in"))
            graph.add_edge((name, "out"), layer + 1)
    if 0 not in graph or ENGINE.layers not in graph:
        return 0.0
    return networkx.maximum_flow_value(graph, 0, ENGINE.layers)


def compute_flow_bound(servers) -> float:
    """Returns an upper bound of the streams that the fleet can hold."""
    memory_mb = sum(
        ENGINE.find_accelerator_type(s.accelerator_type).memory_mb
        for s in servers
    )
    weights_mb = ENGINE.layers * ENGINE.layer_mb
    tokens = ENGINE.prompt_tokens + ENGINE.response_tokens
    return (memory_mb - weights_mb) / (tokens * ENGINE.kv_token_mb)


def apply_layout(servers, layer_ranges) -> list[fleet.Server]:
    """Returns the servers that hold layers in a layout, with these layers."""
    return [
        dataclasses.replace(server, layer_range=layer_ranges[server.instance])
        for server in servers
        if server.instance in layer_ranges
    ]


def measure_worst_loss(placed) -> float:
    """Returns the flow after the loss of the most critical server."""
    return min(
        measure_flow([s for s in placed if s is not lost]) for lost in placed
    )


class PathPolicies:
    """Methods of choosing a path, for the comparison."""

    def __init__(self):
        self._random = random_module.Random(SEED)

    def planned(self, servers, zone, load):
        """The path that this project chooses."""
        return paths.Planner(ENGINE, zone).choose_path(servers, load)

    def shortest_queue(self, servers, zone, load):
        """At the end of each stage, the server with the fewest streams."""
        return self._build_path(servers, lambda found: min(found, key=load))

    def two_choices(self, servers, zone, load):
        """At the end of each stage, the less loaded of two random servers."""

        def choose_server(found):
            pair = [self._random.choice(found) for _ in range(2)]
            return min(pair, key=load)

        return self._build_path(servers, choose_server)

    def random_path(self, servers, zone, load):
        """At the end of each stage, a random server with the next layer."""
        return self._build_path(servers, self._random.choice)

    def _build_path(self, servers, choose_server):
        path, layer = [], 0
        while layer < ENGINE.layers:
            found = [s for s in servers if s.layer_range.contains(layer)]
            if not found:
                return None
            server = choose_server(found)
            path.append(
                paths.Stage(
                    server, fleet.LayerRange(layer, server.layer_range.end)
                )
            )
            layer = server.layer_range.end
        return tuple(path)


def simulate(servers, choose) -> dict[str, float]:
    """Simulates streams that arrive from all zones.

    Args:
        servers: Servers with their layers.
        choose: Function from servers, zone and load to a path.

    Returns:
        Mean step time of a path, mean zone changes per path, and fraction of
        streams with a server on their path that had no capacity left.
    """
    random = random_module.Random(SEED)
    streams = collections.Counter()
    ends: list[tuple[float, int, paths.Path]] = []
    stream_capacities = {
        s.instance: ENGINE.compute_stream_capacity(
            ENGINE.find_accelerator_type(s.accelerator_type), s.layer_range.size
        )
        for s in servers
    }
    zones = sorted({server.zone for server in servers})
    now, count, full, step_ms, changes = 0.0, 0, 0, 0.0, 0
    while now < SIMULATED_S:
        now += random.expovariate(STREAMS_PER_S)
        while ends and ends[0][0] <= now:
            for stage in heapq.heappop(ends)[2]:
                streams[stage.server.instance] -= 1
        path = choose(
            servers, random.choice(zones), lambda s: streams[s.instance]
        )
        count += 1
        full += any(
            streams[stage.server.instance] + 1
            > stream_capacities[stage.server.instance]
            for stage in path
        )
        for stage in path:
            accelerator_type = ENGINE.find_accelerator_type(
                stage.server.accelerator_type
            )
            share = stage.layer_range.size / ENGINE.layers
            load = streams[stage.server.instance]
            step = ENGINE.step_ms + ENGINE.stream_ms * load
            step_ms += share * accelerator_type.step_factor * step
            streams[stage.server.instance] += 1
        changes += sum(
            a.server.zone != b.server.zone
            for a, b in zip(path, path[1:], strict=False)
        )
        end = now + random.expovariate(1 / STREAM_S)
        heapq.heappush(ends, (end, count, path))
    return {
        "step_ms": step_ms / count,
        "zone_changes": changes / count,
        "full": full / count,
    }


def main() -> int:
    """Prints both tables."""
    layout_functions = {
        "random ranges": lay_out_randomly,
        "copy per kind": lay_out_by_type,
        "planned": lay_out_planned,
    }
    print("streams at a time: layout, after worst loss, bound")
    for title, zones in FLEETS.items():
        servers = make_fleet(zones)
        for name, lay_out in layout_functions.items():
            placed = apply_layout(servers, lay_out(servers))
            print(
                f"  {title:22} {name:14} {measure_flow(placed):7.0f}"
                f" {measure_worst_loss(placed):7.0f}"
                f" {compute_flow_bound(servers):7.0f}"
            )
    print("path choice on the planned layout: step ms, zone changes, full")
    policies = PathPolicies()
    servers = make_fleet(FLEETS["3 zones, 38 servers"])
    placed = apply_layout(servers, lay_out_planned(servers))
    for name in ("random_path", "shortest_queue", "two_choices", "planned"):
        found = simulate(placed, getattr(policies, name))
        print(
            f"  {name:16} {found['step_ms']:6.1f}"
            f" {found['zone_changes']:5.2f} {found['full']:6.3f}"
        )
    return 0
