"""Runs calls of a sidecar's plain service, non-idempotent ones at most once."""

import math
import secrets
import time
import typing

from peridotyard_core import claims
from peridotyard_core import verdicts
from returns import result
import trio

from peridotyard_daemon.connection import backends
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import tables
from peridotyard_daemon.wire.generated import ttypes

# First and longest pause between reads of a claim that another attempt holds.
# Most calls end within a few polls at the first pause; the longest one keeps
# many waiting duplicates below the table's limit of reads.
POLL_FIRST_S = 0.02
POLL_MAX_S = 0.5
# Interval of the probes of the service. A service that stops accepting
# connections gets no new calls after it.
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 1.0
# First and longest pause between attempts to write an outcome or a release
# during an outage of the table.
WRITE_RETRY_FIRST_S = 0.1
WRITE_RETRY_MAX_S = 5.0
OVERLOAD_RETRY_S = 1.0

_log = logs.Logger("claims")


class Claims:
    """The calls of one sidecar, owned by its process.

    Idempotent calls are forwarded to the service directly. Any other call
    claims its idempotency key in the table first, so that it runs at most once
    in the fleet.

    Attributes:
        is_ready: Whether the service accepted connections when last probed.
    """

    def __init__(
        self,
        backend: backends.Backend,
        table: tables.Table | None,
        find_retention: typing.Callable[[str], float],
        *,
        concurrency: int,
        notify_changed: typing.Callable[[], None] = lambda: None,
        make_nonce: typing.Callable[[], str] = lambda: secrets.token_hex(16),
        read_time: typing.Callable[[], float] = time.time,
    ):
        """Creates the object; `run` must be running before the first frame.

        Args:
            backend: Client of the service.
            table: Table of the claims; None rejects non-idempotent calls.
            find_retention: Returns the seconds for which the outcomes of
                calls of a service, given by name, are retained.
            concurrency: Maximum number of calls in progress.
            notify_changed: Called when `is_ready` or `in_flight` changes.
            make_nonce: Returns a string that is unique to each attempt.
            read_time: Returns the Unix time. Only the retention compares it
                with the time of other instances.
        """
        self._backend = backend
        self._table = table
        self._find_retention = find_retention
        self._concurrency = concurrency
        self._notify_changed = notify_changed
        self.is_ready = False
        self._make_nonce = make_nonce
        self._read_time = read_time
        self._nursery: trio.Nursery | None = None
        self._draining = False
        self._running = 0
        self._pending_writes = 0
        self._idempotent_scopes: dict[
            tuple[typing.Any, int], trio.CancelScope
        ] = {}

    @property
    def in_flight(self) -> int:
        """Number of calls in progress and of rows still to be written."""
        return self._running + self._pending_writes

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Runs calls and probes the service until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            while True:
                self._set_ready(await self._backend.probe(PROBE_TIMEOUT_S))
                await trio.sleep(PROBE_INTERVAL_S)

    def _set_ready(self, is_ready: bool) -> None:
        if is_ready != self.is_ready:
            self.is_ready = is_ready
            self._notify_changed()

    def start_drain(self) -> None:
        """Rejects new calls from now on."""
        self._draining = True

    def handle_frame(self, connection, frame: ttypes.Frame) -> bool:
        """Handles a `Call` or `CallCancel`; returns False for other frames."""
        if frame.call is not None:
            self._accept(connection, frame.call)
            return True
        if frame.call_cancel is not None:
            # A non-idempotent call continues: its outcome is stored for a
            # retry.
            scope = self._idempotent_scopes.get(
                (connection, frame.call_cancel.call)
            )
            if scope is not None:
                scope.cancel()
            return True
        return False

    def handle_closed(self, connection) -> None:
        """Cancels the idempotent calls of a closed connection."""
        for (owner, _), scope in self._idempotent_scopes.items():
            if owner is connection:
                scope.cancel()

    def _accept(self, connection, call: ttypes.Call) -> None:
        failure = self._check(call)
        if failure is not None:
            _post(connection, _make_failure(call, failure))
            return
        self._running += 1
        deadline = trio.current_time() + max(0, call.deadline_ms) / 1000
        self._nursery.start_soon(self._serve, connection, call, deadline)

    def _check(self, call: ttypes.Call) -> verdicts.Failure | None:
        if self._draining:
            return verdicts.make_not_run_failure(
                "draining", "The server is draining."
            )
        if self._running >= self._concurrency:
            return verdicts.make_not_run_failure(
                "overloaded",
                f"The server has {self._concurrency} calls in progress.",
                OVERLOAD_RETRY_S,
            )
        if call.idempotent:
            return None
        if not call.idempotency_key:
            return verdicts.make_not_run_failure(
                "idempotency-key-required",
                "A non-idempotent call requires the header Idempotency-Key.",
            )
        if self._table is None:
            return verdicts.make_not_run_failure(
                "store-unavailable", "No table service is configured."
            )
        return None

    async def _serve(self, connection, call, deadline) -> None:
        try:
            if call.idempotent:
                reply = await self._run_idempotent(connection, call, deadline)
            else:
                reply = await self._run_once(call, deadline)
        finally:
            self._running -= 1
            self._notify_changed()
        if reply is not None:
            _post(connection, reply)

    async def _run_idempotent(self, connection, call, deadline):
        """Returns the CallReply, or None if the call was cancelled."""
        key = (connection, call.call)
        with trio.CancelScope() as self._idempotent_scopes[key]:
            try:
                event = await self._call_backend(call, deadline)
            finally:
                del self._idempotent_scopes[key]
            match event:
                case claims.CallCompleted(outcome):
                    return _make_reply(call, outcome, replayed=False)
                case claims.CallLost():
                    failure = verdicts.make_may_have_run_failure(
                        "backend-lost", "The service sent no complete response."
                    )
                case _:
                    failure = verdicts.make_not_run_failure(
                        "backend-unavailable", "The service cannot be reached."
                    )
            return _make_failure(call, failure)
        return None

    async def _run_once(self, call, deadline) -> ttypes.CallReply:
        key = claims.make_key(
            call.workspace, call.service_name, call.idempotency_key
        )
        body_hash = claims.hash_call(call.method, call.path, call.body or b"")
        attempt = claims.Claim(self._make_nonce(), body_hash)
        action = attempt.start()
        pause_s = POLL_FIRST_S
        while True:
            # The deadline is also checked before the call runs. After a pause
            # of this process, the caller may already have received a not-run
            # failure.
            if (
                not isinstance(action, claims.Respond | claims.Reject)
                and trio.current_time() >= deadline
            ):
                action = attempt.handle_event(claims.DeadlineReached())
            match action:
                case claims.Insert():
                    event = claims.ResponseLost()
                    with trio.move_on_at(deadline):
                        event = await self._write(key, action)
                case claims.Read(is_poll):
                    event = claims.DeadlineReached()
                    with trio.move_on_at(deadline):
                        if is_poll:
                            await trio.sleep(pause_s)
                            pause_s = min(2 * pause_s, POLL_MAX_S)
                        event = await self._read(key)
                case claims.Run():
                    event = await self._call_backend(call, deadline)
                case claims.Respond(outcome, replayed):
                    if not replayed:
                        self._store_outcome(key, attempt, call, outcome)
                    return _make_reply(call, outcome, replayed)
                case claims.Reject(failure, release):
                    if release:
                        self._start_write(
                            key,
                            lambda row: claims.decide_release(
                                row, attempt.nonce, body_hash
                            ),
                        )
                    return _make_failure(call, failure)
            action = attempt.handle_event(event)

    async def _call_backend(self, call, deadline) -> claims.Event:
        call_result = await self._backend.call(
            call.method,
            call.path,
            [(header.name, header.value) for header in call.headers or ()],
            call.body or b"",
            deadline - trio.current_time(),
        )
        match call_result:
            case result.Success(response):
                return claims.CallCompleted(
                    claims.Outcome(
                        response.status, response.headers, response.body
                    )
                )
            case result.Failure(backends.TooLarge(status, limit_bytes)):
                return claims.CallCompleted(
                    claims.Outcome(
                        0,
                        message=f"The service responded with status {status}"
                        f" and more than {limit_bytes} bytes.",
                    )
                )
            case result.Failure(backends.Unsent()):
                return claims.CallUnsent()
            case _:
                return claims.CallLost()

    async def _write(self, key: str, insert: claims.Insert) -> claims.Event:
        reply = await self._table.transact(
            {key: insert.expected}, {key: insert.row.to_value()}
        )
        match reply:
            case result.Success(versions):
                return claims.Written(versions[key])
            case result.Failure(tables.Conflict(rows)):
                return claims.Found(self._parse(rows.get(key)))
            case result.Failure(failure):
                return _classify(failure)

    async def _read(self, key: str) -> claims.Event:
        match await self._table.read(key):
            case result.Success(row):
                return claims.Found(self._parse(row))
            case result.Failure(failure):
                return _classify(failure)

    def _parse(self, row: tables.Row | None) -> claims.Row | None:
        if row is None:
            return None
        return claims.Row.from_value(row.version, row.value, self._read_time())

    def _store_outcome(self, key, attempt, call, outcome) -> None:
        retention_s = self._find_retention(call.service_name)
        expires_at_s = self._read_time() + retention_s
        started = claims.Row(
            attempt.version, claims.STARTED, attempt.nonce, attempt.body_hash
        )

        def decide(row):
            return claims.decide_outcome(
                row, attempt.nonce, attempt.body_hash, outcome, expires_at_s
            )

        self._start_write(key, decide, decide(started))

    def _start_write(self, key, decide, first=None) -> None:
        self._pending_writes += 1
        self._nursery.start_soon(self._write_until_done, key, decide, first)

    async def _write_until_done(self, key, decide, write) -> None:
        """Writes what `decide` returns for the current row, with retries.

        Args:
            key: Key of the row.
            decide: Returns the insert for a row, None if none is needed.
            write: Insert to try first without a read, or None.
        """
        pause_s = WRITE_RETRY_FIRST_S
        try:
            while True:
                if write is None:
                    event = await self._read(key)
                else:
                    event = await self._write(key, write)
                match event:
                    case claims.Written():
                        return
                    case claims.Found(row):
                        write = decide(row)
                        if write is None:
                            return
                    case _:
                        # The write may have taken effect, so the row is read
                        # before a retry.
                        write = None
                        _log.warning("claim not written", key=key)
                        await trio.sleep(pause_s)
                        pause_s = min(2 * pause_s, WRITE_RETRY_MAX_S)
        finally:
            self._pending_writes -= 1


def _classify(failure) -> claims.Event:
    match failure:
        case tables.platform.Lost():
            return claims.ResponseLost()
        case _:
            return claims.Refused()


def _post(connection, reply: ttypes.CallReply) -> None:
    connection.post(ttypes.Frame(call_reply=reply))


def _make_reply(call, outcome: claims.Outcome, replayed) -> ttypes.CallReply:
    if not outcome.status:
        failure = verdicts.Failure(
            "backend-lost", verdicts.Verdict.RAN, outcome.message
        )
        return _make_failure(call, failure, replayed)
    return ttypes.CallReply(
        call=call.call,
        status=outcome.status,
        headers=[ttypes.Header(*pair) for pair in outcome.headers],
        body=outcome.body,
        replayed=replayed,
    )


def _make_failure(
    call, failure: verdicts.Failure, replayed=False
) -> ttypes.CallReply:
    return ttypes.CallReply(
        call=call.call,
        headers=[],
        body=b"",
        code=failure.code,
        verdict=failure.verdict.value,
        message=failure.message,
        retry_after_ms=math.ceil(1000 * (failure.retry_after_s or 0)),
        replayed=replayed,
    )
