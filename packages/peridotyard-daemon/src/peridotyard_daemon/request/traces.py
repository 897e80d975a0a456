"""Traces of recent requests, for operators."""

import collections

# Retained traces, of about 1 KB each. An entry serves a few thousand requests a
# minute at its peak.
LIMIT = 2000


class Traces:
    """Traces of an entry's recent requests, owned by the entry."""

    def __init__(self, limit: int = LIMIT):
        self._limit = limit
        self._traces = collections.OrderedDict()

    def record(self, request_id: str, trace: dict) -> None:
        """Adds the JSON value of a trace; evicts the oldest above the limit."""
        self._traces[request_id] = trace
        self._traces.move_to_end(request_id)
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)

    def find(self, request_id: str) -> dict | None:
        """Returns the trace of a request, None if there is none."""
        return self._traces.get(request_id)
