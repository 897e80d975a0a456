"""Quarantine of requests that crash the backend servers that run them."""

import collections
import dataclasses
import hashlib

# Crashes of servers under one request after which it is not sent again. One or
# two are a coincidence where servers fail for other reasons.
CRASH_LIMIT = 3
# Time for which a crash is remembered after the request last came, seconds. A
# caller that repeats one request for longer has a pause between its attempts.
MEMORY_S = 600.0
# Fingerprints that are remembered; the oldest one is dropped for a new one.
# At some hundred bytes each they take less than a megabyte.
FINGERPRINTS_LIMIT = 4096


def fingerprint(target: str, workspace: str, body: bytes) -> int:
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


def describe(key: int) -> str:
    """Returns a fingerprint for the log."""
    return f"{key & (1 << 64) - 1:016x}"


@dataclasses.dataclass
class _Evidence:
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
        self._evidence: collections.OrderedDict[int, _Evidence] = (
            collections.OrderedDict()
        )

    @property
    def is_empty(self) -> bool:
        """Whether no crash is remembered."""
        return not self._evidence

    def record_crash(self, key: int, crash: int, now: float) -> int:
        """Adds a crash; returns how many are known.

        Args:
            key: Fingerprint of the request.
            crash: Identity of the crash, random.
            now: Time, seconds.
        """
        evidence = self._evidence.setdefault(key, _Evidence(set(), now))
        evidence.crashes.add(crash)
        self._touch(key, evidence, now)
        while len(self._evidence) > FINGERPRINTS_LIMIT:
            self._evidence.popitem(last=False)
        return len(evidence.crashes)

    def is_contained(self, key: int, now: float) -> bool:
        """Returns whether a request must not be sent to a server."""
        evidence = self._evidence.get(key)
        if evidence is None:
            return False
        if now - evidence.seen_at >= MEMORY_S:
            del self._evidence[key]
            return False
        self._touch(key, evidence, now)
        return len(evidence.crashes) >= CRASH_LIMIT

    def list_crashes(self) -> dict[int, list[int]]:
        """Returns all crashes by fingerprint."""
        return {
            key: sorted(evidence.crashes)
            for key, evidence in self._evidence.items()
        }

    def _touch(self, key: int, evidence: _Evidence, now: float) -> None:
        evidence.seen_at = now
        self._evidence.move_to_end(key)
