"""In-memory stand-ins for the platform's model servers and plain servers.

They use the platform's documented protocol on the connections of
`tests.support.memory`, and record the requests that they run.
"""

import dataclasses
import json

from peridotyard_core import fleet
from peridotyard_daemon.connection import callers
import trio

# Time between two events of a stream.
EVENT_GAP_S = 0.04
# Duration of a pause of a slow stream: longer than any silence limit of the
# entry, and shorter than a caller's limit.
PAUSE_S = 4.0
# Body of a response with an error.
ERROR_TEXT = b"id: 4 is not available"
# Time between two pieces of a stream that does not end.
ENDLESS_GAP_S = 0.01


@dataclasses.dataclass
class Fault:
    """Fault of one request at a server.

    Attributes:
        kind: "refuse" (not run, status 503), "crash" (resets the connection),
            "end" (resets all connections and accepts no more), "stall" (a
            stream pauses until an order resumes it), "partial-event" (resets
            the connection within an event), "skip" and "repeat" (one event has
            the number of the next or previous one), "wrong-id" (an event
            arrives together with another one with a wrong id, and the stream
            goes on), "unsigned" (no signature
            header), "hang" (no response), "error" (status 500), "cut" (resets
            the connection within the body), "pause" (a stream pauses for
            `pause_s`), "drip" (a stream sends single bytes of an event without
            end), "comments" (a stream sends comments without end), "endless"
            (a body of bytes without end), "garbage" (some bytes between two
            events), "unframed" (a stream has neither length nor chunks and ends
            with its connection), "unframed-end" and "unframed-partial" (such
            a stream ends before or within an event) or "" for none.
        after: Number of events before the fault.
    """

    kind: str = ""
    after: int = 0


class StandIn:
    """One server, owned by the test.

    Attributes:
        server: Address, zone, layers and state of the server.
        events: Number of events in each stream.
        runs: Ids of the requests that it ran, in order.
        requests: Headers of all requests except for reports and orders.
        orders: Bodies of the orders.
        faults: Faults of the next requests, in order.
        abandoned: Ids of the requests whose caller disconnected.
        stalled: Events that resume stalled streams, by request id.
        failed_server: Address that it reports as the cause of stalled and
            refused requests, if any.
        lag_s: Age in seconds of the state that a report shows.
        accepts_orders: Whether orders are accepted.
        stated: Headers about the server itself in its responses.
        arrived_at: Times at which the requests arrived.
        fatal_part: Part of a prompt that ends the server before it has sent an
            event of the answer; empty for none.
        peers: Stand-ins for all servers, by address.
        work_s: Time until the answer of a plain server, seconds.
        pause_s: Duration of the pause of a slow stream, seconds.
    """

    def __init__(self, server: fleet.Server, events: int = 10):
        self.server = server
        self.events = events
        self.runs: list[str] = []
        self.requests: list[dict[str, str]] = []
        self.orders: list[dict] = []
        self.faults: list[Fault] = []
        self.abandoned: list[str] = []
        self.stalled: dict[str, trio.Event] = {}
        self.failed_server = ""
        self.lag_s = 0.0
        # Time, layer range and number of orders at each change.
        self._states = [(float("-inf"), server.layer_range, 0)]
        self.accepts_orders = True
        self.stated: tuple[tuple[bytes, bytes], ...] = ()
        self.arrived_at: list[float] = []
        self.fatal_part = ""
        self.work_s = 0.02
        self.pause_s = PAUSE_S
        self.peers: dict[str, StandIn] = {}
        self._path_headers: dict[str, str] = {}
        self._responsive = trio.Event()
        self._responsive.set()

    async def fall_silent(self, duration_s: float) -> None:
        """Stops the process for a time; its connections stay open."""
        self._responsive = trio.Event()
        await trio.sleep(duration_s)
        self._responsive.set()

    async def wait_responsive(self) -> None:
        """Waits until the process runs."""
        await self._responsive.wait()

    def join(self, network, nursery) -> None:
        """Starts to serve on an in-memory network."""
        host = network.join(str(self.server.address))
        self._network = network

        async def serve(stream):
            connection = callers.CallerConnection(
                stream, self._handle, fleet.CallerLimits, lambda: False
            )
            await connection.run()

        nursery.start_soon(host.serve, self.server.address, serve)

    async def _handle(self, method, target, headers, body, responder):
        request_headers = {
            name.decode().lower(): value.decode() for name, value in headers
        }
        await self.wait_responsive()
        if target == "/report":
            await self._send_report(responder)
            return
        if target == "/order":
            await self._handle_order(json.loads(body), responder)
            return
        self.requests.append(request_headers)
        self.arrived_at.append(trio.current_time())
        fault = self.faults.pop(0) if self.faults else Fault()
        parts = request_headers.get("x-prompt-prefix", "").split(",")
        if self.fatal_part and self.fatal_part in [
            part.partition(":")[0] for part in parts
        ]:
            fault = Fault("end")
        request_id = request_headers["x-attempt-id"]
        try:
            if self.server.accelerator_type:
                await self._send_events(request_headers, fault, responder)
            else:
                await self._respond(request_headers, fault, responder)
        except trio.Cancelled:
            self.abandoned.append(request_id)
            raise

    def _stop_serving(self) -> None:
        address = str(self.server.address)
        self._network.stop_serving(address)
        self._network.reset(address)

    async def _send_report(self, responder) -> None:
        shown_at = trio.current_time() - self.lag_s
        _, layer_range, orders = [s for s in self._states if s[0] <= shown_at][
            -1
        ]
        value = {
            "busy": False,
            "sequence": orders,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 1000,
            "stalled": [
                {"id": name, "address": self.failed_server}
                for name in self.stalled
                if self.failed_server
            ],
        }
        if layer_range:
            value["layers"] = {
                "from": layer_range.first,
                "target": layer_range.end,
                "version": 1,
            }
        await responder.send_complete(200, [], json.dumps(value).encode())

    async def _handle_order(self, order: dict, responder) -> None:
        self.orders.append(order)
        if not self.accepts_orders:
            await responder.send_complete(409, [], b"")
            return
        if order["op"] == "place":
            layer_range = fleet.LayerRange(order["from"], order["target"])
            self.server = dataclasses.replace(
                self.server, layer_range=layer_range
            )
            state = (trio.current_time(), layer_range, len(self.orders))
            self._states.append(state)
        elif order["id"] in self._path_headers:
            self._path_headers[order["id"]] = order["path"]
        if order.get("id") in self.stalled:
            self.stalled.pop(order["id"]).set()
        await responder.send_complete(202, [], b"")

    def _make_headers(self, request_id: str, fault: Fault) -> list:
        headers = [(b"X-Attempt-Id", request_id.encode()), *self.stated]
        if fault.kind != "unsigned":
            headers.append((b"X-Server-Signature", b"signature"))
        return headers

    async def _refuse(self, request_id: str, responder) -> None:
        headers = [
            (b"X-Attempt-Id", request_id.encode()),
            (b"X-Not-Executed", b"1"),
            *self.stated,
        ]
        if self.failed_server:
            headers.append((b"At-Server", self.failed_server.encode()))
        await responder.send_complete(503, headers, b"")

    async def _respond(self, request_headers, fault: Fault, responder) -> None:
        request_id = request_headers["x-attempt-id"]
        if fault.kind == "refuse":
            await self._refuse(request_id, responder)
            return
        self.runs.append(request_id)
        if fault.kind == "hang":
            await trio.sleep_forever()
        await trio.sleep(self.work_s)
        if fault.kind == "end":
            self._stop_serving()
        if fault.kind in ("crash", "end"):
            raise trio.BrokenResourceError
        status = 500 if fault.kind == "error" else 200
        body = f"answer to {request_id}".encode()
        if fault.kind == "endless":
            await responder.start(
                status, self._make_headers(request_id, fault), b""
            )
            await _send_without_end(responder, b"\xa7" * (1 << 18))
        if fault.kind == "cut":
            length = [(b"Content-Length", str(len(body)).encode())]
            await responder.start(
                status, self._make_headers(request_id, fault) + length, body[:3]
            )
            raise trio.BrokenResourceError
        await responder.send_complete(
            status, self._make_headers(request_id, fault), body
        )

    async def _send_events(
        self, request_headers, fault: Fault, responder
    ) -> None:
        request_id = request_headers["x-attempt-id"]
        if fault.kind == "refuse":
            await self._refuse(request_id, responder)
            return
        self.runs.append(request_id)
        begin = int(request_headers.get("last-event-id", "0")) + 1
        self._path_headers[request_id] = request_headers.get("x-hop-count", "")
        headers = self._make_headers(request_id, fault)
        if fault.kind == "error":
            await responder.send_complete(500, headers, ERROR_TEXT)
            return
        headers.append((b"Content-Type", b"text/event-stream"))
        if fault.kind.startswith("unframed"):
            responder = _UnframedResponder(responder)
        await responder.start(200, headers, b"")
        for sent, number in enumerate(range(begin, self.events + 1)):
            await trio.sleep(EVENT_GAP_S)
            await self._wait_before_event(request_id)
            if fault.kind and sent == fault.after:
                number = await self._inject_fault(
                    request_id, fault, number, responder
                )
            await responder.send(encode_event(number))
        await responder.finish()

    async def _wait_before_event(self, request_id: str) -> None:
        """Waits for the servers of the path; a subclass can also fail in it."""
        for stage in self._path_headers[request_id].split(","):
            address = stage.partition("=")[0]
            if address in self.peers:
                await self.peers[address].wait_responsive()

    async def _inject_fault(self, request_id, fault, number, responder) -> int:
        """Injects a fault into a stream; returns the next event's number."""
        match fault.kind:
            case "crash" | "unframed-end":
                raise trio.BrokenResourceError
            case "end":
                self._stop_serving()
                raise trio.BrokenResourceError
            case "partial-event" | "unframed-partial":
                await responder.send(encode_event(number)[:7])
                raise trio.BrokenResourceError
            case "stall":
                self.stalled[request_id] = trio.Event()
                await self.stalled[request_id].wait()
            case "pause":
                await trio.sleep(self.pause_s)
            case "drip":
                await _send_without_end(responder, b"i")
            case "comments":
                await _send_without_end(responder, b": busy\n\n")
            case "endless":
                await _send_without_end(responder, b"\xa7" * 4096)
            case "garbage":
                await responder.send(b"\xa7\x00\n\n")
            case "wrong-id":
                wrong = encode_event(number + 1).replace(b"id: ", b"id: 7", 1)
                await responder.send(encode_event(number) + wrong)
                return number + 2
            case "skip" | "repeat":
                step = 1 if fault.kind == "skip" else -1
                return max(1, number + step)
        return number


class _UnframedResponder:
    """Sends a response that ends with its connection."""

    def __init__(self, responder):
        self._write = responder._connection.write

    async def start(self, status, headers, data) -> None:
        lines = [b"HTTP/1.1 %d \r\n" % status]
        lines += [b"%s: %s\r\n" % header for header in headers]
        await self._write(b"".join(lines) + b"\r\n" + data)

    async def send(self, data) -> None:
        await self._write(data)

    async def finish(self) -> None:
        raise trio.BrokenResourceError


async def _send_without_end(responder, data: bytes) -> None:
    while True:
        await responder.send(data)
        await trio.sleep(ENDLESS_GAP_S)


def encode_event(number: int) -> bytes:
    """Returns the event with a number."""
    return f"id: {number}\ndata: token {number}\n\n".encode()
