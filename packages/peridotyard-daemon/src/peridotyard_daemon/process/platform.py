"""Requests to the platform services and the classes of their failures."""

import dataclasses

from returns import result

from peridotyard_daemon.connection import http

# Statuses with which a service states that it did not process a request.
REFUSED_STATUSES = (429, 503)


@dataclasses.dataclass(frozen=True)
class Unsent:
    """The service cannot have received the request."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The service may have processed the request, or may do so later."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The service responded that it did not process the request."""

    status: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The service responded that the request is invalid."""

    status: int
    message: str


Failure = Unsent | Lost | Unavailable | Rejected


async def exchange(
    client, method: str, path: str, *, accepted=(200,), **options
) -> result.Result[http.Response, Failure]:
    """Sends a request and classifies its failure.

    Args:
        client: An `http.Client`.
        method: HTTP method.
        path: Path and query, percent-encoded.
        accepted: Statuses that are returned as a success.
        **options: As for `http.Client.request`.
    """
    try:
        response = await client.request(method, path, **options)
    except http.UnsentError as error:
        return result.Failure(Unsent(str(error)))
    except http.LostError as error:
        return result.Failure(Lost(str(error)))
    if response.status in accepted:
        return result.Success(response)
    if response.status in REFUSED_STATUSES:
        return result.Failure(Unavailable(response.status))
    if 400 <= response.status < 500:
        text = response.body[:200].decode("utf-8", "replace")
        return result.Failure(Rejected(response.status, text))
    # An internal error may have occurred after the request took effect.
    return result.Failure(Lost(f"status {response.status}"))


def parse(response: http.Response, function) -> result.Result:
    """Converts the JSON value of a response.

    Args:
        response: The response.
        function: Converts the value. Errors of the types that malformed values
            cause are turned into `Lost`.
    """
    try:
        return result.Success(function(response.json))
    except http.LostError as error:
        return result.Failure(Lost(str(error)))
    except (LookupError, TypeError, ValueError, AttributeError) as error:
        return result.Failure(Lost(f"malformed response: {error!r}"))
