"""Tests of the emulated engine."""

import dataclasses
import json

from peridotyard_core import addresses
from peridotyard_daemon.connection import frames
from peridotyard_daemon.wire.generated import ttypes
from peridotyard_emulator import engine
from peridotyard_emulator import layers
import pytest
import trio

from tests.support import defaults
from tests.support import memory
from tests.support import scenarios

ADDRESS = addresses.Address("127.0.0.1", 9)
PROMPT = list(b"forty positions of a prompt, in blocks..")


class Client:
    """A sidecar's end of a connection to the engine."""

    def __init__(self, item, stream):
        self.engine = item
        self.stream = stream
        self.reader = frames.FrameReader(stream)

    async def send(self, **field):
        await self.stream.send_all(frames.encode(ttypes.Frame(**field)))

    async def receive(self, name):
        with trio.fail_after(30):
            while True:
                frame = await self.reader.receive()
                if getattr(frame, name) is not None:
                    return getattr(frame, name)

    async def open(self, stream=1, generation=1, **fields):
        fields = {"max_tokens": 100, "prompt_tokens": len(PROMPT)} | fields
        request = ttypes.EngineOpen(stream, generation, **fields)
        await self.send(engine_open=request)

    async def run(self, *steps):
        await self.send(engine_run=ttypes.EngineRun(list(steps)))
        return await self.receive("engine_done")


def make_step(tokens, stream=1, generation=1, position=0):
    return ttypes.Step(
        stream, generation, position, len(tokens), tokens, activations=b""
    )


def with_engine(**changes):
    """Returns a decorator for tests with a client of an in-memory engine."""
    fields = {"address": ADDRESS, "model": "m", "layers": 4} | changes
    values = defaults.make(engine.Settings, instance="e", **fields)

    async def start(check):
        network = memory.MemoryNetwork()
        async with trio.open_nursery() as nursery:
            item = engine.Engine(values, incarnation=1)
            await nursery.start(item.run, network.join(str(ADDRESS)))
            stream = await network.join("client").dial(ADDRESS)
            client = Client(item, stream)
            await client.receive("engine_hello")
            await check(client)
            nursery.cancel_scope.cancel()

    return scenarios.make_decorator(start)


@with_engine(max_batch=2)
async def test_batch_respects_limit_and_priority(client):
    """Guards against steps of low priority that delay those of a higher one."""
    for stream, priority in ((1, 2), (2, 0), (3, 1)):
        await client.open(stream, priority=priority)
    steps = [make_step(PROMPT, stream) for stream in (1, 2, 3)]
    first = await client.run(*steps)
    second = await client.receive("engine_done")
    assert [r.stream for r in first.results] == [2, 3]
    assert [r.stream for r in second.results] == [1]


@with_engine(
    cache_block=16, cache_blocks=2, per_token_s=0.01, load_interval_s=5
)
async def test_cached_prefix_is_faster_until_it_is_evicted(client):
    """Guards against a prefix cache without effect or without a limit."""

    async def measure(stream, tokens):
        await client.open(stream, seed=1)
        before = trio.current_time()
        done = await client.run(make_step(tokens, stream))
        return done.results[0].token, trio.current_time() - before

    token, cold_s = await measure(1, PROMPT)
    again, warm_s = await measure(2, PROMPT)
    assert token == again
    assert cold_s - warm_s == pytest.approx(0.32)
    await measure(3, PROMPT[::-1])
    _, evicted_s = await measure(4, PROMPT)
    assert evicted_s == pytest.approx(cold_s)
    event = await client.receive("engine_cache_event")
    assert len(event.stored) == 6 and len(event.evicted) == 4


@pytest.mark.parametrize("checks", [True, False])
@with_engine()
async def test_outdated_generation_and_order(client, checks):
    """Guards against an emulated engine that always checks fencing numbers.

    Tests with it could not show that a sidecar fails to check them.
    """
    values = client.engine._settings
    values = dataclasses.replace(values, checks_fencing=checks)
    client.engine._settings = values
    await client.open(generation=2)
    done = await client.run(make_step(PROMPT, generation=1))
    assert done.results[0].error == checks * "outdated-generation"
    errors = []
    for fencing in (8, 7):
        order = ttypes.EngineOrder(
            fencing, fencing, "load-adapter", adapter=f"a{fencing}"
        )
        await client.send(engine_order=order)
        response = await client.receive("engine_order_reply")
        errors.append(bool(response.error))
    assert errors == [False, checks]
    assert client.engine.adapters == (["a8"] if checks else ["a8", "a7"])


@with_engine()
async def test_kv_cache_moves_to_another_stream(client):
    """Guards against an imported KV cache that changes later tokens."""
    await client.open(1, seed=3)
    token = (await client.run(make_step(PROMPT))).results[0].token
    await client.send(kv_export=ttypes.KvExport(1, 1))
    data = (await client.receive("kv_import")).data
    await client.open(2, seed=3)
    await client.send(kv_import=ttypes.KvImport(2, 1, data=data))
    response = await client.receive("kv_import")
    assert (response.positions, response.error) == (len(PROMPT), "")
    done = await client.run(make_step([token], 2, position=len(PROMPT)))
    assert done.results[0].token == layers.generate(PROMPT, 3, 2, 4)[1]
    await client.send(kv_import=ttypes.KvImport(2, 1, data=data[:-4]))
    assert "allowed" in (await client.receive("kv_import")).error


@with_engine()
async def test_cancelled_step_does_not_run(client):
    """Guards against steps that run for a closed stream."""
    client.engine.faults.freeze = True
    await client.open()
    run = ttypes.EngineRun([make_step(PROMPT)])
    await client.send(engine_run=run)
    await client.send(engine_close=ttypes.EngineClose(1, 1))
    await trio.sleep(1)
    client.engine.faults.freeze = False
    await client.open(2)
    await client.run(make_step(PROMPT, 2))
    assert client.engine.describe_state()["steps"] == 1


@pytest.mark.parametrize(
    "fault", [{"crash_fingerprints": [77]}, {"crash_marker": "in blocks"}]
)
@with_engine()
async def test_marked_request_crashes_the_engine(client, fault):
    """Guards against a crashed engine that keeps its connections open."""
    client.engine.faults.update(fault)
    await client.open(fingerprint=77)
    run = ttypes.EngineRun([make_step(PROMPT)])
    await client.send(engine_run=run)
    assert await client.reader.receive() is None
    assert client.engine.crashed.is_set()


@pytest.mark.parametrize(
    ("body", "status", "text"),
    [
        (b'{"slow": 3, "refuse": true}', 200, '"slow": 3'),
        (b'{"slow": 0}', 400, "slow = 0; allowed: a number above 0"),
        (b'{"fast": 1}', 400, "unknown fault 'fast'; allowed: slow"),
        (b"{", 400, "line 1, column 2"),
    ],
)
@with_engine()
async def test_control_sets_faults_or_names_the_allowed_values(
    client, body, status, text
):
    """Guards against a rejected fault that a test assumes to be active."""
    sent = []

    async def receive():
        return {"type": "http.request", "body": body}

    async def send(message):
        sent.append(message)

    scope = {"type": "http", "method": "POST", "headers": []}
    scope["path"] = "/control/faults"
    await client.engine.handle_control(scope, receive, send)
    assert sent[0]["status"] == status
    assert text in json.dumps(json.loads(sent[1]["body"]))
    await client.open()
    done = await client.run(make_step(PROMPT))
    assert done.results[0].error == ("refused" if status == 200 else "")


async def run_keyed(client, stream, keys=(11, 12), **fields):
    """Runs the prompt with the keys of its prefixes; returns the result."""
    await client.open(
        stream, prefix_keys=list(keys), key_positions=16, **fields
    )
    return (await client.run(make_step(PROMPT, stream))).results[0]


@with_engine(
    cache_block=8,
    cache_blocks=6,
    load_interval_s=5,
    cache_event_lag_s=0,
    cache_event_gap=2,
)
async def test_cache_events_name_the_keys_of_prompts(client):
    """Guards against events that an entry cannot relate to its prompts."""
    assert (await run_keyed(client, 1)).held == 0
    assert (await run_keyed(client, 2)).held == 40
    first = await client.receive("engine_cache_event")
    assert first.cache_id == client.engine._make_hello().cache.cache_id
    assert (first.sequence, first.stored_total) == (1, 5)
    assert (first.stored_prefixes, first.evicted_prefixes) == ([11, 12], [])
    # Events without changes are not numbered, and the second one is lost.
    await trio.sleep(20)
    await client.open(3)
    await client.run(make_step(PROMPT[::-1], 3))
    await trio.sleep(20)
    await run_keyed(client, 4, (11, 12))
    third = await client.receive("engine_cache_event")
    assert third.sequence == 3
    assert third.stored_prefixes == [11, 12]


@with_engine(cache_isolated=True)
async def test_isolated_workspaces_share_no_blocks(client):
    """Guards against a hit that shows one workspace the prompts of another."""
    assert client.engine._make_hello().cache.isolated
    assert (await run_keyed(client, 1, scope="north")).held == 0
    assert (await run_keyed(client, 2, scope="south")).held == 0
    assert (await run_keyed(client, 3, scope="north")).held == 32


@with_engine()
async def test_released_layers_lose_their_cache(client):
    """Guards against a cache that outlives the layers that computed it."""
    await run_keyed(client, 1)
    before = client.engine._make_hello().cache.cache_id
    for order, end in ((1, 2), (2, 4)):
        message = ttypes.EngineOrder(
            order, order, "set-layers", first_layer=0, end_layer=end
        )
        await client.send(engine_order=message)
        await client.receive("engine_order_reply")
    assert client.engine._make_hello().cache.cache_id != before
    assert (await run_keyed(client, 2)).held == 0


@with_engine(cache_blocks=0)
async def test_engine_without_cache_states_none(client):
    """Guards against entries that expect hits where nothing is retained."""
    assert client.engine._make_hello().cache is None
    assert (await run_keyed(client, 1)).held == 0


@pytest.mark.parametrize("size", [None, 0, -16, 7])
@with_engine(load_interval_s=5, cache_event_lag_s=0)
async def test_keys_at_invalid_positions_are_not_reported(client, size):
    """Guards against keys that stand for other positions than the entry's."""
    await client.open(1, prefix_keys=[11, 12], key_positions=size)
    await client.run(make_step(PROMPT))
    event = await client.receive("engine_cache_event")
    assert len(event.stored) == 2
    assert event.stored_prefixes == []
