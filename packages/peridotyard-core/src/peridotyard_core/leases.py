"""A lease on a duty, granted by conditional writes of one row."""

import dataclasses
import json


@dataclasses.dataclass(frozen=True)
class Record:
    """Content of the lease's row.

    Attributes:
        holder: Name of the holder, unique for each process start.
        until_s: End of the lease on the store's clock, seconds.
    """

    holder: str
    until_s: float

    @classmethod
    def from_json(cls, value: bytes) -> "Record | None":
        """Reads a row; one that cannot be read counts as no lease."""
        try:
            fields = json.loads(value)
            return cls(str(fields["holder"]), float(fields["until_s"]))
        except (ValueError, TypeError, LookupError):
            return None

    def to_json(self) -> bytes:
        """Returns the content of the row."""
        return json.dumps(dataclasses.asdict(self)).encode()


@dataclasses.dataclass(frozen=True)
class Claim:
    """A conditional write that acquires or renews the lease.

    Attributes:
        record: Content to write.
        expected_revision: Revision that the row must have, 0 for none.
    """

    record: Record
    expected_revision: int


class Lease:
    """One process's part in a lease, owned by the process.

    The holder counts the duration from the moment before it sent the claim,
    on its own clock, so it stops before the store lets another one in.
    """

    def __init__(self, name: str, duration_s: float):
        """Makes a lease that is not held.

        Args:
            name: Name of this process, unique for each start.
            duration_s: Time for which a claim is granted.
        """
        self._name = name
        self._duration_s = duration_s
        self._held_until_s = float("-inf")
        self._is_released = False

    def plan_claim(
        self, record: Record | None, revision: int, clock_s: float
    ) -> Claim | None:
        """Returns the claim to make, None while another process holds it.

        Args:
            record: Content of the row, None without one.
            revision: Revision of the row, 0 without one.
            clock_s: The store's clock.
        """
        if self._is_released:
            return None
        if (
            record is not None
            and record.holder != self._name
            and clock_s < record.until_s
        ):
            self.record_lost()
            return None
        until_s = clock_s + self._duration_s
        return Claim(Record(self._name, until_s), revision)

    def plan_release(self, revision: int) -> Claim:
        """Returns the write that ends the lease early, for good.

        Args:
            revision: Revision of the row as this process wrote it.
        """
        self.record_lost()
        self._is_released = True
        return Claim(Record(self._name, 0.0), revision)

    def record_granted(self, sent_at_s: float) -> None:
        """Notes that a claim sent at a time was written."""
        # A renewal may be answered after the lease was given up.
        if not self._is_released:
            self._held_until_s = sent_at_s + self._duration_s

    def record_lost(self) -> None:
        """Notes that another process holds the lease, or a claim failed."""
        self._held_until_s = float("-inf")

    def is_held(self, now_s: float) -> bool:
        """Returns whether this process holds the lease."""
        return now_s < self._held_until_s
