"""Measures the memory of each further object that an entry holds."""

import gc
import random
import tracemalloc

from peridotyard_core import configuration
from peridotyard_core import histograms
from peridotyard_core import membership
from peridotyard_core import pipelines
from peridotyard_core import streams
from peridotyard_daemon.version import catalog

TOKENS = 341
COUNTS = (100, 1000)


def measure(make, count: int) -> int:
    """Returns the bytes that the result of `make(count)` occupies."""
    gc.collect()
    tracemalloc.start()
    objects = make(count)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del objects
    return size


def make_configuration(count: int):
    """Returns configuration and catalog of `count` workspaces and 5 models."""
    models = [configuration.Model(f"m{n}", "1", 80) for n in range(5)]
    names = tuple(model.name for model in models)
    workspaces = [
        configuration.Workspace(
            f"workspace-{number}",
            key_hashes=(configuration.hash_secret(f"key-{number}"),),
            models=names,
        )
        for number in range(count)
    ]
    values = {("model", item.name): item for item in models}
    values |= {("workspace", item.name): item for item in workspaces}
    current = configuration.Configuration().replace(1, values)
    return current, catalog.Catalog.from_config(current)


def make_routes(count: int):
    """Returns a routing table of `count` connected sidecars."""
    table = membership.RoutingTable()
    for number in range(count):
        address = f"10.0.{number // 250}.{number % 250}:7000"
        stage = pipelines.StageOffer(
            f"sidecar-{number}", address, "m0", "1", 0, 20, zone="z1", limit=64
        )
        table.record_connected(address, number)
        table.record_offer(address, membership.Offer(stage))
    return table


def make_streams(count: int):
    """Returns the state of `count` streams with prompt and tokens."""
    made = []
    source = random.Random(0)
    for _ in range(count):
        stream = streams.Stream(500, TOKENS)
        prompt = tuple(source.randrange(256) for _ in range(500))
        stream.accepted += [source.randrange(256) for _ in range(TOKENS)]
        made.append((stream, prompt))
    return made


def make_histograms(count: int):
    """Returns a set of `count` histograms, the limit of the set."""
    made = histograms.HistogramSet(limit=count)
    for number in range(count):
        made.record(histograms.Key("request", f"w{number}", "normal"), 0.1)
    return made


CASES = {
    "workspace in the configuration and its catalog": make_configuration,
    "connected sidecar in the routing table": make_routes,
    f"stream with 500 prompt and {TOKENS} generated tokens": make_streams,
    "histogram": make_histograms,
}


def main() -> None:
    """Prints the bytes of one more object of each kind."""
    print("| object | bytes each |")
    print("| --- | --- |")
    for name, make in CASES.items():
        sizes = [measure(make, count) for count in COUNTS]
        slope = (sizes[1] - sizes[0]) / (COUNTS[1] - COUNTS[0])
        print(f"| {name} | {slope:.0f} |")


if __name__ == "__main__":
    main()
