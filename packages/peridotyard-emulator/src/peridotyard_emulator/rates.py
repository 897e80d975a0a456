"""Rate limits of the emulated services."""


class TokenBucket:
    """A token bucket with the capacity of one second.

    Owned by the state of an emulated service.
    """

    def __init__(self, per_s: float, now):
        """Creates a full bucket.

        Args:
            per_s: Tokens added per second, 0 for no limit.
            now: Monotonic clock, returns seconds.
        """
        self._per_s = per_s
        self._now = now
        self._tokens = per_s
        self._refilled_at = None

    def acquire_token(self) -> bool:
        """Removes a token; returns False if there is none."""
        if not self._per_s:
            return True
        now = self._now()
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._per_s
            self._tokens = min(max(self._per_s, 1.0), self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class BandwidthLimiter:
    """Limits the total bandwidth of all transfers.

    Owned by the state of an emulated service.
    """

    def __init__(self, per_s: float, now):
        """Creates a limiter without reservations.

        Args:
            per_s: Units, such as bytes, transferred per second.
            now: Monotonic clock, returns seconds.
        """
        self._per_s = per_s
        self._now = now
        self._free_at = 0.0

    def reserve(self, count: int) -> float:
        """Reserves time for `count` units; returns the seconds to its end."""
        now = self._now()
        start = max(now, self._free_at)
        self._free_at = start + count / self._per_s
        return self._free_at - now
