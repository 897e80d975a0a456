"""Silence after which the later servers of a stream are checked early.

Load pattern: streams whose events come at regular times. A missing event of
such a stream shows a lost server sooner than a limit for all streams does. The
check is only a connection, which a server whose process has ended refuses; a
server that is slow or silent for a time is left to the usual probes.
"""

import dataclasses

# Weight of the newest gap in the mean deviation, and the number of deviations
# above the mean after which an event is missing, as in the retransmission
# timer of TCP (RFC 6298).
DEVIATION_SMOOTHING = 0.25
DEVIATIONS = 4.0
# Least silence in mean gaps. A step of a full batch may take half a gap longer.
MIN_GAPS = 1.5
# Least silence, seconds; the same as that of the probes, see `runs`.
MIN_S = 0.06
# Share of the usual limit above which an early check gains too little.
MAX_SHARE = 0.8
# Connections of early checks per request or probe of the entry, so that the
# connections that servers accept grow by at most this share.
CREDIT_SHARE = 0.03
# Connections that may be saved up: two checks of a path of ten servers.
MAX_CREDIT = 20.0


@dataclasses.dataclass(frozen=True)
class Gaps:
    """The gaps between the events of a stream.

    Attributes:
        mean_s: Moving average of the gaps, seconds.
        deviation_s: Moving average of their distance from it, seconds.
    """

    mean_s: float
    deviation_s: float

    @classmethod
    def from_first(cls, gap_s: float) -> "Gaps":
        """Returns the gaps of a stream after the first one.

        Half of it is a cautious deviation, which decreases with further gaps.
        """
        return cls(gap_s, gap_s / 2)

    def add(self, gap_s: float, weight: float) -> "Gaps":
        """Returns the gaps with a further one.

        Args:
            gap_s: The gap, seconds.
            weight: Its weight in the mean.
        """
        error_s = gap_s - self.mean_s
        return Gaps(
            self.mean_s + weight * error_s,
            self.deviation_s
            + DEVIATION_SMOOTHING * (abs(error_s) - self.deviation_s),
        )

    def compute_early_limit(self, usual_limit_s: float) -> float | None:
        """Returns the silence of an early check, seconds; None for none.

        Args:
            usual_limit_s: Silence after which all servers are probed.
        """
        limit_s = max(
            MIN_S,
            MIN_GAPS * self.mean_s,
            self.mean_s + DEVIATIONS * self.deviation_s,
        )
        return limit_s if limit_s <= MAX_SHARE * usual_limit_s else None


class Credit:
    """Bounds the connections of early checks, owned by the process."""

    def __init__(self):
        self._available = MAX_CREDIT

    def earn(self) -> None:
        """Records a request or a probe that the entry sends anyway."""
        self._add(CREDIT_SHARE)

    def try_spend(self) -> bool:
        """Spends a connection; returns whether it may be opened."""
        if self._available < 1:
            return False
        self._available -= 1
        return True

    def refund(self) -> None:
        """Records that a connection found a server that has ended."""
        self._add(1.0)

    def _add(self, amount: float) -> None:
        self._available = min(MAX_CREDIT, self._available + amount)
