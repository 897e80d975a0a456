"""Callers of the soak, and checks of the responses that they receive."""

import dataclasses
import json
import time

import h11
from peridotyard_core import addresses
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import gateway
from peridotyard_platform import settings
import trio

from tests.soak import deployment as deployment_module
from tests.soak import stand_ins
from tests.support import gateways

TIME_LIMIT_S = 6.0
# Statuses which guarantee that a request has not run and will never run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class Outcome:
    """Outcome of one request at its caller.

    Attributes:
        request_id: Id of the request.
        route: Name of the route.
        status: Status of the response, 0 without one.
        is_complete: Whether the end of the response was received.
        body: Received part of the body.
    """

    request_id: str
    route: str
    status: int = 0
    is_complete: bool = False
    body: bytes = b""

    @property
    def has_succeeded(self) -> bool:
        """Whether the response is successful and complete."""
        return self.status == 200 and self.is_complete


class Caller:
    """One caller, which reuses a connection for as long as it works.

    Attributes:
        outcomes: Outcomes of its requests in the order in which they were sent.
    """

    def __init__(self, deployment: deployment_module.Deployment, number: int):
        self._deployment = deployment
        self._number = number
        self._pool = upstreams.Pool(upstreams.open_tcp)
        self._sent = 0
        self.outcomes: list[Outcome] = []

    async def run(self) -> None:
        """Sends one request after the other until cancelled."""
        random = self._deployment.random
        while True:
            entry = random.randrange(deployment_module.ENTRIES)
            route = random.choice(("chat", "look", "book", "book"))
            await self.send(entry, route)
            await trio.sleep(random.uniform(0.0, 0.2))

    async def send(self, entry: int, route: str, key: str = "key") -> Outcome:
        """Sends one request and records its outcome."""
        self._sent += 1
        outcome = Outcome(f"c{self._number}-{self._sent}", route)
        self.outcomes.append(outcome)
        address = self._deployment.make_entry_address(entry)
        with trio.move_on_after(TIME_LIMIT_S + 1.0):
            try:
                connection = await self._pool.acquire(address)
            except upstreams.UnsentError:
                return outcome
            try:
                await self._exchange(connection, outcome, key)
                self._pool.release(connection)
            except upstreams.LostError:
                # Closed or reset before the end: `is_complete` stays False.
                connection.abort()
        return outcome

    async def _exchange(self, connection, outcome: Outcome, key: str) -> None:
        headers = (
            (b"Host", deployment_module.HOST.encode()),
            (b"X-Attempt-Id", outcome.request_id.encode()),
            (b"X-Deadline-Ms", str(int(1000 * TIME_LIMIT_S)).encode()),
            (b"Api-Key", key.encode()),
        )
        body = f"body of {outcome.request_id}".encode()
        target = f"/{outcome.route}/x"
        await connection.send("POST", target, headers, body)
        while not isinstance(event := await connection.receive(), _END):
            if isinstance(event, h11.Response):
                outcome.status = event.status_code
            else:
                outcome.body += bytes(event.data)
        outcome.is_complete = True


_END = h11.EndOfMessage


def find_problems(outcomes: list[Outcome], runs: list[str]) -> list[str]:
    """Returns the violated guarantees.

    TWICE: a non-idempotent request ran more than once. REFUSED: a request ran
    although its status says that it did not. MIXED: a response belongs to
    another request. ORDER: events of a stream are missing or out of order.

    Args:
        outcomes: Outcomes of all requests.
        runs: Ids of the requests that servers ran, one for each run.
    """
    problems = []
    for outcome in outcomes:
        name = f"{outcome.request_id} {outcome.route} {outcome.status}"
        ran = runs.count(outcome.request_id)
        if outcome.route == "book" and ran > 1:
            problems.append(f"TWICE: {name} ran {ran} times")
        if (
            outcome.route == "book"
            and ran
            and outcome.status in NOT_RUN_STATUSES
        ):
            problems.append(f"REFUSED: {name} ran")
        if outcome.status == 200:
            problem = _check_success(outcome)
            if problem:
                problems.append(f"{problem}: {name}")
    return problems


def _check_success(outcome: Outcome) -> str:
    """Returns the guarantee that the body of a success violates, or ""."""
    if outcome.route != "chat":
        expected = f"answer to {outcome.request_id}".encode()
        is_expected = outcome.body == expected
        is_prefix = expected.startswith(outcome.body)
        return (
            ""
            if is_expected or (is_prefix and not outcome.is_complete)
            else "MIXED"
        )
    numbers = gateways.read_event_ids(outcome.body)
    if numbers != list(range(1, len(numbers) + 1)):
        return "ORDER"
    if outcome.is_complete and len(numbers) != stand_ins.EVENTS:
        return "ORDER (ends early)"
    return ""


def read_version(response: tuple[int, bytes] | None) -> int | None:
    """Returns the configuration version that an entry reports, None if none.

    Args:
        response: Status and body of the fleet resource, None without response.
    """
    if response is None or response[0] != 200:
        # The entry is stopped or has just started.
        return None
    routing = json.loads(response[1]).get("routing")
    return routing["version"] if routing else 0


class ConfigurationCheck:
    """Checks which configuration version is in effect on each entry."""

    # Time limit for a version to take effect on an entry without faults.
    APPLY_S = 2.0
    # Time after a fault within which an entry reconnects to the store.
    RECONNECT_S = 3.0
    # Interval between two checks, plus the delay of one on a busy machine.
    TOLERANCE_S = 0.5

    def __init__(self, deployment: deployment_module.Deployment):
        self._deployment = deployment
        # Number of process starts and last observed version, by entry.
        self._observed: dict[int, tuple[int, int]] = {}

    async def run(self) -> None:
        """Checks all entries until cancelled."""
        while True:
            for number in range(deployment_module.ENTRIES):
                await self._check_entry(number)
            await trio.sleep(0.1)

    async def _check_entry(self, number: int) -> None:
        deployment = self._deployment
        requested_at = time.monotonic()
        start = deployment.starts[number]
        host = deployment.make_entry_address(number).host
        response = await deployment.fetch(
            addresses.Address(host, settings.METRICS_PORT), gateway.FLEET_TARGET
        )
        version = read_version(response)
        if version is None or start != deployment.starts[number]:
            return
        observed_start, observed_version = self._observed.get(
            number, (start, 0)
        )
        if observed_start == start and version < observed_version:
            deployment.problems.append(
                f"CONFIG: entry {number} went back from {observed_version}"
                f" to {version}"
            )
        self._observed[number] = (start, version)
        expected_version = max(
            (
                v
                for v, at in deployment.written_at.items()
                if requested_at - at > self.APPLY_S + self.TOLERANCE_S
            ),
            default=0,
        )
        is_undisturbed = all(
            requested_at - deployment.disturbed_until.get(name, 0.0)
            > self.RECONNECT_S + self.TOLERANCE_S
            for name in (f"entry {number}", "store")
        )
        if is_undisturbed and version < expected_version:
            deployment.problems.append(
                f"CONFIG: entry {number} has {version}, expected"
                f" {expected_version}"
            )
