"""The subcommands explain and explain-model."""

import argparse
import collections.abc
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
MODEL_PARAMETERS = {
    "prompt-tokens": "length of the prompt, tokens (default: 1)",
    "max-tokens": "limit of generated tokens",
    "priority": "priority to assume: high, normal or low",
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
    # The API key is sent as the token, since targets may be logged.
    key = _read_key(options.key_file)
    entry = client.Client(options.admin, key, options.request_timeout)
    return _print_explanation(entry, query, PARAMETERS, options)


def add_model_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of explain-model."""
    parser.add_argument(
        "workspace", metavar="WORKSPACE", help="name of the workspace"
    )
    parser.add_argument(
        "model", metavar="MODEL", help="name of the model, or MODEL:ADAPTER"
    )
    for name, text in MODEL_PARAMETERS.items():
        parser.add_argument(f"--{name}", help=text)
    main.add_shared_arguments(parser)


def run_model(options: argparse.Namespace) -> int:
    """Prints which chain a completion request would get now and why."""
    query = {"workspace": options.workspace, "model": options.model}
    entry = main.connect(options)
    return _print_explanation(entry, query, MODEL_PARAMETERS, options)


def _print_explanation(
    entry: client.Client,
    query: dict[str, str],
    parameters: collections.abc.Iterable[str],
    options: argparse.Namespace,
) -> int:
    """Prints the explanation of a request.

    Args:
        entry: Client of the entry.
        query: Required parameters of the query.
        parameters: Options that are sent with the query if they are given.
        options: Options of the command.
    """
    for name in parameters:
        parameter = name.replace("-", "_")
        value = getattr(options, parameter)
        if value is not None:
            query[parameter] = value
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
