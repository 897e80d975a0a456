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
# Time between two signs of life. Each costs two calls of the store.
BEAT_S = 2.0
# An entry counts as live for longer than the window of the retry budget (10 s),
# since what a lost one has spent counts until then.
LIVE_S = 12.0
LEASE_S = 3 * BEAT_S

_log = logs.Part("presence")


def read_clock() -> float:
    """Returns seconds of a clock that also counts while suspended.

    A lease must not outlast its time because the machine stood still.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Presence:
    """This entry's row and its view of the lease, owned by the process.

    Attributes:
        lease: State of the placement duty.
        others: Addresses of the other live entries, as last read.
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
        self.lease = leases.Lease(name, LEASE_S)
        self.others: set[addresses.Address] = set()

    async def run(self) -> None:
        """Renews row and lease until cancelled."""
        while True:
            await self._beat()
            await trio.sleep(BEAT_S)

    def holds_duty(self) -> bool:
        """Returns whether this process may act as holder of the duty."""
        return self.lease.is_held(self._clock())

    async def _beat(self) -> None:
        # The lease runs from before the store's clock was read.
        asked_at = self._clock()
        outcome = await self._store.scan(TABLE)
        if not isinstance(outcome, result.Success):
            _log.debug("Rows were not read.", failure=repr(outcome.failure()))
            return
        listing = outcome.unwrap()
        self._count_entries(listing)
        lease_row = next(
            (row for row in listing.rows if row.key == LEASE_KEY), None
        )
        claim = self.lease.plan(
            leases.Record.from_json(lease_row.value) if lease_row else None,
            lease_row.revision if lease_row else 0,
            listing.clock_s,
        )
        await self._write(listing, claim, asked_at)

    def _count_entries(self, listing: stores.Listing) -> None:
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
            if listing.clock_s - at < LIVE_S:
                live.add(row.key.removeprefix(ENTRY_PREFIX))
                others.add(address)
        self.others = others - {self._address}
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
        fields = {"clock_s": listing.clock_s, "address": str(self._address)}
        own = json.dumps(fields).encode()
        writes = [stores.Write(TABLE, ENTRY_PREFIX + self._name, own)]
        conditions = []
        if claim is not None:
            writes.append(
                stores.Write(TABLE, LEASE_KEY, claim.record.to_json())
            )
            conditions.append(
                stores.Condition(TABLE, LEASE_KEY, claim.expected_revision)
            )
        stale = tuple(
            (TABLE, row.key)
            for row in listing.rows
            if claim is not None and _is_stale(row, listing.clock_s)
        )
        was_held = self.holds_duty()
        outcome = await self._store.commit(
            tuple(conditions), tuple(writes), stale
        )
        match outcome:
            case result.Success(_) if claim is not None:
                self.lease.record_granted(asked_at)
            case result.Failure(stores.Conflict()):
                self.lease.record_lost()
            case _:
                pass
        if was_held != self.holds_duty():
            _log.info(
                "Placement duty changed.",
                held=not was_held,
                revision=listing.revision,
                outcome=type(outcome).__name__,
            )


def _is_stale(row: stores.Row, clock_s: float) -> bool:
    """Returns whether an entry's row is so old that it can be removed."""
    if not row.key.startswith(ENTRY_PREFIX):
        return False
    try:
        at = float(json.loads(row.value)["clock_s"])
    except (ValueError, TypeError, LookupError):
        # Reported where the entries are counted; nobody else reads it.
        return True
    return clock_s - at > 10 * LIVE_S
