"""Stop signals and the drain of a process."""

import collections.abc
import contextlib
import signal

import trio


class AnswerLimit:
    """Time until which a process can answer requests, owned by the process.

    Attributes:
        until: The time; infinite until the process stops.
    """

    def __init__(self):
        self.until = float("inf")
        self._scopes: set[trio.CancelScope] = set()

    @property
    def is_set(self) -> bool:
        """Whether the process stops."""
        return self.until < float("inf")

    def set(self, until: float) -> None:
        """Sets the time, also for the work in progress; it only decreases."""
        self.until = min(self.until, until)
        for scope in self._scopes:
            scope.deadline = min(scope.deadline, self.until)

    @contextlib.contextmanager
    def move_on_at(
        self, deadline: float
    ) -> collections.abc.Iterator[trio.CancelScope]:
        """Cancels the body at a deadline, or at the limit if that is earlier.

        Unlike with `trio.move_on_at`, the limit may be set later.
        """
        with trio.CancelScope(deadline=min(deadline, self.until)) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)


class Lifecycle:
    """State of the shutdown of one process, owned by the process.

    Attributes:
        draining: Set by the first request to stop.
        stopped: Set by the second request to stop; the process ends at once.
    """

    def __init__(self):
        self.draining = trio.Event()
        self.stopped = trio.Event()

    def request_stop(self) -> None:
        """Starts the drain; a second call ends the process at once."""
        if self.draining.is_set():
            self.stopped.set()
        self.draining.set()

    async def watch_signals(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Requests a stop for each SIGTERM and SIGINT until cancelled."""
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as received:
            task_status.started()
            async for _ in received:
                self.request_stop()

    async def watch_reloads(
        self, reload, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Calls a function for each SIGHUP until cancelled.

        Without a handler, the signal would end the process.
        """
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            task_status.started()
            async for _ in received:
                reload()

    async def wait_drained(self, is_idle, limit_s: float, poll_s=0.02) -> bool:
        """Waits until the process is idle.

        Args:
            is_idle: Function that returns whether no work is in progress.
            limit_s: Longest time to wait.
            poll_s: Seconds between two calls of `is_idle`.

        Returns:
            False after the time limit, or if a second stop was requested.
        """
        with trio.move_on_after(limit_s):
            while not self.stopped.is_set():
                if is_idle():
                    return True
                with trio.move_on_after(poll_s):
                    await self.stopped.wait()
        return False
