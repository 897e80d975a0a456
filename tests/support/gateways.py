"""The request path of a platform entry, with stand-ins for its servers.

Everything runs in memory.
"""

import contextlib
import dataclasses
import random

from peridotyard_core import addresses
from peridotyard_core import budgets
from peridotyard_core import fleet
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import demands
from peridotyard_daemon.process import metrics
from peridotyard_daemon.process import probes
from peridotyard_daemon.process import reservations
from peridotyard_daemon.process import statements
from peridotyard_daemon.process import views
from peridotyard_daemon.request import contexts
from peridotyard_platform import codec
import trio
import trio.testing

from tests.support import fleets
from tests.support import memory
from tests.support import servers as servers_module

HOST = "entry"
MODEL_SERVICE = "model"
PLAIN_SERVICE = "ledger"
ROUTE = fleet.Route(
    name="chat",
    host="api.example",
    prefix="/chat/",
    retry_policy=fleet.RetryPolicy.STREAM,
    timeout_s=20.0,
    latency_objective_s=0.5,
    event_gap_objective_s=0.2,
    priority=1,
    targets=((MODEL_SERVICE, 1.0),),
    max_attempts=2,
)


class ResponseRecorder:
    """Replaces a `callers.Responder` and records the response.

    Attributes:
        status: Status, 0 before the response has started.
        headers: Headers of the response.
        body: Sent part of the body.
        started: Whether the response has started.
        finished: Whether the response is complete.
        disconnected: Whether the caller has left.
    """

    def __init__(self):
        self.status = 0
        self.headers = ()
        self.body = b""
        self.started = False
        self.finished = False
        self.disconnected = False

    def check_connected(self):
        if self.disconnected:
            raise trio.BrokenResourceError

    async def send_complete(self, status, headers, body):
        await self.start(status, headers, body)
        await self.finish()

    async def start(self, status, headers, data):
        assert not self.started
        await trio.lowlevel.checkpoint()
        self.started = True
        self.status = status
        self.headers = tuple(headers)
        self.body = data

    async def send(self, data):
        assert self.started
        assert not self.finished
        await trio.lowlevel.checkpoint()
        self.body += data

    async def finish(self):
        assert self.started
        await trio.lowlevel.checkpoint()
        self.finished = True


@dataclasses.dataclass
class EntryHarness:
    """The parts of one entry, and stand-ins for its servers.

    Attributes:
        network: Network of the entry and the servers.
        servers: Stand-ins by instance.
        context: State that the requests share.
        prober: Probes servers that are suspected.
    """

    network: memory.MemoryNetwork
    servers: dict[str, servers_module.StandIn]
    context: contexts.Context
    prober: probes.Prober

    def make_request(self, retry_policy=None, **changes) -> contexts.Request:
        """Returns a request in the form in which the entry admits it.

        Args:
            retry_policy: Retry policy of the route; SAFE and ONCE also select
                the plain service instead of the model.
            **changes: `request_id`, `time_limit_ms`, `last_event_id`, `body`
                or `prompt` (parts of the prompt) of the request;
                `event_timeout_s`, `max_attempts` or `priority` of its route.
        """
        plain = retry_policy in (fleet.RetryPolicy.SAFE, fleet.RetryPolicy.ONCE)
        route = dataclasses.replace(
            ROUTE,
            retry_policy=retry_policy or ROUTE.retry_policy,
            event_timeout_s=changes.get(
                "event_timeout_s", ROUTE.event_timeout_s
            ),
            max_attempts=changes.get("max_attempts", ROUTE.max_attempts),
            priority=changes.get("priority", ROUTE.priority),
        )
        engine = None if plain else fleets.make_engine(layers=20)
        service = fleet.Service(
            PLAIN_SERVICE if plain else MODEL_SERVICE, 100, engine
        )
        headers = (
            (b"Host", b"api.example"),
            (b"X-Attempt-Id", changes.get("request_id", "r1").encode()),
            (
                b"X-Deadline-Ms",
                str(changes.get("time_limit_ms", 20000)).encode(),
            ),
        )
        after = changes.get("last_event_id")
        if after is not None:
            headers += ((b"Last-Event-Id", str(after).encode()),)
        if "prompt" in changes:
            headers += ((b"X-Prompt-Prefix", changes["prompt"].encode()),)
        head = self.context.codec.decode_request("POST", "/chat/x", headers)
        now = trio.current_time()
        return contexts.Request(
            head=head,
            body=changes.get("body", b"{}"),
            route=route,
            service=service,
            workspace=fleet.Workspace("north"),
            version=1,
            arrived_at=now,
            deadline=now + (head.time_limit_s or 20.0),
            answer_limit=self.context.answer_limit,
            priority=route.priority,
        )

    def kill(self, instance: str) -> None:
        """Ends a server as a crash does: its connections are reset."""
        address = str(self.servers[instance].server.address)
        self.network.stop_serving(address)
        self.network.reset(address)

    def partition(self, instance: str) -> None:
        """Partitions a server from the entry and all other servers."""
        address = str(self.servers[instance].server.address)
        for host in [HOST, *self._list_addresses()]:
            self.network.partition(host, address)

    def _list_addresses(self):
        return [str(item.server.address) for item in self.servers.values()]


def make_routing(priorities) -> fleet.Routing:
    """Returns a configuration with a route to the model of each priority."""
    routes = tuple(
        dataclasses.replace(
            ROUTE,
            name=f"p{priority}",
            prefix=f"/p{priority}/",
            priority=priority,
        )
        for priority in priorities
    )
    engine = fleets.make_engine(layers=20)
    return fleet.Routing(
        1,
        routes,
        (fleet.Service(MODEL_SERVICE, 100, engine),),
        None,
        fleet.CallerLimits(),
    )


def make_servers(server_layers) -> list[fleet.Server]:
    """Returns model servers.

    Args:
        server_layers: Name, zone and layer range of each server.
    """
    return [
        fleets.make_server(
            name,
            zone,
            layer_range=fleet.LayerRange(*layers),
            address=addresses.Address(f"10.0.0.{number}", 80),
        )
        for number, (name, zone, layers) in enumerate(server_layers, 1)
    ]


def make_plain_servers(count: int) -> list[fleet.Server]:
    """Returns servers of the plain service."""
    return [
        fleets.make_server(
            f"p{number}",
            service=PLAIN_SERVICE,
            accelerator_type="",
            slots=6,
            address=addresses.Address(f"10.0.1.{number}", 80),
        )
        for number in range(1, count + 1)
    ]


@contextlib.asynccontextmanager
async def open_harness(
    servers, events: int = 10, make_stand_in=servers_module.StandIn
):
    """Runs stand-ins for the servers and yields an `EntryHarness`.

    Args:
        servers: The servers.
        events: Number of events in each stream.
        make_stand_in: Returns the stand-in for a server, see
            `servers.StandIn`.
    """
    network = memory.MemoryNetwork()
    host = network.join(HOST)
    view = views.View("a")
    stand_ins = {}
    async with trio.open_nursery() as nursery:
        for server in servers:
            stand_in = make_stand_in(server, events)
            stand_in.join(network, nursery)
            stand_ins[server.instance] = stand_in
            view.apply_server(server)
        for stand_in in stand_ins.values():
            stand_in.peers = {
                str(item.server.address): item for item in stand_ins.values()
            }
        view.entry_count = 1
        view.servers_at = trio.current_time()
        pool = upstreams.Pool(host.dial)
        registry = metrics.Metrics(None, 1.0)
        table = statements.Statements(registry.increment, random.Random(0))
        table.notify_leaving = view.apply_stated_leaving
        view.is_stated_leaving = table.is_leaving
        view.get_stated_wait_s = table.get_wait_s
        context = contexts.Context(
            view=view,
            pool=pool,
            codec=codec.Codec(),
            metrics=registry,
            random=random.Random(0),
            make_budget=lambda: budgets.WindowBudget(0.2, 100, 10.0),
            statements=table,
            reservations=reservations.Reservations(table, registry.increment),
            shares=demands.CapacityShares(view, registry.increment),
        )
        prober = probes.Prober(
            view, pool, context.codec, registry.increment, table
        )
        await trio.sleep(0)
        await trio.testing.wait_all_tasks_blocked()
        yield EntryHarness(network, stand_ins, context, prober)
        nursery.cancel_scope.cancel()


def read_event_ids(body: bytes) -> list[int]:
    """Returns the ids of the events in the body of a stream."""
    return [
        int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")
    ]
