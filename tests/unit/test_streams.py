"""Tests of peridotyard_core.streams."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from peridotyard_core import streams

PROMPT = 3
LIMIT = 8


class StreamMachine(stateful.RuleBasedStateMachine):
    """Guards against tokens that are lost, repeated or out of order.

    Delivers messages of all generations in any order, with repetitions, and
    compares the stream with an oracle that stores every message.
    """

    def __init__(self):
        super().__init__()
        self.stream = streams.Stream(PROMPT, LIMIT)
        self.opened = set()
        self.delivered = {}
        self.expected = []

    @stateful.rule(size=strategies.integers(1, 3))
    def begin(self, size):
        if self.stream.finish:
            return
        assert self.stream.begin_generation(tuple(range(size))) == (
            self.stream.generation
        )
        self.opened = set()
        self.delivered = {}

    @stateful.rule(
        age=strategies.integers(-1, 2), index=strategies.integers(-1, 3)
    )
    def open_stage(self, age, index):
        generation = self.stream.generation - age
        size = len(self.stream.chain)
        is_new = not age and 0 <= index < size and index not in self.opened
        if is_new:
            self.opened.add(index)
        assert self.stream.record_stage_opened(generation, index) == (
            is_new and len(self.opened) == size
        )
        failed = self.stream.find_failed_stage(generation, index)
        is_valid = not age and 0 <= index < size and not self.stream.finish
        assert failed == (index if is_valid else None)

    @stateful.rule()
    def open_rest(self):
        for index in range(len(self.stream.chain)):
            self.open_stage(0, index)

    @stateful.rule(
        age=strategies.sampled_from([0, 0, 0, 1, -1]),
        ahead=strategies.integers(-2, 3),
    )
    def deliver(self, age, ahead):
        position = self.stream.next_position + ahead
        generation = self.stream.generation - age
        # Tokens differ between generations, so that a token of an older
        # generation is detected.
        token = 1000 * generation + position
        is_open = self.stream.chain and len(self.opened) == len(
            self.stream.chain
        )
        if not age and is_open and len(self.expected) < LIMIT:
            self.delivered.setdefault(position, token)
        before = len(self.expected)
        while (
            len(self.expected) < LIMIT
            and PROMPT + len(self.expected) in self.delivered
        ):
            self.expected.append(self.delivered[PROMPT + len(self.expected)])
        ready = self.stream.accept_token(generation, position, token, "")
        assert ready == self.expected[before:]

    @stateful.invariant()
    def check_against_oracle(self):
        assert self.stream.accepted == self.expected
        assert (self.stream.finish == "length") == (len(self.expected) == LIMIT)


TestStream = StreamMachine.TestCase
TestStream.settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)


def test_token_after_the_end_is_dropped():
    """Guards against tokens after the finish reason."""
    stream = streams.Stream(PROMPT, LIMIT)
    stream.begin_generation((0,))
    stream.record_stage_opened(1, 0)
    assert stream.accept_token(1, 4, 20, "") == []
    assert stream.accept_token(1, 3, 10, "stop") == [10]
    assert (stream.finish, stream.accepted) == ("stop", [10])
    assert stream.accept_token(1, 4, 20, "") == []
