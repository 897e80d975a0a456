"""Claims, by which a non-idempotent call runs at most once.

A claim is a row of the platform's table. Each attempt of a call has a random
nonce and may run only after the table has accepted a row with that nonce.
This module is a state machine without I/O: the user of `Claim` executes the
returned actions, reports their results as events and watches the deadline.
"""

import base64
import binascii
import dataclasses
import enum
import hashlib
import typing
import urllib.parse

from peridotyard_core import verdicts

# States of a row.
STARTED = "started"
OUTCOME = "outcome"
RELEASED = "released"


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Response of the service to the one call that ran.

    Attributes:
        status: HTTP status; 0 if the response could not be stored.
        headers: Name and value of each header.
        body: Body of the response.
        message: Reason why the response could not be stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    message: str = ""


@dataclasses.dataclass(frozen=True)
class Row:
    """A claim as it is stored in the table.

    Attributes:
        version: Version of the row in the table; 0 before it is written.
        state: `STARTED`, `OUTCOME`, `RELEASED`, or another text if the row
            cannot be interpreted.
        nonce: Nonce of the attempt that wrote the row.
        body_hash: See `hash_call`.
        outcome: Response to the call; set in state `OUTCOME`.
        expires_at_s: Unix time after which the key may be used again, 0 for
            never.
    """

    version: int
    state: str
    nonce: str
    body_hash: str
    outcome: Outcome | None = None
    expires_at_s: float = 0.0

    @classmethod
    def from_value(cls, version: int, value: typing.Any, now_s: float) -> "Row":
        """Returns the row with a JSON value.

        An outcome whose retention has ended becomes a released row, since its
        key may be used again. A started row never expires: the call may have
        run, and nothing that happens later rules this out. A value that cannot
        be interpreted, such as one of a later release, gets the state
        "invalid".

        Args:
            version: Version of the row in the table.
            value: JSON value of the row.
            now_s: Unix time, seconds.
        """
        try:
            row = cls(
                version,
                str(value["state"]),
                str(value["nonce"]),
                str(value["body_hash"]),
                _parse_outcome(value.get("outcome")),
                float(value.get("expires_at_s", 0)),
            )
        except (TypeError, ValueError, LookupError, AttributeError):
            return cls(version, "invalid", "", "")
        if row.state == OUTCOME:
            if row.outcome is None:
                return dataclasses.replace(row, state="invalid")
            if 0 < row.expires_at_s <= now_s:
                return dataclasses.replace(row, state=RELEASED, outcome=None)
        return row

    def to_value(self) -> dict:
        """Returns the JSON value of the row."""
        value = {
            "state": self.state,
            "nonce": self.nonce,
            "body_hash": self.body_hash,
            "expires_at_s": self.expires_at_s,
        }
        if self.outcome is not None:
            value["outcome"] = {
                "status": self.outcome.status,
                "headers": [list(pair) for pair in self.outcome.headers],
                "body": base64.b64encode(self.outcome.body).decode(),
                "message": self.outcome.message,
            }
        return value


def _parse_outcome(value) -> Outcome | None:
    if value is None:
        return None
    try:
        body = base64.b64decode(value["body"], validate=True)
    except binascii.Error as error:
        raise ValueError("body") from error
    headers = tuple((str(name), str(text)) for name, text in value["headers"])
    return Outcome(int(value["status"]), headers, body, str(value["message"]))


def make_key(workspace: str, service: str, key: str) -> str:
    """Returns the key of the row in the table.

    The parts are quoted, so that ("a/b", "c") and ("a", "b/c") have different
    keys.
    """
    parts = (workspace, service, key)
    return "claims/" + "/".join(urllib.parse.quote(p, safe="") for p in parts)


def hash_call(method: str, path: str, body: bytes) -> str:
    """Returns the hash by which two calls with one key are compared."""
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        # The lengths make the hash differ if bytes move from part to part.
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


# Events: results of the last action.


@dataclasses.dataclass(frozen=True)
class Written:
    """The table accepted the row."""

    version: int


@dataclasses.dataclass(frozen=True)
class Found:
    """The table returned the row, on a read or a conflict; None if absent."""

    row: Row | None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The last request to the table had no effect and will have none."""


@dataclasses.dataclass(frozen=True)
class ResponseLost:
    """The response was lost; a write may have taken effect, or may later."""


@dataclasses.dataclass(frozen=True)
class DeadlineReached:
    """The time limit of the call is over."""


@dataclasses.dataclass(frozen=True)
class CallUnsent:
    """The service cannot have received the call."""


@dataclasses.dataclass(frozen=True)
class CallLost:
    """The service may have received the call; there is no response."""


@dataclasses.dataclass(frozen=True)
class CallCompleted:
    """The service sent a complete response."""

    outcome: Outcome


Event = (
    Written
    | Found
    | Refused
    | ResponseLost
    | DeadlineReached
    | CallUnsent
    | CallLost
    | CallCompleted
)


# Actions: what the user of a claim does next.


@dataclasses.dataclass(frozen=True)
class Insert:
    """Write the row on condition that its current version is `expected`."""

    row: Row
    expected: int


@dataclasses.dataclass(frozen=True)
class Read:
    """Read the row, after a pause if `is_poll`."""

    is_poll: bool


@dataclasses.dataclass(frozen=True)
class Run:
    """Call the service now, once."""


@dataclasses.dataclass(frozen=True)
class Respond:
    """Send the outcome to the caller.

    Attributes:
        outcome: The outcome.
        replayed: Whether it is the stored outcome of an earlier attempt, so
            that it need not be written.
    """

    outcome: Outcome
    replayed: bool


@dataclasses.dataclass(frozen=True)
class Reject:
    """Send the failure to the caller.

    Attributes:
        failure: The failure.
        release: Whether this attempt, which will never run, may have left a
            started row; see `decide_release`.
    """

    failure: verdicts.Failure
    release: bool = False


Action = Insert | Read | Run | Respond | Reject


class Phase(enum.Enum):
    """Progress of an attempt."""

    # An insert of the started row has been requested.
    INSERTING = "inserting"
    # The result of an insert is unknown, so the row must be read.
    RESOLVING = "resolving"
    # Another attempt has started the call and its outcome is awaited.
    WAITING = "waiting"
    # The row has the nonce of this attempt, so the call may run.
    OWNED = "owned"
    # The last action has been returned.
    DONE = "done"


@dataclasses.dataclass
class Claim:
    """One attempt of a non-idempotent call, owned by the service's sidecar.

    Attributes:
        nonce: Random identity of the attempt.
        body_hash: See `hash_call`.
        phase: Progress of the attempt.
        version: Version of this attempt's row while `phase` is `OWNED`.
        is_unresolved: Whether the result of an insert is unknown, so that it
            may have taken effect or may do so later.
    """

    nonce: str
    body_hash: str
    phase: Phase = Phase.INSERTING
    version: int = 0
    is_unresolved: bool = False

    def start(self) -> Action:
        """Returns the first action."""
        return self._insert(0)

    def handle_event(self, event: Event) -> Action:
        """Returns the action that follows an event.

        Raises:
            ValueError: The event cannot follow the last action.
        """
        match self.phase, event:
            case Phase.INSERTING, Written(version):
                return self._acquire(version)
            case (
                (Phase.INSERTING | Phase.RESOLVING | Phase.WAITING),
                Found(row),
            ):
                return self._handle_row(row)
            case Phase.INSERTING, ResponseLost():
                self.is_unresolved = True
                self.phase = Phase.RESOLVING
                return Read(is_poll=False)
            case Phase.INSERTING, Refused() if not self.is_unresolved:
                return self._reject_unavailable()
            case (
                (Phase.INSERTING | Phase.RESOLVING),
                (Refused() | ResponseLost()),
            ):
                self.phase = Phase.RESOLVING
                return Read(is_poll=True)
            case Phase.WAITING, Refused() | ResponseLost():
                return Read(is_poll=True)
            case _, DeadlineReached() if self.phase is not Phase.DONE:
                return self._handle_deadline()
            case Phase.OWNED, CallUnsent() | CallLost() | CallCompleted():
                return self._finish_call(event)
        raise ValueError(f"{event} in phase {self.phase.value}")

    def _insert(self, expected: int) -> Insert:
        self.phase = Phase.INSERTING
        row = Row(0, STARTED, self.nonce, self.body_hash)
        return Insert(row, expected)

    def _acquire(self, version: int) -> Run:
        self.phase = Phase.OWNED
        self.version = version
        self.is_unresolved = False
        return Run()

    def _handle_row(self, row: Row | None) -> Action:
        if row is None:
            return self._insert(0)
        if row.state == RELEASED:
            # The attempt that released the row never ran, so the key may be
            # used even with another body.
            return self._insert(row.version)
        if row.state == STARTED and row.nonce == self.nonce:
            return self._acquire(row.version)
        # The row belongs to another attempt. An insert of this attempt can no
        # longer take effect, since its condition names an older version.
        self.is_unresolved = False
        if row.state not in (STARTED, OUTCOME):
            return self._reject(
                verdicts.make_may_have_run_failure(
                    "outcome-unknown",
                    f"The claim is in the unknown state {row.state!r}.",
                )
            )
        if row.body_hash != self.body_hash:
            return self._reject(
                verdicts.make_not_run_failure(
                    "idempotency-key-reused",
                    "The idempotency key was used with another request.",
                )
            )
        if row.state == OUTCOME:
            self.phase = Phase.DONE
            return Respond(row.outcome, replayed=True)
        self.phase = Phase.WAITING
        return Read(is_poll=True)

    def _reject_unavailable(self) -> Reject:
        return self._reject(
            verdicts.make_not_run_failure(
                "store-unavailable", "The table service is unavailable.", 1.0
            )
        )

    def _handle_deadline(self) -> Reject:
        if self.phase is Phase.WAITING:
            return self._reject(
                verdicts.make_may_have_run_failure(
                    "outcome-unknown",
                    "An earlier call with this key has no known outcome.",
                )
            )
        release = self.is_unresolved or self.phase is Phase.OWNED
        return self._reject(
            verdicts.make_not_run_failure(
                "deadline-exceeded", "The call was not started in time."
            ),
            release,
        )

    def _finish_call(self, event) -> Action:
        match event:
            case CallCompleted(outcome):
                self.phase = Phase.DONE
                return Respond(outcome, replayed=False)
            case CallLost():
                return self._reject(
                    verdicts.make_may_have_run_failure(
                        "backend-lost",
                        "The service did not send a complete response.",
                    )
                )
            case _:
                return self._reject(
                    verdicts.make_not_run_failure(
                        "backend-unavailable",
                        "The service cannot be reached.",
                        1.0,
                    ),
                    release=True,
                )

    def _reject(self, failure: verdicts.Failure, release=False) -> Reject:
        self.phase = Phase.DONE
        return Reject(failure, release)


def decide_release(row: Row | None, nonce: str, body_hash: str):
    """Returns the write that releases the key of an attempt that never runs.

    A released row is written even if there is no row, since an insert of the
    attempt may still be in transit to the table.

    Args:
        row: The row as last read, None if absent.
        nonce: Nonce of the attempt.
        body_hash: See `hash_call`.

    Returns:
        The insert, or None if nothing has to be released.
    """
    released = Row(0, RELEASED, nonce, body_hash)
    if row is None:
        return Insert(released, 0)
    # An insert of the attempt that was lost, over a row that another attempt
    # released, is conditional on the version of that row. Writing a newer
    # version prevents it from taking effect.
    if (row.state == STARTED) == (row.nonce == nonce) and row.state in (
        STARTED,
        RELEASED,
    ):
        return Insert(released, row.version)
    return None


def decide_outcome(
    row: Row | None, nonce: str, body_hash: str, outcome: Outcome, expires_at_s
):
    """Returns the write that stores the outcome of an attempt.

    Args:
        row: The row as last read, None if absent.
        nonce: Nonce of the attempt.
        body_hash: See `hash_call`.
        outcome: The outcome.
        expires_at_s: Unix time after which the key may be used again.

    Returns:
        The insert, or None if the row is not the attempt's started row.
    """
    if row is not None and row.state == STARTED and row.nonce == nonce:
        done = Row(0, OUTCOME, nonce, body_hash, outcome, expires_at_s)
        return Insert(done, row.version)
    return None
