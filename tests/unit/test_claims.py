"""Tests of peridotyard_core.claims."""

import collections
import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from peridotyard_core import claims
from peridotyard_core import verdicts
import pytest

OUTCOME = claims.Outcome(201, (("content-type", "text/plain"),), b"done")
NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN


def make_row(state, nonce="other", body_hash="hash", version=7):
    outcome = OUTCOME if state == claims.OUTCOME else None
    return claims.Row(version, state, nonce, body_hash, outcome)


def run_events(names):
    """Returns the last action of a claim after events, by name in `EVENTS`."""
    claim = claims.Claim("own", "hash")
    action = claim.start()
    for name in names.split():
        action = claim.handle_event(EVENTS[name])
    return action


EVENTS = {
    "written": claims.Written(3),
    "absent": claims.Found(None),
    "own": claims.Found(make_row(claims.STARTED, "own")),
    "other": claims.Found(make_row(claims.STARTED)),
    "outcome": claims.Found(make_row(claims.OUTCOME)),
    "body": claims.Found(make_row(claims.STARTED, body_hash="x")),
    "invalid": claims.Found(make_row("invalid")),
    "lost": claims.ResponseLost(),
    "refused": claims.Refused(),
    "late": claims.DeadlineReached(),
    "unsent": claims.CallUnsent(),
    "call-lost": claims.CallLost(),
    "completed": claims.CallCompleted(OUTCOME),
}


@pytest.mark.parametrize(
    ("events", "expected"),
    [
        ("written", claims.Run),
        ("outcome", claims.Respond),
        ("other", claims.Read),
        ("other refused", claims.Read),
        ("other lost", claims.Read),
        ("other absent", claims.Insert),
        ("other outcome", claims.Respond),
        ("lost", claims.Read),
        ("lost lost", claims.Read),
        ("lost absent", claims.Insert),
        ("lost own", claims.Run),
        ("lost absent refused", claims.Read),
        ("written completed", claims.Respond),
    ],
)
def test_event_leads_to_action(events, expected):
    """Guards against an event after which a call runs or ends too early."""
    assert isinstance(run_events(events), expected)


@pytest.mark.parametrize(
    ("events", "code", "verdict", "release"),
    [
        ("refused", "store-unavailable", NOT_RUN, False),
        ("late", "deadline-exceeded", NOT_RUN, False),
        ("lost late", "deadline-exceeded", NOT_RUN, True),
        ("lost refused late", "deadline-exceeded", NOT_RUN, True),
        ("written late", "deadline-exceeded", NOT_RUN, True),
        ("other late", "outcome-unknown", MAY_HAVE_RUN, False),
        ("lost other late", "outcome-unknown", MAY_HAVE_RUN, False),
        ("body", "idempotency-key-reused", NOT_RUN, False),
        ("invalid", "outcome-unknown", MAY_HAVE_RUN, False),
        ("written call-lost", "backend-lost", MAY_HAVE_RUN, False),
        ("written unsent", "backend-unavailable", NOT_RUN, True),
    ],
)
def test_rejection_states_the_correct_verdict(events, code, verdict, release):
    """Guards against a verdict that states more than is known."""
    action = run_events(events)
    assert (action.failure.code, action.failure.verdict) == (code, verdict)
    assert action.release is release


def test_released_row_is_claimed_on_its_version():
    """Guards against a released key that is blocked, or is claimed twice."""
    released = make_row(claims.RELEASED, body_hash="another body")
    claim = claims.Claim("own", "hash")
    claim.start()
    assert claim.handle_event(claims.Found(released)).expected == 7


@pytest.mark.parametrize(
    ("row", "expected"),
    [
        (None, 0),
        (make_row(claims.STARTED, "own"), 7),
        # A late insert over this row would block the key forever.
        (make_row(claims.RELEASED), 7),
        (make_row(claims.RELEASED, "own"), None),
        (make_row(claims.STARTED), None),
        (make_row(claims.OUTCOME, "own"), None),
    ],
)
def test_release_voids_a_late_insert(row, expected):
    """Guards against a key that a late insert of an ended attempt blocks."""
    write = claims.decide_release(row, "own", "hash")
    assert (write and write.expected) == expected


def test_finished_claim_accepts_no_event():
    """Guards against a call that runs although "not-run" was reported."""
    with pytest.raises(ValueError, match="done"):
        run_events("late written")


def test_row_survives_storage_until_its_retention_ends():
    """Guards against a changed outcome and against a key that never expires."""
    row = dataclasses.replace(make_row(claims.OUTCOME), expires_at_s=50)
    value = row.to_value()
    assert claims.Row.from_value(7, value, 49) == row
    assert claims.Row.from_value(7, value, 50).state == claims.RELEASED
    started = dataclasses.replace(make_row(claims.STARTED), expires_at_s=50)
    restored = claims.Row.from_value(7, started.to_value(), 99)
    assert restored.state == claims.STARTED


@pytest.mark.parametrize(
    "value",
    [None, 3, {}, {"state": "outcome", "nonce": "", "body_hash": ""}],
)
def test_unknown_row_is_invalid(value):
    """Guards against a process that crashes on a row of a later release."""
    assert claims.Row.from_value(1, value, 0).state == "invalid"


def test_keys_and_hashes_are_unambiguous():
    """Guards against different calls that share a row or a hash."""
    assert claims.make_key("a", "b/c", "d") != claims.make_key("a/b", "c", "d")
    assert claims.hash_call("POST", "/a", b"b") != claims.hash_call(
        "POST", "/", b"ab"
    )


@dataclasses.dataclass
class Attempt:
    """One simulated attempt, followed by its write in the background."""

    sidecar: int
    key: str
    claim: claims.Claim
    action: object
    executions: int = 0
    decide: object = None
    write: claims.Insert | None = None


class ClaimSimulation(stateful.RuleBasedStateMachine):
    """Guards against calls that run twice, or after they were rejected.

    Interleaves attempts at every step between table and service, with lost and
    late effects, outages of the table and restarts of sidecars. The oracle
    counts the executions of each key and stores their outcomes.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.attempts = []
        self.settling = []
        self.late = []
        self.executions = collections.Counter()
        self.outcomes = {}
        self.rejected = []
        self.is_certain = collections.defaultdict(lambda: True)
        self.table_down = False
        self.number = 0

    def read(self, key):
        if key not in self.rows:
            return None
        version, value = self.rows[key]
        return claims.Row.from_value(version, value, 0)

    def apply_insert(self, key, insert):
        row = self.read(key)
        if (row.version if row else 0) != insert.expected:
            return claims.Found(row)
        self.version += 1
        self.rows[key] = (self.version, insert.row.to_value())
        return claims.Written(self.version)

    def execute(self, attempt):
        attempt.executions += 1
        self.executions[attempt.key] += 1
        text = f"{attempt.claim.nonce}".encode()
        self.outcomes[attempt.key] = claims.Outcome(200, (), text)
        return claims.CallCompleted(self.outcomes[attempt.key])

    def write(self, key, insert, mode):
        if mode == "refused" or self.table_down:
            return claims.Refused()
        if mode == "late":
            self.late.append((self.apply_insert, key, insert))
        if mode in ("late", "lost"):
            return claims.ResponseLost()
        event = self.apply_insert(key, insert)
        return claims.ResponseLost() if mode == "effect" else event

    def call(self, attempt, mode):
        match mode:
            case "refused":
                return claims.CallUnsent()
            case "late":
                self.late.append((self.execute, attempt))
            case "effect":
                self.execute(attempt)
            case "ok":
                return self.execute(attempt)
        self.is_certain[attempt.key] = False
        return claims.CallLost()

    MODES = strategies.sampled_from(
        ["ok", "ok", "ok", "refused", "lost", "effect", "late"]
    )
    INDEXES = strategies.integers(0, 5)

    @stateful.rule(
        sidecar=strategies.integers(0, 2), key=strategies.sampled_from("ab")
    )
    def start(self, sidecar, key):
        self.number += 1
        claim = claims.Claim(f"nonce {self.number}", "hash")
        self.attempts.append(Attempt(sidecar, key, claim, claim.start()))

    @stateful.precondition(lambda self: self.attempts)
    @stateful.rule(index=INDEXES, mode=MODES | strategies.just("deadline"))
    def step(self, index, mode):
        attempt = self.attempts[index % len(self.attempts)]
        match attempt.action:
            case _ if mode == "deadline":
                event = claims.DeadlineReached()
            case claims.Insert() as insert:
                event = self.write(attempt.key, insert, mode)
            case claims.Read():
                event = claims.Found(self.read(attempt.key))
                if mode != "ok" or self.table_down:
                    event = claims.ResponseLost()
            case claims.Run():
                event = self.call(attempt, mode)
        self.advance(attempt, event)

    def advance(self, attempt, event):
        attempt.action = attempt.claim.handle_event(event)
        own = (attempt.claim.nonce, attempt.claim.body_hash)
        match attempt.action:
            case claims.Respond(outcome, replayed):
                assert outcome == self.outcomes[attempt.key]
                if not replayed:
                    attempt.decide = lambda row: claims.decide_outcome(
                        row, *own, outcome, 0
                    )
            case claims.Reject(failure, release):
                if failure.verdict is NOT_RUN:
                    self.rejected.append(attempt)
                if release:
                    attempt.decide = lambda row: claims.decide_release(
                        row, *own
                    )
            case _:
                return
        self.attempts.remove(attempt)
        if attempt.decide:
            self.settling.append(attempt)

    @stateful.precondition(lambda self: self.settling)
    @stateful.rule(index=INDEXES, mode=MODES)
    def settle(self, index, mode):
        attempt = self.settling[index % len(self.settling)]
        if attempt.write is None:
            if self.table_down:
                return
            attempt.write = attempt.decide(self.read(attempt.key))
            if attempt.write is None:
                self.settling.remove(attempt)
            return
        event = self.write(attempt.key, attempt.write, mode)
        attempt.write = None
        if isinstance(event, claims.Written):
            self.settling.remove(attempt)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=INDEXES)
    def apply_late_effect(self, index):
        function, *args = self.late.pop(index % len(self.late))
        function(*args)

    @stateful.rule()
    def toggle_table(self):
        self.table_down = not self.table_down

    @stateful.rule(sidecar=strategies.integers(0, 2))
    def restart(self, sidecar):
        for items in (self.attempts, self.settling):
            for attempt in [a for a in items if a.sidecar == sidecar]:
                self.is_certain[attempt.key] = False
                items.remove(attempt)

    @stateful.invariant()
    def check_executions(self):
        assert all(count == 1 for count in self.executions.values())
        assert not any(attempt.executions for attempt in self.rejected)

    def teardown(self):
        """Ends all attempts with a working table and claims each key again."""
        self.table_down = False
        while self.attempts:
            self.step(0, "deadline")
        # Late writes take effect as late as possible: after each attempt has
        # written its last row.
        while self.settling:
            self.settle(0, "ok")
        while self.late:
            self.apply_late_effect(0)
        for key in "ab":
            self.start(0, key)
            attempt = self.attempts[-1]
            while self.attempts and not isinstance(attempt.action, claims.Read):
                self.step(0, "ok")
            # Without a restart or a lost call no key may stay blocked.
            if self.is_certain[key]:
                assert isinstance(attempt.action, claims.Respond)
            self.attempts.clear()
        self.check_executions()


TestClaimSimulation = ClaimSimulation.TestCase
TestClaimSimulation.settings = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
