"""Tests of peridotyard_daemon.process.probes."""

import collections
import contextlib
import random

from peridotyard_daemon.process import probes
import pytest
import trio
import trio.testing

from tests.support import cases
from tests.support import gateways

SERVER_LAYERS = [(f"s{n}", "a", (2 * n, 2 * n + 2)) for n in range(10)]


def list_servers(harness):
    return list(harness.context.view.servers.values())


def delay_reports(harness, names, delay_s):
    """Delays the reports; returns the numbers of concurrent ones seen.

    Args:
        harness: The harness.
        names: Instances of the servers.
        delay_s: The delay, or a function that returns the next one; seconds.
    """
    draw_delay_s = delay_s if callable(delay_s) else lambda: delay_s
    seen = []
    running = collections.Counter()

    def delay(stand_in, send):
        async def report(responder):
            running[stand_in] += 1
            seen.append(running[stand_in])
            try:
                await trio.sleep(draw_delay_s())
                await send(responder)
            finally:
                running[stand_in] -= 1

        return report

    for name in names:
        stand_in = harness.servers[name]
        stand_in._send_report = delay(stand_in, stand_in._send_report)
    return seen


def record_suspicions(harness):
    """Returns a list that receives begin and end of each suspicion, by name."""
    view = harness.context.view
    began = {}
    ended = []

    def begin(server):
        began.setdefault(server.instance, trio.current_time())

    def end(server):
        at = began.pop(server.instance)
        ended.append((server.instance, at, trio.current_time()))

    view.notify_suspect, view.notify_cleared = begin, end
    return ended


@contextlib.asynccontextmanager
async def open_running_harness(server_layers=SERVER_LAYERS):
    """Yields a harness whose prober runs."""
    async with gateways.open_harness(
        gateways.make_servers(server_layers)
    ) as harness:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.prober.run)
            await trio.testing.wait_all_tasks_blocked()
            yield harness
            nursery.cancel_scope.cancel()


@cases.run_on_virtual_clock
async def test_unresponsive_servers_are_found_and_others_are_not():
    async with gateways.open_harness(
        gateways.make_servers(SERVER_LAYERS)
    ) as harness:
        harness.kill("s3")
        harness.partition("s7")
        unresponsive = await harness.prober.find_unresponsive(
            list_servers(harness)
        )
        assert unresponsive == {"s3", "s7"}


@cases.run_on_virtual_clock
async def test_unresponsive_server_is_found_within_the_probe_timeout():
    async with gateways.open_harness(
        gateways.make_servers(SERVER_LAYERS)
    ) as harness:
        harness.partition("s7")
        began = trio.current_time()
        await harness.prober.find_unresponsive(list_servers(harness))
        assert trio.current_time() - began < 0.06


@cases.run_on_virtual_clock
async def test_most_probes_failing_once_suspects_no_server():
    # Guards against live servers that a slow entry suspects: nine of them were
    # suspected at the same time.
    async with gateways.open_harness(
        gateways.make_servers(SERVER_LAYERS)
    ) as harness:
        for number in range(9):
            harness.partition(f"s{number}")

        async def heal():
            await trio.sleep(0.045)
            for item in harness.servers.values():
                harness.network.heal(gateways.HOST, str(item.server.address))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(heal)
            unresponsive = await harness.prober.find_unresponsive(
                list_servers(harness)
            )
        assert unresponsive == frozenset()


@cases.run_on_virtual_clock
async def test_live_server_is_not_probed_for_each_stream():
    async with gateways.open_harness(
        gateways.make_servers(SERVER_LAYERS)
    ) as harness:
        servers = list_servers(harness)
        async with trio.open_nursery() as nursery:
            for _ in range(20):
                nursery.start_soon(harness.prober.find_unresponsive, servers)
        assert harness.context.metrics.get_count("probes") == len(servers)


@cases.run_on_virtual_clock
async def test_suspected_server_is_probed_until_it_responds():
    async with gateways.open_harness(
        gateways.make_servers(SERVER_LAYERS)
    ) as harness:
        harness.partition("s7")
        await harness.prober.find_unresponsive(list_servers(harness))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.prober.run)
            await trio.sleep(6)
            server = harness.context.view.servers["s7"]
            assert harness.context.view.is_suspected(server)
            harness.network.heal(gateways.HOST, str(server.address))
            await trio.sleep(1)
            assert not harness.context.view.is_suspected(server)
            nursery.cancel_scope.cancel()


def set_latency(harness, latency_s):
    for item in harness.servers.values():
        address = str(item.server.address)
        harness.network.set_latency(gateways.HOST, address, latency_s)


@cases.run_on_virtual_clock
async def test_busy_process_suspects_no_live_server():
    # Guards against live servers that a busy entry suspects. With a third of a
    # core, the probes of a path took longer than their timeout, and each
    # suspicion made all other entries probe: 1330 suspicions within seconds.
    async with gateways.open_harness(
        gateways.make_servers(SERVER_LAYERS)
    ) as harness:
        servers = list_servers(harness)
        set_latency(harness, 0.01)
        for _ in range(20):
            assert (
                await harness.prober.find_unresponsive(servers) == frozenset()
            )
            await trio.sleep(1)
        set_latency(harness, 0.02)
        assert await harness.prober.find_unresponsive(servers) == frozenset()
        harness.kill("s3")
        harness.partition("s7")
        await trio.sleep(1)
        assert await harness.prober.find_unresponsive(servers) == {"s3", "s7"}


@cases.run_on_virtual_clock
async def test_partitioned_entry_limits_its_probes():
    # Guards against probes that use up the processor of a partitioned entry:
    # probes of 59 servers took half the processor time of a slow one.
    server_layers = [(f"s{n}", "a", (n, n + 1)) for n in range(40)]
    async with gateways.open_harness(
        gateways.make_servers(server_layers)
    ) as harness:
        async with trio.open_nursery() as nursery:
            for name in harness.servers:
                harness.partition(name)
            unresponsive = await harness.prober.find_unresponsive(
                list_servers(harness)
            )
            assert len(unresponsive) == 40
            nursery.start_soon(harness.prober.run)
            before = harness.context.metrics.get_count("probes")
            await trio.sleep(3)
            assert (
                harness.context.metrics.get_count("probes") - before
                <= 8 * 2 * 8
            )
            for item in harness.servers.values():
                harness.network.heal(gateways.HOST, str(item.server.address))
            await trio.sleep(0.7)
            assert harness.context.view.list_suspects() == []
            nursery.cancel_scope.cancel()


@cases.run_on_virtual_clock
async def test_servers_suspected_by_other_entries_are_probed_together():
    # Guards against suspected servers that are probed one by one, since then no
    # failed probe looks like a fault of this process.
    async with gateways.open_harness(
        gateways.make_servers(SERVER_LAYERS)
    ) as harness:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.prober.run)
            await trio.sleep(0.05)
            set_latency(harness, 0.02)
            for _ in range(3):
                for server in list_servers(harness):
                    harness.prober.request_probe(server)
            await trio.sleep(0.07)
            set_latency(harness, 0.0005)
            await trio.sleep(0.2)
            assert harness.context.view.list_suspects() == []
            assert harness.context.metrics.get_count("probes") <= 2 * len(
                SERVER_LAYERS
            )
            nursery.cancel_scope.cancel()


@cases.run_on_virtual_clock
async def test_late_response_to_a_probe_is_counted():
    # Guards against probes that end at their timeout: a response just after it
    # and a server that has failed looked alike.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], 0.08)
        servers = [harness.context.view.servers["s3"]]
        await harness.prober.find_unresponsive(servers)
        assert harness.context.metrics.get_count("late_probe_responses") == 0
        await trio.sleep(0.1)
        assert harness.context.metrics.get_count("late_probe_responses") == 1


@cases.run_on_virtual_clock
async def test_probe_whose_caller_leaves_is_not_awaited():
    # Guards against responses in time that are logged as late ones.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], 0.04)
        with trio.move_on_after(0.02):
            await harness.prober.find_unresponsive(list_servers(harness))
        await trio.sleep(0.1)
        assert harness.context.metrics.get_count("late_probe_responses") == 0


@cases.run_on_virtual_clock
async def test_server_has_one_late_probe_beside_a_timely_one():
    # Guards against probes that add up on an overloaded server.
    async with open_running_harness() as harness:
        seen = delay_reports(harness, ["s3"], 1.0)
        servers = [harness.context.view.servers["s3"]]
        for _ in range(10):
            await harness.prober.find_unresponsive(servers)
        assert max(seen) == 2


@cases.run_on_virtual_clock
async def test_late_probes_do_not_delay_the_probes_of_other_servers():
    # Guards against late probes that use up the concurrent ones.
    async with open_running_harness() as harness:
        names = [name for name, _, _ in SERVER_LAYERS]
        delay_reports(harness, names[:8], 1.0)
        harness.partition("s8")
        view = harness.context.view
        await harness.prober.find_unresponsive(
            view.servers[name] for name in names[:8]
        )
        began = trio.current_time()
        await harness.prober.find_unresponsive([view.servers["s8"]])
        assert view.is_suspected(view.servers["s8"])
        assert trio.current_time() - began < 0.06


@cases.run_on_virtual_clock
async def test_late_probes_are_limited_and_end_with_the_prober():
    # Guards against connections without bound while many servers are silent.
    count = probes.MAX_LATE_PROBES + 10
    layers = [(f"s{n}", "a", (n, n + 1)) for n in range(count)]
    async with open_running_harness(layers) as harness:
        running = delay_reports(harness, harness.servers, 5.0)
        await harness.prober.find_unresponsive(list_servers(harness))
        assert len(harness.prober._late) == probes.MAX_LATE_PROBES
        assert max(running) <= 2
    assert not harness.prober._late


async def probe_for(harness, duration_s):
    """Probes all servers twice a second, as silent streams do."""
    until = trio.current_time() + duration_s
    while trio.current_time() < until:
        await harness.prober.find_unresponsive(list_servers(harness))
        await trio.sleep(0.5)


ALL_NAMES = [name for name, _, _ in SERVER_LAYERS]


@pytest.mark.parametrize("delay_s", [0.06, 0.08, 0.25, 0.4])
@pytest.mark.parametrize("names", [["s3"], ALL_NAMES], ids=["one", "all"])
@cases.run_on_virtual_clock
async def test_slow_servers_are_not_taken_for_unresponsive_ones(names, delay_s):
    # Guards against sound servers that stay suspected, though they respond to
    # each probe, because they are overloaded: their streams were cut.
    async with open_running_harness() as harness:
        delay_reports(harness, names, delay_s)
        suspicions = record_suspicions(harness)
        await probe_for(harness, 30)
        view = harness.context.view
        assert view.list_suspects() == []
        counts = collections.Counter(name for name, _, _ in suspicions)
        assert max(counts.values(), default=0) <= 1
        for _, began, ended in suspicions:
            assert ended - began <= delay_s


@cases.run_on_virtual_clock
async def test_servers_with_varying_response_times_are_seldom_suspected():
    # Guards against a timeout that follows only the responses in time, or the
    # mean of all: half of the slow ones would come after it.
    async with open_running_harness() as harness:
        source = random.Random(1)
        delay_reports(harness, ALL_NAMES, lambda: source.uniform(0.06, 0.4))
        suspicions = record_suspicions(harness)
        await probe_for(harness, 30)
        assert harness.context.view.list_suspects() == []
        assert harness.context.metrics.get_count("probes") >= 300
        assert len(suspicions) <= 0.1 * 300


@cases.run_on_virtual_clock
async def test_late_response_clears_a_suspicion_at_once():
    # Guards against suspicions that last until the next round of probes.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], 0.08)
        server = harness.context.view.servers["s3"]
        began = trio.current_time()
        assert await harness.prober.find_unresponsive([server]) == {"s3"}
        await trio.sleep_until(began + 0.09)
        assert not harness.context.view.is_suspected(server)
        assert harness.context.metrics.get_count("probes") == 1


@cases.run_on_virtual_clock
async def test_slow_server_that_fails_is_found_within_half_a_second():
    # Guards against a timeout without bound: streams need time to go on
    # elsewhere.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], 1.5)
        server = harness.context.view.servers["s3"]
        await harness.prober.find_unresponsive([server])
        await trio.sleep(2)
        assert not harness.context.view.is_suspected(server)
        harness.partition("s3")
        began = trio.current_time()
        assert await harness.prober.find_unresponsive([server]) == {"s3"}
        assert 0.45 < trio.current_time() - began < 0.51


@cases.run_on_virtual_clock
async def test_timeout_of_a_server_that_was_slow_decreases():
    # Guards against a failed server that is noticed late for good.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], 0.4)
        server = harness.context.view.servers["s3"]
        await harness.prober.find_unresponsive([server])
        await trio.sleep(60)
        harness.partition("s3")
        began = trio.current_time()
        assert await harness.prober.find_unresponsive([server]) == {"s3"}
        assert trio.current_time() - began < 0.06


@cases.run_on_virtual_clock
async def test_one_slow_server_does_not_delay_the_detection_of_others():
    # Guards against a slow server that is taken for a slow process: probes of
    # failed servers would be repeated with a longer timeout.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], 0.4)
        await probe_for(harness, 20)
        harness.partition("s7")
        began = trio.current_time()
        servers = [harness.context.view.servers["s7"]]
        assert await harness.prober.find_unresponsive(servers) == {"s7"}
        assert trio.current_time() - began < 0.06


@pytest.mark.parametrize("delay_s", [0.03, 0.2])
@pytest.mark.parametrize("pause_at_s", [0.01, 0.1])
@cases.run_on_virtual_clock
async def test_pause_of_this_process_does_not_change_a_timeout(
    delay_s, pause_at_s
):
    # Guards against response times that include a pause of this process.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], delay_s)
        server = harness.context.view.servers["s3"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.prober.find_unresponsive, [server])
            await trio.sleep(pause_at_s)
            trio.lowlevel.current_clock().jump(1.0)
            await trio.sleep(3)
        assert not harness.context.view.is_suspected(server)
        limit_s = max(probes.PROBE_TIMEOUT_S, 1.25 * (delay_s + 0.01))
        assert harness.prober._get_timeout_s(server) <= limit_s


@cases.run_on_virtual_clock
async def test_refused_connection_outweighs_a_late_response():
    # Guards against a server that has ended and is used again.
    async with open_running_harness() as harness:
        delay_reports(harness, ["s3"], 0.2)
        server = harness.context.view.servers["s3"]
        await harness.prober.find_unresponsive([server])
        harness.network.stop_serving(str(server.address))
        await harness.prober.find_unresponsive([server])
        await trio.sleep(0.25)
        assert harness.context.metrics.get_count("late_probe_responses") == 1
        assert harness.context.view.has_ended(server)


@cases.run_on_virtual_clock
async def test_server_that_sends_anything_else_is_not_suspected():
    # Guards against servers that are suspected while their events arrive.
    async with open_running_harness() as harness:
        view, pool = harness.context.view, harness.context.pool
        delay_reports(harness, ["s0", "s1"], 5.0)
        stand_in = harness.servers["s0"]
        stand_in.events = 100
        connection = await pool.acquire(stand_in.server.address)
        headers = [(b"X-Attempt-Id", b"r1"), (b"X-Hop-Count", b"")]
        await connection.send("POST", "/chat/x", headers, b"{}")
        async with trio.open_nursery() as nursery:
            await connection.receive()
            nursery.start_soon(connection.receive_body, 1 << 20)
            await trio.sleep(0.2)
            servers = [view.servers["s0"], view.servers["s1"]]
            assert await harness.prober.find_unresponsive(servers) == {"s1"}
            await trio.sleep(1)
            assert not view.is_suspected(servers[0])
            nursery.cancel_scope.cancel()


@pytest.mark.parametrize("slow", [[], ["s5"], ["s1", "s7"]])
@cases.run_on_virtual_clock
async def test_path_whose_first_server_is_silent_waits_for_all_probes(slow):
    """Guards against an order to a silent server, which waits for 0.3 s."""
    async with open_running_harness() as harness:
        delay_reports(harness, slow, 0.045)
        harness.kill("s3")
        harness.partition("s0")
        servers = list_servers(harness)
        assert await harness.prober.find_failed(servers) == {"s0", "s3"}


@cases.run_on_virtual_clock
async def test_ended_server_of_a_path_is_found_before_slower_probes_end():
    """Guards against a repair that waits for a slow server of the path."""
    async with open_running_harness() as harness:
        delay_reports(harness, ["s1", "s7"], 0.045)
        harness.kill("s3")
        began = trio.current_time()
        servers = list_servers(harness)
        assert await harness.prober.find_failed(servers) == {"s3"}
        assert trio.current_time() - began < 0.01


@cases.run_on_virtual_clock
async def test_probes_that_a_stream_left_early_find_silent_servers():
    """Guards against silent servers that are missed beside an ended one."""
    async with open_running_harness() as harness:
        harness.kill("s3")
        harness.partition("s7")
        servers = list_servers(harness)
        assert await harness.prober.find_failed(servers) == {"s3"}
        await trio.sleep(0.06)
        view = harness.context.view
        assert view.is_suspected(view.servers["s7"])


@cases.run_on_virtual_clock
async def test_stream_does_not_wait_for_a_prober_that_has_ended():
    """Guards against a stream that hangs when the prober starts again."""
    async with open_running_harness() as harness:
        delay_reports(harness, ["s1"], 0.045)
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                harness.prober.find_failed, list_servers(harness)
            )
            await trio.sleep(0.01)
            harness.prober._nursery.cancel_scope.cancel()
        assert trio.current_time() - began < 0.03


@cases.run_on_virtual_clock
async def test_early_checks_with_little_credit_reach_all_servers():
    """Guards against a lost server that is never checked, as it comes last."""
    async with open_running_harness() as harness:
        prober = harness.prober
        while prober.credit.try_spend():
            pass
        harness.kill("s9")
        for _ in range(len(SERVER_LAYERS)):
            prober.credit.refund()
            prober.check_early(list_servers(harness))
            await trio.sleep(0.2)
        assert harness.context.view.has_ended(list_servers(harness)[9])
        count = harness.context.metrics.get_count
        assert count("early_checks") == len(SERVER_LAYERS)
        assert count("early_checks_refused") == 1


@cases.run_on_virtual_clock
async def test_early_check_suspects_no_silent_server():
    """Guards against sound servers that are given up on weak evidence."""
    async with open_running_harness() as harness:
        harness.partition("s3")
        harness.prober.check_early(list_servers(harness))
        await trio.sleep(0.2)
        assert harness.context.view.list_suspects() == []


@cases.run_on_virtual_clock
async def test_streams_share_the_early_checks_of_a_server():
    """Guards against a connection for each stream of a slow server."""
    async with open_running_harness() as harness:
        for _ in range(20):
            harness.prober.check_early(list_servers(harness))
            await trio.sleep(0.0005)
        checks = harness.context.metrics.get_count("early_checks")
        assert checks == len(SERVER_LAYERS)
