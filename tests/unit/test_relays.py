"""Tests of peridotyard_daemon.request.relays."""

import collections
import contextlib
import dataclasses
import functools

import hypothesis
from hypothesis import strategies
import logbook
from peridotyard_core import budgets
from peridotyard_core import fleet
from peridotyard_core import verdicts
from peridotyard_daemon.request import contexts
from peridotyard_daemon.request import relays
import pytest
import trio

from tests.support import cases
from tests.support import gateways
from tests.support import servers as servers_module
from tests.support import virtual_clock

# Instance, zone and layer range of each server: two zones with a complete copy
# of the layers each, and a second server for one stage of the first zone.
LAYER_RANGES = (
    ("a0", "a", (0, 10)),
    ("a1", "a", (10, 20)),
    ("b0", "b", (0, 8)),
    ("b1", "b", (8, 20)),
    ("spare", "a", (8, 20)),
)
EVENTS = 10


async def relay(harness, **changes):
    request = harness.make_request(**changes)
    recorder = gateways.ResponseRecorder()
    stream = relays.Stream(harness.context, harness.prober, request, recorder)
    await stream.run()
    return recorder


async def relay_while(harness, interfere, **changes):
    """Returns the response to a stream while `interfere` runs."""
    responses = []

    async def run():
        responses.append(await relay(harness, **changes))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(run)
        await interfere()
    return responses[0]


def find_second(harness):
    """Returns the second server of the first path that starts at a0."""
    path = harness.servers["a0"].requests[0]["x-hop-count"]
    return "a1" if "10.0.0.2:80" in path else "spare"


async def refuse_at_later_server(harness, stated):
    """Lets the first server of a path refuse because of a later one.

    Args:
        harness: The harness.
        stated: Headers of the first server's responses from now on.

    Returns:
        The first server's stand-in and the later server.
    """
    check_complete(await relay(harness))
    first = harness.servers["a0"]
    later = harness.servers[find_second(harness)].server
    first.stated = stated
    first.faults = [servers_module.Fault("refuse")]
    first.failed_server = str(later.address)
    return first, later


def check_complete(recorder, after=0):
    assert recorder.finished
    assert recorder.status == 200
    numbers = gateways.read_event_ids(recorder.body)
    assert numbers == list(range(after + 1, EVENTS + 1))


@cases.run_on_virtual_clock
async def test_stream_is_relayed_completely():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        check_complete(await relay(harness))
        headers = harness.servers["a0"].requests[0]
        assert headers["x-expect-instance"] == "a0"
        assert headers["x-tenant"] == "north"
        assert headers["x-request-priority"] == "1"
        path = headers["x-hop-count"]
        assert path.startswith("10.0.0.1:80=0-10,")
        assert path.endswith("=10-20")


@cases.run_on_virtual_clock
async def test_stream_continues_on_another_path_after_a_crash():
    # Guards against a response in which events are missing or repeated.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("crash", 4)]
        check_complete(await relay(harness))
        assert harness.servers["b0"].requests[0]["last-event-id"] == "4"


@cases.run_on_virtual_clock
async def test_killed_stage_is_replaced_without_a_new_run():
    # Guards against a rerun of the prompt in all layers for one lost stage.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("stall", 3)]

        async def kill():
            await trio.sleep(0.1)
            harness.kill(find_second(harness))

        check_complete(await relay_while(harness, kill))
        used = find_second(harness)
        order = harness.servers["a0"].orders[0]
        assert order["op"] == "repath"
        assert order["id"] == "r1"
        address = str(harness.servers[used].server.address)
        assert address not in order["path"]
        assert harness.servers["b0"].runs == []


@cases.run_on_virtual_clock
async def test_silent_stage_is_replaced_within_the_allowed_gap():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("stall", 3)]

        async def cut():
            await trio.sleep(0.1)
            harness.partition(find_second(harness))

        check_complete(await relay_while(harness, cut))
        assert len(harness.servers["a0"].orders) == 1


@cases.run_on_virtual_clock
async def test_stall_that_the_first_server_reports_is_repaired():
    # Guards against a stream that hangs when the link between two live servers
    # is cut, which no probe of them shows.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        first = harness.servers["a0"]
        first.faults = [servers_module.Fault("stall", 2)]

        async def report():
            await trio.sleep(0.06)
            path = first.requests[0]["x-hop-count"]
            first.failed_server = path.split(",")[1].split("=")[0]

        check_complete(await relay_while(harness, report))
        assert first.failed_server not in first.orders[0]["path"]


@cases.run_on_virtual_clock
async def test_server_removed_from_the_list_is_not_treated_as_dead():
    # Guards against streams that are cut although their server is still running
    # for seconds after its removal from the list.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        first = harness.servers["a0"]
        first.faults = [servers_module.Fault("stall", 3)]

        async def remove():
            await trio.sleep(0.1)
            for name in ("a0", "a1", "spare"):
                harness.context.view.remove_server(name, 9)
            await trio.sleep(0.4)
            first.stalled.pop("r1").set()

        check_complete(await relay_while(harness, remove))
        runs = [name for item in harness.servers.values() for name in item.runs]
        assert runs == ["r1"]


@cases.run_on_virtual_clock
async def test_refused_repair_is_followed_by_a_new_run():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        first = harness.servers["a0"]
        first.accepts_orders = False
        first.faults = [servers_module.Fault("stall", 2)]

        async def kill():
            await trio.sleep(0.06)
            harness.kill(find_second(harness))

        check_complete(await relay_while(harness, kill))


@pytest.mark.parametrize("kind", ["partial-event", "skip", "repeat"])
def test_wrong_events_never_reach_the_caller(kind):
    async def run():
        async with gateways.open_harness(
            gateways.make_servers(LAYER_RANGES)
        ) as harness:
            harness.servers["a0"].faults = [servers_module.Fault(kind, 4)]
            check_complete(await relay(harness))

    virtual_clock.run(run)


@pytest.mark.parametrize(
    ("kind", "after"), [("skip", 0), ("wrong-id", 0), ("wrong-id", 4)]
)
@cases.run_on_virtual_clock
async def test_event_with_a_wrong_id_costs_no_other_event(kind, after):
    """Guards against events that are missing in a stream that looks complete.

    The wrong one is the first event, or arrives together with a sound one.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault(kind, after)]
        check_complete(await relay(harness))


@cases.run_on_virtual_clock
async def test_stream_whose_first_id_may_be_wrong_ends_visibly():
    """Guards against a stream that is resumed after a wrong first id."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("repeat", 1)]
        recorder = await relay(harness)
        assert gateways.read_event_ids(recorder.body) == [1]
        assert not recorder.finished
        assert harness.servers["b0"].runs == []


@pytest.mark.parametrize("kind", ["crash", "refuse"])
def test_stream_whose_caller_has_left_is_not_resent(kind):
    """Guards against work on a second path after the caller has left."""

    async def run():
        async with gateways.open_harness(
            gateways.make_servers(LAYER_RANGES)
        ) as harness:
            harness.servers["a0"].faults = [servers_module.Fault(kind)]
            recorder = gateways.ResponseRecorder()
            recorder.disconnected = True
            stream = relays.Stream(
                harness.context,
                harness.prober,
                harness.make_request(),
                recorder,
            )
            with pytest.raises(trio.BrokenResourceError):
                await stream.run()
            assert len(harness.servers["a0"].requests) == 1
            assert harness.servers["b0"].requests == []

    virtual_clock.run(run)


@pytest.mark.parametrize(
    ("kind", "after", "resumed"),
    [
        ("unframed", 0, False),
        ("unframed-partial", 0, True),
        ("unframed-partial", 4, True),
        ("unframed-end", 0, True),
    ],
)
def test_stream_that_ends_with_its_connection_is_whole(kind, after, resumed):
    """Guards against a lost stream that looks complete to its caller.

    A stream without length and chunks ends with its connection. It was broken
    off if that happens within an event, or before the first one.
    """

    async def run():
        async with gateways.open_harness(
            gateways.make_servers(LAYER_RANGES)
        ) as harness:
            harness.servers["a0"].faults = [servers_module.Fault(kind, after)]
            check_complete(await relay(harness))
            assert bool(harness.servers["b0"].requests) == resumed

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_refusal_is_followed_by_another_path():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("refuse")]
        check_complete(await relay(harness))


@cases.run_on_virtual_clock
async def test_server_that_refused_is_not_retried():
    # Guards against retries that are spent on a server that refuses again.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES[:2])
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("refuse")] * 5
        recorder = await relay(harness)
        assert recorder.status == 503
        assert len(harness.servers["a0"].requests) == 1


@cases.run_on_virtual_clock
async def test_unsigned_response_is_not_a_success():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("unsigned")]
        check_complete(await relay(harness))
        assert harness.servers["b0"].runs == ["r1"]


@cases.run_on_virtual_clock
async def test_non_idempotent_stream_is_cut_and_not_retried():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("crash", 4)]
        recorder = await relay(
            harness, retry_policy=fleet.RetryPolicy.STREAM_ONCE
        )
        assert not recorder.finished
        runs = [name for item in harness.servers.values() for name in item.runs]
        assert runs == ["r1"]


@cases.run_on_virtual_clock
async def test_caller_resumes_after_its_last_event():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        check_complete(await relay(harness, last_event_id=6), after=6)


@cases.run_on_virtual_clock
async def test_no_path_is_refused_at_once_as_not_run():
    # Guards against a wait for a path, after which the caller has no time left
    # to try another entry.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES[:1])
    ) as harness:
        began = trio.current_time()
        recorder = await relay(harness)
        assert recorder.status == 503
        assert b"not-run" in recorder.body
        assert dict(recorder.headers)[b"retry-after"]
        assert trio.current_time() - began < 0.1


@cases.run_on_virtual_clock
async def test_time_limit_ends_a_stream_that_has_begun():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        recorder = await relay(harness, time_limit_ms=200)
        assert recorder.started
        assert not recorder.finished


@cases.run_on_virtual_clock
async def test_time_limit_before_the_first_event_is_a_timeout():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        recorder = await relay(harness, time_limit_ms=30)
        assert recorder.status == 504
        assert b"may-have-run" in recorder.body


@cases.run_on_virtual_clock
async def test_requests_in_flight_are_counted_back_to_zero():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("crash", 4)]
        await relay(harness)
        assert harness.context.view.count_in_flight() == {}


FAULTS = strategies.lists(
    strategies.builds(
        servers_module.Fault,
        strategies.sampled_from(
            [
                "",
                "refuse",
                "crash",
                "partial-event",
                "skip",
                "repeat",
                "wrong-id",
                "unsigned",
            ]
        ),
        strategies.integers(0, EVENTS - 1),
    ),
    max_size=3,
)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(first=FAULTS, second=FAULTS, after=strategies.integers(0, 9))
def test_caller_gets_a_prefix_in_order_and_an_end_only_after_the_last_event(
    first, second, after
):
    async def run():
        async with gateways.open_harness(
            gateways.make_servers(LAYER_RANGES)
        ) as harness:
            harness.servers["a0"].faults = first
            harness.servers["b0"].faults = second
            recorder = await relay(harness, last_event_id=after)
        if recorder.status != 200:
            assert recorder.finished
            return
        numbers = gateways.read_event_ids(recorder.body)
        assert numbers == list(range(after + 1, after + 1 + len(numbers)))
        assert recorder.finished == (after + len(numbers) == EVENTS)
        events = b"".join(servers_module.encode_event(n) for n in numbers)
        assert recorder.body == events

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_refusal_after_a_run_is_not_reported_as_not_run():
    # Guards against a not-run verdict for a request that an earlier path may
    # have run.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("crash", 0)]
        harness.servers["b0"].faults = [servers_module.Fault("refuse")] * 5
        recorder = await relay(harness)
        assert recorder.status == 502
        assert b"may-have-run" in recorder.body
        assert dict(recorder.headers)[b"retry-after"]


@cases.run_on_virtual_clock
async def test_request_that_crashes_servers_is_quarantined():
    # Guards against a request that crashes one server after the other.
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(6)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        notified = []
        harness.context.notify_crash = lambda *crash: notified.append(crash)
        for server in harness.servers.values():
            server.faults = [servers_module.Fault("end", 0)]
        recorder = await relay(harness)
        assert recorder.status == 502
        sent = [s for s in harness.servers.values() if s.requests]
        assert len(sent) <= 3
        assert len({key for key, _ in notified}) == 1
        request = harness.make_request()
        while not harness.context.is_quarantined(request):
            assert len(notified) < 3
            await relay(harness)
        assert len([s for s in harness.servers.values() if s.requests]) == 3
        # Another request of the same caller has a different fingerprint.
        other = harness.make_request()
        other = dataclasses.replace(other, body=b"other")
        assert not harness.context.is_quarantined(other)


@cases.run_on_virtual_clock
async def test_crash_just_after_a_successful_probe_is_noticed():
    """Guards against a crash that a probe of a moment before conceals.

    Streams probe the servers of silent paths all the time.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        server = harness.servers["a0"]
        server.faults = [servers_module.Fault("end", 0)]
        assert not await harness.prober.find_unresponsive([server.server])
        await relay(harness)
        assert harness.context.metrics.get_count("crashes") == 1
        assert harness.context.view.has_ended(server.server)


@cases.run_on_virtual_clock
async def test_crash_is_noticed_for_each_request_that_the_server_ran():
    """Guards against a crash that only the first of its streams notices."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        server = harness.servers["a0"]
        server.faults = [servers_module.Fault("stall", 0)] * 3
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(
                    functools.partial(relay, harness, request_id=f"r{number}")
                )
            await trio.sleep(0.05)
            assert len(server.requests) == 3
            harness.kill("a0")
        assert harness.context.metrics.get_count("crashes") == 3


@cases.run_on_virtual_clock
async def test_part_of_prompts_that_crashes_servers_is_quarantined():
    """Guards against requests, no two alike, that crash server after server.

    The sound ones share their other parts and are served all the time.
    """
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(8)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        for server in harness.servers.values():
            server.fatal_part = "bad"
        for number in range(12):
            fatal = {
                "request_id": f"f{number}",
                "prompt": f"a:40,bad:20,f{number}:9",
                "body": b"fatal %d" % number,
            }
            if not harness.context.is_quarantined(
                harness.make_request(**fatal)
            ):
                await relay(harness, **fatal)
            check_complete(
                await relay(harness, prompt=f"a:40,g:20,s{number}:9")
            )
        reached = [name for s in harness.servers.values() for name in s.runs]
        assert len([name for name in reached if name != "r1"]) <= 5
        quarantined = harness.make_request(prompt="a:40,bad:20,x:9")
        assert harness.context.is_quarantined(quarantined)
        failure = harness.context.refuse_quarantined(quarantined)
        assert failure.code == "quarantined"
        assert failure.verdict is verdicts.Verdict.NOT_RUN
        # The last part belongs to one request, and others may be named alike.
        for prompt in ("a:40,bad:20", "bad:20", "a:40,g:20,x:9"):
            sound = harness.make_request(prompt=prompt)
            assert not harness.context.is_quarantined(sound)


@cases.run_on_virtual_clock
async def test_stream_that_has_begun_blames_no_part_of_its_prompt():
    """Guards against a quarantine of parts that have been answered."""
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(6)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        first, *others = harness.servers.values()
        for server in harness.servers.values():
            server.faults = [servers_module.Fault("end", 2)]
        await relay(harness, prompt="a:40,b:20,c:9")
        for server in harness.servers.values():
            server.faults = [servers_module.Fault("end", 0)]
        await relay(harness, prompt="a:40,b:20,c:9", last_event_id=3)
        assert harness.context.parts.make_evidence().is_empty


@cases.run_on_virtual_clock
async def test_crash_in_mid_stream_is_not_attributed_to_the_request():
    # Guards against the quarantine of streams that were in progress when their
    # server crashed.
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(6)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        for server in harness.servers.values():
            server.faults = [servers_module.Fault("end", 2)]
        await relay(harness)
        assert harness.context.quarantine.is_empty


@cases.run_on_virtual_clock
async def test_stream_that_crashes_servers_after_events_is_quarantined():
    """Guards against a request that is not contained once it has answers.

    Each server that begins to run it ends after its first event.
    """
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(20)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        notified = []
        harness.context.notify_crash = lambda *crash: notified.append(crash)
        for server in harness.servers.values():
            server.faults = [servers_module.Fault("end", 1)]
        request = harness.make_request()
        attempts = 0
        while not harness.context.is_quarantined(request):
            recorder = await relay(harness)
            assert not recorder.finished
            attempts += 1
            assert attempts <= 3
        crashed = [s for s in harness.servers.values() if s.requests]
        assert len(crashed) <= 6
        # The other entries are told by the end of the stream.
        assert len({crash.id for _, crash in notified}) == len(crashed)


@contextlib.asynccontextmanager
async def open_harness_with_fatal_requests(after):
    """Opens a harness in which some requests end a later server of the path.

    Requests whose ids begin with "f" end the server that runs the last layers,
    and each one that replaces it.

    Args:
        after: Number of events that they are sent.

    Yields:
        The harness, and the list of the servers that have ended.
    """
    layer_ranges = [("first", "a", (0, 10))]
    layer_ranges += [(f"s{n}", "a", (10, 20)) for n in range(20)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        first = harness.servers["first"]
        ended = []
        sent = collections.Counter()

        async def stall(request_id):
            sent[request_id] += 1
            while request_id.startswith("f") and sent[request_id] > after:
                first.stalled[request_id] = trio.Event()
                await first.stalled[request_id].wait()

        first._wait_before_event = stall

        async def end_servers():
            while True:
                await trio.sleep(0.01)
                for stream in harness.context.streams:
                    for run in stream._runs:
                        later = run._path[1].server if run._path else None
                        if first.stalled and later and later not in ended:
                            ended.append(later)
                            harness.kill(later.instance)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_servers)
            yield harness, ended
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("after", [0, 1])
@cases.run_on_virtual_clock
async def test_request_that_crashes_later_servers_is_quarantined(after):
    """Guards against crashes that the loss of the first server only reveals.

    The later server of the path ends, and so do those that replace it.
    """
    async with open_harness_with_fatal_requests(after) as (harness, ended):
        fatal = {"request_id": "f1", "prompt": "a:40,b:20,c:9"}
        recorder = await relay(harness, **fatal)
        assert not (recorder.finished and recorder.status == 200)
        assert harness.context.is_quarantined(harness.make_request(**fatal))
        assert len(ended) <= 6
        suspicions = harness.context.parts.make_evidence().suspicions
        assert bool(suspicions) == (after == 0)


@cases.run_on_virtual_clock
async def test_part_of_prompts_that_crashes_later_servers_is_quarantined():
    """Guards against parts that only the first server of a path can convict."""
    async with open_harness_with_fatal_requests(0) as (harness, ended):
        for number in range(6):
            fatal = {
                "request_id": f"f{number}",
                "prompt": f"a:40,bad:20,f{number}:9",
                "body": b"fatal %d" % number,
            }
            if not harness.context.is_quarantined(
                harness.make_request(**fatal)
            ):
                await relay(harness, **fatal)
            check_complete(
                await relay(harness, prompt=f"a:40,g:20,s{number}:9")
            )
        assert len(ended) <= 5
        parts = harness.context.parts.list_quarantined()
        assert len(parts) == 1
        quarantined = harness.make_request(prompt="a:40,bad:20,x:9")
        assert harness.context.is_quarantined(quarantined)


@cases.run_on_virtual_clock
async def test_stream_moves_off_a_server_that_releases_its_layers():
    # Guards against six seconds without a path, as in one run: a server that
    # was to load lost layers waited for the streams that used its old layers.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:

        async def release_layers():
            await trio.sleep(0.1)
            used = find_second(harness)
            stream = next(iter(harness.context.streams))
            assert stream.has_later_stage(used)
            harness.context.view.apply_report(used, None)
            await stream.replace_server(used)
            assert not stream.has_later_stage(used)

        check_complete(await relay_while(harness, release_layers))
        assert not harness.context.streams
        assert harness.context.view.count_in_flight() == {}
        used = find_second(harness)
        (order,) = harness.servers["a0"].orders
        other = {"a1": "10.0.0.5:80", "spare": "10.0.0.2:80"}[used]
        assert other in order["path"]


@cases.run_on_virtual_clock
async def test_stream_stays_where_no_other_server_has_the_layers():
    layer_ranges = [("a0", "a", (0, 10)), ("a1", "a", (10, 20))]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(relay, harness)
            await trio.sleep(0.1)
            stream = next(iter(harness.context.streams))
            await stream.replace_server("a1")
            assert stream.has_later_stage("a1")
            assert harness.servers["a0"].orders == []


@cases.run_on_virtual_clock
async def test_order_concurrent_with_the_end_of_a_stream_leaves_no_load():
    # Guards against a count of requests that never returns to zero, which would
    # keep the server from being chosen.
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].events = 3

        async def replace_late():
            await trio.sleep(0.1)
            stream = next(iter(harness.context.streams))
            # The stream ends 2.5 ms after the order is sent.
            await trio.sleep(0.0195)
            await stream.replace_server(find_second(harness))

        await relay_while(harness, replace_late)
        assert harness.context.view.count_in_flight() == {}


async def relay_and_lose(harness, lose, count):
    """Returns the response to a stream, and the servers that ran it.

    Each server that runs the stream is lost in turn, up to `count` servers.
    """

    async def lose_each():
        lost = set()
        while len(lost) < count:
            await trio.sleep(0.1)
            for name, item in harness.servers.items():
                if item.runs and name not in lost:
                    lost.add(name)
                    lose(name)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(lose_each)
        recorder = await relay(harness)
        nursery.cancel_scope.cancel()
    return recorder, [n for n, item in harness.servers.items() if item.runs]


@cases.run_on_virtual_clock
async def test_silent_servers_count_as_servers_that_run_the_stream():
    # Guards against streams that run on three servers where the route allows
    # two: a late probe does not show that the server has terminated.
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(5)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        recorder, used = await relay_and_lose(harness, harness.partition, 3)
        assert len(used) == 2
        assert not recorder.finished


@cases.run_on_virtual_clock
async def test_terminated_servers_do_not_count_as_runs():
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(5)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        recorder, used = await relay_and_lose(harness, harness.kill, 3)
        assert len(used) == 4
        check_complete(recorder)


@pytest.mark.parametrize("kind", ["drip", "comments", "endless"])
@cases.run_on_virtual_clock
async def test_stream_without_further_events_moves_on(kind):
    """Guards against a stalled stream that never ends.

    Each received byte restarted the time after which the path is probed, so
    that a server which sent one now and then held the stream to its deadline.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault(kind, 3)]
        began = trio.current_time()
        check_complete(await relay(harness))
        assert trio.current_time() - began < 3.0
        assert harness.servers["a0"].abandoned == ["r1"]


@pytest.mark.parametrize(
    "retry_policy", [fleet.RetryPolicy.STREAM, fleet.RetryPolicy.STREAM_ONCE]
)
@cases.run_on_virtual_clock
async def test_slow_stream_that_cannot_continue_elsewhere_is_not_cut(
    retry_policy,
):
    """Guards against a cut of a slow but sound stream.

    A stream that may be resumed has no other servers here, the other one must
    not run twice.
    """
    layer_ranges = LAYER_RANGES[:2]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 3)]
        check_complete(await relay(harness, retry_policy=retry_policy))
        assert harness.servers["a0"].runs == ["r1"]


@cases.run_on_virtual_clock
async def test_non_idempotent_stream_outlasts_a_silence_of_its_first_server():
    """Guards against running work that is given up.

    The machine is only silent for a time, and its work cannot be run again.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 3)]
        harness.servers["b0"].faults = [servers_module.Fault("pause", 3)]
        recorder = None

        async def run():
            nonlocal recorder
            recorder = await relay(
                harness, retry_policy=fleet.RetryPolicy.STREAM_ONCE
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            await trio.sleep(0.3)
            (used,) = [n for n in ("a0", "b0") if harness.servers[n].runs]
            harness.context.view.suspect(
                harness.context.view.servers[used], "test"
            )
        check_complete(recorder)


@cases.run_on_virtual_clock
async def test_bytes_that_are_no_event_are_not_forwarded():
    """Guards against garbage between two events that reaches the caller."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("garbage", 3)]
        recorder = await relay(harness)
        check_complete(recorder)
        assert b"\xa7" not in recorder.body


@pytest.mark.parametrize(("timeout_s", "loaded_s"), [(2.0, 1.2), (4.0, 3.2)])
@pytest.mark.parametrize("kind", ["crash", "stall"])
@cases.run_on_virtual_clock
async def test_stream_waits_for_lost_layers_to_be_loaded_again(
    kind, timeout_s, loaded_s
):
    """Guards against streams that are cut while a repair is on its way.

    Load pattern: the only copy of some layers is lost under load. All streams
    over them were cut at once, and the layers were back a second later.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        view = harness.context.view
        for name in ("b0", "b1", "spare"):
            view.apply_report(name, None)
        harness.servers["a0"].faults = [servers_module.Fault(kind, 3)]
        if kind == "crash":
            lost = "a0"
        else:
            lost = "a1"
            harness.kill("a1")

        async def repair():
            await trio.sleep(0.2)
            view.suspect(view.servers[lost], "test")
            await trio.sleep(loaded_s)
            view.apply_report("b0", fleet.LayerRange(0, 8))
            view.apply_report("b1", fleet.LayerRange(8, 20))

        check_complete(
            await relay_while(harness, repair, event_timeout_s=timeout_s)
        )


@pytest.mark.parametrize(("timeout_s", "after_s"), [(2.0, 0.8), (4.0, 3.8)])
@cases.run_on_virtual_clock
async def test_stream_that_has_begun_waits_for_the_retry_budget(
    timeout_s, after_s
):
    """Guards against a stream that is cut although it could go on soon.

    The share of an entry grows after its start, and callers wait for the event
    timeout of their route after the last event.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("crash", 4)]
        available_at = trio.current_time() + after_s
        harness.context.spend_retry = lambda *_: (
            trio.current_time() >= available_at
        )
        check_complete(await relay(harness, event_timeout_s=timeout_s))


@cases.run_on_virtual_clock
async def test_refusals_leave_retries_for_streams_that_have_begun():
    """Guards against a stream that is cut since others used up the budget.

    Load pattern: an overloaded fleet, which refuses a third of the requests.
    Each refusal leads to a retry until the budget denies it, and a stream whose
    server crashed after some events found none left.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        context = harness.context
        context.make_budget = lambda: budgets.WindowBudget(0.0, 12, 10.0)
        for server in harness.servers.values():
            server.faults = [servers_module.Fault("refuse")] * 50
        for number in range(15):
            await relay(harness, request_id=f"r{number}")
            for server in harness.servers.values():
                context.view.record_acceptance(server.server)
        for server in harness.servers.values():
            server.faults = []
        harness.servers["a0"].faults = [servers_module.Fault("crash", 4)]
        check_complete(await relay(harness))
        assert not harness.servers["a0"].faults


@cases.run_on_virtual_clock
async def test_refusals_before_the_first_event_end_no_stream_that_has_begun():
    """Guards against a stream cut for the refusals that it met before it began.

    Load pattern: an overloaded fleet, which refuses a stream several times. It
    begins, its server crashes seconds later, and the next path refuses.
    """
    refusal = servers_module.Fault("refuse")
    faults = [refusal] * 3 + [servers_module.Fault("crash", 4), refusal]
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(8)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        for server in harness.servers.values():
            # Whichever server is chosen next takes the next fault.
            server.faults = faults
        check_complete(await relay(harness))
        assert not faults


@cases.run_on_virtual_clock
async def test_stream_that_has_begun_returns_to_a_server_that_refused_it():
    """Guards against a stream cut since the only other server was full once.

    Load pattern: a server ends under load, and the next one is full for part of
    a second.
    """
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(2)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:

        async def lose():
            await trio.sleep(0.2)
            (used,) = [n for n in harness.servers if harness.servers[n].runs]
            (other,) = set(harness.servers) - {used}
            harness.servers[other].faults = [servers_module.Fault("refuse")]
            harness.kill(used)

        check_complete(await relay_while(harness, lose))


@cases.run_on_virtual_clock
async def test_server_that_refused_before_the_first_event_is_used_later():
    """Guards against a stream that stays on a silent path beside a free one.

    The free server was full when the stream arrived.
    """
    faults = [servers_module.Fault("refuse")]
    layer_ranges = [(f"s{n}", "a", (0, 20)) for n in range(2)]
    async with gateways.open_harness(
        gateways.make_servers(layer_ranges)
    ) as harness:
        for server in harness.servers.values():
            # The server that is chosen first refuses.
            server.faults = faults

        async def fall_silent():
            await trio.sleep(0.2)
            (used,) = [s for s in harness.servers.values() if s.runs]
            began = trio.current_time()
            await used.fall_silent(60.0)
            assert ended_at < began + gateways.ROUTE.event_timeout_s

        ended_at = None

        async def run():
            nonlocal ended_at
            check_complete(await relay(harness))
            ended_at = trio.current_time()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            nursery.start_soon(fall_silent)
        assert not faults


@cases.run_on_virtual_clock
async def test_idle_connection_of_a_stream_is_dropped_in_time():
    """Guards against a stream sent on a connection that its server is closing.

    It is lost with the connection, and counts as one that may have run.
    """
    async with gateways.open_harness(
        gateways.make_servers([("s0", "a", (0, 20))])
    ) as harness:
        acquire = harness.context.pool.acquire
        reused = []

        async def acquire_recorded(address, *args, **options):
            connection = await acquire(address, *args, **options)
            reused.append(connection.is_reused)
            return connection

        harness.context.pool.acquire = acquire_recorded
        harness.servers["s0"].stated = ((b"Keep-Alive", b"timeout=2"),)
        for wait_s in (0.9, 1.1, 0.0):
            check_complete(await relay(harness))
            await trio.sleep(wait_s)
        assert reused == [False, True, False]


@cases.run_on_virtual_clock
async def test_refused_callers_return_at_different_times():
    """Guards against callers that fill the servers at once again."""
    async with gateways.open_harness([]) as harness:
        values = set()
        for number in range(10):
            recorder = await relay(harness, request_id=f"r{number}")
            headers = {name.lower(): value for name, value in recorder.headers}
            values.add(float(headers[b"retry-after"]))
        assert len(values) == 10
        assert 1.5 <= min(values) < max(values) <= 1.5 * 1.3


@cases.run_on_virtual_clock
async def test_path_begins_with_a_server_whose_limit_allows_it():
    layers = [("a0", "a", (0, 20)), ("spare", "a", (0, 20))]
    async with gateways.open_harness(
        gateways.make_servers(layers), EVENTS
    ) as harness:
        limited = harness.servers["a0"]
        limited.stated = ((b"Server-Limit", b"0.5"),)
        for _ in range(10):
            check_complete(await relay(harness))
            await trio.sleep(0.1)
        assert len(limited.runs) <= 4
        assert len(limited.runs) + len(harness.servers["spare"].runs) == 10


@cases.run_on_virtual_clock
async def test_stream_without_a_limit_in_its_response_ends_the_limit():
    layers = [("a0", "a", (0, 20))]
    async with gateways.open_harness(
        gateways.make_servers(layers), EVENTS
    ) as harness:
        server = harness.servers["a0"]
        for stated, limit_per_s in [
            (((b"Server-Limit", b"50"),), 50.0),
            ((), None),
        ]:
            server.stated = stated
            check_complete(await relay(harness))
            table = harness.context.statements
            assert table.find_limit(server.server) == limit_per_s
            await trio.sleep(0.1)


@cases.run_on_virtual_clock
async def test_log_of_a_run_shows_the_known_and_the_stated_limit():
    """Guards against a limit that ends without a trace of the response."""
    layers = [("a0", "a", (0, 20))]
    async with gateways.open_harness(
        gateways.make_servers(layers), EVENTS
    ) as harness:
        with logbook.TestHandler().applicationbound() as handler:
            for stated in [((b"Server-Limit", b"50"),), ()]:
                harness.servers["a0"].stated = stated
                check_complete(await relay(harness))
                await trio.sleep(0.1)
        fields = [
            record.extra.get(name)
            for record in handler.records
            for message, name in (
                ("request sent on a path", "limit_per_s"),
                ("path ended", "stated_limit_per_s"),
            )
            if record.message == message
        ]
        assert fields == [None, 50.0, 50.0, None]


@cases.run_on_virtual_clock
async def test_limited_server_still_runs_later_stages():
    layers = [("a0", "a", (0, 10)), ("a1", "a", (0, 20))]
    async with gateways.open_harness(
        gateways.make_servers(layers), EVENTS
    ) as harness:
        view = harness.context.view
        path = view.choose_path(
            harness.make_request().service, not_first=frozenset(["a1"])
        )
        assert [stage.server.instance for stage in path] == ["a0", "a1"]


@cases.run_on_virtual_clock
async def test_limit_is_that_of_the_server_that_responds():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES), EVENTS
    ) as harness:
        first, later = await refuse_at_later_server(
            harness, ((b"Server-Limit", b"2"),)
        )
        await relay(harness)
        table = harness.context.statements
        assert table.find_limit(first.server) == 2.0
        assert table.find_limit(later) is None


@pytest.mark.parametrize("attempts", [2, 3])
@cases.run_on_virtual_clock
async def test_error_of_the_next_server_is_no_part_of_a_stream(attempts):
    """Guards against an error's text, or a false end, within a stream."""
    layers = [(name, "a", (0, 20)) for name in ("a0", "a1", "a2")]
    async with gateways.open_harness(
        gateways.make_servers(layers), EVENTS
    ) as harness:
        faults = [
            servers_module.Fault("crash", 3),
            servers_module.Fault("error"),
        ]
        for server in harness.servers.values():
            # The servers share the list, so each fault occurs once.
            server.faults = faults
        request = harness.make_request()
        route = dataclasses.replace(request.route, max_attempts=attempts)
        request = dataclasses.replace(request, route=route)
        recorder = gateways.ResponseRecorder()
        stream = relays.Stream(
            harness.context, harness.prober, request, recorder
        )
        await stream.run()
        assert not faults
        assert servers_module.ERROR_TEXT not in recorder.body
        if attempts == 3:
            check_complete(recorder)
        else:
            assert gateways.read_event_ids(recorder.body) == [1, 2, 3]
            assert not recorder.finished


@cases.run_on_virtual_clock
async def test_streams_move_off_a_server_that_states_that_it_leaves():
    layers = (*LAYER_RANGES, ("a9", "a", (0, 10)))
    async with gateways.open_harness(
        gateways.make_servers(layers), EVENTS
    ) as harness:
        moved = []
        harness.context.view.notify_leaving = moved.append
        for server in harness.servers.values():
            server.stated = ((b"Server-Leaving", b"1"),)
        check_complete(await relay(harness))
        (first,) = [s for s in harness.servers.values() if s.requests]
        assert moved == [first.server.instance]
        for server in harness.servers.values():
            server.stated = ()
        check_complete(await relay(harness))
        assert len(first.requests) == 1


@cases.run_on_virtual_clock
async def test_later_server_that_wants_nothing_for_a_time_is_not_used():
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES), EVENTS
    ) as harness:
        first, later = await refuse_at_later_server(
            harness, ((b"Retry-After", b"9"),)
        )
        check_complete(await relay(harness))
        table = harness.context.statements
        assert table.get_wait_s(first.server) >= 8
        assert table.get_wait_s(later) >= 8
        sent = len(first.requests)
        for _ in range(3):
            check_complete(await relay(harness))
        assert len(first.requests) == sent
        paths = [
            r["x-hop-count"]
            for server in harness.servers.values()
            for r in server.requests[2:]
        ]
        assert not any(str(later.address) in path for path in paths)


@cases.run_on_virtual_clock
async def test_stream_stays_on_a_silent_path_without_a_retry_left():
    """Guards against a stream that is cut while its server is alive."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES), EVENTS
    ) as harness:
        harness.context.make_budget = lambda: budgets.WindowBudget(0, 0, 10.0)
        harness.servers["a0"].faults = [servers_module.Fault("pause", 4)]
        check_complete(await relay(harness))


@pytest.mark.parametrize("sent", [False, True])
@cases.run_on_virtual_clock
async def test_stream_that_was_not_sent_in_time_is_refused_as_not_run(sent):
    """Guards against a caller that must not retry what no server received."""
    async with gateways.open_harness(
        gateways.make_servers([("x", "a", (0, 20))])
    ) as harness:
        server = harness.servers["x"]
        if sent:
            server.faults = [servers_module.Fault("stall", 0)]
        else:
            harness.partition("x")
        recorder = await relay(harness, time_limit_ms=600)
        assert len(server.requests) == sent
        assert recorder.status == (504 if sent else 503)
        assert (b"may-have-run" if sent else b"not-run") in recorder.body


@cases.run_on_virtual_clock
async def test_unsent_stream_is_refused_at_the_answer_limit():
    """Guards against a stream that ends with its entry, without an answer."""
    async with gateways.open_harness(
        gateways.make_servers([("x", "a", (0, 20))])
    ) as harness:
        harness.partition("x")

        async def stop():
            await trio.sleep(0.1)
            harness.context.answer_limit.set(trio.current_time() + 0.2)

        recorder = await relay_while(harness, stop)
        assert recorder.status == 503
        assert b"draining" in recorder.body
        assert b"not-run" in recorder.body
        assert float(dict(recorder.headers)[b"retry-after"]) > 0


@cases.run_on_virtual_clock
async def test_stream_is_not_resumed_shortly_before_the_answer_limit():
    """Guards against a run that the entry cannot await to its first event.

    The caller resumes the stream at another entry.
    """
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("crash", 4)]
        began = trio.current_time()
        limit = harness.context.answer_limit
        limit.set(began + gateways.ROUTE.latency_objective_s + 0.1)
        recorder = await relay(harness)
        assert gateways.read_event_ids(recorder.body) == [1, 2, 3, 4]
        assert not recorder.finished
        assert trio.current_time() - began < 0.4
        assert harness.servers["b0"].requests == []


@cases.run_on_virtual_clock
async def test_silent_stream_is_kept_shortly_before_the_answer_limit():
    """Guards against a run that is given up for one that is never begun."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 4)]
        began = trio.current_time()
        harness.context.answer_limit.set(began + 2)
        recorder = await relay(harness)
        assert not recorder.finished
        assert trio.current_time() - began == pytest.approx(2)
        assert harness.servers["b0"].requests == []


def fill_servers(harness, streams=1000, names=None):
    """Reports streams of another entry on servers, by default on all."""
    names = harness.servers if names is None else names
    harness.context.view.apply_peer_load("other", dict.fromkeys(names, streams))


@cases.run_on_virtual_clock
async def test_new_stream_without_room_is_refused_before_it_is_sent():
    """Guards against sends that full servers reject, at the cost of retries."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        fill_servers(harness)
        began = trio.current_time()
        recorder = await relay(harness)
        assert recorder.status == 503
        assert b"overloaded" in recorder.body
        assert b"not-run" in recorder.body
        headers = dict(recorder.headers)
        assert float(headers[b"retry-after"]) >= contexts.RETRY_AFTER_BUSY_S
        waited_s = trio.current_time() - began
        objective_s = gateways.ROUTE.latency_objective_s
        assert waited_s <= contexts.ROOM_OBJECTIVE_SHARE * objective_s
        assert not any(item.requests for item in harness.servers.values())
        assert harness.context.metrics.get_count("retries") == 0


@cases.run_on_virtual_clock
async def test_new_stream_is_sent_when_servers_have_room_again():
    """Guards against a refusal just before a place becomes free."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.context.view.notify_load = harness.context.offer_room
        fill_servers(harness)

        async def free():
            await trio.sleep(0.05)
            fill_servers(harness, 0)

        check_complete(await relay_while(harness, free))


@cases.run_on_virtual_clock
async def test_stream_that_has_begun_continues_on_full_servers():
    """Guards against streams that are cut to make room for new ones."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("crash", 4)]

        async def fill():
            await trio.sleep(0.1)
            fill_servers(harness)

        check_complete(await relay_while(harness, fill))


@cases.run_on_virtual_clock
async def test_stream_that_its_caller_resumes_is_sent_to_full_servers():
    """Guards against refusals of streams of which callers have a part."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        fill_servers(harness)
        check_complete(await relay(harness, last_event_id=4), after=4)


@cases.run_on_virtual_clock
async def test_silent_stream_without_an_event_gets_no_full_second_path():
    """Guards against second runs that double the load of full servers."""
    async with gateways.open_harness(
        gateways.make_servers(LAYER_RANGES)
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("pause", 0)]

        async def fill():
            await trio.sleep(0.1)
            fill_servers(harness, names=["b0", "b1"])

        check_complete(await relay_while(harness, fill))
        assert not harness.servers["b0"].requests


@cases.run_on_virtual_clock
async def test_error_response_that_does_not_fit_is_no_internal_error():
    """Guards against an internal error for want of the memory of callers."""
    async with gateways.open_harness(
        gateways.make_servers([("a0", "a", (0, 20))]), EVENTS
    ) as harness:
        harness.servers["a0"].faults = [servers_module.Fault("error")]
        request = dataclasses.replace(
            harness.make_request(max_attempts=1), hold=lambda _: False
        )
        recorder = gateways.ResponseRecorder()
        stream = relays.Stream(
            harness.context, harness.prober, request, recorder
        )
        await stream.run()
        assert recorder.status == 502
        assert "internal_errors" not in harness.context.metrics.render()
