"""Quarantine of requests that crash the backend servers that run them.

A request whose copies have crashed several servers is not sent to a server
again. Copies of a request are recognised by a fingerprint.
"""

import collections
import dataclasses
import hashlib

# Number of crashes after which a request is quarantined. One or two crashes may
# be a coincidence, since servers fail for other reasons too.
CRASH_LIMIT = 3
# Time for which crashes are kept after a copy of the request was last received,
# seconds. Each copy restarts it, so a request that a caller keeps repeating
# stays quarantined if the pauses between its attempts are shorter.
RETENTION_S = 600.0
# Largest number of fingerprints that are kept; the least recently seen one is
# discarded for a new one. At some hundred bytes each they take less than 1 MB.
FINGERPRINTS_LIMIT = 4096


def compute_fingerprint(target: str, workspace: str, body: bytes) -> int:
    """Returns the hash by which copies of a request are recognised.

    Args:
        target: Path and query.
        workspace: Name of the caller's workspace, empty if there is none.
        body: The complete body.

    Returns:
        A signed 64-bit integer.
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (target.encode(), workspace.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big", signed=True)


def format_fingerprint(fingerprint: int) -> str:
    """Returns the hexadecimal text of a fingerprint for the log."""
    return f"{fingerprint & (1 << 64) - 1:016x}"


@dataclasses.dataclass
class _CrashRecord:
    """Crashes caused by the copies of one request.

    Attributes:
        crashes: Identities of the crashes, as reported by all entries.
        seen_at: Time at which a copy was last received or crashed a server,
            seconds.
    """

    crashes: set[int]
    seen_at: float


class Quarantine:
    """Crashes by fingerprint of the request, owned by the process.

    Entries report crashes to each other. Each crash has an identity, so it
    counts once, however often and in whatever order the reports arrive.
    """

    def __init__(self):
        self._records: collections.OrderedDict[int, _CrashRecord] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no crash is recorded."""
        return not self._records

    def record_crash(self, fingerprint: int, crash: int, now: float) -> int:
        """Records a crash.

        Args:
            fingerprint: Fingerprint of the request.
            crash: Random identity of the crash.
            now: Current time, seconds.

        Returns:
            The number of crashes that are recorded for the request.
        """
        record = self._records.setdefault(fingerprint, _CrashRecord(set(), now))
        record.crashes.add(crash)
        self._mark_seen(fingerprint, record, now)
        while len(self._records) > FINGERPRINTS_LIMIT:
            self._records.popitem(last=False)
        return len(record.crashes)

    def count_crashes(self, fingerprint: int) -> int:
        """Returns the number of crashes that are recorded for a request."""
        record = self._records.get(fingerprint)
        return len(record.crashes) if record is not None else 0

    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Returns whether a request must not be sent to a server.

        Crashes of the request are discarded here once their retention is over.

        Args:
            fingerprint: Fingerprint of the request.
            now: Current time, seconds.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return False
        if now - record.seen_at >= RETENTION_S:
            del self._records[fingerprint]
            return False
        self._mark_seen(fingerprint, record, now)
        return len(record.crashes) >= CRASH_LIMIT

    def list_crashes(self) -> dict[int, list[int]]:
        """Returns the identities of all crashes by fingerprint."""
        return {
            fingerprint: sorted(record.crashes)
            for fingerprint, record in self._records.items()
        }

    def _mark_seen(
        self, fingerprint: int, record: _CrashRecord, now: float
    ) -> None:
        record.seen_at = now
        self._records.move_to_end(fingerprint)
