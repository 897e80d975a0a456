"""Shared limit of the memory of inputs that are received at the same time.

It addresses peers that send the beginning of many large messages and stop. Each
message is within its own limit, and all of them together exceed the memory of
the process.
"""

import collections.abc
import dataclasses


@dataclasses.dataclass(eq=False)
class Buffer:
    """What has been received of one message, owned by its reader.

    Attributes:
        started_at: Time at which its first byte was received, seconds.
        evict: Makes the reader give up the message; called at most once.
        size_bytes: Bytes received so far.
        is_evicted: Whether `evict` was called.
    """

    started_at: float
    evict: collections.abc.Callable[[], None]
    size_bytes: int = 0
    is_evicted: bool = False


class Buffers:
    """All unfinished messages of one kind of input, owned by its listener.

    When they exceed the limit, messages are given up until they fit: first the
    one with the largest product of size and age. A message that arrives at a
    usual speed therefore stays, as do small ones, and a large one that has
    stopped does not.
    """

    def __init__(self, limit_bytes: int, small_bytes: int = 0):
        """Creates an empty set.

        Args:
            limit_bytes: Largest sum of the sizes of all messages. It has to
                exceed the limit of a single one.
            small_bytes: Size up to which messages are not given up. The sum
                may exceed the limit by as much for each of them.
        """
        self._limit_bytes = limit_bytes
        self._small_bytes = small_bytes
        self._buffers: set[Buffer] = set()
        # Complete messages whose memory is still in use.
        self._kept: set[Buffer] = set()
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Sum of the sizes of all messages that are open."""
        return self._total_bytes

    def open(
        self, evict: collections.abc.Callable[[], None], now: float
    ) -> Buffer:
        """Returns the buffer of a new message.

        Args:
            evict: Makes the reader give up the message. It must not block.
            now: Current time, seconds.
        """
        buffer = Buffer(now, evict)
        self._buffers.add(buffer)
        return buffer

    def resize(self, buffer: Buffer, size_bytes: int, now: float) -> None:
        """Records the size of a message; gives up messages above the limit.

        The message itself may be among them, see `Buffer.is_evicted`.

        Args:
            buffer: A buffer that is open.
            size_bytes: Bytes received so far.
            now: Current time, seconds.
        """
        if buffer not in self._buffers:
            return
        self._total_bytes += size_bytes - buffer.size_bytes
        buffer.size_bytes = size_bytes
        while self._total_bytes > self._limit_bytes:
            evicted = max(
                (b for b in self._buffers if b.size_bytes > self._small_bytes),
                key=lambda b: (
                    b.size_bytes * (now - b.started_at),
                    b.size_bytes,
                ),
                default=None,
            )
            if evicted is None:
                return
            self.close(evicted)
            evicted.is_evicted = True
            evicted.evict()

    def keep(self, buffer: Buffer) -> None:
        """Records that a message is complete: it counts, but is not given up.

        Args:
            buffer: A buffer that is open; nothing changes if it was given up.
        """
        if buffer in self._buffers:
            self._buffers.remove(buffer)
            self._kept.add(buffer)

    def close(self, buffer: Buffer) -> None:
        """Removes a message whose memory is not in use any more."""
        for members in (self._buffers, self._kept):
            if buffer in members:
                members.remove(buffer)
                self._total_bytes -= buffer.size_bytes
