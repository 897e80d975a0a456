"""Tests of peridotyard_core.leases."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from peridotyard_core import leases
import pytest

from tests.support import cases
from tests.support import odd_values

DURATION_S = 6.0
NAMES = ("first", "second", "third")


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Guards against two processes that hold the lease at the same time.

    Several processes claim one row. Claims may be late or lose their response,
    a process may be paused between reading the row and writing its claim, and
    the clock of each process has another origin than that of the store.
    """

    def __init__(self):
        super().__init__()
        self.clock_s = 0.0
        self.row = None
        self.revision = 0
        self.leases = {n: leases.Lease(n, DURATION_S) for n in NAMES}
        self.planned = {}

    def read_local_clock(self, name):
        return self.clock_s + 1000 * NAMES.index(name)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def read(self, name):
        record = leases.Record.from_json(self.row) if self.row else None
        claim = self.leases[name].plan_claim(
            record, self.revision, self.clock_s
        )
        self.planned[name] = (claim, self.read_local_clock(name))

    @stateful.rule(
        name=strategies.sampled_from(NAMES), has_response=strategies.booleans()
    )
    def write(self, name, has_response):
        claim, sent_at = self.planned.pop(name, (None, 0.0))
        if claim is None:
            return
        granted = claim.expected_revision == self.revision
        if granted:
            self.row = claim.record.to_json()
            self.revision += 1
        if not has_response:
            return
        if granted:
            self.leases[name].record_granted(sent_at)
        else:
            self.leases[name].record_lost()

    @stateful.rule(seconds=strategies.floats(0.1, 8.0))
    def wait(self, seconds):
        self.clock_s += seconds

    @stateful.invariant()
    def check_at_most_one_holder(self):
        holders = [
            n for n in NAMES if self.leases[n].is_held(self.read_local_clock(n))
        ]
        assert len(holders) <= 1


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(
    **cases.DERANDOMIZED | {"max_examples": 200}, stateful_step_count=40
)


def test_lease_with_an_unreadable_row_is_acquired():
    """Guards against a damaged row that leaves the lease without a holder."""
    assert leases.Record.from_json(b"{") is None
    claim = leases.Lease("first", 6.0).plan_claim(None, 7, 100.0)
    assert claim.expected_revision == 7


def test_released_lease_is_not_acquired_again():
    """Guards against a released lease that a late response renews."""
    lease = leases.Lease("first", 6.0)
    assert lease.plan_claim(None, 0, 100.0) is not None
    lease.record_granted(0.0)
    assert lease.is_held(1.0)
    lease.plan_release(3)
    lease.record_granted(0.5)
    assert not lease.is_held(1.0)
    assert lease.plan_claim(None, 4, 101.0) is None


@pytest.mark.parametrize(
    "value",
    [
        *odd_values.DOCUMENTS,
        *odd_values.list_variants({"holder": "first", "until_s": 5.0}),
    ],
)
def test_odd_row_never_keeps_the_lease_from_all(value):
    """Guards against one row that ends the process or placement for good."""
    record = leases.Record.from_json(value)
    if record is not None:
        assert 0 <= record.until_s <= leases.MAX_CLOCK_S
        claims = [
            leases.Lease("second", 6.0).plan_claim(record, 7, clock_s)
            for clock_s in (100.0, 170.0)
        ]
        assert any(claims)
