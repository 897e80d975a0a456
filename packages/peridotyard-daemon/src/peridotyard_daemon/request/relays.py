"""Relays streamed responses; repairs or replaces the path of a stream.

The entry sends a request to the first server of a path, which responds with the
events of the stream. If a later server of the path fails, the entry orders the
first server to use another one, and the stream continues. If that is not
possible, the entry sends an idempotent request again, on another path and with
the id of the last event that it received.
"""

import dataclasses

from peridotyard_core import paths
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import callers
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import probes
from peridotyard_daemon.request import contexts
from peridotyard_daemon.request import runs

# Attempts to send one request, including refusals and resumptions.
SEND_LIMIT = 5
# Time after the last event for which a stream that has begun waits for a path
# or the retry budget. Lost layers are loaded again in one or two seconds, and
# callers wait for two seconds at least.
PATH_WAIT_S = 2.0
# Time between two searches for a path meanwhile.
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
        self._progress = runs.Progress(request.head.last_event_id)
        # The run in progress, if any.
        self._run: runs.Run | None = None
        # Instances that refused the request or failed on an earlier path.
        self._avoid: frozenset[str] = frozenset()
        # Whether a path may have run a part of the request.
        self._may_have_run = False
        # Number of paths that may still run a part of the request.
        self._possible_runs = 0

    async def run(self) -> None:
        """Relays the stream, and resumes it on other paths after failures."""
        self._context.streams.add(self)
        try:
            with trio.move_on_at(self._request.deadline) as scope:
                await self._run_paths()
        finally:
            self._context.streams.discard(self)
        if not scope.cancelled_caught:
            return
        if self._responder.started:
            self._context.record_end(self._request, "cut (time limit)")
            return
        failure = verdicts.make_may_have_run_failure(
            "backend-timeout", "The stream had no event within the time limit."
        )
        await self._context.fail(self._request, self._responder, failure)

    def has_later_stage(self, instance: str) -> bool:
        """Returns whether a server runs a stage after the first.

        Only such a server can be replaced while the stream continues.
        """
        return self._run is not None and self._run.has_later_stage(instance)

    async def replace_server(self, instance: str) -> None:
        """Replaces a server that is leaving or suspected, if another is free.

        Otherwise the path would be changed only after a silence. A server that
        releases layers waits for the streams that use them, so moving them off
        early lets it release the layers sooner.
        """
        if self._run is not None:
            await self._run.replace_server(instance)

    def stop_if_quarantined(self) -> None:
        """Ends a run without an answer if its request is quarantined now.

        The server has not crashed yet.
        """
        if (
            self._run is not None
            and not self._responder.started
            and self._context.is_quarantined(self._request)
        ):
            self._run.stop()

    async def _run_paths(self) -> None:
        request, context = self._request, self._context
        outcome: runs.Outcome | None = None
        for sends in range(SEND_LIMIT):
            path = await self._find_path(outcome)
            if path is None:
                outcome = outcome or runs.Refused("no path", frozenset())
                self._log_given_up("no path", sends)
                break
            if sends:
                self._responder.check_connected()
                if context.is_quarantined(request):
                    self._log_given_up("quarantined", sends)
                    break
                if not context.spend_retry(request):
                    if not await self._wait_for_retry():
                        self._log_given_up("retry budget", sends)
                        break
                    # The servers may have changed during the wait.
                    path = await self._find_path(outcome)
                    if path is None:
                        self._log_given_up("no path", sends)
                        break
            outcome = await self._try_path(path)
            match outcome:
                case runs.Completed() | runs.Passed():
                    break
                case runs.Refused(avoid=avoid):
                    self._avoid |= avoid
                case runs.Broken(avoid=avoid, ended=ended):
                    self._may_have_run = True
                    self._avoid |= avoid
                    self._possible_runs += not ended
                    if not self._may_resume(self._possible_runs):
                        self._log_given_up("attempts", sends + 1)
                        break
        else:
            self._log_given_up("sends", SEND_LIMIT)
        await self._finish_response(outcome)

    def _log_given_up(self, reason: str, sends: int) -> None:
        """Logs why a stream is not sent again.

        Args:
            reason: What is missing: a path, a retry of the budget, an attempt
                ("attempts": servers that may run the request, "sends": all), or
                "quarantined".
            sends: Number of times that it was sent.
        """
        last_event_at = self._progress.last_event_at
        self._request.log(
            _log,
            "stream given up",
            reason=reason,
            sends=sends,
            possible_runs=self._possible_runs,
            silent_ms=round(1000 * (trio.current_time() - last_event_at)),
        )

    async def _try_path(self, path: paths.Path) -> runs.Outcome:
        self._run = runs.Run(
            self._context,
            self._prober,
            self._request,
            self._responder,
            self._progress,
            path,
            self._has_other_path,
        )
        try:
            return await self._run.execute()
        finally:
            self._run = None

    async def _find_path(self, last: runs.Outcome | None) -> paths.Path | None:
        """Returns the next path; a stream that has begun waits for one.

        Args:
            last: runs.Outcome of the previous path, None for the first path.
        """
        path = await self._reserve_path(last)
        if path is None and self._responder.started:
            path = await self._wait_for_path(last)
        return path

    async def _wait_for_retry(self) -> bool:
        """Waits until the retry budget allows a stream that has begun to go on.

        Returns:
            Whether a retry was spent.
        """
        if not self._responder.started:
            return False
        with trio.move_on_at(self._progress.last_event_at + PATH_WAIT_S):
            while True:
                await trio.sleep(PATH_SEARCH_INTERVAL_S)
                self._responder.check_connected()
                if self._context.spend_retry(self._request):
                    return True
        return False

    async def _reserve_path(
        self, last: runs.Outcome | None
    ) -> paths.Path | None:
        """Returns the next path, within the limit of its first server.

        Only the first server of a path receives a request.

        Args:
            last: runs.Outcome of the previous path, None for the first path.
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
            last: runs.Outcome of the previous path, None for the first path.
            not_first: Instances with which the path must not begin.
        """
        view, service = self._context.view, self._request.service
        path = view.choose_path(service, self._avoid, not_first)
        if path is None and isinstance(last, runs.Broken):
            # Without other servers, those that lost an earlier attempt may be
            # used again. Servers that refused would refuse again.
            path = view.choose_path(service, last.avoid, not_first)
        return path

    async def _wait_for_path(self, last: runs.Outcome) -> paths.Path | None:
        """Waits for a path of a stream that has begun; None if there is none.

        Args:
            last: runs.Outcome of the previous path.
        """
        with trio.move_on_at(self._progress.last_event_at + PATH_WAIT_S):
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
                failure = context.refuse_unavailable(request, reason)
                if self._may_have_run:
                    failure = dataclasses.replace(
                        failure,
                        code="stream-lost",
                        verdict=verdicts.Verdict.MAY_HAVE_RUN,
                        message="The stream was lost before its first event.",
                    )
                await context.fail(request, self._responder, failure)

    def _has_other_path(self, failed: frozenset[str]) -> bool:
        """Returns whether the stream can continue on another path.

        The current one counts as a path that still runs the request.

        Args:
            failed: Instances that the other path must not use.
        """
        if not self._may_resume(self._possible_runs + 1):
            return False
        if not self._context.has_retry(self._request):
            return False
        avoid = self._avoid | failed
        view, service = self._context.view, self._request.service
        not_first = self._context.list_exhausted(service.name)
        return view.choose_path(service, avoid, not_first) is not None
