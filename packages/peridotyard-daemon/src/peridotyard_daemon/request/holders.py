"""The servers that hold prefixes of prompts, as the entry knows them.

Used only if the settings enable it; see docs/design/kept-prompts.md.
"""

import dataclasses
import random as random_module

from peridotyard_core import pipelines
from peridotyard_core import prefixes
import trio

from peridotyard_daemon.process import metrics as metrics_module
from peridotyard_daemon.wire.generated import ttypes


@dataclasses.dataclass
class _Run:
    """A prompt that the stages of a chain compute.

    Attributes:
        generation: Generation of the stream.
        length: Positions of the prompt.
        sent: What each stage was sent, by address, until it has run it.
    """

    generation: int
    length: int
    sent: dict[str, prefixes.Sent]


class PrefixTracker:
    """What the engines hold, and the selection by it, owned by the entry."""

    def __init__(
        self,
        fallback: pipelines.LeastLoadSelector,
        metrics: metrics_module.Metrics,
        random: random_module.Random,
        zone: str,
    ):
        """Creates a tracker that knows no server.

        Args:
            fallback: Selects among servers without caches.
            metrics: Metrics of the process.
            random: Source of the random choice among chains of equal cost.
            zone: Availability zone of the entry.
        """
        self.knowledge = prefixes.Knowledge()
        self.selector = prefixes.PrefixSelector(
            self.knowledge, fallback, random, zone
        )
        self._metrics = metrics
        # By stream, for as long as the response runs.
        self._runs: dict[int, _Run] = {}

    def select_chain(
        self, prompt: prefixes.Prompt, offers: pipelines.Offers, layers: int
    ) -> pipelines.Chain | None:
        """Returns the chain with the least expected time to the first token.

        Args:
            prompt: Prompt of the request.
            offers: Usable servers.
            layers: Layers of the model.
        """
        return self.selector.select_chain(
            prompt, offers, layers, trio.current_time()
        )

    def find_keys(
        self, address: str, prompt: prefixes.Prompt
    ) -> tuple[list[int] | None, int | None]:
        """Returns the keys for a server and the positions of each.

        Returns None for both if the server has no cache or the prompt is
        shorter than one key.
        """
        cache = self.knowledge.find_cache(address)
        keys = prompt.get_keys(cache) if cache is not None else ()
        return (list(keys), cache.key_positions) if keys else (None, None)

    def record_sent(
        self,
        stream: int,
        generation: int,
        chain: pipelines.Chain,
        prompt: prefixes.Prompt,
    ) -> None:
        """Records that the stages of a chain are sent a prompt."""
        self.record_ended(stream)
        now = trio.current_time()
        run = _Run(generation, len(prompt), {})
        for stage in chain:
            address = stage.offer.address
            sent = self.knowledge.record_sent(address, prompt, now)
            if sent is not None:
                run.sent[address] = sent
        if run.sent:
            self._runs[stream] = run

    def record_hit(self, address: str, message: ttypes.PrefixHit) -> None:
        """Records how much of a prompt a stage did hold."""
        run = self._runs.get(message.stream)
        if run is None or run.generation != message.generation:
            return
        sent = run.sent.get(address)
        # A stage reports again after it has run the prompt again, or does not
        # belong to the chain.
        if sent is None or message.held < 0:
            self._metrics.increment("prefixes.invalid_events")
            return
        del run.sent[address]
        # After a recovery, tokens of the response may be held as well.
        held = min(message.held, run.length)
        self.knowledge.record_run(sent, held)
        increment = self._metrics.increment
        increment("prefixes.prompt_positions", run.length)
        increment("prefixes.hits_expected", round(sent.expected))
        increment("prefixes.hits_reported", held)

    def record_ended(self, stream: int) -> None:
        """Records that the stages no longer compute the prompt of a stream."""
        run = self._runs.pop(stream, None)
        for sent in run.sent.values() if run is not None else ():
            self.knowledge.record_ended(sent)

    def set_cache(
        self, address: str, message: ttypes.PrefixCache | None
    ) -> None:
        """Records what a server states about its cache, None without one."""
        cache = None
        if message is not None:
            cache = prefixes.Cache(
                message.cache_id,
                message.block,
                message.blocks,
                message.isolated,
                message.position_us / 1e6,
                message.step_us / 1e6,
            )
        self.knowledge.set_cache(address, cache)

    def remove_server(self, address: str) -> None:
        """Discards what is known of a server that is no longer connected."""
        self.knowledge.remove_server(address)

    def apply_news(self, address: str, message: ttypes.CacheNews) -> None:
        """Applies the changes that a sidecar reports of its engine's cache."""
        news = prefixes.News(
            message.sequence,
            message.cache_id,
            tuple(message.stored or ()),
            tuple(message.evicted or ()),
            message.stored_blocks,
            message.lost,
        )
        match self.knowledge.apply_news(address, news, trio.current_time()):
            case prefixes.Applied(gaps):
                self._metrics.increment("prefixes.events")
                if gaps:
                    self._metrics.increment("prefixes.event_gaps", gaps)
            case prefixes.Ignored():
                self._metrics.increment("prefixes.invalid_events")
