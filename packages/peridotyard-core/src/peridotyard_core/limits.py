"""Request rates that backend servers accept from all entries together."""

import dataclasses

# Unused requests that are kept, in seconds of the rate, besides the first one.
# The sum of all entries over a short time stays close to the rate then.
BURST_S = 0.5
# Lowest rate at which requests are sent to a server. A lower one would leave it
# unknown for long whether the server still states its limit.
MIN_RATE_PER_S = 0.25


@dataclasses.dataclass(frozen=True)
class Granted:
    """A request may be sent to the server.

    Attributes:
        wait_s: Time after which it may be sent, seconds.
    """

    wait_s: float


@dataclasses.dataclass(frozen=True)
class Denied:
    """A request must not be sent to the server.

    Attributes:
        wait_s: Time after which the next request may be sent, seconds.
    """

    wait_s: float


Decision = Granted | Denied


class RequestRate:
    """Token bucket of one server, owned by the entry that grants requests.

    It begins empty, since the entry that granted requests before may just have
    used up the rate.
    """

    def __init__(self, now: float):
        """Creates a bucket.

        Args:
            now: Current time, seconds.
        """
        self._tokens = 0.0
        self._updated_at = now

    def reserve(
        self, rate_per_s: float, max_wait_s: float, now: float
    ) -> Decision:
        """Reserves one request.

        Args:
            rate_per_s: Requests per second that may be sent.
            max_wait_s: Longest time that the request can wait, seconds.
            now: Current time, seconds.
        """
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        gained = (now - self._updated_at) * rate_per_s
        burst = 1.0 + BURST_S * rate_per_s
        self._tokens = min(burst, self._tokens + gained)
        self._updated_at = now
        wait_s = max(0.0, (1.0 - self._tokens) / rate_per_s)
        if wait_s > max_wait_s:
            return Denied(wait_s)
        self._tokens -= 1.0
        return Granted(wait_s)
