"""Measures the cost of idle connections between processes.

Both ends run in this process over loopback TCP, so one end costs half of the
measured processor time and memory.
"""

import os
import resource
import time

from peridotyard_core import addresses
from peridotyard_daemon.connection import peers
from peridotyard_daemon.process import network
from peridotyard_daemon.wire.generated import ttypes
import trio

COUNTS = (0, 50, 100, 200)
DURATION_S = 5.0
TIMING = peers.Timing(heartbeat_s=0.2, misses=3, dial_s=5.0)
# Headers of IPv4 and TCP with timestamps, for each segment.
SEGMENT_HEADER_BYTES = 52


class IdleHandler:
    """A handler that ignores all events."""

    def __init__(self, name: str):
        self._name = name

    def make_hello(self):
        """Returns a hello without a listening address."""
        return ttypes.Hello(
            instance=self._name, protocol=peers.PROTOCOL_VERSION
        )

    def make_heartbeat(self):
        """Returns an empty heartbeat."""
        return ttypes.Heartbeat(revision=1)

    def handle_connected(self, connection):
        """Ignores the event."""

    def handle_frame(self, connection, frame):
        """Ignores the event."""

    def handle_closed(self, connection, reason):
        """Ignores the event."""


class CountingNetwork(network.TcpNetwork):
    """Counts the writes and bytes of the dialing side."""

    def __init__(self):
        self.writes = 0
        self.sent_bytes = 0

    async def dial(self, address):
        """Opens a connection whose writes are counted."""
        stream = await super().dial(address)
        send_all = stream.send_all

        async def count(data):
            self.writes += 1
            self.sent_bytes += len(data)
            await send_all(data)

        stream.send_all = count
        return stream


def read_resident_bytes() -> int:
    """Returns the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


async def measure(count: int) -> tuple[float, float, int]:
    """Measures `count` idle connections.

    Returns:
        Processor time of both ends as a fraction of one core, bytes per second
        that the dialing ends send, and resident memory of the process in bytes.
    """
    counting = CountingNetwork()
    async with trio.open_nursery() as nursery:
        server = peers.Peers(
            network.TcpNetwork(), IdleHandler("server"), TIMING
        )
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, server._accept, listeners)
        await nursery.start(server.run, None)
        address = addresses.Address("127.0.0.1", port)
        for number in range(count):
            client = peers.Peers(
                counting, IdleHandler(f"client-{number}"), TIMING
            )
            await nursery.start(client.run, None)
            await client.connect(address)
        await trio.sleep(0.5)
        before = counting.writes, counting.sent_bytes
        started, cpu = time.monotonic(), time.process_time()
        await trio.sleep(DURATION_S)
        elapsed = time.monotonic() - started
        core = (time.process_time() - cpu) / elapsed
        writes = counting.writes - before[0]
        sent = counting.sent_bytes - before[1]
        on_wire = (sent + writes * SEGMENT_HEADER_BYTES) / elapsed
        memory = read_resident_bytes()
        nursery.cancel_scope.cancel()
    return core, on_wire, memory


def main() -> None:
    """Prints the table, and the cost of one more connection for one end."""
    print(f"Idle connections, {os.cpu_count()} cores, {DURATION_S:g} s each")
    print()
    print("| connections | core, one end | bytes/s sent, one end | memory MB |")
    print("| --- | --- | --- | --- |")
    rows = []
    for count in COUNTS:
        core, sent, memory = trio.run(measure, count)
        rows.append((count, core / 2, sent, memory))
        print(f"| {count} | {core / 2:.4f} | {sent:.0f} | {memory / 1e6:.1f} |")
    first, last = rows[0], rows[-1]
    added = last[0] - first[0]
    print()
    print(
        f"For one connection and end: {(last[1] - first[1]) / added:.6f} core,"
        f" {last[2] / added:.1f} bytes/s,"
        f" {(last[3] - first[3]) / added / 2 / 1024:.1f} KiB"
    )


if __name__ == "__main__":
    main()
