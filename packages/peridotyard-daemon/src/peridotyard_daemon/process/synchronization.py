"""Replication of the platform's tables of configuration and servers.

Calls to the store are billed. Of the entries that are connected to each other,
only the one with the lowest address therefore reads the tables. It forwards
what it has read to the others, together with the store's clock. They read by
themselves once the forwarded state is too old.

Each entry infers outages of the store from the clocks of all responses that it
knows of, its own and forwarded ones. A failed call of one entry does not show
an outage, since the entry or its network may have failed, or the store may
reject this entry alone.
"""

import collections.abc
import dataclasses
import random as random_module
import typing

from peridotyard_core import fleet
from returns import result
import trio

from peridotyard_daemon.process import listings
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import stores
from peridotyard_daemon.process import views

# Time for which the store may delay its response to a watch call until there is
# a change, and thus the time between two reads of a table without changes. A
# call that began in an outage may hang for this time plus the store client's
# margin (0.6 s) after the store has recovered. The sum has to stay below the
# three seconds within which an entry must be up to date again.
WATCH_WAIT_S = 0.9
# The same while calls fail, shorter so that the recovery is noticed soon.
FAILING_WATCH_WAIT_S = 0.2
# Shortest time between two reads of changes of servers: many servers change
# within a second when they start or load layers, and each read is a call.
SERVERS_READ_PAUSE_S = 0.4
# Age up to which another entry's read replaces a read of this entry. A
# configuration has to be in effect two seconds after the store acknowledged its
# write; a read, the transfer between entries and a delay of each add up to
# 0.4 s.
PEER_READ_MAX_AGE_S = 1.3
# Bound on the relative drift of two clocks, in seconds per second. The clocks
# of machines drift by less than a tenth of it.
CLOCK_DRIFT_RATIO = 1e-3
# Pause after a failed call; it doubles with each failure up to the maximum.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# Shortest time without a response to any connected entry that shows an outage
# of the store. An entry reads by itself once forwarded reads are too old, so
# the time is shorter while the store responds.
OUTAGE_MIN_S = PEER_READ_MAX_AGE_S + WATCH_WAIT_S + 0.3
# Rows of servers may expire during an outage of the store. Live servers
# register again within this time after it, so servers are not removed before.
REREGISTRATION_S = 2.0
# Longest use of a server after the store has acknowledged, outside an outage,
# that it left. Servers continue to serve for two seconds at least.
REMOVAL_DELAY_MAX_S = 1.5
# Age of the list up to which it shows that a server has not registered again,
# and the time between two looks at it after the time to register.
REGISTRATION_READ_AGE_S = 0.5
REGISTRATION_POLL_S = 0.1

_log = logs.Logger("store")


class Schema(typing.Protocol):
    """Names and encoding of the platform's tables.

    Attributes:
        routing_table: Table that holds the configuration.
        routing_key: Key of the configuration in that table.
        server_table: Table with one row for each backend server.
    """

    routing_table: str
    routing_key: str
    server_table: str

    def decode_routing(self, value: bytes) -> fleet.Routing:
        """Decodes a configuration.

        Raises:
            ValueError: The value is malformed.
        """

    def read_routing_version(self, value: bytes) -> int | None:
        """Returns the version of a configuration that may be malformed.

        None if the version cannot be read either.
        """

    def decode_server(self, key: str, value: bytes, revision: int):
        """Decodes a server's row as a `fleet.Server`.

        Raises:
            ValueError: The row is malformed.
        """


Publish = collections.abc.Callable[[str, int, stores.Listing], None]


@dataclasses.dataclass(frozen=True)
class _Expiry:
    """A server without a row that may register again.

    Attributes:
        until: Time at which it is removed.
        revision: Revision at which the row was missing.
        is_in_outage: Whether the row was missing in the first response that
            followed an outage, so that it may have expired meanwhile.
    """

    until: float
    revision: int
    is_in_outage: bool


@dataclasses.dataclass
class _Feed:
    """Replication state of one table.

    Attributes:
        table: Name of the table.
        apply: Function that applies rows. Its arguments are the rows, whether
            they are the complete table, and the time as of which the store held
            them.
        pause_s: Shortest time between a read with changes and the next one.
        revision: Revision up to which the table is known; None if unknown.
        known_at: Time at which the store held that revision; a lower bound.
        failing_since: Time of the first of the current consecutive failures,
            None while calls succeed.
        skip_reads_until: Time until which a read that another entry forwarded
            replaces reads of this entry.
        era: Era of the store up to which the table is known; None if unknown.
        wakeup: Set to end the skipping of reads early.
    """

    table: str
    apply: collections.abc.Callable[[stores.Listing, bool, float], None]
    pause_s: float = 0.0
    revision: int | None = None
    known_at: float = float("-inf")
    failing_since: float | None = None
    skip_reads_until: float = float("-inf")
    era: int | None = None
    wakeup: trio.Event = dataclasses.field(default_factory=trio.Event)


class Synchronizer:
    """Applies the store's tables to a view, owned by the process.

    Attributes:
        server_table: Name of the table of servers.
        routing_value: Encoded configuration in effect, for other entries.
        notify_routing: Called after each new configuration.
        notify_restored: Called when the store has been restored from a copy, so
            that rows of this entry may be lost.
        publish: Called after each read of changes, with the table, the
            revision before the read, and the changes.
    """

    def __init__(
        self,
        view: views.View,
        store: stores.Store,
        schema: Schema,
        random: random_module.Random,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        self._view = view
        self._store = store
        self._schema = schema
        self.server_table = schema.server_table
        self._random = random
        self._server_rows = listings.ServerRows(schema.decode_server, count)
        self._count = count
        # Servers whose rows have expired but that may register again, by
        # instance.
        self._expired: dict[str, _Expiry] = {}
        self._expired_changed = trio.Event()
        # End of the last outage of the store.
        self._available_since = float("-inf")
        # Era and store clock of the newest known response that states servers.
        self._last_response: tuple[int, float] | None = None
        # Upper bound of the difference between the store's clock and the clock
        # of this process, and the time of its last update.
        self._clock_offset_s = float("inf")
        self._clock_offset_at = 0.0
        self.routing_value: bytes | None = None
        self.notify_routing: collections.abc.Callable[[], None] = lambda: None
        self.notify_restored: collections.abc.Callable[[], None] = lambda: None
        self.publish: Publish = lambda *_: None
        # Revision of the row of the configuration in effect.
        self._routing_revision = 0
        self._feeds = {
            feed.table: feed
            for feed in (
                _Feed(schema.routing_table, self._apply_routing),
                _Feed(
                    schema.server_table,
                    self._apply_servers,
                    SERVERS_READ_PAUSE_S,
                ),
            )
        }

    async def run(self) -> None:
        """Replicates both tables until cancelled."""
        async with trio.open_nursery() as nursery:
            for feed in self._feeds.values():
                nursery.start_soon(self._follow, feed)
            nursery.start_soon(self._remove_expired_servers)

    def apply_routing_value(
        self, value: bytes, source: str, revision: int = 0
    ) -> None:
        """Applies an encoded configuration if it is a newer one.

        The version of a configuration that the store has lost may be given to
        another one. The one that was written last applies then.

        Args:
            value: The configuration as stored.
            source: Where it was received from, for the log.
            revision: Revision of its row; 0 if unknown.
        """
        try:
            routing = self._schema.decode_routing(value)
        except ValueError as error:
            self._count("unreadable_rows.configuration")
            version = self._schema.read_routing_version(value)
            self._view.reject_routing(version, str(error), source)
            return
        if revision:
            # The row is readable again, whichever version it holds.
            self._view.rejected_routing = None
        replaces_equal = (
            revision > self._routing_revision and value != self.routing_value
        )
        if self._view.apply_routing(routing, source, replaces_equal):
            self.routing_value = value
            self.notify_routing()
        if value == self.routing_value:
            self._routing_revision = max(self._routing_revision, revision)

    def apply_peer_rows(
        self,
        table: str,
        after: int,
        listing: stores.Listing,
        may_skip_reads: bool,
    ) -> bool:
        """Applies changes that another entry has read and forwarded.

        Args:
            table: Name of the table.
            after: Revision after which the listing has all changes.
            listing: The changes, with the store's clock at its response.
            may_skip_reads: Whether this entry may skip its own reads for some
                time because of this one.

        Returns:
            Whether the changes were applied and lead to a newer revision.
        """
        feed = self._feeds.get(table)
        if feed is None or feed.revision is None:
            return False
        self._record_response(feed, listing)
        if stores.get_era(listing.revision) > stores.get_era(feed.revision):
            # The changes do not connect to what is known, so this entry has to
            # read the whole table.
            feed.skip_reads_until = float("-inf")
            feed.wakeup.set()
            return False
        if after > feed.revision:
            return False
        if listing.revision < feed.revision:
            return False
        if (
            after < feed.revision
            and table == self._schema.server_table
            and self._server_rows.has_change_outside(after, listing.rows)
        ):
            return False
        now = trio.current_time()
        at = self._estimate_time(listing.clock_s)
        if may_skip_reads and at + PEER_READ_MAX_AGE_S > now:
            self._record_success(feed, listing)
            feed.skip_reads_until = at + PEER_READ_MAX_AGE_S
        is_newer = listing.revision > feed.revision
        feed.apply(self._select_changes(feed, listing), False, at)
        feed.revision = listing.revision
        feed.known_at = max(feed.known_at, at)
        return is_newer

    @property
    def lacks_servers(self) -> bool:
        """Whether the list of servers was not read yet."""
        return self._feeds[self._schema.server_table].revision is None

    def make_server_listing(self) -> tuple[stores.Listing, float] | None:
        """Returns all rows of servers and their age in seconds.

        None if they were not read yet.
        """
        feed = self._feeds[self._schema.server_table]
        if feed.revision is None:
            return None
        age_s = trio.current_time() - feed.known_at
        rows = self._server_rows.list_rows()
        return stores.Listing(rows, feed.revision, 0.0), age_s

    def apply_peer_servers(
        self, listing: stores.Listing, age_s: float, source: str
    ) -> None:
        """Applies the list of servers as another entry knows it.

        It takes effect only while this entry has not read the list itself.

        Args:
            listing: All rows of servers.
            age_s: Time since the store confirmed them.
            source: Where it was received from, for the log.
        """
        feed = self._feeds[self._schema.server_table]
        if feed.revision is not None:
            return
        at = trio.current_time() - max(0.0, age_s)
        feed.era = stores.get_era(listing.revision)
        feed.apply(listing, True, at)
        feed.revision = listing.revision
        feed.known_at = at
        _log.info(
            "list of servers received from another entry",
            servers=len(listing.rows),
            age_ms=round(1000 * age_s),
            revision=stores.format_revision(listing.revision),
            source=source,
        )

    async def _follow(self, feed: _Feed) -> None:
        retry_s = RETRY_MIN_S
        paused_s = 0.0
        while True:
            await self._wait_while_reads_skipped(feed)
            is_full_scan = feed.revision is None
            sent_at = trio.current_time()
            if is_full_scan:
                outcome = await self._store.scan(feed.table)
            else:
                failing = feed.failing_since is not None
                outcome = await self._store.watch(
                    feed.table,
                    feed.revision,
                    FAILING_WATCH_WAIT_S
                    if failing
                    else WATCH_WAIT_S - paused_s,
                )
            match outcome:
                case result.Success(listing):
                    retry_s = RETRY_MIN_S
                    if is_full_scan:
                        self._record_era(feed, listing)
                    self._update_clock_offset(listing.clock_s, sent_at)
                    self._record_response(feed, listing)
                    self._record_success(feed, listing)
                    self._publish_and_apply(feed, listing, is_full_scan)
                    paused_s = feed.pause_s if listing.rows else 0.0
                    await trio.sleep(paused_s)
                case result.Failure(stores.HistoryLost()):
                    _log.warning(
                        "store history unavailable, reading the whole table",
                        table=feed.table,
                        revision=stores.format_revision(feed.revision),
                    )
                    feed.revision = None
                case result.Failure(failure):
                    self._record_failure(feed, failure)
                    # The random factor spreads the retries of entries that
                    # failed at the same time.
                    await trio.sleep(retry_s * (0.5 + self._random.random()))
                    retry_s = min(2 * retry_s, RETRY_MAX_S)

    async def _wait_while_reads_skipped(self, feed: _Feed) -> None:
        """Waits while a forwarded read of another entry is recent enough."""
        if trio.current_time() >= feed.skip_reads_until:
            return
        _log.info(
            "own table reads paused, using those of another entry",
            table=feed.table,
        )
        while trio.current_time() < feed.skip_reads_until:
            feed.wakeup = trio.Event()
            with trio.move_on_at(feed.skip_reads_until):
                await feed.wakeup.wait()
        _log.info(
            "own table reads resumed",
            table=feed.table,
            revision=stores.format_revision(feed.revision),
        )

    def _publish_and_apply(
        self, feed: _Feed, listing: stores.Listing, is_full_scan: bool
    ) -> None:
        """Forwards a response of the store to other entries and applies it."""
        after = feed.revision
        if after is not None and listing.revision < after:
            return
        now = trio.current_time()
        if is_full_scan:
            feed.apply(listing, True, now)
        else:
            changes = self._select_changes(feed, listing)
            # Published before this entry announces a newer version, so that the
            # other entries do not request what is already being sent.
            if listing.clock_s:
                self.publish(feed.table, after, changes)
            feed.apply(changes, False, now)
        feed.revision = listing.revision
        feed.known_at = self._estimate_time(listing.clock_s)

    def _record_era(self, feed: _Feed, listing: stores.Listing) -> None:
        """Records the store's era, and whether it was restored from a copy.

        Rows that were written after the copy are missing until they are written
        again, so servers may register again as after an outage.
        """
        era = stores.get_era(listing.revision)
        known, feed.era = feed.era, era
        if known is None or known == era:
            return
        _log.warning(
            "store restored from a copy",
            table=feed.table,
            era=era,
            previous=known,
            revision=stores.format_revision(listing.revision),
        )
        self._clock_offset_s = float("inf")
        self._available_since = trio.current_time()
        self.notify_restored()

    def _select_changes(
        self, feed: _Feed, listing: stores.Listing
    ) -> stores.Listing:
        """Returns a listing without rows that are known or only heartbeats."""
        rows = tuple(
            row for row in listing.rows if row.revision > feed.revision
        )
        if feed.table == self._schema.server_table:
            rows = self._server_rows.update(rows)
        return dataclasses.replace(listing, rows=rows)

    def _update_clock_offset(self, clock_s: float, sent_at: float) -> None:
        """Tightens the bound of the store's clock offset.

        Args:
            clock_s: The store's clock as of its response.
            sent_at: Time at which the request was sent.
        """
        drift_s = CLOCK_DRIFT_RATIO * (sent_at - self._clock_offset_at)
        sample_s = clock_s - sent_at
        self._clock_offset_s = min(sample_s, self._clock_offset_s + drift_s)
        self._clock_offset_at = sent_at

    def _estimate_time(self, clock_s: float) -> float:
        """Returns when the store's clock had a value.

        The offset is an upper bound, so the time is never later than it was.
        """
        return min(trio.current_time(), clock_s - self._clock_offset_s)

    def _record_response(self, feed: _Feed, listing: stores.Listing) -> None:
        """Infers an outage from the time since the response before this one."""
        if feed.table != self._schema.server_table or not listing.clock_s:
            return
        last = self._last_response
        response = (stores.get_era(listing.revision), listing.clock_s)
        if last is not None and response <= last:
            return
        self._last_response = response
        if last is None or last[0] != response[0]:
            return
        outage_s = response[1] - last[1]
        if outage_s >= OUTAGE_MIN_S:
            self._available_since = self._estimate_time(listing.clock_s)
            _log.info(
                "servers may register again",
                outage_ms=round(1000 * outage_s),
                revision=stores.format_revision(listing.revision),
            )

    def _record_success(self, feed: _Feed, listing: stores.Listing) -> None:
        if feed.failing_since is None:
            return
        now = trio.current_time()
        _log.info(
            "store available again",
            table=feed.table,
            revision=stores.format_revision(listing.revision),
            outage_ms=round(1000 * (now - feed.failing_since)),
        )
        feed.failing_since = None

    def _record_failure(self, feed: _Feed, failure) -> None:
        if feed.failing_since is not None:
            return
        feed.failing_since = trio.current_time()
        _log.warning(
            "store unavailable, using last known state",
            table=feed.table,
            revision=stores.format_revision(feed.revision),
            failure=repr(failure),
        )

    def _apply_routing(
        self, listing: stores.Listing, _is_full_scan: bool, at: float
    ) -> None:
        self._view.routing_at = max(self._view.routing_at, at)
        for row in listing.rows:
            if row.key != self._schema.routing_key or row.removed:
                continue
            self.apply_routing_value(row.value, "store", row.revision)

    def _apply_servers(
        self, listing: stores.Listing, is_full_scan: bool, at: float
    ) -> None:
        now = trio.current_time()
        self._view.servers_at = max(self._view.servers_at, at)
        rows = listing.rows
        if is_full_scan:
            rows, missing = self._server_rows.replace(rows, listing.revision)
            for instance in missing:
                self._expire_server(instance, listing.revision, now)
        for row in rows:
            if row.removed:
                self._expire_server(row.key, row.revision, now)
                continue
            server = self._server_rows.get(row.key)
            if server is not None:
                self._expired.pop(row.key, None)
                self._view.apply_server(server)
            elif self._server_rows.has_row(row.key):
                # Unlike a missing row, one that cannot be read is no sign of an
                # outage of the store.
                self._expired.pop(row.key, None)
                self._view.remove_server(row.key, row.revision)
        self._view.expire_reports()

    def _expire_server(self, instance: str, revision: int, now: float) -> None:
        """Removes a server without a row, at once or at a later time.

        It is kept while servers may register again after an outage of the
        store. If it left after the outage, the time since then is limited.
        """
        until = self._available_since + REREGISTRATION_S
        known_at = self._feeds[self._schema.server_table].known_at
        is_in_outage = known_at < self._available_since
        if not is_in_outage:
            until = min(until, known_at + REMOVAL_DELAY_MAX_S)
        if instance in self._expired:
            until = min(until, self._expired[instance].until)
        if now >= until:
            self._expired.pop(instance, None)
            self._view.remove_server(instance, revision)
        elif self._view.is_listed(instance):
            self._expired[instance] = _Expiry(until, revision, is_in_outage)
            self._expired_changed.set()

    async def _remove_expired_servers(self) -> None:
        """Removes the expired servers that have not registered again."""
        while True:
            now = trio.current_time()
            for instance, expiry in list(self._expired.items()):
                until = self._find_removal_time(expiry, now)
                if now >= until:
                    del self._expired[instance]
                    self._view.remove_server(instance, expiry.revision)
                else:
                    self._expired[instance] = dataclasses.replace(
                        expiry, until=until
                    )
            self._expired_changed = trio.Event()
            next_at = min(
                (expiry.until for expiry in self._expired.values()),
                default=float("inf"),
            )
            with trio.move_on_at(next_at):
                await self._expired_changed.wait()

    def _find_removal_time(self, expiry: _Expiry, now: float) -> float:
        """Returns when an expired server is removed, or looked at again.

        If the store is away again when the time to register ends, the server
        has not had that time.
        """
        if now < expiry.until or not expiry.is_in_outage:
            return expiry.until
        until = self._available_since + REREGISTRATION_S
        if until > now:
            return until
        known_at = self._feeds[self._schema.server_table].known_at
        if known_at < until - REGISTRATION_READ_AGE_S:
            return now + REGISTRATION_POLL_S
        return now
