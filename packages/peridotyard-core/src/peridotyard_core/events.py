"""Server-sent events: splitting a byte stream and checking its sequence."""

import dataclasses
import re

# An event ends with an empty line; lines end with LF or CR LF.
_END = re.compile(rb"\r?\n\r?\n")
_END_BYTES = 4
# Value of the field `id`. Longer numbers than 18 digits are no counts of
# events, and the conversion of thousands of digits raises an error.
_ID = re.compile(rb"[ ]?([0-9]{1,18})")
# Name of a field that the standard of server-sent events does not define.
_EXTENSION = re.compile(rb"[A-Za-z][\w-]*")
# Largest size of an event. Events of the platform have some hundred bytes; the
# limit prevents a server that never ends an event from filling the memory of
# the entry.
EVENT_LIMIT_BYTES = 1 << 20
# Ids with which a stream may begin. The protocol does not fix the first one.
FIRST_IDS = (0, 1)


class SequenceError(ValueError):
    """A server repeated or skipped an event, or sent a malformed one."""


class AmbiguousError(SequenceError):
    """It is unknown whether the first event has a wrong id or the second."""


@dataclasses.dataclass(frozen=True)
class Event:
    """One complete event.

    Attributes:
        number: Id of the event, None for a comment or an event without data.
        data: Bytes of the event, including the empty line that ends it.
    """

    number: int | None
    data: bytes


@dataclasses.dataclass(frozen=True)
class Batch:
    """The events that arrived together.

    Attributes:
        events: Sound events, in order.
        error: Why the bytes after them are not sound; None if they are.
    """

    events: tuple[Event, ...]
    error: SequenceError | None = None


class Splitter:
    """Splits the bytes that one server sends into complete events.

    Owned by the exchange with that server. A stream that continues at another
    server needs a new splitter, since the first server may have stopped in the
    middle of an event.
    """

    def __init__(self):
        # Extended in place, since a server may send a long event in thousands
        # of small parts.
        self._rest = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether there is no incomplete event."""
        return not self._rest

    def feed(self, data: bytes) -> Batch:
        """Returns the events that are complete with the new data.

        The error of the batch is that an event is longer than
        `EVENT_LIMIT_BYTES` or malformed. Nothing may be fed after it.

        Args:
            data: The next bytes.
        """
        # The end of an event may have arrived in two parts.
        searched = max(0, len(self._rest) - _END_BYTES)
        self._rest += data
        events = []
        begin = 0
        for match in _END.finditer(self._rest, searched):
            chunk = bytes(self._rest[begin : match.end()])
            try:
                events.append(Event(_parse_id(chunk), chunk))
            except SequenceError as error:
                return Batch(tuple(events), error)
            begin = match.end()
        del self._rest[:begin]
        if len(self._rest) > EVENT_LIMIT_BYTES:
            error = SequenceError("an event is longer than 1 MiB")
            return Batch(tuple(events), error)
        return Batch(tuple(events))


def _parse_id(chunk: bytes) -> int | None:
    """Returns the id of an event; None for one without id and data.

    The rules are narrower than those of server-sent events, so that one wrong
    byte neither hides an id nor joins two events: an event with data has one
    id, fields of the platform stand ahead of the others, and comments ahead of
    the data.

    Raises:
        SequenceError: The bytes are no event.
    """
    number: int | None = None
    has_data = has_extension = has_field = False
    for line in chunk.strip(b"\r\n").splitlines():
        name, colon, value = line.partition(b":")
        if name == b"id" and number is None:
            found = _ID.fullmatch(value)
            if found is None:
                raise SequenceError(f"malformed id: {value[:20]!r}")
            number = int(found[1])
        elif name == b"data" and colon:
            has_data = True
        elif name in (b"event", b"retry") and colon:
            pass
        elif not name and colon and not has_data:
            continue
        elif name != b"id" and colon and not has_field:
            if not _EXTENSION.fullmatch(name):
                raise SequenceError(f"bytes that are no event: {line[:20]!r}")
            has_extension = True
            continue
        else:
            raise SequenceError(f"bytes that are no event: {line[:20]!r}")
        has_field = True
    if has_data != (number is not None) or (has_extension and not has_data):
        raise SequenceError(f"event without id or data: {chunk[:20]!r}")
    return number


class Sequence:
    """Checks the sequence of the events of one response, owned by the response.

    Attributes:
        last: Id of the last event that was handed to the caller's connection;
            None before the first.
        is_certain: Whether the stream can be resumed after `last`.
    """

    def __init__(self, last: int | None):
        """Creates a sequence that continues after an event.

        Args:
            last: Id of the event after which the caller asked to continue;
                None for the beginning of the stream.
        """
        self.last = last
        self.is_certain = True
        # Whether `last` is the id of a first event that may be wrong.
        self._is_tentative = False

    def check(self, batch: Batch) -> Batch:
        """Returns the events that continue the sequence.

        Events without an id pass. Nothing is recorded, see `advance`.

        Args:
            batch: The events that arrived.

        Returns:
            Those ahead of the first one that was skipped or repeated, and the
            error; the error of `batch` if there is none.
        """
        last, is_tentative = self.last, self._is_tentative
        first = 0
        for index, event in enumerate(batch.events):
            number = event.number
            if number is None:
                continue
            expected = FIRST_IDS if last is None else (last + 1,)
            if number not in expected:
                reason = f"event {number} came after event {last}"
                if not is_tentative or number - 1 not in FIRST_IDS:
                    return Batch(batch.events[:index], SequenceError(reason))
                # This id or the first one is wrong.
                if self.last is None:
                    return Batch(batch.events[:first], SequenceError(reason))
                return Batch((), AmbiguousError(reason))
            is_tentative = last is None
            if is_tentative:
                first = index
            last = number
        return batch

    def advance(self, batch: Batch) -> None:
        """Records that checked events were handed to the caller's connection.

        Args:
            batch: A result of `check`.
        """
        for event in batch.events:
            if event.number is not None:
                self._is_tentative = self.last is None
                self.last = event.number
        if isinstance(batch.error, AmbiguousError):
            self.is_certain = False
