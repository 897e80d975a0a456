"""Requests of an entry that wait until servers have room for them."""

import collections.abc
import dataclasses

from peridotyard_core import admission
import trio

# Number of requests that may wait for one service.
LIMIT = 200
# Number of priorities of a request.
LEVELS = 10
# Weight of the newest duration in the mean duration of streams.
DURATION_SMOOTHING = 0.2


class RoomQueue:
    """Requests that wait for room on the servers of one service.

    Owned by the entry. Strict priority, and fair shares among the workspaces of
    a priority by the size of their requests, see `admission.Queue`.

    Attributes:
        returns: Times at which refused callers return.
        in_progress: Number of streams of this entry in the service.
        mean_duration_s: Moving average of their durations, seconds; None before
            the first has ended.
    """

    def __init__(self):
        self.in_progress = 0
        self.mean_duration_s: float | None = None
        self.returns = admission.Returns()
        self._queue = admission.Queue(LIMIT, LEVELS)

    def __len__(self) -> int:
        return len(self._queue)

    def has_precedence(self, priority: int) -> bool:
        """Returns whether waiting requests come before a new one."""
        return self.count_ahead(priority) > 0

    def count_ahead(self, priority: int) -> int:
        """Returns the number of requests that a new one would wait for."""
        return self._queue.count_ahead(_clamp(priority))

    def estimate_wait(self, priority: int) -> float:
        """Returns the expected time until a new request is next, seconds."""
        return self._queue.estimate_wait(_clamp(priority))

    def may_wait(self, ticket: admission.Ticket) -> bool:
        """Returns whether the turn of a request is expected in time.

        Args:
            ticket: The request.
        """
        now = trio.current_time()
        ticket = dataclasses.replace(ticket, priority=_clamp(ticket.priority))
        return now < ticket.deadline and self._queue.check(ticket, now) is None

    async def wait(
        self,
        ticket: admission.Ticket,
        has_room: collections.abc.Callable[[], bool],
    ) -> bool:
        """Waits until there is room for a request and it is its turn.

        Args:
            ticket: The request.
            has_room: Returns whether there is room for it now.

        Returns:
            Whether it is its turn; False at once if that is not expected
            before its deadline.
        """
        turn = trio.Event()
        ticket = dataclasses.replace(
            ticket, priority=_clamp(ticket.priority), item=(has_room, turn)
        )
        if not self.may_wait(ticket):
            return False
        self._queue.add(ticket, trio.current_time())
        try:
            with trio.move_on_at(ticket.deadline):
                await turn.wait()
        finally:
            self._queue.remove(ticket)
        return turn.is_set()

    def end_stream(self, duration_s: float) -> None:
        """Records the end of a stream in progress.

        Args:
            duration_s: Time since it was sent first, seconds.
        """
        self.in_progress -= 1
        if self.mean_duration_s is None:
            self.mean_duration_s = duration_s
        self.mean_duration_s += DURATION_SMOOTHING * (
            duration_s - self.mean_duration_s
        )

    def offer(self) -> None:
        """Lets the next request go on if there is room for it.

        Only one at a time, since it is counted on its servers only when it is
        sent.
        """
        ticket = self._queue.peek()
        if ticket is None:
            return
        has_room, turn = ticket.item
        if has_room():
            self._queue.pop(trio.current_time())
            turn.set()


def _clamp(priority: int) -> int:
    return min(max(priority, 0), LEVELS - 1)
