"""Selection of the servers that compute the layers of a stream, across zones.

A path is the sequence of servers, called stages, that together compute all
layers of the model for one stream. Paths are used on a platform without
sidecars; `pipelines` selects the chains of a deployment with sidecars.
"""

import collections.abc
import dataclasses
import heapq
import itertools
import math

from peridotyard_core import fleet

# Growth of a stage's cost with the use of its KV cache. With the third power a
# half-full server costs twice as much as an empty one and a full one nine times
# as much, so faster servers are used first and no server is filled up while
# others are idle.
KV_FILL_WEIGHT = 8.0
KV_FILL_EXPONENT = 3
# Additional cost of a path in another zone than the entry's, in token steps of
# the slowest accelerator type: less than the cost of a full server, more than
# the difference between accelerator types. The load in other zones is known
# with a delay, so a small advantage there does not justify the change of zone.
REMOTE_ZONE_COST_STEPS = 0.6
# Share of the time to transfer a prompt's activations between two zones that is
# added to the cost of each zone crossing. All streams share the link, and it is
# saturated long before an entry notices the delay.
ZONE_CROSSING_SHARE = 0.5
# Share of a server's pass over all its layers that a token waits: a token that
# arrives at a random time during a pass waits for half of the pass on average.
PASS_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Stage:
    """One server of a path and the layers that it computes.

    Attributes:
        server: The server.
        layer_range: Layers that it computes for the stream, all or some of
            those that it holds.
    """

    server: fleet.Server
    layer_range: fleet.LayerRange


Path = tuple[Stage, ...]
Servers = collections.abc.Sequence[fleet.Server]
LoadFunction = collections.abc.Callable[[fleet.Server], float]


def list_instances(path: Path) -> frozenset[str]:
    """Returns the instances of a path."""
    return frozenset(stage.server.instance for stage in path)


def count_zone_changes(path: Path) -> int:
    """Returns how often consecutive stages of a path are in other zones."""
    zones = [stage.server.zone for stage in path]
    return sum(a != b for a, b in itertools.pairwise(zones))


@dataclasses.dataclass(frozen=True)
class Planner:
    """Finds paths for the streams of one engine.

    Attributes:
        engine: The engine and its model.
        zone: Zone of the entry.
        slowness: Measured step time relative to the usual one by instance,
            for the servers where it is not 1.
    """

    engine: fleet.Engine
    zone: str
    slowness: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def choose_path(
        self,
        servers: Servers,
        load: LoadFunction,
        not_first: frozenset[str] = frozenset(),
    ) -> Path | None:
        """Returns the cheapest path over all layers, None if there is none.

        The path stays within one zone if any zone holds all layers, since the
        links between zones carry the activations of all prompts.

        Args:
            servers: Servers that accept new work.
            load: Function that returns the number of streams of a server.
            not_first: Instances with which the path must not begin.
        """
        found = self.find_zone_paths(servers, load, not_first)
        if found:
            return min(found.values(), key=lambda item: item[0])[1]
        all_layers = fleet.LayerRange(0, self.engine.layers)
        best = self._search_path(servers, all_layers, load, not_first=not_first)
        return None if best is None else best[1]

    def find_zone_paths(
        self,
        servers: Servers,
        load: LoadFunction,
        not_first: frozenset[str] = frozenset(),
    ) -> dict[str, tuple[float, Path]]:
        """Returns the cheapest path within each zone that holds all layers.

        Args:
            servers: Servers that accept new work.
            load: Function that returns the number of streams of a server.
            not_first: Instances with which the path must not begin.

        Returns:
            The cost in milliseconds and the path, by zone.
        """
        all_layers = fleet.LayerRange(0, self.engine.layers)
        by_zone: dict[str, list[fleet.Server]] = {}
        for server in servers:
            by_zone.setdefault(server.zone, []).append(server)
        paths_by_zone = {}
        for zone, members in by_zone.items():
            found = self._search_path(
                members, all_layers, load, not_first=not_first
            )
            if found is None:
                continue
            cost, path = found
            if zone != self.zone:
                cost += self._compute_remote_cost()
            paths_by_zone[zone] = (cost, path)
        return paths_by_zone

    def replace_failed_stages(
        self,
        path: Path,
        failed: frozenset[str],
        servers: Servers,
        load: LoadFunction,
    ) -> Path | None:
        """Returns the path with other servers for its failed stages.

        The other stages keep their KV cache and are not changed, except that
        the neighbours of a failed stage take over its layers if no other
        server can. Replacements are in the zone of the failed server: they
        compute the KV cache of the entire stream again, and for many streams at
        the same time that takes longer over the links between zones than
        starting the streams again in another zone.

        Args:
            path: The current path.
            failed: Instances to replace; the first stage is not among them.
            servers: Servers that accept new work.
            load: Function that returns the number of streams of a server.

        Returns:
            The new path, or None if the layers of a failed stage cannot be
            replaced.
        """
        usable = {
            server.instance: server
            for server in servers
            if server.instance not in failed
        }
        stages = list(path)
        for stage in path:
            if stage.server.instance not in failed:
                continue
            index = stages.index(stage)
            used = list_instances(tuple(stages))
            zone = stage.server.zone
            same_zone = [
                server
                for server in usable.values()
                if server.zone == zone and server.instance not in used
            ]
            found = self._search_path(same_zone, stage.layer_range, load, zone)
            if found is not None:
                stages[index : index + 1] = found[1]
            elif not _extend_neighbours(stages, index, usable):
                return None
        return tuple(stages)

    def estimate_stream_capacity(self, server: fleet.Server) -> float:
        """Returns the streams in progress from which a server is surely full.

        Its memory bounds them, and its slots if paths begin at it. Infinite if
        the room in its memory is unknown.

        Args:
            server: A server that holds layers.
        """
        engine = self.engine
        accelerator_type = engine.find_accelerator_type(server.accelerator_type)
        if accelerator_type is None:
            return float("inf")
        # Streams in progress have half of their response on average.
        tokens = engine.prompt_tokens + engine.response_tokens / 2
        streams = engine.compute_kv_capacity(
            accelerator_type, server.layer_range.size
        ) / max(1.0, tokens)
        if not streams:
            return float("inf")
        # Their lengths vary about as much as the mean, so that the number that
        # fits has a standard deviation of its square root.
        capacity = streams + math.sqrt(streams)
        if server.layer_range.first == 0 and engine.slots:
            capacity = min(capacity, engine.slots)
        return max(1.0, capacity)

    def estimate_cost(
        self, server: fleet.Server, layers: int, load: float
    ) -> float:
        """Returns the cost of a stage: the time of a token, raised by the load.

        The cost includes the wait for the server's current pass, however few
        layers the stage has, so that a path does not use a server for only a
        few layers. Each additional server is one more whose failure interrupts
        the stream.

        Args:
            server: Server of the stage.
            layers: Number of layers that the stage computes.
            load: Number of streams of the server.

        Returns:
            The cost, milliseconds.
        """
        engine = self.engine
        accelerator_type = engine.find_accelerator_type(server.accelerator_type)
        time_factor = accelerator_type.step_factor if accelerator_type else 1.0
        time_factor *= self.slowness.get(server.instance, 1.0)
        stream_capacity = (
            engine.compute_stream_capacity(
                accelerator_type, server.layer_range.size
            )
            if accelerator_type
            else 1.0
        )
        kv_fill = (load + 1) / max(stream_capacity, 0.1)
        share = (
            layers + PASS_WAIT_SHARE * server.layer_range.size
        ) / engine.layers
        step_ms = engine.step_ms + engine.stream_ms * load
        fill_factor = 1 + KV_FILL_WEIGHT * kv_fill**KV_FILL_EXPONENT
        return share * time_factor * step_ms * fill_factor

    def _compute_remote_cost(self) -> float:
        """Returns the additional cost of a path in another zone, ms."""
        slowest_factor = max(
            (
                accelerator_type.step_factor
                for accelerator_type in self.engine.accelerator_types
            ),
            default=1.0,
        )
        return REMOTE_ZONE_COST_STEPS * slowest_factor * self.engine.step_ms

    def _compute_crossing_cost(self) -> float:
        """Returns the cost of a zone change between two stages, ms."""
        engine = self.engine
        if not engine.zone_link_mbps:
            return 0.0
        # The factor converts megabytes to megabits and seconds to milliseconds.
        token_ms = engine.activation_mb * 8000 / engine.zone_link_mbps
        return ZONE_CROSSING_SHARE * token_ms * engine.prompt_tokens

    def _search_path(
        self,
        servers: Servers,
        layer_range: fleet.LayerRange,
        load: LoadFunction,
        zone: str = "",
        not_first: frozenset[str] = frozenset(),
    ) -> tuple[float, Path] | None:
        """Returns the cheapest path over a range, with its cost.

        Each stage continues to the last layer that its server holds. The state
        of the search is the next layer and the zone of the previous stage,
        since a change of zone has a cost of its own.

        Args:
            servers: Servers that may be used.
            layer_range: Layers that the path computes.
            load: Function that returns the number of streams of a server.
            zone: Zone of the stage before the path, empty if there is none.
            not_first: Instances with which the path must not begin.

        Returns:
            The cost in milliseconds and the path, or None if the servers do not
            hold all layers of the range.
        """
        usable = [
            server
            for server in servers
            if server.layer_range is not None
            and server.layer_range.first < layer_range.end
            and server.layer_range.end > layer_range.first
        ]
        crossing_cost = self._compute_crossing_cost()
        loads = [load(server) for server in usable]
        start = (layer_range.first, zone)
        best = {start: 0.0}
        came_from = {}
        queue = [(0.0, start)]
        while queue:
            cost, state = heapq.heappop(queue)
            layer, previous_zone = state
            if layer >= layer_range.end:
                return cost, _trace_path(came_from, state)
            if cost > best[state]:
                continue
            for server, streams in zip(usable, loads, strict=True):
                if not server.layer_range.contains(layer):
                    continue
                if state == start and server.instance in not_first:
                    continue
                end = min(server.layer_range.end, layer_range.end)
                total = cost + self.estimate_cost(server, end - layer, streams)
                if previous_zone and server.zone != previous_zone:
                    total += crossing_cost
                next_state = (end, server.zone)
                if total < best.get(next_state, float("inf")):
                    best[next_state] = total
                    stage = Stage(server, fleet.LayerRange(layer, end))
                    came_from[next_state] = (state, stage)
                    heapq.heappush(queue, (total, next_state))
        return None


def _extend_neighbours(
    stages: list[Stage],
    index: int,
    usable: collections.abc.Mapping[str, fleet.Server],
) -> bool:
    """Removes a stage and assigns its layers to its neighbours.

    The neighbours must hold the layers. The first stage of a path cannot change
    its layers.

    Args:
        stages: The path; changed in place.
        index: Index of the stage to remove.
        usable: Servers that accept new work, by instance.

    Returns:
        False if the neighbours do not hold the layers; nothing is changed then.
    """
    layer_range = stages[index].layer_range
    before = _find_neighbour(stages, index - 1, usable)
    after = _find_neighbour(stages, index + 1, usable)
    before_end, after_first = layer_range.first, layer_range.end
    if before is not None:
        before_end = min(before.layer_range.end, layer_range.end)
    if after is not None:
        after_first = max(after.layer_range.first, layer_range.first)
    if after_first > before_end:
        return False
    # If one neighbour holds all layers, it takes all of them, so that the KV
    # cache of only one server has to be computed again.
    boundary = (
        layer_range.first if after_first == layer_range.first else before_end
    )
    if boundary > layer_range.first:
        earlier = stages[index - 1].layer_range.first
        stages[index - 1] = Stage(before, fleet.LayerRange(earlier, boundary))
    if boundary < layer_range.end:
        later = stages[index + 1].layer_range.end
        stages[index + 1] = Stage(after, fleet.LayerRange(boundary, later))
    del stages[index]
    return True


def _find_neighbour(
    stages: list[Stage],
    index: int,
    usable: collections.abc.Mapping[str, fleet.Server],
) -> fleet.Server | None:
    """Returns the server of a stage that can take over layers, else None.

    The server must accept new work and still hold the layers of its stage.
    """
    if not 1 <= index < len(stages):
        return None
    server = usable.get(stages[index].server.instance)
    layer_range = stages[index].layer_range
    if server is None or server.layer_range is None:
        return None
    holds = (
        server.layer_range.first <= layer_range.first
        and layer_range.end <= server.layer_range.end
    )
    return server if holds else None


def _trace_path(came_from, state) -> Path:
    """Returns the stages from the start of a search to one of its states."""
    stages = []
    while state in came_from:
        state, stage = came_from[state]
        stages.append(stage)
    return tuple(reversed(stages))
