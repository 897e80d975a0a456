"""Reservations of requests to servers that limit their requests.

A server's limit applies to the requests of all entries together. One entry, the
coordinator of the server, grants them: the others ask it before each request.
It is drawn by rendezvous hashing from the connected entries, so all entries
that lose it use the same next one. An entry without any connection is its own
coordinator.
"""

import collections
import collections.abc
import dataclasses

from peridotyard_core import fleet
from peridotyard_core import limits
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.process import statements as statements_module

# Time limit of a coordinator's reply. It covers a round trip between zones; a
# coordinator that does not reply in time has stopped or is cut off.
REPLY_TIMEOUT_S = 0.3
# Time after which a coordinator that has not replied is asked again.
RETRY_DELAY_S = 0.1
# Servers for which this entry has granted requests; the least recently used
# ones are dropped.
MAX_BUCKETS = 4096

_log = logs.Logger("limit")


@dataclasses.dataclass(frozen=True)
class Inquiry:
    """A request for a reservation.

    Attributes:
        instance: The server's instance.
        record: What the server states, as known to the entry that asks.
        max_wait_s: Longest time that the request can wait, seconds.
    """

    instance: str
    record: statements_module.Record
    max_wait_s: float


Reply = collections.abc.Callable[[limits.Decision], None]


class Reservations:
    """Reservations of this entry and of those it coordinates for.

    Attributes:
        ask: Sends an inquiry to the coordinator of its server, which calls the
            function with its decision. Set by the mesh; by default, this entry
            is the coordinator of all servers.
    """

    def __init__(
        self,
        statements: statements_module.Statements,
        count: collections.abc.Callable[[str], None],
    ):
        """Creates the reservations of a process.

        Args:
            statements: What the servers state about themselves.
            count: Increments a counter.
        """
        self._statements = statements
        self._count = count
        self._buckets: collections.OrderedDict[
            tuple[str, int], limits.RequestRate
        ] = collections.OrderedDict()
        # Times before which no request can be reserved.
        self._free_at: dict[tuple[str, int], float] = {}
        self.ask: collections.abc.Callable[[Inquiry, Reply], None] = (
            lambda inquiry, reply: reply(self.decide(inquiry, 1.0))
        )

    def get_wait_s(self, server: fleet.Server) -> float:
        """Returns the known time until a request can be reserved, seconds."""
        key = (server.instance, server.started_at_ms)
        free_at = self._free_at.get(key)
        if free_at is None or self._statements.find_limit(server) is None:
            return 0.0
        return max(0.0, free_at - trio.current_time())

    @property
    def has_denials(self) -> bool:
        """Whether the limit of some server allows no request now."""
        now = trio.current_time()
        return any(free_at > now for free_at in self._free_at.values())

    def is_exhausted(self, server: fleet.Server) -> bool:
        """Returns whether no request can be reserved now."""
        return self.get_wait_s(server) > 0

    def find_denial(
        self, server: fleet.Server, max_wait_s: float
    ) -> limits.Denied | None:
        """Returns a denial that is known without asking the coordinator.

        Args:
            server: The server.
            max_wait_s: Longest time to wait, seconds.
        """
        wait_s = self.get_wait_s(server)
        return limits.Denied(wait_s) if wait_s > max_wait_s else None

    async def reserve(
        self, server: fleet.Server, max_wait_s: float = 0.0
    ) -> bool:
        """Reserves one request to a server, and waits until it may be sent.

        Args:
            server: The server.
            max_wait_s: Longest time to wait, seconds, besides that of the
                coordinator's reply.

        Returns:
            Whether the request may be sent.
        """
        record = self._statements.find_record(server)
        if record is None or record.limit_per_s is None:
            return True
        decision: limits.Decision | None = self.find_denial(server, max_wait_s)
        if decision is None:
            inquiry = Inquiry(server.instance, record, max_wait_s)
            decision = await self._ask(inquiry)
        match decision:
            case limits.Granted(wait_s=wait_s):
                self._count("limited_requests")
                if wait_s:
                    await trio.sleep(wait_s)
                return True
            case limits.Denied(wait_s=wait_s):
                self._record_denial(server, wait_s)
                return False

    async def _ask(self, inquiry: Inquiry) -> limits.Decision:
        decisions: list[limits.Decision] = []
        replied = trio.Event()

        def accept_reply(decision: limits.Decision) -> None:
            decisions.append(decision)
            replied.set()

        self.ask(inquiry, accept_reply)
        with trio.move_on_after(REPLY_TIMEOUT_S):
            await replied.wait()
        return decisions[0] if decisions else limits.Denied(RETRY_DELAY_S)

    def _record_denial(self, server: fleet.Server, wait_s: float) -> None:
        now = trio.current_time()
        self._free_at = {
            key: free_at
            for key, free_at in self._free_at.items()
            if free_at > now
        }
        key = (server.instance, server.started_at_ms)
        if key not in self._free_at:
            _log.info(
                "request not sent within a server's limit",
                instance=server.instance,
                limit_per_s=self._statements.find_limit(server),
                wait_ms=round(1000 * wait_s),
            )
        self._free_at[key] = now + wait_s
        self._count("limit_denials")

    def decide(self, inquiry: Inquiry, share: float) -> limits.Decision:
        """Decides on an inquiry as the coordinator of its server.

        Args:
            inquiry: The inquiry.
            share: Share of the limit that this entry may grant. The entries
                that it cannot reach may have another coordinator.
        """
        self._statements.apply_peer(inquiry.instance, inquiry.record)
        # Of a server that has started again, the newer process.
        record = self._statements.find_newest(inquiry.instance)
        if record is None or record.limit_per_s is None:
            return limits.Granted(0.0)
        now = trio.current_time()
        key = (inquiry.instance, record.started_at_ms)
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = limits.RequestRate(now)
            if len(self._buckets) > MAX_BUCKETS:
                self._buckets.popitem(last=False)
        self._buckets.move_to_end(key)
        return bucket.reserve(
            record.limit_per_s * share, inquiry.max_wait_s, now
        )
