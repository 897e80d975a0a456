"""Tests of peridotyard_daemon.process.statements."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
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
    return statements.Statements(counts.append, random.Random(0))


def make_head(limit=None, status=200, **stated) -> exchanges.ResponseHead:
    return exchanges.ResponseHead(
        status=status,
        request_id="r1",
        signed=True,
        not_run=False,
        failed_address=None,
        headers=(),
        statement=exchanges.ServerStatement(limit, **stated),
    )


def make_record(limit, heard_at, started_at_ms=SERVER.started_at_ms):
    return statements.Record(started_at_ms, limit, heard_at, heard_at, "e2")


def record_answer(table, head):
    """Records the response to a request of a caller that was just sent."""
    table.record(SERVER, head, trio.current_time())


@cases.run_on_virtual_clock
async def test_limit_holds_until_a_success_without_one(table, counts):
    announced = []
    table.notify = lambda *news: announced.append(news)
    record_answer(table, make_head(2.0))
    record_answer(table, make_head(2.0))
    record_answer(table, make_head(None, status=500))
    assert table.find_limit(SERVER) == 2.0
    record_answer(table, make_head(None))
    assert table.find_limit(SERVER) is None
    assert [record.limit_per_s for _, record in announced] == [2.0, None]
    assert counts == ["statement_changes", "statement_changes"]


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
    record_answer(table, make_head(2.0))
    record_answer(table, make_head(None, malformed=("server-limit: x",)))
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


@cases.run_on_virtual_clock
async def test_leaving_server_does_not_come_back(table):
    left, announced = [], []
    table.notify_leaving = left.append
    table.notify = lambda *news: announced.append(news)
    table.record(SERVER, make_head(status=500, is_leaving=True))
    # A response from before may arrive later, on another connection.
    table.record(SERVER, make_head())
    assert table.is_leaving(SERVER)
    assert left == ["x"]
    assert len(announced) == 1
    started_at_ms = SERVER.started_at_ms + 1
    restarted = dataclasses.replace(SERVER, started_at_ms=started_at_ms)
    assert not table.is_leaving(restarted)


@cases.run_on_virtual_clock
async def test_older_statement_that_a_server_leaves_is_applied(table):
    await trio.sleep(10)
    table.record(SERVER, make_head(2.0))
    older = dataclasses.replace(make_record(None, 5.0), is_leaving=True)
    assert table.apply_peer("x", older)
    assert table.is_leaving(SERVER)
    assert table.find_limit(SERVER) == 2.0


@cases.run_on_virtual_clock
async def test_wait_of_a_server_ends_with_its_time_or_its_process(table):
    table.record(SERVER, make_head(status=503, wait_s=3.0))
    started_at_ms = SERVER.started_at_ms + 1
    restarted = dataclasses.replace(SERVER, started_at_ms=started_at_ms)
    assert table.get_wait_s(restarted) == 0
    assert 3.0 <= table.get_wait_s(SERVER) <= 3.3
    assert list(table.describe(SERVER)) == ["wait_s"]
    # A shorter time does not end a longer one.
    table.record(SERVER, make_head(status=503, wait_s=0.5))
    await trio.sleep(2.9)
    assert table.get_wait_s(SERVER) > 0
    await trio.sleep(0.5)
    assert table.get_wait_s(SERVER) == 0


@cases.run_on_virtual_clock
async def test_report_without_a_limit_does_not_end_it(table):
    table.record(SERVER, make_head(2.0))
    table.record(SERVER, make_head())
    assert table.find_limit(SERVER) == 2.0


@pytest.mark.parametrize("is_heard_by_other", [False, True])
@cases.run_on_virtual_clock
async def test_late_response_from_before_a_limit_does_not_end_it(
    table, is_heard_by_other
):
    """Guards against LIMIT: order of arrival taken for the server's order."""
    sent_at = trio.current_time()
    await trio.sleep(1)
    if is_heard_by_other:
        table.apply_peer("x", make_record(2.0, trio.current_time()))
    else:
        record_answer(table, make_head(2.0))
    await trio.sleep(1)
    table.record(SERVER, make_head(), sent_at)
    assert table.find_limit(SERVER) == 2.0
    record_answer(table, make_head())
    assert table.find_limit(SERVER) is None


@cases.run_on_virtual_clock
async def test_late_response_from_before_a_limit_ends_it_at_no_entry(table):
    """Guards against LIMIT: its absence is announced with too late a time."""
    other = statements.Statements(lambda _: None, random.Random(1))
    table.notify = other.apply_peer
    record_answer(table, make_head(2.0))
    await trio.sleep(1)
    sent_at = trio.current_time()
    await trio.sleep(1)
    # Unchanged, so it is not announced.
    record_answer(other, make_head(2.0))
    await trio.sleep(1)
    table.record(SERVER, make_head(), sent_at)
    assert other.find_limit(SERVER) == 2.0


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    stated=strategies.lists(
        strategies.tuples(
            strategies.sampled_from([None, 0.0, 2.0]),
            strategies.booleans(),
            strategies.sampled_from([None, 0.1, 1e30]),
            strategies.sampled_from([200, 500, 503]),
            strategies.booleans(),
        ),
        max_size=20,
    )
)
def test_statements_of_two_entries_agree(stated):
    """Each statement reaches the other entry, in order."""

    @cases.run_on_virtual_clock
    async def run():
        own = statements.Statements(lambda _: None, random.Random(0))
        other = statements.Statements(lambda _: None, random.Random(1))
        own.notify = other.apply_peer
        other.notify = own.apply_peer
        for limit, is_leaving, wait_s, status, at_other in stated:
            await trio.sleep(0.01)
            head = make_head(
                limit, status, is_leaving=is_leaving, wait_s=wait_s
            )
            record_answer(other if at_other else own, head)
            assert own.find_limit(SERVER) == other.find_limit(SERVER)
            assert own.is_leaving(SERVER) == other.is_leaving(SERVER)
            assert own.get_wait_s(SERVER) <= statements.WAIT_MAX_S + 1

    run()
