"""Following the platform's tables of configuration and servers.

Each call to the store has a price, so that of all entries only the connected
one with the lowest address reads the tables. It passes what it read on, with
the store's clock; the others read by themselves as soon as that is too old.
"""

import collections.abc
import dataclasses
import random as random_module
import typing

from peridotyard_core import fleet
from returns import result
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import stores
from peridotyard_daemon.process import views

# Time between two readings of a table; the answer to a change comes at once. A
# call that began in an outage may hang for this time and the store client's
# margin (0.6 s) after the store's return, which stays below the three seconds
# after which an entry counts as in touch again.
WATCH_WAIT_S = 0.9
# Longest wait while calls fail, so that the store's return is noticed soon.
FAILING_WATCH_WAIT_S = 0.2
# Shortest time between two readings of the servers' changes: many servers
# change within a second when they start or take over layers.
SERVERS_READ_PAUSE_S = 0.4
# Age at which another entry's reading no longer replaces one of this entry. A
# configuration has to be in force two seconds after its acknowledgement; a
# reading, the way between entries, and a delay of each are 0.4 s.
PEER_READ_MAX_AGE_S = 1.3
# Most by which two clocks drift apart, as a share of the time. Those of
# machines differ by less than a tenth of it.
CLOCK_DRIFT_RATIO = 1e-3
# Pause after a failed call, doubled up to the longest one.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# Entries of servers that lapsed during an outage of the store return within
# this time, if the servers live.
REREGISTRATION_S = 2.0

_log = logs.Logger("store")


class Schema(typing.Protocol):
    """Names and meaning of the platform's tables."""

    routing_table: str
    routing_key: str
    server_table: str

    def decode_routing(self, value: bytes) -> fleet.Routing:
        """Reads a configuration.

        Raises:
            ValueError: The value is malformed.
        """

    def decode_server(self, key: str, value: bytes, revision: int):
        """Reads a server's row as a `fleet.Server`.

        Raises:
            ValueError: The row is malformed.
        """


Publish = collections.abc.Callable[[str, int, stores.Listing, float], None]


@dataclasses.dataclass
class _Feed:
    """Progress of following one table.

    Attributes:
        table: Name of the table.
        apply: Takes rows, whether they are the whole table, and the time at
            which the store held them.
        pause_s: Shortest time between two readings.
        revision: Revision up to which it is known; None before the first.
        failing_since: Time of the first failure in a row, None if it works.
        skip_reads_until: Time until which another entry's reading suffices.
    """

    table: str
    apply: collections.abc.Callable[[stores.Listing, bool, float], None]
    pause_s: float = 0.0
    revision: int | None = None
    failing_since: float | None = None
    skip_reads_until: float = float("-inf")


class Synchronizer:
    """Keeps a view in step with the store, owned by the process.

    Attributes:
        routing_value: Configuration in force as stored, for other entries.
        notify_routing: Called for each new configuration.
        publish: Called with table, revision before, changes and the seconds in
            which lapsed rows may return, for each reading of changes.
    """

    def __init__(
        self,
        view: views.View,
        store: stores.Store,
        schema: Schema,
        random: random_module.Random,
    ):
        self._view = view
        self._store = store
        self._schema = schema
        self._random = random
        self._unreadable: set[str] = set()
        self._expired: dict[str, tuple[float, int]] = {}
        self._reregistration_until = float("-inf")
        # The store's clock against this process's, at most; and since when.
        self._clock_offset_s = float("inf")
        self._clock_offset_at = 0.0
        self.routing_value: bytes | None = None
        self.notify_routing: collections.abc.Callable[[], None] = lambda: None
        self.publish: Publish = lambda *_: None
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
        """Follows both tables until cancelled."""
        async with trio.open_nursery() as nursery:
            for feed in self._feeds.values():
                nursery.start_soon(self._follow, feed)

    def apply_routing_value(self, value: bytes, source: str) -> None:
        """Puts a stored configuration in force, if it is a newer one."""
        try:
            routing = self._schema.decode_routing(value)
        except ValueError as error:
            _log.error(
                "Configuration cannot be read.", error=str(error), source=source
            )
            return
        if self._view.apply_routing(routing, source):
            self.routing_value = value
            self.notify_routing()

    def apply_peer_rows(
        self,
        table: str,
        after: int,
        listing: stores.Listing,
        reregistration_s: float,
        may_skip_reads: bool,
    ) -> None:
        """Takes changes that another entry has read.

        Args:
            table: Name of the table.
            after: Revision after which these are all changes.
            listing: The changes, with the store's clock at its answer.
            reregistration_s: Time in which rows that lapsed may return.
            may_skip_reads: Whether this entry may skip its own reads.
        """
        feed = self._feeds.get(table)
        if feed is None or feed.revision is None or after > feed.revision:
            return
        if listing.revision < feed.revision:
            return
        now = trio.current_time()
        # What is left of the other's time, so that two entries that tell each
        # other do not extend it.
        self._reregistration_until = max(
            self._reregistration_until, now + reregistration_s
        )
        # An offset that is too large makes the reading look older.
        at = min(now, listing.clock_s - self._clock_offset_s)
        if may_skip_reads and at + PEER_READ_MAX_AGE_S > now:
            self._record_success(feed, listing)
            feed.skip_reads_until = at + PEER_READ_MAX_AGE_S
        self._apply(feed, listing, False, at)

    async def _follow(self, feed: _Feed) -> None:
        retry_s = RETRY_MIN_S
        paused_s = 0.0
        while True:
            await self._wait_while_reads_skipped(feed)
            is_full_scan = feed.revision is None
            asked_at = trio.current_time()
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
                    self._update_clock_offset(listing.clock_s, asked_at)
                    self._record_success(feed, listing)
                    self._apply_reading(feed, listing, is_full_scan)
                    paused_s = feed.pause_s if listing.rows else 0.0
                    await trio.sleep(paused_s)
                case result.Failure(stores.HistoryLost()):
                    _log.warning(
                        "History is lost; the table is read again.",
                        table=feed.table,
                        revision=feed.revision,
                    )
                    feed.revision = None
                case result.Failure(failure):
                    self._record_failure(feed, failure)
                    # Entries that failed together should not return together.
                    await trio.sleep(retry_s * (0.5 + self._random.random()))
                    retry_s = min(2 * retry_s, RETRY_MAX_S)

    async def _wait_while_reads_skipped(self, feed: _Feed) -> None:
        """Waits while another entry's readings are fresh enough."""
        if trio.current_time() >= feed.skip_reads_until:
            return
        _log.info("Another entry reads the table.", table=feed.table)
        while trio.current_time() < feed.skip_reads_until:
            await trio.sleep_until(feed.skip_reads_until)
        _log.info(
            "This entry reads the table.",
            table=feed.table,
            revision=feed.revision,
        )

    def _apply_reading(
        self, feed: _Feed, listing: stores.Listing, is_full_scan: bool
    ) -> None:
        """Applies an answer of the store and passes it on."""
        after = feed.revision
        # Before anything else tells the others that there is a newer version,
        # so that they do not ask for what is on its way.
        if not is_full_scan and listing.revision >= after and listing.clock_s:
            reregistration_s = max(
                0.0, self._reregistration_until - trio.current_time()
            )
            self.publish(feed.table, after, listing, reregistration_s)
        self._apply(feed, listing, is_full_scan, trio.current_time())

    def _apply(
        self,
        feed: _Feed,
        listing: stores.Listing,
        is_full_scan: bool,
        at: float,
    ) -> None:
        """Applies the rows that are newer than what is known of a table."""
        known = feed.revision
        if known is not None and listing.revision < known:
            return
        if not is_full_scan:
            rows = tuple(row for row in listing.rows if row.revision > known)
            listing = dataclasses.replace(listing, rows=rows)
        feed.apply(listing, is_full_scan, at)
        feed.revision = listing.revision

    def _update_clock_offset(self, clock_s: float, asked_at: float) -> None:
        """Takes a reading of the store's clock, made after a time."""
        drift_s = CLOCK_DRIFT_RATIO * (asked_at - self._clock_offset_at)
        sample_s = clock_s - asked_at
        self._clock_offset_s = min(sample_s, self._clock_offset_s + drift_s)
        self._clock_offset_at = asked_at

    def _record_success(self, feed: _Feed, listing: stores.Listing) -> None:
        if feed.failing_since is None:
            return
        now = trio.current_time()
        self._reregistration_until = now + REREGISTRATION_S
        _log.info(
            "Store answers again.",
            table=feed.table,
            revision=listing.revision,
            outage_ms=round(1000 * (now - feed.failing_since)),
        )
        feed.failing_since = None

    def _record_failure(self, feed: _Feed, failure) -> None:
        if feed.failing_since is not None:
            return
        feed.failing_since = trio.current_time()
        _log.warning(
            "Store does not answer; what is known stays in force.",
            table=feed.table,
            revision=feed.revision,
            failure=repr(failure),
        )

    def _apply_routing(
        self, listing: stores.Listing, _is_full_scan: bool, at: float
    ) -> None:
        self._view.routing_at = max(self._view.routing_at, at)
        for row in listing.rows:
            if row.key != self._schema.routing_key or row.removed:
                continue
            self.apply_routing_value(row.value, "store")

    def _apply_servers(
        self, listing: stores.Listing, is_full_scan: bool, at: float
    ) -> None:
        now = trio.current_time()
        self._view.servers_at = max(self._view.servers_at, at)
        seen = set()
        for row in listing.rows:
            if row.removed:
                self._expire_server(row.key, row.revision, now)
                continue
            seen.add(row.key)
            server = self._read_server(row)
            if server is not None:
                self._expired.pop(row.key, None)
                self._view.apply_server(server)
        if is_full_scan:
            for instance in list(self._view.servers):
                if instance not in seen:
                    self._expire_server(instance, listing.revision, now)
        for instance, (until, revision) in list(self._expired.items()):
            if now >= until:
                del self._expired[instance]
                self._view.remove_server(instance, revision)

    def _expire_server(self, instance: str, revision: int, now: float) -> None:
        if now >= self._reregistration_until:
            self._view.remove_server(instance, revision)
        elif instance in self._view.servers:
            until = self._expired.get(
                instance, (self._reregistration_until, 0)
            )[0]
            self._expired[instance] = (until, revision)

    def _read_server(self, row: stores.Row) -> fleet.Server | None:
        try:
            return self._schema.decode_server(row.key, row.value, row.revision)
        except ValueError as error:
            # Once a row: a writer that repeats it must not fill the log.
            if row.key not in self._unreadable:
                _log.warning(
                    "Server's row cannot be read and is ignored.",
                    key=row.key,
                    revision=row.revision,
                    error=str(error),
                )
            self._unreadable.add(row.key)
            return None
