"""Following the platform's tables of configuration and servers."""

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

# Longest wait of one call for a change of the configuration; the answer to a
# change comes at once. A call that began in an outage may hang for this time
# and the store client's margin (0.6 s) after the store's return, which stays
# below the three seconds after which an entry counts as in touch again.
ROUTING_WAIT_S = 1.8
# Longest wait while calls fail, so that the store's return is noticed soon.
FAILING_WAIT_S = 0.2
# Pause between two readings of the servers' changes. They change with every
# heartbeat, and each call has a price; a leaving server is to be known within
# two seconds.
SERVERS_PAUSE_S = 1.0
# Wait for a change of the servers; the pause above sets the pace.
SERVERS_WAIT_S = 0.7
# Pause after a failed call, doubled up to the longest one.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# Entries of servers that lapsed during an outage of the store return within
# this time, if the servers live.
RETURN_S = 2.0

_log = logs.Part("store")


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


@dataclasses.dataclass
class _Feed:
    """Progress of following one table.

    Attributes:
        table: Name of the table.
        revision: Revision up to which it is known; None before the first.
        failing_since: Time of the first failure in a row, None if it works.
    """

    table: str
    revision: int | None = None
    failing_since: float | None = None


class Synchronizer:
    """Keeps a view in step with the store, owned by the process.

    Attributes:
        routing_value: Configuration in force as stored, for other entries.
        notify_routing: Called for each new configuration.
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
        self._unreadable: dict[str, int] = {}
        self._lapsed: dict[str, tuple[float, int]] = {}
        self._return_until = float("-inf")
        self.routing_value: bytes | None = None
        self.notify_routing: collections.abc.Callable[[], None] = _ignore

    async def run(self) -> None:
        """Follows both tables until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._follow,
                _Feed(self._schema.routing_table),
                self._apply_routing,
                ROUTING_WAIT_S,
                0.0,
            )
            nursery.start_soon(
                self._follow,
                _Feed(self._schema.server_table),
                self._apply_servers,
                SERVERS_WAIT_S,
                SERVERS_PAUSE_S,
            )

    def take_routing(self, value: bytes, source: str) -> None:
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

    async def _follow(
        self,
        feed: _Feed,
        apply: collections.abc.Callable[[stores.Listing, bool], None],
        wait_s: float,
        pause_s: float,
    ) -> None:
        retry_s = RETRY_MIN_S
        while True:
            whole = feed.revision is None
            if whole:
                outcome = await self._store.scan(feed.table)
            else:
                failing = feed.failing_since is not None
                outcome = await self._store.watch(
                    feed.table,
                    feed.revision,
                    FAILING_WAIT_S if failing else wait_s,
                )
            match outcome:
                case result.Success(listing):
                    retry_s = RETRY_MIN_S
                    self._note_success(feed, listing)
                    if feed.revision is None or (
                        listing.revision >= feed.revision
                    ):
                        apply(listing, whole)
                        feed.revision = listing.revision
                    await trio.sleep(pause_s)
                case result.Failure(stores.HistoryLost()):
                    _log.warning(
                        "History is lost; the table is read again.",
                        table=feed.table,
                        revision=feed.revision,
                    )
                    feed.revision = None
                case result.Failure(failure):
                    self._note_failure(feed, failure)
                    # Entries that failed together should not return together.
                    await trio.sleep(retry_s * (0.5 + self._random.random()))
                    retry_s = min(2 * retry_s, RETRY_MAX_S)

    def _note_success(self, feed: _Feed, listing: stores.Listing) -> None:
        if feed.failing_since is None:
            return
        now = trio.current_time()
        self._return_until = now + RETURN_S
        _log.info(
            "Store answers again.",
            table=feed.table,
            revision=listing.revision,
            outage_ms=round(1000 * (now - feed.failing_since)),
        )
        feed.failing_since = None

    def _note_failure(self, feed: _Feed, failure) -> None:
        if feed.failing_since is not None:
            return
        feed.failing_since = trio.current_time()
        _log.warning(
            "Store does not answer; what is known stays in force.",
            table=feed.table,
            revision=feed.revision,
            failure=repr(failure),
        )

    def _apply_routing(self, listing: stores.Listing, _whole: bool) -> None:
        self._view.routing_at = trio.current_time()
        for row in listing.rows:
            if row.key != self._schema.routing_key or row.removed:
                continue
            self.take_routing(row.value, "store")

    def _apply_servers(self, listing: stores.Listing, whole: bool) -> None:
        now = trio.current_time()
        self._view.servers_at = now
        seen = set()
        for row in listing.rows:
            if row.removed:
                self._lapse(row.key, row.revision, now)
                continue
            seen.add(row.key)
            server = self._read_server(row)
            if server is not None:
                self._lapsed.pop(row.key, None)
                self._view.apply_server(server)
        if whole:
            for instance in list(self._view.servers):
                if instance not in seen:
                    self._lapse(instance, listing.revision, now)
        for instance, (until, revision) in list(self._lapsed.items()):
            if now >= until:
                del self._lapsed[instance]
                self._view.remove_server(instance, revision)

    def _lapse(self, instance: str, revision: int, now: float) -> None:
        if now >= self._return_until:
            self._view.remove_server(instance, revision)
        elif instance in self._view.servers:
            until = self._lapsed.get(instance, (self._return_until, 0))[0]
            self._lapsed[instance] = (until, revision)

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
            self._unreadable[row.key] = row.revision
            return None


def _ignore() -> None:
    """Stands in where nobody wants to be notified."""
