"""Connection of a sidecar to its model engine.

A stream is one streamed response. The engine computes it in steps, each for one
or more token positions. A new generation of a stream starts when a failed chain
of stages is replaced; results of older generations are discarded.
"""

import collections.abc
import dataclasses
import typing

from peridotyard_core import addresses
import trio

from peridotyard_daemon.connection import frames
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.wire.generated import ttypes

RECONNECT_DELAY_MIN_S = 0.05
RECONNECT_DELAY_MAX_S = 1.0
# Checks for stalled steps per step timeout; bounds the detection delay.
CHECKS_PER_TIMEOUT = 10
# Step timeouts after which a stalled engine counts as ready again. An engine
# that has resumed may have no result to send, since its steps were cancelled.
STALL_RETRY_TIMEOUTS = 10
# Size limit of the steps in one frame: long token prefixes of several streams
# together can exceed the limit of a frame. A single step always fits, since it
# arrived in one frame.
STEP_GROUP_BYTES = frames.FRAME_LIMIT_BYTES // 2
# Upper bounds of the encoded sizes of a step without its activations and
# tokens, and of a token id.
STEP_OVERHEAD_BYTES = 64
TOKEN_BYTES = 5

_log = logs.Logger("engines")


@dataclasses.dataclass(frozen=True)
class Lost:
    """The connection to the engine ended, and with it all of its streams."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Stalled:
    """Steps of these streams had no result within the step timeout."""

    streams: tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Refused:
    """The engine responded, but refused to run one step."""

    result: ttypes.StepResult


Problem = Lost | Stalled | Refused


class Handler(typing.Protocol):
    """Callbacks for the events of an engine; they must not block."""

    def handle_engine_changed(self) -> None:
        """Called when `Engine.hello` or `Engine.is_ready` has changed."""

    def handle_results(self, results: list[ttypes.StepResult]) -> None:
        """Called with the results of steps that ran."""

    def handle_problem(self, problem: Problem) -> None:
        """Called for each `Lost`, `Stalled` or `Refused`."""

    def handle_cache_event(self, event: ttypes.EngineCacheEvent) -> None:
        """Called for each change of the engine's prefix cache."""


@dataclasses.dataclass(frozen=True)
class _Outstanding:
    """A step that was sent at `since` and has no result yet."""

    generation: int
    position: int
    since: float


def split_steps(
    steps: list[ttypes.Step],
) -> collections.abc.Iterator[list[ttypes.Step]]:
    """Yields the steps in order, in groups that each fit in one frame."""
    group = []
    size = 0
    for step in steps:
        step_size = STEP_OVERHEAD_BYTES + len(step.activations or b"")
        step_size += TOKEN_BYTES * len(step.tokens or ())
        if group and size + step_size > STEP_GROUP_BYTES:
            yield group
            group = []
            size = 0
        group.append(step)
        size += step_size
    if group:
        yield group


class Engine:
    """The connection to one engine, owned by the sidecar.

    Attributes:
        hello: Model and layers that the engine holds, as it last stated them;
            None while it is not connected.
        load: The last load report, which may be outdated.
    """

    def __init__(
        self,
        network: network_module.Network,
        address: addresses.Address,
        handler: Handler,
        *,
        dial_s: float,
        step_timeout_s: float,
    ):
        self.hello: ttypes.EngineHello | None = None
        self.load: ttypes.EngineLoad | None = None
        self._network = network
        self._address = address
        self._handler = handler
        self._dial_s = dial_s
        self._step_timeout_s = step_timeout_s
        self._queue: list[bytes] = []
        self._wakeup = trio.Event()
        self._outstanding: dict[int, _Outstanding] = {}
        self._result_at = 0.0
        self._is_stalled = False
        self._stalled_at = 0.0

    @classmethod
    def from_config(cls, settings, network, handler) -> "Engine":
        """Makes the connection from a `settings.SidecarSettings`."""
        return cls(
            network,
            settings.backend,
            handler,
            dial_s=settings.dial_timeout_s,
            step_timeout_s=settings.step_timeout_s,
        )

    @property
    def is_ready(self) -> bool:
        """Whether streams can be opened now."""
        return (
            self.hello is not None and self.hello.ready and not self._is_stalled
        )

    def open(self, request: ttypes.EngineOpen) -> None:
        """Opens a stream, or a later generation of it."""
        self._outstanding.pop(request.stream, None)
        self._post(ttypes.Frame(engine_open=request))

    def run_steps(self, steps: list[ttypes.Step]) -> None:
        """Sends steps, at most one per stream, in one frame if they fit."""
        now = trio.current_time()
        for step in steps:
            self._outstanding[step.stream] = _Outstanding(
                step.generation, step.position, now
            )
        for group in split_steps(steps):
            self._post(ttypes.Frame(engine_run=ttypes.EngineRun(group)))

    def close(self, stream: int, generation: int) -> None:
        """Closes a stream and cancels its step."""
        self._outstanding.pop(stream, None)
        request = ttypes.EngineClose(stream, generation)
        self._post(ttypes.Frame(engine_close=request))

    async def run(self) -> None:
        """Connects, and reconnects after each failure, until cancelled."""
        pause_s = RECONNECT_DELAY_MIN_S
        while True:
            stream = await self._dial()
            if stream is not None:
                try:
                    if await self._exchange_frames(stream):
                        pause_s = RECONNECT_DELAY_MIN_S
                finally:
                    with trio.CancelScope(shield=True):
                        await trio.aclose_forcefully(stream)
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, RECONNECT_DELAY_MAX_S)

    def _post(self, frame: ttypes.Frame) -> None:
        # Without a connection, frames are dropped: their streams have failed.
        if self.hello is not None:
            self._queue.append(frames.encode(frame))
            self._wakeup.set()

    async def _dial(self):
        try:
            with trio.move_on_after(self._dial_s):
                return await self._network.dial(self._address)
        except OSError as error:
            _log.debug("engine unreachable", reason=error)
        return None

    async def _exchange_frames(self, stream) -> bool:
        """Exchanges frames until the connection ends.

        Returns:
            Whether the engine sent a hello.
        """
        reader = frames.FrameReader(stream)
        reason = "the engine closed the connection"
        try:
            with trio.move_on_after(self._dial_s):
                first = await reader.receive()
                if first is None or first.engine_hello is None:
                    raise frames.FrameError("the first frame is not a hello")
                self._queue.clear()
                self._set_hello(first.engine_hello)
            if self.hello is None:
                return False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._write, stream)
                nursery.start_soon(self._detect_stalls)
                while (frame := await reader.receive()) is not None:
                    self._handle_frame(frame)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            reason = "the connection failed"
        except* frames.FrameError as group:
            reason = str(group.exceptions[0])
        if self.hello is None:
            _log.warning("engine sent no hello", reason=reason)
            return False
        self._handle_disconnect(reason)
        return True

    def _handle_disconnect(self, reason: str) -> None:
        _log.error("engine connection lost", reason=reason)
        self.hello = None
        self.load = None
        self._is_stalled = False
        self._outstanding.clear()
        self._handler.handle_problem(Lost(reason))
        self._handler.handle_engine_changed()

    def _set_hello(self, hello: ttypes.EngineHello) -> None:
        self.hello = hello
        _log.info(
            "engine hello received",
            model=hello.model,
            version=hello.version,
            first_layer=hello.first_layer,
            end_layer=hello.end_layer,
            ready=hello.ready,
        )
        self._handler.handle_engine_changed()

    def _handle_frame(self, frame: ttypes.Frame) -> None:
        if frame.engine_done is not None:
            self._handle_done(frame.engine_done)
        elif frame.engine_load is not None:
            self.load = frame.engine_load
        elif frame.engine_hello is not None:
            self._set_hello(frame.engine_hello)
        elif frame.engine_cache_event is not None:
            self._handler.handle_cache_event(frame.engine_cache_event)

    def _handle_done(self, done: ttypes.EngineDone) -> None:
        self._result_at = trio.current_time()
        if self._is_stalled:
            self._is_stalled = False
            self._handler.handle_engine_changed()
        results = []
        for result in done.results:
            known = self._outstanding.get(result.stream)
            # Skips results that are no longer expected: those of closed
            # streams, of older generations and of steps reported as stalled.
            if known is None or (known.generation, known.position) != (
                result.generation,
                result.position,
            ):
                continue
            del self._outstanding[result.stream]
            if result.error:
                self._handler.handle_problem(Refused(result))
            else:
                results.append(result)
        if results:
            self._handler.handle_results(results)

    async def _write(self, stream) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup = trio.Event()
            while self._queue:
                data = b"".join(self._queue)
                self._queue.clear()
                await stream.send_all(data)

    async def _detect_stalls(self) -> None:
        interval_s = self._step_timeout_s / CHECKS_PER_TIMEOUT
        woken_at = trio.current_time()
        while True:
            await trio.sleep(interval_s)
            now = trio.current_time()
            late_s = now - woken_at - interval_s
            woken_at = now
            # After a pause of this process, results may be received but not
            # yet read, so the engine must not count as stalled yet.
            if late_s > interval_s:
                continue
            limit = now - self._step_timeout_s
            overdue = tuple(
                stream
                for stream, step in self._outstanding.items()
                if step.since <= limit
            )
            retry_at = self._stalled_at + STALL_RETRY_TIMEOUTS * (
                self._step_timeout_s
            )
            if self._is_stalled and not self._outstanding and now >= retry_at:
                self._is_stalled = False
                self._handler.handle_engine_changed()
            if not overdue:
                continue
            _log.error("engine steps stalled", count=len(overdue))
            for stream in overdue:
                del self._outstanding[stream]
            # An engine that still returns other results is slow, not stalled.
            if self._result_at <= limit and not self._is_stalled:
                self._is_stalled = True
                self._stalled_at = now
                self._handler.handle_engine_changed()
            self._handler.handle_problem(Stalled(overdue))
