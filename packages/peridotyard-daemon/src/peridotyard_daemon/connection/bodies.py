"""Request bodies of one HTTP address, with a common limit of their memory."""

import math

from peridotyard_core import buffers as buffers_module
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import http
from peridotyard_daemon.process import violations as violations_module

# A body up to this size is not rejected for memory: the requests of ordinary
# callers are served while others have used up the limit.
SMALL_BYTES = 16 << 10
# Parts of a body that may be small, and the least mean size in bytes beyond
# them. Each part costs as much processor time as some kilobytes. Clients that
# send each token of JSON by itself have parts of 4 bytes and more.
SMALL_PARTS = 16_384
MIN_PART_BYTES = 4
# Time after which a caller may repeat a request that was rejected for memory,
# seconds. Others end or are rejected within it.
RETRY_AFTER_S = 1.0


class Bodies:
    """The bodies of the requests in progress, owned by the process.

    Both bodies that are being received and complete ones count, until their
    requests end. Only the former are rejected.
    """

    def __init__(self, limit_bytes: int, memory_bytes: int, count):
        """Creates an empty set.

        Args:
            limit_bytes: Largest size of one body.
            memory_bytes: Largest size of all bodies together.
            count: Increases the counter of the given name.
        """
        self.limit_bytes = limit_bytes
        # A single body within its limit is always accepted.
        self.buffers = buffers_module.Buffers(
            max(memory_bytes, limit_bytes), SMALL_BYTES
        )
        self.violations = violations_module.Violations(count)

    @classmethod
    def from_config(cls, settings, count) -> "Bodies":
        """Creates the bodies of callers from a `settings.EntrySettings`."""
        return cls(settings.body_limit_bytes, settings.body_memory_bytes, count)

    def open(self, request: http.Request, receive) -> "Body":
        """Returns the body of a request; it has to be closed.

        Args:
            request: The request.
            receive: ASGI function.
        """
        return Body(self, request, receive)


class Body:
    """The body of one request, a context manager owned by the request."""

    def __init__(self, bodies: Bodies, request: http.Request, receive):
        self._bodies = bodies
        self._receive = receive
        self._announced_bytes = _read_length(request)
        self._scope = trio.CancelScope()
        self._buffer = bodies.buffers.open(
            lambda: self._scope.cancel(), trio.current_time()
        )
        self._parts = 0
        self._is_complete = False

    def __enter__(self) -> "Body":
        return self

    def __exit__(self, *_) -> None:
        self._bodies.buffers.close(self._buffer)

    async def receive(self) -> dict:
        """Returns the next message; an ASGI function.

        Raises:
            http.RequestError: The body violates a limit.
        """
        if self._is_complete:
            return await self._receive()
        self._check_length()
        if not self._buffer.is_evicted:
            with trio.CancelScope() as self._scope:
                message = await self._receive()
                if message["type"] == "http.request":
                    self._record(message)
        if self._buffer.is_evicted:
            raise self._reject(
                "body_memory",
                "overloaded",
                "The bodies of all requests take too much memory.",
                RETRY_AFTER_S,
            )
        return message

    def _check_length(self) -> None:
        limit_bytes = self._bodies.limit_bytes
        if self._announced_bytes > limit_bytes:
            raise self._reject(
                "body_length",
                "body-too-large",
                f"The body exceeds {limit_bytes} bytes.",
            )

    def _record(self, message: dict) -> None:
        self._parts += 1
        size = self._buffer.size_bytes + len(message.get("body", b""))
        if self._parts > SMALL_PARTS and size < MIN_PART_BYTES * self._parts:
            raise self._reject(
                "body_parts",
                "bad-request",
                "The body consists of too many small parts.",
            )
        self._bodies.buffers.resize(self._buffer, size, trio.current_time())
        if not message.get("more_body") and not self._buffer.is_evicted:
            self._is_complete = True
            self._bodies.buffers.keep(self._buffer)

    def _reject(
        self,
        kind: str,
        code: str,
        message: str,
        retry_after_s: float | None = None,
    ) -> http.RequestError:
        self._bodies.violations.record(
            kind, f"{message} {self._buffer.size_bytes} bytes were received."
        )
        failure = verdicts.make_not_run_failure(code, message, retry_after_s)
        return http.RequestError(failure)


def _read_length(request: http.Request) -> float:
    """Returns the announced length of a body in bytes, 0 if there is none."""
    text = request.headers.get("content-length", "")
    if not (text.isascii() and text.isdigit()):
        return 0
    # More digits than any limit has; the conversion of thousands would fail.
    return int(text) if len(text) < 20 else math.inf
