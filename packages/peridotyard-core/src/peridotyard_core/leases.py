"""A lease that one of several processes holds, stored in one row.

The store grants the lease by conditional writes of the row: a process writes
the row only if it still has the revision that the process read.
"""

import dataclasses
import json

from peridotyard_core import documents

# Remaining time beyond which a record was not written by a lease holder.
MAX_REMAINING_S = 60.0
# Largest time on the store's clock, seconds.
MAX_CLOCK_S = 1e12


@dataclasses.dataclass(frozen=True)
class Record:
    """Content of the lease's row.

    Attributes:
        holder: Name of the lease holder, unique for each process start.
        until_s: Time at which the lease expires on the store's clock, seconds.
    """

    holder: str
    until_s: float

    @classmethod
    def from_json(cls, value: bytes) -> "Record | None":
        """Returns the content of a row; None if it cannot be interpreted."""
        try:
            fields = documents.parse(value)
            return cls(
                documents.read_text(fields, "holder"),
                documents.read_number(fields, "until_s", 0, MAX_CLOCK_S),
            )
        except ValueError:
            return None

    def is_valid_at(self, clock_s: float) -> bool:
        """Returns whether the lease is held at a time on the store's clock.

        Args:
            clock_s: The time, seconds.
        """
        return clock_s < self.until_s <= clock_s + MAX_REMAINING_S

    def to_json(self) -> bytes:
        """Returns the JSON value of the row."""
        return json.dumps(dataclasses.asdict(self)).encode()


@dataclasses.dataclass(frozen=True)
class Claim:
    """A conditional write that acquires or renews the lease.

    Attributes:
        record: Content to write.
        expected_revision: Revision that the row must have, 0 if it must not
            exist.
    """

    record: Record
    expected_revision: int


class Lease:
    """State of a lease in one process, owned by the process.

    The lease holder counts the duration from the time before it sent the claim,
    on its own clock, so its lease ends before the store grants the lease to
    another process.
    """

    def __init__(self, name: str, duration_s: float):
        """Creates a lease that is not held.

        Args:
            name: Name of this process, unique for each start.
            duration_s: Time for which a claim is granted, seconds.
        """
        self._name = name
        self._duration_s = duration_s
        self._held_until_s = float("-inf")
        self._is_released = False

    def plan_claim(
        self, record: Record | None, revision: int, clock_s: float
    ) -> Claim | None:
        """Returns the claim to write, None if another process holds the lease.

        It is also None after this process has released the lease.

        Args:
            record: Content of the row, None if there is no valid row.
            revision: Revision of the row, 0 if there is no row.
            clock_s: Time on the store's clock, seconds.
        """
        if self._is_released:
            return None
        if (
            record is not None
            and record.holder != self._name
            and record.is_valid_at(clock_s)
        ):
            self.record_lost()
            return None
        until_s = clock_s + self._duration_s
        return Claim(Record(self._name, until_s), revision)

    def plan_release(self, revision: int, is_final: bool = True) -> Claim:
        """Releases the lease and returns the write that ends it.

        Args:
            revision: Revision of the row as this process wrote it.
            is_final: Whether this process never claims the lease again.
        """
        self.record_lost()
        self._is_released = is_final
        return Claim(Record(self._name, 0.0), revision)

    def record_granted(self, sent_at_s: float) -> None:
        """Records that a claim was granted.

        Args:
            sent_at_s: Time before the claim was sent, on this process's clock.
        """
        # The response to a renewal may arrive after the lease was released.
        if not self._is_released:
            self._held_until_s = sent_at_s + self._duration_s

    def record_lost(self) -> None:
        """Records that another process holds the lease, or a claim failed."""
        self._held_until_s = float("-inf")

    def is_held(self, now_s: float) -> bool:
        """Returns whether this process holds the lease."""
        return now_s < self._held_until_s
