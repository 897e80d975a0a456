"""HTTP client of the plain service that a sidecar runs beside.

A plain service is any HTTP service other than a model engine.
"""

import collections.abc
import dataclasses

from peridotyard_core import addresses
from returns import result
import trio

from peridotyard_daemon.connection import http

RESPONSE_LIMIT_BYTES = 1 << 20

# Hop-by-hop headers (RFC 9110, section 7.6.1), and those that the client
# itself sets.
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


@dataclasses.dataclass(frozen=True)
class Unsent:
    """The service cannot have received the call."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The service may have received the call; there is no response."""

    reason: str


@dataclasses.dataclass(frozen=True)
class TooLarge:
    """The service ran the call, but its response exceeds the size limit."""

    status: int
    limit_bytes: int


def remove_connection_headers(
    headers: collections.abc.Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that are forwarded to the other end.

    Removed are `CONNECTION_HEADERS` and all headers that a Connection header
    names.
    """
    pairs = tuple(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    removed = CONNECTION_HEADERS | named
    return tuple(pair for pair in pairs if pair[0].lower() not in removed)


class Backend:
    """Client of the service beside this sidecar, owned by the sidecar."""

    def __init__(
        self,
        address: addresses.Address,
        concurrency: int,
        limit_bytes: int = RESPONSE_LIMIT_BYTES,
    ):
        # Imported lazily: the sidecar of a model engine needs no HTTP client.
        import httpcore  # noqa: PLC0415

        self._httpcore = httpcore
        self._address = address
        self._base = f"http://{address}"
        self._limit_bytes = limit_bytes
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=concurrency, keepalive_expiry=30
        )

    async def probe(self, timeout_s: float) -> bool:
        """Returns whether the service accepts connections."""
        with trio.move_on_after(timeout_s):
            try:
                stream = await trio.open_tcp_stream(
                    self._address.host, self._address.port
                )
            except OSError:
                return False
            await stream.aclose()
            return True
        return False

    async def call(
        self, method: str, path: str, headers, body: bytes, timeout_s: float
    ) -> result.Result[http.Response, Unsent | Lost | TooLarge]:
        """Sends a call to the service, without retries.

        Args:
            method: HTTP method.
            path: Path and query, percent-encoded.
            headers: Name and value of each header.
            body: Request body.
            timeout_s: Seconds until the response must be complete.

        Returns:
            The response, or which of the failures of this module occurred.
        """
        sent = False

        async def trace(event, _info) -> None:
            nonlocal sent
            # Set before the first byte is written, so that a request that may
            # have arrived is never reported as unsent.
            if event == "http11.send_request_headers.started":
                sent = True

        try:
            with trio.fail_after(max(0.0, timeout_s)):
                async with self._pool.stream(
                    method,
                    self._base + path,
                    headers=list(remove_connection_headers(headers)),
                    content=body,
                    extensions={"trace": trace},
                ) as response:
                    return await self._read_response(response)
        except (
            trio.TooSlowError,
            OSError,
            self._httpcore.NetworkError,
            self._httpcore.ProtocolError,
            self._httpcore.TimeoutException,
        ) as error:
            reason = type(error).__name__
            return result.Failure(Lost(reason) if sent else Unsent(reason))

    async def _read_response(self, response) -> result.Result:
        body = await http.read_parts(response.aiter_stream(), self._limit_bytes)
        if body is None:
            return result.Failure(TooLarge(response.status, self._limit_bytes))
        pairs = remove_connection_headers(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in response.headers
        )
        return result.Success(http.Response(response.status, pairs, body))

    async def close(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()
