"""Tests of peridotyard_core.leases: two holders and one row."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from peridotyard_core import leases

from tests.support import cases

DURATION_S = 6.0
NAMES = ("first", "second", "third")


class TwoHolders(stateful.RuleBasedStateMachine):
    """Processes that claim one row; claims may be late or lose their answer.

    A process may also be paused between reading the row and its claim, and
    its own clock has another origin than the store's.
    """

    def __init__(self):
        super().__init__()
        self.clock_s = 0.0
        self.row = None
        self.revision = 0
        self.leases = {n: leases.Lease(n, DURATION_S) for n in NAMES}
        self.planned = {}

    def local(self, name):
        return self.clock_s + 1000 * NAMES.index(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def read(self, name):
        record = leases.Record.from_json(self.row) if self.row else None
        claim = self.leases[name].plan_claim(
            record, self.revision, self.clock_s
        )
        self.planned[name] = (claim, self.local(name))

    @stateful.rule(
        name=strategies.sampled_from(NAMES), answered=strategies.booleans()
    )
    def write(self, name, answered):
        claim, asked_at = self.planned.pop(name, (None, 0.0))
        if claim is None:
            return
        granted = claim.expected_revision == self.revision
        if granted:
            self.row = claim.record.to_json()
            self.revision += 1
        if not answered:
            return
        if granted:
            self.leases[name].record_granted(asked_at)
        else:
            self.leases[name].record_lost()

    @stateful.rule(seconds=strategies.floats(0.1, 8.0))
    def wait(self, seconds):
        self.clock_s += seconds

    @stateful.invariant()
    def at_most_one_holds_it(self):
        holders = [n for n in NAMES if self.leases[n].is_held(self.local(n))]
        assert len(holders) <= 1


TestTwoHolders = TwoHolders.TestCase
TestTwoHolders.settings = hypothesis.settings(
    **cases.DERANDOMIZED | {"max_examples": 200}, stateful_step_count=40
)


def test_unreadable_row_is_taken_over():
    # Otherwise a damaged row would leave the duty without a holder for ever.
    assert leases.Record.from_json(b"{") is None
    claim = leases.Lease("first", 6.0).plan_claim(None, 7, 100.0)
    assert claim.expected_revision == 7


def test_lease_that_was_given_up_is_not_taken_back():
    # The answer to a renewal may come after the release.
    lease = leases.Lease("first", 6.0)
    assert lease.plan_claim(None, 0, 100.0) is not None
    lease.record_granted(0.0)
    assert lease.is_held(1.0)
    lease.plan_release(3)
    lease.record_granted(0.5)
    assert not lease.is_held(1.0)
    assert lease.plan_claim(None, 4, 101.0) is None
