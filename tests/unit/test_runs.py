"""Tests of peridotyard_daemon.request.runs."""

import dataclasses

import h11
import hypothesis
from hypothesis import strategies
from peridotyard_core import crashes
from peridotyard_core import fleet
from peridotyard_core import quarantines
from peridotyard_daemon.connection import upstreams
from peridotyard_daemon.request import relays
import pytest
import trio

from tests.support import cases
from tests.support import gateways
from tests.support import servers as servers_module
from tests.support import virtual_clock

# Three zones with a complete copy of the layers each.
LAYER_RANGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 20)),
    ("b0", "b", (0, 10)),
    ("b1", "b", (10, 20)),
    ("c0", "c", (0, 20)),
)
EVENTS = 30


def open_harness():
    return gateways.open_harness(gateways.make_servers(LAYER_RANGES), EVENTS)


def refuse_at(harness, *instances):
    """Lets servers refuse all requests of a test."""
    for instance in instances:
        refusal = servers_module.Fault("refuse")
        harness.servers[instance].faults = [refusal] * 20


async def relay_beside(harness, interfere, **changes):
    """Returns the response to a stream beside which `interfere` runs."""
    recorder = gateways.ResponseRecorder()

    async def run():
        stream = relays.Stream(
            harness.context,
            harness.prober,
            harness.make_request(**changes),
            recorder,
        )
        await stream.run()
        nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(harness.prober.run)
        nursery.start_soon(interfere, nursery)
        nursery.start_soon(run)
    return recorder


def check_complete(recorder):
    assert recorder.finished
    assert recorder.status == 200
    numbers = gateways.read_event_ids(recorder.body)
    assert numbers == list(range(1, EVENTS + 1))


def make_silence(harness, silences):
    """Returns a function that lets servers fall silent.

    Args:
        harness: The harness.
        silences: Instance, start and duration in seconds of each silence.
    """

    async def fall_silent(instance, begin_s, duration_s):
        await trio.sleep(begin_s)
        await harness.servers[instance].fall_silent(duration_s)

    async def interfere(nursery):
        for silence in silences:
            nursery.start_soon(fall_silent, *silence)

    return interfere


@pytest.mark.parametrize("silent", ["a0", "a1"])
@cases.run_on_virtual_clock
async def test_silent_server_is_waited_for_while_other_paths_refuse(silent):
    """Guards against streams cut by the entry although their servers live.

    A path with a silent server was given up for others that refused, and the
    server would have continued within a second.
    """
    async with open_harness() as harness:
        refuse_at(harness, "b0", "c0")
        interfere = make_silence(harness, [(silent, 0.3, 1.5)])
        check_complete(await relay_beside(harness, interfere))


@pytest.mark.parametrize("timeout_s", [3.0, 5.0])
@cases.run_on_virtual_clock
async def test_silent_server_is_waited_for_as_long_as_the_caller_waits(
    timeout_s,
):
    """Guards against streams cut by the entry while their callers wait.

    A server counted as lost after two seconds on all routes.
    """
    async with open_harness() as harness:
        refuse_at(harness, "b0", "c0")
        silence = ("a0", 0.3, timeout_s - 0.1)
        recorder = await relay_beside(
            harness,
            make_silence(harness, [silence]),
            event_timeout_s=timeout_s,
        )
        check_complete(recorder)


@cases.run_on_virtual_clock
async def test_slow_path_is_left_in_time_for_the_first_event_elsewhere():
    """Guards against a second run whose events come after the caller has left.

    Between two checks of the path, up to half a second was lost.
    """
    async with open_harness() as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 5)]
        check_complete(await relay_beside(harness, make_silence(harness, [])))
        (arrived_at,) = harness.servers["a0"].arrived_at
        (resumed_at,) = harness.servers["b0"].arrived_at or (
            harness.servers["c0"].arrived_at
        )
        silent_s = resumed_at - arrived_at - 5 * servers_module.EVENT_GAP_S
        assert 1.5 <= silent_s < 1.6


@cases.run_on_virtual_clock
async def test_stream_within_its_objectives_has_no_second_run():
    """Guards against runs in addition where callers expect to wait.

    Load pattern: prompts that take seconds to read, on a route whose latency
    objective allows for that.
    """
    async with open_harness() as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 0)]
        recorder = await relay_beside(
            harness, make_silence(harness, []), event_timeout_s=20.0
        )
        check_complete(recorder)
        assert sum(len(s.requests) for s in harness.servers.values()) == 1


@cases.run_on_virtual_clock
async def test_slow_path_is_kept_until_another_has_begun():
    """Guards against streams cut by the entry although their path is only slow.

    Load pattern: an overloaded fleet, whose servers respond to probes but send
    no events for two seconds, and refuse further streams.
    """
    async with open_harness() as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 5)]
        harness.servers["a0"].pause_s = 1.9
        refuse_at(harness, "b0", "c0")
        check_complete(await relay_beside(harness, make_silence(harness, [])))
        assert harness.servers["b0"].requests or harness.servers["c0"].requests


@pytest.mark.parametrize("delay_s", [0.06, 0.08, 0.25, 0.4, 0.7])
@cases.run_on_virtual_clock
async def test_servers_that_respond_late_to_probes_are_not_lost(delay_s):
    """Guards against streams cut while their servers are overloaded.

    The servers responded to each probe, but after its timeout.
    """
    async with open_harness() as harness:
        refuse_at(harness, "b0", "c0")
        harness.servers["a0"].faults = [servers_module.Fault("pause", 5)]
        harness.servers["a0"].pause_s = 3.0
        for stand_in in harness.servers.values():

            async def report(responder, send=stand_in._send_report):
                await trio.sleep(delay_s)
                await send(responder)

            stand_in._send_report = report
        recorder = gateways.ResponseRecorder()
        request = harness.make_request()
        # The caller waits for eight times the objective.
        route = dataclasses.replace(request.route, event_gap_objective_s=0.5)
        stream = relays.Stream(
            harness.context,
            harness.prober,
            dataclasses.replace(request, route=route),
            recorder,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.prober.run)
            await stream.run()
            nursery.cancel_scope.cancel()
        assert recorder.finished
        assert harness.servers["a0"].runs == ["r1"]


@pytest.mark.parametrize("operation", ["start", "send"])
@cases.run_on_virtual_clock
async def test_caller_that_reads_late_is_no_silence_of_the_servers(operation):
    """Guards against a second run, and an attempt used up, for a sound stream.

    Load pattern: callers behind a slow link. Each write waits for them, and the
    next events have arrived meanwhile.
    """
    async with open_harness() as harness:
        recorder = gateways.ResponseRecorder()
        write = getattr(recorder, operation)
        delays = [1.9, 1.9]

        async def write_late(*args):
            await trio.sleep(delays.pop() if delays else 0)
            await write(*args)

        setattr(recorder, operation, write_late)
        probed = []
        probe = harness.prober.find_unresponsive

        async def record(servers):
            probed.append(trio.current_time())
            return await probe(servers)

        harness.prober.find_unresponsive = record
        stream = relays.Stream(
            harness.context, harness.prober, harness.make_request(), recorder
        )
        await stream.run()
        check_complete(recorder)
        assert not probed
        assert sum(len(s.requests) for s in harness.servers.values()) == 1


@cases.run_on_virtual_clock
async def test_slow_path_ends_once_another_has_begun():
    """Guards against work for a stream that has gone on elsewhere."""
    async with open_harness() as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 5)]
        check_complete(await relay_beside(harness, make_silence(harness, [])))
        assert harness.servers["a0"].abandoned


@cases.run_on_virtual_clock
async def test_stream_continues_on_the_path_that_responds_first():
    """Guards against repeated events, and a second run that goes on unread."""
    async with open_harness() as harness:
        interfere = make_silence(
            harness, [("a0", 0.3, 0.6), ("b0", 0.2, 1.5), ("c0", 0.2, 1.5)]
        )
        check_complete(await relay_beside(harness, interfere))
        await trio.sleep(2.0)
        for name in ("b0", "c0"):
            assert not harness.servers[name].runs or (
                harness.servers[name].abandoned
            )
        assert not harness.servers["a0"].abandoned


@cases.run_on_virtual_clock
async def test_silent_server_is_replaced_by_one_that_responds():
    """Guards against a stream that waits although another path responds."""
    async with open_harness() as harness:
        interfere = make_silence(harness, [("a0", 0.3, 6.0)])
        began = trio.current_time()
        check_complete(await relay_beside(harness, interfere))
        assert trio.current_time() - began < 2.5
        assert harness.servers["a0"].abandoned or harness.servers["a0"].runs
        loads = harness.context.view.count_in_flight()
        assert not any(loads.values())


# Instance, start and duration of each silence, the times as parts of the event
# timeout of the route.
_SILENCES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([item[0] for item in LAYER_RANGES]),
        strategies.floats(0, 0.75),
        strategies.floats(0.1, 0.8),
    ),
    max_size=8,
    unique_by=lambda item: item[0],
)


@hypothesis.given(
    silences=_SILENCES,
    refusing=strategies.sets(strategies.sampled_from(["b0", "c0"])),
    slow=strategies.dictionaries(
        strategies.sampled_from(["a0", "b0", "c0"]), strategies.integers(0, 9)
    ),
    timeout_s=strategies.sampled_from([2.0, 2.4, 4.0]),
)
@hypothesis.settings(max_examples=120, deadline=None)
def test_streams_outlast_any_silence_of_sound_servers(
    silences, refusing, slow, timeout_s
):
    """Guards against a stream that is cut while a server may still run it."""

    async def play():
        async with open_harness() as harness:
            refuse_at(harness, *refusing)
            for name, after in slow.items():
                harness.servers[name].pause_s = 0.95 * timeout_s
                harness.servers[name].faults.insert(
                    0, servers_module.Fault("pause", after)
                )
            scaled = [
                (name, timeout_s * begin, timeout_s * duration)
                for name, begin, duration in silences
            ]
            recorder = await relay_beside(
                harness,
                make_silence(harness, scaled),
                event_timeout_s=timeout_s,
            )
            runs = sum(len(s.runs) for s in harness.servers.values())
            limit = gateways.ROUTE.max_attempts
            assert runs <= limit
            if recorder.status == 200:
                check_complete(recorder)
            else:
                # Refused before its first event; no server has been lost.
                assert recorder.status == 503

    virtual_clock.run(play)


async def silence_two_paths(harness, nursery, first_s):
    """Silences the server in use and the next one; returns the latter."""
    await trio.sleep(0.3)
    (used,) = [s for s in harness.servers.values() if s.runs]
    nursery.start_soon(used.fall_silent, first_s)
    while sum(len(s.requests) for s in harness.servers.values()) < 2:
        await trio.sleep(0.001)
    (second,) = [
        s for s in harness.servers.values() if s.requests and s is not used
    ]
    nursery.start_soon(second.fall_silent, 60.0)
    return second


@pytest.mark.parametrize(("attempts", "is_complete"), [(2, False), (3, True)])
@cases.run_on_virtual_clock
async def test_third_path_is_tried_beside_two_silent_ones(
    attempts, is_complete
):
    """Guards against a stream that waits although its route allows a third run.

    The first two paths are silent and the third one is not.
    """
    async with open_harness() as harness:

        async def interfere(nursery):
            await silence_two_paths(harness, nursery, 60.0)

        began = trio.current_time()
        recorder = await relay_beside(
            harness, interfere, max_attempts=attempts, event_timeout_s=4.0
        )
        runs = sum(len(s.requests) for s in harness.servers.values())
        assert runs == attempts
        assert recorder.finished == is_complete
        if is_complete:
            check_complete(recorder)
            assert trio.current_time() - began < 4.0
        assert not any(harness.context.view.count_in_flight().values())


# Guards against a request that runs on more servers than its route allows: a
# full server refuses further connections and runs what it has received.
@cases.run_on_virtual_clock
async def test_run_on_a_server_that_refuses_connections_is_an_attempt():
    async with open_harness() as harness:

        async def interfere(nursery):
            second = await silence_two_paths(harness, nursery, 1.0)
            harness.network.stop_serving(str(second.server.address))

        recorder = await relay_beside(harness, interfere)
        check_complete(recorder)
        assert sum(len(s.requests) for s in harness.servers.values()) == 2


@cases.run_on_virtual_clock
async def test_stream_that_must_run_once_has_no_second_run():
    """Guards against a non-idempotent stream that runs on two servers."""
    async with open_harness() as harness:
        interfere = make_silence(harness, [("a0", 0.3, 1.5)])
        recorder = await relay_beside(
            harness, interfere, retry_policy=fleet.RetryPolicy.STREAM_ONCE
        )
        check_complete(recorder)
        assert sum(len(s.runs) for s in harness.servers.values()) == 1


@cases.run_on_virtual_clock
async def test_silent_run_may_end_while_another_waits_for_its_path():
    """Guards against an error that ends a stream whose first run has ended."""
    async with open_harness() as harness:
        reserve = harness.context.reservations.reserve
        first = harness.servers["a0"]
        address = str(first.server.address)

        async def deny_at_first(server, max_wait_s=0.0):
            if server.instance == "a0" or trio.current_time() > began + 0.5:
                return await reserve(server, max_wait_s)
            await trio.sleep(0.2)
            return False

        async def interfere(nursery):
            nursery.start_soon(first.fall_silent, 1.0)
            await trio.sleep(0.3)
            harness.network.reset(address)

        began = trio.current_time()
        harness.context.reservations.reserve = deny_at_first
        check_complete(await relay_beside(harness, interfere))


@cases.run_on_virtual_clock
async def test_silent_server_that_left_the_list_is_waited_for():
    """Guards against a live run given up because its server's row is gone."""
    async with open_harness() as harness:
        refuse_at(harness, "b0", "c0")

        async def interfere(nursery):
            await trio.sleep(0.2)
            view = harness.context.view
            view.remove_server("a0", view.servers["a0"].revision + 1)
            await harness.servers["a0"].fall_silent(1.2)

        check_complete(await relay_beside(harness, interfere))


@cases.run_on_virtual_clock
async def test_failure_of_a_second_server_ends_no_run_in_progress():
    """Guards against an error of one server while another one would answer."""
    async with open_harness() as harness:
        for other in ("b0", "c0"):
            harness.servers[other].faults = [servers_module.Fault("error")]
        interfere = make_silence(harness, [("a0", 0.01, 1.0)])
        check_complete(await relay_beside(harness, interfere))


@cases.run_on_virtual_clock
async def test_internal_error_of_a_second_run_ends_no_run_in_progress():
    """Guards against a sound stream cut by an error in the run beside it."""
    async with open_harness() as harness:
        context = harness.context
        encode = context.codec.encode_request

        def fail_elsewhere(head, dispatch):
            if dispatch.server.instance != "a0":
                raise KeyError("test")
            return encode(head, dispatch)

        context.codec.encode_request = fail_elsewhere
        interfere = make_silence(harness, [("a0", 0.3, 1.2)])
        check_complete(await relay_beside(harness, interfere))
        assert 'internal_errors_total{kind="run"}' in context.metrics.render()


@cases.run_on_virtual_clock
async def test_internal_error_of_the_only_run_ends_the_stream():
    """Guards against a caller that waits for a run that has failed."""
    async with open_harness() as harness:

        def fail(head, dispatch):
            raise KeyError("test")

        harness.context.codec.encode_request = fail
        stream = relays.Stream(
            harness.context,
            harness.prober,
            harness.make_request(),
            gateways.ResponseRecorder(),
        )
        with pytest.raises(KeyError):
            await stream.run()


@cases.run_on_virtual_clock
async def test_two_runs_that_end_at_once_end_the_response_once():
    """Guards against two ends, or none, if both runs end in the same step."""
    async with open_harness() as harness:
        end_at = trio.current_time() + 3.0
        acquire = harness.context.pool.acquire
        ended = []
        both_ended = trio.Event()

        async def send_events(headers, fault, responder):
            del fault
            name = headers["x-attempt-id"].encode()
            signed = [(b"X-Attempt-Id", name), (b"X-Server-Signature", b"s")]
            await responder.start(200, signed, b"")
            begin = int(headers.get("last-event-id", "0")) + 1
            for number in range(begin, EVENTS + 1):
                await responder.send(servers_module.encode_event(number))
            await trio.sleep_until(end_at)
            await responder.finish()

        async def acquire_recorded(address, *args, **options):
            connection = await acquire(address, *args, **options)
            receive = connection.receive
            heads = []

            async def receive_together():
                event = await receive()
                if isinstance(event, h11.Response):
                    heads.append(dict(event.headers.raw_items()))
                elif isinstance(event, h11.EndOfMessage) and not any(
                    b"Content-Length" in head for head in heads
                ):
                    ended.append(address)
                    if len(ended) == 2:
                        both_ended.set()
                    await both_ended.wait()
                return event

            connection.receive = receive_together
            return connection

        for server in harness.servers.values():
            server._send_events = send_events
        harness.context.pool.acquire = acquire_recorded
        recorder = await relay_beside(
            harness, make_silence(harness, [("a0", 0.1, 2.5)])
        )
        assert len(ended) == 2
        check_complete(recorder)


@cases.run_on_virtual_clock
async def test_server_that_is_listed_again_has_no_negative_load():
    """Guards against too many requests for a server whose row came back."""
    async with open_harness() as harness:

        async def interfere(nursery):
            del nursery
            await trio.sleep(0.3)
            view = harness.context.view
            server = view.servers["a0"]
            view.remove_server("a0", server.revision + 1)
            await trio.sleep(0.3)
            view.apply_server(
                dataclasses.replace(server, revision=server.revision + 2)
            )

        check_complete(await relay_beside(harness, interfere))
        loads = harness.context.view.count_in_flight()
        assert not any(loads.values()), loads


@cases.run_on_virtual_clock
async def test_server_that_restarts_under_its_name_is_left_without_load():
    """Guards against requests that count forever at a restarted server."""
    async with open_harness() as harness:

        async def interfere(nursery):
            del nursery
            await trio.sleep(0.3)
            view = harness.context.view
            server = view.servers["a0"]
            assert view.count_in_flight().get("a0") == 1
            view.apply_server(
                dataclasses.replace(
                    server,
                    revision=server.revision + 1,
                    started_at_ms=server.started_at_ms + 1,
                )
            )

        check_complete(await relay_beside(harness, interfere))
        assert not harness.context.view.count_in_flight()


@pytest.mark.parametrize("timeout_s", [2.0, 4.0])
@cases.run_on_virtual_clock
async def test_stream_whose_server_is_lost_ends_visibly_in_time(timeout_s):
    """Guards against a stream that is held for a server that never responds.

    A caller whose stream has ended resumes it at another entry.
    """
    async with open_harness() as harness:
        refuse_at(harness, "b0", "c0")
        interfere = make_silence(harness, [("a0", 0.3, 60.0)])
        began = trio.current_time()
        recorder = await relay_beside(
            harness, interfere, event_timeout_s=timeout_s
        )
        assert recorder.started
        assert not recorder.finished
        duration_s = trio.current_time() - began
        assert timeout_s < duration_s < timeout_s + 1.3


@cases.run_on_virtual_clock
async def test_server_that_a_stream_waits_for_is_lost_though_it_responds():
    """Guards against a stream held for a link that is cut between two servers.

    The later server responds to the probes of the entry all the time.
    """
    async with open_harness() as harness:
        refuse_at(harness, "b0", "c0")
        harness.servers["a0"].faults = [servers_module.Fault("stall", 5)]
        harness.servers["a0"].accepts_orders = False
        address = str(harness.servers["a1"].server.address)
        harness.servers["a0"].failed_server = address
        began = trio.current_time()
        check_complete(await relay_beside(harness, make_silence(harness, [])))
        assert 2.0 < trio.current_time() - began < 5.0


@cases.run_on_virtual_clock
async def test_silent_path_is_not_probed_beside_a_newer_run():
    """Guards against probes and repairs of a path that another one replaces."""
    async with open_harness() as harness:
        probe = harness.prober.find_unresponsive
        probed = []

        async def record(servers):
            servers = list(servers)
            probed.append({server.instance for server in servers})
            return await probe(servers)

        harness.prober.find_unresponsive = record
        silences = [("a0", 0.3, 1.6), ("b0", 0.2, 1.6), ("c0", 0.2, 1.6)]
        check_complete(
            await relay_beside(harness, make_silence(harness, silences))
        )
        assert probed.count({"a0", "a1"}) == 1


@cases.run_on_virtual_clock
async def test_quarantine_ends_no_stream_whose_server_is_silent():
    """Guards against a path given up for another one that is not allowed."""
    async with open_harness() as harness:
        request = harness.make_request()

        async def interfere(nursery):
            await trio.sleep(0.3)
            nursery.start_soon(harness.servers["a0"].fall_silent, 1.2)
            for number in range(quarantines.EXPLAINED_CRASH_LIMIT):
                harness.context.quarantine.record_crash(
                    request.fingerprint,
                    crashes.Crash(2 * number),
                    trio.current_time(),
                )
            assert harness.context.is_quarantined(request)

        check_complete(await relay_beside(harness, interfere))


@cases.run_on_virtual_clock
async def test_lost_second_send_ends_no_stream_whose_server_is_silent():
    """Guards against attempts used up by a send that reached no server."""
    async with open_harness() as harness:
        acquire = harness.context.pool.acquire
        first = harness.servers["a0"].server.address

        async def acquire_broken(address, *args, **options):
            connection = await acquire(address, *args, **options)
            send = connection.send

            async def lose_requests(method, *rest):
                if method == "POST" and address != first:
                    raise upstreams.LostError("reset before the request")
                await send(method, *rest)

            connection.send = lose_requests
            return connection

        harness.context.pool.acquire = acquire_broken
        interfere = make_silence(harness, [("a0", 0.3, 1.2)])
        check_complete(await relay_beside(harness, interfere))
