"""Tests of peridotyard_core.fleet."""

import dataclasses

from peridotyard_core import fleet

from tests.support import gateways


def make_routing(route_priorities, workspace_priorities):
    """Returns a configuration, its routes and its workspaces."""
    routes = tuple(
        dataclasses.replace(
            gateways.ROUTE, prefix=f"/{number}/", priority=priority
        )
        for number, priority in enumerate(route_priorities)
    )
    workspaces = {
        f"key-{number}": fleet.Workspace(f"w{number}", priority)
        for number, priority in enumerate(workspace_priorities)
    }
    limits = fleet.CallerLimits()
    routing = fleet.Routing(1, routes, (), workspaces, limits)
    return routing, routes, list(workspaces.values())


def test_priority_of_the_route_orders_requests_of_equal_workspaces():
    """Guards against batch work that goes before callers who wait.

    Where every workspace has a priority of its own, those of the routes were
    not used at all.
    """
    routing, routes, workspaces = make_routing((0, 1, 2), (0, 1))
    ranks = [
        [routing.rank(route, workspace) for route in routes]
        for workspace in workspaces
    ]
    assert ranks == [[0, 1, 2], [3, 4, 5]]


def test_priority_of_the_route_counts_without_one_of_the_workspace():
    """Guards against workspaces without a priority that go first or last."""
    routing, routes, workspaces = make_routing((0, 2), (1, None))
    first, last = routes
    with_priority, without = workspaces
    ranks = [
        routing.rank(first, without),
        routing.rank(first, with_priority),
        routing.rank(last, with_priority),
        routing.rank(last, without),
    ]
    assert ranks == sorted(ranks)
    assert len(set(ranks)) == 4
    assert routing.rank(first, None) == ranks[0]


def test_many_priorities_share_the_ranks_in_order():
    """Guards against ranks that backend servers do not know."""
    routing, routes, workspaces = make_routing(range(8), range(8))
    ranks = [
        routing.rank(route, workspace)
        for workspace in workspaces
        for route in routes
    ]
    assert ranks == sorted(ranks)
    assert set(ranks) == set(range(fleet.RANKS))
