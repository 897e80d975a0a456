"""Records the long pauses of a stream in metrics and log."""

from peridotyard_core import pauses
import trio

from peridotyard_daemon.process import logs
from peridotyard_daemon.request import contexts

# Names of the histograms, each with the cause as its class, so that there are
# at most 42: the duration and six stages, for six causes.
DURATION_FIGURE = "stream_pause"
STAGE_FIGURE_PREFIX = "stream_pause_"

_log = logs.Logger("stream")


class StreamPauses:
    """The pauses between the events of a stream, owned by the stream."""

    def __init__(self, context: contexts.Context, request: contexts.Request):
        self._context = context
        self._request = request
        self._recorder = pauses.Recorder()

    def mark(self, mark: pauses.Mark) -> None:
        """Records what happens now."""
        self._recorder.add(mark, trio.current_time())

    def record_event(self) -> None:
        """Records an event that is sent to the caller now.

        A pause before it is reported if it exceeds the objective of the route.
        """
        pause = self._recorder.record_event(
            trio.current_time(), self._request.route.event_gap_objective_s
        )
        if pause is not None:
            self._report(pause)

    def _report(self, pause: pauses.Pause) -> None:
        cause = pause.cause.value
        metrics = self._context.metrics
        metrics.record(DURATION_FIGURE, "", cause, pause.duration_s)
        for stage, duration_s in pause.stages.items():
            metrics.record(
                STAGE_FIGURE_PREFIX + stage.value, "", cause, duration_s
            )
        omitted = self._context.pause_reports.admit(trio.current_time())
        if omitted is None:
            return
        self._request.log(
            _log,
            "stream paused",
            cause=cause,
            ms=round(1000 * pause.duration_s),
            omitted=omitted,
            **{
                f"{stage.value}_ms": round(1000 * duration_s)
                for stage, duration_s in pause.stages.items()
            },
        )
