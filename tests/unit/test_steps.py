"""Tests of peridotyard_core.steps."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from peridotyard_core import steps

SMALL = strategies.integers(0, 4)


def test_step_runs_once_and_its_copy_returns_the_result():
    """Guards against a resent step that runs the layers again."""
    guard = steps.StepGuard(1)
    assert guard.start(1, 0, 5) is steps.Decision.RUN
    assert guard.start(1, 0, 5) is steps.Decision.RUNNING
    assert guard.finish(1, 0, 5, "result")
    assert guard.start(1, 0, 5) is steps.Decision.REPEAT
    assert guard.result == "result"
    assert guard.start(1, 0, 4) is steps.Decision.UNEXPECTED
    assert guard.start(1, 5, 1) is steps.Decision.RUN


class GuardMachine(stateful.RuleBasedStateMachine):
    """Guards against a step that runs twice or at a wrong position.

    Compares the guard with a list of all steps that have run.
    """

    def __init__(self):
        super().__init__()
        self.guard = steps.StepGuard(1)
        self.generation = 1
        self.ran = []
        self.finished = {}

    def list_current(self):
        return [step for step in self.ran if step[0] == self.generation]

    @stateful.rule(generation=SMALL)
    def advance(self, generation):
        assert self.guard.advance_generation(generation) is (
            generation > self.generation
        )
        self.generation = max(self.generation, generation)

    @stateful.rule(generation=SMALL, position=SMALL, count=SMALL)
    def start_any(self, generation, position, count):
        self.check_start(generation, position, count)

    @stateful.precondition(lambda self: self.ran)
    @stateful.rule()
    def start_last(self):
        self.check_start(*self.ran[-1])

    def check_start(self, generation, position, count):
        step = (generation, position, count)
        current = self.list_current()
        decision = self.guard.start(*step)
        end = sum(item[2] for item in current)
        busy = bool(current) and current[-1] not in self.finished
        if generation < self.generation:
            assert decision is steps.Decision.OUTDATED
        elif current and step == current[-1]:
            expected = "RUNNING" if busy else "REPEAT"
            assert decision.name == expected
            assert busy or self.guard.result == self.finished[step]
        elif generation == self.generation and count and not busy:
            is_next = position == end
            assert (decision is steps.Decision.RUN) is is_next
            if is_next:
                self.ran.append(step)
        else:
            assert decision is steps.Decision.UNEXPECTED
        assert len(self.ran) == len(set(self.ran))

    @stateful.rule(generation=SMALL, position=SMALL, count=SMALL)
    def finish_any(self, generation, position, count):
        self.check_finish((generation, position, count))

    @stateful.precondition(lambda self: self.ran)
    @stateful.rule()
    def finish_last(self):
        self.check_finish(self.ran[-1])

    def check_finish(self, step):
        current = self.list_current()
        expected = current[-1:] == [step] and step not in self.finished
        result = len(self.finished)
        assert self.guard.finish(*step, result) is expected
        if expected:
            self.finished[step] = result


TestGuardMachine = GuardMachine.TestCase
TestGuardMachine.settings = hypothesis.settings(
    derandomize=True, database=None, max_examples=200, deadline=None
)
