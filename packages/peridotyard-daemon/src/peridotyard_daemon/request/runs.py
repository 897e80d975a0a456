"""Runs of a stream, each on one path of servers.

A run sends the request to the first server of its path and relays the events of
the response. It probes the servers of a path without events, and replaces
those that have failed or are slow.
"""

import collections.abc
import contextlib
import dataclasses
import typing

import h11
from peridotyard_core import addresses
from peridotyard_core import crashes
from peridotyard_core import events
from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import paths
from peridotyard_core import pauses
from peridotyard_core import silences
from returns import result
import trio

from peridotyard_daemon.connection import callers
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import probes
from peridotyard_daemon.process import views
from peridotyard_daemon.request import contexts
from peridotyard_daemon.request import forwards
from peridotyard_daemon.request import pauses as pauses_module

# The path is probed after a silence of this many mean gaps between events, but
# no later than after this fraction of the longest gap that the route allows.
# Half of that gap leaves time to replace a failed server before it is exceeded.
SILENCE_MEAN_GAPS = 2.5
SILENCE_GAP_FRACTION = 0.5
# Bounds of that silence, before the probe time is added. The minimum covers a
# few steps of a full batch; below that, each normal step would look like a
# failure.
SILENCE_MIN_S = 0.06
SILENCE_MAX_S = 0.5
# Multiple of the mean probe time that is added to that silence. A probe takes
# 2 ms in an idle process.
PROBE_TIME_FACTOR = 3
# Weight of the newest gap in the moving average of the gaps.
GAP_SMOOTHING = 0.2
# Part of the route's event timeout after which a stream is tried on another
# path although all its servers respond. The rest is for the first event there.
STREAM_SILENCE_FRACTION = 0.75
# Time by which a caller may abandon a stream later than its route's event
# timeout after the last event was sent, since that may have been on its way.
CALLER_DELAY_S = 0.5
# Slowness (1 is normal) from which a server of a stream without events is
# replaced. Rerunning the prefix on another server costs about three slow steps.
SLOWNESS_LIMIT = 3.0
# Time limit of an order to a server. The server responds at once and carries
# the order out in the background.
ORDER_TIMEOUT_S = 0.3

_log = logs.Logger("stream")


@dataclasses.dataclass(frozen=True)
class Completed:
    """The complete stream was relayed."""


@dataclasses.dataclass(frozen=True)
class Passed:
    """The server sent a response that is not a stream."""

    head: exchanges.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Refused:
    """The path did not run the request.

    Attributes:
        reason: Why it did not run, for the log.
        avoid: Instances that the next path must not use.
    """

    reason: str
    avoid: frozenset[str]


@dataclasses.dataclass(frozen=True)
class Broken:
    """The path failed; it may have run a part of the request.

    Attributes:
        reason: Why it failed, for the log.
        avoid: Instances that the next path must not use.
        ended: Whether the process of the path's first server is known to have
            terminated.
    """

    reason: str
    avoid: frozenset[str]
    ended: bool


Outcome = Completed | Passed | Refused | Broken


class Progress:
    """The events that a caller has received, owned by the stream.

    Attributes:
        sequence: Checks the order of the events.
        last_event_at: Time of the last event; of the start before the first.
        gaps: Averages of the gaps between events; None before the second
            event.
        longest_gap_s: Longest gap between two events, seconds.
        recorded_ends: Processes of servers whose end has been recorded, by
            instance and start.
        pauses: Records what happens between two events.
    """

    def __init__(self, context: contexts.Context, request: contexts.Request):
        last_event_id = request.head.last_event_id
        self.sequence = events.Sequence(last_event_id)
        self.last_event_at = trio.current_time()
        self.gaps: silences.Gaps | None = None
        self.longest_gap_s = 0.0
        self.recorded_ends: set[tuple[str, int]] = set()
        self.pauses = pauses_module.StreamPauses(context, request)


class Run:
    """One run of a stream on one path, owned by the stream."""

    def __init__(
        self,
        context: contexts.Context,
        prober: probes.Prober,
        request: contexts.Request,
        responder: callers.Responder,
        progress: Progress,
        take_lead: collections.abc.Callable[["Run"], None],
        is_alone: collections.abc.Callable[[], bool],
        is_newest: collections.abc.Callable[["Run"], bool],
        notify_silent: collections.abc.Callable[
            ["Run", str, frozenset[str]], None
        ],
    ):
        """Creates a run that has not been sent.

        Args:
            context: State that the requests share.
            prober: Probes servers of a path without events.
            request: The request.
            responder: Response to the caller.
            progress: Events that the caller has received.
            take_lead: Called with this run before it sends an event to the
                caller; ends the other runs.
            is_alone: Returns whether the stream has no other run.
            is_newest: Returns whether the stream has no newer run than this.
            notify_silent: Called with this run, a reason and the instances
                to avoid, if its path has no events and cannot be repaired.
        """
        self._context = context
        self._prober = prober
        self._request = request
        self._responder = responder
        self._progress = progress
        self._take_lead = take_lead
        self._is_alone = is_alone
        self._is_newest = is_newest
        self._notify_silent = notify_silent
        # The path while the run is in progress, else empty.
        self._path: paths.Path = ()
        # States of its servers in which it is counted. A server that leaves the
        # list and returns has a new one.
        self._counted_at: list[views.Health] = []
        # Serializes changes of the path, since each order has a complete path.
        self._path_lock = trio.Lock()
        # Ends the run.
        self.scope = trio.CancelScope()
        # Time at which the request was sent; None before.
        self._sent_at: float | None = None
        # Limit in the head of the response; None without one.
        self._stated_limit_per_s: float | None = None
        # Known crashes for the parts of the prompt when the path was set.
        self._successions: tuple[int, ...] = ()
        # Number of the last event before this run.
        self._start_event = progress.sequence.last
        # Times of the last event and of the next check of a silent path.
        self._last_activity_at = progress.last_event_at
        self._check_at = self._last_activity_at
        self._check_interval_s = 0.0
        # Time of the next early check of the later servers of the path.
        self._early_at = float("inf")
        # Time of the last check, or of the last event if that is later.
        self._checked_at = self._last_activity_at
        # Times since when servers of the path do not respond to probes.
        self._unresponsive_since: dict[str, float] = {}

    @property
    def is_unanswered(self) -> bool:
        """Whether no event has come in this run."""
        return self._progress.sequence.last == self._start_event

    async def execute(self, path: paths.Path) -> Outcome:
        """Sends the request, and relays the response until the run ends.

        Args:
            path: The path, at whose first server the run begins.
        """
        request, context = self._request, self._context
        first_server = path[0].server
        context.view.record_path(request.service, path)
        self._set_path(path)
        self._record_activity()
        self._start_event = self._progress.sequence.last
        request.log(
            _log,
            "request sent on a path",
            path=describe_path(path),
            after=self._progress.sequence.last,
            prompt=",".join(request.head.prompt_parts),
            limit_per_s=context.statements.find_limit(first_server),
            routing=request.version,
            fleet_age_ms=context.get_fleet_age_ms(),
        )
        connection = None
        reusable = False
        successions: tuple[int, ...] = ()
        outcome: Outcome | None = None
        self._mark(pauses.Mark.DECIDED)
        try:
            connection = await context.pool.acquire(first_server.address)
            dispatch = request.make_dispatch(
                first_server, path, self._progress.sequence.last
            )
            successions = context.parts.get_successions(request.shared_parts)
            self._sent_at = trio.current_time()
            await connection.send(
                request.head.method,
                request.head.target,
                context.codec.encode_request(request.head, dispatch),
                request.body,
            )
            self._mark(pauses.Mark.REQUEST_SENT)
            self._prober.credit.earn()
            outcome = await self._relay(connection)
            reusable = not isinstance(outcome, Broken)
        except upstreams.UnsentError as error:
            refused = isinstance(error, upstreams.RefusedError)
            self._mark(pauses.Mark.REFUSED)
            context.view.suspect(first_server, str(error), ended=refused)
            outcome = Refused(str(error), frozenset([first_server.instance]))
        except (upstreams.LostError, events.SequenceError) as error:
            outcome = await self._classify_loss(
                first_server, str(error), successions
            )
        finally:
            self._set_path(())
            if connection is not None:
                if reusable:
                    context.pool.release(connection)
                else:
                    connection.abort()
            # Also if the caller left: the server is told to stop only here.
            request.log(
                _log,
                "path ended",
                outcome=type(outcome).__name__.lower() if outcome else "broken",
                reason=getattr(outcome, "reason", "cancelled"),
                ended=getattr(outcome, "ended", False),
                last_event=self._progress.sequence.last,
                longest_gap_ms=round(1000 * self._progress.longest_gap_s),
                stated_limit_per_s=self._stated_limit_per_s,
            )
        return outcome

    def has_later_stage(self, instance: str) -> bool:
        """Returns whether a server runs a stage after the first.

        Only such a server can be replaced while the stream continues.
        """
        return any(s.server.instance == instance for s in self._path[1:])

    async def replace_server(self, instance: str) -> None:
        """Replaces a server that is leaving or suspected, if another is free.

        Otherwise the path would be changed only after a silence. A server that
        releases layers waits for the streams that use them, so moving them off
        early lets it release the layers sooner.
        """
        async with self._path_lock:
            if not self.has_later_stage(instance):
                return
            self._record_ends(self._successions)
            server = self._find_server(instance)
            view = self._context.view
            if view.is_suspected(server):
                self._mark(pauses.Mark.SERVER_LOST)
            if view.has_ended(server) and self._context.is_copy_quarantined(
                self._request
            ):
                # A replacement would be the next server to crash.
                return
            path = self._plan_replacement(frozenset([instance]))
            if path is None:
                return
            if await self._change_path(path):
                self._request.log(
                    _log,
                    "stream moved off a server",
                    instance=instance,
                    path=describe_path(path),
                )

    def _find_server(self, instance: str) -> fleet.Server:
        """Returns a server of the path."""
        return next(
            stage.server
            for stage in self._path
            if stage.server.instance == instance
        )

    def describe_cancelled(self) -> Broken | None:
        """Returns the outcome of a cancelled run; None if it was not sent."""
        if self._sent_at is not None:
            return Broken("cancelled", frozenset(), False)
        return None

    @property
    def first_instance(self) -> str | None:
        """Instance of the first server of its path; None without a path."""
        return self._path[0].server.instance if self._path else None

    async def _classify_loss(
        self, server: fleet.Server, reason: str, successions: tuple[int, ...]
    ) -> Broken:
        """Returns the outcome of a lost connection to the first server.

        Records the crash of any server of the path.

        Args:
            server: The server.
            reason: Why the connection was lost.
            successions: Known crashes for the parts of the prompt when the
                request was sent.
        """
        self._mark(pauses.Mark.SILENT)
        self._mark(pauses.Mark.PROBE_SENT)
        ended = await self._context.check_ended(server)
        if not ended:
            # The first server cuts a stream off if a later one has ended.
            await self._prober.find_failed(
                [stage.server for stage in self._path]
            )
            ended = self._context.view.has_ended(server)
        self._mark(pauses.Mark.PROBE_RESULT)
        self._mark(pauses.Mark.SERVER_LOST)
        self._record_ends(successions)
        return Broken(reason, frozenset([server.instance]), ended)

    def _mark(self, mark: pauses.Mark) -> None:
        self._progress.pauses.mark(mark)

    def _record_ends(
        self, successions: tuple[int, ...], is_refused: bool = False
    ) -> None:
        """Records the servers of the path that are known to have ended.

        Args:
            successions: Known crashes for the parts of the prompt when these
                servers received the request.
            is_refused: Whether the path refused the request.
        """
        recorded = self._progress.recorded_ends
        ended = [
            stage.server
            for stage in self._path
            if self._context.view.has_ended(stage.server)
            and _identify(stage.server) not in recorded
        ]
        recorded.update(map(_identify, ended))
        if is_refused:
            progress = crashes.Progress.REFUSED
        elif not self.is_unanswered:
            progress = crashes.Progress.STREAMING
        elif self._progress.sequence.last is not None:
            progress = crashes.Progress.RESUMED
        else:
            progress = crashes.Progress.NOT_ANSWERED
        self._context.record_loss(self._request, ended, progress, successions)

    def count_on(self, path: paths.Path) -> None:
        """Counts the stream on a path, and no longer on the one before.

        A path that is chosen for a stream that has lost its own is counted
        before it is used: all streams of a lost server choose at the same time.
        """
        for health in self._counted_at:
            health.in_flight -= 1
        view = self._context.view
        self._counted_at = [view.get_health(stage.server) for stage in path]
        for health in self._counted_at:
            health.in_flight += 1

    def _set_path(self, path: paths.Path) -> None:
        """Sets the path; moves the in-flight count from old to new servers."""
        self.count_on(path)
        self._path = path
        self._successions = self._context.parts.get_successions(
            self._request.shared_parts
        )

    async def _relay(self, connection: upstreams.Connection) -> Outcome:
        """Relays the response of the path's first server."""
        context, request = self._context, self._request
        head = await self._receive_monitored(
            lambda: forwards.receive_head(
                connection, context.codec, request.head.request_id
            )
        )
        if isinstance(head, Broken):
            return head
        self._record_statement(head)
        if head.not_run:
            await forwards.read_body(connection)
            return await self._classify_refusal(head)
        if not head.signed or head.request_id != request.head.request_id:
            raise upstreams.LostError("response lacks a signature or id")
        self._mark(pauses.Mark.ACCEPTED)
        if head.status != 200:
            body = await forwards.read_body(connection, request.hold)
            # Another run in progress may still succeed.
            is_final = head.status < 500 or self._is_alone()
            if not self._responder.started and is_final:
                return Passed(head, body)
            # The caller has or awaits the head and events of another server.
            server = self._path[0].server
            self._context.view.record_outcome(server, False, None)
            return Broken(
                f"status {head.status} for a stream with another run",
                frozenset([server.instance]),
                False,
            )
        splitter = events.Splitter()
        while True:
            event = await self._receive_monitored(connection.receive)
            if isinstance(event, Broken):
                return event
            if isinstance(event, h11.EndOfMessage):
                break
            await self._forward_events(head, splitter.feed(bytes(event.data)))
        if not splitter.is_empty:
            raise upstreams.LostError("stream ended within an event")
        if not connection.is_framed and self.is_unanswered:
            # Without length and chunks, only the events show that the stream
            # was not broken off.
            raise upstreams.LostError("connection ended before an event")
        # Another run may have sent the end since it arrived here.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._take_lead(self)
        if not self._responder.started:
            await self._responder.start(head.status, head.headers, b"")
        await self._responder.finish()
        context.record_answer(request)
        return Completed()

    def _record_statement(self, head: exchanges.ResponseHead) -> None:
        """Records what the first server of the path states about itself.

        A refusal may be one of a later server, which it then names. The time
        that it states applies to both.
        """
        statements = self._context.statements
        statements.record(self._path[0].server, head, self._sent_at)
        self._stated_limit_per_s = head.statement.limit_per_s
        for stage in self._path[1:]:
            if head.not_run and stage.server.address == head.failed_address:
                statements.record_wait(stage.server, head.statement)

    async def _forward_events(self, head, arrived: events.Batch) -> None:
        """Sends the events that continue the stream to the caller.

        Raises:
            SequenceError: What follows them does not continue it.
        """
        # Another run may have sent these events since they arrived here.
        await trio.lowlevel.checkpoint_if_cancelled()
        batch = self._progress.sequence.check(arrived)
        if batch.events:
            await self._send_events(head, batch.events)
        # An event counts as received only now: the stream is resumed after it.
        self._progress.sequence.advance(batch)
        if batch.error is not None:
            raise batch.error

    async def _send_events(
        self, head, accepted: tuple[events.Event, ...]
    ) -> None:
        begins = self.is_unanswered
        data = b"".join(event.data for event in accepted)
        if all(event.number is None for event in accepted):
            # Comments show no progress, so they neither delay the next check
            # nor end another run, which must not send at the same time.
            if self._responder.started and self._is_alone():
                await self._responder.send(data)
            return
        self._take_lead(self)
        gap_s = trio.current_time() - self._last_activity_at
        if self._responder.started:
            self._progress.longest_gap_s = max(
                self._progress.longest_gap_s, gap_s
            )
            gaps = self._progress.gaps
            self._progress.gaps = (
                silences.Gaps.from_first(gap_s)
                if gaps is None
                else gaps.add(gap_s, GAP_SMOOTHING)
            )
        self._record_event()
        self._progress.pauses.record_event()
        if begins:
            self._context.parts.record_answer(self._request.shared_parts)
        if self._responder.started:
            await self._responder.send(data)
        else:
            await self._start_response(head, data)
        # The next events may have arrived while the caller did not read.
        self._record_event()
        self._mark(pauses.Mark.CALLER_READY)

    async def _start_response(self, head, data: bytes) -> None:
        """Sends the first events to the caller."""
        for stage in self._path:
            self._context.view.record_acceptance(stage.server)
        self._context.metrics.record(
            "first_event",
            self._request.workspace_name,
            self._request.route.name,
            self._last_activity_at - self._request.arrived_at,
        )
        await self._responder.start(head.status, head.headers, data)

    async def _receive_monitored(self, receive) -> typing.Any:
        """Awaits `receive`; without events, probes and repairs the path.

        The time counts from the last event and not from the last byte, since a
        server in trouble may send bytes that never complete an event.
        """
        while True:
            with trio.move_on_at(min(self._early_at, self._check_at)):
                return await receive()
            if trio.current_time() < self._check_at:
                self._check_early()
                continue
            broken = await self._handle_silence()
            if broken is not None:
                return broken
            # Back off, since a path that is only slow needs fewer probes.
            self._check_interval_s = min(
                2 * self._check_interval_s, SILENCE_MAX_S
            )
            now = trio.current_time()
            self._check_at = now + self._check_interval_s
            if now < self._slow_at:
                self._check_at = min(self._check_at, self._slow_at)

    @property
    def _slow_at(self) -> float:
        """Time from which the stream is tried elsewhere unless events come."""
        timeout_s = self._request.route.event_timeout_s
        return self._last_activity_at + STREAM_SILENCE_FRACTION * timeout_s

    def _record_event(self) -> None:
        """Records an event that is sent to the caller."""
        self._record_activity()
        self._progress.last_event_at = self._last_activity_at

    def _record_activity(self) -> None:
        """Records an event or the start of a path."""
        self._last_activity_at = trio.current_time()
        self._checked_at = self._last_activity_at
        self._unresponsive_since.clear()
        self._check_interval_s = self._compute_silence_limit()
        self._check_at = self._last_activity_at + self._check_interval_s
        self._early_at = self._last_activity_at + self._compute_early_limit()

    def _compute_silence_limit(self) -> float:
        """Returns the silence after which the path is probed, seconds."""
        route = self._request.route
        limit_s = SILENCE_GAP_FRACTION * (
            route.event_gap_objective_s or route.latency_objective_s
        )
        gaps = self._progress.gaps
        if gaps is not None:
            limit_s = min(limit_s, SILENCE_MEAN_GAPS * gaps.mean_s)
        limit_s = min(max(limit_s, SILENCE_MIN_S), SILENCE_MAX_S)
        return limit_s + self._busy_s

    @property
    def _busy_s(self) -> float:
        """Time that is added to silences, seconds.

        If this process is busy, events are delayed here and not at the servers.
        A long probe time shows that.
        """
        return PROBE_TIME_FACTOR * self._prober.mean_probe_duration_s

    def _compute_early_limit(self) -> float:
        """Returns the silence of an early check, seconds; infinite for none.

        A path without an event so far may be in its prefill. The end of the
        first server is noticed by the connection to it.
        """
        gaps = self._progress.gaps
        if gaps is None or self.is_unanswered or len(self._path) < 2:
            return float("inf")
        busy_s = self._busy_s
        limit_s = gaps.compute_early_limit(self._check_interval_s - busy_s)
        return float("inf") if limit_s is None else limit_s + busy_s

    def _check_early(self) -> None:
        """Checks the later servers of a path whose next event is missing.

        If one has ended, the streams move off it, see `replace_server`.
        """
        self._early_at = float("inf")
        if self._is_newest(self):
            self._prober.check_early(stage.server for stage in self._path[1:])

    async def _handle_silence(self) -> Broken | None:
        """Probes and repairs a silent path; returns `Broken` if it is lost."""
        if not self._is_newest(self):
            # The newer run decides how the stream goes on.
            return None
        silent_s = trio.current_time() - self._last_activity_at
        servers = [stage.server for stage in self._path]
        self._mark(pauses.Mark.SILENT)
        self._mark(pauses.Mark.PROBE_SENT)
        failed = await self._prober.find_failed(servers)
        self._mark(pauses.Mark.PROBE_RESULT)
        stalled = self._prober.find_stalled(
            servers[0], self._request.head.request_id
        )
        if stalled is not None:
            failed |= {
                server.instance
                for server in servers
                if server.address == stalled
            }
        async with self._path_lock:
            # The failed servers may have been replaced during the probes.
            failed &= paths.list_instances(self._path)
            self._update_unresponsive(failed, stalled)
            if failed:
                return await self._repair_path(failed, silent_s)
            if await self._replace_slow_servers(silent_s):
                return None
        if trio.current_time() >= self._slow_at:
            # All servers respond, so the path is slow. It is kept until another
            # one has the next event: that one may refuse, or be slow as well.
            self._notify_silent(
                self,
                f"path silent for {silent_s:.1f} s",
                paths.list_instances(self._path),
            )
        return None

    async def _repair_path(
        self, failed: frozenset[str], silent_s: float
    ) -> Broken | None:
        """Replaces failed servers of a path; returns `Broken` if it is lost.

        A server without a response to probes may only be silent for a time, so
        the path is lost only if the process of its first server has ended, or
        once the caller has left.
        """
        first = self._path[0].server
        self._mark(pauses.Mark.SERVER_LOST)
        self._record_ends(self._successions)
        if self._context.is_copy_quarantined(self._request):
            # A replacement would be the next server to crash.
            if any(
                self._context.view.has_ended(stage.server)
                for stage in self._path
            ):
                return Broken("quarantined", failed, False)
            return None
        if first.instance in failed:
            reason = "first server failed"
            if self._has_ended(first):
                # The connection of the run is still open, so the server may
                # run the request: a full one refuses further connections.
                return Broken(reason, failed, False)
            return self._wait_or_abandon(reason, failed)
        path = self._plan_replacement(failed)
        if path is None:
            reason = f"no replacement for {','.join(sorted(failed))}"
            return self._wait_or_abandon(reason, failed)
        accepted = await self._change_path(path)
        self._request.log(
            _log,
            "path repaired" if accepted else "path repair not accepted",
            dead=",".join(sorted(failed)),
            path=describe_path(path),
            silent_ms=round(1000 * silent_s),
        )
        if not accepted:
            return self._wait_or_abandon("path repair not accepted", failed)
        return None

    def _update_unresponsive(
        self, failed: frozenset[str], stalled: addresses.Address | None
    ) -> None:
        """Records since when servers of the path have not responded.

        A server that responds to probes after their timeout is not lost.

        Args:
            failed: Instances that did not respond to probes, or are stalled.
            stalled: Address of the server that the first one waits for. What it
                sends to this entry does not show that it serves the path.
        """
        self._unresponsive_since = {
            stage.server.instance: self._get_unresponsive_since(
                stage.server, stage.server.address == stalled
            )
            for stage in self._path
            if stage.server.instance in failed
        }
        self._checked_at = trio.current_time()

    def _get_unresponsive_since(
        self, server: fleet.Server, is_stalled: bool
    ) -> float:
        since = self._unresponsive_since.get(server.instance, self._checked_at)
        if is_stalled:
            return since
        return max(since, self._context.pool.get_heard_at(server.address))

    def _has_lost_server(self) -> bool:
        """Returns whether a server did not respond while a caller waits."""
        wait_s = compute_caller_wait_s(self._request.route)
        limit = trio.current_time() - wait_s
        return any(at <= limit for at in self._unresponsive_since.values())

    def _wait_or_abandon(
        self, reason: str, failed: frozenset[str]
    ) -> Broken | None:
        """Returns `Broken` for a path that cannot be repaired and is lost.

        Else another run is tried beside this one. A stream that must not run
        again has nothing to gain from the end of its only run.

        Args:
            reason: Why the path does not continue.
            failed: Instances that failed.
        """
        policy = self._request.route.retry_policy
        if policy.is_idempotent and self._has_lost_server():
            return Broken(reason, failed, False)
        self._notify_silent(self, reason, failed)
        return None

    def _has_ended(self, first: fleet.Server) -> bool:
        """Returns whether the run ends since its first server has ended.

        A server that leaves by plan has no row while it completes its streams,
        and may be silent for a second.
        """
        view = self._context.view
        if not view.has_ended(first):
            return False
        return (
            first.instance in view.servers
            or view.get_health(first).ended
            or self._has_lost_server()
        )

    def _plan_replacement(self, excluded: frozenset[str]) -> paths.Path | None:
        """Returns the path with the excluded servers replaced, or None."""
        view, service = self._context.view, self._request.service
        usable = view.list_usable(service.name)
        planner = view.make_planner(service)
        return planner.replace_failed_stages(
            self._path, excluded, usable, view.get_load
        )

    async def _replace_slow_servers(self, silent_s: float) -> bool:
        """Replaces slow servers of the path if faster ones are free."""
        view, request = self._context.view, self._request
        slowness = view.make_planner(request.service).slowness
        slow = frozenset(
            stage.server.instance
            for stage in self._path[1:]
            if slowness.get(stage.server.instance, 1.0) >= SLOWNESS_LIMIT
        )
        path = self._plan_replacement(slow) if slow else None
        if path is None or any(
            slowness.get(name, 1.0) >= SLOWNESS_LIMIT
            for name in paths.list_instances(path)
            - paths.list_instances(self._path)
        ):
            return False
        if not await self._change_path(path):
            return False
        request.log(
            _log,
            "slow servers replaced",
            slow=",".join(sorted(slow)),
            path=describe_path(path),
            silent_ms=round(1000 * silent_s),
        )
        return True

    async def _change_path(self, path: paths.Path) -> bool:
        """Orders a new path; returns whether the first server accepted it."""
        before = self._path
        self._mark(pauses.Mark.DECIDED)
        self._mark(pauses.Mark.ORDER_SENT)
        with self._count_replacements(path):
            accepted = await self._send_order(before[0].server, path)
        self._mark(pauses.Mark.ACCEPTED if accepted else pauses.Mark.REFUSED)
        # The attempt on this path may have ended before the response to the
        # order; its servers' counts have been updated then.
        if accepted and self._path is before:
            self._context.metrics.increment("repairs")
            self._set_path(path)
        return accepted

    @contextlib.contextmanager
    def _count_replacements(self, path: paths.Path):
        """Counts the stream on the servers that are new on an ordered path.

        All streams of a lost server choose at the same time. If each counted
        only after its order, all would take the same replacement, which would
        prefill them one after the other.
        """
        kept = paths.list_instances(self._path)
        ordered = [
            self._context.view.get_health(stage.server)
            for stage in path
            if stage.server.instance not in kept
        ]
        for health in ordered:
            health.in_flight += 1
        try:
            yield
        finally:
            for health in ordered:
                health.in_flight -= 1

    async def _send_order(self, first: fleet.Server, path: paths.Path) -> bool:
        context = self._context
        context.metrics.increment("orders")
        body = context.codec.encode_reroute_order(
            self._request.head.request_id, path
        )
        response = await context.pool.try_fetch(
            first.address,
            "POST",
            context.codec.order_target,
            context.codec.encode_order_headers(first),
            body,
            timeout_s=ORDER_TIMEOUT_S,
        )
        context.statements.record_fetched(first, context.codec, response)
        match response:
            case result.Success(upstreams.Response(status=200 | 202)):
                return True
            case result.Success(upstreams.Response(status=status)):
                reason = f"status {status}"
            case result.Failure(error):
                reason = str(error)
        self._request.log(_log, "path order failed", reason=reason)
        return False

    async def _classify_refusal(self, head: exchanges.ResponseHead) -> Refused:
        at_fault = [
            stage.server
            for stage in self._path
            if stage.server.address == head.failed_address
        ] or [self._path[0].server]
        self._mark(pauses.Mark.REFUSED)
        for server in at_fault:
            self._context.view.record_refusal(server, self._request.service)
        # The server at fault may have failed instead of refusing work.
        await self._prober.find_unresponsive(at_fault)
        self._record_ends(self._successions, is_refused=True)
        avoid = frozenset(server.instance for server in at_fault)
        return Refused(f"status {head.status} at {head.failed_address}", avoid)


def compute_caller_wait_s(route: fleet.Route) -> float:
    """Returns the silence after which callers have left a stream, seconds."""
    return route.event_timeout_s + CALLER_DELAY_S


def _identify(server: fleet.Server) -> tuple[str, int]:
    return server.instance, server.started_at_ms


def describe_path(path: paths.Path) -> str:
    """Formats a path for the log."""
    return ",".join(
        f"{stage.server.address}={stage.layer_range.first}"
        f"-{stage.layer_range.end}"
        for stage in path
    )
