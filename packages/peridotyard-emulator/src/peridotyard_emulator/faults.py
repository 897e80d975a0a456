"""Faults that the emulated services inject into their requests."""

import dataclasses

from peridotyard_core import errors

# outage: no effect and no response; slow: the response is delayed; lost-reply:
# the request takes effect but has no response; late-effect: it takes effect
# after a delay and has no response; refuse: status 503 without effect; lag:
# reads return older state, where the service supports it.
KINDS = ("outage", "slow", "lost-reply", "late-effect", "refuse", "lag")
FIELDS = ("kind", "count", "delay_s", "path")


@dataclasses.dataclass
class Fault:
    """One active fault.

    Attributes:
        kind: One of `KINDS`.
        count: Requests that are still to be affected, 0 for no limit.
        delay_s: Delay of slow, late-effect and lag, in seconds.
        path: Prefix of the affected paths.
    """

    kind: str
    count: int = 0
    delay_s: float = 1.0
    path: str = "/"

    @classmethod
    def from_json(cls, value) -> "Fault":
        """Parses one fault of the body of `POST /control/faults`.

        Raises:
            ValueError: The fault is invalid; the text names the field and the
                allowed values.
        """
        if not isinstance(value, dict):
            raise ValueError("fault: allowed: an object")
        for name in value:
            if name not in FIELDS:
                raise ValueError(f"{name}: allowed: {', '.join(FIELDS)}")
        if value.get("kind") not in KINDS:
            raise ValueError(f"kind: allowed: {', '.join(KINDS)}")
        count = value.get("count", 0)
        if type(count) is not int or count < 0:
            raise ValueError("count: allowed: a whole number from 0")
        delay_s = value.get("delay_s", 1.0)
        if type(delay_s) not in (int, float) or not 0 <= delay_s <= 3600:
            raise ValueError("delay_s: allowed: a number from 0 to 3600")
        path = value.get("path", "/")
        if not isinstance(path, str) or not path.startswith("/"):
            raise ValueError("path: allowed: a text that begins with /")
        return cls(value["kind"], count, delay_s, path)


class Faults:
    """The active faults of one emulated service, owned by its application."""

    def __init__(self, active=()):
        self._active: list[Fault] = list(active)

    @classmethod
    def from_config(cls, values) -> "Faults":
        """Returns the faults that a `web.Settings` activates.

        Raises:
            errors.SettingsError: A kind of fault is unknown.
        """
        for kind in values.faults:
            if kind not in KINDS:
                raise errors.SettingsError(
                    "settings", "faults", "kinds", kind, ", ".join(KINDS)
                )
        return cls(
            Fault(kind, values.fault_count, values.fault_delay_s)
            for kind in values.faults
        )

    def add(self, fault: Fault) -> None:
        """Activates a fault."""
        self._active.append(fault)

    def clear(self) -> None:
        """Deactivates all faults."""
        self._active.clear()

    def set_json(self, value) -> None:
        """Replaces the active faults by those of `{"faults": [...]}`.

        Raises:
            ValueError: A fault is invalid; no fault is changed then.
        """
        if not isinstance(value, dict) or not isinstance(
            value.get("faults"), list
        ):
            raise ValueError('body: allowed: {"faults": [...]}')
        faults = []
        for index, item in enumerate(value["faults"]):
            try:
                faults.append(Fault.from_json(item))
            except ValueError as error:
                raise ValueError(f"faults[{index}].{error}") from error
        self._active = faults

    def consume_fault(self, path: str) -> Fault | None:
        """Returns the first fault for a request to a path, and counts its use.

        A fault is deactivated when its count is used up.
        """
        for fault in self._active:
            if fault.kind != "lag" and path.startswith(fault.path):
                if fault.count == 1:
                    self._active.remove(fault)
                elif fault.count:
                    fault.count -= 1
                return fault
        return None

    @property
    def lag_s(self) -> float:
        """Additional lag of reads in seconds."""
        return sum(f.delay_s for f in self._active if f.kind == "lag")

    def describe(self) -> list[dict]:
        """Returns the active faults as JSON."""
        return [dataclasses.asdict(fault) for fault in self._active]
