"""What an entry believes about the fleet, with the age of each fact."""

import collections
import collections.abc
import dataclasses

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import paths
import trio

from peridotyard_daemon.process import logs

# A server that failed an exchange is avoided until a probe succeeds; this is
# the time after which it is tried without one. Three heartbeats of the
# platform (1.2 s each) remove a dead server from the list.
SUSPICION_TIMEOUT_S = 4.0
# Time for which a server that refused work is left out of new paths: it leaves,
# moves its layers or is full, and each further refusal costs a retry. The time
# doubles with each refusal after it.
REFUSAL_PAUSE_MIN_S = 0.4
REFUSAL_PAUSE_MAX_S = 3.2
# Refusals in a row, each after such a time, that mark a server as leaving
# although the platform's list does not say so.
REFUSALS_UNTIL_LEAVING = 3
# A reported slowness counts for this time; it is reported again when a stream
# is silent on a path with the server.
SLOWNESS_LIFETIME_S = 3.0
# Time for which a report goes before the platform's list, which follows a
# server's heartbeat (1.2 s) and is read once a second.
REPORT_PRECEDENCE_S = 3.0
# Weight of the newest outcome in a server's share of failures; about the last
# ten answers count.
FAILURE_SMOOTHING = 0.1
# How strongly a server's share of failures raises its price. With 10, a server
# that fails half of its requests is used when the others have six times its
# load.
FAILURE_WEIGHT = 10.0
# Weight of the newest duration in a server's mean time to answer.
DURATION_SMOOTHING = 0.2

_log = logs.Logger("fleet")


@dataclasses.dataclass
class Health:
    """Evidence of one server from this entry's own exchanges.

    Attributes:
        in_flight: Requests of this entry that the server works on.
        failures: Smoothed share of failed answers.
        duration_s: Smoothed time to answer, 0 before the first.
        suspected_until: Time until which it is taken for dead.
        reason: Why it is.
        ended: Whether it refused a connection, so that its process has ended.
        refusals: Refusals in a row.
        refused_until: Time until which it gets no new work after one.
        slowness: Factor on its usual times, as last reported.
        slow_until: Time until which that counts.
    """

    in_flight: int = 0
    failures: float = 0.0
    duration_s: float = 0.0
    suspected_until: float = 0.0
    reason: str = ""
    ended: bool = False
    refusals: int = 0
    refused_until: float = 0.0
    slowness: float = 1.0
    slow_until: float = 0.0


class View:
    """The fleet as one entry sees it, owned by the process.

    Attributes:
        zone: Zone of this entry.
        routing: Configuration in force; None before the first.
        routing_at: Time at which the routing was last confirmed.
        servers: Servers of the platform's list, by instance.
        servers_at: Time at which the list was last confirmed.
        notify_suspect: Called with each newly suspected server.
        notify_leaving: Called with the instance of each server that takes no
            new work or gives up layers, so that streams can move away.
        entries: Number of live entries, this one included; 0 until known.
    """

    def __init__(self, zone: str):
        self.zone = zone
        self.routing: fleet.Routing | None = None
        self.routing_at = float("-inf")
        self.servers: dict[str, fleet.Server] = {}
        self.servers_at = float("-inf")
        self.entries = 0
        self.notify_suspect: collections.abc.Callable[[fleet.Server], None] = (
            _ignore
        )
        self.notify_leaving: collections.abc.Callable[[str], None] = _ignore
        self._changed = trio.Event()
        self._no_path_since: dict[str, float] = {}
        self._health: dict[str, Health] = collections.defaultdict(Health)
        self._peer_loads: dict[str, dict[str, int]] = {}
        self._reports: dict[str, tuple[fleet.LayerRange | None, float]] = {}

    def get_store_age_s(self) -> float:
        """Returns the seconds since the store last answered."""
        seen_at = max(self.routing_at, self.servers_at)
        return trio.current_time() - seen_at

    async def wait_changed(self) -> None:
        """Waits for a change of the servers or of their suspicion."""
        await self._changed.wait()

    def apply_routing(self, routing: fleet.Routing, source: str) -> bool:
        """Puts a configuration in force unless it is an older one."""
        current = self.routing.version if self.routing else None
        if current is not None and routing.version < current:
            _log.warning(
                "Ignored an older configuration.",
                version=routing.version,
                current=current,
                source=source,
            )
            return False
        self.routing_at = trio.current_time()
        if current == routing.version:
            return False
        self.routing = routing
        self._signal_changed()
        _log.info(
            "Configuration is in force.",
            version=routing.version,
            previous=current,
            routes=len(routing.routes),
            source=source,
        )
        return True

    def apply_server(self, server: fleet.Server) -> None:
        """Adds or updates a server."""
        old = self.servers.get(server.instance)
        if old is not None and server.revision < old.revision:
            return
        if not self._remove_superseded(server):
            return
        server = self._retain_reported_layers(old, server)
        self.servers[server.instance] = server
        if old is not None and old.started_at_ms != server.started_at_ms:
            # Restarted with the same name: what was known is of the past.
            self._reset(server.instance, "restarted")
        if old is None or _has_changed(old, server):
            self._signal_changed(
                server.instance if _has_reduced_capacity(old, server) else ""
            )
            _log.info(
                "Server changed.",
                instance=server.instance,
                service=server.service,
                address=server.address,
                zone=server.zone,
                ready=server.ready,
                span=_describe_layer_range(server.layer_range),
                revision=server.revision,
            )

    def _remove_superseded(self, server: fleet.Server) -> bool:
        """Removes an older server at the same address.

        A server that crashed may stay listed for seconds after another one
        has started in its place, and both would seem to answer.

        Returns:
            False if the server itself is the older one.
        """
        for other in list(self.servers.values()):
            same = other.address == server.address
            if not same or other.instance == server.instance:
                continue
            if other.started_at_ms > server.started_at_ms:
                return False
            if other.started_at_ms < server.started_at_ms:
                self.remove_server(other.instance, other.revision)
        return True

    def apply_report(
        self, instance: str, layer_range: fleet.LayerRange | None
    ) -> bool:
        """Takes the layers that a server reported just now.

        Returns:
            Whether they are other ones than before.
        """
        server = self.servers.get(instance)
        if server is None:
            return False
        self._reports[instance] = (layer_range, trio.current_time())
        if server.layer_range == layer_range:
            return False
        fresh = dataclasses.replace(server, layer_range=layer_range)
        self.servers[instance] = fresh
        self._signal_changed(
            instance if _has_reduced_capacity(server, fresh) else ""
        )
        _log.info(
            "Server reported other layers.",
            instance=instance,
            address=server.address,
            span=_describe_layer_range(layer_range),
            previous=_describe_layer_range(server.layer_range),
        )
        return True

    def _retain_reported_layers(
        self, old: fleet.Server | None, server: fleet.Server
    ) -> fleet.Server:
        """Returns a listed server with the layers of a newer report."""
        layer_range, at = self._reports.get(
            server.instance, (None, float("-inf"))
        )
        same = old is not None and old.started_at_ms == server.started_at_ms
        if same and trio.current_time() - at < REPORT_PRECEDENCE_S:
            return dataclasses.replace(server, layer_range=layer_range)
        self._reports.pop(server.instance, None)
        return server

    def remove_server(self, instance: str, revision: int) -> None:
        """Removes a server that left the platform's list."""
        server = self.servers.get(instance)
        if server is None or revision < server.revision:
            return
        del self.servers[instance]
        self._signal_changed(instance)
        self._health.pop(instance, None)
        self._reports.pop(instance, None)
        _log.info("Server is gone.", instance=instance, revision=revision)

    def get_health(self, server: fleet.Server) -> Health:
        """Returns the evidence of a server."""
        return self._health[server.instance]

    def is_suspected(self, server: fleet.Server) -> bool:
        """Returns whether a server is to be avoided."""
        health = self._health.get(server.instance)
        return (
            health is not None and trio.current_time() < health.suspected_until
        )

    def has_ended(self, server: fleet.Server) -> bool:
        """Returns whether a server's process is known to have ended.

        One that is only silent may be slow, and still run what it was sent.
        """
        listed = self.servers.get(server.instance)
        if listed is not None and listed.started_at_ms != server.started_at_ms:
            return True
        if not self.is_suspected(server):
            return False
        return listed is None or self._health[server.instance].ended

    def suspect(
        self, server: fleet.Server, reason: str, ended: bool = False
    ) -> None:
        """Avoids a server for `SUSPICION_TIMEOUT_S`, or until a probe succeeds.

        Args:
            server: The server.
            reason: For the log.
            ended: Whether it refused a connection.
        """
        health = self._health[server.instance]
        is_new = not self.is_suspected(server)
        health.suspected_until = trio.current_time() + SUSPICION_TIMEOUT_S
        health.reason = reason
        health.ended = ended
        if not is_new:
            return
        _log.warning(
            "Server is suspected.",
            instance=server.instance,
            address=server.address,
            reason=reason,
        )
        self._signal_changed(server.instance)
        self.notify_suspect(server)

    def clear_suspicion(self, server: fleet.Server) -> None:
        """Ends the suspicion of a server that answered a probe."""
        health = self._health[server.instance]
        if self.is_suspected(server):
            _log.info(
                "Server answers again.",
                instance=server.instance,
                reason=health.reason,
            )
        health.suspected_until = 0.0
        health.ended = False

    def record_refusal(self, server: fleet.Server) -> None:
        """Gives a server that refused work none for a time."""
        health = self._health[server.instance]
        now = trio.current_time()
        # Requests that were on their way together count as one.
        if now < health.refused_until:
            return
        pause_s = min(
            REFUSAL_PAUSE_MIN_S * 2**health.refusals, REFUSAL_PAUSE_MAX_S
        )
        health.refusals += 1
        health.refused_until = now + pause_s
        _log.info(
            "Server refuses work.",
            instance=server.instance,
            address=server.address,
            refusals=health.refusals,
            pause_ms=round(1000 * pause_s),
        )
        if self.is_leaving(server):
            self._signal_changed()

    def record_acceptance(self, server: fleet.Server) -> None:
        """Ends the refusals of a server that works on a request."""
        health = self._health.get(server.instance)
        if health is not None and health.refusals:
            health.refusals = 0
            health.refused_until = 0.0

    def is_leaving(self, server: fleet.Server) -> bool:
        """Returns whether a server keeps refusing work."""
        health = self._health.get(server.instance)
        return health is not None and health.refusals >= REFUSALS_UNTIL_LEAVING

    def list_suspects(self) -> list[fleet.Server]:
        """Returns the suspected servers of the list."""
        return [s for s in self.servers.values() if self.is_suspected(s)]

    def list_usable(self, service: str) -> list[fleet.Server]:
        """Returns the servers of a service that take new work."""
        now = trio.current_time()
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and server.ready
            and not self.is_suspected(server)
            and now >= self._health[server.instance].refused_until
        ]

    def find_server(self, address: addresses.Address) -> fleet.Server | None:
        """Returns the newest server at an address."""
        found = [s for s in self.servers.values() if s.address == address]
        return max(found, key=lambda s: s.started_at_ms, default=None)

    def get_load(self, server: fleet.Server) -> float:
        """Returns the streams of all entries on a server, as far as known."""
        name = server.instance
        foreign = sum(
            counts.get(name, 0) for counts in self._peer_loads.values()
        )
        health = self._health.get(name)
        return foreign + (health.in_flight if health else 0)

    def count_in_flight(self) -> dict[str, int]:
        """Returns this entry's requests in flight by instance."""
        return {
            name: health.in_flight
            for name, health in self._health.items()
            if health.in_flight
        }

    def apply_peer_load(
        self, entry: str, counts: dict[str, int] | None
    ) -> None:
        """Takes the requests in flight of another entry; None if it left."""
        if counts is None:
            self._peer_loads.pop(entry, None)
        else:
            self._peer_loads[entry] = counts

    def estimate_cost(self, server: fleet.Server) -> float:
        """Returns the price of a plain request on a server.

        It is the expected wait: requests in flight and this one, times the
        usual duration, raised by the share of failures.
        """
        health = self._health[server.instance]
        load = self.get_load(server) / max(server.slots, 1)
        failure_factor = 1 + FAILURE_WEIGHT * health.failures
        return (1 + load) * failure_factor * max(health.duration_s, 0.001)

    def record_outcome(
        self, server: fleet.Server, success: bool, duration_s: float | None
    ) -> None:
        """Adds the outcome of an exchange to a server's evidence."""
        if server.instance not in self.servers:
            return
        health = self._health[server.instance]
        failed = 0.0 if success else 1.0
        health.failures += FAILURE_SMOOTHING * (failed - health.failures)
        if duration_s is not None:
            if not health.duration_s:
                health.duration_s = duration_s
            change = duration_s - health.duration_s
            health.duration_s += DURATION_SMOOTHING * change

    def choose_path(
        self, service: fleet.Service, avoid: frozenset[str] = frozenset()
    ) -> paths.Path | None:
        """Returns a path over all layers of a service's model."""
        servers = [
            server
            for server in self.list_usable(service.name)
            if server.instance not in avoid
        ]
        path = self.make_planner(service).choose_path(servers, self.get_load)
        if path is not None:
            self._no_path_since.pop(service.name, None)
        elif not avoid:
            now = trio.current_time()
            if self._no_path_since.setdefault(service.name, now) == now:
                _log.warning("No path is whole.", service=service.name)
        return path

    def get_no_path_duration_s(self, service: str) -> float:
        """Returns for how long a service has had no path, seconds."""
        now = trio.current_time()
        return now - self._no_path_since.get(service, now)

    def make_planner(self, service: fleet.Service) -> paths.Planner:
        """Returns the planner of a service's paths."""
        now = trio.current_time()
        slowness = {
            name: health.slowness
            for name, health in self._health.items()
            if now < health.slow_until
        }
        return paths.Planner(service.engine, self.zone, slowness)

    def record_slowness(self, server: fleet.Server, slowness: float) -> None:
        """Takes the factor on its usual times that a server reported."""
        health = self._health[server.instance]
        if slowness >= 1.5 or health.slow_until:
            _log.debug(
                "Server reported its pace.",
                instance=server.instance,
                slowness=slowness,
            )
        health.slowness = slowness
        health.slow_until = (
            trio.current_time() + SLOWNESS_LIFETIME_S if slowness > 1.0 else 0.0
        )

    def describe(self) -> dict:
        """Returns what is believed, with the age of each fact, for JSON."""
        now = trio.current_time()
        routing = self.routing
        return {
            "routing": {
                "version": routing.version if routing else None,
                "age_s": _render_age(now - self.routing_at),
            },
            "list_age_s": _render_age(now - self.servers_at),
            "entries": self.entries,
            "servers": [
                self._describe_server(server, now)
                for server in sorted(
                    self.servers.values(),
                    key=lambda s: (
                        s.service,
                        s.zone,
                        s.layer_range or _NO_LAYER_RANGE,
                    ),
                )
            ],
        }

    def _describe_server(self, server: fleet.Server, now: float) -> dict:
        health = self._health[server.instance]
        state = "ready" if server.ready else "leaving"
        if self.is_suspected(server):
            state = "suspected"
        elif now < health.refused_until:
            state = "refusing"
        return {
            "instance": server.instance,
            "service": server.service,
            "address": str(server.address),
            "zone": server.zone,
            "card": server.accelerator_type,
            "layers": _describe_layer_range(server.layer_range),
            "state": state,
            "reason": health.reason if state == "suspected" else "",
            "streams": round(self.get_load(server)),
            "failures": round(health.failures, 3),
            "revision": server.revision,
        }

    def _signal_changed(self, leaving: str = "") -> None:
        """Wakes what waits for a change.

        Args:
            leaving: Instance that streams should move away from, if any.
        """
        self._changed.set()
        self._changed = trio.Event()
        if leaving:
            self.notify_leaving(leaving)

    def _reset(self, instance: str, reason: str) -> None:
        in_flight = self._health[instance].in_flight
        self._health[instance] = Health(in_flight=in_flight)
        _log.info("Server restarted.", instance=instance, reason=reason)


def _has_changed(old: fleet.Server, new: fleet.Server) -> bool:
    return (old.ready, old.layer_range, old.address, old.started_at_ms) != (
        new.ready,
        new.layer_range,
        new.address,
        new.started_at_ms,
    )


def _has_reduced_capacity(old: fleet.Server | None, new: fleet.Server) -> bool:
    """Returns whether a server takes less work than before."""
    if old is None:
        return False
    if not new.ready or old.started_at_ms != new.started_at_ms:
        return True
    if old.layer_range is None:
        return False
    return new.layer_range is None or not (
        new.layer_range.first <= old.layer_range.first
        and old.layer_range.end <= new.layer_range.end
    )


# Sorts servers without layers first.
_NO_LAYER_RANGE = fleet.LayerRange(-1, -1)


def _render_age(age_s: float) -> float | None:
    """Returns an age for JSON, None for what was never read."""
    return None if age_s == float("inf") else round(age_s, 3)


def _ignore(_subject: fleet.Server | str) -> None:
    """Stands in where nobody wants to be notified."""


def _describe_layer_range(layer_range: fleet.LayerRange | None) -> str:
    return f"{layer_range.first}-{layer_range.end}" if layer_range else "none"
