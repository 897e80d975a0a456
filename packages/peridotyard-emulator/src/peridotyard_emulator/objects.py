"""The emulated object store, which stores bytes by key."""

import dataclasses
import urllib.parse

from peridotyard_emulator import web

OBJECTS = "/v1/objects"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings(web.Settings):
    """Options of the role `objects`."""


class ObjectsState:
    """Objects by key; the last write wins."""

    def __init__(self):
        self.objects: dict[str, bytes] = {}

    def handle(self, call: web.Call) -> web.Response:
        """Processes one request; see `web.State`."""
        if call.path == OBJECTS and call.method == "GET":
            prefix = call.query.get("prefix", "")
            keys = sorted(k for k in self.objects if k.startswith(prefix))
            return web.Response(value={"keys": keys})
        if not call.path.startswith(OBJECTS + "/"):
            return web.NOT_FOUND
        key = urllib.parse.unquote(call.path[len(OBJECTS) + 1 :])
        match call.method:
            case "PUT":
                self.objects[key] = call.body
                return web.Response(value={})
            case "GET" if key in self.objects:
                return web.Response(value=self.objects[key])
            case "DELETE" if self.objects.pop(key, None) is not None:
                return web.Response(value={})
        return web.NOT_FOUND

    def describe(self) -> dict:
        """Returns the size of each object; see `web.State`."""
        return {"sizes": {key: len(data) for key, data in self.objects.items()}}


def run(values: Settings) -> int:
    """Runs the service until it is stopped."""
    return web.run(values, lambda _: ObjectsState())
