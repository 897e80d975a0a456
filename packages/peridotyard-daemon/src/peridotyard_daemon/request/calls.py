"""Forwards calls of plain services from the entry to sidecars."""

import collections
import collections.abc
import copy
import dataclasses
import itertools
import typing
import urllib.parse

from peridotyard_core import claims
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import backends
from peridotyard_daemon.connection import http
from peridotyard_daemon.wire.generated import ttypes

PREFIX = "/v1/services/"
KEY_HEADER = "idempotency-key"
KEY_LIMIT = 255
# The sidecar's time limit is shorter than the entry's by this, so that its
# verdict, which is more precise, arrives in time.
REPLY_MARGIN_S = 0.1
# A request whose outcome was lost at two servers may have crashed both, so it
# is not sent to a third one.
LOST_LIMIT = 2
# Failure codes after which another sidecar may succeed.
RETRIED_CODES = frozenset(("overloaded", "draining", "backend-unavailable"))
# The caller's API key and idempotency key are not for the service. The header
# Expect is for the entry, which has already let a caller that waits for "100
# Continue" send its body.
DROPPED_HEADERS = frozenset(("authorization", "expect", KEY_HEADER))


class Budget(typing.Protocol):
    """Limits retries to a fraction of successes."""

    def record_success(self) -> None:
        """Counts a request that succeeded."""

    def try_spend(self) -> bool:
        """Returns whether another retry is allowed, and counts it."""


@dataclasses.dataclass
class _Attempt:
    """A call sent to one sidecar; `reply` is None if it was lost."""

    done: trio.Event = dataclasses.field(default_factory=trio.Event)
    reply: ttypes.CallReply | None = None

    def finish(self, reply: ttypes.CallReply | None) -> None:
        self.reply = reply
        self.done.set()


class Calls:
    """The calls of plain services of one entry, owned by its process."""

    def __init__(
        self,
        list_servers: collections.abc.Callable,
        find_service: collections.abc.Callable,
        budget: Budget,
        *,
        timeout_s: float,
        body_limit_bytes: int,
        body_timeout_s: float,
    ):
        """Creates the object without calls.

        Args:
            list_servers: Returns, for a service name, pairs of a connection to
                a usable sidecar and the load that it reported.
            find_service: Returns, for a service name, the
                `configuration.Service` or None.
            budget: Retry budget of the entry.
            timeout_s: Time limit of a request.
            body_limit_bytes: Size limit of a request body.
            body_timeout_s: Time limit for a caller to send its body.
        """
        self._list_servers = list_servers
        self._find_service = find_service
        self._budget = budget
        self._timeout_s = timeout_s
        self._body_limit_bytes = body_limit_bytes
        self._body_timeout_s = body_timeout_s
        self._call_ids = itertools.count(1)
        self._attempts: dict[tuple[typing.Any, int], _Attempt] = {}
        # Calls in flight by connection. They are counted here, since the loads
        # that sidecars report are delayed.
        self._in_flight = collections.Counter()

    @property
    def in_flight(self) -> int:
        """Number of calls that wait for a reply of a sidecar."""
        return len(self._attempts)

    def handle_frame(self, connection, frame: ttypes.Frame) -> bool:
        """Handles a `CallReply`; returns False for other frames."""
        if frame.call_reply is None:
            return False
        attempt = self._attempts.get((connection, frame.call_reply.call))
        if attempt is not None:
            attempt.finish(frame.call_reply)
        return True

    def handle_closed(self, connection) -> None:
        """Ends the attempts on a closed connection."""
        for (owner, _), attempt in self._attempts.items():
            if owner is connection and not attempt.done.is_set():
                attempt.finish(None)

    async def handle(
        self, request: http.Request, workspace, request_id, receive, send
    ) -> None:
        """Serves `/v1/services/<service>/<path>`.

        Args:
            request: The request of the caller.
            workspace: The authenticated `configuration.Workspace`.
            request_id: Id for logs and responses.
            receive: ASGI function.
            send: ASGI function.
        """
        deadline = trio.current_time() + self._timeout_s
        try:
            call = self._make_call(request, workspace, request_id)
            call.body = await http.read_body(
                receive, self._body_limit_bytes, self._body_timeout_s
            )
        except http.RequestError as error:
            await http.send_failure(send, error.failure, request_id)
            return
        except http.CallerGoneError:
            return
        digest = claims.hash_call(call.method, call.path, call.body)
        call.fingerprint = int.from_bytes(
            bytes.fromhex(digest[:16]), "big", signed=True
        )
        async with trio.open_nursery() as nursery:
            if call.idempotent:
                # A non-idempotent call is not cancelled, so that a retry of the
                # caller finds its outcome.
                nursery.start_soon(
                    _cancel_on_disconnect, receive, nursery.cancel_scope
                )
            response = await self._run(call, deadline)
            await _send(send, response, request_id)
            nursery.cancel_scope.cancel()

    def _make_call(self, request, workspace, request_id) -> ttypes.Call:
        quoted, separator, rest = request.raw_path.removeprefix(
            PREFIX
        ).partition("/")
        if not separator:
            quoted, mark, query = quoted.partition("?")
            rest = mark + query
        name = urllib.parse.unquote(quoted)
        service = self._find_service(name)
        if service is None or name not in workspace.services:
            raise http.RequestError(
                verdicts.make_not_run_failure(
                    "forbidden", f"The workspace has no service {name!r}."
                )
            )
        idempotent = request.method in service.idempotent_methods
        key = request.headers.get(KEY_HEADER, "")
        if not idempotent:
            _check_key(key)
        end_to_end = backends.remove_connection_headers(request.headers.items())
        headers = [
            ttypes.Header(name, value)
            for name, value in end_to_end
            if name not in DROPPED_HEADERS and name != "x-request-id"
        ]
        headers.append(ttypes.Header("x-request-id", request_id))
        return ttypes.Call(
            workspace=workspace.name,
            service_name=name,
            method=request.method,
            path="/" + rest,
            headers=headers,
            idempotent=idempotent,
            idempotency_key="" if idempotent else key,
            request=request_id,
        )

    async def _run(self, call, deadline):
        """Returns the `CallReply` of the service or a `verdicts.Failure`."""
        tried = set()
        lost = 0
        failure = verdicts.make_not_run_failure(
            "no-capacity", f"No server offers {call.service_name!r} now.", 1.0
        )
        while True:
            connection = self._choose_server(call.service_name, tried)
            if connection is None:
                break
            if tried and not self._budget.try_spend():
                break
            tried.add(connection)
            sent, reply = await self._send_call(connection, call, deadline)
            if not sent:
                continue
            if reply is not None and reply.status:
                self._budget.record_success()
                return reply
            failure = _read_failure(reply, trio.current_time() >= deadline)
            may_have_run = failure.verdict is verdicts.Verdict.MAY_HAVE_RUN
            lost += may_have_run
            if trio.current_time() >= deadline or lost >= LOST_LIMIT:
                break
            # If there is no reply, another sidecar can find by the same key
            # whether the call ran. A may-have-run reply means that its sidecar
            # has already tried that.
            retryable = reply is None or call.idempotent
            if not (
                failure.code in RETRIED_CODES or (may_have_run and retryable)
            ):
                break
        if lost and failure.verdict is verdicts.Verdict.NOT_RUN:
            # The last attempt did not run, but an earlier one may have.
            return verdicts.make_may_have_run_failure(
                "outcome-unknown",
                f"An earlier attempt may have run. {failure.message}",
            )
        return failure

    def _choose_server(self, service: str, tried):
        choices = [
            (self._in_flight[connection], load, number, connection)
            for number, (connection, load) in enumerate(
                self._list_servers(service)
            )
            if connection not in tried and connection.is_open
        ]
        return (
            min(choices, key=lambda choice: choice[:3])[3] if choices else None
        )

    async def _send_call(self, connection, call, deadline):
        """Returns whether the call was sent, and its reply or None."""
        call_id = next(self._call_ids)
        remaining_s = max(0.0, deadline - trio.current_time())
        margin_s = min(REPLY_MARGIN_S, remaining_s / 10)
        numbered = copy.copy(call)
        numbered.call = call_id
        numbered.deadline_ms = int(1000 * (remaining_s - margin_s))
        frame = ttypes.Frame(call=numbered)
        attempt = _Attempt()
        self._attempts[connection, call_id] = attempt
        self._in_flight[connection] += 1
        try:
            if not connection.post(frame):
                return False, None
            with trio.move_on_at(deadline):
                await attempt.done.wait()
            return True, attempt.reply
        finally:
            del self._attempts[connection, call_id]
            self._in_flight[connection] -= 1
            if not self._in_flight[connection]:
                del self._in_flight[connection]
            if call.idempotent and not attempt.done.is_set():
                connection.post(
                    ttypes.Frame(call_cancel=ttypes.CallCancel(call=call_id))
                )


def _check_key(key: str) -> None:
    if not key:
        raise http.RequestError(
            verdicts.make_not_run_failure(
                "idempotency-key-required",
                "A non-idempotent call requires the header Idempotency-Key.",
            )
        )
    if len(key) > KEY_LIMIT:
        raise http.RequestError(
            verdicts.make_not_run_failure(
                "bad-request",
                f"The header Idempotency-Key has {len(key)} characters;"
                f" allowed: 1 to {KEY_LIMIT}.",
            )
        )


def _read_failure(reply, deadline_passed: bool) -> verdicts.Failure:
    if reply is not None:
        known = [
            item for item in verdicts.Verdict if item.value == reply.verdict
        ]
        return verdicts.Failure(
            reply.code,
            # A peer of a later release may send a verdict that is unknown here.
            known[0] if known else verdicts.Verdict.MAY_HAVE_RUN,
            reply.message,
            reply.retry_after_ms / 1000 or None,
        )
    if deadline_passed:
        return verdicts.make_may_have_run_failure(
            "deadline-exceeded", "The server did not respond in time."
        )
    return verdicts.make_may_have_run_failure(
        "backend-lost", "The connection to the server ended."
    )


async def _cancel_on_disconnect(receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _send(send, response, request_id: str) -> None:
    if isinstance(response, verdicts.Failure):
        await http.send_failure(send, response, request_id)
        return
    headers = [
        (header.name.lower().encode("latin-1"), header.value.encode("latin-1"))
        for header in response.headers or ()
        if header.name.lower() != "x-request-id"
    ]
    headers.append((b"content-length", str(len(response.body or b"")).encode()))
    headers.append((b"x-request-id", request_id.encode("latin-1")))
    if response.replayed:
        headers.append((b"idempotent-replayed", b"true"))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body or b""})
