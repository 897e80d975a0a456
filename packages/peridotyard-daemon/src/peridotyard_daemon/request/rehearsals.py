"""Rehearsals of requests: the decisions on them, without any effect.

A rehearsal runs the code that decides about a real request over read-only
stand-ins for the state that it would change. What the stand-ins do not offer
raises an error, so that a decision with a new effect ends the rehearsal rather
than changing the state.
"""

import copy
import dataclasses
import typing

from peridotyard_core import admission
from peridotyard_core import fleet
from peridotyard_core import paths
from peridotyard_core import quarantines
import trio

from peridotyard_daemon.process import reservations as reservations_module
from peridotyard_daemon.process import rooms
from peridotyard_daemon.process import views
from peridotyard_daemon.request import contexts

# Probability from which a random share of the links counts as room.
LIKELY = 0.5
# Members of a view that change nothing.
VIEW_READS = frozenset(
    (
        "entry_count",
        "estimate_cost",
        "get_load",
        "get_no_path_duration_s",
        "get_stated_wait_s",
        "is_suspected",
        "list_usable",
        "servers",
    )
)


@dataclasses.dataclass(frozen=True)
class Place:
    """Place of a request in the queue for room.

    Attributes:
        ahead: Requests that it would wait for.
        expected_wait_s: Expected time until its turn, seconds.
        limit_s: Longest time that it may wait, seconds.
        may_wait: Whether its turn is expected within that time.
    """

    ahead: int
    expected_wait_s: float
    limit_s: float
    may_wait: bool


@dataclasses.dataclass(frozen=True)
class Inquiry:
    """A reservation that a request would ask a coordinator for.

    Attributes:
        server: Server with a limit.
        wait_s: Known time until the limit allows a request, seconds.
        is_denied: Whether that exceeds the time that the request can wait, so
            that the coordinator is not asked.
    """

    server: fleet.Server
    wait_s: float
    is_denied: bool


@dataclasses.dataclass(frozen=True)
class Request(contexts.Request):
    """A request that is not logged.

    Attributes:
        assumed_priority: Priority to decide by; None for the actual one.
    """

    assumed_priority: int | None = None

    @classmethod
    def from_request(
        cls, request: contexts.Request, priority: int | None
    ) -> "Request":
        """Returns the rehearsed form of an admitted request."""
        return cls(**_read_fields(request), assumed_priority=priority)

    @property
    def priority(self) -> int:
        """The assumed priority, else that of the workspace or route."""
        if self.assumed_priority is not None:
            return self.assumed_priority
        return super().priority

    def log(self, logger, message: str, **fields) -> None:
        """Logs nothing."""


class ViewReader:
    """A view whose searches leave no trace.

    Attributes:
        link_chance: Probability that the links have room for the path that was
            searched last; None if it needs no room on them.
        needs_room: Whether the first path that was searched needs room; None
            before the first search.
    """

    def __init__(self, view: views.View):
        self._view = view
        self.link_chance: float | None = None
        self.needs_room: bool | None = None
        self._found: dict[tuple, paths.Path | None] = {}

    def __getattr__(self, name: str) -> typing.Any:
        if name not in VIEW_READS:
            raise AttributeError(f"{name} is not for rehearsals")
        return getattr(self._view, name)

    def choose_path(
        self,
        service: fleet.Service,
        avoid: frozenset[str] = frozenset(),
        not_first: frozenset[str] = frozenset(),
        needs_room: bool = False,
    ) -> paths.Path | None:
        """Does what `View.choose_path` does, without effects."""
        if self.needs_room is None:
            self.needs_room = needs_room
        # The state does not change during a rehearsal, and in a large fleet a
        # search takes tens of milliseconds.
        key = (service.name, avoid, not_first, needs_room)
        if key not in self._found:
            self._found[key] = self._search_path(
                service, avoid, not_first, needs_room
            )
        return self._found[key]

    def _search_path(
        self,
        service: fleet.Service,
        avoid: frozenset[str],
        not_first: frozenset[str],
        needs_room: bool,
    ) -> paths.Path | None:
        path = self._view.find_path(service, avoid, not_first, needs_room)
        if path is None or not needs_room:
            return path
        if paths.count_zone_changes(path):
            self.link_chance = self._view.estimate_link_chance(service, path)
            if self.link_chance < LIKELY:
                return None
        return path


class QueueReader:
    """A queue for room that no request enters.

    Attributes:
        place: Place of the request that would have waited last, if any.
        returns: Copy of the times at which refused callers return.
    """

    def __init__(self, queue: rooms.RoomQueue):
        self._queue = queue
        self.place: Place | None = None
        self.restore_returns()
        self.in_progress = queue.in_progress
        self.mean_duration_s = queue.mean_duration_s

    def __len__(self) -> int:
        return len(self._queue)

    def has_precedence(self, priority: int) -> bool:
        """Returns whether waiting requests come before a new one."""
        return self._queue.has_precedence(priority)

    def restore_returns(self) -> None:
        """Copies the times at which refused callers return again."""
        self.returns = copy.copy(self._queue.returns)

    async def wait(self, ticket: admission.Ticket, has_room) -> bool:
        """Records the place of a request, which does not wait."""
        self.place = Place(
            ahead=self._queue.count_ahead(ticket.priority),
            expected_wait_s=self._queue.estimate_wait(ticket.priority),
            limit_s=max(0.0, ticket.deadline - trio.current_time()),
            may_wait=self._queue.may_wait(ticket),
        )
        return False


class ReservationReader:
    """Reservations that are not made; no coordinator is asked.

    Attributes:
        inquiries: Reservations that would have been asked for, in order.
    """

    def __init__(
        self, reservations: reservations_module.Reservations, statements
    ):
        self._reservations = reservations
        self._statements = statements
        self.inquiries: list[Inquiry] = []

    @property
    def has_denials(self) -> bool:
        """Whether the limit of some server allows no request now."""
        return self._reservations.has_denials

    def get_wait_s(self, server: fleet.Server) -> float:
        """Returns the known time until a request can be reserved, seconds."""
        return self._reservations.get_wait_s(server)

    def is_exhausted(self, server: fleet.Server) -> bool:
        """Returns whether no request can be reserved now."""
        return self._reservations.is_exhausted(server)

    async def reserve(
        self, server: fleet.Server, max_wait_s: float = 0.0
    ) -> bool:
        """Returns whether a request may be sent as far as is known here."""
        if self._statements.find_limit(server) is None:
            return True
        denial = self._reservations.find_denial(server, max_wait_s)
        wait_s = self._reservations.get_wait_s(server)
        self.inquiries.append(Inquiry(server, wait_s, denial is not None))
        return denial is None


class ConstantRandom:
    """Random source that always returns the same value.

    Attributes:
        value: The value, from 0 to 1.
    """

    def __init__(self, value: float):
        self.value = value

    def random(self) -> float:
        """Returns the value."""
        return self.value


class _NoMetrics:
    """Metrics that count nothing."""

    def increment(self, name: str, count: int = 1) -> None:
        """Counts nothing."""


class Context(contexts.Context):
    """State of an entry for one rehearsal, which changes none of it."""

    @classmethod
    def from_context(cls, context: contexts.Context) -> "Context":
        """Returns the state for one rehearsal."""
        values = _read_fields(context)
        values |= {
            "view": ViewReader(context.view),
            # A rehearsal opens no connections.
            "pool": None,
            "metrics": _NoMetrics(),
            "random": ConstantRandom(0.0),
            "reservations": ReservationReader(
                context.reservations, context.statements
            ),
            # Copies of a request are found by its body, which is not known.
            "quarantine": quarantines.Quarantine(),
            "streams": set(),
            "_budgets": {},
            "_queues": {},
            "_mean_durations": dict(context._mean_durations),
        }
        rehearsed = cls(**values)
        rehearsed._real_queues = context._queues
        return rehearsed

    def find_queue(self, service: str) -> QueueReader:
        """Returns a reader of the queue for room in a service."""
        if service not in self._queues:
            queue = self._real_queues.get(service)
            # A queue without requests is false.
            if queue is None:
                queue = rooms.RoomQueue()
            self._queues[service] = QueueReader(queue)
        return self._queues[service]

    def make_failures(self, make) -> tuple:
        """Returns the failure with the shortest and longest `Retry-After`.

        Args:
            make: Function that returns the failure.
        """
        failures = []
        for value in (0.0, 1.0):
            self.random.value = value
            for queue in self._queues.values():
                queue.restore_returns()
            failures.append(make())
        return tuple(failures)


def _read_fields(item) -> dict[str, typing.Any]:
    """Returns the fields of a data class by name."""
    return {
        field.name: getattr(item, field.name)
        for field in dataclasses.fields(item)
    }
