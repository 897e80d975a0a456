"""What backend servers state about themselves in their responses.

An entry learns the statements from the responses to its own requests and from
the other entries. A statement applies to one process of a server: a server that
has started again begins without one.
"""

import collections
import collections.abc
import dataclasses
import random as random_module
import typing

from peridotyard_core import exchanges
from peridotyard_core import fleet
from returns import result
import trio

from peridotyard_daemon.process import logs

# Servers whose statements are kept. The least recently heard ones are dropped,
# such as those of servers that have left the list.
MAX_SERVERS = 4096

# Longest time for which a server can turn requests away in advance.
WAIT_MAX_S = 600.0
# The entries return to a server over this share of its time, and over this
# time at most, so that it does not get the requests of all at one instant.
WAIT_SPREAD = 0.1
WAIT_SPREAD_MAX_S = 0.5
# Source of the statements in responses to this entry, for logs and status.
OWN_SOURCE = "own response"

_log = logs.Logger("statement")


@dataclasses.dataclass(frozen=True)
class Record:
    """The newest statement of a server.

    Times are those of the Trio clock, in seconds.

    Attributes:
        started_at_ms: Start time of the server's process, see `fleet.Server`.
        limit_per_s: Requests per second that it accepts from all entries; None
            if it states no limit any more.
        heard_at: Time at which the newest response with a limit was received.
            Without a limit, the time at which the request was sent: the
            server may have responded long before its response was received.
        changed_at: Time at which the statement was last changed.
        source: Entry that announced it; empty for a response to this entry.
        is_leaving: Whether it shuts down. It does not come back from that.
    """

    started_at_ms: int
    limit_per_s: float | None
    heard_at: float
    changed_at: float
    source: str = ""
    is_leaving: bool = False

    def has_same_content(self, other: "Record") -> bool:
        """Returns whether both state the same."""
        return (self.limit_per_s, self.is_leaving) == (
            other.limit_per_s,
            other.is_leaving,
        )


class Statements:
    """The statements of all servers, owned by the process.

    Attributes:
        notify: Called with the instance and the record of each server whose
            statement has changed in a response to this entry.
        notify_leaving: Called with the instance of each server that shuts down
            according to a new statement.
    """

    def __init__(
        self,
        count: collections.abc.Callable[[str], None],
        random: random_module.Random,
    ):
        """Creates an empty table.

        Args:
            count: Increments a counter.
            random: Source of random choices.
        """
        self._count = count
        self._random = random
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        # Start of each server's process, and the time until which it wants no
        # request from this entry.
        self._waits: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._has_logged_malformed: set[str] = set()
        self.notify: collections.abc.Callable[[str, Record], None] = (
            lambda *_: None
        )
        self.notify_leaving: collections.abc.Callable[[str], None] = (
            lambda _: None
        )

    def record(
        self,
        server: fleet.Server,
        head: exchanges.ResponseHead,
        sent_at: float | None = None,
    ) -> None:
        """Records the statement in a response to this entry.

        The absence of a limit counts only in a successful response to a
        request: other responses may come from a part of the server that states
        nothing. The request must have been sent after the limit was last
        heard, since responses may overtake each other.

        Args:
            server: Server that sent the response.
            head: Head of the response.
            sent_at: Time at which the request of a caller was sent, seconds;
                None for a report or the response to an order.
        """
        statement = head.statement
        if statement.malformed:
            self._log_malformed(server, statement)
        self.record_wait(server, statement)
        known = self._find(server.instance, server.started_at_ms)
        limit_per_s = statement.limit_per_s
        if known is None and limit_per_s is None and not statement.is_leaving:
            return
        now = trio.current_time()
        heard_at = now
        if limit_per_s is None and known is not None:
            if (
                sent_at is not None
                and sent_at >= known.heard_at
                and 200 <= head.status < 300
                and not statement.malformed
            ):
                heard_at = sent_at
            else:
                limit_per_s, heard_at = known.limit_per_s, known.heard_at
        record = Record(
            server.started_at_ms,
            limit_per_s,
            heard_at,
            now,
            is_leaving=statement.is_leaving,
        )
        if self._store(server.instance, record):
            self.notify(server.instance, self._records[server.instance])

    def record_fetched(
        self, server: fleet.Server, codec: exchanges.Codec, outcome
    ) -> None:
        """Records the statement in a report or the response to an order.

        Args:
            server: The server.
            codec: Codec of the platform's wire format.
            outcome: Result of `upstreams.Pool.try_fetch`.
        """
        match outcome:
            case result.Success(response):
                head = codec.decode_response(response.status, response.headers)
                self.record(server, head)

    def apply_peer(self, instance: str, record: Record) -> bool:
        """Applies a statement that another entry has heard.

        Args:
            instance: The server's instance.
            record: The statement, with the name of the entry as its source.

        Returns:
            Whether it has changed what is known.
        """
        known = self._records.get(instance)
        if known is not None and record.started_at_ms < known.started_at_ms:
            return False
        known = self._find(instance, record.started_at_ms)
        if known is not None and record.heard_at <= known.heard_at:
            # An older statement that the server leaves is still in force.
            record = dataclasses.replace(
                known, is_leaving=known.is_leaving or record.is_leaving
            )
        return self._store(instance, record)

    def find_limit(self, server: fleet.Server) -> float | None:
        """Returns the requests per second that a server accepts, if limited."""
        record = self.find_record(server)
        return record.limit_per_s if record else None

    def is_leaving(self, server: fleet.Server) -> bool:
        """Returns whether a server has stated that it shuts down."""
        record = self.find_record(server)
        return record is not None and record.is_leaving

    def get_wait_s(self, server: fleet.Server) -> float:
        """Returns how long a server wants no request from this entry, s."""
        started_at_ms, until = self._waits.get(server.instance, (0, 0.0))
        if started_at_ms != server.started_at_ms:
            return 0.0
        return max(0.0, until - trio.current_time())

    def find_record(self, server: fleet.Server) -> Record | None:
        """Returns the newest statement of a server, None if there is none."""
        return self._find(server.instance, server.started_at_ms)

    def find_newest(self, instance: str) -> Record | None:
        """Returns the statement of the newest known process of a server."""
        return self._records.get(instance)

    def list_records(self) -> dict[str, Record]:
        """Returns the newest statement of each server, by instance."""
        return dict(self._records)

    def describe(self, server: fleet.Server) -> dict:
        """Returns the statement of a server as a JSON value."""
        described: dict[str, typing.Any] = {}
        wait_s = self.get_wait_s(server)
        if wait_s:
            described["wait_s"] = round(wait_s, 3)
        record = self.find_record(server)
        if record is None or (
            record.limit_per_s is None and not record.is_leaving
        ):
            return described
        now = trio.current_time()
        if record.is_leaving:
            described["leaving"] = True
        if record.limit_per_s is not None:
            described["limit_per_s"] = record.limit_per_s
        return described | {
            "age_s": round(now - record.heard_at, 3),
            "since_s": round(now - record.changed_at, 3),
            "source": record.source or OWN_SOURCE,
        }

    def _find(self, instance: str, started_at_ms: int) -> Record | None:
        record = self._records.get(instance)
        if record is None or record.started_at_ms != started_at_ms:
            return None
        return record

    def _store(self, instance: str, record: Record) -> bool:
        """Stores a record; returns whether it changes what was known."""
        known = self._find(instance, record.started_at_ms)
        previous = known or Record(record.started_at_ms, None, 0.0, 0.0)
        record = dataclasses.replace(
            record, is_leaving=record.is_leaving or previous.is_leaving
        )
        is_changed = not record.has_same_content(previous)
        if known is not None and not is_changed:
            record = dataclasses.replace(
                record, changed_at=known.changed_at, source=known.source
            )
        self._records[instance] = record
        self._records.move_to_end(instance)
        if len(self._records) > MAX_SERVERS:
            self._records.popitem(last=False)
        if is_changed:
            self._count("statement_changes")
            _log.info(
                "statement of a server changed",
                instance=instance,
                limit_per_s=record.limit_per_s,
                leaving=record.is_leaving,
                previous_limit_per_s=previous.limit_per_s,
                source=record.source or OWN_SOURCE,
            )
        if record.is_leaving and not previous.is_leaving:
            self.notify_leaving(instance)
        return is_changed

    def record_wait(
        self, server: fleet.Server, statement: exchanges.ServerStatement
    ) -> None:
        """Records how long a server wants no request from this entry.

        Args:
            server: The server.
            statement: The statement in a response to this entry.
        """
        wait_s = statement.wait_s
        if wait_s is None:
            return
        spread_s = min(WAIT_SPREAD * wait_s, WAIT_SPREAD_MAX_S)
        wait_s = min(wait_s, WAIT_MAX_S) + spread_s * self._random.random()
        if wait_s <= self.get_wait_s(server):
            return
        until = trio.current_time() + wait_s
        self._waits[server.instance] = (server.started_at_ms, until)
        self._waits.move_to_end(server.instance)
        if len(self._waits) > MAX_SERVERS:
            self._waits.popitem(last=False)
        self._count("server_waits")
        _log.info(
            "server wants no requests for a time",
            instance=server.instance,
            wait_ms=round(1000 * wait_s),
        )

    def _log_malformed(
        self, server: fleet.Server, statement: exchanges.ServerStatement
    ) -> None:
        """Logs a malformed statement, once for each server."""
        self._count("malformed_statements")
        if server.instance in self._has_logged_malformed:
            return
        if len(self._has_logged_malformed) >= MAX_SERVERS:
            self._has_logged_malformed.clear()
        self._has_logged_malformed.add(server.instance)
        _log.warning(
            "malformed statement of a server ignored",
            instance=server.instance,
            malformed="; ".join(statement.malformed),
        )
