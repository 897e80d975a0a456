"""Runs one case and maps its outcome to the exit status of its script."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import traceback

from support import deployment as deployment_module
from support import records

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# A script may run for 120 seconds.
TIME_LIMIT_S = 110.0

Case = collections.abc.Callable[
    [records.Record, bool], collections.abc.Awaitable[list[str]]
]


async def end_tasks(tasks: list[asyncio.Task]) -> None:
    """Cancels tasks and waits until they have ended."""
    running = set(tasks)
    while running:
        # Repeated, since `asyncio.wait_for` may swallow a cancellation.
        for task in running:
            task.cancel()
        _, running = await asyncio.wait(running, timeout=0.1)


def run(case: Case, folder: pathlib.Path) -> int:
    """Runs a case; returns the exit status of its script.

    Args:
        case: Returns the violations of its rule that it has seen. Its arguments
            are the record, and whether the disruption takes place.
        folder: Folder of the case, which receives `record.txt`.
    """
    record = records.Record(folder / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    try:
        violations = asyncio.run(_run_limited(case, record, is_troubled))
    except (deployment_module.CannotRunError, asyncio.TimeoutError) as error:
        record.write("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        return CANNOT_RUN
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        record.write("could not run", reason=traceback.format_exc())
        traceback.print_exc()
        return CANNOT_RUN
    finally:
        record.close()
    for violation in violations:
        print(violation)
    print("rule broken" if violations else "rule held")
    return BROKEN if violations else HELD


async def _run_limited(
    case: Case, record: records.Record, is_troubled: bool
) -> list[str]:
    """Runs a case, which ends its processes also if it is stopped."""
    loop = asyncio.get_running_loop()
    task = asyncio.create_task(case(record, is_troubled))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, TIME_LIMIT_S)
