"""Tests of peridotyard_platform.schema with values of other writers."""

import contextlib
import json

import h11
import hypothesis
from hypothesis import strategies
from peridotyard_core import documents
from peridotyard_core import fleet
from peridotyard_platform import codec
from peridotyard_platform import schema
import pytest

from tests.support import cases
from tests.support import odd_values
from tests.support import rows

SERVER = {
    "service": "m",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "kind": "wide",
    "sequence": 3,
    "born": 5,
    "layers": {"from": 0, "target": 4},
}
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "x",
            "prefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 1000,
            "targetLatencyMs": 100,
            "gapAimMs": 100,
            "priority": 1,
            "maxAttempts": 2,
            "resumable": True,
            "public": False,
            "trafficSplit": [{"service": "m", "weight": 1}],
        }
    ],
    "services": [
        {
            "name": "m",
            "maxConnections": 3,
            "engine": rows.make_engine(8, 10000.0),
        }
    ],
    "tenants": [{"name": "t", "apiKeys": ["k"], "priority": 1}],
    "limits": {
        "maxHeaderBytes": 1000,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 100,
        "idleTimeoutMs": 100,
    },
}


def decode_server(value: bytes, key: str = "s1") -> fleet.Server:
    return schema.Schema(2.5).decode_server(key, value, 7)


def encode_server(**changes) -> bytes:
    return json.dumps(SERVER | changes).encode()


@pytest.mark.parametrize("value", odd_values.DOCUMENTS)
def test_row_that_is_no_object_is_rejected(value):
    """Guards against a process that ends with another exception."""
    with pytest.raises(ValueError, match="."):
        decode_server(value)
    with pytest.raises(ValueError, match="."):
        schema.Schema(2.5).decode_routing(value)


def test_row_with_an_odd_field_is_rejected_or_safe_to_use():
    """Guards against a row whose values fail where they are used."""
    for value in odd_values.list_variants(SERVER):
        with contextlib.suppress(ValueError):
            check_server(decode_server(value))


def check_server(server: fleet.Server) -> None:
    assert 0 <= server.slots <= documents.MAX_INT32
    assert 0 <= server.started_at_ms <= documents.MAX_INT64
    assert 0 <= server.heartbeats <= documents.MAX_INT64
    assert 0 < server.address.port < 65536
    assert server.address.host.count(".") == 3
    if server.layer_range is not None:
        first, end = server.layer_range.first, server.layer_range.end
        assert 0 <= first < end <= schema.MAX_LAYERS
    for text in (server.service, server.zone, server.accelerator_type):
        text.encode()
    headers = codec.Codec().encode_order_headers(server)
    h11.Request(method="GET", target="/", headers=[("host", "x"), *headers])


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:65536",
        "10.0.0.1:99999999999999999999",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1:-1",
        "10.0.0.1:0",
        "10.0.0.1: 80",
        "10.0.0.1:8_0",
        "10.0.0.1:\u0668\u0660",
        "10.0.0.1",
        "host:80",
        "10.0.0.999:80",
        "[::1]:80",
        "[fe80::1%\r\n]:80",
        "x" * 300 + ":80",
        "",
    ],
)
def test_address_that_no_server_can_have_is_rejected(address):
    with pytest.raises(ValueError, match="."):
        decode_server(encode_server(address=address))


@pytest.mark.parametrize(
    "key", ["", " s", "s ", "a\nb", "a\0b", "\ud800", "a\u2028b"]
)
def test_name_that_no_header_can_have_is_rejected(key):
    """Guards against requests that fail, since the name is sent with them."""
    with pytest.raises(ValueError, match="."):
        decode_server(encode_server(), key)


@pytest.mark.parametrize(
    "layers",
    [
        {"from": -1, "target": 3},
        {"from": 5, "target": 3},
        {"from": 0, "target": 1 << 40},
    ],
)
def test_impossible_layers_are_rejected(layers):
    with pytest.raises(ValueError, match="."):
        decode_server(encode_server(layers=layers))


def test_configuration_with_an_odd_field_is_rejected_or_safe_to_use():
    """Guards against a configuration that ends the process or placement."""
    assert schema.Schema(2.5).decode_routing(json.dumps(CONFIGURATION).encode())
    for value in odd_values.list_variants(CONFIGURATION):
        with contextlib.suppress(ValueError):
            check_routing(schema.Schema(2.5).decode_routing(value))


@pytest.mark.parametrize(
    ("objectives", "timeout_s"),
    [
        ({"targetLatencyMs": 100, "gapAimMs": 100}, 2.0),
        ({"targetLatencyMs": 603, "gapAimMs": 250}, 2.412),
        ({"targetLatencyMs": 500, "gapAimMs": 300}, 2.4),
        ({"targetLatencyMs": 5000, "gapAimMs": None}, 20.0),
        ({}, 4.0),
    ],
)
def test_event_timeout_follows_from_the_objectives_of_a_route(
    objectives, timeout_s
):
    """Guards against streams that are ended while their callers wait."""
    (route,) = CONFIGURATION["routes"]
    absent = ("targetLatencyMs", "gapAimMs")
    kept = {key: route[key] for key in route if key not in absent}
    value = CONFIGURATION | {"routes": [kept | objectives]}
    routing = schema.Schema(2.5).decode_routing(json.dumps(value).encode())
    assert routing.routes[0].event_timeout_s == pytest.approx(timeout_s)


def check_routing(routing: fleet.Routing) -> None:
    assert 0 <= routing.version <= documents.MAX_INT64
    for route in routing.routes:
        assert 0 <= route.timeout_s <= schema.MAX_MS
        assert 2.0 <= route.event_timeout_s < float("inf")
        assert sum(weight for _, weight in route.targets) > 0
        routing.match("x", "/a/")
    for service in routing.services.values():
        engine = service.engine
        if engine is None:
            continue
        for kind in engine.accelerator_types:
            assert 0 <= engine.compute_stream_capacity(kind, 3) < float("inf")
    workspace = routing.authenticate("k")
    if workspace is not None:
        workspace.name.encode()


_json_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda children: strategies.lists(children, max_size=3)
    | strategies.dictionaries(
        strategies.sampled_from(sorted(SERVER | CONFIGURATION))
        | strategies.text(),
        children,
        max_size=4,
    ),
    max_leaves=12,
)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(SERVER)), _json_values, max_size=3
    ),
    key=strategies.text(max_size=5),
)
def test_decoding_a_row_raises_only_the_documented_error(changes, key):
    with contextlib.suppress(ValueError):
        check_server(decode_server(encode_server(**changes), key))


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    changes=strategies.dictionaries(
        strategies.sampled_from(sorted(CONFIGURATION)), _json_values, max_size=2
    )
)
def test_decoding_a_configuration_raises_only_the_documented_error(changes):
    value = json.dumps(CONFIGURATION | changes).encode()
    with contextlib.suppress(ValueError):
        check_routing(schema.Schema(2.5).decode_routing(value))


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(value=strategies.binary(max_size=60))
def test_decoding_any_bytes_raises_only_the_documented_error(value):
    for decode in (decode_server, schema.Schema(2.5).decode_routing):
        with contextlib.suppress(ValueError):
            decode(value)


def test_large_row_of_a_server_is_rejected():
    """Guards against long texts of servers that fill the memory."""
    decoder = schema.Schema(2.5)
    row = SERVER | {"version": 1, "note": ""}
    space = schema.MAX_SERVER_BYTES - len(json.dumps(row))
    for size, is_sound in ((space, True), (space + 1, False)):
        value = json.dumps(row | {"note": "x" * size}).encode()
        if is_sound:
            assert decoder.decode_server("s1", value, 1).instance == "s1"
        else:
            with pytest.raises(ValueError, match="allowed: up to"):
                decoder.decode_server("s1", value, 1)
