"""Selection of the chain of servers that computes all layers of a model.

Each sidecar announces with an offer which layers its engine holds. A chain is
the sequence of stages that together compute all layers for one stream. Chains
are used in a deployment with sidecars; see `paths` for a platform without them.
"""

import collections.abc
import dataclasses
import heapq
import random as random_module

# Largest random share that is added to a cost, to select among chains of equal
# load at random. It is far smaller than the cost of one stream on any server.
TIE_BREAK_SHARE = 1e-6


@dataclasses.dataclass(frozen=True)
class StageOffer:
    """Layers that one sidecar's engine holds, and its load.

    Attributes:
        instance: Name of the sidecar's instance.
        address: Address at which the sidecar listens, as text.
        model: Name of the model.
        version: Version of the model.
        first_layer: First layer that the engine holds.
        end_layer: Layer after the last one.
        adapters: Names of the loaded adapters.
        zone: Availability zone.
        load: Expected number of streams in flight, from all entries.
        limit: Largest number of streams in flight; 0 if unknown.
        tokens_per_s: Measured rate, tokens per second; 0 if unknown.
        epoch: Number that changes whenever the server becomes available again.
    """

    instance: str
    address: str
    model: str
    version: str
    first_layer: int
    end_layer: int
    adapters: tuple[str, ...] = ()
    zone: str = ""
    load: int = 0
    limit: int = 0
    tokens_per_s: float = 0.0
    epoch: int = 0

    @property
    def is_full(self) -> bool:
        """Whether the limit of streams in flight is reached."""
        return bool(self.limit) and self.load >= self.limit


@dataclasses.dataclass(frozen=True)
class ChainStage:
    """One stage of a chain, with the layers that it computes.

    Attributes:
        offer: Offer of the server.
        first_layer: First layer that the stage computes; its engine may hold
            more layers.
        end_layer: Layer after the last one.
    """

    offer: StageOffer
    first_layer: int
    end_layer: int


Chain = tuple[ChainStage, ...]
Offers = collections.abc.Sequence[StageOffer]


def search_chain(
    offers: Offers, first_layer: int, end_layer: int, compute_cost
) -> Chain | None:
    """Returns the cheapest chain that covers a range of layers.

    Each stage begins where the previous one ends and continues to the last
    layer that its engine holds, so overlapping offers are joined with few
    stages.

    Args:
        offers: Candidates; each is used at most once.
        first_layer: First layer of the range.
        end_layer: Layer after the range.
        compute_cost: Function that returns the cost, above zero, of an offer
            and a number of layers.

    Returns:
        The chain, or None if the offers do not cover the range.
    """
    best = {first_layer: 0.0}
    came_from = {}
    queue = [(0.0, first_layer)]
    while queue:
        cost, layer = heapq.heappop(queue)
        if layer == end_layer:
            return _trace_chain(came_from, first_layer, end_layer)
        if cost > best[layer]:
            continue
        for offer in offers:
            if not offer.first_layer <= layer < offer.end_layer:
                continue
            end = min(offer.end_layer, end_layer)
            total = cost + compute_cost(offer, end - layer)
            if total < best.get(end, float("inf")):
                best[end] = total
                came_from[end] = ChainStage(offer, layer, end)
                heapq.heappush(queue, (total, end))
    return None


def _trace_chain(came_from, first_layer: int, end_layer: int) -> Chain:
    """Returns the stages by which a search reached the end of the range."""
    stages = []
    layer = end_layer
    while layer != first_layer:
        stage = came_from[layer]
        stages.append(stage)
        layer = stage.first_layer
    return tuple(reversed(stages))


class LeastLoadSelector:
    """Selects the chain with the least expected load, owned by the entry.

    The cost of a stage is its expected number of streams, including the new
    one, divided by its rate and multiplied by the share of its engine's layers
    that the stage computes.
    """

    def __init__(self, random: random_module.Random):
        """Creates a selector.

        Args:
            random: Source of the random choice among chains of equal load.
        """
        self._random = random

    def select_chain(self, offers: Offers, layers: int) -> Chain | None:
        """Returns a chain over all layers, or None if there is none."""
        available = [offer for offer in offers if not offer.is_full]
        return search_chain(
            available, 0, layers, self._make_cost_function(available)
        )

    def estimate_costs(self, offers: Offers) -> dict[str, float]:
        """Returns costs as stages of all layers that an offer has, by address.

        Args:
            offers: The offers; full ones have no cost.
        """
        available = [offer for offer in offers if not offer.is_full]
        compute_cost = self._make_cost_function(available)
        return {
            offer.address: compute_cost(
                offer, offer.end_layer - offer.first_layer
            )
            for offer in available
        }

    def replace_stage(
        self, chain: Chain, index: int, offers: Offers
    ) -> Chain | None:
        """Returns the chain with other servers for one stage.

        The other stages are not changed. If no other servers hold the layers,
        a neighbouring stage takes them over, provided its engine holds them.

        Args:
            chain: The chain with the failed stage.
            index: Index of the failed stage.
            offers: Offers of usable servers, without the failed one.

        Returns:
            The chain, or None if the layers cannot be covered.
        """
        failed = chain[index]
        used = {stage.offer.instance for stage in chain}
        available = [
            offer
            for offer in offers
            if offer.instance not in used and not offer.is_full
        ]
        replacement = search_chain(
            available,
            failed.first_layer,
            failed.end_layer,
            self._make_cost_function(available),
        )
        if replacement is not None:
            return chain[:index] + replacement + chain[index + 1 :]
        return _extend_neighbour(chain, index)

    def _make_cost_function(self, offers: Offers):
        # Rates and limits are not comparable, so rates are used only if they
        # are known for all candidates.
        have_rates = all(offer.tokens_per_s > 0 for offer in offers)

        def compute_cost(offer: StageOffer, layers: int) -> float:
            rate = offer.tokens_per_s if have_rates else offer.limit or 1
            share = layers / (offer.end_layer - offer.first_layer)
            tie_break = 1 + TIE_BREAK_SHARE * self._random.random()
            return (offer.load + 1) / rate * share * tie_break

        return compute_cost


def _extend_neighbour(chain: Chain, index: int) -> Chain | None:
    """Returns the chain without a stage whose layers a neighbour computes.

    Returns:
        The chain, or None if no neighbour's engine holds the layers.
    """
    failed = chain[index]
    if index > 0:
        before = chain[index - 1]
        if before.offer.end_layer >= failed.end_layer:
            extended = dataclasses.replace(before, end_layer=failed.end_layer)
            return chain[: index - 1] + (extended,) + chain[index + 1 :]
    if index + 1 < len(chain):
        after = chain[index + 1]
        if after.offer.first_layer <= failed.first_layer:
            extended = dataclasses.replace(
                after, first_layer=failed.first_layer
            )
            return chain[:index] + (extended,) + chain[index + 2 :]
    return None
