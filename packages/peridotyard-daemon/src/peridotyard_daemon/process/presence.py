"""Live entries and the lease of the placement duty, in the store."""

import json
import time

from peridotyard_core import addresses
from peridotyard_core import leases
from returns import result
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import stores
from peridotyard_daemon.process import views

TABLE = "peridotyard"
ENTRY_PREFIX = "entry/"
LEASE_KEY = "lease/placement"
# Time between two signs of life of an entry in the store; with one lost write
# it is still below the time for which the entry counts as live.
HEARTBEAT_INTERVAL_S = 5.0
# An entry counts as live for longer than the window of the retry budget (10 s),
# since what a lost one has spent counts until then.
ENTRY_TTL_S = 12.0
# Time for which the placement duty is granted. A lost layer waits for a new
# holder for so long; the store answers within 0.6 s in its slowest state.
LEASE_DURATION_S = 2.4
# Time between two renewals by the holder.
LEASE_RENEWAL_INTERVAL_S = 0.8
# Shortest pause between two readings while another entry holds the duty.
LEASE_READ_PAUSE_MIN_S = 0.3
# Time after the end of the connection to a holder in which others may act for
# it: what its lease runs at most, and the time to grant the next one. A holder
# that lives behind a cut keeps the lease beyond that.
HOLDER_LOST_PERIOD_S = LEASE_DURATION_S + 0.6
# Time after a holder's sign of life, one each half second, at which the others
# look at the lease again.
HOLDER_HEARTBEAT_TIMEOUT_S = 1.1

_log = logs.Logger("presence")


def read_clock() -> float:
    """Returns seconds of a clock that also counts while suspended.

    A lease must not outlast its time because the machine stood still.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Presence:
    """This entry's row and its view of the lease, owned by the process.

    Attributes:
        lease: State of the placement duty.
        entry_addresses: Addresses of the other live entries, as last read.
    """

    def __init__(
        self,
        view: views.View,
        store: stores.Store,
        name: str,
        address: addresses.Address,
        clock=read_clock,
    ):
        """Makes the presence of one process.

        Args:
            view: Gets the number of live entries.
            store: The platform's store.
            name: Name of the entry, unique for each process start.
            address: Where this entry accepts the others.
            clock: Returns seconds, also while the machine is suspended.
        """
        self._view = view
        self._store = store
        self._name = name
        self._address = address
        self._clock = clock
        self.lease = leases.Lease(name, LEASE_DURATION_S)
        self.entry_addresses: set[addresses.Address] = set()
        # Revision of the lease's row, as last read or written.
        self._revision = 0
        # Times of this process's clock, and the store's clock against it.
        self._scanned_at = float("-inf")
        self._written_at = float("-inf")
        self._clock_offset_s = 0.0
        self._failing = False
        # Connected entry that holds the duty, and when it last said so.
        self._holder = ""
        self._holder_lost_until = float("-inf")
        self._holder_heartbeat_at = float("-inf")
        self._holder_lost_event = trio.Event()

    async def run(self) -> None:
        """Renews row and lease until cancelled."""
        while True:
            await self._wait_next_refresh(await self._refresh_rows())

    def update_holder(self, entry: str, holds: bool) -> None:
        """Takes from a connected entry whether it holds the duty."""
        if holds:
            self._holder = entry
            self._holder_heartbeat_at = self._clock()
            self._holder_lost_until = float("-inf")
        elif entry == self._holder:
            self._holder = ""
            self._holder_heartbeat_at = float("-inf")
            self._holder_lost_event.set()

    def record_entry_lost(self, entry: str) -> None:
        """Takes that the connection to another entry has ended."""
        if entry == self._holder:
            self._holder_lost_until = self._clock() + HOLDER_LOST_PERIOD_S
        self.update_holder(entry, False)

    def is_holder_lost(self) -> bool:
        """Returns whether the holder was just lost and no other is known.

        Its lease may still run, so that nobody can be granted the duty.
        """
        return (
            self._clock() < self._holder_lost_until
            and not self.is_lease_holder()
        )

    async def _wait_next_refresh(self, pause_s: float) -> None:
        """Waits between two beats.

        While a connected entry says that it holds the duty, the lease need not
        be read. Its end is looked at once when the holder stops saying so.
        """
        self._holder_lost_event = trio.Event()
        with trio.move_on_after(pause_s):
            await self._holder_lost_event.wait()
        heartbeat_at = self._written_at + HEARTBEAT_INTERVAL_S
        while not self.is_lease_holder():
            now = self._clock()
            until = min(
                heartbeat_at,
                self._holder_heartbeat_at + HOLDER_HEARTBEAT_TIMEOUT_S,
            )
            if now >= until:
                break
            self._holder_lost_event = trio.Event()
            with trio.move_on_after(until - now):
                await self._holder_lost_event.wait()

    async def release_lease(self) -> None:
        """Ends the lease early, so that another entry takes over at once."""
        if not self.is_lease_holder():
            return
        claim = self.lease.plan_release(self._revision)
        outcome = await self._store.commit(*self._encode_claim(claim))
        _log.info("Placement duty is given up.", outcome=repr(outcome))

    def is_lease_holder(self) -> bool:
        """Returns whether this process may act as holder of the duty."""
        return self.lease.is_held(self._clock())

    async def _refresh_rows(self) -> float:
        """Reads and writes once; returns the seconds until the next time."""
        # The lease runs from before the store's clock was read.
        asked_at = self._clock()
        if (
            self.is_lease_holder()
            and asked_at < self._scanned_at + HEARTBEAT_INTERVAL_S
        ):
            await self._renew(asked_at)
            return LEASE_RENEWAL_INTERVAL_S
        outcome = await self._store.scan(TABLE)
        if not isinstance(outcome, result.Success):
            self._record_failure("Rows were not read.", outcome.failure())
            return LEASE_RENEWAL_INTERVAL_S
        self._failing = False
        listing = outcome.unwrap()
        self._scanned_at = asked_at
        self._clock_offset_s = listing.clock_s - asked_at
        self._update_entries(listing)
        row = next((row for row in listing.rows if row.key == LEASE_KEY), None)
        self._revision = row.revision if row else 0
        record = leases.Record.from_json(row.value) if row else None
        claim = self.lease.plan(record, self._revision, listing.clock_s)
        if (
            claim is not None
            or asked_at >= self._written_at + HEARTBEAT_INTERVAL_S
        ):
            await self._write(listing, claim, asked_at)
        if claim is not None:
            return LEASE_RENEWAL_INTERVAL_S
        # Another entry holds the lease: look again when it ends.
        left_s = record.until_s - listing.clock_s if record else 0.0
        return max(left_s, LEASE_READ_PAUSE_MIN_S)

    async def _renew(self, asked_at: float) -> None:
        """Extends the lease without reading the table first."""
        record = leases.Record(
            self._name, asked_at + self._clock_offset_s + LEASE_DURATION_S
        )
        claim = leases.Claim(record, self._revision)
        self._record_write(
            claim,
            await self._store.commit(*self._encode_claim(claim)),
            asked_at,
        )

    def _encode_claim(self, claim: leases.Claim):
        """Returns conditions and writes of a claim."""
        condition = stores.Condition(TABLE, LEASE_KEY, claim.expected_revision)
        write = stores.Write(TABLE, LEASE_KEY, claim.record.to_json())
        return (condition,), (write,)

    def _update_entries(self, listing: stores.Listing) -> None:
        live = {self._name}
        others = set()
        for row in listing.rows:
            if not row.key.startswith(ENTRY_PREFIX):
                continue
            try:
                fields = json.loads(row.value)
                at = float(fields["clock_s"])
                address = addresses.Address.from_text(fields["address"])
            except (
                ValueError,
                TypeError,
                LookupError,
                AttributeError,
            ) as error:
                _log.warning(
                    "Entry's row cannot be read.", key=row.key, error=str(error)
                )
                continue
            if listing.clock_s - at < ENTRY_TTL_S:
                live.add(row.key.removeprefix(ENTRY_PREFIX))
                others.add(address)
        self.entry_addresses = others - {self._address}
        if len(live) != self._view.entries:
            _log.info(
                "Number of live entries changed.",
                entries=len(live),
                previous=self._view.entries,
                revision=listing.revision,
            )
        self._view.entries = len(live)

    async def _write(
        self,
        listing: stores.Listing,
        claim: leases.Claim | None,
        asked_at: float,
    ) -> None:
        """Writes this entry's row, with a claim if there is one."""
        fields = {"clock_s": listing.clock_s, "address": str(self._address)}
        own = json.dumps(fields).encode()
        writes = (stores.Write(TABLE, ENTRY_PREFIX + self._name, own),)
        conditions = ()
        if claim is not None:
            conditions, claims = self._encode_claim(claim)
            writes += claims
        stale = tuple(
            (TABLE, row.key)
            for row in listing.rows
            if claim is not None and _is_stale(row, listing.clock_s)
        )
        outcome = await self._store.commit(conditions, writes, stale)
        if isinstance(outcome, result.Success):
            self._written_at = asked_at
        self._record_write(claim, outcome, asked_at)

    def _record_write(
        self, claim: leases.Claim | None, outcome, asked_at: float
    ) -> None:
        """Takes the outcome of a write."""
        was_held = self.is_lease_holder()
        match outcome:
            case result.Success(committed) if claim is not None:
                self._revision = committed.revision
                self.lease.record_granted(asked_at)
            case result.Failure(stores.Conflict()):
                self.lease.record_lost()
            case result.Failure(failure):
                # It may have been written, so the next claim has to read the
                # row's revision first.
                self._scanned_at = float("-inf")
                self._record_failure("Rows were not written.", failure)
        if was_held != self.is_lease_holder():
            _log.info(
                "Placement duty changed.",
                held=not was_held,
                revision=self._revision,
                outcome=type(outcome).__name__,
            )

    def _record_failure(self, message: str, failure) -> None:
        """Logs the first of several failures in a row."""
        if not self._failing:
            _log.warning(message, failure=repr(failure))
        self._failing = True


def _is_stale(row: stores.Row, clock_s: float) -> bool:
    """Returns whether an entry's row is so old that it can be removed."""
    if not row.key.startswith(ENTRY_PREFIX):
        return False
    try:
        at = float(json.loads(row.value)["clock_s"])
    except (ValueError, TypeError, LookupError):
        # Reported where the entries are counted; nobody else reads it.
        return True
    return clock_s - at > 10 * ENTRY_TTL_S
