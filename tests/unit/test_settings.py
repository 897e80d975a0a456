"""Tests of peridotyard_core.settings and peridotyard_core.options."""

import math
import pathlib

import hypothesis
from hypothesis import strategies
from peridotyard_core import errors
from peridotyard_core import options
from peridotyard_core import settings
from peridotyard_daemon import main
import pytest

VALID = """\
[process]
instance = entry-1
zone = north

[listen]
peers = 127.0.0.1:20001
callers = 127.0.0.1:20002
admin = 127.0.0.1:20003
"""


@pytest.fixture
def write(tmp_path):
    def write_file(text: str) -> str:
        path = tmp_path / "entry.ini"
        path.write_text(text, encoding="utf-8")
        return str(path)

    return write_file


def read_error(path: str) -> errors.SettingsError:
    with pytest.raises(errors.SettingsError) as caught:
        settings.read(settings.EntrySettings, path)
    return caught.value


def test_minimal_file_has_defaults(write):
    """Guards against a default that does not reach the data class."""
    loaded = settings.read(settings.EntrySettings, write(VALID))
    assert loaded.settings.instance == "entry-1"
    assert str(loaded.settings.caller_address) == "127.0.0.1:20002"
    for name, option in options.list_options(settings.EntrySettings).items():
        if option.default is not options.REQUIRED:
            assert getattr(loaded.settings, name) == option.default


@pytest.mark.parametrize(
    ("section", "name", "value", "allowed"),
    [
        ("peers", "heartbeat_s", "often", "a number from 0.01 to 30"),
        ("peers", "heartbeat_s", "0", "a number from 0.01 to 30"),
        ("peers", "heartbeat_s", "31", "a number from 0.01 to 30"),
        ("peers", "heartbeat_s", "nan", "a number from 0.01 to 30"),
        ("peers", "heartbeat_s", "inf", "a number from 0.01 to 30"),
        ("peers", "heartbeat_misses", "2.5", "a whole number from 2 to 20"),
        ("peers", "heartbeat_misses", "", "a whole number from 2 to 20"),
        ("logs", "level", "loud", "one of debug, info, warning, error"),
        ("platform", "table", "localhost:80", "an IP address and a port"),
        ("platform", "table", "127.0.0.1", "an IP address and a port"),
        ("platform", "table", "127.0.0.1:65536", "an IP address and a port"),
        ("platform", "table", "127.0.0.1:-1", "an IP address and a port"),
    ],
)
def test_bad_value_is_named_with_its_place(
    write, section, name, value, allowed
):
    """Guards against an error that does not name the invalid option."""
    path = write(f"{VALID}\n[{section}]\n{name} = {value}\n")
    error = read_error(path)
    assert (error.file, error.section, error.name) == (path, section, name)
    assert error.value == value
    assert error.allowed.startswith(allowed)
    for part in (path, f"[{section}]", name, repr(value), allowed):
        assert part in str(error)


@pytest.mark.parametrize("value", ["", "   "])
def test_empty_required_value_is_rejected(write, value):
    """Guards against a process without a name."""
    error = read_error(write(VALID.replace("entry-1", value)))
    assert (error.section, error.name) == ("process", "instance")
    assert error.allowed == "a non-empty text"


def test_missing_required_option_is_rejected(write):
    """Guards against a process that starts without a zone."""
    error = read_error(write(VALID.replace("zone = north\n", "")))
    assert (error.section, error.name) == ("process", "zone")


def test_unknown_option_is_rejected(write):
    """Guards against a misspelt option that is silently ignored."""
    error = read_error(write(VALID + "\n[peers]\nheartbeat = 1\n"))
    assert (error.section, error.name, error.value) == (
        "peers",
        "heartbeat",
        "1",
    )
    assert "heartbeat_s" in error.allowed


def test_option_of_another_role_is_rejected(write):
    """Guards against an entry that starts with the settings of a sidecar."""
    error = read_error(write(VALID + "\n[backend]\nkind = model\n"))
    assert error.section == "backend"
    assert "peers" in error.allowed


def test_default_section_is_rejected(write):
    """Guards against options that configparser copies into every section."""
    error = read_error(write("[DEFAULT]\nzone = north\n" + VALID))
    assert (error.section, error.name) == ("DEFAULT", "zone")


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        (
            VALID.replace("zone = north", "zone = north\nzone = south"),
            ("process", "zone", "already exists"),
        ),
        (VALID + "\n[process]\n", ("process", "already exists")),
        ("zone = north\n", ("no section headers",)),
        (VALID + "\n[peers]\nheartbeat_s\n", ("parsing errors",)),
    ],
)
def test_malformed_file_is_rejected(write, text, parts):
    """Guards against a repeated option that wins, and against tracebacks."""
    path = write(text)
    error = read_error(path)
    assert error.file == path
    for part in parts:
        assert part in str(error)
    assert "\n" not in str(error)


def test_unreadable_file_is_rejected(tmp_path):
    """Guards against a traceback for a wrong path or a binary file."""
    assert "No such file" in str(read_error(str(tmp_path / "none.ini")))
    path = tmp_path / "binary.ini"
    path.write_bytes(b"\xff\xfe\x00")
    assert read_error(str(path)).allowed == "a readable INI file"


def test_origins_name_file_and_line(write):
    """Guards against a value whose line in the settings file is unknown."""
    path = write(VALID + "\n[peers]\n# slower here\nHeartbeat_S = 1 ; why\n")
    loaded = settings.read(settings.EntrySettings, path)
    line = (
        pathlib.Path(path)
        .read_text()
        .splitlines()
        .index("Heartbeat_S = 1 ; why")
    )
    assert loaded.settings.heartbeat_s == 1
    assert str(loaded.origins["heartbeat_s"]) == f"{path}:{line + 1}"
    assert str(loaded.origins["heartbeat_misses"]) == "default"


def test_rendered_settings_can_be_read_again(write):
    """Guards against --print-settings output that differs from the input."""
    path = write(
        VALID + "\n[platform]\ntable = 127.0.0.1:1\n[logs]\ndebug = a, b\n"
    )
    loaded = settings.read(settings.EntrySettings, path)
    again = settings.read(settings.EntrySettings, write(loaded.render()))
    assert again.settings == loaded.settings


def test_print_settings_shows_origins(write, capsys):
    """Guards against a --print-settings that starts the process."""
    path = write(VALID)
    arguments = ["entry", "--settings", path, "--print-settings"]
    assert main.main(arguments) == main.EXIT_OK
    output = capsys.readouterr().out
    assert f"zone = north  ; {path}:3" in output
    assert "heartbeat_s = 0.2  ; default" in output


def test_bad_settings_end_the_command_with_its_own_status(write, capsys):
    """Guards against a usage error that looks like a crash."""
    path = write(VALID + "\n[peers]\nheartbeat_s = nan\n")
    assert main.main(["entry", "--settings", path]) == main.EXIT_USAGE
    line = capsys.readouterr().err
    assert line.startswith(f"peridotyardd: {path}: [peers] heartbeat_s")


@hypothesis.settings(derandomize=True, database=None, max_examples=200)
@hypothesis.given(strategies.text(max_size=20))
def test_any_number_is_in_range_or_rejected(text):
    """Guards against spellings of NaN or infinity that pass a range check."""
    option = options.Option(
        "peers", "heartbeat_s", "float", 1.0, "", minimum=0.5, maximum=2
    )
    try:
        value = option.parse(text)
    except ValueError:
        return
    assert math.isfinite(value)
    assert 0.5 <= value <= 2


@pytest.mark.parametrize(
    "settings_class", [settings.EntrySettings, settings.SidecarSettings]
)
def test_options_are_declared_once_with_valid_defaults(settings_class):
    """Guards against two fields with one option, and invalid defaults."""
    table = options.list_options(settings_class)
    places = [(option.section, option.name) for option in table.values()]
    assert len(set(places)) == len(places)
    for option in table.values():
        if option.default is options.REQUIRED or option.minimum is None:
            continue
        assert option.parse(str(option.default)) == option.default


def test_limits_are_written_exactly():
    """Guards against an allowed range that is rounded to a wrong value."""
    option = options.list_options(settings.EntrySettings)["body_limit_bytes"]
    assert option.describe() == "a whole number from 1024 to 16777216"
    for value in (1024, 16777216):
        assert option.parse(str(value)) == value
    for value in (1023, 16777217):
        with pytest.raises(ValueError):
            option.parse(str(value))
