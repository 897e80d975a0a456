"""The entry process of a platform without sidecars.

An entry routes the requests of callers to backend servers. It sends a request
for a model to the first server of a path, with the path in the headers; the
servers forward the request along the path by themselves. `process.entry` is
the entry of a deployment with sidecars.
"""

import collections.abc
import dataclasses
import functools
import json
import random as random_module

from peridotyard_core import addresses
from peridotyard_core import budgets
from peridotyard_core import errors
from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import topologies
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import callers
from peridotyard_daemon.connection import http
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import delays
from peridotyard_daemon.process import duties
from peridotyard_daemon.process import intake as intake_module
from peridotyard_daemon.process import lifecycle
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import mesh
from peridotyard_daemon.process import metrics as metrics_module
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.process import placement
from peridotyard_daemon.process import presence
from peridotyard_daemon.process import probes
from peridotyard_daemon.process import reservations as reservations_module
from peridotyard_daemon.process import statements as statements_module
from peridotyard_daemon.process import stores
from peridotyard_daemon.process import synchronization
from peridotyard_daemon.process import views
from peridotyard_daemon.request import contexts
from peridotyard_daemon.request import explanations
from peridotyard_daemon.request import forwards
from peridotyard_daemon.request import relays

# Time before the platform kills a stopping process at which the process ends
# the requests in progress, each with its final answer. At most this fraction of
# the grace, since servers are expected to get most of it.
STOP_RESERVE_S = 0.8
STOP_RESERVE_FRACTION = 0.125
# Part of that time in which these answers are sent; then the process ends.
ANSWER_FRACTION = 0.25
# Time between two checks whether they have been sent.
ANSWER_POLL_S = 0.01
# Time for which a stopping entry accepts new connections: the platform's load
# balancer removes it after two failed readiness checks, one per second.
BALANCER_REMOVAL_S = 2.3
# Retry-After of requests that are refused because no configuration is known.
RETRY_AFTER_START_S = 1.0
# Longest time for which a request waits for the first configuration and server
# list after the process start. Both take two store calls of some milliseconds.
START_WAIT_S = 0.6
# Settings that a reload applies; a change of any other needs a restart.
RELOADABLE_SETTINGS = (
    "grace_s",
    "retry_fraction",
    "retry_reserve",
    "retry_window_s",
    "seeds",
)
# Limits for the connections of readiness checks, and of readers of metrics: a
# few machines of the platform and operators.
ADMIN_LIMITS = intake_module.Limits(connections=64, data_bytes=1 << 20)
# Largest head and body of their requests.
ADMIN_CALLER_LIMITS = fleet.CallerLimits(body_bytes=1 << 16)
# Request target at the metrics address that returns the known fleet as JSON.
FLEET_TARGET = "/admin/v1/fleet"

_log = logs.Logger("entry")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings:
    """Settings of an entry on a platform without sidecars.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone.
        callers: Address for connections of callers.
        readiness: Address for readiness checks of the load balancer.
        peers: Address for connections of other entries.
        seeds: Addresses at which some of the other entries may be found.
        metrics: Address at which metrics are served; None to serve none.
        grace_s: Time from the request to stop to the end of the process,
            seconds.
        retry_fraction: Allowed retries of a service per request, over all
            entries.
        retry_reserve: Additional allowed retries of a service in one window.
        retry_window_s: Length of the window of the retry budget, seconds.
        capacity: Processor capacity of the machine, in cores of normal speed;
            0 if unknown. The entries with the most forward messages of others.
        memory_mb: Memory of the process, megabytes; more ends it.
        descriptors: Largest number of open descriptors of the process.
        log_level: Lowest level that is logged.
        log_format: "text" or "json".
        debug: Names of the parts of the process that log at debug level, see
            `logs.Logger`.
        statsd: Address of the statsd server; None to send no metrics.
        metrics_interval_s: Time between two flushes to the statsd server,
            seconds.
    """

    instance: str
    zone: str
    callers: addresses.Address
    readiness: addresses.Address
    peers: addresses.Address
    seeds: tuple[addresses.Address, ...]
    metrics: addresses.Address | None
    grace_s: float
    retry_fraction: float
    retry_reserve: float
    retry_window_s: float
    capacity: float = 0.0
    memory_mb: float = intake_module.DEFAULT_MEMORY_MB
    descriptors: int = intake_module.DEFAULT_DESCRIPTORS
    log_level: str = "info"
    log_format: str = "json"
    debug: tuple[str, ...] = ()
    statsd: addresses.Address | None = None
    metrics_interval_s: float = 1.0


class Gateway:
    """One entry process; composes its parts.

    Attributes:
        view: The fleet as known to this entry.
        context: State that the requests share.
    """

    def __init__(
        self,
        settings: Settings,
        store: stores.Store,
        schema: synchronization.Schema,
        codec: exchanges.Codec,
        random: random_module.Random,
        dial=upstreams.open_tcp,
        network: network_module.Network | None = None,
        read_settings: collections.abc.Callable[[], Settings] | None = None,
        clock: collections.abc.Callable[[], float] = presence.read_clock,
    ):
        """Composes an entry.

        Args:
            settings: Settings of the process.
            store: The platform's store.
            schema: Names and encoding of the store's tables.
            codec: Codec of the platform's wire format.
            random: Source of random choices.
            dial: Opens connections to servers.
            network: Connections between entries and from callers.
            read_settings: Reads the settings again for a reload; raises
                `SettingsError` if they are invalid. None if there is no reload.
            clock: Clock of the placement lease, see `presence.read_clock`.
        """
        self._settings = settings
        self._read_settings = read_settings
        self._network = network or network_module.TcpNetwork()
        self._lifecycle = lifecycle.Lifecycle()
        self.view = views.View(settings.zone, random)
        metrics = metrics_module.Metrics.from_config(settings)
        count = metrics.increment
        pool = upstreams.Pool(
            dial,
            lambda: count("connections"),
            lambda headers: bool(
                codec.decode_response(200, headers).request_id
            ),
            count,
        )
        statements = statements_module.Statements(count, random)
        self.context = contexts.Context(
            view=self.view,
            pool=pool,
            codec=codec,
            metrics=metrics,
            random=random,
            make_budget=self._make_budget,
            statements=statements,
            reservations=reservations_module.Reservations(statements, count),
        )
        statements.notify_leaving = self.view.apply_stated_leaving
        self.view.is_stated_leaving = statements.is_leaving
        self.view.get_stated_wait_s = statements.get_wait_s
        self._prober = probes.Prober(self.view, pool, codec, count, statements)
        self._forwarder = forwards.Forwarder(self.context)
        self._explainer = explanations.Explainer(self.context, self._admit)
        self._synchronizer = synchronization.Synchronizer(
            self.view, store, schema, random, count
        )
        name = f"{settings.instance}#{random.getrandbits(32):08x}"
        own = topologies.Entry(settings.peers, settings.zone, settings.capacity)
        self._presence = presence.Presence(
            self.view, store, name, own, clock, count
        )
        self._mesh = mesh.Mesh(
            self.view,
            self._synchronizer,
            self._prober,
            self._presence,
            self.context.quarantine,
            self.context.parts,
            statements,
            self.context.reservations,
            self._network,
            name,
            own,
            self._list_entries,
            count,
        )
        self._placement = placement.Placement(
            self.view,
            self._may_place,
            pool,
            codec,
            count,
            self._mesh.announce_layers,
            statements,
        )
        self._synchronizer.notify_routing = self._mesh.announce_routing
        self._synchronizer.notify_restored = self._presence.refresh_rows
        self._synchronizer.publish = self._mesh.announce_rows
        self.context.is_listed = self._presence.is_listed
        self.context.notify_crash = self._mesh.announce_crash
        self.context.notify_answered = self._mesh.announce_answered
        self.context.parts.notify = self._mesh.announce_evidence
        self.context.parts.notify_quarantined = self._stop_quarantined
        self.view.notify_suspect = self._mesh.announce_suspect
        self.view.notify_cleared = self._mesh.announce_cleared
        self.view.notify_leaving = self._move_streams
        self.view.notify_load = self.context.offer_room
        self._connections: set[callers.CallerConnection] = set()
        self._intake = intake_module.Intake(
            intake_module.Limits.from_machine(
                settings.memory_mb, settings.descriptors
            ),
            count,
        )
        self._readiness_intake = intake_module.Intake(ADMIN_LIMITS, count)
        self._metrics_intake = intake_module.Intake(ADMIN_LIMITS, count)
        self._nursery: trio.Nursery | None = None
        self._is_refusing = False
        self._started_at = float("-inf")

    def _may_place(self) -> bool:
        return self._presence.is_lease_holder() or self._mesh.is_acting_holder()

    def _list_entries(self) -> collections.abc.Collection[topologies.Entry]:
        """Returns the other entries: the listed ones, or the seeds."""
        listed = self._presence.entries
        if listed:
            return listed
        seeds = set(self._settings.seeds) - {self._settings.peers}
        return [topologies.Entry(address) for address in seeds]

    def _move_streams(self, instance: str) -> None:
        """Starts to move this entry's streams from a server to others."""
        for stream in self.context.streams:
            if stream.has_later_stage(instance):
                self._nursery.start_soon(
                    duties.run_once,
                    "stream",
                    functools.partial(stream.replace_server, instance),
                    self.context.metrics.increment,
                )

    def _stop_quarantined(self) -> None:
        """Ends streams without an answer whose prompt is quarantined now."""
        for stream in self.context.streams:
            stream.stop_if_quarantined()

    def _make_budget(self) -> budgets.WindowBudget:
        return budgets.WindowBudget(
            *self._compute_retry_limits(), self._started_at
        )

    def _compute_retry_limits(self) -> tuple[float, float, float]:
        """Returns fraction, reserve and window of the retry budgets."""
        settings = self._settings
        return (
            budgets.USED_PART * settings.retry_fraction,
            budgets.USED_PART * settings.retry_reserve,
            settings.retry_window_s,
        )

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this entry."""
        return (
            self.view.routing is not None
            and bool(self.view.servers)
            and not self._lifecycle.draining.is_set()
        )

    async def run(self) -> None:
        """Runs until a stop has been requested and the entry has drained."""
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self._lifecycle.watch_signals)
            await nursery.start(self._lifecycle.watch_reloads, self.reload)
            for address, handler in (
                (self._settings.callers, self._serve_caller),
                (self._settings.readiness, self._serve_readiness),
                (self._settings.metrics, self._serve_metrics),
            ):
                if address is not None:
                    await nursery.start(self._network.serve, address, handler)
            await nursery.start(self._mesh.run)
            for duty_name, duty in (
                ("synchronizer", self._synchronizer.run),
                ("presence", self._presence.run),
                ("placement", self._placement.run),
                ("prober", self._prober.run),
                ("metrics", self.context.metrics.run),
                ("delays", self._watch_delays),
            ):
                nursery.start_soon(
                    duties.run, duty_name, duty, self.context.metrics.increment
                )
            _log.info(
                "entry started",
                instance=self._settings.instance,
                zone=self._settings.zone,
                callers=self._settings.callers,
            )
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _watch_delays(self) -> None:
        await delays.watch_delays(self.context.metrics)

    def reload(self) -> None:
        """Reads the settings again and applies `RELOADABLE_SETTINGS`."""
        if self._read_settings is None:
            return
        try:
            new_settings = self._read_settings()
        except errors.SettingsError as error:
            _log.error("settings file invalid, settings kept", error=error)
            return
        changed = [
            field.name
            for field in dataclasses.fields(new_settings)
            if getattr(new_settings, field.name)
            != getattr(self._settings, field.name)
        ]
        # The other settings, such as addresses and names, cannot change while
        # the process runs.
        self._settings = dataclasses.replace(
            self._settings,
            **{
                name: getattr(new_settings, name)
                for name in RELOADABLE_SETTINGS
            },
        )
        self.context.adjust_budgets(*self._compute_retry_limits())
        _log.info(
            "settings reloaded",
            changed=",".join(changed),
            applied=",".join(
                name for name in changed if name in RELOADABLE_SETTINGS
            ),
        )

    async def _drain(self) -> None:
        """Waits for a stop, then for the requests in progress to end."""
        await self._lifecycle.draining.wait()
        began = trio.current_time()
        grace_s = self._settings.grace_s
        reserve_s = min(STOP_RESERVE_S, STOP_RESERVE_FRACTION * grace_s)
        answer_limit = self.context.answer_limit
        answer_limit.set(began + grace_s - reserve_s)
        _log.info("entry stopping", connections=len(self._connections))
        # In a task of its own, since a slow store must not delay the refusals.
        self._nursery.start_soon(self._presence.release_lease)
        await trio.sleep(min(BALANCER_REMOVAL_S, grace_s / 2))
        self._is_refusing = True
        for connection in list(self._connections):
            connection.close_when_idle()
        drained = await self._lifecycle.wait_drained(
            lambda: not self._count_busy(),
            max(0.0, answer_limit.until - trio.current_time()),
        )
        ended = 0 if drained else self._count_busy()
        # Earlier than the limit if a second stop was requested.
        answer_limit.set(trio.current_time())
        with trio.move_on_after(ANSWER_FRACTION * reserve_s):
            while self._count_busy():
                await trio.sleep(ANSWER_POLL_S)
        _log.info(
            "entry stopped",
            drained=drained,
            ended=ended,
            cut=self._count_busy(),
        )

    def _count_busy(self) -> int:
        """Returns the number of connections with a request in progress."""
        return sum(connection.busy for connection in self._connections)

    async def _serve_caller(self, stream: trio.abc.Stream) -> None:
        connection = callers.CallerConnection(
            stream,
            self._handle,
            self._read_limits,
            self._lifecycle.draining.is_set,
            self._intake,
            self._check_head,
        )
        self._connections.add(connection)
        try:
            await self._run_connection(stream, connection, self._intake)
        finally:
            self._connections.discard(connection)

    async def _serve_readiness(self, stream: trio.abc.Stream) -> None:
        await self._serve_admin(
            stream, self._send_readiness, self._readiness_intake
        )

    async def _serve_metrics(self, stream: trio.abc.Stream) -> None:
        await self._serve_admin(
            stream, self._send_metrics, self._metrics_intake
        )

    async def _serve_admin(
        self, stream, handler, intake: intake_module.Intake
    ) -> None:
        connection = callers.CallerConnection(
            stream,
            handler,
            lambda: ADMIN_CALLER_LIMITS,
            self._lifecycle.draining.is_set,
            intake,
        )
        await self._run_connection(stream, connection, intake)

    async def _run_connection(
        self,
        stream: trio.abc.Stream,
        connection: callers.CallerConnection,
        intake: intake_module.Intake,
    ) -> None:
        try:
            if not intake.add_connection(connection):
                await trio.aclose_forcefully(stream)
                return
            upstreams.set_socket_options(stream)
            await connection.run()
        except Exception as error:
            # An error in one connection must not end all others.
            self.context.metrics.increment("internal_errors.connection")
            _log.error(
                "connection ended by an internal error",
                **logs.describe_error(error),
            )
        finally:
            intake.remove_connection(connection)

    def _read_limits(self) -> fleet.CallerLimits:
        routing = self.view.routing
        return routing.limits if routing else fleet.CallerLimits()

    async def _send_readiness(
        self, _method, _target, _headers, _body, responder
    ):
        ready = self.is_ready
        body = b"ready\n" if ready else b"not ready\n"
        await responder.send_complete(200 if ready else 503, [], body)

    async def _send_metrics(self, _method, target, headers, _body, responder):
        if target.partition("?")[0] == explanations.TARGET:
            await self._explainer.respond(target, headers, responder)
            return
        if target == FLEET_TARGET:
            fleet_state = self._describe_fleet() | {
                "instance": self._settings.instance,
                "zone": self._settings.zone,
                "ready": self.is_ready,
                "holds_duty": self._may_place(),
                "quarantined_parts": self.context.parts.list_quarantined(),
                "callers": self._intake.describe(),
            }
            headers = [(b"content-type", http.JSON_TYPE)]
            await responder.send_complete(
                200, headers, json.dumps(fleet_state).encode()
            )
            return
        text = self.context.metrics.render()
        headers = [(b"content-type", b"text/plain; charset=utf-8")]
        await responder.send_complete(200, headers, text.encode())

    def _describe_fleet(self) -> dict:
        """Returns the known fleet with the servers' statements, as JSON."""
        described = self.view.describe()
        for item in described["servers"]:
            server = self.view.servers[item["instance"]]
            item["states"] = self.context.statements.describe(server)
        return described

    async def _handle(self, method, target, headers, body, responder) -> None:
        try:
            await self._handle_request(method, target, headers, body, responder)
        except (trio.Cancelled, OSError, trio.BrokenResourceError):
            raise
        except Exception as error:
            # An error in one request must not end the requests of all others.
            self.context.metrics.increment("internal_errors.request")
            _log.error(
                "request ended by an internal error",
                **logs.describe_error(error),
            )
            raise trio.BrokenResourceError from error

    async def _handle_request(
        self, method, target, headers, body, responder
    ) -> None:
        arrived_at = trio.current_time()
        head = self.context.codec.decode_request(method, target, headers)
        await self._wait_initialized()
        admitted = self._admit(head, body, arrived_at, hold=responder.hold)
        if isinstance(admitted, verdicts.Failure):
            self._record_refusal(head, admitted)
            await contexts.send_failure(responder, admitted, head.request_id)
            return
        if self.context.is_quarantined(admitted):
            failure = self.context.refuse_quarantined(admitted)
            await self.context.fail(admitted, responder, failure)
            return
        self.context.metrics.increment("requests")
        budget = self.context.find_budget(admitted.service.name)
        budget.record_request(trio.current_time())
        try:
            await self._serve(admitted, responder)
        except (trio.Cancelled, trio.BrokenResourceError):
            # The caller closed its connection, or the process is stopping.
            self.context.record_end(admitted, "abandoned")
            raise
        except Exception as error:
            # An error in one request must not end the requests of all others.
            _log.error(
                "request ended by an internal error",
                request=head.request_id,
                **logs.describe_error(error),
            )
            self.context.metrics.increment("internal_errors.request")
            self.context.record_end(admitted, "internal-error")
            raise trio.BrokenResourceError from error

    async def _check_head(self, method: str, target: str, headers: tuple):
        """Checks a request before its body is received.

        Returns:
            None, or the status, headers and body of the refusal.
        """
        head = self.context.codec.decode_request(method, target, headers)
        await self._wait_initialized()
        found = self._find_route(head)
        if not isinstance(found, verdicts.Failure):
            return None
        self._record_refusal(head, found)
        return http.encode_failure(found, head.request_id)

    def _record_refusal(
        self, head: exchanges.RequestHead, failure: verdicts.Failure
    ) -> None:
        self.context.metrics.increment(f"outcome.{failure.code}")
        _log.info(
            "request refused",
            request=head.request_id,
            code=failure.code,
            target=head.target,
            host=head.host,
            routing=self.view.routing and self.view.routing.version,
        )

    async def _wait_initialized(self) -> None:
        """Waits for the first configuration and server list after a start."""
        until = self._started_at + START_WAIT_S
        with trio.move_on_at(until):
            while self.view.routing is None or not self.view.servers:
                await self.view.wait_changed()

    async def _serve(
        self, request: contexts.Request, responder: callers.Responder
    ) -> None:
        if request.service.engine is None:
            await self._forwarder.handle(request, responder)
            return
        stream = relays.Stream(self.context, self._prober, request, responder)
        await stream.run()

    def _find_route(
        self, head: exchanges.RequestHead
    ) -> tuple[fleet.Route, fleet.Workspace | None] | verdicts.Failure:
        """Returns route and workspace of a request, or why it may not run."""
        if self._is_refusing:
            # A request that starts now could be interrupted by the end of the
            # process.
            return contexts.make_stopping_failure()
        routing = self.view.routing
        if routing is None:
            return verdicts.make_not_run_failure(
                "no-capacity",
                "No configuration is known yet.",
                RETRY_AFTER_START_S,
            )
        route = routing.match(head.host, head.path)
        if route is None:
            return verdicts.make_not_run_failure(
                "not-found", "No route matches."
            )
        workspace = None
        if routing.needs_keys and not route.public:
            workspace = routing.authenticate(head.key)
            if workspace is None:
                return verdicts.make_not_run_failure(
                    "unauthorized", "The API key is unknown."
                )
        return route, workspace

    def _admit(
        self,
        head: exchanges.RequestHead,
        body: bytes,
        arrived_at: float,
        choose=None,
        hold: collections.abc.Callable[[int], bool] = lambda _: True,
    ) -> contexts.Request | verdicts.Failure:
        """Returns a request that may run, or the reason of its refusal.

        Args:
            head: Head of the request.
            body: Its body.
            arrived_at: Time of its arrival.
            choose: Chooses among names with weights, as `random.choices` does,
                which is the default.
            hold: See `contexts.Request`.
        """
        choose = choose or self.context.random.choices
        found = self._find_route(head)
        if isinstance(found, verdicts.Failure):
            return found
        route, workspace = found
        routing = self.view.routing
        names = [name for name, _ in route.targets]
        weights = [weight for _, weight in route.targets]
        chosen = choose(names, weights)[0]
        service = routing.services.get(chosen)
        if service is None:
            return verdicts.make_not_run_failure(
                "no-capacity", "The route's service is not configured.", 1.0
            )
        limit_s = route.timeout_s
        if head.time_limit_s is not None:
            limit_s = min(limit_s, head.time_limit_s)
        return contexts.Request(
            head=head,
            body=body,
            route=route,
            service=service,
            workspace=workspace,
            version=routing.version,
            arrived_at=arrived_at,
            deadline=arrived_at + limit_s,
            answer_limit=self.context.answer_limit,
            hold=hold,
        )
