"""Tests of request.stages, process.sidecar and connection.engines."""

import collections

from peridotyard_core import addresses
from peridotyard_core import settings
from peridotyard_daemon.connection import engines
from peridotyard_daemon.connection import frames
from peridotyard_daemon.connection import peers
from peridotyard_daemon.process import sidecar
from peridotyard_daemon.version import replication
from peridotyard_daemon.wire.generated import ttypes
from peridotyard_emulator import engine
from peridotyard_emulator import layers
import pytest
import trio

from tests.support import defaults
from tests.support import memory
from tests.support import scenarios

TIMING = peers.Timing(heartbeat_s=0.2, misses=3, dial_s=0.5)
ENTRY = addresses.Address("127.0.0.1", 1)
PROMPT = list(b"count the north plot")
RANGES = ((0, 2), (2, 5), (5, 6))


class Entry:
    """An entry that stores the messages it receives, by frame field."""

    def __init__(self, network):
        self.received = collections.defaultdict(list)
        self.uses_cache_news = None
        self.tokens = {}
        self.copies = 0
        self.peers = peers.Peers(network.join(str(ENTRY)), self, TIMING)

    def make_hello(self):
        return ttypes.Hello(
            "entry",
            role="entry",
            address=str(ENTRY),
            incarnation=1,
            protocol=1,
            uses_cache_news=self.uses_cache_news,
        )

    def make_heartbeat(self):
        return ttypes.Heartbeat()

    def handle_connected(self, *args):
        pass

    handle_closed = handle_connected

    def handle_frame(self, connection, frame):
        for name in frame.__slots__:
            if getattr(frame, name) is not None:
                self.received[name].append(getattr(frame, name))
        for token in frame.token_batch.tokens if frame.token_batch else ():
            tokens = self.tokens.setdefault(
                (token.stream, token.generation), {}
            )
            self.copies += token.position in tokens
            assert tokens.setdefault(token.position, token) == token


class Chain:
    """Three sidecars with their engines and one entry, in memory."""

    def __init__(self, nursery, engine_options, sidecar_options):
        self.nursery = nursery
        self.network = memory.MemoryNetwork()
        self.entry = Entry(self.network)
        self.sidecars, self.engines, self.scopes = [], [], []
        self.stages = []
        for index, (first, end) in enumerate(RANGES):
            backend = addresses.Address("127.0.0.1", 20 + index)
            address = addresses.Address("127.0.0.1", 10 + index)
            stage = ttypes.Stage(f"s{index}", str(address), first, end)
            self.stages.append(stage)
            held = {"model": "m", "first_layer": first, "end_layer": end}
            held |= {"instance": f"e{index}", "address": backend, "layers": 6}
            values = defaults.make(engine.Settings, **held, **engine_options)
            self.engines.append(engine.Engine(values, incarnation=1))
            values = defaults.make(
                settings.SidecarSettings,
                instance=f"s{index}",
                backend=backend,
                peer_address=address,
                backend_kind="model",
                **sidecar_options,
            )
            network = self.network.join(str(address))
            item = sidecar.Sidecar(
                values,
                network,
                replication.Replicator(values.instance, "sidecar", None, 1.0),
                incarnation=1,
            )
            self.sidecars.append(item)

    async def start(self):
        await self.nursery.start(self.entry.peers.run, ENTRY)
        for index, item in enumerate(self.engines):
            self.scopes.append(trio.CancelScope())
            self.nursery.start_soon(self.run_engine, item, self.scopes[index])
            self.nursery.start_soon(self.run_sidecar, index)
        await trio.sleep(0.5)
        for stage in self.stages:
            self.entry.peers.keep_connected(
                addresses.Address.from_text(stage.address)
            )
        await trio.sleep(0.5)

    async def run_engine(self, item, scope):
        with scope:
            await item.run(self.network.join(str(item._settings.address)))

    async def run_sidecar(self, index):
        self.sidecars[index].status = await self.sidecars[index].run()

    def post(self, index, **field):
        address = self.stages[index].address
        return self.entry.peers.find(address).post(ttypes.Frame(**field))

    async def open(
        self, stream=1, generation=1, count=12, tokens=PROMPT, keys=None
    ):
        """Opens a stream on all stages and sends its prefix."""
        for index in range(len(self.stages)):
            request = ttypes.StreamOpen(
                stream, generation, self.stages, index, "m", "1", seed=stream
            )
            request.max_tokens = count
            request.prompt_tokens = len(PROMPT)
            request.prefix_keys = keys
            request.key_positions = 8 if keys else None
            self.post(index, stream_open=request)
        await trio.sleep(0.01)
        self.send_step(stream, generation, tokens)

    def send_step(self, stream, generation, tokens, position=0):
        count = len(tokens)
        step = ttypes.Step(stream, generation, position, count, tokens, b"")
        self.post(0, step_batch=ttypes.StepBatch([step]))

    def close(self, stream=1, generation=1):
        for index in range(len(self.stages)):
            request = ttypes.StreamClose(stream, generation)
            self.post(index, stream_close=request)

    def check_tokens(self, stream=1, generation=1, count=12, prefix=0):
        """Checks that all tokens after a prefix arrived and ran once."""
        tokens = self.entry.tokens[stream, generation]
        first = len(PROMPT) + prefix
        assert sorted(tokens) == list(range(first, len(PROMPT) + count))
        got = [tokens[position].token for position in sorted(tokens)]
        assert got == layers.generate(PROMPT, stream, count, 6)[prefix:]
        assert tokens[max(tokens)].finish == "length"
        runs = [
            item["runs"]
            for stage in self.engines
            for item in stage.describe_state()["runs"]
            if (item["stream"], item["generation"]) == (stream, generation)
        ]
        assert runs == 3 * [[[0, len(PROMPT) + count - 1, 1]]]

    def silence(self, first, second):
        """Makes open connections between two hosts lose all data."""
        for stream in self.network.streams:
            if stream.hosts == {first, second}:
                stream._deliver = lambda data, latency_s: None

    def list_failures(self):
        return [
            (f.stream, f.generation, f.index, f.reason)
            for f in self.entry.received["stream_failed"]
        ]


def with_chain(engine_options=None, **sidecar_options):
    """Runs a test with a `Chain` in memory."""

    async def start(check):
        async with trio.open_nursery() as nursery:
            chain = Chain(nursery, engine_options or {}, sidecar_options)
            await chain.start()
            await check(chain)
            nursery.cancel_scope.cancel()

    return scenarios.make_decorator(start)


@with_chain()
async def test_streams_generate_the_expected_tokens(chain):
    """Guards against results that are mixed up between streams."""
    for stream in range(1, 9):
        await chain.open(stream)
    await trio.sleep(5)
    for stream in range(1, 9):
        chain.check_tokens(stream)
        chain.close(stream)
    await trio.sleep(0.1)
    assert [item.work_handler.in_flight for item in chain.sidecars] == [0, 0, 0]
    assert not any(e.describe_state()["streams"] for e in chain.engines)
    assert len(chain.entry.received["stream_opened"]) == 24


@with_chain({"base_s": 0.05})
async def test_streams_that_are_ready_together_share_frames(chain):
    """Guards against one frame per stream, which costs 138 us each."""
    counts = collections.Counter()
    handle = chain.sidecars[1].handle_frame

    def count(connection, frame):
        if frame.step_batch is not None:
            counts["frames"] += 1
            counts["steps"] += len(frame.step_batch.steps)
        handle(connection, frame)

    chain.sidecars[1].handle_frame = count
    for stream in range(1, 17):
        await chain.open(stream, count=40)
    await trio.sleep(10)
    assert counts["steps"] == 16 * 40
    assert counts["frames"] <= counts["steps"] / 4


def test_long_prefixes_are_split_over_frames():
    """Guards against a frame above the size limit, which ends a connection."""
    batch = [ttypes.Step(n, activations=bytes(5 << 20)) for n in range(4)]
    groups = list(engines.split_steps(batch))
    for group in groups:
        frames.encode(ttypes.Frame(step_batch=ttypes.StepBatch(group)))
    assert [step for group in groups for step in group] == batch


@with_chain({"checks_fencing": False})
async def test_repeated_and_outdated_steps_do_not_run(chain):
    """Guards against steps that run twice if the engine has no fencing.

    This is requirement R1 of docs/design.md.
    """
    await chain.open()
    for _ in range(3):
        chain.send_step(1, 1, PROMPT)
        await trio.sleep(0.004)
    await trio.sleep(2)
    tokens = layers.generate(PROMPT, 1, 11, 6)
    copies = chain.entry.copies
    chain.send_step(1, 1, tokens[10:], len(PROMPT) + 10)
    chain.send_step(1, 1, tokens[10:], len(PROMPT) + 12)
    await trio.sleep(1)
    assert chain.entry.copies == copies + 1
    prefix = tokens[:4]
    await chain.open(generation=2, tokens=PROMPT + prefix)
    chain.send_step(1, 1, PROMPT)
    chain.send_step(1, 2, [65], len(PROMPT) + 11)
    await trio.sleep(2)
    chain.check_tokens()
    chain.check_tokens(generation=2, prefix=4)
    # A delayed StreamOpen must not reopen an older generation.
    chain.close(generation=2)
    await trio.sleep(0.1)
    await chain.open(generation=1)
    await trio.sleep(0.1)
    codes = [r.code for r in chain.entry.received["stream_refused"]]
    assert codes == ["stage-refused"] * 3


@pytest.mark.parametrize("pair", [(0, 1), (1, 2), (2, 0)])
@with_chain()
async def test_silent_connection_between_stages_is_replaced(chain, pair):
    """Guards against a stream that hangs if a connection loses all data."""
    await chain.open(count=60)
    await trio.sleep(0.2)
    chain.silence(*(chain.stages[index].address for index in pair))
    await trio.sleep(5)
    chain.check_tokens(count=60)
    assert not chain.list_failures()


@pytest.mark.parametrize("is_entry_lost", [False, True])
@with_chain()
async def test_unreachable_stage_is_reported(chain, is_entry_lost):
    """Guards against a step that waits for an unreachable stage."""
    await chain.open(count=1000)
    await trio.sleep(0.2)
    chain.network.partition(chain.stages[0].address, chain.stages[1].address)
    # Now the connection is closed and the reconnection has not yet failed.
    await trio.sleep(0.85)
    if is_entry_lost:
        chain.silence(str(ENTRY), chain.stages[0].address)
    await trio.sleep(2)
    assert chain.list_failures() == [(1, 1, 1, "unreachable")]


@with_chain()
async def test_restarted_stage_is_reported(chain):
    """Guards against steps that a restarted process discards silently."""
    await chain.open(count=1000)
    await trio.sleep(0.2)
    chain.sidecars[1].work_handler._streams.clear()
    await trio.sleep(1)
    assert chain.list_failures() == [(1, 1, 1, "unknown-stream")]


@with_chain()
async def test_killed_engine_fails_its_streams_and_is_used_again(chain):
    """Guards against a sidecar that offers an engine that has ended."""
    await chain.open(count=1000)
    await trio.sleep(0.2)
    chain.scopes[1].cancel()
    await trio.sleep(0.1)
    assert chain.list_failures() == [(1, 1, 1, "engine-lost")]
    offer = chain.entry.received["offer"][-1]
    assert (offer.instance, offer.ready) == ("s1", False)
    await chain.open(2)
    await trio.sleep(0.1)
    (refused,) = chain.entry.received["stream_refused"]
    assert (refused.index, refused.code) == (1, "backend-unavailable")
    values = chain.engines[1]._settings
    chain.engines[1] = engine.Engine(values, incarnation=2)
    scope = trio.CancelScope()
    chain.nursery.start_soon(chain.run_engine, chain.engines[1], scope)
    await trio.sleep(2)
    prefix = layers.generate(PROMPT, 1, 3, 6)
    await chain.open(generation=2, tokens=PROMPT + prefix)
    await trio.sleep(2)
    chain.check_tokens(generation=2, prefix=3)


@pytest.mark.parametrize(
    ("fault", "reason", "ready"),
    [("freeze", "engine-stalled", False), ("refuse", "engine-refused", True)],
)
@with_chain()
async def test_stalled_and_refused_steps_are_distinguished(
    chain, fault, reason, ready
):
    """Guards against a refusal after which a working engine is not offered."""
    await chain.open(count=1000)
    await trio.sleep(0.2)
    setattr(chain.engines[2].faults, fault, True)
    await trio.sleep(2.5)
    assert chain.list_failures() == [(1, 1, 2, reason)]
    last = [o for o in chain.entry.received["offer"] if o.instance == "s2"][-1]
    assert last.ready is ready


@with_chain()
async def test_engine_that_resumes_without_a_result_is_used_again(chain):
    """Guards against an engine that stays out of service for good."""
    chain.engines[2].faults.freeze = True
    await chain.open()
    await trio.sleep(3)
    chain.engines[2].faults.freeze = False
    await trio.sleep(20)
    await chain.open(2)
    await trio.sleep(2)
    chain.check_tokens(2)


@with_chain()
async def test_drain_refuses_new_streams_and_finishes_open_ones(chain):
    """Guards against a stop that interrupts a request.

    This is requirement R6 of docs/design.md.
    """
    await chain.open(count=40)
    await trio.sleep(0.1)
    chain.sidecars[1].lifecycle.request_stop()
    await trio.sleep(0.1)
    assert chain.entry.received["leaving"][0].instance == "s1"
    assert chain.entry.received["offer"][-1].draining
    await chain.open(2)
    await trio.sleep(3)
    (refused,) = chain.entry.received["stream_refused"]
    assert (refused.stream, refused.code) == (2, "draining")
    chain.check_tokens(count=40)
    prefix = layers.generate(PROMPT, 1, 4, 6)
    await chain.open(generation=2, count=40, tokens=PROMPT + prefix)
    await trio.sleep(3)
    chain.check_tokens(generation=2, count=40, prefix=4)
    assert not hasattr(chain.sidecars[1], "status")
    chain.close(generation=2)
    await trio.sleep(0.5)
    assert chain.sidecars[1].status == sidecar.EXIT_OK


@with_chain()
async def test_second_stop_ends_at_once(chain):
    """Guards against a process that cannot be stopped during its drain."""
    await chain.open(count=1000)
    chain.sidecars[1].lifecycle.request_stop()
    await trio.sleep(0.1)
    chain.sidecars[1].lifecycle.request_stop()
    await trio.sleep(0.1)
    assert chain.sidecars[1].status == sidecar.EXIT_FAILED


@with_chain(concurrency=1)
async def test_limit_and_wrong_layers_are_refused(chain):
    """Guards against an overload and against a chain that skips layers."""
    await chain.open(1)
    await chain.open(2)
    chain.stages[1].end_layer = 4
    chain.close()
    await trio.sleep(0.1)
    await chain.open(3)
    await trio.sleep(0.1)
    refused = chain.entry.received["stream_refused"]
    assert [r.code for r in refused if r.stream == 2] == ["overloaded"] * 3
    (wrong,) = [r for r in refused if r.stream == 3]
    assert wrong.message == "requested m 1 [2, 4); allowed: m 1 [2, 5)"


@with_chain()
async def test_orphaned_stream_is_released_after_its_time_limit(chain):
    """Guards against streams of a lost entry that occupy all slots."""
    await chain.open(count=100000)
    await trio.sleep(1)
    chain.network.reset(str(ENTRY))
    for stage in chain.stages:
        chain.network.partition(str(ENTRY), stage.address)
    await trio.sleep(9)
    assert [item.work_handler.in_flight for item in chain.sidecars] == [1, 1, 1]
    await trio.sleep(3)
    assert [item.work_handler.in_flight for item in chain.sidecars] == [0, 0, 0]


@with_chain()
async def test_entry_attaches_again_and_gets_missing_tokens(chain):
    """Guards against tokens lost with the entry's connection."""
    await chain.open(count=100)
    await trio.sleep(0.5)
    for stage in chain.stages:
        chain.silence(str(ENTRY), stage.address)
    await trio.sleep(5)
    received = chain.entry.tokens[1, 1]
    missing = min(set(range(len(PROMPT), max(received))) - set(received))
    attach = ttypes.StreamAttach(1, 1, missing)
    chain.post(2, stream_attach=attach)
    chain.post(2, stream_attach=ttypes.StreamAttach(9, 1, 0))
    await trio.sleep(0.1)
    chain.check_tokens(count=100)
    assert chain.list_failures() == [(9, 1, -1, "unknown-stream")]
    await trio.sleep(12)
    assert [item.work_handler.in_flight for item in chain.sidecars] == [1, 1, 1]
