"""A small deployment: the project's entries as processes, and stand-ins."""

import asyncio
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

from support import records
from support import stores

# The scripts run at the root of the repository.
REPOSITORY = pathlib.Path.cwd()
HOST = "api.example"
HEARTBEAT_MS = 1200
# Bounds of the small installations, in the names of the users' pages.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 202,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 2500,
    "requireFence": False,
}
# Time until the platform starts a process again that has ended.
RESTART_S = 0.5
START_LIMIT_S = 30.0


class CannotRunError(Exception):
    """The case could not run; it shows nothing."""


@dataclasses.dataclass
class Entry:
    """One process of the system on its machine.

    Attributes:
        name: Name of the machine.
        callers: Address for callers.
        readiness: Address of the platform's readiness checks.
        settings: Path of the settings file.
        process: The running process.
        ends: Times at which the process has ended by itself, seconds.
    """

    name: str
    callers: str
    readiness: str
    settings: pathlib.Path
    process: subprocess.Popen | None = None
    ends: list[float] = dataclasses.field(default_factory=list)


class Deployment:
    """The entries of a deployment and its store, owned by one case.

    Attributes:
        record: What was sent, answered and run.
        store: The platform's store.
        entries: The entries, by increasing address.
    """

    def __init__(self, record: records.Record, count: int):
        self.record = record
        self.store = stores.Store()
        self.entries: list[Entry] = []
        self._count = count
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = _choose_prefix()
        self._command = _read_command()
        self._hosts = 100
        self._watch: asyncio.Task | None = None

    def make_address(self) -> str:
        """Returns a free loopback address of a machine of its own."""
        self._hosts += 1
        host = f"{self._prefix}.{self._hosts}"
        return f"{host}:{_find_port(host)}"

    async def start(self) -> None:
        """Starts the store and the entries."""
        host = f"{self._prefix}.2"
        port = _find_port(host)
        await self.store.start(host, port)
        hosts = [f"{self._prefix}.{10 + n}" for n in range(self._count)]
        ports = {name: [_find_port(h) for h in hosts] for name in _SERVED}
        seeds = [
            f"{h}:{p}" for h, p in zip(hosts, ports["control"], strict=True)
        ]
        for number, own in enumerate(hosts):
            listen = {name: f"{own}:{ports[name][number]}" for name in _SERVED}
            name = f"front-{number + 1}"
            path = self._folder / f"{name}.yaml"
            values = _make_settings(name, own, listen, seeds, f"{host}:{port}")
            # Each JSON text is a YAML text as well.
            path.write_text(json.dumps(values), encoding="utf-8")
            entry = Entry(name, listen["front"], listen["ready"], path)
            self.entries.append(entry)
            self._start_process(entry)
        self._watch = asyncio.create_task(self._restart_ended())
        for entry in self.entries:
            await self._wait_ready(entry)

    def stop(self) -> None:
        """Ends all processes that this deployment has started."""
        if self._watch is not None:
            self._watch.cancel()
        for entry in self.entries:
            process = entry.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs are in {self._folder}")
        else:
            shutil.rmtree(self._folder, ignore_errors=True)

    def send_signal(self, entry: Entry, number: signal.Signals) -> float:
        """Sends a signal to the process of an entry; returns the time."""
        entry.process.send_signal(number)
        return self.record.write("signal", entry=entry.name, signal=number.name)

    def write_configuration(self, version: int, **fields) -> float:
        """Writes a configuration as the operator; returns the ack's time."""
        value = {
            "version": version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        } | fields
        self.store.put("op", "config", json.dumps(value).encode())
        return self.record.write("configuration", version=version)

    def _start_process(self, entry: Entry) -> None:
        names = ("PATH", "HOME", "LANG")
        variables = {n: os.environ[n] for n in names if n in os.environ}
        variables["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        variables["PERIDOTYARD_NODE_FILE"] = str(entry.settings)
        with (self._folder / f"{entry.name}.log").open("ab") as log:
            entry.process = subprocess.Popen(
                self._command,
                cwd=REPOSITORY,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("entry started", entry=entry.name)

    async def _restart_ended(self) -> None:
        """Starts ended processes again, as the platform does."""
        while True:
            await asyncio.sleep(0.02)
            for entry in self.entries:
                status = entry.process.poll()
                if status is None:
                    continue
                entry.ends.append(self.record.get_time_s())
                self.record.write(
                    "entry ended", entry=entry.name, status=status
                )
                await asyncio.sleep(RESTART_S)
                self._start_process(entry)

    async def _wait_ready(self, entry: Entry) -> None:
        host, _, port = entry.readiness.rpartition(":")
        until = self.record.get_time_s() + START_LIMIT_S
        while self.record.get_time_s() < until:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if b" 200" in line:
                    return
            except (OSError, asyncio.TimeoutError):
                # It does not listen yet.
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{entry.name} does not get ready")


_SERVED = ("front", "ready", "control")


def _make_settings(
    name: str, host: str, listen: dict, seeds: list[str], store: str
) -> dict:
    """Returns the settings file of an entry, as the users' pages tell it."""
    return {
        "node": name,
        "role": "entry",
        "machineClass": "front",
        "serves": ["front", "control"],
        "ip": host,
        "zone": "superior-north",
        "region": "great-lakes",
        "zones": {"superior-north": "great-lakes"},
        "listen": listen,
        "internalPorts": [7340, 7355],
        "seeds": seeds[:3],
        "bootstrap": True,
        "inTolerance": False,
        "limits": {
            "cpuShare": 0.817,
            "cores": 1,
            "memoryMb": 300,
            "maxFds": 4100,
            "linkMbps": 1000.0,
            "diskMb": 0,
        },
        "dataDir": None,
        "discovery": "platform",
        "entry": "vip",
        "heartbeatMs": HEARTBEAT_MS,
        "bounds": BOUNDS,
        "provider": {
            "address": store,
            "form": "table",
            "writesPerS": 400,
            "readsPerS": 2000,
            "txMs": 8.0,
            "partWritesS": 150,
            "rowBytes": 65536,
            "across": False,
            "historyS": 20,
        },
    }


def _read_command() -> list[str]:
    """Returns the words with which the deploy file starts an entry."""
    if not (REPOSITORY / "target" / "deps" / "peridotyard_platform").is_dir():
        raise CannotRunError("target/deps is missing: sh deploy/build.sh")
    with (REPOSITORY / "deploy" / "system.toml").open("rb") as file:
        program, *words = tomllib.load(file)["roles"]["entry"]["run"].split()
    # The interpreter for which the deploy file's build has made target/deps.
    return [os.environ.get("PYTHON", program), *words]


def _choose_prefix() -> str:
    """Returns the first three numbers of loopback addresses for this run."""
    return f"127.{random.randrange(64, 192)}.{random.randrange(256)}"


def _find_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]
