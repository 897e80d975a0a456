"""The emulator's command, which runs one emulated server."""

import argparse
import importlib
import sys

from peridotyard_core import errors
from peridotyard_core import settings
from peridotyard_daemon.process import logs

EXIT_FAILED = 1
EXIT_USAGE = 2

ROLES = ("engine", "instances", "objects", "service", "table", "weights")


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m peridotyard_emulator",
        description="Runs one emulated server.",
    )
    parser.add_argument("role", choices=ROLES)
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="INI settings file"
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    options = build_parser().parse_args(arguments)
    # Only the module of the role is loaded, not those of the other servers.
    module = importlib.import_module(f"peridotyard_emulator.{options.role}")
    try:
        loaded = settings.read(module.Settings, options.settings)
        logs.start(loaded.settings)
        return module.run(loaded.settings)
    except errors.SettingsError as error:
        print(f"peridotyard_emulator: {error}", file=sys.stderr)
        return EXIT_USAGE
    except (errors.PeridotyardError, OSError) as error:
        print(f"peridotyard_emulator: {error}", file=sys.stderr)
        return EXIT_FAILED
