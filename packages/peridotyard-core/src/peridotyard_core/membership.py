"""Routing table of an entry: the sidecars that can take work.

A sidecar runs beside one backend server and connects it to the entries. The
table is based on live connections; the platform's instance list only provides
addresses to connect to.
"""

import collections
import collections.abc
import dataclasses

from peridotyard_core import pipelines


@dataclasses.dataclass(frozen=True)
class Instance:
    """One row of the platform's instance list.

    Attributes:
        instance: Name of the instance.
        zone: Availability zone.
        role: "entry" or "sidecar".
        address: Address for other processes, as text.
        state: "live", or another state in which it takes no new work.
    """

    instance: str
    zone: str
    role: str
    address: str
    state: str


@dataclasses.dataclass(frozen=True)
class Offer:
    """Last state of a backend server that its sidecar announced.

    Attributes:
        stage: Layers that the engine holds, and the load that the sidecar
            reported.
        kind: "model" or "service".
        service: Name of the service, for kind "service".
        ready: Whether the backend server works.
        draining: Whether the sidecar accepts no new work.
        sequence: Number that increases with each offer of a process.
    """

    stage: pipelines.StageOffer
    kind: str = "model"
    service: str = ""
    ready: bool = True
    draining: bool = False
    sequence: int = 0

    @property
    def in_flight(self) -> int:
        """Number of streams or calls in flight, as the sidecar reported it."""
        return self.stage.load


@dataclasses.dataclass
class _Route:
    """State of a connected sidecar.

    Attributes:
        incarnation: Number that identifies the start of the process.
        offer: Last offer, None before the first.
        leaving: Whether the sidecar has begun to drain.
        epoch: Number that changes whenever the sidecar becomes usable again.
        other_streams: Streams of other entries, estimated from the last offer.
    """

    incarnation: int
    offer: Offer | None = None
    leaving: bool = False
    epoch: int = 0
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
    """Sidecars that can take work, owned by the entry.

    A sidecar is in the table while it has a live connection, whether or not it
    is in the instance list, since the list lags behind. The list only adds
    addresses to connect to.
    """

    def __init__(self):
        self._routes: dict[str, _Route] = {}
        self._own_streams = collections.Counter()
        self._listed: dict[str, Instance] = {}
        self._epoch = 0

    def update_instances(
        self, instances: collections.abc.Sequence[Instance] | None
    ) -> tuple[list[str], list[str]]:
        """Applies the instance list.

        An empty or unavailable list changes nothing, and a connected address is
        never removed.

        Args:
            instances: The list, or None if it is unavailable.

        Returns:
            The addresses to keep connected, and the removed addresses, to which
            no new connection is made.
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
        """Records a live connection.

        Args:
            address: Address of the sidecar.
            incarnation: Number that identifies the start of the process.
        """
        route = self._routes.get(address)
        if route is None or route.incarnation != incarnation:
            self._epoch += 1
            self._routes[address] = _Route(incarnation, epoch=self._epoch)

    def record_disconnected(self, address: str) -> None:
        """Records that the connection to an address ended."""
        self._routes.pop(address, None)

    def find_incarnation(self, address: str) -> int | None:
        """Returns the incarnation of the process connected at an address.

        Args:
            address: Address of the sidecar.

        Returns:
            The incarnation, or None if no process is connected.
        """
        route = self._routes.get(address)
        return route.incarnation if route else None

    def record_offer(self, address: str, offer: Offer) -> None:
        """Stores an offer of a connected sidecar; older offers are ignored."""
        route = self._routes.get(address)
        if route is None or (
            route.offer is not None and offer.sequence < route.offer.sequence
        ):
            return
        was_usable = route.is_usable
        route.offer = offer
        # The reported load lags behind. This entry knows the number of its own
        # streams, so only the streams of other entries are taken from it.
        route.other_streams = max(
            0, offer.stage.load - self._own_streams[address]
        )
        if route.is_usable and not was_usable:
            self._epoch += 1
            route.epoch = self._epoch

    def record_leaving(self, address: str) -> None:
        """Records that a sidecar has begun to drain and takes no new work."""
        if address in self._routes:
            self._routes[address].leaving = True

    def find_stages(
        self, model: str, version: str, adapter: str = ""
    ) -> list[pipelines.StageOffer]:
        """Returns the offers of the servers that may run a stage of a model.

        Args:
            model: Name of the model.
            version: Version of the model.
            adapter: Adapter that the server must have loaded, empty for none.
        """
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
        """Returns the addresses that may take calls, with reported loads.

        Args:
            service: Name of the service.
        """
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
        """Counts a stream of this entry on each stage of its chain."""
        self._own_streams.update(stage.offer.address for stage in chain)

    def remove_stream(self, chain: pipelines.Chain) -> None:
        """Undoes the count of `add_stream` when the stream ends."""
        for stage in chain:
            address = stage.offer.address
            self._own_streams[address] -= 1
            if self._own_streams[address] <= 0:
                del self._own_streams[address]
