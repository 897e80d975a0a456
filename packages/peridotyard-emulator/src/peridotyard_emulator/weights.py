"""The emulated store of model weights."""

import dataclasses
import hashlib
import time
import urllib.parse

from peridotyard_core import options
import trio

from peridotyard_emulator import rates
from peridotyard_emulator import web

WEIGHTS = "/v1/weights"
CHUNK_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings(web.Settings):
    """Options of the role `weights`."""

    names: tuple[str, ...] = options.declare(
        "weights", "names", "names", (), "names of the files"
    )
    size_bytes: int = options.declare(
        "weights", "size_bytes", "int", 1 << 20, "size of each file", minimum=0
    )
    bytes_per_s: float = options.declare(
        "limits",
        "bytes_per_s",
        "float",
        float(100 << 20),
        "bandwidth that all downloads share",
        minimum=1,
    )


def make_bytes(name: str, offset: int, count: int) -> bytes:
    """Returns a part of a file; its content repeats a digest of its name."""
    pattern = hashlib.sha256(name.encode()).digest()
    start = offset % len(pattern)
    repeats = (start + count) // len(pattern) + 1
    return (pattern * repeats)[start : start + count]


class WeightsState:
    """Weight files whose content is generated from their names."""

    def __init__(
        self, sizes: dict[str, int], bytes_per_s: float, now=time.monotonic
    ):
        self._sizes = sizes
        self._bandwidth = rates.BandwidthLimiter(bytes_per_s, now)
        self._sent = dict.fromkeys(sizes, 0)

    def handle(self, call: web.Call) -> web.Response:
        """Processes one request; see `web.State`."""
        if call.method != "GET":
            return web.NOT_FOUND
        if call.path == WEIGHTS:
            return web.Response(value={"weights": self._sizes})
        name = urllib.parse.unquote(call.path.removeprefix(WEIGHTS + "/"))
        if name not in self._sizes:
            return web.NOT_FOUND
        size = self._sizes[name]
        offset = int(call.query.get("offset", 0))
        count = int(call.query.get("count", size))
        if offset < 0 or count < 0:
            raise ValueError("offset, count: allowed: whole numbers from 0")
        end = min(size, offset + count)
        return web.Response(chunks=self._stream(name, offset, end))

    def describe(self) -> dict:
        """Returns the bytes sent of each file; see `web.State`."""
        return {"sent": self._sent}

    async def _stream(self, name, offset, end):
        while offset < end:
            count = min(CHUNK_BYTES, end - offset)
            await trio.sleep(self._bandwidth.reserve(count))
            yield make_bytes(name, offset, count)
            self._sent[name] += count
            offset += count


def run(values: Settings) -> int:
    """Runs the service until it is stopped."""
    sizes = dict.fromkeys(values.names, values.size_bytes)
    return web.run(values, lambda _: WeightsState(sizes, values.bytes_per_s))
