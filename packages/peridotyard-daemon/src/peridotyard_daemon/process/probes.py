"""Probes of backend servers that may have failed, shared by all streams.

A probe is a request for the server's report of its state on a new connection.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import statistics

from peridotyard_core import addresses
from peridotyard_core import errors
from peridotyard_core import exchanges
from peridotyard_core import fleet
from peridotyard_core import silences
from returns import result
import trio

from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import statements as statements_module
from peridotyard_daemon.process import views

# A server of the same region responds within 2 ms, since a report needs no
# slot. An overloaded one takes longer, see `Prober._get_timeout_s`.
PROBE_TIMEOUT_S = 0.05
# Upper limit of the timeout of a server that responds slowly: a quarter of the
# time for which callers wait for an event, so that there is time to replace it.
PROBE_TIMEOUT_MAX_S = 0.5
# Timeout of a server as a multiple of its longest response time, and the time
# in which that decreases by half.
PROBE_TIMEOUT_FACTOR = 1.25
LONGEST_HALF_LIFE_S = 10.0
# Number of servers whose latest response times show how busy this process is.
MEDIAN_SERVERS = 16
# Time from the start of a probe for which its response is awaited beyond the
# timeout.
LATE_RESPONSE_LIMIT_S = 2.0
# Maximum number of probes that are awaited beyond their timeout, each of
# another server and with a connection.
MAX_LATE_PROBES = 64
# Timeout of a second probe while this process is busy. With a third of a core,
# the process needs 5 ms for each of the ten probes of a path.
SECOND_TIMEOUT_S = 0.3
# Mean duration of a probe above which this process counts as busy.
BUSY_PROBE_DURATION_S = 0.015
# Weight of the newest probe in the mean duration.
PROBE_SMOOTHING = 0.1
# Number and share of concurrently probed servers without a response from which
# on, if both are reached, the fault is more likely in this process or its link.
# Then, a second probe decides.
MASS_FAILURE_MIN = 4
MASS_FAILURE_SHARE = 0.5
# Time for which a server counts as alive after a response, without another
# probe. It bounds the probes of a server to 7 per second, however many streams
# wait for it.
POSITIVE_RESULT_LIFETIME_S = 0.15
# Time between two rounds of probes of suspected servers, and the number of
# servers after which a round ends if none of them responds: a partitioned entry
# suspects all servers and must not probe each of them in every round.
RECHECK_INTERVAL_S = 0.4
RECHECK_BATCH_SIZE = 8
# Maximum number of concurrent probes. With ten of them, an entry with a third
# of a core needs as long as the timeout.
MAX_CONCURRENT_PROBES = 8
# Time for which suspicions of other entries are collected before the servers
# are probed. Many entries suspect the same server, or one entry all servers of
# a zone, within milliseconds.
SUSPICION_BATCH_DELAY_S = 0.01

ProbeFailure = tuple[fleet.Server, errors.PeridotyardError]

_log = logs.Logger("probe")


@dataclasses.dataclass(frozen=True)
class _Longest:
    """Longest response time of a server to a probe, decreasing with time.

    Attributes:
        duration_s: The response time when it was set, seconds.
        at: Time at which it was set.
    """

    duration_s: float
    at: float

    def get_duration_s(self, now: float) -> float:
        """Returns the response time as decreased since, seconds."""
        return self.duration_s * 0.5 ** ((now - self.at) / LONGEST_HALF_LIFE_S)


class _Probe:
    """A probe that was sent, owned by the task that waits for its response.

    Attributes:
        server: The server.
        sent_at: Time at which it was started.
        outcome: Result of `upstreams.Pool.try_fetch`; None until it ends.
        scope: Ends the request.
        delay_s: Longest time by which this process noticed the end of a part of
            the wait too late; seconds.
    """

    def __init__(self, server: fleet.Server):
        self.server = server
        self.sent_at = trio.current_time()
        self.outcome: (
            result.Result[upstreams.Response, errors.PeridotyardError] | None
        ) = None
        self.scope = trio.CancelScope()
        self.delay_s = 0.0
        self._ended = trio.Event()

    async def send(self, pool: upstreams.Pool, target: str) -> None:
        """Requests the report."""
        with self.scope:
            # A pooled connection may be broken while the server is alive, so a
            # probe uses a new one.
            self.outcome = await pool.try_fetch(
                self.server.address,
                "GET",
                target,
                timeout_s=LATE_RESPONSE_LIMIT_S,
                force_new=True,
            )
            self._ended.set()

    async def wait_until(self, deadline: float) -> None:
        """Waits for the outcome; without one, returns at the deadline.

        The probe ends if this is cancelled.
        """
        try:
            while self.outcome is None and trio.current_time() < deadline:
                # Short parts show the pauses of this process.
                due = min(deadline, trio.current_time() + PROBE_TIMEOUT_S)
                with trio.move_on_at(due):
                    await self._ended.wait()
                self.delay_s = max(self.delay_s, trio.current_time() - due)
            # A response that arrives at the deadline is read first.
            await trio.lowlevel.checkpoint()
        except trio.Cancelled:
            self.scope.cancel()
            raise

    def get_duration_s(self) -> float:
        """Returns the time since the probe was sent, seconds."""
        return trio.current_time() - self.sent_at

    @property
    def has_paused(self) -> bool:
        """Whether this process did not run in time to read a response.

        Then, neither a response time nor a missing response shows anything.
        """
        return self.delay_s > PROBE_TIMEOUT_S


class Prober:
    """Finds servers that do not respond, owned by the process.

    Attributes:
        mean_probe_duration_s: Mean of the median duration of probes, at most
            `PROBE_TIMEOUT_S` each, and of delays of this process; it grows
            while this process is busy.
        credit: Bounds the connections of early checks.
    """

    def __init__(
        self,
        view: views.View,
        pool: upstreams.Pool,
        codec: exchanges.Codec,
        count: collections.abc.Callable[[str], None],
        statements: statements_module.Statements,
    ):
        self._statements = statements
        self._view = view
        self._pool = pool
        self._codec = codec
        self._count = count
        self.mean_probe_duration_s = 0.0
        self.credit = silences.Credit()
        # Servers to which an early check opens a connection, and the times of
        # the last ones that were not refused.
        self._connecting: set[str] = set()
        self._checked_at: dict[str, float] = {}
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_PROBES)
        self._alive_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        # Servers suspected by other entries, to be probed next.
        self._requested: dict[str, fleet.Server] = {}
        self._probe_requested = trio.Event()
        self._running: dict[str, trio.Event] = {}
        # Called with each server whose probe has ended.
        self._watchers: list[collections.abc.Callable[[fleet.Server], None]] = (
            []
        )
        self._reports: dict[str, exchanges.ServerReport] = {}
        # Nursery of `run` while it runs.
        self._nursery: trio.Nursery | None = None
        # Servers with a probe that is awaited beyond its timeout.
        self._late: set[str] = set()
        self._longest: dict[str, _Longest] = {}
        # Latest response times of the servers probed last, oldest first.
        self._latest_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    async def find_unresponsive(
        self, servers: collections.abc.Iterable[fleet.Server]
    ) -> frozenset[str]:
        """Probes servers concurrently; returns the suspected instances."""
        servers = list(servers)
        failures = await self._probe_all(servers)
        inconclusive = [server for server, _ in failures]
        if inconclusive and self._is_inconclusive(
            len(inconclusive), len(servers)
        ):
            _log.info(
                "servers without a response probed again",
                silent=len(inconclusive),
                asked=len(servers),
                pace_ms=round(1000 * self.mean_probe_duration_s),
            )
            busy = self.mean_probe_duration_s > BUSY_PROBE_DURATION_S
            timeout_s = SECOND_TIMEOUT_S if busy else PROBE_TIMEOUT_S
            failures = await self._probe_all(inconclusive, timeout_s)
        self._suspect_failed(failures)
        # Servers that have left the list are not returned for that reason,
        # since they may continue to serve for seconds.
        return frozenset(
            server.instance
            for server in servers
            if self._view.is_suspected(server)
        )

    async def find_failed(
        self, servers: collections.abc.Sequence[fleet.Server]
    ) -> frozenset[str]:
        """Returns the suspected instances of a path that has no events.

        Does the same as `find_unresponsive`, but does not wait for slower
        probes once it is clear what to do: the first server has ended, or it
        responds and another one has ended. Only the ended ones are returned
        then. The other probes continue, since other streams may wait for them.

        Args:
            servers: Servers of the path; orders are sent to the first one.
        """
        first = servers[0].instance
        probed = set()
        done = trio.Event()

        def watch(server: fleet.Server) -> None:
            probed.add(server.instance)
            ended = self._list_ended(servers)
            responds = first in probed and self._is_alive(first)
            if first in ended or (ended and responds):
                done.set()

        failed: list[frozenset[str]] = []

        async def probe_all() -> None:
            try:
                failed.append(await self.find_unresponsive(servers))
            finally:
                # Also if the prober ends, so that no stream waits for it.
                done.set()

        self._watchers.append(watch)
        try:
            async with self._open_nursery() as nursery:
                nursery.start_soon(probe_all)
                await done.wait()
        finally:
            self._watchers.remove(watch)
        return failed[0] if failed else self._list_ended(servers)

    def _is_alive(self, instance: str) -> bool:
        """Returns whether a server has responded just now."""
        alive_at = self._alive_at.get(instance, float("-inf"))
        return trio.current_time() - alive_at < POSITIVE_RESULT_LIFETIME_S

    def _list_ended(self, servers) -> frozenset[str]:
        """Returns the suspected instances that have refused a connection.

        In contrast to `views.View.has_ended`, those that are not listed any
        more are not among them, as they may be silent for a time.
        """
        return frozenset(
            server.instance
            for server in servers
            if self._view.is_suspected(server)
            and self._view.get_health(server).ended
        )

    async def _probe_all(
        self, servers, timeout_s: float | None = None
    ) -> list[ProbeFailure]:
        """Returns the servers without a response, each with the error."""
        failures: list[ProbeFailure] = []
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(self.probe, server, failures, timeout_s)
        return failures

    def _is_inconclusive(self, failed: int, probed: int) -> bool:
        """Returns whether this process or its link may be at fault.

        Args:
            failed: Number of servers without a response.
            probed: Number of servers probed with them.
        """
        is_mass_failure = failed >= max(
            MASS_FAILURE_MIN, MASS_FAILURE_SHARE * probed
        )
        return (
            is_mass_failure
            or self.mean_probe_duration_s > BUSY_PROBE_DURATION_S
        )

    def _suspect_failed(self, failures) -> None:
        for server, error in failures:
            self._pool.close_idle(server.address)
            ended = isinstance(error, upstreams.RefusedError)
            self._view.suspect(server, f"probe: {error}", ended)

    def _get_timeout_s(self, server: fleet.Server) -> float:
        """Returns the time limit of the response of a server, seconds.

        It follows the longest response time of the server itself: a busy
        process sees long ones of all servers.
        """
        longest = self._longest.get(server.instance)
        if longest is None:
            return PROBE_TIMEOUT_S
        longest_s = longest.get_duration_s(trio.current_time())
        return min(
            max(PROBE_TIMEOUT_S, PROBE_TIMEOUT_FACTOR * longest_s),
            PROBE_TIMEOUT_MAX_S,
        )

    def _record_duration(self, probe: _Probe) -> None:
        """Records the response time of a probe, also of a late response."""
        if probe.has_paused:
            self._record_delay(probe.delay_s)
            return
        instance, now = probe.server.instance, trio.current_time()
        duration_s = probe.get_duration_s()
        longest = self._longest.get(instance)
        if longest is None or longest.get_duration_s(now) < duration_s:
            self._longest[instance] = _Longest(duration_s, now)
        self._latest_s[instance] = duration_s
        self._latest_s.move_to_end(instance)
        if len(self._latest_s) > MEDIAN_SERVERS:
            self._latest_s.popitem(last=False)
        # A slow process slows down the responses of most servers, and a slow
        # server only its own.
        median_s = statistics.median_low(self._latest_s.values())
        self._update_mean_duration(min(median_s, PROBE_TIMEOUT_S))

    def _record_delay(self, delay_s: float) -> None:
        """Records the time by which this process noticed a timeout too late.

        It may raise the mean but not lower it, since a missing response does
        not show that this process is fast.
        """
        self._update_mean_duration(max(delay_s, self.mean_probe_duration_s))

    def _update_mean_duration(self, duration_s: float) -> None:
        self.mean_probe_duration_s += PROBE_SMOOTHING * (
            duration_s - self.mean_probe_duration_s
        )

    def request_probe(self, server: fleet.Server) -> None:
        """Requests a probe of a server that another entry suspects."""
        self._requested[server.instance] = server
        self._probe_requested.set()

    async def probe(
        self,
        server: fleet.Server,
        failures: list[ProbeFailure],
        timeout_s: float | None = None,
    ) -> None:
        """Probes a server, unless it has responded just before.

        If the server is already being probed, this waits for that probe. A
        refused connection is conclusive, since the process has ended: the
        server is suspected at once.

        Args:
            server: The server.
            failures: Receives the server and the error if it does not respond,
                unless it refuses the connection.
            timeout_s: Time limit of the response; None for that of the server.
        """
        await self._probe(server, failures, timeout_s)
        for watch in tuple(self._watchers):
            watch(server)

    async def _probe(
        self,
        server: fleet.Server,
        failures: list[ProbeFailure],
        timeout_s: float | None,
    ) -> None:
        """Does the work of `probe`."""
        name = server.instance
        if self._is_alive(name):
            return
        running = self._running.get(name)
        if running is not None:
            await running.wait()
            return
        self._running[name] = trio.Event()
        try:
            error = await self._fetch_report(server, timeout_s)
            if isinstance(error, upstreams.RefusedError):
                self._suspect_failed([(server, error)])
            elif error is not None:
                failures.append((server, error))
        finally:
            self._running.pop(name).set()

    def check_early(
        self, servers: collections.abc.Iterable[fleet.Server]
    ) -> None:
        """Starts to find out which servers refuse connections.

        Those are suspected. A server that accepts the connection, or does
        neither, is left to the probes. If the credit does not suffice for all,
        those whose last check is the longest ago come first.
        """
        if self._nursery is None:
            return
        for server in sorted(servers, key=self._get_checked_at):
            if self._needs_check(server) and self.credit.try_spend():
                self._connecting.add(server.instance)
                self._nursery.start_soon(self._check_connection, server)

    def _needs_check(self, server: fleet.Server) -> bool:
        name = server.instance
        age_s = trio.current_time() - self._get_checked_at(server)
        return not (
            name in self._connecting
            or name in self._running
            or age_s < POSITIVE_RESULT_LIFETIME_S
            or self._is_alive(name)
            or self._view.is_suspected(server)
        )

    def _get_checked_at(self, server: fleet.Server) -> float:
        return self._checked_at.get(server.instance, float("-inf"))

    async def _check_connection(self, server: fleet.Server) -> None:
        self._count("early_checks")
        try:
            await self._pool.try_connect(server.address)
            self._checked_at[server.instance] = trio.current_time()
        except upstreams.RefusedError as error:
            self._count("early_checks_refused")
            self.credit.refund()
            self._suspect_failed([(server, error)])
        except upstreams.UnsentError:
            # Other failures do not show that the server has ended.
            pass
        finally:
            self._connecting.discard(server.instance)

    def find_stalled(
        self, server: fleet.Server, request_id: str
    ) -> addresses.Address | None:
        """Returns the address of the server that a request waits for.

        It is the one in the last report, and None if the request was not
        reported as stalled.

        Args:
            server: Server whose last report is used.
            request_id: The request.
        """
        report = self._reports.get(server.instance)
        for stalled_id, address in report.stalled if report else ():
            if stalled_id == request_id:
                return address
        return None

    async def run(self) -> None:
        """Probes suspected servers periodically until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            try:
                nursery.start_soon(self._probe_requested_servers, nursery)
                while True:
                    await trio.sleep(RECHECK_INTERVAL_S)
                    self._discard_unlisted()
                    await self._recheck()
            finally:
                self._nursery = None

    async def _probe_requested_servers(self, nursery: trio.Nursery) -> None:
        while True:
            await self._probe_requested.wait()
            await trio.sleep(SUSPICION_BATCH_DELAY_S)
            self._probe_requested = trio.Event()
            requested, self._requested = self._requested, {}
            nursery.start_soon(self.find_unresponsive, requested.values())

    async def _recheck(self) -> None:
        """Probes suspected servers until no server of a batch responds."""
        suspects = sorted(
            self._view.list_suspects_to_check(),
            key=lambda server: self._probed_at.get(server.instance, 0.0),
        )
        while suspects:
            batch = suspects[:RECHECK_BATCH_SIZE]
            suspects = suspects[RECHECK_BATCH_SIZE:]
            if len(await self.find_unresponsive(batch)) == len(batch):
                return

    def _discard_unlisted(self) -> None:
        """Discards the state of servers that left the list."""
        self._pool.close_expired()
        self._reports = self._filter_listed(self._reports)
        self._probed_at = self._filter_listed(self._probed_at)
        self._alive_at = self._filter_listed(self._alive_at)
        self._longest = self._filter_listed(self._longest)
        self._checked_at = self._filter_listed(self._checked_at)

    def _filter_listed(self, values: dict) -> dict:
        """Returns the values of servers that are still in the list."""
        servers = self._view.servers
        return {key: value for key, value in values.items() if key in servers}

    def _record_report(
        self, server: fleet.Server, status: int, body: bytes
    ) -> None:
        """Records the report in a response unless it has none or is malformed.

        Args:
            server: The server that responded.
            status: HTTP status; other than 200 for an error response.
            body: The report.
        """
        if status != 200:
            return
        try:
            report = self._codec.decode_report(body)
        except ValueError as error:
            _log.warning(
                "malformed server report ignored",
                instance=server.instance,
                error=str(error),
            )
            return
        self._reports[server.instance] = report
        self._view.record_slowness(server, report.slowness)

    async def _fetch_report(
        self, server: fleet.Server, timeout_s: float | None
    ) -> errors.PeridotyardError | None:
        """Requests a report; returns the error if the server seems lost.

        Without a response in time, anything else that the server has sent
        meanwhile shows that it is alive.

        Args:
            server: The server.
            timeout_s: Time limit of the response; None for that of the server.
        """
        limit_s = timeout_s or self._get_timeout_s(server)
        async with self._open_nursery() as nursery:
            async with self._limiter:
                probe = self._start_probe(server, nursery)
                # A slow server takes no processor time of this process.
                counted_s = timeout_s or PROBE_TIMEOUT_S
                await probe.wait_until(probe.sent_at + counted_s)
            await probe.wait_until(probe.sent_at + limit_s)
            if probe.outcome is None:
                self._await_late(probe)
        match probe.outcome:
            case result.Success(response):
                self._record_response(probe, response)
                return None
            case result.Failure(error):
                pass
            case None:
                error = upstreams.ResponseTimeoutError(
                    f"{server.address}: no response within {limit_s:.3g} s"
                )
        self._record_delay(probe.get_duration_s() - limit_s)
        if isinstance(error, upstreams.RefusedError):
            return error
        if probe.has_paused:
            _log.warning(
                "probe ignored after a pause of this process",
                instance=server.instance,
                late_ms=round(1000 * probe.delay_s),
            )
            return None
        if self._pool.get_heard_at(server.address) > probe.sent_at:
            self._record_sign_of_life(server)
            return None
        return error

    def _start_probe(
        self, server: fleet.Server, nursery: trio.Nursery
    ) -> _Probe:
        self._count("probes")
        self.credit.earn()
        probe = _Probe(server)
        self._probed_at[server.instance] = probe.sent_at
        nursery.start_soon(probe.send, self._pool, self._codec.report_target)
        return probe

    def _record_response(
        self, probe: _Probe, response: upstreams.Response
    ) -> None:
        """Records a response to a probe, in time or late."""
        server = probe.server
        self._statements.record_fetched(
            server, self._codec, result.Success(response)
        )
        self._record_duration(probe)
        # Any response shows that the process is running.
        self._record_sign_of_life(server)
        self._record_report(server, response.status, response.body)
        _log.debug(
            "probe succeeded", instance=server.instance, status=response.status
        )

    def _record_sign_of_life(self, server: fleet.Server) -> None:
        self._alive_at[server.instance] = trio.current_time()
        self._view.clear_suspicion(server)

    @contextlib.asynccontextmanager
    async def _open_nursery(self):
        """Yields the nursery of `run`, or a temporary one without that."""
        if self._nursery is not None:
            yield self._nursery
            return
        async with trio.open_nursery() as nursery:
            yield nursery
            nursery.cancel_scope.cancel()

    def _await_late(self, probe: _Probe) -> None:
        """Lets a probe go on beyond its timeout, else cancels it.

        The limiter does not count it any more. One for each server is enough,
        and the earlier one is the next to end.
        """
        instance = probe.server.instance
        if (
            self._nursery is None
            or instance in self._late
            or len(self._late) >= MAX_LATE_PROBES
        ):
            probe.scope.cancel()
            return
        self._late.add(instance)
        self._nursery.start_soon(self._handle_late, probe)

    async def _handle_late(self, probe: _Probe) -> None:
        """Waits for the response to a probe beyond its timeout."""
        try:
            await probe.wait_until(probe.sent_at + LATE_RESPONSE_LIMIT_S)
        finally:
            self._late.discard(probe.server.instance)
            probe.scope.cancel()
        view, server = self._view, probe.server
        match probe.outcome:
            case result.Success(response):
                self._count("late_probe_responses")
                _log.info(
                    "late response to a probe",
                    instance=server.instance,
                    ms=round(1000 * probe.get_duration_s()),
                    delay_ms=round(1000 * probe.delay_s),
                    suspected=view.is_suspected(server),
                )
                # A connection that was refused later than this one was made
                # shows that the process has ended.
                if not view.get_health(server).ended:
                    self._record_response(probe, response)
            case result.Failure(upstreams.RefusedError() as error):
                self._suspect_failed([(server, error)])
