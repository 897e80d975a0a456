"""The last keys of all tenants are taken away."""

import asyncio
import pathlib
import sys

from support import callers as callers_module
from support import cases
from support import deployment as deployment_module
from support import records
from support import servers as servers_module

ENTRIES = 2
SERVERS = 2
SLOTS = 6
WORK_S = 0.02
TENANTS = {"north": "key-north", "south": "key-south"}
# A key that no configuration ever holds.
FOREIGN_KEY = "key-of-nobody"
# Longer than `contactMs` (3 s), so that all entries are in touch.
WARM_UP_S = 5.0
# `revoke` with gap_s = 1.5 and count = 2.
REVOKE_GAP_S = 1.5
CONFIG_APPLY_S = deployment_module.BOUNDS["configApplyMs"] / 1000
# Time of requests after the bound has passed.
JUDGED_S = 6.0
TARGET = "/tally/submit"


def write_configuration(
    deployment: deployment_module.Deployment, version: int, held: set[str]
) -> float:
    """Writes a configuration in which some tenants hold their key."""
    return deployment.write_configuration(
        version,
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
        tenants=[
            {"name": name, "apiKeys": [key] if name in held else []}
            for name, key in TENANTS.items()
        ],
    )


async def run_case(record: records.Record, is_troubled: bool) -> list[str]:
    """Returns what was seen against the rules ROUTE and CONFIG."""
    deployment = deployment_module.Deployment(record, ENTRIES)
    servers = []
    tasks = []
    sent: list[tuple[str, callers_module.Outcome]] = []
    try:
        write_configuration(deployment, 1, set(TENANTS))
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
        for entry in deployment.entries:
            for key in (*TENANTS.values(), FOREIGN_KEY):
                name = f"{entry.name}-{key}"
                tasks.append(
                    asyncio.create_task(_call(name, key, entry, record, sent))
                )
        await asyncio.sleep(WARM_UP_S)
        acked_at = float("inf")
        if is_troubled:
            write_configuration(deployment, 3, {"south"})
            await asyncio.sleep(REVOKE_GAP_S)
            acked_at = write_configuration(deployment, 4, set())
        await asyncio.sleep(CONFIG_APPLY_S + JUDGED_S)
        return _judge(record, sent, acked_at)
    finally:
        # First what does not wait, so that no process is left behind.
        deployment.stop()
        for server in servers:
            server.close()
        deployment.store.close()
        await cases.end_tasks(tasks)


async def _call(
    name: str,
    key: str,
    entry: deployment_module.Entry,
    record: records.Record,
    sent: list[tuple[str, callers_module.Outcome]],
) -> None:
    """Sends one request after the other with a key."""
    caller = callers_module.Caller(name, record)
    while True:
        outcome = await caller.send(
            entry.callers, TARGET, {"Api-Key": key}, b"tally of one plot"
        )
        if outcome is not None:
            sent.append((key, outcome))
        await asyncio.sleep(0.1)


def _judge(
    record: records.Record,
    sent: list[tuple[str, callers_module.Outcome]],
    acked_at: float,
) -> list[str]:
    tenants = {line["request"]: line["tenant"] for line in record.find("run")}
    foreign = [
        outcome.request_id
        for key, outcome in sent
        if key == FOREIGN_KEY and outcome.request_id in tenants
    ]
    dropped = [
        outcome.request_id
        for key, outcome in sent
        if key != FOREIGN_KEY
        and outcome.sent_at > acked_at + CONFIG_APPLY_S
        and outcome.request_id in tenants
    ]
    statuses: dict[str, dict[int, int]] = {}
    for key, outcome in sent:
        is_after = outcome.sent_at > acked_at + CONFIG_APPLY_S
        group = statuses.setdefault(f"{key} {'after' if is_after else ''}", {})
        group[outcome.status] = group.get(outcome.status, 0) + 1
    record.write("result", foreign=foreign, dropped=dropped, statuses=statuses)
    print(f"statuses by key: {statuses}")
    violations = []
    if foreign:
        violations.append(
            f"ROUTE: {len(foreign)} requests ran whose key no configuration"
            f" ever held, as of tenant {tenants[foreign[0]]!r}: {foreign[:5]}"
        )
    if dropped:
        violations.append(
            f"CONFIG: {len(dropped)} requests ran with a dropped key, sent"
            f" later than configApplyMs after the ack: {dropped[:5]}"
        )
    return violations


if __name__ == "__main__":
    sys.exit(cases.run(run_case, pathlib.Path(__file__).parent))
