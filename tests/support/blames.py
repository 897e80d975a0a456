"""A model of a request that crashes servers, among sound ones, without network.

It plays what entries record and report on copies of requests.
"""

import dataclasses
import random

from peridotyard_core import crashes
from peridotyard_core import fleet
from peridotyard_core import quarantines

from tests.support import fleets

DURATION_S = 60.0
STEP_S = 0.02
ENTRIES = 40
SERVERS = 40
PATH_SERVERS = 3
# Time for which a server is down after a crash.
DOWN_S = 4.0
# Sound streams that no other resembles, and copies of a few popular requests.
STREAMS_PER_S = 40.0
STREAM_S = 2.5
FIRST_EVENT_S = 0.2
POPULAR_PER_S = 20.0
POPULAR_S = 0.3
POPULAR_COUNT = 4
# The request that crashes servers, and the pause before it comes again.
FATAL = 1
FATAL_FROM_S = 2.0
FATAL_PAUSE_S = 3.0
# Time after which bounds hold for entries that reach each other.
CONTACT_S = 3.0
LATE_S = 2.0


@dataclasses.dataclass
class Run:
    """One attempt of a caller, at one entry.

    Attributes:
        entry: Index of the entry.
        fingerprint: Fingerprint of the request.
        path: Indexes of the servers.
        sent_at: Time of the last send, seconds.
        ends_at: Time at which the answer is complete; of the fatal request,
            the time of the crash.
        sends: Number of sends.
    """

    entry: int
    fingerprint: int
    path: list[int]
    sent_at: float
    ends_at: float
    sends: int = 1


@dataclasses.dataclass
class Outcome:
    """What a play shows.

    Attributes:
        crashed_at: Times of the crashes by the fatal request.
        reached_at: Begin of its attempts that reached servers.
        sound: Number of sound attempts.
        barred: Number of those that were refused or not resumed as quarantined.
    """

    crashed_at: list[float] = dataclasses.field(default_factory=list)
    reached_at: list[float] = dataclasses.field(default_factory=list)
    sound: int = 0
    barred: int = 0

    def count_late_retries(self) -> int:
        """Returns the retries that reached servers after the third crash."""
        if len(self.crashed_at) < 3:
            return 0
        bound = self.crashed_at[2] + CONTACT_S
        return sum(at > bound for at in self.reached_at)


class _Play:
    """State of one play; see `play`."""

    def __init__(self, seed, place, delay_s, sends, is_lossy):
        self.now = 0.0
        self.outcome = Outcome()
        self._place = place
        self._delay_s = delay_s
        self._sends = sends
        self._is_lossy = is_lossy
        self._random = random.Random(seed)
        self._known = [quarantines.Quarantine() for _ in range(ENTRIES)]
        # Reports on their way: time of arrival, entry, fingerprint, codes.
        self._reports: list[tuple[float, int, int, tuple[int, ...]]] = []
        self._runs: list[Run] = []
        self._down_until = [0.0] * SERVERS
        self._starts = [0] * SERVERS
        self._fatal_at = FATAL_FROM_S
        self._next_fingerprint = 1000
        # Callers that try again: time and fingerprint.
        self._again: list[tuple[float, int]] = []

    def draws(self, rate_per_s: float) -> bool:
        """Returns whether an event of a rate happens in this step."""
        return self._random.random() < STEP_S * rate_per_s

    def deliver_reports(self) -> None:
        """Applies the reports that have arrived."""
        due = [item for item in self._reports if item[0] <= self.now]
        self._reports = [item for item in self._reports if item[0] > self.now]
        for _, entry, fingerprint, codes in due:
            known = self._known[entry]
            if not codes:
                known.clear(fingerprint)
            for code in codes:
                crash = crashes.Crash.from_code(code)
                known.record_crash(fingerprint, crash, self.now)

    def _report(self, source: int, fingerprint: int, codes) -> None:
        for entry in range(ENTRIES):
            if entry == source:
                continue
            at = self.now + self._random.uniform(0.005, 0.05)
            draw = self._random.random()
            if self._is_lossy and draw < 0.1:
                at += self._random.uniform(0.0, LATE_S)
            elif self._is_lossy and draw < 0.15:
                # The connection breaks: the next one begins with all that is
                # known, and an answer is not reported again.
                at += LATE_S
                if not codes:
                    continue
                known = self._known[source].list_crashes()
                codes = [c.encode() for c in known.get(fingerprint, ())]
            self._reports.append((at, entry, fingerprint, tuple(codes)))

    def _share(self, run: Run) -> None:
        found = self._known[run.entry].share(run.fingerprint)
        if found:
            codes = [crash.encode() for crash in found]
            self._report(run.entry, run.fingerprint, codes)

    def _make_server(self, server: int) -> fleet.Server:
        return dataclasses.replace(
            fleets.make_server(f"s{server}"), started_at_ms=self._starts[server]
        )

    def crash(self, server: int | None = None) -> None:
        """Crashes a server, or any; its runs continue elsewhere."""
        if server is None:
            server = self._random.randrange(SERVERS)
        crashed = self._make_server(server)
        self._starts[server] += 1
        self._down_until[server] = self.now + DOWN_S
        lost = [run for run in self._runs if server in run.path]
        self._runs = [run for run in self._runs if server not in run.path]
        for run in lost:
            progress = crashes.Progress.STREAMING
            if self.now - run.sent_at < FIRST_EVENT_S:
                is_first = run.sends == 1
                progress = (
                    crashes.Progress.NOT_ANSWERED
                    if is_first
                    else crashes.Progress.RESUMED
                )
            finding = crashes.classify_loss([crashed], progress)
            known = self._known[run.entry]
            known.record_crash(
                run.fingerprint, finding.crash, self.now, is_shared=False
            )
            if not finding.crash.is_weak:
                self._share(run)
        self._random.shuffle(lost)
        for run in lost:
            self._resume(run)

    def _resume(self, run: Run) -> None:
        path = self._choose_path()
        is_barred = self._is_barred(run.entry, run.fingerprint)
        if path is None or is_barred or run.sends >= self._sends:
            self._share(run)
            if run.fingerprint == FATAL:
                self._fatal_at = self.now + FATAL_PAUSE_S
            else:
                self._again.append((self.now + 1.0, run.fingerprint))
            return
        left_s = run.ends_at - self.now
        if run.fingerprint == FATAL:
            left_s = self._delay_s
        run.path = path
        run.sends += 1
        run.sent_at = self.now
        run.ends_at = self.now + left_s
        self._runs.append(run)

    def _is_barred(self, entry: int, fingerprint: int) -> bool:
        is_barred = self._known[entry].is_quarantined(fingerprint, self.now)
        if fingerprint != FATAL:
            self.outcome.barred += is_barred
        return is_barred

    def _choose_path(self) -> list[int] | None:
        up = [n for n, at in enumerate(self._down_until) if at <= self.now]
        if len(up) < PATH_SERVERS:
            return None
        return self._random.sample(up, PATH_SERVERS)

    def finish_runs(self) -> None:
        """Ends the runs that are due; the fatal request crashes a server."""
        due = [run for run in self._runs if run.ends_at <= self.now]
        self._runs = [run for run in self._runs if run.ends_at > self.now]
        for run in due:
            if run.fingerprint != FATAL:
                if self._known[run.entry].clear(run.fingerprint):
                    self._report(run.entry, run.fingerprint, ())
                continue
            self.outcome.crashed_at.append(self.now)
            self._runs.append(run)
            self.crash(run.path[self._place])

    def send_sound(self, fingerprint: int | None, duration_s: float) -> None:
        """Sends a sound request; None for one that no other resembles."""
        if fingerprint is None:
            self._next_fingerprint += 1
            fingerprint = self._next_fingerprint
        entry = self._random.randrange(ENTRIES)
        self.outcome.sound += 1
        path = self._choose_path()
        if self._is_barred(entry, fingerprint) or path is None:
            return
        ends_at = self.now + duration_s
        self._runs.append(Run(entry, fingerprint, path, self.now, ends_at))

    def send_again(self) -> None:
        """Sends the requests whose callers try again."""
        due = [item for item in self._again if item[0] <= self.now]
        self._again = [item for item in self._again if item[0] > self.now]
        for _, fingerprint in due:
            is_popular = fingerprint <= FATAL + POPULAR_COUNT
            self.send_sound(fingerprint, POPULAR_S if is_popular else STREAM_S)

    def send_popular(self) -> None:
        """Sends a copy of one of the popular requests."""
        number = FATAL + 1 + self._random.randrange(POPULAR_COUNT)
        self.send_sound(number, POPULAR_S)

    def send_fatal(self) -> None:
        """Sends the fatal request if it is due."""
        if self.now < self._fatal_at:
            return
        self._fatal_at = float("inf")
        entry = self._random.randrange(ENTRIES)
        path = self._choose_path()
        if self._is_barred(entry, FATAL) or path is None:
            self._fatal_at = self.now + FATAL_PAUSE_S
            return
        self.outcome.reached_at.append(self.now)
        ends_at = self.now + self._delay_s
        self._runs.append(Run(entry, FATAL, path, self.now, ends_at))


def play(seed, *, place, delay_s, sends, is_lossy, other_crashes) -> Outcome:
    """Plays a request that crashes servers and comes again and again.

    Args:
        seed: Seed of the random choices.
        place: Index in its path of the server that it crashes.
        delay_s: Time after which it does; events come from `FIRST_EVENT_S` on.
        sends: Largest number of sends of one attempt.
        is_lossy: Whether some reports come late or are lost with their
            connection.
        other_crashes: Crashes a second that no request causes.
    """
    state = _Play(seed, place, delay_s, sends, is_lossy)
    while state.now < DURATION_S:
        state.now += STEP_S
        state.deliver_reports()
        state.finish_runs()
        if state.draws(other_crashes):
            state.crash()
        if state.draws(STREAMS_PER_S):
            state.send_sound(None, STREAM_S)
        if state.draws(POPULAR_PER_S):
            state.send_popular()
        state.send_again()
        state.send_fatal()
    return state.outcome
