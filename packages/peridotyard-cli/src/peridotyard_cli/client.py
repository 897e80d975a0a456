"""Client of the administration API."""

import json
import typing
import urllib.parse

import httpcore
from peridotyard_core import errors

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_TIMEOUT = 4

# Path of the API, before the path of each resource.
PREFIX = "/admin/v1/"


class CommandError(errors.PeridotyardError):
    """A failure of the command, with its message and exit status."""

    def __init__(self, message: str, status: int = EXIT_FAILED):
        self.status = status
        super().__init__(message)


class ResponseError(CommandError):
    """The API responded with an error.

    Attributes:
        details: The "error" object of the response.
    """

    def __init__(self, details: dict):
        self.details = details
        conflict = details.get("code") == "conflict"
        super().__init__(
            _render_details(details),
            EXIT_CONFLICT if conflict else EXIT_FAILED,
        )


def _render_details(details: dict) -> str:
    message = str(details.get("message", "refused"))
    text = f"{details.get('code', 'unknown')}: {message}"
    place, allowed = details.get("place"), details.get("allowed")
    if place and place not in message:
        text += f" At: {place}."
    if allowed and allowed not in message:
        text += f" Allowed: {allowed}."
    for item in details.get("conflicts") or []:
        text += (
            f"\n  {item['object']}: expected revision {item['expected']},"
            f" current revision {item['actual']}"
            f"\n    submitted: {json.dumps(item['submitted'])}"
            f"\n    current:   {json.dumps(item['current'])}"
        )
    return text


class Client:
    """Client of the administration API of one entry, owned by a command."""

    def __init__(self, address: str, token: str, timeout_s: float):
        """Creates a client; connections are opened by the first request.

        Args:
            address: URL without a path, such as "http://127.0.0.1:8081".
            token: Operator token.
            timeout_s: Time limit for connecting and for each read and write,
                in seconds.

        Raises:
            CommandError: The address is not such a URL.
        """
        url = urllib.parse.urlsplit(address)
        if url.scheme != "http" or not url.netloc or url.path.strip("/"):
            raise CommandError(
                f"--admin {address!r}: allowed: http://IP:PORT", EXIT_USAGE
            )
        self._base = f"http://{url.netloc}{PREFIX}"
        self._token = token
        self._timeout_s = timeout_s
        self._pool = httpcore.ConnectionPool()

    def get(self, path: str, **query) -> typing.Any:
        """Sends a GET request with query parameters; see `request`."""
        text = urllib.parse.urlencode(query)
        return self.request("GET", f"{path}?{text}" if text else path)

    def request(self, method: str, path: str, value=None) -> typing.Any:
        """Sends a request and returns the JSON value of the response.

        Args:
            method: HTTP method.
            path: Path after `PREFIX`, with its query.
            value: JSON value of the request body; None for no body.

        Raises:
            ResponseError: The API responded with an error.
            CommandError: There is no response, or it is not a response of the
                API.
        """
        steps = ("connect", "read", "write", "pool")
        content = None if value is None else json.dumps(value).encode()
        headers = [
            ("authorization", f"Bearer {self._token}"),
            ("content-type", "application/json"),
        ]
        try:
            response = self._pool.request(
                method,
                self._base + path,
                headers=headers,
                content=content,
                extensions={"timeout": dict.fromkeys(steps, self._timeout_s)},
            )
        except httpcore.TimeoutException as error:
            raise CommandError(
                f"no response from {self._base} within {self._timeout_s:g} s",
                EXIT_TIMEOUT,
            ) from error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            OSError,
        ) as error:
            raise CommandError(f"{self._base}: {error}") from error
        return _parse_response(response.status, response.content, self._base)

    def close(self) -> None:
        """Closes all connections."""
        self._pool.close()


def _parse_response(status: int, content: bytes, base: str) -> typing.Any:
    try:
        response = json.loads(content)
    except ValueError as error:
        raise CommandError(
            f"{base}: status {status}, and the response is not JSON; check"
            " that this is the administration address of an entry"
        ) from error
    if status == 200:
        return response
    details = response.get("error") if isinstance(response, dict) else None
    if not isinstance(details, dict):
        details = {"code": f"status {status}", "message": "refused"}
    raise ResponseError(details)
