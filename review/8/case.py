"""Servers leave while an entry is cut off from the store, again and again."""

import asyncio
import contextlib
import os
import pathlib
import random
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

import harness  # noqa: E402

SERVERS = 8
# Work of a lookup.
WORK_S = 0.09
ZONES = ("superior-north", "huron-west", "erie-south")
# One server a second is replaced; three in ten of them never report that they
# drain, and their rows are removed.
REPLACEMENT_S = 1.0
SILENT_SHARE = 0.3
# Time for which a leaving server goes on beyond `drainMs`.
SERVES_ON_S = 8.0
REQUESTS_PER_S = 130
CUTS = 8
CUT_S = 5.5
CALM_S = 5.5
RECORD = sys.argv[1] if len(sys.argv) > 1 else "record.txt"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Server(harness.PlainServer):
    """A server that works for some time on each request."""

    async def answer(self, message: harness.Message) -> bytes:
        """Runs a request."""
        await asyncio.sleep(WORK_S)
        return await super().answer(message)


class Link:
    """The link between the entry and the store.

    Attributes:
        is_cut: Whether it delivers nothing. What is sent meanwhile is lost, and
            channels of that time stay silent, while new ones work afterwards.
    """

    def __init__(self, host: str, store: harness.Store):
        self.host = host
        self._store = store
        self.is_cut = False
        self._cuts = 0
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        """Address at which the entry finds the store."""
        return f"{self.host}:8000"

    def cut(self) -> None:
        """Cuts the link."""
        self.is_cut = True
        self._cuts += 1

    async def start(self) -> None:
        """Starts to listen."""
        await asyncio.start_server(self._serve, self.host, 8000, backlog=64)

    async def _serve(self, reader, writer) -> None:
        cuts, opened_in_cut = self._cuts, self.is_cut
        self._tasks.add(asyncio.current_task())

        def is_silent() -> bool:
            return opened_in_cut or cuts != self._cuts

        async def copy(source, sink) -> None:
            with contextlib.suppress(OSError):
                while data := await source.read(1 << 16):
                    if not is_silent():
                        sink.write(data)
                        await sink.drain()
                if not is_silent():
                    sink.close()

        other_reader, other_writer = await asyncio.open_connection(
            self._store.host, self._store.port
        )
        await asyncio.gather(
            copy(reader, other_writer), copy(other_reader, writer)
        )
        with contextlib.suppress(RuntimeError):
            other_writer.close()
            writer.close()


class Run:
    """One run of the case."""

    def __init__(self):
        self.deployment = harness.Deployment(CASE, 1)
        prefix = self.deployment.prefix
        self.link = Link(f"{prefix}.2", self.deployment.store)
        self.deployment.store_address = self.link.address
        self.random = random.Random(11)
        self.lifetimes = 0
        self.servers: list[harness.PlainServer] = []
        self.ready: list[harness.PlainServer] = []
        self.gone_at: dict[str, float] = {}
        self.outcomes: list[harness.Outcome] = []
        # Begin and end of each cut.
        self.cuts: list[tuple[float, float]] = []
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, task) -> None:
        """Runs a task until the end of the run."""
        created = asyncio.create_task(task)
        self.tasks.add(created)
        created.add_done_callback(self.tasks.discard)

    async def start_server(self) -> None:
        """Starts a server, which registers in the store."""
        self.lifetimes += 1
        number = self.lifetimes
        server = Server(
            f"{self.deployment.prefix}.{100 + number % 3}",
            9000 + number,
            f"i-{number:04d}",
            ZONES[number % 3],
        )
        await server.start()
        self.servers.append(server)
        self.ready.append(server)
        self.deployment.store.put(
            "servers", server.instance, server.encode_row()
        )

    async def replace_servers(self) -> None:
        """Replaces one server after the other; the new one starts first."""
        while True:
            await asyncio.sleep(REPLACEMENT_S)
            await self.start_server()
            self.spawn(self.leave(self.ready.pop(0)))

    async def leave(self, server: harness.PlainServer) -> None:
        """Drains a server as PROTOCOL.md says, and ends it."""
        store = self.deployment.store
        server.is_leaving = True
        is_silent = self.random.random() < SILENT_SHARE
        value = None if is_silent else server.encode_row()
        self.gone_at[server.instance] = store.put(
            "servers", server.instance, value
        )
        await asyncio.sleep(harness.DRAIN_S + SERVES_ON_S)
        store.put("servers", server.instance, None)
        server.stop()

    async def cut(self) -> None:
        """Cuts the entry off from the store several times."""
        for _ in range(CUTS):
            await asyncio.sleep(self.random.random())
            begin = time.monotonic()
            if TROUBLE:
                self.link.cut()
                self.deployment.record("the entry is cut off from the store")
            await asyncio.sleep(CUT_S)
            self.link.is_cut = False
            self.deployment.record("the entry has a path to the store")
            if TROUBLE:
                self.cuts.append((begin, time.monotonic()))
            await asyncio.sleep(CALM_S)

    async def send_requests(self) -> None:
        """Sends lookups at a steady rate."""
        count = 0
        while True:
            count += 1
            self.spawn(self.send_one(count))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def send_one(self, count: int) -> None:
        """Sends one lookup."""
        self.outcomes.append(
            await self.deployment.send(0, f"a{count:06d}", f"/look/{count}")
        )

    async def play(self) -> int:
        """Plays the case; returns the exit status."""
        deployment = self.deployment
        await deployment.store.start()
        await self.link.start()
        deployment.store.put("op", "config", harness.make_configuration(3))
        for _ in range(SERVERS):
            await self.start_server()
        deployment.start_entry(0)
        if not await deployment.wait_ready(0):
            return 2
        self.spawn(self.replace_servers())
        self.spawn(self.send_requests())
        await asyncio.sleep(harness.CONTACT_S)
        await self.cut()
        return self.judge()

    def judge(self) -> int:
        """Checks the rule; returns the exit status."""
        deployment = self.deployment
        requests = {outcome.name: outcome for outcome in self.outcomes}
        late = 0
        for server in self.servers:
            gone_at = self.gone_at.get(server.instance, float("inf"))
            for at, name in server.arrivals:
                outcome = requests.get(name)
                if at <= gone_at + harness.DRAIN_S or outcome is None:
                    continue
                if not self._is_in_touch(outcome.sent_at, at):
                    continue
                late += 1
                deployment.record(
                    f"DRAIN: {name} reaches {server.instance},"
                    f" {at - gone_at:.3f} s after the ack that it is gone",
                    at,
                )
        for outcome in self.outcomes:
            deployment.record(
                f"{outcome.name}: {outcome.status} {outcome.body.decode()}",
                outcome.sent_at,
            )
        good = sum(outcome.status == 200 for outcome in self.outcomes)
        print(
            f"{len(self.outcomes)} requests, {good} answered 200, {late}"
            " reached a server later than drainMs after the ack that it was"
            " gone, from the entry in touch"
        )
        if good < len(self.outcomes) / 2:
            return 2
        return 1 if late else 0

    def _is_in_touch(self, begin: float, end: float) -> bool:
        """Returns whether the entry has been in touch for all of a time."""
        from_at = begin - harness.CONTACT_S
        return self.deployment.started_at[0] <= from_at and not any(
            cut_begin <= end and cut_end >= from_at
            for cut_begin, cut_end in self.cuts
        )


async def main() -> int:
    """Runs the case; returns the exit status."""
    run = Run()
    try:
        return await run.play()
    finally:
        run.deployment.end()
        run.deployment.write_record(RECORD)
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
