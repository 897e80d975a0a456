"""Selection of chains by the prefixes that servers hold in their caches.

An engine with a prefix cache computes only the positions of a prompt that it
does not hold. `Knowledge` estimates what each server holds, and
`PrefixSelector` weighs the saving against the wait. The load patterns that it
addresses are prompts with shared prefixes, from none to a single hot one, with
ample and scarce memory. See docs/design/kept-prompts.md.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import math
import random as random_module
import struct

from peridotyard_core import pipelines

# Positions of a prompt that one key stands for, rounded up to whole blocks of
# the engine. Shorter pieces cost more in messages, longer ones miss short
# prefixes.
KEY_POSITIONS = 64
# Keys of one prompt; they cover the first 2,048 positions. Bounds the time and
# the messages that a long prompt costs.
PROMPT_KEYS_LIMIT = 32
# Keys in one message of a server. At one message a second, 40 servers send an
# entry less than 15 KB per second.
NEWS_KEYS_LIMIT = 32
# Records of all servers together; about 250 bytes each.
RECORDS_LIMIT = 16_384
# Time after which a record counts half, seconds. An event of an eviction may
# have been lost, so a record must not count forever.
HALF_LIFE_S = 300.0
# Age at which a record counts as nothing, seconds.
RETENTION_S = 1800.0
# Weight of one reported hit in the trust in a server's records.
TRUST_WEIGHT = 0.2
# Trust never falls to 0, so that later reports can raise it again.
TRUST_MIN = 0.05
# One-way latency between two zones, seconds; see docs/design.md, section 1.3.
ZONE_LINK_S = 0.00025
# Largest utilisation in the estimate of the wait; the servers above it are
# full, or just about.
UTILISATION_MAX = 0.98
# Costs have to be above 0.
COST_MIN_S = 1e-9
# Largest credible figures that a server states about its cache.
MAX_BLOCK = 65_536
MAX_BLOCKS = 1 << 40
MAX_DURATION_S = 60.0

Keys = tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class Cache:
    """What a server states about its prefix cache.

    Attributes:
        cache_id: Number that changes whenever the server has lost its cache:
            after a restart, and when it holds other layers or another version.
        block: Positions in a block.
        blocks: Blocks in memory.
        is_isolated: Whether prompts of different workspaces share no blocks.
        position_s: Time to compute one position that is not held, seconds.
        step_s: Time of an iteration without any position, seconds.
    """

    cache_id: int
    block: int
    blocks: int
    is_isolated: bool
    position_s: float
    step_s: float

    @property
    def is_valid(self) -> bool:
        """Whether the figures are credible."""
        return (
            1 <= self.block <= MAX_BLOCK
            and 1 <= self.blocks <= MAX_BLOCKS
            and 0 < self.position_s <= MAX_DURATION_S
            and 0 <= self.step_s <= MAX_DURATION_S
        )

    @property
    def key_positions(self) -> int:
        """Positions that one key stands for."""
        return self.block * -(-KEY_POSITIONS // self.block)


@dataclasses.dataclass(frozen=True)
class News:
    """Changes of a server's cache.

    Attributes:
        sequence: Number that increases by 1 with each message.
        cache_id: Id of the cache that has changed.
        stored: Keys that the server holds now.
        evicted: Keys that it no longer holds.
        stored_blocks: Blocks that it has stored since the cache was created.
        lost: Events of the engine that were lost before this one.
    """

    sequence: int
    cache_id: int
    stored: Keys
    evicted: Keys
    stored_blocks: int
    lost: int = 0

    @property
    def is_valid(self) -> bool:
        """Whether the message is within its bounds."""
        return (
            self.sequence > 0
            and self.stored_blocks >= 0
            and self.lost >= 0
            and len(self.stored) + len(self.evicted) <= NEWS_KEYS_LIMIT
        )


@dataclasses.dataclass(frozen=True)
class Applied:
    """The message was applied; `gaps` events before it were lost."""

    gaps: int


@dataclasses.dataclass(frozen=True)
class Ignored:
    """The message was not applied."""

    reason: str


class Prompt:
    """The tokens of a request, with the keys of its prefixes.

    Owned by the request. Keys are computed when they are first needed.
    """

    def __init__(
        self,
        tokens: collections.abc.Sequence[int],
        model: str,
        version: str,
        adapter: str = "",
        workspace: str = "",
    ):
        """Creates the prompt of a request to a model."""
        self._tokens = tokens
        self._names = (model, version, adapter)
        self._workspace = workspace
        self._keys: dict[tuple[int, bool], Keys] = {}

    def __len__(self) -> int:
        return len(self._tokens)

    def get_keys(self, cache: Cache) -> Keys:
        """Returns the keys of the prompt for servers with such a cache."""
        variant = (cache.key_positions, cache.is_isolated)
        if variant not in self._keys:
            self._keys[variant] = self._compute_keys(*variant)
        return self._keys[variant]

    def _compute_keys(self, size: int, is_isolated: bool) -> Keys:
        scope = self._workspace if is_isolated else ""
        key = _hash(0, repr((*self._names, is_isolated, scope)).encode())
        keys = []
        # The last position of a prompt always has to be computed, since its
        # output determines the first token. The engine counts it as held
        # nevertheless, which is too small a difference to matter.
        for end in range(size, len(self._tokens) + 1, size):
            if len(keys) == PROMPT_KEYS_LIMIT:
                break
            piece = self._tokens[end - size : end]
            key = _hash(key, struct.pack(f"<{size}i", *piece))
            keys.append(key)
        return tuple(keys)


def _hash(key: int, data: bytes) -> int:
    """Returns the signed 64-bit hash of the key before and a piece."""
    digest = hashlib.blake2b(struct.pack("<q", key) + data, digest_size=8)
    return struct.unpack("<q", digest.digest())[0]


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """When a server was last known to use a key.

    Attributes:
        epoch: Epoch of the server's state at the time.
        stored_blocks: Blocks that the server had stored by then.
        at: Time, seconds.
    """

    epoch: int
    stored_blocks: float
    at: float


@dataclasses.dataclass
class _Server:
    """State of one server's cache.

    Attributes:
        cache: What the server states.
        epoch: Number that is different for each state of this entry.
        sequence: Sequence of its last news, 0 before the first.
        stored_blocks: Estimated blocks that it has stored.
        own_blocks: Part of them that this entry has sent since the last news.
        pending: Positions that it has been sent and not yet computed.
        trust: Mean ratio of reported to expected hits.
    """

    cache: Cache
    epoch: int
    sequence: int = 0
    stored_blocks: float = 0.0
    own_blocks: float = 0.0
    pending: float = 0.0
    trust: float = 1.0


@dataclasses.dataclass(frozen=True)
class Sent:
    """A prompt that a server was sent and has not yet computed.

    Attributes:
        address: Address of the server.
        epoch: Epoch of the server's state at the time.
        expected: Positions that the server was expected to hold.
        unweighted: The same, regardless of the trust in its records.
        pending: Positions that were counted as pending.
    """

    address: str
    epoch: int
    expected: float
    unweighted: float
    pending: float


class Knowledge:
    """What each server is expected to hold, owned by the entry."""

    def __init__(self, records_limit: int = RECORDS_LIMIT):
        """Creates the knowledge of an entry that knows no server.

        Args:
            records_limit: Records of all servers together.
        """
        self._records_limit = records_limit
        self._servers: dict[str, _Server] = {}
        self._epoch = 0
        # Least recently used first.
        self._records: collections.OrderedDict[tuple[str, int], _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def find_cache(self, address: str) -> Cache | None:
        """Returns what a server states about its cache, None without one."""
        server = self._servers.get(address)
        return server.cache if server is not None else None

    def get_pending(self, address: str) -> float:
        """Returns the positions that a server was sent and that did not run."""
        return self._servers[address].pending

    def set_cache(self, address: str, cache: Cache | None) -> None:
        """Records what a server states about its cache.

        Args:
            address: Address of the server.
            cache: The statement; None or an invalid one: no cache.
        """
        if cache is None or not cache.is_valid:
            self.remove_server(address)
            return
        server = self._servers.get(address)
        if server is None or server.cache.cache_id != cache.cache_id:
            # Records of an earlier epoch no longer count.
            self._epoch += 1
            self._servers[address] = _Server(cache, self._epoch)
        else:
            server.cache = cache

    def remove_server(self, address: str) -> None:
        """Discards a server that is no longer connected."""
        self._servers.pop(address, None)

    def apply_news(
        self, address: str, news: News, now: float
    ) -> Applied | Ignored:
        """Applies a message of a server; an invalid one changes nothing.

        Args:
            address: Address of the server.
            news: The message.
            now: Current time, seconds.
        """
        server = self._servers.get(address)
        if server is None:
            return Ignored("unknown server")
        if not news.is_valid:
            return Ignored("out of bounds")
        if news.cache_id != server.cache.cache_id:
            return Ignored("another cache")
        if news.sequence <= server.sequence:
            return Ignored("repeated")
        skipped = news.sequence - server.sequence - 1 if server.sequence else 0
        server.sequence = news.sequence
        # The report lags behind what this entry has sent in the meantime.
        server.stored_blocks = news.stored_blocks + server.own_blocks
        server.own_blocks = 0.0
        for key in news.stored:
            self._add(address, server, key, now)
        for key in news.evicted:
            self._records.pop((address, key), None)
        return Applied(skipped + news.lost)

    def estimate_held(self, address: str, keys: Keys, now: float) -> float:
        """Returns the expected number of positions that a server holds.

        Args:
            address: Address of the server.
            keys: Keys of the prompt for its cache.
            now: Current time, seconds.
        """
        server = self._servers.get(address)
        if server is None:
            return 0.0
        return server.trust * self._estimate_unweighted(
            address, server, keys, now
        )

    def record_sent(
        self, address: str, prompt: Prompt, now: float
    ) -> Sent | None:
        """Records that a server is sent a prompt.

        Args:
            address: Address of the server.
            prompt: The prompt.
            now: Current time, seconds.

        Returns:
            What `record_run` or `record_ended` needs, None if the server has no
            cache.
        """
        server = self._servers.get(address)
        if server is None:
            return None
        cache = server.cache
        keys = prompt.get_keys(cache)
        unweighted = self._estimate_unweighted(address, server, keys, now)
        expected = server.trust * unweighted
        missing = max(0.0, len(prompt) - expected)
        server.pending += missing
        server.stored_blocks += missing / cache.block
        server.own_blocks += missing / cache.block
        for key in keys:
            self._add(address, server, key, now)
        return Sent(address, server.epoch, expected, unweighted, missing)

    def record_run(self, sent: Sent, held: int) -> None:
        """Records how many positions the server did hold.

        Args:
            sent: Result of `record_sent`.
            held: Positions that the server reports.
        """
        self.record_ended(sent)
        server = self._find_same(sent)
        if server is None or sent.unweighted < 1 or held < 0:
            return
        ratio = min(1.0, held / sent.unweighted)
        server.trust += TRUST_WEIGHT * (ratio - server.trust)
        server.trust = max(TRUST_MIN, server.trust)

    def record_ended(self, sent: Sent) -> None:
        """Records that the server does not have to compute the prompt."""
        server = self._find_same(sent)
        if server is not None:
            server.pending = max(0.0, server.pending - sent.pending)

    def _find_same(self, sent: Sent) -> _Server | None:
        """Returns the server if it still has the state of that time."""
        server = self._servers.get(sent.address)
        if server is None or server.epoch != sent.epoch:
            return None
        return server

    def _add(self, address: str, server: _Server, key: int, now: float) -> None:
        self._records[address, key] = _Record(
            server.epoch, server.stored_blocks, now
        )
        self._records.move_to_end((address, key))
        while len(self._records) > self._records_limit:
            self._records.popitem(last=False)

    def _estimate_unweighted(
        self, address: str, server: _Server, keys: Keys, now: float
    ) -> float:
        """Returns the expected positions held, regardless of the trust."""
        expected = 0.0
        for key in keys:
            record = self._records.get((address, key))
            if record is not None:
                expected += _compute_probability(record, server, now)
        return expected * server.cache.key_positions


def _compute_probability(record: _Record, server: _Server, now: float) -> float:
    """Returns the probability that a server still holds a key.

    An LRU cache evicts a block after it has used as many others as it has
    room for. How many of the blocks used were stored before is not known, so
    the probability falls linearly with the number of blocks stored.
    """
    age_s = max(0.0, now - record.at)
    if record.epoch != server.epoch or age_s >= RETENTION_S:
        return 0.0
    stored = max(0.0, server.stored_blocks - record.stored_blocks)
    pressure = max(0.0, 1 - stored / server.cache.blocks)
    return pressure * 0.5 ** (age_s / HALF_LIFE_S)


@dataclasses.dataclass(frozen=True)
class _Figures:
    """Figures of a candidate, seconds and positions."""

    position_s: float
    step_s: float
    pending: float
    held: float


class PrefixSelector:
    """Selects the chain with the least expected time to the first token.

    Owned by the entry. The expected time at a stage is the wait for capacity,
    the prefill of what is not held, the link and the step at its load. The
    wait at the holder of a hot prefix grows with its load, so that the next
    requests go to other servers, which then hold it as well.
    """

    def __init__(
        self,
        knowledge: Knowledge,
        fallback: pipelines.LeastLoadSelector,
        random: random_module.Random,
        zone: str = "",
    ):
        """Creates a selector.

        Args:
            knowledge: What the servers hold.
            fallback: Selects among servers of which none has a cache.
            random: Source of the random choice among chains of equal cost.
            zone: Availability zone of the entry.
        """
        self._knowledge = knowledge
        self._fallback = fallback
        self._random = random
        self._zone = zone

    def select_chain(
        self,
        prompt: Prompt,
        offers: pipelines.Offers,
        layers: int,
        now: float,
    ) -> pipelines.Chain | None:
        """Returns a chain over all layers, or None if there is none.

        Args:
            prompt: Prompt of the request.
            offers: Usable servers; full ones are not selected.
            layers: Layers of the model.
            now: Current time, seconds.
        """
        available = [offer for offer in offers if not offer.is_full]
        figures = self._collect_figures(prompt, available, now)
        if not figures:
            return self._fallback.select_chain(offers, layers)
        usual = _Figures(
            _compute_mean([item.position_s for item in figures.values()]),
            _compute_mean([item.step_s for item in figures.values()]),
            0.0,
            0.0,
        )

        def compute_cost(offer: pipelines.StageOffer, count: int) -> float:
            return self._estimate_time(
                offer, count, figures.get(offer.address, usual), len(prompt)
            )

        return pipelines.search_chain(available, 0, layers, compute_cost)

    def _collect_figures(
        self, prompt: Prompt, offers: pipelines.Offers, now: float
    ) -> dict[str, _Figures]:
        """Returns the figures of the candidates that have a cache."""
        found = {}
        for offer in offers:
            cache = self._knowledge.find_cache(offer.address)
            if cache is not None:
                found[offer.address] = _Figures(
                    cache.position_s,
                    cache.step_s,
                    self._knowledge.get_pending(offer.address),
                    self._knowledge.estimate_held(
                        offer.address, prompt.get_keys(cache), now
                    ),
                )
        return found

    def _estimate_time(
        self,
        offer: pipelines.StageOffer,
        count: int,
        figures: _Figures,
        length: int,
    ) -> float:
        """Returns the expected time and the delay of others, seconds.

        Args:
            offer: The server.
            count: Layers that it computes.
            figures: Its figures.
            length: Positions of the prompt.
        """
        share = count / (offer.end_layer - offer.first_layer)
        step_s = figures.step_s + figures.position_s * offer.load
        utilisation = offer.load / offer.limit if offer.limit else 0.0
        utilisation = min(utilisation, UTILISATION_MAX)
        wait_s = figures.pending * figures.position_s + step_s * utilisation / (
            1 - utilisation
        )
        missing = max(0.0, length - figures.held)
        # An iteration ends for all of its streams at once, so that a prefill
        # delays each stream in progress as well. Without this term, a prompt
        # is computed again elsewhere as soon as its own wait is longer, which
        # takes time from all others.
        prefill_s = missing * figures.position_s * share * (1 + offer.load)
        link_s = ZONE_LINK_S if offer.zone != self._zone else 0.0
        tie_break = 1 + pipelines.TIE_BREAK_SHARE * self._random.random()
        total_s = wait_s + prefill_s + link_s + step_s * share
        return max(COST_MIN_S, total_s) * tie_break


def _compute_mean(values: list[float]) -> float:
    return math.fsum(values) / len(values)
