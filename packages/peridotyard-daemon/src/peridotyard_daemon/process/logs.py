"""Structured logs: one line an event, in text or JSON."""

import json
import sys

import logbook

# The handler of the process; a second start replaces it, so that one line
# never goes to two outputs.
_installed: list[logbook.Handler] = []


def start(settings, stream=None) -> None:
    """Installs the log handler of the process.

    Args:
        settings: A `settings.ProcessSettings`.
        stream: Where the lines go; the standard error output by default.
    """
    stop()
    level = logbook.lookup_level(settings.log_level.upper())
    handler = logbook.StreamHandler(stream or sys.stderr, level="DEBUG")
    form = _format_json if settings.log_format == "json" else _format_text
    handler.formatter = lambda record, _: form(record)
    handler.filter = lambda record, _: (
        record.level >= level or record.channel in settings.debug
    )
    handler.push_application()
    _installed.append(handler)


def stop() -> None:
    """Removes the log handler of the process, if there is one."""
    while _installed:
        _installed.pop().pop_application()


class Part:
    """Logger of one part of a process; its name prefixes each line.

    Owned by the module that creates it.
    """

    def __init__(self, name: str):
        self._logger = logbook.Logger(name)

    def debug(self, message: str, **fields) -> None:
        """Logs what helps to follow one request."""
        self._logger.debug(message, extra=fields)

    def info(self, message: str, **fields) -> None:
        """Logs an expected event."""
        self._logger.info(message, extra=fields)

    def warning(self, message: str, **fields) -> None:
        """Logs an event that costs a retry or a refusal."""
        self._logger.warning(message, extra=fields)

    def error(self, message: str, **fields) -> None:
        """Logs an event that an operator has to look at."""
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
