"""The placement duty: orders to model servers, by the holder of the lease."""

import collections.abc
import dataclasses

from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import layouts
import trio

from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import presence
from peridotyard_daemon.process import views

# Time between two rounds. A round asks each server of the fleet for a report;
# a lost layer costs its zone until a round replaces it.
ROUND_S = 0.8
# An answer of a live server takes a few milliseconds.
REPORT_TIMEOUT_S = 0.4
# Rounds without an answer after which a server's layers are given to others.
DEAD_ROUNDS = 2
# The first layout waits until the fleet has been the same for so long, but
# not longer than the second figure: servers start within a second or two of
# each other, and a later one is used as a spare.
SETTLED_S = 1.2
SETTLED_LIMIT_S = 5.0
# Orders may be carried out seconds after they were sent; until then a server
# is taken to hold what it was ordered to.
ORDER_LIFE_S = 4.0

_log = logs.Part("placement")


@dataclasses.dataclass
class _Known:
    """What the holder knows of one model server.

    Attributes:
        report: Latest report, None before the first.
        missed: Rounds without an answer since then.
    """

    report: exchanges.Report | None = None
    missed: int = 0


@dataclasses.dataclass(frozen=True)
class _Order:
    """An order that may not have taken effect.

    Attributes:
        span: The layers ordered.
        orders: Number of accepted orders before it.
        until: Time at which it is taken to have failed.
    """

    span: fleet.Span
    orders: int
    until: float


class Placement:
    """Keeps each layer on a server of each zone, owned by the process."""

    def __init__(
        self,
        view: views.View,
        duty: presence.Presence,
        pool: upstreams.Pool,
        dialect: exchanges.Dialect,
        count: collections.abc.Callable[[str], None],
    ):
        self._view = view
        self._duty = duty
        self._pool = pool
        self._dialect = dialect
        self._count = count
        self._known: dict[str, _Known] = {}
        self._pending: dict[str, _Order] = {}
        self._fleet: frozenset[str] = frozenset()
        self._first_at: float | None = None
        self._changed_at = 0.0

    async def run(self) -> None:
        """Runs rounds while the duty is held, until cancelled."""
        while True:
            await trio.sleep(ROUND_S)
            if self._duty.holds_duty() and self._view.routing is not None:
                for service in self._view.routing.services.values():
                    if service.engine is not None:
                        await self._run_round(service)
            else:
                self._forget()

    def _forget(self) -> None:
        self._known.clear()
        self._pending.clear()
        self._first_at = None

    async def _run_round(self, service: fleet.Service) -> None:
        servers = [
            server
            for server in self._view.servers.values()
            if server.service == service.name and server.ready
        ]
        names = {server.instance for server in servers}
        for name in [name for name in self._known if name not in names]:
            del self._known[name]
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(self._ask, server)
        alive = [server for server in servers if self._is_alive(server)]
        spans = self._find_spans(alive)
        if not self._is_settled(alive, spans):
            return
        for group in layouts.group_zones(alive, service.engine):
            changes = self._plan(group, spans, service.engine)
            await self._send_all(group, changes)

    def _plan(self, group, spans, engine) -> layouts.Spans:
        if not any(server.instance in spans for server in group):
            return layouts.plan_group(group, engine)
        return layouts.repair_group(group, spans, engine)

    def _is_alive(self, server: fleet.Server) -> bool:
        known = self._known[server.instance]
        return known.report is not None and known.missed < DEAD_ROUNDS

    def _is_settled(self, alive, spans) -> bool:
        """Returns whether the fleet is complete enough to be laid out."""
        now = trio.current_time()
        names = frozenset(server.instance for server in alive)
        if names != self._fleet:
            self._fleet = names
            self._changed_at = now
        if not names:
            return False
        if self._first_at is None:
            self._first_at = now
        if spans:
            return True
        return (
            now - self._changed_at >= SETTLED_S
            or now - self._first_at >= SETTLED_LIMIT_S
        )

    async def _ask(self, server: fleet.Server) -> None:
        known = self._known.setdefault(server.instance, _Known())
        self._count("reports")
        with trio.move_on_after(REPORT_TIMEOUT_S):
            try:
                status, body = await self._pool.fetch(
                    server.address, "GET", self._dialect.report_target
                )
                if status == 200:
                    known.report = self._dialect.decode_report(body)
                    known.missed = 0
                    return
                reason = f"status {status}"
            except (
                upstreams.UnsentError,
                upstreams.LostError,
                ValueError,
            ) as error:
                reason = str(error)
            known.missed += 1
            _log.debug("No report.", instance=server.instance, reason=reason)
            return
        known.missed += 1
        self._pool.forget(server.address)

    def _find_spans(self, servers) -> layouts.Spans:
        """Returns what servers hold, or are about to hold."""
        now = trio.current_time()
        spans = {}
        for server in servers:
            report = self._known[server.instance].report
            order = self._pending.get(server.instance)
            if order is not None:
                done = report.orders > order.orders and not report.busy
                if done or now >= order.until:
                    del self._pending[server.instance]
                    order = None
            span = order.span if order else report.span
            if span is not None:
                spans[server.instance] = span
        return spans

    async def _send_all(self, group, changes: layouts.Spans) -> None:
        by_name = {server.instance: server for server in group}
        async with trio.open_nursery() as nursery:
            for instance, span in changes.items():
                if instance in self._pending:
                    continue
                nursery.start_soon(self._send, by_name[instance], span)

    async def _send(self, server: fleet.Server, span: fleet.Span) -> None:
        # Rounds take time; a paused or replaced holder must not go on.
        if not self._duty.holds_duty():
            return
        report = self._known[server.instance].report
        self._count("orders")
        outcome = "no answer"
        with trio.move_on_after(REPORT_TIMEOUT_S):
            try:
                status, _ = await self._pool.fetch(
                    server.address,
                    "POST",
                    self._dialect.order_target,
                    [(b"Content-Type", b"application/json")],
                    self._dialect.encode_place(span, report.orders),
                )
                outcome = f"status {status}"
            except (upstreams.UnsentError, upstreams.LostError) as error:
                outcome = str(error)
        refused = outcome.startswith("status 4")
        if not refused:
            # Without an answer it may still be carried out.
            self._pending[server.instance] = _Order(
                span, report.orders, trio.current_time() + ORDER_LIFE_S
            )
        _log.info(
            "Ordered layers.",
            instance=server.instance,
            address=server.address,
            zone=server.zone,
            span=f"{span.first}-{span.end}",
            previous=report.span,
            orders=report.orders,
            outcome=outcome,
        )
