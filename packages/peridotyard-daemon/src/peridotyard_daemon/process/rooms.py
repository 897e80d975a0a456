"""Requests of an entry that wait until servers have room for them."""

import collections.abc
import dataclasses

from peridotyard_core import admission
import trio

# Number of requests that may wait for one service.
LIMIT = 200
# Number of priorities of a request.
LEVELS = 10
# Requests that are considered for the same room, of different priorities or
# workspaces, if they may use different parts of it. Each takes a search for a
# path.
CANDIDATES = 3
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
        mean_first_event_s: Moving average of the time from the sending of a
            stream to its first event, seconds; None before the first.
    """

    def __init__(self):
        self.in_progress = 0
        self.mean_duration_s: float | None = None
        self.mean_first_event_s: float | None = None
        self.returns = admission.Returns()
        self._returns: dict[int, admission.Returns] = {}
        self._queue = admission.Queue(LIMIT, LEVELS)

    def __len__(self) -> int:
        return len(self._queue)

    def find_returns(self, priority: int) -> admission.Returns:
        """Returns the times at which callers of one priority return."""
        return self._returns.setdefault(_clamp(priority), admission.Returns())

    def count_ahead(self, priority: int) -> int:
        """Returns the waiting requests that come before a new one."""
        return self._queue.count_ahead(_clamp(priority))

    def has_precedence(self, priority: int) -> bool:
        """Returns whether waiting requests come before a new one."""
        return self._queue.count_ahead(_clamp(priority)) > 0

    async def wait(
        self,
        ticket: admission.Ticket,
        has_room: collections.abc.Callable[[], bool],
        candidates: int = 1,
    ) -> bool:
        """Waits until there is room for a request and it is its turn.

        Args:
            ticket: The request.
            has_room: Returns whether there is room for it now.
            candidates: See `offer`.

        Returns:
            Whether it is its turn; False at once if that is not expected
            before its deadline.
        """
        turn = trio.Event()
        ticket = dataclasses.replace(
            ticket, priority=_clamp(ticket.priority), item=(has_room, turn)
        )
        now = trio.current_time()
        if now >= ticket.deadline or self._queue.add(ticket, now) is not None:
            return False
        if candidates > 1:
            # Those ahead may not use the room that there is for this one.
            self.offer(candidates)
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

    def record_first_event(self, duration_s: float) -> None:
        """Records the time from the sending of a stream to its first event."""
        if self.mean_first_event_s is None:
            self.mean_first_event_s = duration_s
        self.mean_first_event_s += DURATION_SMOOTHING * (
            duration_s - self.mean_first_event_s
        )

    def offer(self, candidates: int = 1) -> None:
        """Lets the next request go on if there is room for it.

        Only one at a time, since it is counted on its servers only when it is
        sent.

        Args:
            candidates: Number of requests that are considered, each the next
                one of a priority and workspace: one that must not use the room
                does not hold up the others.
        """
        for ticket in self._queue.list_next(candidates):
            has_room, turn = ticket.item
            if has_room():
                self._queue.take(ticket, trio.current_time())
                turn.set()
                return


def _clamp(priority: int) -> int:
    return min(max(priority, 0), LEVELS - 1)
