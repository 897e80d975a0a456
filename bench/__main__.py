"""Runs the named benchmarks, or all of them."""

import argparse
import importlib
import sys

# Module of each benchmark by name. Its main() prints a table and returns an
# exit status, or None for 0.
BENCHMARKS = {
    "connections": "bench.connections",
    "memory": "bench.memory",
    "sidecar": "bench.sidecar",
    "processes": "bench.processes",
    "capacity": "bench.capacity",
    "layouts": "bench.layouts",
    "pauses": "bench.pauses",
    "entry": "bench.entry",
    "crowds": "bench.crowds",
    "prefixes": "bench.prefixes",
}


def main(arguments: list[str] | None = None) -> int:
    """Runs benchmarks and returns the highest of their exit statuses."""
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument(
        "names",
        nargs="*",
        metavar="NAME",
        help="benchmarks (default: all): " + ", ".join(BENCHMARKS),
    )
    names = parser.parse_args(arguments).names or list(BENCHMARKS)
    for name in names:
        if name not in BENCHMARKS:
            parser.error(f"{name!r}; allowed: {', '.join(BENCHMARKS)}")
    status = 0
    for name in names:
        print(f"## {name}\n", flush=True)
        status = max(status, run(name))
        print(flush=True)
    return status


def run(name: str) -> int:
    """Runs one benchmark and returns its exit status."""
    try:
        module = importlib.import_module(BENCHMARKS[name])
    except ModuleNotFoundError as error:
        if error.name != BENCHMARKS[name]:
            raise
        print(f"not run: there is no module {error.name}")
        return 1
    return module.main() or 0


if __name__ == "__main__":
    sys.exit(main())
