"""Tests of peridotyard_platform.settings."""

from peridotyard_core import addresses
from peridotyard_core import errors
from peridotyard_platform import settings
import pytest

FILE = """
node: "front-1"
ip: "10.1.0.40"
zone: "superior-north"
listen:
  front: "10.1.0.40:8227"
  ready: "10.1.0.40:8220"
  control: "10.1.0.40:8229"
seeds: ["10.2.0.29:8229"]
unknown: 3
bounds:
  graceS: 8
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  budgetExtra: 202
provider:
  address: "10.200.1.7:8223"
"""


def read(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    return settings.read(str(path))


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    """Guards against a settings file of a later platform that is rejected."""
    values = read(tmp_path, FILE)
    assert values.gateway.zone == "superior-north"
    assert values.gateway.callers == addresses.Address("10.1.0.40", 8227)
    assert values.gateway.seeds == (addresses.Address("10.2.0.29", 8229),)
    assert values.gateway.retry_reserve == 202
    assert values.stall_s == 2.5


@pytest.mark.parametrize(
    ("old", "new", "place"),
    [
        ('zone: "superior-north"', "", "zone"),
        ('zone: "superior-north"', "zone: 3", "zone"),
        ('"10.1.0.40:8227"', '"front:80"', "[listen] front"),
        ("graceS: 8", "graceS: -1", "[bounds] graceS"),
        ("graceS: 8", "graceS: true", "[bounds] graceS"),
        ("graceS: 8", "graceS: .inf", "[bounds] graceS"),
        ("graceS: 8", "graceS: 1" + "0" * 400, "[bounds] graceS"),
        ("graceS: 8", "graceS: 1.0e+300", "[bounds] graceS"),
        ("graceS: 8", "graceS: [[1]]", "[bounds] graceS"),
        ("budgetWindowS: 10", "budgetWindowS: 0", "[bounds] budgetWindowS"),
        ("budgetWindowS: 10", "budgetWindowS: -5", "[bounds] budgetWindowS"),
        ("budgetWindowS: 10", "budgetWindowS: .nan", "[bounds] budgetWindowS"),
        ("budgetWindowS: 10", "budgetWindowS: 1.0e-9", "budgetWindowS"),
        ("budgetExtra: 202", "budgetExtra: 1.0e+300", "[bounds] budgetExtra"),
        ("retryBudgetRatio: 0.2", "retryBudgetRatio: -1", "retryBudgetRatio"),
        ('"10.1.0.40:8227"', '"10.1.0.40:99999"', "[listen] front"),
        ('address: "10.200.1.7:8223"', "other: 1", "[provider] address"),
        ('["10.2.0.29:8229"]', "5", "seeds"),
    ],
)
def test_wrong_field_is_named_with_what_is_allowed(tmp_path, old, new, place):
    """Guards against errors that do not help to correct the settings file."""
    with pytest.raises(errors.SettingsError) as caught:
        read(tmp_path, FILE.replace(old, new))
    assert place in str(caught.value)
    assert "allowed" in str(caught.value)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "[]",
        "a: [",
        "\x00",
        "a: " + "[" * 5000 + "]" * 5000,
        "a: " + "1" * 5000,
        "a: 2026-13-45",
        "a: !!bool x",
        "a: !!float x",
        "? [1]\n: 2",
        "a: &a [*a]",
    ],
)
def test_file_that_is_no_mapping_is_an_error(tmp_path, text):
    """Guards against an unreadable file that ends in another exception."""
    with pytest.raises(errors.SettingsError):
        read(tmp_path, text)


def test_missing_file_is_an_error():
    """Guards against a start without a settings file."""
    with pytest.raises(errors.SettingsError):
        settings.read("/nonexistent")


# Guards against a reload that stops the event loop for a second, since the
# scanner looks ahead through all brackets of a malformed file.
@pytest.mark.parametrize("text", ["[" * 1000, "a: " + "{" * 1000 + "}" * 1000])
def test_deeply_nested_brackets_are_rejected_by_their_depth(tmp_path, text):
    with pytest.raises(errors.SettingsError, match="nested more than 16 deep"):
        read(tmp_path, text)


def test_nested_brackets_of_a_valid_file_are_read(tmp_path):
    """Guards against a limit of the depth that rejects a valid file."""
    nested = "extra: " + "[" * 16 + "]" * 16 + "\n"
    assert read(tmp_path, FILE + nested).gateway.zone == "superior-north"
