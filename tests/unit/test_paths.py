"""Tests of peridotyard_core.paths."""

import dataclasses

import hypothesis
from hypothesis import strategies
from peridotyard_core import fleet
from peridotyard_core import paths

from tests.support import cases
from tests.support import fleets


def check_path(path, layers, first=0):
    """Checks that each layer is computed once, in order, by a holder."""
    layer = first
    for stage in path:
        assert stage.layer_range.first == layer
        assert stage.layer_range.end > layer
        held = stage.server.layer_range
        assert held.first <= stage.layer_range.first
        assert stage.layer_range.end <= held.end
        layer = stage.layer_range.end
    assert layer == layers
    names = [stage.server.instance for stage in path]
    assert len(names) == len(set(names))


LAYER_RANGES = strategies.tuples(
    strategies.integers(0, 19), strategies.integers(1, 12)
).map(lambda pair: fleet.LayerRange(pair[0], min(20, pair[0] + pair[1])))


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    layer_ranges=strategies.lists(LAYER_RANGES, max_size=12),
    zones=strategies.lists(
        strategies.sampled_from("abc"), min_size=12, max_size=12
    ),
    loads=strategies.lists(
        strategies.integers(0, 200), min_size=12, max_size=12
    ),
)
def test_path_runs_each_layer_once_and_exists_if_layers_are_held(
    layer_ranges, zones, loads
):
    """Guards against a path that skips or repeats a layer, or is not found."""
    engine = fleets.make_engine(layers=20)
    servers = [
        fleets.make_server(f"s{number}", zones[number], layer_range=layer_range)
        for number, layer_range in enumerate(layer_ranges)
    ]
    load = {s.instance: n for s, n in zip(servers, loads, strict=False)}
    planner = paths.Planner(engine, "a")
    path = planner.choose_path(servers, lambda s: load[s.instance])
    held = {
        layer
        for layer_range in layer_ranges
        for layer in range(layer_range.first, layer_range.end)
    }
    if len(held) < 20:
        assert path is None
    else:
        check_path(path, 20)


def test_path_stays_in_its_own_zone():
    """Guards against needless load on the links between zones.

    The activations of prompts can saturate these links.
    """
    engine = fleets.make_engine()
    servers = fleets.assign_layers(
        fleets.make_zone("a", 1, 6, 6) + fleets.make_zone("b", 3, 5, 4), engine
    )
    path = paths.Planner(engine, "a").choose_path(servers, lambda _: 0)
    assert {stage.server.zone for stage in path} == {"a"}


def test_full_zone_is_left_for_an_idle_one():
    """Guards against an entry that overloads its own zone."""
    engine = fleets.make_engine()
    servers = fleets.assign_layers(
        fleets.make_zone("a", 1, 6, 6) + fleets.make_zone("b", 1, 6, 6), engine
    )
    path = paths.Planner(engine, "a").choose_path(
        servers, lambda s: 60 if s.zone == "a" else 0
    )
    assert {stage.server.zone for stage in path} == {"b"}


def test_incomplete_zone_is_left_for_a_complete_one():
    """Guards against streams that fail since their zone lacks a layer."""
    engine = fleets.make_engine()
    servers = fleets.assign_layers(
        fleets.make_zone("a", 1, 6, 6) + fleets.make_zone("b", 1, 6, 6), engine
    )
    remaining = [
        s for s in servers if s.zone == "b" or s.layer_range.first < 30
    ]
    path = paths.Planner(engine, "a").choose_path(remaining, lambda _: 0)
    assert {stage.server.zone for stage in path} == {"b"}


def test_path_crosses_zones_if_no_zone_is_complete():
    """Guards against streams that fail although all layers are held."""
    engine = fleets.make_engine(layers=20)
    servers = [
        fleets.make_server("x", "a", layer_range=fleet.LayerRange(0, 10)),
        fleets.make_server("y", "b", layer_range=fleet.LayerRange(10, 20)),
    ]
    path = paths.Planner(engine, "a").choose_path(servers, lambda _: 0)
    check_path(path, 20)


def test_replacement_keeps_the_other_stages():
    """Guards against a replacement that changes stages which did not fail.

    A stage that stays has the KV cache of the stream; another server has to
    compute it again.
    """
    engine = fleets.make_engine(layers=30)
    first = fleets.make_server("x", layer_range=fleet.LayerRange(0, 10))
    middle = fleets.make_server("y", layer_range=fleet.LayerRange(10, 20))
    last = fleets.make_server("z", layer_range=fleet.LayerRange(20, 30))
    spares = [
        fleets.make_server("p", layer_range=fleet.LayerRange(8, 16)),
        fleets.make_server("q", layer_range=fleet.LayerRange(15, 30)),
    ]
    path = tuple(paths.Stage(s, s.layer_range) for s in (first, middle, last))
    planner = paths.Planner(engine, "a")
    repaired = planner.replace_failed_stages(
        path,
        frozenset(["y"]),
        [first, middle, last, *spares],
        lambda _: 0,
    )
    check_path(repaired, 30)
    assert [s.server.instance for s in repaired] == ["x", "p", "q", "z"]


def test_replacement_fails_if_no_server_holds_the_layers():
    """Guards against a path with a missing layer."""
    engine = fleets.make_engine(layers=20)
    first = fleets.make_server("x", layer_range=fleet.LayerRange(0, 10))
    last = fleets.make_server("y", layer_range=fleet.LayerRange(10, 20))
    path = tuple(paths.Stage(s, s.layer_range) for s in (first, last))
    planner = paths.Planner(engine, "a")
    assert (
        planner.replace_failed_stages(
            path, frozenset(["y"]), [first], lambda _: 0
        )
        is None
    )


def test_cost_rises_with_load_and_for_slower_accelerators():
    """Guards against a cost that prefers busy or slow servers."""
    planner = paths.Planner(fleets.make_engine(), "a")
    wide = fleets.make_server("w", layer_range=fleet.LayerRange(0, 8))
    fast = dataclasses.replace(wide, accelerator_type="fast")
    assert planner.estimate_cost(fast, 8, 0) < planner.estimate_cost(wide, 8, 0)
    assert planner.estimate_cost(wide, 8, 10) < planner.estimate_cost(
        wide, 8, 40
    )


def make_path(servers, *stages):
    """Returns a path of (instance, first, end)."""
    by_name = {server.instance: server for server in servers}
    return tuple(
        paths.Stage(by_name[name], fleet.LayerRange(first, end))
        for name, first, end in stages
    )


def test_neighbours_take_over_if_no_other_server_can():
    """Guards against streams that cannot leave a server.

    A server waited five seconds for its streams to leave: the only other holder
    of its layers was already in their paths.
    """
    planner = paths.Planner(fleets.make_engine(layers=40), "a")
    servers = [
        fleets.make_server("a", "a", layer_range=fleet.LayerRange(0, 14)),
        fleets.make_server("b", "a", layer_range=fleet.LayerRange(12, 18)),
        fleets.make_server("c", "a", layer_range=fleet.LayerRange(14, 23)),
        fleets.make_server("d", "a", layer_range=fleet.LayerRange(18, 24)),
        fleets.make_server("e", "a", layer_range=fleet.LayerRange(23, 40)),
    ]
    path = make_path(
        servers, ("a", 0, 14), ("b", 14, 18), ("c", 18, 23), ("d", 23, 24),
        ("e", 24, 40),
    )  # fmt: skip
    failed = frozenset(["b", "d"])
    moved = planner.replace_failed_stages(path, failed, servers, lambda _: 0)
    assert moved == make_path(
        servers, ("a", 0, 14), ("c", 14, 23), ("e", 23, 40)
    )
    # The first server of a path cannot take over layers.
    assert planner.replace_failed_stages(
        path, frozenset("c"), servers[:3], lambda _: 0
    ) is (None)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    layer_ranges=strategies.lists(LAYER_RANGES, max_size=10),
    data=strategies.data(),
)
def test_replacement_runs_each_layer_once_and_keeps_the_first_server(
    layer_ranges, data
):
    """Guards against a replacement that skips or repeats a layer."""
    planner = paths.Planner(fleets.make_engine(layers=20), "a")
    servers = [
        fleets.make_server(f"s{number}", "a", layer_range=layer_range)
        for number, layer_range in enumerate(
            [*layer_ranges, fleet.LayerRange(0, 20)]
        )
    ]
    servers += [
        fleets.make_server(
            f"t{number}", "a", layer_range=fleet.LayerRange(first, first + 5)
        )
        for number, first in enumerate((0, 5, 10, 15))
    ]
    loads = {server.instance: 0 for server in servers}
    loads[f"s{len(layer_ranges)}"] = 500
    path = planner.choose_path(servers, lambda s: loads[s.instance])
    others = [stage.server.instance for stage in path[1:]]
    if not others:
        return
    failed = data.draw(strategies.sets(strategies.sampled_from(others)))
    if data.draw(strategies.booleans()):
        servers = [s for s in servers if not s.instance.startswith("t")]
    moved = planner.replace_failed_stages(
        path, frozenset(failed), servers, lambda s: loads[s.instance]
    )
    if moved is not None:
        check_path(moved, 20)
        assert not failed & paths.list_instances(moved)
        assert moved[0] == path[0]


def test_path_does_not_visit_a_server_for_a_few_layers():
    """Guards against paths with needless servers.

    Paths of 14 servers were chosen where 11 servers held all layers. The
    failure of each server interrupts the stream, and the spare servers were
    never idle.
    """
    planner = paths.Planner(fleets.make_engine(layers=34), "a")
    servers = [
        fleets.make_server("a", "a", layer_range=fleet.LayerRange(0, 14)),
        fleets.make_server("b", "a", layer_range=fleet.LayerRange(6, 16)),
        fleets.make_server("c", "a", layer_range=fleet.LayerRange(14, 24)),
        fleets.make_server("d", "a", layer_range=fleet.LayerRange(23, 33)),
        fleets.make_server("e", "a", layer_range=fleet.LayerRange(24, 34)),
    ]
    loads = {"a": 6, "b": 0, "c": 6, "d": 0, "e": 6}
    path = planner.choose_path(servers, lambda server: loads[server.instance])
    assert [stage.server.instance for stage in path] == ["a", "c", "e"]


def test_path_of_the_cheapest_zone_is_chosen():
    """Guards against explained costs by zone that do not decide."""
    engine = fleets.make_engine(layers=20)
    servers = [
        fleets.make_server(f"{zone}{first}", zone, layer_range=layer_range)
        for zone in "abc"
        for first, layer_range in enumerate(
            (fleet.LayerRange(0, 10), fleet.LayerRange(10, 20))
        )
        if (zone, first) != ("c", 1)
    ]
    planner = paths.Planner(engine, "a")
    for loads in ({}, {"a0": 9}, {"a1": 9, "b0": 3}, {"b1": 9}):
        found = planner.find_zone_paths(
            servers, lambda s, loads=loads: loads.get(s.instance, 0)
        )
        assert set(found) == {"a", "b"}
        path = planner.choose_path(
            servers, lambda s, loads=loads: loads.get(s.instance, 0)
        )
        cheapest = min(found.values(), key=lambda item: item[0])
        assert path == cheapest[1]
