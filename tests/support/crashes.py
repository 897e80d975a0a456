"""A model of requests, some of which crash the servers that answer them.

It plays the evidence that entries collect on parts of prompts, without network.
"""

import dataclasses
import random

from peridotyard_core import prompts

DURATION_S = 30.0
STEP_S = 0.01
REQUESTS_PER_S = 40.0
# Mean number of requests in one play.
REQUESTS = DURATION_S * REQUESTS_PER_S
# The part that crashes servers, and the time of the first requests with it.
FATAL = 2
FATAL_FROM_S = 1.0
# Time for which a server is down after a crash.
DOWN_S = 3.0


@dataclasses.dataclass(frozen=True)
class Run:
    """One request on a server.

    Attributes:
        entry: Index of the entry that sent it.
        server: Index of the server.
        parts: Parts of its prompt.
        successions: What the entry knew of each part when it sent the request.
        begins_at: Time at which its answer begins, seconds.
    """

    entry: int
    server: int
    parts: tuple[int, ...]
    successions: tuple[int, ...]
    begins_at: float


class _Play:
    """State of one play; see `play`."""

    def __init__(self, seed, entries, servers):
        self.now = 0.0
        self.crashed_at: list[float] = []
        self.sent_at: list[float] = []
        self.refused = 0
        self._random = random.Random(seed)
        self._known = [prompts.PartQuarantine() for _ in range(entries)]
        # Evidence on its way, with the time of arrival and the entry.
        self._reports: list[tuple[float, int, prompts.Evidence]] = []
        self._confirmed = [frozenset()] * entries
        self._runs: list[Run] = []
        self._down_until = [0.0] * servers
        self._crashes = 0

    def draws(self, rate_per_s: float) -> bool:
        """Returns whether an event of a rate happens in this step."""
        return self._random.random() < STEP_S * rate_per_s

    def crash(self, server: int | None = None) -> None:
        """Crashes a server, or any; its runs are lost."""
        if server is None:
            server = self._random.randrange(len(self._down_until))
        self._crashes += 1
        self._down_until[server] = self.now + DOWN_S
        lost = [run for run in self._runs if run.server == server]
        self._runs = [run for run in self._runs if run.server != server]
        for run in lost:
            pairs = zip(run.parts, run.successions, strict=True)
            for depth, (part, succession) in enumerate(pairs):
                suspicion = prompts.Suspicion(
                    part, self._crashes, succession + 1, depth
                )
                evidence = prompts.Evidence((suspicion,))
                self._known[run.entry].apply(evidence, self.now)
                self._report(run.entry, evidence)
            self._known[run.entry].count_loss(run.parts, self.now)

    def _report(self, source: int, evidence: prompts.Evidence) -> None:
        for entry in range(len(self._known)):
            if entry != source:
                at = self.now + self._random.uniform(0.005, 0.05)
                self._reports.append((at, entry, evidence))

    def confirm_suspicions(self) -> None:
        """Reports what the entries have confirmed since the last call."""
        for entry, known in enumerate(self._known):
            confirmed = known.list_confirmed()
            for part in confirmed - self._confirmed[entry]:
                self._report(entry, prompts.Evidence(confirmed=(part,)))
            self._confirmed[entry] = confirmed

    def deliver_reports(self) -> None:
        """Applies the evidence that has arrived."""
        due = [item for item in self._reports if item[0] <= self.now]
        self._reports = [item for item in self._reports if item[0] > self.now]
        for _, entry, evidence in due:
            self._known[entry].apply(evidence, self.now)

    def begin_answers(self) -> None:
        """Begins the answers that are due; a fatal part crashes the server."""
        while due := [run for run in self._runs if run.begins_at <= self.now]:
            run = due[0]
            if FATAL in run.parts:
                self.crashed_at.append(self.now)
                self.crash(run.server)
                continue
            self._runs.remove(run)
            known = self._known[run.entry]
            known.count_answer(self.now)
            evidence = prompts.Evidence(cleared=run.parts)
            news = known.apply(evidence, self.now)
            if not news.is_empty:
                self._report(run.entry, news)

    def send_request(self, fatal_share: float, depth: int) -> None:
        """Sends one request to a server, or refuses it."""
        is_fatal = (
            self.now > FATAL_FROM_S and self._random.random() < fatal_share
        )
        # A few instructions that many requests share, and many sessions.
        parts = (
            100 + self._random.randrange(8),
            1000 + self._random.randrange(60),
        )
        if is_fatal:
            parts = (*parts[:depth], FATAL, *parts[depth:])
        entry = self._random.randrange(len(self._known))
        known = self._known[entry]
        if known.find_remaining_s(parts, self.now):
            self.refused += not is_fatal
            return
        up = [n for n, at in enumerate(self._down_until) if at <= self.now]
        if not up:
            return
        if is_fatal:
            self.sent_at.append(self.now)
        successions = tuple(known.get_succession(part) for part in parts)
        begins_at = self.now + self._random.uniform(0.05, 0.25)
        server = self._random.choice(up)
        self._runs.append(Run(entry, server, parts, successions, begins_at))


def play(seed, *, share, entries, servers, depth, other_crashes):
    """Plays requests of which a share has a part that crashes servers.

    Args:
        seed: Seed of the random choices.
        share: Share of the requests with the fatal part. 0.3 of one kind of
            request are at most 0.15 of all.
        entries: Number of entries.
        servers: Number of servers.
        depth: Position of the fatal part in the prompt.
        other_crashes: Crashes a second that no request causes.

    Returns:
        The times of the crashes by the fatal part, the times at which requests
        with it were sent, and the number of sound requests that were refused.
    """
    state = _Play(seed, entries, servers)
    while state.now < DURATION_S:
        state.now += STEP_S
        state.deliver_reports()
        state.begin_answers()
        state.confirm_suspicions()
        if state.draws(other_crashes):
            state.crash()
        if state.draws(REQUESTS_PER_S):
            state.send_request(share, depth)
    return state.crashed_at, state.sent_at, state.refused
