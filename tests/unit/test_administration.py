"""Tests of request.administration."""

import json
import random

from peridotyard_core import configuration
from peridotyard_core import histograms
from peridotyard_daemon.request import administration
from peridotyard_daemon.version import replication
import pytest

from tests.support import tables
from tests.support import virtual_clock

ROOT = "root-token"


class Entry:
    """The administration API of one entry, called without a network."""

    def __init__(self, table):
        self.table = table
        self.histograms = histograms.HistogramSet()
        for workspace in ("north", "south"):
            key = histograms.Key("first_token", workspace, "normal")
            self.histograms.record(key, 0.1)

    def call(self, method, path, value=None, token=ROOT):
        """Returns status and JSON value of one request."""
        return virtual_clock.run(self._call, method, path, value, token)

    async def _call(self, method, path, value, token):
        replicator = replication.Replicator(
            "e1",
            "entry",
            self.table,
            1.0,
            random=random.Random(0),
            submit_timeout_s=3,
        )
        if not self.table.is_down:
            await replicator.refresh()
        api = administration.Administration(
            replicator,
            self.histograms,
            lambda: {"streams": 0},
            {"r1": {"events": []}}.get,
            configuration.hash_secret(ROOT),
            explain=lambda query: {"model": query.model, "rows": query.rows},
        )
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        path, _, query = path.partition("?")
        sent = []

        async def receive():
            return {"type": "http.request", "body": body}

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": query.encode(),
            "headers": [(b"authorization", f"Bearer {token}".encode())],
        }
        await api(scope, receive, send)
        return sent[0]["status"], json.loads(sent[1]["body"])

    def put(self, change_id, expected, *objects, token=ROOT, delete=()):
        """Submits a change."""
        body = {
            "change_id": change_id,
            "expected": expected,
            "put": list(objects),
            "delete": list(delete),
        }
        return self.call("POST", "/admin/v1/config/changes", body, token)


def make_operator(name, role, workspace=""):
    token_hash = configuration.hash_secret(f"{name}-token")
    value = configuration.Operator(name, token_hash, role, workspace)
    return configuration.render_object(value)


@pytest.fixture
def entry():
    made = Entry(tables.MemoryTable())
    status, response = made.put(
        "c1",
        {
            "workspace/north": 0,
            "workspace/south": 0,
            "operator/reader": 0,
            "operator/writer": 0,
            "operator/bound": 0,
        },
        {"kind": "workspace", "name": "north"},
        {"kind": "workspace", "name": "south"},
        make_operator("reader", "read"),
        make_operator("writer", "change"),
        make_operator("bound", "change", "north"),
    )
    assert (status, response["revision"]) == (200, 1)
    return made


def put_weight(entry, name, token, weight=0.5):
    return entry.put(
        "c2",
        {f"workspace/{name}": 1},
        {"kind": "workspace", "name": name, "weight": weight},
        token=token,
    )


@pytest.mark.parametrize(
    ("name", "token", "status"),
    [
        ("north", "", 401),
        ("north", "guess", 401),
        ("north", "reader-token", 403),
        ("north", "writer-token", 200),
        ("north", "bound-token", 200),
        ("south", "bound-token", 403),
    ],
)
def test_roles_decide_who_may_change_what(entry, name, token, status):
    """Guards against an operator who exceeds its role."""
    got, response = put_weight(entry, name, token)
    assert got == status
    if status != 200:
        assert response["error"]["verdict"] == "not-run"
        assert len(entry.table.rows) == 8


def test_bound_operator_cannot_grant_itself_more(entry):
    """Guards against a workspace that raises its own share or role."""
    assert put_weight(entry, "north", "bound-token", 9)[0] == 403
    for expected, value in (
        (1, {**make_operator("bound", "change"), "workspace": ""}),
        (0, make_operator("new", "change")),
    ):
        key = f"operator/{value['name']}"
        status, _ = entry.put("c3", {key: expected}, value, token="bound-token")
        assert status == 403


def test_bound_operator_sees_only_its_workspace(entry):
    """Guards against showing one customer the data of others."""
    _, response = entry.call("GET", "/admin/v1/config", token="bound-token")
    names = [item["name"] for item in response["objects"]]
    assert names == ["bound", "north"]
    _, response = entry.call("GET", "/admin/v1/histograms", token="bound-token")
    assert [item["workspace"] for item in response["histograms"]] == ["north"]
    for path in ("status", "config/changes", "traces/r1"):
        status, _ = entry.call("GET", f"/admin/v1/{path}", token="bound-token")
        assert status == 403


def test_conflict_shows_both_versions(entry):
    """Guards against an operator who cannot see what others changed."""
    put_weight(entry, "north", ROOT)
    status, response = entry.put(
        "c3",
        {"workspace/north": 1},
        {"kind": "workspace", "name": "north", "weight": 7},
    )
    assert status == 409
    (conflict,) = response["error"]["conflicts"]
    assert conflict["object"] == "workspace/north"
    assert (conflict["expected"], conflict["actual"]) == (1, 2)
    assert conflict["submitted"]["weight"] == 7
    assert conflict["current"]["weight"] == 0.5


NORTH = {"kind": "workspace", "name": "north"}


@pytest.mark.parametrize(
    ("body", "status", "place", "allowed"),
    [
        (b"{", 400, None, None),
        ([], 400, "body", "JSON object"),
        ({"puts": []}, 400, "puts", "change_id, expected"),
        ({"put": {}}, 400, "put", "list"),
        ({"put": [NORTH]}, 400, "change_id", "letters"),
        ({"change_id": "c"}, 400, "put", "at least one"),
        (
            {"change_id": "c", "put": [NORTH]},
            400,
            "expected.workspace/north",
            "0 if it is absent",
        ),
        (
            {"change_id": "c", "put": [NORTH], "expected": {"model/m": 0}},
            400,
            "expected.model/m",
            "objects of put and delete",
        ),
        (
            {
                "change_id": "c",
                "put": [NORTH],
                "expected": {"workspace/north": "1"},
            },
            400,
            "expected.workspace/north",
            "revision",
        ),
        (
            {"change_id": "c", "put": [{**NORTH, "models": ["m"]}]}
            | {"expected": {"workspace/north": 1}},
            422,
            "workspace/north.models[0]",
            "no model exists",
        ),
        ({"change_id": "c", "delete": ["north"]}, 422, "delete[0]", "kind/"),
    ],
)
def test_bad_change_names_place_and_allowed(
    entry, body, status, place, allowed
):
    """Guards against input that is accepted in part, or refused unexplained."""
    got, response = entry.call("POST", "/admin/v1/config/changes", body)
    assert got == status
    if place:
        assert response["error"]["place"] == place
        assert allowed in response["error"]["allowed"]
    assert len(entry.table.rows) == 8


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/admin/v1/", 404),
        ("GET", "/config", 404),
        ("GET", "/admin/v1/traces/", 404),
        ("GET", "/admin/v1/traces/unknown", 404),
        ("DELETE", "/admin/v1/config", 405),
        ("GET", "/admin/v1/config/changes?limit=-1", 400),
        ("GET", "/admin/v1/config/changes?limit=%s" % ("9" * 5000), 400),
        ("GET", "/admin/v1/config/status?revision=x", 400),
    ],
)
def test_bad_request_is_refused(entry, method, path, status):
    """Guards against a wrong path or query that ends in an internal error."""
    got, response = entry.call(method, path)
    assert got == status
    assert response["error"]["allowed"]


def test_get_requests_return_the_state(entry):
    """Guards against a GET request with no response or a wrong one."""
    assert entry.call("GET", "/admin/v1/status") == (200, {"streams": 0})
    assert entry.call("GET", "/admin/v1/traces/r1") == (200, {"events": []})
    _, response = entry.call("GET", "/admin/v1/config/changes")
    (change,) = response["changes"]
    assert change["author"] == "bootstrap"
    assert change["time_s"] > 0
    assert len(change["objects"]) == 5
    _, response = entry.call("GET", "/admin/v1/config/status?revision=2")
    assert response["in_effect"] is False
    assert response["lagging"][0]["instance"] == "e1"
    _, response = entry.call("GET", "/admin/v1/config/status")
    assert response["in_effect"] is True


def test_table_outage_is_a_clear_failure(entry):
    """Guards against a change that is reported as made during an outage."""
    entry.table.is_down = True
    status, response = put_weight(entry, "north", ROOT)
    assert status == 503
    assert response["error"]["code"] == "store-unavailable"
    assert response["error"]["verdict"] == "not-run"


def test_explanations_are_for_operators_of_the_deployment(entry):
    """Guards against operators of a workspace who see servers and queues."""
    path = "/admin/v1/explain?workspace=north&model=peri&rows=5"
    for token in (ROOT, "reader-token"):
        assert entry.call("GET", path, token=token) == (
            200,
            {"model": "peri", "rows": 5},
        )
    for token, status in (("bound-token", 403), ("guess", 401)):
        assert entry.call("GET", path, token=token)[0] == status
    for query in ("", "?workspace=north", "?workspace=n&model=m&other=1"):
        status, response = entry.call("GET", f"/admin/v1/explain{query}")
        assert status == 400
        assert response["error"]["code"] == "bad-request"
