"""Stand-ins for the users' servers: plain ones and model servers."""

import asyncio
import collections.abc
import dataclasses
import enum
import itertools
import json
import time

from support import http1
from support import records
from support import stores

HEARTBEAT_S = 1.2
# The store removes the row of a silent server after three heartbeats.
EXPIRY_S = 3 * HEARTBEAT_S
# Time between two events of a stream.
EVENT_GAP_S = 0.04
# A stream is cut off when a server of its path has been dead for `stall_ms`.
STALL_S = 2.5
STALL_CHECK_S = 0.02
# The pass of a spoiled answer whose events have a wrong byte.
SPOILED_PASS = 3


@dataclasses.dataclass(frozen=True)
class Identity:
    """What a server writes about itself.

    Attributes:
        instance: Its id, which is new with each start.
        service: Name of the service.
        address: Address at which it accepts requests.
        zone: Its zone.
        slots: Requests that it processes at the same time.
        kind: Accelerator kind of a model server; empty for a plain one.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    kind: str = ""


class Spoiled(enum.Enum):
    """Which event of an answer has a wrong byte in its id."""

    NONE = "none"
    FIRST = "first"
    # The last event of a pass that has sent sound ones before.
    LATER = "later"


@dataclasses.dataclass(frozen=True)
class Model:
    """The model that model servers run.

    Attributes:
        layers: Its layers.
        events: Events of each answer.
        load_s: Time to load all layers.
        pass_events: Events that one pass makes and sends together.
    """

    layers: int
    events: int
    load_s: float
    pass_events: int = 1


class Server:
    """One plain server, owned by one run of a case.

    Attributes:
        identity: What it writes about itself.
        is_listed: Whether it writes its row with each heartbeat.
    """

    def __init__(
        self,
        identity: Identity,
        store: stores.Store,
        record: records.Record,
        work_s: float,
    ):
        self.identity = identity
        self.is_listed = False
        self._store = store
        self._record = record
        self._work_s = work_s
        self._sequence = itertools.count(1)
        self._born_ms = int(1000 * time.time())
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task | None = None
        self._free_slots = asyncio.Semaphore(identity.slots)

    async def start(self) -> None:
        """Starts to serve, and writes the first row."""
        host, _, port = self.identity.address.rpartition(":")
        self._born_ms = int(1000 * time.time())
        self._sequence = itertools.count(1)
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.is_listed = True
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def close(self) -> None:
        """Ends as a killed process does: everything is reset."""
        self.is_listed = False
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            http1.reset(writer)

    def leave_without_notice(self) -> float:
        """Removes its row and continues to serve; returns the time."""
        self.is_listed = False
        self._store.put("servers", self.identity.instance, None)
        return self._record.write(
            "server gone from list", server=self.identity.instance
        )

    def describe(self) -> dict:
        """Returns the fields of its row."""
        identity = self.identity
        fields = {
            "service": identity.service,
            "address": identity.address,
            "zone": identity.zone,
            "version": 1,
            "slots": identity.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": next(self._sequence),
            "born": self._born_ms,
        }
        if identity.kind:
            fields["kind"] = identity.kind
        return fields

    def write_row(self) -> None:
        """Writes its row."""
        value = json.dumps(self.describe()).encode()
        self._store.put("servers", self.identity.instance, value)

    async def _send_heartbeats(self) -> None:
        while self.is_listed:
            self.write_row()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while request := await http1.read_message(reader):
                await self._handle(request, reader, writer)
        except (http1.BrokenError, OSError):
            # The entry has closed the connection.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, request: http1.Message, reader, writer) -> None:
        headers = request.headers
        request_id = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance", "")
        self._record.write(
            "arrived",
            server=self.identity.instance,
            request=request_id,
            target=request.target,
            tenant=headers.get("x-tenant", ""),
        )
        echo = {"X-Attempt-Id": request_id}
        if expected and expected != self.identity.instance:
            writer.write(http1.render_response(421, echo))
            return
        if request.target == "/report" or request.target == "/order":
            await self._control(request, writer)
            return
        async with self._free_slots:
            self._record.write(
                "run",
                server=self.identity.instance,
                request=request_id,
                tenant=headers.get("x-tenant", ""),
            )
            await self._run(request, echo, writer)
        await writer.drain()

    async def _control(self, request: http1.Message, writer) -> None:
        writer.write(http1.render_response(404))

    async def _run(self, request: http1.Message, echo: dict, writer) -> None:
        await asyncio.sleep(self._work_s)
        self._record.write(
            "done",
            server=self.identity.instance,
            request=echo["X-Attempt-Id"],
        )
        signed = echo | {"X-Server-Signature": f"s.{self.identity.instance}"}
        body = f"answer to {echo['X-Attempt-Id']}".encode()
        writer.write(http1.render_response(200, signed, body))


Part = tuple[str, int, int]


@dataclasses.dataclass
class _Run:
    """One stream in progress on its first server.

    Attributes:
        path: Address, first layer and end of each part.
        stalled_at: Address of the dead server that it waits for, if any.
    """

    path: list[Part]
    stalled_at: str = ""


class ModelServer(Server):
    """A model server that holds layers and streams events.

    The first server of a path computes the events of all others, which must
    run and hold their parts.

    Attributes:
        fatal_body: Body of the request that crashes the server; None for none.
        fatal_events: Events that the server sends before that crash.
        down_s: Time until it is back after a crash.
        crashes: How often it has crashed.
        choose_spoiled: Returns which event of an answer to spoil.
        is_alive: Whether its process runs.
        held: The layers that it holds; None for none.
    """

    def __init__(
        self,
        identity: Identity,
        store: stores.Store,
        record: records.Record,
        model: Model,
        peers: dict[str, "ModelServer"],
    ):
        super().__init__(identity, store, record, 0.0)
        self.fatal_body: bytes | None = None
        self.fatal_events = 0
        self.down_s = 4.0
        self.crashes = 0
        self.choose_spoiled: collections.abc.Callable[[], Spoiled] = (
            lambda: Spoiled.NONE
        )
        self.is_alive = False
        self.held: tuple[int, int] | None = None
        self._name = identity.instance
        self._model = model
        self._peers = peers
        peers[identity.address] = self
        self._orders = 0
        # Streams in progress, by request.
        self._runs: dict[str, _Run] = {}
        self._load: asyncio.Task | None = None
        self._restart: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts to serve, without layers."""
        await super().start()
        self.is_alive = True

    def close(self) -> None:
        """Ends for good."""
        if self._restart is not None:
            self._restart.cancel()
        self._end()

    def describe(self) -> dict:
        """Returns the fields of its row."""
        return super().describe() | self._describe_layers()

    def _end(self) -> None:
        self.is_alive = False
        if self._load is not None:
            self._load.cancel()
            self._load = None
        Server.close(self)

    def _describe_layers(self) -> dict:
        if self.held is None:
            return {}
        first, end = self.held
        return {"layers": {"from": first, "target": end, "version": 1}}

    async def _control(self, request: http1.Message, writer) -> None:
        if request.target == "/report":
            report = {
                "stage": "both",
                "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": self._load is not None,
                "sequence": self._orders,
                "queued": 0,
                "running": len(self._runs),
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
                "pace": 1,
                "stalled": [
                    {"id": name, "address": run.stalled_at}
                    for name, run in self._runs.items()
                    if run.stalled_at
                ],
                "born": self._born_ms,
            }
            body = json.dumps(report | self._describe_layers()).encode()
            writer.write(http1.render_response(200, {}, body))
            return
        order = json.loads(request.body)
        status = self._accept_order(order)
        self._record.write(
            "order",
            server=self.identity.instance,
            order=order,
            status=status,
        )
        writer.write(http1.render_response(status))

    def _accept_order(self, order: dict) -> int:
        """Begins to carry an order out; returns the status of the response."""
        if order["op"] == "repath":
            path = _read_path(order["path"])
            run = self._runs.get(order["id"])
            if run is None:
                return 404
            if self._find_fault(path) is not None:
                return 409
            run.path = path
            return 202
        if order["op"] != "place":
            return 400
        if self._load is not None or (
            order.get("expect", self._orders) != self._orders
        ):
            return 409
        self._orders += 1
        target = (order["from"], order["target"])
        first, end = self.held or (0, 0)
        common = max(first, target[0]), min(end, target[1])
        kept = max(0, common[1] - common[0])
        self.held = common if kept else None
        share = (target[1] - target[0] - kept) / self._model.layers
        self._load = asyncio.create_task(
            self._load_layers(target, self._model.load_s * share)
        )
        return 202

    async def _load_layers(self, target: tuple[int, int], time_s: float):
        await asyncio.sleep(time_s)
        self.held = target
        self._load = None
        self.write_row()

    def _find_fault(self, path: list[Part]) -> tuple[int, str] | None:
        """Returns status and address of the first part that cannot run."""
        for address, first, end in path:
            peer = self._peers.get(address)
            if peer is None or not peer.is_alive:
                return 503, address
            held = peer.held or (0, 0)
            if first < held[0] or end > held[1]:
                return 421, address
        return None

    async def _run(self, request: http1.Message, echo: dict, writer) -> None:
        own = f"{self.identity.address}=0-{self._model.layers}"
        path = _read_path(request.headers.get("x-hop-count", own))
        fault = self._find_fault(path)
        if fault is not None:
            status, address = fault
            headers = echo | {"X-Not-Executed": "1", "At-Server": address}
            writer.write(http1.render_response(status, headers))
            return
        request_id = echo["X-Attempt-Id"]
        # The same request may come again while the first run still ends.
        run = self._runs[request_id] = _Run(path)
        try:
            await self._send_events(request, echo, writer, run)
        finally:
            if self._runs.get(request_id) is run:
                del self._runs[request_id]

    async def _send_events(
        self, request: http1.Message, echo: dict, writer, run: "_Run"
    ) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        signed = echo | {
            "X-Server-Signature": f"s.{self.identity.instance}",
            "X-Weight-Versions": "1",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 X", *(f"{k}: {v}" for k, v in signed.items())]
        head = "\r\n".join(lines).encode() + http1.HEAD_END
        is_fatal = request.body == self.fatal_body
        spoiled = self.choose_spoiled()
        size = self._model.pass_events
        for sent, number in enumerate(
            range(first, self._model.events + 1, size)
        ):
            await asyncio.sleep(EVENT_GAP_S)
            await self._wait_for_path(run)
            if is_fatal and sent == self.fatal_events:
                self._crash(echo["X-Attempt-Id"])
                raise http1.BrokenError("the server has crashed")
            last = min(number + size - 1, self._model.events)
            data = b"".join(map(_make_event, range(number, last + 1)))
            if spoiled is Spoiled.FIRST and not sent:
                data = self._spoil(data, number, echo["X-Attempt-Id"])
            if spoiled is Spoiled.LATER and sent == SPOILED_PASS:
                data = self._spoil(data, last, echo["X-Attempt-Id"])
            writer.write(head + http1.render_chunk(data))
            head = b""
            await writer.drain()
        writer.write(head + http1.render_chunk(b""))

    def _spoil(self, data: bytes, number: int, request_id: str) -> bytes:
        """Returns events with one wrong byte: a digit of an event's id."""
        right = f"id: {number}\n".encode()
        wrong = right[:-2] + (b"9" if right[-2:-1] != b"9" else b"7") + b"\n"
        self._record.write(
            "spoiled",
            server=self.identity.instance,
            request=request_id,
            right=right.decode(),
            wrong=wrong.decode(),
        )
        return data.replace(right, wrong)

    async def _wait_for_path(self, run: "_Run") -> None:
        """Stalls while a server of the path is dead.

        Raises:
            BrokenError: It was not replaced in time; the stream is cut off.
        """
        waited_s = 0.0
        while dead := [
            address
            for address, _, _ in run.path
            if not self._peers[address].is_alive
        ]:
            if waited_s >= STALL_S:
                raise http1.BrokenError("a server of the path is dead")
            run.stalled_at = dead[0]
            waited_s += STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
        run.stalled_at = ""

    def _crash(self, request_id: str) -> None:
        """Ends the process; another one starts at the address later."""
        self.crashes += 1
        self._record.write(
            "server crashed",
            server=self.identity.instance,
            request=request_id,
        )
        self._end()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        old = self.identity.instance
        await asyncio.sleep(min(EXPIRY_S, self.down_s))
        self._store.put("servers", old, None)
        await asyncio.sleep(max(0.0, self.down_s - EXPIRY_S))
        instance = f"{self._name}-{self.crashes + 1}"
        self.identity = dataclasses.replace(self.identity, instance=instance)
        self.held = None
        self._orders = 0
        await self.start()
        self._record.write("server back", server=instance)


def _make_event(number: int) -> bytes:
    return f"id: {number}\ndata: token {number}\n\n".encode()


def _read_path(text: str) -> list[Part]:
    """Parses a path: address, first layer and layer after the last one."""
    parts = []
    for item in text.split(","):
        address, _, layers = item.strip().partition("=")
        first, _, end = layers.partition("-")
        parts.append((address, int(first), int(end)))
    return parts
