"""Quarantine of requests that crash the backend servers that run them.

A request whose copies have crashed several servers is not sent to a server
again. Copies of a request are recognised by a fingerprint.

All requests that a server ran are suspected of its crash. The answer of a
server to any copy clears a request. Of the others, a request that was on the
crashed servers whenever another one was, explains the crashes of that one.
"""

import collections
import collections.abc
import dataclasses
import hashlib

from peridotyard_core import crashes as crashes_module

# Number of crashes after which a request is quarantined. One or two crashes may
# be a coincidence, since servers fail for other reasons too.
CRASH_LIMIT = 3
# Number of crashes after which a request is quarantined if servers crashed some
# time after they had begun to run it. Streams in progress are on several
# servers for seconds, and lose them for other reasons as well.
WEAK_CRASH_LIMIT = 5
# Number of crashes after which a request is quarantined although another one
# explains them. It bounds the retries of a request whose crashes coincide with
# those of another: three more after its third crash.
EXPLAINED_CRASH_LIMIT = 6
# Time for which crashes are kept after a copy of the request was last received,
# seconds. Each copy restarts it, so a request that a caller keeps repeating
# stays quarantined if the pauses between its attempts are shorter.
RETENTION_S = 600.0
# Largest number of fingerprints that are kept; the least recently seen one is
# discarded for a new one. At some hundred bytes each they take less than 1 MB.
FINGERPRINTS_LIMIT = 4096
# Largest number of crashes before an answer that are kept for one request.
CLEARED_LIMIT = 16


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
class _Record:
    """Crashes of servers that ran copies of one request.

    Attributes:
        seen_at: Time at which a copy was last received or crashed a server,
            seconds.
        crashes: By identity, whether the evidence is weak, see
            `crashes.Crash`; only those since the last answer.
        cleared: Identities of crashes before an answer that other entries were
            told; their reports may still arrive.
        unshared: Identities of crashes that other entries were not told.
    """

    seen_at: float
    crashes: dict[int, bool] = dataclasses.field(default_factory=dict)
    cleared: set[int] = dataclasses.field(default_factory=set)
    unshared: set[int] = dataclasses.field(default_factory=set)


class Quarantine:
    """Crashes by fingerprint of the request, owned by the process.

    Entries report crashes to each other. Each crash has an identity, so it
    counts once, however often and in whatever order the reports arrive.
    """

    def __init__(self):
        self._records: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )
        # Fingerprints of the requests that are suspected of each crash.
        self._suspects: dict[int, set[int]] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no crash is recorded."""
        return not self._records

    def record_crash(
        self,
        fingerprint: int,
        crash: crashes_module.Crash,
        now: float,
        is_shared: bool = True,
    ) -> bool:
        """Records a crash of a server that ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            crash: The crash.
            now: Current time, seconds.
            is_shared: Whether the other entries are told, or reported it.

        Returns:
            Whether it was not known.
        """
        record = self._records.setdefault(fingerprint, _Record(now))
        self._mark_seen(fingerprint, record, now)
        if crash.id in record.cleared:
            return False
        is_known_weak = record.crashes.get(crash.id)
        if is_known_weak is not None and is_known_weak <= crash.is_weak:
            return False
        record.crashes[crash.id] = crash.is_weak
        self._suspects.setdefault(crash.id, set()).add(fingerprint)
        if is_shared:
            record.unshared.discard(crash.id)
        else:
            record.unshared.add(crash.id)
        if len(self._records) > FINGERPRINTS_LIMIT:
            self._discard_oldest()
        return True

    def clear(self, fingerprint: int) -> bool:
        """Discards the crashes of a request that a server has answered.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            Whether other entries know of any of them.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return False
        shared = record.crashes.keys() - record.unshared
        record.cleared |= shared
        while len(record.cleared) > CLEARED_LIMIT:
            record.cleared.pop()
        self._forget(fingerprint, record)
        if not record.cleared:
            del self._records[fingerprint]
        return bool(shared)

    def share(self, fingerprint: int) -> list[crashes_module.Crash]:
        """Returns the crashes that other entries have to be told now."""
        record = self._records.get(fingerprint)
        if record is None or not record.unshared:
            return []
        found = [
            crashes_module.Crash(crash, record.crashes[crash])
            for crash in sorted(record.unshared)
        ]
        record.unshared.clear()
        return found

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
            self._forget(fingerprint, record)
            del self._records[fingerprint]
            return False
        self._mark_seen(fingerprint, record, now)
        count = len(record.crashes)
        if count >= EXPLAINED_CRASH_LIMIT:
            return True
        strong = count - sum(record.crashes.values())
        if strong < CRASH_LIMIT and count < WEAK_CRASH_LIMIT:
            return False
        return not self._is_explained(fingerprint, record)

    def list_crashes(self) -> dict[int, list[crashes_module.Crash]]:
        """Returns the crashes that all entries know of, by fingerprint."""
        return {
            fingerprint: shared
            for fingerprint, record in self._records.items()
            if (
                shared := [
                    crashes_module.Crash(crash, is_weak)
                    for crash, is_weak in sorted(record.crashes.items())
                    if crash not in record.unshared
                ]
            )
        }

    def _is_explained(self, fingerprint: int, record: _Record) -> bool:
        """Returns whether another request is suspected of the same crashes."""
        others = set.intersection(
            *(self._suspects[crash] for crash in record.crashes)
        )
        return bool(others - {fingerprint})

    def _forget(self, fingerprint: int, record: _Record) -> None:
        """Discards the crashes of a record."""
        for crash in record.crashes:
            self._suspects[crash].discard(fingerprint)
            if not self._suspects[crash]:
                del self._suspects[crash]
        record.crashes.clear()
        record.unshared.clear()

    def _discard_oldest(self) -> None:
        """Discards a record, those with more than one crash last."""
        oldest = next(iter(self._records))
        single = (f for f, r in self._records.items() if len(r.crashes) <= 1)
        fingerprint = next(single, oldest)
        self._forget(fingerprint, self._records[fingerprint])
        del self._records[fingerprint]

    def _mark_seen(self, fingerprint: int, record: _Record, now: float) -> None:
        record.seen_at = now
        self._records.move_to_end(fingerprint)
