"""Long-running tasks of a process that are started again after an error."""

import collections.abc

import trio

from peridotyard_daemon.process import logs

# Pause before a duty that has failed is started again; it doubles with each
# failure up to the maximum.
PAUSE_MIN_S = 0.1
PAUSE_MAX_S = 5.0
# Time without an error after which the pause is the shortest one again.
STEADY_S = 10.0

_log = logs.Logger("duty")

Duty = collections.abc.Callable[[], collections.abc.Awaitable[None]]
Count = collections.abc.Callable[[str], None]


async def run(name: str, duty: Duty, count: Count) -> None:
    """Runs a duty until it returns, and again after each error.

    The duty keeps its state in an object that outlives the error. An error in
    one duty must not end the others, nor the requests in progress.

    Args:
        name: Name of the duty, for the log and the metric `internal_errors`.
        duty: Async function that runs until cancelled.
        count: Increases the counter of the given name.
    """
    pause_s = PAUSE_MIN_S
    while True:
        started_at = trio.current_time()
        if await run_once(name, duty, count):
            return
        if trio.current_time() - started_at >= STEADY_S:
            pause_s = PAUSE_MIN_S
        await trio.sleep(pause_s)
        pause_s = min(2 * pause_s, PAUSE_MAX_S)


async def run_once(name: str, duty: Duty, count: Count) -> bool:
    """Runs a duty; returns whether it ended without an error.

    Args:
        name: Name of the duty, see `run`.
        duty: Async function.
        count: Increases the counter of the given name.
    """
    try:
        await duty()
    except Exception as error:
        count(f"internal_errors.{name}")
        _log.error(
            "duty ended by an internal error",
            duty=name,
            **logs.describe_error(error),
        )
        return False
    return True
