"""Faults of the soak, drawn with the random generator of its seed."""

import signal
import time

import trio

from tests.soak import deployment as deployment_module
from tests.soak import proxies
from tests.support import servers

# Time for which a draining server continues to serve.
DRAIN_S = 2.0
# Time after its statement from which a limit is checked, and the requests that
# are allowed in the window that follows it.
LIMIT_GRACE_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_EXCESS_FACTOR = 1.5
LIMIT_EXCESS_REQUESTS = 5
# Maximum duration of a fault. With the pauses between their starts, two or
# three faults overlap.
MAX_DURATION_S = 3.0


class Faults:
    """Injects faults into a deployment.

    Attributes:
        history: Time, kind and duration of each fault, as text.
    """

    def __init__(self, deployment: deployment_module.Deployment):
        self._deployment = deployment
        self._random = deployment.random
        self.history: list[str] = []

    async def run(self, seconds: float) -> None:
        """Starts faults for some seconds, and returns when all have ended."""
        started_at = time.monotonic()
        async with trio.open_nursery() as nursery:
            while time.monotonic() - started_at < seconds:
                fault = self._random.choice(FAULTS)
                duration_s = self._random.uniform(0.2, MAX_DURATION_S)
                self.history.append(
                    f"{time.monotonic() - started_at:.2f} {fault.__name__}"
                    f" {duration_s:.2f}"
                )
                nursery.start_soon(fault, self, duration_s)
                await trio.sleep(self._random.uniform(0.1, 1.5))

    def _record_disturbance(self, name: str, duration_s: float) -> None:
        """Records that an entry or the store is disturbed from now on."""
        until = time.monotonic() + duration_s
        disturbed_until = self._deployment.disturbed_until
        disturbed_until[name] = max(disturbed_until.get(name, 0.0), until)

    def _select_entry(self, duration_s: float) -> int:
        number = self._random.randrange(deployment_module.ENTRIES)
        self._record_disturbance(f"entry {number}", duration_s)
        return number

    async def pause_entry(self, duration_s: float) -> None:
        """Suspends an entry process for a time."""
        number = self._select_entry(duration_s + 0.5)
        self._deployment.signal_entry(number, signal.SIGSTOP)
        await trio.sleep(duration_s)
        self._deployment.signal_entry(number, signal.SIGCONT)

    async def kill_entry(self, duration_s: float) -> None:
        """Kills an entry process and restarts it."""
        await self._restart(signal.SIGKILL, 2.0, duration_s)

    async def stop_entry(self, duration_s: float) -> None:
        """Stops an entry process gracefully and restarts it."""
        limit_s = deployment_module.GRACE_S + 1.0
        await self._restart(signal.SIGTERM, limit_s, duration_s)

    async def _restart(
        self, signal_number, limit_s: float, duration_s: float
    ) -> None:
        deployment = self._deployment
        number = self._select_entry(limit_s + duration_s + 2.0)
        if number in deployment.stopping:
            # Another fault is restarting it, but signals may overlap.
            deployment.signal_entry(number, signal_number)
            return
        deployment.stopping.add(number)
        deployment.signal_entry(number, signal_number)
        status = await deployment.wait_for_exit(number, limit_s)
        # An overlapping pause or kill may keep it from exiting in time.
        if status is None:
            deployment.signal_entry(number, signal.SIGCONT)
            deployment.signal_entry(number, signal.SIGKILL)
            await deployment.wait_for_exit(number, 2.0)
        await trio.sleep(duration_s / 3)
        deployment.start_entry(number)
        self._record_disturbance(f"entry {number}", 2.0)

    async def reload_entry(self, _duration_s: float) -> None:
        """Changes the settings file of an entry, which then reloads it."""
        self._deployment.reload_entry(self._select_entry(0.5))

    async def disturb_store(self, duration_s: float) -> None:
        """Delays, blocks or resets the connections to the store."""
        self._record_disturbance("store", duration_s + 0.5)
        await self._disturb(self._deployment.store_proxy, duration_s)

    async def break_store(self, duration_s: float) -> None:
        """Injects a fault into the store.

        It refuses calls, loses the responses to transactions, delays
        transactions or discards its history.
        """
        rows = self._deployment.rows
        self._record_disturbance("store", duration_s + 0.5)
        fault = self._random.choice(("refuse", "lose", "late", "discard"))
        if fault == "discard":
            rows.discard_history()
            return
        rows.fault = fault
        await trio.sleep(duration_s)
        rows.fault = ""

    async def restore_store(self, duration_s: float) -> None:
        """Restores the store from a copy that is as old as the duration."""
        saved = self._deployment.rows.copy()
        await trio.sleep(duration_s)
        self._record_disturbance("store", 0.5)
        self._deployment.restore_store(saved)

    async def limit_server(self, duration_s: float) -> None:
        """Lets a plain server state a limit, and checks that it is kept."""
        plain = self._deployment.plain
        item = plain[self._random.choice(sorted(plain))]
        if item.stated:
            return
        limit_per_s = self._random.choice((1, 3))
        item.stated = ((b"Server-Limit", str(limit_per_s).encode()),)
        begin = trio.current_time() + LIMIT_GRACE_S
        await trio.sleep(LIMIT_GRACE_S + duration_s)
        item.stated = ()
        arrived_at = [at for at in item.arrived_at if at >= begin]
        allowed = LIMIT_EXCESS_FACTOR * LIMIT_WINDOW_S * limit_per_s
        if len(arrived_at) > allowed + LIMIT_EXCESS_REQUESTS:
            self._deployment.problems.append(
                f"LIMIT: {len(arrived_at)} requests in {duration_s:.1f} s with"
                f" a limit of {limit_per_s} per second"
            )

    async def disturb_server(self, duration_s: float) -> None:
        """Delays, blocks or resets the connections to a server."""
        names = sorted(self._deployment.proxies)
        proxy = self._deployment.proxies[self._random.choice(names)]
        await self._disturb(proxy, duration_s)

    async def _disturb(self, proxy: proxies.Proxy, duration_s: float) -> None:
        # All modes except the first one, PASS.
        mode = self._random.choice(list(proxies.Mode)[1:])
        proxy.set_mode(mode, self._random.uniform(0.02, 0.5))
        await trio.sleep(duration_s)
        proxy.set_mode(proxies.Mode.PASS)

    async def lose_responses(self, duration_s: float) -> None:
        """Makes a plain server run requests without a successful response.

        It resets the connection before or within the body, responds with status
        500 or does not respond.
        """
        plain = self._deployment.plain
        item = plain[self._random.choice(sorted(plain))]
        kind = self._random.choice(("crash", "cut", "error", "hang"))
        item.faults = [servers.Fault(kind)] * 8
        await trio.sleep(duration_s)
        item.faults = []

    async def end_model(self, duration_s: float) -> None:
        """Ends a model server; one without layers replaces it."""
        models = self._deployment.models
        if len(models) < deployment_module.MODEL_SERVERS - 1:
            return
        address = self._random.choice(sorted(models))
        item = models[address]
        self._deployment.end_model(address)
        await trio.sleep(duration_s)
        self._deployment.delete_server_row(item)
        await self._deployment.add_model(item.server.zone)

    async def drain_model(self, duration_s: float) -> None:
        """Drains and ends a model server after starting another one."""
        models = self._deployment.models
        if len(models) < deployment_module.MODEL_SERVERS:
            return
        address = self._random.choice(sorted(models))
        item = models[address]
        await self._deployment.add_model(item.server.zone)
        # Some servers state that they leave, whether or not the list says so.
        if self._random.random() < 0.5:
            item.stated = ((b"Server-Leaving", b"1"),)
        self._deployment.write_server_row(item, ready=False)
        item.is_draining = True
        await trio.sleep(DRAIN_S + duration_s)
        if address in models:
            self._deployment.end_model(address)
        self._deployment.delete_server_row(item)

    async def change_configuration(self, duration_s: float) -> None:
        """Writes one version, or several in quick succession."""
        for _ in range(self._random.choice((1, 1, 4))):
            self._deployment.write_routing()
            await trio.sleep(duration_s / 10)


# Methods of the faults that are drawn; one that is listed twice is drawn twice
# as often. Each takes the duration of the fault in seconds.
FAULTS = (
    Faults.pause_entry,
    Faults.kill_entry,
    Faults.stop_entry,
    Faults.reload_entry,
    Faults.disturb_store,
    Faults.break_store,
    Faults.restore_store,
    Faults.limit_server,
    Faults.disturb_server,
    Faults.disturb_server,
    Faults.lose_responses,
    Faults.lose_responses,
    Faults.end_model,
    Faults.drain_model,
    Faults.change_configuration,
)
