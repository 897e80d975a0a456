"""Stages and cause of a pause between two events of a stream.

Load pattern: streams in progress when a server of their path fails. Whoever
relays a stream marks what happens between two of its events. The marks of a
long pause show which part of it the detection, the decision, the order and the
first event after it took.
"""

import collections.abc
import dataclasses
import enum

# Maximum number of marks of one pause. A check has up to four and a new path
# three; callers wait for a few seconds, in which there are about ten checks.
MAX_MARKS = 64
# Share of a pause from which on it is ascribed to the caller that did not read.
CALLER_SHARE = 0.5
# Maximum number of pauses that are reported in one second. A lost server
# interrupts all streams of an entry at once, and their lines are alike.
REPORTS_PER_S = 10


class Mark(enum.Enum):
    """What happened at a time of a pause."""

    LAST_EVENT = "last_event"
    # The caller has taken the last event.
    CALLER_READY = "caller_ready"
    # The silence limit was exceeded, or the connection was lost.
    SILENT = "silent"
    PROBE_SENT = "probe_sent"
    PROBE_RESULT = "probe_result"
    SERVER_LOST = "server_lost"
    SECOND_PATH = "second_path"
    DECIDED = "decided"
    ORDER_SENT = "order_sent"
    REQUEST_SENT = "request_sent"
    ACCEPTED = "accepted"
    REFUSED = "refused"


class Stage(enum.Enum):
    """Part of a pause."""

    # The caller does not read.
    CALLER = "caller"
    # Nothing indicates a failure yet, or the servers respond and are slow.
    SILENCE = "silence"
    PROBE = "probe"
    # Choice of another path, and the wait for one.
    DECISION = "decision"
    # An order or a request until the server has accepted it.
    ORDER = "order"
    # From the acceptance until the next event: prefill, and the first step.
    RESUME = "resume"


class Cause(enum.Enum):
    """Cause of a pause; of several, the first one in this order."""

    CALLER = "caller"
    # A server refused an order or a request that would have ended the pause.
    REJECTED = "rejected"
    # A second path was tried beside a silent one.
    SECOND_PATH = "second_path"
    SERVER_LOST = "server_lost"
    # The path was changed although no server of it was found to be lost.
    PATH_CHANGED = "path_changed"
    SLOW_SERVER = "slow_server"


_CHECKS = frozenset((Mark.SILENT, Mark.PROBE_SENT, Mark.PROBE_RESULT))
# Marks that show that a check led to a change.
_FINDINGS = frozenset((Mark.SERVER_LOST, Mark.SECOND_PATH, Mark.DECIDED))
# Stage that follows a mark.
_NEXT_STAGES = {
    Mark.LAST_EVENT: Stage.SILENCE,
    Mark.CALLER_READY: Stage.SILENCE,
    Mark.SILENT: Stage.DECISION,
    Mark.PROBE_SENT: Stage.PROBE,
    Mark.PROBE_RESULT: Stage.DECISION,
    Mark.SERVER_LOST: Stage.DECISION,
    Mark.SECOND_PATH: Stage.DECISION,
    Mark.DECIDED: Stage.ORDER,
    Mark.ORDER_SENT: Stage.ORDER,
    Mark.REQUEST_SENT: Stage.ORDER,
    Mark.ACCEPTED: Stage.RESUME,
    Mark.REFUSED: Stage.DECISION,
}


@dataclasses.dataclass(frozen=True)
class TimedMark:
    """A mark and its time, seconds."""

    mark: Mark
    at: float


@dataclasses.dataclass(frozen=True)
class Pause:
    """A pause between two events.

    Attributes:
        duration_s: Time between the events, seconds.
        cause: Its cause.
        stages: Duration of each stage that it had, seconds. Their sum is the
            duration.
    """

    duration_s: float
    cause: Cause
    stages: dict[Stage, float]


def analyze_pause(
    marks: collections.abc.Sequence[TimedMark], next_event_at: float
) -> Pause:
    """Returns the stages and the cause of a pause.

    A check that leads to no change belongs to the stage in which it was made.

    Args:
        marks: What happened, in the order of time, from the last event on.
        next_event_at: Time of the next event.
    """
    durations_s: dict[Stage, float] = {}
    ends = [item.at for item in marks[1:]] + [next_event_at]
    stage = Stage.SILENCE
    for index, (item, end) in enumerate(zip(marks, ends, strict=True)):
        if item.mark not in _CHECKS or _leads_to_change(marks, index):
            stage = _NEXT_STAGES[item.mark]
        taken = stage
        if _get_mark(marks, index + 1) is Mark.CALLER_READY:
            taken = Stage.CALLER
        if end > item.at:
            durations_s[taken] = durations_s.get(taken, 0.0) + end - item.at
    duration_s = next_event_at - marks[0].at
    cause = _find_cause(
        {item.mark for item in marks},
        durations_s.get(Stage.CALLER, 0.0) >= CALLER_SHARE * duration_s,
    )
    return Pause(duration_s, cause, durations_s)


def _get_mark(
    marks: collections.abc.Sequence[TimedMark], index: int
) -> Mark | None:
    return marks[index].mark if index < len(marks) else None


def _leads_to_change(
    marks: collections.abc.Sequence[TimedMark], index: int
) -> bool:
    """Returns whether the check that a mark belongs to led to a change."""
    while _get_mark(marks, index) in _CHECKS:
        index += 1
    return _get_mark(marks, index) in _FINDINGS


def _find_cause(marks: set[Mark], caller_waited: bool) -> Cause:
    if caller_waited:
        return Cause.CALLER
    if Mark.REFUSED in marks:
        return Cause.REJECTED
    if Mark.SECOND_PATH in marks:
        return Cause.SECOND_PATH
    if Mark.SERVER_LOST in marks:
        return Cause.SERVER_LOST
    if Mark.ACCEPTED in marks:
        return Cause.PATH_CHANGED
    return Cause.SLOW_SERVER


class Recorder:
    """The marks since the last event of a stream, owned by the stream."""

    def __init__(self):
        self._marks: list[TimedMark] = []

    def add(self, mark: Mark, at: float) -> None:
        """Adds a mark, unless there was no event or there are too many.

        Args:
            mark: What happened.
            at: Time at which it happened, not before that of earlier marks.
        """
        if self._marks and len(self._marks) < MAX_MARKS:
            self._marks.append(TimedMark(mark, at))

    def record_event(self, at: float, limit_s: float) -> Pause | None:
        """Records an event; returns the pause before it if that was long.

        Args:
            at: Time of the event.
            limit_s: Duration above which a pause is returned, seconds; 0 for
                none.
        """
        marks = self._marks
        self._marks = [TimedMark(Mark.LAST_EVENT, at)]
        if not marks or not limit_s or at - marks[0].at <= limit_s:
            return None
        return analyze_pause(marks, at)


class ReportLimit:
    """Bounds the pauses that are reported per second, owned by the process."""

    def __init__(self):
        self._second = -1
        self._reported = 0
        self._omitted = 0

    def admit(self, now: float) -> int | None:
        """Returns how many pauses were omitted before this one.

        Args:
            now: Present time, seconds.

        Returns:
            The number since the last one that was reported; None if this one
            must be omitted too.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._reported = 0
        if self._reported >= REPORTS_PER_S:
            self._omitted += 1
            return None
        self._reported += 1
        omitted, self._omitted = self._omitted, 0
        return omitted
