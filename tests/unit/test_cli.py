"""Tests of peridotyard_cli, except its modules local and demo."""

import itertools
import json

from peridotyard_cli import client
from peridotyard_cli import configuration
from peridotyard_cli import library
from peridotyard_cli import main
from peridotyard_cli import status
from peridotyard_core import configuration as configuration_module
from peridotyard_core import errors
import pytest

from tests.support import tables
from tests.unit import test_administration

FILE = """
from peridotyard_cli import library

config = library.Configuration()
model = config.add_model("reference", version="v1", layers=4)
tuned = config.add_adapter("tuned", model=model, version="v1")
north = config.add_workspace(
    "north", keys=["the-key"], models=[model], adapters=[tuned], weight=WEIGHT
)
config.add_limit("north-limit", workspace=north, in_flight=5)
config.print()
"""


@pytest.fixture
def entry(monkeypatch):
    """Administration API in this process, which the client calls directly."""
    made = test_administration.Entry(tables.MemoryTable())

    def request(self, method, path, value=None):
        code, response = made.call(
            method, client.PREFIX + path, value, self._token
        )
        return client._parse_response(code, json.dumps(response), self._base)

    monkeypatch.setattr(client.Client, "request", request)
    monkeypatch.setenv(main.TOKEN_VARIABLE, test_administration.ROOT)
    return made


@pytest.fixture
def write_file(tmp_path):
    def write(weight, text=FILE):
        path = tmp_path / "config.py"
        path.write_text(text.replace("WEIGHT", str(weight)))
        return str(path)

    return write


def test_library_stores_only_hashes_of_secrets():
    """Guards against API keys and tokens in the configuration or in errors."""
    config = library.Configuration()
    config.add_workspace("north", keys=["the-key"])
    config.add_operator("ana", token="the-token", role="change")
    text = config.render()
    assert "the-key" not in text
    assert "the-token" not in text
    assert configuration_module.hash_secret("the-key") in text
    with pytest.raises(errors.ConfigurationError) as caught:
        library.make_workspace("north", keys=["with space"])
    assert "with space" not in str(caught.value)
    assert caught.value.place == "workspace/north.keys[0]"


def test_print_and_validate(write_file, capsys, tmp_path):
    """Guards against printed JSON that the command cannot read back."""
    path = write_file(2)
    assert main.main(["config", "print", path]) == 0
    printed = tmp_path / "config.json"
    printed.write_text(capsys.readouterr().out)
    assert main.main(["config", "validate", str(printed)]) == 0
    assert "4 objects are valid" in capsys.readouterr().out
    assert configuration.load(str(printed)) == configuration.load(path)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (FILE.replace("WEIGHT", "'a'"), "config.py:7: workspace/north.weight"),
        ("1 +", "config.py:1: SyntaxError"),
        ("\n1 / 0", "config.py:2: ZeroDivisionError"),
        ("print('x')", "not JSON"),
        ("print('{}')", "allowed: "),
        (
            'print(\'{"objects": [{"kind": "adapter", "name": "a", '
            '"model": "m", "version": "v"}]}\')',
            "adapter/a.model: there is no model 'm'",
        ),
    ],
)
def test_bad_file_names_the_place(write_file, capsys, text, expected):
    """Guards against a traceback instead of the line or object in error."""
    path = write_file(1, text)
    assert main.main(["config", "validate", path]) == client.EXIT_FAILED
    assert expected in capsys.readouterr().err


def test_submit_shows_differences_and_is_idempotent(entry, write_file, capsys):
    """Guards against a submit that makes changes that it did not print."""
    path = write_file(2)
    assert main.main(["config", "diff", path]) == 0
    assert "+ model/reference" in capsys.readouterr().out
    assert not entry.table.rows
    assert main.main(["config", "submit", path]) == 0
    assert "accepted as revision 1" in capsys.readouterr().out
    assert main.main(["config", "submit", path]) == 0
    assert "none" in capsys.readouterr().out
    assert main.main(["config", "submit", write_file(3)]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[1:] == [
        "  ~ workspace/north.weight: 2 -> 3",
        "accepted as revision 2",
    ]
    empty = write_file(0, "print('{\"objects\": []}')")
    assert main.main(["config", "submit", empty, "--prune"]) == 0
    assert capsys.readouterr().out.count("\n  - ") == 4


def test_conflicts_have_their_own_status(
    entry, write_file, capsys, monkeypatch
):
    """Guards against scripts that overwrite the change of another operator."""
    main.main(["config", "submit", write_file(2)])
    main.main(["config", "submit", write_file(3)])
    path = write_file(4)
    old = ["config", "submit", path, "--expect-revision", "1"]
    assert main.main(old) == client.EXIT_CONFLICT
    assert "workspace/north at revision 2" in capsys.readouterr().err
    # Another operator changes the object after it was read.
    post_change = configuration._post_change

    def race(connection, change_id, expected, changes):
        older = {key: revision - 1 for key, revision in expected.items()}
        return post_change(connection, change_id, older, changes)

    monkeypatch.setattr(configuration, "_post_change", race)
    assert main.main(["config", "submit", path]) == client.EXIT_CONFLICT
    shown = capsys.readouterr().err
    assert "submitted:" in shown
    assert "current:" in shown


def test_unknown_outcome_names_the_change_id(entry, write_file, capsys):
    """Guards against a change applied twice after a lost response.

    The command has to print the change id, with which it can be repeated.
    """
    path = write_file(2)
    entry.table.lost_responses, entry.table.effect_delay_s = 1000, 10.0
    assert main.main(["config", "submit", path]) == client.EXIT_FAILED
    shown = capsys.readouterr().err
    change_id = shown.split("--change-id ")[1].strip()
    entry.table.lost_responses = 0
    again = ["config", "submit", path, "--change-id", change_id]
    assert main.main(again) == 0
    assert "accepted as revision 1" in capsys.readouterr().out


def test_wait_names_processes_that_lag(entry, write_file, capsys, monkeypatch):
    """Guards against a wait that never ends, or names no lagging process."""
    main.main(["config", "submit", write_file(2)])
    wait = ["config", "status", "--timeout", "5", "--wait"]
    assert main.main([*wait, "1"]) == client.EXIT_OK
    clock = itertools.count()
    monkeypatch.setattr(configuration.time, "monotonic", lambda: next(clock))
    monkeypatch.setattr(configuration.time, "sleep", lambda _: None)
    assert main.main([*wait, "9"]) == client.EXIT_TIMEOUT
    assert "e1" in capsys.readouterr().out.split("lagging:")[1]


def test_status_commands(entry, capsys):
    """Guards against output that omits a row or a column."""
    assert main.main(["histograms"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[1].split()[:3] == ["figure", "workspace", "priority"]
    assert len(lines) == 4
    assert main.main(["trace", "r1", "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == {"events": []}
    assert main.main(["trace", "../config"]) == client.EXIT_FAILED
    assert main.main(["status", "--token", "guess"]) == client.EXIT_FAILED
    assert "unauthorized" in capsys.readouterr().err
    rows = [{"a": 1, "b": None}, {"a": "long", "c": True}]
    assert status.render_table(rows).splitlines() == [
        "  a     b  c",
        "  1     -  -",
        "  long  -  yes",
    ]


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["status", "--token-file", "/nonexistent"], "--token-file"),
        (["status", "--token", "ä"], "printable ASCII"),
        (["status", "--token", "t", "--admin", "ftp://x"], "http://IP:PORT"),
    ],
)
def test_unusable_options_are_usage_errors(capsys, arguments, expected):
    """Guards against a request that is sent without a usable token."""
    assert main.main(arguments) == client.EXIT_USAGE
    assert expected in capsys.readouterr().err


def test_help_documents_exit_statuses(capsys):
    """Guards against scripts that cannot distinguish conflict and failure."""
    for arguments in ([], ["config", "submit"], ["status"], ["trace"]):
        with pytest.raises(SystemExit) as caught:
            main.main([*arguments, "--help"])
        assert caught.value.code == 0
        assert "3  conflict" in capsys.readouterr().out


def test_unreachable_entry_is_a_failure(capsys):
    """Guards against a traceback if the entry is not running."""
    arguments = ["status", "--token", "t", "--admin", "http://127.0.0.1:1"]
    assert main.main(arguments) == client.EXIT_FAILED
    assert "http://127.0.0.1:1" in capsys.readouterr().err


def test_statements_of_servers_are_shown_in_one_column():
    """Guards against a column that is empty for each JSON object."""
    rows = [
        {"instance": "i-1", "states": {}},
        {"instance": "i-2", "states": {"leaving": True, "limit_per_s": 2.0}},
    ]
    assert status.render_table(rows).splitlines() == [
        "  instance  states",
        "  i-1       -",
        "  i-2       leaving=yes,limit_per_s=2.000",
    ]


@pytest.fixture
def explained(monkeypatch):
    """Requests for explanations, with the token of each."""
    requests = []

    def request(self, method, path, value=None):
        requests.append((method, path, self._token))
        return {
            "verdict": {"outcome": "send"},
            "path": [{"instance": "i-1", "reason": "the only candidate"}],
            "candidates": [],
        }

    monkeypatch.setattr(client.Client, "request", request)
    return requests


def test_explain_shows_the_path_and_sends_the_key_as_token(
    explained, tmp_path, capsys
):
    """Guards against API keys in request targets, and against lost options."""
    file = tmp_path / "key"
    file.write_text("key-1\n")
    arguments = ["explain", "api.example", "/chat/x", "--priority", "0"]
    assert main.main([*arguments, "--key-file", str(file)]) == 0
    path = "explain?host=api.example&path=%2Fchat%2Fx&priority=0"
    assert explained == [("GET", path, "key-1")]
    lines = capsys.readouterr().out.splitlines()
    assert lines[:2] == ["verdict:", "  outcome: send"]
    assert lines[4].split() == ["i-1", "the", "only", "candidate"]
    assert main.main([*arguments, "--prompt-tokens", "9", "--json"]) == 0
    path = path.replace("priority", "prompt_tokens=9&priority")
    assert explained[1] == ("GET", path, "-")
    assert json.loads(capsys.readouterr().out)["candidates"] == []


def test_unusable_key_file_is_a_usage_error(explained, tmp_path, capsys):
    """Guards against a traceback, and against a request without the key."""
    file = tmp_path / "key"
    file.write_text("two words")
    for name in (str(file), "/nonexistent"):
        arguments = ["explain", "api.example", "/", "--key-file", name]
        assert main.main(arguments) == client.EXIT_USAGE
        assert "--key-file" in capsys.readouterr().err
    assert explained == []


def test_explain_model_uses_the_administration_api(
    explained, monkeypatch, capsys
):
    """Guards against a command without the operator token."""
    monkeypatch.setenv(main.TOKEN_VARIABLE, "operator")
    arguments = ["explain-model", "north", "peri", "--max-tokens", "5"]
    assert main.main(arguments) == 0
    path = "explain?workspace=north&model=peri&max_tokens=5"
    assert explained == [("GET", path, "operator")]
    assert "outcome: send" in capsys.readouterr().out
