"""The connections of an entry to other entries.

The entries forward to each other what they have read from the store, their
requests in flight, suspicions of servers, crashes and layers of servers. Losing
a connection degrades the choice of paths and costs more store calls. An entry
that cannot reach the store receives changes only over these connections.

In a large fleet, an entry is connected to some hubs only, see
`peridotyard_core.topologies`, which forward its messages to all others.
"""

import collections.abc
import contextlib

from peridotyard_core import addresses
from peridotyard_core import crashes
from peridotyard_core import fleet
from peridotyard_core import layouts
from peridotyard_core import prompts
from peridotyard_core import quarantines
from peridotyard_core import topologies
import trio

from peridotyard_daemon.connection import frames
from peridotyard_daemon.connection import peers as peers_module
from peridotyard_daemon.process import announcements
from peridotyard_daemon.process import delays
from peridotyard_daemon.process import demands
from peridotyard_daemon.process import duties
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.process import presence
from peridotyard_daemon.process import probes
from peridotyard_daemon.process import prompts as prompts_module
from peridotyard_daemon.process import reservations as reservations_module
from peridotyard_daemon.process import statements as statements_module
from peridotyard_daemon.process import stores
from peridotyard_daemon.process import synchronization
from peridotyard_daemon.process import views
from peridotyard_daemon.wire.generated import ttypes

ROLE = "entry"
# Record kind of a complete configuration in the encoding of the store.
RECORD_KIND = "routing"
# Time between two messages with the requests in flight, for connections to up
# to `LOAD_INTERVAL_ENTRIES` entries. It is short against the seconds of a
# stream. With more entries it grows in proportion, since each of them has fewer
# requests in flight and receives the messages of all others.
LOAD_INTERVAL_S = 0.25
LOAD_INTERVAL_ENTRIES = 4
# Time to wait for a configuration that was requested from one entry before it
# is requested from another. All other entries announce a new version within
# milliseconds, and each response is a complete configuration.
FETCH_TIMEOUT_S = 0.3
# Time without a list of entries and servers after which a starting entry turns
# to its seeds. The store responds within some milliseconds.
STORE_WAIT_S = 0.3
# Time between two messages with the requests in flight between a hub and a
# member of its group.
GROUP_LOAD_INTERVAL_S = 0.5
# Time between two reports on the demand, and between those of hubs to more than
# `DEMAND_HUBS` others. A little shorter than the intervals of the messages that
# carry them, whose timers are not exact.
DEMAND_INTERVAL_S = 0.45
DEMAND_HUB_INTERVAL_S = 0.95
DEMAND_HUBS = 16
# Key of the requests in flight that a member receives from its hub.
FLEET_KEY = "fleet"
# Time for which an entry tries to connect to a hub before it does without it,
# and the time after which it tries again.
HUB_TIMEOUT_S = 1.2
HUB_RETRY_S = 5.0
# Time in which a suspicion is forwarded once, however many entries report it.
SUSPICION_FORWARD_INTERVAL_S = 0.3
# Members whose rows a hub writes; the store takes 100 rows in one write.
MAX_REPRESENTED = 90
# Share of suspected servers from which on the fault is more likely in this
# entry or its link, so that the others do not rely on its findings.
MASS_SUSPICION_SHARE = 0.5
# Time between two checks which entries to connect to. It adds little to the
# time between two reads of the list of entries from the store, two to five
# seconds.
DIAL_INTERVAL_S = 0.5
# Time without a response of the store, at this entry and at all connected ones,
# after which one of them acts for the holder of the placement lease. It is
# longer than the lease (2.4 s), so that the last holder has stopped.
STORE_LOST_TIMEOUT_S = presence.LEASE_DURATION_S + 0.2
# Time after its start from which a hub of a large fleet coordinates requests to
# servers. The other hubs read the list of entries every few seconds.
HUB_KNOWN_S = 6.0
# Largest numbers of requests in flight of a server and of crashes in succession
# that are accepted. Sums of them fit into the fields of messages.
MAX_LOAD = 1 << 20
MAX_SUCCESSION = 1 << 20
# Largest age of a list that is sent; older ones count as this old.
MAX_AGE_MS = 86_400_000.0
TIMING = peers_module.Timing(
    heartbeat_s=0.5, misses=3, dial_s=1.0, idle_heartbeat_s=0.5
)
# A hub of 3,700 entries has 200 connections. The longest list has one element
# for each of 10,000 servers.
LIMITS = peers_module.Limits(
    connections=1024, frame=frames.Limits(list_length=1 << 17)
)

_log = logs.Logger("mesh")


class Mesh:
    """This entry's connections to the others, owned by the process.

    It implements `connection.peers.Handler`.
    """

    def __init__(
        self,
        view: views.View,
        synchronizer: synchronization.Synchronizer,
        prober: probes.Prober,
        own_presence: presence.Presence,
        quarantine: quarantines.Quarantine,
        parts: prompts_module.PartMonitor,
        statements: statements_module.Statements,
        reservations: reservations_module.Reservations,
        shares: demands.CapacityShares,
        network: network_module.Network,
        name: str,
        own: topologies.Entry,
        list_entries: collections.abc.Callable[
            [], collections.abc.Iterable[topologies.Entry]
        ],
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        """Creates the mesh of one process.

        Args:
            view: Receives configuration, layers and loads.
            synchronizer: Applies configurations and changes of other entries.
            prober: Probes servers that another entry suspects.
            own_presence: State of the placement lease; updated from the
                heartbeats of other entries.
            quarantine: Receives the crashes that other entries have seen.
            parts: Receives the evidence of other entries on parts of prompts.
            statements: Receives what other entries have heard of servers.
            reservations: Reservations of requests to limited servers.
            shares: Receives the demand at other entries.
            network: Opens and accepts connections.
            name: Name of this entry, unique for each process start.
            own: This entry as the others know it.
            list_entries: Returns the other entries.
            count: Increases the counter of the given name.
        """
        self._view = view
        self._synchronizer = synchronizer
        self._prober = prober
        self._presence = own_presence
        self._quarantine = quarantine
        self._parts = parts
        self._shares = shares
        self._name = name
        self._own = own
        self._address = own.address
        self._list_entries = list_entries
        self._count = count
        self._peers = peers_module.Peers(network, self, TIMING, count, LIMITS)
        self._dialed: set[addresses.Address] = set()
        # Number of requests for the list of servers.
        self._fetches = 0
        self._topology = topologies.Topology()
        self._hub_keys: frozenset[str] = frozenset()
        # The other entries of the topology; None before the first.
        self._known_entries: frozenset[topologies.Entry] | None = None
        # Hubs without a connection: since when, and until when this entry does
        # without them.
        self._missing_since: dict[addresses.Address, float] = {}
        self._avoided_until: dict[addresses.Address, float] = {}
        # The hub that forwards the messages of this entry, if it is a member.
        self._primary: peers_module.Connection | None = None
        self._reported_to: peers_module.Connection | None = None
        # Keys of the entries that report their requests in flight.
        self._reporting: set[str] = set()
        self._sent_loads: dict[str, int] = {}
        # Requests in flight of all entries, and the members they were sent to.
        self._sent_totals: tuple[dict[str, int], set[str]] = {}, set()
        self._forwarded_at: dict[str, float] = {}
        self._store_seen_at: dict[str, float] = {}
        self._was_acting_holder = False
        self._pauses = delays.PauseDetector()
        # Entries that stay silent, and may still send requests to servers.
        self._silent: set[str] = set()
        self._exchange = announcements.Exchange(self, statements, reservations)
        self._fetch_until = float("-inf")
        self._started_at = float("inf")
        # Handlers of messages, by the field of the frame that holds them.
        self._frame_handlers = {
            "heartbeat": self._handle_heartbeat,
            "config_notice": lambda connection, message: self._fetch_if_newer(
                connection, message.revision
            ),
            "config_fetch": lambda connection, _: self._send_routing(
                connection
            ),
            "config_delta": self._handle_routing,
            "table_rows": self._handle_rows,
            "table_fetch": self._send_servers,
            "offer": self._handle_layers,
            "quarantine": self._handle_crashes,
            "prompt_parts": self._handle_prompt_parts,
            "suspects": self._handle_suspects,
            "in_flight": self._handle_loads,
            "server_statements": self._exchange.handle_statements,
            "reservation_request": self._exchange.handle_request,
            "reservation_reply": self._exchange.handle_reply,
        }
        own_presence.may_claim = lambda: not self.is_member
        own_presence.list_represented = self._list_represented
        own_presence.publish = self._send_entries
        own_presence.is_connected = self._is_connected

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accepts and opens connections until cancelled."""
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            await nursery.start(self._peers.run, self._address)
            task_status.started()
            for name, duty in (
                ("mesh-dials", self._dial_all),
                ("mesh-loads", self._send_loads),
                ("mesh-pauses", self._pauses.run),
            ):
                nursery.start_soon(duties.run, name, duty, self._count)

    @property
    def is_member(self) -> bool:
        """Whether this entry leaves the lease and store reads to its hubs."""
        return self._find_primary() is not None

    def announce_routing(self) -> None:
        """Announces the version of the configuration in effect."""
        notice = ttypes.ConfigNotice(revision=self._get_version())
        self._peers.broadcast(ttypes.Frame(config_notice=notice))

    def announce_rows(
        self,
        table: str,
        after: int,
        listing: stores.Listing,
    ) -> None:
        """Forwards changes that this entry has read from the store.

        Args:
            table: Name of the table.
            after: Revision after which the listing has all changes.
            listing: The changes, with the store's clock at its response.
        """
        frame = ttypes.TableRows(
            table=table,
            after=after,
            revision=listing.revision,
            rows=_encode_rows(listing.rows),
            clock_ms=round(1000 * listing.clock_s),
            origin=str(self._address),
        )
        self.forward(ttypes.Frame(table_rows=frame))

    def announce_suspect(self, server: fleet.Server) -> None:
        """Announces that a server did not respond.

        The other entries rely on the finding of a checker; other findings are
        checked first.
        """
        names = [server.instance]
        is_mass_suspicion = (
            len(self._view.list_suspects())
            > len(self._view.servers) * MASS_SUSPICION_SHARE
        )
        if self._is_checker(server.instance) and not is_mass_suspicion:
            suspects = ttypes.Suspects(confirmed=names)
        else:
            suspects = ttypes.Suspects(instances=names)
        self.forward(ttypes.Frame(suspects=suspects))

    def announce_cleared(self, server: fleet.Server) -> None:
        """Announces that a suspected server has responded to a checker."""
        if self._is_checker(server.instance):
            suspects = ttypes.Suspects(cleared=[server.instance])
            self.forward(ttypes.Frame(suspects=suspects))

    def announce_crash(self, fingerprint: int, crash: crashes.Crash) -> None:
        """Announces that a server crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            crash: The crash.
        """
        news = ttypes.Quarantine(crashes={fingerprint: [crash.encode()]})
        self.forward(ttypes.Frame(quarantine=news))

    def announce_answered(self, fingerprint: int) -> None:
        """Announces that a server has answered a request.

        Args:
            fingerprint: Fingerprint of the request.
        """
        news = ttypes.Quarantine(crashes={fingerprint: []})
        self.forward(ttypes.Frame(quarantine=news))

    def announce_evidence(self, evidence: prompts.Evidence) -> None:
        """Announces evidence on parts of prompts, see `process.prompts`."""
        self.forward(_make_prompt_parts(evidence))

    def announce_layers(self, layer_ranges: layouts.LayerRanges) -> None:
        """Announces the layers that servers have reported."""
        servers = self._view.servers
        for instance, layer_range in layer_ranges.items():
            offer = ttypes.Offer(instance=instance, kind="model", ready=True)
            if instance in servers:
                offer.sequence = servers[instance].started_at_ms
            if layer_range is not None:
                offer.first_layer, offer.end_layer = (
                    layer_range.first,
                    layer_range.end,
                )
            self.forward(ttypes.Frame(offer=offer))

    def is_acting_holder(self) -> bool:
        """Returns whether this entry acts for the holder of the lease.

        No lease can be granted while the store responds to no entry, while it
        fails their writes, nor while the lease of an ended holder has not
        expired. Then, the entry with the lowest address among the connected
        ones acts. With a partition between
        the entries, a second one may act as well. This is harmless, since all
        orders are conditional.

        An entry that was paused does not act until it has heard nothing of the
        store for as long as others have to.
        """
        if self.is_member:
            return False
        # An entry without any connection is more likely partitioned itself
        # than the only entry left, unless the holder was the only other entry.
        is_isolated = not self._peers.connections and self._view.entry_count > 2
        holder_is_lost = self._presence.is_holder_lost() and not is_isolated
        is_vacant = self._presence.is_lease_vacant() and not is_isolated
        now = trio.current_time()
        age_s = min(self._view.get_store_age_s(), now - self._started_at)
        store_is_lost = age_s > STORE_LOST_TIMEOUT_S
        is_lowest = True
        for connection in self._peers.connections:
            # An entry that has not sent a heartbeat yet may be the holder.
            seen_at = self._store_seen_at.get(connection.key, now)
            store_is_lost = (
                store_is_lost and now - seen_at > STORE_LOST_TIMEOUT_S
            )
            if self._is_hub(connection):
                is_lowest = is_lowest and str(self._address) < connection.key
        is_paused = self._pauses.get_running_s() <= STORE_LOST_TIMEOUT_S
        acts = (
            (store_is_lost or holder_is_lost or is_vacant)
            and is_lowest
            and not is_paused
        )
        if acts != self._was_acting_holder:
            self._was_acting_holder = acts
            _log.info(
                "acting for the lease holder started or stopped",
                acts=acts,
                holder_lost=holder_is_lost,
                store_lost=store_is_lost,
                vacant=is_vacant,
            )
        return acts

    def _is_connected(self, name: str) -> bool:
        """Returns whether this entry is connected to the entry of a name."""
        return any(
            connection.peer.instance == name
            for connection in self._peers.connections
        )

    def make_hello(self) -> ttypes.Hello:
        """Returns the first message for a peer."""
        return ttypes.Hello(
            instance=self._name,
            zone=self._view.zone,
            role=ROLE,
            address=str(self._address),
            revision=self._get_version(),
            protocol=peers_module.PROTOCOL_VERSION,
            capacity=self._own.capacity,
        )

    def make_heartbeat(self) -> ttypes.Heartbeat:
        """Returns a heartbeat with version, state age and lease state.

        The state age is the time since the last response of the store.
        """
        # Capped, since the age is infinite before the store's first response.
        age_s = min(self._view.get_store_age_s(), STORE_LOST_TIMEOUT_S * 100)
        return ttypes.Heartbeat(
            revision=self._get_version(),
            confirmed_age_ms=round(1000 * age_s),
            holds_duty=self._presence.is_lease_holder(),
        )

    def handle_connected(self, connection: peers_module.Connection) -> None:
        """Compares versions with a new peer; sends the shared state."""
        self._silent.discard(connection.key)
        self._fetch_if_newer(connection, connection.peer.revision)
        self._exchange.send_statements(connection)
        if self.is_member:
            self._report_to_primary()
        else:
            loads = ttypes.InFlight(requests=self._sent_loads)
            connection.post(ttypes.Frame(in_flight=loads))
        if not self._quarantine.is_empty:
            recorded = self._quarantine.list_crashes().items()
            known = {
                fingerprint: [crash.encode() for crash in found]
                for fingerprint, found in recorded
            }
            connection.post(ttypes.Frame(quarantine=ttypes.Quarantine(known)))
        evidence = self._parts.make_evidence()
        if not evidence.is_empty:
            connection.post(_make_prompt_parts(evidence))

    def handle_frame(
        self, connection: peers_module.Connection, frame: ttypes.Frame
    ) -> None:
        """Dispatches a frame of a peer to its handler."""
        for name, handler in self._frame_handlers.items():
            message = getattr(frame, name)
            if message is not None:
                handler(connection, message)

    def handle_closed(
        self, connection: peers_module.Connection, reason: str
    ) -> None:
        """Discards the state of a peer that has no connection left."""
        if self._peers.find(connection.key) is None:
            if reason == peers_module.TIMEOUT_REASON and self._is_hub(
                connection
            ):
                self._silent.add(connection.key)
            self._view.apply_peer_load(connection.key, None)
            self._shares.drop_report(connection.key)
            self._reporting.discard(connection.key)
            self._store_seen_at.pop(connection.key, None)
            self._presence.record_entry_lost(connection.peer.instance)
            if connection is self._reported_to:
                self._presence.record_hub_lost()

    def _handle_heartbeat(self, connection, message: ttypes.Heartbeat) -> None:
        age_s = message.confirmed_age_ms / 1000
        self._store_seen_at[connection.key] = trio.current_time() - age_s
        self._presence.update_holder(
            connection.peer.instance, message.holds_duty
        )
        self._fetch_if_newer(connection, message.revision)

    def _handle_routing(self, connection, message: ttypes.ConfigDelta) -> None:
        for record in message.records:
            # Only a newer one is decoded: with hundreds of routes, this takes
            # some milliseconds.
            newer = record.revision > self._get_version()
            if record.kind == RECORD_KIND and newer:
                source = f"entry {connection.peer.instance}"
                self._synchronizer.apply_routing_value(
                    record.body.encode(), source
                )

    def _handle_layers(self, connection, message: ttypes.Offer) -> None:
        if message.first_layer < 0:
            return
        layer_range = fleet.LayerRange(message.first_layer, message.end_layer)
        is_new = self._view.apply_report(
            message.instance,
            layer_range if layer_range.size > 0 else None,
            message.sequence,
        )
        if is_new:
            self.forward(ttypes.Frame(offer=message), connection)

    def _handle_loads(self, connection, message: ttypes.InFlight) -> None:
        loads = {
            instance: min(max(0, count), MAX_LOAD)
            for instance, count in message.requests.items()
        }
        demand = message.demand
        if not message.total:
            self._reporting.add(connection.key)
            if demand is not None:
                self._shares.apply_report(connection.key, demand)
            self._view.apply_peer_load(connection.key, loads)
        elif connection is self._primary:
            if demand is not None:
                self._shares.apply_report(FLEET_KEY, demand, is_total=True)
            for instance, count in self._sent_loads.items():
                loads[instance] = max(0, loads.get(instance, 0) - count)
            self._view.apply_peer_load(FLEET_KEY, loads)

    def _handle_suspects(self, connection, message: ttypes.Suspects) -> None:
        suspected = []
        for server in self._find_servers(message.instances):
            if not self._topology.is_grouped or self._is_checker(
                server.instance
            ):
                self._prober.request_probe(server)
            if self._may_forward_suspicion(server.instance):
                suspected.append(server.instance)
        entry = connection.peer.instance
        confirmed = []
        for server in self._find_servers(message.confirmed):
            if self._is_checker(server.instance):
                # The checkers do not rely on each other.
                if not self._view.is_suspected(server):
                    self._prober.request_probe(server)
                is_new = False
            else:
                is_new = self._view.apply_peer_suspicion(server, entry)
            if is_new or self._may_forward_suspicion(server.instance):
                confirmed.append(server.instance)
        cleared = [
            server.instance
            for server in self._find_servers(message.cleared)
            if self._view.clear_suspicion(server)
        ]
        if suspected or confirmed or cleared:
            news = ttypes.Suspects(suspected, confirmed, cleared)
            self.forward(ttypes.Frame(suspects=news), connection)

    def _find_servers(self, instances) -> list[fleet.Server]:
        """Returns the listed servers among the instances."""
        servers = self._view.servers
        return [servers[name] for name in instances if name in servers]

    def _may_forward_suspicion(self, instance: str) -> bool:
        """Returns whether a suspicion has not been forwarded just before."""
        now = trio.current_time()
        last_at = self._forwarded_at.get(instance, float("-inf"))
        if now - last_at < SUSPICION_FORWARD_INTERVAL_S:
            return False
        self._forwarded_at = {
            name: at
            for name, at in self._forwarded_at.items()
            if now - at < SUSPICION_FORWARD_INTERVAL_S
        }
        self._forwarded_at[instance] = now
        return True

    def find_coordinator(self, instance: str) -> peers_module.Connection | None:
        """Returns the connection to the entry that coordinates for a server.

        It is the primary hub for a member, and None if this entry itself is
        the coordinator.

        Args:
            instance: The server's instance.
        """
        primary = self._find_primary()
        if primary is not None:
            return primary
        own = str(self._address)
        keys = {c.key for c in self._peers.connections if self._is_hub(c)}
        age_s = trio.current_time() - self._started_at
        if not self._topology.is_grouped or age_s > HUB_KNOWN_S or not keys:
            keys.add(own)
        chosen = topologies.choose_coordinator(instance, keys)
        return None if chosen == own else self._peers.find(chosen)

    def is_from_member(self, connection: peers_module.Connection) -> bool:
        """Returns whether the peer of a connection is a member of this hub."""
        return not self._is_hub(connection)

    def compute_limit_share(self) -> float:
        """Returns the share of a server's limit that this entry may grant.

        The entries that do not respond may have a coordinator of their own.
        """
        connected = 1 + sum(map(self._is_hub, self._peers.connections))
        return connected / (connected + len(self._silent))

    def _is_checker(self, instance: str) -> bool:
        """Returns whether this entry checks a server for all entries."""
        if not self._topology.is_grouped or self.is_member:
            return False
        hubs = {self._address} | {
            hub for hub in self._topology.hubs if self._peers.find(str(hub))
        }
        # Entries whose views of the hubs differ for a time may check a server
        # twice, or rely on the checks of the entries that suspect it.
        return self._address in topologies.choose_checkers(instance, hubs)

    def _handle_crashes(self, connection, message: ttypes.Quarantine) -> None:
        now = trio.current_time()
        for fingerprint, codes in message.crashes.items():
            # Without crashes, it reports that the request was answered.
            is_new = not codes and self._quarantine.clear(fingerprint)
            for code in codes:
                crash = crashes.Crash.from_code(code)
                is_new |= self._quarantine.record_crash(fingerprint, crash, now)
            if is_new:
                news = ttypes.Quarantine(crashes={fingerprint: codes})
                self.forward(ttypes.Frame(quarantine=news), connection)
            _log.info(
                "crashes reported by another entry",
                entry=connection.peer.instance,
                fingerprint=quarantines.format_fingerprint(fingerprint),
                crashes=self._quarantine.count_crashes(fingerprint),
            )

    def _handle_prompt_parts(
        self, connection, message: ttypes.PromptParts
    ) -> None:
        news = self._parts.apply(
            prompts.Evidence(
                tuple(
                    prompts.Suspicion(
                        s.part,
                        s.crash,
                        min(max(0, s.succession), MAX_SUCCESSION),
                        s.depth,
                        max(0, s.age_ms) / 1000,
                    )
                    for s in message.suspicions
                ),
                tuple(message.cleared),
                tuple(message.confirmed),
            )
        )
        if not news.is_empty:
            self.forward(_make_prompt_parts(news), connection)

    def _fetch_servers(self) -> None:
        """Asks another entry for the list of servers if the store is away."""
        connections = self._peers.connections
        if connections and self._synchronizer.lacks_servers:
            self._fetches += 1
            fetch = ttypes.TableFetch(table=self._synchronizer.server_table)
            connection = connections[self._fetches % len(connections)]
            connection.post(ttypes.Frame(table_fetch=fetch))

    def _send_servers(self, connection, message: ttypes.TableFetch) -> None:
        known = self._synchronizer.make_server_listing()
        if known is None or message.table != self._synchronizer.server_table:
            return
        listing, age_s = known
        age_ms = min(max(0.0, 1000 * age_s), MAX_AGE_MS)
        frame = ttypes.TableRows(
            table=message.table,
            revision=listing.revision,
            rows=_encode_rows(listing.rows),
            complete=True,
            age_ms=round(age_ms),
        )
        connection.post(ttypes.Frame(table_rows=frame))

    def _handle_rows(self, connection, message: ttypes.TableRows) -> None:
        rows = tuple(
            stores.Row(row.key, row.value or b"", row.revision, row.removed)
            for row in message.rows
        )
        listing = stores.Listing(
            rows, message.revision, message.clock_ms / 1000
        )
        if message.complete:
            if message.table == self._synchronizer.server_table:
                self._synchronizer.apply_peer_servers(
                    listing,
                    message.age_ms / 1000,
                    f"entry {connection.peer.instance}",
                )
            return
        if message.table == presence.TABLE:
            if connection is self._find_primary():
                self._presence.apply_listing(listing)
            return
        # Of two hubs, the one with the lower address reads for the other, and
        # hubs read for members.
        origin = message.origin or connection.key
        is_read_by_hub = (
            not self._topology.is_grouped or origin in self._hub_keys
        )
        may_skip_reads = self.is_member or (
            is_read_by_hub and origin < str(self._address)
        )
        is_newer = self._synchronizer.apply_peer_rows(
            message.table,
            message.after,
            listing,
            may_skip_reads,
        )
        if is_newer:
            self.forward(ttypes.Frame(table_rows=message), connection)

    def _list_reporting_members(self) -> list[peers_module.Connection]:
        """Returns the connections to the members that report to this hub."""
        return [
            connection
            for connection in self._peers.connections
            if connection.key in self._reporting
            and not self._is_hub(connection)
        ]

    def _list_represented(self) -> dict[str, topologies.Entry]:
        """Returns the entries whose rows this hub writes, by name."""
        if self.is_member:
            return {}
        represented = {}
        for connection in self._list_reporting_members()[:MAX_REPRESENTED]:
            peer = connection.peer
            # A member without a valid address writes its row by itself.
            with contextlib.suppress(ValueError):
                represented[peer.instance] = topologies.Entry(
                    addresses.Address.from_text(peer.address),
                    peer.zone,
                    peer.capacity,
                )
        return represented

    def _send_entries(self, listing: stores.Listing) -> None:
        """Sends the rows of the live entries to the represented members."""
        message = ttypes.TableRows(
            table=presence.TABLE,
            revision=listing.revision,
            rows=_encode_rows(
                row
                for row in listing.rows
                if row.key.startswith(presence.ENTRY_PREFIX)
            ),
            clock_ms=round(1000 * listing.clock_s),
        )
        members = self._list_reporting_members()[:MAX_REPRESENTED]
        self._peers.post_all(ttypes.Frame(table_rows=message), members)

    def _is_hub(self, connection: peers_module.Connection) -> bool:
        """Returns whether the peer of a connection is a hub."""
        if not self._topology.is_grouped:
            return True
        return connection.key in self._hub_keys

    def _find_primary(self) -> peers_module.Connection | None:
        """Returns the connection to the hub that forwards for this entry.

        It is None if this entry is a hub, or connected to no hub of its group.
        """
        uplinks = self._topology.uplinks
        if self._primary is not None and (
            not self._primary.is_open
            or all(str(hub) != self._primary.key for hub in uplinks)
        ):
            self._primary = None
        if self._primary is None:
            found = (self._peers.find(str(hub)) for hub in uplinks)
            self._primary = next((c for c in found if c and c.is_open), None)
        return self._primary

    def forward(
        self,
        frame: ttypes.Frame,
        source: peers_module.Connection | None = None,
    ) -> None:
        """Sends a message on its way to all entries.

        Args:
            frame: The message.
            source: Connection from which it was received; None if it is one of
                this entry. Hubs are connected to each other, so a message of a
                hub is not forwarded to other hubs.
        """
        primary = self._find_primary()
        is_from_hub = source is not None and self._is_hub(source)
        receivers = []
        for connection in self._peers.connections:
            if connection is source:
                continue
            if self._is_hub(connection):
                if is_from_hub or (primary and connection is not primary):
                    continue
            elif connection.key not in self._reporting:
                # A member receives messages from its primary hub only.
                continue
            receivers.append(connection)
        self._peers.post_all(frame, receivers)

    def _get_version(self) -> int:
        routing = self._view.routing
        return routing.version if routing else 0

    def _fetch_if_newer(self, connection, version: int) -> None:
        now = trio.current_time()
        if version > self._get_version() and now >= self._fetch_until:
            self._fetch_until = now + FETCH_TIMEOUT_S
            fetch = ttypes.ConfigFetch(since=self._get_version())
            connection.post(ttypes.Frame(config_fetch=fetch))

    def _send_routing(self, connection) -> None:
        value = self._synchronizer.routing_value
        if value is None:
            return
        record = ttypes.ConfigRecord(
            kind=RECORD_KIND, revision=self._get_version(), body=value.decode()
        )
        delta = ttypes.ConfigDelta(
            revision=self._get_version(), full=True, records=[record]
        )
        connection.post(ttypes.Frame(config_delta=delta))

    async def _dial_all(self) -> None:
        while True:
            self._update_topology()
            wanted = self._topology.dials | self._list_seeds_to_dial()
            for address in wanted - self._dialed:
                self._peers.keep_connected(address)
            for address in self._dialed - wanted:
                self._peers.stop_reconnecting(address)
            self._close_unneeded(wanted)
            if wanted != self._dialed:
                _log.info(
                    "entries to connect to changed",
                    count=len(wanted),
                    hubs=len(self._topology.hubs),
                    member=bool(self._topology.uplinks),
                )
            self._dialed = wanted
            if trio.current_time() - self._started_at >= STORE_WAIT_S:
                self._fetch_servers()
            await trio.sleep(DIAL_INTERVAL_S)

    def _close_unneeded(self, wanted: frozenset[addresses.Address]) -> None:
        """Closes the connections that this entry has opened and needs no more.

        Two hubs need their connection, whichever has opened it.
        """
        for connection in self._peers.connections:
            address = connection.dialed
            if address is None or address in wanted:
                continue
            if not {address, self._address} <= self._topology.hubs:
                connection.close("no longer needed")

    def _list_seeds_to_dial(self) -> frozenset[addresses.Address]:
        """Returns the seeds, while no other entry can know of this one.

        Of two entries, the one with the lower address opens the connection. An
        entry that starts while the store is away has written no row, so the
        others do not connect to it.
        """
        waited_s = trio.current_time() - self._started_at
        if self._presence.entries or waited_s < STORE_WAIT_S:
            return frozenset()
        return frozenset(entry.address for entry in self._list_entries())

    def _update_topology(self) -> None:
        """Computes the topology without hubs that cannot be reached."""
        now = trio.current_time()
        for hub in self._topology.uplinks:
            if self._peers.find(str(hub)) is not None:
                self._missing_since.pop(hub, None)
            elif now - self._missing_since.setdefault(hub, now) > HUB_TIMEOUT_S:
                del self._missing_since[hub]
                self._avoided_until[hub] = now + HUB_RETRY_S
        self._avoided_until = {
            hub: until
            for hub, until in self._avoided_until.items()
            if now < until
        }
        # An entry that is connected is alive, also if its row has expired.
        known = {
            entry.address: entry
            for entry in self._known_entries or ()
            if self._peers.find(str(entry.address)) is not None
        }
        known |= {entry.address: entry for entry in self._list_entries()}
        others = frozenset(
            entry
            for entry in known.values()
            if entry.address not in self._avoided_until
        )
        if others == self._known_entries:
            return
        self._known_entries = others
        self._silent &= {str(entry.address) for entry in others}
        self._topology = topologies.Topology.from_entries(self._own, others)
        self._hub_keys = frozenset(str(hub) for hub in self._topology.hubs)

    async def _send_loads(self) -> None:
        while True:
            if self._topology.is_grouped:
                await trio.sleep(GROUP_LOAD_INTERVAL_S)
            else:
                others = len(self._peers.connections)
                await trio.sleep(
                    LOAD_INTERVAL_S * max(1.0, others / LOAD_INTERVAL_ENTRIES)
                )
            self._post_loads()

    def _post_loads(self) -> None:
        """Sends changed numbers of requests in flight.

        Hubs and the primary hub receive those of this entry and of the members
        that report to it, these members those of all entries.
        """
        connections = self._peers.connections
        members = self._list_reporting_members()
        if self.is_member:
            self._report_to_primary()
        else:
            # The last sum of a former hub would otherwise stay in effect.
            self._view.apply_peer_load(FLEET_KEY, None)
            self._shares.drop_report(FLEET_KEY)
            self._post_changed_loads(
                members, [c for c in connections if self._is_hub(c)]
            )
        if members:
            self._post_totals(members)

    def _post_totals(self, members) -> None:
        """Sends the requests in flight and the demand of all to members."""
        totals = self._view.sum_in_flight(self._reporting | {FLEET_KEY})
        demand = self._shares.make_due_report(
            "members", DEMAND_INTERVAL_S, self._reporting, is_own=False
        )
        keys = {member.key for member in members}
        if (totals, keys) != self._sent_totals or demand is not None:
            self._sent_totals = totals, keys
            message = ttypes.InFlight(totals, True, demand)
            self._peers.post_all(ttypes.Frame(in_flight=message), members)

    def _post_changed_loads(self, members, receivers) -> None:
        keys = {member.key for member in members}
        loads = self._view.sum_in_flight(keys)
        demand = None
        if receivers:
            is_large = len(receivers) > DEMAND_HUBS
            demand = self._shares.make_due_report(
                "hubs",
                DEMAND_HUB_INTERVAL_S if is_large else DEMAND_INTERVAL_S,
                keys,
            )
        if loads != self._sent_loads or demand is not None:
            self._sent_loads = loads
            message = ttypes.InFlight(loads, False, demand)
            self._peers.post_all(ttypes.Frame(in_flight=message), receivers)

    def _report_to_primary(self) -> None:
        """Sends the own requests in flight and demand to the primary hub.

        Sends nothing if the requests have not changed and no report is due.
        """
        primary = self._find_primary()
        loads = self._view.count_in_flight()
        demand = self._shares.make_due_report("primary", DEMAND_INTERVAL_S)
        is_known = primary is self._reported_to and loads == self._sent_loads
        if is_known and demand is None:
            return
        self._reported_to = primary
        self._sent_loads = loads
        message = ttypes.InFlight(loads, False, demand)
        primary.post(ttypes.Frame(in_flight=message))


def _make_prompt_parts(evidence: prompts.Evidence) -> ttypes.Frame:
    message = ttypes.PromptParts(
        [
            ttypes.PromptSuspicion(
                s.part, s.crash, s.succession, s.depth, round(1000 * s.age_s)
            )
            for s in evidence.suspicions
        ],
        list(evidence.cleared),
        list(evidence.confirmed),
    )
    return ttypes.Frame(prompt_parts=message)


def _encode_rows(
    rows: collections.abc.Iterable[stores.Row],
) -> list[ttypes.TableRow]:
    return [
        ttypes.TableRow(row.key, row.value, row.revision, row.removed)
        for row in rows
    ]
