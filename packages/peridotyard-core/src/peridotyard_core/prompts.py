"""Quarantine of parts of prompts that crash the backend servers.

Requests share parts of their prompts, such as instructions or documents. A part
may crash each server that begins to answer a request with it. These requests
differ otherwise, so that `quarantines`, which recognises copies of a request,
does not stop them.

Each crash makes the parts of all requests suspect that the server was about to
answer; each answer that begins clears the parts of its request. A part is
quarantined once crashes have followed each other without an answer in between.
"""

import collections
import dataclasses
import hashlib
import math

# Number of successive crashes after which a part is quarantined. Servers that
# are lost together, as in a power failure, count as one.
SUCCESSION_LIMIT = 3
# Doublings of the duration of a quarantine, beyond which it is the longest.
MAX_DOUBLINGS = 64
# Number of crashes after which two in succession are enough.
CRASHES_LIMIT = 5
# Largest probability that a sound part is involved in that many successive
# crashes by coincidence. Where servers crash for other reasons all the time,
# it takes more crashes to identify a part.
COINCIDENCE_LIMIT = 0.02
# Assumed rate of losses of other requests, which weighs as much as one request.
LOSS_RATE_PRIOR = 0.1
# Time after which past answers and losses count 1/e, seconds. It is long
# against the second or two in which a part is identified.
LOSS_RATE_WINDOW_S = 10.0
# Duration of a quarantine after the last crash, seconds. It doubles with each
# further successive crash, up to the maximum. Afterwards, requests with the
# part are sent again, since a sound part that was quarantined by coincidence
# cannot be cleared otherwise.
QUARANTINE_MIN_S = 120.0
QUARANTINE_MAX_S = 600.0
# Time after the last crash for which a part stays suspect, seconds. It exceeds
# the longest quarantine, so that the next crash starts another one at once.
RETENTION_S = 2 * QUARANTINE_MAX_S
# Largest number of suspect parts; the one with the oldest last crash is
# discarded for a new one. With `RECORDED_CRASHES` they take about 2 MB.
PARTS_LIMIT = 1024
# Largest number of crashes that are recorded for one part.
RECORDED_CRASHES = 16


def compute_part_fingerprint(service: str, part: str) -> int:
    """Returns the hash that identifies a part of a prompt.

    Args:
        service: Service that answers the request.
        part: The caller's identifier of the part.

    Returns:
        A signed 64-bit integer.
    """
    text = f"{service}\0{part}"
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big", signed=True)


@dataclasses.dataclass(frozen=True)
class Suspicion:
    """One part of the prompt of a request whose server crashed.

    Attributes:
        part: Fingerprint of the part.
        crash: Identity of the crash, see `crashes.compute_id`.
        succession: Number of crashes that followed each other, this one
            included: one more than was known for the part when the request was
            sent. It is an order without clocks, as in Lamport timestamps.
        depth: Position of the part in the prompt, from 0.
        age_s: Time since the last crash of the part when this was reported,
            seconds. Otherwise, entries that start would keep it alive for good.
    """

    part: int
    crash: int
    succession: int
    depth: int
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What entries report to each other.

    Attributes:
        suspicions: Parts of requests whose servers crashed.
        cleared: Parts with which a server has begun an answer.
        confirmed: Suspect parts whose crashes are no coincidence, as an entry
            has found from the other requests that it has seen.
    """

    suspicions: tuple[Suspicion, ...] = ()
    cleared: tuple[int, ...] = ()
    confirmed: tuple[int, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether it says nothing."""
        return not (self.suspicions or self.cleared or self.confirmed)


@dataclasses.dataclass
class _Record:
    """Crashes under requests with one part, since its last answer.

    Attributes:
        crashes: Succession by identity of the crash.
        depth: Position of the part in the prompt, from 0.
        crashed_at: Time of the last crash, seconds.
        answers_before: Number of answers of this entry before the first crash.
        losses: Number of requests of this entry with the part that were lost.
    """

    crashes: dict[int, int]
    depth: int
    crashed_at: float
    answers_before: int
    losses: int = 0

    @property
    def succession(self) -> int:
        """Number of crashes that followed each other."""
        return max(self.crashes.values())

    @property
    def is_repeated(self) -> bool:
        """Whether a crash followed another one."""
        return len(set(self.crashes.values())) > 1


class PartQuarantine:
    """Suspect parts of prompts and those in quarantine, owned by the process.

    Entries report suspicions and cleared parts to each other. Reports may
    arrive several times and in any order: a crash counts once, and a report of
    a cleared part that overtakes one of an earlier crash is repeated with the
    next answer.
    """

    def __init__(self):
        self._records: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )
        # Parts with a crash that followed another one; only these can be
        # quarantined. Most suspect parts have had one crash.
        self._repeated: set[int] = set()
        # Parts whose crashes are no coincidence.
        self._confirmed: set[int] = set()
        # Time until which each quarantined part is not sent to servers.
        self._quarantined_until: dict[int, float] = {}
        # Requests of this entry whose answer began, or whose server crashed
        # before, weighted by their age.
        self._answers = 0.0
        self._losses = 0.0
        self._counted_at = 0.0
        self._answer_count = 0
        # Whether successive crashes are recorded for a part that is not
        # quarantined for lack of other evidence.
        self._is_undecided = False

    def get_succession(self, part: int) -> int:
        """Returns the number of successive crashes known for a part."""
        record = self._records.get(part)
        return record.succession if record is not None else 0

    def count_crashes(self, part: int) -> int:
        """Returns the number of crashes that are recorded for a part."""
        record = self._records.get(part)
        return len(record.crashes) if record is not None else 0

    def count_answer(self, now: float) -> None:
        """Counts a request of this entry whose answer began.

        Args:
            now: Current time, seconds.
        """
        self._age_counts(now)
        self._answers += 1
        self._answer_count += 1
        if self._is_undecided:
            self._update_quarantined()

    def count_loss(self, parts: tuple[int, ...], now: float) -> None:
        """Counts a request of this entry whose server crashed before.

        Args:
            parts: Fingerprints of the parts of its prompt, after `apply`.
            now: Current time, seconds.
        """
        self._age_counts(now)
        self._losses += 1
        for part in parts:
            if part in self._records:
                self._records[part].losses += 1
        self._update_quarantined()

    def _age_counts(self, now: float) -> None:
        weight = math.exp((self._counted_at - now) / LOSS_RATE_WINDOW_S)
        self._counted_at = now
        self._answers *= weight
        self._losses *= weight

    def find_remaining_s(self, parts: tuple[int, ...], now: float) -> float:
        """Returns the time for which a request must not be sent.

        Args:
            parts: Fingerprints of the parts of its prompt.
            now: Current time, seconds.

        Returns:
            Seconds until the quarantine of the last of its parts ends; 0 if
            none is in quarantine.
        """
        if not self._quarantined_until:
            return 0.0
        untils = (self._quarantined_until.get(part, now) for part in parts)
        return max(0.0, max(untils, default=now) - now)

    def list_quarantined(self, now: float) -> list[int]:
        """Returns the fingerprints of the parts in quarantine."""
        return sorted(
            part
            for part, until in self._quarantined_until.items()
            if now < until
        )

    def list_confirmed(self) -> frozenset[int]:
        """Returns the parts whose suspicion is confirmed."""
        return frozenset(self._confirmed)

    def apply(self, evidence: Evidence, now: float) -> Evidence:
        """Applies evidence of this or another entry.

        Args:
            evidence: The evidence.
            now: Current time, seconds.

        Returns:
            The part of it that was not known.
        """
        self._discard_expired(now)
        news = Evidence(
            tuple(s for s in evidence.suspicions if self._suspect(s, now)),
            tuple(part for part in evidence.cleared if self._remove(part)),
            tuple(
                part
                for part in evidence.confirmed
                if part in self._records and part not in self._confirmed
            ),
        )
        self._confirmed.update(news.confirmed)
        if not news.is_empty:
            self._update_quarantined()
        return news

    def make_evidence(self, now: float) -> Evidence:
        """Returns all that is recorded, for another entry.

        Args:
            now: Current time, seconds.
        """
        self._discard_expired(now)
        suspicions = tuple(
            Suspicion(
                part, crash, succession, record.depth, now - record.crashed_at
            )
            for part, record in self._records.items()
            for crash, succession in record.crashes.items()
        )
        return Evidence(suspicions, confirmed=tuple(self._confirmed))

    def _suspect(self, suspicion: Suspicion, now: float) -> bool:
        """Records a suspicion; returns whether it was not known."""
        if suspicion.age_s >= RETENTION_S:
            return False
        crashed_at = now - suspicion.age_s
        record = self._records.setdefault(
            suspicion.part,
            _Record({}, suspicion.depth, crashed_at, self._answer_count),
        )
        known = record.crashes.get(suspicion.crash, 0)
        # Of several requests on the server, the last one was sent with the
        # most knowledge. The order of their reports does not matter.
        if suspicion.succession <= known:
            return False
        if not known:
            record.crashed_at = max(record.crashed_at, crashed_at)
            if len(record.crashes) >= RECORDED_CRASHES:
                del record.crashes[next(iter(record.crashes))]
        record.crashes[suspicion.crash] = suspicion.succession
        if record.is_repeated:
            self._repeated.add(suspicion.part)
        self._records.move_to_end(suspicion.part)
        if len(self._records) > PARTS_LIMIT:
            oldest = next(iter(self._records))
            unconfirmed = (p for p in self._records if p not in self._confirmed)
            self._remove(next(unconfirmed, oldest))
        return True

    def _remove(self, part: int) -> bool:
        """Discards what is known of a part; returns whether it was suspect."""
        self._repeated.discard(part)
        self._confirmed.discard(part)
        return self._records.pop(part, None) is not None

    def _is_coincidence(self, record: _Record, successive: int) -> bool:
        """Returns whether a part may be involved in crashes by coincidence.

        Args:
            record: Record of the part.
            successive: Number of successive crashes.
        """
        if self._answer_count == record.answers_before:
            # Nothing was answered since the first crash, so that the cause may
            # as well be one that affects all requests.
            return True
        losses = max(0.0, self._losses - record.losses)
        loss_rate = (losses + LOSS_RATE_PRIOR) / (self._answers + losses + 1)
        return loss_rate**successive > COINCIDENCE_LIMIT

    def _discard_expired(self, now: float) -> None:
        while self._records:
            part, record = next(iter(self._records.items()))
            if now - record.crashed_at < RETENTION_S:
                return
            self._remove(part)

    def _get_weight(self, part: int) -> tuple[int, int, int]:
        """Returns the sort key of a part in `_update_quarantined`."""
        record = self._records[part]
        return len(record.crashes), record.depth, part

    def _update_quarantined(self) -> None:
        """Computes the parts that explain the crashes.

        A crash that one part explains is no evidence against others: the
        requests with a part that crashes servers have other parts too, and so
        do the sound requests that were on the same servers. The part with the
        most crashes comes first, and of equal ones the deepest, since requests
        share the first parts of their prompts more than the later ones.
        """
        self._quarantined_until = {}
        self._is_undecided = False
        explained: set[int] = set()
        for part in sorted(self._repeated, key=self._get_weight, reverse=True):
            record = self._records[part]
            unexplained = [
                succession
                for crash, succession in record.crashes.items()
                if crash not in explained
            ]
            # Crashes of the same succession may have one other cause.
            successive = len(set(unexplained))
            is_evident = successive >= SUCCESSION_LIMIT or (
                successive > 1 and len(unexplained) >= CRASHES_LIMIT
            )
            if not is_evident:
                continue
            if part not in self._confirmed and self._is_coincidence(
                record, successive
            ):
                self._is_undecided = True
            else:
                self._confirmed.add(part)
                explained |= record.crashes.keys()
                self._quarantined_until[part] = (
                    record.crashed_at + _compute_duration(successive)
                )


def _compute_duration(successive: int) -> float:
    """Returns the duration of a quarantine after the last crash, seconds.

    Args:
        successive: Number of crashes that followed each other.
    """
    doublings = min(max(0, successive - SUCCESSION_LIMIT), MAX_DOUBLINGS)
    return min(QUARANTINE_MIN_S * 2**doublings, QUARANTINE_MAX_S)
