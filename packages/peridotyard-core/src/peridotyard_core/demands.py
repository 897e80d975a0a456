"""Demand for the capacity of services, measured by all entries together.

An entry measures arrivals and streams in progress by service, priority and
workspace. Reports of several entries are summed with weights that fall with
their age, and stand for the entries that no report covers, see
docs/design/capacity-shares.md.
"""

import collections.abc
import dataclasses
import heapq
import math
import typing

# Number of priorities of a request; 0 is the most urgent.
LEVELS = 10
# Time constant of the measured arrival rate. Two seconds of random arrivals in
# a fleet with 40 requests per second vary by a ninth; a surge shows in half of
# its size after two seconds.
ARRIVALS_TIME_CONSTANT_S = 3.0
# Shortest time over which a rate is computed. Without it, the first request of
# a process would appear as a high rate.
RATE_TIME_MIN_S = 1.0
# Weight of the newest duration in the mean duration of streams; more for the
# first ones, so that each of them counts alike.
DURATION_SMOOTHING = 0.1
# Workspaces that are measured for each priority of a service, and those of them
# that are reported. Bounds the memory and the messages of an entry.
MEASURED_WORKSPACES = 64
REPORTED_WORKSPACES = 8
# Age up to which a report has its full weight: two intervals in which members
# and hubs report, and the age from which on it has none.
FULL_WEIGHT_AGE_S = 1.0
NO_WEIGHT_AGE_S = 3.0
# Decayed number of arrivals below which a measurement is dropped, about a
# minute after the last request.
UNUSED_COUNT = 1e-9
# Figures below this are not reported; rates decay and never reach 0.
NEGLIGIBLE = 0.001


class Key(typing.NamedTuple):
    """What figures are about.

    Attributes:
        service: Name of the service.
        priority: Level of the requests.
        workspace: Name of the workspace; None for all of them together.
    """

    service: str
    priority: int
    workspace: str | None = None


@dataclasses.dataclass(frozen=True)
class Figures:
    """Demand of some requests.

    Attributes:
        arrivals_per_s: Requests per second, rejected ones included.
        needed: Streams that would be in progress if all requests were served:
            arrivals per second times the mean duration of a stream.
        in_progress: Streams in progress.
    """

    arrivals_per_s: float = 0.0
    needed: float = 0.0
    in_progress: float = 0.0

    def add(self, other: "Figures", weight: float = 1.0) -> "Figures":
        """Returns the sum with other figures.

        Args:
            other: The other figures.
            weight: Factor on the other figures.
        """
        return Figures(
            max(0.0, self.arrivals_per_s + weight * other.arrivals_per_s),
            max(0.0, self.needed + weight * other.needed),
            max(0.0, self.in_progress + weight * other.in_progress),
        )

    @property
    def is_negligible(self) -> bool:
        """Whether there is practically no demand."""
        return (
            max(self.arrivals_per_s, self.needed, self.in_progress) < NEGLIGIBLE
        )

    @property
    def release_rate_per_s(self) -> float:
        """Streams in progress that end per second; 0 if unknown."""
        if self.needed < NEGLIGIBLE:
            return 0.0
        return self.in_progress * self.arrivals_per_s / self.needed


NO_DEMAND = Figures()
FiguresByKey = collections.abc.Mapping[Key, Figures]


@dataclasses.dataclass(frozen=True)
class Report:
    """Demand at some entries.

    Attributes:
        figures: Figures by what they are about.
        entries: Number of entries that it covers; a fraction if some of them
            were counted with less than full weight.
        age_s: Mean time since the figures were measured, seconds.
    """

    figures: FiguresByKey = dataclasses.field(default_factory=dict)
    entries: float = 0.0
    age_s: float = 0.0

    def subtract(self, other: "Report") -> "Report":
        """Returns this report without the part that another one covers."""
        figures = {
            key: value.add(other.figures.get(key, NO_DEMAND), -1.0)
            for key, value in self.figures.items()
        }
        entries = max(0.0, self.entries - other.entries)
        return dataclasses.replace(self, figures=figures, entries=entries)


def compute_weight(age_s: float) -> float:
    """Returns the weight of a report of an age, from 0 to 1."""
    span_s = NO_WEIGHT_AGE_S - FULL_WEIGHT_AGE_S
    return min(1.0, max(0.0, (NO_WEIGHT_AGE_S - age_s) / span_s))


def sum_reports(reports: collections.abc.Iterable[Report]) -> Report:
    """Returns the sum of reports, each with the weight of its age."""
    figures: dict[Key, Figures] = {}
    entries = age_s = 0.0
    for report in reports:
        weight = compute_weight(report.age_s)
        if not weight:
            continue
        entries += weight * report.entries
        age_s += weight * report.entries * report.age_s
        for key, value in report.figures.items():
            figures[key] = figures.get(key, NO_DEMAND).add(value, weight)
    return Report(
        _keep_heaviest(figures), entries, age_s / entries if entries else 0.0
    )


def extrapolate(report: Report, entries: int) -> Report:
    """Returns the demand at all entries.

    The entries that the report does not cover are taken to be like the mean of
    those that it covers.

    Args:
        report: Sum of the known reports.
        entries: Number of all entries; 0 if unknown.
    """
    if not report.entries or entries <= report.entries:
        return report
    factor = entries / report.entries
    figures = {
        key: NO_DEMAND.add(value, factor)
        for key, value in report.figures.items()
    }
    return dataclasses.replace(report, figures=figures, entries=entries)


def compute_part(own: Report, total: Report, key: Key) -> float:
    """Returns the part of the arrivals of a key that one entry receives."""
    everywhere = total.figures.get(key, NO_DEMAND).arrivals_per_s
    here = own.figures.get(key, NO_DEMAND).arrivals_per_s
    return min(1.0, here / everywhere) if everywhere else 1.0


def _keep_heaviest(figures: FiguresByKey) -> dict[Key, Figures]:
    """Returns the figures with the heaviest workspaces of each priority."""
    kept: dict[Key, Figures] = {}
    workspaces: dict[tuple[str, int], list[Key]] = {}
    for key, value in figures.items():
        if value.is_negligible:
            continue
        if key.workspace is None:
            kept[key] = value
        else:
            workspaces.setdefault(key[:2], []).append(key)
    for keys in workspaces.values():
        for key in heapq.nlargest(
            REPORTED_WORKSPACES,
            keys,
            lambda key: figures[key].needed + figures[key].in_progress,
        ):
            kept[key] = figures[key]
    return kept


class _Meter:
    """Measurement of the requests of one key."""

    def __init__(self):
        self.in_progress = 0
        self.mean_duration_s: float | None = None
        self._durations = 0
        self._count = 0.0
        self._counted_at = float("-inf")

    def record_arrival(self, now: float) -> None:
        self._count = self.get_count(now) + 1
        self._counted_at = now

    def get_count(self, now: float) -> float:
        """Returns the number of arrivals, each of which decays with time."""
        elapsed_s = now - self._counted_at
        return self._count * math.exp(-elapsed_s / ARRIVALS_TIME_CONSTANT_S)

    def record_duration(self, duration_s: float) -> None:
        self._durations += 1
        if self.mean_duration_s is None:
            self.mean_duration_s = duration_s
        weight = max(DURATION_SMOOTHING, 1 / self._durations)
        self.mean_duration_s += weight * (duration_s - self.mean_duration_s)


class Meters:
    """Measured demand of one entry, owned by the process."""

    def __init__(self, began_at: float):
        """Begins to measure.

        Args:
            began_at: Current time, seconds.
        """
        self._began_at = began_at
        self._meters: dict[Key, _Meter] = {}
        # Keys of the workspaces of each service and priority.
        self._workspaces: dict[tuple[str, int], set[Key]] = {}

    def record_arrival(self, key: Key, now: float) -> None:
        """Records a request.

        Args:
            key: Service, priority and workspace.
            now: Current time, seconds.
        """
        for meter in self._find(key, now):
            meter.record_arrival(now)

    def begin_stream(self, key: Key, now: float) -> None:
        """Records that a stream was sent.

        Args:
            key: Service, priority and workspace.
            now: Current time, seconds.
        """
        for meter in self._find(key, now):
            meter.in_progress += 1

    def end_stream(self, key: Key, duration_s: float | None) -> None:
        """Records that a stream has ended.

        Args:
            key: Service, priority and workspace.
            duration_s: Time since it was sent, seconds; None if that is not
                the duration of a stream that was served.
        """
        # Only where its beginning was recorded, too.
        for known in (key, key._replace(workspace=None)):
            meter = self._meters.get(known)
            if meter is None:
                continue
            meter.in_progress = max(0, meter.in_progress - 1)
            if duration_s is not None:
                meter.record_duration(duration_s)

    def make_report(self, now: float) -> Report:
        """Returns the demand at this entry."""
        self._drop_unused(now)
        figures = {
            key: self._read(key, meter, now)
            for key, meter in self._meters.items()
        }
        return Report(_keep_heaviest(figures), 1.0)

    def _drop_unused(self, now: float) -> None:
        unused = [
            key
            for key, meter in self._meters.items()
            if not meter.in_progress and meter.get_count(now) < UNUSED_COUNT
        ]
        for key in unused:
            del self._meters[key]
            self._workspaces.get(key[:2], set()).discard(key)

    def _find(self, key: Key, now: float) -> list[_Meter]:
        """Returns the meters of a workspace and of its priority.

        There is none of the workspace if too many others are busier.
        """
        total = key._replace(workspace=None)
        if total not in self._meters:
            self._meters[total] = _Meter()
        if key not in self._meters and self._make_place(key, now):
            self._meters[key] = _Meter()
            self._workspaces.setdefault(key[:2], set()).add(key)
        meter = self._meters.get(key)
        return [self._meters[total], *([meter] if meter else [])]

    def _make_place(self, key: Key, now: float) -> bool:
        """Returns whether one more workspace can be measured.

        The least busy one without streams gives way.
        """
        keys = self._workspaces.get(key[:2], set())
        if len(keys) < MEASURED_WORKSPACES:
            return True
        idle = [key for key in keys if not self._meters[key].in_progress]
        if not idle:
            return False
        least = min(idle, key=lambda key: self._meters[key].get_count(now))
        keys.discard(least)
        del self._meters[least]
        return True

    def _read(self, key: Key, meter: _Meter, now: float) -> Figures:
        # Until the counts have reached their mean, they cover only the time
        # since the start.
        age_s = max(RATE_TIME_MIN_S, now - self._began_at)
        covered_s = ARRIVALS_TIME_CONSTANT_S * (
            1 - math.exp(-age_s / ARRIVALS_TIME_CONSTANT_S)
        )
        arrivals_per_s = meter.get_count(now) / covered_s
        # Workspaces with the duration of their priority, so that the needs of
        # all of them add up to its need.
        total = self._meters.get(key._replace(workspace=None), meter)
        duration_s = total.mean_duration_s
        if duration_s is None:
            # Without a duration, only the present use is certain.
            needed = float(meter.in_progress)
        else:
            needed = arrivals_per_s * duration_s
        return Figures(arrivals_per_s, needed, float(meter.in_progress))
