"""Retry budget: retries as a fraction of successes."""

# Below about one retry in ten, retries cannot multiply an overload.
DEFAULT_FRACTION = 0.1
# An idle process may retry a few requests before it has any successes.
DEFAULT_RESERVE = 10.0
LIMIT = 100.0


class RetryBudget:
    """The retries that a process may still make, owned by the process."""

    def __init__(
        self,
        fraction: float = DEFAULT_FRACTION,
        reserve: float = DEFAULT_RESERVE,
        limit: float = LIMIT,
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

    def spend(self) -> bool:
        """Takes one retry; False if there is none left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
