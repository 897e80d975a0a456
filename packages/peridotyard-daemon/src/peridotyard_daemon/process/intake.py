"""What an entry accepts from all callers together: connections and memory.

Callers need not keep any limit. Their data has a budget, see
`peridotyard_core.holdings`, and the number of their connections is bounded.
"""

import collections
import collections.abc
import dataclasses
import typing

from peridotyard_core import holdings
import trio

from peridotyard_daemon.process import logs

# Memory and descriptors of the smallest machines, used where the settings do
# not state those of the machine.
DEFAULT_MEMORY_MB = 152.0
DEFAULT_DESCRIPTORS = 1024
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
# Share of the remaining descriptors for connections of callers; the others are
# for servers, other entries and the store.
DESCRIPTOR_SHARE = 0.5
# Share of the machine's memory for connections of callers, and the memory of
# one: its state, its unread bytes and the pipelined ones.
CONNECTION_MEMORY_SHARE = 0.25
CONNECTION_BYTES = 128 << 10
# Share of the machine's memory for the data of callers.
DATA_MEMORY_SHARE = 0.1
# A request body is copied once while it is sent to a server.
BODY_COPIES = 2
# Factor on the number of connections, for those that are evicted but still have
# a request in progress.
EVICTION_RESERVE = 1.25
# Time between two log lines about refused callers.
LOG_INTERVAL_S = 1.0

_log = logs.Logger("callers")


class Closable(typing.Protocol):
    """A connection, as far as `Intake` has to know it.

    Attributes:
        is_serving: Whether a request of it is being served.
        is_evicted: Whether it was evicted.
        served: Number of its requests that have been served.
        progressed_at: Time at which it last received bytes.
    """

    is_serving: bool
    is_evicted: bool
    served: int
    progressed_at: float

    def evict(self) -> None:
        """Closes the connection, after the response in progress if any."""


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits for all callers of an entry together.

    Attributes:
        connections: Number of connections from which on each new one evicts
            another one.
        data_bytes: Memory for their data.
    """

    connections: int
    data_bytes: int

    @classmethod
    def from_machine(cls, memory_mb: float, descriptors: int) -> "Limits":
        """Returns the limits that fit a machine.

        Args:
            memory_mb: Memory of the process, megabytes.
            descriptors: Largest number of its open descriptors.
        """
        memory_bytes = memory_mb * (1 << 20)
        sockets = max(1, descriptors - FILE_DESCRIPTORS)
        connections = min(
            sockets * DESCRIPTOR_SHARE,
            memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES,
        )
        return cls(
            max(1, int(connections)), int(memory_bytes * DATA_MEMORY_SHARE)
        )


class Intake:
    """Connections and data of the callers of an entry, owned by the process.

    Attributes:
        limits: Limits for all callers together.
        decoding: Held by the task that decodes a body of many small chunks.
            Only one does so at a time, so that such bodies delay other tasks
            by one step of the decoder, however many there are.
    """

    def __init__(
        self,
        limits: Limits | None = None,
        count: collections.abc.Callable[[str], None] = lambda _: None,
    ):
        """Creates the state of a process without callers.

        Args:
            limits: Limits for all callers together; None for those of the
                smallest machines.
            count: Increases the counter of the given name.
        """
        self.limits = limits or Limits.from_machine(
            DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS
        )
        self.decoding = trio.Lock()
        self._count = count
        self._budget = holdings.Budget(self.limits.data_bytes)
        self._drop_functions: dict[
            holdings.Holding, collections.abc.Callable[[], None]
        ] = {}
        self._connections: set[Closable] = set()
        self._refused: collections.Counter[str] = collections.Counter()
        self._logged_at = float("-inf")

    def describe(self) -> dict:
        """Returns what is in use, as a JSON value."""
        return {
            "connections": len(self._connections),
            "connection_limit": self.limits.connections,
            "data_bytes": self._budget.held_bytes,
            "data_limit_bytes": self._budget.limit_bytes,
        }

    def add_connection(self, connection: Closable) -> bool:
        """Adds a new connection; evicts another one at the limit.

        Of those without a request in progress, the ones that have never had one
        are evicted first, and then the one that has been idle for the longest
        time. If all have a request in progress, the one that was served most
        often closes after its response.

        Returns:
            Whether the connection may be served; False if too many evicted ones
            still have a request in progress.
        """
        connections = self._connections
        if len(connections) >= self.limits.connections:
            self.record_refusal("connections")
            idle = [c for c in connections if not c.is_serving]
            if idle:
                evicted = min(idle, key=_rank_idle)
                # It ends without waiting for anything.
                connections.remove(evicted)
                evicted.evict()
            elif len(connections) >= EVICTION_RESERVE * self.limits.connections:
                return False
            else:
                remaining = [c for c in connections if not c.is_evicted]
                max(remaining, key=lambda c: c.served).evict()
        connections.add(connection)
        return True

    def remove_connection(self, connection: Closable) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def open(
        self, client: str, drop: collections.abc.Callable[[], None]
    ) -> holdings.Holding:
        """Returns a new holding for the data of a caller.

        Args:
            client: Address of the caller.
            drop: Called when the data has to be given up.
        """
        holding = self._budget.open(client, trio.current_time())
        self._drop_functions[holding] = drop
        return holding

    def grow(
        self, holding: holdings.Holding, count: int, single_limit_bytes: int = 0
    ) -> bool:
        """Returns whether a number of further bytes may be kept.

        Args:
            holding: The holding.
            count: Number of bytes.
            single_limit_bytes: Largest size that the configuration allows for
                one holding. A machine must be able to keep that much.
        """
        self._budget.limit_bytes = max(
            self._budget.limit_bytes,
            int(single_limit_bytes / holdings.LARGE_SHARE),
        )
        now = trio.current_time()
        match self._budget.grow(holding, count, now):
            case holdings.Denied():
                self.record_refusal("memory")
                return False
            case holdings.Granted(dropped=dropped):
                for other in dropped:
                    self.record_refusal("memory")
                    self._drop_functions.pop(other)()
        holding.record_progress(count, now)
        return True

    def close(self, holding: holdings.Holding) -> None:
        """Ends a holding."""
        self._budget.close(holding)
        self._drop_functions.pop(holding, None)

    def record_refusal(self, reason: str) -> None:
        """Counts a refused caller, and logs the refusals once a second.

        Args:
            reason: "connections", "memory" or the HTTP status.
        """
        self._count(f"callers_refused.{reason}")
        self._refused[reason] += 1
        now = trio.current_time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        reasons = ",".join(
            f"{name}:{count}" for name, count in self._refused.items()
        )
        self._refused.clear()
        _log.warning("callers refused", reasons=reasons, **self.describe())


def _rank_idle(connection: Closable) -> tuple[bool, float]:
    """Returns the sort key of idle connections; the least is evicted first."""
    return connection.served > 0, connection.progressed_at
