"""Servers leave just after one entry has been frozen."""

import asyncio
import pathlib
import signal
import sys

from support import callers as callers_module
from support import cases
from support import deployment as deployment_module
from support import records
from support import servers as servers_module

ENTRIES = 3
SERVERS = 12
SLOTS = 6
WORK_S = 0.0225
CALLERS = 18
# Longer than `contactMs` (3 s), so that all entries are in touch.
WARM_UP_S = 6.0
# `node_freeze` of one machine for 4 seconds.
FREEZE_S = 4.0
# Times from the end of the freeze to the removal of a server's row. Three
# servers of twelve leave (`scale_in` with share = 0.25).
LEAVE_AFTER_S = (0.1, 0.35, 0.6)
# The servers continue to serve for `drainMs` and a little longer.
SERVE_S = 6.0
DRAIN_S = deployment_module.BOUNDS["drainMs"] / 1000
TARGET = "/tally/submit"


async def run_case(record: records.Record, is_troubled: bool) -> list[str]:
    """Returns what was seen against the rule DRAIN."""
    deployment = deployment_module.Deployment(record, ENTRIES)
    servers = []
    tasks = []
    try:
        deployment.write_configuration(
            1,
            routes=[
                {
                    "name": "tally-submit",
                    "host": deployment_module.HOST,
                    "prefix": "/tally/",
                    "kind": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 400,
                    "priority": 2,
                    "service": "tally-ledger",
                    "maxAttempts": 1,
                }
            ],
            services=[{"name": "tally-ledger", "maxConnections": 110}],
            tenants=[{"name": "north", "apiKeys": ["key-north"]}],
        )
        for number in range(SERVERS):
            identity = servers_module.Identity(
                f"i-{number + 1}",
                "tally-ledger",
                deployment.make_address(),
                "superior-north",
                SLOTS,
            )
            server = servers_module.Server(
                identity, deployment.store, record, WORK_S
            )
            await server.start()
            servers.append(server)
        await deployment.start()
        frozen, *calm = deployment.entries
        for number in range(CALLERS):
            entry = calm[number % len(calm)]
            tasks.append(
                asyncio.create_task(_call(f"c{number + 1}", entry, record))
            )
        await asyncio.sleep(WARM_UP_S)
        if is_troubled:
            deployment.send_signal(frozen, signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            deployment.send_signal(frozen, signal.SIGCONT)
        resumed_at = record.get_time_s()
        acks = {}
        for server, after_s in zip(servers, LEAVE_AFTER_S, strict=False):
            left_s = resumed_at + after_s - record.get_time_s()
            await asyncio.sleep(max(0.0, left_s))
            acks[server.identity.instance] = server.leave_without_notice()
        await asyncio.sleep(SERVE_S)
        return _judge(record, acks)
    finally:
        # First what does not wait, so that no process is left behind.
        deployment.stop()
        for server in servers:
            server.close()
        deployment.store.close()
        await cases.end_tasks(tasks)


async def _call(
    name: str, entry: deployment_module.Entry, record: records.Record
) -> None:
    """Sends one request after the other through an entry that is calm."""
    caller = callers_module.Caller(name, record)
    while True:
        await caller.send(
            entry.callers,
            TARGET,
            {"Api-Key": "key-north"},
            b"tally of one plot",
        )
        await asyncio.sleep(0.02)


def _judge(record: records.Record, acks: dict[str, float]) -> list[str]:
    violations = []
    for server, acked_at in acks.items():
        arrivals = [
            line["t"] - acked_at
            for line in record.find("arrived", server=server)
            if line["t"] > acked_at
        ]
        late = [after_s for after_s in arrivals if after_s > DRAIN_S]
        last_s = max(arrivals, default=0.0)
        record.write("result", server=server, late=len(late), last_s=last_s)
        print(f"{server}: last arrival {last_s:.3f} s after the ack")
        if late:
            violations.append(
                f"DRAIN: {len(late)} requests reached {server} later than"
                f" drainMs ({DRAIN_S} s) after the ack that it is gone, the"
                f" last one after {last_s:.3f} s"
            )
    return violations


if __name__ == "__main__":
    sys.exit(cases.run(run_case, pathlib.Path(__file__).parent))
