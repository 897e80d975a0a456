"""Measures the processor time per token in sidecars.

Two sidecars run as processes and form a chain; their engines and the entry run
in this process. Usage: python bench/sidecar.py [SECONDS]
"""

import argparse
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile

from peridotyard_core import addresses
from peridotyard_core import options
from peridotyard_daemon.connection import peers
from peridotyard_daemon.process import network
from peridotyard_daemon.wire.generated import ttypes
from peridotyard_emulator import engine
import trio

STREAMS = (0, 1, 10, 100)
WARM_UP_S = 1.0
PROMPT = list(b"a prompt of a usual kind")
COMMAND = (
    "import sys; from peridotyard_daemon import main; sys.exit(main.main())"
)
SETTINGS = """\
[process]
instance = s{index}
zone = z
[listen]
peers = {address}
[backend]
address = {backend}
kind = model
concurrency = 1000
[logs]
level = warning
"""


class Entry:
    """An entry that opens a new stream whenever one has finished."""

    def __init__(self, address, chain):
        self.address = address
        self.chain = chain
        self.tokens = 0
        self.next_stream = 1
        self.opened = {}
        self.failures = 0
        self.peers = peers.Peers(
            network.TcpNetwork(), self, peers.Timing(0.2, 3, 0.5)
        )

    def make_hello(self):
        """Returns the first message for a sidecar."""
        return ttypes.Hello(
            "bench", role="entry", address=str(self.address), protocol=1
        )

    def make_heartbeat(self):
        """Returns a heartbeat."""
        return ttypes.Heartbeat()

    def handle_connected(self, connection):
        """Ignores the event; streams are opened by `open`."""

    def handle_closed(self, connection, reason):
        """Ignores the event; failures are counted per stream."""

    def handle_frame(self, connection, frame):
        """Counts tokens; starts a stream once all stages have accepted it."""
        if frame.token_batch is not None:
            self.tokens += len(frame.token_batch.tokens)
            for token in frame.token_batch.tokens:
                if token.finish:
                    self.close(token.stream)
                    self.open()
        elif frame.stream_opened is not None:
            stream = frame.stream_opened.stream
            self.opened[stream] = self.opened.get(stream, 0) + 1
            if self.opened[stream] == len(self.chain):
                step = ttypes.Step(stream, 1, 0, len(PROMPT), PROMPT, b"")
                self.post(0, step_batch=ttypes.StepBatch([step]))
        elif frame.stream_failed or frame.stream_refused:
            self.failures += 1

    def post(self, index, **field):
        """Sends a frame to one stage."""
        connection = self.peers.find(self.chain[index].address)
        connection.post(ttypes.Frame(**field))

    def open(self):
        """Opens one more stream on all stages."""
        for index in range(len(self.chain)):
            request = ttypes.StreamOpen(
                self.next_stream,
                1,
                self.chain,
                index,
                model="m",
                version="1",
                max_tokens=1 << 30,
                prompt_tokens=len(PROMPT),
                seed=self.next_stream,
            )
            self.post(index, stream_open=request)
        self.next_stream += 1

    def close(self, stream):
        """Closes a stream on all stages."""
        del self.opened[stream]
        for index in range(len(self.chain)):
            self.post(index, stream_close=ttypes.StreamClose(stream, 1))


def find_free_address():
    with socket.socket() as item:
        item.bind(("127.0.0.1", 0))
        return addresses.Address("127.0.0.1", item.getsockname()[1])


def read_cpu_s(process):
    text = pathlib.Path(f"/proc/{process.pid}/schedstat").read_text()
    return int(text.split()[0]) / 1e9


def read_memory_mb(process):
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (line,) = [part for part in text.splitlines() if part.startswith("VmRSS")]
    return int(line.split()[1]) / 1024


async def measure(entry, processes, count, duration_s):
    for _ in range(count):
        entry.open()
    await trio.sleep(WARM_UP_S)
    tokens, before = entry.tokens, [read_cpu_s(item) for item in processes]
    started = trio.current_time()
    await trio.sleep(duration_s)
    duration_s = trio.current_time() - started
    tokens = entry.tokens - tokens
    used = [
        read_cpu_s(item) - cpu_s
        for item, cpu_s in zip(processes, before, strict=True)
    ]
    for stream in list(entry.opened):
        entry.close(stream)
    await trio.sleep(0.2)
    shares = [f"{100 * cpu_s / duration_s:7.1f}%" for cpu_s in used]
    costs = [
        f"{1e6 * cpu_s / tokens:8.1f}" if tokens else "-" for cpu_s in used
    ]
    memory = " ".join(f"{read_memory_mb(item):5.1f}" for item in processes)
    print(
        f"{count:7} {tokens / duration_s:9.0f} {costs[0]:>9} {costs[1]:>9}"
        f" {shares[0]:>9} {shares[1]:>9}   {memory}"
    )


async def run(folder, duration_s):
    defaults = {
        name: option.default
        for name, option in options.list_options(engine.Settings).items()
    }
    chain, backends = [], []
    for first in range(2):
        backends.append(find_free_address())
        stage = ttypes.Stage(
            f"s{first}", str(find_free_address()), first, first + 1
        )
        chain.append(stage)
    entry = Entry(find_free_address(), chain)
    async with trio.open_nursery() as nursery:
        for index, backend in enumerate(backends):
            fields = {"instance": "e", "zone": "z", "model": "m", "layers": 2}
            fields |= {"first_layer": index, "end_layer": index + 1}
            fields |= {"address": backend, "max_batch": 256}
            item = engine.Engine(engine.Settings(**{**defaults, **fields}))
            await nursery.start(item.run, network.TcpNetwork())
        # Compiled in advance, since compiling the generated code takes 13 MB,
        # which would count as memory of the sidecars.
        environment = {**os.environ, "PYTHONPYCACHEPREFIX": folder}
        environment.pop("PYTHONDONTWRITEBYTECODE", None)
        subprocess.run(
            [sys.executable, "-c", "import peridotyard_daemon.process.sidecar"],
            check=True,
            env=environment,
        )
        with contextlib.ExitStack() as stack:
            processes = []
            for index, backend in enumerate(backends):
                file = pathlib.Path(folder, f"s{index}.ini")
                file.write_text(
                    SETTINGS.format(
                        index=index,
                        address=chain[index].address,
                        backend=backend,
                    )
                )
                command = [sys.executable, "-c", COMMAND, "sidecar"]
                command += ["--settings", str(file)]
                process = subprocess.Popen(command, env=environment)
                stack.callback(process.kill)
                processes.append(process)
            await nursery.start(entry.peers.run, entry.address)
            for stage in chain:
                entry.peers.keep_connected(
                    addresses.Address.from_text(stage.address)
                )
            with trio.fail_after(20):
                while len(entry.peers.connections) < len(chain):
                    await trio.sleep(0.1)
            await trio.sleep(1)
            print("streams  tokens/s  us/token  us/token       cpu       cpu")
            print(
                "                      first      last     first      last   MB"
            )
            for count in STREAMS:
                await measure(entry, processes, count, duration_s)
            for process in processes:
                process.send_signal(signal.SIGTERM)
            statuses = [
                await trio.to_thread.run_sync(item.wait, 10)
                for item in processes
            ]
            print(f"failures {entry.failures}, exit statuses {statuses}")
        nursery.cancel_scope.cancel()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seconds", nargs="?", type=float, default=5.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trio.run(run, folder, arguments.seconds)


if __name__ == "__main__":
    main()
