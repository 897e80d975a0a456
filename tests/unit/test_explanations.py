"""Tests of peridotyard_daemon.request.explanations."""

import dataclasses
import json

import hypothesis
from hypothesis import strategies
import logbook
from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import links
from peridotyard_core import verdicts
from peridotyard_daemon.process import gateway
from peridotyard_daemon.request import candidates
from peridotyard_daemon.request import contexts
from peridotyard_daemon.request import explanations
from peridotyard_daemon.request import forwards
from peridotyard_daemon.request import queries
from peridotyard_daemon.request import relays
import pytest
import trio

from tests.support import cases
from tests.support import deployments
from tests.support import gateways
from tests.support import snapshots
from tests.support import virtual_clock

LAYER_RANGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 20)),
    ("b0", "b", (0, 8)),
    ("b1", "b", (8, 20)),
    ("spare", "a", (8, 20)),
)
SAFE = fleet.RetryPolicy.SAFE
EXPLAIN = "/admin/v1/explain?host=api.example&path=/chat/x"


def adapt(request, **changes):
    """Returns a request with other values of its route."""
    route = dataclasses.replace(request.route, **changes)
    return dataclasses.replace(request, route=route)


async def explain(harness, retry_policy=None, route=None, **query):
    """Returns the explanation of a request to the servers of a harness."""

    def admit(head, body, arrived_at, choose):
        del body, arrived_at
        request = harness.make_request(retry_policy)
        choose(*zip(*request.route.targets, strict=True))
        return adapt(dataclasses.replace(request, head=head), **(route or {}))

    explainer = explanations.Explainer(harness.context, admit)
    return await explainer.explain(
        explanations.Query(host="api.example", path="/chat/x", **query)
    )


async def send(harness, retry_policy=None, route=None):
    """Returns the response to the request that `explain` explains."""
    request = adapt(harness.make_request(retry_policy), **(route or {}))
    recorder = gateways.ResponseRecorder()
    if retry_policy is not None:
        await forwards.Forwarder(harness.context).handle(request, recorder)
        return recorder
    stream = relays.Stream(harness.context, harness.prober, request, recorder)
    await stream.run()
    return recorder


def list_path(explained):
    return [stage["instance"] for stage in explained["path"]]


def list_used_path(harness):
    """Returns the instances of the path of the only request that was sent."""
    texts = [
        headers["x-hop-count"]
        for item in harness.servers.values()
        for headers in item.requests
    ]
    assert len(texts) == 1
    names = {
        str(item.server.address): name for name, item in harness.servers.items()
    }
    return [names[stage.partition("=")[0]] for stage in texts[0].split(",")]


def find_row(rows, instance):
    return next(row for row in rows if row["instance"] == instance)


def open_streams():
    return gateways.open_harness(gateways.make_servers(LAYER_RANGES))


def get_server(harness, name):
    return harness.context.view.servers[name]


def suspect(harness, name):
    harness.context.view.suspect(get_server(harness, name), "silent")


def refuse(harness, name):
    harness.context.view.record_refusal(get_server(harness, name))


def leave(harness, name):
    server = dataclasses.replace(get_server(harness, name), ready=False)
    harness.context.view.apply_server(server)


def fill(harness, name, streams=1000):
    harness.context.view.apply_peer_load("other", {name: streams})


def state_wait(harness, name):
    statement = exchanges.ServerStatement(wait_s=2.0)
    harness.context.statements.record_wait(get_server(harness, name), statement)


CHANGES = {
    "suspected": suspect,
    "refusing": refuse,
    "leaving": leave,
    "full": fill,
    "stated wait": state_wait,
}


@cases.run_on_virtual_clock
async def test_path_is_explained_with_a_reason_for_each_stage():
    """Guards against a choice that an operator cannot follow."""
    async with open_streams() as harness:
        explained = await explain(harness)
        assert explained["verdict"] == {"outcome": "send"}
        assert explained["request"]["workspace"] == "north"
        rows = {row["instance"]: row for row in explained["candidates"]}
        assert set(rows) == set(harness.servers)
        for row in rows.values():
            assert row["cost_ms"] > 0
            assert row["free"] == row["capacity"]
        for stage in explained["path"]:
            assert rows[stage["instance"]]["chosen"]
            assert stage["reason"]
        zones = {row["zone"]: row["cost_ms"] for row in explained["zones"]}
        assert zones["a"] < zones["b"]
        await send(harness)
        assert list_path(explained) == list_used_path(harness)


@pytest.mark.parametrize("reason", CHANGES)
def test_server_that_is_left_out_is_listed_with_the_reason(reason):
    """Guards against an explanation that hides why a server is not used."""

    async def run():
        async with open_streams() as harness:
            CHANGES[reason](harness, "a0")
            explained = await explain(harness)
            row = find_row(explained["excluded"], "a0")
            assert row["reason"] == reason
            assert row["detail"]
            assert explained["excluded_by_reason"] == {reason: 1}
            assert list_path(explained) == ["b0", "b1"]
            missing = [row["missing_layers"] for row in explained["zones"]]
            assert missing == [["0-8"], []]
            await send(harness)
            assert list_path(explained) == list_used_path(harness)

    virtual_clock.run(run)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from([name for name, _, _ in LAYER_RANGES]),
        strategies.sampled_from(sorted(CHANGES)),
    ),
    strategies.lists(strategies.integers(0, 12), min_size=5, max_size=5),
)
def test_explained_path_is_that_of_the_next_stream(changes, loads):
    """Guards against an explanation that differs from the decision."""

    async def run():
        async with open_streams() as harness:
            view = harness.context.view
            counts = dict(zip(harness.servers, loads, strict=True))
            for name, reason in changes.items():
                if reason == "full":
                    counts[name] = 1000
                else:
                    CHANGES[reason](harness, name)
            view.apply_peer_load("other", counts)
            explained = await explain(harness)
            recorder = await send(harness)
            outcome = explained["verdict"]["outcome"]
            if recorder.status == 200:
                assert outcome == "send"
                assert list_path(explained) == list_used_path(harness)
                return
            assert recorder.status == 503
            assert outcome in ("wait", "reject")
            name = "if_not_in_time" if outcome == "wait" else "verdict"
            assert explained[name]["code"].encode() in recorder.body

    virtual_clock.run(run)


def check_retry_after(described, recorder):
    """Checks that the explained times contain the one of the response."""
    headers = {name.lower(): value for name, value in recorder.headers}
    retry_after_s = float(headers[b"retry-after"])
    assert described["retry_after_least_s"] <= retry_after_s
    assert retry_after_s <= described["retry_after_most_s"]
    assert described["retry_after_least_s"] < described["retry_after_most_s"]


@cases.run_on_virtual_clock
async def test_rejection_is_explained_with_its_code_and_return_time():
    """Guards against another verdict or Retry-After than callers get."""
    async with open_streams() as harness:
        harness.context.view.apply_peer_load(
            "other", dict.fromkeys(harness.servers, 1000)
        )
        route = {"latency_objective_s": 0.0}
        for _ in range(3):
            # Each refused caller moves the time at which the next one returns.
            await check_rejection(harness, route)


async def check_rejection(harness, route):
    explained = await explain(harness, route=route)
    assert explained["verdict"]["outcome"] == "reject"
    assert explained["verdict"]["code"] == "overloaded"
    assert explained["path"] == []
    assert explained["layers_without_candidate"] == ["0-20"]
    recorder = await send(harness, route=route)
    assert recorder.status == 503
    check_retry_after(explained["verdict"], recorder)


@cases.run_on_virtual_clock
async def test_place_in_the_queue_is_explained():
    """Guards against an answer that ignores the requests that wait."""
    async with open_streams() as harness:
        loads = dict.fromkeys(harness.servers, 1000)
        harness.context.view.apply_peer_load("other", loads)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(send, harness)
            await trio.sleep(0.01)
            explained = await explain(harness)
            assert explained["verdict"] == {"outcome": "wait", "for": "room"}
            assert explained["queue"]["ahead"] == 3
            assert explained["if_not_in_time"]["code"] == "overloaded"
            urgent = await explain(harness, priority=0)
            assert urgent["queue"]["ahead"] == 0
            assert urgent["request"]["priority"] == 0
            # Waiting requests come first also if there is room.
            harness.context.view.apply_peer_load("other", {})
            explained = await explain(harness)
            assert explained["verdict"] == {"outcome": "wait", "for": "room"}


@cases.run_on_virtual_clock
async def test_want_of_room_on_the_links_is_explained():
    """Guards against free servers that are not used for no stated reason."""
    layers = [("a0", "a", (0, 10)), ("b0", "b", (10, 20))]
    async with gateways.open_harness(gateways.make_servers(layers)) as harness:
        view = harness.context.view
        service = harness.make_request().service
        explained = await explain(harness)
        assert explained["verdict"] == {"outcome": "send"}
        assert explained["chance_of_room_on_links"] == 1.0
        path = view.choose_path(service, needs_room=True)
        for _ in range(1000):
            view.record_path(service, path)
        route = {"latency_objective_s": 0.0}
        explained = await explain(harness, route=route)
        assert explained["verdict"]["code"] == "overloaded"
        assert explained["chance_of_room_on_links"] == 0.0
        assert explained["excluded"] == []
        missing = {r["zone"]: r["missing_layers"] for r in explained["zones"]}
        assert missing == {"a": ["10-20"], "b": ["0-10"]}
        recorder = await send(harness, route=route)
        assert b"overloaded" in recorder.body
        # A stream that has begun may always change zones.
        explained = await explain(harness, last_event_id=3)
        assert list_path(explained) == ["a0", "b0"]


@cases.run_on_virtual_clock
async def test_plain_server_is_explained_with_those_of_equal_cost():
    """Guards against a random choice that is presented as the only one."""
    servers = gateways.make_plain_servers(4)
    async with gateways.open_harness(servers) as harness:
        view = harness.context.view
        view.apply_peer_load("other", {"p1": 3})
        suspect(harness, "p2")
        explained = await explain(harness, SAFE)
        assert explained["verdict"] == {"outcome": "send"}
        assert explained["equal_cost"] == ["p3", "p4"]
        assert explained["server"] in explained["equal_cost"]
        row = find_row(explained["candidates"], "p1")
        assert (row["requests"], row["free"]) == (3, 3)
        assert find_row(explained["excluded"], "p2")["reason"] == "suspected"
        await send(harness, SAFE)
        used = [n for n, item in harness.servers.items() if item.requests]
        assert set(used) <= set(explained["equal_cost"])


@cases.run_on_virtual_clock
async def test_attempt_on_suspected_servers_is_explained():
    """Guards against a reported rejection where an attempt is made."""
    servers = gateways.make_plain_servers(2)
    async with gateways.open_harness(servers) as harness:
        for name in ("p1", "p2"):
            suspect(harness, name)
        explained = await explain(harness, SAFE)
        assert explained["verdict"] == {"outcome": "send"}
        assert explained["note"]
        for name in ("p1", "p2"):
            leave(harness, name)
        explained = await explain(harness, SAFE)
        assert explained["verdict"]["code"] == "backend-unavailable"
        check_retry_after(explained["verdict"], await send(harness, SAFE))


@cases.run_on_virtual_clock
async def test_stated_limit_is_explained():
    """Guards against a limited server that seems to be free."""
    servers = gateways.make_plain_servers(2)
    async with gateways.open_harness(servers) as harness:
        harness.servers["p1"].stated = ((b"Server-Limit", b"0.5"),)
        harness.servers["p2"].stated = ((b"Server-Limit", b"0.5"),)
        for _ in range(4):
            await send(harness, SAFE)
        explained = await explain(harness, SAFE)
        assert explained["verdict"]["outcome"] == "reject"
        assert explained["limits"][0]["limit_per_s"] == 0.5
        assert explained["limits"][0]["wait_s"] > 0
        assert explained["limits"][0]["age_s"] >= 0
        assert explained["excluded_by_reason"] == {"stated limit": 2}
        recorder = await send(harness, SAFE)
        assert explained["verdict"]["code"].encode() in recorder.body


@cases.run_on_virtual_clock
async def test_limit_of_the_first_server_of_a_path_is_explained():
    """Guards against a limited server that the path seems to avoid."""
    layers = [("a0", "a", (0, 20)), ("spare", "a", (0, 20))]
    async with gateways.open_harness(gateways.make_servers(layers)) as harness:
        harness.servers["a0"].stated = ((b"Server-Limit", b"0.5"),)
        while not harness.context.reservations.has_denials:
            assert (await send(harness)).status == 200
        explained = await explain(harness)
        assert list_path(explained) == ["spare"]
        assert find_row(explained["excluded"], "a0")["reason"] == "stated limit"
        for item in harness.servers.values():
            item.requests.clear()
        await send(harness)
        assert list_used_path(harness) == ["spare"]


@cases.run_on_virtual_clock
async def test_quarantined_part_of_the_prompt_is_named():
    """Guards against a rejection whose cause cannot be found."""
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(8)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        for server in harness.servers.values():
            server.fatal_part = "bad"
        for number in range(12):
            for part in ("bad", "good"):
                request = harness.make_request(
                    request_id=f"{part}{number}",
                    prompt=f"a:40,{part}:20,{number}:9",
                    body=f"{part}{number}".encode(),
                )
                if harness.context.is_quarantined(request):
                    continue
                await relays.Stream(
                    harness.context,
                    harness.prober,
                    request,
                    gateways.ResponseRecorder(),
                ).run()
        explained = await explain(harness, parts=("a", "bad", "x"))
        assert explained["verdict"]["code"] == "quarantined"
        assert [r["part"] for r in explained["quarantined_parts"]] == ["bad"]
        explained = await explain(harness, parts=("a", "good", "x"))
        assert explained["verdict"]["outcome"] == "send"


async def keep_sound(harness):
    del harness


async def fill_all(harness):
    loads = dict.fromkeys(harness.servers, 1000)
    harness.context.view.apply_peer_load("other", loads)


async def reject_some(harness):
    await fill_all(harness)
    for _ in range(2):
        assert (await send(harness)).status == 503


async def remove_path(harness):
    for name in ("a0", "b0"):
        suspect(harness, name)


async def change_zones(harness):
    """Leaves only paths over two zones, and waits for a new share of links."""
    for name in ("b0", "a1", "spare"):
        leave(harness, name)
    await send(harness)
    await trio.sleep(2 * links.INTERVAL_S)


async def serve_some(harness):
    for _ in range(3):
        await send(harness)
    refuse(harness, "a0")


@pytest.mark.parametrize(
    "prepare",
    [
        keep_sound,
        fill_all,
        reject_some,
        remove_path,
        change_zones,
        serve_some,
    ],
)
def test_explanation_of_a_stream_changes_nothing(prepare):
    """Guards against an explanation that has effects on real requests."""

    async def run():
        async with open_streams() as harness:
            await prepare(harness)
            await check_unchanged(harness, parts=("a", "b", "c"))
            await check_unchanged(harness, last_event_id=3, priority=0)

    virtual_clock.run(run)


@pytest.mark.parametrize("change", [None, "suspected", "refusing", "leaving"])
def test_explanation_of_a_plain_request_changes_nothing(change):
    """Guards against random draws and counts of requests that are not sent."""

    async def run():
        servers = gateways.make_plain_servers(3)
        async with gateways.open_harness(servers) as harness:
            harness.servers["p1"].stated = ((b"Server-Limit", b"0.5"),)
            for _ in range(4):
                await send(harness, SAFE)
            for name in harness.servers if change else ():
                CHANGES[change](harness, name)
            await check_unchanged(harness, SAFE)

    virtual_clock.run(run)


async def check_unchanged(harness, retry_policy=None, **query):
    before = snapshots.freeze(harness.context)
    with logbook.TestHandler().applicationbound() as handler:
        await explain(harness, retry_policy, **query)
    assert handler.records == []
    assert snapshots.freeze(harness.context) == before


@cases.run_on_virtual_clock
async def test_snapshot_shows_the_effects_of_a_request():
    """Guards against a comparison that overlooks the state."""
    async with open_streams() as harness:
        before = snapshots.freeze(harness.context)
        harness.context.random.random()
        after_draw = snapshots.freeze(harness.context)
        assert after_draw != before
        harness.context.metrics.increment("requests")
        assert snapshots.freeze(harness.context) != after_draw
        before = snapshots.freeze(harness.context)
        await fill_all(harness)
        assert snapshots.freeze(harness.context) != before


@cases.run_on_virtual_clock
async def test_lists_are_bounded():
    """Guards against a response whose size grows with the fleet."""
    servers = gateways.make_plain_servers(100)
    async with gateways.open_harness(servers) as harness:
        for number in range(1, 51):
            suspect(harness, f"p{number}")
        explained = await explain(harness, SAFE, rows=5)
        assert len(explained["candidates"]) == 5
        assert explained["candidates"][0]["chosen"]
        assert explained["candidates_omitted"] == 45
        assert len(explained["excluded"]) == 5
        assert explained["excluded_omitted"] == 45
        assert explained["excluded_by_reason"] == {"suspected": 50}


@cases.run_on_virtual_clock
async def test_large_fleet_is_described_in_several_steps(monkeypatch):
    """Guards against an explanation that delays all requests of an entry."""
    monkeypatch.setattr(candidates, "SERVERS_PER_STEP", 10)
    steps = 0

    async def count_steps():
        nonlocal steps
        while True:
            await trio.lowlevel.checkpoint()
            steps += 1

    servers = gateways.make_plain_servers(100)
    async with gateways.open_harness(servers) as harness:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_steps)
            await explain(harness, SAFE)
            nursery.cancel_scope.cancel()
    # The first step is that of the counting task itself.
    assert steps >= 9


@pytest.mark.parametrize(
    ("query", "expected"),
    [
        ("host=api.example", "path"),
        ("path=chat", "path"),
        ("path=/&path=/", "twice"),
        ("path=/&other=1", "other"),
        ("path=/&priority=10", "priority"),
        ("path=/&priority=-1", "priority"),
        ("path=/&rows=201", "rows"),
        ("path=/&prompt_tokens=" + 11 * "9", "prompt_tokens"),
        ("path=/&time_limit_s=nan", "time_limit_s"),
        ("path=/&parts=" + 65 * "a,", "parts"),
        ("path=/" + 5000 * "x", "characters"),
    ],
)
def test_invalid_query_is_rejected_with_the_parameter(query, expected):
    """Guards against unbounded input, and against a misspelt parameter."""
    with pytest.raises(queries.QueryError) as caught:
        explanations.Query.from_target(f"{explanations.TARGET}?{query}", "")
    assert expected in str(caught.value)


@cases.run_on_virtual_clock
async def test_one_explanation_is_sent_at_a_time():
    """Guards against operators whose requests occupy an entry."""

    class SlowRecorder(gateways.ResponseRecorder):

        async def send_complete(self, status, headers, body):
            await trio.sleep(1)
            await super().send_complete(status, headers, body)

    def admit(*_):
        return verdicts.make_not_run_failure("not-found", "No route matches.")

    async with open_streams() as harness:
        explainer = explanations.Explainer(harness.context, admit)
        slow, other = SlowRecorder(), gateways.ResponseRecorder()
        target = f"{explanations.TARGET}?path=/"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(explainer.respond, target, (), slow)
            await trio.sleep(0.5)
            await explainer.respond(target, (), other)
        assert (slow.status, other.status) == (200, 503)
        again = gateways.ResponseRecorder()
        await explainer.respond(target, (), again)
        assert again.status == 200


async def fetch(deployment, target, number=1):
    """Returns status and JSON value of a request to the metrics address."""
    data = await deployment.call(number, target=target, port=83)
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head[9:12]), json.loads(body)


def get_admitted_state(entry: gateway.Gateway):
    """Returns the state that a request changes, without that of the duties.

    The store, the probes and the messages of other entries change the state of
    a running entry at any time.
    """
    context: contexts.Context = entry.context
    counters = context.metrics.render()
    counts = [
        line
        for line in counters.splitlines()
        if line.startswith(("peridotyard_requests", "peridotyard_outcome"))
        or "retries" in line
        or "refused" in line
    ]
    return (
        counts,
        snapshots.freeze(context._budgets),
        snapshots.freeze(context._queues),
        context.view.count_in_flight(),
        context.random.getstate(),
    )


@cases.run_on_virtual_clock
async def test_entry_explains_the_choice_of_its_next_request():
    """Guards against an entry whose explanations differ from its choices."""
    layers = [("x", "a", (0, 10)), ("y", "a", (10, 20)), ("z", "a", (10, 20))]
    async with deployments.open_deployment(server_layers=layers) as deployment:
        entry = deployment.entries[0]
        for loads in ({}, {"y": 4}, {"z": 8}):
            entry.view.apply_peer_load("other", loads)
            before = get_admitted_state(entry)
            status, explained = await fetch(
                deployment, f"{EXPLAIN}&workspace=north"
            )
            assert status == 200
            assert get_admitted_state(entry) == before
            assert explained["verdict"] == {"outcome": "send"}
            assert explained["configuration"]["version"] == 3
            assert explained["ages"]["server_list_s"] < 2
            data = await deployment.call()
            assert data.startswith(b"HTTP/1.1 200")
            path = deployment.servers["x"].requests[-1]["x-hop-count"]
            addresses = [
                str(deployment.servers[name].server.address)
                for name in list_path(explained)
            ]
            assert [p.partition("=")[0] for p in path.split(",")] == addresses


@cases.run_on_virtual_clock
async def test_entry_explains_the_server_of_its_next_plain_request():
    """Guards against explanations of plain requests that do not hold."""
    async with deployments.open_deployment(plain_servers=3) as deployment:
        value = deployments.encode_routing(5, kind="safe")
        deployment.rows.put("op", "config", value)
        await trio.sleep(2)
        entry = deployment.entries[0]
        target = EXPLAIN.replace("/chat/", "/ledger/") + "&workspace=north"
        for loads in ({"p1": 2, "p2": 9}, {"p3": 2, "p2": 9}, {"p1": 90}):
            entry.view.apply_peer_load("other", loads)
            before = get_admitted_state(entry)
            _, explained = await fetch(deployment, target)
            assert get_admitted_state(entry) == before
            counts = {
                name: len(item.requests)
                for name, item in deployment.servers.items()
            }
            data = await deployment.call(target="/ledger/x")
            assert data.startswith(b"HTTP/1.1 200")
            (used,) = (
                name
                for name, item in deployment.servers.items()
                if len(item.requests) > counts[name]
            )
            assert used in explained["equal_cost"]
            if len(explained["equal_cost"]) == 1:
                assert used == explained["server"]


@cases.run_on_virtual_clock
async def test_unknown_route_and_key_are_reported_as_such():
    """Guards against an error in place of the answer that callers get."""
    async with deployments.open_deployment() as deployment:
        other = EXPLAIN.replace("/chat/x", "/other/")
        for target, code in (
            (other, "not-found"),
            (EXPLAIN, "unauthorized"),
            (f"{EXPLAIN}&workspace=south", "unauthorized"),
            (f"{EXPLAIN}&workspace=north&service=s", "not-found"),
        ):
            status, explained = await fetch(deployment, target)
            assert status == 200
            assert explained["verdict"]["outcome"] == "reject"
            assert explained["verdict"]["code"] == code
            assert explained["configuration"]["version"] == 3
        status, _ = await fetch(deployment, "/admin/v1/explain?x=1")
        assert status == 400


@cases.run_on_virtual_clock
async def test_key_is_given_as_the_token_of_the_request():
    """Guards against API keys in request targets, which proxies log."""
    async with deployments.open_deployment() as deployment:
        explainer = deployment.entries[0]._explainer
        for key, outcome in (("key-1", "send"), ("wrong", "reject")):
            recorder = gateways.ResponseRecorder()
            headers = ((b"Authorization", f"Bearer {key}".encode()),)
            await explainer.respond(EXPLAIN, headers, recorder)
            explained = json.loads(recorder.body)
            assert explained["verdict"]["outcome"] == outcome
            assert key.encode() not in recorder.body
