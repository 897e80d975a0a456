"""Model of many entries that share the capacity of one service."""

import collections
import dataclasses
import heapq
import itertools
import math
import random as random_module

from peridotyard_core import demands
from peridotyard_core import shares

SERVICE = "model"
ENTRIES = 40
SERVERS = 20
# Streams that a server takes.
SERVER_CAPACITY = 10
# Time in which a rejected caller returns, unless it retries immediately.
RETRY_S = 1.0
RETRIES = 3
# Servers to which an entry sends a request that full ones reject.
SENDS = 3
REPORT_INTERVAL_S = 0.5
REFRESH_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True)
class Source:
    """Callers of one priority and workspace.

    Attributes:
        priority: Their priority.
        workspace: Their workspace.
        rate_per_s: Requests per second in the whole fleet.
        surge: Factor on the rate during the surge.
        retry_s: Time after which a rejected one returns.
        retries: Number of times that it returns.
    """

    priority: int
    workspace: str
    rate_per_s: float
    surge: float = 1.0
    retry_s: float = RETRY_S
    retries: int = RETRIES


@dataclasses.dataclass(frozen=True)
class Faults:
    """Disturbances of the messages between entries.

    Attributes:
        lost: Share of the messages that are lost.
        delay_s: Longest delay of a message, by which they are reordered.
    """

    lost: float = 0.0
    delay_s: float = 0.1


@dataclasses.dataclass
class Result:
    """Outcome of the requests of one source during the surge."""

    offered: int = 0
    served: int = 0
    rejections: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that were served at last."""
        return self.served / max(1, self.offered)


class _Entry:
    """One entry of the model."""

    def __init__(self, name):
        self.name = name
        self.meters = demands.Meters(0.0)
        self.loads = collections.Counter()
        self.peer_loads = {}
        self.reports = {}
        self.shares = shares.NOTHING_WITHHELD
        self.refreshed_at = float("-inf")
        self.pacers = collections.defaultdict(shares.Pacer)
        self.parts = {}


class Model:
    """Entries, servers and callers on a virtual clock."""

    def __init__(
        self,
        sources,
        seed=1,
        faults=Faults(),
        shares_capacity=True,
        mean_duration_s=2.0,
        surge=(10.0, 24.0),
        lost_servers=0,
        began_at=0.0,
        isolated=0,
    ):
        """Creates a model.

        Args:
            sources: Callers.
            seed: Seed of the random choices.
            faults: Disturbances of the messages.
            shares_capacity: Whether the entries withhold capacity.
            mean_duration_s: Mean duration of a stream.
            surge: Begin and end of the surge.
            lost_servers: Servers that are lost when it begins.
            began_at: Time at which the callers begin.
            isolated: Number of entries without messages.
        """
        self.random = random_module.Random(seed)
        self.sources = sources
        self.faults = faults
        self.shares_capacity = shares_capacity
        self.mean_duration_s = mean_duration_s
        self.surge = surge
        self.lost_servers = lost_servers
        self.began_at = began_at
        self.isolated = isolated
        self.entries = [_Entry(f"e{n}") for n in range(ENTRIES)]
        self.servers = [f"s{n}" for n in range(SERVERS)]
        self.used = collections.Counter()
        self.most_used = 0
        self.withheld = []
        self.results = collections.defaultdict(Result)
        self._events = []
        self._order = itertools.count()

    def run(self, duration_s=30.0):
        """Runs the model and returns the results by source."""
        for source in self.sources:
            self._at(self.began_at, self._arrive, source)
        for entry in self.entries:
            self._at(self.random.random() / 2, self._report, entry)
        if self.lost_servers:
            self._at(self.surge[0], self._lose_servers)
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            if now > duration_s:
                break
            function(now, *arguments)
            self.most_used = max(self.most_used, sum(self.used.values()))
        return self.results

    def _at(self, time, function, *arguments):
        heapq.heappush(
            self._events, (time, next(self._order), function, arguments)
        )

    def _lose_servers(self, _):
        lost, self.servers = (
            self.servers[: self.lost_servers],
            self.servers[self.lost_servers :],
        )
        for server in lost:
            self.used.pop(server, None)

    def _arrive(self, now, source):
        factor = source.surge if self._is_surge(now) else 1.0
        rate_per_s = source.rate_per_s * factor
        self._at(
            now + self.random.expovariate(rate_per_s), self._arrive, source
        )
        counts = self._is_surge(now)
        if counts:
            self.results[source].offered += 1
        self._request(now, source, source.retries, counts)

    def _is_surge(self, now):
        return self.surge[0] <= now < self.surge[1]

    def _request(self, now, source, retries, counts):
        entry = self.random.choice(self.entries)
        key = demands.Key(SERVICE, source.priority, source.workspace)
        entry.meters.record_arrival(key, now)
        self._refresh(entry, now)
        server = None
        pacer = entry.pacers[source.priority]
        pace_per_s = entry.shares.get_pace(source.priority, source.workspace)
        pace_per_s *= entry.parts.get(source.priority, 1.0)
        if pacer.may_begin(pace_per_s, now):
            server = self._find_place(entry, source)
        if server is not None:
            pacer.record_begin()
            duration_s = self.random.expovariate(1 / self.mean_duration_s)
            duration_s = min(max(duration_s, 0.2), 10.0)
            self.used[server] += 1
            entry.loads[server] += 1
            entry.meters.begin_stream(key, now)
            self._at(
                now + duration_s, self._end, entry, server, key, duration_s
            )
            self.results[source].served += counts
            return
        self.results[source].rejections += counts
        if retries:
            self._at(
                now + source.retry_s * (1 + 0.3 * self.random.random()),
                self._request,
                source,
                retries - 1,
                counts,
            )

    def _find_place(self, entry, source):
        """Returns a server that accepts a stream, None if there is none."""
        loads = collections.Counter(entry.loads)
        for counts in entry.peer_loads.values():
            loads.update(counts)
        withheld = entry.shares.get_withheld(source.priority, source.workspace)
        usable = [
            server
            for server in self.servers
            if not shares.exceeds_share(
                loads[server], SERVER_CAPACITY, withheld, server
            )
        ]
        for _ in range(min(SENDS, len(usable))):
            # The entries do not choose the same server at the same time.
            pair = self.random.sample(usable, min(2, len(usable)))
            server = min(pair, key=loads.__getitem__)
            # A server that is full rejects, whatever the entry knows.
            if self.used[server] < SERVER_CAPACITY:
                return server
            usable.remove(server)
        return None

    def _end(self, _, entry, server, key, duration_s):
        if server in self.servers:
            self.used[server] -= 1
        entry.loads[server] -= 1
        entry.meters.end_stream(key, duration_s)

    def _refresh(self, entry, now):
        if not self.shares_capacity:
            return
        if now - entry.refreshed_at < REFRESH_INTERVAL_S:
            return
        entry.refreshed_at = now
        known = [
            dataclasses.replace(report, age_s=now - sent_at)
            for report, sent_at in entry.reports.values()
        ]
        own = entry.meters.make_report(now)
        total = demands.sum_reports([own, *known])
        total = demands.extrapolate(total, ENTRIES)
        capacity = shares.compute_capacity(
            [(0, 1, len(self.servers), SERVER_CAPACITY)], 1
        )
        entry.shares = shares.compute_shares(total.figures, SERVICE, capacity)
        entry.parts = {
            level: demands.compute_part(own, total, demands.Key(SERVICE, level))
            for level in entry.shares.paces_per_s
        }
        self.withheld.append((now, dict(entry.shares.withheld), total))

    def _report(self, now, entry):
        self._at(now + REPORT_INTERVAL_S, self._report, entry)
        report = entry.meters.make_report(now)
        loads = collections.Counter(entry.loads)
        number = self.entries.index(entry)
        for other_number, other in enumerate(self.entries):
            if other is entry or min(number, other_number) < self.isolated:
                continue
            if self.random.random() < self.faults.lost:
                continue
            delay_s = self.random.uniform(0.001, self.faults.delay_s)
            # Loads travel in the same messages.
            self._at(now + delay_s, self._receive, other, entry, report, loads)

    def _receive(self, now, entry, sender, report, loads):
        entry.reports[sender.name] = (report, now)
        entry.peer_loads[sender.name] = loads


def summarize(results):
    """Returns offered and served requests over all sources."""
    offered = sum(result.offered for result in results.values())
    served = sum(result.served for result in results.values())
    return served / max(1, offered), math.fsum(
        result.rejections for result in results.values()
    )
