"""Stop signals and the drain of a process."""

import signal

import trio


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
