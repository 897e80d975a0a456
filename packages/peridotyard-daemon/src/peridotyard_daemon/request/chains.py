"""A streamed response at the entry: its stages, time limits and recovery.

A chain is the sequence of sidecars, called stages, that together run all layers
of the model for the response. `relays` has the counterpart without sidecars.
"""

import collections
import dataclasses
import random as random_module

from peridotyard_core import addresses
from peridotyard_core import admission
from peridotyard_core import budgets
from peridotyard_core import membership
from peridotyard_core import pipelines
from peridotyard_core import prefixes
from peridotyard_core import streams
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import peers as peers_module
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import metrics as metrics_module
from peridotyard_daemon.request import holders as holders_module
from peridotyard_daemon.wire.generated import ttypes

# Pause between searches for a replacement stage while there is none.
CAPACITY_POLL_S = 0.05
# Codes of refusals that every other stage would repeat, so none is tried.
FINAL_REFUSALS = ("bad-request", "forbidden", "quarantined")
# StreamClose messages that are retained for each address.
CLOSES_PER_ADDRESS_LIMIT = 1024

_log = logs.Logger("chains")


@dataclasses.dataclass(frozen=True)
class Job:
    """What one response requires of its stages.

    Attributes:
        request_id: Identifies the request in logs.
        workspace: Name of the caller's workspace.
        priority: 0 is the highest.
        model: Name of the model.
        version: Version of the model.
        adapter: Name of the adapter, empty for none.
        layers: Number of layers of the model.
        prompt: Tokens of the prompt.
        max_tokens: Limit of generated tokens.
        seed: Seed of the sampling.
        fingerprint: Signed 64-bit hash of the request.
        deadline: trio time at which the entry ends the response.
        sampling: JSON object of the sampling parameters, empty without any.
        keyed_prompt: The prompt with the keys of its prefixes, None if chains
            are selected by load alone.
    """

    request_id: str
    workspace: str
    priority: int
    model: str
    version: str
    adapter: str
    layers: int
    prompt: tuple[int, ...]
    max_tokens: int
    seed: int
    fingerprint: int
    deadline: float
    sampling: str = ""
    keyed_prompt: prefixes.Prompt | None = None


@dataclasses.dataclass(frozen=True)
class Timing:
    """Time and recovery limits of streams; see `settings.EntrySettings`."""

    first_token_s: float
    stall_s: float
    open_s: float
    recovery_limit: int

    @classmethod
    def from_config(cls, settings) -> "Timing":
        """Returns the limits in a `settings.EntrySettings`."""
        return cls(
            settings.first_token_s,
            settings.stall_s,
            settings.open_timeout_s,
            settings.recovery_limit,
        )


def find_address(connection: peers_module.Connection) -> str:
    """Returns the address under which `Peers` has a connection."""
    return str(connection.dialed) if connection.dialed else connection.key


class CloseOutbox:
    """Sends and resends StreamClose messages, owned by the entry.

    A message is retained for as long as a lost connection may go undetected,
    and longer while there is no connection. It is sent again on the next
    connection. If it were lost, the sidecar would see its entry reconnect and
    keep the stream open.
    """

    def __init__(self, peers: peers_module.Peers, window_s: float):
        """Creates an empty outbox.

        Args:
            peers: Connections of the entry.
            window_s: Longest time until a lost connection is detected, seconds.
        """
        self._peers = peers
        self._window_s = window_s
        self._recent: dict[str, collections.deque] = {}

    def post(self, address: str, close: ttypes.StreamClose) -> None:
        """Sends a message to a sidecar, now or once it is reconnected."""
        now = trio.current_time()
        frame = ttypes.Frame(stream_close=close)
        recent = self._recent.setdefault(
            address, collections.deque(maxlen=CLOSES_PER_ADDRESS_LIMIT)
        )
        connection = self._peers.find(address)
        if connection is not None and connection.post(frame):
            while recent and recent[0][0] < now - self._window_s:
                recent.popleft()
        recent.append((now, frame))

    def handle_connected(self, connection: peers_module.Connection) -> None:
        """Resends the messages that the sidecar may not have received."""
        for _, frame in self._recent.get(find_address(connection), ()):
            connection.post(frame)

    def discard_address(self, address: str) -> None:
        """Discards the messages to an address that is no longer dialed."""
        self._recent.pop(address, None)


@dataclasses.dataclass(frozen=True)
class ResponseContext:
    """State and limits that all responses of an entry share."""

    peers: peers_module.Peers
    table: membership.RoutingTable
    selector: pipelines.LeastLoadSelector
    budget: budgets.RetryBudget
    close_outbox: CloseOutbox
    timing: Timing
    metrics: metrics_module.Metrics
    random: random_module.Random
    # None if chains are selected by load alone.
    holders: holders_module.PrefixTracker | None = None

    def find_chain(self, job: Job) -> pipelines.Chain | None:
        """Returns a chain that has capacity for a new response."""
        offers = self.table.find_stages(job.model, job.version, job.adapter)
        if self.holders is not None and job.keyed_prompt is not None:
            return self.holders.select_chain(
                job.keyed_prompt, offers, job.layers
            )
        return self.selector.select_chain(offers, job.layers)

    def has_chain(self, job: Job) -> bool:
        """Returns whether a chain exists, regardless of its load."""
        offers = self.table.find_stages(job.model, job.version, job.adapter)
        return bool(
            pipelines.search_chain(offers, 0, job.layers, lambda *_: 1.0)
        )


class Response:
    """One streamed response, owned by its caller's request.

    `run` drives it; the connections call the frame handlers. When a stage
    fails, stalls, refuses or is lost, it is replaced and the stream starts its
    next generation. If only the connection to a running stage is lost, the
    entry reconnects.

    Attributes:
        stream_id: Its id in messages.
        state: Accepted tokens and current generation.
        failure: Why it ended early, or None.
        recoveries: Number of recoveries, each of which starts a generation.
        is_done: Whether it has ended.
        events: Trace events, as JSON values.
    """

    def __init__(self, job: Job, context: ResponseContext):
        self.job = job
        self.stream_id = context.random.getrandbits(62) + 1
        self.state = streams.Stream(len(job.prompt), job.max_tokens)
        self.failure: verdicts.Failure | None = None
        self.recoveries = 0
        self.is_done = False
        self.events: list[dict] = []
        self._context = context
        self._ready_tokens: list[int] = []
        self._tokens_arrived = trio.Event()
        self._state_changed = trio.Event()
        self._timeout_at = 0.0
        self._last_token_at: float | None = None
        self._started_at = trio.current_time()
        # Indices of failed stages without a replacement, and the time until
        # which the response waits for one.
        self._failed_stages: set[int] = set()
        self._capacity_deadline = 0.0
        # Instance and epoch of the offers that are not used again.
        self._excluded_stages: set[tuple[str, int]] = set()
        # Incarnation of each stage's process when it was opened, by address.
        self._incarnations: dict[str, int] = {}
        # Addresses of stages that reported a neighbour as unreachable.
        self._reporters: set[str] = set()
        # Generation and position of the last StreamAttach, (0, 0) before it.
        self._attached_position = (0, 0)
        # Whether the prefix was sent, so that stages may have run a part.
        self._may_have_run = False
        self._nursery: trio.Nursery | None = None

    async def receive(self) -> list[int]:
        """Waits for tokens; returns [] at the end or after a failure."""
        while not self._ready_tokens and not self.is_done:
            self._tokens_arrived = trio.Event()
            await self._tokens_arrived.wait()
        ready, self._ready_tokens = self._ready_tokens, []
        return ready

    async def run(self, chain: pipelines.Chain) -> None:
        """Runs the stream; releases its stages at the end or if cancelled.

        Args:
            chain: First stages; the routing table already counts their load.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._begin_generation(chain)
                while not self.is_done:
                    self._state_changed = trio.Event()
                    due = min(self._timeout_at, self.job.deadline)
                    with trio.move_on_at(due) as scope:
                        await self._state_changed.wait()
                    if (
                        scope.cancelled_caught
                        and not self._state_changed.is_set()
                    ):
                        self._handle_timeout()
                nursery.cancel_scope.cancel()
        finally:
            self._finish(None)
            self._release_stages(self.state.chain, self._describe_end())

    def handle_opened(self, message: ttypes.StreamOpened) -> None:
        """Sends the prefix once all stages have accepted the stream."""
        if not self.is_done and self.state.record_stage_opened(
            message.generation, message.index
        ):
            self._send_prefix()
            self._set_timeout(self._context.timing.first_token_s)

    def handle_refused(self, message: ttypes.StreamRefused) -> None:
        """Replaces a stage that refused the stream, or fails the response."""
        index = self.state.find_failed_stage(message.generation, message.index)
        if index is None or self.is_done:
            return
        retry_after_s = message.retry_after_ms / 1000 or 1.0
        code = message.code
        if code in FINAL_REFUSALS:
            self._fail(code, message.message, retry_after_s)
        elif not self._may_have_run and not self._context.budget.try_spend():
            self._fail("overloaded", message.message, retry_after_s)
        else:
            self._recover({index}, f"refused: {code}")

    def handle_failed(self, address: str, message: ttypes.StreamFailed) -> None:
        """Replaces the stage that the stage at `address` reports as failed.

        A stage that reports a second unreachable neighbour is replaced itself:
        its own link is then the likely fault, and another neighbour would not
        help.
        """
        index = self.state.find_failed_stage(message.generation, message.index)
        if index is None or self.is_done:
            return
        if message.reason == "unreachable":
            if address in self._reporters:
                index = self._find_index(address, index)
            self._reporters.add(address)
        self._recover({index}, message.reason)

    def handle_token(self, message: ttypes.Token) -> None:
        """Accepts a token of the last stage."""
        if self.is_done:
            return
        ready = self.state.accept_token(
            message.generation, message.position, message.token, message.finish
        )
        if ready:
            self._record_latency(len(ready))
            self._ready_tokens += ready
            self._tokens_arrived.set()
            stall_s = self._context.timing.stall_s
            if self._failed_stages:
                # The chain still runs, so it is not given up yet.
                self._capacity_deadline = trio.current_time() + stall_s
            else:
                self._set_timeout(stall_s)
        if self.state.finish:
            self._finish(None)
        elif self.state.has_gap:
            self._attach()

    def handle_closed(self, address: str) -> None:
        """Reconnects to a stage whose connection ended."""
        if self.is_done or self._nursery is None:
            return
        for index, stage in enumerate(self.state.chain):
            if (
                stage.offer.address == address
                and index not in self._failed_stages
            ):
                self._nursery.start_soon(
                    self._reconnect, self.state.generation, index
                )

    def _find_index(self, address: str, default: int) -> int:
        for index, stage in enumerate(self.state.chain):
            if stage.offer.address == address:
                return index
        return default

    def _begin_generation(self, chain: pipelines.Chain) -> None:
        before = self.state.chain
        generation = self.state.begin_generation(chain)
        self._record_event(
            "opened",
            generation=generation,
            stages=[
                f"{stage.offer.instance}"
                f"[{stage.first_layer}:{stage.end_layer}]"
                for stage in chain
            ],
        )
        self._failed_stages.clear()
        # The load of the first chain was counted at admission.
        if generation > 1:
            self._context.table.add_stream(chain)
        new_addresses = {stage.offer.address for stage in chain}
        for stage in before:
            if stage.offer.address not in new_addresses:
                self._post_close(stage, "replaced")
        self._context.table.remove_stream(before)
        if self.job.keyed_prompt is not None:
            self._context.holders.record_sent(
                self.stream_id, generation, chain, self.job.keyed_prompt
            )
        for index, stage in enumerate(chain):
            connection = self._context.peers.find(stage.offer.address)
            if connection is None:
                self._nursery.start_soon(self._reconnect, generation, index)
            else:
                self._open_stage(connection, index)
        self._set_timeout(self._context.timing.open_s)

    def _open_stage(self, connection, index: int) -> None:
        stage = self.state.chain[index]
        self._incarnations[stage.offer.address] = connection.peer.incarnation
        job = self.job
        remaining_s = max(0.0, job.deadline - trio.current_time())
        keys = key_positions = None
        if job.keyed_prompt is not None:
            keys, key_positions = self._context.holders.find_keys(
                stage.offer.address, job.keyed_prompt
            )
        connection.post(
            ttypes.Frame(
                stream_open=ttypes.StreamOpen(
                    stream=self.stream_id,
                    generation=self.state.generation,
                    chain=[
                        ttypes.Stage(
                            instance=item.offer.instance,
                            address=item.offer.address,
                            first_layer=item.first_layer,
                            end_layer=item.end_layer,
                        )
                        for item in self.state.chain
                    ],
                    index=index,
                    model=job.model,
                    version=job.version,
                    adapter=job.adapter,
                    workspace=job.workspace,
                    priority=job.priority,
                    seed=job.seed,
                    max_tokens=job.max_tokens,
                    prompt_tokens=len(job.prompt),
                    deadline_ms=int(remaining_s * 1000),
                    request=job.request_id,
                    fingerprint=job.fingerprint,
                    sampling=job.sampling,
                    resume_position=self.state.next_position,
                    prefix_keys=keys,
                    key_positions=key_positions,
                )
            )
        )

    def _send_prefix(self) -> None:
        connection = self._context.peers.find(self.state.chain[0].offer.address)
        # If there is no connection, `_resume` sends the prefix on the next one.
        if connection is None:
            return
        self._may_have_run = True
        tokens = [*self.job.prompt, *self.state.accepted]
        step = ttypes.Step(
            stream=self.stream_id,
            generation=self.state.generation,
            position=0,
            count=len(tokens),
            tokens=tokens,
            activations=b"",
        )
        connection.post(ttypes.Frame(step_batch=ttypes.StepBatch([step])))

    def _attach(self) -> None:
        """Requests the tokens from the next position, once per position."""
        attach_point = (self.state.generation, self.state.next_position)
        if self._attached_position == attach_point:
            return
        address = self.state.chain[-1].offer.address
        connection = self._context.peers.find(address)
        if connection is not None:
            self._attached_position = attach_point
            connection.post(
                ttypes.Frame(
                    stream_attach=ttypes.StreamAttach(
                        stream=self.stream_id,
                        generation=attach_point[0],
                        position=attach_point[1],
                    )
                )
            )

    async def _reconnect(self, generation: int, index: int) -> None:
        """Reconnects to a stage; replaces it if it is lost or was restarted."""
        text = self.state.chain[index].offer.address
        try:
            connection = await self._context.peers.connect(
                addresses.Address.from_text(text)
            )
        except peers_module.UnreachableError:
            connection = None
        if generation != self.state.generation or self.is_done:
            return
        expected = self._incarnations.get(text)
        if connection is None:
            self._recover({index}, "unreachable")
        elif expected not in (None, connection.peer.incarnation):
            self._recover({index}, "restarted")
        else:
            self._resume(connection, index)

    def _resume(self, connection, index: int) -> None:
        # Resends each message that may have been lost with the old connection.
        # Stages accept duplicates of them.
        state = self.state
        if not state.is_stage_opened(index):
            self._open_stage(connection, index)
        elif state.is_open:
            if index == 0 and not state.has_token:
                self._send_prefix()
            if index == len(state.chain) - 1:
                self._attached_position = (0, 0)
                self._attach()

    def _handle_timeout(self) -> None:
        now = trio.current_time()
        if now >= self.job.deadline:
            self._fail(
                "deadline-exceeded", "The request exceeded its time limit."
            )
        elif now < self._timeout_at:
            return
        elif self._failed_stages:
            self._replace_failed_stages()
        elif not self.state.is_open:
            self._recover(
                set(self.state.missing_stages), "not accepted in time"
            )
        else:
            self._recover_stall()

    def _recover(self, indices: set[int], reason: str) -> None:
        if self._failed_stages:
            # A recovery is already waiting for replacements.
            self._failed_stages |= indices
            self._exclude_stages(indices)
            return
        if not self._count_recovery(reason, indices):
            return
        self._exclude_stages(indices)
        self._failed_stages = set(indices)
        self._capacity_deadline = (
            trio.current_time() + self._context.timing.stall_s
        )
        self._replace_failed_stages()

    def _recover_stall(self) -> None:
        """Replaces every stage for which another server is available.

        No stage has reported a failure, so any of them may be the cause. All
        stages rerun the prefix in any case.
        """
        chain = self.state.chain
        if not self._count_recovery("stalled", set(range(len(chain)))):
            return
        offers = self._find_offers()
        for index in reversed(range(len(self.state.chain))):
            replacement = self._context.selector.replace_stage(
                chain, index, offers
            )
            # A shorter chain would give the layers of one stage to its
            # neighbour, which may be the stalled one.
            if replacement is not None and len(replacement) >= len(chain):
                chain = replacement
                self._exclude_stages({index})
        self._begin_generation(chain)

    def _replace_failed_stages(self) -> None:
        chain = self.state.chain
        offers = self._find_offers()
        for index in sorted(self._failed_stages, reverse=True):
            chain = self._context.selector.replace_stage(chain, index, offers)
            if chain is None:
                break
        if chain is None:
            chain = self._context.selector.select_chain(offers, self.job.layers)
        if chain is not None:
            self._begin_generation(chain)
        elif (
            not self._may_have_run
            or trio.current_time() >= self._capacity_deadline
        ):
            has_chain = self._context.has_chain(self.job)
            self._fail(
                "overloaded" if has_chain else "no-capacity",
                "No server has capacity for some layers of the model.",
                1.0,
            )
        else:
            self._set_timeout(CAPACITY_POLL_S)

    def _find_offers(self) -> list[pipelines.StageOffer]:
        job = self.job
        return [
            offer
            for offer in self._context.table.find_stages(
                job.model, job.version, job.adapter
            )
            if (offer.instance, offer.epoch) not in self._excluded_stages
        ]

    def _exclude_stages(self, indices: set[int]) -> None:
        for index in indices:
            offer = self.state.chain[index].offer
            self._excluded_stages.add((offer.instance, offer.epoch))

    def _count_recovery(self, reason: str, indices: set[int]) -> bool:
        self.recoveries += 1
        chain = self.state.chain
        instances = ",".join(chain[i].offer.instance for i in sorted(indices))
        _log.warning(
            "stream recovery started",
            request=self.job.request_id,
            stage=instances,
            reason=reason,
            generation=self.state.generation,
            position=self.state.next_position,
        )
        self._record_event(
            "recovering",
            reason=reason,
            stages=instances,
            position=self.state.next_position,
        )
        self._context.metrics.increment("streams.recoveries")
        if self.recoveries > self._context.timing.recovery_limit:
            self._fail(
                "stream-lost",
                f"The stream failed {self.recoveries} times; last: {reason}.",
            )
            return False
        return True

    def _record_latency(self, count: int) -> None:
        now = trio.current_time()
        first = self._last_token_at is None
        since = self._started_at if first else self._last_token_at
        names = (self.job.workspace, admission.PRIORITIES[self.job.priority])
        record = self._context.metrics.record
        if first:
            record("first_token", *names, now - since)
        else:
            record("between_tokens", *names, (now - since) / count)
        self._last_token_at = now

    def _set_timeout(self, duration_s: float) -> None:
        self._timeout_at = trio.current_time() + duration_s
        self._state_changed.set()

    def _fail(
        self, code: str, message: str, retry_after_s: float | None = None
    ) -> None:
        if self._may_have_run:
            self._finish(verdicts.make_may_have_run_failure(code, message))
        else:
            self._finish(
                verdicts.make_not_run_failure(code, message, retry_after_s)
            )

    def _finish(self, failure: verdicts.Failure | None) -> None:
        if not self.is_done:
            self.is_done = True
            self.failure = failure
        self._state_changed.set()
        self._tokens_arrived.set()

    def _record_event(self, event: str, **fields) -> None:
        at_ms = round((trio.current_time() - self._started_at) * 1000)
        self.events.append({"event": event, "at_ms": at_ms, **fields})

    def _describe_end(self) -> str:
        if self.failure is not None:
            return self.failure.code
        return "ended" if self.state.finish else "cancelled"

    def _release_stages(self, chain: pipelines.Chain, reason: str) -> None:
        for stage in chain:
            self._post_close(stage, reason)
        self._context.table.remove_stream(chain)
        if self.job.keyed_prompt is not None:
            self._context.holders.record_ended(self.stream_id)

    def _post_close(self, stage: pipelines.ChainStage, reason: str) -> None:
        self._context.close_outbox.post(
            stage.offer.address,
            ttypes.StreamClose(
                stream=self.stream_id,
                generation=self.state.generation,
                reason=reason,
            ),
        )
