"""Verdicts: whether a request that has no answer may have run."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """What is known about the execution of a failed request."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


@dataclasses.dataclass(frozen=True)
class Failure:
    """The failure side of a `returns.result.Result`.

    Attributes:
        code: A key of `errors.CODES`.
        verdict: Whether the request may have run.
        message: One sentence for the caller.
        retry_after_s: Seconds after which a retry is useful, if known.
    """

    code: str
    verdict: Verdict
    message: str
    retry_after_s: float | None = None


def make_not_run_failure(
    code: str, message: str, retry_after_s: float | None = None
):
    """Returns the failure of a request of which no part has run."""
    return Failure(code, Verdict.NOT_RUN, message, retry_after_s)


def make_may_have_run_failure(code: str, message: str) -> Failure:
    """Returns the failure of a request that may have run."""
    return Failure(code, Verdict.MAY_HAVE_RUN, message)
