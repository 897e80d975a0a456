"""Structured logs: one line per event, as text or JSON."""

import json
import os
import sys
import time
import traceback

import logbook

# Limits of the lines that a process writes: their rate per second, and the size
# of a burst. A request has about four lines, so this is enough for 60 requests
# per second on one entry, twice the peak rate.
LINES_PER_S = 250.0
BURST_LINES = 1000.0
# Size of the output buffer above which further lines are dropped, because the
# reader does not keep up.
MAX_PENDING_BYTES = 1 << 16
# Innermost frames of the traceback of an error that are logged.
TRACEBACK_FRAMES = 4

# The log handler of the process. A second start replaces it, so that no line is
# written to two outputs.
_installed: list[logbook.Handler] = []


def start(settings, stream=None) -> None:
    """Installs the log handler of the process.

    Args:
        settings: A `settings.ProcessSettings`.
        stream: Output of the lines; standard error by default.
    """
    stop()
    level = logbook.lookup_level(settings.log_level.upper())
    handler = logbook.StreamHandler(stream or sys.stderr, level="DEBUG")
    format_record = (
        _format_json if settings.log_format == "json" else _format_text
    )
    handler.formatter = lambda record, _: format_record(record)
    handler.filter = lambda record, _: (
        record.level >= level or record.channel in settings.debug
    )
    handler.push_application()
    _installed.append(handler)


def stop() -> None:
    """Removes the log handler of the process, if there is one."""
    while _installed:
        _installed.pop().pop_application()


def describe_error(error: Exception) -> dict[str, str]:
    """Returns the fields that log an unexpected error."""
    lines = traceback.format_exception(error, limit=-TRACEBACK_FRAMES)
    return {"error": repr(error), "traceback": "".join(lines)}


class BoundedOutput:
    """Text output that drops lines above a rate, and never blocks.

    Owned by the process. The number of dropped lines is written before the
    next line, so that the gap can be seen in the log.
    """

    def __init__(self, descriptor: int, clock=time.monotonic):
        """Creates an output to a file descriptor, which is made non-blocking.

        Args:
            descriptor: Number of the open file.
            clock: Returns seconds.
        """
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._pending = b""
        self._credit = BURST_LINES
        self._refilled_at = clock()
        self._dropped = 0

    def write(self, text: str) -> None:
        """Writes one line, or counts it as dropped."""
        now = self._clock()
        credit = self._credit + LINES_PER_S * (now - self._refilled_at)
        self._credit = min(BURST_LINES, credit)
        self._refilled_at = now
        if self._credit < 1 or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            self.flush()
            return
        self._credit -= 1
        if self._dropped:
            line = {"part": "logs", "message": "lines dropped"}
            line["count"] = self._dropped
            self._pending += json.dumps(line).encode() + b"\n"
            self._dropped = 0
        self._pending += text.encode()
        self.flush()

    def flush(self) -> None:
        """Writes as much of the buffer as the reader accepts."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            # The rest is written with a later line.
            pass
        except OSError:
            # The reader has closed the log; there is no other output to report
            # it to.
            self._pending = b""


class Logger:
    """Logger of one part of a process, owned by the module that creates it.

    The name of the part is written with each line.
    """

    def __init__(self, name: str):
        self._logger = logbook.Logger(name)

    def debug(self, message: str, **fields) -> None:
        """Logs a detail that helps to trace one request."""
        self._logger.debug(message, extra=fields)

    def info(self, message: str, **fields) -> None:
        """Logs an expected event."""
        self._logger.info(message, extra=fields)

    def warning(self, message: str, **fields) -> None:
        """Logs an event that causes a retry or a refusal."""
        self._logger.warning(message, extra=fields)

    def error(self, message: str, **fields) -> None:
        """Logs an event that needs the attention of an operator."""
        self._logger.error(message, extra=fields)


def _format_text(record) -> str:
    fields = "".join(f" {k}={_quote(v)}" for k, v in record.extra.items())
    return (
        f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name.lower()}"
        f" {record.channel}: {record.message}{fields}"
    )


def _quote(value) -> str:
    text = str(value)
    if text and all(c.isprintable() and c not in ' "=' for c in text):
        return text
    return json.dumps(text)


def _format_json(record) -> str:
    line = {
        "time": f"{record.time:%Y-%m-%dT%H:%M:%S.%f}Z",
        "level": record.level_name.lower(),
        "part": record.channel,
        "message": record.message,
    }
    line.update({k: v for k, v in record.extra.items() if k not in line})
    return json.dumps(line, default=str)
