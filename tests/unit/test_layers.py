"""Tests of layers."""

from peridotyard_emulator import layers
import pytest

PROMPT = list(b"rows 4 to 9 by the creek")


def test_split_layers_give_the_tokens_of_the_whole_model():
    """Guards against an oracle that differs from a chain of stages."""
    stages = [layers.KvCache(0, 3), layers.KvCache(3, 4), layers.KvCache(4, 8)]
    inputs, tokens = PROMPT, []
    position = 0
    while len(tokens) < 40:
        values = layers.embed(inputs)
        for stage in stages:
            values = layers.decode(layers.encode(stage.run(values)))
        position += len(inputs)
        inputs = [layers.sample(values[-1], 7, position)[0]]
        tokens += inputs
    assert tokens == layers.generate(PROMPT, 7, 40, 8)
    assert tokens != layers.generate(PROMPT, 8, 40, 8)
    assert all(32 <= token < 127 for token in tokens)


@pytest.mark.parametrize("change", ["repeat", "skip", "swap"])
def test_disorder_changes_all_later_outputs(change):
    """Guards against an arithmetic that hides a violation of R1."""
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
    """Guards against streams that end early in most tests."""
    stops = [s for s in range(20000) if layers.sample(s, 1, s)[1]]
    assert 0 < len(stops) < 20
    assert all(layers.sample(s, 1, s)[1] for s in stops)


def test_export_continues_elsewhere():
    """Guards against a handover that loses the cache of a layer."""
    source = layers.KvCache(2, 5)
    source.run(layers.embed(PROMPT))
    target = layers.KvCache.restore(source.export())
    assert target.length == len(PROMPT)
    assert target.run([1, 2, 3]) == source.run([1, 2, 3])
    with pytest.raises(ValueError, match="allowed"):
        layers.KvCache.restore(source.export()[:-1])
