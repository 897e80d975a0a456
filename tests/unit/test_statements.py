"""Tests of peridotyard_daemon.process.statements."""

import dataclasses

from peridotyard_core import exchanges
from peridotyard_daemon.process import statements
import pytest
import trio

from tests.support import cases
from tests.support import fleets

SERVER = fleets.make_server("x")


@pytest.fixture
def counts():
    return []


@pytest.fixture
def table(counts):
    return statements.Statements(counts.append)


def make_head(limit=None, status=200, malformed=()) -> exchanges.ResponseHead:
    return exchanges.ResponseHead(
        status=status,
        request_id="r1",
        signed=True,
        not_run=False,
        failed_address=None,
        keep_alive_s=None,
        headers=(),
        statement=exchanges.ServerStatement(limit, malformed),
    )


def make_record(limit, heard_at, started_at_ms=SERVER.started_at_ms):
    return statements.Record(started_at_ms, limit, heard_at, heard_at, "e2")


@cases.run_on_virtual_clock
async def test_limit_holds_until_a_success_without_one(table, counts):
    announced = []
    table.notify = lambda *news: announced.append(news)
    table.record(SERVER, make_head(2.0))
    table.record(SERVER, make_head(2.0))
    table.record(SERVER, make_head(None, status=500))
    assert table.find_limit(SERVER) == 2.0
    table.record(SERVER, make_head(None))
    assert table.find_limit(SERVER) is None
    assert [record.limit_per_s for _, record in announced] == [2.0, None]
    assert counts == ["limit_changes", "limit_changes"]


@cases.run_on_virtual_clock
async def test_restarted_server_begins_without_a_statement(table):
    table.record(SERVER, make_head(2.0))
    started_at_ms = SERVER.started_at_ms + 1
    restarted = dataclasses.replace(SERVER, started_at_ms=started_at_ms)
    assert table.find_limit(restarted) is None
    assert table.describe(restarted) == {}
    table.apply_peer("x", make_record(3.0, 0.0, started_at_ms))
    assert table.find_limit(restarted) == 3.0
    assert not table.apply_peer("x", make_record(2.0, 9.0))


@cases.run_on_virtual_clock
async def test_older_statement_of_another_entry_is_ignored(table):
    await trio.sleep(10)
    table.record(SERVER, make_head(2.0))
    assert not table.apply_peer("x", make_record(None, 9.0))
    assert table.apply_peer("x", make_record(None, 11.0))
    assert table.find_limit(SERVER) is None


@cases.run_on_virtual_clock
async def test_malformed_statement_changes_nothing(table, counts):
    table.record(SERVER, make_head(2.0))
    table.record(SERVER, make_head(None, malformed=("server-limit: x",)))
    assert table.find_limit(SERVER) == 2.0
    assert counts[-1] == "malformed_statements"


@cases.run_on_virtual_clock
async def test_number_of_kept_statements_is_bounded(table):
    for number in range(statements.MAX_SERVERS + 10):
        table.record(fleets.make_server(f"s{number}"), make_head(1.0))
    assert len(table.list_records()) == statements.MAX_SERVERS


@cases.run_on_virtual_clock
async def test_statement_is_shown_with_its_age(table):
    table.record(SERVER, make_head(2.0))
    await trio.sleep(3)
    table.record(SERVER, make_head(2.0))
    await trio.sleep(1)
    assert table.describe(SERVER) == {
        "limit_per_s": 2.0,
        "age_s": 1.0,
        "since_s": 4.0,
        "source": "own response",
    }
