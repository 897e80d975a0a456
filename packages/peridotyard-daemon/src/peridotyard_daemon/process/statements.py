"""What backend servers state about themselves in their responses.

An entry learns the statements from the responses to its own requests and from
the other entries. A statement applies to one process of a server: a server that
has started again begins without one.
"""

import collections
import collections.abc
import dataclasses

from peridotyard_core import exchanges
from peridotyard_core import fleet
import trio

from peridotyard_daemon.process import logs

# Servers whose statements are kept. The least recently heard ones are dropped,
# such as those of servers that have left the list.
MAX_SERVERS = 4096

_log = logs.Logger("statement")


@dataclasses.dataclass(frozen=True)
class Record:
    """The newest statement of a server.

    Times are those of the Trio clock, in seconds.

    Attributes:
        started_at_ms: Start time of the server's process, see `fleet.Server`.
        limit_per_s: Requests per second that it accepts from all entries; None
            if it states no limit any more.
        heard_at: Time of the newest response with this statement.
        changed_at: Time at which the limit was last changed.
        source: Entry that announced it; empty for a response to this entry.
    """

    started_at_ms: int
    limit_per_s: float | None
    heard_at: float
    changed_at: float
    source: str = ""


class Statements:
    """The statements of all servers, owned by the process.

    Attributes:
        notify: Called with the instance and the record of each server whose
            statement has changed in a response to this entry.
    """

    def __init__(self, count: collections.abc.Callable[[str], None]):
        """Creates an empty table.

        Args:
            count: Increments a counter.
        """
        self._count = count
        self._records: collections.OrderedDict[str, Record] = (
            collections.OrderedDict()
        )
        self._has_logged_malformed: set[str] = set()
        self.notify: collections.abc.Callable[[str, Record], None] = (
            lambda *_: None
        )

    def record(
        self, server: fleet.Server, head: exchanges.ResponseHead
    ) -> None:
        """Records the statement in a response to this entry.

        The absence of a limit counts only in a successful response: an error
        response may come from a part of the server that states nothing.

        Args:
            server: Server that sent the response.
            head: Head of the response.
        """
        statement = head.statement
        if statement.malformed:
            self._log_malformed(server, statement)
            return
        limit_per_s = statement.limit_per_s
        known = self._find(server.instance, server.started_at_ms)
        if limit_per_s is None and (
            known is None
            or known.limit_per_s is None
            or not 200 <= head.status < 300
        ):
            return
        now = trio.current_time()
        record = Record(server.started_at_ms, limit_per_s, now, now)
        if self._store(server.instance, record):
            self.notify(server.instance, self._records[server.instance])

    def apply_peer(self, instance: str, record: Record) -> bool:
        """Applies a statement that another entry has heard.

        Args:
            instance: The server's instance.
            record: The statement, with the name of the entry as its source.

        Returns:
            Whether it has changed what is known.
        """
        known = self._records.get(instance)
        if known is not None and (
            record.started_at_ms < known.started_at_ms
            or (
                record.started_at_ms == known.started_at_ms
                and record.heard_at <= known.heard_at
            )
        ):
            return False
        return self._store(instance, record)

    def find_limit(self, server: fleet.Server) -> float | None:
        """Returns the requests per second that a server accepts, if limited."""
        record = self._find(server.instance, server.started_at_ms)
        return record.limit_per_s if record else None

    def find_record(self, server: fleet.Server) -> Record | None:
        """Returns the newest statement of a server, None if there is none."""
        return self._find(server.instance, server.started_at_ms)

    def list_records(self) -> dict[str, Record]:
        """Returns the newest statement of each server, by instance."""
        return dict(self._records)

    def describe(self, server: fleet.Server) -> dict:
        """Returns the statement of a server as a JSON value."""
        record = self._find(server.instance, server.started_at_ms)
        if record is None or record.limit_per_s is None:
            return {}
        now = trio.current_time()
        return {
            "limit_per_s": record.limit_per_s,
            "age_s": round(now - record.heard_at, 3),
            "since_s": round(now - record.changed_at, 3),
            "source": record.source or "own response",
        }

    def _find(self, instance: str, started_at_ms: int) -> Record | None:
        record = self._records.get(instance)
        if record is None or record.started_at_ms != started_at_ms:
            return None
        return record

    def _store(self, instance: str, record: Record) -> bool:
        """Stores a record; returns whether it changes what was known."""
        known = self._find(instance, record.started_at_ms)
        previous = known.limit_per_s if known else None
        is_changed = previous != record.limit_per_s
        if known is not None and not is_changed:
            record = dataclasses.replace(
                record, changed_at=known.changed_at, source=known.source
            )
        self._records[instance] = record
        self._records.move_to_end(instance)
        if len(self._records) > MAX_SERVERS:
            self._records.popitem(last=False)
        if is_changed:
            self._count("limit_changes")
            _log.info(
                "server limit changed",
                instance=instance,
                limit_per_s=record.limit_per_s,
                previous=previous,
                source=record.source or "own response",
            )
        return is_changed

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
