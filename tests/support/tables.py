"""An in-memory table service, with outages, delays and lost responses."""

import copy
import dataclasses

from peridotyard_core import verdicts
import returns.result
import trio


@dataclasses.dataclass(frozen=True)
class Row:
    """One row; see `process.tables`."""

    version: int
    value: object


class MemoryTable:
    """A table that all processes of a test share.

    Attributes:
        rows: The rows by key.
        is_down: Requests fail without being sent.
        delay_s: Duration of each request, half before and half after it takes
            effect.
        lost_responses: Number of the next transactions whose response is lost.
        effect_delay_s: Seconds after which a transaction with a lost response
            takes effect; 0 if it takes effect before the loss is noticed.
        reads: Number of reads and scans.
    """

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.is_down = False
        self.delay_s = 0.002
        self.lost_responses = 0
        self.effect_delay_s = 0.0
        self.reads = 0
        self._late_writes = []

    async def transact(self, conditions, puts, deletes):
        """Applies all changes if the conditions hold, otherwise none."""
        arguments = copy.deepcopy((conditions, puts, deletes))
        await trio.sleep(self.delay_s / 2)
        if self.is_down:
            return self._refuse()
        self._apply_late_writes()
        if self.lost_responses:
            self.lost_responses -= 1
            if self.effect_delay_s:
                due = trio.current_time() + self.effect_delay_s
                self._late_writes.append((due, arguments))
            else:
                self._write(*arguments)
            return returns.result.Failure(
                verdicts.make_may_have_run_failure(
                    "store-unavailable", "response lost"
                )
            )
        result = self._write(*arguments)
        await trio.sleep(self.delay_s / 2)
        return result

    async def read(self, key):
        """Returns a row or None."""
        await trio.sleep(self.delay_s / 2)
        if self.is_down:
            return self._refuse()
        self._apply_late_writes()
        self.reads += 1
        row = copy.deepcopy(self.rows.get(key))
        await trio.sleep(self.delay_s / 2)
        return returns.result.Success(row)

    async def scan(self, prefix):
        """Returns rows by key; like the real table, without a snapshot.

        The keys are read in two parts, one after the other.
        """
        found = {}
        for part in range(2):
            await trio.sleep(self.delay_s / 2)
            if self.is_down:
                return self._refuse()
            self._apply_late_writes()
            for key in sorted(self.rows):
                if key.startswith(prefix) and sum(key.encode()) % 2 == part:
                    found[key] = copy.deepcopy(self.rows[key])
        self.reads += 1
        return returns.result.Success(found)

    def _refuse(self):
        return returns.result.Failure(
            verdicts.make_not_run_failure("store-unavailable", "table is down")
        )

    def _apply_late_writes(self) -> None:
        now = trio.current_time()
        due = [item for item in self._late_writes if item[0] <= now]
        self._late_writes = [
            item for item in self._late_writes if item[0] > now
        ]
        for _, arguments in due:
            self._write(*arguments)

    def _write(self, conditions, puts, deletes):
        for key, version in conditions.items():
            row = self.rows.get(key)
            if (row.version if row else 0) != version:
                return returns.result.Failure(
                    verdicts.make_not_run_failure(
                        "conflict", f"condition on {key}"
                    )
                )
        for key in deletes:
            self.rows.pop(key, None)
        for key, value in puts.items():
            row = self.rows.get(key)
            self.rows[key] = Row(row.version + 1 if row else 1, value)
        return returns.result.Success(
            {key: self.rows[key].version for key in puts}
        )
