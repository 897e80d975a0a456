"""HTTP client of an entry: streams, service calls and expected responses."""

import dataclasses
import json
import typing

import httpcore
from peridotyard_core import tokens
import trio

from peridotyard_emulator import layers

EVENT_PREFIX = b"data:"
END_MARKER = "[DONE]"


@dataclasses.dataclass(frozen=True)
class Response:
    """Response to one request, or the error in its place.

    Attributes:
        status: HTTP status, 0 if there was no response.
        body: Body, empty for a successful stream.
        text: Generated text so far, for a stream.
        finish: Finish reason of a stream.
        is_complete: Whether a stream ended with `[DONE]`.
        code: Code of the error, or the name of the exception; empty without an
            error.
        verdict: Verdict of the error, which says whether the request has run.
        sent_s: Time at which the request was sent, on trio's clock, seconds.
        arrivals_s: Time of each chunk with text, or of the end of a call, on
            the same clock, seconds.
    """

    status: int = 0
    body: bytes = b""
    text: str = ""
    finish: str = ""
    is_complete: bool = False
    code: str = ""
    verdict: str = ""
    sent_s: float = 0.0
    arrivals_s: tuple[float, ...] = ()

    @property
    def is_success(self) -> bool:
        """Whether there is a response without an error."""
        return 200 <= self.status < 300 and not self.code

    @property
    def json(self) -> typing.Any:
        """The JSON value of the body."""
        return json.loads(self.body)


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A request for a stream whose response is known in advance.

    Attributes:
        model: Name of the model.
        layers: Number of layers of the model.
        text: Prompt.
        seed: Seed of the sampling.
        max_tokens: Maximum number of tokens in the response.
    """

    model: str
    layers: int
    text: str
    seed: int
    max_tokens: int

    @property
    def body(self) -> dict[str, typing.Any]:
        """The request body of `/v1/completions`."""
        return {
            "model": self.model,
            "prompt": self.text,
            "seed": self.seed,
            "max_tokens": self.max_tokens,
            "stream": True,
        }

    def generate(self) -> str:
        """Returns the expected text, computed without an engine."""
        decoder = tokens.Decoder()
        generated = layers.generate(
            tokens.encode(self.text), self.seed, self.max_tokens, self.layers
        )
        return decoder.feed(generated) + decoder.finish()


class Caller:
    """Client of one entry with the API key of one workspace.

    It is used with `async with`, which closes its connections.
    """

    def __init__(self, url: str, key: str, timeout_s: float = 60.0):
        self._url = url
        self._headers = {"authorization": f"Bearer {key}"}
        self._timeout_s = timeout_s
        self._pool = httpcore.AsyncConnectionPool(max_connections=1000)

    async def __aenter__(self) -> "Caller":
        return self

    async def __aexit__(self, *_) -> None:
        await self._pool.aclose()

    async def stream(self, prompt: Prompt, on_chunk=None) -> Response:
        """Requests a streamed completion and reads it to its end.

        Args:
            prompt: The request.
            on_chunk: Called with the text so far after each chunk.

        Returns:
            The response; an error is reported in its `code`.
        """
        reader = _StreamReader(on_chunk)
        sent_s = trio.current_time()
        try:
            with trio.fail_after(self._timeout_s):
                status, body = await self._read_stream(prompt, reader)
        except _ERRORS as error:
            status, body = 0, b""
            reader.code = type(error).__name__
        if body:
            reader.read_error(body)
        return Response(
            status=status,
            body=body,
            text="".join(reader.parts),
            finish=reader.finish,
            is_complete=reader.is_complete,
            code=reader.code,
            verdict=reader.verdict,
            sent_s=sent_s,
            arrivals_s=tuple(reader.arrivals_s),
        )

    async def _read_stream(self, prompt, reader) -> tuple[int, bytes]:
        async with self._pool.stream(
            "POST",
            f"{self._url}/v1/completions",
            headers=self._headers | {"content-type": "application/json"},
            content=json.dumps(prompt.body).encode(),
            extensions=self._make_timeouts(),
        ) as response:
            if response.status != 200:
                return response.status, await response.aread()
            rest = b""
            async for data in response.aiter_stream():
                *lines, rest = (rest + data).split(b"\n")
                for line in lines:
                    reader.read_line(line)
            return response.status, b""

    async def call(
        self,
        method: str,
        path: str,
        value: typing.Any = None,
        idempotency_key: str = "",
    ) -> Response:
        """Sends one request and returns the complete response."""
        headers = dict(self._headers)
        if idempotency_key:
            headers["idempotency-key"] = idempotency_key
        content = b""
        if value is not None:
            content = json.dumps(value).encode()
            headers["content-type"] = "application/json"
        sent_s = trio.current_time()
        try:
            with trio.fail_after(self._timeout_s):
                response = await self._pool.request(
                    method,
                    f"{self._url}{path}",
                    headers=headers,
                    content=content,
                    extensions=self._make_timeouts(),
                )
        except _ERRORS as error:
            return Response(code=type(error).__name__, sent_s=sent_s)
        reader = _StreamReader(None)
        if response.status >= 400:
            reader.read_error(response.content)
        return Response(
            status=response.status,
            body=response.content,
            code=reader.code,
            verdict=reader.verdict,
            sent_s=sent_s,
            arrivals_s=(trio.current_time(),),
        )

    def _make_timeouts(self) -> dict:
        names = ("connect", "read", "write", "pool")
        return {"timeout": dict.fromkeys(names, self._timeout_s)}


_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    OSError,
    trio.TooSlowError,
)


class _StreamReader:
    """Reads the server-sent events of one stream."""

    def __init__(self, on_chunk):
        self._on_chunk = on_chunk
        self.parts = []
        self.arrivals_s = []
        self.finish = ""
        self.is_complete = False
        self.code = ""
        self.verdict = ""

    def read_line(self, line: bytes) -> None:
        if not line.startswith(EVENT_PREFIX):
            return
        text = line[len(EVENT_PREFIX) :].strip().decode()
        if text == END_MARKER:
            self.is_complete = True
            return
        value = json.loads(text)
        if "error" in value:
            self._set_error(value["error"])
        for choice in value.get("choices", ()):
            self.finish = choice.get("finish_reason") or self.finish
            if choice.get("text"):
                self.parts.append(choice["text"])
                self.arrivals_s.append(trio.current_time())
                if self._on_chunk is not None:
                    self._on_chunk("".join(self.parts))

    def read_error(self, body: bytes) -> None:
        try:
            self._set_error(json.loads(body)["error"])
        except (ValueError, KeyError, TypeError):
            self.code = "unreadable-error"

    def _set_error(self, error: dict) -> None:
        self.code = error.get("code") or "error-without-code"
        self.verdict = error.get("verdict", "")
