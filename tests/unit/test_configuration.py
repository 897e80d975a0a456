"""Tests of peridotyard_core.configuration."""

import dataclasses
import json

from peridotyard_core import configuration
from peridotyard_core import errors
import pytest

HASH = configuration.hash_secret("key")
MODEL = configuration.Model("reference", "v1", 4, ("tuned",))
ADAPTER = configuration.Adapter("tuned", "reference", "v1")
NORTH = configuration.Workspace("north", (HASH,), ("reference",), ("tuned",))
LIMIT = configuration.Limit("north-limit", "north", 10, 5)


def build(*values):
    objects = {(configuration.KIND_NAMES[type(v)], v.name): v for v in values}
    return configuration.Configuration().replace(1, objects)


def test_objects_survive_their_json_form():
    """Guards against a field that is lost in the conversion to JSON."""
    values = (
        MODEL,
        ADAPTER,
        NORTH,
        LIMIT,
        configuration.Service("ledger", ("GET",), 60),
        configuration.PlacementRule("rule", "reference", "v1", 2, ("akl",)),
        configuration.Operator("ana", HASH, "change", "north"),
    )
    assert {type(v) for v in values} == set(configuration.KINDS.values())
    for value in values:
        text = json.dumps(configuration.render_object(value))
        assert configuration.parse_object(json.loads(text), "x") == value


@pytest.mark.parametrize(
    ("value", "place", "allowed"),
    [
        ([], "x", "JSON object"),
        ({"kind": "planet"}, "x.kind", "workspace, model"),
        ({"kind": "workspace"}, "x.name", "1 to 63 letters"),
        ({"kind": "workspace", "name": "a/b"}, "workspace/a/b.name", "letters"),
        (
            {"kind": "workspace", "name": "a", "keys": []},
            "workspace/a.keys",
            "key_hashes",
        ),
        (
            {"kind": "workspace", "name": "a", "priority": "urgent"},
            "workspace/a.priority",
            "high, normal, low",
        ),
        (
            {"kind": "workspace", "name": "a", "weight": float("nan")},
            "workspace/a.weight",
            "number from",
        ),
        (
            {"kind": "workspace", "name": "a", "models": "reference"},
            "workspace/a.models",
            "list of",
        ),
        (
            {"kind": "workspace", "name": "a", "models": ["m", "m"]},
            "workspace/a.models[1]",
            "letters",
        ),
        (
            {"kind": "model", "name": "m", "version": "v", "layers": True},
            "model/m.layers",
            "whole number from 1",
        ),
        (
            {"kind": "operator", "name": "o", "token_hash": "secret"},
            "operator/o.token_hash",
            "64 lower-case",
        ),
    ],
)
def test_invalid_objects_name_place_and_allowed_values(value, place, allowed):
    """Guards against an error that does not name the invalid value."""
    with pytest.raises(errors.ConfigurationError) as caught:
        configuration.parse_object(value, "x")
    assert caught.value.place == place
    assert allowed in caught.value.allowed


def test_stored_objects_may_have_fields_of_a_later_release():
    """Guards against processes that reject rows of a later release."""
    value = {**configuration.render_object(ADAPTER), "colour": 1}
    parsed = configuration.parse_object(value, "x", ignore_unknown=True)
    assert parsed == ADAPTER


@pytest.mark.parametrize(
    ("values", "place"),
    [
        ((NORTH, MODEL), "workspace/north.adapters[0]"),
        ((NORTH,), "workspace/north.models[0]"),
        ((ADAPTER,), "adapter/tuned.model"),
        ((LIMIT,), "limit/north-limit.workspace"),
        (
            (MODEL, ADAPTER, configuration.Model("m", "v", 1, ("tuned",))),
            "model/m.adapters[0]",
        ),
        (
            (MODEL, ADAPTER, NORTH, configuration.Workspace("a", (HASH,))),
            "workspace/north.key_hashes[0]",
        ),
    ],
)
def test_broken_references_are_rejected(values, place):
    """Guards against an accepted change that no process can apply."""
    with pytest.raises(errors.ConfigurationError) as caught:
        configuration.check_references(build(*values))
    assert caught.value.place == place


def test_complete_configuration_is_accepted():
    """Guards against a check that rejects adapters listed by their model."""
    configuration.check_references(build(MODEL, ADAPTER, NORTH, LIMIT))


def test_comparison_is_readable():
    """Guards against a change whose effect the operator cannot see."""
    before = {("workspace", "north"): NORTH, ("model", "reference"): MODEL}
    after = {
        ("workspace", "north"): dataclasses.replace(NORTH, weight=3),
        ("adapter", "tuned"): ADAPTER,
    }
    assert configuration.compare(before, after) == [
        '+ adapter/tuned model="reference" version="v1"',
        "- model/reference",
        "~ workspace/north.weight: 1 -> 3",
    ]


@pytest.mark.parametrize(
    ("value", "is_allowed"),
    [
        (dataclasses.replace(NORTH, key_hashes=("0" * 64,)), True),
        (dataclasses.replace(NORTH, adapters=(), priority="low"), True),
        (dataclasses.replace(NORTH, priority="high"), False),
        (dataclasses.replace(NORTH, weight=2), False),
        (dataclasses.replace(NORTH, models=("reference", "other")), False),
        (dataclasses.replace(LIMIT, in_flight=1), True),
        (dataclasses.replace(LIMIT, in_flight=0), False),
        (dataclasses.replace(LIMIT, workspace="south"), False),
        (configuration.Limit("south-limit", "north", 1), False),
        (configuration.Workspace("south"), False),
        (configuration.Operator("eve", HASH, "change"), False),
        (MODEL, False),
    ],
)
def test_operator_of_a_workspace_cannot_grant_itself_more(value, is_allowed):
    """Guards against a customer that raises its own share or limits."""
    south = configuration.Workspace("south")
    other = configuration.Limit("south-limit", "south", 1)
    current = build(MODEL, ADAPTER, NORTH, LIMIT, south, other)
    key = (configuration.KIND_NAMES[type(value)], value.name)
    reason = configuration.check_scope(current, {key: value}, "north")
    assert (not reason) == is_allowed
    assert configuration.check_scope(current, {key: None}, "north")
