"""Verdicts, which state whether a failed request may have run."""

import dataclasses
import enum


class Verdict(enum.Enum):
    """Whether a failed request has been executed."""

    # No part has run, so the caller may safely send the request again.
    NOT_RUN = "not-run"
    # It is unknown whether the request has run.
    MAY_HAVE_RUN = "may-have-run"
    # The request has run, but its response cannot be sent.
    RAN = "ran"


@dataclasses.dataclass(frozen=True)
class Failure:
    """Failure of a request, as the failure side of a `returns.result.Result`.

    Attributes:
        code: Error code, a key of `errors.CODES`.
        verdict: Whether the request may have run.
        message: One sentence for the caller.
        retry_after_s: Time after which a retry may succeed, seconds; None if
            unknown.
    """

    code: str
    verdict: Verdict
    message: str
    retry_after_s: float | None = None


def make_not_run_failure(
    code: str, message: str, retry_after_s: float | None = None
):
    """Returns the failure of a request of which no part has run.

    Args:
        code: Error code, a key of `errors.CODES`.
        message: One sentence for the caller.
        retry_after_s: Time after which a retry may succeed, seconds; None if
            unknown.
    """
    return Failure(code, Verdict.NOT_RUN, message, retry_after_s)


def make_may_have_run_failure(code: str, message: str) -> Failure:
    """Returns the failure of a request that may have run.

    Args:
        code: Error code, a key of `errors.CODES`.
        message: One sentence for the caller.
    """
    return Failure(code, Verdict.MAY_HAVE_RUN, message)
