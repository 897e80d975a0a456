"""Measures processor time per role under load, and resident memory at rest."""

import dataclasses
import os
import signal
import sys
import time

from peridotyard_cli import demo
from peridotyard_cli import local
from peridotyard_emulator import callers
import trio

LIMIT_MB = 32
CONCURRENCY = (1, 10, 100)
# Requests of each round, and tokens of each response.
REQUESTS = {1: 4, 10: 30, 100: 100}
TOKENS = 100
# Time for work after the start of the processes, such as connecting.
SETTLE_S = 3.0
ROLES = ("entry", "sidecar")


@dataclasses.dataclass(frozen=True)
class Round:
    """Result of one round of concurrent streams.

    Attributes:
        concurrency: Streams in progress at a time.
        completed: Streams that were complete and had the expected text.
        failed: All other streams.
        duration_s: Length of the round in seconds.
        cpu_s: Processor seconds of all processes, by role.
    """

    concurrency: int
    completed: int
    failed: int
    duration_s: float
    cpu_s: dict[str, float]


def read_cpu(pid: int) -> float:
    """Returns user and system time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        # The name in parentheses may hold spaces.
        fields = file.read().rpartition(")")[2].split()
    # Fields 14 and 15 of proc(5); field 3 is the first after the name.
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_memory(pid: int) -> float:
    """Returns the resident memory of a process in MB (10^6 bytes)."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
    raise ValueError(f"no VmRSS of process {pid}")


def sum_cpu(deployment: local.Deployment) -> dict[str, float]:
    """Returns processor seconds by role."""
    total = dict.fromkeys(ROLES, 0.0)
    for plan in deployment.plans:
        if plan.role in total:
            total[plan.role] += read_cpu(deployment.find_pid(plan.name))
    return total


async def run_round(deployment: local.Deployment, concurrency: int) -> Round:
    """Runs one round with `concurrency` streams in progress at a time."""
    url = deployment.entry_urls[0]
    completed = failed = 0
    numbers = iter(range(REQUESTS[concurrency]))
    async with callers.Caller(url, deployment.keys["survey"], 120) as caller:

        async def send_requests():
            nonlocal completed, failed
            for number in numbers:
                prompt = demo.make_prompt(f"Briefing {number}.", TOKENS, number)
                response = await caller.stream(prompt)
                # The text is compared after the round, since computing the
                # expected one would slow the caller down.
                responses.append((prompt, response))

        responses = []
        before = sum_cpu(deployment)
        start_s = time.monotonic()
        async with trio.open_nursery() as nursery:
            for _ in range(concurrency):
                nursery.start_soon(send_requests)
        duration_s = time.monotonic() - start_s
        after = sum_cpu(deployment)
    for prompt, response in responses:
        if response.is_complete and response.text == prompt.generate():
            completed += 1
        else:
            failed += 1
    cpu_s = {role: after[role] - before[role] for role in ROLES}
    return Round(concurrency, completed, failed, duration_s, cpu_s)


def render_memory(deployment: local.Deployment) -> str:
    """Returns a Markdown table of the resident memory while idle."""
    lines = [
        "| role | processes | resident at rest, MB | limit, MB |",
        "| --- | --- | --- | --- |",
    ]
    for role in dict.fromkeys(plan.role for plan in deployment.plans):
        values = [
            read_memory(deployment.find_pid(plan.name))
            for plan in deployment.plans
            if plan.role == role
        ]
        # The limit applies to the daemons, not to the emulated servers.
        limit = LIMIT_MB if role in ROLES else "-"
        lines.append(
            f"| {role} | {len(values)} | {min(values):.1f} to"
            f" {max(values):.1f} | {limit} |"
        )
    return "\n".join(lines)


def render_rounds(rounds: list[Round]) -> str:
    """Returns a Markdown table of the processor time."""
    lines = [
        "| streams at once | complete | failed | tokens/s | role |"
        " us per token | ms per request |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for item in rounds:
        tokens = item.completed * TOKENS
        for role in ROLES:
            used_s = item.cpu_s[role]
            per_token = f"{used_s / tokens * 1e6:.0f}" if tokens else "-"
            per_request = (
                f"{used_s / item.completed * 1e3:.1f}" if tokens else "-"
            )
            lines.append(
                f"| {item.concurrency} | {item.completed} | {item.failed} |"
                f" {tokens / item.duration_s:.0f} | {role} | {per_token} |"
                f" {per_request} |"
            )
    return "\n".join(lines)


def main() -> int:
    """Measures a new local deployment; returns 1 if a stream failed."""
    # SIGTERM ends the processes of the deployment as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    deployment = local.Deployment()
    deployment.start()
    try:
        time.sleep(SETTLE_S)
        print(render_memory(deployment), flush=True)
        rounds = [
            trio.run(run_round, deployment, concurrency)
            for concurrency in CONCURRENCY
        ]
        print(
            f"\n{TOKENS} tokens per request, {local.STAGES} stages; processor"
            " time of all processes of a role together.\n"
        )
        print(render_rounds(rounds), flush=True)
    finally:
        deployment.stop()
    return 1 if any(item.failed for item in rounds) else 0
