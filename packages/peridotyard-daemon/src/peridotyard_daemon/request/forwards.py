"""Forwards plain requests: chooses servers, retries, reports the outcome."""

import collections.abc
import dataclasses

import h11
from peridotyard_core import crashes
from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import callers
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import logs
from peridotyard_daemon.request import contexts

# Longest body of a plain response. The body is buffered completely before it is
# forwarded, so that a truncated response can be replaced by another server's.
RESPONSE_LIMIT_BYTES = 16 << 20
# Attempts to send one request, including refusals. If four servers in a row
# refuse, the fleet is full, and a fifth attempt would only add to its load.
SEND_LIMIT = 4
# Fraction of the remaining time that an idempotent request waits for one server
# while another one could still respond.
ATTEMPT_TIME_FRACTION = 0.5

_log = logs.Logger("forward")


@dataclasses.dataclass(frozen=True)
class Responded:
    """The server sent a complete response to this request."""

    head: exchanges.ResponseHead
    body: bytes


@dataclasses.dataclass(frozen=True)
class Refused:
    """The server did not run the request.

    Attributes:
        reason: Why it did not run, for the log.
        sent: Whether the server received it.
    """

    reason: str
    sent: bool


@dataclasses.dataclass(frozen=True)
class Lost:
    """The server may have run the request; there is no usable response."""

    reason: str


@dataclasses.dataclass(frozen=True)
class TimedOut:
    """The time limit passed without a response.

    Attributes:
        sent: Whether the server may have received and run the request.
    """

    sent: bool


@dataclasses.dataclass(frozen=True)
class Discarded:
    """The response does not fit into the memory for the data of callers."""


Outcome = Responded | Refused | Lost | TimedOut | Discarded


class NoMemoryError(upstreams.LostError):
    """The entry must not keep the response of a server."""


# Outcome before the first attempt.
NO_SERVER = Refused("no server is known", sent=False)


async def receive_head(
    connection: upstreams.Connection,
    codec: exchanges.Codec,
    request_id: str,
) -> exchanges.ResponseHead:
    """Returns the head of the response to a request.

    Discards responses that name another request: a server may send a late one
    ahead of the awaited response. Without a name, a response on a reused
    connection may be one to an earlier request.

    If it is cancelled, a later call goes on.

    Raises:
        LostError: There is no such response.
    """
    while True:
        if connection.is_skipping:
            await connection.skip_response(RESPONSE_LIMIT_BYTES)
        event = await connection.receive()
        if not isinstance(event, h11.Response):
            raise upstreams.LostError("bytes ahead of the response's head")
        head = codec.decode_response(
            event.status_code, tuple(event.headers.raw_items())
        )
        if head.request_id == request_id:
            return head
        if not head.request_id:
            if connection.is_reused:
                raise upstreams.LostError(
                    f"status {head.status} without request id"
                )
            return head
        _log.warning(
            "response to another request discarded",
            request=request_id,
            answer=head.request_id,
            address=connection.address,
        )
        connection.is_skipping = True


async def read_body(
    connection: upstreams.Connection,
    hold: collections.abc.Callable[[int], bool] = lambda _: True,
) -> bytes:
    """Returns the body of a response.

    Args:
        connection: The connection, after the head of the response.
        hold: Returns whether the entry may keep a number of further bytes.

    Raises:
        LostError: It ended early or is longer than `RESPONSE_LIMIT_BYTES`.
        NoMemoryError: The entry must not keep it.
    """
    body = bytearray()
    while not isinstance(event := await connection.receive(), h11.EndOfMessage):
        body += event.data
        if len(body) > RESPONSE_LIMIT_BYTES:
            raise upstreams.LostError("response body is too long")
        if not hold(len(event.data)):
            raise NoMemoryError("no memory for the response")
    return bytes(body)


class Forwarder:
    """Forwards requests of plain services, owned by the process."""

    def __init__(self, context: contexts.Context):
        self._context = context

    async def handle(
        self, request: contexts.Request, responder: callers.Responder
    ) -> None:
        """Sends a request to servers in turn, and the outcome to its caller."""
        tried: set[str] = set()
        possible_runs = 0
        sends = 0
        last: Outcome = NO_SERVER
        while sends < SEND_LIMIT and request.get_remaining_s() > 0:
            server = await self.reserve_server(request, tried)
            if server is None:
                break
            if sends:
                responder.check_connected()
                if self._context.is_quarantined(request):
                    break
                if not self._context.spend_retry(request):
                    break
            may_repeat = sends + 1 < SEND_LIMIT and self._may_retry(
                request, TimedOut(sent=True), possible_runs + 1
            )
            last = await self._attempt(request, server, tried, may_repeat)
            tried.add(server.instance)
            if not isinstance(last, Refused) or last.sent:
                sends += 1
            if _may_have_run(last):
                possible_runs += 1
            if not self._may_retry(request, last, possible_runs):
                break
        await self._respond(request, responder, last, possible_runs)

    async def reserve_server(
        self, request: contexts.Request, tried: collections.abc.Set[str]
    ) -> fleet.Server | None:
        """Returns a server that accepts the request within its limit.

        Args:
            request: The request.
            tried: Instances that are not used.
        """
        service = request.service.name
        return await self._context.reserve(
            request,
            lambda denied: self._choose_server(service, tried | denied),
            lambda: self._choose_server(
                service, tried, self._context.reservations.get_wait_s
            ),
            lambda server: server,
        )

    def _choose_server(
        self,
        service: str,
        tried: collections.abc.Set[str],
        compute_cost: (
            collections.abc.Callable[[fleet.Server], float] | None
        ) = None,
    ) -> fleet.Server | None:
        """Returns the server with the lowest cost, None if there is none.

        Args:
            service: Name of the service.
            tried: Instances that are not used.
            compute_cost: Cost of a server; `View.estimate_cost` by default.
        """
        compute_cost = compute_cost or self._context.view.estimate_cost
        candidates = self.list_candidates(service)
        untried = [s for s in candidates if s.instance not in tried]
        random = self._context.random
        return min(
            untried,
            key=lambda s: (compute_cost(s), random.random()),
            default=None,
        )

    def list_candidates(self, service: str) -> list[fleet.Server]:
        """Returns the servers of a service that may get a request."""
        view = self._context.view
        return view.list_usable(service) or [
            # A suspicion may be wrong. If all servers are suspected, an
            # attempt is cheaper for the caller than a refusal.
            server
            for server in view.servers.values()
            if server.service == service
            and server.ready
            and not view.get_stated_wait_s(server)
        ]

    def _may_retry(
        self, request: contexts.Request, outcome: Outcome, possible_runs: int
    ) -> bool:
        match outcome:
            case Refused():
                return True
            case Responded(head=head):
                if head.status < 500:
                    return False
            case Discarded():
                # Another response would not fit either.
                return False
            case Lost() | TimedOut():
                pass
        idempotent = request.route.retry_policy.is_idempotent
        return idempotent and possible_runs < request.route.max_attempts

    async def _attempt(
        self,
        request: contexts.Request,
        server: fleet.Server,
        tried: set[str],
        may_repeat: bool,
    ) -> Outcome:
        """Sends a request to a server and records the outcome.

        Args:
            request: The request.
            server: The server.
            tried: Instances that have been tried before.
            may_repeat: Whether another server may be tried after a time-out.
        """
        context = self._context
        limit_s = request.deadline - trio.current_time()
        alternative = self._choose_server(
            request.service.name, tried | {server.instance}
        )
        if (
            alternative
            and may_repeat
            and context.has_retry(request)
            and context.can_answer_in_time(
                request, ATTEMPT_TIME_FRACTION * limit_s
            )
        ):
            limit_s *= ATTEMPT_TIME_FRACTION
        health = context.view.get_health(server)
        health.in_flight += 1
        successions = context.parts.get_successions(request.shared_parts)
        known_limit_per_s = context.statements.find_limit(server)
        started = trio.current_time()
        try:
            outcome = await self._exchange(request, server, limit_s)
        except trio.Cancelled:
            duration_s = trio.current_time() - started
            context.view.record_cancelled(server, duration_s)
            request.log(
                _log,
                "attempt cancelled",
                instance=server.instance,
                ms=round(1000 * duration_s),
            )
            raise
        finally:
            health.in_flight -= 1
        duration_s = trio.current_time() - started
        self._update_health(server, outcome, duration_s)
        if isinstance(outcome, Lost) and await context.check_ended(server):
            progress = crashes.Progress.NOT_ANSWERED
            context.record_loss(request, [server], progress, successions)
        if isinstance(outcome, Responded):
            context.parts.record_answer(request.shared_parts)
        request.log(
            _log,
            "server responded"
            if isinstance(outcome, Responded)
            else "attempt failed",
            instance=server.instance,
            outcome=_describe(outcome),
            ms=round(1000 * duration_s),
            attempt=len(tried) + 1,
            limit_per_s=known_limit_per_s,
            stated_limit_per_s=_get_stated_limit(outcome),
            routing=request.version,
            fleet_age_ms=context.get_fleet_age_ms(),
        )
        return outcome

    def _update_health(
        self, server, outcome: Outcome, duration_s: float
    ) -> None:
        view = self._context.view
        match outcome:
            case Responded(head=head):
                success = head.status < 500
                view.record_outcome(server, success, duration_s)
            case Refused(sent=False, reason=reason):
                view.suspect(server, reason)
            case Refused():
                view.record_outcome(server, False, None)
            case Lost() | TimedOut():
                view.record_outcome(server, False, duration_s)

    async def _exchange(
        self, request: contexts.Request, server: fleet.Server, limit_s: float
    ) -> Outcome:
        context = self._context
        sent_at: float | None = None
        connection = None
        outcome: Outcome = TimedOut(sent=False)
        with request.answer_limit.move_on_at(trio.current_time() + limit_s):
            try:
                connection = await context.pool.acquire(server.address)
                dispatch = request.make_dispatch(server, ())
                headers = context.codec.encode_request(request.head, dispatch)
                sent_at = trio.current_time()
                await connection.send(
                    request.head.method,
                    request.head.target,
                    headers,
                    request.body,
                )
                head = await receive_head(
                    connection, context.codec, request.head.request_id
                )
                context.statements.record(server, head, sent_at)
                body = await read_body(connection, request.hold)
                outcome = _classify_response(
                    head, body, request.head.request_id
                )
            except upstreams.UnsentError as error:
                outcome = Refused(str(error), sent=False)
            except NoMemoryError:
                outcome = Discarded()
            except upstreams.LostError as error:
                outcome = Lost(str(error))
            finally:
                if connection is not None:
                    if isinstance(outcome, (Responded, Refused)):
                        context.pool.release(connection)
                    else:
                        connection.abort()
        if isinstance(outcome, TimedOut):
            return TimedOut(sent=sent_at is not None)
        return outcome

    async def _respond(
        self,
        request: contexts.Request,
        responder: callers.Responder,
        outcome: Outcome,
        possible_runs: int,
    ) -> None:
        match outcome:
            case Responded(head=head, body=body):
                await self._context.send_response(
                    request, responder, head, body
                )
                return
        failure = self.make_failure(request, outcome, possible_runs)
        await self._context.fail(request, responder, failure)

    def make_failure(
        self,
        request: contexts.Request,
        outcome: Outcome,
        possible_runs: int,
    ) -> verdicts.Failure:
        """Returns the failure of a request without a response.

        Args:
            request: The request.
            outcome: Outcome of its last attempt, `NO_SERVER` without one.
            possible_runs: Number of servers that may have run it.
        """
        match outcome:
            case Refused(reason=reason) if not possible_runs:
                return self._context.refuse_unavailable(request, reason)
            case TimedOut(sent=False) if not possible_runs:
                return self._context.refuse_unsent(request)
            case Discarded():
                return verdicts.make_may_have_run_failure(
                    "backend-lost", "The response does not fit into memory."
                )
            case TimedOut():
                return verdicts.make_may_have_run_failure(
                    "backend-timeout", "The server did not respond in time."
                )
        return verdicts.make_may_have_run_failure(
            "backend-lost", "The server's response was lost."
        )


def _classify_response(
    head: exchanges.ResponseHead, body: bytes, request_id: str
) -> Outcome:
    if head.not_run:
        return Refused(f"status {head.status}", sent=True)
    if not head.signed:
        return Lost(f"status {head.status} without signature")
    if 200 <= head.status < 300 and head.request_id != request_id:
        return Lost(f"status {head.status} without request id")
    return Responded(head, body)


def _may_have_run(outcome: Outcome) -> bool:
    match outcome:
        case Refused():
            return False
        case TimedOut(sent=sent):
            return sent
    return True


def _get_stated_limit(outcome: Outcome) -> float | None:
    match outcome:
        case Responded(head=head):
            return head.statement.limit_per_s
    return None


def _describe(outcome: Outcome) -> str:
    match outcome:
        case Responded(head=head):
            return f"status {head.status}"
        case Refused(reason=reason, sent=sent):
            return f"not run ({'sent' if sent else 'not sent'}): {reason}"
        case Lost(reason=reason):
            return f"lost: {reason}"
        case Discarded():
            return "discarded: no memory for the response"
        case TimedOut(sent=sent):
            return f"timed out ({'sent' if sent else 'not sent'})"
