"""Tests of peridotyard_daemon.process.rooms."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import admission
from peridotyard_daemon.process import rooms
import trio

from tests.support import cases

WAIT_S = 1.0


def make_ticket(workspace="north", priority=1, size=1.0):
    deadline = trio.current_time() + WAIT_S
    return admission.Ticket(workspace, priority, 1.0, deadline, size)


async def collect_turns(queue, tickets, has_room):
    """Returns the workspaces whose turn it is, in order, one each 10 ms."""
    turns = []

    async def wait(ticket):
        if await queue.wait(ticket, has_room):
            turns.append(ticket)

    async with trio.open_nursery() as nursery:
        for ticket in tickets:
            nursery.start_soon(wait, ticket)
            # The order of arrival is the order of the tickets.
            await trio.sleep(0.0001)
        for _ in tickets:
            queue.offer()
            await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    return turns


@cases.run_on_virtual_clock
async def test_more_urgent_requests_get_room_first():
    queue = rooms.RoomQueue()
    tickets = [make_ticket(priority=p) for p in (5, 0, 12, 1, 0)]
    turns = await collect_turns(queue, tickets, lambda: True)
    assert [ticket.priority for ticket in turns] == [0, 0, 1, 5, 12]
    assert len(queue) == 0


@cases.run_on_virtual_clock
async def test_workspaces_with_few_or_large_requests_do_not_starve():
    """Guards against a workspace with many requests that takes all room."""
    queue = rooms.RoomQueue()
    tickets = [make_ticket("large") for _ in range(30)]
    tickets += [make_ticket("small"), make_ticket("long", size=4.0)]
    turns = await collect_turns(queue, tickets, lambda: True)
    names = [ticket.workspace for ticket in turns]
    assert names.index("small") <= 2
    assert names.index("long") <= 6


@cases.run_on_virtual_clock
async def test_request_waits_until_its_deadline_at_most():
    queue = rooms.RoomQueue()
    began = trio.current_time()
    assert not await queue.wait(make_ticket(), lambda: False)
    assert trio.current_time() - began == WAIT_S
    assert not queue.has_precedence(9)


@cases.run_on_virtual_clock
async def test_request_without_room_does_not_hold_up_others():
    """Guards against a workspace over its share that blocks its entry."""
    queue = rooms.RoomQueue()
    turns = []

    async def wait(name, has_room):
        if await queue.wait(make_ticket(name), lambda: has_room, 3):
            turns.append(name)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait, "hot", False)
        await trio.sleep(0.1)
        nursery.start_soon(wait, "small", True)
        await trio.sleep(0.1)
        assert turns == ["small"]
        assert len(queue) == 1


@cases.run_on_virtual_clock
async def test_queue_is_bounded():
    """Guards against requests that pile up in an overloaded entry."""
    queue = rooms.RoomQueue()
    results = []

    async def wait():
        results.append(await queue.wait(make_ticket(), lambda: False))

    async with trio.open_nursery() as nursery:
        for _ in range(rooms.LIMIT + 50):
            nursery.start_soon(wait)
        await trio.sleep(WAIT_S / 2)
        assert results == 50 * [False]
        assert len(queue) == rooms.LIMIT


@cases.run_on_virtual_clock
async def test_request_is_not_let_go_on_without_room():
    queue = rooms.RoomQueue()
    room = [False]
    turns = []

    async def wait():
        turns.append(await queue.wait(make_ticket(), lambda: room[0]))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(wait)
        await trio.sleep(0.1)
        queue.offer()
        await trio.sleep(0.1)
        assert turns == []
        assert queue.has_precedence(1)
        assert not queue.has_precedence(0)
        room[0] = True
        queue.offer()
    assert turns == [True]


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 2.0), strategies.floats(0.01, 5.0)
        ),
        max_size=100,
    )
)
def test_refused_callers_return_at_the_rate_of_free_places(steps):
    """Guards against callers that all return at once and are refused again."""
    limit_s = 5.0
    returns = admission.Returns()
    now = 0.0
    times = []
    for pause_s, interval_s in steps:
        now += pause_s
        wait_s = returns.reserve(now, interval_s, limit_s)
        assert 0.0 <= wait_s <= limit_s + 1e-9
        if times and wait_s < limit_s - 1e-9:
            assert now + wait_s >= times[-1] + interval_s - 1e-9
        times.append(now + wait_s)
