"""Histograms of durations by workspace and priority, bounded in number."""

import collections
import dataclasses

from hdrh import histogram

LOWEST_MS = 1
HIGHEST_MS = 120_000
SIGNIFICANT_DIGITS = 2
# A histogram of this range takes about 12 KB, so 512 of them stay near 6 MB.
DEFAULT_LIMIT = 512
# Workspace name of the histograms to which evicted ones are added.
OTHER = "(other)"


@dataclasses.dataclass(frozen=True, order=True)
class Key:
    """Identity of a histogram.

    Attributes:
        figure: Name of the measured duration, such as "first_token".
        workspace: Name of the workspace, or `OTHER`.
        priority: Priority of the requests.
    """

    figure: str
    workspace: str
    priority: str


@dataclasses.dataclass(frozen=True)
class Summary:
    """Percentiles of one histogram, in milliseconds."""

    key: Key
    count: int
    p50_ms: int
    p95_ms: int
    p99_ms: int
    max_ms: int


class HistogramSet:
    """The histograms of one process, owned by the process.

    Above the limit the least recently used histogram is added to that of
    `OTHER`, so that no count is lost and memory does not grow with the number
    of workspaces.
    """

    def __init__(self, limit: int = DEFAULT_LIMIT):
        """Creates an empty set.

        Args:
            limit: Number of histograms above which one is evicted.
        """
        self._limit = limit
        self._histograms = collections.OrderedDict()

    def record(self, key: Key, duration_s: float) -> None:
        """Records one duration in seconds."""
        duration_ms = min(max(int(duration_s * 1000), LOWEST_MS), HIGHEST_MS)
        self._find_or_create(key).record_value(duration_ms)

    def summarize(self) -> list[Summary]:
        """Returns the percentiles of all histograms, sorted by key."""
        return [
            Summary(
                key,
                item.get_total_count(),
                item.get_value_at_percentile(50),
                item.get_value_at_percentile(95),
                item.get_value_at_percentile(99),
                item.get_max_value(),
            )
            for key, item in sorted(self._histograms.items())
        ]

    def _find_or_create(self, key: Key) -> histogram.HdrHistogram:
        found = self._histograms.get(key)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS
            )
            self._histograms[key] = found
            self._evict()
        self._histograms.move_to_end(key)
        return found

    def _evict(self) -> None:
        if len(self._histograms) <= self._limit:
            return
        for key in self._histograms:
            if key.workspace != OTHER:
                break
        else:
            return
        evicted = self._histograms.pop(key)
        other_key = dataclasses.replace(key, workspace=OTHER)
        if other_key in self._histograms:
            self._histograms[other_key].add(evicted)
        else:
            self._histograms[other_key] = evicted
