"""Stand-ins for the platform, its servers and requesters, and entry processes.

They use the standard library alone. Each run has loopback addresses of its own.
Times are those of `time.monotonic`, in seconds.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "api.example"
KEY = "key-north"
# Rows of one response of the store, and the time that it takes to respond.
PAGE_ROWS = 500
ANSWER_S = 0.004
# Bounds of the installation in girthline.toml, seconds.
CONTACT_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8


@dataclasses.dataclass
class Message:
    """An HTTP request or response.

    Attributes:
        start: The first line.
        headers: Values by name in lower case.
        body: The complete body.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a message with a length; returns None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        return Message(start, headers, await reader.readexactly(length))
    except (OSError, asyncio.IncompleteReadError):
        return None


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a response with its length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Listener:
    """Serves HTTP at one address; a subclass answers the requests."""

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as the platform states it."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )

    def stop(self) -> None:
        """Ends the listener and resets its channels, as a process end does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self.answer(message))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, message: Message) -> bytes:
        """Returns the complete response."""
        raise NotImplementedError


class Store(Listener):
    """The platform's store, with its rows and history in memory."""

    def __init__(self, host: str):
        super().__init__(host, 8000)
        self.version = 1
        self.rows: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._history: list[tuple[int, str, str]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: bytes | None) -> float:
        """Writes a row, or drops it; returns the time of the ack."""
        self.version += 1
        rows = self.rows.setdefault(table, {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (self.version, value)
        self._history.append((self.version, table, key))
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def answer(self, message: Message) -> bytes:
        """Answers a call after the usual time."""
        method, target, _ = message.start.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(ANSWER_S)
        status, value = 404, {}
        if (method, path) == ("GET", "/rows-get"):
            status, value = 200, self._get(fields)
        elif (method, path) == ("GET", "/rows-feed"):
            status, value = 200, await self._feed(fields)
        elif (method, path) == ("POST", "/rows-tx"):
            status, value = self._commit(json.loads(message.body))
        value |= {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}
        headers = {"Content-Type": "application/json"}
        return encode_response(status, headers, json.dumps(value).encode())

    def _render(self, table: str, key: str) -> dict:
        row = {"table": table, "part": "", "key": key}
        found = self.rows.get(table, {}).get(key)
        if found is None:
            return row | {"ver": 0}
        value = base64.b64encode(found[1]).decode()
        return row | {"ver": found[0], "value": value}

    def _get(self, fields: dict) -> dict:
        table, begin = fields["table"], fields.get("from", "")
        limit = min(PAGE_ROWS, int(fields.get("limit", PAGE_ROWS)))
        keys = sorted(k for k in self.rows.get(table, {}) if k >= begin)
        rows = [self._render(table, key) for key in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit}

    async def _feed(self, fields: dict) -> dict:
        table, after = fields["table"], int(fields["after"])
        until = time.monotonic() + int(fields["waitMs"]) / 1000
        while not (changes := self._list_changes(table, after)):
            wait_s = until - time.monotonic()
            if wait_s <= 0:
                break
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        return {"rows": changes}

    def _list_changes(self, table: str, after: int) -> list[dict]:
        """Returns each row that has changed, as of its last change."""
        changed: dict[str, int] = {}
        for version, name, key in reversed(self._history):
            if version <= after:
                break
            if name == table and key not in changed:
                changed[key] = version
        rows = []
        for key, version in sorted(changed.items(), key=lambda item: item[1]):
            row = self._render(table, key)
            if not row["ver"]:
                row |= {"ver": version, "deleted": True}
            rows.append(row)
        return rows

    def _commit(self, call: dict) -> tuple[int, dict]:
        for item in call.get("expect", []):
            found = self._render(item["table"], item["key"])
            if found["ver"] != item["ver"]:
                return 412, {"rows": [found]}
        for item in call.get("writes", []):
            value = base64.b64decode(item["value"])
            self.put(item["table"], item["key"], value)
        for item in call.get("delete", []):
            self.put(item["table"], item["key"], None)
        return 200, {}


class PlainServer(Listener):
    """A server of a plain service, which answers after some milliseconds.

    Attributes:
        instance: Its id.
        arrivals: Time and attempt id of each request that it has run.
    """

    def __init__(self, host: str, port: int, instance: str, zone: str):
        super().__init__(host, port)
        self.instance = instance
        self.zone = zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_leaving = False
        self.arrivals: list[tuple[float, str]] = []

    def encode_row(self) -> bytes:
        """Returns the value of its row, with the next heartbeat."""
        self.sequence += 1
        fields = {
            "service": "ledger",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "draining" if self.is_leaving else "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        return json.dumps(fields).encode()

    async def answer(self, message: Message) -> bytes:
        """Runs a request."""
        name = message.headers.get("x-attempt-id", "")
        headers = {"X-Attempt-Id": name}
        if message.headers.get("x-expect-instance") != self.instance:
            return encode_response(421, headers | {"X-Not-Executed": "1"}, b"")
        self.arrivals.append((time.monotonic(), name))
        await asyncio.sleep(0.005)
        headers["X-Server-Signature"] = "receipt"
        if self.is_leaving:
            headers["Connection"] = "close"
        return encode_response(200, headers, f"answer to {name}".encode())


@dataclasses.dataclass
class Outcome:
    """A request of a requester and its answer.

    Attributes:
        name: Its attempt id.
        entry: Number of the entry that it was sent to.
        sent_at: Time at which it was sent.
        status: Status of the answer, 0 without one.
        ended_at: Time of the answer, or of the end of the channel.
        body: Body of the answer.
    """

    name: str
    entry: int
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    body: bytes = b""


class Deployment:
    """Entry processes and the addresses of a run.

    Attributes:
        folder: Temporary folder of the run.
        store_address: Address at which the entries find the store.
        started_at: Time of the last start of each entry.
        log: Lines of `record.txt`.
    """

    def __init__(self, case: pathlib.Path, entries: int):
        self._case = case
        self.prefix = f"127.{random.randrange(64, 250)}.{os.getpid() % 250}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.entries = entries
        self.store = Store(f"{self.prefix}.1")
        self.store_address = self.store.address
        self._processes: dict[int, subprocess.Popen] = {}
        self.started_at: dict[int, float] = {}
        self._starts: dict[int, list[float]] = {}
        self._signals: dict[int, list[float]] = {}
        self.began = time.monotonic()
        self.log: list[str] = []

    def record(self, text: str, at: float | None = None) -> None:
        """Adds a line with the time since the start of the run."""
        at = time.monotonic() if at is None else at
        self.log.append(f"{at - self.began:8.3f} {text}")

    def write_record(self, name: str = "record.txt") -> None:
        """Writes the record of the run into the folder of the case."""
        text = "\n".join(sorted(self.log, key=lambda line: float(line[:8])))
        (self._case / name).write_text(text + "\n")

    def get_host(self, number: int) -> str:
        """Returns the address of an entry's machine."""
        return f"{self.prefix}.{10 + number}"

    def write_settings(self, number: int) -> None:
        """Writes the settings file of an entry."""
        host = self.get_host(number)
        fields = {
            "node": f"front-a-{number}",
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ip": host,
            "zone": "superior-north",
            "region": "great-lakes",
            "zones": {"superior-north": "great-lakes"},
            "listen": {
                "front": f"{host}:8227",
                "ready": f"{host}:8220",
                "control": f"{host}:8229",
            },
            "internalPorts": [7340, 7355],
            "seeds": [f"{self.get_host(n)}:8229" for n in range(3)],
            "bootstrap": False,
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4100,
            },
            "heartbeatMs": 1200,
            "bounds": {
                "contactMs": 3000,
                "drainMs": 2000,
                "graceS": GRACE_S,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtra": 202,
                "stall_ms": 2500,
            },
            "provider": {"address": self.store_address, "historyS": 20},
        }
        # JSON is YAML as well.
        path = self.folder / f"settings-{number}.yaml"
        path.write_text(json.dumps(fields))

    def start_entry(self, number: int) -> None:
        """Starts an entry with the command of the deploy file."""
        self.write_settings(number)
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PERIDOTYARD_NODE_FILE"] = str(
            self.folder / f"settings-{number}.yaml"
        )
        with (self.folder / f"entry-{number}.log").open("ab") as output:
            self._processes[number] = subprocess.Popen(
                ["python3", "-m", "peridotyard_platform"],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.started_at[number] = time.monotonic()
        self._starts.setdefault(number, []).append(self.started_at[number])
        self.record(f"entry {number} started")

    def signal_entry(self, number: int, which: signal.Signals) -> None:
        """Sends a signal to an entry that this run has started."""
        self._signals.setdefault(number, []).append(time.monotonic())
        self._processes[number].send_signal(which)
        self.record(f"entry {number} gets {which.name}")

    def get_lifetimes(self, number: int) -> list[tuple[float, list[float]]]:
        """Returns each start of an entry, with the times of all signals."""
        signals = self._signals.get(number, [])
        return [(start, signals) for start in self._starts[number]]

    def poll_entry(self, number: int) -> int | None:
        """Returns the exit status of an entry, None while it runs."""
        return self._processes[number].poll()

    async def wait_exit(self, number: int) -> None:
        """Waits until an entry has ended."""
        while self.poll_entry(number) is None:
            await asyncio.sleep(0.01)

    async def wait_ready(self, number: int, limit_s: float = 20.0) -> bool:
        """Waits until an entry says that it is ready."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                answer = await asyncio.wait_for(
                    fetch(self.get_host(number), 8220, "/readiness"), 1.0
                )
                if answer is not None and answer.status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False

    def end(self) -> None:
        """Ends all processes of the run and removes its folder."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def send(
        self, number: int, name: str, target: str, limit_ms: int = 3000
    ) -> Outcome:
        """Sends a request to an entry on a new channel."""
        outcome = Outcome(name, number, time.monotonic())
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            answer = await asyncio.wait_for(
                fetch(
                    self.get_host(number),
                    8227,
                    target,
                    {
                        "X-Attempt-Id": name,
                        "X-Deadline-Ms": str(limit_ms),
                        "Api-Key": KEY,
                    },
                ),
                limit_ms / 1000,
            )
            if answer is not None:
                outcome.status, outcome.body = answer.status, answer.body
        outcome.ended_at = time.monotonic()
        return outcome


async def fetch(
    host: str, port: int, target: str, headers: dict[str, str] | None = None
) -> Message | None:
    """Sends a GET on a new channel; returns the response, None without one."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        lines = [f"GET {target} HTTP/1.1", f"Host: {HOST}"]
        lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        return await read_message(reader)
    finally:
        writer.close()


def make_configuration(version: int) -> bytes:
    """Returns a configuration with one service and two routes to it."""
    route = {
        "host": HOST,
        "service": "ledger",
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
    }
    fields = {
        "version": version,
        "routes": [
            route
            | {
                "name": "look",
                "prefix": "/look/",
                "kind": "safe",
                "maxAttempts": 2,
            },
            route
            | {
                "name": "book",
                "prefix": "/book/",
                "kind": "unsafe",
                "maxAttempts": 1,
            },
        ],
        "services": [
            {"name": "ledger", "maxConnections": 110, "healthPath": "/health"}
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "north", "apiKeys": [KEY]}],
    }
    return json.dumps(fields).encode()
