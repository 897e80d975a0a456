"""Tests of peridotyard_core.tokens."""

from peridotyard_core import tokens
import pytest


def test_character_split_over_batches_is_decoded_once():
    """Guards against replacement characters between two chunks."""
    decoder = tokens.Decoder()
    text = "né 🌲"
    parts = [decoder.feed([token]) for token in tokens.encode(text)]
    assert "".join(parts) + decoder.finish() == text
    # Control tokens have no text; a truncated character becomes U+FFFD.
    assert decoder.feed([97, 256, -1, 0xC3]) + decoder.finish() == "a\ufffd"


@pytest.mark.parametrize(
    ("stops", "text", "expected"),
    [
        (["END"], "some EEND more", "some E"),
        (["b", "abc"], "xabc", "xa"),
        (["END"], "some EN", "some EN"),
        ([], "all", "all"),
    ],
)
def test_stop_sequence_is_found_in_any_split(stops, text, expected):
    """Guards against a part of a stop sequence that is sent to the caller."""
    for size in range(1, len(text) + 1):
        scanner = tokens.StopScanner(stops)
        parts = [
            scanner.feed(text[start : start + size])
            for start in range(0, len(text), size)
        ]
        assert "".join(parts) + scanner.finish() == expected
        assert scanner.stopped == (expected != text)
