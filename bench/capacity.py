"""Computes the load on each role at the target size from measured slopes.

A slope is the cost of one more item, such as a connection. They are stored in
bench/slopes.ini, each with the command that printed it. `python -m bench
capacity` prints the tables of docs/CAPACITY.md; with `--write` it replaces them
there.
"""

import argparse
import configparser
import dataclasses
import pathlib
import re

SLOPES = pathlib.Path(__file__).with_name("slopes.ini")
PAGE = pathlib.Path("docs/CAPACITY.md")
BEGIN = "<!-- begin: python -m bench capacity -->"
END = "<!-- end: python -m bench capacity -->"

# The target size; see docs/design.md, section 1.4.
ENTRIES = 3_700
SIDECARS = 10_000
REQUESTS_PER_S = 44_000
TOKENS_PER_S = 15_000_000
BETWEEN_TOKENS_S = 0.057
WORKSPACES = 2_800
CHANGES_PER_DAY = 30_000
CORE_LIMIT = 0.028
MEMORY_LIMIT_MB = 32
BYTES_PER_S_LIMIT = 15_000
TABLE_WRITES_PER_S = 400
TABLE_READS_PER_S = 2_000
DAY_S = 86_400

# Assumptions about what the target size does not state.
# Stages of the pipeline that runs a stream.
STAGES = 4
# Sidecars that an entry connects to; also determines the entries per sidecar.
SUBSET = 40
# Other entries with which an entry exchanges the configuration.
ENTRY_PEERS = 4
# Fraction of requests that are non-idempotent calls of plain services.
CALL_SHARE = 0.05


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of a table: a load, its limit and what bounds it."""

    name: str
    value: float
    unit: str
    limit: float | None
    mechanism: str

    def render(self) -> str:
        """Returns the row in Markdown."""
        limit = "" if self.limit is None else f"{self.limit:,g}"
        verdict = ""
        if self.limit is not None:
            verdict = "yes" if self.value <= self.limit else "**no**"
        return (
            f"| {self.name} | {self.value:,.4g} {self.unit} | {limit} |"
            f" {verdict} | {self.mechanism} |"
        )


class Slopes:
    """The measured slopes, by section and name."""

    def __init__(self, path: pathlib.Path = SLOPES):
        self._parser = configparser.ConfigParser()
        self._parser.read_string(path.read_text(encoding="utf-8"), str(path))

    def find(self, section: str, name: str) -> float:
        """Returns a slope."""
        return self._parser.getfloat(section, name)


def compute_entry(slopes: Slopes) -> list[Row]:
    """Returns the load on one entry."""
    requests = REQUESTS_PER_S / ENTRIES
    tokens = TOKENS_PER_S / ENTRIES
    stream_s = TOKENS_PER_S / REQUESTS_PER_S * BETWEEN_TOKENS_S
    streams = requests * stream_s
    connections = SUBSET + ENTRY_PEERS
    changes = CHANGES_PER_DAY / DAY_S
    find = slopes.find
    control_core = connections * find("connection", "core") + changes * (
        find("configuration", "us_per_change") / 1e6
    )
    control_bytes = connections * find("connection", "bytes_per_s") + (
        changes * find("configuration", "bytes_per_change")
    )
    control_memory = (
        connections * find("connection", "memory_bytes")
        + SUBSET * find("memory", "route_bytes")
        + WORKSPACES * find("memory", "workspace_bytes")
    ) / 1e6
    data_core = (
        tokens * find("entry", "us_per_token")
        + requests * find("entry", "us_per_request")
    ) / 1e6
    stream_memory = streams * find("memory", "stream_bytes") / 1e6
    return [
        Row("requests", requests, "/s", None, "balancer of the platform"),
        Row("tokens", tokens, "/s", None, "frames of many tokens"),
        Row("streams at once", streams, "", None, "state of a stream"),
        Row(
            "control: processor",
            control_core,
            "core",
            CORE_LIMIT,
            "bounded subset; slow heartbeat on idle connections",
        ),
        Row(
            "control: traffic sent",
            control_bytes,
            "bytes/s",
            BYTES_PER_S_LIMIT,
            "bounded subset; deltas of the configuration",
        ),
        Row(
            "control: state in memory",
            control_memory,
            "MB",
            MEMORY_LIMIT_MB,
            "bounded subset; whole configuration in each entry",
        ),
        Row(
            "whole process at rest",
            find("entry", "rest_mb"),
            "MB",
            MEMORY_LIMIT_MB,
            "lazy imports; the interpreter and HTTP take most",
        ),
        Row(
            "data: processor",
            data_core,
            "core",
            1.0,
            "tokens that wait together leave as one chunk",
        ),
        Row(
            "data: state of streams",
            stream_memory,
            "MB",
            None,
            "prompt, tokens",
        ),
    ]


def compute_sidecar(slopes: Slopes) -> list[Row]:
    """Returns the load on one sidecar of a model engine."""
    find = slopes.find
    entries = SUBSET * ENTRIES / SIDECARS
    connections = entries + 2 * (STAGES - 1)
    steps = TOKENS_PER_S * STAGES / SIDECARS
    stream_s = TOKENS_PER_S / REQUESTS_PER_S * BETWEEN_TOKENS_S
    streams = REQUESTS_PER_S * stream_s * STAGES / SIDECARS
    changes = CHANGES_PER_DAY / DAY_S
    control_core = connections * find("connection", "core") + changes * (
        find("configuration", "us_per_change") / 1e6
    )
    control_bytes = connections * find("connection", "bytes_per_s") + (
        changes * find("configuration", "bytes_per_change")
    )
    return [
        Row("entries connected", entries, "", None, "bounded subset"),
        Row("steps", steps, "/s", None, "frames of many steps"),
        Row("streams at once", streams, "", None, "guard and last step"),
        Row(
            "control: processor",
            control_core,
            "core",
            CORE_LIMIT,
            "slow heartbeat on idle connections",
        ),
        Row(
            "control: traffic sent",
            control_bytes,
            "bytes/s",
            BYTES_PER_S_LIMIT,
            "heartbeats only where no other frame was sent",
        ),
        Row(
            "whole process at rest",
            find("sidecar", "rest_mb"),
            "MB",
            MEMORY_LIMIT_MB,
            "no HTTP in the sidecar of a model engine",
        ),
        Row(
            "data: processor",
            steps * find("sidecar", "us_per_step") / 1e6,
            "core",
            1.0,
            "one frame for all steps to the same stage",
        ),
    ]


def compute_platform(slopes: Slopes) -> list[Row]:
    """Returns the load on the table service."""
    find = slopes.find
    calls = REQUESTS_PER_S * CALL_SHARE
    changes = CHANGES_PER_DAY / DAY_S
    return [
        Row(
            "configuration: reads",
            find("configuration", "reads_per_s_limit"),
            "/s",
            TABLE_READS_PER_S,
            "total poll rate is bounded; sidecars do not poll",
        ),
        Row(
            "configuration: writes",
            changes,
            "/s",
            TABLE_WRITES_PER_S,
            "one transaction for each change",
        ),
        Row(
            "non-repeatable calls, possible with single rows",
            find("claims", "single_per_s"),
            "/s",
            None,
            "two writes a call",
        ),
        Row(
            "non-repeatable calls, possible with grouped rows",
            find("claims", "grouped_per_s"),
            "/s",
            None,
            "rows of several calls in one transaction, for each sidecar",
        ),
        Row(
            f"non-repeatable calls wanted ({CALL_SHARE:.0%} of requests)",
            calls,
            "/s",
            find("claims", "grouped_per_s"),
            "above it, refused as not-run",
        ),
    ]


def render(slopes: Slopes) -> str:
    """Returns the tables in Markdown."""
    parts = []
    for title, rows in (
        ("Entry", compute_entry(slopes)),
        ("Sidecar of a model engine", compute_sidecar(slopes)),
        ("Table service", compute_platform(slopes)),
    ):
        parts.append(f"### {title}\n")
        parts.append(
            "| figure | at the target size | limit | within | carried by |"
        )
        parts.append("| --- | --- | --- | --- | --- |")
        parts += [row.render() for row in rows]
        parts.append("")
    return "\n".join(parts)


def main(arguments: list[str] | None = None) -> int:
    """Prints the tables, or writes them into the page."""
    parser = argparse.ArgumentParser(prog="python -m bench.capacity")
    parser.add_argument("--write", action="store_true")
    options = parser.parse_args(arguments or [])
    tables = render(Slopes())
    if not options.write:
        print(tables)
        return 0
    page = PAGE.read_text(encoding="utf-8")
    pattern = re.escape(BEGIN) + ".*" + re.escape(END)
    text = f"{BEGIN}\n\n{tables}\n{END}"
    PAGE.write_text(
        re.sub(pattern, lambda _: text, page, flags=re.DOTALL), encoding="utf-8"
    )
    return 0


if __name__ == "__main__":
    import sys

    sys.exit(main(sys.argv[1:]))
