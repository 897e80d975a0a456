"""The emulated instance list, which readers see with a lag."""

import dataclasses
import time

from peridotyard_core import options
from peridotyard_daemon.process import instances

from peridotyard_emulator import faults
from peridotyard_emulator import web


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings(web.Settings):
    """Options of the role `instances`."""

    lag_s: float = options.declare(
        "list",
        "lag_s",
        "float",
        0.0,
        "seconds until readers see a change",
        minimum=0,
        maximum=3600,
    )


class InstancesState:
    """Versions of the instance list.

    Readers see the version that was the latest one `lag_s` seconds ago, or
    earlier if faults of the kind "lag" are active.
    """

    def __init__(
        self,
        lag_s: float = 0.0,
        active: faults.Faults | None = None,
        now=time.monotonic,
    ):
        self._lag_s = lag_s
        self._faults = active or faults.Faults()
        self._now = now
        self._versions: list[tuple[float, list]] = [(float("-inf"), [])]

    def replace(self, items: list) -> None:
        """Replaces the list; readers see it after the lag.

        Raises:
            ValueError: An item is invalid; nothing is replaced then.
        """
        for index, item in enumerate(items):
            try:
                instances.Instance.from_json(item)
            except (ValueError, LookupError, TypeError) as error:
                raise ValueError(f"instances[{index}]: {error}") from error
        # All versions are kept, since a fault may increase the lag; they are
        # short and few.
        self._versions.append((self._now(), items))

    def read(self) -> list:
        """Returns the list that readers see now."""
        seen_at = self._now() - self._lag_s - self._faults.lag_s
        return [items for at, items in self._versions if at <= seen_at][-1]

    def handle(self, call: web.Call) -> web.Response:
        """Processes one request; see `web.State`."""
        match call.method, call.path:
            case "GET", "/v1/instances":
                return web.Response(value={"instances": self.read()})
            case "PUT", "/control/instances":
                self.replace(call.json["instances"])
                return web.Response(value={})
        return web.NOT_FOUND

    def describe(self) -> dict:
        """Returns the latest list and the visible one; see `web.State`."""
        return {"latest": self._versions[-1][1], "visible": self.read()}


def run(values: Settings) -> int:
    """Runs the service until it is stopped."""
    return web.run(values, lambda active: InstancesState(values.lag_s, active))
