"""Backend servers, engines and routes as an entry sees them, as data."""

import dataclasses
import enum

from peridotyard_core import addresses


@dataclasses.dataclass(frozen=True, order=True)
class LayerRange:
    """A contiguous range of layers.

    Attributes:
        first: First layer.
        end: Layer after the last one.
    """

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def contains(self, layer: int) -> bool:
        """Returns whether a layer is in the range."""
        return self.first <= layer < self.end


@dataclasses.dataclass(frozen=True)
class AcceleratorType:
    """One kind of accelerator.

    Attributes:
        name: Name of the kind.
        memory_mb: Memory for layers and KV cache, megabytes.
        step_factor: Time of a token step relative to the engine's figures.
        prefill_factor: Time to read a prompt token, relative likewise.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Engine:
    """The model engine of a service, and the model that it runs.

    Attributes:
        layers: Number of layers of the model.
        layer_mb: Memory of one layer's weights, megabytes.
        kv_token_mb: KV cache of one token in all layers, megabytes.
        activation_mb: Activation of one token between two stages, megabytes.
        step_ms: Time of a token step through all layers at factor 1.
        stream_ms: Additional step time for each stream of a batch.
        prefill_tokens_per_ms: Prompt tokens read per millisecond at factor 1.
        zone_link_mbps: Bandwidth between two zones, shared by all streams.
        load_s: Time to load all layers.
        parallel_loads: Loads that do not slow each other.
        prompt_tokens: Mean prompt.
        response_tokens: Mean length of a response.
        slots: Streams that a server accepts as first stage.
        stall_s: Time after which work that depends on a dead server ends.
        accelerator_types: Accelerator types that servers may have.
    """

    layers: int
    layer_mb: float
    kv_token_mb: float
    activation_mb: float
    step_ms: float
    stream_ms: float
    prefill_tokens_per_ms: float
    zone_link_mbps: float
    load_s: float
    parallel_loads: int
    prompt_tokens: int
    response_tokens: int
    slots: int
    stall_s: float
    accelerator_types: tuple[AcceleratorType, ...]

    def find_accelerator_type(self, name: str) -> AcceleratorType | None:
        """Returns the kind with this name."""
        for accelerator_type in self.accelerator_types:
            if accelerator_type.name == name:
                return accelerator_type
        return None

    def compute_kv_capacity(
        self, accelerator_type: AcceleratorType, layers: int
    ) -> float:
        """Returns the tokens for which a card has room beside its layers."""
        if layers <= 0:
            return 0.0
        free_mb = accelerator_type.memory_mb - layers * self.layer_mb
        return max(0.0, free_mb / (layers * self.kv_token_mb / self.layers))

    def compute_stream_capacity(
        self, accelerator_type: AcceleratorType, layers: int
    ) -> float:
        """Returns the mean streams for which a card has KV cache."""
        tokens = self.prompt_tokens + self.response_tokens
        return self.compute_kv_capacity(accelerator_type, layers) / max(
            1, tokens
        )


@dataclasses.dataclass(frozen=True)
class Service:
    """Backend servers that do the same.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a server accepts from all callers.
        engine: The model engine; None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class Server:
    """One backend server as it described itself.

    Attributes:
        instance: Identity of this server; mostly new with each start.
        service: Name of the service.
        address: Where it accepts requests.
        zone: Availability zone.
        ready: Whether it takes new work; False while it leaves.
        slots: Requests that it serves at a time.
        accelerator_type: Name of the accelerator type, empty for a plain
            service.
        layer_range: Layers that it holds; None if it holds none.
        started_at_ms: Unix time of its start.
        revision: Revision of the platform's row that this was read from.
    """

    instance: str
    service: str
    address: addresses.Address
    zone: str
    ready: bool
    slots: int = 0
    accelerator_type: str = ""
    layer_range: LayerRange | None = None
    started_at_ms: int = 0
    revision: int = 0


class RetryPolicy(enum.Enum):
    """What may be repeated of a request."""

    # May run any number of times.
    SAFE = "safe"
    # Runs at most once.
    ONCE = "once"
    # A stream of numbered events that may be continued elsewhere.
    STREAM = "stream"
    # A stream that runs at most once.
    STREAM_ONCE = "stream-once"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (RetryPolicy.STREAM, RetryPolicy.STREAM_ONCE)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self in (RetryPolicy.SAFE, RetryPolicy.STREAM)


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name of the requests.
        prefix: Beginning of the path, with a slash at both ends.
        retry_policy: What may be repeated.
        timeout_s: Longest time until the final answer.
        latency_objective_s: Time to the answer, or to the first event.
        event_gap_objective_s: Longest pause between two events, 0 where
            unknown.
        priority: 0 is the most urgent.
        targets: Names of services with their weights.
        max_attempts: Servers on which one request may run.
        public: Whether the route needs no API key.
    """

    name: str
    host: str
    prefix: str
    retry_policy: RetryPolicy
    timeout_s: float
    latency_objective_s: float
    event_gap_objective_s: float
    priority: int
    targets: tuple[tuple[str, float], ...]
    max_attempts: int
    public: bool = False


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer; its API keys are in the `Routing`.

    Attributes:
        name: Name that servers are told.
        priority: Overrides that of the route; None to use the route's.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: Longest request head.
        body_bytes: Longest request body.
        header_timeout_s: Longest time from first byte to the end of the head.
        idle_timeout_s: Longest time between two requests of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Routing:
    """One accepted configuration of routes, services and workspaces.

    Immutable; owned by the entry as long as the version is current.

    Attributes:
        version: Increases with each accepted configuration.
        services: By name.
        limits: Limits for callers.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        workspaces: dict[str, Workspace],
        limits: CallerLimits,
    ):
        """Indexes a configuration.

        Args:
            version: See the attribute.
            routes: All routes.
            services: All services.
            workspaces: Workspace of each API key; empty if keys are not used.
            limits: See the attribute.
        """
        self.version = version
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._workspaces = workspaces
        self._routes: dict[str, list[Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
        for items in self._routes.values():
            items.sort(key=lambda route: -len(route.prefix))

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not public need an API key."""
        return bool(self._workspaces)

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes."""
        return tuple(r for items in self._routes.values() for r in items)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of the longest matching prefix."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def authenticate(self, key: str) -> Workspace | None:
        """Returns the workspace of an API key."""
        return self._workspaces.get(key)
