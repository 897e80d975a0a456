"""The byte tokenizer, incremental decoding and stop sequences."""

import codecs
import collections.abc

# Ids at or above this one are control tokens without text.
BYTE_COUNT = 256


def encode(text: str) -> list[int]:
    """Returns one token for each byte of the text in UTF-8."""
    return list(text.encode("utf-8", errors="replace"))


class Decoder:
    """Decodes the tokens of one response to text, owned by its request.

    A character whose bytes arrive in several batches is returned when it is
    complete. Bytes that are not valid UTF-8 are replaced by U+FFFD.
    """

    def __init__(self):
        self._decoder = codecs.getincrementaldecoder("utf-8")("replace")

    def feed(self, tokens: collections.abc.Iterable[int]) -> str:
        """Returns the characters that are complete with the new tokens."""
        data = bytes(token for token in tokens if 0 <= token < BYTE_COUNT)
        return self._decoder.decode(data)

    def finish(self) -> str:
        """Returns the replacement of an incomplete character at the end."""
        return self._decoder.decode(b"", final=True)


class StopScanner:
    """Ends the text of one response before the first stop sequence.

    Text that may be the beginning of a stop sequence is held back until it is
    known not to be one.

    Attributes:
        stopped: Whether a stop sequence was found.
    """

    def __init__(self, stops: collections.abc.Sequence[str]):
        """Creates a scanner.

        Args:
            stops: The stop sequences.
        """
        self._stops = tuple(stops)
        self._held = ""
        self.stopped = False

    def feed(self, text: str) -> str:
        """Returns the text that may be sent to the caller."""
        if self.stopped:
            return ""
        self._held += text
        found = []
        for stop in self._stops:
            start = self._held.find(stop)
            if start >= 0:
                found.append((start + len(stop), start))
        if found:
            # Of several stop sequences the one that is complete first counts,
            # so that the result does not depend on the split into batches.
            self.stopped = True
            ready, self._held = self._held[: min(found)[1]], ""
            return ready
        held_length = self._count_held_characters()
        ready = self._held[: len(self._held) - held_length]
        self._held = self._held[len(ready) :]
        return ready

    def finish(self) -> str:
        """Returns the text that was held back when the response ends."""
        ready, self._held = self._held, ""
        return ready

    def _count_held_characters(self) -> int:
        """Returns the length of the longest tail that may begin a stop."""
        longest = max((len(stop) for stop in self._stops), default=1) - 1
        for size in range(min(longest, len(self._held)), 0, -1):
            tail = self._held[-size:]
            if any(stop.startswith(tail) for stop in self._stops):
                return size
        return 0
