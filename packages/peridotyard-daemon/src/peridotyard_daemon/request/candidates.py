"""Describes the servers that a request may use, for explanations.

It reads what the decisions read and decides nothing itself.
"""

import collections
import collections.abc
import dataclasses
import typing

from peridotyard_core import fleet
from peridotyard_core import paths
import trio

from peridotyard_daemon.process import views
from peridotyard_daemon.request import contexts

# Reasons to leave a server out, besides those of `views.Exclusion`.
NO_LAYERS = "no layers"
FULL = "full"
STATED_LIMIT = "stated limit"

# Servers that are looked at in one step of the event loop, some 10 ms. All of a
# large fleet take longer than requests in progress may wait.
SERVERS_PER_STEP = 1000

Row = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Left:
    """A server that the request cannot use.

    Attributes:
        server: The server.
        reason: Why, a value of `views.Exclusion` or a constant above.
        detail: What is known about it.
    """

    server: fleet.Server
    reason: str
    detail: str


@dataclasses.dataclass(frozen=True)
class Survey:
    """The servers of a service, as one request sees them.

    Attributes:
        candidates: Servers that it can use.
        left: Servers that it cannot use.
    """

    candidates: tuple[fleet.Server, ...]
    left: tuple[Left, ...]

    def count_reasons(self) -> dict[str, int]:
        """Returns the number of servers by the reason to leave them out."""
        return dict(collections.Counter(item.reason for item in self.left))

    def describe_left(self, limit: int) -> list[Row]:
        """Returns the servers that cannot be used, at most some of them."""
        ordered = sorted(
            self.left, key=lambda item: (item.reason, item.server.instance)
        )
        return [
            _describe_server(item.server)
            | {"reason": item.reason, "detail": item.detail}
            for item in ordered[:limit]
        ]


async def survey(
    context: contexts.Context,
    service: fleet.Service,
    needs_room: bool,
    used: collections.abc.Container[str],
) -> Survey:
    """Returns which servers a request can use, and why not the others.

    Args:
        context: State of the entry.
        service: The service.
        needs_room: Whether each server must have room.
        used: Instances that were chosen; they are candidates in any case.
    """
    view = context.view
    planner = view.make_planner(service) if service.engine else None
    candidates, left = [], []
    for number, server in enumerate(list(view.servers.values()), 1):
        if not number % SERVERS_PER_STEP:
            await trio.lowlevel.checkpoint()
        if server.service != service.name:
            continue
        item = None
        if server.instance not in used:
            item = _find_reason(context, planner, server, needs_room)
        if item is None:
            candidates.append(server)
        else:
            left.append(item)
    return Survey(tuple(candidates), tuple(left))


def _find_reason(
    context: contexts.Context,
    planner: paths.Planner | None,
    server: fleet.Server,
    needs_room: bool,
) -> Left | None:
    """Returns why a request cannot use a server, None if it can."""
    view = context.view
    exclusion = view.find_exclusion(server)
    if exclusion is not None:
        detail = _describe_exclusion(view, server, exclusion)
        return Left(server, exclusion.value, detail)
    if planner is not None and server.layer_range is None:
        return Left(server, NO_LAYERS, "")
    if planner and needs_room and not view.has_room(planner, server):
        load = view.get_load(server)
        capacity = planner.estimate_stream_capacity(server)
        return Left(server, FULL, f"{load:g} of {capacity:.1f} streams")
    # The later servers of a path get no request.
    is_first = server.layer_range is None or not server.layer_range.first
    if is_first and context.reservations.is_exhausted(server):
        limit_per_s = context.statements.find_limit(server)
        wait_s = context.reservations.get_wait_s(server)
        detail = f"{limit_per_s:g} per second; free in {wait_s:.3f} s"
        return Left(server, STATED_LIMIT, detail)
    return None


def _describe_exclusion(
    view: views.View, server: fleet.Server, exclusion: views.Exclusion
) -> str:
    health, now = view.find_health(server), trio.current_time()
    match exclusion:
        case views.Exclusion.LEAVING:
            if view.is_stated_leaving(server):
                return "states that it leaves"
            return "not ready in the list"
        case views.Exclusion.SUSPECTED:
            for_s = health.suspected_until - now
            return f"{health.reason}; for {for_s:.3f} s, unless it responds"
        case views.Exclusion.REFUSING:
            return f"for {health.refused_until - now:.3f} s"
        case views.Exclusion.STATED_WAIT:
            return f"for {view.get_stated_wait_s(server):.3f} s"


def _describe_server(server: fleet.Server) -> Row:
    row: Row = {"instance": server.instance, "zone": server.zone}
    if server.layer_range is not None:
        row["layers"] = _describe_layers(server.layer_range)
    return row


def _describe_layers(layer_range: fleet.LayerRange) -> str:
    return f"{layer_range.first}-{layer_range.end}"


def describe_plain(
    view: views.View,
    candidates: collections.abc.Iterable[fleet.Server],
    chosen: collections.abc.Container[str],
    limit: int,
) -> list[Row]:
    """Returns candidates of a plain service, the cheapest first.

    Args:
        view: The view of the entry.
        candidates: The candidates.
        chosen: Instances that were chosen, which are listed first.
        limit: Number of rows.
    """
    costs = [(view.estimate_cost(server), server) for server in candidates]
    costs.sort(
        key=lambda item: (item[1].instance not in chosen, item[0]),
    )
    rows = []
    for cost_s, server in costs[:limit]:
        health, load = view.find_health(server), view.get_load(server)
        rows.append(
            {"chosen": server.instance in chosen}
            | _describe_server(server)
            | {
                "cost_ms": round(1000 * cost_s, 3),
                "requests": round(load),
                "free": max(0, server.slots - round(load)),
                "mean_ms": round(1000 * health.mean_duration_s, 3),
                "failures": round(health.failure_rate, 3),
            }
        )
    return rows


class Streams:
    """Describes servers, zones and paths of the streams of one service."""

    def __init__(self, view: views.View, service: fleet.Service):
        self._view = view
        self._planner = view.make_planner(service)
        self._layers = fleet.LayerRange(0, service.engine.layers)

    def describe_candidates(
        self,
        candidates: collections.abc.Iterable[fleet.Server],
        chosen: collections.abc.Container[str],
        limit: int,
    ) -> list[Row]:
        """Returns candidates with cost, load and free capacity, by layers.

        Args:
            candidates: The candidates.
            chosen: Instances that were chosen, which are listed first.
            limit: Number of rows.
        """
        ordered = sorted(
            candidates,
            key=lambda server: (
                server.instance not in chosen,
                server.layer_range,
                server.zone,
                self._estimate_cost(server, server.layer_range),
            ),
        )
        return [
            {"chosen": server.instance in chosen}
            | _describe_server(server)
            | self._describe_use(server)
            for server in ordered[:limit]
        ]

    def _describe_use(self, server: fleet.Server) -> Row:
        load = self._view.get_load(server)
        capacity = self._planner.estimate_stream_capacity(server)
        is_known = capacity < float("inf")
        cost_ms = self._estimate_cost(server, server.layer_range)
        return {
            "cost_ms": round(cost_ms, 3),
            "streams": round(load),
            "capacity": round(capacity, 1) if is_known else None,
            "free": max(0.0, round(capacity - load, 1)) if is_known else None,
        }

    def _estimate_cost(
        self, server: fleet.Server, layer_range: fleet.LayerRange
    ) -> float:
        return self._planner.estimate_cost(
            server, layer_range.size, self._view.get_load(server)
        )

    def describe_path(
        self,
        path: paths.Path,
        candidates: collections.abc.Collection[fleet.Server],
    ) -> list[Row]:
        """Returns the stages of a path, each with the reason for its server."""
        zones = {stage.server.zone for stage in path}
        if len(zones) == 1:
            candidates = [s for s in candidates if s.zone in zones]
        return [
            _describe_server(stage.server)
            | {
                "computes": _describe_layers(stage.layer_range),
                "cost_ms": round(
                    self._estimate_cost(stage.server, stage.layer_range), 3
                ),
                "streams": round(self._view.get_load(stage.server)),
                "reason": self._find_stage_reason(stage, candidates),
            }
            for stage in path
        ]

    def _find_stage_reason(
        self,
        stage: paths.Stage,
        candidates: collections.abc.Iterable[fleet.Server],
    ) -> str:
        layer = stage.layer_range.first
        others = [
            server
            for server in candidates
            if server.layer_range is not None
            and server.layer_range.contains(layer)
            and server.instance != stage.server.instance
        ]
        if not others:
            return f"the only candidate with layer {layer}"
        same = [
            server
            for server in others
            if server.layer_range.end == stage.server.layer_range.end
        ]
        if len(same) < len(others):
            return f"on the cheapest path; {len(others)} others hold {layer}"
        next_ms = min(self._estimate_cost(s, stage.layer_range) for s in same)
        return f"lowest cost of {1 + len(same)}; the next is {next_ms:.3f} ms"

    def describe_zones(
        self,
        candidates: collections.abc.Sequence[fleet.Server],
        not_first: frozenset[str],
    ) -> list[Row]:
        """Returns the cost of a path in each zone, or what is missing there.

        Args:
            candidates: Servers that can be used.
            not_first: Instances with which a path must not begin.
        """
        found = self._planner.find_zone_paths(
            candidates, self._view.get_load, not_first
        )
        by_zone = collections.defaultdict(list)
        for server in candidates:
            by_zone[server.zone].append(server)
        return [
            {
                "zone": zone,
                "cost_ms": round(found[zone][0], 3) if zone in found else None,
                "missing_layers": self.find_missing_layers(by_zone[zone]),
            }
            for zone in sorted(by_zone)
        ]

    def find_missing_layers(
        self, servers: collections.abc.Iterable[fleet.Server]
    ) -> list[str]:
        """Returns the ranges of layers that no server holds."""
        missing, layer = [], self._layers.first
        ranges = sorted(s.layer_range for s in servers if s.layer_range)
        for first, end in [(r.first, r.end) for r in ranges] + [
            (self._layers.end, self._layers.end)
        ]:
            if first > layer:
                missing.append(_describe_layers(fleet.LayerRange(layer, first)))
            layer = max(layer, end)
        return missing
