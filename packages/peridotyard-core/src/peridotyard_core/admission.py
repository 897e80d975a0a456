"""Admission queue with strict priorities, fair shares and a bounded wait."""

import dataclasses
import heapq
import itertools
import typing

from peridotyard_core import verdicts

PRIORITIES = ("high", "normal", "low")
# Weight of the newest interval in the moving average of the time between two
# requests that leave the queue.
SMOOTHING = 0.1
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
    """

    workspace: str
    priority: int
    weight: float
    deadline: float
    cost: float = 1.0
    item: typing.Any = None


class _FairQueue:
    """Weighted fair queue of one priority, ordered by virtual finish time."""

    def __init__(self):
        self._heap = []
        self._finish_times = {}
        self._virtual_time = 0.0
        self._counter = itertools.count()
        self._removed = set()
        self.size = 0

    def add(self, ticket: Ticket) -> None:
        start = max(
            self._virtual_time, self._finish_times.get(ticket.workspace, 0.0)
        )
        finish = start + ticket.cost / max(ticket.weight, 1e-9)
        self._finish_times[ticket.workspace] = finish
        entry = (finish, next(self._counter), start, ticket)
        heapq.heappush(self._heap, entry)
        self.size += 1

    def remove(self, ticket: Ticket) -> None:
        self._removed.add(id(ticket))
        self.size -= 1
        self._drop_removed()

    def peek(self) -> Ticket | None:
        return self._heap[0][3] if self._heap else None

    def pop(self) -> Ticket:
        _, _, start, ticket = heapq.heappop(self._heap)
        self._virtual_time = max(self._virtual_time, start)
        self.size -= 1
        self._drop_removed()
        return ticket

    def _drop_removed(self) -> None:
        while self._heap and id(self._heap[0][3]) in self._removed:
            self._removed.discard(id(heapq.heappop(self._heap)[3]))
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
        failure = self.check(ticket, now)
        if failure is None:
            self._queues[ticket.priority].add(ticket)
            self._waiting.add(ticket)
        return failure

    def check(self, ticket: Ticket, now: float) -> verdicts.Failure | None:
        """Returns the failure with which `add` rejects a ticket, else None.

        Args:
            ticket: The ticket.
            now: Current time, seconds.
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
