"""The subcommand explain."""

import argparse
import pathlib
import urllib.parse

from peridotyard_cli import client
from peridotyard_cli import main
from peridotyard_cli import status

# Token without an API key; the entry ignores it.
NO_KEY = "-"
# Query parameters and their options; the entry checks the values.
PARAMETERS = {
    "workspace": "name of the workspace, instead of its API key",
    "service": "service to explain if the route has several",
    "parts": "identifiers of the parts of the prompt, separated by commas",
    "prompt-tokens": "length of the prompt, tokens",
    "response-tokens": "largest length of the response, tokens",
    "priority": "priority to assume, 0 (most urgent) to 9",
    "time-limit-s": "time that the caller waits, seconds",
    "last-event-id": "id of the event after which a stream continues",
    "rows": "servers to show in each list (default: 20)",
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of explain."""
    parser.add_argument("host", metavar="HOST", help="host name of the request")
    parser.add_argument("path", metavar="PATH", help="path of the request")
    for name, text in PARAMETERS.items():
        parser.add_argument(f"--{name}", help=text)
    parser.add_argument(
        "--key-file", metavar="FILE", help="file with the API key"
    )
    main.add_connection_arguments(
        parser, "--entry", main.DEFAULT_METRICS_URL, "metrics"
    )


def run(options: argparse.Namespace) -> int:
    """Prints where a request would be sent now and why, without sending it."""
    query = {"host": options.host, "path": options.path}
    for name in PARAMETERS:
        parameter = name.replace("-", "_")
        value = getattr(options, parameter)
        if value is not None:
            query[parameter] = value
    # The API key is sent as the token, since targets may be logged.
    key = _read_key(options.key_file)
    entry = client.Client(options.admin, key, options.request_timeout)
    target = f"explain?{urllib.parse.urlencode(query)}"
    status.print_value(entry.get(target), options.json)
    return 0


def _read_key(file: str | None) -> str:
    """Returns the API key of a file, `NO_KEY` without a file.

    Raises:
        client.CommandError: The file cannot be read or has no usable key.
    """
    if file is None:
        return NO_KEY
    try:
        key = pathlib.Path(file).read_text().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise client.CommandError(
            f"--key-file: {error}", client.EXIT_USAGE
        ) from error
    if not key or not all("!" <= letter <= "~" for letter in key):
        raise client.CommandError(
            "--key-file: allowed: printable ASCII without spaces",
            client.EXIT_USAGE,
        )
    return key
