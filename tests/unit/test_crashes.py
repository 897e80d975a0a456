"""Tests of peridotyard_core.crashes, and the model of crashed servers."""

import dataclasses

import hypothesis
from hypothesis import strategies
from peridotyard_core import crashes
import pytest

from tests.support import blames
from tests.support import cases
from tests.support import fleets

SERVER = fleets.make_server("s")
OTHER = fleets.make_server("t")


def test_crash_has_one_identity():
    """Guards against one crash that counts for each request and entry."""
    first, second = (
        crashes.classify_loss([SERVER], progress).crash
        for progress in (
            crashes.Progress.NOT_ANSWERED,
            crashes.Progress.STREAMING,
        )
    )
    assert first.id == second.id
    assert not first.is_weak
    assert second.is_weak
    restarted = dataclasses.replace(SERVER, started_at_ms=1)
    ids = {
        crashes.compute_id(server.instance, server.started_at_ms)
        for server in (SERVER, OTHER, restarted)
    }
    assert len(ids) == 3


def test_servers_lost_together_count_as_one_crash():
    """Guards against a request that is quarantined for a loss of power."""
    progress = crashes.Progress.NOT_ANSWERED
    both = crashes.classify_loss([SERVER, OTHER], progress)
    assert both == crashes.classify_loss([SERVER], progress)
    assert crashes.classify_loss([], progress) is None


@pytest.mark.parametrize(
    ("progress", "is_weak", "blames_parts"),
    [
        (crashes.Progress.NOT_ANSWERED, False, True),
        (crashes.Progress.RESUMED, False, False),
        (crashes.Progress.STREAMING, True, False),
        (crashes.Progress.REFUSED, True, False),
    ],
)
def test_evidence_depends_on_the_progress(progress, is_weak, blames_parts):
    """Guards against parts that are blamed after an answer has begun."""
    finding = crashes.classify_loss([SERVER], progress)
    assert finding.server is SERVER
    assert finding.crash.is_weak == is_weak
    assert finding.blames_parts == blames_parts


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    instance=strategies.text(), started=strategies.integers(0, 1 << 50)
)
def test_report_of_a_crash_survives_the_wire(instance, started):
    """Guards against reports that name another crash or exceed 64 bits."""
    identity = crashes.compute_id(instance, started)
    for is_weak in (False, True):
        crash = crashes.Crash(identity, is_weak)
        code = crash.encode()
        assert -(1 << 63) <= code < 1 << 63
        assert crashes.Crash.from_code(code) == crash


@pytest.mark.parametrize("place", [0, 1, -1])
@pytest.mark.parametrize("delay_s", [0.1, 0.4, 1.5])
@pytest.mark.parametrize("sends", [1, 5])
def test_request_that_crashes_servers_is_contained(place, delay_s, sends):
    """Guards against BUDGET: retries long after the third crash.

    The request crashes any server of its path, before or after events, and
    comes again at any of 40 entries; reports come late or are lost.
    """
    for seed in range(4):
        outcome = blames.play(
            seed,
            place=place,
            delay_s=delay_s,
            sends=sends,
            is_lossy=True,
            other_crashes=0.5 * (seed % 2),
        )
        assert outcome.crashed_at
        assert outcome.count_late_retries() <= 3


@pytest.mark.parametrize("delay_s", [0.1, 0.4, 1.5])
def test_sound_requests_beside_it_are_not_barred(delay_s):
    """Guards against sound requests that are refused for sharing a server."""
    for seed in range(4):
        outcome = blames.play(
            seed,
            place=seed % 3 - 1,
            delay_s=delay_s,
            sends=5,
            is_lossy=seed % 2 == 1,
            other_crashes=0.0,
        )
        assert outcome.sound > 3000
        assert outcome.barred == 0
