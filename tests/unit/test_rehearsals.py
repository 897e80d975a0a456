"""Tests of peridotyard_daemon.request.rehearsals."""

from peridotyard_daemon.request import rehearsals
import pytest

from tests.support import cases
from tests.support import gateways


@cases.run_on_virtual_clock
async def test_rehearsal_ends_at_an_effect_that_it_does_not_know():
    """Guards against later decisions whose effects a rehearsal would have."""
    servers = gateways.make_plain_servers(1)
    async with gateways.open_harness(servers) as harness:
        rehearsal = rehearsals.Context.from_context(harness.context)
        for name in ("suspect", "record_path", "record_refusal", "get_health"):
            with pytest.raises(AttributeError):
                getattr(rehearsal.view, name)
        with pytest.raises(AttributeError):
            rehearsal.reservations.decide(None, 1.0)
        with pytest.raises(AttributeError):
            rehearsal.find_queue("model").end_stream(1.0)
        request = rehearsals.Request.from_request(harness.make_request(), 0)
        for name in ("outcome", "crash"):
            with pytest.raises(AttributeError):
                rehearsal.metrics.record(name, "", "", 1.0)
        assert request.priority == 0


@cases.run_on_virtual_clock
async def test_state_that_is_read_is_that_of_the_entry():
    """Guards against a rehearsal over the empty state of a new entry."""
    async with gateways.open_harness([]) as harness:
        queue = harness.context.find_queue("model")
        queue.in_progress = 7
        queue.end_stream(3.0)
        rehearsal = rehearsals.Context.from_context(harness.context)
        reader = rehearsal.find_queue("model")
        assert (reader.in_progress, reader.mean_duration_s) == (6, 3.0)
        assert rehearsal.view.servers is harness.context.view.servers
