"""Stand-ins whose streams pause while a server of their path is lost."""

import collections
import contextlib

from peridotyard_core import pauses
import trio

from tests.support import servers

# Time between two looks at the state of the other servers.
_LOOK_INTERVAL_S = 0.001


class Stage(servers.StandIn):
    """A first server that waits for the other servers of its path.

    Each server that is new on the path of a stream prefills the stream first,
    one stream after the other.

    Attributes:
        prefill_s: Time in which a server prefills one stream, seconds.
        has_ended: Whether the process has ended.
        prefilled: Ids of the requests that it has prefilled.
    """

    prefill_s = 0.01

    def __init__(self, *args):
        super().__init__(*args)
        self.has_ended = False
        self.prefilled: collections.Counter[str] = collections.Counter()
        self._lock = trio.Lock()

    async def prefill(self, request_id: str) -> None:
        """Prefills a stream unless that has been done."""
        async with self._lock:
            await self.wait_responsive()
            if request_id not in self.prefilled:
                await trio.sleep(self.prefill_s)
            self.prefilled[request_id] += 1

    async def _wait_before_event(self, request_id: str) -> None:
        while True:
            stages = [
                self.peers[stage.partition("=")[0]]
                for stage in self._path_headers[request_id].split(",")
            ]
            if not any(stage.is_lost for stage in stages):
                break
            await trio.sleep(_LOOK_INTERVAL_S)
        for stage in stages:
            if request_id not in stage.prefilled:
                await stage.prefill(request_id)

    @property
    def is_lost(self) -> bool:
        """Whether the process has ended or is silent."""
        return self.has_ended or not self._responsive.is_set()


def kill(harness, instance: str) -> None:
    """Ends a server as a crash does: its connections are reset."""
    harness.servers[instance].has_ended = True
    harness.kill(instance)


def move_streams_at_once(harness, nursery):
    """Lets streams move off a suspected server, as the process does."""

    def move(instance):
        for stream in harness.context.streams:
            nursery.start_soon(stream.replace_server, instance)

    harness.context.view.notify_leaving = move


@contextlib.contextmanager
def record_pauses(limit_s: float):
    """Yields a list that receives all pauses longer than a limit."""
    found: list[pauses.Pause] = []
    record = pauses.Recorder.record_event

    def record_event(self, at, objective_s):
        first, *_ = self._marks or [pauses.TimedMark(None, at)]
        if at - first.at > limit_s:
            found.append(pauses.analyze_pause(self._marks, at))
        return record(self, at, objective_s)

    pauses.Recorder.record_event = record_event
    try:
        yield found
    finally:
        pauses.Recorder.record_event = record
