"""Admission queue with strict priorities, fair shares and a bounded wait."""

import bisect
import collections
import dataclasses
import heapq
import itertools
import typing

from peridotyard_core import verdicts

PRIORITIES = ("high", "normal", "low")
# Weight of the newest interval in the moving average of the time between two
# requests that leave the queue.
SMOOTHING = 0.1
# Turns that are no longer valid and kept beside those that are. Removing them
# one by one would take a search each.
REMOVED_LIMIT = 64
# Number of requests that may wait for one model.
DEFAULT_LIMIT = 1000


@dataclasses.dataclass(frozen=True, eq=False)
class Ticket:
    """A request that waits in the queue.

    Attributes:
        workspace: Name of the workspace.
        priority: Its level; 0 is the most urgent.
        weight: Weight of the workspace among those of the same priority.
        deadline: Time after which the request need not be started, seconds.
        cost: Work of the request relative to other requests.
        item: Value that the owner of the queue attaches.
        since: Time from which on its caller has waited. Among the tickets of
            one workspace the earliest is first, and those with the same time
            in the order in which they were added. Other workspaces do not
            depend on it, so a wrong time gains nothing over them.
    """

    workspace: str
    priority: int
    weight: float
    deadline: float
    cost: float = 1.0
    item: typing.Any = None
    since: float = 0.0


class _Turn(typing.NamedTuple):
    """A turn of a workspace, whichever of its tickets uses it.

    Attributes:
        finish: Virtual finish time.
        number: Number in the order of creation.
        start: Virtual start time.
        workspace: The workspace.
    """

    finish: float
    number: int
    start: float
    workspace: str


class _FairQueue:
    """Weighted fair queue of one priority, ordered by virtual finish time."""

    def __init__(self):
        self._heap: list[_Turn] = []
        # Turns of each workspace, and its tickets by waiting time. Both have
        # the same length.
        self._turns: dict[str, collections.deque[_Turn]] = {}
        self._tickets: dict[str, list[tuple[float, int, Ticket]]] = {}
        self._finish_times = {}
        self._virtual_time = 0.0
        self._counter = itertools.count()
        # Numbers of turns in the heap that are no longer valid.
        self._removed: set[int] = set()
        self.size = 0

    def add(self, ticket: Ticket) -> None:
        name = ticket.workspace
        start = max(self._virtual_time, self._finish_times.get(name, 0.0))
        finish = start + ticket.cost / max(ticket.weight, 1e-9)
        self._finish_times[name] = finish
        number = next(self._counter)
        turn = _Turn(finish, number, start, name)
        heapq.heappush(self._heap, turn)
        self._turns.setdefault(name, collections.deque()).append(turn)
        entry = (ticket.since, number, ticket)
        bisect.insort(self._tickets.setdefault(name, []), entry)
        self.size += 1

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket and the last turn of its workspace."""
        name = ticket.workspace
        entries = self._tickets[name]
        # An index instead of a comparison of tickets.
        index = next(i for i, e in enumerate(entries) if e[2] is ticket)
        del entries[index]
        self._remove_turn(self._turns[name].pop())

    def peek(self) -> Ticket | None:
        if not self._heap:
            return None
        return self._tickets[self._heap[0].workspace][0][2]

    def list_next(self, limit: int) -> list[Ticket]:
        """Returns the next tickets of the workspaces that are next.

        Args:
            limit: Largest number of tickets.
        """
        names = heapq.nsmallest(
            limit, self._turns, lambda name: self._turns[name][0]
        )
        return [self._tickets[name][0][2] for name in names]

    def pop(self) -> Ticket:
        return self.take(self._heap[0].workspace)

    def take(self, workspace: str) -> Ticket:
        """Removes and returns the next ticket of a workspace."""
        turn = self._turns[workspace].popleft()
        _, _, ticket = self._tickets[workspace].pop(0)
        self._virtual_time = max(self._virtual_time, turn.start)
        self._remove_turn(turn)
        return ticket

    def _remove_turn(self, turn: _Turn) -> None:
        self.size -= 1
        if not self._turns[turn.workspace]:
            del self._turns[turn.workspace]
            del self._tickets[turn.workspace]
        self._removed.add(turn.number)
        while self._heap and self._heap[0].number in self._removed:
            self._removed.discard(heapq.heappop(self._heap).number)
        if len(self._removed) > self.size + REMOVED_LIMIT:
            # The first turn may stay for long while others are used.
            self._heap = [
                turn for turns in self._turns.values() for turn in turns
            ]
            heapq.heapify(self._heap)
            self._removed.clear()
        if not self._heap:
            # Virtual times matter only among waiting requests. Without a reset
            # the table of workspaces would grow without limit.
            self._finish_times.clear()
            self._virtual_time = 0.0


class Queue:
    """Requests that wait for one model, owned by the entry."""

    def __init__(
        self, limit: int = DEFAULT_LIMIT, levels: int = len(PRIORITIES)
    ):
        """Creates an empty queue.

        Args:
            limit: Largest number of requests that wait.
            levels: Number of priorities.
        """
        self._limit = limit
        self._queues = [_FairQueue() for _ in range(levels)]
        self._waiting: set[Ticket] = set()
        self._mean_interval_s: float | None = None
        self._last_pop_at: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, ticket: Ticket, now: float) -> verdicts.Failure | None:
        """Adds a ticket to the queue.

        Args:
            ticket: The ticket.
            now: Current time, seconds.

        Returns:
            None, or the failure with which the request is rejected as not run.
        """
        wait_s = self.estimate_wait(ticket.priority)
        if len(self._waiting) >= self._limit:
            return verdicts.make_not_run_failure(
                "overloaded",
                f"{self._limit} requests are already waiting.",
                max(1.0, wait_s),
            )
        if now + wait_s > ticket.deadline:
            return verdicts.make_not_run_failure(
                "overloaded",
                f"The expected wait of {wait_s:.1f} s exceeds the deadline.",
                max(1.0, wait_s),
            )
        self._queues[ticket.priority].add(ticket)
        self._waiting.add(ticket)
        return None

    def count_ahead(self, priority: int) -> int:
        """Returns the number of requests that a new one would wait for."""
        return sum(queue.size for queue in self._queues[: priority + 1])

    def estimate_wait(self, priority: int) -> float:
        """Returns the expected time until a new ticket is next, seconds."""
        return self.count_ahead(priority) * (self._mean_interval_s or 0.0)

    def peek(self) -> Ticket | None:
        """Returns the next ticket, None if the queue is empty."""
        for queue in self._queues:
            if queue.size:
                return queue.peek()
        return None

    def pop(self, now: float) -> Ticket:
        """Removes and returns the next ticket; the queue must not be empty."""
        queue = next(queue for queue in self._queues if queue.size)
        ticket = queue.pop()
        self._waiting.discard(ticket)
        self._update_interval(now)
        return ticket

    def list_next(self, limit: int) -> list[Ticket]:
        """Returns the next tickets, one of each priority and workspace.

        Args:
            limit: Largest number of tickets.
        """
        found = []
        for queue in self._queues:
            if len(found) < limit and queue.size:
                found += queue.list_next(limit - len(found))
        return found

    def take(self, ticket: Ticket, now: float) -> None:
        """Removes one of the tickets of `list_next`, whose turn it is.

        Args:
            ticket: The ticket.
            now: Current time, seconds.
        """
        self._queues[ticket.priority].take(ticket.workspace)
        self._waiting.discard(ticket)
        self._update_interval(now)

    def remove(self, ticket: Ticket) -> None:
        """Removes a ticket whose caller disconnected or deadline passed."""
        if ticket in self._waiting:
            self._waiting.discard(ticket)
            self._queues[ticket.priority].remove(ticket)

    def _update_interval(self, now: float) -> None:
        # The time since the previous pop counts only if requests were waiting
        # all the time: an idle period says nothing about the capacity.
        if self._last_pop_at is not None:
            interval_s = now - self._last_pop_at
            if self._mean_interval_s is None:
                self._mean_interval_s = interval_s
            else:
                change = interval_s - self._mean_interval_s
                self._mean_interval_s += SMOOTHING * change
        self._last_pop_at = now if self._waiting else None


class Returns:
    """Times at which refused callers return, owned by the entry.

    Callers that all return at once are refused again, so each of them gets a
    time of its own, at the rate at which places become free.
    """

    def __init__(self):
        self._last_at = float("-inf")

    def reserve(self, now: float, interval_s: float, limit_s: float) -> float:
        """Returns the time until the next refused caller returns, seconds.

        Args:
            now: Current time, seconds.
            interval_s: Mean time between two places that become free, seconds.
            limit_s: Longest time, seconds.
        """
        self._last_at = min(max(now, self._last_at) + interval_s, now + limit_s)
        return self._last_at - now
