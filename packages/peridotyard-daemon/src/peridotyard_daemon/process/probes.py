"""Probes of backend servers that may be dead, shared by all streams."""

import collections.abc

from peridotyard_core import addresses
from peridotyard_core import errors
from peridotyard_core import exchanges
from peridotyard_core import fleet
from returns import result
import trio

from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import views

# A server of the same region answers within 2 ms, also under load, since a
# report needs no slot.
PROBE_TIMEOUT_S = 0.05
# Timeout of a second probe in a busy process: one with a third of a core takes
# 5 ms of time for each of the ten probes of a path.
SECOND_TIMEOUT_S = 0.3
# Time of an answered probe from which this process is taken to be busy.
BUSY_PROBE_DURATION_S = 0.015
# Weight of the newest probe in the mean time of probes.
PROBE_SMOOTHING = 0.1
# Servers asked together of which most did not answer: the fault is more likely
# this process or its link, and a second probe decides.
MASS_FAILURE_MIN = 4
MASS_FAILURE_SHARE = 0.5
# A positive answer is not asked for again within this time, which bounds the
# probes of a server to 7 a second however many streams wait for it.
POSITIVE_RESULT_LIFETIME_S = 0.15
# Time between two probes of suspected servers, and how many of them are asked
# as long as none answers: an entry that is cut off suspects all servers.
RECHECK_INTERVAL_S = 0.4
RECHECK_BATCH_SIZE = 8
# Probes at the same time. With ten of them, an entry with a third of a core
# takes as long as the timeout.
MAX_CONCURRENT_PROBES = 8
# Time in which suspicions of other entries are gathered: those of one server
# come from many entries, and those of a zone from one, within milliseconds.
SUSPICION_BATCH_DELAY_S = 0.01

ProbeFailure = tuple[fleet.Server, errors.PeridotyardError]

_log = logs.Logger("probe")


class Prober:
    """Finds dead servers, owned by the process.

    Attributes:
        mean_probe_duration_s: Mean time of a probe; it grows while
            this process is busy.
    """

    def __init__(
        self,
        view: views.View,
        pool: upstreams.Pool,
        codec: exchanges.Codec,
        count: collections.abc.Callable[[str], None],
    ):
        self._view = view
        self._pool = pool
        self._codec = codec
        self._count = count
        self.mean_probe_duration_s = 0.0
        self._limiter = trio.CapacityLimiter(MAX_CONCURRENT_PROBES)
        self._alive_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        # Servers that other entries suspect.
        self._requested: dict[str, fleet.Server] = {}
        self._probe_requested = trio.Event()
        self._running: dict[str, trio.Event] = {}
        self._reports: dict[str, exchanges.ServerReport] = {}

    async def find_dead(
        self, servers: collections.abc.Iterable[fleet.Server]
    ) -> frozenset[str]:
        """Probes servers at the same time; returns those that are dead."""
        servers = list(servers)
        silent = await self._probe_all(servers, PROBE_TIMEOUT_S)
        # A refused connection leaves no doubt.
        inconclusive = [
            server
            for server, error in silent
            if not isinstance(error, upstreams.RefusedError)
        ]
        if inconclusive and self._is_inconclusive(
            len(inconclusive), len(servers)
        ):
            self._suspect_silent(
                item for item in silent if item[0] not in inconclusive
            )
            _log.info(
                "Silent servers are asked again.",
                silent=len(inconclusive),
                asked=len(servers),
                pace_ms=round(1000 * self.mean_probe_duration_s),
            )
            busy = self.mean_probe_duration_s > BUSY_PROBE_DURATION_S
            timeout_s = SECOND_TIMEOUT_S if busy else PROBE_TIMEOUT_S
            silent = await self._probe_all(inconclusive, timeout_s)
        self._suspect_silent(silent)
        # A server that left the list may go on serving for seconds.
        return frozenset(
            server.instance
            for server in servers
            if self._view.is_suspected(server)
        )

    async def _probe_all(self, servers, timeout_s: float) -> list[ProbeFailure]:
        """Returns the servers that do not answer, each with the error."""
        silent: list[ProbeFailure] = []
        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(self.probe, server, silent, timeout_s)
        return silent

    def _is_inconclusive(self, silent: int, asked: int) -> bool:
        """Returns whether silence may be due to this process or its link."""
        is_mass_failure = silent >= max(
            MASS_FAILURE_MIN, MASS_FAILURE_SHARE * asked
        )
        return (
            is_mass_failure
            or self.mean_probe_duration_s > BUSY_PROBE_DURATION_S
        )

    def _suspect_silent(self, silent) -> None:
        for server, error in silent:
            self._pool.close_idle(server.address)
            ended = isinstance(error, upstreams.RefusedError)
            self._view.suspect(server, f"probe: {error}", ended)

    def _update_mean_duration(self, duration_s: float) -> None:
        """Takes the time of an answer, or by how much a timer was late."""
        self.mean_probe_duration_s += PROBE_SMOOTHING * (
            duration_s - self.mean_probe_duration_s
        )

    def request_probe(self, server: fleet.Server) -> None:
        """Has a server probed soon that another entry suspects."""
        self._requested[server.instance] = server
        self._probe_requested.set()

    async def probe(
        self,
        server: fleet.Server,
        silent: list[ProbeFailure],
        timeout_s: float = PROBE_TIMEOUT_S,
    ) -> None:
        """Probes one server, unless it has answered just before.

        Args:
            server: The server.
            silent: Gets the server and the error if it does not answer.
            timeout_s: Time for the answer.
        """
        name = server.instance
        alive_at = self._alive_at.get(name, float("-inf"))
        if trio.current_time() - alive_at < POSITIVE_RESULT_LIFETIME_S:
            return
        running = self._running.get(name)
        if running is not None:
            await running.wait()
            return
        self._running[name] = trio.Event()
        try:
            error = await self._fetch_report(server, timeout_s)
            if error is not None:
                silent.append((server, error))
        finally:
            self._running.pop(name).set()

    def find_stalled(
        self, server: fleet.Server, request_id: str
    ) -> addresses.Address | None:
        """Returns the server that a request waits for, as last reported."""
        report = self._reports.get(server.instance)
        for stalled_id, address in report.stalled if report else ():
            if stalled_id == request_id:
                return address
        return None

    async def run(self) -> None:
        """Probes suspected servers until they answer or leave the list."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._probe_requested_servers, nursery)
            while True:
                await trio.sleep(RECHECK_INTERVAL_S)
                self._discard_unlisted()
                await self._recheck()

    async def _probe_requested_servers(self, nursery: trio.Nursery) -> None:
        while True:
            await self._probe_requested.wait()
            await trio.sleep(SUSPICION_BATCH_DELAY_S)
            self._probe_requested = trio.Event()
            requested, self._requested = self._requested, {}
            nursery.start_soon(self.find_dead, requested.values())

    async def _recheck(self) -> None:
        """Asks the suspected servers, as many as it is of use."""
        suspects = sorted(
            self._view.list_suspects(),
            key=lambda server: self._probed_at.get(server.instance, 0.0),
        )
        while suspects:
            batch = suspects[:RECHECK_BATCH_SIZE]
            suspects = suspects[RECHECK_BATCH_SIZE:]
            if len(await self.find_dead(batch)) == len(batch):
                return

    def _discard_unlisted(self) -> None:
        """Drops what belongs to servers that left the list."""
        self._pool.close_expired()
        self._reports = self._filter_listed(self._reports)
        self._probed_at = self._filter_listed(self._probed_at)
        self._alive_at = self._filter_listed(self._alive_at)

    def _filter_listed(self, values: dict) -> dict:
        """Returns the values of servers that are still in the list."""
        servers = self._view.servers
        return {key: value for key, value in values.items() if key in servers}

    def _record_report(
        self, server: fleet.Server, status: int, body: bytes
    ) -> None:
        if status != 200:
            return
        try:
            report = self._codec.decode_report(body)
        except ValueError as error:
            _log.warning(
                "Report is malformed.",
                instance=server.instance,
                error=str(error),
            )
            return
        self._reports[server.instance] = report
        self._view.record_slowness(server, report.slowness)

    async def _fetch_report(
        self, server: fleet.Server, timeout_s: float
    ) -> errors.PeridotyardError | None:
        """Asks for a report; returns why there is none, None if there is."""
        async with self._limiter:
            self._count("probes")
            asked_at = self._probed_at[server.instance] = trio.current_time()
            # An idle connection may have gone silent while the server lives,
            # so only a new one tells the two apart.
            response = await self._pool.try_fetch(
                server.address,
                "GET",
                self._codec.report_target,
                timeout_s=timeout_s,
                fresh=True,
            )
        taken_s = trio.current_time() - asked_at
        match response:
            case result.Success((status, body)):
                # Any answer shows that the process runs.
                self._update_mean_duration(taken_s)
                self._alive_at[server.instance] = trio.current_time()
                self._view.clear_suspicion(server)
                self._record_report(server, status, body)
                _log.debug(
                    "Probe answered.", instance=server.instance, status=status
                )
                return None
            case result.Failure(error):
                pass
        late_s = taken_s - timeout_s
        # A silent server does not show that the process is fast.
        self._update_mean_duration(max(late_s, self.mean_probe_duration_s))
        if late_s > PROBE_TIMEOUT_S:
            # This process did not run, so the silence proves nothing.
            _log.warning(
                "Probe ignored after a pause of this process.",
                instance=server.instance,
                late_ms=round(1000 * late_s),
            )
            return None
        return error
