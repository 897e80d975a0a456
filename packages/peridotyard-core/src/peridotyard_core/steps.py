"""Order and fencing of the steps of a stream at one stage.

A stage is a server of the chain that computes the layers of a model for one
stream. A step computes the layers of a stage for some positions of the stream.
Each generation of the stream starts again at position 0; steps of older
generations are refused (fenced).
"""

import dataclasses
import enum
import typing


class Decision(enum.Enum):
    """Decision of a stage on a step that it receives."""

    # The next step of the current generation.
    RUN = "run"
    # A copy of the step that is running, whose result is still to be sent.
    RUNNING = "running"
    # A copy of the last finished step, whose stored result is sent again.
    REPEAT = "repeat"
    # A step of a generation older than the current one.
    OUTDATED = "outdated"
    # A position or generation that this stage does not expect.
    UNEXPECTED = "unexpected"


@dataclasses.dataclass(frozen=True)
class _Step:
    position: int
    count: int


class StepGuard:
    """Progress of one stream at one stage, owned by the sidecar's stream.

    The positions of a generation are computed in order from 0, each at most
    once.

    Attributes:
        generation: The current generation; it only increases.
        next_position: The position at which the next step begins.
        result: The result of the last finished step of the generation, None
            before the first.
    """

    def __init__(self, generation: int):
        """Creates a guard that expects the first step of a generation.

        Args:
            generation: Number of the generation.
        """
        self.generation = generation
        self.next_position = 0
        self.result: typing.Any = None
        self._running: _Step | None = None
        self._last: _Step | None = None

    def advance_generation(self, generation: int) -> bool:
        """Starts a later generation at position 0.

        Args:
            generation: Number of the generation.

        Returns:
            False if the generation is not later than the current one.
        """
        if generation <= self.generation:
            return False
        self.generation = generation
        self.next_position = 0
        self.result = None
        self._running = None
        self._last = None
        return True

    def start(self, generation: int, position: int, count: int) -> Decision:
        """Decides on a step; after `Decision.RUN` it counts as running.

        Args:
            generation: Generation of the step.
            position: First position of the step.
            count: Number of positions.
        """
        if generation < self.generation:
            return Decision.OUTDATED
        if generation > self.generation or count < 1:
            return Decision.UNEXPECTED
        step = _Step(position, count)
        if step == self._running:
            return Decision.RUNNING
        if step == self._last:
            return Decision.REPEAT
        if self._running is not None or position != self.next_position:
            return Decision.UNEXPECTED
        self._running = step
        return Decision.RUN

    def finish(
        self, generation: int, position: int, count: int, result: typing.Any
    ) -> bool:
        """Stores the result of the running step.

        Args:
            generation: Generation of the step.
            position: First position of the step.
            count: Number of positions.
            result: Result of the step.

        Returns:
            False if the step is not running, such as for a late result of an
            older generation. Such a result must not be forwarded.
        """
        step = _Step(position, count)
        if generation != self.generation or step != self._running:
            return False
        self._running = None
        self._last = step
        self.next_position = position + count
        self.result = result
        return True
