"""The connections of an entry to all other entries.

The entries forward to each other what they have read from the store, their
requests in flight, suspicions of servers, crashes and layers of servers. Losing
a connection degrades the choice of paths and costs more store calls. An entry
that cannot reach the store receives changes only over these connections.
"""

import collections.abc

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import layouts
from peridotyard_core import quarantines
import trio

from peridotyard_daemon.connection import peers as peers_module
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.process import presence
from peridotyard_daemon.process import probes
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
# Time between two checks which entries to connect to. It adds little to the
# time between two reads of the list of entries from the store, two to five
# seconds.
DIAL_INTERVAL_S = 0.5
# Time without a response of the store, at this entry and at all connected ones,
# after which one of them acts for the holder of the placement lease. It is
# longer than the lease (2.4 s), so that the last holder has stopped.
STORE_LOST_TIMEOUT_S = presence.LEASE_DURATION_S + 0.2
TIMING = peers_module.Timing(
    heartbeat_s=0.5, misses=3, dial_s=1.0, idle_heartbeat_s=0.5
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
        network: network_module.Network,
        name: str,
        address: addresses.Address,
        list_entries: collections.abc.Callable[[], set[addresses.Address]],
    ):
        """Creates the mesh of one process.

        Args:
            view: Receives configuration, layers and loads.
            synchronizer: Applies configurations and changes of other entries.
            prober: Probes servers that another entry suspects.
            own_presence: State of the placement lease; updated from the
                heartbeats of other entries.
            quarantine: Receives the crashes that other entries have seen.
            network: Opens and accepts connections.
            name: Name of this entry, unique for each process start.
            address: Where this entry accepts connections of other entries.
            list_entries: Returns the addresses of the other entries.
        """
        self._view = view
        self._synchronizer = synchronizer
        self._prober = prober
        self._presence = own_presence
        self._quarantine = quarantine
        self._name = name
        self._address = address
        self._list_entries = list_entries
        self._peers = peers_module.Peers(network, self, TIMING)
        self._dialed: set[addresses.Address] = set()
        self._sent_loads: dict[str, int] = {}
        self._store_seen_at: dict[str, float] = {}
        self._was_acting_holder = False
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
            "offer": self._handle_layers,
            "quarantine": self._handle_crashes,
            "suspects": self._handle_suspects,
            "in_flight": lambda connection, message: self._view.apply_peer_load(
                connection.key, dict(message.requests)
            ),
        }

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Accepts and opens connections until cancelled."""
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            await nursery.start(self._peers.run, self._address)
            task_status.started()
            nursery.start_soon(self._dial_all)
            nursery.start_soon(self._send_loads)

    def announce_routing(self) -> None:
        """Announces the version of the configuration in effect."""
        notice = ttypes.ConfigNotice(revision=self._get_version())
        self._peers.broadcast(ttypes.Frame(config_notice=notice))

    def announce_rows(
        self,
        table: str,
        after: int,
        listing: stores.Listing,
        reregistration_s: float,
    ) -> None:
        """Forwards changes that this entry has read from the store.

        Args:
            table: Name of the table.
            after: Revision after which the listing has all changes.
            listing: The changes, with the store's clock at its response.
            reregistration_s: Time in which servers whose rows have expired may
                register again.
        """
        frame = ttypes.TableRows(
            table=table,
            after=after,
            revision=listing.revision,
            rows=[
                ttypes.TableRow(row.key, row.value, row.revision, row.removed)
                for row in listing.rows
            ],
            clock_ms=round(1000 * listing.clock_s),
            return_ms=int(1000 * reregistration_s),
        )
        self._peers.broadcast(ttypes.Frame(table_rows=frame))

    def announce_suspect(self, server: fleet.Server) -> None:
        """Announces that a server did not respond."""
        suspects = ttypes.Suspects(instances=[server.instance])
        self._peers.broadcast(ttypes.Frame(suspects=suspects))

    def announce_crash(self, fingerprint: int, crash: int) -> None:
        """Announces that a server crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            crash: Identity of the crash.
        """
        crashes = ttypes.Quarantine(crashes={fingerprint: [crash]})
        self._peers.broadcast(ttypes.Frame(quarantine=crashes))

    def announce_layers(self, layer_ranges: layouts.LayerRanges) -> None:
        """Announces the layers that servers have reported."""
        for instance, layer_range in layer_ranges.items():
            offer = ttypes.Offer(instance=instance, kind="model", ready=True)
            if layer_range is not None:
                offer.first_layer, offer.end_layer = (
                    layer_range.first,
                    layer_range.end,
                )
            self._peers.broadcast(ttypes.Frame(offer=offer))

    def is_acting_holder(self) -> bool:
        """Returns whether this entry acts for the holder of the lease.

        No lease can be granted while the store responds to no entry, nor while
        the lease of an ended holder has not expired. Then, the entry with the
        lowest address among the connected ones acts. With a partition between
        the entries, a second one may act as well. This is harmless, since all
        orders are conditional.
        """
        # An entry without any connection is more likely partitioned itself
        # than the only entry left, unless the holder was the only other entry.
        is_isolated = not self._peers.connections and self._view.entry_count > 2
        holder_is_lost = self._presence.is_holder_lost() and not is_isolated
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
            is_lowest = is_lowest and str(self._address) < connection.key
        acts = (store_is_lost or holder_is_lost) and is_lowest
        if acts != self._was_acting_holder:
            self._was_acting_holder = acts
            _log.info(
                "acting for the lease holder started or stopped",
                acts=acts,
                holder_lost=holder_is_lost,
                store_lost=store_is_lost,
            )
        return acts

    def make_hello(self) -> ttypes.Hello:
        """Returns the first message for a peer."""
        return ttypes.Hello(
            instance=self._name,
            zone=self._view.zone,
            role=ROLE,
            address=str(self._address),
            revision=self._get_version(),
            protocol=peers_module.PROTOCOL_VERSION,
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
        """Compares versions with a new peer; sends loads and crashes."""
        self._fetch_if_newer(connection, connection.peer.revision)
        loads = ttypes.InFlight(requests=self._sent_loads)
        connection.post(ttypes.Frame(in_flight=loads))
        if not self._quarantine.is_empty:
            crashes = ttypes.Quarantine(self._quarantine.list_crashes())
            connection.post(ttypes.Frame(quarantine=crashes))

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
            self._view.apply_peer_load(connection.key, None)
            self._store_seen_at.pop(connection.key, None)
            self._presence.record_entry_lost(connection.peer.instance)

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

    def _handle_layers(self, _connection, message: ttypes.Offer) -> None:
        layer_range = fleet.LayerRange(message.first_layer, message.end_layer)
        self._view.apply_report(
            message.instance, layer_range if layer_range.size > 0 else None
        )

    def _handle_suspects(self, _connection, message: ttypes.Suspects) -> None:
        for instance in message.instances:
            server = self._view.servers.get(instance)
            if server is not None:
                self._prober.request_probe(server)

    def _handle_crashes(self, connection, message: ttypes.Quarantine) -> None:
        now = trio.current_time()
        for fingerprint, crashes in message.crashes.items():
            known = 0
            for crash in crashes:
                known = self._quarantine.record_crash(fingerprint, crash, now)
            _log.info(
                "crashes reported by another entry",
                entry=connection.peer.instance,
                fingerprint=quarantines.format_fingerprint(fingerprint),
                crashes=known,
            )

    def _handle_rows(self, connection, message: ttypes.TableRows) -> None:
        rows = tuple(
            stores.Row(row.key, row.value or b"", row.revision, row.removed)
            for row in message.rows
        )
        listing = stores.Listing(
            rows, message.revision, message.clock_ms / 1000
        )
        # Of two entries, the one with the lower address reads for the other.
        may_skip_reads = connection.key < str(self._address)
        self._synchronizer.apply_peer_rows(
            message.table,
            message.after,
            listing,
            message.return_ms / 1000,
            may_skip_reads,
        )

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
            # Of two entries, the one with the lower address dials, as a
            # connection carries both directions.
            wanted = {
                address
                for address in self._list_entries()
                if str(address) > str(self._address)
            }
            for address in wanted - self._dialed:
                self._peers.keep_connected(address)
            for address in self._dialed - wanted:
                self._peers.stop_reconnecting(address)
            if wanted != self._dialed:
                _log.info("entries to connect to changed", count=len(wanted))
            self._dialed = wanted
            await trio.sleep(DIAL_INTERVAL_S)

    async def _send_loads(self) -> None:
        while True:
            others = len(self._peers.connections)
            await trio.sleep(
                LOAD_INTERVAL_S * max(1.0, others / LOAD_INTERVAL_ENTRIES)
            )
            loads = self._view.count_in_flight()
            if loads != self._sent_loads:
                self._sent_loads = loads
                frame = ttypes.Frame(in_flight=ttypes.InFlight(requests=loads))
                self._peers.broadcast(frame)
