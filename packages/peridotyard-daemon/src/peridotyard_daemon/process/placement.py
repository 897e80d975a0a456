"""Placement of model layers on servers, by the holder of the placement lease.

The lease holder works in rounds: it requests reports of their state from the
servers, computes which server has to hold which layers, and orders the servers
to load them. `peridotyard_core.layouts` has the computation.
"""

import collections.abc
import dataclasses

from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import layouts
from returns import result
import trio

from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import statements as statements_module
from peridotyard_daemon.process import views

# Longest time between two rounds. A change of the fleet starts a round at once;
# the periodic one also covers changes while another entry held the lease.
ROUND_INTERVAL_S = 3.0
# Time between two rounds while servers carry out orders, or while the fleet is
# not complete yet.
BUSY_ROUND_INTERVAL_S = 0.4
# Pause after a change, as failures of several servers are detected one by one.
CHANGE_BATCH_DELAY_S = 0.05
# Timeout of requests for reports and of orders. A live server responds in a few
# milliseconds.
REPORT_TIMEOUT_S = 0.4
# Layers are first placed once the fleet has not changed for `STABLE_FLEET_S`,
# or at the latest `STABLE_FLEET_LIMIT_S` after its first server was seen.
# Servers start within a second or two of each other; a later one is used as a
# spare.
STABLE_FLEET_S = 1.2
STABLE_FLEET_LIMIT_S = 5.0
# Time for which a server is assumed to hold the layers that it was ordered to
# load, since it may carry out an order seconds after it was sent.
ORDER_LIFETIME_S = 4.0

_log = logs.Logger("placement")


@dataclasses.dataclass(frozen=True)
class _Order:
    """An order that may not have taken effect yet.

    Attributes:
        layer_range: Layers that the server has to hold.
        until: Time from which the order is assumed to have failed.
        order_count: Number of orders that the server had accepted before.
    """

    layer_range: fleet.LayerRange
    until: float
    order_count: int


class Placement:
    """Controls which layers servers hold, owned by the process.

    Each group of servers, usually those of a zone, is to hold every layer, see
    `layouts.group_zones`.
    """

    def __init__(
        self,
        view: views.View,
        may_place: collections.abc.Callable[[], bool],
        pool: upstreams.Pool,
        codec: exchanges.Codec,
        count: collections.abc.Callable[[str], None],
        publish: collections.abc.Callable[[layouts.LayerRanges], None],
        statements: statements_module.Statements,
    ):
        """Creates the placement of one process.

        Args:
            view: The fleet as known to this entry.
            may_place: Returns whether this entry may place layers: it holds the
                lease, or acts for the holder.
            pool: Connections to servers.
            codec: Codec of the platform's wire format.
            count: Adds one to the counter with the given name.
            publish: Announces reported layers to the other entries.
            statements: What the servers state about themselves.
        """
        self._view = view
        self._may_place = may_place
        self._pool = pool
        self._codec = codec
        self._count = count
        self._publish = publish
        self._statements = statements
        # Begin of the last suspicion after which a server was checked, by
        # instance.
        self._checked_suspicions: dict[str, float] = {}
        self._pending: dict[str, _Order] = {}
        # The last order of each server, kept after it has taken effect, since
        # reports from before it may still arrive.
        self._last_orders: dict[str, _Order] = {}
        self._alive_instances: frozenset[str] = frozenset()
        self._first_alive_at: float | None = None
        self._alive_changed_at = 0.0

    async def run(self) -> None:
        """Runs rounds while this entry may place layers, until cancelled."""
        while True:
            busy = False
            if self._may_place() and self._view.routing is not None:
                for service in self._view.routing.services.values():
                    if service.engine is not None:
                        busy |= await self._run_round(service)
            else:
                self._pending.clear()
                self._last_orders.clear()
                self._first_alive_at = None
                # There is no notification when this entry becomes the holder.
                busy = True
            with trio.move_on_after(
                BUSY_ROUND_INTERVAL_S if busy else ROUND_INTERVAL_S
            ):
                await self._view.wait_changed()
            await trio.sleep(CHANGE_BATCH_DELAY_S)

    async def _run_round(self, service: fleet.Service) -> bool:
        """Orders missing layers; returns whether a round is needed soon."""
        servers = [
            server
            for server in self._view.servers.values()
            if server.service == service.name and server.ready
        ]
        alive = [
            server
            for server in servers
            if not self._view.is_suspected(server)
            and not self._view.is_leaving(server)
        ]
        silent = await self._find_silent(servers)
        await self._fetch_reports(
            s for s in alive if s.instance in self._pending
        )
        for instance in self._checked_suspicions.keys() - self._view.servers:
            del self._checked_suspicions[instance]
        now = trio.current_time()
        self._last_orders = {
            instance: order
            for instance, order in self._last_orders.items()
            if now < order.until
        }
        layer_ranges = self._find_layer_ranges(alive)
        if not self._is_fleet_stable(alive, layer_ranges):
            return True
        # The next round finds whether the silent servers go on.
        busy = bool(self._pending or silent)
        layer_ranges |= self._find_layer_ranges(silent)
        for group in layouts.group_zones(alive + silent, service.engine):
            if self._plan(group, silent, layer_ranges, service.engine):
                await self._order_group(group, silent, service.engine)
                # Also if all orders were refused, so that they are sent again
                # in the next round.
                busy = True
        return busy

    async def _find_silent(self, servers) -> list[fleet.Server]:
        """Returns the suspected servers that may still hold their layers.

        Other servers do not release layers for theirs yet, as they would refuse
        the streams over them. A server that is leaving does not go on with its
        layers, silent or not.
        """
        suspects = [
            server
            for server in servers
            if self._view.may_recover(server)
            and not self._view.is_leaving(server)
        ]
        async with trio.open_nursery() as nursery:
            for server in suspects:
                since = self._view.get_health(server).suspected_since
                if self._checked_suspicions.get(server.instance) != since:
                    self._checked_suspicions[server.instance] = since
                    nursery.start_soon(self._check_ended, server)
        return [
            server
            for server in suspects
            if server.layer_range is not None and self._view.may_recover(server)
        ]

    async def _check_ended(self, server: fleet.Server) -> None:
        """Records whether a server refuses connections, since it has ended.

        Another entry may have found that it does not respond.
        """
        try:
            await self._pool.try_connect(server.address)
        except upstreams.RefusedError:
            self._view.record_end(server)
        except upstreams.UnsentError:
            # Other failures do not show that the server has ended.
            pass

    async def _order_group(
        self, group, silent: list[fleet.Server], engine: fleet.Engine
    ) -> None:
        """Plans a group again with new reports, and sends the orders.

        Args:
            group: Servers that together can hold all layers, see
                `layouts.group_zones`.
            silent: Servers that may be in the group and get no orders, but keep
                their layers.
            engine: The engine of the group's service.
        """
        kept = [server for server in group if server in silent]
        reports = await self._fetch_reports(s for s in group if s not in kept)
        if any(
            report.busy and name not in self._pending
            for name, report in reports.items()
        ):
            # A server still carries out an order of another lease holder.
            return
        # The reports may have changed the layers of the servers.
        alive = [
            self._view.servers[name]
            for name in reports
            if name in self._view.servers
        ]
        alive += [s for s in kept if self._view.may_recover(s)]
        layer_ranges = self._find_layer_ranges(alive)
        changes = self._plan(alive, silent, layer_ranges, engine)
        by_name = {server.instance: server for server in alive}
        async with trio.open_nursery() as nursery:
            for instance, layer_range in changes.items():
                if instance in reports and instance not in self._pending:
                    nursery.start_soon(
                        self._send_order,
                        by_name[instance],
                        layer_range,
                        reports[instance],
                    )

    def _plan(self, group, silent, layer_ranges, engine) -> layouts.LayerRanges:
        """Returns the layers to load by instance, empty for no change.

        If the group is complete with the silent servers, others may load their
        layers in addition to their own, but release none for that.
        """
        changes = _plan_group(group, layer_ranges, engine)
        responsive = [server for server in group if server not in silent]
        if changes or len(responsive) == len(group):
            return changes
        return {
            instance: layer_range
            for instance, layer_range in _plan_group(
                responsive, layer_ranges, engine
            ).items()
            if _intersect(layer_ranges.get(instance), layer_range)
            == layer_ranges.get(instance)
        }

    def _is_fleet_stable(self, alive, layer_ranges) -> bool:
        """Returns whether the fleet is complete enough to place layers."""
        now = trio.current_time()
        names = frozenset(server.instance for server in alive)
        if names != self._alive_instances:
            self._alive_instances = names
            self._alive_changed_at = now
        if not names:
            return False
        if self._first_alive_at is None:
            self._first_alive_at = now
        if layer_ranges:
            return True
        return (
            now - self._alive_changed_at >= STABLE_FLEET_S
            or now - self._first_alive_at >= STABLE_FLEET_LIMIT_S
        )

    async def _fetch_reports(
        self, servers
    ) -> dict[str, exchanges.ServerReport]:
        """Returns the reports of the servers that respond, by instance."""
        servers = list(servers)
        reports: dict[str, exchanges.ServerReport] = {}
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(self._fetch_report, server, reports)
        started_at_ms = {s.instance: s.started_at_ms for s in servers}
        changed = {
            name: report.layer_range
            for name, report in reports.items()
            if not self._is_outdated(name, report)
            and self._view.apply_report(
                name, report.layer_range, started_at_ms[name]
            )
        }
        if changed:
            self._publish(changed)
        return reports

    def _is_outdated(
        self, instance: str, report: exchanges.ServerReport
    ) -> bool:
        """Returns whether a report is older than a recent order.

        Reports are some hundred milliseconds old. Layers in an outdated one may
        have been released, and paths over them would be refused. An order that
        only releases layers is in effect once it is accepted, so it is no
        longer pending then.
        """
        order = self._last_orders.get(instance)
        return (
            order is not None
            and trio.current_time() < order.until
            and report.order_count <= order.order_count
        )

    async def _fetch_report(
        self, server: fleet.Server, reports: dict[str, exchanges.ServerReport]
    ) -> None:
        """Adds the report of a server to a dictionary if it responds."""
        self._count("reports")
        outcome = await self._pool.try_fetch(
            server.address,
            "GET",
            self._codec.report_target,
            timeout_s=REPORT_TIMEOUT_S,
        )
        self._statements.record_fetched(server, self._codec, outcome)
        match outcome:
            case result.Success(upstreams.Response(200, body)):
                try:
                    reports[server.instance] = self._codec.decode_report(body)
                    return
                except ValueError as error:
                    reason = str(error)
            case result.Success(upstreams.Response(status=status)):
                reason = f"status {status}"
            case result.Failure(error):
                reason = str(error)
        self._pool.close_idle(server.address)
        _log.info(
            "server excluded from placement",
            instance=server.instance,
            reason=reason,
        )

    def _find_layer_ranges(self, servers) -> layouts.LayerRanges:
        """Returns the layers that servers hold or were ordered to hold."""
        now = trio.current_time()
        layer_ranges = {}
        for server in servers:
            layer_range = server.layer_range
            order = self._pending.get(server.instance)
            if order is not None:
                if layer_range == order.layer_range or now >= order.until:
                    del self._pending[server.instance]
                else:
                    layer_range = order.layer_range
            if layer_range is not None:
                layer_ranges[server.instance] = layer_range
        return layer_ranges

    async def _send_order(
        self,
        server: fleet.Server,
        layer_range: fleet.LayerRange,
        report: exchanges.ServerReport,
    ) -> None:
        # A holder that was suspended or replaced during the round must not send
        # further orders.
        if not self._may_place():
            return
        self._count("orders")
        response = await self._pool.try_fetch(
            server.address,
            "POST",
            self._codec.order_target,
            self._codec.encode_order_headers(server),
            self._codec.encode_placement_order(layer_range, report.order_count),
            timeout_s=REPORT_TIMEOUT_S,
        )
        self._statements.record_fetched(server, self._codec, response)
        match response:
            case result.Success(upstreams.Response(status=status)):
                outcome = f"status {status}"
            case result.Failure(error):
                outcome = str(error)
        if outcome.startswith("status 2"):
            # Released layers accept no new work from now on.
            remaining = _intersect(report.layer_range, layer_range)
            if self._view.apply_report(
                server.instance, remaining, server.started_at_ms
            ):
                self._publish({server.instance: remaining})
        if not outcome.startswith("status 4"):
            # An order without a response may still be carried out.
            order = _Order(
                layer_range,
                trio.current_time() + ORDER_LIFETIME_S,
                report.order_count,
            )
            self._pending[server.instance] = order
            self._last_orders[server.instance] = order
        _log.info(
            "layers ordered",
            instance=server.instance,
            address=server.address,
            zone=server.zone,
            span=f"{layer_range.first}-{layer_range.end}",
            previous=report.layer_range,
            orders=report.order_count,
            outcome=outcome,
        )


def _plan_group(group, layer_ranges, engine) -> layouts.LayerRanges:
    """Returns the layers to load by instance, empty for no change."""
    if not any(server.instance in layer_ranges for server in group):
        return layouts.plan_group(group, engine)
    return layouts.repair_group(group, layer_ranges, engine)


def _intersect(
    first: fleet.LayerRange | None, second: fleet.LayerRange
) -> fleet.LayerRange | None:
    """Returns the layers in both ranges, None if there are none."""
    if first is None:
        return None
    common = fleet.LayerRange(
        max(first.first, second.first), min(first.end, second.end)
    )
    return common if common.size > 0 else None
