"""A request crashes each server that runs it, after its first event."""

import asyncio
import os
import pathlib
import sys

from support import callers as callers_module
from support import cases
from support import deployment as deployment_module
from support import records
from support import servers as servers_module

ENTRIES = 2
SERVERS = 10
SLOTS = 96
MODEL = servers_module.Model(layers=20, events=30, load_s=1.0)
# Events of the fatal request that a server sends before it crashes.
FATAL_EVENTS = int(os.environ.get("FATAL_EVENTS", "1"))
FATAL_BODY = b"prompt that crashes servers"
CALLERS = 4
TIME_LIMIT_S = 20.0
# Longer than `contactMs` (3 s), so that all entries are in touch.
WARM_UP_S = 10.0
# The request comes again after this time, when the servers are back.
REPEAT_S = 6.0
REPEATS = 7
# The rule counts from the fourth retry on.
ALLOWED_RETRIES = 3
ALLOWED_CRASHES = 3
CONTACT_S = deployment_module.BOUNDS["contactMs"] / 1000
TARGET = "/brief/crew"
HEADERS = {
    "Api-Key": "key-north",
    "X-Model": "m0",
    "X-Token-Usage": "760,154",
    "X-Prompt-Prefix": "5c1e07a2:40,{part}:720",
}


def write_configuration(deployment: deployment_module.Deployment) -> None:
    """Writes a configuration with one model service."""
    deployment.write_configuration(
        1,
        routes=[
            {
                "name": "crew-brief",
                "host": deployment_module.HOST,
                "prefix": "/brief/",
                "kind": "streaming",
                "resumable": True,
                "sticky": True,
                "timeoutMs": 20000,
                "targetLatencyMs": 500,
                "gapAimMs": 200,
                "priority": 1,
                "service": "survey-model",
                "maxAttempts": 2,
            }
        ],
        services=[
            {
                "name": "survey-model",
                "maxConnections": 1138,
                "engine": {
                    "slots": SLOTS,
                    "kvTokenBytes": 459000,
                    "step_ms": 0.85,
                    "per_seq_ms": 0.003,
                    "context_per_k": 0.004,
                    "read_per_s": 252000,
                    "stride": 2,
                    "layers": MODEL.layers,
                    "layerMb": 1750,
                    "actBytes": 22900,
                    "pipeMbps": 7900,
                    "usual": {"prompt": 770, "answer": 60},
                    "models": [{"name": "m0", "loadS": MODEL.load_s}],
                    "kinds": [
                        {"name": "l4", "mb": 21600, "pace": 3.1, "readX": 3}
                    ],
                },
            }
        ],
        tenants=[{"name": "north", "apiKeys": ["key-north"]}],
    )


async def run_case(record: records.Record, is_troubled: bool) -> list[str]:
    """Returns what was seen against the rule BUDGET."""
    deployment = deployment_module.Deployment(record, ENTRIES)
    servers = []
    peers: dict[str, servers_module.ModelServer] = {}
    tasks = []
    try:
        write_configuration(deployment)
        for number in range(SERVERS):
            identity = servers_module.Identity(
                f"m-{number + 1}",
                "survey-model",
                deployment.make_address(),
                "superior-north",
                SLOTS,
                "l4",
            )
            server = servers_module.ModelServer(
                identity, deployment.store, record, MODEL, peers
            )
            if is_troubled:
                server.fatal_body = FATAL_BODY
                server.fatal_events = FATAL_EVENTS
            await server.start()
            servers.append(server)
        await deployment.start()
        for number in range(CALLERS):
            entry = deployment.entries[number % ENTRIES]
            tasks.append(
                asyncio.create_task(_call(f"c{number + 1}", entry, record))
            )
        await asyncio.sleep(WARM_UP_S)
        attempts = []
        for number in range(REPEATS):
            entry = deployment.entries[number % ENTRIES]
            caller = callers_module.Caller(f"fatal{number + 1}", record)
            outcome = await caller.send(
                entry.callers,
                TARGET,
                _make_headers("91bd3f06"),
                FATAL_BODY,
                limit_s=TIME_LIMIT_S,
            )
            caller.close()
            attempts.append(outcome)
            await asyncio.sleep(REPEAT_S)
        return _judge(record, attempts)
    finally:
        # First what does not wait, so that no process is left behind.
        deployment.stop()
        for server in servers:
            server.close()
        deployment.store.close()
        await cases.end_tasks(tasks)


def _make_headers(part: str) -> dict[str, str]:
    return {name: text.format(part=part) for name, text in HEADERS.items()}


async def _call(
    name: str, entry: deployment_module.Entry, record: records.Record
) -> None:
    """Sends sound requests one after the other."""
    caller = callers_module.Caller(name, record)
    count = 0
    while True:
        count += 1
        await caller.send(
            entry.callers,
            TARGET,
            _make_headers(f"{name[1:]}{count:06x}"),
            f"prompt {name} {count}".encode(),
            limit_s=TIME_LIMIT_S,
        )
        await asyncio.sleep(0.1)


def _judge(
    record: records.Record, attempts: list[callers_module.Outcome | None]
) -> list[str]:
    fatal = {attempt.request_id for attempt in attempts if attempt is not None}
    crashes = record.find("server crashed")
    sends = [
        line for line in record.find("arrived") if line["request"] in fatal
    ]
    limit_at = float("inf")
    if len(crashes) >= ALLOWED_CRASHES:
        limit_at = crashes[ALLOWED_CRASHES - 1]["t"] + CONTACT_S
    late = [line for line in sends if line["t"] > limit_at]
    retries = sorted({line["request"] for line in late})
    cut = [
        line["request"]
        for line in record.find("not answered")
        if line["request"] not in fatal
    ]
    record.write(
        "result",
        crashes=len(crashes),
        late_sends=len(late),
        retries=retries,
        cut_others=cut,
    )
    print(
        f"{len(sends)} sends of the request, {len(crashes)} crashes;"
        f" {len(cut)} sound requests of others not answered; statuses of its"
        f" attempts: {[a.status if a else None for a in attempts]}"
    )
    if len(retries) <= ALLOWED_RETRIES:
        return []
    return [
        f"BUDGET: later than contactMs after its third crash, the request"
        f" reached servers in {len(retries)} retries, with {len(late)} sends"
    ]


if __name__ == "__main__":
    sys.exit(cases.run(run_case, pathlib.Path(__file__).parent))
