"""Tests of peridotyard_core.pipelines."""

import random

from peridotyard_core import pipelines
import pytest


def make_offer(name, first, end, **fields):
    return pipelines.StageOffer(name, name, "m", "1", first, end, **fields)


def describe(chain):
    return chain and [
        (stage.offer.instance, stage.first_layer, stage.end_layer)
        for stage in chain
    ]


def make_selector():
    return pipelines.LeastLoadSelector(random.Random(0))


@pytest.mark.parametrize(
    ("ranges", "expected"),
    [
        ([(0, 4), (4, 8)], [("0", 0, 4), ("1", 4, 8)]),
        ([(4, 8), (0, 6)], [("1", 0, 6), ("0", 6, 8)]),
        ([(0, 9)], [("0", 0, 8)]),
        ([(0, 4), (5, 8)], None),
        ([(1, 8)], None),
        ([], None),
    ],
)
def test_chain_covers_the_model_without_gaps(ranges, expected):
    """Guards against layers that run twice or not at all.

    Requirement R1 of docs/design.md.
    """
    offers = [make_offer(str(i), *layers) for i, layers in enumerate(ranges)]
    assert describe(make_selector().select_chain(offers, 8)) == expected


def test_least_loaded_servers_are_selected():
    """Guards against a selection that ignores load, rate or limit."""
    offers = [
        make_offer("busy", 0, 8, load=3, limit=8),
        make_offer("idle", 0, 8, load=1, limit=8),
        make_offer("full", 0, 8, load=1, limit=1),
    ]
    assert make_selector().select_chain(offers, 8)[0].offer.instance == "idle"
    offers = [
        make_offer("slow", 0, 8, tokens_per_s=10),
        make_offer("fast", 0, 8, load=2, tokens_per_s=100),
    ]
    assert make_selector().select_chain(offers, 8)[0].offer.instance == "fast"


def test_equal_servers_are_all_selected():
    """Guards against entries that all choose the same server."""
    offers = [make_offer(name, 0, 8) for name in "abcd"]
    selector = make_selector()
    chosen = {
        selector.select_chain(offers, 8)[0].offer.instance for _ in range(50)
    }
    assert chosen == set("abcd")


@pytest.mark.parametrize(
    ("spares", "expected"),
    [
        ([("s", 0, 8)], [("a", 0, 3), ("s", 3, 5), ("c", 5, 8)]),
        (
            [("s", 2, 4), ("t", 4, 6)],
            [("a", 0, 3), ("s", 3, 4), ("t", 4, 5), ("c", 5, 8)],
        ),
        # The neighbour's engine holds layer 3 as well, but not layer 4.
        ([("s", 4, 8)], None),
    ],
)
def test_only_the_failed_stage_is_replaced(spares, expected):
    """Guards against a recovery that replaces stages which still work."""
    chain = tuple(
        pipelines.ChainStage(make_offer(name, first, end + 1), first, end)
        for name, first, end in [("a", 0, 3), ("b", 3, 5), ("c", 5, 8)]
    )
    offers = [make_offer(*spare) for spare in spares]
    offers += [stage.offer for stage in chain]
    found = make_selector().replace_stage(chain, 1, offers)
    assert describe(found) == expected


def test_neighbour_takes_over_layers_without_a_spare():
    """Guards against a failed recovery although a neighbour has the layers."""
    chain = tuple(
        pipelines.ChainStage(make_offer(name, 0, 8), first, end)
        for name, first, end in [("a", 0, 4), ("b", 4, 8)]
    )
    replace = make_selector().replace_stage
    assert describe(replace(chain, 0, [])) == [("b", 0, 8)]
    assert describe(replace(chain, 1, [])) == [("a", 0, 8)]


def test_estimated_costs_are_those_of_the_selection():
    """Guards against explained costs that do not decide."""
    offers = [
        make_offer("busy", 0, 8, load=3, limit=8),
        make_offer("idle", 0, 8, load=1, limit=8),
        make_offer("full", 0, 8, load=1, limit=1),
    ]
    selector = make_selector()
    costs = selector.estimate_costs(offers)
    assert set(costs) == {"busy", "idle"}
    chosen = selector.select_chain(offers, 8)[0].offer.address
    assert min(costs, key=costs.get) == chosen
    assert selector.estimate_costs([offers[2]]) == {}
