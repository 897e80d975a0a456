"""Relays streamed responses; chooses the paths of a stream.

The entry sends a request to the first server of a path, which responds with the
events of the stream. If a later server of the path fails, the entry orders the
first server to use another one, and the stream continues, see `runs`. If that
is not possible, the entry sends an idempotent request again, on another path
and with the id of the last event that it received. A path that is only silent
is kept meanwhile, and the one with the next event continues the stream.
"""

import collections.abc
import dataclasses

from peridotyard_core import admission
from peridotyard_core import paths
from peridotyard_core import pauses
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import callers
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import probes
from peridotyard_daemon.request import contexts
from peridotyard_daemon.request import runs

# Attempts to send one request between two of its events, including refusals.
SEND_LIMIT = 5
# Time between two searches for a path, or for a retry of the budget, while a
# stream that has begun waits. Lost layers are loaded again in one or two
# seconds.
PATH_SEARCH_INTERVAL_S = 0.25

_log = logs.Logger("stream")


class Stream:
    """One streamed response, owned by its request."""

    def __init__(
        self,
        context: contexts.Context,
        prober: probes.Prober,
        request: contexts.Request,
        responder: callers.Responder,
    ):
        self._context = context
        self._prober = prober
        self._request = request
        self._responder = responder
        self._progress = runs.Progress(context, request)
        # The runs in progress: one, and others while that is silent.
        self._runs: list[runs.Run] = []
        # Runs the others; set while a run is in progress.
        self._nursery: trio.Nursery | None = None
        # Outcome of the run that ended last.
        self._outcome: runs.Outcome | None = None
        # Error that ended a run, raised by the stream.
        self._error: Exception | None = None
        # Number of times that the request was sent or about to be sent.
        self._sends = 0
        # The same since the last event.
        self._sends_without_event = 0
        # Instances that failed on an earlier path.
        self._failed: frozenset[str] = frozenset()
        # Instances that refused the request since the last event.
        self._refused: frozenset[str] = frozenset()
        # Instances because of which the runs in progress are silent.
        self._silent: frozenset[str] = frozenset()
        # Whether a path may have run a part of the request.
        self._may_have_run = False
        # Requests that wait for room in the service.
        self._queue = context.find_queue(request.service.name)
        # Time at which it was sent first.
        self._began_at: float | None = None
        # Whether an event was received, so that the time to it was recorded.
        self._has_event = False
        # Whether it was not sent since servers had no room for it.
        self._is_without_room = False
        # Number of paths that may still run a part of the request.
        self._possible_runs = 0

    async def run(self) -> None:
        """Relays the stream, and resumes it on other paths after failures."""
        self._context.streams.add(self)
        self._context.shares.record_arrival(self._request.demand_key)
        try:
            with self._request.answer_limit.move_on_at(
                self._request.deadline
            ) as scope:
                outcome = await self._run_paths()
        finally:
            self._context.streams.discard(self)
            self._context.announce_crashes(self._request)
            if self._began_at is not None:
                duration_s = trio.current_time() - self._began_at
                self._queue.end_stream(duration_s)
                self._context.shares.end_stream(
                    self._request.demand_key,
                    duration_s if self._has_event else None,
                )
                self._context.offer_room()
        if not scope.cancelled_caught:
            # Outside of the time limit, which could cut off the answer.
            await self._finish_response(outcome)
            return
        if self._responder.started:
            self._context.record_end(self._request, "cut (time limit)")
            return
        if self._may_have_run:
            failure = verdicts.make_may_have_run_failure(
                "backend-timeout",
                "The stream had no event within the time limit.",
            )
        else:
            failure = self._context.refuse_unsent(self._request)
        await self._context.fail(self._request, self._responder, failure)

    def has_later_stage(self, instance: str) -> bool:
        """Returns whether a server runs a stage after the first.

        Only such a server can be replaced while the stream continues.
        """
        return any(run.has_later_stage(instance) for run in self._runs)

    async def replace_server(self, instance: str) -> None:
        """Replaces a server in all runs, see `runs.Run.replace_server`."""
        for run in list(self._runs):
            await run.replace_server(instance)

    def stop_if_quarantined(self) -> None:
        """Ends the runs without an answer if the request is quarantined now.

        The servers have not crashed yet.
        """
        if not self._responder.started and self._context.is_quarantined(
            self._request
        ):
            for run in self._runs:
                run.scope.cancel()

    async def _run_paths(self) -> runs.Outcome:
        """Returns the outcome of the last path."""
        request, context = self._request, self._context
        while True:
            path = await self._find_path(self._outcome)
            if path is None:
                if self._sends:
                    self._log_given_up("no path")
                break
            if self._sends:
                self._responder.check_connected()
                if context.is_quarantined(request):
                    self._log_given_up("quarantined")
                    break
                if not self._spend_retry():
                    if not await self._wait_for_retry():
                        self._log_given_up("retry budget")
                        break
                    # The servers may have changed during the wait.
                    path = await self._find_path(self._outcome)
                    if path is None:
                        self._log_given_up("no path")
                        break
            await self._try_path(path)
            if self._is_done:
                break
            if self._may_have_run and not self._may_resume(self._possible_runs):
                self._log_given_up("attempts")
                break
            if self._sends_without_event >= SEND_LIMIT:
                self._log_given_up("sends")
                break
        return self._outcome or runs.Refused("no path", frozenset())

    def _log_given_up(self, reason: str) -> None:
        """Logs why a stream is not sent again.

        Args:
            reason: What is missing: a path, a retry of the budget, an attempt
                ("attempts": servers that may run the request, "sends": all
                since the last event), or "quarantined".
        """
        last_event_at = self._progress.last_event_at
        self._request.log(
            _log,
            "stream given up",
            reason=reason,
            sends=self._sends,
            possible_runs=self._possible_runs,
            silent_ms=round(1000 * (trio.current_time() - last_event_at)),
        )

    async def _try_path(self, path: paths.Path) -> None:
        """Runs the stream on a path, and on others while that is silent.

        Returns once all of these runs have ended.
        """

        async def find_path() -> paths.Path:
            return path

        try:
            async with trio.open_nursery() as self._nursery:
                run = self._make_run()
                if self._sends:
                    run.count_on(path)
                self._nursery.start_soon(self._execute, run, find_path)
        except BaseExceptionGroup:
            # Errors of runs are not in the group, so the request is cancelled.
            # Callers expect the exception itself.
            await trio.lowlevel.checkpoint_if_cancelled()
            raise
        if self._error is not None:
            raise self._error

    def _make_run(self) -> runs.Run:
        run = runs.Run(
            self._context,
            self._prober,
            self._request,
            self._responder,
            self._progress,
            self._take_lead,
            lambda: len(self._runs) == 1,
            lambda run: self._runs[-1] is run,
            self._start_other_run,
        )
        self._runs.append(run)
        return run

    async def _execute(
        self,
        run: runs.Run,
        find_path: collections.abc.Callable[
            [], collections.abc.Awaitable[paths.Path | None]
        ],
    ) -> runs.Outcome | None:
        """Executes a run and records its outcome.

        Args:
            run: The run.
            find_path: Returns its path, None if there is none.

        Returns:
            The outcome; None if the request was not sent.
        """
        outcome = None
        try:
            with run.scope:
                path = await find_path()
                if path is not None:
                    self._sends += 1
                    self._sends_without_event += 1
                    if self._began_at is None:
                        self._began_at = trio.current_time()
                        self._queue.in_progress += 1
                        self._context.shares.begin_stream(
                            self._request.demand_key
                        )
                    outcome = await run.execute(path)
        except (OSError, trio.BrokenResourceError) as error:
            # The caller has disconnected.
            self._raise_later(error)
        except Exception as error:
            self._handle_error(run, error)
        finally:
            self._runs.remove(run)
            run.count_on(())
            # Also if the run was cancelled, by a time limit for example.
            outcome = outcome or run.describe_cancelled()
            self._may_have_run |= isinstance(outcome, runs.Broken)
        match outcome:
            case runs.Completed() | runs.Passed():
                self._take_lead(run)
            case runs.Refused(avoid=avoid):
                self._refused |= avoid
            case runs.Broken(avoid=avoid, ended=ended):
                self._failed |= avoid
                self._possible_runs += not ended
        if outcome is not None and not self._is_done:
            self._outcome = outcome
        return outcome

    def _raise_later(self, error: Exception) -> None:
        """Ends all runs; the nursery would wrap the error in a group."""
        self._error = error
        self._nursery.cancel_scope.cancel()

    def _handle_error(self, run: runs.Run, error: Exception) -> None:
        """Handles an internal error of a run.

        It ends the stream, unless another run may still continue it. The run
        that sends to the caller has cancelled the others.
        """
        if all(r is run or r.scope.cancel_called for r in self._runs):
            self._raise_later(error)
            return
        self._context.metrics.increment("internal_errors.run")
        _log.error(
            "run ended by an internal error",
            request=self._request.head.request_id,
            **logs.describe_error(error),
        )

    @property
    def _is_done(self) -> bool:
        """Whether a run has ended with the final response."""
        return isinstance(self._outcome, (runs.Completed, runs.Passed))

    @property
    def _abandoned_at(self) -> float:
        """Time at which the caller has left unless it receives an event."""
        wait_s = runs.compute_caller_wait_s(self._request.route)
        return self._progress.last_event_at + wait_s

    def _take_lead(self, run: runs.Run) -> None:
        """Ends the other runs, since this one sends to the caller."""
        self._sends_without_event = 0
        if not self._has_event and self._began_at is not None:
            self._has_event = True
            self._queue.record_first_event(trio.current_time() - self._began_at)
        self._refused = frozenset()
        self._silent = frozenset()
        for other in self._runs:
            if other is not run:
                other.scope.cancel()

    def _choose_other_path(
        self,
        firsts: frozenset[str],
        failed: frozenset[str],
        denied: frozenset[str] = frozenset(),
    ) -> paths.Path | None:
        """Returns a path for a run beside others, None if there is none.

        Args:
            firsts: Instances at which the others begin. Orders name a run by
                its first server and the request, so two runs must not begin at
                the same server.
            failed: Instances that the path must not use.
            denied: Instances with which it must not begin.
        """
        return self._context.view.choose_path(
            self._request.service,
            self._failed | self._refused | failed,
            denied | firsts,
            self._needs_room,
            self._get_withheld(),
        )

    def _list_first_instances(self) -> frozenset[str]:
        """Returns the instances at which the runs in progress begin."""
        firsts = (run.first_instance for run in self._runs)
        return frozenset(first for first in firsts if first is not None)

    def _may_move(self, failed: frozenset[str]) -> bool:
        """Returns whether the stream can be sent on another path now.

        The runs in progress count as attempts.

        Args:
            failed: Instances that the other path must not use.
        """
        context, request = self._context, self._request
        # One send is left for the case that the other path refuses.
        if self._sends_without_event + 1 >= SEND_LIMIT:
            return False
        return (
            self._may_resume(self._possible_runs + len(self._runs))
            and not context.is_quarantined(request)
            and context.has_retry(request, not self._responder.started)
            and context.can_answer_in_time(request)
            and self._choose_other_path(
                self._list_first_instances(),
                failed,
                context.list_exhausted(request.service.name),
            )
            is not None
        )

    def _start_other_run(
        self, silent: runs.Run, reason: str, failed: frozenset[str]
    ) -> None:
        """Starts a run on another path while one is silent, if allowed.

        The silent one goes on: its servers may respond again before the other
        path does, or the other path may refuse. The run with the next event
        continues the stream.

        Args:
            silent: The silent run, the newest one.
            reason: Why it does not continue, for the log.
            failed: Instances that the other path must not use.
        """
        if len(self._runs) > 1:
            failed |= self._silent
        if not self._may_move(failed):
            return
        self._silent = failed
        self._progress.pauses.mark(pauses.Mark.SECOND_PATH)
        context = self._context
        self._request.log(
            _log,
            "second path tried beside a silent one",
            reason=reason,
            last_event=self._progress.sequence.last,
        )
        # The silent runs may end while the other one waits for its path.
        firsts = self._list_first_instances()

        async def find_path() -> paths.Path | None:
            path = await context.reserve(
                self._request,
                lambda denied: self._choose_other_path(firsts, failed, denied),
                lambda: self._choose_other_path(firsts, failed),
                lambda path: path[0].server,
            )
            self._responder.check_connected()
            if path is None or not self._spend_retry():
                return None
            return path

        async def execute() -> None:
            outcome = await self._execute(run, find_path)
            if isinstance(outcome, runs.Refused) and silent in self._runs:
                self._start_other_run(silent, reason, failed)

        run = self._make_run()
        self._nursery.start_soon(execute)

    async def _find_path(self, last: runs.Outcome | None) -> paths.Path | None:
        """Returns the next path; a stream that has begun waits for one.

        Args:
            last: Outcome of the previous path, None for the first path.
        """
        if self._needs_room:
            return await self._wait_for_room(last)
        path = await self._reserve_path(last)
        if (
            path is None
            and self._responder.started
            and self._context.can_answer_in_time(self._request)
        ):
            path = await self._wait_for_path(last)
        return path

    async def _wait_for_room(
        self, last: runs.Outcome | None
    ) -> paths.Path | None:
        """Returns a path over servers with room; waits for it if there is none.

        Args:
            last: Outcome of the previous path, None for the first path.
        """
        request = self._request
        queue = self._queue
        self._is_without_room = False
        if not queue.has_precedence(request.priority):
            path = await self._reserve_path(last)
            if path is not None or not self._lacks_room(last):
                return path
        deadline = self._context.find_room_deadline(request)
        if deadline is not None and await queue.wait(
            self._make_ticket(deadline),
            lambda: self._choose_path(last) is not None,
            self._context.count_candidates(request.service.name),
        ):
            self._responder.check_connected()
            path = await self._reserve_path(last)
            if path is not None:
                return path
        self._is_without_room = self._lacks_room(last)
        if self._is_without_room:
            self._count_withheld()
        return None

    def _count_withheld(self) -> None:
        """Counts a request for which there is room that others keep."""
        context, request = self._context, self._request
        if (self._exceeds_pace() or self._get_withheld()) and (
            context.view.choose_path(
                request.service,
                self._failed | self._refused,
                needs_room=True,
            )
            is not None
        ):
            level = request.demand_key.priority
            context.metrics.increment(f"withheld.{level}")

    def _make_ticket(self, deadline: float) -> admission.Ticket:
        """Returns the ticket with which the request waits for room.

        A caller that returns after a refusal has less time left than the route
        gives it, and goes before others of its workspace.

        Args:
            deadline: Time until which it waits.
        """
        request = self._request
        ticket = admission.Ticket(
            request.workspace_name,
            request.priority,
            1.0,
            deadline,
            request.relative_size,
        )
        if not self._context.shares.is_contested(request.service.name):
            return ticket
        since = request.deadline - request.route.timeout_s
        return dataclasses.replace(ticket, since=since)

    def _lacks_room(self, last: runs.Outcome | None) -> bool:
        """Returns whether there are paths, but none with room.

        Args:
            last: Outcome of the previous path, None for the first path.
        """
        view, service = self._context.view, self._request.service
        return (
            self._choose_path(last) is None
            and view.choose_path(service, self._failed | self._refused)
            is not None
        )

    def _spend_retry(self) -> bool:
        """Spends a retry; returns False if the budget has none left.

        A new stream of a priority that gets less than it needs spends none
        after a refusal: in a surge, refusals by full servers would use up the
        budget of the others.
        """
        context, request = self._context, self._request
        if (
            self._needs_room
            and isinstance(self._outcome, runs.Refused)
            and context.shares.is_paced(request.demand_key)
        ):
            context.metrics.increment("retries_denied")
            return False
        return self._context.spend_retry(
            self._request, not self._responder.started
        )

    async def _wait_for_retry(self) -> bool:
        """Waits until the retry budget allows a stream that has begun to go on.

        Returns:
            Whether a retry was spent.
        """
        if not self._responder.started:
            return False
        with trio.move_on_at(self._abandoned_at):
            while True:
                await trio.sleep(PATH_SEARCH_INTERVAL_S)
                self._responder.check_connected()
                if self._spend_retry():
                    return True
        return False

    async def _reserve_path(
        self, last: runs.Outcome | None
    ) -> paths.Path | None:
        """Returns the next path, within the limit of its first server.

        Only the first server of a path receives a request.

        Args:
            last: Outcome of the previous path, None for the first path.
        """
        return await self._context.reserve(
            self._request,
            lambda denied: self._choose_path(last, denied),
            lambda: self._choose_path(last),
            lambda path: path[0].server,
        )

    def _choose_path(
        self, last: runs.Outcome | None, not_first: frozenset[str] = frozenset()
    ) -> paths.Path | None:
        """Returns the cheapest path.

        Args:
            last: Outcome of the previous path, None for the first path.
            not_first: Instances with which the path must not begin.
        """
        view, service = self._context.view, self._request.service
        avoid = self._failed | self._refused
        if self._exceeds_pace():
            return None
        withheld = self._get_withheld()
        path = view.choose_path(
            service, avoid, not_first, self._needs_room, withheld
        )
        if path is not None or last is None:
            return path
        # Without other servers, those that lost an earlier attempt may be used
        # again. Servers that refused do so again at once, so only a stream that
        # waits returns to them; the view leaves them out for a time.
        if isinstance(last, runs.Broken):
            path = view.choose_path(
                service, last.avoid, not_first, self._needs_room, withheld
            )
        elif self._responder.started:
            path = view.choose_path(service, frozenset(), not_first)
        return path

    def _get_withheld(self) -> float:
        """Returns the fraction of the servers' room that it may not use."""
        if not self._needs_room:
            return 0.0
        return self._context.shares.get_withheld(self._request.demand_key)

    def _exceeds_pace(self) -> bool:
        """Returns whether the pace of its priority allows no new stream now."""
        return (
            self._needs_room
            and self._began_at is None
            and not self._context.shares.may_begin(self._request.demand_key)
        )

    @property
    def _needs_room(self) -> bool:
        """Whether the stream is new, so that it needs a path with room.

        Others continue also on full servers, which then decide by themselves.
        """
        return (
            not self._responder.started
            and self._request.head.last_event_id is None
        )

    async def _wait_for_path(self, last: runs.Outcome) -> paths.Path | None:
        """Waits for a path of a stream that has begun; None if there is none.

        Args:
            last: Outcome of the previous path.
        """
        with trio.move_on_at(self._abandoned_at):
            while True:
                await trio.sleep(PATH_SEARCH_INTERVAL_S)
                path = await self._reserve_path(last)
                if path is not None:
                    return path
        return None

    def _may_resume(self, possible_runs: int) -> bool:
        route = self._request.route
        if not route.retry_policy.is_idempotent:
            return False
        if not self._progress.sequence.is_certain:
            return False
        return possible_runs < route.max_attempts

    async def _finish_response(self, outcome: runs.Outcome) -> None:
        request, context = self._request, self._context
        if self._responder.started and not isinstance(outcome, runs.Completed):
            # Leaving out the final chunk shows the caller that the response is
            # incomplete, so that it can resume after its last event.
            context.record_end(request, f"cut ({outcome.reason})")
            return
        match outcome:
            case runs.Completed():
                context.record_end(request, "status 200")
            case runs.Passed(head=head, body=body):
                await context.send_response(
                    request, self._responder, head, body
                )
            case runs.Refused(reason=reason) | runs.Broken(reason=reason):
                failure = (
                    context.refuse_without_room(request)
                    if self._is_without_room
                    else context.refuse_unavailable(request, reason)
                )
                if self._may_have_run:
                    failure = dataclasses.replace(
                        failure,
                        code="stream-lost",
                        verdict=verdicts.Verdict.MAY_HAVE_RUN,
                        message="The stream was lost before its first event.",
                    )
                await context.fail(request, self._responder, failure)
