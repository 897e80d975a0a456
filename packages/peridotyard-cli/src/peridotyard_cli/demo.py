"""The subcommand demo: a stream, a repeated call and the loss of a stage."""

import argparse
import collections.abc
import sys
import time
import uuid

from peridotyard_emulator import callers
import trio

from peridotyard_cli import local

SUMMARY_TOKENS = 120
# Long enough that the stream is still in progress when the stage is killed.
LONG_TOKENS = 400
# Compared with the number of received characters, since each token of the
# emulated model is one character.
KILL_AFTER_TOKENS = 60
# The stage whose replica is killed, counted from 1. It is neither the first nor
# the last, so that the stages before and after it have to reconnect.
KILLED_STAGE = 2


class DemoError(local.DeploymentError):
    """The deployment did not behave as expected."""


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of `peridotyard demo`."""
    parser.add_argument(
        "--keep-logs",
        action="store_true",
        help="keep the logs of the processes",
    )


def run(options: argparse.Namespace) -> int:
    """Runs the demonstration; the exit status is 1 if a check failed."""
    start_s = time.monotonic()
    deployment = local.Deployment(keep_logs=options.keep_logs)
    try:
        deployment.start()
        _print_line(f"{len(deployment.plans)} processes are running")
        trio.run(_demonstrate, deployment)
    except local.DeploymentError as error:
        print(f"peridotyard demo: {error}", file=sys.stderr)
        return 1
    finally:
        deployment.stop()
    _print_line(f"all as expected, in {time.monotonic() - start_s:.0f} s")
    return 0


async def _demonstrate(deployment: local.Deployment) -> None:
    url = deployment.entry_urls[0]
    async with callers.Caller(url, deployment.keys["survey"]) as caller:
        await _demonstrate_stream(caller)
        await _demonstrate_tally(deployment, caller)
        await _demonstrate_failure(deployment, caller)


async def _demonstrate_stream(caller: callers.Caller) -> None:
    prompt = make_prompt("Summarize plot cedar-ridge-12.", SUMMARY_TOKENS)
    response = await caller.stream(prompt)
    check_stream(prompt, response)
    first_ms = (response.arrivals_s[0] - response.sent_s) * 1000
    _print_line(
        f"stream: {prompt.max_tokens} tokens through {local.STAGES} stages,"
        f" first after {first_ms:.0f} ms, equal to the expected text"
    )


async def _demonstrate_tally(
    deployment: local.Deployment, caller: callers.Caller
) -> None:
    key = uuid.uuid4().hex
    tally = make_tally()
    responses = []
    for _ in range(2):
        path = local.make_path("ledger")
        response = await caller.call("POST", path, tally, key)
        if not response.is_success:
            raise DemoError(f"tally: {response.status} {response.code}")
        responses.append(response.body)
    count = count_executions(deployment, "ledger", tally["id"])
    _print_line(f"tally: submitted twice with one key, counted {count} time(s)")
    if count != 1 or responses[0] != responses[1]:
        raise DemoError(f"tally: counted {count} times, responses {responses}")


async def _demonstrate_failure(
    deployment: local.Deployment, caller: callers.Caller
) -> None:
    prompt = make_prompt("Summarize every plot of the ridge.", LONG_TOKENS)
    killer = StageKiller(deployment, KILLED_STAGE, KILL_AFTER_TOKENS)
    response = await caller.stream(prompt, killer.handle_text)
    if not killer.killed:
        raise DemoError(
            f"the stream ended before a stage was killed: {response.code}"
        )
    check_stream(prompt, response)
    pairs = zip(response.arrivals_s, response.arrivals_s[1:], strict=False)
    gap_ms = max(later - earlier for earlier, later in pairs) * 1000
    _print_line(
        f"failure: {' and '.join(killer.killed)} killed after"
        f" {killer.characters} characters, longest gap {gap_ms:.0f} ms,"
        f" all {prompt.max_tokens} tokens equal to the expected text"
    )


class StepSnapshot:
    """Step counts of all engines, recorded before a stream starts.

    The engines whose counts grow are those that the stream uses, as long as no
    other stream runs. Owned by the caller that reads the stream.
    """

    def __init__(self, deployment: local.Deployment):
        self._deployment = deployment
        self._before = {
            plan.name: self._count(plan.name)
            for plan in deployment.plans
            if plan.role == "engine"
        }

    def find_replica(self, stage: int) -> str:
        """Returns the engine that runs a stage of the stream.

        Args:
            stage: Number of the stage, counted from 1.

        Raises:
            DemoError: No replica or several replicas have run steps.
        """
        names = [f"engine-{stage}{replica}" for replica in local.REPLICAS]
        used = [
            name for name in names if self._count(name) > self._before[name]
        ]
        if len(used) != 1:
            raise DemoError(
                f"stage {stage}: expected steps on one replica, got {used}"
            )
        return used[0]

    def _count(self, name: str) -> int:
        return read_state(self._deployment, name)["steps"]


class StageKiller:
    """Kills engine and sidecar of the replica that runs a stage, once.

    Owned by the caller that reads the stream.

    Attributes:
        killed: Names of the killed processes, empty before the kill.
        characters: Length of the received text at the time of the kill.
    """

    def __init__(
        self, deployment: local.Deployment, stage: int, after_characters: int
    ):
        self._deployment = deployment
        self._stage = stage
        self._after = after_characters
        self._snapshot = StepSnapshot(deployment)
        self.killed = []
        self.characters = 0

    def handle_text(self, text: str) -> None:
        """Handles the text received so far; see `callers.Caller.stream`."""
        if self.killed or len(text) < self._after:
            return
        name = self._snapshot.find_replica(self._stage)
        self.characters = len(text)
        self.killed = [name, f"sidecar-{name}"]
        for process_name in self.killed:
            self._deployment.kill(process_name)


def make_tally(count: int = 41) -> dict:
    """Returns a record for the service "ledger", with a new id."""
    return {
        "id": uuid.uuid4().hex,
        "plot": "cedar-ridge-12",
        "species": "fir",
        "count": count,
    }


def make_prompt(text: str, max_tokens: int, seed: int = 7) -> callers.Prompt:
    """Returns a streaming request for the model of the trial deployment."""
    return callers.Prompt(local.MODEL, local.LAYERS, text, seed, max_tokens)


def check_stream(prompt: callers.Prompt, response: callers.Response) -> None:
    """Compares a response with the expected tokens.

    Raises:
        DemoError: The response is incomplete or differs.
    """
    if not response.is_success or not response.is_complete:
        raise DemoError(
            f"stream: status {response.status}, error {response.code!r}"
            f" {response.verdict}, after {len(response.text)} characters"
        )
    expected = prompt.generate()
    if response.text != expected:
        index = find_difference(response.text, expected)
        raise DemoError(
            f"stream: {len(response.text)} characters, expected"
            f" {len(expected)}; they differ from character {index}"
        )


def find_difference(
    first: collections.abc.Sequence, second: collections.abc.Sequence
) -> int:
    """Returns the first index at which two sequences differ."""
    for index, (one, other) in enumerate(zip(first, second, strict=False)):
        if one != other:
            return index
    return min(len(first), len(second))


def read_state(deployment: local.Deployment, name: str) -> dict:
    """Returns `/control/state` of an emulated backend server."""
    response = local.send(
        "GET", f"http://{find_control_address(deployment, name)}/control/state"
    )
    if response.status != 200:
        raise DemoError(
            f"{name}: /control/state: unexpected status {response.status}"
        )
    return response.json


def find_control_address(deployment: local.Deployment, name: str) -> str:
    """Returns the address of the control interface of an emulated server."""
    for plan in deployment.plans:
        if plan.name == name:
            return plan.sections["listen"].get("control", plan.address)
    raise DemoError(f"no process {name!r}")


def count_executions(
    deployment: local.Deployment, service: str, record_id: str
) -> int:
    """Returns how often the servers of a service executed a submission.

    Args:
        deployment: The deployment.
        service: Name of the service.
        record_id: Id of the submitted record.
    """
    count = 0
    for plan in deployment.plans:
        serves_service = plan.sections.get("service", {}).get("kind") == service
        if plan.role == "service" and serves_service:
            count += read_state(deployment, plan.name)["executions"].get(
                record_id, 0
            )
    return count


def list_usable_sidecars(deployment: local.Deployment, entry: int) -> set[str]:
    """Returns the sidecars whose backend servers an entry can use now.

    Args:
        deployment: The deployment.
        entry: Index of the entry.
    """
    url = deployment.list_admin_urls()[entry]
    response = local.send(
        "GET", f"{url}/admin/v1/status", deployment.admin_token
    )
    if response.status != 200:
        return set()
    return {
        route["instance"]
        for route in response.json["routes"]
        if route["usable"]
    }


def _print_line(line: str) -> None:
    print(line, flush=True)
