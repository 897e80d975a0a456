"""Tests of the reservations between entries, without requests.

They cover peridotyard_daemon.process.reservations and announcements.
"""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies
from peridotyard_core import limits
from peridotyard_core import topologies
from peridotyard_daemon.process import announcements
from peridotyard_daemon.process import reservations
from peridotyard_daemon.process import statements
from peridotyard_daemon.wire.generated import ttypes
import pytest
import trio

from tests.support import cases
from tests.support import fleets

SERVER = fleets.make_server("x")
WINDOW_S = 4.0
# Time after which a connection without heartbeats is closed.
HEARTBEAT_TIMEOUT_S = 1.5
# Time after its statement from which a server's limit is in force.
GRACE_S = 4.0


def ignore(_name):
    """Counter that counts nothing."""


@dataclasses.dataclass
class Link:
    """One direction of a connection between two entries of a `Fleet`."""

    fleet: "Fleet"
    source: "Entry"
    target: "Entry"

    @property
    def peer(self) -> ttypes.Hello:
        """Hello of the entry at the other end."""
        return ttypes.Hello(instance=self.target.name)

    def post(self, frame: ttypes.Frame) -> None:
        """Delivers a frame after a random delay, unless it is lost."""
        self.fleet.deliver(self, frame)


class Entry:
    """The exchange of one entry, as part of a fully connected fleet."""

    def __init__(self, fleet: "Fleet", name: str):
        self.fleet = fleet
        self.name = name
        self.is_running = True
        self.statements = statements.Statements(ignore, random.Random(0))
        self.reservations = reservations.Reservations(self.statements, ignore)
        self.exchange = announcements.Exchange(
            self, self.statements, self.reservations
        )

    def find_coordinator(self, instance: str) -> Link | None:
        """See `announcements.Mesh`."""
        names = [entry.name for entry in self.fleet.list_connected(self)]
        chosen = topologies.choose_coordinator(instance, names)
        if chosen == self.name:
            return None
        return Link(self.fleet, self, self.fleet.entries[chosen])

    def is_from_member(self, _connection) -> bool:
        """See `announcements.Mesh`."""
        return False

    def compute_limit_share(self) -> float:
        """See `announcements.Mesh`."""
        connected = len(self.fleet.list_connected(self))
        return connected / len(self.fleet.list_running())

    def forward(self, frame: ttypes.Frame, source=None) -> None:
        """Sends a message of this entry to all others."""
        if source is None:
            for other in self.fleet.list_running():
                if other is not self:
                    Link(self.fleet, self, other).post(frame)


class Fleet:
    """Entries whose messages are late, reordered and sometimes lost."""

    def __init__(self, nursery, count: int, seed: int, loss: float):
        self.entries = {f"e{n}": Entry(self, f"e{n}") for n in range(count)}
        # Time since which entries are cut off from all others, by name.
        self.cut_at: dict[str, float] = {}
        self._nursery = nursery
        self._random = random.Random(seed)
        self._loss = loss

    def list_running(self) -> list[Entry]:
        """Returns the entries that have not been stopped."""
        return [e for e in self.entries.values() if e.is_running]

    def start_entry(self) -> Entry:
        """Starts an entry, which learns the statements from the others."""
        entry = Entry(self, f"e{len(self.entries)}")
        others = [o for o in self.list_running() if not self.is_cut(entry, o)]
        self.entries[entry.name] = entry
        for other in others:
            other.exchange.send_statements(Link(self, other, entry))
        return entry

    def is_cut(self, entry: Entry, other: Entry) -> bool:
        """Returns whether two entries cannot reach each other."""
        return entry is not other and bool(
            self.cut_at.keys() & {entry.name, other.name}
        )

    def list_connected(self, entry: Entry) -> list[Entry]:
        """Returns an entry and those that it takes for connected.

        A cut is noticed when heartbeats are missing.
        """
        noticed_at = trio.current_time() - HEARTBEAT_TIMEOUT_S
        return [
            other
            for other in self.list_running()
            if not self.is_cut(entry, other)
            or max(
                self.cut_at.get(e.name, float("-inf")) for e in (entry, other)
            )
            > noticed_at
        ]

    def deliver(self, link: Link, frame: ttypes.Frame) -> None:
        """Delivers a frame, see `Link.post`."""
        is_cut = self.is_cut(link.source, link.target)
        if not is_cut and self._random.random() >= self._loss:
            self._nursery.start_soon(self._deliver_later, link, frame)

    async def _deliver_later(self, link: Link, frame: ttypes.Frame) -> None:
        await trio.sleep(self._random.uniform(0.0, 0.06))
        if not link.target.is_running:
            return
        exchange = link.target.exchange
        back = Link(self, link.target, link.source)
        if frame.server_statements is not None:
            exchange.handle_statements(back, frame.server_statements)
        if frame.reservation_request is not None:
            exchange.handle_request(back, frame.reservation_request)
        if frame.reservation_reply is not None:
            exchange.handle_reply(back, frame.reservation_reply)


async def send_requests(entry, sent_at, seed, pause_s) -> None:
    """Sends requests of an entry at random times until it stops."""

    async def send_request():
        if await entry.reservations.reserve(SERVER) and entry.is_running:
            sent_at.append(trio.current_time())

    source = random.Random(seed)
    async with trio.open_nursery() as nursery:
        while entry.is_running:
            await trio.sleep(source.expovariate(1 / pause_s))
            nursery.start_soon(send_request)


def state_limit(entry: Entry, limit_per_s: float) -> None:
    """Lets an entry hear a limit from the server itself."""
    now = trio.current_time()
    record = statements.Record(SERVER.started_at_ms, limit_per_s, now, now)
    entry.statements.apply_peer(SERVER.instance, record)
    entry.statements.notify(SERVER.instance, record)


def count_most(sent_at: list[float], start: float) -> int:
    """Returns the largest number of requests in a window after a time."""
    times = [at for at in sent_at if at >= start]
    return max(
        (sum(t <= at < t + WINDOW_S for at in times) for t in times), default=0
    )


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("loss", [0.0, 0.05])
@pytest.mark.parametrize("uneven", [False, True])
def test_forty_entries_stay_within_a_limit_and_use_it(seed, loss, uneven):
    """Guards against LIMIT with entries that apply a limit one by one."""
    limit_per_s, duration_s = 5.0, 40.0
    sent_at: list[float] = []

    @cases.run_on_virtual_clock
    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 40, seed, loss)
            for entry in fleet.entries.values():
                state_limit(entry, limit_per_s)
            for number, entry in enumerate(fleet.entries.values()):
                pause_s = 0.2 * (number + 1) ** 2 if uneven else 0.4
                nursery.start_soon(
                    send_requests, entry, sent_at, 100 * seed + number, pause_s
                )
            await trio.sleep(duration_s)
            nursery.cancel_scope.cancel()

    run()
    assert count_most(sent_at, GRACE_S) <= 1.5 * WINDOW_S * limit_per_s + 5
    used = sum(at >= GRACE_S for at in sent_at)
    assert used >= 0.8 * limit_per_s * (duration_s - GRACE_S)


@pytest.mark.parametrize("seed", range(5))
def test_limit_holds_while_coordinators_stop(seed):
    limit_per_s = 2.0
    sent_at: list[float] = []

    @cases.run_on_virtual_clock
    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 10, seed, 0.02)
            for entry in fleet.entries.values():
                state_limit(entry, limit_per_s)
            for number, entry in enumerate(fleet.entries.values()):
                nursery.start_soon(
                    send_requests, entry, sent_at, 100 * seed + number, 0.1
                )
            for _ in range(8):
                await trio.sleep(2.5)
                names = [entry.name for entry in fleet.list_running()]
                name = topologies.choose_coordinator(SERVER.instance, names)
                fleet.entries[name].is_running = False
            nursery.cancel_scope.cancel()

    run()
    assert count_most(sent_at, GRACE_S) <= 1.5 * WINDOW_S * limit_per_s + 5
    used = sum(at >= GRACE_S for at in sent_at)
    assert used >= 0.5 * limit_per_s * (20.0 - GRACE_S)


def make_reservations(record) -> reservations.Reservations:
    """Returns those of an entry that has heard one statement of `SERVER`."""
    table = statements.Statements(ignore, random.Random(0))
    table.apply_peer(SERVER.instance, record)
    return reservations.Reservations(table, ignore)


@cases.run_on_virtual_clock
async def test_coordinator_without_a_reply_grants_nothing():
    own = make_reservations(statements.Record(0, 5.0, 1.0, 0.0))
    now = trio.current_time()
    own.ask = lambda inquiry, reply: None
    assert not await own.reserve(SERVER)
    assert trio.current_time() - now == pytest.approx(
        reservations.REPLY_TIMEOUT_S
    )
    assert own.is_exhausted(SERVER)


@cases.run_on_virtual_clock
async def test_request_waits_until_the_limit_allows_it():
    own = make_reservations(statements.Record(0, 5.0, 1.0, 0.0))
    now = trio.current_time()
    assert not await own.reserve(SERVER, 0.1)
    assert own.get_wait_s(SERVER) == pytest.approx(0.2)
    assert await own.reserve(SERVER, 0.2)
    assert trio.current_time() - now == pytest.approx(0.2)


@cases.run_on_virtual_clock
async def test_coordinator_that_knows_the_end_of_a_limit_grants_requests():
    own = make_reservations(statements.Record(0, None, 2.0, 2.0))
    inquiry = reservations.Inquiry(
        "x", statements.Record(0, 0.5, 1.0, 1.0, "e2"), 0.0
    )
    assert own.decide(inquiry, 1.0) == limits.Granted(0.0)


@cases.run_on_virtual_clock
async def test_coordinator_uses_the_limit_of_the_newest_process():
    own = make_reservations(statements.Record(7, 2.0, 2.0, 2.0))
    older = statements.Record(0, 50.0, 3.0, 3.0, "e2")
    decision = own.decide(reservations.Inquiry("x", older, 0.0), 1.0)
    assert decision == limits.Denied(0.5)


@hypothesis.settings(**dict(cases.DERANDOMIZED, max_examples=25))
@hypothesis.given(
    limit_per_s=strategies.sampled_from([0.5, 2.0, 8.0]),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("stop", "start", "cut", "heal", "state")),
            strategies.integers(0, 11),
            strategies.sampled_from([0.1, 0.7, 2.0]),
        ),
        max_size=15,
    ),
)
def test_limit_holds_while_entries_stop_start_and_are_cut_off(
    limit_per_s, steps
):
    """The requests of entries that were cut off or started do not count."""
    sent_at: dict[str, list[float]] = collections.defaultdict(list)
    excused = set()

    @cases.run_on_virtual_clock
    async def run():
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, 12, 1, 0.02)

            def start(entry):
                number = int(entry.name[1:])
                nursery.start_soon(
                    send_requests, entry, sent_at[entry.name], number, 0.1
                )

            for entry in fleet.entries.values():
                state_limit(entry, limit_per_s)
                start(entry)
            await trio.sleep(GRACE_S)
            for kind, number, pause_s in steps:
                entry = fleet.entries[f"e{number}"]
                match kind:
                    case "stop" if len(fleet.list_running()) > 1:
                        entry.is_running = False
                    case "start":
                        entry = fleet.start_entry()
                        excused.add(entry.name)
                        start(entry)
                    case "cut":
                        fleet.cut_at[entry.name] = trio.current_time()
                        excused.add(entry.name)
                    case "heal":
                        fleet.cut_at.pop(entry.name, None)
                    case "state":
                        state_limit(entry, limit_per_s)
                await trio.sleep(pause_s)
            await trio.sleep(WINDOW_S)
            nursery.cancel_scope.cancel()

    run()
    times = sorted(
        at
        for name, values in sent_at.items()
        if name not in excused
        for at in values
    )
    allowed = 1.5 * WINDOW_S * limit_per_s + 5
    assert not times or count_most(times, 0.0) <= allowed
