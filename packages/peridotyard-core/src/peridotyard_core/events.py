"""Server-sent events: splitting a byte stream and checking its sequence."""

import dataclasses
import re

# An event ends with an empty line; lines end with LF or CR LF.
_END = re.compile(rb"\r?\n\r?\n")
_END_BYTES = 4
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
# A comment, or a field with or without a value.
_LINE = re.compile(rb":|[A-Za-z][\w-]*(:|$)")
# Largest size of an event. Events of the platform have some hundred bytes; the
# limit prevents a server that never ends an event from filling the memory of
# the entry.
EVENT_LIMIT_BYTES = 1 << 20


class SequenceError(ValueError):
    """A server repeated or skipped an event, or sent a malformed one."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete event.

    Attributes:
        number: Id of the event, None for a comment or an event without an id.
        data: Bytes of the event, including the empty line that ends it.
    """

    number: int | None
    data: bytes


class Splitter:
    """Splits the bytes that one server sends into complete events.

    Owned by the exchange with that server. A stream that continues at another
    server needs a new splitter, since the first server may have stopped in the
    middle of an event.
    """

    def __init__(self):
        self._rest = b""

    @property
    def is_empty(self) -> bool:
        """Whether there is no incomplete event."""
        return not self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are complete with the new data.

        Args:
            data: The next bytes.

        Raises:
            SequenceError: An event is longer than `EVENT_LIMIT_BYTES`, or its
                bytes are no event.
        """
        # The end of an event may have arrived in two parts.
        searched = max(0, len(self._rest) - _END_BYTES)
        data = self._rest + data if self._rest else data
        events = []
        begin = 0
        for match in _END.finditer(data, searched):
            chunk = data[begin : match.end()]
            begin = match.end()
            found = _ID.search(chunk)
            number = int(found.group(1)) if found else None
            if number is None:
                _check_lines(chunk)
            events.append(Event(number, chunk))
        self._rest = data[begin:]
        if len(self._rest) > EVENT_LIMIT_BYTES:
            raise SequenceError("an event is longer than 1 MiB")
        return events


def _check_lines(chunk: bytes) -> None:
    """Checks that an event without an id consists of comments and fields.

    Raises:
        SequenceError: A line is neither.
    """
    for line in chunk.splitlines():
        if line and not _LINE.match(line):
            raise SequenceError(f"bytes that are no event: {line[:20]!r}")


class Sequence:
    """Checks the sequence of the events of one response, owned by the response.

    Attributes:
        last: Id of the last accepted event; None before the first.
    """

    def __init__(self, last: int | None):
        """Creates a sequence that continues after an event.

        Args:
            last: Id of the event after which the caller asked to continue;
                None to accept any id first.
        """
        self.last = last

    def accept_event(self, event: Event) -> None:
        """Checks that an event is the next one; events without an id pass.

        Args:
            event: The event.

        Raises:
            SequenceError: An event was skipped or repeated.
        """
        if event.number is None:
            return
        if self.last is not None and event.number != self.last + 1:
            raise SequenceError(
                f"event {event.number} came after event {self.last}"
            )
        self.last = event.number
