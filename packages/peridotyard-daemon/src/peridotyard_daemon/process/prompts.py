"""Evidence on parts of prompts that crash backend servers.

It comes from the requests of this entry and from the other entries, and decides
which parts are quarantined, see `peridotyard_core.prompts`.
"""

import collections.abc
import contextlib

from peridotyard_core import crashes
from peridotyard_core import fleet
from peridotyard_core import prompts
from peridotyard_core import quarantines
import trio

from peridotyard_daemon.process import logs

Parts = tuple[int, ...]

_log = logs.Logger("prompt")


class PartMonitor:
    """Collects the evidence, owned by the process.

    Attributes:
        notify: Called with new evidence, which the other entries have to know.
        notify_quarantined: Called when another part is quarantined.
    """

    def __init__(self):
        self._quarantine = prompts.PartQuarantine()
        self.notify: collections.abc.Callable[[prompts.Evidence], None] = (
            lambda _: None
        )
        self.notify_quarantined: collections.abc.Callable[[], None] = (
            lambda: None
        )

    def get_successions(self, parts: Parts) -> tuple[int, ...]:
        """Returns the known number of successive crashes for each part."""
        return tuple(self._quarantine.get_succession(part) for part in parts)

    def find_remaining_s(self, parts: Parts) -> float:
        """Returns for how long requests with these parts are not sent."""
        return self._quarantine.find_remaining_s(parts, trio.current_time())

    def list_quarantined(self) -> list[str]:
        """Returns the fingerprints of the parts in quarantine, as text."""
        quarantined = self._quarantine.list_quarantined(trio.current_time())
        return [quarantines.format_fingerprint(part) for part in quarantined]

    def make_evidence(self) -> prompts.Evidence:
        """Returns all evidence, for an entry that may have none."""
        return self._quarantine.make_evidence(trio.current_time())

    def record_crash(
        self,
        parts: Parts,
        server: fleet.Server,
        successions: tuple[int, ...],
    ) -> None:
        """Records a crash of a server that was about to answer a request.

        Args:
            parts: Parts of the prompt of the request.
            server: The server.
            successions: Result of `get_successions` when the request was sent.
        """
        crash = crashes.compute_id(server.instance, server.started_at_ms)
        suspicions = tuple(
            prompts.Suspicion(part, crash, succession + 1, depth)
            for depth, (part, succession) in enumerate(
                zip(parts, successions, strict=True)
            )
        )
        with self._announce_changes():
            new = self._apply(prompts.Evidence(suspicions))
            self._quarantine.count_loss(parts, trio.current_time())
            self._publish(new)

    def record_answer(self, parts: Parts) -> None:
        """Records that a server has begun to answer a request.

        Args:
            parts: Parts of the prompt of the request.
        """
        with self._announce_changes():
            self._quarantine.count_answer(trio.current_time())
            self._publish(self._apply(prompts.Evidence(cleared=parts)))

    def apply(self, evidence: prompts.Evidence) -> prompts.Evidence:
        """Applies the evidence of another entry.

        Returns:
            The part of it that was not known.
        """
        with self._announce_changes(frozenset(evidence.confirmed)):
            return self._apply(evidence)

    def _apply(self, evidence: prompts.Evidence) -> prompts.Evidence:
        return self._quarantine.apply(evidence, trio.current_time())

    @contextlib.contextmanager
    def _announce_changes(self, known: frozenset[int] = frozenset()):
        """Logs and announces what changes in its block.

        Args:
            known: Parts whose confirmation came from another entry.
        """
        quarantine, now = self._quarantine, trio.current_time()
        quarantined = set(quarantine.list_quarantined(now))
        confirmed = quarantine.list_confirmed()
        yield
        found = quarantine.list_confirmed() - confirmed - known
        self._publish(prompts.Evidence(confirmed=tuple(sorted(found))))
        remaining = set(quarantine.list_quarantined(now))
        added = remaining - quarantined
        if added:
            self.notify_quarantined()
        for part in added:
            _log.warning(
                "part of prompts quarantined",
                fingerprint=quarantines.format_fingerprint(part),
                crashes=quarantine.count_crashes(part),
                succession=quarantine.get_succession(part),
                duration_s=round(self.find_remaining_s((part,))),
            )
        for part in quarantined - remaining:
            _log.info(
                "part of prompts released",
                fingerprint=quarantines.format_fingerprint(part),
            )

    def _publish(self, evidence: prompts.Evidence) -> None:
        if not evidence.is_empty:
            self.notify(evidence)
