"""The emulated model engine, which one sidecar or several use.

A sidecar opens a stream for each completion and sends steps of it. A step runs
some positions (tokens of the prompt and the response) through the engine's
layers. The engine keeps a KV cache for each stream, as a model engine does.
"""

import collections
import dataclasses
import hashlib
import heapq
import itertools
import math
import random
import struct

from peridotyard_core import addresses
from peridotyard_core import options
from peridotyard_core import settings
from peridotyard_daemon.connection import frames
from peridotyard_daemon.connection import http
from peridotyard_daemon.process import logs
from peridotyard_daemon.process import network as network_module
from peridotyard_daemon.wire.generated import ttypes
import trio

from peridotyard_emulator import layers

EXIT_CRASHED = 70
# Maximum number of streams and generations whose run counts are kept for
# `describe_state`.
RUNS_LIMIT = 4096
CONTROL_BODY_BYTES = 1 << 20

_log = logs.Logger("engine")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Settings(settings.ProcessSettings):
    """Options of the emulated engine."""

    address: addresses.Address = options.declare(
        "listen",
        "address",
        "address",
        options.REQUIRED,
        "address for the sidecar",
    )
    control: addresses.Address | None = options.declare(
        "listen",
        "control",
        "address",
        None,
        "HTTP address for faults and state",
    )
    model: str = options.declare(
        "model", "name", "str", options.REQUIRED, "model name"
    )
    version: str = options.declare("model", "version", "str", "1", "version")
    layers: int = options.declare(
        "model", "layers", "int", 32, "layers of the model", minimum=1
    )
    first_layer: int = options.declare(
        "model", "first_layer", "int", 0, "first layer held", minimum=0
    )
    end_layer: int = options.declare(
        "model",
        "end_layer",
        "int",
        0,
        "layer after the last one held, 0 for all layers",
        minimum=0,
    )
    adapters: tuple[str, ...] = options.declare(
        "model", "adapters", "names", (), "adapters loaded at the start"
    )
    accelerator: str = options.declare(
        "engine", "accelerator", "str", "emulated", "accelerator type"
    )
    tokens_per_s: float = options.declare(
        "engine", "tokens_per_s", "float", 0.0, "reported speed", minimum=0
    )
    max_batch: int = options.declare(
        "engine",
        "max_batch",
        "int",
        64,
        "maximum steps in one iteration",
        minimum=1,
    )
    base_s: float = options.declare(
        "engine", "base_s", "float", 0.005, "seconds per iteration", minimum=0
    )
    per_token_s: float = options.declare(
        "engine",
        "per_token_s",
        "float",
        0.00005,
        "seconds per position that the prefix cache does not hold",
        minimum=0,
    )
    checks_fencing: bool = options.declare(
        "engine",
        "checks_fencing",
        "bool",
        True,
        "reject outdated generations and fencing numbers",
    )
    order_s: float = options.declare(
        "engine", "order_s", "float", 0.5, "seconds to load weights", minimum=0
    )
    load_interval_s: float = options.declare(
        "engine",
        "load_interval_s",
        "float",
        0.5,
        "seconds between two load or cache reports",
        minimum=0.01,
    )
    load_lag_s: float = options.declare(
        "engine",
        "load_lag_s",
        "float",
        1.0,
        "age of a load report, seconds",
        minimum=0,
    )
    cache_block: int = options.declare(
        "cache", "block", "int", 16, "positions in a cached block", minimum=1
    )
    cache_blocks: int = options.declare(
        "cache", "blocks", "int", 4096, "blocks in memory", minimum=0
    )
    cache_event_lag_s: float = options.declare(
        "cache",
        "event_lag_s",
        "float",
        0.5,
        "seconds by which cache events are late",
        minimum=0,
    )
    cache_event_gap: int = options.declare(
        "cache",
        "event_gap",
        "int",
        10,
        "one cache event in this many is lost, 0 for none",
        minimum=0,
    )
    cache_isolated: bool = options.declare(
        "cache",
        "isolated",
        "bool",
        False,
        "prompts of different workspaces share no blocks",
    )
    crash_marker: str = options.declare(
        "faults",
        "crash_marker",
        "str",
        "",
        "prompt text that crashes the engine",
    )
    slow: float = options.declare(
        "faults",
        "slow",
        "float",
        1.0,
        "factor on the duration of iterations",
        minimum=0.001,
    )
    freeze: bool = options.declare(
        "faults", "freeze", "bool", False, "run no further iterations"
    )
    refuse: bool = options.declare(
        "faults", "refuse", "bool", False, "refuse all steps"
    )


@dataclasses.dataclass
class Faults:
    """Faults that are in effect, owned by the engine."""

    slow: float = 1.0
    freeze: bool = False
    refuse: bool = False
    crash_marker: str = ""
    crash_fingerprints: tuple[int, ...] = ()

    @classmethod
    def from_config(cls, values: Settings) -> "Faults":
        """Returns the faults that the settings activate."""
        return cls(
            slow=values.slow,
            freeze=values.freeze,
            refuse=values.refuse,
            crash_marker=values.crash_marker,
        )

    def update(self, changes: dict) -> None:
        """Sets some of the faults, or none if a name or value is invalid.

        Raises:
            ValueError: A name or value is invalid; the message contains it and
                the allowed ones.
        """
        if not isinstance(changes, dict):
            raise ValueError("the body is not an object")
        checks = {
            "slow": ("a number above 0", _is_positive),
            "freeze": ("true or false", lambda v: isinstance(v, bool)),
            "refuse": ("true or false", lambda v: isinstance(v, bool)),
            "crash_marker": ("a text", lambda v: isinstance(v, str)),
            "crash_fingerprints": ("a list of whole numbers", _is_int_list),
        }
        for name, value in changes.items():
            if name not in checks:
                allowed = ", ".join(checks)
                raise ValueError(f"unknown fault {name!r}; allowed: {allowed}")
            allowed, is_allowed = checks[name]
            if not is_allowed(value):
                raise ValueError(f"{name} = {value!r}; allowed: {allowed}")
        for name, value in changes.items():
            # Only the name of the list, crash_fingerprints, is a plural.
            setattr(self, name, tuple(value) if name[-1] == "s" else value)


def _is_positive(value) -> bool:
    return type(value) in (int, float) and 0 < value < math.inf


def _is_int_list(value) -> bool:
    return isinstance(value, list) and all(type(v) is int for v in value)


@dataclasses.dataclass(frozen=True)
class _Block:
    """Layer checksums after a block of positions, and the block's outputs.

    Attributes:
        checksums: Checksum of each layer.
        outputs: Outputs of the last layer.
        prefix: Key of the prompt up to the end of the block, as the entry
            computed it; None if it did not send one.
    """

    checksums: tuple[int, ...]
    outputs: tuple[int, ...]
    prefix: int | None = None


class PrefixCache:
    """LRU cache of the checksums and outputs of prefixes, in blocks.

    Owned by the engine. A key identifies a complete prefix, since it is a hash
    of the key of the previous block and the inputs of its own block.

    Attributes:
        stored: Keys added since the last event.
        evicted: Keys evicted since the last event.
    """

    def __init__(self, limit: int, cache_id: int = 0):
        """Creates an empty cache.

        Args:
            limit: Blocks in memory.
            cache_id: Number that distinguishes this cache from others.
        """
        self._limit = limit
        self._cache_id = cache_id
        # Whether a prefix that an entry has named is held, for those that
        # changed since the last event.
        self._prefixes: dict[int, bool] = {}
        self._stored_total = 0
        self._blocks: collections.OrderedDict[int, _Block] = (
            collections.OrderedDict()
        )
        self.stored: list[int] = []
        self.evicted: list[int] = []

    @property
    def has_changes(self) -> bool:
        """Whether there is something to report."""
        return bool(self.stored or self.evicted or self._prefixes)

    def find(self, key: int, prefix: int | None = None) -> _Block | None:
        """Returns a block and marks it as most recently used.

        Args:
            key: Key of the block.
            prefix: Key by which the entry knows the prefix, if it named one.
        """
        block = self._blocks.get(key)
        if block is not None:
            self._blocks.move_to_end(key)
            if prefix is not None and block.prefix != prefix:
                block = dataclasses.replace(block, prefix=prefix)
                self._blocks[key] = block
                self._prefixes[prefix] = True
        return block

    def add(self, key: int, block: _Block) -> None:
        """Stores a block and evicts the least recently used over the limit."""
        if self._limit == 0 or key in self._blocks:
            return
        self._blocks[key] = block
        self.stored.append(key)
        self._stored_total += 1
        if block.prefix is not None:
            self._prefixes[block.prefix] = True
        while len(self._blocks) > self._limit:
            evicted_key, evicted = self._blocks.popitem(last=False)
            self.evicted.append(evicted_key)
            if evicted.prefix is not None:
                self._prefixes[evicted.prefix] = False

    def pop_event(self, sequence: int) -> ttypes.EngineCacheEvent:
        """Returns the keys stored and evicted since the last call."""
        event = ttypes.EngineCacheEvent(
            sequence,
            self.stored,
            self.evicted,
            self._cache_id,
            [key for key, is_held in self._prefixes.items() if is_held],
            [key for key, is_held in self._prefixes.items() if not is_held],
            self._stored_total,
        )
        self.stored = []
        self.evicted = []
        self._prefixes = {}
        return event


def _hash_block(key: int, values: list[int]) -> int:
    data = struct.pack("<q", key) + layers.encode(values)
    digest = hashlib.blake2b(data, digest_size=8).digest()
    return struct.unpack("<q", digest)[0]


class _Stream:
    """State of one stream on the engine.

    Attributes:
        request: Message that opened the stream.
        client: Connection of the sidecar that opened it.
        kv: KV cache of the stream.
        key: Key of the prefix up to the latest complete block.
        block_inputs: Inputs of the block that is not complete yet.
        block_outputs: Outputs of that block.
        runs: How often each position ran, at most 255.
    """

    def __init__(self, request: ttypes.EngineOpen, client, kv, key: int):
        self.request = request
        self.client = client
        self.kv = kv
        self.key = key
        self.block_inputs: list[int] = []
        self.block_outputs: list[int] = []
        self.runs = bytearray()

    def _find_prefix(self, end: int) -> int | None:
        """Returns the key that the entry gave the positions before `end`."""
        size = self.request.key_positions or 0
        if size < 1 or end % size:
            return None
        keys = self.request.prefix_keys or ()
        index = end // size - 1
        return keys[index] if index < len(keys) else None

    def record_runs(self, position: int, count: int) -> None:
        missing = position + count - len(self.runs)
        self.runs.extend(bytes(max(0, missing)))
        for index in range(position, position + count):
            self.runs[index] = min(255, self.runs[index] + 1)

    def run(self, values, cache: PrefixCache, size: int):
        """Runs positions; a block in the cache is not computed again.

        Args:
            values: Activations of the positions.
            cache: Prefix cache of the engine.
            size: Positions in a block.

        Returns:
            The outputs, and the number of positions not in the cache.
        """
        outputs = []
        computed = 0
        offset = 0
        while offset < len(values):
            chunk = values[offset : offset + size - len(self.block_inputs)]
            offset += len(chunk)
            if len(chunk) == size:
                key = _hash_block(self.key, chunk)
                prefix = self._find_prefix(self.kv.length + size)
                block = cache.find(key, prefix)
                if block is not None:
                    self.kv.checksums = list(block.checksums)
                    self.kv.length += size
                    self.key = key
                    outputs += block.outputs
                    continue
            results = self.kv.run(chunk)
            computed += len(chunk)
            outputs += results
            self.block_inputs += chunk
            self.block_outputs += results
            if len(self.block_inputs) == size:
                self.key = _hash_block(self.key, self.block_inputs)
                cache.add(
                    self.key,
                    _Block(
                        tuple(self.kv.checksums),
                        tuple(self.block_outputs),
                        self._find_prefix(self.kv.length),
                    ),
                )
                self.block_inputs = []
                self.block_outputs = []
        return outputs, computed


class _Client:
    """One connection of a sidecar, with its queue of frames to send."""

    def __init__(self, stream):
        self.stream = stream
        self._send, self._receive = trio.open_memory_channel(math.inf)

    def post(self, **field) -> None:
        self._send.send_nowait(frames.encode(ttypes.Frame(**field)))

    async def write(self) -> None:
        async for data in self._receive:
            await self.stream.send_all(data)


class Engine:
    """Emulated engine: holds a layer range and runs steps in batches.

    Attributes:
        faults: Faults in effect.
        crashed: Set when a request has crashed the engine.
        model: Name of the loaded model.
        version: Its version.
        first: First layer held.
        end: Layer after the last one held.
        adapters: Loaded adapters.
        ready: Whether no model or layers are being loaded.
    """

    def __init__(self, values: Settings, incarnation: int | None = None):
        """Creates an engine that is not served yet.

        Args:
            values: Settings of the engine.
            incarnation: Number that distinguishes this start of the engine from
                others; random if None.
        """
        self._settings = values
        self.faults = Faults.from_config(values)
        self.crashed = trio.Event()
        self.model = values.model
        self.version = values.version
        self.first = values.first_layer
        self.end = values.end_layer or values.layers
        self.adapters = list(values.adapters)
        self.ready = True
        self._incarnation = incarnation or random.getrandbits(62)
        self._cache_id = self._incarnation
        self._cache = PrefixCache(values.cache_blocks, self._cache_id)
        self._streams: dict[int, _Stream] = {}
        self._clients: set[_Client] = set()
        # Heap of waiting steps: priority, arrival number, client and step.
        self._queue: list[tuple] = []
        self._arrivals = itertools.count()
        self._work = trio.Event()
        # Run counts by stream, generation, first layer and end layer.
        self._runs: collections.OrderedDict = collections.OrderedDict()
        # Highest fencing number of an order; lower ones are outdated.
        self._fencing = 0
        self._active = 0
        self._steps_run = 0
        # Duration of the latest iteration.
        self._step_s = 0.0
        self._nursery: trio.Nursery | None = None

    async def run(
        self,
        network: network_module.Network,
        task_status=trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves sidecars until the engine crashes or is cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(
                network.serve, self._settings.address, self._serve_client
            )
            nursery.start_soon(self._run_batches)
            nursery.start_soon(self._report_load)
            nursery.start_soon(self._report_cache)
            task_status.started()
            await self.crashed.wait()
            nursery.cancel_scope.cancel()

    def describe_state(self) -> dict:
        """Returns the state that tests compare, as a JSON value.

        "runs" has, for each stream and generation, ranges of positions that
        ran equally often: [first, end, count].
        """
        runs = [
            {
                "stream": stream,
                "generation": generation,
                "first_layer": first,
                "end_layer": end,
                "runs": _encode_run_lengths(counts),
            }
            for (stream, generation, first, end), counts in self._runs.items()
        ]
        return {
            "model": self.model,
            "version": self.version,
            "adapters": self.adapters,
            "first_layer": self.first,
            "end_layer": self.end,
            "ready": self.ready,
            "fencing": self._fencing,
            "streams": sorted(self._streams),
            "steps": self._steps_run,
            "runs": runs,
        }

    async def handle_control(self, scope, receive, send) -> None:
        """Serves the control interface as an ASGI application."""
        if scope["type"] == "lifespan":
            await http.run_lifespan(receive, send)
            return
        request = http.Request.from_scope(scope)
        match request.method, request.path:
            case "GET", "/control/state":
                await http.send_json(send, 200, self.describe_state())
            case "POST", "/control/faults":
                try:
                    body = await http.read_body(receive, CONTROL_BODY_BYTES, 10)
                    self.faults.update(http.parse_json(body))
                except (ValueError, http.RequestError) as error:
                    await http.send_json(send, 400, {"error": str(error)})
                    return
                self._work.set()
                faults = dataclasses.asdict(self.faults)
                await http.send_json(send, 200, faults)
            case _:
                text = "allowed: GET /control/state, POST /control/faults"
                await http.send_json(send, 404, {"error": text})

    def _make_hello(self) -> ttypes.EngineHello:
        return ttypes.EngineHello(
            model=self.model,
            version=self.version,
            adapters=self.adapters,
            first_layer=self.first,
            end_layer=self.end,
            layers=self._settings.layers,
            checks_fencing=self._settings.checks_fencing,
            max_batch=self._settings.max_batch,
            accelerator=self._settings.accelerator,
            tokens_per_s=self._settings.tokens_per_s,
            ready=self.ready,
            incarnation=self._incarnation,
            cache=self._describe_cache(),
        )

    def _describe_cache(self) -> ttypes.PrefixCache | None:
        values = self._settings
        if values.cache_blocks == 0:
            return None
        return ttypes.PrefixCache(
            self._cache_id,
            values.cache_block,
            values.cache_blocks,
            values.cache_isolated,
            values.per_token_s * 1e6,
            values.base_s * 1e6,
        )

    async def _serve_client(self, stream) -> None:
        client = _Client(stream)
        client.post(engine_hello=self._make_hello())
        self._clients.add(client)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(client.write)
                reader = frames.FrameReader(stream)
                while (frame := await reader.receive()) is not None:
                    self._handle_frame(client, frame)
                nursery.cancel_scope.cancel()
        except* (trio.BrokenResourceError, frames.FrameError) as error:
            _log.warning("sidecar connection lost", reason=error.exceptions[0])
        finally:
            self._clients.discard(client)
            for key, item in list(self._streams.items()):
                if item.client is client:
                    self._close_stream(key)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _handle_frame(self, client: _Client, frame: ttypes.Frame) -> None:
        if frame.engine_run is not None:
            for step in frame.engine_run.steps:
                self._enqueue(client, step)
        elif frame.engine_open is not None:
            self._open_stream(client, frame.engine_open)
        elif frame.engine_close is not None:
            close = frame.engine_close
            stream = self._streams.get(close.stream)
            if stream is not None and not self._is_outdated(stream, close):
                self._close_stream(close.stream)
        elif frame.engine_order is not None:
            self._nursery.start_soon(
                self._handle_order, client, frame.engine_order
            )
        elif frame.kv_export is not None:
            self._export(client, frame.kv_export)
        elif frame.kv_import is not None:
            self._import(client, frame.kv_import)

    def _is_outdated(self, stream: _Stream, message) -> bool:
        return (
            self._settings.checks_fencing
            and message.generation < stream.request.generation
        )

    def _make_kv(self) -> layers.KvCache:
        return layers.KvCache(self.first, self.end)

    def _open_stream(self, client, request: ttypes.EngineOpen) -> None:
        old = self._streams.get(request.stream)
        if old is not None:
            if self._is_outdated(old, request):
                return
            self._close_stream(request.stream)
        model_key = (self.model, self.version, self.first, self.end)
        owner = (model_key, request.adapter)
        if self._settings.cache_isolated:
            owner += (request.scope,)
        key = _hash_block(0, list(repr(owner).encode()))
        stream = _Stream(request, client, self._make_kv(), key)
        self._streams[request.stream] = stream
        runs_key = (request.stream, request.generation, self.first, self.end)
        stream.runs = self._runs.setdefault(runs_key, stream.runs)
        self._runs.move_to_end(runs_key)
        while len(self._runs) > RUNS_LIMIT:
            self._runs.popitem(last=False)

    def _close_stream(self, key: int) -> None:
        self._streams.pop(key, None)
        remaining = [item for item in self._queue if item[3].stream != key]
        if len(remaining) < len(self._queue):
            heapq.heapify(remaining)
            self._queue = remaining

    def _enqueue(self, client: _Client, step: ttypes.Step) -> None:
        stream = self._streams.get(step.stream)
        if stream is None:
            self._refuse(client, step, "unknown-stream")
        elif self._is_outdated(stream, step):
            self._refuse(client, step, "outdated-generation")
        elif self.faults.refuse:
            self._refuse(client, step, "refused")
        else:
            arrival = next(self._arrivals)
            item = (stream.request.priority, arrival, client, step)
            heapq.heappush(self._queue, item)
            self._work.set()

    def _refuse(self, client: _Client, step: ttypes.Step, error: str) -> None:
        result = _make_result(step)
        result.error = error
        client.post(engine_done=ttypes.EngineDone([result]))

    async def _run_batches(self) -> None:
        while True:
            await self._wait_for_work()
            size = min(len(self._queue), self._settings.max_batch)
            batch = [heapq.heappop(self._queue) for _ in range(size)]
            self._active = size
            results = collections.defaultdict(list)
            computed = 0
            for _, _, client, step in batch:
                if self._is_crash_trigger(step):
                    _log.error(
                        "engine crashed by a request", stream=step.stream
                    )
                    self.crashed.set()
                    await trio.sleep_forever()
                result, count = self._run_step(step)
                results[client].append(result)
                computed += count
            self._step_s = self.faults.slow * (
                self._settings.base_s + self._settings.per_token_s * computed
            )
            await trio.sleep(self._step_s)
            while self.faults.freeze:
                self._work = trio.Event()
                await self._work.wait()
            self._active = 0
            for client, items in results.items():
                if client in self._clients:
                    client.post(engine_done=ttypes.EngineDone(items))

    async def _wait_for_work(self) -> None:
        while not self._queue or self.faults.freeze:
            self._work = trio.Event()
            await self._work.wait()

    def _is_crash_trigger(self, step: ttypes.Step) -> bool:
        fingerprint = self._streams[step.stream].request.fingerprint
        marker = self.faults.crash_marker.encode()
        return fingerprint in self.faults.crash_fingerprints or (
            bool(marker)
            and bool(step.tokens)
            and marker in bytes(t & 0xFF for t in step.tokens)
        )

    def _run_step(self, step: ttypes.Step):
        """Runs one step.

        Returns:
            The result, and the number of positions not in the prefix cache.
        """
        stream = self._streams[step.stream]
        result = _make_result(step)
        try:
            if self.first == 0:
                values = layers.embed(step.tokens)
            else:
                values = layers.decode(step.activations or b"")
            if step.count < 1 or len(values) != step.count:
                raise ValueError(f"{len(values)} inputs; allowed: {step.count}")
        except ValueError as error:
            result.error = f"bad-step: {error}"
            return result, 0
        outputs, computed = stream.run(
            values, self._cache, self._settings.cache_block
        )
        if stream.request.prefix_keys and step.position == 0:
            result.held = step.count - computed
        stream.record_runs(step.position, step.count)
        self._steps_run += 1
        if self.end < self._settings.layers:
            result.activations = layers.encode(outputs)
            return result, computed
        request = stream.request
        position = step.position + step.count
        token, stops = layers.sample(outputs[-1], request.seed, position)
        result.token = token
        if stops:
            result.finish = "stop"
        elif position - request.prompt_tokens + 1 >= request.max_tokens:
            result.finish = "length"
        return result, computed

    def _export(self, client, request: ttypes.KvExport) -> None:
        stream = self._streams.get(request.stream)
        response = ttypes.KvImport(request.stream, request.generation, data=b"")
        if stream is None or self._is_outdated(stream, request):
            response.error = "unknown-stream"
        else:
            response.positions = stream.kv.length
            response.data = stream.kv.export()
        client.post(kv_import=response)

    def _import(self, client, request: ttypes.KvImport) -> None:
        stream = self._streams.get(request.stream)
        response = ttypes.KvImport(request.stream, request.generation, data=b"")
        if stream is None or self._is_outdated(stream, request):
            response.error = "unknown-stream"
        else:
            try:
                kv = layers.KvCache.restore(request.data or b"")
                if (kv.first, kv.end) != (self.first, self.end):
                    raise ValueError(
                        f"layers [{kv.first}, {kv.end}); allowed:"
                        f" [{self.first}, {self.end})"
                    )
            except ValueError as error:
                response.error = f"bad-data: {error}"
            else:
                stream.kv = kv
                # The inputs of the imported state are unknown, so the keys of
                # the next blocks derive from the state itself.
                stream.key = _hash_block(stream.key, list(request.data))
                stream.block_inputs = []
                stream.block_outputs = []
                response.positions = kv.length
        client.post(kv_import=response)

    async def _handle_order(
        self, client: _Client, order: ttypes.EngineOrder
    ) -> None:
        response = ttypes.EngineOrderReply(order.order)
        known = ("load-model", "load-adapter", "unload-adapter", "set-layers")
        if self._settings.checks_fencing and order.fencing < self._fencing:
            response.error = (
                f"outdated fencing number; current: {self._fencing}"
            )
        elif order.action not in known:
            response.error = f"unknown action; allowed: {', '.join(known)}"
        elif order.action == "set-layers" and not (
            0 <= order.first_layer < order.end_layer <= self._settings.layers
        ):
            response.error = (
                f"bad layers; allowed: 0 to {self._settings.layers}"
            )
        else:
            self._fencing = max(self._fencing, order.fencing)
            await self._apply_order(order)
        client.post(engine_order_reply=response)

    async def _apply_order(self, order: ttypes.EngineOrder) -> None:
        replaces_model = order.action in ("load-model", "set-layers")
        if replaces_model:
            self.ready = False
            self._broadcast_hello()
        await trio.sleep(self._settings.order_s)
        if replaces_model:
            for key in list(self._streams):
                self._close_stream(key)
        match order.action:
            case "load-model":
                self.model, self.version = order.model, order.version
            case "set-layers":
                self.first, self.end = order.first_layer, order.end_layer
            case "load-adapter":
                if order.adapter not in self.adapters:
                    self.adapters.append(order.adapter)
            case "unload-adapter":
                if order.adapter in self.adapters:
                    self.adapters.remove(order.adapter)
        if replaces_model:
            # The memory of the released layers holds their cache as well.
            self._cache_id += 1
            self._cache = PrefixCache(
                self._settings.cache_blocks, self._cache_id
            )
            self.ready = True
        self._broadcast_hello()

    def _broadcast_hello(self) -> None:
        for client in self._clients:
            client.post(engine_hello=self._make_hello())

    async def _report_load(self) -> None:
        history = collections.deque()
        while True:
            await trio.sleep(self._settings.load_interval_s)
            now = trio.current_time()
            load = ttypes.EngineLoad(
                active=self._active,
                queued=len(self._queue),
                tokens_per_s=self._settings.tokens_per_s,
                step_ms=self._step_s * 1000,
            )
            history.append((now, load))
            due = None
            while history and history[0][0] <= now - self._settings.load_lag_s:
                due = history.popleft()
            if due is not None:
                due[1].measured_age_ms = round((now - due[0]) * 1000)
                for client in self._clients:
                    client.post(engine_load=due[1])

    async def _report_cache(self) -> None:
        sequence = 0
        while True:
            await trio.sleep(self._settings.load_interval_s)
            if not self._cache.has_changes:
                continue
            # Only events with changes are numbered, so that the receiver can
            # tell lost ones.
            sequence += 1
            event = self._cache.pop_event(sequence)
            gap = self._settings.cache_event_gap
            if gap == 0 or sequence % gap:
                self._nursery.start_soon(self._post_after_lag, event)

    async def _post_after_lag(self, event: ttypes.EngineCacheEvent) -> None:
        await trio.sleep(self._settings.cache_event_lag_s)
        for client in self._clients:
            client.post(engine_cache_event=event)


def _make_result(step: ttypes.Step) -> ttypes.StepResult:
    return ttypes.StepResult(
        stream=step.stream,
        generation=step.generation,
        position=step.position,
        count=step.count,
        activations=b"",
    )


def _encode_run_lengths(counts: bytearray) -> list[list[int]]:
    ranges = []
    for position, count in enumerate(counts):
        if ranges and ranges[-1][2] == count:
            ranges[-1][1] = position + 1
        else:
            ranges.append([position, position + 1, count])
    return ranges


def run(values: Settings) -> int:
    """Runs the engine until it crashes or is stopped."""
    frames.require_codec()
    engine = Engine(values)

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            if values.control is not None:
                await nursery.start(
                    http.serve,
                    engine.handle_control,
                    values.control,
                    engine.crashed,
                )
            await engine.run(network_module.TcpNetwork())
            nursery.cancel_scope.cancel()

    try:
        trio.run(serve)
    except KeyboardInterrupt:
        return 0
    return EXIT_CRASHED
