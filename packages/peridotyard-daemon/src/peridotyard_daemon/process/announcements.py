"""Exchange of servers' statements and of reservations between entries.

The messages travel on the connections of `process.mesh`.
"""

import collections
import collections.abc
import typing

from peridotyard_core import limits
import trio

from peridotyard_daemon.connection import peers
from peridotyard_daemon.process import reservations as reservations_module
from peridotyard_daemon.process import statements as statements_module
from peridotyard_daemon.wire.generated import ttypes

# Inquiries without a reply that are kept.
MAX_PENDING = 4096
# Longest wait that a reply may state, milliseconds.
MAX_WAIT_MS = 60000


class Mesh(typing.Protocol):
    """What the exchange uses of `process.mesh.Mesh`."""

    def find_coordinator(self, instance: str) -> peers.Connection | None:
        """Returns the connection to ask; None if this entry coordinates."""

    def is_from_member(self, connection: peers.Connection) -> bool:
        """Returns whether this entry asks the coordinator for a peer."""

    def compute_limit_share(self) -> float:
        """Returns the share of a server's limit that this entry may grant."""

    def forward(
        self, frame: ttypes.Frame, source: peers.Connection | None = None
    ) -> None:
        """Sends a message on its way to all entries."""


class Exchange:
    """Statements and reservations on the wire, owned by the process."""

    def __init__(
        self,
        mesh: Mesh,
        statements: statements_module.Statements,
        reservations: reservations_module.Reservations,
    ):
        self._mesh = mesh
        self._statements = statements
        self._reservations = reservations
        self._last_id = 0
        self._pending: collections.OrderedDict[
            int, reservations_module.Reply
        ] = collections.OrderedDict()
        statements.notify = self._announce
        reservations.ask = self._ask

    def send_statements(self, connection: peers.Connection) -> None:
        """Sends what is known of servers to a peer that has just connected."""
        known = [
            _encode_statement(instance, record)
            for instance, record in self._statements.list_records().items()
            if record.limit_per_s is not None or record.is_leaving
        ]
        if known:
            connection.post(_make_frame(known))

    def handle_statements(
        self, connection: peers.Connection, message: ttypes.ServerStatements
    ) -> None:
        """Applies the statements that another entry has heard."""
        source = connection.peer.instance
        changed = [
            statement
            for statement in message.statements
            if self._statements.apply_peer(
                statement.instance, _decode_statement(statement, source)
            )
        ]
        if changed:
            self._mesh.forward(_make_frame(changed), connection)

    def handle_request(
        self, connection: peers.Connection, message: ttypes.ReservationRequest
    ) -> None:
        """Replies to an inquiry, or passes it on for a member."""
        if message.statement is None:
            return
        inquiry = reservations_module.Inquiry(
            message.statement.instance,
            _decode_statement(message.statement, connection.peer.instance),
            message.max_wait_ms / 1000,
        )

        def reply(decision: limits.Decision) -> None:
            connection.post(_encode_reply(message.id, decision))

        if self._mesh.is_from_member(connection):
            self._ask(inquiry, reply)
        else:
            # The other entry has chosen this one. Their views of the connected
            # entries may differ for a time, so it is not passed on again.
            reply(self._decide(inquiry))

    def handle_reply(
        self, _connection: peers.Connection, message: ttypes.ReservationReply
    ) -> None:
        """Passes a coordinator's decision to the one that asked for it."""
        reply = self._pending.pop(message.id, None)
        if reply is None:
            return
        wait_s = min(max(0, message.wait_ms), MAX_WAIT_MS) / 1000
        reply(
            limits.Granted(wait_s)
            if message.is_granted
            else limits.Denied(wait_s)
        )

    def _announce(
        self, instance: str, record: statements_module.Record
    ) -> None:
        self._mesh.forward(_make_frame([_encode_statement(instance, record)]))

    def _ask(
        self,
        inquiry: reservations_module.Inquiry,
        reply: reservations_module.Reply,
    ) -> None:
        connection = self._mesh.find_coordinator(inquiry.instance)
        if connection is None:
            reply(self._decide(inquiry))
            return
        self._last_id += 1
        self._pending[self._last_id] = reply
        if len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
        request = ttypes.ReservationRequest(
            self._last_id,
            _encode_statement(inquiry.instance, inquiry.record),
            int(1000 * inquiry.max_wait_s),
        )
        connection.post(ttypes.Frame(reservation_request=request))

    def _decide(self, inquiry: reservations_module.Inquiry) -> limits.Decision:
        share = self._mesh.compute_limit_share()
        return self._reservations.decide(inquiry, share)


def _make_frame(statements: list[ttypes.ServerStatement]) -> ttypes.Frame:
    return ttypes.Frame(server_statements=ttypes.ServerStatements(statements))


def _encode_reply(inquiry_id: int, decision: limits.Decision) -> ttypes.Frame:
    # Rounded up, so that the request is not sent too early.
    wait_ms = -int(-1000 * decision.wait_s // 1)
    is_granted = isinstance(decision, limits.Granted)
    message = ttypes.ReservationReply(inquiry_id, is_granted, wait_ms)
    return ttypes.Frame(reservation_reply=message)


def _encode_statement(
    instance: str, record: statements_module.Record
) -> ttypes.ServerStatement:
    age_s = trio.current_time() - record.heard_at
    return ttypes.ServerStatement(
        instance,
        record.started_at_ms,
        record.limit_per_s is not None,
        record.limit_per_s or 0.0,
        round(1000 * age_s),
        record.is_leaving,
    )


def _decode_statement(
    statement: ttypes.ServerStatement, source: str
) -> statements_module.Record:
    now = trio.current_time()
    limit_per_s = statement.limit_per_s
    # A server's limit is only accepted if it is a number of at least 0.
    is_limited = statement.is_limited and 0 <= limit_per_s < float("inf")
    return statements_module.Record(
        started_at_ms=statement.started_at_ms,
        limit_per_s=limit_per_s if is_limited else None,
        heard_at=now - max(0, statement.age_ms) / 1000,
        changed_at=now,
        source=source,
        is_leaving=statement.is_leaving,
    )
