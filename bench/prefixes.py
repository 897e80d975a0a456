"""Compares selections of chains for prompts that share prefixes.

Each trial starts the product's own processes anew: two entries, and three
sidecars with emulated engines for each of two stages. The entries differ only
in the selection: by load, by plain affinity (hash of the first 64 positions),
or by the expected time to the first token. A trial has two phases: Poisson
arrivals below saturation, for the time to the first token, and a fixed number
of streams at once, for the throughput.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys
import time

from peridotyard_cli import local
from peridotyard_core import configuration
from peridotyard_core import pipelines
from peridotyard_core import prefixes
from peridotyard_core import settings
from peridotyard_daemon.process import entry as entry_module
from peridotyard_daemon.process import network
from peridotyard_daemon.request import holders
from peridotyard_emulator import callers
from peridotyard_emulator import load
import trio

ENTRIES = 2
STAGES = 2
REPLICAS = 3
# A prompt that no engine holds takes 115 ms on each stage, so the replicas
# together compute 26 of them a second.
POSITION_S = 0.0002
STEP_S = 0.004
BLOCK = 16
SHARED_POSITIONS = 512
OWN_POSITIONS = 64
TOKENS = 8
# Shared prefixes, except in the patterns with none and one.
PREFIXES = 60
# Blocks in memory. 60 prefixes take 1,920; scarce is 768 for the three replicas
# of a stage together.
AMPLE, SCARCE = 4096, 256
RATE_PER_S = 14.0
RATE_DURATION_S = 15.0
# Streams at once in the second phase: more than the engines compute without
# waiting, far fewer than the sidecars' limit.
CONCURRENCY = 24
FULL_DURATION_S = 6.0
SEED = 20
SELECTIONS = ("load", "affinity", "decision")
COUNTERS = ("prompt_positions", "hits_expected", "hits_reported")
# Share of requests with the one hot prefix; the others share nothing.
HOT_SHARE = 0.9
SETTLE_S = 1.5


@dataclasses.dataclass(frozen=True)
class Case:
    """Pattern of prompts, memory and knowledge of one row.

    Attributes:
        pattern: "none", "uniform", "skewed" (Zipf) or "hot".
        blocks: Blocks in memory of each engine.
        knowledge: "usual", "stale" (events 10 s late), "lost" (no events) or
            "wrong" (false news that every server holds every prompt).
        selections: Selections to compare.
    """

    pattern: str
    blocks: int
    knowledge: str = "usual"
    selections: tuple[str, ...] = SELECTIONS

    @property
    def engine_options(self) -> dict:
        """Options of the section [cache] of the engines."""
        lag_s = 10 if self.knowledge == "stale" else 0.5
        gap = 1 if self.knowledge in ("lost", "wrong") else 10
        return {
            "block": BLOCK,
            "blocks": self.blocks,
            "event_lag_s": lag_s,
            "event_gap": gap,
        }


CASES = (
    Case("none", AMPLE),
    Case("uniform", AMPLE),
    Case("skewed", AMPLE),
    Case("hot", AMPLE),
    Case("uniform", SCARCE),
    Case("skewed", SCARCE),
    Case("hot", SCARCE),
    # The other selections use no knowledge.
    Case("skewed", SCARCE, "stale", ("decision",)),
    Case("skewed", SCARCE, "lost", ("decision",)),
    Case("skewed", AMPLE, "wrong", ("decision",)),
    Case("none", AMPLE, "wrong", ("decision",)),
)


class Prompts:
    """Prompts of a pattern, owned by a trial."""

    def __init__(self, pattern: str):
        self._pattern = pattern
        self._source = random.Random(SEED)
        self._number = 0

    def make(self) -> callers.Prompt:
        """Returns the next prompt."""
        self._number += 1
        # Begins with zeros, which prompts with the same prefix share as well.
        own = f"{self._number:0{OWN_POSITIONS}d}"
        prefix = self._choose_prefix()
        if prefix is None:
            # Differs in the first piece already.
            text = f"{self._number:08d}" * (SHARED_POSITIONS // 8)
        else:
            text = f"p{prefix:07d}" * (SHARED_POSITIONS // 8)
        return callers.Prompt(
            local.MODEL, local.LAYERS, text + own, self._number, TOKENS
        )

    def _choose_prefix(self) -> int | None:
        source = self._source
        match self._pattern:
            case "none":
                return None
            case "hot":
                return 0 if source.random() < HOT_SHARE else None
            case "uniform":
                return source.randrange(PREFIXES)
            case _:
                weights = [1 / (n + 1) for n in range(PREFIXES)]
                return source.choices(range(PREFIXES), weights)[0]


@dataclasses.dataclass(frozen=True)
class Row:
    """Result of one trial.

    Attributes:
        case: What was run.
        selection: How chains were selected.
        hit_ratio: Positions that the engines held, of all positions.
        first_s: Times to the first token of the first phase, seconds.
        per_s: Completed requests per second of the second phase.
        failed: Responses that were wrong, incomplete or refused.
    """

    case: Case
    selection: str
    hit_ratio: float
    first_s: tuple[float, ...]
    per_s: float
    failed: int

    def render(self) -> str:
        """Returns the row in Markdown."""
        times = " | ".join(
            f"{load.compute_percentile(self.first_s, percent) * 1000:.0f}"
            for percent in load.PERCENTILES
        )
        memory = "ample" if self.case.blocks == AMPLE else "scarce"
        return (
            f"| {self.case.pattern} | {memory} | {self.case.knowledge} |"
            f" {self.selection} | {self.hit_ratio:.2f} | {times} |"
            f" {self.per_s:.1f} | {self.failed} |"
        )


def plan_trial(case: Case, selection: str, admin_token: str):
    """Returns the processes of a trial."""
    count = 2 + 2 * STAGES * REPLICAS + 3 * ENTRIES
    free_addresses = iter(local.choose_addresses(count))
    zone = local.ZONES[0]

    def plan(name, role, sections, command=()):
        process = {"instance": name, "zone": zone}
        return local.Plan(
            name, role, zone, {"process": process, **sections}, command
        )

    platform = [
        plan(role, role, {"listen": {"address": next(free_addresses)}})
        for role in ("table", "instances")
    ]
    shared = {"table": platform[0].address}
    width = local.LAYERS // STAGES
    engines = [
        plan(
            f"engine-{stage}-{replica}",
            "engine",
            {
                "listen": {"address": next(free_addresses)},
                "engine": {"base_s": STEP_S, "per_token_s": POSITION_S},
                "cache": case.engine_options,
                "model": {
                    "name": local.MODEL,
                    "version": local.MODEL_VERSION,
                    "layers": local.LAYERS,
                    "first_layer": stage * width,
                    "end_layer": (stage + 1) * width,
                },
            },
        )
        for stage in range(STAGES)
        for replica in range(REPLICAS)
    ]
    sidecars = [
        plan(
            f"sidecar-{engine.name}",
            "sidecar",
            {
                "listen": {"peers": next(free_addresses)},
                "backend": {"address": engine.address, "kind": "model"},
                "platform": shared,
            },
        )
        for engine in engines
    ]
    command = (sys.executable, "-m", "bench.prefixes", "--selection", selection)
    if case.knowledge == "wrong":
        command += ("--wrong",)
    entries = [
        plan(
            f"entry-{number}",
            "entry",
            {
                "listen": {
                    name: next(free_addresses)
                    for name in ("peers", "callers", "admin")
                },
                "platform": {
                    **shared,
                    "instances": platform[1].address,
                    "instance_poll_s": 0.5,
                },
                "prefixes": {"enabled": "yes"},
                "admin": {
                    "token_sha256": configuration.hash_secret(admin_token)
                },
            },
            command,
        )
        for number in range(ENTRIES)
    ]
    return platform + engines + sidecars + entries


async def run_phases(deployment: local.Deployment, pattern: str):
    """Runs both phases.

    Returns:
        Times to the first token of the first phase, completed requests per
        second of the second, and the number of failed requests.
    """
    prompts = Prompts(pattern)
    source = random.Random(SEED)
    key = deployment.keys["survey"]
    targets = [callers.Caller(url, key) for url in deployment.entry_urls]
    first, second = [], []

    async def request(responses):
        prompt = prompts.make()
        target = source.choice(targets)
        responses.append((prompt, await target.stream(prompt)))

    async def request_until(end_s):
        while trio.current_time() < end_s:
            await request(second)

    async with trio.open_nursery() as nursery:
        at_s = trio.current_time()
        end_s = at_s + RATE_DURATION_S
        while (at_s := at_s + source.expovariate(RATE_PER_S)) < end_s:
            await trio.sleep_until(at_s)
            nursery.start_soon(request, first)
    end_s = trio.current_time() + FULL_DURATION_S
    async with trio.open_nursery() as nursery:
        for _ in range(CONCURRENCY):
            nursery.start_soon(request_until, end_s)
    for target in targets:
        await target.__aexit__()
    # The expected text is computed after the load, to not slow it down.
    results = [load.Results(), load.Results()]
    for phase, responses in zip(results, (first, second), strict=True):
        for prompt, response in responses:
            phase.add_stream(prompt, response)
    failed = sum(
        sum(phase.refused.values()) + len(phase.wrong) for phase in results
    )
    per_s = results[1].completed["streams"] / FULL_DURATION_S
    return tuple(results[0].first_chunk_s), per_s, failed


def run_trial(case: Case, selection: str) -> Row:
    """Starts the processes, runs the phases and stops the processes."""
    deployment = local.Deployment(
        make_plans=lambda token: plan_trial(case, selection, token),
        keep_logs=True,
    )
    deployment.start()
    try:
        time.sleep(SETTLE_S)
        first_s, per_s, failed = trio.run(run_phases, deployment, case.pattern)
    finally:
        deployment.stop()
    counts = read_counts(deployment.directory)
    ratio = counts["hits_reported"] / max(1, counts["prompt_positions"])
    return Row(case, selection, ratio, first_s, per_s, failed)


def read_counts(directory: pathlib.Path) -> dict[str, int]:
    """Returns the counters of the entries, added up; removes the directory."""
    total = dict.fromkeys(COUNTERS, 0)
    for path in directory.glob("entry-*.json"):
        counts = json.loads(path.read_text(encoding="utf-8"))
        for name in COUNTERS:
            total[name] += counts[name]
    for path in directory.iterdir():
        path.unlink()
    directory.rmdir()
    return total


class AffinitySelector:
    """Selects servers by a hash of the first 64 positions of the prompt.

    A full server is left out, as in the other selections.
    """

    def __init__(self, fallback: pipelines.LeastLoadSelector):
        self._fallback = fallback

    def select_chain(self, prompt, offers, layers, now):
        """Returns a chain; see `prefixes.PrefixSelector`."""
        del now
        available = [offer for offer in offers if not offer.is_full]
        cache = prefixes.Cache(0, BLOCK, 1, False, 1.0, 1.0)
        keys = prompt.get_keys(cache)
        if not keys:
            return self._fallback.select_chain(offers, layers)

        def compute_cost(offer: pipelines.StageOffer, _) -> float:
            # Rendezvous hashing; numbers in a tuple hash alike in all entries.
            address = int.from_bytes(offer.address.encode(), "big")
            return 1 + (hash((keys[0], address)) & 0xFFFFFFFF)

        return pipelines.search_chain(available, 0, layers, compute_cost)


class LoadSelector:
    """Selects by load, as an entry does without the setting."""

    def __init__(self, fallback: pipelines.LeastLoadSelector):
        self._fallback = fallback

    def select_chain(self, prompt, offers, layers, now):
        """Returns a chain; see `prefixes.PrefixSelector`."""
        del prompt, now
        return self._fallback.select_chain(offers, layers)


class MisledTracker(holders.PrefixTracker):
    """A tracker that hears that every server holds every prompt."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._addresses = set()
        self._sequence = 0

    def set_cache(self, address, message):
        """Records a server as one that the false news is about."""
        super().set_cache(address, message)
        self._addresses.add(address)

    def record_sent(self, stream, generation, chain, prompt):
        """Applies false news about all servers but those of the chain."""
        super().record_sent(stream, generation, chain, prompt)
        used = {stage.offer.address for stage in chain}
        self._sequence += 1
        for address in self._addresses - used:
            cache = self.knowledge.find_cache(address)
            if cache is not None:
                news = prefixes.News(
                    self._sequence,
                    cache.cache_id,
                    prompt.get_keys(cache),
                    (),
                    0,
                )
                now = trio.current_time()
                self.knowledge.apply_news(address, news, now)


def run_entry(options) -> int:
    """Runs an entry with a selection; writes its counters when it ends."""
    values = settings.read(settings.EntrySettings, options.settings).settings
    if options.wrong:
        holders.PrefixTracker = MisledTracker
    entry = entry_module.make(values, network.TcpNetwork())
    tracker = entry.completions.holders
    fallback = entry.completions.context.selector
    match options.selection:
        case "load":
            tracker.selector = LoadSelector(fallback)
        case "affinity":
            tracker.selector = AffinitySelector(fallback)
    trio.run(entry_module._run_until_signal, entry)
    counts = {
        name: entry.metrics.get_count(f"prefixes.{name}") for name in COUNTERS
    }
    path = pathlib.Path(options.settings).with_suffix(".json")
    path.write_text(json.dumps(counts), encoding="utf-8")
    return 0


def main(cases=CASES) -> int:
    """Prints the table; returns 1 if a response failed."""
    # SIGTERM ends the processes of the trial as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    print(
        f"{REPLICAS} servers for each of {STAGES} stages, {ENTRIES} entries;"
        f" prompts of {SHARED_POSITIONS + OWN_POSITIONS} positions; first token"
        f" at {RATE_PER_S:g} requests/s for {RATE_DURATION_S:g} s, throughput"
        f" with {CONCURRENCY} streams at once for {FULL_DURATION_S:g} s; load"
        f" of the machine before: {os.getloadavg()[0]:.1f}.\n"
    )
    print(
        "| prefixes | memory | knowledge | selection | hit ratio |"
        " first token, median, ms | p95 | p99 | requests/s | failed |"
    )
    print("| --- " * 10 + "|", flush=True)
    status = 0
    for case in cases:
        for selection in case.selections:
            row = run_trial(case, selection)
            print(row.render(), flush=True)
            status = status or int(row.failed > 0)
    return status


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="python -m bench.prefixes")
    parser.add_argument("--selection", choices=SELECTIONS, required=True)
    parser.add_argument("--wrong", action="store_true")
    parser.add_argument("--settings", required=True)
    sys.exit(run_entry(parser.parse_args()))
