"""What the crash of a backend server says about a request that it ran.

A crash has one identity, whichever entry notices it, and is evidence against
all requests that the server ran. `quarantines` and `prompts` weigh the evidence
and find the request, or the part of a prompt, that explains the crashes.
"""

import collections.abc
import dataclasses
import enum
import hashlib

from peridotyard_core import fleet


class Progress(enum.Enum):
    """How far a request had come on a path when a server of it crashed."""

    # There was no event of the answer yet.
    NOT_ANSWERED = enum.auto()
    # An earlier path had sent events, and this one none.
    RESUMED = enum.auto()
    # This path had sent events.
    STREAMING = enum.auto()
    # The path refused the request. The server may have crashed before the
    # request reached it.
    REFUSED = enum.auto()


@dataclasses.dataclass(frozen=True, order=True)
class Crash:
    """The crash of a server process that ran a request.

    Attributes:
        id: Identity of the crash, an even number of 64 bits, see `compute_id`.
        is_weak: Whether the request had been on the server for some time, or
            may not have reached it. The server did not crash when it began to
            run the request.
    """

    id: int
    is_weak: bool = False

    def encode(self) -> int:
        """Returns the number that reports the crash to other entries."""
        return self.id | self.is_weak

    @classmethod
    def from_code(cls, code: int) -> "Crash":
        """Returns the crash that a number reports, see `encode`."""
        return cls(code & ~1, bool(code & 1))


@dataclasses.dataclass(frozen=True)
class Finding:
    """What a loss says about a request.

    Attributes:
        crash: The crash to record for the request.
        server: The server that crashed.
        blames_parts: Whether the crash is evidence against the shared parts of
            its prompt, too.
    """

    crash: Crash
    server: fleet.Server
    blames_parts: bool


def compute_id(instance: str, started_at_ms: int) -> int:
    """Returns the identity of the crash of a server process.

    Args:
        instance: The server's instance.
        started_at_ms: Start of the process, Unix time in milliseconds.

    Returns:
        A signed 64-bit integer, which is even.
    """
    text = f"{instance}\0{started_at_ms}"
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big", signed=True) & ~1


def classify_loss(
    ended: collections.abc.Sequence[fleet.Server], progress: Progress
) -> Finding | None:
    """Returns what the loss of servers says about a request.

    Servers that are lost together count as one crash: a request crashes the
    first that begins to run it, and the others have another cause.

    Args:
        ended: Servers of its path whose processes ended since the last call,
            in the order of the path.
        progress: How far the request had come.

    Returns:
        None if no server ended.
    """
    if not ended:
        return None
    server = ended[0]
    is_weak = progress in (Progress.STREAMING, Progress.REFUSED)
    return Finding(
        Crash(compute_id(server.instance, server.started_at_ms), is_weak),
        server,
        # A request with an answer has no part that crashes servers.
        blames_parts=progress is Progress.NOT_ANSWERED,
    )
