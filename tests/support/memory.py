"""An in-memory network with latency and faults."""

import collections

from peridotyard_core import addresses
import trio
import trio.testing


class MemoryStream(trio.abc.Stream):
    """One end of an in-memory connection.

    Attributes:
        peer_stream: The other end.
    """

    def __init__(self, network, owner: str, peer: str):
        self._network = network
        self._owner = owner
        self._peer = peer
        self._arrivals = collections.deque()
        self._arrived = trio.Event()
        self._last_arrival = 0.0
        self._closed = False
        self._broken = False
        self.peer_stream: "MemoryStream" = None

    async def send_all(self, data) -> None:
        """Delivers the data after the latency of the link, or drops it."""
        await trio.lowlevel.checkpoint()
        if self._closed:
            raise trio.ClosedResourceError
        if self._broken:
            raise trio.BrokenResourceError
        self._network.sent_bytes[self._owner] += len(data)
        if self._network.is_partitioned(self._owner, self._peer):
            return
        self.peer_stream._deliver(
            bytes(data), self._network.find_latency(self._owner, self._peer)
        )

    async def wait_send_all_might_not_block(self) -> None:
        """Never blocks."""
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes=None) -> bytes:
        """Returns received data, or no bytes at the end of the stream."""
        while True:
            await trio.lowlevel.checkpoint()
            if self._closed:
                raise trio.ClosedResourceError
            if self._broken:
                raise trio.BrokenResourceError
            while self._arrivals:
                at, data = self._arrivals[0]
                delay = at - trio.current_time()
                if delay > 0:
                    with trio.move_on_after(delay):
                        await self._arrived.wait()
                        self._arrived = trio.Event()
                    break
                self._arrivals.popleft()
                return data
            else:
                await self._arrived.wait()
                self._arrived = trio.Event()

    async def aclose(self) -> None:
        """Closes both directions; the peer sees the end of the stream."""
        self.close()
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """Ends the sending half; the peer sees the end of the stream."""
        self.peer_stream._deliver(
            b"", self._network.find_latency(self._owner, self._peer)
        )
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Closes the connection at once."""
        if not self._closed:
            self._closed = True
            self._arrived.set()
            self._network.streams.discard(self)
            if not self._network.is_partitioned(self._owner, self._peer):
                self.peer_stream._deliver(
                    b"", self._network.find_latency(self._owner, self._peer)
                )

    def reset(self) -> None:
        """Fails this end, as a connection reset does."""
        self._broken = True
        self._arrived.set()

    @property
    def hosts(self) -> frozenset[str]:
        """The two hosts of the connection."""
        return frozenset((self._owner, self._peer))

    def _deliver(self, data: bytes, latency_s: float) -> None:
        at = max(self._last_arrival, trio.current_time() + latency_s)
        self._last_arrival = at
        self._arrivals.append((at, data))
        self._arrived.set()


class MemoryNetwork:
    """The network of all hosts of a test; an address as text names a host.

    A process uses the `HostNetwork` that `join` returns, so that connections
    know the host that opened them.
    """

    def __init__(self, latency_s: float = 0.0005):
        self._latency_s = latency_s
        self._latencies = {}
        self._handlers = {}
        self._partitions = set()
        self.streams = set()
        self.sent_bytes = collections.Counter()

    def join(self, host: str) -> "HostNetwork":
        """Returns the network as seen by a host."""
        return HostNetwork(self, host)

    def set_latency(self, first: str, second: str, latency_s: float) -> None:
        """Sets the one-way latency between two hosts."""
        self._latencies[frozenset((first, second))] = latency_s

    def find_latency(self, first: str, second: str) -> float:
        """Returns the one-way latency in seconds."""
        key = frozenset((first, second))
        return self._latencies.get(key, self._latency_s)

    def partition(self, first: str, second: str) -> None:
        """Drops all data between two hosts; connections stay open."""
        self._partitions.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """Undoes `partition` for later data; dropped data stays lost."""
        self._partitions.discard(frozenset((first, second)))

    def is_partitioned(self, first: str, second: str) -> bool:
        """Returns whether data between the hosts is dropped."""
        return frozenset((first, second)) in self._partitions

    def reset(self, host: str) -> None:
        """Resets all connections of a host, as its crash does."""
        for stream in list(self.streams):
            if host in stream.hosts:
                stream.reset()
                self.streams.discard(stream)

    def stop_serving(self, host: str) -> None:
        """Refuses new connections to a host."""
        self._handlers.pop(host, None)


class HostNetwork:
    """The network of one host; see `network.Network`."""

    def __init__(self, network: MemoryNetwork, host: str):
        self._network = network
        self._host = host

    async def dial(self, address: addresses.Address) -> MemoryStream:
        """Opens a connection."""
        target = str(address)
        await trio.sleep(2 * self._network.find_latency(self._host, target))
        if self._network.is_partitioned(self._host, target):
            await trio.sleep_forever()
        if target not in self._network._handlers:
            raise ConnectionRefusedError(target)
        local_end = MemoryStream(self._network, self._host, target)
        remote_end = MemoryStream(self._network, target, self._host)
        local_end.peer_stream, remote_end.peer_stream = remote_end, local_end
        self._network.streams |= {local_end, remote_end}
        nursery, handler = self._network._handlers[target]
        nursery.start_soon(handler, remote_end)
        return local_end

    async def serve(
        self, address, handler, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts connections until it is cancelled."""
        async with trio.open_nursery() as nursery:
            self._network._handlers[str(address)] = (nursery, handler)
            try:
                task_status.started()
                await trio.sleep_forever()
            finally:
                self._network._handlers.pop(str(address), None)
