"""The emulated plain services, which run no model: a ledger and bookings."""

import collections
import dataclasses
import urllib.parse

from peridotyard_core import options

from peridotyard_emulator import web

# Path of the records, by kind of service.
RECORD_PATHS = {"ledger": "/tallies", "bookings": "/bookings"}
# Values of "mark" in a request body, which selects how the server fails: it
# exits, sends no response, responds late or responds with status 500.
MARKS = ("crash", "silent", "slow", "error")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings(web.Settings):
    """Options of the role `service`."""

    kind: str = options.declare(
        "service",
        "kind",
        "str",
        options.REQUIRED,
        "kind of records",
        choices=tuple(RECORD_PATHS),
    )
    delay_s: float = options.declare(
        "service",
        "delay_s",
        "float",
        0.0,
        "duration of each call, seconds",
        minimum=0,
        maximum=600,
    )
    mark_delay_s: float = options.declare(
        "service",
        "mark_delay_s",
        "float",
        5.0,
        "duration of a call marked slow, seconds",
        minimum=0,
        maximum=600,
    )


class ServiceState:
    """Records by id, and how often each was submitted."""

    def __init__(
        self, kind: str, delay_s: float = 0.0, mark_delay_s: float = 5.0
    ):
        self._path = RECORD_PATHS[kind]
        self._delay_s = delay_s
        self._mark_delay_s = mark_delay_s
        self.executions = collections.Counter()
        self._records: dict[str, dict] = {}
        self._lookups = 0

    def handle(self, call: web.Call) -> web.Response:
        """Processes one request; see `web.State`.

        `POST <records>` with `{"id", ...}` adds a record and returns how often
        the id was submitted; `GET <records>/<id>` looks it up.
        """
        if call.method == "POST" and call.path == self._path:
            return self._submit(call.json)
        if call.method == "GET" and call.path.startswith(self._path + "/"):
            self._lookups += 1
            identifier = urllib.parse.unquote(
                call.path.removeprefix(self._path + "/")
            )
            record = self._records.get(identifier)
            if record is None:
                return dataclasses.replace(web.NOT_FOUND, delay_s=self._delay_s)
            return web.Response(value=record, delay_s=self._delay_s)
        return web.NOT_FOUND

    def describe(self) -> dict:
        """Returns the executions by id; see `web.State`."""
        return {
            "executions": dict(self.executions),
            "lookups": self._lookups,
        }

    def _submit(self, record) -> web.Response:
        if not isinstance(record, dict) or not isinstance(
            record.get("id"), str
        ):
            raise ValueError('body: allowed: an object with the text "id"')
        mark = record.get("mark")
        if mark is not None and mark not in MARKS:
            raise ValueError(f"mark: allowed: {', '.join(MARKS)}")
        identifier = record["id"]
        self.executions[identifier] += 1
        self._records[identifier] = record
        count = self.executions[identifier]
        return web.Response(
            500 if mark == "error" else 201,
            {"id": identifier, "executions": count},
            delay_s=self._mark_delay_s if mark == "slow" else self._delay_s,
            silent=mark == "silent",
            crash=mark == "crash",
        )


def run(values: Settings) -> int:
    """Runs the service until it is stopped."""
    return web.run(
        values,
        lambda _: ServiceState(
            values.kind, values.delay_s, values.mark_delay_s
        ),
    )
