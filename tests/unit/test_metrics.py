"""Tests of process.metrics."""

import contextlib
import socket

from peridotyard_core import addresses
from peridotyard_core import settings
from peridotyard_daemon.process import metrics
import trio

from tests.support import virtual_clock


class Recorder:
    """A statsd client that records what each flush sends."""

    def __init__(self):
        self.flushes = []

    @contextlib.contextmanager
    def pipeline(self):
        self.flushes.append([])
        yield self

    def incr(self, name, count):
        self.flushes[-1].append((name, count))

    def gauge(self, name, value):
        self.flushes[-1].append((name, value))


def test_counters_are_sent_once_an_interval():
    """Guards against counts sent twice, or one packet per request."""

    async def check():
        client = Recorder()
        item = metrics.Metrics(client, 2.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(item.run)
            for _ in range(1000):
                item.increment("requests")
            item.set_gauge("streams", 7)
            assert item.get_count("requests") == 1000
            await trio.sleep(2.5)
            assert client.flushes == [[("requests", 1000), ("streams", 7)]]
            assert item.get_count("requests") == 0
            item.increment("requests", 2)
            await trio.sleep(2)
            assert client.flushes[1:] == [[("requests", 2), ("streams", 7)]]
            nursery.cancel_scope.cancel()

    virtual_clock.run(check)


def test_without_statsd_nothing_is_sent():
    """Guards against a process that cannot run without a statsd server."""

    async def check():
        item = metrics.Metrics(None, 1.0)
        item.increment("requests")
        await item.run()
        assert item.get_count("requests") == 1

    virtual_clock.run(check)


def test_durations_go_to_their_histogram():
    """Guards against workspaces that share a histogram."""
    item = metrics.Metrics(None, 1.0)
    item.record("first_token", "north", "high", 0.25)
    item.record("first_token", "south", "high", 0.5)
    got = {s.key.workspace: s.max_ms for s in item.histograms.summarize()}
    assert abs(got["north"] - 250) <= 3
    assert abs(got["south"] - 500) <= 5


def test_statsd_packet_has_the_instance_as_prefix():
    """Guards against metrics of two instances that overwrite each other."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        values = settings.ProcessSettings(
            instance="entry-1",
            zone="north",
            log_level="info",
            log_format="text",
            debug=(),
            statsd=addresses.Address(*server.getsockname()),
            metrics_interval_s=1.0,
        )

        async def check():
            item = metrics.Metrics.from_config(values)
            item.increment("requests", 3)
            with trio.move_on_after(1.5):
                await item.run()

        virtual_clock.run(check)
        assert server.recv(1024) == b"peridotyard.entry-1.requests:3|c"
