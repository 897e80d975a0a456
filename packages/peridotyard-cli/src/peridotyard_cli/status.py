"""The subcommands status, histograms, trace and fleet."""

import argparse
import json
import typing
import urllib.parse

from peridotyard_cli import client
from peridotyard_cli import main


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of status and histograms."""
    main.add_shared_arguments(parser)


def add_trace_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of trace."""
    parser.add_argument(
        "request_id",
        metavar="REQUEST_ID",
        help="value of the x-request-id header of the response",
    )
    main.add_shared_arguments(parser)


def add_fleet_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of fleet."""
    main.add_connection_arguments(
        parser, "--entry", main.DEFAULT_METRICS_URL, "metrics"
    )


def run(options: argparse.Namespace) -> int:
    """Prints the routing table and the streams in flight."""
    return _print_resource(options, "status")


def run_histograms(options: argparse.Namespace) -> int:
    """Prints the percentiles of all histograms."""
    return _print_resource(options, "histograms")


def run_trace(options: argparse.Namespace) -> int:
    """Prints the trace of one request."""
    request_id = urllib.parse.quote(options.request_id, safe="")
    return _print_resource(options, f"traces/{request_id}")


def run_fleet(options: argparse.Namespace) -> int:
    """Prints routing version, servers and layers, with their ages."""
    # The metrics address is internal to the platform and needs no token.
    entry = client.Client(options.admin, "-", options.request_timeout)
    print_value(entry.get("fleet"), options.json)
    return 0


def _print_resource(options: argparse.Namespace, path: str) -> int:
    print_value(main.connect(options).get(path), options.json)
    return 0


def print_value(value: typing.Any, as_json: bool) -> None:
    """Prints a JSON value as JSON or as text with tables."""
    print(json.dumps(value, indent=2) if as_json else render(value))


def render(value: typing.Any) -> str:
    """Returns a JSON value as text: lists of objects become tables."""
    if not isinstance(value, dict):
        return _render_part("", value)
    return "\n".join(_render_part(name, part) for name, part in value.items())


def _render_part(name: str, part: typing.Any) -> str:
    title = f"{name}:" if name else ""
    if isinstance(part, list) and part and isinstance(part[0], dict):
        return f"{title}\n{render_table(part)}".lstrip("\n")
    if isinstance(part, dict) and part:
        lines = [f"  {key}: {_render_cell(item)}" for key, item in part.items()]
        return "\n".join([title, *lines])
    return f"{title} {_render_cell(part)}".strip()


def render_table(rows: list[dict]) -> str:
    """Returns rows as text in aligned columns, with a heading.

    Args:
        rows: Values by column; a column that a row lacks is empty.
    """
    names = list(dict.fromkeys(name for row in rows for name in row))
    lines = [names]
    lines += [[_render_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(names))]
    return "\n".join(
        "  "
        + "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _render_cell(value: typing.Any) -> str:
    match value:
        case None | "" | []:
            return "-"
        case dict():
            items = [f"{key}={_render_cell(v)}" for key, v in value.items()]
            return ",".join(items) or "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:.3f}"
        case str() | int():
            return str(value)
        case list() if all(isinstance(item, (str, int)) for item in value):
            return ",".join(str(item) for item in value)
        case _:
            return json.dumps(value)
