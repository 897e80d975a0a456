"""A stand-in for the users' callers."""

import asyncio
import dataclasses

from support import http1
from support import records

CONNECT_S = 1.0


@dataclasses.dataclass
class Outcome:
    """What a caller has seen of one request.

    Attributes:
        request_id: Id of the request.
        is_kept: Whether its channel has carried another request before.
        sent_at: Time at which it was sent, seconds.
        status: Status of the response; 0 without one.
        is_complete: Whether the whole response was received.
        is_closed: Whether the channel ended before that.
        body: The received part of the body.
    """

    request_id: str
    is_kept: bool
    sent_at: float
    status: int = 0
    is_complete: bool = False
    is_closed: bool = False
    body: bytes = b""


class Caller:
    """One caller that keeps its channel open, owned by its task."""

    def __init__(self, name: str, record: records.Record):
        self._name = name
        self._record = record
        self._count = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._address = ""
        self._is_kept = False

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None

    async def send(
        self,
        address: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        method: str = "POST",
        limit_s: float = 3.0,
    ) -> Outcome | None:
        """Sends one request; returns None if no channel could be made."""
        if address != self._address:
            self.close()
        if self._writer is None and not await self._connect(address):
            return None
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        data = http1.render(
            f"{method} {target} HTTP/1.1",
            {
                "Host": headers.get("Host", "api.example"),
                "X-Attempt-Id": request_id,
                "X-Deadline-Ms": str(round(1000 * limit_s)),
            }
            | headers,
            body,
        )
        sent_at = self._record.write(
            "sent", request=request_id, entry=address, kept=self._is_kept
        )
        outcome = Outcome(request_id, self._is_kept, sent_at)
        try:
            self._writer.write(data)
            await asyncio.wait_for(self._receive(outcome), limit_s)
        except asyncio.TimeoutError:
            # The caller leaves at its time limit.
            self.close()
        except (http1.BrokenError, OSError):
            outcome.is_closed = True
            self.close()
        except asyncio.CancelledError:
            self.close()
            raise
        self._is_kept = True
        self._record.write(
            "answered" if outcome.is_complete else "not answered",
            request=request_id,
            status=outcome.status,
            closed=outcome.is_closed,
            bytes=len(outcome.body),
        )
        return outcome

    async def _connect(self, address: str) -> bool:
        host, _, port = address.rpartition(":")
        try:
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), CONNECT_S
            )
        except (OSError, asyncio.TimeoutError):
            self._record.write("not connected", entry=address)
            return False
        self._address = address
        self._is_kept = False
        return True

    async def _receive(self, outcome: Outcome) -> None:
        reader = self._reader
        head = await http1.read_head(reader)
        if head is None:
            raise http1.BrokenError("closed without an answer")
        outcome.status = head.status
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await http1.read_chunk(reader):
                outcome.body += chunk
        else:
            length = int(head.headers.get("content-length", "0"))
            try:
                outcome.body = await reader.readexactly(length)
            except asyncio.IncompleteReadError as error:
                raise http1.BrokenError("closed within an answer") from error
        outcome.is_complete = True
        if head.headers.get("connection", "").lower() == "close":
            self.close()
