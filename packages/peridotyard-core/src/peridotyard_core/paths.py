"""Selection of the servers that run the layers of a stream, across zones."""

import collections.abc
import dataclasses
import heapq

from peridotyard_core import fleet

# Growth of a stage's price with the use of its KV cache. With the third power
# a half-full server costs twice an empty one and a full one nine times, so
# that faster servers are used first and none is filled up while others idle.
KV_FILL_WEIGHT = 8.0
KV_FILL_EXPONENT = 3
# Price of leaving the entry's own zone, in token steps of the slowest card:
# less than a full server, more than the difference between cards. Load in
# other zones is known late, so a small advantage there is not worth a move.
REMOTE_ZONE_COST_STEPS = 0.6
# Share of the prompt's transfer between two zones that a token step is charged
# with. The link is shared by all streams and fills up long before it shows.
ZONE_CROSSING_SHARE = 0.5
# Share of a server's pass over all its layers that a token waits for it: one
# that arrives at any time within a pass waits for half of it.
PASS_WAIT_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Stage:
    """One server of a path and the layers that it runs.

    Attributes:
        server: The server.
        layer_range: Layers that it runs, a part of what it holds.
    """

    server: fleet.Server
    layer_range: fleet.LayerRange


Path = tuple[Stage, ...]
Servers = collections.abc.Sequence[fleet.Server]
LoadFunction = collections.abc.Callable[[fleet.Server], float]


def list_instances(path: Path) -> frozenset[str]:
    """Returns the instances of a path."""
    return frozenset(stage.server.instance for stage in path)


@dataclasses.dataclass(frozen=True)
class Planner:
    """Finds paths for one engine.

    Attributes:
        engine: The engine and its model.
        zone: Zone of the entry.
        slowness: Factor on the usual times by instance, where it is not 1.
    """

    engine: fleet.Engine
    zone: str
    slowness: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def choose_path(self, servers: Servers, load: LoadFunction) -> Path | None:
        """Returns the cheapest path over all layers, None if there is none.

        A path stays within one zone where any zone holds all layers, since
        the links between zones carry the activations of all prompts.

        Args:
            servers: Usable servers.
            load: Function from a server to its streams.
        """
        all_layers = fleet.LayerRange(0, self.engine.layers)
        by_zone: dict[str, list[fleet.Server]] = {}
        for server in servers:
            by_zone.setdefault(server.zone, []).append(server)
        best = None
        for zone, members in by_zone.items():
            found = self._search_path(members, all_layers, load)
            if found is None:
                continue
            cost, path = found
            if zone != self.zone:
                cost += self._compute_remote_cost()
            if best is None or cost < best[0]:
                best = (cost, path)
        if best is None:
            best = self._search_path(servers, all_layers, load)
        return None if best is None else best[1]

    def replace_failed_stages(
        self,
        path: Path,
        failed: frozenset[str],
        servers: Servers,
        load: LoadFunction,
    ) -> Path | None:
        """Returns the path with other servers for its failed stages.

        The other stages keep their KV cache, so they stay as they are, but for
        the neighbours of a failed stage that take over its layers where no
        other server can. The new ones are of the same zone: they read the
        whole stream so far, and for many streams at a time that takes longer
        over the links between zones than a new run in another zone.

        Args:
            path: The path in use.
            failed: Instances to replace; not the first stage's.
            servers: Usable servers.
            load: Function from a server to its streams.
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

    def estimate_cost(
        self, server: fleet.Server, layers: int, load: float
    ) -> float:
        """Returns the milliseconds of a token at a server, raised by the load.

        The wait for the server's pass is counted whatever the number of layers
        is, so that a path does not visit a server for a few of them. Each
        visited server is one more whose loss interrupts the stream.
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
        slowest_factor = max(
            (c.step_factor for c in self.engine.accelerator_types), default=1.0
        )
        return REMOTE_ZONE_COST_STEPS * slowest_factor * self.engine.step_ms

    def _compute_crossing_cost(self) -> float:
        engine = self.engine
        if not engine.zone_link_mbps:
            return 0.0
        token_ms = engine.activation_mb * 8000 / engine.zone_link_mbps
        return ZONE_CROSSING_SHARE * token_ms * engine.prompt_tokens

    def _search_path(
        self,
        servers: Servers,
        layer_range: fleet.LayerRange,
        load: LoadFunction,
        zone: str = "",
    ) -> tuple[float, Path] | None:
        """Returns the cheapest path over a range, with its price.

        Each stage runs to the end of what its server holds. The state of the
        search is the next layer and the zone of the stage before, as a change
        of zone has a price of its own.
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
    """Gives the layers of a stage to its neighbours, if they hold them.

    The first stage of a path cannot change.

    Args:
        stages: The path; changed in place.
        index: Stage that goes.
        usable: Servers that take new work, by instance.
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
    # One neighbour takes all layers where it can, so that fewer are read.
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
    """Returns the server of a stage that can change and holds its layers."""
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
    stages = []
    while state in came_from:
        state, stage = came_from[state]
        stages.append(stage)
    return tuple(reversed(stages))
