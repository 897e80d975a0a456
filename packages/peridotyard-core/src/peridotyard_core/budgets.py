"""Retry budgets, which limit retries to a fraction of the requests."""

import collections

# With at most one retry for ten requests, retries cannot multiply an overload.
DEFAULT_FRACTION = 0.1
# Allows a process to retry a few requests before the first one has succeeded.
DEFAULT_RESERVE = 10.0
MAX_SAVED_RETRIES = 100.0
# Part of the allowed retries of a window that the entries use. Each one counts
# its own window, so the sum can exceed the limit when callers move from entries
# that have spent their retries and ended to the others.
USED_PART = 0.92
# Part of the allowed retries that only streams that have begun may use. Most
# retries follow refusals by full servers, and in an overload these would use up
# the budget of the streams that lose a server.
BEGUN_PART = 0.25


class RetryBudget:
    """Number of retries that a process may still make, owned by the process.

    Successful requests add to the budget and retries subtract from it.
    """

    def __init__(
        self,
        fraction: float = DEFAULT_FRACTION,
        reserve: float = DEFAULT_RESERVE,
        limit: float = MAX_SAVED_RETRIES,
    ):
        """Creates a budget.

        Args:
            fraction: Retries that one successful request adds.
            reserve: Retries at the start.
            limit: Largest number of unused retries that are kept.
        """
        self._fraction = fraction
        self._limit = limit
        self._balance = min(reserve, limit)

    def record_success(self) -> None:
        """Adds `fraction` retries for a successful request."""
        self._balance = min(self._limit, self._balance + self._fraction)

    def try_spend(self) -> bool:
        """Subtracts one retry; returns False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class WindowBudget:
    """Retry budget of one service in a sliding window, owned by the process.

    The limit applies to the sum over all entries: each entry may use its share
    of the fixed reserve, and a fraction of the requests that it sent itself.
    """

    def __init__(
        self,
        fraction: float,
        reserve: float,
        window_s: float,
        started_at: float = float("-inf"),
    ):
        """Creates a budget.

        Args:
            fraction: Retries allowed for each request in the window.
            reserve: Additional retries allowed in a window, for all entries
                together.
            window_s: Length of the window, seconds.
            started_at: Start time of the process, seconds. The share of the
                reserve grows from 0 during the first window, since the process
                that this one replaces may just have used the whole share.
        """
        self._fraction = fraction
        self._reserve = reserve
        self._window_s = window_s
        self._started_at = started_at
        self._requests = collections.deque()
        self._retries = collections.deque()

    def update_limits(
        self, fraction: float, reserve: float, window_s: float
    ) -> None:
        """Replaces the limits; earlier requests and retries still count.

        Args:
            fraction: Retries allowed for each request in the window.
            reserve: Additional retries allowed in a window, for all entries
                together.
            window_s: Length of the window, seconds.
        """
        self._fraction = fraction
        self._reserve = reserve
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Records the first attempt of a request."""
        self._requests.append(now)
        self._trim(now)

    def try_spend(
        self, now: float, entries: int, is_limited: bool = False
    ) -> bool:
        """Uses one retry; returns False if none is left.

        Args:
            now: Current time, seconds.
            entries: Number of entries that share the reserve; 0 if unknown, so
                that only the fraction of the requests is allowed.
            is_limited: Whether the retry must not use the part that is kept for
                streams that have begun.
        """
        if not self.has_retry(now, entries, is_limited):
            return False
        self._retries.append(now)
        return True

    def has_retry(
        self, now: float, entries: int, is_limited: bool = False
    ) -> bool:
        """Returns whether a retry is left; see `try_spend`."""
        self._trim(now)
        share = self._reserve / entries if entries else 0.0
        share *= min(1.0, (now - self._started_at) / self._window_s)
        allowed = self._fraction * len(self._requests) + share
        if is_limited:
            allowed *= 1 - BEGUN_PART
        return len(self._retries) + 1 <= allowed

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
