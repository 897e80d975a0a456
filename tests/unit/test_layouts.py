"""Tests of peridotyard_core.layouts."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import fleet
from peridotyard_core import layouts

from tests.support import cases
from tests.support import fleets

COUNTS = strategies.integers(0, 12)


def check_memory(servers, layer_ranges, engine):
    for server in servers:
        layer_range = layer_ranges.get(server.instance)
        if layer_range is not None:
            accelerator_type = engine.find_accelerator_type(
                server.accelerator_type
            )
            assert (
                layer_range.size * engine.layer_mb <= accelerator_type.memory_mb
            )
            assert 0 <= layer_range.first < layer_range.end <= engine.layers


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(fast=COUNTS, wide=COUNTS, small=COUNTS)
def test_plan_covers_each_layer_if_the_accelerators_can_hold_them(
    fast, wide, small
):
    """Guards against a plan with a layer that no server holds.

    A zone with such a layer has no complete path.
    """
    engine = fleets.make_engine()
    servers = fleets.make_zone("a", fast, wide, small)
    # Fewer than the 19, 12 and 7 layers that fit at `MIN_STREAM_CAPACITY`.
    capacity = fast * 17 + wide * 10 + small * 6
    layer_ranges = layouts.plan_group(servers, engine)
    check_memory(servers, layer_ranges, engine)
    if capacity >= engine.layers:
        assert not layouts.list_uncovered_ranges(
            layer_ranges.values(), engine.layers
        )


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    fast=strategies.integers(1, 4),
    wide=strategies.integers(3, 8),
    small=strategies.integers(4, 9),
    data=strategies.data(),
)
def test_loss_of_any_server_is_repaired_by_spares(fast, wide, small, data):
    """Guards against a server loss that spare servers do not repair.

    Moving the layers of servers in use would interrupt their streams.
    """
    engine = fleets.make_engine()
    servers = fleets.make_zone("a", fast, wide, small)
    layer_ranges = layouts.plan_group(servers, engine)
    lost = data.draw(strategies.sampled_from(sorted(layer_ranges)))
    remaining = [server for server in servers if server.instance != lost]
    remaining_ranges = {
        name: layer_range
        for name, layer_range in layer_ranges.items()
        if name != lost
    }
    changes = layouts.repair_group(remaining, remaining_ranges, engine)
    after = remaining_ranges | changes
    check_memory(remaining, after, engine)
    # A layer and its KV cache take less than 2300 MB at `MIN_STREAM_CAPACITY`.
    capacity = sum(
        int(
            engine.find_accelerator_type(server.accelerator_type).memory_mb
            / 2300
        )
        for server in remaining
    )
    if capacity >= engine.layers + 20:
        assert not layouts.list_uncovered_ranges(after.values(), engine.layers)


def test_repair_without_a_gap_changes_nothing():
    """Guards against needless orders to servers.

    Each order causes a load of weights and removes the copy that the server
    held before.
    """
    engine = fleets.make_engine()
    servers = fleets.make_zone("a", 2, 4, 8)
    layer_ranges = layouts.plan_group(servers, engine)
    assert layouts.repair_group(servers, layer_ranges, engine) == {}


def test_new_server_gets_a_copy_and_moves_no_other():
    """Guards against a new server that causes others to load layers."""
    engine = fleets.make_engine()
    servers = fleets.make_zone("a", 2, 4, 8)
    layer_ranges = layouts.plan_group(servers, engine)
    late = fleets.make_server("late", "a", accelerator_type="small")
    changes = layouts.repair_group([*servers, late], layer_ranges, engine)
    assert list(changes) == ["late"]


def test_zone_that_cannot_hold_the_model_joins_another():
    """Guards against a zone whose layers no path can use.

    The servers of a zone that cannot hold the model are useful only together
    with those of another zone.
    """
    engine = fleets.make_engine()
    large = fleets.make_zone("a", 2, 6, 6)
    tiny = fleets.make_zone("b", 0, 2, 1)
    groups = layouts.group_zones(large + tiny, engine)
    assert len(groups) == 1
    assert len(groups[0]) == len(large) + len(tiny)


def test_two_small_zones_hold_one_copy_together():
    """Guards against two small zones of which neither has a complete path."""
    engine = fleets.make_engine()
    first = fleets.make_zone("a", 1, 3, 3)
    second = fleets.make_zone("b", 1, 3, 3)
    groups = layouts.group_zones(first + second, engine)
    assert len(groups) == 1
    layer_ranges = layouts.plan_group(groups[0], engine)
    assert not layouts.list_uncovered_ranges(
        layer_ranges.values(), engine.layers
    )


def test_servers_of_unknown_accelerator_types_are_left_out():
    """Guards against layers on a server whose memory is unknown.

    A server with more layers than fit in its memory crashes.
    """
    engine = fleets.make_engine()
    servers = [fleets.make_server("x", accelerator_type="unknown")]
    assert layouts.group_zones(servers, engine) == []


def test_uncovered_ranges_between_and_after_layer_ranges():
    """Guards against an uncovered layer that is not found."""
    layer_ranges = [fleet.LayerRange(2, 4), fleet.LayerRange(3, 6)]
    assert layouts.list_uncovered_ranges(layer_ranges, 8) == [
        fleet.LayerRange(0, 2),
        fleet.LayerRange(6, 8),
    ]


def test_gap_goes_to_a_copy_that_streams_can_leave():
    """Guards against a repair that waits for streams to end.

    A stream cannot change the first server of its path, so a copy of the first
    stage would load its new layers only seconds later.
    """
    engine = fleets.make_engine(layers=30)
    servers = fleets.make_zone("a", 0, 4, 0)
    layer_ranges = {
        server.instance: fleet.LayerRange(first, first + 10)
        for server, first in zip(servers, (0, 0, 10, 10), strict=True)
    }
    changes = layouts.repair_group(servers, layer_ranges, engine)
    assert list(changes.values()) == [fleet.LayerRange(20, 30)]
    (receiver,) = changes
    assert layer_ranges[receiver].first == 10


def test_group_that_barely_holds_the_model_keeps_no_spares():
    """Guards against a plan whose spares leave no memory for streams.

    Load pattern: a steady load on a small zone. With spares, each server kept
    room for six streams, and the servers rejected a third of the requests.
    """
    engine = fleets.make_engine(kv_token_mb=0.33)
    servers = fleets.make_zone("a", 1, 4, 4)
    layer_ranges = layouts.plan_group(servers, engine)
    check_memory(servers, layer_ranges, engine)
    assert not layouts.list_uncovered_ranges(
        layer_ranges.values(), engine.layers
    )
    room = min(
        engine.compute_stream_capacity(
            engine.find_accelerator_type(server.accelerator_type),
            layer_ranges[server.instance].size,
        )
        for server in servers
    )
    memory_mb = sum(
        engine.find_accelerator_type(server.accelerator_type).memory_mb
        for server in servers
    )
    stream_mb = engine.kv_token_mb * (
        engine.prompt_tokens + engine.response_tokens
    )
    bound = (memory_mb - engine.layers * engine.layer_mb) / stream_mb
    # Whole layers cannot divide the memory evenly.
    assert room >= bound / 2


def test_spares_are_kept_where_memory_allows():
    """Guards against a group with ample memory that has no spare servers."""
    engine = fleets.make_engine()
    servers = fleets.make_zone("a", 2, 6, 8)
    layer_ranges = layouts.plan_group(servers, engine)
    held = sum(layer_range.size for layer_range in layer_ranges.values())
    assert held >= engine.layers + max(r.size for r in layer_ranges.values())


STATED = strategies.builds(
    fleet.LayerRange,
    strategies.integers(-200, 200),
    strategies.integers(-200, 200),
)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    stated=strategies.dictionaries(strategies.integers(0, 9), STATED)
)
def test_layers_beyond_the_model_do_not_end_the_placement(stated):
    """Guards against placement that fails in each round.

    A server that runs another model, or another writer's row, states layers
    that the configured model does not have.
    """
    engine = fleets.make_engine()
    servers = fleets.make_zone("a", 4, 3, 3)
    names = [server.instance for server in servers]
    layer_ranges = {names[index]: held for index, held in stated.items()}
    changes = layouts.repair_group(servers, layer_ranges, engine)
    check_memory(servers, changes, engine)
    held = layer_ranges | changes
    assert not layouts.list_uncovered_ranges(held.values(), engine.layers)


def test_no_layers_beyond_the_model_are_missing():
    ranges = [fleet.LayerRange(-5, 3), fleet.LayerRange(90, 95)]
    assert layouts.list_uncovered_ranges(ranges, 20) == [
        fleet.LayerRange(3, 20)
    ]
