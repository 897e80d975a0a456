"""Parameters of the queries for explanations."""

import collections.abc
import typing

# Servers of each list that are shown by default, and at most.
ROWS_DEFAULT = 20
ROWS_MAX = 200
# Largest number in a query.
NUMBER_MAX = 10**9
# Digits of that number.
NUMBER_LENGTH = 10

Parser = collections.abc.Callable[[str, str], typing.Any]


class QueryError(ValueError):
    """A query cannot be understood; the message names the parameter."""


def parse(
    items: collections.abc.Iterable[tuple[str, str]],
    parsers: collections.abc.Mapping[str, Parser],
) -> dict[str, typing.Any]:
    """Returns the parsed parameters of a query by name.

    Args:
        items: Names and texts of the parameters.
        parsers: Function that parses each allowed parameter.

    Raises:
        QueryError: A parameter is unknown, invalid or given twice.
    """
    values: dict[str, typing.Any] = {}
    for name, text in items:
        if name not in parsers:
            allowed = ", ".join(sorted(parsers))
            raise QueryError(f"{name!r} is unknown; allowed: {allowed}.")
        if name in values:
            raise QueryError(f"{name!r} is given twice.")
        values[name] = parsers[name](name, text)
    return values


def parse_text(_name: str, value: str) -> str:
    """Returns the text of a parameter."""
    return value


def parse_number(name: str, value: str) -> int:
    """Returns a number from 0 to `NUMBER_MAX`."""
    # The length is checked first, since int() rejects very long strings.
    is_number = value.isascii() and value.isdigit()
    if is_number and len(value) <= NUMBER_LENGTH and int(value) <= NUMBER_MAX:
        return int(value)
    raise QueryError(f"{name!r} is not a number from 0 to {NUMBER_MAX}.")


def parse_priority(name: str, value: str) -> int:
    """Returns a priority, from 0 to 9."""
    if not (value.isascii() and value.isdigit() and len(value) == 1):
        raise QueryError(f"{name!r} is not a number from 0 to 9.")
    return int(value)


def parse_rows(name: str, value: str) -> int:
    """Returns a number of rows, from 0 to `ROWS_MAX`."""
    number = parse_number(name, value)
    if number > ROWS_MAX:
        raise QueryError(f"{name!r} is over {ROWS_MAX}.")
    return number


def parse_seconds(name: str, value: str) -> float:
    """Returns a time above 0 and up to a day."""
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= 86400:
        raise QueryError(f"{name!r} is not above 0 and up to 86400 seconds.")
    return seconds
