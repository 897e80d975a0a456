"""Replicates the configuration: polls the table, exchanges it with peers.

The table service holds the head revision, the current objects and a log of all
changes. A process submits a change as one transaction on the table; the others
get it from their peers, or from the table at their next poll.
"""

import collections.abc
import dataclasses
import json
import random as random_module
import time
import typing

from peridotyard_core import configuration as configuration_module
from peridotyard_core import errors
from peridotyard_core import revisions
from peridotyard_core import verdicts
import returns.result
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.version import catalog as catalog_module
from peridotyard_daemon.wire.generated import ttypes

HEAD_KEY = "config/head"
OBJECT_PREFIX = "config/object/"
LOG_PREFIX = "config/log/"
CHANGE_PREFIX = "config/change/"
# This many consecutive log rows share a key prefix, so that a page of the audit
# trail takes a few scans instead of one read for each row.
LOG_PAGE_ROWS = 100
LOG_PAGE_DIGITS = 2
# A process that is more revisions behind reads all objects with one scan
# instead of the log rows.
LOG_READ_LIMIT = 16
# A fetch without a response may be sent to another peer after this time.
FETCH_TIMEOUT_S = 1.0
# Interval of notices to lagging peers and of reports between entries.
# Heartbeats alone do not suffice, since they are not sent on connections with
# other traffic.
REPAIR_INTERVAL_S = 1.0
SUBMIT_TIMEOUT_S = 10.0
RETRY_DELAY_MIN_S = 0.05
RETRY_DELAY_MAX_S = 1.0

_log = logs.Logger("configuration")


class Row(typing.Protocol):
    """A row of the table."""

    version: int
    value: typing.Any


class Table(typing.Protocol):
    """Operations of the platform's table service; see `process.tables`.

    The failure of a conflict has the code "conflict"; of a request that was
    not sent, the verdict `NOT_RUN`; and of a lost response, `MAY_HAVE_RUN`.
    """

    async def transact(
        self,
        conditions: dict[str, int],
        puts: dict[str, typing.Any],
        deletes: collections.abc.Sequence[str],
    ) -> returns.result.Result[dict[str, int], verdicts.Failure]:
        """Writes atomically, if each key has the version of its condition."""

    async def read(
        self, key: str
    ) -> returns.result.Result[Row | None, verdicts.Failure]:
        """Returns a row, None if it is absent."""

    async def scan(
        self, prefix: str
    ) -> returns.result.Result[dict[str, Row], verdicts.Failure]:
        """Returns the rows whose key has a prefix."""


class TableError(errors.PeridotyardError):
    """A read of the table failed or returned malformed data."""


@dataclasses.dataclass(frozen=True)
class _Head:
    """The head row: the latest revision, and the version of the row."""

    revision: int
    version: int


@dataclasses.dataclass(frozen=True)
class _Observation:
    """Last known revision of a process, at a time of the local clock."""

    role: str
    revision: int
    observed_at: float


def make_log_key(revision: int) -> str:
    """Returns the key of a log row; keys sort by revision."""
    return f"{LOG_PREFIX}{revision:012d}"


class Replicator:
    """The replica of the configuration in one process, owned by the process.

    Attributes:
        configuration: The applied configuration; its revision only increases.
        catalog: Lookup tables of that configuration.
        loaded: Set once a configuration was read from the table or a peer.
    """

    def __init__(
        self,
        instance: str,
        role: str,
        table: Table | None,
        poll_s: float,
        *,
        random=None,
        read_clock=time.time,
        submit_timeout_s: float = SUBMIT_TIMEOUT_S,
    ):
        self.configuration = configuration_module.Configuration()
        self.catalog = catalog_module.Catalog.from_config(self.configuration)
        self.loaded = trio.Event()
        self._instance = instance
        self._role = role
        self._table = table
        self._poll_s = poll_s
        self._random = random or random_module.Random()
        self._read_clock = read_clock
        self._submit_timeout_s = submit_timeout_s
        self._history = revisions.History()
        # Latest local time at which the applied revision was known to be the
        # head of the table.
        self._confirmed_at: float | None = None
        self._connections: dict[typing.Any, int] = {}
        self._observations: dict[str, _Observation] = {}
        self._fetch: tuple[int, float] | None = None

    @classmethod
    def from_config(
        cls, settings, role: str, table: Table | None
    ) -> "Replicator":
        """Makes the replicator from a `settings.DaemonSettings`."""
        return cls(settings.instance, role, table, settings.config_poll_s)

    @property
    def confirmed_age_s(self) -> float | None:
        """Seconds since the applied revision was known to be the head.

        None if it never was.
        """
        if self._confirmed_at is None:
            return None
        return max(0.0, trio.current_time() - self._confirmed_at)

    # Exchange with peers.

    def fill_hello(self, hello: ttypes.Hello) -> None:
        """Sets the revision of a hello."""
        hello.revision = self.configuration.revision

    def fill_heartbeat(self, heartbeat: ttypes.Heartbeat) -> None:
        """Sets the revision and its confirmed age in a heartbeat."""
        heartbeat.revision = self.configuration.revision
        heartbeat.confirmed_age_ms = self._compute_age_ms()

    def handle_connected(self, connection) -> None:
        """Compares revisions with a new peer; fetches or announces the newer.

        Args:
            connection: A `peers.Connection`.
        """
        revision = connection.peer.revision
        # Replaces an earlier value even if that is higher, since a restarted
        # process begins at revision 0 again.
        self._record_revision(connection, revision)
        if revision > self.configuration.revision:
            self._request_revision(connection, revision)
        elif revision < self.configuration.revision:
            connection.post(self._make_notice())

    def handle_frame(self, connection, frame: ttypes.Frame) -> bool:
        """Handles a frame of a peer.

        Returns:
            Whether the frame is only for this class. False for a heartbeat,
            which other handlers use as well.
        """
        if frame.heartbeat is not None:
            self._handle_revision(connection, frame.heartbeat)
            return False
        if frame.config_notice is not None:
            self._handle_revision(connection, frame.config_notice)
        elif frame.config_fetch is not None:
            self._handle_fetch(connection, frame.config_fetch)
        elif frame.config_delta is not None:
            self._handle_delta(connection, frame.config_delta)
        elif frame.revision_report is not None:
            self._handle_report(frame.revision_report)
        else:
            return False
        return True

    def _record_revision(self, connection, revision: int) -> None:
        self._connections[connection] = revision
        peer = connection.peer
        self._observations[peer.instance] = _Observation(
            peer.role, revision, trio.current_time()
        )

    def _handle_revision(self, connection, message) -> None:
        """Handles the revision and confirmed age of a heartbeat or notice."""
        self._record_revision(connection, message.revision)
        held = self.configuration.revision
        if message.revision > held:
            self._request_revision(connection, message.revision)
        elif message.revision == held and message.confirmed_age_ms >= 0:
            age_s = message.confirmed_age_ms / 1000
            self._confirm(trio.current_time() - age_s)

    def _confirm(self, at: float) -> None:
        """Records that the applied revision was the head at a local time."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def _compute_age_ms(self) -> int:
        """Returns the confirmed age as sent to peers, -1 if there is none."""
        age_s = self.confirmed_age_s
        return -1 if age_s is None else int(age_s * 1000)

    def _make_notice(self) -> ttypes.Frame:
        return ttypes.Frame(
            config_notice=ttypes.ConfigNotice(
                self.configuration.revision, self._compute_age_ms()
            )
        )

    def _request_revision(self, connection, revision: int) -> None:
        """Fetches a revision, unless a fetch of it is in progress."""
        now = trio.current_time()
        if self._fetch is not None:
            wanted, requested_at = self._fetch
            if wanted >= revision and now - requested_at < FETCH_TIMEOUT_S:
                return
        self._fetch = (revision, now)
        connection.post(
            ttypes.Frame(
                config_fetch=ttypes.ConfigFetch(self.configuration.revision)
            )
        )

    def _handle_fetch(self, connection, fetch: ttypes.ConfigFetch) -> None:
        self._record_revision(connection, fetch.since)
        current = self.configuration
        if fetch.since >= current.revision:
            return
        delta = self._history.make_delta(current, fetch.since)
        records = [
            ttypes.ConfigRecord(
                record.kind,
                record.name,
                record.revision,
                ""
                if record.value is None
                else json.dumps(
                    configuration_module.render_object(record.value)
                ),
            )
            for record in delta.records
        ]
        connection.post(
            ttypes.Frame(
                config_delta=ttypes.ConfigDelta(
                    delta.since,
                    delta.revision,
                    self._compute_age_ms(),
                    delta.full,
                    records,
                )
            )
        )

    def _handle_delta(self, connection, message: ttypes.ConfigDelta) -> None:
        self._fetch = None
        self._record_revision(connection, message.revision)
        records = []
        try:
            for item in message.records or []:
                value = json.loads(item.body) if item.body else None
                record = _parse_record(
                    item.kind, item.name, item.revision, value
                )
                if record is not None:
                    records.append(record)
        except (ValueError, errors.ConfigurationError) as error:
            _log.error(
                "malformed configuration of a peer ignored",
                peer=connection.peer.instance,
                reason=error,
            )
            return
        delta = revisions.Delta(
            message.since, message.revision, tuple(records), message.full
        )
        age_ms = message.confirmed_age_ms
        # A negative age means that the peer has no confirmation either.
        confirmed_at = (
            None if age_ms < 0 else trio.current_time() - age_ms / 1000
        )
        self._apply_delta(delta, confirmed_at)

    def _handle_report(self, report: ttypes.RevisionReport) -> None:
        connected_instances = {
            c.peer.instance for c in self._connections if c.is_open
        }
        now = trio.current_time()
        for item in report.processes or []:
            observed_at = now - max(0, item.age_ms) / 1000
            known = self._observations.get(item.instance)
            if (
                item.instance in connected_instances
                or item.instance == self._instance
            ):
                continue
            if known is None or known.observed_at < observed_at:
                self._observations[item.instance] = _Observation(
                    item.role, item.revision, observed_at
                )

    def _apply_delta(
        self, delta: revisions.Delta, confirmed_at: float | None
    ) -> None:
        """Applies a delta if it is newer, and notifies the peers."""
        current = self.configuration
        if not revisions.is_applicable(current.revision, delta):
            return
        self.configuration = revisions.apply_delta(current, delta)
        self.catalog = catalog_module.Catalog.from_config(self.configuration)
        self._history.add(current.revision, delta)
        self._confirmed_at = confirmed_at
        self.loaded.set()
        _log.info("configuration applied", revision=delta.revision)
        # Sent also to peers that have the revision: the notice informs them
        # that it is applied here, since heartbeats are not sent on connections
        # with other traffic.
        self._post_all(list(self._connections), self._make_notice())

    def _post_all(self, connections, frame: ttypes.Frame) -> None:
        for connection in connections:
            if not connection.post(frame):
                self._connections.pop(connection, None)

    # Reports.

    def list_reports(self) -> list[revisions.Report]:
        """Returns the applied revision of each known process."""
        now = trio.current_time()
        for connection, revision in list(self._connections.items()):
            if connection.is_open:
                peer = connection.peer
                self._observations[peer.instance] = _Observation(
                    peer.role, revision, now
                )
            else:
                del self._connections[connection]
        for instance, observation in list(self._observations.items()):
            if now - observation.observed_at > revisions.REPORT_RETENTION_S:
                del self._observations[instance]
        self._observations[self._instance] = _Observation(
            self._role, self.configuration.revision, now
        )
        return [
            revisions.Report(
                instance,
                observation.role,
                observation.revision,
                now - observation.observed_at,
            )
            for instance, observation in sorted(self._observations.items())
        ]

    def _repair(self) -> None:
        """Notifies lagging peers; an entry also sends reports to entries."""
        reports = self.list_reports()
        lagging = revisions.choose_push_targets(
            self._connections, self.configuration.revision
        )
        self._post_all(lagging, self._make_notice())
        if self._role != "entry":
            return
        connected_instances = {c.peer.instance for c in self._connections}
        connected_instances.add(self._instance)
        # Reports only processes with a direct connection: if entries forwarded
        # each other's reports, a process that has ended would never expire.
        report = ttypes.RevisionReport(
            [
                ttypes.ProcessRevision(
                    item.instance,
                    item.role,
                    item.revision,
                    int(item.age_s * 1000),
                )
                for item in reports
                if item.instance in connected_instances
            ]
        )
        entries = [c for c in self._connections if c.peer.role == "entry"]
        self._post_all(entries, ttypes.Frame(revision_report=report))

    # Table.

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Polls the table and updates lagging peers until cancelled."""
        async with trio.open_nursery() as nursery:
            if self._table is not None:
                nursery.start_soon(self._run_polls)
            task_status.started()
            while True:
                await trio.sleep(REPAIR_INTERVAL_S)
                self._repair()

    async def _run_polls(self) -> None:
        while True:
            interval_s = revisions.choose_poll_interval(
                len(self._observations), self._poll_s, self._random
            )
            # A confirmation by a peer replaces a poll. The tolerance keeps
            # rounding of the clock from causing sleeps of zero length.
            while (
                age_s := self.confirmed_age_s
            ) is not None and age_s < interval_s - 1e-6:
                await trio.sleep(interval_s - age_s)
            try:
                await self.refresh()
            except TableError as error:
                _log.warning("configuration not readable", reason=error)
            age_s = self.confirmed_age_s
            if age_s is None or age_s >= interval_s - 1e-6:
                await trio.sleep(interval_s)

    async def refresh(self) -> _Head:
        """Reads the head row and applies the changes up to it.

        Raises:
            TableError: The table cannot be read or has a malformed row.
        """
        try:
            return await self._refresh()
        except (errors.ConfigurationError, KeyError, TypeError) as error:
            # Applying only the other rows would give a configuration that no
            # operator has submitted.
            raise TableError(f"malformed row: {error!r}") from error

    async def _refresh(self) -> _Head:
        # Taken before the read, since the head may change right after it.
        requested_at = trio.current_time()
        row = await self._read(HEAD_KEY)
        head = _Head(row.value["revision"], row.version) if row else _Head(0, 0)
        if head.revision > self.configuration.revision:
            delta = await self._read_delta(head.revision)
            is_head = delta.revision == head.revision
            self._apply_delta(delta, requested_at if is_head else None)
        if head.revision < self.configuration.revision:
            _log.debug(
                "head row older than the applied revision",
                revision=head.revision,
            )
        if head.revision == self.configuration.revision:
            self._confirm(requested_at)
            self.loaded.set()
        return head

    async def _read(self, key: str) -> Row | None:
        return _unwrap(await self._table.read(key))

    async def _read_delta(self, revision: int) -> revisions.Delta:
        since = self.configuration.revision
        if since and revision - since <= LOG_READ_LIMIT:
            return await self._read_log(since, revision)
        scanned = _unwrap(await self._table.scan(OBJECT_PREFIX))
        # The scan is not a snapshot. None of its objects is newer than the head
        # row read after it, and the log brings all of them to that revision.
        row = await self._read(HEAD_KEY)
        last = row.value["revision"] if row else 0
        logged = await self._read_log(revision, last)
        records = [_parse_row(item.value) for item in scanned.values()]
        latest = {r.key: r for r in records if r is not None}
        latest |= {r.key: r for r in logged.records}
        return revisions.Delta(0, last, tuple(latest.values()), full=True)

    async def _read_log(self, since: int, revision: int) -> revisions.Delta:
        latest = {}
        for number in range(since + 1, revision + 1):
            row = await self._read(make_log_key(number))
            if row is None:
                raise TableError(f"log row of revision {number} is missing")
            for item in row.value["objects"]:
                record = _parse_row(item)
                if record is not None:
                    latest[record.key] = record
        return revisions.Delta(since, revision, tuple(latest.values()))

    async def read_changes(self, limit: int, before: int | None = None):
        """Reads the audit trail, newest first.

        Args:
            limit: Number of changes.
            before: Only changes of lower revisions, None for all.

        Returns:
            `Result` of a list of log rows, each a JSON object.
        """
        try:
            head = await self._require_table()
            last = head.revision if before is None else before - 1
            last = min(last, head.revision)
            rows = []
            while last > 0 and len(rows) < limit:
                prefix = make_log_key(last)[:-LOG_PAGE_DIGITS]
                found = _unwrap(await self._table.scan(prefix))
                page = [row.value for row in found.values()]
                rows += sorted(
                    (row for row in page if row["revision"] <= last),
                    key=lambda row: -row["revision"],
                )
                last = last // LOG_PAGE_ROWS * LOG_PAGE_ROWS - 1
            return returns.result.Success(rows[:limit])
        except TableError as error:
            return returns.result.Failure(
                verdicts.make_not_run_failure(
                    "store-unavailable", str(error), 1.0
                )
            )

    async def _require_table(self) -> _Head:
        if self._table is None:
            raise TableError("no table service is set in [platform] table")
        return await self.refresh()

    # Changes.

    async def submit(
        self, change: configuration_module.Change
    ) -> returns.result.Result[int, verdicts.Failure]:
        """Writes a change to the table and applies it to this process.

        Returns:
            The revision of the change. After a failure with the verdict
            `NOT_RUN` the change was certainly not made; with `MAY_HAVE_RUN` it
            can be submitted again with the same change id, and takes effect at
            most once.
        """
        attempt = _Attempt(self, change)
        pause_s = RETRY_DELAY_MIN_S
        with trio.move_on_after(self._submit_timeout_s):
            while True:
                try:
                    result = await attempt.run()
                except TableError as error:
                    attempt.reason = str(error)
                    result = None
                if result is not None:
                    return result
                await trio.sleep(pause_s * self._random.uniform(0.5, 1.5))
                pause_s = min(2 * pause_s, RETRY_DELAY_MAX_S)
        if attempt.unresolved_version is not None:
            return returns.result.Failure(
                verdicts.make_may_have_run_failure(
                    "outcome-unknown",
                    f"The change may have been made: {attempt.reason}. Submit"
                    " it again with the same change_id.",
                )
            )
        return returns.result.Failure(
            verdicts.make_not_run_failure(
                "store-unavailable",
                f"The change was not made: {attempt.reason}.",
                1.0,
            )
        )


class _Attempt:
    """Writes one change in repeated attempts; owned by `Replicator.submit`.

    Attributes:
        unresolved_version: Version of the head row that a transaction of
            unknown outcome depends on, None if there is none. The transaction
            cannot take effect once the head row has changed.
        reason: Why the last attempt did not succeed.
    """

    def __init__(
        self, replicator: Replicator, change: configuration_module.Change
    ):
        self.unresolved_version: int | None = None
        self.reason = "the table service did not respond in time"
        self._replicator = replicator
        self._change = change
        self._change_key = CHANGE_PREFIX + change.change_id

    async def run(self):
        """Makes one attempt.

        Returns:
            The final result, or None if another attempt may succeed.
        """
        head = await self._replicator._require_table()
        current = self._replicator.configuration
        # Read after the head, so that the effect of an earlier attempt of this
        # change is not mistaken for a conflict.
        done = await self._replicator._read(self._change_key)
        if done is not None:
            return self._resolve_duplicate(done.value)
        if head.version != self.unresolved_version:
            self.unresolved_version = None
        if current.revision != head.revision:
            self.reason = "the configuration kept changing"
            return None
        failure = self._check(current)
        if failure is not None:
            return returns.result.Failure(failure)
        return await self._write(head, current)

    def _resolve_duplicate(self, row):
        """Returns the result for a change id that the table already has."""
        if row["digest"] == self._change.digest:
            return returns.result.Success(row["revision"])
        return returns.result.Failure(
            verdicts.make_not_run_failure(
                "idempotency-key-reused",
                f"change_id {self._change.change_id!r} belongs to another"
                f" change, of revision {row['revision']}.",
            )
        )

    def _check(self, current) -> verdicts.Failure | None:
        change = self._change
        if change.workspace:
            reason = configuration_module.check_scope(
                current, change.values, change.workspace
            )
            if reason:
                return verdicts.make_not_run_failure("forbidden", reason)
        conflicts = revisions.find_conflicts(current, change)
        if conflicts:
            names = ", ".join(
                configuration_module.render_key(c.key) for c in conflicts
            )
            return configuration_module.Rejection(
                "conflict",
                verdicts.Verdict.NOT_RUN,
                f"Changed by others: {names}.",
                conflicts=conflicts,
            )
        try:
            configuration_module.check_references(
                current.replace(current.revision + 1, change.values)
            )
        except errors.ConfigurationError as error:
            return configuration_module.Rejection.from_error(error)
        return None

    async def _write(self, head: _Head, current):
        replicator, change = self._replicator, self._change
        revision = head.revision + 1
        conditions = {
            HEAD_KEY: head.version,
            make_log_key(revision): 0,
            self._change_key: 0,
        }
        puts, deletes, rows = {}, [], []
        for key, value in sorted(change.values.items()):
            row_key = OBJECT_PREFIX + configuration_module.render_key(key)
            row = await replicator._read(row_key)
            held = current.objects.get(key)
            if (row.value["revision"] if row else 0) != (
                held.revision if held else 0
            ):
                self.reason = "the configuration kept changing"
                return None
            conditions[row_key] = row.version if row else 0
            rows.append(_render_row(key, revision, value))
            if value is not None:
                puts[row_key] = rows[-1]
            elif row is not None:
                deletes.append(row_key)
        puts[HEAD_KEY] = {"revision": revision}
        puts[self._change_key] = {
            "revision": revision,
            "digest": change.digest,
        }
        puts[make_log_key(revision)] = {
            "revision": revision,
            "change_id": change.change_id,
            "author": change.author,
            "time_s": replicator._read_clock(),
            "objects": rows,
        }
        earlier = self.unresolved_version
        requested_at = trio.current_time()
        # Set before the request, since the time limit may pass during it.
        self.unresolved_version = head.version
        result = await replicator._table.transact(conditions, puts, deletes)
        match result:
            case returns.result.Success():
                records = tuple(_parse_row(row) for row in rows)
                replicator._apply_delta(
                    revisions.Delta(head.revision, revision, records),
                    requested_at,
                )
                return returns.result.Success(revision)
            case returns.result.Failure(failure):
                self.reason = failure.message
                if failure.verdict is verdicts.Verdict.NOT_RUN:
                    self.unresolved_version = earlier
        return None


def _unwrap(result):
    match result:
        case returns.result.Success(value):
            return value
        case returns.result.Failure(failure):
            raise TableError(failure.message)


def _render_row(key, revision: int, value) -> dict:
    return {
        "kind": key[0],
        "name": key[1],
        "revision": revision,
        "value": value and configuration_module.render_object(value),
    }


def _parse_row(row: dict) -> configuration_module.Record | None:
    return _parse_record(
        row["kind"], row["name"], row["revision"], row["value"]
    )


def _parse_record(
    kind: str, name: str, revision: int, value
) -> configuration_module.Record | None:
    """Returns a stored record, None if its kind belongs to a later release."""
    if kind not in configuration_module.KINDS:
        _log.warning("object of an unknown kind ignored", kind=kind)
        return None
    if value is not None:
        value = configuration_module.parse_object(
            value, f"{kind}/{name}", ignore_unknown=True
        )
    return configuration_module.Record(kind, name, revision, value)
