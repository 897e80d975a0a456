"""Data types for what an entry exchanges with callers and backend servers.

The names of these values on the wire are defined by the platform package,
whose codec implements `Codec`.
"""

import dataclasses
import typing

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import paths

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """A caller's request without its body.

    Attributes:
        request_id: Identity of this attempt, chosen by the caller; empty if
            absent.
        method: HTTP method in upper case.
        target: Path and query as the caller wrote them.
        host: Host name without the port.
        key: API key, empty if absent.
        time_limit_s: Time that the caller waits for the response, seconds;
            None if it sets no limit.
        last_event_id: Id of the event after which the stream continues; None
            to start with the first event.
        prompt_tokens: Length of the prompt, 0 if unknown.
        response_tokens: Largest length of the response, 0 if unknown.
        prompt_parts: Identifiers of the parts of the prompt, in order; empty if
            unknown. Requests may share all but the last part.
        headers: Headers to forward to the server.
    """

    request_id: str
    method: str
    target: str
    host: str
    key: str
    time_limit_s: float | None
    last_event_id: int | None
    prompt_tokens: int
    response_tokens: int
    prompt_parts: tuple[str, ...]
    headers: Headers

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """Values that the entry adds to a request that it sends to a server.

    Attributes:
        server: Server that receives the request.
        path: Servers that compute the layers; empty for a plain service.
        time_limit_s: Time after which the caller no longer waits for the
            response, seconds.
        workspace: Name of the caller's workspace, empty for a public route.
        last_event_id: Id of the event after which the stream continues; None
            to start with the first event.
        priority: Priority from 0, the most urgent, to 9; None for the default.
    """

    server: fleet.Server
    path: paths.Path
    time_limit_s: float
    workspace: str
    last_event_id: int | None
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class ServerStatement:
    """What a server states about itself in a response.

    Attributes:
        limit_per_s: Requests per second that it accepts from all entries
            together; None if it states no limit.
        is_leaving: Whether it shuts down and accepts no new work.
        wait_s: Time for which it wants no request from this entry, seconds;
            None if it states none.
        malformed: Descriptions of the values that were ignored, for the log.
            Such a value neither sets nor ends what the server stated before.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    wait_s: float | None = None
    malformed: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """A server's response without its body.

    Attributes:
        status: HTTP status.
        request_id: Identity of the request, empty if the response has none.
        signed: Whether the response has the server's signature.
        not_run: Whether the server states that it did not run the request.
        failed_address: Address of the failed server of the path, None if the
            response does not name one.
        headers: Headers to forward to the caller.
        statement: What the server states about itself.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    failed_address: addresses.Address | None
    headers: Headers
    statement: ServerStatement = ServerStatement()


@dataclasses.dataclass(frozen=True)
class ServerReport:
    """State of a model server, some hundred milliseconds old on arrival.

    Attributes:
        layer_range: Layers that it holds, None if it holds none.
        busy: Whether it is executing an order, such as a load of layers.
        order_count: Number of orders that it accepted since its start.
        running: Number of requests in progress.
        queued: Number of requests that wait.
        kv_used: Used KV cache, tokens times layers.
        kv_total: Size of the KV cache, tokens times layers.
        slowness: Step time relative to the usual one; 1 is normal.
        stalled: Identity of each request that waits for another server of its
            path, with the address of that server.
    """

    layer_range: fleet.LayerRange | None
    busy: bool
    order_count: int
    running: int
    queued: int
    kv_used: float
    kv_total: float
    slowness: float
    stalled: tuple[tuple[str, addresses.Address], ...]


class Codec(typing.Protocol):
    """Translation between these types and the platform's wire format.

    Attributes:
        report_target: Request target of a server's report.
        order_target: Request target for orders to a server.
    """

    report_target: str
    order_target: str

    def decode_request(
        self, method: str, target: str, headers: Headers
    ) -> RequestHead:
        """Returns the head of a caller's request."""

    def encode_request(self, head: RequestHead, dispatch: Dispatch) -> Headers:
        """Returns the headers of a request to a server."""

    def decode_response(self, status: int, headers: Headers) -> ResponseHead:
        """Returns the head of a server's response."""

    def decode_report(self, body: bytes) -> ServerReport:
        """Returns the state of a server.

        Raises:
            ValueError: The report is malformed.
        """

    def encode_order_headers(self, server: fleet.Server) -> Headers:
        """Returns the headers of an order, which only this server accepts."""

    def encode_placement_order(
        self, layer_range: fleet.LayerRange, order_count: int
    ) -> bytes:
        """Returns the body of an order to hold a range of layers.

        Args:
            layer_range: The layers.
            order_count: Number of orders that the server must have accepted
                before; it refuses the order otherwise.
        """

    def encode_reroute_order(self, request_id: str, path: paths.Path) -> bytes:
        """Returns the body of an order to continue a request on another path.

        Args:
            request_id: Identity of the request.
            path: The new path.
        """
