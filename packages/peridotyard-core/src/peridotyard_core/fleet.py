"""Data types for backend servers, model engines, routes and workspaces.

An entry is the process that accepts requests from callers and forwards them to
backend servers. It builds these values from the rows of the platform's store.
"""

import dataclasses
import enum
import functools

from peridotyard_core import addresses


@dataclasses.dataclass(frozen=True, order=True)
class LayerRange:
    """A contiguous range of model layers.

    Attributes:
        first: Index of the first layer.
        end: Index after the last layer.
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
    """A type of accelerator hardware.

    Attributes:
        name: Name of the type.
        memory_mb: Memory for layers and KV cache, megabytes.
        step_factor: Time of a token step, as a multiple of `Engine.step_ms`.
        prefill_factor: Time to read a prompt token, as a multiple of the time
            that follows from `Engine.prefill_tokens_per_ms`.
    """

    name: str
    memory_mb: float
    step_factor: float = 1.0
    prefill_factor: float = 1.0


@dataclasses.dataclass(frozen=True)
class Engine:
    """The model engine of a service, and the model that it runs.

    A token step computes one token. Prefill is the computation of a prompt
    before its first token step.

    Attributes:
        layers: Number of layers of the model.
        layer_mb: Memory of one layer's weights, megabytes.
        kv_token_mb: KV cache of one token in all layers, megabytes.
        activation_mb: Activations of one token that a stage sends to the next
            one, megabytes.
        step_ms: Time of a token step through all layers on an accelerator
            with step factor 1, milliseconds.
        stream_ms: Additional step time for each stream of a batch,
            milliseconds.
        prefill_tokens_per_ms: Prompt tokens read per millisecond on an
            accelerator with prefill factor 1.
        zone_link_mbps: Bandwidth between two zones in megabits per second,
            shared by all streams; 0 if unknown.
        load_s: Time to load all layers, seconds.
        parallel_loads: Loads that run at the same time without slowing each
            other.
        prompt_tokens: Mean length of a prompt.
        response_tokens: Mean length of a response.
        slots: Streams that a server accepts as the first stage of their path.
        stall_s: Time after which a server ends work that waits for a failed
            server, seconds.
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
        """Returns the accelerator type with this name, None if unknown."""
        for accelerator_type in self.accelerator_types:
            if accelerator_type.name == name:
                return accelerator_type
        return None

    def compute_kv_capacity(
        self, accelerator_type: AcceleratorType, layers: int
    ) -> float:
        """Returns the tokens whose KV cache fits in memory beside the layers.

        Args:
            accelerator_type: Accelerator of the server.
            layers: Number of layers that the server holds.
        """
        if layers <= 0:
            return 0.0
        free_mb = accelerator_type.memory_mb - layers * self.layer_mb
        return max(0.0, free_mb / (layers * self.kv_token_mb / self.layers))

    def compute_stream_capacity(
        self, accelerator_type: AcceleratorType, layers: int
    ) -> float:
        """Returns the streams of mean length whose KV cache fits in memory.

        Args:
            accelerator_type: Accelerator of the server.
            layers: Number of layers that the server holds.
        """
        tokens = self.prompt_tokens + self.response_tokens
        return self.compute_kv_capacity(accelerator_type, layers) / max(
            1, tokens
        )


@dataclasses.dataclass(frozen=True)
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        name: Name of the service.
        max_connections: Connections that a server accepts from all entries; 0
            if unknown.
        engine: The model engine; None for a plain service, which does not run
            a model.
    """

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True)
class Server:
    """One backend server as it describes itself in the platform's store.

    Attributes:
        instance: Identity of this server; usually new with each start.
        service: Name of the service.
        address: Address at which it accepts requests.
        zone: Availability zone.
        ready: Whether it accepts new work; False while it shuts down.
        slots: Requests that it serves at the same time.
        accelerator_type: Name of the accelerator type, empty for a plain
            service.
        layer_range: Layers that it holds; None if it holds none.
        started_at_ms: Unix time of its start, milliseconds.
        revision: Revision of the platform's row that this was read from.
        heartbeats: Number of times that the server has written its row since
            its start.
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
    heartbeats: int = 0


class RetryPolicy(enum.Enum):
    """Whether a request may be sent again after it may have run."""

    # Idempotent request: may run any number of times.
    SAFE = "safe"
    # Non-idempotent request: runs at most once.
    ONCE = "once"
    # Idempotent stream of numbered events that another server may continue.
    STREAM = "stream"
    # Non-idempotent stream: runs at most once.
    STREAM_ONCE = "stream-once"

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (RetryPolicy.STREAM, RetryPolicy.STREAM_ONCE)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self in (RetryPolicy.SAFE, RetryPolicy.STREAM)


@dataclasses.dataclass(frozen=True)
class Route:
    """Rules for the requests with one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name of the requests.
        prefix: Beginning of the path, with a slash at both ends.
        retry_policy: Whether requests may be sent again.
        timeout_s: Longest time until the end of the response, seconds.
        latency_objective_s: Objective for the time to the response, or to the
            first event of a stream, seconds.
        event_gap_objective_s: Objective for the time between two events of a
            stream, seconds; 0 if there is none.
        priority: Priority of the requests; 0 is the most urgent.
        targets: Names of services with their weights.
        max_attempts: Largest number of servers on which one request may run.
        public: Whether the route needs no API key.
        event_timeout_s: Time without an event after which callers abandon a
            stream, also before its first event, seconds.
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
    event_timeout_s: float = 2.0


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A customer; its API keys are in the `Routing`.

    Attributes:
        name: Name that is sent to servers with each request.
        priority: Priority that replaces that of the route; None to use the
            route's.
    """

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests.

    Attributes:
        header_bytes: Largest request head, bytes.
        body_bytes: Largest request body, bytes.
        header_timeout_s: Longest time from the first byte to the end of the
            request head, seconds.
        idle_timeout_s: Longest time between two requests on a connection,
            seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


# Number of ranks of requests; backend servers know as many priorities.
RANKS = 10


def _pair_priorities(workspace: int | None, route: int) -> tuple[int, int]:
    """Returns the sort key of requests; a workspace may have no priority."""
    return (route if workspace is None else workspace), route


class Routing:
    """One accepted configuration of routes, services and workspaces.

    Immutable; owned by the entry as long as the version is current.

    Attributes:
        version: Version number, which increases with each accepted
            configuration.
        services: Services by name.
        limits: Limits on the requests of callers.
    """

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        workspaces: dict[str, Workspace] | None,
        limits: CallerLimits,
    ):
        """Creates the indexes that look up routes and workspaces.

        Args:
            version: See the attribute.
            routes: All routes.
            services: All services.
            workspaces: Workspace of each API key; None if the configuration
                does not use API keys. If it is empty, no key is valid.
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
        self._ranks = self._rank_priorities(routes)

    def _rank_priorities(
        self, routes: tuple[Route, ...]
    ) -> dict[tuple[int, int], int]:
        """Returns the rank of each pair of priorities of requests."""
        workspaces = set((self._workspaces or {}).values())
        known = {workspace.priority for workspace in workspaces} | {None}
        pairs = sorted(
            {
                _pair_priorities(priority, route.priority)
                for priority in known
                for route in routes
            }
        )
        # Equal steps if there are more pairs than ranks.
        step = max(1.0, len(pairs) / RANKS)
        return {pair: int(number / step) for number, pair in enumerate(pairs)}

    def rank(self, route: Route, workspace: Workspace | None) -> int:
        """Returns the rank of a request from 0, the first, to `RANKS` - 1.

        The priority of the workspace takes precedence over that of the route,
        which orders the requests of workspaces with the same one: callers who
        wait for a response come before batch work of the same workspace.

        Args:
            route: A route of this configuration.
            workspace: The caller's workspace, None for a public route.
        """
        priority = workspace.priority if workspace else None
        return self._ranks[_pair_priorities(priority, route.priority)]

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need an API key.

        They also do while no key is valid, and are then all rejected.
        """
        return self._workspaces is not None

    @property
    def routes(self) -> tuple[Route, ...]:
        """All routes."""
        return tuple(r for items in self._routes.values() for r in items)

    @functools.cached_property
    def priorities(self) -> dict[str, frozenset[int]]:
        """Ranks that the requests of each service may have."""
        workspaces = set((self._workspaces or {}).values())
        found: dict[str, set[int]] = {}
        for route in self.routes:
            if self.needs_keys and not route.public:
                own = {self.rank(route, w) for w in workspaces}
            else:
                own = {self.rank(route, None)}
            for name, _ in route.targets:
                found.setdefault(name, set()).update(own)
        return {name: frozenset(own) for name, own in found.items()}

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, else None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def authenticate(self, key: str) -> Workspace | None:
        """Returns the workspace of an API key, None if the key is unknown."""
        return self._workspaces.get(key) if self._workspaces else None
