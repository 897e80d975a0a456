"""Retry budgets: retries as a fraction of requests."""

import collections

# Below about one retry in ten, retries cannot multiply an overload.
DEFAULT_FRACTION = 0.1
# An idle process may retry a few requests before it has any successes.
DEFAULT_RESERVE = 10.0
MAX_SAVED_RETRIES = 100.0


class RetryBudget:
    """The retries that a process may still make, owned by the process."""

    def __init__(
        self,
        fraction: float = DEFAULT_FRACTION,
        reserve: float = DEFAULT_RESERVE,
        limit: float = MAX_SAVED_RETRIES,
    ):
        """Makes a budget.

        Args:
            fraction: Retries earned by one success.
            reserve: Retries at the start.
            limit: Most retries that can be saved up.
        """
        self._fraction = fraction
        self._limit = limit
        self._balance = min(reserve, limit)

    def record_success(self) -> None:
        """Adds the fraction of one success."""
        self._balance = min(self._limit, self._balance + self._fraction)

    def try_spend(self) -> bool:
        """Takes one retry; False if there is none left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class WindowBudget:
    """Retries of one service within a sliding window, for one of many entries.

    The bound holds for the sum over all entries: each entry uses its share of
    the fixed part, and the fraction of the requests that it sent itself. Owned
    by the process.
    """

    def __init__(
        self,
        fraction: float,
        reserve: float,
        window_s: float,
        started_at: float = float("-inf"),
    ):
        """Makes a budget.

        Args:
            fraction: Retries allowed per request of the window.
            reserve: Retries allowed in a window besides, for all entries.
            window_s: Length of the window, seconds.
            started_at: Start of the process, seconds. The share of the
                reserve grows during its first window, as the process that it
                replaces may have used the whole share just before.
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
        """Takes other limits; what was spent still counts."""
        self._fraction = fraction
        self._reserve = reserve
        self._window_s = window_s

    def record_request(self, now: float) -> None:
        """Counts the first attempt of a request."""
        self._requests.append(now)
        self._trim(now)

    def try_spend(self, now: float, entries: int) -> bool:
        """Takes one retry; False if there is none left.

        Args:
            now: Time, seconds.
            entries: Entries that share the reserve; 0 while their number is
                not known, which leaves the fraction alone.
        """
        self._trim(now)
        share = self._reserve / entries if entries else 0.0
        share *= min(1.0, (now - self._started_at) / self._window_s)
        allowed = self._fraction * len(self._requests) + share
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
