"""Server-sent events: splitting a byte stream and checking its order."""

import dataclasses
import re

# An event ends with an empty line, written with either line end.
_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
# Far above an event of the platform (some hundred bytes); a server that sends
# no event end must not fill the memory of the entry.
EVENT_LIMIT_BYTES = 1 << 20


class SequenceError(ValueError):
    """A server sent an event twice, left one out or sent none at all."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One whole event.

    Attributes:
        number: Its id, None for a comment or an event without one.
        data: Its bytes with the empty line that ends it.
    """

    number: int | None
    data: bytes


class Splitter:
    """Splits what one server sends into whole events.

    Owned by the exchange with that server; a stream that goes on at another
    server needs a new one, since the first may have stopped within an event.
    """

    def __init__(self):
        self._rest = b""

    @property
    def is_empty(self) -> bool:
        """Whether there is no incomplete event."""
        return not self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that the data completes.

        Raises:
            SequenceError: An event is longer than `EVENT_LIMIT_BYTES`.
        """
        data = self._rest + data if self._rest else data
        events = []
        begin = 0
        for match in _END.finditer(data):
            chunk = data[begin : match.end()]
            begin = match.end()
            found = _ID.search(chunk)
            number = int(found.group(1)) if found else None
            events.append(Event(number, chunk))
        self._rest = data[begin:]
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise SequenceError("an event is longer than 1 MiB")
        return events


class Sequence:
    """The order of the events of one response, owned by the response.

    Attributes:
        last: Id of the last accepted event; None before the first.
    """

    def __init__(self, last: int | None):
        """Starts after an event.

        Args:
            last: Id after which the caller asked to go on, or None.
        """
        self.last = last

    def accept_event(self, event: Event) -> None:
        """Checks and counts an event.

        Events without an id have no place in the order.

        Raises:
            SequenceError: An event was left out, or came again.
        """
        if event.number is None:
            return
        if self.last is not None and event.number != self.last + 1:
            raise SequenceError(
                f"event {event.number} came after event {self.last}"
            )
        self.last = event.number
