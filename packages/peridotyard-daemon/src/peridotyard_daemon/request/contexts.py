"""One admitted request, and the state that all requests share."""

import collections.abc
import dataclasses
import functools
import random as random_module
import typing

from peridotyard_core import budgets
from peridotyard_core import crashes
from peridotyard_core import demands
from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import paths
from peridotyard_core import pauses
from peridotyard_core import prompts
from peridotyard_core import quarantines
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import callers
from peridotyard_daemon.connection import http
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import demands as demands_module
from peridotyard_daemon.process import lifecycle
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import metrics as metrics_module
from peridotyard_daemon.process import prompts as prompts_module
from peridotyard_daemon.process import reservations as reservations_module
from peridotyard_daemon.process import rooms
from peridotyard_daemon.process import statements as statements_module
from peridotyard_daemon.process import views

# Values of the header Retry-After for a refused caller. A full server of a
# plain service has served its queue by then; lost layers are usually loaded on
# another server (half a second until the loss is detected, one or two seconds
# to load).
RETRY_AFTER_BUSY_S = 0.5
RETRY_AFTER_LAYERS_S = 1.5
# Upper limit of that value. Callers wait for at most a third of their time
# limit (6.6 of 20 s).
RETRY_AFTER_MAX_S = 5.0
# Value for requests that a stopping entry refuses. It is short, since other
# entries can serve them.
RETRY_AFTER_STOP_S = 0.1
# Callers that are refused at the same moment return over a time of this share
# of the value, so that they do not fill the servers at once again.
RETRY_AFTER_SPREAD = 0.3

# Share of the latency objective for which a request waits until the limits of
# the servers allow it. Requests that wait longer would only be served later:
# the limit determines how many are served.
QUEUE_OBJECTIVE_SHARE = 0.25
# The same for room on the servers. Callers that are refused soon can still be
# served elsewhere in time.
ROOM_OBJECTIVE_SHARE = 0.125
# Part of the latency objective that is left for the servers where requests of
# several priorities compete, before the time to the first event is known.
FIRST_EVENT_SHARE = 0.5

# Weight of the newest duration in the mean duration of a route's requests.
DURATION_SMOOTHING = 0.2

# A server, or a path of servers.
_Choice = typing.TypeVar("_Choice")

_log = logs.Logger("request")


@dataclasses.dataclass(frozen=True)
class Request:
    """One admitted request, owned by its task.

    Attributes:
        head: Head of the caller's request.
        body: Its complete body.
        route: The matching route.
        service: The service chosen for it.
        workspace: The caller's workspace, None for a public route.
        version: Version of the configuration that route and service are from.
        arrived_at: Time of arrival.
        deadline: Time at which the complete response is due.
        answer_limit: Time until which this entry can answer.
        priority: Its rank, see `fleet.Routing.rank`; 0 is the first.
        hold: Returns whether the entry may keep a number of further bytes for
            the caller, those of a response.
    """

    head: exchanges.RequestHead
    body: bytes
    route: fleet.Route
    service: fleet.Service
    workspace: fleet.Workspace | None
    version: int
    arrived_at: float
    deadline: float
    answer_limit: lifecycle.AnswerLimit = dataclasses.field(
        default_factory=lifecycle.AnswerLimit
    )
    priority: int = 0
    hold: collections.abc.Callable[[int], bool] = lambda _: True

    def get_remaining_s(self) -> float:
        """Returns the seconds for which an answer can be awaited."""
        until = min(self.deadline, self.answer_limit.until)
        return until - trio.current_time()

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, empty for a public route."""
        return self.workspace.name if self.workspace else ""

    @functools.cached_property
    def fingerprint(self) -> int:
        """Hash that all copies of this request have in common."""
        return quarantines.compute_fingerprint(
            self.head.target, self.workspace_name, self.body
        )

    @functools.cached_property
    def shared_parts(self) -> tuple[int, ...]:
        """Fingerprints of the parts of its prompt that others may have too.

        The last part belongs to this request alone.
        """
        parts = dict.fromkeys(self.head.prompt_parts[:-1])
        service = self.service.name
        return tuple(
            prompts.compute_part_fingerprint(service, part) for part in parts
        )

    def make_dispatch(
        self,
        server: fleet.Server,
        path: paths.Path,
        last_event_id: int | None = None,
    ) -> exchanges.Dispatch:
        """Returns what the entry adds to the request for one server."""
        return exchanges.Dispatch(
            server=server,
            path=path,
            time_limit_s=max(0.0, self.get_remaining_s()),
            workspace=self.workspace_name,
            last_event_id=last_event_id,
            priority=self.priority,
        )

    @functools.cached_property
    def demand_key(self) -> demands.Key:
        """What its demand for capacity is counted under."""
        return demands.Key(
            self.service.name,
            demands_module.clamp_priority(self.priority),
            self.workspace_name,
        )

    @property
    def relative_size(self) -> float:
        """Tokens of prompt and answer, relative to the mean of the model."""
        engine = self.service.engine
        tokens = self.head.prompt_tokens + self.head.response_tokens
        if engine is None or not tokens:
            return 1.0
        return tokens / max(1, engine.prompt_tokens + engine.response_tokens)

    def log(self, logger: logs.Logger, message: str, **fields) -> None:
        """Logs a message with the id of this request."""
        logger.info(message, request=self.head.request_id, **fields)


@dataclasses.dataclass
class Context:
    """State that the requests of an entry share, owned by the process.

    Attributes:
        view: The entry's view of the fleet, which may be out of date.
        pool: Connections to servers.
        codec: Translation to and from the platform's wire format.
        metrics: Counters and histograms.
        random: Source of random choices.
        make_budget: Returns a new retry budget for a service.
        statements: What the servers state about themselves.
        reservations: Reservations of requests to limited servers.
        shares: Shares of the capacity by priority and workspace.
        answer_limit: Time until which this entry can answer requests.
        quarantine: Requests that crash servers.
        parts: Parts of prompts that crash servers.
        streams: Streams in progress, each a `relays.Stream`.
        pause_reports: Bounds the long pauses of streams that are logged.
        is_listed: Returns whether the other entries count this one as live, so
            that it may use its share of the retry budgets.
        notify_crash: Called with the request's fingerprint and each crash that
            the other entries have to know.
        notify_answered: Called with the fingerprint of a request that a server
            has answered, if the other entries know of a crash.
    """

    view: views.View
    pool: upstreams.Pool
    codec: exchanges.Codec
    metrics: metrics_module.Metrics
    random: random_module.Random
    make_budget: collections.abc.Callable[[], budgets.WindowBudget]
    statements: statements_module.Statements
    reservations: reservations_module.Reservations
    shares: demands_module.CapacityShares
    answer_limit: lifecycle.AnswerLimit = dataclasses.field(
        default_factory=lifecycle.AnswerLimit
    )
    quarantine: quarantines.Quarantine = dataclasses.field(
        default_factory=quarantines.Quarantine
    )
    parts: prompts_module.PartMonitor = dataclasses.field(
        default_factory=prompts_module.PartMonitor
    )
    streams: set = dataclasses.field(default_factory=set)
    pause_reports: pauses.ReportLimit = dataclasses.field(
        default_factory=pauses.ReportLimit
    )
    is_listed: collections.abc.Callable[[], bool] = lambda: True
    notify_crash: collections.abc.Callable[[int, crashes.Crash], None] = (
        lambda *_: None
    )
    notify_answered: collections.abc.Callable[[int], None] = lambda _: None
    _budgets: dict[str, budgets.WindowBudget] = dataclasses.field(
        default_factory=dict
    )
    # Requests that wait for room, by service.
    _queues: dict[str, rooms.RoomQueue] = dataclasses.field(
        default_factory=dict
    )
    # Means of the durations of successful requests, seconds, by route.
    _mean_durations: dict[str, float] = dataclasses.field(default_factory=dict)
    # Checks in progress, by instance.
    _ended_checks: dict[str, trio.Event] = dataclasses.field(
        default_factory=dict
    )

    def get_fleet_age_ms(self) -> int:
        """Returns the age of the list of servers, ms; -1 before the first."""
        age_s = trio.current_time() - self.view.servers_at
        return -1 if age_s == float("inf") else round(1000 * age_s)

    def find_budget(self, service: str) -> budgets.WindowBudget:
        """Returns the retry budget of a service; creates it on first use."""
        if service not in self._budgets:
            self._budgets[service] = self.make_budget()
        return self._budgets[service]

    def find_queue(self, service: str) -> rooms.RoomQueue:
        """Returns the queue for room in a service; creates it on first use."""
        if service not in self._queues:
            self._queues[service] = rooms.RoomQueue()
        return self._queues[service]

    def offer_room(self) -> None:
        """Lets requests that wait go on, if the servers have room again."""
        for service, queue in self._queues.items():
            queue.offer(self.count_candidates(service))

    def count_candidates(self, service: str) -> int:
        """Returns the requests that are considered for the same room."""
        return rooms.CANDIDATES if self.shares.is_contested(service) else 1

    def find_room_deadline(self, request: Request) -> float | None:
        """Returns until when a request waits for room.

        None if its turn is not expected while it could still be on time.
        """
        queue = self.find_queue(request.service.name)
        objective_s = request.route.latency_objective_s
        expected_s = self.shares.estimate_wait(
            request.demand_key, queue.count_ahead(request.priority)
        )
        if expected_s is None:
            limit_s = ROOM_OBJECTIVE_SHARE * objective_s
            return min(request.arrived_at + limit_s, request.deadline)
        first_event_s = queue.mean_first_event_s
        if first_event_s is None:
            first_event_s = FIRST_EVENT_SHARE * objective_s
        until = request.arrived_at + max(0.0, objective_s - first_event_s)
        if trio.current_time() + expected_s > until:
            return None
        return min(until, request.deadline)

    def adjust_budgets(
        self, fraction: float, reserve: float, window_s: float
    ) -> None:
        """Changes the limits of the retry budgets of all services."""
        for budget in self._budgets.values():
            budget.update_limits(fraction, reserve, window_s)

    def spend_retry(self, request: Request, is_limited: bool = False) -> bool:
        """Spends a retry of the service's budget, unless it is exhausted.

        Args:
            request: The request.
            is_limited: Whether the part of the budget is left that is kept for
                streams that have begun.

        Returns:
            Whether the request may be retried.
        """
        budget = self.find_budget(request.service.name)
        granted = budget.try_spend(
            trio.current_time(), self._count_sharing_entries(), is_limited
        )
        self.metrics.increment("retries" if granted else "retries_denied")
        if not granted:
            request.log(
                _log, "retry budget exhausted", service=request.service.name
            )
        return granted

    def has_retry(self, request: Request, is_limited: bool = False) -> bool:
        """Returns whether a retry is left; see `spend_retry`."""
        budget = self.find_budget(request.service.name)
        return budget.has_retry(
            trio.current_time(), self._count_sharing_entries(), is_limited
        )

    def _count_sharing_entries(self) -> int:
        """Returns the number of entries that share the reserve of retries.

        It is 0 if this one must not use a share.
        """
        return self.view.entry_count if self.is_listed() else 0

    def can_answer_in_time(
        self, request: Request, after_s: float = 0.0
    ) -> bool:
        """Returns whether the answer to a request is expected in time.

        That is before the entry stops. A stream that may be resumed needs only
        its first event, since its caller can resume it at another entry.

        Args:
            request: The request.
            after_s: Time until it is sent, seconds.
        """
        until = request.answer_limit.until
        if request.deadline <= until:
            return True
        objective_s = request.route.latency_objective_s
        expected_s = self._mean_durations.get(request.route.name, objective_s)
        if request.route.retry_policy is fleet.RetryPolicy.STREAM:
            expected_s = min(expected_s, objective_s)
        return trio.current_time() + after_s + expected_s <= until

    async def reserve(
        self,
        request: Request,
        choose: collections.abc.Callable[[frozenset[str]], _Choice | None],
        choose_exhausted: collections.abc.Callable[[], _Choice | None],
        get_server: collections.abc.Callable[[_Choice], fleet.Server],
    ) -> _Choice | None:
        """Returns where a request is sent next, within the servers' limits.

        If the limits allow no choice, the request waits for a part of its
        latency objective. There is no choice if the answer is not expected
        before the entry stops.

        Args:
            request: The request.
            choose: Returns the best choice without the given instances, None if
                there is none.
            choose_exhausted: The same if all choices are exhausted.
            get_server: Returns the server of a choice that gets the request.
        """
        if not self.can_answer_in_time(request):
            return None
        with request.answer_limit.move_on_at(request.deadline):
            choice = await self._reserve(
                request, choose, choose_exhausted, get_server
            )
            # The entry may have begun to stop during the wait.
            if self.can_answer_in_time(request):
                return choice
        return None

    async def _reserve(
        self, request: Request, choose, choose_exhausted, get_server
    ) -> typing.Any:
        """Does the work of `reserve`, without its time limit."""
        denied = self.list_exhausted(request.service.name)
        while (choice := choose(denied)) is not None:
            server = get_server(choice)
            if await self.reservations.reserve(server):
                return choice
            denied |= {server.instance}
        choice = choose_exhausted() if denied else None
        if choice is None:
            return None
        limit_s = QUEUE_OBJECTIVE_SHARE * request.route.latency_objective_s
        is_reserved = await self.reservations.reserve(
            get_server(choice),
            max(0.0, min(limit_s, request.get_remaining_s())),
        )
        return choice if is_reserved else None

    def list_exhausted(self, service: str) -> frozenset[str]:
        """Returns the instances whose limits allow no request now."""
        if not self.reservations.has_denials:
            return frozenset()
        return frozenset(
            server.instance
            for server in self.view.list_usable(service)
            if self.reservations.is_exhausted(server)
        )

    def _get_stated_wait_s(self, service: str) -> float:
        """Returns the time until a server accepts a request again, seconds.

        It is what the servers that may receive a request state, and 0 if one of
        them states neither a time nor a limit, or if there is none.
        """
        return min(
            (
                max(
                    self.reservations.get_wait_s(server),
                    self.statements.get_wait_s(server),
                )
                for server in self.view.servers.values()
                if server.service == service
                and server.ready
                and not self.view.is_suspected(server)
                and (server.layer_range is None or not server.layer_range.first)
            ),
            default=0.0,
        )

    def is_quarantined(self, request: Request) -> bool:
        """Returns whether a request must not be sent to a server.

        Its copies, or requests with a part of its prompt, crashed servers.
        """
        if self.parts.find_remaining_s(request.shared_parts):
            return True
        return self.is_copy_quarantined(request)

    def is_copy_quarantined(self, request: Request) -> bool:
        """Returns whether copies of a request crashed too many servers."""
        return not self.quarantine.is_empty and self.quarantine.is_quarantined(
            request.fingerprint, trio.current_time()
        )

    async def check_ended(self, server: fleet.Server) -> bool:
        """Returns whether a server that lost a request has terminated.

        Opens a connection instead of requesting the server's report, since that
        request would wait behind others if the server is full. Concurrent
        checks of a server share one connection. Earlier responses of the server
        show nothing, since it may have terminated just now.
        """
        if self.view.has_ended(server):
            return True
        running = self._ended_checks.get(server.instance)
        if running is not None:
            await running.wait()
            return self.view.has_ended(server)
        self._ended_checks[server.instance] = trio.Event()
        try:
            await self.pool.try_connect(server.address)
        except upstreams.RefusedError as error:
            self.view.suspect(server, str(error), ended=True)
        except upstreams.UnsentError as error:
            self.view.suspect(server, str(error))
        finally:
            self._ended_checks.pop(server.instance).set()
        return self.view.has_ended(server)

    def record_loss(
        self,
        request: Request,
        servers: collections.abc.Sequence[fleet.Server],
        progress: crashes.Progress,
        successions: tuple[int, ...],
    ) -> None:
        """Records what the loss of servers says about a request.

        Args:
            request: The request.
            servers: Servers of its path whose processes ended since the last
                call, in the order of the path.
            progress: How far it had come.
            successions: Known crashes for the parts of its prompt when the
                first of these servers received it.
        """
        finding = crashes.classify_loss(servers, progress)
        if finding is None:
            return
        self.quarantine.record_crash(
            request.fingerprint,
            finding.crash,
            trio.current_time(),
            is_shared=False,
        )
        self.metrics.increment("crashes")
        request.log(
            _log,
            "server terminated while it ran the request",
            instance=finding.server.instance,
            progress=progress.name.lower(),
            fingerprint=quarantines.format_fingerprint(request.fingerprint),
            crashes=self.quarantine.count_crashes(request.fingerprint),
            contained=self.is_quarantined(request),
        )
        # Most requests that were in progress on a server that ended continue
        # elsewhere and are answered.
        if not finding.crash.is_weak:
            self.announce_crashes(request)
        if finding.blames_parts:
            self.parts.record_crash(
                request.shared_parts, finding.server, successions
            )

    def announce_crashes(self, request: Request) -> None:
        """Announces the crashes under a request that were not announced yet."""
        if self.quarantine.is_empty:
            return
        for crash in self.quarantine.share(request.fingerprint):
            self.notify_crash(request.fingerprint, crash)

    def record_answer(self, request: Request) -> None:
        """Records that a server has answered a request completely."""
        if self.quarantine.is_empty:
            return
        if self.quarantine.clear(request.fingerprint):
            self.notify_answered(request.fingerprint)

    def refuse_quarantined(self, request: Request) -> verdicts.Failure:
        """Returns the failure of a request that is in quarantine."""
        remaining_s = self.parts.find_remaining_s(request.shared_parts)
        if remaining_s:
            return verdicts.make_not_run_failure(
                "quarantined",
                "Requests with a part of this prompt crashed backend servers.",
                round(remaining_s, 3),
            )
        return verdicts.make_not_run_failure(
            "quarantined",
            "Copies of this request crashed backend servers.",
            quarantines.RETENTION_S,
        )

    def refuse_unsent(self, request: Request) -> verdicts.Failure:
        """Returns the failure of a request that no server received in time."""
        if request.answer_limit.until < request.deadline:
            return make_stopping_failure()
        return verdicts.make_not_run_failure(
            "deadline-exceeded", "No server could be reached in time."
        )

    def refuse_unavailable(
        self, request: Request, reason: str
    ) -> verdicts.Failure:
        """Returns the failure of a request that no server accepted."""
        request.log(_log, "no server accepted the request", reason=reason)
        if not self.can_answer_in_time(request):
            return make_stopping_failure()
        wait_s = RETRY_AFTER_BUSY_S
        if request.service.engine:
            # A service that has had no path for some time is likely to have
            # none for as long again.
            lasted_s = self.view.get_no_path_duration_s(request.service.name)
            wait_s = max(RETRY_AFTER_LAYERS_S, lasted_s)
        wait_s = min(wait_s, RETRY_AFTER_MAX_S)
        stated_s = self._get_stated_wait_s(request.service.name)
        if stated_s:
            wait_s = max(RETRY_AFTER_BUSY_S, stated_s)
        spread_s = min(wait_s, RETRY_AFTER_MAX_S) * RETRY_AFTER_SPREAD
        wait_s = round(wait_s + spread_s * self.random.random(), 3)
        return verdicts.make_not_run_failure(
            "backend-unavailable",
            "No backend server accepted the request.",
            wait_s,
        )

    def refuse_without_room(self, request: Request) -> verdicts.Failure:
        """Returns the failure of a request for which no server has room.

        Its caller is told to return when places that become free at the present
        rate are not taken by those that were refused before. Where capacity is
        withheld, it is the rate of its priority.
        """
        queue = self.find_queue(request.service.name)
        returns = queue.find_returns(request.priority)
        interval_s = self.shares.estimate_interval(request.demand_key)
        if interval_s is None:
            returns = queue.returns
            duration_s = (
                queue.mean_duration_s or request.route.latency_objective_s
            )
            interval_s = duration_s / max(1, queue.in_progress)
        wait_s = returns.reserve(
            trio.current_time(), interval_s, RETRY_AFTER_MAX_S
        )
        wait_s = max(RETRY_AFTER_BUSY_S, wait_s)
        wait_s *= 1 + RETRY_AFTER_SPREAD * self.random.random()
        level = request.demand_key.priority
        self.metrics.increment(f"refused_without_room.{level}")
        request.log(
            _log,
            "no server has room for the request",
            in_progress=queue.in_progress,
            waiting=len(queue),
            priority=level,
            withheld=round(self.shares.get_withheld(request.demand_key), 3),
            waited_ms=round(1000 * (trio.current_time() - request.arrived_at)),
            retry_after_ms=round(1000 * wait_s),
        )
        return verdicts.make_not_run_failure(
            "overloaded", "No backend server has room.", round(wait_s, 3)
        )

    async def send_response(
        self,
        request: Request,
        responder: callers.Responder,
        head: exchanges.ResponseHead,
        body: bytes,
    ) -> None:
        """Sends a server's complete response to the caller."""
        if 200 <= head.status < 300:
            self.record_answer(request)
        self.record_end(request, f"status {head.status}")
        await responder.send_complete(head.status, head.headers, body)

    async def fail(
        self,
        request: Request,
        responder: callers.Responder,
        failure: verdicts.Failure,
    ) -> None:
        """Sends a failure that the entry itself reports."""
        self.record_end(request, f"{failure.code} ({failure.verdict.value})")
        await send_failure(responder, failure, request.head.request_id)

    def record_end(self, request: Request, outcome: str) -> None:
        """Records the outcome and duration of a request."""
        duration_s = trio.current_time() - request.arrived_at
        if outcome.startswith("status 2"):
            route = request.route.name
            mean_s = self._mean_durations.setdefault(route, duration_s)
            change_s = DURATION_SMOOTHING * (duration_s - mean_s)
            self._mean_durations[route] = mean_s + change_s
        self.metrics.increment(f"outcome.{outcome.split(' ')[0]}")
        self.metrics.record(
            "response", request.workspace_name, request.route.name, duration_s
        )
        request.log(
            _log,
            "request ended",
            outcome=outcome,
            route=request.route.name,
            routing=request.version,
            workspace=request.workspace_name,
            ms=round(1000 * duration_s),
        )


def make_stopping_failure() -> verdicts.Failure:
    """Returns the failure of a request that a stopping entry refuses."""
    return verdicts.make_not_run_failure(
        "draining", "This entry is stopping.", RETRY_AFTER_STOP_S
    )


async def send_failure(
    responder: callers.Responder, failure: verdicts.Failure, request_id: str
) -> None:
    """Sends a failure with the HTTP status of its error code."""
    status, headers, body = http.encode_failure(failure, request_id)
    await responder.send_complete(status, headers, body)
