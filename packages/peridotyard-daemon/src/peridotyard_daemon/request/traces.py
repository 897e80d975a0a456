"""Traces of the latest requests, for operators."""

import collections

# About 1 KB each; an entry at its peak has a few thousand requests a minute.
LIMIT = 2000


class Traces:
    """The latest requests of an entry by request id, owned by the entry."""

    def __init__(self, limit: int = LIMIT):
        self._limit = limit
        self._traces = collections.OrderedDict()

    def record(self, request_id: str, trace: dict) -> None:
        """Keeps the JSON value of a trace; the oldest one is dropped."""
        self._traces[request_id] = trace
        self._traces.move_to_end(request_id)
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)

    def find(self, request_id: str) -> dict | None:
        """Returns the trace of a request, None if it is not known."""
        return self._traces.get(request_id)
