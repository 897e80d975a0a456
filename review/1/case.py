"""A row that cannot be read, in the table where servers register."""

import asyncio
import pathlib
import sys

from support import callers as callers_module
from support import cases
from support import deployment as deployment_module
from support import records
from support import servers as servers_module

ENTRIES = 2
SERVERS = 5
SLOTS = 6
WORK_S = 0.09
TIME_LIMIT_S = 3.0
CALLERS = 30
# Time between the first requests of two callers.
STAGGER_S = 0.013
# Longer than `contactMs` (3 s), so that all entries are in touch.
WARM_UP_S = 6.0
AFTER_S = 12.0
# The rule counts from the fourth request on.
ALLOWED_CUTS = 3
# The store takes values of up to `rowBytes` (65,536).
ROW = b"[" * 4000
TARGET = "/tally/submit"


async def run_case(record: records.Record, is_troubled: bool) -> list[str]:
    """Returns what was seen against the rule LOST."""
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
        outcomes: list[callers_module.Outcome] = []
        for number in range(CALLERS):
            entry = deployment.entries[number % ENTRIES]
            tasks.append(
                asyncio.create_task(
                    _call(f"c{number + 1}", entry, record, outcomes)
                )
            )
            await asyncio.sleep(STAGGER_S)
        await asyncio.sleep(WARM_UP_S)
        if is_troubled:
            deployment.store.put("servers", "x-unreadable", ROW)
            record.write("unreadable row written", bytes=len(ROW))
        await asyncio.sleep(AFTER_S)
        return _judge(record, deployment, outcomes)
    finally:
        # First what does not wait, so that no process is left behind.
        deployment.stop()
        for server in servers:
            server.close()
        deployment.store.close()
        await cases.end_tasks(tasks)


async def _call(
    name: str,
    entry: deployment_module.Entry,
    record: records.Record,
    outcomes: list[callers_module.Outcome],
) -> None:
    """Sends one request after the other on a kept channel."""
    caller = callers_module.Caller(name, record)
    while True:
        outcome = await caller.send(
            entry.callers,
            TARGET,
            {"Api-Key": "key-north"},
            b"tally of one plot",
            limit_s=TIME_LIMIT_S,
        )
        if outcome is not None:
            outcomes.append(outcome)
        await asyncio.sleep(0.02 if outcome else 0.2)


def _judge(
    record: records.Record,
    deployment: deployment_module.Deployment,
    outcomes: list[callers_module.Outcome],
) -> list[str]:
    passed_on = {line["request"] for line in record.find("run")}
    cut = [
        outcome.request_id
        for outcome in outcomes
        if outcome.is_kept
        and outcome.is_closed
        and not outcome.status
        and outcome.request_id in passed_on
    ]
    ends = {entry.name: len(entry.ends) for entry in deployment.entries}
    answered = [o for o in outcomes if o.status == 200]
    record.write("result", cut=cut, ends=ends, answered=len(answered))
    print(
        f"{len(outcomes)} requests, {len(answered)} answered with 200;"
        f" processes that ended by themselves: {ends}"
    )
    if len(cut) <= ALLOWED_CUTS:
        return []
    return [
        f"LOST: {len(cut)} requests of kept channels were passed on to a sound"
        f" server and their channels closed without an answer: {cut}"
    ]


if __name__ == "__main__":
    sys.exit(cases.run(run_case, pathlib.Path(__file__).parent))
