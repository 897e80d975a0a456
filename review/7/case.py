"""A request that crashes servers comes again after all entries were killed."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "support-2"))

import harness  # noqa: E402

ENTRIES = 3
SERVERS = 3
# Time after which a crashed server is back, under a new id.
DOWN_S = 2.5
# Three heartbeats after its crash, the row of a server is removed.
SILENCE_S = 3.6
HEARTBEAT_S = 1.2
RESTART_S = 0.5
# Times at which the request comes, and at which all entries are killed.
COPIES_S = (2.0, 6.0, 10.0, 18.5, 22.5, 26.5, 34.0, 38.0, 42.0)
KILLS_S = (13.5, 29.0)
END_S = 46.0
POISON = "/look/poison"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Server(harness.PlainServer):
    """A server that crashes when it begins to run one request."""

    def __init__(self, *arguments, notify_crash):
        super().__init__(*arguments)
        self._notify_crash = notify_crash

    async def answer(self, message: harness.Message) -> bytes:
        """Runs a request, and crashes if it is the one."""
        is_mine = message.headers.get("x-expect-instance") == self.instance
        if is_mine and message.start.split(" ")[1] == POISON:
            self._notify_crash(self, message.headers["x-attempt-id"])
            raise ConnectionResetError
        return await super().answer(message)


class Run:
    """One run of the case."""

    def __init__(self):
        self.deployment = harness.Deployment(CASE, ENTRIES)
        self.servers: dict[str, Server] = {}
        self.lifetimes = 0
        # Time and attempt id of each crash.
        self.crashes: list[tuple[float, str]] = []
        self.copies: dict[str, harness.Outcome] = {}
        self.others: list[harness.Outcome] = []
        self.tasks: set[asyncio.Task] = set()

    def spawn(self, task) -> None:
        """Runs a task until the end of the run."""
        created = asyncio.create_task(task)
        self.tasks.add(created)
        created.add_done_callback(self.tasks.discard)

    async def start_server(self, number: int) -> None:
        """Starts a lifetime of a server."""
        self.lifetimes += 1
        server = Server(
            f"{self.deployment.prefix}.{100 + number}",
            9000,
            f"i-{self.lifetimes}",
            "superior-north",
            notify_crash=self.crash,
        )
        await server.start()
        self.servers[server.instance] = server
        self.spawn(self.send_heartbeats(server))

    async def send_heartbeats(self, server: Server) -> None:
        """Writes a server's row again and again until it crashes."""
        store = self.deployment.store
        while server.instance in self.servers:
            store.put("servers", server.instance, server.encode_row())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, server: Server, name: str) -> None:
        """Ends a server; it is back after some seconds."""
        self.crashes.append((time.monotonic(), name))
        self.deployment.record(f"{name} crashes {server.instance}")
        self.servers.pop(server.instance, None)
        server.stop()
        number = int(server.host.rpartition(".")[2]) - 100
        self.spawn(self.replace(server, number))

    async def replace(self, server: Server, number: int) -> None:
        """Starts a crashed server again and removes its old row."""
        await asyncio.sleep(DOWN_S)
        await self.start_server(number)
        await asyncio.sleep(SILENCE_S - DOWN_S)
        self.deployment.store.put("servers", server.instance, None)

    async def kill_all(self) -> None:
        """Kills all entries; they start again after a short delay."""
        for number in range(ENTRIES):
            self.deployment.signal_entry(number, signal.SIGKILL)
        for number in range(ENTRIES):
            await self.deployment.wait_exit(number)
        await asyncio.sleep(RESTART_S)
        for number in range(ENTRIES):
            self.deployment.start_entry(number)

    async def send_others(self) -> None:
        """Sends other lookups at a steady rate."""
        count = 0
        while True:
            count += 1
            self.spawn(self.send_other(count))
            await asyncio.sleep(0.1)

    async def send_other(self, count: int) -> None:
        """Sends one other lookup."""
        self.others.append(
            await self.deployment.send(
                count % ENTRIES, f"b{count:05d}", f"/look/{count}"
            )
        )

    async def send_copy(self, count: int) -> None:
        """Sends the request that crashes servers."""
        name = f"poison-{count}"
        outcome = await self.deployment.send(count % ENTRIES, name, POISON)
        self.copies[name] = outcome
        self.deployment.record(
            f"{name} to entry {outcome.entry} ends with {outcome.status}"
        )

    async def play(self) -> int:
        """Plays the case; returns the exit status."""
        deployment = self.deployment
        await deployment.store.start()
        deployment.store.put("op", "config", harness.make_configuration(3))
        for number in range(SERVERS):
            await self.start_server(number)
        for number in range(ENTRIES):
            deployment.start_entry(number)
        for number in range(ENTRIES):
            if not await deployment.wait_ready(number):
                return 2
        self.spawn(self.send_others())
        begin = time.monotonic() + 3.0
        steps = [(at, self.send_copy(n)) for n, at in enumerate(COPIES_S)]
        if TROUBLE:
            steps += [(at, self.kill_all()) for at in KILLS_S]
        for at, step in sorted(steps, key=lambda item: item[0]):
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            self.spawn(step)
        await asyncio.sleep(begin + END_S - time.monotonic())
        return self.judge()

    def judge(self) -> int:
        """Checks the rule; returns the exit status."""
        if len(self.crashes) < 3:
            print("the request has crashed fewer than three servers")
            return 2
        from_at = self.crashes[2][0] + harness.CONTACT_S
        late = [
            (at, name)
            for at, name in self.crashes
            if at > from_at and self._is_in_touch(name)
        ]
        for at, name in late:
            self.deployment.record(
                f"BUDGET: {name} reaches a server {at - from_at:.3f} s later"
                " than contactMs after the third crash",
                at,
            )
        good = sum(outcome.status == 200 for outcome in self.others)
        print(
            f"{len(self.crashes)} crashes, {len(late)} retries reached servers"
            f" later than contactMs after the third; {good} of"
            f" {len(self.others)} other requests answered 200"
        )
        return 1 if len(late) > 3 else 0

    def _is_in_touch(self, name: str) -> bool:
        """Returns whether the entry ran for `contactMs` before it got it."""
        outcome = self.copies.get(name)
        return outcome is not None and any(
            start + harness.CONTACT_S <= outcome.sent_at
            and not any(start < kill < outcome.ended_at for kill in kills)
            for start, kills in self.deployment.get_lifetimes(outcome.entry)
        )


async def main() -> int:
    """Runs the case; returns the exit status."""
    run = Run()
    try:
        return await run.play()
    finally:
        run.deployment.end()
        run.deployment.write_record()
        for task in list(run.tasks):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*run.tasks, return_exceptions=True)


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
