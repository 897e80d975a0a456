"""Tests of peridotyard_platform.codec and peridotyard_platform.schema."""

import contextlib
import json

import hypothesis
from hypothesis import strategies
from peridotyard_core import addresses
from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import paths
from peridotyard_platform import codec
from peridotyard_platform import schema
import pytest

from tests.support import cases
from tests.support import fleets
from tests.support import gateways
from tests.support import odd_values
from tests.support import rows

WIRE = codec.Codec()


def decode(*headers):
    return WIRE.decode_request("POST", "/a/b?c=d", headers)


def test_request_is_decoded_once_into_its_parts():
    """Guards against a header that is ignored or assigned to another field."""
    head = decode(
        (b"Host", b"API.example:8080"),
        (b"X-Attempt-Id", b"r1"),
        (b"Last-Event-Id", b"12"),
        (b"X-Token-Usage", b"1460,80"),
        (b"X-Deadline-Ms", b"20000"),
        (b"Api-Key", b"secret"),
        (b"X-Model", b"m"),
    )
    assert head.host == "api.example"
    assert head.path == "/a/b"
    assert head.request_id == "r1"
    assert head.last_event_id == 12
    assert (head.prompt_tokens, head.response_tokens) == (1460, 80)
    assert head.time_limit_s == 20
    assert head.key == "secret"
    assert (b"X-Model", b"m") in head.headers


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5c1e07a2:800,91bd3f06:410", ("5c1e07a2", "91bd3f06")),
        (b" a:1 , b:2 ", ("a", "b")),
        (b"", ()),
        (b",:5,a", ("a",)),
        (b"a:1," * 1000, ("a",) * codec.PROMPT_PARTS_LIMIT),
    ],
)
def test_parts_of_a_prompt_are_decoded(value, parts):
    """Guards against a malformed list of parts that fails a request."""
    assert decode((b"X-Prompt-Prefix", value)).prompt_parts == parts


def test_headers_of_the_entry_cannot_be_forged():
    """Guards against callers that gain access by forged headers.

    A caller that names a tenant, a path or a server itself would reach what
    its API key does not allow.
    """
    head = decode(
        (b"Host", b"a"),
        (b"X-Tenant", b"other"),
        (b"X-Hop-Count", b"1.1.1.1:1=0-80"),
        (b"X-Expect-Instance", b"i"),
        (b"X-Request-Priority", b"0"),
        (b"Api-Key", b"secret"),
        (b"Connection", b"X-Secret"),
        (b"X-Secret", b"1"),
        (b"Transfer-Encoding", b"chunked"),
    )
    assert head.headers == ((b"Host", b"a"),)


@pytest.mark.parametrize("value", [b"", b"-1", b"1e3", "٣".encode(), b"x"])
def test_malformed_numbers_count_as_absent(value):
    """Guards against malformed headers that fail a request."""
    head = decode((b"X-Deadline-Ms", value), (b"Last-Event-Id", value))
    assert head.time_limit_s is None
    assert head.last_event_id is None


def test_dispatch_is_encoded_for_the_server():
    """Guards against a server that gets a wrong path, tenant or deadline."""
    servers = gateways.make_servers([("x", "a", (0, 8)), ("y", "a", (8, 20))])
    path = tuple(paths.Stage(server, server.layer_range) for server in servers)
    dispatch = exchanges.Dispatch(servers[0], path, 1.5, "north", 4)
    headers = dict(WIRE.encode_request(decode((b"Host", b"a")), dispatch))
    assert headers[b"x-hop-count"] == b"10.0.0.1:80=0-8,10.0.0.2:80=8-20"
    assert headers[b"x-expect-instance"] == b"x"
    assert headers[b"x-deadline-ms"] == b"1500"
    assert headers[b"x-tenant"] == b"north"
    assert headers[b"last-event-id"] == b"4"


def test_response_states_whether_the_request_ran():
    """Guards against retries of a request that may have run."""
    refused = WIRE.decode_response(
        503, ((b"X-Not-Executed", b"1"), (b"At-Server", b"10.0.0.1:80"))
    )
    assert refused.not_run
    assert refused.failed_address == addresses.Address("10.0.0.1", 80)
    assert WIRE.decode_response(421, ()).not_run
    # A 503 without the header does not exclude that the request ran.
    assert not WIRE.decode_response(503, ()).not_run


def read_statement(*values: bytes) -> exchanges.ServerStatement:
    headers = tuple((b"Server-Limit", value) for value in values)
    return WIRE.decode_response(200, headers).statement


def test_limit_of_a_server_is_decoded():
    assert read_statement(b" 2.5 ").limit_per_s == 2.5
    assert read_statement(b"0").limit_per_s == 0.0
    assert read_statement(b"2", b"2") == read_statement(b"2")
    assert read_statement() == exchanges.ServerStatement()


@pytest.mark.parametrize(
    "values",
    [
        (b"",),
        (b"-1",),
        (b"nan",),
        (b"inf",),
        (b"1e999",),
        (b"1,2",),
        (b"1_0",),
        (b"\xb2",),
        (b"9" * 10240,),
        (b"1", b"2"),
    ],
)
def test_malformed_limit_is_reported_and_ignored(values):
    statement = read_statement(*values)
    assert statement.limit_per_s is None
    (description,) = statement.malformed
    assert len(description) < 80


def test_leaving_of_a_server_is_decoded():
    def read_leaving(value):
        head = WIRE.decode_response(500, ((b"Server-Leaving", value),))
        return head.statement

    assert read_leaving(b"1").is_leaving
    assert not read_leaving(b"0").is_leaving
    assert read_leaving(b"yes").malformed
    assert not read_leaving(b"yes").is_leaving


def test_wait_of_a_server_is_decoded_from_its_refusal_only():
    headers = ((b"Retry-After", b"2.5"),)
    assert WIRE.decode_response(503, headers).statement.wait_s == 2.5
    assert WIRE.decode_response(200, headers).statement.wait_s is None
    date = ((b"Retry-After", b"Fri, 04 Dec 2026 10:00:00 GMT"),)
    statement = WIRE.decode_response(503, date).statement
    assert statement.wait_s is None
    assert statement.malformed


def test_malformed_value_does_not_harm_the_others():
    headers = (
        (b"Server-Limit", b"many"),
        (b"Server-Leaving", b"1"),
        (b"Retry-After", b"1"),
    )
    statement = WIRE.decode_response(503, headers).statement
    assert statement.is_leaving
    assert statement.wait_s == 1.0
    assert len(statement.malformed) == 1


def test_limit_of_another_server_than_the_expected_one_is_ignored():
    head = WIRE.decode_response(421, ((b"Server-Limit", b"2"),))
    assert head.statement == exchanges.ServerStatement()


def test_hop_by_hop_headers_of_a_response_are_dropped():
    """Guards against forwarded hop-by-hop headers."""
    head = WIRE.decode_response(
        200,
        (
            (b"X-Server-Signature", b"s"),
            (b"Keep-Alive", b"timeout=5"),
            (b"Connection", b"keep-alive"),
            (b"Content-Length", b"3"),
        ),
    )
    assert head.signed
    assert head.headers == ((b"X-Server-Signature", b"s"),)


def test_report_is_decoded():
    """Guards against a report whose layers, load or orders are misread."""
    report = WIRE.decode_report(
        json.dumps(
            {
                "busy": True,
                "sequence": 3,
                "layers": {"from": 2, "target": 9, "version": 1},
                "pace": 2.5,
                "stalled": [{"id": "r1", "address": "10.0.0.1:80"}],
            }
        ).encode()
    )
    assert report.layer_range == fleet.LayerRange(2, 9)
    assert report.order_count == 3
    assert report.slowness == 2.5
    assert report.stalled == (("r1", addresses.Address("10.0.0.1", 80)),)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"sequence": "x"}'])
def test_malformed_report_is_an_error(body):
    """Guards against a malformed report that raises another exception."""
    with pytest.raises(ValueError, match="."):
        WIRE.decode_report(body)


def test_place_order_is_conditional():
    """Guards against a delayed older order that undoes a newer one."""
    order = json.loads(WIRE.encode_placement_order(fleet.LayerRange(3, 9), 7))
    assert (order["from"], order["target"], order["expect"]) == (3, 9, 7)


def make_config(**changes):
    value = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "host": "API.example",
                "prefix": "/a/",
                "kind": "streaming",
                "timeoutMs": 20000,
                "targetLatencyMs": 500,
                "priority": 1,
                "trafficSplit": [
                    {"service": "m", "weight": 90},
                    {"service": "n", "weight": 10},
                ],
                "maxAttempts": 2,
                "resumable": True,
                "gapAimMs": 200,
            },
            {
                "name": "deep",
                "host": "api.example",
                "prefix": "/a/b/",
                "kind": "unsafe",
                "timeoutMs": 600,
                "service": "n",
                "maxAttempts": 1,
            },
        ],
        "services": [{"name": "m"}, {"name": "n"}],
        "tenants": [{"name": "north", "apiKeys": ["k1", "k2"], "priority": 1}],
        "limits": {"maxHeaderBytes": 1000, "headerTimeoutMs": 500},
    }
    return json.dumps(value | changes).encode()


def test_configuration_is_decoded():
    """Guards against routes, tenants or limits that are read wrongly."""
    routing = schema.Schema(2.5).decode_routing(make_config())
    assert routing.version == 7
    route = routing.match("api.example", "/a/x")
    assert route.retry_policy is fleet.RetryPolicy.STREAM
    assert route.targets == (("m", 90.0), ("n", 10.0))
    assert route.event_gap_objective_s == 0.2
    deep = routing.match("api.example", "/a/b/c")
    assert deep.retry_policy is fleet.RetryPolicy.ONCE
    assert routing.match("api.example", "/b") is None
    assert routing.match("other", "/a/x") is None
    assert routing.authenticate("k2").name == "north"
    assert routing.authenticate("k3") is None
    assert routing.limits.header_bytes == 1000
    assert routing.limits.header_timeout_s == 0.5


def test_stream_that_cannot_be_resumed_runs_once():
    """Guards against resuming a stream whose route does not allow it."""
    fields = json.loads(make_config())
    fields["routes"][0]["resumable"] = False
    routing = schema.Schema(2.5).decode_routing(json.dumps(fields).encode())
    route = routing.match("api.example", "/a/x")
    assert route.retry_policy is fleet.RetryPolicy.STREAM_ONCE


# Guards against requests that are admitted with any key once the tenants have
# lost their last keys (ROUTE).
@pytest.mark.parametrize(
    "tenants",
    [
        [],
        [{"name": "north", "apiKeys": []}],
        [{"name": "north", "apiKeys": []}, {"name": "south", "apiKeys": []}],
        # Some encoders write an empty list as null, or leave it out.
        None,
        [{"name": "north", "apiKeys": None}],
        [{"name": "north"}],
    ],
)
def test_tenants_without_keys_admit_no_key(tenants):
    config = make_config(tenants=tenants)
    routing = schema.Schema(2.5).decode_routing(config)
    assert routing.needs_keys
    assert routing.authenticate("k1") is None
    assert routing.authenticate("") is None


def test_configuration_without_tenants_needs_no_key():
    """Guards against rejected requests where no keys are configured."""
    fields = json.loads(make_config())
    del fields["tenants"]
    routing = schema.Schema(2.5).decode_routing(json.dumps(fields).encode())
    assert not routing.needs_keys


# Guards against keys that nobody was given: the characters of a text, the names
# of an object, or none at all, as a request without a key has an empty one.
@pytest.mark.parametrize(
    "keys",
    ["key-north", "", {"a": 1}, {}, [1, None], ["k1", None], [""], [["k1"]], 0],
)
def test_keys_that_are_no_list_of_texts_are_an_error(keys):
    config = make_config(tenants=[{"name": "north", "apiKeys": keys}])
    with pytest.raises(ValueError, match=r"tenants\[0\]: apiKeys"):
        schema.Schema(2.5).decode_routing(config)


# Guards against admission of every key, or of none, if the tenants are no list.
@pytest.mark.parametrize(
    "tenants", ["north", "", {}, {"north": ["k1"]}, 0, [3]]
)
def test_tenants_that_are_no_list_of_objects_are_an_error(tenants):
    with pytest.raises(ValueError, match="tenants"):
        schema.Schema(2.5).decode_routing(make_config(tenants=tenants))


# Guards against routes that need no key, are run again or match every path,
# since a field with a value of another type was taken for true or empty.
@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("public", "false"),
        ("public", 1),
        ("public", []),
        ("resumable", "no"),
        ("resumable", 1),
        ("kind", None),
        ("kind", ["safe"]),
        ("prefix", ""),
        ("prefix", "/a"),
        ("prefix", "a/"),
        ("prefix", ["/a/"]),
        ("host", ""),
        ("host", None),
        ("service", 3),
    ],
)
@pytest.mark.parametrize("route", [0, 1])
def test_route_with_a_field_of_another_type_is_an_error(route, name, value):
    fields = json.loads(make_config())
    del fields["routes"][0]["trafficSplit"]
    fields["routes"][0]["service"] = "m"
    assert schema.Schema(2.5).decode_routing(json.dumps(fields).encode())
    fields["routes"][route][name] = value
    with pytest.raises(ValueError, match=rf"routes\[{route}\]: {name}"):
        schema.Schema(2.5).decode_routing(json.dumps(fields).encode())


# Guards against routes or services that are dropped, since a value of another
# type was taken for an empty list.
@pytest.mark.parametrize("name", ["routes", "services"])
@pytest.mark.parametrize("value", ["", {}, 0, "r", [None], ["r"]])
def test_lists_of_another_type_are_an_error(name, value):
    with pytest.raises(ValueError, match=name):
        schema.Schema(2.5).decode_routing(make_config(**{name: value}))


@pytest.mark.parametrize("name", ["routes", "services"])
def test_configuration_without_a_required_list_is_an_error(name):
    """Guards against an incomplete configuration that drops all routes."""
    fields = json.loads(make_config())
    del fields[name]
    with pytest.raises(ValueError, match=name):
        schema.Schema(2.5).decode_routing(json.dumps(fields).encode())


@pytest.mark.parametrize("name", ["routes", "services"])
def test_null_is_an_empty_list(name):
    """Guards against dropped routes that stay in effect."""
    routing = schema.Schema(2.5).decode_routing(make_config(**{name: None}))
    assert not getattr(routing, name)


# Guards against use of a server that a row of another writer names.
@pytest.mark.parametrize("name", ["version", "slots", "sequence", "born"])
@pytest.mark.parametrize("is_null", [False, True])
def test_row_without_a_field_that_servers_write_is_an_error(name, is_null):
    fields = json.loads(rows.encode_server(fleets.make_server("x")))
    decode = schema.Schema(2.5).decode_server
    assert decode("x", json.dumps(fields).encode(), 3).instance == "x"
    if is_null:
        fields[name] = None
    else:
        del fields[name]
    with pytest.raises(ValueError, match=name):
        decode("x", json.dumps(fields).encode(), 3)


@pytest.mark.parametrize("value", [b"", b"[]", b"{}", make_config(routes=[{}])])
def test_malformed_configuration_is_an_error(value):
    """Guards against a malformed configuration that is partly applied."""
    with pytest.raises(ValueError, match="."):
        schema.Schema(2.5).decode_routing(value)


REPORT = {
    "busy": False,
    "sequence": 3,
    "layers": {"from": 2, "target": 9},
    "running": 1,
    "queued": 1,
    "kvUsed": 10,
    "kvTotal": 20,
    "pace": 1.5,
    "stalled": [{"id": "r1", "address": "10.0.0.1:80"}],
}


@pytest.mark.parametrize("value", odd_values.DOCUMENTS)
def test_report_that_is_no_object_is_rejected(value):
    """Guards against a report that ends the process."""
    with pytest.raises(ValueError, match="."):
        WIRE.decode_report(value)


def test_report_with_an_odd_field_is_rejected_or_safe_to_use():
    """Guards against a report whose values fail where they are used."""
    assert WIRE.decode_report(json.dumps(REPORT).encode())
    for value in odd_values.list_variants(REPORT):
        with contextlib.suppress(ValueError):
            report = WIRE.decode_report(value)
            for number in (report.slowness, report.kv_used, report.kv_total):
                assert 0 <= number < float("inf")
            assert 0 <= report.order_count < 1 << 63
            order = WIRE.encode_reroute_order("r1", ())
            assert json.loads(order)
            for request_id, address in report.stalled:
                assert f"{request_id} {address}".encode()


NUMBERS = (
    b"9" * 5000,
    b"-1",
    b"1e400",
    b"nan",
    b"\xb2",
    b"\xb2\xb3",
    b"1_0",
    b"",
    b"\xff" * 100,
)


@pytest.mark.parametrize("value", NUMBERS)
def test_odd_number_in_a_head_counts_as_absent(value):
    """Guards against a header of one caller or server that ends the process."""
    head = decode(
        (b"X-Deadline-Ms", value),
        (b"Last-Event-Id", value),
        (b"X-Token-Usage", value + b"," + value),
    )
    assert head.time_limit_s is None
    assert head.last_event_id is None
    assert (head.prompt_tokens, head.response_tokens) == (0, 0)
    answer = WIRE.decode_response(503, ((b"At-Server", b"10.0.0.1:" + value),))
    assert answer.failed_address is None


_header_values = strategies.sampled_from(NUMBERS) | strategies.binary(
    max_size=30
)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    values=strategies.dictionaries(
        strategies.sampled_from(
            [
                codec.TIME_LIMIT_MS,
                codec.LAST_EVENT,
                codec.TOKEN_COUNTS,
                codec.PROMPT_PARTS,
                codec.FAILED_ADDRESS,
                codec.LIMIT,
                codec.LEAVING,
                codec.WAIT,
                b"keep-alive",
                b"connection",
                b"host",
            ]
        ),
        _header_values,
    ),
    status=strategies.integers(200, 999),
)
def test_decoding_a_head_raises_nothing(values, status):
    headers = tuple(values.items())
    decode(*headers)
    WIRE.decode_response(status, headers)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(body=strategies.binary(max_size=60))
def test_decoding_a_report_raises_only_the_documented_error(body):
    with contextlib.suppress(ValueError):
        WIRE.decode_report(body)
