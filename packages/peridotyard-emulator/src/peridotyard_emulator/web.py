"""HTTP server of the emulated services."""

import collections.abc
import dataclasses
import json
import os
import signal
import typing
import urllib.parse

from peridotyard_core import addresses
from peridotyard_core import errors
from peridotyard_core import options
from peridotyard_core import settings
from peridotyard_daemon.connection import http
import trio

from peridotyard_emulator import faults

BODY_LIMIT_BYTES = 64 << 20
BODY_TIMEOUT_S = 60.0
# Exit status of a server that a request with the mark "crash" ends.
CRASH_STATUS = 70


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings(settings.ProcessSettings):
    """Options that all emulated services share."""

    address: addresses.Address = options.declare(
        "listen", "address", "address", options.REQUIRED, "HTTP address"
    )
    faults: tuple[str, ...] = options.declare(
        "faults",
        "kinds",
        "names",
        (),
        "active faults, of: " + ", ".join(faults.KINDS),
    )
    fault_count: int = options.declare(
        "faults",
        "count",
        "int",
        0,
        "requests that each fault affects, 0 for no limit",
        minimum=0,
    )
    fault_delay_s: float = options.declare(
        "faults",
        "delay_s",
        "float",
        1.0,
        "delay of slow, late-effect and lag, seconds",
        minimum=0,
        maximum=3600,
    )


@dataclasses.dataclass(frozen=True)
class Call:
    """One request to the state of an emulated service."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> typing.Any:
        """The JSON value of the body.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True)
class Response:
    """Response of a service's state to one request.

    Attributes:
        status: HTTP status.
        value: JSON value; bytes are sent as they are.
        chunks: Body that is sent in parts instead of `value`.
        delay_s: Seconds by which the response is delayed.
        silent: No response is sent.
        crash: The server process exits without a response.
    """

    status: int = 200
    value: typing.Any = None
    chunks: collections.abc.AsyncIterator[bytes] | None = None
    delay_s: float = 0.0
    silent: bool = False
    crash: bool = False


NOT_FOUND = Response(404, {"error": "not found"})


class State(typing.Protocol):
    """The state of an emulated service, without any I/O."""

    def handle(self, call: Call) -> Response:
        """Processes one request without waiting.

        Raises:
            ValueError: The request is invalid; becomes status 400.
        """

    def describe(self) -> dict:
        """Returns the JSON object that `GET /control/state` shows."""


class Application:
    """ASGI application of one emulated service, owned by its process.

    Attributes:
        state: State that handles the requests.
        faults: Active faults.
        nursery: Runs requests that take effect late; set by the owner.
    """

    def __init__(self, state: State, active: faults.Faults, crash=None):
        self.state = state
        self.faults = active
        self._crash = crash or (lambda: os._exit(CRASH_STATUS))
        self.nursery: trio.Nursery | None = None

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        if scope["type"] == "lifespan":
            await http.run_lifespan(receive, send)
            return
        request = http.Request.from_scope(scope)
        try:
            body = await http.read_body(
                receive, BODY_LIMIT_BYTES, BODY_TIMEOUT_S
            )
        except http.CallerGoneError:
            return
        except http.RequestError as error:
            await http.send_failure(send, error.failure, "")
            return
        # The decoded path of the scope does not distinguish "/" from "%2F".
        path = request.raw_path.partition("?")[0]
        call = Call(request.method, path, request.query, request.headers, body)
        if path.startswith("/control/"):
            await _send(send, self._handle_control(call))
            return
        response = await self._handle(call)
        if response.delay_s:
            await trio.sleep(response.delay_s)
        if response.crash:
            self._crash()
        if response.silent or response.crash:
            while (await receive())["type"] != "http.disconnect":
                pass
            return
        await _send(send, response)

    async def _handle(self, call: Call) -> Response:
        fault = self.faults.consume_fault(call.path)
        match fault and fault.kind:
            case "outage":
                return Response(silent=True)
            case "refuse":
                return Response(503, {"error": "unavailable"})
            case "lost-reply":
                self._run_call(call)
                return Response(silent=True)
            case "late-effect":
                # The request takes effect even if the caller disconnects.
                self.nursery.start_soon(self._apply_late, call, fault.delay_s)
                return Response(silent=True)
            case "slow":
                await trio.sleep(fault.delay_s)
        return self._run_call(call)

    async def _apply_late(self, call: Call, delay_s: float) -> None:
        await trio.sleep(delay_s)
        self._run_call(call)

    def _run_call(self, call: Call) -> Response:
        try:
            return self.state.handle(call)
        except (ValueError, LookupError, TypeError) as error:
            return Response(400, {"error": f"bad request: {error!r}"})

    def _handle_control(self, call: Call) -> Response:
        match call.method, call.path:
            case "GET", "/control/state":
                value = self.state.describe()
                return Response(
                    value={**value, "faults": self.faults.describe()}
                )
            case "POST", "/control/faults":
                try:
                    self.faults.set_json(call.json)
                except ValueError as error:
                    return Response(400, {"error": str(error)})
                return Response(value={"faults": self.faults.describe()})
        return self._run_call(call)


async def _send(send, response: Response) -> None:
    if response.chunks is None:
        is_bytes = isinstance(response.value, bytes)
        await http.send_bytes(
            send,
            response.status,
            response.value if is_bytes else json.dumps(response.value).encode(),
            b"application/octet-stream" if is_bytes else http.JSON_TYPE,
        )
        return
    start = {
        "type": "http.response.start",
        "status": response.status,
        "headers": [(b"content-type", b"application/octet-stream")],
    }
    await send(start)
    async for chunk in response.chunks:
        await send(
            {"type": "http.response.body", "body": chunk, "more_body": True}
        )
    await send({"type": "http.response.body", "body": b""})


def run(values: Settings, make_state) -> int:
    """Serves a state until SIGTERM or SIGINT and returns the exit status.

    Args:
        values: Settings of the service.
        make_state: Returns the state for the active faults; it is called within
            the event loop, so that it can read its clock.
    """
    active = faults.Faults.from_config(values)
    error = None
    try:
        trio.run(_run, values, active, make_state)
    except* OSError as group:
        # The nurseries wrap the error of a failed bind in exception groups.
        error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    if error is not None:
        raise errors.PeridotyardError(f"{values.address}: {error}")
    return 0


async def _run(values: Settings, active: faults.Faults, make_state) -> None:
    application = Application(make_state(active), active)
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        application.nursery = nursery
        nursery.start_soon(_watch_signals, stopped)
        await http.serve(application, values.address, stopped)
        nursery.cancel_scope.cancel()


async def _watch_signals(stopped: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopped.set()


class LocalClient(http.Client):
    """Calls an application in this process, in place of `http.Client`.

    Owned by a test. A request without a complete response counts as lost.

    Attributes:
        is_reachable: Whether a connection can be made.
    """

    # Does not call the base class, which opens a connection pool.
    def __init__(self, application: Application, timeout_s: float):
        self._application = application
        self._timeout_s = timeout_s
        self.is_reachable = True

    async def request(
        self, method, path, *, body=b"", headers=(), timeout_s=None
    ) -> http.Response:
        """Sends a request; see `http.Client.request`."""
        if not self.is_reachable:
            raise http.UnsentError(f"{method} {path}: no connection")
        raw_path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": urllib.parse.unquote(raw_path),
            "raw_path": raw_path.encode(),
            "query_string": query.encode(),
            "headers": http.encode_headers(dict(headers)),
        }
        messages = [{"type": "http.request", "body": body}]
        sent = []

        async def receive():
            if messages:
                return messages.pop()
            return await trio.sleep_forever()

        async def send(message):
            await trio.lowlevel.checkpoint()
            sent.append(message)

        limit_s = self._timeout_s if timeout_s is None else timeout_s
        with trio.move_on_after(max(0.0, limit_s)) as limit:
            await self._application(scope, receive, send)
        if limit.cancelled_caught or not sent:
            raise http.LostError(f"{method} {path}: no response")
        pairs = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in sent[0]["headers"]
        )
        data = b"".join(message["body"] for message in sent[1:])
        return http.Response(sent[0]["status"], pairs, data)

    async def close(self) -> None:
        """Does nothing."""
