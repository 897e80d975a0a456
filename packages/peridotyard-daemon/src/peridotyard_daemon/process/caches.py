"""Reports of a sidecar on the prefix cache of its engine.

The engine reports each change; the entries get at most one message a second,
with the changes of the prefixes that most requests use. See
docs/design/kept-prompts.md.
"""

import collections

from peridotyard_core import prefixes
import trio

from peridotyard_daemon.connection import peers as peers_module
from peridotyard_daemon.wire.generated import ttypes

# Interval between two messages to the entries. With `NEWS_KEYS_LIMIT` keys, 40
# sidecars send an entry less than 15 KB per second.
REPORT_INTERVAL_S = 1.0
# Changes of one interval that are kept to choose from, and prefixes whose
# requests are counted.
CHANGES_LIMIT = 4096


class CacheReporter:
    """Changes of an engine's prefix cache, owned by the sidecar.

    While no connected entry uses them, nothing is kept.
    """

    def __init__(self, peers: peers_module.Peers):
        """Creates a reporter without changes.

        Args:
            peers: Connections of the sidecar.
        """
        self._peers = peers
        # Least recently requested first.
        self._requests: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # Whether a prefix is held, in the order of the changes.
        self._changes: dict[int, bool] = {}
        self._cache_id = 0
        self._stored_blocks = 0
        self._event_sequence = 0
        self._lost = 0
        self._has_news = False
        self._sequence = 0

    async def run(self) -> None:
        """Sends the changes until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            if self._has_news:
                self._post_news()

    def record_prefixes(self, keys: list[int]) -> None:
        """Counts a request that uses prefixes.

        Args:
            keys: Keys of the prefixes of its prompt, at most
                `prefixes.PROMPT_KEYS_LIMIT`.
        """
        for key in keys:
            self._requests[key] = self._requests.pop(key, 0) + 1
        while len(self._requests) > CHANGES_LIMIT:
            self._requests.popitem(last=False)

    def record_event(self, event: ttypes.EngineCacheEvent) -> None:
        """Records a change that the engine reports."""
        if event.cache_id is None:
            return
        is_new = event.cache_id != self._cache_id
        if not is_new and event.sequence <= self._event_sequence:
            # Repeated or out of order; what it reports is outdated.
            return
        skipped = event.sequence - self._event_sequence - 1
        self._cache_id = event.cache_id
        self._event_sequence = event.sequence
        if is_new:
            self._changes.clear()
        if not self._list_users():
            return
        if not is_new:
            self._lost += skipped
        self._stored_blocks = event.stored_total or 0
        self._has_news = True
        for key in event.stored_prefixes or ():
            self._record_change(key, True)
        for key in event.evicted_prefixes or ():
            self._record_change(key, False)

    def _record_change(self, key: int, is_held: bool) -> None:
        self._changes.pop(key, None)
        self._changes[key] = is_held
        if len(self._changes) > CHANGES_LIMIT:
            del self._changes[next(iter(self._changes))]

    def _list_users(self) -> list[peers_module.Connection]:
        return [
            connection
            for connection in self._peers.connections
            if connection.peer.uses_cache_news
            and connection.peer.role == "entry"
        ]

    def _post_news(self) -> None:
        # Of prefixes with as many requests, the last ones to change count.
        ranks = sorted(
            (
                (self._requests.get(key, 0), number, key)
                for number, key in enumerate(self._changes)
            ),
            reverse=True,
        )
        keys = [key for _, _, key in ranks[: prefixes.NEWS_KEYS_LIMIT]]
        self._sequence += 1
        news = ttypes.CacheNews(
            sequence=self._sequence,
            cache_id=self._cache_id,
            stored=[key for key in keys if self._changes[key]],
            evicted=[key for key in keys if not self._changes[key]],
            stored_blocks=self._stored_blocks,
            lost=self._lost,
        )
        self._changes.clear()
        self._lost = 0
        self._has_news = False
        self._peers.post_all(ttypes.Frame(cache_news=news), self._list_users())
