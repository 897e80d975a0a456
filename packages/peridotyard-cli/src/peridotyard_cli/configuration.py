"""The subcommand config: print, validate, submit, diff and status."""

import argparse
import contextlib
import io
import json
import pathlib
import runpy
import secrets
import time
import traceback

from peridotyard_core import configuration as configuration_module
from peridotyard_core import errors

from peridotyard_cli import client
from peridotyard_cli import main
from peridotyard_cli import status

POLL_S = 0.2
DEFAULT_WAIT_S = 60.0


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the actions of `peridotyard config` and their options."""
    subparsers = parser.add_subparsers(
        dest="action", required=True, metavar="ACTION"
    )
    actions = (
        ("print", "run FILE.py and print its JSON", run_print),
        ("validate", "check a configuration without an entry", run_validate),
        ("diff", "show what submit would change", run_diff),
        ("submit", "show the differences and make the change", run_submit),
        ("status", "show the revision of each process", run_status),
    )
    for name, text, function in actions:
        subparser = subparsers.add_parser(
            name,
            help=text,
            description=f"{text[0].upper()}{text[1:]}.",
            epilog=main.EPILOG,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        subparser.set_defaults(function=function)
        if name != "status":
            subparser.add_argument(
                "file",
                metavar="FILE",
                help="Python file that prints a configuration, or a JSON file",
            )
        if name in ("diff", "submit", "status"):
            main.add_shared_arguments(subparser)
        if name in ("diff", "submit"):
            subparser.add_argument(
                "--prune",
                action="store_true",
                help="delete objects that the file does not contain",
            )
        if name == "submit":
            _add_submit_arguments(subparser)
        if name == "status":
            _add_status_arguments(subparser)


def _add_submit_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--expect-revision",
        metavar="REVISION",
        type=int,
        help="conflict if an object of the change is newer than this revision",
    )
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="id of an earlier attempt whose outcome is unknown",
    )


def _add_status_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait",
        metavar="REVISION",
        type=int,
        help="wait until the revision is in effect in all processes",
    )
    parser.add_argument(
        "--timeout",
        metavar="S",
        type=main.parse_seconds,
        default=DEFAULT_WAIT_S,
        help="longest time for --wait, seconds (default: %(default)g)",
    )


def run(options: argparse.Namespace) -> int:
    """Runs an action of config and returns the exit status."""
    return options.function(options)


def load(path: str) -> dict[configuration_module.Key, object]:
    """Returns the objects of a configuration file, by kind and name.

    Raises:
        errors.ConfigurationError: An object is invalid.
        client.CommandError: The file cannot be read or run.
    """
    text = run_file(path) if path.endswith(".py") else _read_text(path)
    try:
        value = json.loads(text)
    except ValueError as error:
        raise client.CommandError(
            f"{path}: not JSON: {error}; allowed: the JSON that"
            " library.Configuration prints"
        ) from error
    if not isinstance(value, dict) or "objects" not in value:
        raise client.CommandError(f'{path}: allowed: {{"objects": [...]}}')
    return configuration_module.parse_objects(value["objects"], "objects")


def _read_text(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise client.CommandError(str(error)) from error


def run_file(path: str) -> str:
    """Runs an operator's Python file and returns what it printed.

    Raises:
        client.CommandError: The file cannot be read or raised an error; the
            message names the line.
    """
    output = io.StringIO()
    # Reads the file first, so that an unreadable file is reported as such and
    # not as an error of the code in it.
    _read_text(path)
    try:
        with contextlib.redirect_stdout(output):
            runpy.run_path(path, run_name="__main__")
    except SystemExit as error:
        if error.code:
            raise client.CommandError(
                f"{path}: exited with status {error.code}"
            ) from error
    except Exception as error:
        frames = traceback.extract_tb(error.__traceback__)
        lines = [f.lineno for f in frames if f.filename == path]
        if isinstance(error, SyntaxError):
            lines = [error.lineno]
        place = f"{path}:{lines[-1]}" if lines else path
        text = str(error) or "failed"
        if not isinstance(error, errors.PeridotyardError):
            text = f"{type(error).__name__}: {text}"
        raise client.CommandError(f"{place}: {text}") from error
    return output.getvalue()


def run_print(options: argparse.Namespace) -> int:
    """Prints the JSON of a configuration file."""
    _print_objects(load(options.file))
    return client.EXIT_OK


def _print_objects(objects) -> None:
    rendered = [
        configuration_module.render_object(value)
        for _, value in sorted(objects.items())
    ]
    print(json.dumps({"objects": rendered}, indent=2))


def run_validate(options: argparse.Namespace) -> int:
    """Checks a configuration file."""
    objects = load(options.file)
    empty = configuration_module.Configuration()
    configuration_module.check_references(empty.replace(1, objects))
    print(f"{options.file}: {len(objects)} objects are valid")
    return client.EXIT_OK


def run_diff(options: argparse.Namespace) -> int:
    """Shows what submit would change."""
    objects = load(options.file)
    current = _fetch_configuration(main.connect(options))
    changes = _find_changes(current, objects, options.prune)
    _print_differences(options, current, changes)
    return client.EXIT_OK


def run_submit(options: argparse.Namespace) -> int:
    """Shows the differences and makes the change."""
    objects = load(options.file)
    connection = main.connect(options)
    current = _fetch_configuration(connection)
    changes = _find_changes(current, objects, options.prune)
    _print_differences(options, current, changes)
    if not changes:
        return client.EXIT_OK
    expected = {}
    for key in changes:
        record = current.objects.get(key)
        expected[key] = record.revision if record else 0
    if options.expect_revision is not None:
        _check_expected(current, expected, options.expect_revision)
    change_id = options.change_id or secrets.token_hex(16)
    response = _post_change(connection, change_id, expected, changes)
    if options.json:
        print(json.dumps(response))
    else:
        print(f"accepted as revision {response['revision']}")
    return client.EXIT_OK


def _fetch_configuration(connection) -> configuration_module.Configuration:
    response = connection.get("config")
    records = {}
    for value in response["objects"]:
        # The entry may run a later release with fields unknown to this one.
        item = configuration_module.parse_object(
            value, "response", ignore_unknown=True
        )
        key = (value["kind"], item.name)
        records[key] = configuration_module.Record(
            *key, value["revision"], item
        )
    return configuration_module.Configuration(response["revision"], records)


def _find_changes(current, objects, prune: bool) -> dict:
    """Returns the new value of each changed object, None if it is deleted.

    Args:
        current: Configuration in effect.
        objects: Objects of the file, by kind and name.
        prune: Whether objects that the file does not contain are deleted.
    """
    current_values = {
        key: record.value for key, record in current.objects.items()
    }
    changes = {
        key: value
        for key, value in objects.items()
        if current_values.get(key) != value
    }
    if prune:
        changes |= dict.fromkeys(current_values.keys() - objects.keys())
    return changes


def _print_differences(options, current, changes) -> None:
    before = {
        key: current.objects[key].value
        for key in changes
        if key in current.objects
    }
    after = {k: value for k, value in changes.items() if value is not None}
    lines = configuration_module.compare(before, after)
    if options.json:
        value = {"revision": current.revision, "differences": lines}
        print(json.dumps(value))
        return
    print(f"differences from revision {current.revision}:")
    print("\n".join(f"  {line}" for line in lines) or "  none")


def _check_expected(current, expected, revision: int) -> None:
    later = [
        f"\n  {configuration_module.render_key(key)} at revision {actual}: "
        + json.dumps(
            configuration_module.render_object(current.objects[key].value)
        )
        for key, actual in sorted(expected.items())
        if actual > revision
    ]
    if later:
        raise client.CommandError(
            f"conflict: changed after revision {revision}:{''.join(later)}",
            client.EXIT_CONFLICT,
        )


def _post_change(connection, change_id: str, expected, changes) -> dict:
    render_key = configuration_module.render_key
    body = {
        "change_id": change_id,
        "expected": {render_key(key): rev for key, rev in expected.items()},
        "put": [
            configuration_module.render_object(value)
            for value in changes.values()
            if value is not None
        ],
        "delete": [
            render_key(key) for key, value in changes.items() if value is None
        ],
    }
    retry = (
        "\nThe change may have been made; repeat the command with --change-id"
        f" {change_id}"
    )
    try:
        return connection.request("POST", "config/changes", body)
    except client.ResponseError as error:
        if error.details.get("verdict") != "may-have-run":
            raise
        raise client.CommandError(f"{error}{retry}", error.status) from error
    except client.CommandError as error:
        raise client.CommandError(f"{error}{retry}", error.status) from error


def run_status(options: argparse.Namespace) -> int:
    """Shows the revision of each process, or waits for a revision.

    Returns:
        `EXIT_TIMEOUT` if the revision is not in effect when the time is up.
    """
    connection = main.connect(options)
    if options.wait is None:
        response = connection.get("config/status")
        status.print_value(response, options.json)
        return client.EXIT_OK
    deadline = time.monotonic() + options.timeout
    while True:
        response = connection.get("config/status", revision=options.wait)
        if response["in_effect"] or time.monotonic() >= deadline:
            break
        time.sleep(POLL_S)
    if options.json:
        print(json.dumps(response, indent=2))
    elif response["in_effect"]:
        count = len(response["processes"])
        print(f"revision {options.wait} is in effect in {count} processes")
    else:
        print(f"revision {options.wait} is not in effect; lagging:")
        print(status.render_table(response["lagging"]))
    return client.EXIT_OK if response["in_effect"] else client.EXIT_TIMEOUT
