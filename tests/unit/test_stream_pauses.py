"""Tests of peridotyard_daemon.request.pauses."""

import contextlib
import dataclasses
import random

import logbook
from peridotyard_core import crashes
from peridotyard_core import pauses
from peridotyard_core import quarantines
from peridotyard_core import silences
from peridotyard_daemon.request import relays
import pytest
import trio

from tests.support import cases
from tests.support import failovers
from tests.support import gateways
from tests.support import servers as servers_module

# The path of the first zone, a spare for its second server, and another path.
LAYER_RANGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 20)),
    ("spare", "a", (10, 20)),
    ("b0", "b", (0, 10)),
    ("b1", "b", (10, 20)),
)
EVENTS = 30
# Longer than the usual time between two events of the stand-ins.
PAUSE_S = 0.06
# Time in which the streams of a test have some events.
BEGIN_S = 0.3


@contextlib.asynccontextmanager
async def open_harness(layer_ranges=LAYER_RANGES):
    """Yields a harness with a running prober."""
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges), EVENTS, failovers.Stage
    ) as harness:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.prober.run)
            yield harness
            nursery.cancel_scope.cancel()


async def relay(harness, recorder, request_id="r1", **changes):
    """Relays a stream; `changes` are those of its route."""
    request = harness.make_request(request_id=request_id)
    route = dataclasses.replace(request.route, **changes)
    request = dataclasses.replace(request, route=route)
    stream = relays.Stream(harness.context, harness.prober, request, recorder)
    await stream.run()
    numbers = gateways.read_event_ids(recorder.body)
    assert numbers == list(range(1, EVENTS + 1))


async def play(harness, interfere, **changes):
    """Returns the pauses of a stream that is in progress meanwhile.

    Args:
        harness: The harness.
        interfere: Called once the stream has begun, with the name of the
            later server of its path.
        **changes: Changes of the route.
    """
    with failovers.record_pauses(PAUSE_S) as found:
        async with trio.open_nursery() as nursery:
            recorder = gateways.ResponseRecorder()
            nursery.start_soon(lambda: relay(harness, recorder, **changes))
            await trio.sleep(BEGIN_S)
            await interfere(find_later(harness))
    return found


def find_later(harness):
    """Returns the instance of the later server of the stream's path."""
    path = harness.servers["a0"].requests[0]["x-hop-count"]
    return "a1" if "10.0.0.2:80" in path else "spare"


@cases.run_on_virtual_clock
async def test_pause_for_a_later_server_that_ends_has_its_stages():
    """Guards against a lost server that is reported as a slow one."""
    async with open_harness() as harness:

        async def interfere(later):
            failovers.kill(harness, later)

        (pause,) = await play(harness, interfere)
        assert pause.cause is pauses.Cause.SERVER_LOST
        assert pause.stages[pauses.Stage.RESUME] > failovers.Stage.prefill_s
        assert pause.stages[pauses.Stage.SILENCE] > PAUSE_S
        assert not harness.servers["b0"].runs


@cases.run_on_virtual_clock
async def test_pause_for_a_first_server_that_ends_has_its_stages():
    """Guards against a new run whose pause is not ascribed to the loss."""
    async with open_harness() as harness:

        async def interfere(later):
            failovers.kill(harness, "a0")

        (pause,) = await play(harness, interfere)
        assert pause.cause is pauses.Cause.SERVER_LOST
        assert pause.stages[pauses.Stage.ORDER] > 0
        assert pause.stages[pauses.Stage.RESUME] > 0


@cases.run_on_virtual_clock
async def test_pause_with_a_second_path_is_told_apart():
    """Guards against pauses whose second run does not show."""
    async with open_harness() as harness:

        async def interfere(later):
            await harness.servers["a0"].fall_silent(1.5)

        found = await play(harness, interfere)
        assert found[0].cause is pauses.Cause.SECOND_PATH


@cases.run_on_virtual_clock
async def test_pause_with_a_refused_order_is_told_apart():
    """Guards against refusals that look like a slow failover."""
    async with open_harness() as harness:
        harness.servers["a0"].accepts_orders = False

        async def interfere(later):
            failovers.kill(harness, later)

        found = await play(harness, interfere)
        assert found[0].cause is pauses.Cause.REJECTED


@cases.run_on_virtual_clock
async def test_pause_of_a_slow_server_is_told_apart():
    """Guards against slow servers that count as lost ones."""
    async with open_harness() as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 9)]
        harness.servers["a0"].pause_s = 0.3

        async def interfere(later):
            del later
            await trio.sleep(0)

        (pause,) = await play(harness, interfere)
        assert pause.cause is pauses.Cause.SLOW_SERVER
        assert set(pause.stages) == {pauses.Stage.SILENCE}


@cases.run_on_virtual_clock
async def test_pause_of_a_caller_that_reads_late_is_told_apart():
    """Guards against servers that are blamed for a caller's slow link."""
    async with open_harness() as harness:
        recorder = gateways.ResponseRecorder()
        send = recorder.send
        delays = [0.5]

        async def send_late(data):
            await trio.sleep(delays.pop() if delays else 0)
            await send(data)

        recorder.send = send_late
        with failovers.record_pauses(PAUSE_S) as found:
            await relay(harness, recorder)
        assert [pause.cause for pause in found] == [pauses.Cause.CALLER]


def list_lines(handler):
    """Returns the fields of the lines on pauses."""
    return [
        record.extra
        for record in handler.records
        if record.message == "stream paused"
    ]


@pytest.mark.parametrize(("objective_s", "lines"), [(0.07, 1), (5.0, 0)])
@cases.run_on_virtual_clock
async def test_pause_above_the_objective_is_logged_with_its_stages(
    objective_s, lines
):
    """Guards against pauses without a trace, and a line for each event."""
    async with open_harness() as harness:

        async def interfere(later):
            failovers.kill(harness, later)

        with logbook.TestHandler().applicationbound() as handler:
            await play(harness, interfere, event_gap_objective_s=objective_s)
        found = list_lines(handler)
        assert len(found) == lines
        for line in found:
            stages = [f"{stage.value}_ms" for stage in pauses.Stage]
            assert line["cause"] == "server_lost"
            assert sum(line.get(name, 0) for name in stages) == (
                pytest.approx(line["ms"], abs=3)
            )
        text = harness.context.metrics.render()
        name = 'peridotyard_stream_pause_seconds_count{workspace="",class='
        assert (name + '"server_lost"} 1' in text) == bool(lines)


@cases.run_on_virtual_clock
async def test_lines_on_pauses_of_many_streams_are_bounded():
    """Guards against a flood of lines when a server of all streams is lost."""
    async with open_harness() as harness:
        with logbook.TestHandler().applicationbound() as handler:
            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(
                        relay,
                        harness,
                        gateways.ResponseRecorder(),
                        f"r{number}",
                    )
                await trio.sleep(1.0)
                await harness.servers["a0"].fall_silent(0.5)
        lines = list_lines(handler)
        assert 0 < len(lines) <= 2 * pauses.REPORTS_PER_S


# A path of three servers, with a spare for each of the later ones.
LONG_RANGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 15)),
    ("a2", "a", (15, 20)),
    ("s1", "a", (10, 15)),
    ("s2", "a", (15, 20)),
    ("b0", "b", (0, 20)),
)


def list_later(harness):
    """Returns the instances of the later servers of the stream's path."""
    path = harness.servers["a0"].requests[0]["x-hop-count"]
    names = {str(s.server.address): n for n, s in harness.servers.items()}
    return [names[stage.partition("=")[0]] for stage in path.split(",")[1:]]


def delay_report(stand_in, delay_s):
    """Lets a server respond late to probes."""
    send = stand_in._send_report

    async def report(responder):
        await trio.sleep(delay_s)
        await send(responder)

    stand_in._send_report = report


@cases.run_on_virtual_clock
async def test_order_does_not_wait_for_slower_probes_of_other_servers():
    """Guards against a repair that waits for a slow server of the same path.

    The lost server had refused the connection 45 ms before.
    """
    async with open_harness(LONG_RANGES) as harness:

        async def interfere(later):
            del later
            lost, slow = list_later(harness)
            delay_report(harness.servers[slow], 0.045)
            failovers.kill(harness, lost)

        (pause,) = await play(harness, interfere)
        assert pause.stages[pauses.Stage.PROBE] < 0.01
        assert not harness.servers["b0"].runs


@cases.run_on_virtual_clock
async def test_order_is_not_sent_to_a_first_server_that_does_not_respond():
    """Guards against an order that times out while another path is free.

    Load pattern: a rack that is lost, some of whose servers refuse
    connections while others are silent.
    """
    async with open_harness(LONG_RANGES) as harness:

        async def interfere(later):
            del later
            failovers.kill(harness, list_later(harness)[0])
            await harness.servers["a0"].fall_silent(2.0)

        pause, *_ = await play(harness, interfere)
        assert pause.cause is pauses.Cause.SECOND_PATH
        assert pause.duration_s < 0.25
        assert not harness.servers["a0"].orders


@cases.run_on_virtual_clock
async def test_server_that_others_found_to_have_ended_needs_no_probe_result():
    """Guards against a stream that waits for what another one has found."""
    async with open_harness(LONG_RANGES) as harness:

        async def interfere(later):
            del later
            lost, slow = list_later(harness)
            server = harness.servers[lost].server
            failovers.kill(harness, lost)
            harness.context.view.suspect(server, "found before", ended=True)
            await harness.servers[slow].fall_silent(0.2)

        pause, *_ = await play(harness, interfere)
        assert pause.stages[pauses.Stage.PROBE] < 0.01


# Several servers with the same layers.
SPARE_RANGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 20)),
    ("s1", "a", (10, 20)),
    ("s2", "a", (10, 20)),
    ("s3", "a", (10, 20)),
)


@cases.run_on_virtual_clock
async def test_pause_for_a_server_that_another_stream_found_has_its_cause():
    """Guards against lost servers that show as planned changes of paths."""
    async with open_harness(SPARE_RANGES) as harness:
        with failovers.record_pauses(PAUSE_S) as found:
            async with trio.open_nursery() as nursery:
                failovers.move_streams_at_once(harness, nursery)
                for number in range(5):
                    nursery.start_soon(
                        relay,
                        harness,
                        gateways.ResponseRecorder(),
                        f"r{number}",
                    )
                await trio.sleep(0.7)
                await harness.servers["a1"].fall_silent(2.0)
        assert {pause.cause for pause in found} == {pauses.Cause.SERVER_LOST}


@cases.run_on_virtual_clock
async def test_streams_of_a_lost_server_are_spread_over_its_replacements():
    """Guards against a server that prefills all streams, one after the other.

    Load pattern: many streams on a server that is lost. Each chose its
    replacement before the choice of the others was counted.
    """
    async with open_harness(SPARE_RANGES) as harness:
        lost = harness.servers["a1"]
        with failovers.record_pauses(PAUSE_S) as found:
            async with trio.open_nursery() as nursery:
                failovers.move_streams_at_once(harness, nursery)
                for number in range(30):
                    nursery.start_soon(
                        relay,
                        harness,
                        gateways.ResponseRecorder(),
                        f"r{number}",
                    )
                await trio.sleep(0.7)
                failovers.kill(harness, "a1")
        assert len(lost.prefilled) == 30
        counts = [len(harness.servers[n].prefilled) for n in ("s1", "s2", "s3")]
        assert counts == [10, 10, 10]
        assert max(pause.duration_s for pause in found) < 0.25
        assert not any(harness.context.view.count_in_flight().values())


# Several servers that hold all layers.
WHOLE_RANGES = tuple((f"a{n}", "a", (0, 20)) for n in range(4))


@cases.run_on_virtual_clock
async def test_streams_of_a_lost_first_server_are_spread_over_other_paths():
    """Guards against a server that prefills all streams, one after the other.

    Load pattern: streams whose connections are reset at the same moment.
    """
    async with open_harness(WHOLE_RANGES) as harness:
        view, others = harness.context.view, ("a1", "a2", "a3")
        with failovers.record_pauses(PAUSE_S) as found:
            async with trio.open_nursery() as nursery:
                for name in others:
                    view.suspect(harness.servers[name].server, "test")
                for number in range(9):
                    nursery.start_soon(
                        relay,
                        harness,
                        gateways.ResponseRecorder(),
                        f"r{number}",
                    )
                await trio.sleep(0.1)
                for name in others:
                    view.clear_suspicion(harness.servers[name].server)
                await trio.sleep(0.6)
                failovers.kill(harness, "a0")
        counts = [len(harness.servers[name].prefilled) for name in others]
        assert counts == [3, 3, 3]
        assert max(pause.duration_s for pause in found) < 0.12
        assert not any(view.count_in_flight().values())


@cases.run_on_virtual_clock
async def test_lost_server_of_a_regular_stream_is_found_early():
    """Guards against streams that all wait for the same silence.

    The events of this one come every 40 ms, so that the next one is missing
    after 60 ms. The usual probe is sent after 100 ms.
    """
    async with open_harness() as harness:
        async with trio.open_nursery() as nursery:
            failovers.move_streams_at_once(harness, nursery)

            async def interfere(later):
                failovers.kill(harness, later)

            (pause,) = await play(harness, interfere)
        assert pause.cause is pauses.Cause.SERVER_LOST
        assert pause.duration_s < 0.09
        assert not harness.servers["b0"].runs


@pytest.mark.parametrize("duration_s", [0.03, 0.06, 0.1, 0.8])
@pytest.mark.parametrize("is_first", [False, True])
@cases.run_on_virtual_clock
async def test_silent_server_is_not_lost_earlier_by_an_early_check(
    duration_s, is_first
):
    """Guards against a sound server that is given up as it pauses shortly.

    A server without a response to a probe is left only after the silence and
    the probe time that hold for all streams, 150 ms together.
    """
    async with open_harness() as harness:
        changes = []
        async with trio.open_nursery() as nursery:
            failovers.move_streams_at_once(harness, nursery)
            harness.context.view.notify_suspect = lambda server: changes.append(
                (server.instance, trio.current_time())
            )
            begin = trio.current_time() + BEGIN_S

            async def interfere(later):
                name = "a0" if is_first else later
                await harness.servers[name].fall_silent(duration_s)

            await play(harness, interfere)
        assert all(at >= begin + 0.11 for _, at in changes)
        if duration_s < 0.1:
            assert not changes
            assert sum(len(s.orders) for s in harness.servers.values()) == 0
            assert sum(len(s.runs) for s in harness.servers.values()) == 1


@pytest.mark.parametrize("jitter_s", [0.0, 0.01, 0.03, 0.05])
@cases.run_on_virtual_clock
async def test_early_checks_of_sound_streams_are_a_small_share(jitter_s):
    """Guards against connections for each event that is a little late."""
    async with open_harness() as harness:
        source = random.Random(1)
        for stand_in in harness.servers.values():
            wait = stand_in._wait_before_event

            async def wait_longer(request_id, wait=wait):
                await trio.sleep(source.uniform(0, jitter_s))
                await wait(request_id)

            stand_in._wait_before_event = wait_longer
        for number in range(150):
            recorder = gateways.ResponseRecorder()
            await relay(harness, recorder, f"r{number}")
        metrics = harness.context.metrics
        opened = metrics.get_count("early_checks")
        sent = 150 + metrics.get_count("probes")
        assert opened <= silences.MAX_CREDIT + silences.CREDIT_SHARE * sent


@cases.run_on_virtual_clock
async def test_quarantined_stream_is_not_moved_to_a_further_server():
    """Guards against a request that ends each server that takes it over."""
    async with open_harness() as harness:
        request = harness.make_request()
        harness.servers["a0"].faults = [servers_module.Fault("stall", 3)]

        async def kill(nursery):
            await trio.sleep(BEGIN_S)
            for number in range(quarantines.EXPLAINED_CRASH_LIMIT):
                harness.context.quarantine.record_crash(
                    request.fingerprint,
                    crashes.Crash(2 * number),
                    trio.current_time(),
                )
            failovers.move_streams_at_once(harness, nursery)
            failovers.kill(harness, find_later(harness))

        stream = relays.Stream(
            harness.context,
            harness.prober,
            request,
            gateways.ResponseRecorder(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(kill, nursery)
            await stream.run()
        assert not harness.servers["a0"].orders
