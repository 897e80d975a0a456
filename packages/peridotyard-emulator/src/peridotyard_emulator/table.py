"""The emulated transactional table service."""

import dataclasses
import time
import urllib.parse

from peridotyard_core import options

from peridotyard_emulator import rates
from peridotyard_emulator import web

ROWS = "/v1/rows"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings(web.Settings):
    """Options of the role `table`."""

    writes_per_s: float = options.declare(
        "limits", "writes_per_s", "float", 400.0, "0 for no limit", minimum=0
    )
    reads_per_s: float = options.declare(
        "limits", "reads_per_s", "float", 2000.0, "0 for no limit", minimum=0
    )


class TableState:
    """Rows with versions; see section 9 of docs/design.md.

    All keys share one sequence of versions, so that a key that is deleted and
    written again never has the same version twice.
    """

    def __init__(
        self,
        writes_per_s: float = 0,
        reads_per_s: float = 0,
        now=time.monotonic,
    ):
        self.rows: dict[str, dict] = {}
        self._version = 0
        self._writes = rates.TokenBucket(writes_per_s, now)
        self._reads = rates.TokenBucket(reads_per_s, now)
        self._counts = dict.fromkeys(
            ("reads", "writes", "conflicts", "limited"), 0
        )

    def handle(self, call: web.Call) -> web.Response:
        """Processes one request; see `web.State`."""
        match call.method, call.path:
            case "POST", "/v1/transact":
                return self._limit(self._writes, "writes", self._transact, call)
            case "GET", path if path == ROWS or path.startswith(ROWS + "/"):
                return self._limit(self._reads, "reads", self._read, call)
        return web.NOT_FOUND

    def describe(self) -> dict:
        """Returns the counters and rows; see `web.State`."""
        return {"counts": self._counts, "rows": self.rows}

    def _limit(self, bucket, name, function, call) -> web.Response:
        if not bucket.acquire_token():
            self._counts["limited"] += 1
            return web.Response(429, {"error": f"limit of {name} reached"})
        self._counts[name] += 1
        return function(call)

    def _transact(self, call: web.Call) -> web.Response:
        value = call.json
        conditions = {
            str(item["key"]): int(item["version"])
            for item in value.get("conditions", ())
        }
        puts = {str(i["key"]): i["value"] for i in value.get("puts", ())}
        deletes = [str(key) for key in value.get("deletes", ())]
        conflicts = {
            key: self.rows.get(key)
            for key, version in conditions.items()
            if self.rows.get(key, {"version": 0})["version"] != version
        }
        if conflicts:
            self._counts["conflicts"] += 1
            return web.Response(409, {"conflicts": conflicts})
        for key in deletes:
            self.rows.pop(key, None)
        for key, put in puts.items():
            self._version += 1
            self.rows[key] = {"version": self._version, "value": put}
        versions = {key: self.rows[key]["version"] for key in puts}
        return web.Response(value={"versions": versions})

    def _read(self, call: web.Call) -> web.Response:
        if call.path == ROWS:
            prefix = call.query["prefix"]
            return web.Response(
                value={
                    "rows": {
                        key: self.rows[key]
                        for key in sorted(self.rows)
                        if key.startswith(prefix)
                    }
                }
            )
        key = urllib.parse.unquote(call.path[len(ROWS) + 1 :])
        row = self.rows.get(key)
        return web.NOT_FOUND if row is None else web.Response(value=row)


def run(values: Settings) -> int:
    """Runs the service until it is stopped."""
    return web.run(
        values, lambda _: TableState(values.writes_per_s, values.reads_per_s)
    )
