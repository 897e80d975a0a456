"""Deployments of entries with emulated servers and an emulated store."""

import contextlib
import dataclasses
import json
import random

from peridotyard_core import addresses
from peridotyard_daemon.process import gateway
from peridotyard_platform import codec
from peridotyard_platform import schema
from peridotyard_platform import store
import trio
import trio.testing

from tests.support import gateways
from tests.support import memory
from tests.support import platform_store
from tests.support import rows as rows_module
from tests.support import servers as servers_module

LAYERS = 20


def make_settings(number: int, seeds=()) -> gateway.Settings:
    """Returns the settings of an entry from its number."""
    host = f"10.1.0.{number}"
    return gateway.Settings(
        instance=f"front-{number}",
        zone="a",
        callers=addresses.Address(host, 80),
        readiness=addresses.Address(host, 81),
        peers=addresses.Address(host, 82),
        seeds=tuple(addresses.Address(f"10.1.0.{n}", 82) for n in seeds),
        metrics=addresses.Address(host, 83),
        grace_s=8.0,
        retry_fraction=0.2,
        retry_reserve=200,
        retry_window_s=10,
    )


def encode_routing(
    version, key="key-1", kind="streaming", objective_s=0.5, **changes
):
    """Returns a configuration as the store holds it.

    Args:
        version: Its version.
        key: API key of the only tenant.
        kind: Kind of the route to the plain servers; there is none if it is
            "streaming".
        objective_s: Latency objective of that route, seconds.
        **changes: Fields that are added or replaced.
    """
    value = {
        "version": version,
        "routes": [
            {
                "name": "chat",
                "host": "api.example",
                "prefix": "/chat/",
                "kind": "streaming",
                "timeoutMs": 20000,
                "targetLatencyMs": 500,
                "gapAimMs": 200,
                "service": "model",
                "maxAttempts": 2,
                "resumable": True,
            }
        ],
        "services": [
            {"name": "model", "engine": rows_module.make_engine(LAYERS, 22000)}
        ],
        "tenants": [{"name": "north", "apiKeys": [key]}],
    }
    if kind != "streaming":
        value["routes"].append(
            {
                "name": "ledger",
                "host": "api.example",
                "prefix": "/ledger/",
                "kind": kind,
                "timeoutMs": 20000,
                "targetLatencyMs": round(1000 * objective_s),
                "service": gateways.PLAIN_SERVICE,
                "maxAttempts": 2,
            }
        )
        value["services"].append({"name": gateways.PLAIN_SERVICE})
    return json.dumps(value | changes).encode()


@dataclasses.dataclass
class Deployment:
    """Entries in front of emulated servers and an emulated store."""

    network: memory.MemoryNetwork
    rows: platform_store.StandIn
    servers: dict
    entries: list
    nursery: trio.Nursery

    async def call(
        self, number=1, target="/chat/x", key="key-1", port=80, prompt=""
    ):
        """Returns the response to one request on a new connection.

        Args:
            number: Number of the entry.
            target: Path of the request.
            key: API key.
            port: Port of the entry.
            prompt: Parts of the prompt.
        """
        address = addresses.Address(f"10.1.0.{number}", port)
        stream = await self.network.join("caller").dial(address)
        await stream.send_all(
            f"POST {target} HTTP/1.1\r\nHost: api.example\r\n"
            f"X-Attempt-Id: r1\r\nApi-Key: {key}\r\n"
            f"X-Prompt-Prefix: {prompt}\r\n"
            "X-Deadline-Ms: 20000\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        data = b""
        while chunk := await stream.receive_some():
            data += chunk
        return data

    def start_entry(self, number: int, seeds=()) -> None:
        """Starts an entry.

        Args:
            number: Its number, which must be the next one.
            seeds: Numbers of the entries that its settings name.
        """
        host = _OneHost(self.network, f"10.1.0.{number}")
        entry = gateway.Gateway(
            make_settings(number, seeds),
            store.PlatformStore(platform_store.ADDRESS, host.dial),
            schema.Schema(2.5),
            codec.Codec(),
            random.Random(number),
            host.dial,
            host,
            clock=trio.current_time,
        )
        self.entries.append(entry)
        self.nursery.start_soon(entry.run)

    def check_errors(self) -> None:
        """Checks that the entries have contained no internal errors."""
        for entry in self.entries:
            assert "internal_errors" not in entry.context.metrics.render()

    def find_holder(self) -> int:
        """Returns the number of the entry that holds the lease."""
        return next(
            number
            for number, entry in enumerate(self.entries, 1)
            if entry._presence.is_lease_holder()
        )

    def isolate(self, number: int) -> None:
        """Partitions an entry from all other entries."""
        for other in range(1, len(self.entries) + 1):
            if other != number:
                self.network.partition(f"10.1.0.{number}", f"10.1.0.{other}:82")
                self.network.partition(f"10.1.0.{other}", f"10.1.0.{number}:82")

    def cut_from_store(self, number: int) -> None:
        """Partitions an entry from the store."""
        self.network.partition(f"10.1.0.{number}", str(platform_store.ADDRESS))


class _OneHost:
    """Network of one instance with several addresses and one source host."""

    def __init__(self, network, host):
        self._network = network
        self.dial = network.join(host).dial

    async def serve(
        self, address, handler, task_status=trio.TASK_STATUS_IGNORED
    ):
        await self._network.join(str(address)).serve(
            address, handler, task_status
        )


@contextlib.asynccontextmanager
async def open_deployment(
    entries=1,
    server_layers=None,
    plain_servers=0,
    expects_errors: bool = False,
):
    """Runs entries and stand-ins, and yields a `Deployment`.

    Entries contain internal errors, so it checks at the end that there were
    none.

    Args:
        entries: Number of entries.
        server_layers: Name, zone and layer range of each server.
        plain_servers: Number of servers of the plain service.
        expects_errors: Whether the test causes internal errors.
    """
    network = memory.MemoryNetwork()
    rows = platform_store.StandIn()
    servers = gateways.make_servers(
        server_layers or [("x", "a", (0, 10)), ("y", "a", (10, 20))]
    )
    servers += gateways.make_plain_servers(plain_servers)
    async with trio.open_nursery() as nursery:
        rows.join(network, nursery)
        rows.put("op", "config", encode_routing(3))
        stand_ins = {}
        for server in servers:
            rows.put(
                "servers", server.instance, rows_module.encode_server(server)
            )
            stand_ins[server.instance] = servers_module.StandIn(server)
            stand_ins[server.instance].join(network, nursery)
        deployment = Deployment(network, rows, stand_ins, [], nursery)
        for number in range(1, entries + 1):
            deployment.start_entry(number)
        await trio.sleep(1)
        yield deployment
        if not expects_errors:
            deployment.check_errors()
        nursery.cancel_scope.cancel()
