"""Encoded values that another program may write, and that are hard to read."""

import json

DEPTH = 30000
DIGITS = 5000

# JSON texts that stand for any value.
TEXTS = (
    "null",
    "true",
    "-1",
    "0.5",
    "1e400",
    "-1e400",
    "NaN",
    "Infinity",
    "9223372036854775808",
    "1" + "0" * 400,
    "1" * DIGITS,
    '""',
    '"text"',
    r'"\ud800"',
    r'"a\u0000b"',
    r'"a\r\nb"',
    "[]",
    "[1]",
    "[{}]",
    "{}",
    "[" * DEPTH + "]" * DEPTH,
)
# Complete values that no reader accepts.
DOCUMENTS = (
    b"",
    b"\xff",
    b"3",
    b"NaN",
    b"[" * DEPTH,
    b'{"a":' * DEPTH,
    b"1" * DIGITS,
    b"\x00" * 100,
)


def list_variants(fields: dict) -> list[bytes]:
    """Returns encoded objects in each of which one field has an odd value.

    Fields of nested objects are replaced as well.
    """
    variants = []
    for path in list_paths(fields):
        # The mark is replaced in the encoded object, as some of the texts have
        # no value in Python.
        encoded = json.dumps(replace(fields, path, "MARK"))
        variants += [encoded.replace('"MARK"', text).encode() for text in TEXTS]
    return variants


def list_paths(value, path: tuple = ()) -> list[tuple]:
    """Returns the keys that lead to each field and item of a JSON value."""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return [path]
    paths = [path] if path else []
    for name, item in items:
        paths += list_paths(item, (*path, name))
    return paths


def replace(value, path: tuple, new):
    """Returns a JSON value with the part at a path replaced."""
    if not path:
        return new
    name, *rest = path
    if isinstance(value, list):
        return [
            replace(item, tuple(rest), new) if number == name else item
            for number, item in enumerate(value)
        ]
    return value | {name: replace(value[name], tuple(rest), new)}
