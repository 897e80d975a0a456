"""Tests of peridotyard_core.admission and of RetryBudget."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies
from peridotyard_core import admission
from peridotyard_core import budgets
from peridotyard_core import verdicts

from tests.support import cases


def make_ticket(workspace="w", priority=1, weight=1.0, deadline=1e9):
    return admission.Ticket(workspace, priority, weight, deadline)


def pop_all(queue, interval_s=1.0):
    popped = []
    while len(queue):
        popped.append(queue.pop(len(popped) * interval_s))
    return popped


def test_higher_priority_is_always_first():
    """Guards against low-priority requests that delay more urgent ones."""
    queue = admission.Queue()
    tickets = [make_ticket(priority=p) for p in (2, 1, 0, 1)]
    for ticket in tickets:
        assert queue.add(ticket, 0) is None
    assert queue.peek() is tickets[2]
    assert [item.priority for item in pop_all(queue)] == [0, 1, 1, 2]


def test_workspaces_share_by_weight():
    """Guards against a workspace with many requests that starves others."""
    queue = admission.Queue()
    for _ in range(300):
        queue.add(make_ticket("flood", weight=1), 0)
    for _ in range(90):
        queue.add(make_ticket("large", weight=3), 0)
    for _ in range(30):
        queue.add(make_ticket("small", weight=1), 0)
    count = collections.Counter(item.workspace for item in pop_all(queue)[:100])
    assert abs(count["large"] - 60) <= 2
    assert abs(count["small"] - 20) <= 2


def test_removed_ticket_is_not_popped():
    """Guards against capacity spent on a caller that has disconnected."""
    queue = admission.Queue()
    tickets = [make_ticket() for _ in range(4)]
    for ticket in tickets:
        queue.add(ticket, 0)
    queue.remove(tickets[0])
    queue.remove(tickets[2])
    queue.remove(tickets[2])
    assert pop_all(queue) == [tickets[1], tickets[3]]
    assert queue.peek() is None


def test_wait_beyond_the_deadline_is_rejected_as_not_run():
    """Guards against requests that wait although they miss their deadline."""
    queue = admission.Queue()
    for _ in range(10):
        queue.add(make_ticket(), 0)
    for second in range(5):
        queue.pop(second)
    # One request starts each second, and 5 tickets are ahead.
    assert queue.add(make_ticket(deadline=11), 5) is None
    failure = queue.add(make_ticket(deadline=9), 5)
    assert failure.verdict is verdicts.Verdict.NOT_RUN
    assert failure.retry_after_s >= 5
    # A higher priority does not wait for a lower one.
    assert queue.add(make_ticket(priority=0, deadline=6), 5) is None


def test_queue_is_bounded():
    """Guards against memory that grows without limit during an overload."""
    queue = admission.Queue(limit=2)
    assert queue.add(make_ticket(), 0) is queue.add(make_ticket(), 0) is None
    assert queue.add(make_ticket(), 0).code == "overloaded"


def test_retries_are_a_fraction_of_successes():
    """Guards against retries that multiply an overload."""
    budget = budgets.RetryBudget(fraction=0.5, reserve=1, limit=2)
    assert [budget.try_spend(), budget.try_spend()] == [True, False]
    for _ in range(100):
        budget.record_success()
    assert [budget.try_spend() for _ in range(3)] == [True, True, False]


def test_returning_callers_are_first_in_their_workspace_only():
    """Guards against callers that gain over others by a forged time."""
    queue = admission.Queue()
    tickets = [make_ticket(name) for name in ("a", "b", "a", "b", "a")]
    tickets[4] = dataclasses.replace(tickets[4], since=-1000.0)
    for ticket in tickets:
        queue.add(ticket, 0)
    popped = pop_all(queue)
    assert [item.workspace for item in popped] == ["a", "b", "a", "b", "a"]
    assert [item for item in popped if item.workspace == "a"] == [
        tickets[4],
        tickets[0],
        tickets[2],
    ]


def test_next_of_other_workspaces_can_be_taken():
    """Guards against one workspace without room that holds up all others."""
    queue = admission.Queue()
    blocked = make_ticket("blocked", priority=0)
    queue.add(blocked, 0)
    for number in range(2000):
        other = make_ticket(f"w{number % 7}")
        queue.add(other, number)
        assert queue.list_next(3) == [blocked, other]
        queue.take(other, number)
    hot, small = make_ticket("hot", 0), make_ticket("small", 0)
    queue.add(hot, 0)
    queue.add(small, 0)
    assert queue.list_next(2) == [blocked, hot]
    assert queue.list_next(9) == [blocked, hot, small]
    for number in range(1000):
        queue.take(small, number)
        small = make_ticket("small", 0)
        queue.add(small, number)
    heap = queue._queues[0]._heap
    assert len(heap) <= 2 * admission.REMOVED_LIMIT


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["add", "pop", "take", "remove"]),
            strategies.sampled_from("abc"),
            strategies.integers(0, 2),
            strategies.floats(-5.0, 5.0),
        ),
        max_size=60,
    )
)
def test_queue_holds_each_ticket_until_it_is_removed(steps):
    """Guards against tickets that are lost, or returned twice."""
    queue = admission.Queue()
    waiting = []
    for now, (step, name, priority, since) in enumerate(steps):
        if step == "add":
            ticket = dataclasses.replace(
                make_ticket(name, priority), since=since
            )
            if queue.add(ticket, now) is None:
                waiting.append(ticket)
        elif waiting and step == "remove":
            queue.remove(waiting.pop(0))
        elif waiting and step == "pop":
            assert queue.peek() in waiting
            waiting.remove(queue.pop(now))
        elif waiting:
            ticket = queue.list_next(9)[-1]
            queue.take(ticket, now)
            waiting.remove(ticket)
        assert len(queue) == len(waiting)
        kinds = {(t.workspace, t.priority) for t in waiting}
        found = queue.list_next(9)
        assert {(t.workspace, t.priority) for t in found} == kinds
        assert queue.peek() is (found[0] if found else None)
