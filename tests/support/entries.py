"""An entry with scripted sidecars, and requests to its ASGI application."""

import contextlib
import functools
import inspect
import json
import random
import types
from unittest import mock

from peridotyard_core import addresses
from peridotyard_core import membership
from peridotyard_core import settings
from peridotyard_daemon.process import entry
from peridotyard_daemon.process import metrics
import trio

from tests.support import memory
from tests.support import sidecars
from tests.support import virtual_clock

KEY = "k-north"
WORKSPACE = types.SimpleNamespace(
    name="north", models=("peri",), adapters=(), priority="normal", weight=1.0
)
MODEL = types.SimpleNamespace(
    name="peri",
    version="1",
    layers=4,
    adapters=("tidal",),
    max_tokens=64,
    context_tokens=128,
)


# Replaces a `version.catalog.Catalog`.
CATALOG = types.SimpleNamespace(
    revision=1,
    authenticate={KEY: WORKSPACE}.get,
    find_workspace={"north": WORKSPACE}.get,
    find_model={"peri": MODEL}.get,
)
# Replaces a `version.replication.Replicator`.
REPLICATOR = mock.Mock(
    catalog=CATALOG,
    run=trio.sleep_forever,
    confirmed_age_s=0.5,
    **{"handle_frame.return_value": False},
)


class Caller:
    """One request to an entry, with the ASGI messages of its response.

    Attributes:
        scope: ASGI scope of the request.
        messages: Messages that the entry has sent.
        write_delay_s: Seconds until the caller has received a message.
    """

    def __init__(self, path, value=None, *, method="POST", key=KEY, raw=None):
        body = json.dumps(value).encode() if raw is None else raw
        headers = [(b"x-request-id", b"r-1")]
        if key:
            headers.append((b"authorization", f"Bearer {key}".encode()))
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": headers,
        }
        self._arrivals = [{"type": "http.request", "body": body}]
        self._disconnected = trio.Event()
        self.write_delay_s = 0.0
        self.messages = []

    async def receive(self):
        if self._arrivals:
            return self._arrivals.pop()
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        await trio.sleep(self.write_delay_s)
        self.messages.append(message)

    def disconnect(self):
        self._disconnected.set()

    @property
    def status(self):
        return self.messages[0]["status"]

    @property
    def headers(self):
        return dict(self.messages[0]["headers"])

    @property
    def body(self):
        return b"".join(item.get("body", b"") for item in self.messages)

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def events(self):
        return [
            line[6:]
            for line in self.body.decode().split("\n\n")
            if line.startswith("data: ")
        ]

    @property
    def text(self):
        """Text of a streamed completion."""
        values = [json.loads(e) for e in self.events if e != "[DONE]"]
        return "".join(
            value["choices"][0]["text"]
            for value in values
            if value.get("choices")
        )


class Cluster:
    """An entry on a memory network, with one sidecar per layer range.

    Attributes:
        network: Network of the entry and the sidecars.
        settings: Settings of the entry.
        sidecars: Sidecars in the order of their layer ranges.
        instances: Instance list that the entry reads.
        entry: The entry.
        nursery: Runs the entry, the sidecars and calls of `start_call`.
    """

    def __init__(self, ranges, **options):
        self.network = memory.MemoryNetwork()
        self.settings = settings.EntrySettings(
            **make_defaults()
            | {
                "instance": "e1",
                "zone": "ham",
                "peer_address": addresses.Address("10.0.0.2", 1),
                "caller_address": addresses.Address("10.0.0.2", 2),
                "admin_address": addresses.Address("10.0.0.2", 3),
                "first_token_s": 1.0,
                "stall_s": 0.5,
                "open_timeout_s": 0.3,
            }
            | options
        )
        self.sidecars = [
            sidecars.Sidecar(self.network, number, *layers)
            for number, layers in enumerate(ranges, 1)
        ]
        self.instances = [
            membership.Instance(
                item.name, "ham", "sidecar", str(item.address), "live"
            )
            for item in self.sidecars
        ]
        self.entry = entry.Entry(
            self.settings,
            self.network.join(str(self.settings.peer_address)),
            REPLICATOR,
            metrics=metrics.Metrics(None, 1.0),
            random=random.Random(1),
            list_instances=self._list_instances,
        )

    async def _list_instances(self):
        return self.instances

    @contextlib.asynccontextmanager
    async def start(self):
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for item in self.sidecars:
                await nursery.start(item.run)
            await nursery.start(self.entry.run, serve_nothing)
            await trio.sleep(0.1)
            yield self
            nursery.cancel_scope.cancel()

    async def call(self, caller):
        await self.entry.handle_caller(
            caller.scope, caller.receive, caller.send
        )
        return caller

    def start_call(self, caller):
        self.nursery.start_soon(self.call, caller)
        return caller

    def make_completion(self, count=20, **fields):
        value = {"model": "peri", "prompt": "abc", "seed": 7}
        value |= {"max_tokens": count, "stream": True} | fields
        return Caller("/v1/completions", value)


def with_cluster(*ranges, **options):
    """Returns a decorator for tests whose first argument is a cluster.

    Args:
        *ranges: Layer range of each sidecar: first layer, layer after the last.
        **options: Settings of the entry.
    """

    def decorate(check):
        async def start(arguments):
            cluster = Cluster(ranges, **options)
            async with cluster.start():
                await check(cluster, **arguments)

        @functools.wraps(check)
        def test(**arguments):
            virtual_clock.run(start, arguments)

        signature = inspect.signature(check)
        _, *others = signature.parameters.values()
        test.__signature__ = signature.replace(parameters=others)
        return test

    return decorate


async def serve_nothing(
    app,
    address,
    stopped,
    *,
    limits,
    count,
    task_status=trio.TASK_STATUS_IGNORED,
):
    task_status.started()
    await stopped.wait()


def make_defaults():
    table = settings.options.list_options(settings.EntrySettings)
    return {name: option.default for name, option in table.items()}
