"""The peridotyardd command: starts an entry or a sidecar."""

import argparse
import sys

from peridotyard_core import errors
from peridotyard_core import settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

ROLES = {
    "entry": settings.EntrySettings,
    "sidecar": settings.SidecarSettings,
}


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="peridotyardd", description="Runs one process of peridotyard."
    )
    parser.add_argument("role", choices=sorted(ROLES))
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="INI settings file"
    )
    parser.add_argument(
        "--print-settings",
        action="store_true",
        help="print the effective settings with their origin and exit",
    )
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Runs the command and returns its exit status."""
    options = build_parser().parse_args(arguments)
    try:
        loaded = settings.read(ROLES[options.role], options.settings)
        if options.print_settings:
            print(loaded.render(), end="")
            return EXIT_OK
        return _run(options.role, loaded.settings)
    except errors.SettingsError as error:
        print(f"peridotyardd: {error}", file=sys.stderr)
        return EXIT_USAGE
    except errors.PeridotyardError as error:
        print(f"peridotyardd: {error}", file=sys.stderr)
        return EXIT_FAILED


def _run(role: str, values) -> int:
    # Imported here, so that a sidecar does not load the modules of an entry.
    from peridotyard_daemon.connection import frames  # noqa: PLC0415
    from peridotyard_daemon.process import logs  # noqa: PLC0415

    frames.require_codec()
    logs.start(values)
    if role == "entry":
        from peridotyard_daemon.process import entry as program  # noqa: PLC0415
    else:
        from peridotyard_daemon.process import sidecar as program  # noqa: PLC0415
    return program.run(values)
