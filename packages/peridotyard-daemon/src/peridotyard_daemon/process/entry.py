"""The entry process of a deployment with sidecars.

An entry routes the requests of callers to sidecars, each beside one backend
server. `process.gateway` is the entry of a platform without sidecars.
"""

import collections.abc
import functools
import random as random_module
import string
import typing

from peridotyard_core import addresses
from peridotyard_core import budgets
from peridotyard_core import errors
from peridotyard_core import membership
from peridotyard_core import pipelines
from peridotyard_core import settings as settings_module
from peridotyard_core import verdicts
from returns import result
import trio

from peridotyard_daemon.connection import bodies
from peridotyard_daemon.connection import http
from peridotyard_daemon.connection import listeners
from peridotyard_daemon.connection import peers as peers_module
from peridotyard_daemon.process import instances
from peridotyard_daemon.process import lifecycle
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import metrics as metrics_module
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.process import tables
from peridotyard_daemon.request import administration
from peridotyard_daemon.request import calls
from peridotyard_daemon.request import chains
from peridotyard_daemon.request import completions
from peridotyard_daemon.version import replication
from peridotyard_daemon.version import storage
from peridotyard_daemon.wire.generated import ttypes

MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/v1/services/"
HEALTH_PATHS = ("/healthz", "/readyz")
# Methods of each path that is not below `SERVICES_PREFIX`.
METHODS = {
    "/healthz": ("GET", "HEAD"),
    "/readyz": ("GET", "HEAD"),
    MODELS_PATH: ("GET",),
    completions.CHAT_PATH: ("POST",),
    completions.TEXT_PATH: ("POST",),
}
REQUEST_ID_LENGTH = 128
REQUEST_ID_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.:")
# Time limit of a read of the platform's instance list. The list is only a
# fallback, so a read that takes longer is abandoned until the next one.
INSTANCES_TIMEOUT_S = 2.0

_log = logs.Logger("entry")

ListInstances = collections.abc.Callable[
    [], collections.abc.Awaitable[list[membership.Instance] | None]
]


class Entry:
    """One entry process: serves callers, owns the connections to sidecars.

    It implements `connection.peers.Handler`.

    Attributes:
        peers: Connections to other processes.
        table: Sidecars and what they offer.
        completions: Handler of completion requests.
        calls: Handler of calls of plain services; None if not served.
        administration: ASGI application of the administration address.
    """

    def __init__(
        self,
        settings: settings_module.EntrySettings,
        network: network_module.Network,
        replicator,
        *,
        metrics: metrics_module.Metrics,
        random: random_module.Random,
        list_instances: ListInstances | None = None,
        make_calls=None,
        make_administration=None,
    ):
        """Composes an entry.

        Args:
            settings: Settings of the process.
            network: Connections to other processes.
            replicator: `version.replication.Replicator`.
            metrics: Metrics of the process.
            random: Source of identifiers and seeds, and for breaking ties.
            list_instances: Reads the platform's instance list; its result is
                None if the list is unavailable.
            make_calls: Function from this entry to a `request.calls.Calls`.
            make_administration: Function from this entry to an ASGI
                application.
        """
        self.settings = settings
        self.metrics = metrics
        self.replicator = replicator
        self.table = membership.RoutingTable()
        self.peers = peers_module.Peers.from_config(
            settings, network, self, metrics.increment
        )
        self.completions = completions.Completions(
            settings,
            self.peers,
            self.table,
            lambda: replicator.catalog,
            metrics,
            random,
        )
        self._bodies = bodies.Bodies.from_config(settings, metrics.increment)
        self._random = random
        self._list_instances = list_instances
        self._incarnation = random.getrandbits(62)
        self._is_draining = False
        self._active_requests = 0
        self._idle = trio.Event()
        self._stopped = trio.Event()
        self.calls = make_calls(self) if make_calls else None
        self.administration = (
            make_administration(self) if make_administration else None
        )

    @property
    def is_draining(self) -> bool:
        """Whether the process has begun to stop."""
        return self._is_draining

    async def run(
        self, serve=http.serve, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the entry until it has drained.

        Args:
            serve: Serves an ASGI application; replaced in tests.
            task_status: Signalled once all addresses are served.
        """
        settings = self.settings
        async with trio.open_nursery() as nursery:
            await nursery.start(self.peers.run, settings.peer_address)
            nursery.start_soon(self.replicator.run)
            nursery.start_soon(self.metrics.run)
            nursery.start_soon(self._poll_instances)
            async with trio.open_nursery() as servers:
                await servers.start(
                    functools.partial(
                        serve,
                        limits=listeners.Limits(
                            settings.connection_limit, settings.write_timeout_s
                        ),
                        count=self.metrics.increment,
                    ),
                    self.handle_caller,
                    settings.caller_address,
                    self._stopped,
                )
                if self.administration is not None:
                    await servers.start(
                        functools.partial(
                            serve,
                            limits=administration.CONNECTION_LIMITS,
                            count=self.metrics.increment,
                        ),
                        self.administration,
                        settings.admin_address,
                        self._stopped,
                    )
                _log.info("entry started", callers=settings.caller_address)
                task_status.started()
            nursery.cancel_scope.cancel()

    async def drain(self) -> None:
        """Stops the entry once the requests in progress have ended.

        New requests are refused as not-run. Requests that last longer than the
        drain time are interrupted.
        """
        if self._is_draining:
            return
        self._is_draining = True
        _log.info("entry draining", requests=self._active_requests)
        self.peers.broadcast(
            ttypes.Frame(leaving=ttypes.Leaving(self.settings.instance))
        )
        with trio.move_on_after(self.settings.drain_s) as scope:
            while self._active_requests:
                self._idle = trio.Event()
                await self._idle.wait()
        if scope.cancelled_caught:
            _log.warning(
                "entry stopped with requests in progress",
                requests=self._active_requests,
            )
        self._stopped.set()

    def describe(self) -> dict:
        """Returns the state for operators as a JSON value."""
        return {
            "instance": self.settings.instance,
            "zone": self.settings.zone,
            "draining": self._is_draining,
            "requests": self._active_requests,
            "routes": self.table.describe(),
        }

    def find_trace(self, request_id: str) -> dict | None:
        """Returns the trace of a request, None if there is none."""
        return self.completions.find_trace(request_id)

    # Methods of `connection.peers.Handler`.

    def make_hello(self) -> ttypes.Hello:
        """Returns the first message for a peer."""
        settings = self.settings
        hello = ttypes.Hello(
            instance=settings.instance,
            zone=settings.zone,
            role="entry",
            address=str(settings.peer_address),
            incarnation=self._incarnation,
            protocol=peers_module.PROTOCOL_VERSION,
            uses_cache_news=settings.prefixes_enabled or None,
        )
        self.replicator.fill_hello(hello)
        return hello

    def make_heartbeat(self) -> ttypes.Heartbeat:
        """Returns a heartbeat with the state of the configuration."""
        heartbeat = ttypes.Heartbeat()
        self.replicator.fill_heartbeat(heartbeat)
        return heartbeat

    def handle_connected(self, connection: peers_module.Connection) -> None:
        """Adds a sidecar to the routing table."""
        if connection.peer.role == "sidecar":
            self.table.record_connected(
                chains.find_address(connection), connection.peer.incarnation
            )
            self.completions.handle_connected(connection)
        self.replicator.handle_connected(connection)

    def handle_frame(
        self, connection: peers_module.Connection, frame: ttypes.Frame
    ) -> None:
        """Dispatches a frame to the part that handles it."""
        address = chains.find_address(connection)
        if self.completions.handle_frame(connection, frame):
            return
        if frame.offer is not None:
            self.table.record_offer(address, make_offer(frame.offer, address))
            if self.completions.holders is not None:
                self.completions.holders.set_cache(address, frame.offer.cache)
            self.completions.handle_capacity()
        elif frame.leaving is not None:
            self.table.record_leaving(address)
            _log.info("peer leaving", peer=frame.leaving.instance)
        elif not (
            self.replicator.handle_frame(connection, frame)
            or (
                self.calls is not None
                and self.calls.handle_frame(connection, frame)
            )
        ):
            _log.debug(
                "unexpected frame ignored", peer=connection.peer.instance
            )

    def handle_closed(
        self, connection: peers_module.Connection, reason: str
    ) -> None:
        """Removes a sidecar from the routing table; notifies its requests."""
        address = chains.find_address(connection)
        # Two processes that dialed each other have two connections, of which
        # one may remain.
        if self.peers.find(address) is None:
            self.table.record_disconnected(address)
            if self.completions.holders is not None:
                self.completions.holders.remove_server(address)
        self.completions.handle_closed(connection)
        if self.calls is not None:
            self.calls.handle_closed(connection)
        self.completions.handle_capacity()
        _log.info(
            "peer connection lost", peer=connection.peer.instance, reason=reason
        )

    async def _poll_instances(self) -> None:
        if self._list_instances is None:
            return
        while True:
            rows = await self._list_instances()
            listed_addresses, removed_addresses = self.table.update_instances(
                rows
            )
            for address in listed_addresses:
                self.peers.keep_connected(addresses.Address.from_text(address))
            for address in removed_addresses:
                self.peers.stop_reconnecting(
                    addresses.Address.from_text(address)
                )
                self.completions.context.close_outbox.discard_address(address)
            await trio.sleep(self.settings.instance_poll_s)

    # The ASGI application for callers.

    async def handle_caller(self, scope, receive, send) -> None:
        """Serves one caller request."""
        if scope["type"] == "lifespan":
            await http.run_lifespan(receive, send)
            return
        if scope["type"] != "http":
            raise NotImplementedError(f"scope {scope['type']}")
        request = http.Request.from_scope(scope)
        request_id = self._choose_request_id(request)
        is_started = False

        async def send_tracked(message) -> None:
            nonlocal is_started
            is_started = True
            await send(message)

        self._active_requests += 1
        try:
            with self._bodies.open(request, receive) as body:
                await self._route(
                    request, request_id, body.receive, send_tracked
                )
        except http.RequestError as error:
            await http.send_failure(send, error.failure, request_id)
        except http.CallerGoneError:
            _log.debug("caller disconnected", request=request_id)
        except Exception as error:
            _log.error("request failed", request=request_id, error=repr(error))
            self.metrics.increment("requests.internal")
            # A response that has begun can only be aborted.
            if is_started:
                raise
            failure = verdicts.make_may_have_run_failure(
                "internal", "The request failed."
            )
            await http.send_failure(send, failure, request_id)
        finally:
            self._active_requests -= 1
            if not self._active_requests:
                self._idle.set()

    async def _route(self, request, request_id, receive, send) -> None:
        path = request.path
        headers = {"x-request-id": request_id}
        is_service = path.startswith(SERVICES_PREFIX)
        if not is_service:
            if path not in METHODS:
                paths = ", ".join([*METHODS, SERVICES_PREFIX + "<service>/..."])
                raise make_error(
                    "not-found", f"no path {path!r}; allowed: {paths}."
                )
            if request.method not in METHODS[path]:
                allowed = ", ".join(METHODS[path])
                failure = verdicts.make_not_run_failure(
                    "method-not-allowed",
                    f"method {request.method} of {path}; allowed: {allowed}.",
                )
                await http.send_json(
                    send,
                    errors.CODES[failure.code],
                    http.render_failure(failure, request_id),
                    headers | {"allow": allowed},
                )
                return
        if path in HEALTH_PATHS:
            fault = self._find_unready_reason() if path == "/readyz" else ""
            value = {"status": fault or "ok"}
            await http.send_json(send, 503 if fault else 200, value, headers)
            return
        workspace = self._authenticate(request)
        if path == MODELS_PATH:
            value = self._describe_models(workspace)
            await http.send_json(send, 200, value, headers)
            return
        self._check_accepting()
        if not is_service:
            handler = self.completions
        elif self.calls is not None:
            handler = self.calls
        else:
            raise make_error(
                "not-found", "This entry does not serve plain services."
            )
        await handler.handle(request, workspace, request_id, receive, send)

    def _find_unready_reason(self) -> str:
        if self._is_draining:
            return "draining"
        return "" if self.replicator.catalog.revision else "no configuration"

    def _check_accepting(self) -> None:
        if self._is_draining:
            raise make_error("draining", "This entry is stopping.", 1.0)
        if self._active_requests > self.settings.connection_limit:
            raise make_error(
                "overloaded", "Too many requests in progress.", 1.0
            )

    def _authenticate(self, request: http.Request) -> typing.Any:
        if not self.replicator.catalog.revision:
            # Without a configuration, valid keys cannot be distinguished from
            # unknown ones.
            raise make_error(
                "store-unavailable", "No configuration is known yet.", 1.0
            )
        workspace = self.replicator.catalog.authenticate(request.token)
        if workspace is None:
            raise make_error(
                "unauthorized",
                "The API key is missing or unknown; allowed: the header"
                ' "Authorization: Bearer <API key>".',
            )
        return workspace

    def _describe_models(self, workspace) -> dict:
        names = completions.list_models(self.replicator.catalog, workspace)
        return {
            "object": "list",
            "data": [
                {
                    "id": name,
                    "object": "model",
                    "created": 0,
                    "owned_by": workspace.name,
                }
                for name in names
            ],
        }

    def _choose_request_id(self, request: http.Request) -> str:
        given = request.headers.get("x-request-id", "")
        if 0 < len(given) <= REQUEST_ID_LENGTH and (
            REQUEST_ID_CHARACTERS.issuperset(given)
        ):
            return given
        return f"{self._random.getrandbits(96):024x}"


def make_error(
    code: str, message: str, retry_after_s: float | None = None
) -> http.RequestError:
    """Creates the error of a request of which no part has run."""
    return http.RequestError(
        verdicts.make_not_run_failure(code, message, retry_after_s)
    )


def make_offer(message: ttypes.Offer, address: str) -> membership.Offer:
    """Converts an offer message of the sidecar at an address."""
    stage = pipelines.StageOffer(
        message.instance,
        address,
        message.model,
        message.version,
        message.first_layer,
        message.end_layer,
        tuple(message.adapters),
        message.zone,
        message.in_flight,
        message.limit,
        message.tokens_per_s,
    )
    return membership.Offer(
        stage,
        message.kind,
        message.service_name,
        message.ready,
        message.draining,
        message.sequence,
    )


def make_list_reader(settings) -> ListInstances | None:
    """Returns a function that reads the platform's instance list.

    Returns None if the settings name no instance list.
    """
    if settings.instance_list is None:
        return None
    client = instances.InstanceList(settings.instance_list, INSTANCES_TIMEOUT_S)

    async def read() -> list[membership.Instance] | None:
        match await client.read():
            case result.Success(found):
                return [
                    membership.Instance(
                        row.instance,
                        row.zone,
                        row.role,
                        str(row.address),
                        row.state,
                    )
                    for row in found
                ]
            case result.Failure(failure):
                _log.warning("instance list unavailable", reason=failure)
        return None

    return read


def make(
    values: settings_module.EntrySettings, network: network_module.Network
) -> Entry:
    """Composes the process from its settings."""
    table = None
    if values.table is not None:
        table = storage.Storage(
            tables.Table(values.table, values.table_timeout_s)
        )
    return Entry(
        values,
        network,
        replication.Replicator.from_config(values, "entry", table),
        metrics=metrics_module.Metrics.from_config(values),
        random=random_module.SystemRandom(),
        list_instances=make_list_reader(values),
        make_calls=_make_calls,
        make_administration=_make_administration,
    )


def _make_calls(entry: Entry) -> calls.Calls:
    def list_servers(service: str):
        found = []
        for address, load in entry.table.find_services(service):
            connection = entry.peers.find(address)
            if connection is not None:
                found.append((connection, load))
        return found

    return calls.Calls(
        list_servers,
        lambda name: entry.replicator.catalog.find_service(name),
        budgets.RetryBudget(),
        timeout_s=entry.settings.request_timeout_s,
        body_limit_bytes=entry.settings.body_limit_bytes,
        body_timeout_s=entry.settings.body_timeout_s,
    )


def _make_administration(entry: Entry) -> administration.Administration:
    return administration.Administration.from_config(
        entry.settings,
        entry.replicator,
        entry.metrics.histograms,
        entry.describe,
        entry.find_trace,
        entry.metrics.increment,
    )


def run(values: settings_module.EntrySettings) -> int:
    """Runs the process until it is stopped and returns its exit status."""
    entry = make(values, network_module.TcpNetwork())
    status = 0
    try:
        trio.run(_run_until_signal, entry)
    except* OSError as group:
        _log.error("entry cannot listen", reason=group.exceptions[0])
        status = 1
    return status


async def _run_until_signal(entry: Entry) -> None:
    signals = lifecycle.Lifecycle()
    async with trio.open_nursery() as nursery:
        await nursery.start(signals.watch_signals)
        nursery.start_soon(entry.run)
        await signals.draining.wait()
        _log.info("entry stopping")
        with trio.CancelScope() as scope:
            nursery.start_soon(_cancel_on, signals.stopped, scope)
            await entry.drain()
        nursery.cancel_scope.cancel()


async def _cancel_on(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
