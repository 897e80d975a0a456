"""Properties of the decoders of values that others have written."""

import contextlib
import json

import hypothesis
from hypothesis import strategies
from peridotyard_core import addresses
from peridotyard_core import documents
from peridotyard_core import errors
from peridotyard_core import leases
from peridotyard_daemon.process import presence
from peridotyard_platform import settings
import pytest

from tests.support import cases
from tests.support import odd_values

_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**400, -(10**400), 1 << 63])
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda children: strategies.lists(children, max_size=3)
    | strategies.dictionaries(
        strategies.text(max_size=3), children, max_size=3
    ),
    max_leaves=8,
)


def build_objects(*names: str) -> strategies.SearchStrategy:
    return strategies.dictionaries(strategies.sampled_from(names), _values)


@pytest.mark.parametrize("item", [b"[]", b"{}", b'{"a":1}'])
def test_document_of_very_many_objects_is_rejected(item):
    """Guards against a small document that takes 20 times its size."""
    values = b",".join([item] * (documents.MAX_CONTAINERS - 2))
    assert documents.parse(b'{"a":[' + values + b"]}")
    with pytest.raises(ValueError, match="more than"):
        documents.parse(b'{"a":[' + values + b",[]]}")


@pytest.mark.parametrize("value", odd_values.DOCUMENTS)
def test_value_that_is_no_object_is_rejected(value):
    """Guards against an exception other than the documented one."""
    with pytest.raises(ValueError, match="."):
        documents.parse(value)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(fields=build_objects("a"))
def test_fields_are_in_their_range_or_rejected(fields):
    with contextlib.suppress(ValueError):
        assert documents.read_text(fields, "a").isprintable()
    with contextlib.suppress(ValueError):
        assert 3 <= documents.read_integer(fields, "a", 3, 9) <= 9
    with contextlib.suppress(ValueError):
        assert 3 <= documents.read_number(fields, "a", 3, 9) <= 9
    with contextlib.suppress(ValueError):
        assert isinstance(documents.read_object(fields, "a"), dict)
    with contextlib.suppress(ValueError):
        assert isinstance(documents.read_objects(fields, "a"), list)


_hosts = strategies.sampled_from(["10.0.0.1", "::1", "[::1]", "fe80::1%"])


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    host=_hosts | strategies.text(max_size=5), port=strategies.text(max_size=6)
)
def test_address_is_valid_or_rejected(host, port):
    """Guards against an address that fails when it is connected to."""
    with contextlib.suppress(ValueError):
        address = addresses.Address.from_text(f"{host}:{port}")
        assert 0 <= address.port <= addresses.MAX_PORT
        address.host.encode("ascii")
        assert addresses.Address.from_text(str(address)) == address


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    entry=build_objects("clock_s", "address", "zone", "capacity"),
    lease=build_objects("holder", "until_s"),
)
def test_rows_of_entries_are_valid_or_rejected(entry, lease):
    """Guards against a row that ends all entries that read it."""
    value = json.dumps({"address": "10.0.0.1:82", "clock_s": 1} | entry)
    with contextlib.suppress(ValueError):
        at, decoded = presence._decode_entry(value.encode())
        assert 0 <= at <= leases.MAX_CLOCK_S
        assert 0 <= decoded.capacity <= presence.MAX_CAPACITY
    record = leases.Record.from_json(json.dumps(lease).encode())
    assert record is None or 0 <= record.until_s <= leases.MAX_CLOCK_S


BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 5,
}


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    changes=build_objects("node", "zone", "listen", "seeds", "provider"),
    bounds=build_objects(*BOUNDS, "stall_ms"),
)
def test_settings_are_valid_or_rejected(changes, bounds):
    """Guards against a reload that ends the process."""
    fields = {
        "node": "front-1",
        "ip": "10.1.0.40",
        "zone": "a",
        "listen": dict.fromkeys(("front", "ready", "control"), "10.1.0.40:80"),
        "provider": {"address": "10.200.1.7:80"},
        "bounds": BOUNDS | bounds,
    }
    with contextlib.suppress(errors.SettingsError):
        values = settings.decode("settings", fields | changes).gateway
        assert settings.MIN_WINDOW_S <= values.retry_window_s <= settings.MAX_S
        assert 0 <= values.grace_s <= settings.MAX_S
