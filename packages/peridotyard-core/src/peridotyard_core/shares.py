"""Shares of a service's capacity by priority and workspace.

It addresses these load patterns, which no entry can see by itself:

- a surge of the lowest priority beside callers of a high priority at their
  usual rate;
- one workspace with most of the requests of its priority;
- callers that retry as soon as they are rejected;
- a quarter of the servers lost under load;
- the return of all callers after a power failure.

For a request, servers count as full before their capacity is used up: a part is
withheld for the demand of others (trunk reservation), see
docs/design/capacity-shares.md.
"""

import collections.abc
import dataclasses
import math
import zlib

from peridotyard_core import demands

# Standard deviations of random arrivals that are kept beside the mean need of
# higher priorities. With two, about one in 50 of them finds no capacity, and
# most of those get it after a short wait.
RESERVE_DEVIATIONS = 2.0
# Share of an equal treatment that each priority keeps. Callers need a quarter;
# the rest covers the error of the measured demand.
FLOOR_SHARE = 0.4
# Share of the capacity up to which it is ample and nothing is withheld. A
# server without memory may refuse from there on, see `views.FULL_SHARE`.
AMPLE_SHARE = 0.7
# Largest withheld share, in case that the demand is measured wrongly.
MAX_WITHHELD = 0.95
# Excess of a workspace over its share, relative to the share, from which on all
# that the others lack is withheld from it.
EXCESS_RANGE = 0.25
# Time in which the excess of streams over what a priority may use is made up:
# about the time after which an entry knows of the streams of the others.
CORRECTION_S = 1.0
# Pace, relative to the arrivals of a priority, from which on it is not paced.
# The few requests of one entry vary by more than the mean.
UNPACED_FACTOR = 1.5
# Time for which an entry saves up its pace, and its least saving in streams.
PACE_SAVED_S = 0.5
PACE_SAVED_MIN = 1.0
# Largest number of workspaces among which a share is divided; bounds the
# computation.
MAX_WORKSPACES = 1000


@dataclasses.dataclass(frozen=True)
class Shares:
    """Parts of a service's capacity that requests may not use now.

    Attributes:
        withheld: Fraction by priority, without those of 0.
        by_workspace: The same for workspaces of which more is withheld.
        rates_per_s: Streams per second that the service can take by priority,
            at the rate at which capacity is released.
        excess: Streams that have to end before a priority may use capacity.
        paces_per_s: Streams per second that all entries together may begin, by
            priority, where its room is scarce. The entries would otherwise
            all take the same free capacity before they know of each other.
    """

    withheld: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    by_workspace: collections.abc.Mapping[tuple[int, str], float] = (
        dataclasses.field(default_factory=dict)
    )
    rates_per_s: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    excess: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )

    paces_per_s: collections.abc.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )

    def get_withheld(self, priority: int, workspace: str) -> float:
        """Returns the fraction that is withheld from a request."""
        found = self.by_workspace.get((priority, workspace))
        return self.withheld.get(priority, 0.0) if found is None else found

    def get_pace(self, priority: int, workspace: str) -> float:
        """Returns the streams per second that all entries may begin.

        Only the workspaces above their share are paced if there are any.
        """
        pace_per_s = self.paces_per_s.get(priority, float("inf"))
        is_shared = (priority, workspace) not in self.by_workspace
        if is_shared and any(
            level == priority for level, _ in self.by_workspace
        ):
            return float("inf")
        return pace_per_s

    def estimate_wait(self, priority: int, ahead: float) -> float:
        """Returns the expected time until a request can be sent, seconds.

        Args:
            priority: Its priority.
            ahead: Number of requests in the fleet that are sent before it.
        """
        rate_per_s = self.rates_per_s.get(priority, 0.0)
        if not rate_per_s:
            return float("inf")
        return (self.excess.get(priority, 0.0) + ahead + 1) / rate_per_s


NOTHING_WITHHELD = Shares()


def compute_capacity(
    servers: collections.abc.Iterable[tuple[int, int, int, float]], layers: int
) -> float:
    """Returns the streams that servers can take together.

    It is the least over the layers, since a stream needs all of them. Infinite
    if the capacity of a server is unknown.

    Args:
        servers: First layer and end of the layers of servers that are alike,
            their number and the streams of each.
        layers: Number of layers of the model.
    """
    changes = [0.0] * (layers + 1)
    for first, end, number, streams in servers:
        if streams == float("inf"):
            return streams
        if 0 <= first < end <= layers:
            # Only whole streams fit on a server.
            changes[first] += number * math.floor(streams)
            changes[end] -= number * math.floor(streams)
    least, total = float("inf"), 0.0
    for change in changes[:layers]:
        total += change
        least = min(least, total)
    return max(0.0, least) if layers else 0.0


def exceeds_share(
    load: float, capacity: float, withheld: float, instance: str
) -> bool:
    """Returns whether one more stream exceeds what a request may use.

    The part of a stream is withheld on a part of the servers, since few servers
    have room for so many that the fraction is a whole number of streams.

    Args:
        load: Streams in progress on the server.
        capacity: Streams from which it is full.
        withheld: Fraction of the capacity that is withheld.
        instance: Name of the server.
    """
    excess = load + 1 - math.floor(capacity) * (1 - withheld)
    if excess <= 0:
        return False
    if excess >= 1:
        return True
    return zlib.crc32(instance.encode()) / 2**32 < excess


def compute_shares(
    figures: demands.FiguresByKey, service: str, capacity: float
) -> Shares:
    """Returns what is withheld from whom in a service.

    Args:
        figures: Demand at all entries.
        service: Name of the service.
        capacity: Streams that its servers can take.
    """
    levels: dict[int, demands.Figures] = {}
    workspaces: dict[int, dict[str, demands.Figures]] = {}
    for key, value in figures.items():
        if key.service != service or value.is_negligible:
            continue
        if key.workspace is None:
            levels[key.priority] = value
        else:
            found = workspaces.setdefault(key.priority, {})
            found[key.workspace] = value
    if len(levels) < 2 or not 0 < capacity < float("inf"):
        return NOTHING_WITHHELD
    for level, found in workspaces.items():
        if level in levels:
            levels[level] = _limit_needs(levels[level], found, capacity)
    division = _Division(levels, capacity)
    if division.is_ample:
        return NOTHING_WITHHELD
    withheld = {level: division.compute_withheld(level) for level in levels}
    by_workspace = {}
    for level, found in workspaces.items():
        if level not in levels:
            continue
        for name, lack in division.compute_lacks(level, found).items():
            by_workspace[level, name] = _limit(
                withheld[level] + lack / capacity
            )
    excess = {
        level: division.used - capacity * (1 - withheld[level])
        for level in levels
    }
    return Shares(
        {level: part for level, part in withheld.items() if part},
        by_workspace,
        division.compute_rates(),
        {level: max(0.0, value) for level, value in excess.items()},
        {
            level: pace_per_s
            for level, value in excess.items()
            if withheld[level]
            and (pace_per_s := division.compute_pace(level, value))
            < UNPACED_FACTOR * levels[level].arrivals_per_s
        },
    )


def _limit_needs(
    total: demands.Figures,
    workspaces: dict[str, demands.Figures],
    capacity: float,
) -> demands.Figures:
    """Limits the need of each workspace to the capacity.

    The requests of callers that retry immediately would otherwise count as
    demand of their priority without limit.

    Args:
        total: Demand of a priority.
        workspaces: Demand of its heaviest workspaces; changed in place.
        capacity: Streams that the servers can take.

    Returns:
        The limited demand of the priority.
    """
    for name, value in workspaces.items():
        if value.needed <= capacity:
            continue
        part = capacity / value.needed
        limited = demands.Figures(
            value.arrivals_per_s * part, capacity, value.in_progress
        )
        total = dataclasses.replace(
            total,
            arrivals_per_s=max(
                0.0,
                total.arrivals_per_s
                - value.arrivals_per_s
                + limited.arrivals_per_s,
            ),
            needed=max(capacity, total.needed - value.needed + capacity),
        )
        workspaces[name] = limited
    return total


def _limit(withheld: float) -> float:
    return min(MAX_WITHHELD, max(0.0, withheld))


class _Division:
    """Division of one service's capacity among priorities."""

    def __init__(
        self, levels: dict[int, demands.Figures], capacity: float
    ) -> None:
        self._levels = levels
        self._capacity = capacity
        self._needed = sum(value.needed for value in levels.values())
        self.used = sum(value.in_progress for value in levels.values())
        self._released = sum(v.release_rate_per_s for v in levels.values())
        served = min(1.0, capacity / max(self._needed, 1e-9))
        self._floors = {
            level: FLOOR_SHARE * served * value.needed
            for level, value in levels.items()
        }

    @property
    def is_ample(self) -> bool:
        need = _add_reserve(self._needed)
        return max(self.used, need) <= AMPLE_SHARE * self._capacity

    def compute_pace(self, level: int, excess: float) -> float:
        """Returns the streams of a priority that may begin per second."""
        above = sum(
            value.arrivals_per_s
            for other, value in self._levels.items()
            if other < level
        )
        pace = self._released - above - excess / CORRECTION_S
        return max(pace, self._compute_floor_rate(level))

    def _compute_floor_rate(self, level: int) -> float:
        own = self._levels[level]
        if own.needed < demands.NEGLIGIBLE:
            return 0.0
        return self._floors[level] * own.arrivals_per_s / own.needed

    def compute_withheld(self, level: int) -> float:
        """Returns the fraction that is withheld from a priority."""
        own = self._levels[level]
        used_above = sum(
            value.in_progress
            for other, value in self._levels.items()
            if other < level
        )
        reserve = max(0.0, self._compute_claim_above(level) - used_above)
        if own.in_progress < self._floors[level]:
            reserve *= own.in_progress / self._floors[level]
        lack_below = sum(
            max(0.0, self._floors[other] - value.in_progress)
            for other, value in self._levels.items()
            if other > level
        )
        return _limit((reserve + lack_below) / self._capacity)

    def _compute_claim_above(self, level: int) -> float:
        """Returns the streams to which higher priorities are entitled."""
        # Durations of streams that have not ended are not known yet, so the
        # present use may be nearer to the need.
        needed = sum(
            max(value.needed, value.in_progress)
            for other, value in self._levels.items()
            if other < level
        )
        floors = sum(
            floor for other, floor in self._floors.items() if other >= level
        )
        return min(_add_reserve(needed), self._capacity - floors)

    def compute_lacks(
        self, level: int, workspaces: dict[str, demands.Figures]
    ) -> dict[str, float]:
        """Returns what is withheld from workspaces above their fair share.

        Args:
            level: Their priority.
            workspaces: Demand of the heaviest workspaces.

        Returns:
            Streams that others of the priority lack to their share, for each
            workspace above its share.
        """
        total = self._levels[level]
        floors_below = sum(
            floor for other, floor in self._floors.items() if other > level
        )
        available = max(
            self._floors[level],
            self._capacity - self._compute_claim_above(level) - floors_below,
        )
        if total.needed <= available:
            return {}
        rest_needed = total.needed - sum(v.needed for v in workspaces.values())
        rest_used = total.in_progress - sum(
            v.in_progress for v in workspaces.values()
        )
        # The other workspaces are lighter than the ones known by name.
        lightest = min(value.needed for value in workspaces.values())
        others = 0
        if rest_needed > 0 and lightest > 0:
            others = math.ceil(min(MAX_WORKSPACES, rest_needed / lightest))
        share = compute_fair_share(
            [value.needed for value in workspaces.values()]
            + others * [lightest],
            available,
        )
        lack = sum(
            max(0.0, min(value.needed, share) - value.in_progress)
            for value in workspaces.values()
        )
        rest_share = min(rest_needed, others * min(lightest, share))
        lack += max(0.0, rest_share - max(0.0, rest_used))
        result = {}
        for name, value in workspaces.items():
            excess = value.in_progress - share
            if excess > 0 and lack:
                part = min(1.0, excess / max(1.0, EXCESS_RANGE * share))
                result[name] = part * lack
        return result

    def compute_rates(self) -> dict[int, float]:
        """Returns the streams per second that each priority can begin."""
        rates = {}
        released = self._released
        for level in sorted(self._levels):
            rates[level] = max(released, self._compute_floor_rate(level))
            released -= self._levels[level].arrivals_per_s
        return rates


class Pacer:
    """Streams of one priority that an entry may begin, owned by the entry."""

    def __init__(self):
        self._saved = PACE_SAVED_MIN
        self._updated_at: float | None = None

    def may_begin(self, pace_per_s: float, now: float) -> bool:
        """Returns whether a stream may begin.

        Args:
            pace_per_s: Streams per second of this entry; infinite if any number
                may begin.
            now: Current time, seconds.
        """
        if pace_per_s == float("inf"):
            self._updated_at = None
            return True
        if self._updated_at is not None:
            self._saved = min(
                max(PACE_SAVED_MIN, PACE_SAVED_S * pace_per_s),
                self._saved + pace_per_s * (now - self._updated_at),
            )
        self._updated_at = now
        return self._saved >= 1.0

    def record_begin(self) -> None:
        """Records a stream that begins."""
        if self._updated_at is not None:
            self._saved = max(0.0, self._saved - 1.0)


def _add_reserve(needed: float) -> float:
    """Returns needed streams with a reserve for random arrivals."""
    return needed + RESERVE_DEVIATIONS * math.sqrt(needed)


def compute_fair_share(
    needs: collections.abc.Sequence[float], available: float
) -> float:
    """Returns the largest share of the max-min fair division.

    Whoever needs less gets all that it needs. Infinite if all do.

    Args:
        needs: What each one needs.
        available: What is divided.
    """
    remaining = sorted(needs)
    while remaining:
        share = available / len(remaining)
        if remaining[0] > share:
            return share
        available -= remaining.pop(0)
    return float("inf")
