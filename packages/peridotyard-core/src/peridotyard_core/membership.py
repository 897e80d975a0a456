"""Routing table: live connections, with the instance list as fallback."""

import collections
import collections.abc
import dataclasses

from peridotyard_core import pipelines


@dataclasses.dataclass(frozen=True)
class Instance:
    """One row of the platform's instance list."""

    instance: str
    zone: str
    role: str
    address: str
    state: str


@dataclasses.dataclass(frozen=True)
class Offer:
    """What a sidecar said last about its backend server.

    Attributes:
        stage: What it holds; the load is the one that it reported.
        kind: "model" or "service".
        service: Name of the service, for kind "service".
        ready: Whether the backend server works.
        draining: Whether the sidecar takes no new work.
        sequence: Grows with each offer of a process.
    """

    stage: pipelines.StageOffer
    kind: str = "model"
    service: str = ""
    ready: bool = True
    draining: bool = False
    sequence: int = 0

    @property
    def in_flight(self) -> int:
        """Streams or calls in flight, as the sidecar reported them."""
        return self.stage.load


@dataclasses.dataclass
class _Route:
    incarnation: int
    offer: Offer | None = None
    leaving: bool = False
    epoch: int = 0
    # Streams of other entries, by the last offer.
    other_streams: int = 0

    @property
    def is_usable(self) -> bool:
        offer = self.offer
        return (
            offer is not None
            and offer.ready
            and not offer.draining
            and not self.leaving
        )


class RoutingTable:
    """Which sidecars can take work, owned by the entry.

    A sidecar is in the table while it has a live connection, whatever the
    instance list says, since the list lags. The list only adds addresses to
    dial.
    """

    def __init__(self):
        self._routes: dict[str, _Route] = {}
        self._own_streams = collections.Counter()
        self._listed: dict[str, Instance] = {}
        self._epoch = 0

    def update_instances(
        self, instances: collections.abc.Sequence[Instance] | None
    ) -> tuple[list[str], list[str]]:
        """Applies a reading of the instance list.

        Args:
            instances: The list, or None if it is unavailable.

        Returns:
            The addresses to keep connected, and those to stop dialing. An
            empty or unavailable list changes nothing; a connected address is
            never given up.
        """
        if instances:
            before = self._listed
            self._listed = {
                row.address: row
                for row in instances
                if row.role == "sidecar" and row.state == "live"
            }
            removed = [
                address
                for address in before
                if address not in self._listed and address not in self._routes
            ]
            # A connected address stays on the list until it is disconnected.
            for address in before.keys() & self._routes.keys():
                self._listed.setdefault(address, before[address])
        else:
            removed = []
        return sorted(self._listed), sorted(removed)

    def record_connected(self, address: str, incarnation: int) -> None:
        """Records a live connection."""
        route = self._routes.get(address)
        if route is None or route.incarnation != incarnation:
            self._epoch += 1
            self._routes[address] = _Route(incarnation, epoch=self._epoch)

    def record_disconnected(self, address: str) -> None:
        """Records that the connection to an address ended."""
        self._routes.pop(address, None)

    def find_incarnation(self, address: str) -> int | None:
        """Returns the process start that is connected, if any."""
        route = self._routes.get(address)
        return route.incarnation if route else None

    def record_offer(self, address: str, offer: Offer) -> None:
        """Replaces the offer of a connected sidecar by a newer one."""
        route = self._routes.get(address)
        if route is None or (
            route.offer is not None and offer.sequence < route.offer.sequence
        ):
            return
        was_usable = route.is_usable
        route.offer = offer
        # A report lags, so only the part that is not ours is taken from it.
        route.other_streams = max(
            0, offer.stage.load - self._own_streams[address]
        )
        if route.is_usable and not was_usable:
            self._epoch += 1
            route.epoch = self._epoch

    def record_leaving(self, address: str) -> None:
        """Gives no new work to a sidecar that has begun to drain."""
        if address in self._routes:
            self._routes[address].leaving = True

    def find_stages(
        self, model: str, version: str, adapter: str = ""
    ) -> list[pipelines.StageOffer]:
        """Returns the servers that may take a stage of a model."""
        found = []
        for address, route in self._routes.items():
            if not route.is_usable or route.offer.kind != "model":
                continue
            stage = route.offer.stage
            if (stage.model, stage.version) != (model, version):
                continue
            if adapter and adapter not in stage.adapters:
                continue
            found.append(
                dataclasses.replace(
                    stage,
                    address=address,
                    load=self._own_streams[address] + route.other_streams,
                    epoch=route.epoch,
                )
            )
        return found

    def find_services(self, service: str) -> list[tuple[str, int]]:
        """Returns the addresses that may take calls, with reported loads."""
        return [
            (address, route.offer.stage.load)
            for address, route in self._routes.items()
            if route.is_usable
            and route.offer.kind == "service"
            and route.offer.service == service
        ]

    def describe(self) -> list[dict]:
        """Returns the JSON value of the table for operators."""
        rows = []
        for address, route in sorted(self._routes.items()):
            offer = route.offer
            stage = offer.stage if offer else None
            rows.append(
                {
                    "address": address,
                    "instance": stage.instance if stage else "",
                    "zone": stage.zone if stage else "",
                    "kind": offer.kind if offer else "",
                    "service": offer.service if offer else "",
                    "model": stage.model if stage else "",
                    "version": stage.version if stage else "",
                    "layers": [stage.first_layer, stage.end_layer]
                    if stage and stage.model
                    else [],
                    "usable": route.is_usable,
                    "leaving": route.leaving,
                    "in_flight": self._own_streams[address]
                    + route.other_streams,
                    "limit": stage.limit if stage else 0,
                }
            )
        return rows

    def add_stream(self, chain: pipelines.Chain) -> None:
        """Counts a stream of this entry on each stage."""
        self._own_streams.update(stage.offer.address for stage in chain)

    def remove_stream(self, chain: pipelines.Chain) -> None:
        """Ends the count of `add_stream`."""
        for stage in chain:
            address = stage.offer.address
            self._own_streams[address] -= 1
            if self._own_streams[address] <= 0:
                del self._own_streams[address]
