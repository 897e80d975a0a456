"""HTTP server helpers (ASGI) and an HTTP client (httpcore), with limits."""

import collections.abc
import dataclasses
import json
import typing
import urllib.parse

from peridotyard_core import addresses
from peridotyard_core import errors
from peridotyard_core import verdicts
import trio

from peridotyard_daemon.connection import listeners

JSON_TYPE = b"application/json"
# Longest response of a platform service. The configuration of 2,800 workspaces
# and the list of 10,000 instances have about 2 MB each.
RESPONSE_LIMIT_BYTES = 32 << 20
# Parts of a body that are handled between two checkpoints. One read of 64 KiB
# has up to 10,000 chunks.
PARTS_PER_CHECKPOINT = 64


class CallerGoneError(errors.PeridotyardError):
    """The caller disconnected before its request was complete."""


class RequestError(errors.PeridotyardError):
    """The request cannot be served; `failure` is reported to the caller."""

    def __init__(self, failure: verdicts.Failure):
        self.failure = failure
        super().__init__(failure.message)


@dataclasses.dataclass(frozen=True)
class Request:
    """One HTTP request without its body.

    Attributes:
        method: Upper case.
        path: Percent-decoded, without the query.
        query: Query parameters; the last value of each name.
        headers: Values by lower-case name; repeated ones joined by ", ".
        raw_path: Path and query as the caller sent them, percent-encoded.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    raw_path: str

    @classmethod
    def from_scope(cls, scope) -> "Request":
        """Makes the request from an ASGI scope."""
        headers = {}
        for name, value in scope["headers"]:
            key = name.decode("latin-1").lower()
            text = value.decode("latin-1")
            headers[key] = f"{headers[key]}, {text}" if key in headers else text
        query = scope.get("query_string", b"").decode("latin-1")
        raw = scope.get("raw_path") or scope["path"].encode()
        raw_path = raw.decode("latin-1").split("?", 1)[0]
        return cls(
            scope["method"].upper(),
            scope["path"],
            dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
            headers,
            f"{raw_path}?{query}" if query else raw_path,
        )

    @property
    def token(self) -> str:
        """The bearer token, or an empty string."""
        scheme, _, token = self.headers.get("authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" else ""


async def read_body(receive, limit_bytes: int, timeout_s: float) -> bytes:
    """Reads a request body.

    Raises:
        RequestError: The body is too large or was not received in time.
        CallerGoneError: The caller disconnected.
    """
    body = bytearray()
    with trio.move_on_after(timeout_s) as scope:
        while True:
            try:
                message = await receive()
            except RequestError:
                # The traceback keeps this frame while the caller is informed.
                body.clear()
                raise
            if message["type"] == "http.disconnect":
                raise CallerGoneError("the caller disconnected")
            body += message.get("body", b"")
            if len(body) > limit_bytes:
                raise RequestError(
                    verdicts.make_not_run_failure(
                        "body-too-large",
                        f"The body exceeds {limit_bytes} bytes.",
                    )
                )
            if not message.get("more_body"):
                return bytes(body)
    assert scope.cancelled_caught
    raise RequestError(
        verdicts.make_not_run_failure(
            "request-timeout",
            f"The body was not received within {timeout_s:g} s.",
        )
    )


def parse_json(body: bytes) -> typing.Any:
    """Returns the value of a JSON body.

    Raises:
        RequestError: The body is not JSON; the message states the position.
    """
    try:
        return json.loads(body)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        text = f"The body is not JSON: {error.msg} at {place}."
    # Invalid UTF-8 and a number with too many digits raise a ValueError.
    except (ValueError, RecursionError) as error:
        text = f"The body is not JSON: {error}."
    raise RequestError(verdicts.make_not_run_failure("bad-request", text))


async def send_json(
    send, status: int, value: typing.Any, headers: dict[str, str] | None = None
) -> None:
    """Sends a complete JSON response."""
    await send_bytes(
        send, status, json.dumps(value).encode(), JSON_TYPE, headers
    )


async def send_bytes(
    send,
    status: int,
    body: bytes,
    content_type: bytes,
    headers: dict[str, str] | None = None,
) -> None:
    """Sends a complete response."""
    pairs = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode()),
    ]
    pairs += encode_headers(headers or {})
    await send(
        {"type": "http.response.start", "status": status, "headers": pairs}
    )
    await send({"type": "http.response.body", "body": body})


def encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Returns headers as pairs of bytes, as ASGI expects them."""
    return [
        (name.lower().encode("latin-1"), value.encode("latin-1"))
        for name, value in headers.items()
    ]


def render_failure(failure: verdicts.Failure, request_id: str) -> dict:
    """Returns the JSON value that reports a failure."""
    return {
        "error": {
            "message": failure.message,
            "type": "peridotyard_error",
            "code": failure.code,
            "verdict": failure.verdict.value,
            "request_id": request_id,
        }
    }


def encode_failure(
    failure: verdicts.Failure, request_id: str
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Returns status, headers and body of the response for a failure."""
    headers = [
        (b"content-type", JSON_TYPE),
        (b"x-request-id", request_id.encode("latin-1")),
    ]
    if failure.retry_after_s is not None:
        text = f"{failure.retry_after_s:g}"
        headers.append((b"retry-after", text.encode()))
    body = json.dumps(render_failure(failure, request_id)).encode()
    return errors.CODES.get(failure.code, 500), headers, body


async def send_failure(
    send, failure: verdicts.Failure, request_id: str
) -> None:
    """Sends the response for a failure, with the status of its code."""
    headers = {"x-request-id": request_id}
    if failure.retry_after_s is not None:
        # Most client libraries accept only whole seconds.
        headers["retry-after"] = str(max(1, round(failure.retry_after_s)))
    await send_json(
        send,
        errors.CODES.get(failure.code, 500),
        render_failure(failure, request_id),
        headers,
    )


async def run_lifespan(receive, send) -> None:
    """Acknowledges the start-up and shutdown messages of the ASGI server."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


async def serve(
    app,
    address: addresses.Address,
    stopped: trio.Event,
    *,
    grace_s: float = 1.0,
    limits: listeners.Limits = listeners.DEFAULT_LIMITS,
    count: collections.abc.Callable[[str], None] = lambda _: None,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an ASGI application until `stopped` is set.

    Args:
        app: The application; it gets no lifespan messages.
        address: Where to listen.
        stopped: Set to stop the server.
        grace_s: Seconds for requests in progress to end after `stopped`.
        limits: Limits of the connections.
        count: Increases the counter of the given name.
        task_status: Started once the server listens.
    """
    listener = listeners.Listener(app, limits, grace_s, count)
    await listener.run(address, stopped, task_status)


class UnsentError(errors.PeridotyardError):
    """The server cannot have received the request."""


class LostError(errors.PeridotyardError):
    """The request may have been received; there is no usable response."""


@dataclasses.dataclass(frozen=True)
class Response:
    """A complete HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def json(self) -> typing.Any:
        """The JSON value of the body.

        Raises:
            LostError: The body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise LostError("the response is not JSON") from error


async def read_parts(
    parts: collections.abc.AsyncIterable[bytes], limit_bytes: int
) -> bytes | None:
    """Returns the body of a response, None if it exceeds a limit.

    Args:
        parts: Parts of the body, of which many may arrive in one read.
        limit_bytes: Largest length of the body.
    """
    body = bytearray()
    count = 0
    async for part in parts:
        body += part
        if len(body) > limit_bytes:
            return None
        count += 1
        if count % PARTS_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()
    return bytes(body)


class Client:
    """HTTP client of one server, owned by the process.

    It distinguishes requests that the server cannot have received from those
    it may have received, since only the former are always safe to retry.
    """

    def __init__(self, address: addresses.Address, timeout_s: float):
        # Imported lazily: an entry without platform services configured needs
        # no HTTP client.
        import httpcore  # noqa: PLC0415

        self._httpcore = httpcore
        self._base = f"http://{address}"
        self._timeout_s = timeout_s
        # The server may close an idle connection at any time; httpcore then
        # opens a new one only if nothing was sent.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=256, keepalive_expiry=30
        )

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: collections.abc.Sequence[tuple[str, str]] = (),
        timeout_s: float | None = None,
    ) -> Response:
        """Sends a request and reads the complete response.

        Args:
            method: HTTP method.
            path: Path and query, percent-encoded.
            body: Request body.
            headers: Additional headers.
            timeout_s: Seconds until the response must be complete; None for
                the client's default.

        Raises:
            UnsentError: Nothing of the request was sent.
            LostError: The connection failed, the time limit passed, or the
                response exceeded `RESPONSE_LIMIT_BYTES`, after sending began.
        """
        sent = False

        async def trace(event, _info) -> None:
            nonlocal sent
            # Set before the first byte is written, so that a request that may
            # have arrived is never reported as unsent.
            if event == "http11.send_request_headers.started":
                sent = True

        limit_s = self._timeout_s if timeout_s is None else timeout_s
        try:
            with trio.fail_after(max(0.0, limit_s)):
                async with self._pool.stream(
                    method,
                    self._base + path,
                    headers=list(headers),
                    content=body,
                    extensions={"trace": trace},
                ) as response:
                    content = await read_parts(
                        response.aiter_stream(), RESPONSE_LIMIT_BYTES
                    )
        except (
            trio.TooSlowError,
            OSError,
            self._httpcore.NetworkError,
            self._httpcore.ProtocolError,
            self._httpcore.TimeoutException,
        ) as error:
            kind = LostError if sent else UnsentError
            name = type(error).__name__
            raise kind(f"{method} {self._base}{path}: {name}") from error
        if content is None:
            raise LostError(
                f"{method} {self._base}{path}: response exceeds"
                f" {RESPONSE_LIMIT_BYTES} bytes"
            )
        pairs = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        )
        return Response(response.status, pairs, content)

    async def request_json(
        self, method: str, path: str, value: typing.Any = None, **options
    ) -> Response:
        """Sends a JSON value; see `request`."""
        body = b"" if value is None else json.dumps(value).encode()
        headers = [("content-type", "application/json")] if body else []
        return await self.request(
            method, path, body=body, headers=headers, **options
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()
