"""Runs trio code on a virtual clock with a deterministic scheduler."""

import random
import signal

import trio
import trio.testing

# Real seconds, far more than a test needs. A task that spins without sleeping
# stops the virtual clock, so that the virtual limit would never be reached.
REAL_LIMIT_S = 120


def run(function, *args, limit_s: float = 3600):
    """Runs an async function on a virtual clock: sleeping takes no real time.

    Args:
        function: The async function.
        *args: Its arguments.
        limit_s: Virtual seconds after which the run fails, so that a test
            that waits forever fails instead of hanging.
    """
    # trio shuffles tasks that are ready at the same time; a fixed seed gives
    # the same order, and so the same test result, in every run.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r = random.Random(0)

    async def limited():
        with trio.fail_after(limit_s):
            return await function(*args)

    def fail(_signal, _frame):
        raise TimeoutError(f"the test ran for {REAL_LIMIT_S} real seconds")

    previous = signal.signal(signal.SIGALRM, fail)
    signal.alarm(REAL_LIMIT_S)
    try:
        return trio.run(
            limited, clock=trio.testing.MockClock(autojump_threshold=0)
        )
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous)
