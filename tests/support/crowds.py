"""One entry as a process, its stand-ins, and many clients that keep no limit.

The stand-ins and the clients run in the process of the test. Memory and open
descriptors of the entry are those that Linux reports for its process.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import subprocess
import sys
import time

from peridotyard_core import addresses
from peridotyard_core import fleet
import trio
import yaml

from tests.soak import proxies
from tests.support import platform_store
from tests.support import rows
from tests.support import servers

HOST = "api.example"
KEY = "key-north"
# Limits of the machine and of the configuration, lowered so that a small crowd
# exceeds them.
MEMORY_MB = 96
DESCRIPTORS = 400
BODY_BYTES = 1 << 20
HEADER_BYTES = 8192
# Number of clients of a crowd.
CROWD = 100
# Longest time for which a crowd sends, and for which one ordinary request may
# take. They only keep a test of a process that hangs from running for ever.
SEND_LIMIT_S = 20.0
ANSWER_LIMIT_S = 60.0
START_LIMIT_S = 30.0
SAMPLE_INTERVAL_S = 0.1
# Request header that makes the plain server answer with so many bytes.
SIZE_HEADER = "x-answer-bytes"


@dataclasses.dataclass(frozen=True)
class Machine:
    """Limits of the entry's machine, and of the configuration.

    Attributes:
        memory_mb: Memory of the process, megabytes.
        descriptors: Largest number of its open descriptors.
        body_bytes: Largest request body.
    """

    memory_mb: int = MEMORY_MB
    descriptors: int = DESCRIPTORS
    body_bytes: int = BODY_BYTES


class PlainServer(servers.StandIn):
    """A plain server that answers with as many bytes as it is asked for."""

    async def _respond(self, request_headers, fault, responder) -> None:
        size = int(request_headers.get(SIZE_HEADER, "0"))
        if not size:
            await super()._respond(request_headers, fault, responder)
            return
        request_id = request_headers["x-attempt-id"]
        self.runs.append(request_id)
        headers = self._make_headers(request_id, fault)
        await responder.send_complete(200, headers, b"x" * size)


@dataclasses.dataclass
class Usage:
    """Largest figures of a process that were seen.

    Attributes:
        memory_mb: Resident memory, megabytes.
        unread_mb: Bytes that callers have sent and the process has not read,
            megabytes. The platform counts them as memory of the process.
        descriptors: Open descriptors.
    """

    memory_mb: float = 0.0
    unread_mb: float = 0.0
    descriptors: int = 0


class System:
    """One entry and its stand-ins, owned by the test.

    Attributes:
        machine: Limits of the entry's machine.
        callers: Address of the entry for callers.
        server: The only server of the plain service.
        usage: Largest figures of the entry's process.
    """

    def __init__(self, folder: pathlib.Path, machine: Machine = Machine()):
        self.machine = machine
        prefix = f"127.{random.randrange(64, 192)}.{random.randrange(256)}"
        host = f"{prefix}.10"
        self.callers = addresses.Address(host, 8080)
        self._readiness = addresses.Address(host, 8081)
        self._path = folder / "entry.yaml"
        self._log = folder / "entry.log"
        self._store = platform_store.StandIn()
        self._listeners = proxies.Listeners()
        store = addresses.Address(f"{prefix}.2", 8000)
        plain = addresses.Address(f"{prefix}.100", 8080)
        self._listeners.listen_addresses[platform_store.ADDRESS] = store
        self._listeners.listen_addresses[plain] = plain
        self.server = PlainServer(
            fleet.Server(
                instance="i-1",
                service="ledger",
                address=plain,
                zone="a",
                slots=500,
                ready=True,
                layer_range=None,
                accelerator_type="",
                revision=0,
                started_at_ms=int(1000 * time.time()),
            )
        )
        self._process: subprocess.Popen | None = None
        self._numbers = itertools.count(1)
        self.usage = Usage()
        values = {
            "node": "entry-1",
            "ip": host,
            "zone": "a",
            "listen": {
                "front": str(self.callers),
                "ready": str(self._readiness),
                "control": f"{host}:8082",
            },
            "seeds": [f"{host}:8082"],
            "limits": {
                "memoryMb": machine.memory_mb,
                "maxFds": machine.descriptors,
            },
            "bounds": {
                "graceS": 4,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtra": 200,
            },
            "provider": {"address": str(store)},
        }
        self._path.write_text(yaml.safe_dump(values))

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts stand-ins and entry, and waits until a request is served."""
        self._store.join(self._listeners, nursery)
        self.server.join(self._listeners, nursery)
        route = {
            "name": "look",
            "host": HOST,
            "prefix": "/look/",
            "kind": "safe",
            "timeoutMs": 30000,
            "targetLatencyMs": 500,
            "service": "ledger",
            "maxAttempts": 2,
        }
        value = {
            "version": 1,
            "routes": [route],
            "services": [{"name": "ledger", "maxConnections": 1000}],
            "tenants": [{"name": "north", "apiKeys": [KEY]}],
            "limits": {
                "maxHeaderBytes": HEADER_BYTES,
                "maxBodyBytes": self.machine.body_bytes,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self._store.put("op", "config", json.dumps(value).encode())
        heartbeats = itertools.count(1)

        async def send_heartbeats() -> None:
            while True:
                server = dataclasses.replace(
                    self.server.server, heartbeats=next(heartbeats)
                )
                row = rows.encode_server(server)
                self._store.put("servers", server.instance, row)
                await trio.sleep(1.0)

        nursery.start_soon(send_heartbeats)
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "peridotyard_platform"],
                env=os.environ | {"PERIDOTYARD_NODE_FILE": str(self._path)},
                stdout=log,
                stderr=log,
            )
        with trio.fail_after(START_LIMIT_S):
            while await self.send_ordinary() != 200:
                await trio.sleep(0.1)
        nursery.start_soon(self._watch)

    def stop(self) -> None:
        """Ends the process of the entry."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def is_running(self) -> bool:
        """Returns whether the process of the entry still runs."""
        return self._process.poll() is None

    def make_head(self, framing: str, target: str = "/look/x") -> bytes:
        """Returns the head of a request with a new id.

        Args:
            framing: Further header lines, such as the length of the body.
            target: Path of the request.
        """
        lines = [
            f"POST {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Api-Key: {KEY}",
            f"X-Attempt-Id: {next(self._numbers):016x}",
            "X-Deadline-Ms: 30000",
            framing,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def send_ordinary(self) -> int:
        """Sends a small request; returns its status, 0 without an answer."""
        head = self.make_head("Content-Length: 2\r\nConnection: close")
        data = b""
        with trio.move_on_after(ANSWER_LIMIT_S):
            try:
                stream = await open_stream(self.callers)
                async with stream:
                    await stream.send_all(head + b"{}")
                    while part := await stream.receive_some():
                        data += part
            except (OSError, trio.BrokenResourceError):
                # The entry does not listen yet, or has closed the connection.
                pass
        line = data.partition(b"\r\n")[0].split(b" ")
        return int(line[1]) if len(line) > 1 else 0

    async def _watch(self) -> None:
        """Samples what the process uses until cancelled."""
        while self.is_running():
            self.sample()
            await trio.sleep(SAMPLE_INTERVAL_S)

    def sample(self) -> None:
        """Reads what the process uses now."""
        folder = pathlib.Path(f"/proc/{self._process.pid}")
        with contextlib.suppress(OSError):
            status = (folder / "status").read_text()
            peak = status.partition("VmHWM:")[2].split()[0]
            usage = self.usage
            usage.memory_mb = max(usage.memory_mb, int(peak) / 1024)
            count = len(list((folder / "fd").iterdir()))
            usage.descriptors = max(usage.descriptors, count)
            unread_mb = count_unread(self.callers) / (1 << 20)
            usage.unread_mb = max(usage.unread_mb, unread_mb)


def count_unread(address: addresses.Address) -> int:
    """Returns the received bytes that the owner of an address has not read."""
    octets = bytes(int(part) for part in address.host.split("."))
    host = int.from_bytes(octets, sys.byteorder)
    local = f"{host:08X}:{address.port:04X}"
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The listening socket, in state 0A, counts its queue of connections.
        if fields[1] == local and fields[3] != "0A":
            total += int(fields[4].partition(":")[2], 16)
    return total


async def open_stream(address: addresses.Address) -> trio.SocketStream:
    """Opens a connection to the entry."""
    return await trio.open_tcp_stream(address.host, address.port)


Pieces = collections.abc.Iterable[bytes]


async def send_crowd(
    system: System,
    make_pieces: collections.abc.Callable[[], Pieces],
    nursery: trio.Nursery,
    count: int = CROWD,
) -> None:
    """Connects clients that send and then stay open without reading.

    Returns when all have sent what they can, or after `SEND_LIMIT_S`.

    Args:
        system: The system.
        make_pieces: Returns what one client sends.
        nursery: Runs the clients; they leave when it is cancelled.
        count: Number of clients.
    """
    finished = 0
    all_finished = trio.Event()

    async def run() -> None:
        nonlocal finished
        stream = None
        try:
            stream = await open_stream(system.callers)
            for piece in make_pieces():
                await stream.send_all(piece)
        except (OSError, trio.BrokenResourceError):
            # The entry has closed the connection, which is allowed.
            pass
        finally:
            finished += 1
            if finished == count:
                all_finished.set()
        await trio.sleep_forever()
        del stream

    for _ in range(count):
        nursery.start_soon(run)
    with trio.move_on_after(SEND_LIMIT_S):
        await all_finished.wait()


def make_chunk(data: bytes) -> bytes:
    """Returns a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
