"""Model servers that depend on the other servers of a path, and check it."""

from peridotyard_core import fleet
import trio

from tests.support import servers

LAYERS = 20
# Number of events in a stream.
EVENTS = 30
# Time after which a server breaks off a stream whose path has a failed server.
STALL_S = 2.5


class ModelServer(servers.StandIn):
    """A server that refuses invalid paths, and stalls if a stage has failed.

    Attributes:
        is_alive: Whether the server has not been ended by the soak.
        is_draining: Whether it accepts no new requests.
        peers: All model servers by the address that entries know.
        violations: Paths that did not run each layer once and in order.
    """

    def __init__(self, server: fleet.Server, peers: dict, violations: list):
        super().__init__(server, events=EVENTS)
        self.is_alive = True
        self.is_draining = False
        self.peers = peers
        self.violations = violations
        self._paths: dict[str, list[tuple[str, int, int]]] = {}

    async def _send_events(self, request_headers, fault, responder) -> None:
        path = read_path(request_headers["x-hop-count"])
        if self.is_draining or not self._check_path(path):
            await self._refuse(request_headers["x-attempt-id"], responder)
            return
        request_id = request_headers["x-attempt-id"]
        self._paths[request_id] = path
        try:
            await super()._send_events(request_headers, fault, responder)
        finally:
            self._paths.pop(request_id, None)
            self.stalled.pop(request_id, None)

    async def _wait_before_event(self, request_id: str) -> None:
        """Stalls while a stage of the path has failed, as platform servers do.

        An order with a new path resumes the stream; without one it is broken
        off after `STALL_S`.
        """
        failed = [
            address
            for address, _, _ in self._paths[request_id]
            if not self._is_alive(address)
        ]
        if not failed:
            return
        self.failed_server = failed[0]
        self.stalled[request_id] = trio.Event()
        with trio.move_on_after(STALL_S) as scope:
            await self.stalled[request_id].wait()
        if scope.cancelled_caught:
            raise trio.BrokenResourceError

    async def _handle_order(self, order, responder) -> None:
        if order["op"] == "repath":
            path = read_path(order["path"])
            if order["id"] not in self._paths:
                await responder.send_complete(404, [], b"")
                return
            if not self._check_path(path):
                await responder.send_complete(409, [], b"")
                return
            self._paths[order["id"]] = path
        await super()._handle_order(order, responder)

    def _is_alive(self, address: str) -> bool:
        return address in self.peers and self.peers[address].is_alive

    def _check_path(self, path) -> bool:
        """Returns whether all stages of a path run and hold their layers.

        A path that does not start at this server, or does not run each layer
        once and in order, is recorded as a violation.
        """
        layer = 0
        for _, first, end in path:
            if first != layer or end <= first:
                self.violations.append(f"LAYERS: path {path}")
                return False
            layer = end
        if layer != LAYERS or path[0][0] != str(self.server.address):
            self.violations.append(f"LAYERS: path {path}")
            return False
        return all(self._has_layers(*part) for part in path)

    def _has_layers(self, address: str, first: int, end: int) -> bool:
        if not self._is_alive(address):
            return False
        layer_range = self.peers[address].server.layer_range
        return (
            layer_range is not None
            and layer_range.first <= first
            and end <= layer_range.end
        )


def read_path(text: str) -> list[tuple[str, int, int]]:
    """Parses a path: address, first layer and end layer of each stage."""
    parts = []
    for part in text.split(","):
        address, _, layer_range = part.strip().partition("=")
        first, _, end = layer_range.partition("-")
        parts.append((address, int(first), int(end)))
    return parts
