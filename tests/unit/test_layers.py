"""Tests of peridotyard_emulator.layers."""

from peridotyard_emulator import layers
import pytest


@pytest.mark.parametrize("change", ["repeat", "skip", "swap"])
def test_disorder_changes_all_later_outputs(change):
    """Guards against arithmetic that hides steps run twice or out of order."""
    right = [11, 22, 33, 44]
    wrong = {
        "repeat": [11, 22, 22, 33, 44],
        "skip": [11, 33, 44],
        "swap": [22, 11, 33, 44],
    }[change]
    first, second = layers.KvCache(0, 4), layers.KvCache(0, 4)
    first.run(right)
    second.run(wrong)
    later = range(50)
    pairs = zip(first.run(later), second.run(later), strict=True)
    assert all(a != b for a, b in pairs)


def test_stop_is_rare_and_deterministic():
    """Guards against stop tokens so frequent that most streams end early."""
    stops = [s for s in range(20000) if layers.sample(s, 1, s)[1]]
    assert 0 < len(stops) < 20
    assert all(layers.sample(s, 1, s)[1] for s in stops)
