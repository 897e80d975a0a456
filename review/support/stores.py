"""A stand-in for the platform's store."""

import asyncio
import base64
import json
import time
import urllib.parse

from support import http1

# Time of a response of the store, as on the users' sheet.
RESPONSE_S = 0.004
# Tables that the system may not write to.
PROTECTED_TABLES = frozenset(("op", "servers"))
PAGE_ROWS = 500


class Store:
    """The store, owned by one run of a case."""

    def __init__(self):
        self._version = 1
        self._rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self._changes: list[tuple[int, str, str, bytes | None]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def close(self) -> None:
        """Stops serving."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Writes a row, or removes it without a value.

        Returns:
            The version of the write, which is acknowledged at once.
        """
        self._version += 1
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = (self._version, value)
        self._changes.append((self._version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while request := await http1.read_message(reader):
                status, fields = await self._handle(request)
                await asyncio.sleep(RESPONSE_S)
                body = json.dumps(fields).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(http1.render_response(status, headers, body))
                await writer.drain()
        except (http1.BrokenError, OSError):
            # The caller has left or was killed.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, request: http1.Message) -> tuple[int, dict]:
        path, _, query = request.target.partition("?")
        values = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-get":
            return 200, self._list(values)
        if path == "/rows-feed":
            return 200, await self._follow(values)
        if path == "/rows-tx":
            return self._commit(json.loads(request.body))
        return 404, {}

    def _add_version(self, **fields) -> dict:
        now_ms = int(1000 * time.monotonic())
        return fields | {"ver": self._version, "nowMs": now_ms}

    def _list(self, values: dict[str, str]) -> dict:
        limit = min(int(values.get("limit", PAGE_ROWS)), PAGE_ROWS)
        found = sorted(
            (key, row)
            for (table, key), row in self._rows.items()
            if table == values["table"] and key >= values.get("from", "")
        )
        rows = [
            _render_row(values["table"], key, *row)
            for key, row in found[:limit]
        ]
        return self._add_version(rows=rows, hasMore=len(found) > limit)

    async def _follow(self, values: dict[str, str]) -> dict:
        after, table = int(values["after"]), values["table"]
        until = time.monotonic() + int(values["waitMs"]) / 1000
        while not (found := self._list_changes(table, after)):
            left_s = until - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                break
        return self._add_version(
            rows=[
                _render_row(table, key, version, value)
                for version, table, key, value in found
            ]
        )

    def _list_changes(self, table: str, after: int) -> list:
        """Returns the newest change of each row after a version, in order."""
        newest = {
            change[2]: change
            for change in self._changes
            if change[0] > after and change[1] == table
        }
        return sorted(newest.values(), key=lambda change: change[0])

    def _commit(self, call: dict) -> tuple[int, dict]:
        conflicts = []
        for item in call.get("expect", ()):
            name = (item["table"], item["key"])
            version, value = self._rows.get(name, (0, b""))
            if version != item["ver"]:
                conflicts.append(_render_row(*name, version, value))
        if conflicts:
            return 412, self._add_version(rows=conflicts)
        writes, deletes = call.get("writes", ()), call.get("delete", ())
        if PROTECTED_TABLES & {item["table"] for item in (*writes, *deletes)}:
            return 403, self._add_version()
        for item in writes:
            value = base64.b64decode(item["value"])
            self.put(item["table"], item["key"], value)
        for item in deletes:
            self.put(item["table"], item["key"], None)
        return 200, self._add_version()


def _render_row(table: str, key: str, version: int, value: bytes | None):
    row = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return row | {"deleted": True}
    return row | {"value": base64.b64encode(value).decode()}
