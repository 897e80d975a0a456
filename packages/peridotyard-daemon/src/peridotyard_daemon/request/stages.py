"""Runs the steps of a sidecar's streams and forwards their results.

A step runs the layers of this stage for consecutive positions of a stream. The
result goes to the next stage. The last stage sends the generated token to the
entry, and to the first stage as the next step.
"""

import collections
import dataclasses
import typing

from peridotyard_core import addresses
from peridotyard_core import prefixes
from peridotyard_core import steps
import trio

from peridotyard_daemon.connection import engines
from peridotyard_daemon.connection import peers as peers_module
from peridotyard_daemon.process import logs
from peridotyard_daemon.wire.generated import ttypes

# Closed streams whose generation is retained, so that a delayed message cannot
# reopen them. At 10 new streams a second this covers 400 s.
CLOSED_LIMIT = 4096
RETRY_AFTER_MS = 500
ORPHAN_CHECKS_PER_TIMEOUT = 10
# Index in a StreamFailed whose sender does not know its stage in the stream.
UNKNOWN_INDEX = -1

_log = logs.Logger("stages")


@dataclasses.dataclass
class _Stream:
    """The state of one stream at this stage.

    Attributes:
        request: The latest StreamOpen.
        guard: Checks the order and the generation of its steps.
        entry: The latest connection to the entry, which may be closed.
        next_address: Address of the next stage, empty if this process is next.
        sent: Last step sent there, which is resent if the connection ends.
        tokens: Tokens of this generation; only at the last stage.
        failure: Last failure that was reported in this generation.
        orphaned_at: Time at which the entry's connection was lost, or None.
    """

    request: ttypes.StreamOpen
    guard: steps.StepGuard
    entry: peers_module.Connection
    next_address: str = ""
    sent: ttypes.Step | None = None
    tokens: list[ttypes.Token] = dataclasses.field(default_factory=list)
    failure: ttypes.StreamFailed | None = None
    orphaned_at: float | None = None

    @property
    def is_last(self) -> bool:
        return self.request.index == len(self.request.chain) - 1

    @property
    def next_index(self) -> int:
        return (self.request.index + 1) % len(self.request.chain)

    def is_owned_by(self, connection: peers_module.Connection) -> bool:
        """Returns whether the connection's peer is the stream's entry."""
        mine, other = self.entry.peer, connection.peer
        return (mine.instance, mine.incarnation) == (
            other.instance,
            other.incarnation,
        )


class Stages:
    """All streams of one sidecar, owned by the sidecar.

    The methods that handle frames must not block, since they run in the tasks
    that read the connections.
    """

    def __init__(
        self,
        peers: peers_module.Peers,
        *,
        limit: int,
        orphan_s: float,
        notify_changed: typing.Callable[[], None] = lambda: None,
    ):
        """Creates the object; `engine` must be set before it is used.

        Args:
            peers: Connections to entries and other stages.
            limit: Maximum number of open streams.
            orphan_s: Seconds without its entry until a stream is released.
            notify_changed: Called when the number of open streams changes.
        """
        self.engine: engines.Engine | None = None
        # Called with the keys of the prefixes of each prompt that has some.
        self.record_prefixes: typing.Callable[[list[int]], None] = (
            lambda _: None
        )
        self.is_draining = False
        self._peers = peers
        self._limit = limit
        self._orphan_s = orphan_s
        self._notify_changed = notify_changed
        self._streams: dict[int, _Stream] = {}
        self._closed: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self._ready: list[ttypes.Step] = []
        self._wakeup = trio.Event()
        # Steps that are sent once an address is connected, by address.
        self._waiting: dict[str, list[ttypes.Step]] = {}
        self._nursery: trio.Nursery | None = None

    @classmethod
    def from_config(cls, settings, peers, notify_changed) -> "Stages":
        """Creates the streams of a sidecar with these `SidecarSettings`."""
        return cls(
            peers,
            limit=settings.concurrency,
            orphan_s=settings.orphan_s,
            notify_changed=notify_changed,
        )

    @property
    def in_flight(self) -> int:
        """Number of open streams."""
        return len(self._streams)

    def start_drain(self) -> None:
        """Refuses new streams; accepts new generations of open ones."""
        self.is_draining = True

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Runs steps and releases orphaned streams until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._release_orphans)
            task_status.started()
            try:
                while True:
                    await self._wakeup.wait()
                    # Lets other connections deliver their steps first, so that
                    # one frame to the engine has them all.
                    await trio.lowlevel.checkpoint()
                    self._wakeup = trio.Event()
                    self._run_ready()
            finally:
                self._nursery = None

    # Frames and connections.

    def handle_frame(self, connection, frame: ttypes.Frame) -> bool:
        """Handles a frame of a peer.

        Returns:
            False if the frame is not about streams.
        """
        if frame.step_batch is not None:
            for step in frame.step_batch.steps:
                self._accept_step(step, connection)
        elif frame.stream_open is not None:
            self._open(connection, frame.stream_open)
        elif frame.stream_close is not None:
            self._handle_close(frame.stream_close)
        elif frame.stream_attach is not None:
            self._attach(connection, frame.stream_attach)
        elif frame.stream_failed is not None:
            self._handle_next_failed(connection, frame.stream_failed)
        else:
            return False
        return True

    def handle_connected(self, connection) -> None:
        """Assigns the streams of an entry to its new connection."""
        for stream in self._streams.values():
            if stream.is_owned_by(connection):
                self._set_entry(stream, connection)

    def handle_closed(self, connection) -> None:
        """Marks the entry's streams as orphaned and resends last steps."""
        now = trio.current_time()
        lost = []
        for stream in self._streams.values():
            if stream.entry is connection:
                other = self._peers.find(connection.key)
                if other is not None and stream.is_owned_by(other):
                    self._set_entry(stream, other)
                elif stream.orphaned_at is None:
                    stream.orphaned_at = now
            if stream.sent is not None and (
                stream.next_address == connection.key
            ):
                lost.append(stream.sent)
        if lost:
            self._send_steps(connection.key, lost)

    # Opening and closing.

    def _open(self, connection, request: ttypes.StreamOpen) -> None:
        stream = self._streams.get(request.stream)
        refusal = self._find_refusal(stream, request)
        if refusal is not None:
            code, message, retry_ms = refusal
            refused = ttypes.StreamRefused(
                request.stream,
                request.generation,
                request.index,
                code,
                message,
                retry_ms,
            )
            connection.post(ttypes.Frame(stream_refused=refused))
            return
        if stream is None:
            guard = steps.StepGuard(request.generation)
            stream = _Stream(request, guard, connection)
            self._streams[request.stream] = stream
            self._start_generation(stream, request)
            self._notify_changed()
        elif stream.guard.advance_generation(request.generation):
            # The stream keeps its slot, the engine keeps its cached prefix and
            # older generations stay fenced. Positions restart at 0.
            self._drop_ready(request.stream)
            self._start_generation(stream, request)
        self._set_entry(stream, connection)
        opened = ttypes.StreamOpened(
            request.stream, request.generation, request.index
        )
        connection.post(ttypes.Frame(stream_opened=opened))

    def _find_refusal(self, stream, request: ttypes.StreamOpen):
        """Returns code, message and retry time (ms), None to accept."""
        generation = stream.guard.generation if stream is not None else 0
        generation = max(generation, self._closed.get(request.stream, -1) + 1)
        if request.generation < generation:
            text = f"generation {request.generation}; allowed: >= {generation}"
            return "stage-refused", text, 0
        chain = request.chain or []
        if not 0 <= request.index < len(chain):
            text = f"index {request.index}; allowed: 0 to {len(chain) - 1}"
            return "stage-refused", text, 0
        for index, stage in enumerate(chain):
            try:
                addresses.Address.from_text(stage.address)
            except ValueError:
                text = f"chain[{index}].address: {stage.address!r}"
                text += "; allowed: an IP address and a port"
                return "stage-refused", text, 0
        if stream is None and self.is_draining:
            return "draining", "the sidecar is draining", RETRY_AFTER_MS
        if not self.engine.is_ready:
            text = "the engine is not ready"
            return "backend-unavailable", text, RETRY_AFTER_MS
        if stream is None and len(self._streams) >= self._limit:
            text = f"{self._limit} streams are open"
            return "overloaded", text, RETRY_AFTER_MS
        return self._compare_engine(request)

    def _compare_engine(self, request: ttypes.StreamOpen):
        hello = self.engine.hello
        stage = request.chain[request.index]
        requested = (
            f"{request.model} {request.version}"
            f" [{stage.first_layer}, {stage.end_layer})"
        )
        held = (
            f"{hello.model} {hello.version}"
            f" [{hello.first_layer}, {hello.end_layer})"
        )
        if requested != held:
            return "stage-refused", f"requested {requested}; allowed: {held}", 0
        if request.adapter and request.adapter not in hello.adapters:
            allowed = ", ".join(hello.adapters) or "none"
            text = f"adapter {request.adapter}; allowed: {allowed}"
            return "stage-refused", text, 0
        return None

    def _start_generation(self, stream: _Stream, request) -> None:
        stream.request = request
        stream.sent = None
        stream.failure = None
        stream.tokens = []
        stream.next_address = ""
        if len(request.chain) > 1:
            stream.next_address = request.chain[stream.next_index].address
        keys = request.prefix_keys
        if keys:
            keys = keys[: prefixes.PROMPT_KEYS_LIMIT]
            self.record_prefixes(keys)
        cache = self.engine.hello.cache
        self.engine.open(
            ttypes.EngineOpen(
                stream=request.stream,
                generation=request.generation,
                seed=request.seed,
                priority=request.priority,
                max_tokens=request.max_tokens,
                prompt_tokens=request.prompt_tokens,
                adapter=request.adapter,
                fingerprint=request.fingerprint,
                sampling=request.sampling,
                prefix_keys=keys,
                key_positions=request.key_positions,
                scope=request.workspace if cache and cache.isolated else None,
            )
        )

    def _set_entry(self, stream: _Stream, connection) -> None:
        is_new = stream.entry is not connection
        stream.entry = connection
        stream.orphaned_at = None
        # The failure may have been lost with the previous connection.
        if is_new and stream.failure is not None:
            connection.post(ttypes.Frame(stream_failed=stream.failure))

    def _handle_close(self, request: ttypes.StreamClose) -> None:
        stream = self._streams.get(request.stream)
        if stream is None:
            self._record_closed(request.stream, request.generation)
        elif request.generation >= stream.guard.generation:
            self._release_stream(stream, request.generation)

    def _release_stream(self, stream: _Stream, generation: int) -> None:
        stream_id = stream.request.stream
        del self._streams[stream_id]
        self._drop_ready(stream_id)
        self._record_closed(stream_id, generation)
        self.engine.close(stream_id, stream.guard.generation)
        self._notify_changed()

    def _record_closed(self, stream_id: int, generation: int) -> None:
        self._closed[stream_id] = max(
            generation, self._closed.get(stream_id, generation)
        )
        self._closed.move_to_end(stream_id)
        while len(self._closed) > CLOSED_LIMIT:
            self._closed.popitem(last=False)

    def _attach(self, connection, request: ttypes.StreamAttach) -> None:
        stream = self._streams.get(request.stream)
        if stream is None or request.generation != stream.guard.generation:
            self._reject_unknown(connection, request)
            return
        self._set_entry(stream, connection)
        tokens = [t for t in stream.tokens if t.position >= request.position]
        if tokens:
            batch = ttypes.TokenBatch(tokens)
            connection.post(ttypes.Frame(token_batch=batch))

    async def _release_orphans(self) -> None:
        while True:
            await trio.sleep(self._orphan_s / ORPHAN_CHECKS_PER_TIMEOUT)
            limit = trio.current_time() - self._orphan_s
            for stream in list(self._streams.values()):
                if stream.orphaned_at is not None and (
                    stream.orphaned_at <= limit
                ):
                    _log.warning(
                        "orphaned stream released",
                        request=stream.request.request,
                        stream=stream.request.stream,
                    )
                    self._release_stream(stream, stream.guard.generation)

    # Incoming steps.

    def _accept_step(self, step: ttypes.Step, connection=None) -> None:
        stream = self._streams.get(step.stream)
        if stream is None:
            # A late step of a stream that the entry closed, or whose failure
            # was reported to it, needs no further report.
            closed_generation = self._closed.get(step.stream, -1)
            if connection is not None and step.generation > closed_generation:
                self._reject_unknown(connection, step)
            return
        decision = stream.guard.start(
            step.generation, step.position, step.count
        )
        match decision:
            case steps.Decision.RUN:
                self._ready.append(step)
                self._wakeup.set()
            case steps.Decision.REPEAT:
                self._forward([(stream, stream.guard.result)])
            case steps.Decision.RUNNING:
                pass
            case steps.Decision.OUTDATED | steps.Decision.UNEXPECTED:
                _log.debug(
                    "step rejected",
                    request=stream.request.request,
                    decision=decision.value,
                    generation=step.generation,
                    position=step.position,
                    expected=stream.guard.next_position,
                )

    def _reject_unknown(self, connection, message) -> None:
        failed = ttypes.StreamFailed(
            message.stream,
            message.generation,
            UNKNOWN_INDEX,
            "unknown-stream",
            message.position,
        )
        connection.post(ttypes.Frame(stream_failed=failed))

    def _drop_ready(self, stream_id: int) -> None:
        self._ready = [step for step in self._ready if step.stream != stream_id]

    def _run_ready(self) -> None:
        if self._ready:
            batch, self._ready = self._ready, []
            self.engine.run_steps(batch)

    # Results of the engine.

    def handle_results(self, results: list[ttypes.StepResult]) -> None:
        """Forwards results of the engine; see `engines.Handler`."""
        finished = []
        for result in results:
            stream = self._streams.get(result.stream)
            if stream is not None and stream.guard.finish(
                result.generation, result.position, result.count, result
            ):
                if result.held is not None:
                    _report_hit(stream, result)
                if stream.is_last:
                    stream.tokens.append(_make_token(result))
                finished.append((stream, result))
        self._forward(finished)

    def _forward(self, finished: list) -> None:
        """Sends a StepBatch to each next stage, a TokenBatch to each entry."""
        batches = collections.defaultdict(list)
        tokens = collections.defaultdict(list)
        for stream, result in finished:
            if stream.is_last:
                tokens[stream.entry].append(_make_token(result))
                if result.finish:
                    continue
            step = _make_step(result, stream.is_last)
            if stream.next_address:
                stream.sent = step
                batches[stream.next_address].append(step)
            else:
                self._accept_step(step)
        for entry, batch in tokens.items():
            entry.post(ttypes.Frame(token_batch=ttypes.TokenBatch(batch)))
        for address, batch in batches.items():
            self._send_steps(address, batch)

    def _send_steps(self, address: str, batch: list[ttypes.Step]) -> None:
        if address in self._waiting:
            self._waiting[address] += batch
            return
        connection = self._peers.find(address)
        # If the connection closes after this, `handle_closed` resends the last
        # step of each stream.
        if connection is not None and all(
            connection.post(ttypes.Frame(step_batch=ttypes.StepBatch(group)))
            for group in engines.split_steps(batch)
        ):
            return
        # While the process shuts down, connections close after `run` has ended.
        if self._nursery is None:
            return
        self._waiting[address] = list(batch)
        self._nursery.start_soon(self._dial, address)

    async def _dial(self, address: str) -> None:
        target = addresses.Address.from_text(address)
        connection = None
        try:
            connection = await self._peers.connect(target)
        except peers_module.UnreachableError as error:
            _log.warning("next stage unreachable", reason=error)
        batch = self._waiting.pop(address)
        if connection is None:
            self._report_unreachable(batch)
            return
        # A step that a later one replaced in the meantime must not be sent.
        current = [step for step in batch if self._is_current(step)]
        if current:
            self._send_steps(address, current)

    def _is_current(self, step: ttypes.Step) -> bool:
        stream = self._streams.get(step.stream)
        return stream is not None and stream.sent is step

    def _report_unreachable(self, batch: list[ttypes.Step]) -> None:
        for step in batch:
            if self._is_current(step):
                stream = self._streams[step.stream]
                stream.sent = None
                self._report_failed_stage(
                    stream, stream.next_index, "unreachable"
                )

    # Failures.

    def handle_problem(self, problem: engines.Problem) -> None:
        """Reports failures of the engine; see `engines.Handler`."""
        match problem:
            case engines.Lost():
                for stream in list(self._streams.values()):
                    self._fail_stream(stream, "engine-lost")
            case engines.Stalled(streams):
                for stream_id in streams:
                    if stream_id in self._streams:
                        self._fail_stream(
                            self._streams[stream_id], "engine-stalled"
                        )
            case engines.Refused(result):
                stream = self._streams.get(result.stream)
                if stream is not None:
                    _log.warning(
                        "engine refused step",
                        request=stream.request.request,
                        reason=result.error,
                    )
                    self._fail_stream(stream, "engine-refused")

    def _fail_stream(self, stream: _Stream, reason: str) -> None:
        self._report_failed_stage(stream, stream.request.index, reason)
        # A later generation of the stream may be opened at this stage again.
        self._release_stream(stream, stream.guard.generation)

    def _handle_next_failed(self, connection, failed) -> None:
        """Reports to the entry that the next stage does not know the stream."""
        stream = self._streams.get(failed.stream)
        if (
            stream is not None
            and failed.generation == stream.guard.generation
            and stream.next_address == connection.key
        ):
            stream.sent = None
            self._report_failed_stage(stream, stream.next_index, failed.reason)

    def _report_failed_stage(
        self, stream: _Stream, index: int, reason: str
    ) -> None:
        _log.warning(
            "stage failed",
            request=stream.request.request,
            stream=stream.request.stream,
            generation=stream.guard.generation,
            index=index,
            reason=reason,
        )
        stream.failure = ttypes.StreamFailed(
            stream.request.stream,
            stream.guard.generation,
            index,
            reason,
            stream.guard.next_position,
        )
        stream.entry.post(ttypes.Frame(stream_failed=stream.failure))


def _make_token(result: ttypes.StepResult) -> ttypes.Token:
    return ttypes.Token(
        result.stream,
        result.generation,
        result.position + result.count,
        result.token,
        result.finish,
    )


def _make_step(result: ttypes.StepResult, is_last: bool) -> ttypes.Step:
    """Returns the next stage's step (the first stage follows the last)."""
    if is_last:
        return ttypes.Step(
            result.stream,
            result.generation,
            result.position + result.count,
            1,
            [result.token],
            b"",
        )
    return ttypes.Step(
        result.stream,
        result.generation,
        result.position,
        result.count,
        [],
        result.activations,
    )


def _report_hit(stream: _Stream, result: ttypes.StepResult) -> None:
    """Tells the entry how much of the prompt the engine held."""
    request = stream.request
    hit = ttypes.PrefixHit(
        request.stream, request.generation, request.index, result.held
    )
    stream.entry.post(ttypes.Frame(prefix_hit=hit))
