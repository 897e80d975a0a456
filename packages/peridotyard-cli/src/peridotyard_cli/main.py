"""The peridotyard command."""

import argparse
import dataclasses
import importlib
import os
import pathlib
import sys

from peridotyard_core import errors

from peridotyard_cli import client

TOKEN_VARIABLE = "PERIDOTYARD_TOKEN"
DEFAULT_ADMIN_URL = "http://127.0.0.1:8081"
DEFAULT_METRICS_URL = "http://127.0.0.1:9464"
DEFAULT_REQUEST_TIMEOUT_S = 30.0

EPILOG = """\
exit status:
  0  done
  1  refused or failed
  2  usage: an argument or a settings file is wrong
  3  conflict: others changed the same objects
  4  timeout: no response, or a revision not in effect in time
"""


@dataclasses.dataclass(frozen=True)
class Command:
    """A subcommand.

    Attributes:
        help: Description in one line.
        module: Module of this package; imported only for its own subcommand,
            since the trial deployment loads far more than the others need.
        add_arguments: Function of the module that takes the parser.
        run: Function of the module that takes the options and returns the
            exit status.
    """

    help: str
    module: str
    add_arguments: str = "add_arguments"
    run: str = "run"


COMMANDS = {
    "config": Command("check and change the configuration", "configuration"),
    "status": Command("show the routing table and streams", "status"),
    "histograms": Command(
        "show the durations of requests",
        "status",
        run="run_histograms",
    ),
    "trace": Command(
        "show the trace of one request",
        "status",
        add_arguments="add_trace_arguments",
        run="run_trace",
    ),
    "fleet": Command(
        "show the servers and layers that a platform entry knows",
        "status",
        add_arguments="add_fleet_arguments",
        run="run_fleet",
    ),
    "explain": Command(
        "show where a platform entry would send a request, and why", "explain"
    ),
    "explain-model": Command(
        "show which chain a completion request would get, and why",
        "explain",
        add_arguments="add_model_arguments",
        run="run_model",
    ),
    "local": Command("run a trial deployment on this machine", "local"),
    "demo": Command("show how a stream survives a failed stage", "demo"),
}


def parse_seconds(text: str) -> float:
    """Returns the seconds of a command-line argument.

    Raises:
        argparse.ArgumentTypeError: It is not a number within the limits.
    """
    try:
        value = float(text)
    except ValueError:
        value = 0.0
    if not 0 < value <= 86400:
        raise argparse.ArgumentTypeError(
            f"{text!r}; allowed: seconds above 0, up to 86400"
        )
    return value


def add_shared_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of commands that use the administration API."""
    group = add_connection_arguments(
        parser, "--admin", DEFAULT_ADMIN_URL, "administration"
    )
    token = group.add_mutually_exclusive_group()
    token.add_argument(
        "--token",
        help=f"operator token (default: environment variable {TOKEN_VARIABLE})",
    )
    token.add_argument(
        "--token-file", metavar="FILE", help="file with the operator token"
    )


def add_connection_arguments(
    parser: argparse.ArgumentParser, flag: str, default: str, kind: str
):
    """Adds the options of commands that query an entry.

    Args:
        parser: Parser of the subcommand.
        flag: Option for the address.
        default: Default address.
        kind: Kind of the address, "administration" or "metrics".

    Returns:
        The group of options.
    """
    group = parser.add_argument_group(f"{kind} address")
    group.add_argument(
        flag,
        metavar="URL",
        dest="admin",
        default=default,
        help=f"{kind} address of an entry (default: %(default)s)",
    )
    group.add_argument(
        "--request-timeout",
        metavar="S",
        type=parse_seconds,
        default=DEFAULT_REQUEST_TIMEOUT_S,
        help="seconds to wait for each response (default: %(default)g)",
    )
    group.add_argument(
        "--json", action="store_true", help="print JSON instead of text"
    )
    return group


def read_token(options: argparse.Namespace) -> str:
    """Returns the operator token of the options or the environment.

    Raises:
        client.CommandError: No valid token was given, or its file cannot be
            read.
    """
    if options.token_file is not None:
        try:
            token = pathlib.Path(options.token_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as error:
            raise client.CommandError(
                f"--token-file: {error}", client.EXIT_USAGE
            ) from error
    else:
        token = options.token or os.environ.get(TOKEN_VARIABLE, "")
    if not token or not all("!" <= letter <= "~" for letter in token):
        raise client.CommandError(
            f"no usable operator token; give --token, --token-file or"
            f" {TOKEN_VARIABLE}: printable ASCII without spaces",
            client.EXIT_USAGE,
        )
    return token


def connect(options: argparse.Namespace) -> client.Client:
    """Returns a client for the shared options.

    Raises:
        client.CommandError: The address or the token is invalid.
    """
    return client.Client(
        options.admin, read_token(options), options.request_timeout
    )


def build_parser(command: str | None) -> argparse.ArgumentParser:
    """Returns the parser of the command line.

    Args:
        command: Subcommand whose arguments are added; the others only have
            their help line.
    """
    parser = argparse.ArgumentParser(
        prog="peridotyard",
        description="Operates peridotyard.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(
        dest="command", required=True, metavar="COMMAND"
    )
    for name, item in COMMANDS.items():
        subparser = subparsers.add_parser(
            name,
            help=item.help,
            description=f"{item.help[0].upper()}{item.help[1:]}.",
            epilog=EPILOG,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        if name == command:
            module = importlib.import_module(f"peridotyard_cli.{item.module}")
            getattr(module, item.add_arguments)(subparser)
            subparser.set_defaults(run=getattr(module, item.run))
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    arguments = sys.argv[1:] if arguments is None else arguments
    # The top level has no options with values, so the first argument that
    # names a subcommand is the subcommand.
    command = next((part for part in arguments if part in COMMANDS), None)
    try:
        options = build_parser(command).parse_args(arguments)
        return options.run(options)
    except client.CommandError as error:
        print(f"peridotyard: {error}", file=sys.stderr)
        return error.status
    except errors.SettingsError as error:
        print(f"peridotyard: {error}", file=sys.stderr)
        return client.EXIT_USAGE
    except errors.PeridotyardError as error:
        print(f"peridotyard: {error}", file=sys.stderr)
        return client.EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
