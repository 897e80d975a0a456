"""Shares of this entry's requests in the capacity of services.

Measures the demand for services whose requests differ in priority, exchanges
it with other entries in the messages on requests in flight (see `mesh`), and
applies the decision of `peridotyard_core.shares` to new streams.
"""

import collections.abc
import dataclasses

from peridotyard_core import demands
from peridotyard_core import fleet
from peridotyard_core import paths
from peridotyard_core import shares
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import views
from peridotyard_daemon.wire.generated import ttypes

# Time for which computed shares are used. Reports arrive twice a second, so
# that a shorter time would cost processor time without being more accurate.
REFRESH_INTERVAL_S = 0.25
# The same for the capacity of services, which takes a pass over all servers.
CAPACITY_INTERVAL_S = 2.0
# Withheld fraction from which on a service counts as contested in the log, and
# the time without one after which it no longer does.
LOGGED_FRACTION = 0.01
LOG_END_S = 5.0
# Limits of a report of another entry: records, characters of a name, entries
# and each figure. Sums of them fit into the fields of messages.
MAX_RECORDS = 2000
MAX_NAME_LENGTH = 200
MAX_ENTRIES = 1 << 20
MAX_FIGURE = 1 << 20
# Arrivals, needs and entries are sent as whole thousandths.
SCALE = 1000
# Requests that wait at another entry, in a priority that gets less than it
# needs, for each one that could.
QUEUED_ELSEWHERE = 0.5
# Largest number of requests at all entries for one of this entry, relative to
# the number of entries. Bounds the effect of few measured requests.
PART_RANGE = 10
# Longest time between two lines on internal errors of the decision.
ERROR_LOG_INTERVAL_S = 5.0

_log = logs.Logger("shares")


def clamp_priority(priority: int) -> int:
    """Returns the level of a configured priority."""
    return min(max(priority, 0), demands.LEVELS - 1)


class CapacityShares:
    """Demand and shares of capacity at one entry, owned by the process.

    Nothing is measured, sent or withheld for services whose requests all have
    one priority.
    """

    def __init__(
        self,
        view: views.View,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        """Creates the state of an entry that knows no demand.

        Args:
            view: The entry's view of the fleet.
            count: Increases the counter of the given name.
        """
        self._view = view
        self._count = count
        self._meters: demands.Meters | None = None
        # Reports of other entries with the time at which they were received.
        self._reports: dict[str, tuple[demands.Report, float]] = {}
        # What the others know of this entry, and when each kind was sent.
        self._reported = demands.Report()
        self._sent_at: dict[str, float] = {}
        self._routing: fleet.Routing | None = None
        self._contested: frozenset[str] = frozenset()
        self._total = demands.Report()
        self._own = demands.Report()
        self._summed_at = float("-inf")
        self._shares: dict[str, tuple[shares.Shares, float]] = {}
        self._capacities: dict[str, float] = {}
        self._capacities_at = float("-inf")
        self._pacers: dict[tuple[str, int], shares.Pacer] = {}
        # Time at which something was withheld last, by service.
        self._withheld_at: dict[str, float] = {}
        self._error_logged_at = float("-inf")

    def is_contested(self, service: str) -> bool:
        """Returns whether requests of a service may differ in priority."""
        return service in self._list_contested()

    def record_arrival(self, key: demands.Key) -> None:
        """Records a request.

        Args:
            key: Service, priority and workspace.
        """
        if self.is_contested(key.service):
            now = trio.current_time()
            self._find_meters(now).record_arrival(key, now)

    def begin_stream(self, key: demands.Key) -> None:
        """Records that a stream is sent, see `record_arrival`."""
        if self.is_contested(key.service):
            now = trio.current_time()
            self._find_meters(now).begin_stream(key, now)
            if key[:2] in self._pacers:
                self._pacers[key[:2]].record_begin()

    def end_stream(self, key: demands.Key, duration_s: float | None) -> None:
        """Records that a stream has ended, see `record_arrival`.

        Args:
            key: Service, priority and workspace.
            duration_s: Time since it was sent, seconds; None if it had no
                event, so that it says nothing about the durations.
        """
        if self._meters is not None:
            self._meters.end_stream(key, duration_s)

    def get_withheld(self, key: demands.Key) -> float:
        """Returns the fraction of the capacity that a request may not use."""
        return self._find_shares(key.service).get_withheld(
            key.priority, key.workspace
        )

    def is_paced(self, key: demands.Key) -> bool:
        """Returns whether requests like this get less than they need."""
        found = self._find_shares(key.service)
        return found.get_pace(key.priority, key.workspace) != float("inf")

    def may_begin(self, key: demands.Key) -> bool:
        """Returns whether the pace of its priority allows a stream now."""
        found = self._find_shares(key.service)
        pace_per_s = found.get_pace(key.priority, key.workspace)
        if pace_per_s != float("inf"):
            total_key = key._replace(workspace=None)
            pace_per_s *= demands.compute_part(
                self._own, self._total, total_key
            )
        elif key[:2] not in self._pacers:
            return True
        pacer = self._pacers.setdefault(key[:2], shares.Pacer())
        return pacer.may_begin(pace_per_s, trio.current_time())

    def estimate_wait(self, key: demands.Key, ahead: int) -> float | None:
        """Returns the expected time until a request can be sent, seconds.

        None if nothing is withheld in the service, or if it is not known when
        streams end.

        Args:
            key: Service, priority and workspace.
            ahead: Number of requests of this entry that go first. At other
                entries, as many are assumed to.
        """
        found = self._find_shares(key.service)
        everywhere = float(ahead)
        if key.priority in found.paces_per_s:
            # Requests of a priority that gets less than it needs wait at
            # about every second entry.
            everywhere += QUEUED_ELSEWHERE
        everywhere *= self._estimate_entries(key)
        wait_s = found.estimate_wait(key.priority, everywhere)
        return None if wait_s == float("inf") else wait_s

    def estimate_interval(self, key: demands.Key) -> float | None:
        """Returns the time between two streams that this entry can begin.

        In seconds, for one priority; None as in `estimate_wait`.

        Args:
            key: Service, priority and workspace.
        """
        found = self._find_shares(key.service)
        rate_per_s = found.rates_per_s.get(key.priority, 0.0)
        if not rate_per_s:
            return None
        return self._estimate_entries(key) / rate_per_s

    def _estimate_entries(self, key: demands.Key) -> float:
        """Returns the requests of all entries for each one of this entry."""
        entries = max(1, self._view.entry_count)
        total_key = key._replace(workspace=None)
        part = demands.compute_part(self._own, self._total, total_key)
        return min(1 / max(part, 1e-6), PART_RANGE * entries)

    def apply_report(
        self, name: str, message: ttypes.DemandReport, is_total: bool = False
    ) -> None:
        """Applies the demand that another entry has reported.

        Args:
            name: Key of the other entry.
            message: Its report.
            is_total: Whether it covers all entries, this one included.
        """
        report = self._decode(message)
        if is_total:
            report = report.subtract(self._reported)
        self._reports[name] = (report, trio.current_time())

    def drop_report(self, name: str) -> None:
        """Discards the report of another entry."""
        self._reports.pop(name, None)

    def make_due_report(
        self,
        kind: str,
        interval_s: float,
        entries: collections.abc.Container[str] = (),
        is_own: bool = True,
    ) -> ttypes.DemandReport | None:
        """Returns a report to send, None if none is due.

        Args:
            kind: Name of the receivers.
            interval_s: Time between two reports to them, seconds.
            entries: Keys of the other entries whose reports it includes.
            is_own: Whether the receivers subtract it from the sum of all.
        """
        now = trio.current_time()
        if not self._list_contested():
            return None
        if now - self._sent_at.get(kind, float("-inf")) < interval_s:
            return None
        self._sent_at[kind] = now
        own = self._make_own_report(now)
        if is_own:
            self._reported = own
        known = self._list_reports(now, entries)
        return _encode(demands.sum_reports([own, *known]))

    def describe(self) -> list[dict]:
        """Returns demand and withheld fractions as a JSON value."""
        rows = []
        for service in sorted(self._list_contested()):
            found = self._find_shares(service)
            for key, value in sorted(self._total.figures.items(), key=str):
                if key.service != service:
                    continue
                name = key.workspace
                if name is not None and (key.priority, name) not in (
                    found.by_workspace
                ):
                    continue
                rows.append(
                    {
                        "service": service,
                        "priority": key.priority,
                        "workspace": name,
                        "arrivals_per_s": round(value.arrivals_per_s, 2),
                        "needed": round(value.needed, 1),
                        "streams": round(value.in_progress, 1),
                        "withheld": round(
                            found.withheld.get(key.priority, 0.0)
                            if name is None
                            else found.get_withheld(key.priority, name),
                            3,
                        ),
                        "capacity": _render(self._capacities.get(service)),
                        "entries": round(self._total.entries, 1),
                        "age_s": round(self._total.age_s, 3),
                    }
                )
        return rows

    def _list_contested(self) -> frozenset[str]:
        """Returns the services whose requests may differ in priority."""
        routing = self._view.routing
        if routing is not self._routing:
            self._routing = routing
            self._contested = frozenset(
                name
                for name, priorities in routing.priorities.items()
                if len(set(map(clamp_priority, priorities))) > 1
                and name in routing.services
                and routing.services[name].engine is not None
            )
            self._shares.clear()
            self._pacers.clear()
            self._withheld_at.clear()
            self._capacities_at = float("-inf")
        return self._contested

    def _find_meters(self, now: float) -> demands.Meters:
        if self._meters is None:
            self._meters = demands.Meters(now)
        return self._meters

    def _make_own_report(self, now: float) -> demands.Report:
        if self._meters is None:
            return demands.Report(entries=1.0)
        return self._meters.make_report(now)

    def _list_reports(
        self, now: float, entries: collections.abc.Container[str] | None
    ) -> list[demands.Report]:
        """Returns the reports with their present age.

        Args:
            now: Current time, seconds.
            entries: Keys of the entries; None for all.
        """
        return [
            dataclasses.replace(report, age_s=report.age_s + now - received_at)
            for name, (report, received_at) in self._reports.items()
            if entries is None or name in entries
        ]

    def _find_shares(self, service: str) -> shares.Shares:
        """Returns the shares in a service, at most some time old."""
        if service not in self._list_contested():
            return shares.NOTHING_WITHHELD
        now = trio.current_time()
        found, computed_at = self._shares.get(
            service, (shares.NOTHING_WITHHELD, float("-inf"))
        )
        if now - computed_at < REFRESH_INTERVAL_S:
            return found
        try:
            found = self._compute_shares(service, now)
        except Exception as error:
            # Without shares, requests are served as with one priority.
            found = shares.NOTHING_WITHHELD
            self._record_error(error, now)
        self._shares[service] = (found, now)
        self._log_change(service, found, now)
        return found

    def _compute_shares(self, service: str, now: float) -> shares.Shares:
        if now - self._summed_at >= REFRESH_INTERVAL_S:
            self._summed_at = now
            self._own = self._make_own_report(now)
            known = self._list_reports(now, None)
            self._total = demands.extrapolate(
                demands.sum_reports([self._own, *known]),
                self._view.entry_count,
            )
        if now - self._capacities_at >= CAPACITY_INTERVAL_S:
            self._capacities_at = now
            self._capacities = self._compute_capacities()
        return shares.compute_shares(
            self._total.figures, service, self._capacities.get(service, 0.0)
        )

    def _compute_capacities(self) -> dict[str, float]:
        """Returns the streams that contested services can take, by service."""
        # Many servers are alike, so their capacity is computed once.
        kinds: dict[str, dict] = {name: {} for name in self._contested}
        is_suspected = self._view.is_suspected
        for server in self._view.servers.values():
            found = kinds.get(server.service)
            held = server.layer_range
            if found is None or held is None or not server.ready:
                continue
            if not is_suspected(server):
                kind = server.accelerator_type, held.first, held.end
                found.setdefault(kind, []).append(server)
        return {
            name: self._compute_capacity(self._routing.services[name], found)
            for name, found in kinds.items()
        }

    def _compute_capacity(
        self,
        service: fleet.Service,
        kinds: dict[tuple[str, int, int], list[fleet.Server]],
    ) -> float:
        """Returns the streams that a service can take.

        Args:
            service: The service.
            kinds: Its servers by type and layers.
        """
        planner = paths.Planner(service.engine, self._view.zone)
        return shares.compute_capacity(
            (
                (
                    first,
                    end,
                    len(servers),
                    planner.estimate_stream_capacity(servers[0]),
                )
                for (_, first, end), servers in kinds.items()
            ),
            service.engine.layers,
        )

    def _log_change(
        self, service: str, found: shares.Shares, now: float
    ) -> None:
        """Logs when withholding begins and ends in a service."""
        most = max(
            [*found.withheld.values(), *found.by_workspace.values()],
            default=0.0,
        )
        last_at = self._withheld_at.get(service)
        if most >= LOGGED_FRACTION:
            self._withheld_at[service] = now
            if last_at is None:
                _log.info(
                    "capacity withheld from lower priorities",
                    service=service,
                    withheld=_format(found.withheld),
                    workspaces=len(found.by_workspace),
                    capacity=_render(self._capacities.get(service)),
                    entries=round(self._total.entries, 1),
                    age_ms=round(1000 * self._total.age_s),
                )
        elif last_at is not None and now - last_at >= LOG_END_S:
            del self._withheld_at[service]
            _log.info("capacity no longer withheld", service=service)

    def _record_error(self, error: Exception, now: float) -> None:
        self._count("internal_errors.demands")
        if now - self._error_logged_at >= ERROR_LOG_INTERVAL_S:
            self._error_logged_at = now
            _log.error(
                "shares not computed, nothing is withheld",
                **logs.describe_error(error),
            )

    def _decode(self, message: ttypes.DemandReport) -> demands.Report:
        """Returns a report without its invalid records, which are counted."""
        figures = {}
        records = message.demands[:MAX_RECORDS]
        invalid = len(message.demands) - len(records)
        for record in records:
            if not self._is_valid(record):
                invalid += 1
                continue
            key = demands.Key(record.service, record.priority, record.workspace)
            figures[key] = demands.Figures(
                record.arrivals / SCALE,
                record.needed / SCALE,
                record.in_progress / SCALE,
            )
        if (
            not 0 <= message.entries <= MAX_ENTRIES * SCALE
            or message.age_ms < 0
        ):
            self._count("invalid_demands")
            return demands.Report(age_s=demands.NO_WEIGHT_AGE_S)
        if invalid:
            self._count("invalid_demands")
        return demands.Report(
            figures, message.entries / SCALE, message.age_ms / 1000
        )

    def _is_valid(self, record: ttypes.Demand) -> bool:
        limit = MAX_FIGURE * SCALE
        return (
            record.service in self._list_contested()
            and 0 <= record.priority < demands.LEVELS
            and len(record.workspace or "") <= MAX_NAME_LENGTH
            and 0 <= record.arrivals <= limit
            and 0 <= record.needed <= limit
            and 0 <= record.in_progress <= limit
        )


def _encode(report: demands.Report) -> ttypes.DemandReport:
    records = [
        ttypes.Demand(
            key.service,
            key.priority,
            key.workspace,
            _encode_figure(value.arrivals_per_s),
            _encode_figure(value.needed),
            _encode_figure(value.in_progress),
        )
        for key, value in report.figures.items()
        if len(key.workspace or "") <= MAX_NAME_LENGTH
    ]
    return ttypes.DemandReport(
        records[:MAX_RECORDS],
        round(SCALE * min(report.entries, MAX_ENTRIES)),
        round(1000 * report.age_s),
    )


def _encode_figure(value: float) -> int:
    return round(SCALE * min(value, MAX_FIGURE))


def _format(withheld: collections.abc.Mapping[int, float]) -> str:
    return ",".join(
        f"{priority}={part:.3f}" for priority, part in sorted(withheld.items())
    )


def _render(capacity: float | None) -> float | None:
    """Returns a capacity as a JSON value; None if it is unknown."""
    if capacity is None or capacity == float("inf"):
        return None
    return round(capacity, 1)
