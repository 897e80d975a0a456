"""The sidecar process, which runs beside one backend server."""

import importlib
import random

from peridotyard_core import settings
import trio

from peridotyard_daemon.connection import engines
from peridotyard_daemon.connection import peers
from peridotyard_daemon.process import caches
from peridotyard_daemon.process import lifecycle
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.request import stages
from peridotyard_daemon.version import replication
from peridotyard_daemon.wire.generated import ttypes

EXIT_OK = 0
EXIT_FAILED = 1
# Shortest time between two offers that differ only in the number of streams.
# This number changes with each request, and entries count their own streams by
# themselves.
OFFER_INTERVAL_S = 0.2
# Time in which the last frames are sent before the connections are closed.
FLUSH_S = 0.1
# Retention of outcomes until the configuration is known. It is long, so that no
# outcome is discarded too early.
DEFAULT_RETENTION_S = 86400

_log = logs.Logger("sidecar")


class Sidecar:
    """The process beside one backend server; composes its parts.

    Implements `connection.peers.Handler` and `connection.engines.Handler`.

    Attributes:
        lifecycle: Starts the drain and the end of the process.
        peers: Connections to entries and other sidecars.
        replicator: Configuration of the process.
        work_handler: `request.stages.Stages` for a model server,
            `request.claims.Claims` for a plain service.
    """

    def __init__(
        self,
        values: settings.SidecarSettings,
        network: network_module.Network,
        replicator: replication.Replicator,
        make_claims=None,
        incarnation: int | None = None,
    ):
        """Composes the process.

        Args:
            values: Settings.
            network: Opens and accepts connections.
            replicator: Configuration of the process.
            make_claims: Function from this sidecar to a
                `request.claims.Claims`; only for a plain service.
            incarnation: Identifies this start of the process; random unless a
                test sets it.
        """
        self._values = values
        self.replicator = replicator
        self._incarnation = incarnation or random.getrandbits(62)
        self._sequence = 0
        self._changed = trio.Event()
        self._offered_state = None
        self.lifecycle = lifecycle.Lifecycle()
        self.peers = peers.Peers.from_config(values, network, self)
        self.engine: engines.Engine | None = None
        if values.backend_kind == "model":
            self.work_handler = stages.Stages.from_config(
                values, self.peers, self.notify_changed
            )
            self.engine = engines.Engine.from_config(values, network, self)
            self.work_handler.engine = self.engine
            self._cache_reporter = caches.CacheReporter(self.peers)
            self.work_handler.record_prefixes = (
                self._cache_reporter.record_prefixes
            )
        else:
            self.work_handler = make_claims(self)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> int:
        """Serves until it has drained and returns the exit status."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.work_handler.run)
            await nursery.start(self.peers.run, self._values.peer_address)
            if self.engine is not None:
                nursery.start_soon(self.engine.run)
                nursery.start_soon(self._cache_reporter.run)
            nursery.start_soon(self._post_offers)
            nursery.start_soon(self.replicator.run)
            task_status.started()
            _log.info("sidecar started", address=self._values.peer_address)
            await self.lifecycle.draining.wait()
            status = await self._drain()
            nursery.cancel_scope.cancel()
        return status

    async def _drain(self) -> int:
        _log.info("sidecar draining", in_flight=self.work_handler.in_flight)
        self.work_handler.start_drain()
        self._post_offer()
        leaving = ttypes.Leaving(self._values.instance)
        self.peers.broadcast(ttypes.Frame(leaving=leaving))
        drained = await self.lifecycle.wait_drained(
            lambda: self.work_handler.in_flight == 0, self._values.drain_s
        )
        if not drained:
            _log.warning(
                "sidecar stopped with requests in progress",
                in_flight=self.work_handler.in_flight,
            )
            return EXIT_FAILED
        await trio.sleep(FLUSH_S)
        _log.info("sidecar drained")
        return EXIT_OK

    def notify_changed(self) -> None:
        """Sends an offer: at once if more than the load changed, else soon."""
        self._changed.set()
        if self._read_offer_state() != self._offered_state:
            self._post_offer()

    async def _post_offers(self) -> None:
        while True:
            await self._changed.wait()
            self._changed = trio.Event()
            self._post_offer()
            await trio.sleep(OFFER_INTERVAL_S)

    def _post_offer(self) -> None:
        self._offered_state = self._read_offer_state()
        frame = ttypes.Frame(offer=self.make_offer())
        self.peers.broadcast(frame, "entry")

    def _read_offer_state(self) -> tuple:
        draining = self.lifecycle.draining.is_set()
        return draining, self._is_ready(), self.engine and self.engine.hello

    def _is_ready(self) -> bool:
        if self.engine is not None:
            return self.engine.is_ready
        return self.work_handler.is_ready

    def make_offer(self) -> ttypes.Offer:
        """Returns the current offer: state, load and layers of the server."""
        self._sequence += 1
        offer = ttypes.Offer(
            instance=self._values.instance,
            zone=self._values.zone,
            kind=self._values.backend_kind,
            service_name=self._values.service,
            ready=self._is_ready(),
            draining=self.lifecycle.draining.is_set(),
            in_flight=self.work_handler.in_flight,
            limit=self._values.concurrency,
            sequence=self._sequence,
        )
        hello = self.engine.hello if self.engine is not None else None
        if hello is not None:
            offer.model = hello.model
            offer.version = hello.version
            offer.adapters = hello.adapters
            offer.first_layer = hello.first_layer
            offer.end_layer = hello.end_layer
            offer.tokens_per_s = hello.tokens_per_s
            offer.accelerator = hello.accelerator
            offer.cache = hello.cache
        return offer

    # connection.peers.Handler

    def make_hello(self) -> ttypes.Hello:
        """Returns the first message for a peer."""
        hello = ttypes.Hello(
            instance=self._values.instance,
            zone=self._values.zone,
            role="sidecar",
            address=str(self._values.peer_address),
            incarnation=self._incarnation,
            protocol=peers.PROTOCOL_VERSION,
        )
        self.replicator.fill_hello(hello)
        return hello

    def make_heartbeat(self) -> ttypes.Heartbeat:
        """Returns a heartbeat with the state of the configuration."""
        heartbeat = ttypes.Heartbeat()
        self.replicator.fill_heartbeat(heartbeat)
        return heartbeat

    def handle_connected(self, connection: peers.Connection) -> None:
        """Sends the offer to an entry."""
        self.replicator.handle_connected(connection)
        if connection.peer.role != "entry":
            return
        connection.post(ttypes.Frame(offer=self.make_offer()))
        if self.lifecycle.draining.is_set():
            leaving = ttypes.Leaving(self._values.instance)
            connection.post(ttypes.Frame(leaving=leaving))
        if self.engine is not None:
            self.work_handler.handle_connected(connection)

    def handle_frame(self, connection: peers.Connection, frame) -> None:
        """Dispatches a frame to the part that handles it."""
        if not (
            self.work_handler.handle_frame(connection, frame)
            or self.replicator.handle_frame(connection, frame)
        ):
            _log.debug(
                "unexpected frame ignored", peer=connection.peer.instance
            )

    def handle_closed(self, connection: peers.Connection, reason: str) -> None:
        """Notifies the requests that use the connection of its end."""
        self.work_handler.handle_closed(connection)

    # connection.engines.Handler

    def handle_engine_changed(self) -> None:
        """Sends an offer, since the engine's state has changed."""
        self.notify_changed()

    def handle_results(self, results: list[ttypes.StepResult]) -> None:
        """Passes results of steps to their streams."""
        self.work_handler.handle_results(results)

    def handle_problem(self, problem: engines.Problem) -> None:
        """Passes a problem of the engine to the affected streams."""
        self.work_handler.handle_problem(problem)

    def handle_cache_event(self, event: ttypes.EngineCacheEvent) -> None:
        """Collects a change of the engine's prefix cache for the entries."""
        self._cache_reporter.record_event(event)


def run(values: settings.SidecarSettings) -> int:
    """Runs the process until it is stopped and returns its exit status."""

    async def serve() -> int:
        process = make(values, network_module.TcpNetwork())
        async with trio.open_nursery() as nursery:
            await nursery.start(process.lifecycle.watch_signals)
            status = await process.run()
            nursery.cancel_scope.cancel()
        return status

    return trio.run(serve)


def make(
    values: settings.SidecarSettings, network: network_module.Network
) -> Sidecar:
    """Composes the process from its settings."""
    if values.backend_kind == "model":
        # A sidecar receives the configuration from entries, which poll the
        # table, so that the reads of the table do not grow with the number of
        # servers.
        replicator = replication.Replicator.from_config(values, "sidecar", None)
        return Sidecar(values, network, replicator)
    return _make_service_sidecar(values, network)


def _make_service_sidecar(values, network) -> Sidecar:
    # Imported only here, since the sidecar of a model server needs no HTTP
    # client, which takes 6 MB of memory.
    load = importlib.import_module
    backends = load("peridotyard_daemon.connection.backends")
    claims = load("peridotyard_daemon.request.claims")
    tables = load("peridotyard_daemon.process.tables")
    table = None
    if values.table is not None:
        table = tables.Table(values.table, values.table_timeout_s)
    replicator = replication.Replicator.from_config(values, "sidecar", None)

    def find_retention(name: str) -> float:
        service = replicator.catalog.find_service(name)
        return service.retention_s if service else DEFAULT_RETENTION_S

    def make_claims(process: Sidecar):
        return claims.Claims(
            backends.Backend(values.backend, values.concurrency),
            table,
            find_retention,
            concurrency=values.concurrency,
            notify_changed=process.notify_changed,
        )

    return Sidecar(values, network, replicator, make_claims)
