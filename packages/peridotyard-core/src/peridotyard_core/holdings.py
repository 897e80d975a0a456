"""Memory for the data of callers: which of it is dropped when it runs out.

The load is a crowd of callers that send large bodies and stop short of the end,
or that do not read their responses, beside ordinary ones. What a caller makes
an entry keep is a holding. Stalled holdings are dropped first, the one without
progress for the longest time first; then the largest one of the client that
makes the entry keep most. So a small request is never refused in favour of a
large one, and no body that arrives at an ordinary pace while a stalled one is
kept.
"""

import collections
import dataclasses

# Time without progress after which a holding counts as stalled, seconds. Links
# that lose packets pause for some tenths of a second.
STALL_S = 1.0
# Bytes that count as progress, so that single bytes do not keep a body alive.
PROGRESS_BYTES = 1024
# Size up to which a holding may use all of the memory, bytes. Larger ones leave
# a part free, so that ordinary requests find memory beside large bodies that
# are being served.
SMALL_BYTES = 32 << 10
LARGE_SHARE = 0.75


@dataclasses.dataclass(eq=False)
class Holding:
    """Data that an entry keeps for one caller.

    Attributes:
        client: Address of the caller.
        progressed_at: Time of the last progress, seconds.
        held_bytes: Size of the data.
        is_droppable: Whether it may be dropped: it is still being received, or
            it is a response that is being sent.
        is_dropped: Whether it was dropped; it holds nothing from then on.
    """

    client: str
    progressed_at: float
    held_bytes: int = 0
    is_droppable: bool = True
    is_dropped: bool = False
    _bytes_since_progress: int = 0

    def record_progress(self, count: int, now: float) -> None:
        """Records that a number of bytes were received or sent."""
        self._bytes_since_progress += count
        if self._bytes_since_progress >= PROGRESS_BYTES:
            self._bytes_since_progress = 0
            self.progressed_at = now


@dataclasses.dataclass(frozen=True)
class Granted:
    """The bytes may be kept.

    Attributes:
        dropped: Holdings that were dropped for them.
    """

    dropped: tuple[Holding, ...] = ()


@dataclasses.dataclass(frozen=True)
class Denied:
    """The bytes must not be kept: nothing else may be dropped for them."""


class Budget:
    """The memory for the data of all callers of an entry.

    Attributes:
        limit_bytes: Its size.
        held_bytes: The part that is used.
    """

    def __init__(self, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._holdings: set[Holding] = set()

    def open(self, client: str, now: float) -> Holding:
        """Returns a new, empty holding.

        Args:
            client: Address of the caller.
            now: Current time, seconds.
        """
        holding = Holding(client, now)
        self._holdings.add(holding)
        return holding

    def grow(
        self, holding: Holding, count: int, now: float
    ) -> Granted | Denied:
        """Decides whether a holding may grow; counts the bytes if so.

        Args:
            holding: The holding.
            count: Number of further bytes.
            now: Current time, seconds.
        """
        if holding.is_dropped:
            return Denied()
        size = holding.held_bytes + count
        limit = self.limit_bytes
        if size > SMALL_BYTES:
            limit = int(limit * LARGE_SHARE)
        excess = self.held_bytes + count - limit
        chosen: list[Holding] = []
        if excess > 0:
            found = self._choose_dropped(holding, size, excess, now)
            if found is None:
                return Denied()
            chosen = found
        for dropped in chosen:
            self.close(dropped)
            dropped.is_dropped = True
        holding.held_bytes = size
        self.held_bytes += count
        return Granted(tuple(chosen))

    def close(self, holding: Holding) -> None:
        """Ends a holding; the memory is free again."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held_bytes -= holding.held_bytes
            holding.held_bytes = 0

    def _choose_dropped(
        self, asking: Holding, size: int, excess: int, now: float
    ) -> list[Holding] | None:
        """Returns holdings with `excess` bytes in all, None if too few may go.

        Args:
            asking: The holding that grows.
            size: Its new size.
            excess: Bytes that have to be freed.
            now: Current time, seconds.
        """
        others = [
            holding
            for holding in self._holdings
            if holding.is_droppable
            and holding.held_bytes
            and holding is not asking
        ]
        others.sort(key=lambda holding: holding.progressed_at)
        chosen = []
        while others and excess > 0:
            if now - others[0].progressed_at < STALL_S:
                break
            excess -= others[0].held_bytes
            chosen.append(others.pop(0))
        if excess <= 0:
            return chosen
        totals = collections.Counter({asking.client: size})
        for holding in others:
            totals[holding.client] += holding.held_bytes
        own = (totals[asking.client], size)
        others.sort(
            key=lambda holding: (totals[holding.client], holding.held_bytes)
        )
        while others and excess > 0:
            largest = others.pop()
            if (totals[largest.client], largest.held_bytes) <= own:
                return None
            excess -= largest.held_bytes
            chosen.append(largest)
        return chosen if excess <= 0 else None
