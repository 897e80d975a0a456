"""Quarantine of requests that crash the backend servers that run them."""

import collections
import dataclasses
import hashlib

# Crashes of servers under one request after which it is not sent again. One or
# two are a coincidence where servers fail for other reasons.
CRASH_LIMIT = 3
# Time for which a crash is remembered after the request last came, seconds. A
# caller that repeats one request for longer has a pause between its attempts.
RETENTION_S = 600.0
# Fingerprints that are remembered; the oldest one is dropped for a new one.
# At some hundred bytes each they take less than a megabyte.
FINGERPRINTS_LIMIT = 4096


def compute_fingerprint(target: str, workspace: str, body: bytes) -> int:
    """Returns what copies of a request have in common, as a signed 64-bit int.

    Args:
        target: Path and query.
        workspace: Name of the caller's workspace, empty if there is none.
        body: The whole body.
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (target.encode(), workspace.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big", signed=True)


def format_fingerprint(fingerprint: int) -> str:
    """Returns a fingerprint for the log."""
    return f"{fingerprint & (1 << 64) - 1:016x}"


@dataclasses.dataclass
class _CrashRecord:
    """Crashes under the copies of one request.

    Attributes:
        crashes: Identities of the crashes, from all entries.
        seen_at: Time at which a copy last came or crashed a server.
    """

    crashes: set[int]
    seen_at: float


class Quarantine:
    """Crashes by fingerprint, owned by the process.

    Entries tell each other their crashes. Each crash has an identity, so that
    it counts once however often and in which order it is told.
    """

    def __init__(self):
        self._records: collections.OrderedDict[int, _CrashRecord] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no crash is remembered."""
        return not self._records

    def record_crash(self, fingerprint: int, crash: int, now: float) -> int:
        """Adds a crash; returns how many are known.

        Args:
            fingerprint: Fingerprint of the request.
            crash: Identity of the crash, random.
            now: Time, seconds.
        """
        record = self._records.setdefault(fingerprint, _CrashRecord(set(), now))
        record.crashes.add(crash)
        self._mark_seen(fingerprint, record, now)
        while len(self._records) > FINGERPRINTS_LIMIT:
            self._records.popitem(last=False)
        return len(record.crashes)

    def is_quarantined(self, fingerprint: int, now: float) -> bool:
        """Returns whether a request must not be sent to a server."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        if now - record.seen_at >= RETENTION_S:
            del self._records[fingerprint]
            return False
        self._mark_seen(fingerprint, record, now)
        return len(record.crashes) >= CRASH_LIMIT

    def list_crashes(self) -> dict[int, list[int]]:
        """Returns all crashes by fingerprint."""
        return {
            fingerprint: sorted(record.crashes)
            for fingerprint, record in self._records.items()
        }

    def _mark_seen(
        self, fingerprint: int, record: _CrashRecord, now: float
    ) -> None:
        record.seen_at = now
        self._records.move_to_end(fingerprint)
