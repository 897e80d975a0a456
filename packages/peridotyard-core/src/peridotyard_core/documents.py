"""Checked reading of JSON documents that other programs have written.

Every function raises `ValueError` for whatever it does not accept, and nothing
else, however large or deeply nested the document is.
"""

import json
import typing

# Limits of the integers in messages between entries.
MAX_INT32 = (1 << 31) - 1
MAX_INT64 = (1 << 63) - 1
# Objects and lists of one document. An empty one has two bytes and takes 64
# bytes of memory, so that 4 MB of them would take 90 MB. A configuration of
# 2,800 workspaces has about 10,000.
MAX_CONTAINERS = 1 << 17
# Characters of a rejected value that are shown in the error.
SHOWN_LENGTH = 40

REQUIRED: typing.Any = object()


def parse(value: bytes) -> dict:
    """Returns the fields of a JSON object.

    Raises:
        ValueError: The value is not a JSON object.
    """
    if value.count(b"{") + value.count(b"[") > MAX_CONTAINERS:
        raise ValueError(f"more than {MAX_CONTAINERS} objects and lists")
    try:
        fields = json.loads(value, parse_constant=_reject_constant)
    except RecursionError as error:
        raise ValueError("too deeply nested") from error
    if not isinstance(fields, dict):
        raise ValueError("not a JSON object")
    return fields


def read_text(fields: dict, name: str, default: str = REQUIRED) -> str:
    """Returns a text without control characters and surrogates.

    A field that is null counts as missing, here and in the other functions.

    Args:
        fields: Fields of an object.
        name: Name of the field.
        default: Value if the field is missing; it must not be missing without.

    Raises:
        ValueError: The field is missing or malformed.
    """
    value = fields.get(name)
    if value is None and default is not REQUIRED:
        return default
    if isinstance(value, str) and value.isprintable():
        return value
    raise _make_error(name, value, "printable text")


def read_integer(
    fields: dict,
    name: str,
    least: int,
    most: int,
    default: typing.Any = REQUIRED,
) -> int:
    """Returns an integer between two limits; see `read_text`.

    Raises:
        ValueError: The field is missing or malformed.
    """
    value = fields.get(name)
    if value is None and default is not REQUIRED:
        return default
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is int and least <= value <= most:
        return value
    raise _make_error(name, value, f"an integer from {least} to {most}")


def read_number(
    fields: dict,
    name: str,
    least: float,
    most: float,
    default: typing.Any = REQUIRED,
) -> float:
    """Returns a number between two limits; see `read_text`.

    Raises:
        ValueError: The field is missing or malformed.
    """
    value = fields.get(name)
    if value is None and default is not REQUIRED:
        return default
    # The comparison comes first, as a large integer is no float.
    if type(value) in (int, float) and least <= value <= most:
        return float(value)
    raise _make_error(name, value, f"a number from {least:g} to {most:g}")


def read_boolean(fields: dict, name: str) -> bool:
    """Returns a boolean, False if the field is missing; see `read_text`.

    Raises:
        ValueError: The field is malformed.
    """
    value = fields.get(name)
    if value is None:
        return False
    if isinstance(value, bool):
        return value
    raise _make_error(name, value, "true or false")


def read_object(fields: dict, name: str) -> dict:
    """Returns an object, empty if the field is missing; see `read_text`.

    Raises:
        ValueError: The field is malformed.
    """
    value = fields.get(name)
    if value is None:
        return {}
    if isinstance(value, dict):
        return value
    raise _make_error(name, value, "an object")


def read_objects(fields: dict, name: str) -> list[dict]:
    """Returns a list of objects, empty if the field is missing.

    Some encoders write an empty list as null.

    Raises:
        ValueError: The field is malformed.
    """
    value = fields.get(name)
    if value is None:
        return []
    if isinstance(value, list) and all(isinstance(v, dict) for v in value):
        return value
    raise _make_error(name, value, "a list of objects")


def read_texts(fields: dict, name: str) -> list[str]:
    """Returns a list of non-empty texts, empty if the field is missing.

    Raises:
        ValueError: The field is malformed.
    """
    value = fields.get(name)
    if value is None:
        return []
    if isinstance(value, list) and all(map(_is_name, value)):
        return value
    raise _make_error(name, value, "a list of non-empty printable texts")


def check_present(fields: dict, *names: str) -> None:
    """Checks that fields are present, though they may be null.

    Raises:
        ValueError: A field is missing.
    """
    for name in names:
        if name not in fields:
            raise ValueError(f"{name} is missing")


def _is_name(value: typing.Any) -> bool:
    return isinstance(value, str) and value != "" and value.isprintable()


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f"{name} is not a number")


def _make_error(name: str, value: typing.Any, allowed: str) -> ValueError:
    # The representation of an object or list may be long or too deeply nested.
    if isinstance(value, (dict, list)):
        shown = type(value).__name__
    else:
        shown = repr(value)[:SHOWN_LENGTH]
    return ValueError(f"{name} = {shown}; allowed: {allowed}")
