"""Servers hand out answers with a wrong byte in an event."""

import asyncio
import itertools
import os
import pathlib
import re
import sys

from support import callers as callers_module
from support import cases
from support import deployment as deployment_module
from support import records
from support import servers as servers_module

ENTRIES = 2
SERVERS = 8
SLOTS = 96
# With `stride` 4 and events of two tokens, a pass makes two events.
MODEL = servers_module.Model(layers=20, events=30, load_s=1.0, pass_events=2)
# `garble` with x = 0.05: one answer of twenty is spoiled.
SPOILED_ANSWERS = 20
# The spoiled events, in turn; one of them can be chosen.
SPOILED = [
    servers_module.Spoiled(name)
    for name in os.environ.get("SPOILED", "later,first").split(",")
]
CALLERS = 12
TIME_LIMIT_S = 20.0
# Longer than `contactMs` (3 s), so that all entries are in touch.
WARM_UP_S = 10.0
GARBLE_S = 6.0
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
                    "stride": 4,
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
    """Returns what was seen against the rule ORDER."""
    deployment = deployment_module.Deployment(record, ENTRIES)
    servers = []
    peers: dict[str, servers_module.ModelServer] = {}
    tasks = []
    answers = itertools.count(1)

    def choose_spoiled() -> servers_module.Spoiled:
        count, rest = divmod(next(answers), SPOILED_ANSWERS)
        if rest:
            return servers_module.Spoiled.NONE
        return SPOILED[count % len(SPOILED)]

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
            await server.start()
            servers.append(server)
        await deployment.start()
        outcomes: list[callers_module.Outcome] = []
        for number in range(CALLERS):
            entry = deployment.entries[number % ENTRIES]
            name = f"c{number + 1}"
            tasks.append(
                asyncio.create_task(_call(name, entry, record, outcomes))
            )
        await asyncio.sleep(WARM_UP_S)
        if is_troubled:
            for server in servers:
                server.choose_spoiled = choose_spoiled
        await asyncio.sleep(GARBLE_S)
        for server in servers:
            server.choose_spoiled = lambda: servers_module.Spoiled.NONE
        await asyncio.sleep(3.0)
        return _judge(record, outcomes)
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
    """Sends one request after the other."""
    caller = callers_module.Caller(name, record)
    for count in itertools.count(1):
        part = f"{name[1:]}{count:06x}"
        outcome = await caller.send(
            entry.callers,
            TARGET,
            {key: text.format(part=part) for key, text in HEADERS.items()},
            f"prompt {name} {count}".encode(),
            limit_s=TIME_LIMIT_S,
        )
        if outcome is not None:
            outcomes.append(outcome)
        await asyncio.sleep(0.05)


def _judge(
    record: records.Record, outcomes: list[callers_module.Outcome]
) -> list[str]:
    expected = list(range(1, MODEL.events + 1))
    wrong = {}
    streams = [o for o in outcomes if o.status == 200]
    for outcome in streams:
        text = outcome.body.decode()
        ids = [int(found) for found in re.findall(r"^id: (\d+)$", text, re.M)]
        is_sound = ids == expected[: len(ids)] and (
            not outcome.is_complete or ids == expected
        )
        if not is_sound:
            wrong[outcome.request_id] = {
                "ids": ids,
                "complete": outcome.is_complete,
                "missing": sorted(set(expected) - set(ids)),
            }
    spoiled = len(record.find("spoiled"))
    record.write("result", streams=len(streams), spoiled=spoiled, wrong=wrong)
    print(f"{len(streams)} streams, {spoiled} spoiled answers of servers")
    return [
        f"ORDER: {request_id} got events without {found['missing']}, ended as"
        f" {'complete' if found['complete'] else 'broken off'}"
        for request_id, found in wrong.items()
    ]


if __name__ == "__main__":
    sys.exit(cases.run(run_case, pathlib.Path(__file__).parent))
