"""Tests of peridotyard_daemon.request.chain_explanations."""

import json

from peridotyard_daemon.request import chain_explanations
from peridotyard_daemon.request import queries
import pytest
import trio

from tests.support import entries
from tests.support import snapshots

RANGES = ((0, 2), (2, 4), (2, 4), (0, 3))


def explain(cluster, **fields):
    query = chain_explanations.Query(
        **{"workspace": "north", "model": "peri"} | fields
    )
    explained = cluster.entry.explain(query)
    return json.loads(json.dumps(explained))


def freeze(cluster):
    completions = cluster.entry.completions
    return snapshots.freeze(
        [
            completions._queues,
            completions._random,
            completions._traces,
            completions.context.selector,
            completions.context.budget,
            completions.context.table,
            cluster.entry.metrics,
        ]
    )


async def offer(cluster, **changes):
    """Changes the sidecars by name, and lets the entry know."""
    for item in cluster.sidecars:
        for name, value in changes.get(item.name, {}).items():
            setattr(item, name, value)
        item.offer()
    await trio.sleep(0.1)


@entries.with_cluster(*RANGES)
async def test_explained_chain_is_that_of_the_next_request(cluster):
    """Guards against an explanation that differs from the decision."""
    for limits in ((8, 8, 4, 2), (8, 4, 8, 2), (1, 2, 1, 50)):
        names = ("s1", "s2", "s3", "s4")
        changes = {
            name: {"limit": limit}
            for name, limit in zip(names, limits, strict=True)
        }
        await offer(cluster, **changes)
        explained = explain(cluster)
        assert explained["verdict"] == {"outcome": "send"}
        assert all(stage["reason"] for stage in explained["chain"])
        for item in cluster.sidecars:
            item.opens.clear()
        await cluster.call(cluster.make_completion(3))
        used = {item.name for item in cluster.sidecars if item.opens}
        explained_names = {s["instance"] for s in explained["chain"]}
        assert used == explained_names
        reasons = " ".join(stage["reason"] for stage in explained["chain"])
        assert "random" not in reasons
        chosen = {
            row["instance"] for row in explained["candidates"] if row["chosen"]
        }
        assert chosen == explained_names


@entries.with_cluster((0, 2), (2, 4), (2, 4))
async def test_random_choice_is_explained_as_such(cluster):
    """Guards against a random choice that is presented as the only one."""
    explained = explain(cluster)
    assert [stage["reason"] for stage in explained["chain"]] == [
        "the only candidate with layer 0",
        "one of 2 of equal cost, at random",
    ]


@entries.with_cluster(*RANGES)
async def test_servers_that_are_left_out_have_a_reason(cluster):
    """Guards against an explanation that hides why a server is not used."""
    await offer(
        cluster,
        s2={"is_draining": True},
        s3={"is_ready": False},
        s4={"limit": 1},
    )
    explained = explain(cluster)
    assert explained["verdict"]["outcome"] == "reject"
    assert explained["verdict"]["code"] == "no-capacity"
    assert explained["excluded_by_reason"] == {"not ready": 2}
    caller = await cluster.call(cluster.make_completion(3))
    assert caller.json["error"]["code"] == "no-capacity"
    retry_after_s = int(caller.headers[b"retry-after"])
    assert explained["verdict"]["retry_after_s"] == retry_after_s
    explained = explain(cluster, model="peri:tidal")
    assert explained["verdict"]["code"] == "forbidden"


@entries.with_cluster((0, 4))
async def test_place_in_the_queue_is_explained(cluster):
    """Guards against an answer that ignores full servers and requests."""
    await offer(cluster, s1={"limit": 1, "step_s": 10})
    for _ in range(3):
        cluster.start_call(cluster.make_completion(50))
        await trio.sleep(0.01)
    before = freeze(cluster)
    explained = explain(cluster)
    assert explained["verdict"] == {"outcome": "wait", "for": "capacity"}
    assert explained["queue"]["ahead"] == 2
    assert explained["if_not_in_time"]["code"] == "deadline-exceeded"
    assert explained["excluded_by_reason"] == {"full": 1}
    assert explain(cluster, priority=0)["queue"]["ahead"] == 0
    assert freeze(cluster) == before


@entries.with_cluster(*RANGES)
async def test_explanation_changes_nothing(cluster):
    """Guards against random draws and counts of requests that are not sent."""
    await cluster.call(cluster.make_completion(3))
    before = freeze(cluster)
    for fields in ({}, {"model": "other"}, {"workspace": "south"}):
        explain(cluster, **fields)
    assert freeze(cluster) == before


@entries.with_cluster((0, 4))
async def test_refusals_are_those_of_callers(cluster):
    """Guards against an error in place of the answer that callers get."""
    for fields, code in (
        ({"workspace": "south"}, "unauthorized"),
        ({"model": "other"}, "forbidden"),
        ({"prompt_tokens": 128}, "bad-request"),
        ({"max_tokens": 65}, "bad-request"),
    ):
        explained = explain(cluster, **fields)
        assert explained["verdict"]["outcome"] == "reject"
        assert explained["verdict"]["code"] == code
        assert explained["configuration"]["revision"] == 1
    cluster.entry._is_draining = True
    assert explain(cluster)["verdict"]["code"] == "draining"


@pytest.mark.parametrize(
    ("texts", "expected"),
    [
        ({"workspace": "north"}, "model"),
        ({"workspace": "", "model": "peri"}, "workspace"),
        ({"workspace": "n", "model": "m", "priority": "0"}, "priority"),
        ({"workspace": "n", "model": "m", "rows": "201"}, "rows"),
        ({"workspace": "n", "model": "m", "max_tokens": "0"}, "max_tokens"),
        ({"workspace": "n", "model": "m", "x": "1"}, "x"),
    ],
)
def test_invalid_query_is_rejected_with_the_parameter(texts, expected):
    """Guards against unbounded input, and against a misspelt parameter."""
    with pytest.raises(queries.QueryError) as caught:
        chain_explanations.Query.from_parameters(texts)
    assert expected in str(caught.value)
