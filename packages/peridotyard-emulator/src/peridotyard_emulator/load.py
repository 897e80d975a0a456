"""Load tool: open-loop arrivals with a traffic spike, as after a broadcast."""

import argparse
import collections
import dataclasses
import json
import math
import random
import sys
import uuid

import trio

from peridotyard_emulator import callers
from peridotyard_emulator import service as service_module

# Rate at the peak of the spike, relative to the baseline.
PEAK_FACTOR = 20
# Shares of the duration at the baseline and on the ramp; the rest is at the
# peak.
BASELINE_SHARE = 0.3
RAMP_SHARE = 0.2
PERCENTILES = (50, 95, 99)


@dataclasses.dataclass(frozen=True)
class Profile:
    """Arrivals over time.

    Attributes:
        baseline_per_s: Requests per second before the spike.
        duration_s: Length of the whole profile in seconds.
    """

    baseline_per_s: float
    duration_s: float

    def compute_rate(self, at_s: float) -> float:
        """Returns requests per second at a time in seconds after the start."""
        share = at_s / self.duration_s
        rise = min(max((share - BASELINE_SHARE) / RAMP_SHARE, 0), 1)
        return self.baseline_per_s * (1 + (PEAK_FACTOR - 1) * rise)

    def list_arrivals(self, source: random.Random) -> list[float]:
        """Returns Poisson arrivals in seconds after the start.

        They are drawn at the peak rate and thinned to the rate of their time.
        """
        peak_per_s = self.baseline_per_s * PEAK_FACTOR
        arrivals = []
        at_s = source.expovariate(peak_per_s)
        while at_s < self.duration_s:
            if source.random() * peak_per_s < self.compute_rate(at_s):
                arrivals.append(at_s)
            at_s += source.expovariate(peak_per_s)
        return arrivals


@dataclasses.dataclass(frozen=True)
class Target:
    """One workspace at one entry.

    Attributes:
        caller: Client with the API key of the workspace.
        workspace: Name of the workspace.
        service: Service that the workspace may call.
    """

    caller: callers.Caller
    workspace: str
    service: str


class Results:
    """Measurements and wrong responses, owned by one run.

    Attributes:
        sent: Number of "streams" and "calls" that were sent.
        completed: Number of them with an expected response.
        refused: Number of them by error code and verdict.
        wrong: Descriptions of the unexpected responses.
        tokens: Number of tokens of completed streams.
        first_chunk_s: Seconds from each request to the first text.
        chunk_gaps_s: Seconds between two chunks with text.
        call_s: Duration of each completed call in seconds.
    """

    def __init__(self):
        self.sent = collections.Counter()
        self.completed = collections.Counter()
        self.refused = collections.Counter()
        self.wrong = []
        self.tokens = 0
        self.first_chunk_s = []
        self.chunk_gaps_s = []
        self.call_s = []

    def add_stream(self, prompt: callers.Prompt, response: callers.Response):
        """Adds one stream and compares it with the expected text."""
        expected = prompt.generate()
        if not response.is_success:
            self._record_refusal(response)
            # The text before the error has to be the start of the response.
            if not expected.startswith(response.text):
                self._record_error(prompt.text, "text before the error differs")
            return
        if response.text != expected or not response.is_complete:
            self._record_error(
                prompt.text,
                f"{len(response.text)} of {len(expected)} characters,"
                f" complete: {response.is_complete}",
            )
            return
        self.completed["streams"] += 1
        # The emulated model has one character for each token.
        self.tokens += len(expected)
        arrivals = response.arrivals_s
        self.first_chunk_s.append(arrivals[0] - response.sent_s)
        # Tokens that are pending together arrive in one chunk, so a gap is the
        # time that the caller waits for more text.
        self.chunk_gaps_s += [
            later - earlier
            for earlier, later in zip(arrivals, arrivals[1:], strict=False)
        ]

    def add_call(self, name: str, response: callers.Response, problem: str):
        """Adds one service call; `problem` is empty if it is as expected."""
        if not response.is_success:
            self._record_refusal(response)
        elif problem:
            self._record_error(name, problem)
        else:
            self.completed["calls"] += 1
            self.call_s.append(response.arrivals_s[-1] - response.sent_s)

    def _record_refusal(self, response: callers.Response) -> None:
        self.refused[(response.code, response.verdict or "-")] += 1

    def _record_error(self, name: str, problem: str) -> None:
        self.wrong.append(f"{name}: {problem}")

    def render(self, duration_s: float) -> str:
        """Returns the report as text."""
        done = self.completed
        lines = [
            f"sent: {self.sent['streams']} streams, {self.sent['calls']} calls"
            f" in {duration_s:.1f} s",
            f"completed: {done['streams']} streams, {done['calls']} calls;"
            f" {self.tokens / duration_s:.0f} tokens/s,"
            f" {sum(done.values()) / duration_s:.1f} requests/s",
        ]
        for name, values in (
            ("first token", self.first_chunk_s),
            ("between chunks", self.chunk_gaps_s),
            ("service call", self.call_s),
        ):
            texts = [
                f"p{percent} {compute_percentile(values, percent) * 1000:.1f}"
                for percent in PERCENTILES
                if values
            ]
            lines.append(f"{name}, ms: {', '.join(texts) or 'none'}")
        lines.append(f"refused: {sum(self.refused.values())}")
        for (code, verdict), count in sorted(self.refused.items()):
            lines.append(f"  {code} ({verdict}): {count}")
        lines.append(f"wrong: {len(self.wrong)}")
        lines += [f"  {item}" for item in self.wrong[:10]]
        return "\n".join(lines)


def compute_percentile(values: list[float], percent: float) -> float:
    """Returns the smallest value that `percent` of the values don't exceed."""
    ordered = sorted(values)
    rank = math.ceil(len(ordered) * percent / 100)
    return ordered[max(rank, 1) - 1]


async def run_load(ready: dict, profile: Profile, options) -> Results:
    """Sends all requests of the profile and waits for their responses.

    Arrivals are open-loop: a slow response does not delay later requests.

    Args:
        ready: Content of the ready file of `peridotyard local`.
        profile: Arrivals of the requests.
        options: Options of the command line.
    """
    results = Results()
    source = random.Random(options.seed)
    services = {
        workspace: service
        for service, names in ready["services"].items()
        for workspace in names
    }
    targets = [
        Target(callers.Caller(url, key), name, services[name])
        for url in ready["entries"]
        for name, key in ready["workspaces"].items()
    ]
    model = ready["models"][0]
    start_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number, at_s in enumerate(profile.list_arrivals(source)):
            await trio.sleep_until(start_s + at_s)
            target = source.choice(targets)
            if source.random() < options.stream_share:
                prompt = callers.Prompt(
                    model["name"],
                    model["layers"],
                    f"Briefing {number} for {target.workspace}.",
                    source.randrange(1 << 31),
                    options.tokens,
                )
                results.sent["streams"] += 1
                nursery.start_soon(_stream, target, prompt, results)
            else:
                results.sent["calls"] += 1
                nursery.start_soon(_call, target, number, results)
    for target in targets:
        await target.caller.__aexit__()
    return results


async def _stream(target: Target, prompt, results: Results) -> None:
    results.add_stream(prompt, await target.caller.stream(prompt))


async def _call(target: Target, number: int, results: Results) -> None:
    # The call is sent twice with one idempotency key: the second response has
    # to be the stored response to the first.
    key = uuid.uuid4().hex
    path, value = make_submission(target.service, number)
    first = await target.caller.call("POST", path, value, key)
    results.add_call(path, first, "")
    if not first.is_success:
        return
    results.sent["calls"] += 1
    second = await target.caller.call("POST", path, value, key)
    same = second.body == first.body
    problem = "" if same else "the repeated call got a different response"
    results.add_call(path, second, problem)


def make_submission(service: str, number: int) -> tuple[str, dict]:
    """Returns the path and body of a non-idempotent call of a service."""
    value = {"id": f"load-{uuid.uuid4().hex}", "number": number}
    return (
        f"/v1/services/{service}{service_module.RECORD_PATHS[service]}",
        value,
    )


def main(arguments: list[str] | None = None) -> int:
    """Runs the load tool; the status is 1 if a response was wrong."""
    parser = argparse.ArgumentParser(
        prog="python -m peridotyard_emulator.load", description=__doc__
    )
    parser.add_argument("--ready-file", required=True, metavar="F")
    parser.add_argument(
        "--rate", type=float, default=1.0, help="baseline requests per second"
    )
    parser.add_argument(
        "--duration", type=float, default=30.0, help="length in seconds"
    )
    parser.add_argument(
        "--tokens", type=int, default=50, help="tokens of each stream"
    )
    parser.add_argument(
        "--stream-share",
        type=float,
        default=0.7,
        help="share of streams in all requests",
    )
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the arrivals"
    )
    options = parser.parse_args(arguments)
    _check_options(parser, options)
    try:
        with open(options.ready_file, encoding="utf-8") as file:
            ready = json.load(file)
    except (OSError, ValueError) as error:
        parser.error(f"{options.ready_file}: {error}")
    profile = Profile(options.rate, options.duration)
    results = trio.run(run_load, ready, profile, options)
    print(results.render(options.duration))
    return 1 if results.wrong else 0


def _check_options(parser, options) -> None:
    # "not >" instead of "<=" also rejects NaN.
    for name in ("rate", "duration", "tokens"):
        value = getattr(options, name)
        if not 0 < value < math.inf:
            parser.error(f"--{name}: {value}; allowed: a number above 0")
    if not 0 <= options.stream_share <= 1:
        parser.error(f"--stream-share: {options.stream_share}; allowed: 0 to 1")


if __name__ == "__main__":
    sys.exit(main())
