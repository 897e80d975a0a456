"""Runs trio code on a virtual clock with a deterministic scheduler."""

import random

import trio
import trio.testing


def run(function, *args, limit_s: float = 3600):
    """Runs an async function; sleeping takes no real time.

    Args:
        function: The async function.
        *args: Its arguments.
        limit_s: Virtual seconds after which the run fails, so that a test
            that waits for ever fails instead of hanging.
    """
    # trio shuffles tasks that are ready together; a fixed seed gives the same
    # order, and so the same verdict, in every run.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r = random.Random(0)

    async def limited():
        with trio.fail_after(limit_s):
            return await function(*args)

    return trio.run(limited, clock=trio.testing.MockClock(autojump_threshold=0))
