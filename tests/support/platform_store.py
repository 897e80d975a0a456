"""An in-memory stand-in for the platform's store, with faults."""

import base64
import collections
import json
import urllib.parse

from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_daemon.connection import callers
import trio

ADDRESS = addresses.Address("10.200.0.1", 8000)
# Maximum number of rows in one response to a read.
PAGE_ROWS = 3


class StandIn:
    """The store, owned by the test.

    Attributes:
        revision: Revision of the latest change.
        rows: `(revision, value)` by table and key.
        fault: "" or the fault of each call: "refuse" (status 503), "lose" (a
            transaction takes effect, then the connection is reset), "silent"
            (no effect, no response), "reset" (no effect, the connection is
            reset), "late" (a transaction takes effect after 3 s, when the
            caller has timed out) or "full" (a transaction is refused with
            status 429, as the queue of writes is full). "lose", "late" and
            "full" do not affect reads.
        calls: Number of calls by path.
        era: Number of times that the store was restored from a copy; stated
            in the responses unless it is 0.
    """

    def __init__(self):
        self.revision = 1
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.fault = ""
        self.calls = collections.Counter()
        self.era = 0
        # All changes that readers can follow: revision, table, key and value.
        self._log: list[tuple[int, str, str, bytes | None]] = []
        self._discarded_revision = 0
        self._changed = trio.Event()

    def join(self, network, nursery) -> None:
        """Starts to serve on an in-memory network."""
        host = network.join(str(ADDRESS))

        async def serve(stream):
            connection = callers.CallerConnection(
                stream, self._handle, fleet.CallerLimits, lambda: False
            )
            await connection.run()

        nursery.start_soon(host.serve, ADDRESS, serve)

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Writes a row, or deletes it without a value; returns the revision."""
        self.revision += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.revision, value)
        self._log.append((self.revision, table, key, value))
        self._changed.set()
        self._changed = trio.Event()
        return self.revision

    def discard_history(self) -> None:
        """Discards all past changes, so that readers have to list all rows."""
        self._log.clear()
        self._discarded_revision = self.revision

    def copy(self) -> tuple:
        """Returns a copy of the rows, for `restore`."""
        return self.revision, dict(self.rows), list(self._log)

    def restore(self, saved: tuple) -> None:
        """Replaces the rows by those of a copy; later writes are lost."""
        self.revision, self.rows, self._log = (
            saved[0],
            dict(saved[1]),
            list(saved[2]),
        )
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    def _make_headers(self) -> list[tuple[bytes, bytes]]:
        return [(b"Store-Era", str(self.era).encode())] if self.era else []

    async def _handle(self, method, target, headers, body, responder):
        path, _, query = target.partition("?")
        self.calls[path] += 1
        parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        match self.fault:
            case "refuse":
                await responder.send_complete(503, self._make_headers(), b"")
                return
            case "silent":
                await trio.sleep_forever()
            case "reset":
                raise trio.BrokenResourceError
            case "full" if path == "/rows-tx":
                await responder.send_complete(429, self._make_headers(), b"")
                return
            case "late" if path == "/rows-tx":
                with trio.CancelScope(shield=True):
                    await trio.sleep(3.0)
                    self._commit(json.loads(body))
                return
        status, value = 200, {}
        if path == "/rows-get":
            value = self._get(parameters)
        elif path == "/rows-feed":
            status, value = await self._feed(parameters)
        elif path == "/rows-tx":
            status, value = self._commit(json.loads(body))
            if self.fault == "lose":
                raise trio.BrokenResourceError
        await responder.send_complete(
            status, self._make_headers(), json.dumps(value).encode()
        )

    def _add_revision(self, **fields) -> dict:
        clock_ms = int(trio.current_time() * 1000)
        return fields | {"ver": self.revision, "nowMs": clock_ms}

    def _get(self, parameters: dict) -> dict:
        begin = parameters.get("from", "")
        found = sorted(
            (key, row)
            for (table, key), row in self.rows.items()
            if table == parameters["table"] and key >= begin
        )
        rows = [
            _render(parameters["table"], key, row[0], row[1])
            for key, row in found[:PAGE_ROWS]
        ]
        return self._add_revision(rows=rows, hasMore=len(found) > PAGE_ROWS)

    async def _feed(self, parameters: dict) -> tuple[int, dict]:
        after = int(parameters["after"])
        if after < self._discarded_revision or after > self.revision:
            return 410, {}
        with trio.move_on_after(int(parameters["waitMs"]) / 1000):
            while not self._list_changes(parameters["table"], after):
                await self._changed.wait()
        # The history may also be discarded or lost while this call is waiting.
        if after < self._discarded_revision or after > self.revision:
            return 410, {}
        rows = [
            _render(table, key, revision, value)
            for revision, table, key, value in self._list_changes(
                parameters["table"], after
            )
        ]
        return 200, self._add_revision(rows=rows)

    def _list_changes(self, table: str, after: int) -> list:
        return [
            entry
            for entry in self._log
            if entry[0] > after and entry[1] == table
        ]

    def _commit(self, call: dict) -> tuple[int, dict]:
        conflicts = []
        for item in call["expect"]:
            name = (item["table"], item["key"])
            revision, value = self.rows.get(name, (0, b""))
            if revision != item["ver"]:
                conflicts.append(_render(*name, revision, value))
        if conflicts:
            return 412, self._add_revision(rows=conflicts)
        for item in call["writes"]:
            value = base64.b64decode(item["value"])
            self.put(item["table"], item["key"], value)
        for item in call["delete"]:
            self.put(item["table"], item["key"], None)
        return 200, self._add_revision()


def _render(table: str, key: str, revision: int, value: bytes | None) -> dict:
    row = {"table": table, "part": "", "key": key, "ver": revision}
    if value is None:
        return row | {"deleted": True}
    return row | {"value": base64.b64encode(value).decode()}
