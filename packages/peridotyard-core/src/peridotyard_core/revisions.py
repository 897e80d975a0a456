"""Rules for the replication of configuration revisions; no clock and no I/O.

The head is the latest revision in the table service. Processes poll it and send
each other the changes after a revision as deltas.
"""

import collections
import collections.abc
import dataclasses
import types
import typing

from peridotyard_core import configuration as configuration_module

# Polls of the head per second by all processes together. The table service
# serves about 2,000 reads a second. Since peers push changes, 5% of these reads
# are enough for polls.
TOTAL_POLLS_PER_S = 100.0
# Number of deltas that are kept for peers that are a few revisions behind. A
# peer that is further behind receives the complete configuration.
HISTORY_LIMIT = 256
# Time after which the last report of a process without a connection is
# discarded, seconds. The process has ended by then, and must not keep
# `config status --wait` waiting forever.
REPORT_RETENTION_S = 30.0


@dataclasses.dataclass(frozen=True)
class Delta:
    """The changes after one revision up to another.

    Attributes:
        since: Revision before the changes.
        revision: Revision after the changes.
        records: Latest record of each changed object, including deletions.
        full: Whether the records are the complete configuration.
    """

    since: int
    revision: int
    records: tuple[configuration_module.Record, ...]
    full: bool = False


@dataclasses.dataclass(frozen=True)
class Report:
    """The revision that a process last reported to have applied.

    Attributes:
        instance: Name of the instance.
        role: "entry" or "sidecar".
        revision: The applied revision.
        age_s: Time since the report, seconds.
    """

    instance: str
    role: str
    revision: int
    age_s: float


def is_applicable(revision: int, delta: Delta) -> bool:
    """Returns whether a process at a revision may apply a delta.

    A process never applies an older revision, nor a delta that starts after the
    revision that the process has.
    """
    return delta.revision > revision and (delta.full or delta.since <= revision)


def apply_delta(
    current: configuration_module.Configuration, delta: Delta
) -> configuration_module.Configuration:
    """Returns the configuration after a delta; unchanged if not applicable."""
    if not is_applicable(current.revision, delta):
        return current
    objects = {} if delta.full else dict(current.objects)
    for record in sorted(delta.records, key=lambda item: item.revision):
        # A delta may start before the current revision. Its older records must
        # not overwrite newer objects.
        if not delta.full and record.revision <= current.revision:
            continue
        if record.value is None:
            objects.pop(record.key, None)
        else:
            objects[record.key] = record
    return configuration_module.Configuration(
        delta.revision, types.MappingProxyType(objects)
    )


class History:
    """The latest deltas that a process applied, owned by its `Replicator`."""

    def __init__(self, limit: int = HISTORY_LIMIT):
        """Creates an empty history.

        Args:
            limit: Largest number of deltas that are kept.
        """
        self._deltas = collections.deque(maxlen=limit)

    def add(self, current_revision: int, delta: Delta) -> None:
        """Adds a delta that was applied.

        Args:
            current_revision: Revision of the process before the delta.
            delta: The delta.
        """
        if delta.full:
            self._deltas.clear()
        else:
            self._deltas.append(
                dataclasses.replace(delta, since=current_revision)
            )

    def make_delta(
        self, current: configuration_module.Configuration, since: int
    ) -> Delta:
        """Returns the delta for a process at an earlier revision.

        Args:
            current: The current configuration.
            since: Revision of the other process.

        Returns:
            The delta; the complete configuration if the history does not reach
            back to the revision.
        """
        if not self._deltas or self._deltas[0].since > since:
            return Delta(
                0, current.revision, tuple(current.objects.values()), full=True
            )
        latest = {}
        for delta in self._deltas:
            if delta.revision > since:
                latest |= {record.key: record for record in delta.records}
        return Delta(since, current.revision, tuple(latest.values()))


def choose_poll_interval(processes: int, poll_s: float, random) -> float:
    """Returns the time until the next poll of the head, seconds.

    With more than `TOTAL_POLLS_PER_S * poll_s` processes the interval grows
    with their number, so that the total rate stays constant.

    Args:
        processes: Number of processes that poll.
        poll_s: Mean interval for few processes, seconds.
        random: Object with a method `uniform(a, b)`. The jitter prevents
            processes from polling at the same time.
    """
    mean_s = max(poll_s, processes / TOTAL_POLLS_PER_S)
    return mean_s * random.uniform(0.5, 1.5)


def find_conflicts(
    current: configuration_module.Configuration,
    change: configuration_module.Change,
) -> tuple[configuration_module.Conflict, ...]:
    """Returns the objects of a change that are not at the expected revision.

    Args:
        current: The current configuration.
        change: The change.
    """
    conflicts = []
    for key, value in sorted(change.values.items()):
        existing = current.objects.get(key)
        actual = existing.revision if existing else 0
        if change.expected[key] != actual:
            render = configuration_module.render_object
            conflicts.append(
                configuration_module.Conflict(
                    key,
                    change.expected[key],
                    actual,
                    None if value is None else render(value),
                    render(existing.value) if existing else None,
                )
            )
    return tuple(conflicts)


def choose_push_targets(
    known: collections.abc.Mapping[typing.Any, int], revision: int
) -> list:
    """Returns the peers whose last known revision is before a revision.

    Args:
        known: Last known revision of each peer.
        revision: The revision.
    """
    return [
        peer
        for peer, known_revision in known.items()
        if known_revision < revision
    ]


def find_lagging(
    reports: collections.abc.Iterable[Report], revision: int
) -> list[Report]:
    """Returns the reports of processes that have not reached a revision.

    Revisions only increase, so an old report still counts. A process that
    stopped reporting before the revision is lagging until its last report is
    older than `REPORT_RETENTION_S`.

    Args:
        reports: Last report of each process.
        revision: The revision.
    """
    return sorted(
        (
            report
            for report in reports
            if report.revision < revision and report.age_s <= REPORT_RETENTION_S
        ),
        key=lambda report: (report.revision, report.instance),
    )
