"""Use of the links between availability zones by new streams.

A path that changes zones sends the activations of the whole prompt over a link
that all streams share. Once it is saturated, no stream over it has an event in
time, and all of them hold memory on their servers meanwhile.
"""

import random as random_module

from peridotyard_core import fleet

# Part of the bandwidth that new streams use. The delay on a link grows without
# bound as it gets close to saturation.
USED_PART = 0.8
# Shortest time after which an entry gets its next share of the links, seconds.
INTERVAL_S = 0.5
# Longest time for which it gets its share, seconds. What was not used for
# longer is lost, since the sum over many entries would be a long queue.
SAVED_S = 1.0


def compute_rate(engine: fleet.Engine) -> float:
    """Returns the zone changes of mean streams per second that links carry.

    Infinite if the bandwidth is unknown.

    Args:
        engine: The engine and its model.
    """
    tokens = engine.prompt_tokens + engine.response_tokens
    # The factor converts megabytes to megabits.
    stream_mbit = 8 * engine.activation_mb * tokens
    if not engine.zone_link_mbps or not stream_mbit:
        return float("inf")
    return USED_PART * engine.zone_link_mbps / stream_mbit


class LinkShare:
    """An entry's share of the links, owned by its view.

    Each entry uses an equal share, so that no messages are needed. The share of
    an interval is rounded at random to a whole number of zone changes, so that
    the sum over all entries stays within what the links carry, however many
    entries there are.
    """

    def __init__(self, random: random_module.Random):
        """Creates a share.

        Args:
            random: Source of random choices.
        """
        self._random = random
        # Zone changes that are allowed in the present interval; negative after
        # streams that have begun used more.
        self._allowed = 0.0
        self._updated_at = float("-inf")

    def has_room(self, rate_per_s: float, now: float) -> bool:
        """Returns whether a new stream may change zones.

        Args:
            rate_per_s: This entry's share of the zone changes per second.
            now: Current time, seconds.
        """
        if rate_per_s == float("inf"):
            return True
        self._update(rate_per_s, now)
        return self._allowed > 0

    def estimate_chance(self, rate_per_s: float, now: float) -> float:
        """Returns how likely `has_room` is true now; changes nothing.

        Args:
            rate_per_s: This entry's share of the zone changes per second.
            now: Current time, seconds.
        """
        if rate_per_s == float("inf"):
            return 1.0
        allowed, chance = self._compute_allowed(rate_per_s, now)
        return 1.0 if allowed > 0 else chance or 0.0

    def record_changes(self, count: int, rate_per_s: float, now: float) -> None:
        """Records the zone changes of a stream that was sent.

        Those of streams that have begun are never refused, but leave less for
        new streams.

        Args:
            count: Number of zone changes of its path.
            rate_per_s: This entry's share of the zone changes per second.
            now: Current time, seconds.
        """
        if rate_per_s < float("inf"):
            self._update(rate_per_s, now)
            self._allowed -= count

    def _update(self, rate_per_s: float, now: float) -> None:
        if now - self._updated_at < INTERVAL_S:
            return
        allowed, chance = self._compute_allowed(rate_per_s, now)
        if chance is not None:
            allowed += self._random.random() < chance
        self._allowed = allowed
        self._updated_at = now

    def _compute_allowed(
        self, rate_per_s: float, now: float
    ) -> tuple[float, float | None]:
        """Returns the zone changes that are allowed now.

        Returns:
            Their number, and the probability of one more, which is drawn at
            random; None if nothing is drawn.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s < INTERVAL_S:
            return self._allowed, None
        if self._allowed < 0:
            # Only time makes up for what was used too much.
            return min(0.0, self._allowed + rate_per_s * elapsed_s), None
        share = rate_per_s * min(elapsed_s, SAVED_S)
        whole = int(share)
        return whole, share - whole
