"""Rules for revisions of the configuration; no clock and no I/O."""

import collections
import collections.abc
import dataclasses
import types
import typing

from peridotyard_core import configuration as configuration_module

# Polls of the head by all processes together. The table service serves about
# 2,000 reads a second, and peers push changes, so 5% of it is enough.
TOTAL_POLLS_PER_S = 100.0
# Changes kept for peers that are a few revisions behind; others get it all.
HISTORY_LIMIT = 256
# After this the last report of a process without a connection is dropped: it
# has ended, and must not hold up `config status --wait` for ever.
REPORT_RETENTION_S = 30.0


@dataclasses.dataclass(frozen=True)
class Delta:
    """The changes after one revision up to another.

    Attributes:
        since: Revision the delta starts from.
        revision: Revision it leads to.
        records: Latest record of each changed object, deletions included.
        full: True if the records are the whole configuration.
    """

    since: int
    revision: int
    records: tuple[configuration_module.Record, ...]
    full: bool = False


@dataclasses.dataclass(frozen=True)
class Report:
    """The revision a process has applied, as last heard."""

    instance: str
    role: str
    revision: int
    age_s: float


def is_applicable(revision: int, delta: Delta) -> bool:
    """Returns whether a process at a revision may apply a delta.

    A process never applies an older revision, nor a delta with a gap before.
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
        # What the process already contains may be newer than the record.
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
        self._deltas = collections.deque(maxlen=limit)

    def add(self, current_revision: int, delta: Delta) -> None:
        """Adds a delta that was applied at a revision."""
        if delta.full:
            self._deltas.clear()
        else:
            self._deltas.append(
                dataclasses.replace(delta, since=current_revision)
            )

    def make_delta(
        self, current: configuration_module.Configuration, since: int
    ) -> Delta:
        """Returns what a process at revision `since` lacks."""
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
    """Returns the seconds until the next poll of the head.

    Above `TOTAL_POLLS_PER_S * poll_s` processes the interval grows with their
    number, so that the total rate stays constant.

    Args:
        processes: Number of processes that poll.
        poll_s: Mean interval of few processes.
        random: Has `uniform(a, b)`; jitter keeps processes out of step.
    """
    mean_s = max(poll_s, processes / TOTAL_POLLS_PER_S)
    return mean_s * random.uniform(0.5, 1.5)


def find_conflicts(
    current: configuration_module.Configuration,
    change: configuration_module.Change,
) -> tuple[configuration_module.Conflict, ...]:
    """Returns the objects of a change that are not at the expected revision."""
    conflicts = []
    for key, value in sorted(change.values.items()):
        held = current.objects.get(key)
        actual = held.revision if held else 0
        if change.expected[key] != actual:
            render = configuration_module.render_object
            conflicts.append(
                configuration_module.Conflict(
                    key,
                    change.expected[key],
                    actual,
                    None if value is None else render(value),
                    render(held.value) if held else None,
                )
            )
    return tuple(conflicts)


def choose_push_targets(
    known: collections.abc.Mapping[typing.Any, int], revision: int
) -> list:
    """Returns the peers that are last known to be behind a revision."""
    return [peer for peer, held in known.items() if held < revision]


def find_lagging(
    reports: collections.abc.Iterable[Report], revision: int
) -> list[Report]:
    """Returns the processes that have not reported a revision.

    An old report counts as long as it is kept, since revisions only increase:
    a silent process is lagging until it is forgotten.
    """
    return sorted(
        (
            report
            for report in reports
            if report.revision < revision and report.age_s <= REPORT_RETENTION_S
        ),
        key=lambda report: (report.revision, report.instance),
    )
