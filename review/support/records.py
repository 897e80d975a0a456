"""Record of what a case has sent, answered and run."""

import json
import pathlib
import time
import typing


class Record:
    """Lines of `record.txt`, owned by one run of a case.

    Attributes:
        lines: All lines as values, in the order in which they were written.
    """

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self.lines: list[dict[str, typing.Any]] = []

    def get_time_s(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def write(self, event: str, **fields) -> float:
        """Writes one line and returns its time, seconds."""
        now = self.get_time_s()
        line = {"t": round(now, 4), "event": event} | fields
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
        return now

    def find(self, event: str, **fields) -> list[dict[str, typing.Any]]:
        """Returns the lines of an event that have all the given values."""
        return [
            line
            for line in self.lines
            if line["event"] == event
            and all(line.get(name) == value for name, value in fields.items())
        ]

    def close(self) -> None:
        """Closes the file."""
        self._file.close()
