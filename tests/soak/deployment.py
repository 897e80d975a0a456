"""The soak's deployment: entries as processes, stand-ins behind proxies."""

import dataclasses
import itertools
import json
import os
import pathlib
import random as random_module
import signal
import subprocess
import sys
import time

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_daemon.connection import upstreams
import trio
import yaml

from tests.soak import proxies
from tests.soak import stand_ins
from tests.support import platform_store
from tests.support import rows
from tests.support import servers as servers_module

ENTRIES = 3
ZONES = ("a", "b")
MODEL_SERVERS = 8
PLAIN_SERVERS = 3
GRACE_S = 4.0
# Limit for three processes that start in parallel; each takes half a second on
# an idle core.
START_LIMIT_S = 20.0
# A running entry responds within milliseconds; a paused one does not.
FETCH_TIMEOUT_S = 0.25
HOST = "api.example"
# Name, kind, service and further fields of each route. Calls of "look" are
# idempotent, those of "book" non-idempotent.
ROUTES = (
    ("chat", "streaming", "model", {"resumable": True, "gapAimMs": 200}),
    ("look", "safe", "ledger", {}),
    ("book", "unsafe", "ledger", {}),
)


class Deployment:
    """Processes and stand-ins, owned by one run of the soak.

    Attributes:
        models: Model servers by the address that entries know.
        plain: Plain servers by the address that entries know.
        all_servers: All servers, including ended ones.
        proxies: Proxies by the address that entries know.
        store_proxy: Proxy of the store.
        rows: The store.
        written_at: Time at which each version of the configuration was written.
        disturbed_until: Time until which an entry, or "store", is under a
            fault.
        starts: How often each entry was started.
        stopping: Entries that the soak has stopped and not yet restarted.
        problems: Violated guarantees, as text.
    """

    def __init__(self, random: random_module.Random, folder: pathlib.Path):
        self.random = random
        self._folder = folder
        # Each run has its own range of loopback addresses, so that concurrent
        # runs on one machine do not collide.
        self._address_prefix = (
            f"127.{64 + os.getpid() % 128}.{random.randrange(256)}"
        )
        self._listeners = proxies.Listeners()
        self._numbers = itertools.count(1)
        self._nursery: trio.Nursery | None = None
        self._processes: dict[int, subprocess.Popen] = {}
        self.stopping: set[int] = set()
        self.starts = dict.fromkeys(range(ENTRIES), 0)
        self.rows = platform_store.StandIn()
        self.models: dict[str, stand_ins.ModelServer] = {}
        self.plain: dict[str, servers_module.StandIn] = {}
        self.all_servers: list[servers_module.StandIn] = []
        self.proxies: dict[str, proxies.Proxy] = {}
        self.written_at: dict[int, float] = {}
        self._routing_value = b""
        self._heartbeats = itertools.count(1)
        # Instances whose rows were written as those of leaving servers.
        self._leaving: set[str] = set()
        self.disturbed_until: dict[str, float] = {}
        self.problems: list[str] = []
        self.store_proxy: proxies.Proxy | None = None

    async def start(self, nursery: trio.Nursery) -> None:
        """Starts stand-ins and entries, and waits until entries are ready."""
        self._nursery = nursery
        store = addresses.Address(f"{self._address_prefix}.2", 8000)
        listen_address = addresses.Address(f"{self._address_prefix}.1", 8000)
        self._listeners.listen_addresses[platform_store.ADDRESS] = (
            listen_address
        )
        self.rows.join(self._listeners, nursery)
        self.store_proxy = await self._open_proxy(store, listen_address)
        self.write_routing()
        for number in range(MODEL_SERVERS):
            await self.add_model(ZONES[number % len(ZONES)])
        for number in range(PLAIN_SERVERS):
            await self._add_plain(ZONES[number % len(ZONES)])
        for number in range(ENTRIES):
            self._write_settings(number, 0)
            self.start_entry(number)
        for number in range(ENTRIES):
            await self._wait_until_ready(number)

    def stop(self) -> None:
        """Ends the processes that this run started."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()

    # Processes of the entries.

    def make_entry_address(
        self, number: int, port: int = 80
    ) -> addresses.Address:
        """Returns an address of an entry.

        Args:
            number: Index of the entry.
            port: Port number minus 8000: 80 for callers, 81 for readiness, 82
                for other entries.
        """
        return addresses.Address(
            f"{self._address_prefix}.{10 + number}", 8000 + port
        )

    def start_entry(self, number: int) -> None:
        """Starts the process of an entry."""
        log = (self._folder / f"entry-{number}.log").open("ab")
        variables = {
            "PERIDOTYARD_NODE_FILE": str(self._make_settings_path(number))
        }
        self.stopping.discard(number)
        self.starts[number] += 1
        self._processes[number] = subprocess.Popen(
            [sys.executable, "-m", "peridotyard_platform"],
            env=os.environ | variables,
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal_entry(self, number: int, signal_number: signal.Signals) -> None:
        """Sends a signal to the process of an entry, if it runs."""
        if self._processes[number].poll() is None:
            self._processes[number].send_signal(signal_number)

    async def wait_for_exit(self, number: int, limit_s: float) -> int | None:
        """Returns the exit status of an entry; None if it still runs."""
        with trio.move_on_after(limit_s):
            while self._processes[number].poll() is None:
                await trio.sleep(0.05)
        return self._processes[number].poll()

    def check_processes(self) -> None:
        """Reports entries that exited unexpectedly."""
        for number, process in self._processes.items():
            if process.poll() is not None and number not in self.stopping:
                self.stopping.add(number)
                self.problems.append(
                    f"entry {number} exited unexpectedly: {process.returncode}"
                )

    async def fetch(
        self, address: addresses.Address, target: str
    ) -> tuple[int, bytes] | None:
        """Sends a GET on a new connection; returns None without a response."""
        pool = upstreams.Pool(upstreams.open_tcp)
        outcome = await pool.try_fetch(
            address, "GET", target, timeout_s=FETCH_TIMEOUT_S
        )
        pool.close_idle(address)
        return outcome.map(lambda r: (r.status, r.body)).value_or(None)

    def reload_entry(self, number: int) -> None:
        """Changes the settings file of an entry and sends it SIGHUP."""
        self._write_settings(number, self.random.randrange(1, 100))
        self.signal_entry(number, signal.SIGHUP)

    def _make_settings_path(self, number: int) -> pathlib.Path:
        return self._folder / f"entry-{number}.yaml"

    def _write_settings(self, number: int, extra_reserve: int) -> None:
        """Writes the settings file of an entry.

        Args:
            number: Index of the entry.
            extra_reserve: Added to the reserve of the retry budget, so that a
                reloaded file differs from the one before.
        """
        host = self.make_entry_address(number).host
        values = {
            "node": f"entry-{number}",
            "ip": host,
            "zone": ZONES[number % len(ZONES)],
            "listen": {
                "front": str(self.make_entry_address(number, 80)),
                "ready": str(self.make_entry_address(number, 81)),
                "control": str(self.make_entry_address(number, 82)),
            },
            "seeds": [str(self.make_entry_address(0, 82))],
            "bounds": {
                "graceS": GRACE_S,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtra": 200 + extra_reserve,
                "stall_ms": 1000 * stand_ins.STALL_S,
            },
            "provider": {"address": str(self.store_proxy.address)},
        }
        path = self._make_settings_path(number)
        temporary = path.with_suffix(".new")
        temporary.write_text(yaml.safe_dump(values))
        temporary.rename(path)

    async def _wait_until_ready(self, number: int) -> None:
        address = self.make_entry_address(number, 81)
        with trio.fail_after(START_LIMIT_S):
            while True:
                response = await self.fetch(address, "/readiness")
                if response is not None and response[0] == 200:
                    return
                await trio.sleep(0.1)

    # Stand-ins for the store and the servers.

    def write_routing(self) -> int:
        """Writes the next version of the configuration and returns it."""
        version = max(self.written_at, default=0) + self.random.randrange(1, 4)
        engine = rows.make_engine(stand_ins.LAYERS, 18000)
        value = {
            "version": version,
            "routes": [
                {
                    "name": name,
                    "host": HOST,
                    "prefix": f"/{name}/",
                    "kind": kind,
                    "timeoutMs": 6000,
                    "targetLatencyMs": 500,
                    "service": service,
                    "maxAttempts": 2,
                }
                | more
                for name, kind, service, more in ROUTES
            ],
            "services": [
                {"name": "model", "engine": engine},
                {"name": "ledger"},
            ],
            "tenants": [{"name": "north", "apiKeys": ["key", f"k{version}"]}],
        }
        self._routing_value = json.dumps(value).encode()
        self.rows.put("op", "config", self._routing_value)
        self.written_at[version] = time.monotonic()
        return version

    async def add_model(self, zone: str) -> None:
        """Starts a model server without layers, behind a proxy."""
        server = self._make_server("model", zone, "wide")
        item = stand_ins.ModelServer(server, self.models, self.problems)
        self.models[str(server.address)] = item
        await self._add(item)

    async def _add_plain(self, zone: str) -> None:
        server = self._make_server("ledger", zone, "")
        item = servers_module.StandIn(server)
        self.plain[str(server.address)] = item
        await self._add(item)

    def _make_server(
        self, service: str, zone: str, accelerator_type: str
    ) -> fleet.Server:
        number = next(self._numbers)
        address = addresses.Address(
            f"{self._address_prefix}.{100 + number}", 8080
        )
        listen_address = addresses.Address(
            f"{self._address_prefix}.{100 + number}", 8081
        )
        self._listeners.listen_addresses[address] = listen_address
        return fleet.Server(
            instance=f"i-{number}",
            service=service,
            address=address,
            zone=zone,
            slots=96 if accelerator_type else 6,
            ready=True,
            layer_range=None,
            accelerator_type=accelerator_type,
            revision=0,
            started_at_ms=int(1000 * time.time()) + number,
        )

    async def _add(self, item: servers_module.StandIn) -> None:
        address = item.server.address
        listen_address = self._listeners.listen_addresses[address]
        self.proxies[str(address)] = await self._open_proxy(
            address, listen_address
        )
        self.all_servers.append(item)
        item.join(self._listeners, self._nursery)
        self.write_server_row(item, ready=True)

    async def _open_proxy(self, address, listen_address) -> proxies.Proxy:
        proxy = proxies.Proxy(address, listen_address)
        await self._nursery.start(proxy.run)
        return proxy

    def write_server_row(
        self, item: servers_module.StandIn, ready: bool
    ) -> None:
        """Writes the row of a server to the store."""
        if not ready:
            self._leaving.add(item.server.instance)
        server = dataclasses.replace(
            item.server, ready=ready, heartbeats=next(self._heartbeats)
        )
        self.rows.put("servers", server.instance, rows.encode_server(server))

    def restore_store(self, saved: tuple) -> None:
        """Restores the store from a copy.

        Operator and servers write again what they have written, and the rows of
        ended servers are deleted again.

        Args:
            saved: The copy, see `platform_store.StandIn.copy`.
        """
        self.rows.restore(saved)
        self.rows.put("op", "config", self._routing_value)
        current = [*self.models.values(), *self.plain.values()]
        names = {item.server.instance for item in current}
        for table, key in list(self.rows.rows):
            if table == "servers" and key not in names:
                self.rows.put(table, key, None)
        for item in current:
            is_leaving = item.server.instance in self._leaving
            self.write_server_row(item, ready=not is_leaving)

    def end_model(self, address: str) -> None:
        """Ends a model server, as a crash does."""
        item = self.models.pop(address)
        item.is_alive = False
        self._listeners.stop_serving(address)

    def delete_server_row(self, item: servers_module.StandIn) -> None:
        """Deletes the row of a server from the store."""
        self.rows.put("servers", item.server.instance, None)
