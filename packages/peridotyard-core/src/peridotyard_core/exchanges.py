"""What an entry reads of a request and of a server's answer, as data.

The wire names of these values belong to the adapter of the platform.
"""

import dataclasses
import typing

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import paths

Headers = tuple[tuple[bytes, bytes], ...]


@dataclasses.dataclass(frozen=True)
class RequestHead:
    """One request of a caller without its body.

    Attributes:
        request_id: Identity of this attempt of the caller, empty if absent.
        method: Upper case.
        target: Path and query as the caller wrote them.
        host: Host name without the port.
        key: API key, empty if absent.
        time_limit_s: How long the caller waits; None if it does not say.
        last_event_id: Event after which a stream continues, None for all.
        prompt_tokens: Length of the prompt, 0 if unknown.
        response_tokens: Longest response, 0 if unknown.
        headers: Headers that are meant for the server.
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
    headers: Headers

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition("?")[0]


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """What the entry adds to a request that it sends to a server.

    Attributes:
        server: Server that receives the request.
        path: Servers that run the layers; empty for a plain service.
        time_limit_s: Time after which nobody waits for the answer.
        workspace: Name of the caller's workspace, empty for a public route.
        last_event_id: Event after which the stream is to go on, or None.
        priority: 0 is the most urgent, 9 the least; None for the default.
    """

    server: fleet.Server
    path: paths.Path
    time_limit_s: float
    workspace: str
    last_event_id: int | None
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """One answer of a server without its body.

    Attributes:
        status: HTTP status.
        request_id: The request that it answers, empty if it does not say.
        signed: Whether it bears the server's signature.
        not_run: Whether the server states that it did not run the request.
        failed_address: Server of the path that is at fault, if named.
        keep_alive_s: How long the server keeps an idle connection, if it says.
        headers: Headers that are meant for the caller.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    failed_address: addresses.Address | None
    keep_alive_s: float | None
    headers: Headers


@dataclasses.dataclass(frozen=True)
class ServerReport:
    """State of a model server as of some hundred milliseconds ago.

    Attributes:
        layer_range: Layers that it holds, None if it holds none.
        busy: Whether it carries out an order.
        order_count: Number of orders that it accepted since its start.
        running: Requests in progress.
        queued: Requests that wait.
        kv_used: Used KV cache, tokens times layers.
        kv_total: KV cache, tokens times layers.
        slowness: Factor on its usual times; 1 is normal.
        stalled: Requests that wait for a server, with its address.
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
    """Translation between these types and what the platform speaks."""

    report_target: str
    order_target: str

    def decode_request(
        self, method: str, target: str, headers: Headers
    ) -> RequestHead:
        """Reads a caller's request."""

    def encode_request(self, head: RequestHead, dispatch: Dispatch) -> Headers:
        """Returns the headers of a request to a server."""

    def decode_response(self, status: int, headers: Headers) -> ResponseHead:
        """Reads the head of a server's answer."""

    def decode_report(self, body: bytes) -> ServerReport:
        """Reads a server's state.

        Raises:
            ValueError: The state is malformed.
        """

    def encode_order_headers(self, server: fleet.Server) -> Headers:
        """Returns the headers of an order that only this server accepts."""

    def encode_placement_order(
        self, layer_range: fleet.LayerRange, order_count: int
    ) -> bytes:
        """Returns the order to hold a range of layers.

        Args:
            layer_range: The layers.
            order_count: Number of orders that the server must have accepted.
        """

    def encode_reroute_order(self, request_id: str, path: paths.Path) -> bytes:
        """Returns the order to continue a request on another path."""
