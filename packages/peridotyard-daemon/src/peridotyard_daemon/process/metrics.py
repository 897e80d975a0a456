"""Metrics: counters and gauges sent to statsd, and histograms."""

import collections

from peridotyard_core import histograms
import statsd
import trio


class Metrics:
    """The metrics of one process, owned by the process.

    Counters are aggregated and sent once per interval, so that the traffic does
    not grow with the number of requests.
    """

    def __init__(self, client, interval_s: float):
        self._client = client
        self._interval_s = interval_s
        self._counters = collections.Counter()
        self._totals = collections.Counter()
        self._gauges = {}
        self.histograms = histograms.HistogramSet()

    @classmethod
    def from_config(cls, settings) -> "Metrics":
        """Creates the metrics of a process from `settings.ProcessSettings`."""
        client = None
        if settings.statsd is not None:
            client = statsd.StatsClient(
                settings.statsd.host,
                settings.statsd.port,
                prefix=f"peridotyard.{settings.instance}",
            )
        return cls(client, settings.metrics_interval_s)

    def increment(self, name: str, count: int = 1) -> None:
        """Increases a counter, whose name is "counter" or "counter.kind"."""
        self._counters[name] += count
        self._totals[name] += count

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self._gauges[name] = value

    def record(
        self, figure: str, workspace: str, priority: str, duration_s: float
    ) -> None:
        """Adds a duration to its histogram.

        Args:
            figure: Name of the duration, such as "first_token".
            workspace: Workspace of the request.
            priority: Priority class of the request.
            duration_s: The duration, seconds.
        """
        key = histograms.Key(figure, workspace, priority)
        self.histograms.record(key, duration_s)

    def get_count(self, name: str) -> int:
        """Returns a counter since the last flush, for tests."""
        return self._counters[name]

    def render(self) -> str:
        """Returns all metrics in the Prometheus text exposition format.

        Counters are totals since the start of the process; durations are
        summaries in seconds.
        """
        lines = []
        for name, total in sorted(self._totals.items()):
            name, _, kind = name.partition(".")
            label = f'{{kind="{kind}"}}' if kind else ""
            lines.append(f"peridotyard_{name}_total{label} {total}")
        for name, value in sorted(self._gauges.items()):
            lines.append(f"peridotyard_{name} {value:g}")
        for summary in self.histograms.summarize():
            lines += _render_summary(summary)
        return "\n".join(lines) + "\n"

    async def run(self) -> None:
        """Sends the metrics once per interval until cancelled."""
        if self._client is None:
            return
        while True:
            await trio.sleep(self._interval_s)
            self._flush()

    def _flush(self) -> None:
        with self._client.pipeline() as pipeline:
            for name, count in self._counters.items():
                pipeline.incr(name, count)
            for name, value in self._gauges.items():
                pipeline.gauge(name, value)
        self._counters.clear()


def _render_summary(summary: histograms.Summary) -> list[str]:
    key = summary.key
    labels = f'workspace="{key.workspace}",class="{key.priority}"'
    name = f"peridotyard_{key.figure}_seconds"
    quantiles = (
        ("0.5", summary.p50_ms),
        ("0.95", summary.p95_ms),
        ("0.99", summary.p99_ms),
        ("1", summary.max_ms),
    )
    lines = [
        f'{name}{{{labels},quantile="{quantile}"}} {ms / 1000:g}'
        for quantile, ms in quantiles
    ]
    return lines + [f"{name}_count{{{labels}}} {summary.count}"]
