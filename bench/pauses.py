"""Measures the pauses of streams whose servers are lost, on a virtual clock.

The servers are in memory, see `tests.support.failovers`: an event every 40 ms,
10 ms of prefill for each stream and server, 0.5 ms of latency. The figures show
the waits in the entry's own code, and not the time that it computes.

The second table compares the expected time to the next event after the loss of
a later server, from the figures of the engine of `bench.layouts`.
"""

import contextlib
import statistics

from peridotyard_core import fleet
from peridotyard_core import paths
from peridotyard_core import pauses
from peridotyard_daemon.request import relays
import trio

from bench import layouts
from tests.support import failovers
from tests.support import gateways
from tests.support import virtual_clock

EVENTS = 40
# Time at which the server is lost, after enough regular events.
LOST_AT_S = 0.71
# Longer than the usual time between two events.
PAUSE_S = 0.055
# Response time of a slow server to a probe: below the limit of 50 ms.
SLOW_REPORT_S = 0.045

_TWO_STAGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 20)),
    ("spare", "a", (10, 20)),
    ("b0", "b", (0, 20)),
)
_THREE_STAGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 15)),
    ("a2", "a", (15, 20)),
    ("s1", "a", (10, 15)),
    ("b0", "b", (0, 20)),
)
_THREE_SPARES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 20)),
    ("s1", "a", (10, 20)),
    ("s2", "a", (10, 20)),
    ("s3", "a", (10, 20)),
)
_WHOLE = tuple((f"a{n}", "a", (0, 20)) for n in range(4))


async def _kill_later(harness) -> None:
    failovers.kill(harness, "a1")


async def _silence_later(harness) -> None:
    await harness.servers["a1"].fall_silent(3.0)


async def _kill_first(harness) -> None:
    failovers.kill(harness, "a0")


async def _silence_first(harness) -> None:
    await harness.servers["a0"].fall_silent(1.9)


async def _kill_beside_slow(harness) -> None:
    slow = harness.servers["a2"]
    send = slow._send_report

    async def report(responder):
        await trio.sleep(SLOW_REPORT_S)
        await send(responder)

    slow._send_report = report
    failovers.kill(harness, "a1")


# Name, servers, number of streams and what happens.
SCENARIOS = (
    ("later server ends", _TWO_STAGES, 1, _kill_later),
    ("later server is silent", _TWO_STAGES, 1, _silence_later),
    ("first server ends", _TWO_STAGES, 1, _kill_first),
    ("first server is silent", _TWO_STAGES, 1, _silence_first),
    ("later ends, another is slow", _THREE_STAGES, 1, _kill_beside_slow),
    ("later ends, 12 streams", _THREE_SPARES, 12, _kill_later),
    ("later is silent, 12 streams", _THREE_SPARES, 12, _silence_later),
    ("first ends, 9 streams", _WHOLE, 9, _kill_first),
)


async def _relay(harness, name: str) -> None:
    request = harness.make_request(request_id=name)
    recorder = gateways.ResponseRecorder()
    stream = relays.Stream(harness.context, harness.prober, request, recorder)
    await stream.run()
    numbers = gateways.read_event_ids(recorder.body)
    assert numbers == list(range(1, EVENTS + 1)), recorder.status


@contextlib.contextmanager
def _withhold(harness, names):
    """Lets no stream begin on these servers."""
    view = harness.context.view
    for name in names:
        view.suspect(harness.servers[name].server, "not used yet")
    yield
    for name in names:
        view.clear_suspicion(harness.servers[name].server)


async def measure(servers, streams: int, lose) -> list[pauses.Pause]:
    """Returns the first pause of each stream while a server is lost.

    Args:
        servers: Name, zone and layer range of each server.
        streams: Number of streams.
        lose: Called with the harness once the streams are in progress.
    """
    with failovers.record_pauses(PAUSE_S) as found:
        async with gateways.open_harness(
            gateways.make_servers(servers), EVENTS, failovers.Stage
        ) as harness:
            began = trio.current_time()
            async with trio.open_nursery() as nursery:
                used = ("a0",) if servers is _WHOLE else ("a0", "a1", "a2")
                others = [n for n in harness.servers if n not in used]
                async with trio.open_nursery() as callers:
                    with _withhold(harness, others):
                        for number in range(streams):
                            callers.start_soon(_relay, harness, f"r{number}")
                            # Their events come at different times.
                            await trio.sleep(0.003)
                        await trio.sleep(0.1)
                    nursery.start_soon(harness.prober.run)
                    await trio.sleep(0)
                    failovers.move_streams_at_once(harness, nursery)
                    await trio.sleep_until(began + LOST_AT_S)
                    found.clear()
                    await lose(harness)
                nursery.cancel_scope.cancel()
    return found


def _print_scenarios() -> None:
    stages = list(pauses.Stage)
    names = [stage.value for stage in stages]
    print("| lost | streams | pause, median (longest) |", end="")
    print("".join(f" {name} |" for name in names))
    print("| --- |" + " --- |" * (2 + len(names)))
    for name, servers, streams, lose in SCENARIOS:
        found: list[pauses.Pause] = []

        async def run(found=found, servers=servers, count=streams, lose=lose):
            found += await measure(servers, count, lose)

        virtual_clock.run(run)
        durations = [1000 * pause.duration_s for pause in found]
        print(
            f"| {name} | {len(found)} of {streams} |"
            f" {statistics.median(durations):.0f} ({max(durations):.0f}) |",
            end="",
        )
        for stage in stages:
            values = [1000 * pause.stages.get(stage, 0.0) for pause in found]
            print(f" {statistics.median(values):.0f} |", end="")
        print()


def estimate_next_event_ms(
    engine: fleet.Engine,
    stages: paths.Path,
    path: paths.Path,
    tokens: int,
    streams: int,
    load: int,
) -> float:
    """Returns the expected time from an order or a request to the next event.

    Args:
        engine: The engine.
        stages: Stages that prefill the stream.
        path: The complete path.
        tokens: Tokens of the prompt and of the response so far.
        streams: Streams that each of these stages prefills, this one last.
        load: Streams of each server of the path.
    """
    prefill_ms = step_ms = 0.0
    for stage in path:
        kind = engine.find_accelerator_type(stage.server.accelerator_type)
        share = stage.layer_range.size / engine.layers
        step_ms += (
            share
            * kind.step_factor
            * (engine.step_ms + engine.stream_ms * load)
        )
        if stage in stages:
            token_ms = kind.prefill_factor / engine.prefill_tokens_per_ms
            prefill_ms += streams * tokens * share * token_ms
    links_ms = 0.0
    if engine.zone_link_mbps:
        # Megabytes to megabits, and seconds to milliseconds.
        token_ms = engine.activation_mb * 8000 / engine.zone_link_mbps
        links_ms = token_ms * tokens * paths.count_zone_changes(path)
    return prefill_ms + links_ms + step_ms


def _print_estimates() -> None:
    engine = layouts.ENGINE
    sizes = (("large", 28), ("middle", 10), ("small", 7))
    kinds = ["large", *["middle"] * 3, *["small"] * 3]
    layer, stages = 0, []
    for number, kind in enumerate(kinds):
        end = min(engine.layers, layer + dict(sizes)[kind])
        if number == len(kinds) - 1:
            end = engine.layers
        server = fleet.Server(
            instance=f"s{number}",
            service="model",
            address=None,
            zone="a",
            ready=True,
            slots=96,
            accelerator_type=kind,
        )
        stages.append(paths.Stage(server, fleet.LayerRange(layer, end)))
        layer = end
    path = tuple(stages)
    print(
        "| tokens so far | streams lost | replaced stage, ms | new path, ms |"
    )
    print("| --- | --- | --- | --- |")
    for tokens in (850, 2000):
        for streams in (1, 5, 10, 30):
            replaced = estimate_next_event_ms(
                engine, path[-1:], path, tokens, streams, 8
            )
            # New paths spread over two further zones.
            restarted = estimate_next_event_ms(
                engine, path, path, tokens, -(-streams // 2), 8
            )
            print(
                f"| {tokens} | {streams} | {replaced:.0f} | {restarted:.0f} |"
            )


def main() -> None:
    """Prints both tables."""
    _print_scenarios()
    print()
    _print_estimates()
