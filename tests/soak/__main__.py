"""Runs the soak: `python -m tests.soak --seeds 1-50 --seconds 15`."""

import argparse
import dataclasses
import pathlib
import random
import re
import signal
import sys
import time

import trio

from tests.soak import callers as callers_module
from tests.soak import deployment as deployment_module
from tests.soak import faults as faults_module

CALLERS = 14
# Time after the last fault within which requests have to be served again.
RECOVERY_S = 12.0
# Number of consecutive successful requests after which the deployment counts as
# serving.
REQUIRED_SUCCESSES = 12
PUBLISH_INTERVAL_S = 0.3
# Seeds that failed once, each with its cause.
REGRESSION_SEEDS = pathlib.Path(__file__).with_name("seeds.txt")
LOG_DIRECTORY = pathlib.Path("target/soak")


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of one seed.

    Attributes:
        requests: Number of requests.
        served: Number of requests with a complete, successful response.
        recovery_s: Time from the last fault until requests were served.
        problems: Violated guarantees.
        faults: Time, kind and duration of each fault.
    """

    requests: int
    served: int
    recovery_s: float
    problems: list[str]
    faults: list[str]


async def run_seed(seed: int, seconds: float) -> Result:
    """Runs a deployment under faults, and checks the responses of callers."""
    folder = LOG_DIRECTORY / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    for old in folder.iterdir():
        old.unlink()
    source = random.Random(seed)
    deployment = deployment_module.Deployment(source, folder)
    faults = faults_module.Faults(deployment)
    callers = [
        callers_module.Caller(deployment, number) for number in range(CALLERS)
    ]
    recovery_s = 0.0
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            nursery.start_soon(_publish_servers, deployment)
            with trio.move_on_after(20):
                # Requests are served once the entries have placed the layers.
                await _wait_until_served(callers[0])
            nursery.start_soon(
                callers_module.ConfigurationCheck(deployment).run
            )
            async with trio.open_nursery() as load:
                for caller in callers:
                    load.start_soon(caller.run)
                await faults.run(seconds)
                load.cancel_scope.cancel()
            started_at = time.monotonic()
            with trio.move_on_after(RECOVERY_S) as scope:
                await _wait_until_served(callers[0])
            recovery_s = time.monotonic() - started_at
            if scope.cancelled_caught:
                deployment.problems.append("RECOVER: not served in time")
            nursery.cancel_scope.cancel()
    finally:
        deployment.stop()
    outcomes = [outcome for caller in callers for outcome in caller.outcomes]
    runs = [name for item in deployment.all_servers for name in item.runs]
    problems = deployment.problems + callers_module.find_problems(
        outcomes, runs
    )
    return Result(
        len(outcomes),
        sum(outcome.has_succeeded for outcome in outcomes),
        recovery_s,
        problems,
        faults.history,
    )


async def _wait_until_served(caller: callers_module.Caller) -> None:
    """Sends requests until `REQUIRED_SUCCESSES` in a row were served."""
    successes = 0
    # Four requests of each route, alternating between the entries.
    while successes < REQUIRED_SUCCESSES:
        entry = successes % deployment_module.ENTRIES
        route = ("chat", "look", "book")[successes // 4]
        outcome = await caller.send(entry, route)
        successes = successes + 1 if outcome.has_succeeded else 0
        if not outcome.has_succeeded:
            await trio.sleep(0.2)


async def _publish_servers(deployment: deployment_module.Deployment) -> None:
    """Writes rows of servers with new layers, and checks entry processes."""
    published = {}
    while True:
        deployment.check_processes()
        for item in deployment.models.values():
            layer_range = item.server.layer_range
            if (
                not item.is_draining
                and published.get(item.server.instance) != layer_range
            ):
                published[item.server.instance] = layer_range
                deployment.write_server_row(item, ready=True)
        await trio.sleep(PUBLISH_INTERVAL_S)


def read_regressions() -> list[int]:
    """Returns the seeds that failed once."""
    text = REGRESSION_SEEDS.read_text()
    return [int(seed) for seed in re.findall(r"^(\d+)\b", text, re.M)]


def main() -> int:
    """Runs the seeds of the arguments; returns the exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak")
    parser.add_argument(
        "--seeds", default="", help="a seed, or a range such as 1-50"
    )
    parser.add_argument(
        "--regressions", action="store_true", help="seeds that failed once"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    # SIGTERM is handled like an interrupt, so that the processes that the soak
    # started are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    first, _, last = arguments.seeds.partition("-")
    seeds = list(range(int(first), int(last or first) + 1)) if first else []
    if arguments.regressions:
        seeds += read_regressions()
    failed = 0
    for seed in seeds:
        result = trio.run(run_seed, seed, arguments.seconds)
        failed += bool(result.problems)
        print(
            f"seed {seed}: {result.requests} requests, {result.served} served,"
            f" recovery {result.recovery_s:.1f} s,"
            f" {len(result.problems)} problems",
            flush=True,
        )
        for problem in result.problems[:20]:
            print(f"    {problem}")
        if result.problems:
            for fault in result.faults:
                print(f"    fault: {fault}")
    print(f"{len(seeds)} seeds, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
