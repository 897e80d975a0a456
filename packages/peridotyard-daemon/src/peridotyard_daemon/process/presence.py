"""Rows of the live entries and the placement lease, in the store.

The placement lease is the exclusive right to compute and order the placement
of layers on servers. One entry at a time is its holder.
"""

import collections.abc
import json
import time

from peridotyard_core import addresses
from peridotyard_core import documents
from peridotyard_core import leases
from peridotyard_core import topologies
from returns import result
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import rejections
from peridotyard_daemon.process import stores
from peridotyard_daemon.process import views

TABLE = "peridotyard"
ENTRY_PREFIX = "entry/"
LEASE_KEY = "lease/placement"
# Time between two heartbeats of an entry in the store. Two of them fit into
# `ENTRY_TTL_S`, so that one lost write does not expire the entry.
HEARTBEAT_INTERVAL_S = 5.0
# Time after its heartbeat at which an entry expires. It then stops using its
# share of the retry budget, also if it is only partitioned from the store.
ENTRY_TTL_S = 12.0
# Time after its heartbeat for which an entry counts among those that share the
# retry budget: what it spent until it expired counts for a window of 10 s more.
ENTRY_COUNT_S = ENTRY_TTL_S + 10.0
# Time after the first read of the rows at which they are read again. Entries
# that start together see only some of the others at first.
FIRST_READ_PAUSE_S = 1.2
# Time after a listing from a hub for which a member does not write its row by
# itself. A hub writes the rows of its members with each heartbeat of its own.
REPRESENTED_S = HEARTBEAT_INTERVAL_S + 1.0
# Time for which the placement lease is granted. If the holder ends, a layer
# that no server holds may have to wait for this time for a new holder. The
# store responds within 0.6 s in its slowest state.
LEASE_DURATION_S = 2.4
# Time between two renewals of the lease by its holder.
LEASE_RENEWAL_INTERVAL_S = 0.8
# Longest pause after failed writes; it doubles with each of them. The writes of
# all entries would else keep the queue of a slow store full.
FAILURE_PAUSE_MAX_S = 2.4
# Shortest pause between two reads of the lease while another entry holds it.
LEASE_READ_PAUSE_MIN_S = 0.3
# Time after the end of the connection to the holder in which another entry may
# act for it: the longest remaining time of its lease, and the time to grant the
# next one. A holder that is alive but partitioned from the other entries keeps
# its lease beyond this time, so the others stop acting for it.
HOLDER_LOST_PERIOD_S = LEASE_DURATION_S + 0.6
# Time for which the lease may be free before another entry acts for a holder. A
# claim is granted within 0.6 s, or fails.
VACANCY_LIMIT_S = 1.2
# Time for which a read of the lease shows that it is free. It covers a read, a
# write that times out and the pause between them.
VACANCY_LIFETIME_S = 5.0
# Time after the last heartbeat of a holder, which sends one each half second,
# at which the other entries read the lease again.
HOLDER_HEARTBEAT_TIMEOUT_S = 1.1
# Bound of the exponent in the pause after failed writes.
MAX_DOUBLINGS = 10
# Entries of one write that the store accepts.
WRITE_LIMIT = 100
# Largest processor capacity that a row may state, in cores.
MAX_CAPACITY = 1e6

_log = logs.Logger("presence")


def read_clock() -> float:
    """Returns seconds of a clock that also advances while suspended.

    With another clock, a lease would seem valid for too long after the machine
    was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Presence:
    """This entry's row and lease state, owned by the process.

    Attributes:
        lease: State of the placement lease.
        entries: The other live entries, as last read. While the store fails
            writes, entries stay whose rows expire.
        may_claim: Returns whether this entry may claim the lease. Otherwise it
            leaves the lease to entries that it is connected to, and reads the
            rows only with its own heartbeat.
        list_represented: Returns the entries whose rows this entry writes
            beside its own, by name.
        publish: Called with the listing that was read before each such write.
        is_connected: Returns whether this entry is connected to the entry of a
            name, so that its heartbeats state whether it holds the lease.
    """

    def __init__(
        self,
        view: views.View,
        store: stores.Store,
        name: str,
        own: topologies.Entry,
        clock=read_clock,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        """Creates the presence of one process.

        Args:
            view: Receives the number of live entries.
            store: The platform's store.
            name: Name of the entry, unique for each process start.
            own: This entry as the others are to know it.
            clock: Returns seconds, also while the machine is suspended.
            count: Increases the counter of the given name.
        """
        self._view = view
        self._store = store
        self._name = name
        self._own = own
        self._clock = clock
        self._rejections = rejections.Rejections("entry", count)
        self.lease = leases.Lease(name, LEASE_DURATION_S)
        self.entries: frozenset[topologies.Entry] = frozenset()
        self.may_claim: collections.abc.Callable[[], bool] = lambda: True
        self.list_represented: collections.abc.Callable[
            [], dict[str, topologies.Entry]
        ] = dict
        self.publish: collections.abc.Callable[[stores.Listing], None] = (
            lambda _: None
        )
        self.is_connected: collections.abc.Callable[[str], bool] = (
            lambda _: False
        )
        # Revision of the lease's row, as last read or written.
        self._revision = 0
        # Times of this process's clock, and the difference between the store's
        # clock and it.
        self._scanned_at = float("-inf")
        self._written_at = float("-inf")
        self._clock_offset_s = 0.0
        self._failing = False
        # Number of consecutive failed writes between successful reads.
        self._failed_writes = 0
        # Time of the last write that the store failed.
        self._write_failed_at = float("-inf")
        # Name of the connected entry that holds the lease, until when it counts
        # as lost, and the time of its last heartbeat as the holder.
        self._holder = ""
        self._holder_lost_until = float("-inf")
        self._holder_heartbeat_at = float("-inf")
        self._holder_lost_event = trio.Event()
        # Time since when no entry is known to hold the lease, None while one
        # does, and the time of the last read that has shown it.
        self._free_since: float | None = None
        self._free_read_at = float("-inf")
        # Time until which a hub writes the row of this entry.
        self._represented_until = float("-inf")
        # Time at which the row of this entry expires.
        self._listed_until = float("-inf")

    async def run(self) -> None:
        """Renews row and lease until cancelled."""
        while True:
            pause_s = await self._refresh_rows()
            if not self.is_lease_holder():
                await trio.sleep(self._compute_failure_pause_s())
            await self._wait_next_refresh(pause_s)

    def update_holder(self, entry: str, holds: bool) -> None:
        """Records from a heartbeat whether an entry holds the lease.

        Args:
            entry: Name of the connected entry.
            holds: Whether it holds the lease.
        """
        if holds:
            self._holder = entry
            self._holder_heartbeat_at = self._clock()
            self._holder_lost_until = float("-inf")
            self._free_since = None
        elif entry == self._holder:
            self._holder = ""
            self._holder_heartbeat_at = float("-inf")
            self._holder_lost_event.set()

    def apply_listing(self, listing: stores.Listing) -> None:
        """Applies the rows that the hub of this entry has read.

        The hub has written the row of this entry as well.
        """
        self._update_entries(listing)
        now = self._clock()
        self._represented_until = now + REPRESENTED_S
        self._listed_until = now + REPRESENTED_S

    def is_listed(self) -> bool:
        """Returns whether the other entries count this one as live."""
        return self._clock() < self._listed_until

    def record_hub_lost(self) -> None:
        """Records that this entry has lost its connection to a hub."""
        self._holder_lost_event.set()

    def record_entry_lost(self, entry: str) -> None:
        """Records that the connection to another entry has ended."""
        if entry == self._holder:
            self._holder_lost_until = self._clock() + HOLDER_LOST_PERIOD_S
        self.update_holder(entry, False)

    def is_holder_lost(self) -> bool:
        """Returns whether the holder has just been lost and not replaced.

        Its lease may not have expired yet, so that no other entry can be
        granted the lease.
        """
        return (
            self._clock() < self._holder_lost_until
            and not self.is_lease_holder()
        )

    def is_lease_vacant(self) -> bool:
        """Returns whether no entry has been able to claim the lease.

        The store may respond to reads and fail writes, such as a slow one whose
        queue of writes is full.
        """
        now = self._clock()
        return (
            self._free_since is not None
            and now - self._free_since > VACANCY_LIMIT_S
            and now - self._free_read_at < VACANCY_LIFETIME_S
        )

    def _record_vacancy(
        self, record: leases.Record | None, clock_s: float
    ) -> None:
        """Records whether an entry may hold the lease.

        A claim whose response was lost is valid in the store, but its writer
        does not hold the lease. A connected one states that.

        Args:
            record: Content of the lease's row as read, None if there is none.
            clock_s: Time of the read on the store's clock, seconds.
        """
        now = self._clock()
        self._free_read_at = now
        if record is not None and record.is_valid_at(clock_s):
            is_held = (
                self.is_lease_holder()
                if record.holder == self._name
                else record.holder == self._holder
                or not self.is_connected(record.holder)
            )
            if is_held:
                self._free_since = None
                return
        if self._free_since is None:
            self._free_since = now

    async def _wait_next_refresh(self, pause_s: float) -> None:
        """Waits until rows and lease are to be refreshed again.

        While heartbeats of a connected entry state that it holds the lease, the
        lease need not be read. It is read at once when the holder's heartbeats
        stop or state otherwise.

        Args:
            pause_s: Time to wait while no connected entry holds the lease,
                seconds.
        """
        self._holder_lost_event = trio.Event()
        with trio.move_on_after(pause_s):
            await self._holder_lost_event.wait()
        while not self.is_lease_holder():
            now = self._clock()
            heartbeat_at = self._written_at + HEARTBEAT_INTERVAL_S
            if self.may_claim():
                until = min(
                    heartbeat_at,
                    self._holder_heartbeat_at + HOLDER_HEARTBEAT_TIMEOUT_S,
                )
            else:
                until = max(heartbeat_at, self._represented_until)
            if now >= until:
                break
            self._holder_lost_event = trio.Event()
            with trio.move_on_after(until - now):
                await self._holder_lost_event.wait()

    def refresh_rows(self) -> None:
        """Writes the rows soon, since the store may have lost them."""
        self._written_at = float("-inf")
        self._scanned_at = float("-inf")
        self._holder_lost_event.set()

    async def release_lease(self, is_final: bool = True) -> None:
        """Releases the lease early, so that another takes over at once.

        Args:
            is_final: Whether this entry never claims the lease again.
        """
        if not self.is_lease_holder():
            return
        claim = self.lease.plan_release(self._revision, is_final)
        outcome = await self._store.commit(*self._encode_claim(claim))
        _log.info("placement lease released", outcome=repr(outcome))

    def is_lease_holder(self) -> bool:
        """Returns whether this process may act as the lease holder."""
        return self.lease.is_held(self._clock())

    def _compute_failure_pause_s(self) -> float:
        """Returns the pause after failed writes, seconds; 0 after the first.

        A single write may have been lost, and the next one claims the lease.
        """
        if self._failed_writes < 2:
            return 0.0
        doublings = min(self._failed_writes - 2, MAX_DOUBLINGS)
        return min(LEASE_RENEWAL_INTERVAL_S * 2**doublings, FAILURE_PAUSE_MAX_S)

    async def _refresh_rows(self) -> float:
        """Reads and writes the rows; returns the seconds to the next time."""
        # The lease is counted from before the request is sent, so that it ends
        # in this process no later than in the store.
        sent_at = self._clock()
        if not self.may_claim():
            await self.release_lease(is_final=False)
        if (
            self.is_lease_holder()
            and sent_at < self._scanned_at + HEARTBEAT_INTERVAL_S
        ):
            await self._renew(sent_at)
            return LEASE_RENEWAL_INTERVAL_S
        outcome = await self._store.scan(TABLE)
        if not isinstance(outcome, result.Success):
            self._failed_writes = 0
            self._record_failure(
                "entry and lease rows not read", outcome.failure()
            )
            return LEASE_RENEWAL_INTERVAL_S
        self._failing = False
        listing = outcome.unwrap()
        is_first_read = self._scanned_at == float("-inf")
        self._scanned_at = sent_at
        self._clock_offset_s = listing.clock_s - sent_at
        self._update_entries(listing)
        row = next((row for row in listing.rows if row.key == LEASE_KEY), None)
        self._revision = row.revision if row else 0
        record = leases.Record.from_json(row.value) if row else None
        self._record_vacancy(record, listing.clock_s)
        claim = None
        if self.may_claim():
            claim = self.lease.plan_claim(
                record, self._revision, listing.clock_s
            )
        if (
            claim is not None
            or sent_at >= self._written_at + HEARTBEAT_INTERVAL_S
        ):
            await self._write(listing, claim, sent_at)
        if claim is not None:
            return LEASE_RENEWAL_INTERVAL_S
        # Another entry holds the lease, which is read again when it expires.
        left_s = record.until_s - listing.clock_s if record else 0.0
        left_s = min(left_s, HEARTBEAT_INTERVAL_S)
        if is_first_read:
            left_s = min(left_s, FIRST_READ_PAUSE_S)
        return max(left_s, LEASE_READ_PAUSE_MIN_S)

    async def _renew(self, sent_at: float) -> None:
        """Extends the lease without reading the table first."""
        record = leases.Record(
            self._name, sent_at + self._clock_offset_s + LEASE_DURATION_S
        )
        claim = leases.Claim(record, self._revision)
        self._record_write(
            claim,
            await self._store.commit(*self._encode_claim(claim)),
            sent_at,
        )

    def _encode_claim(self, claim: leases.Claim):
        """Returns the conditions and writes of a claim of the lease."""
        condition = stores.Condition(TABLE, LEASE_KEY, claim.expected_revision)
        write = stores.Write(TABLE, LEASE_KEY, claim.record.to_json())
        return (condition,), (write,)

    def _update_entries(self, listing: stores.Listing) -> None:
        live = {self._name}
        others = {}
        # If the store fails the writes of this entry, a row that has not been
        # written does not show that its entry has ended.
        writes_fail = self._clock() < self._write_failed_at + ENTRY_TTL_S
        for row in listing.rows:
            if not row.key.startswith(ENTRY_PREFIX):
                continue
            try:
                at, entry = _decode_entry(row.value)
                age_s = listing.clock_s - at
                if age_s < -ENTRY_TTL_S:
                    raise ValueError("written later than the store's clock")
            except ValueError as error:
                self._rejections.record(row.key, row.revision, error)
                continue
            if age_s < ENTRY_COUNT_S:
                live.add(row.key.removeprefix(ENTRY_PREFIX))
            if age_s < ENTRY_TTL_S or (writes_fail and entry in self.entries):
                others[entry.address] = entry
        others.pop(self._own.address, None)
        self.entries = frozenset(others.values())
        if len(live) != self._view.entry_count:
            _log.info(
                "number of live entries changed",
                entries=len(live),
                previous=self._view.entry_count,
                revision=listing.revision,
            )
        self._view.entry_count = len(live)

    async def _write(
        self,
        listing: stores.Listing,
        claim: leases.Claim | None,
        sent_at: float,
    ) -> None:
        """Writes this entry's row and removes stale rows of other entries.

        Args:
            listing: The rows as last read.
            claim: Claim of the lease to write as well. Stale rows are removed
                only with a claim.
            sent_at: Time before the read, from which a lease is counted.
        """
        represented = self.list_represented()
        writes = tuple(
            _make_entry_write(name, entry, listing.clock_s)
            for name, entry in {self._name: self._own, **represented}.items()
        )
        conditions = ()
        if claim is not None:
            conditions, claims = self._encode_claim(claim)
            writes += claims
        stale = tuple(
            (TABLE, row.key)
            for row in listing.rows
            if claim is not None and _is_stale(row, listing.clock_s)
        )
        room = max(0, WRITE_LIMIT - len(conditions) - len(writes))
        outcome = await self._store.commit(conditions, writes, stale[:room])
        if isinstance(outcome, result.Success):
            self._written_at = sent_at
            self._listed_until = sent_at + ENTRY_TTL_S
            if represented:
                self.publish(listing)
        self._record_write(claim, outcome, sent_at)

    def _record_write(
        self, claim: leases.Claim | None, outcome, sent_at: float
    ) -> None:
        """Updates lease and revision after a write."""
        was_held = self.is_lease_holder()
        match outcome:
            case result.Failure(failure) if not isinstance(
                failure, stores.Conflict
            ):
                self._failed_writes += 1
            case _:
                self._failed_writes = 0
        match outcome:
            case result.Success(committed) if claim is not None:
                self._revision = committed.revision
                self.lease.record_granted(sent_at)
                self._free_since = None
            case result.Failure(stores.Conflict()):
                self.lease.record_lost()
            case result.Failure(failure):
                # The rows may have been written nevertheless, so the revision
                # of the lease has to be read before the next claim.
                self._scanned_at = float("-inf")
                self._write_failed_at = self._clock()
                self._record_failure(
                    "entry and lease rows not written", failure
                )
        if was_held != self.is_lease_holder():
            _log.info(
                "placement lease changed",
                held=not was_held,
                revision=self._revision,
                outcome=type(outcome).__name__,
            )

    def _record_failure(self, message: str, failure) -> None:
        """Logs the first of several consecutive failures."""
        if not self._failing:
            _log.warning(message, failure=repr(failure))
        self._failing = True


def _make_entry_write(
    name: str, entry: topologies.Entry, clock_s: float
) -> stores.Write:
    """Returns the write of the row of a live entry.

    Args:
        name: Name of the entry.
        entry: The entry.
        clock_s: Time on the store's clock, seconds.
    """
    fields = {
        "clock_s": clock_s,
        "address": str(entry.address),
        "zone": entry.zone,
        "capacity": entry.capacity,
    }
    return stores.Write(TABLE, ENTRY_PREFIX + name, json.dumps(fields).encode())


def _decode_entry(value: bytes) -> tuple[float, topologies.Entry]:
    """Decodes the row of an entry, which another program may have written.

    Returns:
        The time on the store's clock at which it was written, in seconds, and
        the entry.

    Raises:
        ValueError: The row is malformed.
    """
    fields = documents.parse(value)
    address = addresses.Address.from_text(
        documents.read_text(fields, "address")
    )
    if not address.port:
        raise ValueError("no entry listens on port 0")
    return (
        documents.read_number(fields, "clock_s", 0, leases.MAX_CLOCK_S),
        topologies.Entry(
            address,
            documents.read_text(fields, "zone", ""),
            documents.read_number(fields, "capacity", 0, MAX_CAPACITY, 0.0),
        ),
    )


def _is_stale(row: stores.Row, clock_s: float) -> bool:
    """Returns whether an entry's row is old enough to be removed."""
    if not row.key.startswith(ENTRY_PREFIX):
        return False
    try:
        at, _ = _decode_entry(row.value)
    except ValueError:
        # Recorded by `_update_entries`; no other code reads the row.
        return True
    return clock_s - at > 10 * ENTRY_TTL_S
