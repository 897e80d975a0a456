"""The fleet of backend servers as known to one entry.

An entry is one router process. What it knows comes from the platform's store,
from the other entries and from its own requests, and may be out of date.

The platform's list of servers is a table of the store, in which each server
writes its row with its heartbeats. A server's report is its response to a
request for its state, and usually newer than its row.
"""

import collections
import collections.abc
import dataclasses
import random as random_module

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import links
from peridotyard_core import paths
from peridotyard_core import shares
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import stores

# Time for which a server without a response may only be silent: sound ones
# stand still for about a second and then go on, with the layers that they hold.
SILENCE_LIMIT_S = 1.5
# A server that failed a request is avoided until a probe succeeds. After this
# time it is used again without a successful probe: the platform removes a
# failed server from the list after three missed heartbeats of 1.2 s each.
SUSPICION_TIMEOUT_S = 4.0
# Time after which a continued suspicion is announced to other entries again. A
# lost announcement is thus repeated before the suspicion expires there.
SUSPICION_ANNOUNCE_S = 1.5
# Time for which a server that refused work is left out of new paths. It is
# stopping, loading other layers or full, and each further refusal costs a
# retry. The time doubles with each consecutive refusal.
REFUSAL_PAUSE_MIN_S = 0.4
REFUSAL_PAUSE_MAX_S = 3.2
# Consecutive refusals, each after such a pause, from which a server is treated
# as leaving although the platform's list does not say so.
REFUSALS_UNTIL_LEAVING = 3
# Share of its capacity in streams from which a server that refuses work is
# taken to have no room. Its streams may be longer than the mean, and those that
# other entries began last are not known yet.
FULL_SHARE = 0.7
# Time for which a reported slowness is used. It is reported again when a
# stream over the server receives no events.
SLOWNESS_LIFETIME_S = 3.0
# Time for which a server's own report takes precedence over the platform's
# list. The list follows the server's heartbeat (1.2 s) and is read once a
# second, so it may be older than the report.
REPORT_PRECEDENCE_S = 3.0
# Weight of the newest outcome in a server's failure rate, which thus covers
# about the last ten responses.
FAILURE_SMOOTHING = 0.1
# How strongly a server's failure rate raises its cost. With 10, a server that
# fails half of its requests is used when the others have six times its load.
FAILURE_WEIGHT = 10.0
# Weight of the newest duration in a server's mean response time.
DURATION_SMOOTHING = 0.2
# Characters of the error of a configuration that are logged and shown.
ERROR_LENGTH = 200

_log = logs.Logger("fleet")


@dataclasses.dataclass
class Health:
    """State of one server as observed by this entry.

    Times are those of the Trio clock, in seconds.

    Attributes:
        in_flight: Requests of this entry in progress on the server.
        failure_rate: Exponential moving average of failures, from 0 to 1.
        mean_duration_s: Exponential moving average of the response time, which
            failures and cancelled requests only raise; 0 before the first.
        suspected_since: Time at which the last suspicion began.
        suspected_until: Time until which the server is suspected of failure.
        reason: Why it is suspected.
        ended: Whether it refused a connection, so that its process has ended.
        checked_by_others: Whether another entry has found the failure and
            checks whether the server responds again.
        announced_at: Time at which the suspicion was last announced.
        refusals: Consecutive refusals of work.
        refused_until: Time until which it gets no new work after a refusal.
        slowness: Reported factor on its normal processing times; 1 is normal.
        slow_until: Time until which `slowness` is used.
    """

    in_flight: int = 0
    failure_rate: float = 0.0
    mean_duration_s: float = 0.0
    suspected_since: float = 0.0
    suspected_until: float = 0.0
    reason: str = ""
    ended: bool = False
    checked_by_others: bool = False
    announced_at: float = 0.0
    refusals: int = 0
    refused_until: float = 0.0
    slowness: float = 1.0
    slow_until: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Listed:
    """A server of the platform's list.

    Attributes:
        server: The server as listed, without its reports.
        since: Revision at which this process of the server was first listed at
            its address.
    """

    server: fleet.Server
    since: int


@dataclasses.dataclass(frozen=True)
class RejectedRouting:
    """A stored configuration that cannot be read.

    Attributes:
        version: Its version; None if that cannot be read either.
        error: Why it cannot be read.
        rejected_at: Time at which it was read.
    """

    version: int | None
    error: str
    rejected_at: float

    def describe(self, now: float) -> dict:
        """Returns the rejection with its age, as a JSON value."""
        return {
            "version": self.version,
            "error": self.error,
            "age_s": _render_age(now - self.rejected_at),
        }


class View:
    """The fleet as known to one entry, owned by the process.

    Of several listed servers with one address, only the one whose process was
    listed last is used: a crashed server may stay listed for seconds after
    another one has started at its address, and both would appear to be alive.
    The store's revisions order the rows, since clocks of machines may differ.
    A row of a service that is not configured names no server to use, so it
    takes the address from no other one.

    Attributes:
        zone: Zone of this entry.
        routing: Configuration in effect; None before the first.
        routing_at: Time at which the configuration was last confirmed by the
            store, or received as a new or equal one from another entry.
        rejected_routing: The stored configuration if it cannot be read, so that
            an earlier one stays in effect; else None.
        servers: Servers of the platform's list that may be used, by instance.
        servers_at: Time at which the store last confirmed the list.
        notify_suspect: Called with each server that this entry suspects, also
            when it has been suspected for `SUSPICION_ANNOUNCE_S` more.
        notify_cleared: Called with each server whose suspicion was cleared.
        notify_leaving: Called with the instance of each server that takes no
            new work or releases layers, so that streams can move away.
        notify_load: Called when the load of another entry has changed.
        is_stated_leaving: Returns whether a server has stated that it shuts
            down, whatever the platform's list says.
        get_stated_wait_s: Returns how long a server wants no request from this
            entry, seconds.
        entry_count: Number of entries that share the retry budgets, this one
            included; 0 until known.
    """

    def __init__(self, zone: str, random: random_module.Random | None = None):
        """Creates the view of an entry that knows no servers yet.

        Args:
            zone: Zone of the entry.
            random: Source of random choices; None for fixed ones.
        """
        self.zone = zone
        self._random = random or random_module.Random(0)
        self.routing: fleet.Routing | None = None
        self.routing_at = float("-inf")
        self.rejected_routing: RejectedRouting | None = None
        self.servers: dict[str, fleet.Server] = {}
        self.servers_at = float("-inf")
        self.entry_count = 0
        self.notify_suspect: collections.abc.Callable[[fleet.Server], None] = (
            _ignore
        )
        self.notify_cleared: collections.abc.Callable[[fleet.Server], None] = (
            _ignore
        )
        self.notify_leaving: collections.abc.Callable[[str], None] = _ignore
        self.notify_load: collections.abc.Callable[[], None] = _ignore
        self.is_stated_leaving: collections.abc.Callable[
            [fleet.Server], bool
        ] = lambda _: False
        self.get_stated_wait_s: collections.abc.Callable[
            [fleet.Server], float
        ] = lambda _: 0.0
        self._changed = trio.Event()
        self._no_path_since: dict[str, float] = {}
        self._link_shares: dict[str, links.LinkShare] = {}
        self._health: dict[str, Health] = collections.defaultdict(Health)
        self._peer_loads: dict[str, dict[str, int]] = {}
        self._reports: dict[str, tuple[fleet.LayerRange | None, float]] = {}
        # All listed servers by instance, used or not.
        self._listed: dict[str, _Listed] = {}

    def get_store_age_s(self) -> float:
        """Returns the age in seconds of the newest response of the store."""
        seen_at = max(self.routing_at, self.servers_at)
        return trio.current_time() - seen_at

    async def wait_changed(self) -> None:
        """Waits until servers, suspicions or the configuration change."""
        await self._changed.wait()

    def apply_routing(
        self, routing: fleet.Routing, source: str, replaces_equal: bool = False
    ) -> bool:
        """Applies a configuration unless it is older than the current one.

        Args:
            routing: The configuration.
            source: Where it was received from, for the log.
            replaces_equal: Whether it replaces one of the same version.

        Returns:
            Whether the configuration was put into effect.
        """
        current = self.routing.version if self.routing else None
        if current is not None and routing.version < current:
            _log.warning(
                "older configuration ignored",
                version=routing.version,
                current=current,
                source=source,
            )
            return False
        self.routing_at = trio.current_time()
        if current == routing.version and not replaces_equal:
            return False
        self.routing = routing
        self._update_shared_addresses()
        self._signal_changed()
        _log.info(
            "configuration applied",
            version=routing.version,
            previous=current,
            routes=len(routing.routes),
            source=source,
        )
        return True

    def reject_routing(
        self, version: int | None, error: str, source: str
    ) -> None:
        """Records that a configuration cannot be read.

        The one in effect stays so: with a part of the new one alone, requests
        could be admitted that neither of them allows.

        Args:
            version: Its version, None if that cannot be read either.
            error: Why it cannot be read.
            source: Where it was received from, for the log.
        """
        error = error[:ERROR_LENGTH]
        self.rejected_routing = RejectedRouting(
            version, error, trio.current_time()
        )
        _log.error(
            "stored configuration is unreadable",
            version=version,
            current=self.routing.version if self.routing else None,
            error=error,
            source=source,
        )

    def apply_server(self, server: fleet.Server) -> None:
        """Adds or updates a server of the platform's list."""
        known = self._listed.get(server.instance)
        if known is None:
            self._listed[server.instance] = _Listed(server, server.revision)
        else:
            if server.revision < known.server.revision:
                return
            is_same = (known.server.started_at_ms, known.server.address) == (
                server.started_at_ms,
                server.address,
            )
            since = known.since if is_same else server.revision
            self._listed[server.instance] = _Listed(server, since)
            if known.server.address != server.address:
                self._choose_server(known.server.address)
        self._choose_server(server.address)

    def is_listed(self, instance: str) -> bool:
        """Returns whether a server is in the platform's list."""
        return instance in self._listed

    def _choose_server(self, address: addresses.Address) -> None:
        """Uses one of the listed servers at an address."""
        listed = [
            item
            for item in self._listed.values()
            if item.server.address == address
        ]
        if not listed:
            return
        chosen = max(listed, key=self._get_precedence).server
        for item in listed:
            instance = item.server.instance
            if instance != chosen.instance and instance in self.servers:
                del self.servers[instance]
                self._signal_changed(instance)
                _log.info(
                    "server not used, as another one has its address",
                    instance=instance,
                    address=address,
                    other=chosen.instance,
                )
        self._use(chosen)

    def _get_precedence(self, item: _Listed) -> tuple[bool, int, str]:
        """Returns the sort key of servers with one address."""
        is_configured = (
            self.routing is None or item.server.service in self.routing.services
        )
        return is_configured, item.since, item.server.instance

    def _update_shared_addresses(self) -> None:
        """Chooses again among servers with one address."""
        counts = collections.Counter(
            item.server.address for item in self._listed.values()
        )
        for address, count in counts.items():
            if count > 1:
                self._choose_server(address)

    def _use(self, server: fleet.Server) -> None:
        """Adds or updates a server that may be used."""
        old = self.servers.get(server.instance)
        server = self._retain_reported_layers(old, server)
        if server.ready and self.is_stated_leaving(server):
            server = dataclasses.replace(server, ready=False)
        self.servers[server.instance] = server
        if old is not None and old.started_at_ms != server.started_at_ms:
            # The server has restarted under the same name. Observations of the
            # process before the restart are outdated.
            self._reset(server.instance, "restarted")
        if old is None or _has_changed(old, server):
            self._signal_changed(
                server.instance if _has_reduced_capacity(old, server) else ""
            )
            _log.info(
                "server changed",
                instance=server.instance,
                service=server.service,
                address=server.address,
                zone=server.zone,
                ready=server.ready,
                span=_describe_layer_range(server.layer_range),
                revision=stores.format_revision(server.revision),
            )

    def apply_stated_leaving(self, instance: str) -> None:
        """Gives no new work to a server that has stated that it shuts down."""
        server = self.servers.get(instance)
        if server is None or not server.ready:
            return
        if not self.is_stated_leaving(server):
            return
        self.servers[instance] = dataclasses.replace(server, ready=False)
        self._signal_changed(instance)
        _log.info(
            "server gets no new work, as it states that it leaves",
            instance=instance,
            address=server.address,
        )

    def apply_report(
        self,
        instance: str,
        layer_range: fleet.LayerRange | None,
        started_at_ms: int = 0,
    ) -> bool:
        """Applies the layers that a server has just reported.

        A server starts again without layers, so the report of an earlier
        process, which may have been read late, does not apply to a later one.

        Args:
            instance: The server's instance.
            layer_range: The layers; None if it holds none.
            started_at_ms: Start time of the process that reported, see
                `fleet.Server`; 0 if unknown.

        Returns:
            Whether the layers differ from the known ones.
        """
        server = self.servers.get(instance)
        if server is None or 0 < started_at_ms < server.started_at_ms:
            return False
        self._reports[instance] = (layer_range, trio.current_time())
        return self._change_layers(server, layer_range)

    def expire_reports(self) -> None:
        """Restores the listed layers where a report has expired.

        The list only states changes, so without this a report that was older
        than the row would stay in effect until the next change.
        """
        now = trio.current_time()
        for instance, (_, at) in list(self._reports.items()):
            if now - at < REPORT_PRECEDENCE_S:
                continue
            del self._reports[instance]
            server = self.servers.get(instance)
            if server is not None and instance in self._listed:
                listed = self._listed[instance].server
                self._change_layers(server, listed.layer_range)

    def _change_layers(
        self, server: fleet.Server, layer_range: fleet.LayerRange | None
    ) -> bool:
        """Sets the layers of a server; returns whether they differ."""
        if server.layer_range == layer_range:
            return False
        instance = server.instance
        updated = dataclasses.replace(server, layer_range=layer_range)
        self.servers[instance] = updated
        self._signal_changed(
            instance if _has_reduced_capacity(server, updated) else ""
        )
        _log.info(
            "server reported other layers",
            instance=instance,
            address=server.address,
            span=_describe_layer_range(layer_range),
            previous=_describe_layer_range(server.layer_range),
        )
        return True

    def _retain_reported_layers(
        self, old: fleet.Server | None, server: fleet.Server
    ) -> fleet.Server:
        """Replaces the layers of a listed server by those of a recent report.

        Args:
            old: The server as known before; None if it is new.
            server: The server as listed.
        """
        layer_range, at = self._reports.get(
            server.instance, (None, float("-inf"))
        )
        same = old is not None and old.started_at_ms == server.started_at_ms
        if same and trio.current_time() - at < REPORT_PRECEDENCE_S:
            return dataclasses.replace(server, layer_range=layer_range)
        self._reports.pop(server.instance, None)
        return server

    def remove_server(self, instance: str, revision: int) -> None:
        """Removes a server that is no longer in the platform's list.

        Args:
            instance: The server's instance.
            revision: Store revision of the removal; an older one is ignored.
        """
        known = self._listed.get(instance)
        if known is None or revision < known.server.revision:
            return
        del self._listed[instance]
        if self.servers.pop(instance, None) is not None:
            self._signal_changed(instance)
        self._health.pop(instance, None)
        self._reports.pop(instance, None)
        _log.info(
            "server removed",
            instance=instance,
            revision=stores.format_revision(revision),
        )
        self._choose_server(known.server.address)

    def get_health(self, server: fleet.Server) -> Health:
        """Returns the observed state of a server."""
        return self._health[server.instance]

    def is_suspected(self, server: fleet.Server) -> bool:
        """Returns whether a server is suspected of failure."""
        health = self._health.get(server.instance)
        return (
            health is not None and trio.current_time() < health.suspected_until
        )

    def may_recover(self, server: fleet.Server) -> bool:
        """Returns whether a suspected server may only be silent for a time."""
        if not self.is_suspected(server):
            return False
        health = self._health[server.instance]
        silent_s = trio.current_time() - health.suspected_since
        return not health.ended and silent_s < SILENCE_LIMIT_S

    def has_ended(self, server: fleet.Server) -> bool:
        """Returns whether a server's process is known to have ended.

        A server that merely does not respond may be slow, and may still run
        the requests that it received.
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
            reason: Why it is suspected, for log and status.
            ended: Whether it refused a connection, so that its process has
                ended.
        """
        health = self._health[server.instance]
        is_new = not self.is_suspected(server)
        health.suspected_until = trio.current_time() + SUSPICION_TIMEOUT_S
        health.reason = reason
        # A process that has ended does not run again, so a later silence does
        # not revoke a refused connection.
        health.ended = ended or (health.ended and not is_new)
        health.checked_by_others = False
        if is_new:
            self._begin_suspicion(server, reason)
        now = trio.current_time()
        if is_new or now - health.announced_at >= SUSPICION_ANNOUNCE_S:
            health.announced_at = now
            self.notify_suspect(server)

    def record_end(self, server: fleet.Server) -> None:
        """Records that a suspected server has refused a connection.

        Whoever checks whether it responds again goes on to do so.
        """
        if self.is_suspected(server):
            self._health[server.instance].ended = True

    def apply_peer_suspicion(self, server: fleet.Server, entry: str) -> bool:
        """Applies the finding of an entry that checks a server for the others.

        Args:
            server: The server.
            entry: Name of the entry.

        Returns:
            Whether the server was not suspected before.
        """
        health = self._health[server.instance]
        is_new = not self.is_suspected(server)
        health.suspected_until = trio.current_time() + SUSPICION_TIMEOUT_S
        health.checked_by_others = True
        if is_new:
            health.reason = f"found by {entry}"
            health.ended = False
            self._begin_suspicion(server, health.reason)
        return is_new

    def _begin_suspicion(self, server: fleet.Server, reason: str) -> None:
        """Records a new suspicion and wakes tasks that wait for a change."""
        self._health[server.instance].suspected_since = trio.current_time()
        _log.warning(
            "server suspected",
            instance=server.instance,
            address=server.address,
            reason=reason,
        )
        self._signal_changed(server.instance)

    def clear_suspicion(self, server: fleet.Server) -> bool:
        """Clears the suspicion of a server that responded to a probe.

        Returns:
            Whether the server was suspected.
        """
        health = self._health[server.instance]
        was_suspected = self.is_suspected(server)
        health.suspected_until = 0.0
        health.ended = False
        health.checked_by_others = False
        if was_suspected:
            _log.info(
                "server suspicion cleared",
                instance=server.instance,
                reason=health.reason,
            )
            self.notify_cleared(server)
        return was_suspected

    def record_refusal(
        self, server: fleet.Server, service: fleet.Service | None = None
    ) -> None:
        """Gives no new work for a time to a server that refused work.

        Args:
            server: The server.
            service: Its service, if that runs a model. A server without room
                refuses work although it is not leaving.
        """
        health = self._health[server.instance]
        now = trio.current_time()
        if service is not None and self._is_nearly_full(service, server):
            if now >= health.refused_until:
                health.refused_until = now + REFUSAL_PAUSE_MIN_S
                _log.info(
                    "server has no room",
                    instance=server.instance,
                    address=server.address,
                    streams=round(self.get_load(server)),
                    pause_ms=round(1000 * REFUSAL_PAUSE_MIN_S),
                )
            return
        # Refusals of requests that were sent concurrently count once.
        if now < health.refused_until:
            return
        pause_s = min(
            REFUSAL_PAUSE_MIN_S * 2**health.refusals, REFUSAL_PAUSE_MAX_S
        )
        health.refusals += 1
        health.refused_until = now + pause_s
        _log.info(
            "server refuses work",
            instance=server.instance,
            address=server.address,
            refusals=health.refusals,
            pause_ms=round(1000 * pause_s),
        )
        if self.is_leaving(server):
            self._signal_changed()

    def record_acceptance(self, server: fleet.Server) -> None:
        """Resets the refusals of a server that accepted a request."""
        health = self._health.get(server.instance)
        if health is not None and health.refusals:
            health.refusals = 0
            health.refused_until = 0.0

    def is_leaving(self, server: fleet.Server) -> bool:
        """Returns whether repeated refusals mark a server as leaving."""
        health = self._health.get(server.instance)
        return health is not None and health.refusals >= REFUSALS_UNTIL_LEAVING

    def list_suspects(self) -> list[fleet.Server]:
        """Returns the listed servers that are suspected."""
        return [s for s in self.servers.values() if self.is_suspected(s)]

    def list_suspects_to_check(self) -> list[fleet.Server]:
        """Returns the suspected servers that no other entry checks."""
        return [
            server
            for server in self.list_suspects()
            if not self._health[server.instance].checked_by_others
        ]

    def list_usable(self, service: str) -> list[fleet.Server]:
        """Returns the servers of a service that accept new work."""
        now = trio.current_time()
        return [
            server
            for server in self.servers.values()
            if server.service == service
            and server.ready
            and not self.is_suspected(server)
            and now >= self._health[server.instance].refused_until
            and not self.get_stated_wait_s(server)
        ]

    def find_server(self, address: addresses.Address) -> fleet.Server | None:
        """Returns the most recently started server at an address."""
        found = [s for s in self.servers.values() if s.address == address]
        return max(found, key=lambda s: s.started_at_ms, default=None)

    def get_load(self, server: fleet.Server) -> float:
        """Returns the known requests in flight of all entries on a server."""
        name = server.instance
        peer_requests = sum(
            counts.get(name, 0) for counts in self._peer_loads.values()
        )
        health = self._health.get(name)
        return peer_requests + (health.in_flight if health else 0)

    def _is_full(
        self,
        planner: paths.Planner,
        server: fleet.Server,
        withheld: float = 0.0,
    ) -> bool:
        """Returns whether a server has no room for another stream.

        Args:
            planner: Planner of the service.
            server: The server.
            withheld: Fraction of its room that the stream may not use.
        """
        if server.layer_range is None:
            return False
        load = self.get_load(server)
        capacity = planner.estimate_stream_capacity(server)
        if load + 1 > capacity:
            return True
        if not withheld or capacity == float("inf"):
            return False
        return shares.exceeds_share(load, capacity, withheld, server.instance)

    def _is_nearly_full(
        self, service: fleet.Service, server: fleet.Server
    ) -> bool:
        """Returns whether a refusal of a server may be for want of room."""
        if service.engine is None or server.layer_range is None:
            return False
        capacity = self.make_planner(service).estimate_stream_capacity(server)
        return self.get_load(server) >= FULL_SHARE * capacity

    def count_in_flight(self) -> dict[str, int]:
        """Returns this entry's requests in flight by instance."""
        return {
            name: health.in_flight
            for name, health in self._health.items()
            if health.in_flight
        }

    def sum_in_flight(
        self, entries: collections.abc.Container[str]
    ) -> dict[str, int]:
        """Returns the requests in flight by instance.

        Args:
            entries: Keys of the other entries to include beside this one.
        """
        total = collections.Counter(self.count_in_flight())
        for entry, counts in self._peer_loads.items():
            if entry in entries:
                total.update(counts)
        return dict(total)

    def apply_peer_load(
        self, entry: str, counts: dict[str, int] | None
    ) -> None:
        """Applies the load that another entry has put on servers.

        Args:
            entry: Key of the other entry.
            counts: Its requests in flight by instance; None if it left.
        """
        if counts is None:
            self._peer_loads.pop(entry, None)
        else:
            self._peer_loads[entry] = counts
        self.notify_load()

    def estimate_cost(self, server: fleet.Server) -> float:
        """Estimates the cost of a request to a server of a plain service.

        It is the expected response time: requests in flight per slot plus this
        one, times the mean response time, raised by the failure rate.
        """
        health = self._health[server.instance]
        load = self.get_load(server) / max(server.slots, 1)
        failure_factor = 1 + FAILURE_WEIGHT * health.failure_rate
        return (1 + load) * failure_factor * max(health.mean_duration_s, 0.001)

    def record_outcome(
        self, server: fleet.Server, success: bool, duration_s: float | None
    ) -> None:
        """Updates failure rate and response time of a server.

        Args:
            server: The server.
            success: Whether the request succeeded.
            duration_s: Response time, or time until the failure, which only
                shows that a success takes longer; None for a refusal, which
                does not show that either.
        """
        if server.instance not in self.servers:
            return
        health = self._health[server.instance]
        failed = 0.0 if success else 1.0
        health.failure_rate += FAILURE_SMOOTHING * (
            failed - health.failure_rate
        )
        if success and duration_s is not None:
            _update_mean_duration(health, duration_s)
        elif duration_s is not None:
            _update_mean_duration(
                health, max(duration_s, health.mean_duration_s)
            )

    def record_cancelled(self, server: fleet.Server, duration_s: float) -> None:
        """Raises the response time of a server by a cancelled request.

        Callers leave servers that take too long, so without this the mean would
        be that of the short response times.

        Args:
            server: The server.
            duration_s: Time after which the request was cancelled, seconds.
        """
        if server.instance in self.servers:
            health = self._health[server.instance]
            _update_mean_duration(
                health, max(duration_s, health.mean_duration_s)
            )

    def choose_path(
        self,
        service: fleet.Service,
        avoid: frozenset[str] = frozenset(),
        not_first: frozenset[str] = frozenset(),
        needs_room: bool = False,
        withheld: float = 0.0,
    ) -> paths.Path | None:
        """Chooses servers that together run all layers of a service's model.

        Args:
            service: The service.
            avoid: Instances that are not used.
            not_first: Instances with which the path must not begin.
            needs_room: Whether each server must have room for the stream.
            withheld: Fraction of that room that the stream may not use.

        Returns:
            The path; None if some layer is on no usable server.
        """
        planner = self.make_planner(service)
        servers = [
            server
            for server in self.list_usable(service.name)
            if server.instance not in avoid
            and not (needs_room and self._is_full(planner, server, withheld))
        ]
        path = planner.choose_path(servers, self.get_load, not_first)
        if (
            needs_room
            and path is not None
            and paths.count_zone_changes(path)
            and not self._find_link_share(service).has_room(
                self._compute_link_rate(service), trio.current_time()
            )
        ):
            return None
        if path is not None:
            self._no_path_since.pop(service.name, None)
        elif not avoid and not not_first and not needs_room:
            now = trio.current_time()
            if self._no_path_since.setdefault(service.name, now) == now:
                _log.warning(
                    "service has no complete path", service=service.name
                )
        return path

    def record_path(self, service: fleet.Service, path: paths.Path) -> None:
        """Records that a stream is sent on a path."""
        changes = paths.count_zone_changes(path)
        if changes:
            self._find_link_share(service).record_changes(
                changes, self._compute_link_rate(service), trio.current_time()
            )

    def _find_link_share(self, service: fleet.Service) -> links.LinkShare:
        return self._link_shares.setdefault(
            service.name, links.LinkShare(self._random)
        )

    def _compute_link_rate(self, service: fleet.Service) -> float:
        """Returns this entry's share of zone changes per second."""
        return links.compute_rate(service.engine) / max(1, self.entry_count)

    def get_no_path_duration_s(self, service: str) -> float:
        """Returns the seconds for which a service has had no path."""
        now = trio.current_time()
        return now - self._no_path_since.get(service, now)

    def make_planner(self, service: fleet.Service) -> paths.Planner:
        """Returns a planner of paths with the recently reported slowness."""
        now = trio.current_time()
        slowness = {
            name: health.slowness
            for name, health in self._health.items()
            if now < health.slow_until
        }
        return paths.Planner(service.engine, self.zone, slowness)

    def record_slowness(self, server: fleet.Server, slowness: float) -> None:
        """Records a server's reported slowness, see `Health.slowness`."""
        health = self._health[server.instance]
        if slowness >= 1.5 or health.slow_until:
            _log.debug(
                "server reported its slowness",
                instance=server.instance,
                slowness=slowness,
            )
        health.slowness = slowness
        health.slow_until = (
            trio.current_time() + SLOWNESS_LIFETIME_S if slowness > 1.0 else 0.0
        )

    def describe(self) -> dict:
        """Returns the known state with its age, as a JSON value."""
        now = trio.current_time()
        routing = self.routing
        return {
            "routing": {
                "version": routing.version if routing else None,
                "age_s": _render_age(now - self.routing_at),
                "rejected": self.rejected_routing
                and self.rejected_routing.describe(now),
            },
            "list_age_s": _render_age(now - self.servers_at),
            "entries": self.entry_count,
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
            "failures": round(health.failure_rate, 3),
            "revision": stores.format_revision(server.revision),
        }

    def _signal_changed(self, leaving: str = "") -> None:
        """Wakes the tasks that wait for a change.

        Args:
            leaving: Instance that streams are to move away from, if any.
        """
        self._changed.set()
        self._changed = trio.Event()
        if leaving:
            self.notify_leaving(leaving)

    def _reset(self, instance: str, reason: str) -> None:
        """Discards the observed state of a server except `in_flight`."""
        # Requests in progress keep the object that they are counted in.
        health = self._health[instance]
        for field in dataclasses.fields(Health):
            if field.name != "in_flight":
                setattr(health, field.name, field.default)
        _log.info("server restarted", instance=instance, reason=reason)


def _update_mean_duration(health: Health, duration_s: float) -> None:
    if not health.mean_duration_s:
        health.mean_duration_s = duration_s
    change = duration_s - health.mean_duration_s
    health.mean_duration_s += DURATION_SMOOTHING * change


def _has_changed(old: fleet.Server, new: fleet.Server) -> bool:
    return (old.ready, old.layer_range, old.address, old.started_at_ms) != (
        new.ready,
        new.layer_range,
        new.address,
        new.started_at_ms,
    )


def _has_reduced_capacity(old: fleet.Server | None, new: fleet.Server) -> bool:
    """Returns whether a server accepts less work than before."""
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


# Sort key of servers without layers, which come first.
_NO_LAYER_RANGE = fleet.LayerRange(-1, -1)


def _render_age(age_s: float) -> float | None:
    """Returns an age as a JSON value; None if nothing was received yet."""
    return None if age_s == float("inf") else round(age_s, 3)


def _ignore(*_arguments) -> None:
    """Default notification function, which does nothing."""


def _describe_layer_range(layer_range: fleet.LayerRange | None) -> str:
    return f"{layer_range.first}-{layer_range.end}" if layer_range else "none"
