"""Random changes of inputs, drawn from a seed."""

import json
import random

from tests.support import odd_values

MAX_CHANGES = 4
# Bytes that separate parts of the inputs, which are inserted more often.
SEPARATORS = (
    b'"',
    b"{",
    b"[",
    b"]",
    b":",
    b",",
    b"\r\n",
    b"\n\n",
    b"id: ",
    b"-",
)


def mutate(source: random.Random, data: bytes) -> bytes:
    """Returns a changed copy of an input."""
    if source.random() < 0.5:
        data = _replace_field(source, data)
    for _ in range(source.randrange(MAX_CHANGES)):
        data = _change_bytes(source, data)
    return data


def _replace_field(source: random.Random, data: bytes) -> bytes:
    """Replaces a field of a JSON object by an odd value."""
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError):
        return data
    if not isinstance(fields, dict):
        return data
    paths = odd_values.list_paths(fields)
    if not paths:
        return data
    marked = odd_values.replace(fields, source.choice(paths), "MARK")
    text = source.choice(odd_values.TEXTS)
    return json.dumps(marked).replace('"MARK"', text).encode()


def _change_bytes(source: random.Random, data: bytes) -> bytes:
    begin = source.randrange(len(data) + 1)
    end = min(len(data), begin + source.randrange(1, 9))
    match source.randrange(5):
        case 0:
            piece = source.randbytes(end - begin)
        case 1:
            piece = b""
        case 2:
            piece = data[begin:end] * 2
        case 3:
            piece = source.choice(SEPARATORS) + data[begin:end]
        case _:
            return data[:begin]
    return data[:begin] + piece + data[end:]
