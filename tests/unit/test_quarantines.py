"""Tests of peridotyard_core.quarantines."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import crashes as crashes_module
from peridotyard_core import quarantines

from tests.support import cases


def record(quarantine, fingerprint, crash, now=0.0, **changes):
    """Records a crash with a number."""
    is_weak = changes.pop("is_weak", False)
    return quarantine.record_crash(
        fingerprint, crashes_module.Crash(2 * crash, is_weak), now, **changes
    )


def test_request_is_quarantined_after_the_third_crash():
    """Guards against a request that crashes one server after the other."""
    quarantine = quarantines.Quarantine()
    assert quarantine.is_empty
    for crash in (1, 2):
        record(quarantine, 7, crash)
        assert not quarantine.is_quarantined(7, 1.0)
    assert record(quarantine, 7, 3, 2.0)
    assert quarantine.count_crashes(7) == 3
    assert quarantine.is_quarantined(7, 3.0)
    assert not quarantine.is_quarantined(8, 3.0)


def test_crash_that_is_reported_twice_counts_once():
    """Guards against a quarantine caused by repeated reports of one crash."""
    quarantine = quarantines.Quarantine()
    for _ in range(5):
        record(quarantine, 7, 1)
    assert not quarantine.is_quarantined(7, 1.0)


def test_request_that_is_repeated_stays_quarantined():
    """Guards against a request that leaves quarantine while it is repeated.

    The next attempt would crash another server.
    """
    quarantine = quarantines.Quarantine()
    for crash in range(quarantines.CRASH_LIMIT):
        record(quarantine, 7, crash)
    now = 0.0
    for _ in range(5):
        now += quarantines.RETENTION_S - 1
        assert quarantine.is_quarantined(7, now)
    assert not quarantine.is_quarantined(7, now + quarantines.RETENTION_S)
    assert quarantine.is_empty


def test_memory_is_bounded_and_the_oldest_is_discarded():
    """Guards against memory that grows with the number of crashes."""
    quarantine = quarantines.Quarantine()
    for number in range(quarantines.FINGERPRINTS_LIMIT + 10):
        record(quarantine, number, 1, float(number))
    crashes_by_fingerprint = quarantine.list_crashes()
    assert len(crashes_by_fingerprint) == quarantines.FINGERPRINTS_LIMIT
    assert min(crashes_by_fingerprint) == 10


def test_crashes_of_a_stream_in_progress_weigh_less():
    """Guards against streams that are barred for crashes of other causes."""
    quarantine = quarantines.Quarantine()
    for crash in range(quarantines.WEAK_CRASH_LIMIT):
        assert not quarantine.is_quarantined(7, 0.0)
        record(quarantine, 7, crash, is_weak=True)
    assert quarantine.is_quarantined(7, 0.0)


def test_strongest_evidence_of_a_crash_counts():
    """Guards against crashes that only a copy in progress reports."""
    quarantine = quarantines.Quarantine()
    for crash in range(quarantines.CRASH_LIMIT):
        record(quarantine, 7, crash, is_weak=True)
        assert record(quarantine, 7, crash)
        assert not record(quarantine, 7, crash, is_weak=True)
    assert quarantine.is_quarantined(7, 0.0)


def test_request_with_the_most_crashes_explains_those_of_others():
    """Guards against sound requests that are barred for sharing a server."""
    quarantine = quarantines.Quarantine()
    for crash in range(quarantines.CRASH_LIMIT):
        for fingerprint in (7, 8):
            record(quarantine, fingerprint, crash)
    # Either of the two may be the cause.
    assert not quarantine.is_quarantined(7, 0.0)
    assert not quarantine.is_quarantined(8, 0.0)
    record(quarantine, 7, 10)
    assert quarantine.is_quarantined(7, 0.0)
    assert not quarantine.is_quarantined(8, 0.0)


def test_requests_that_explain_each_other_are_quarantined_in_the_end():
    """Guards against a request that another one covers for good."""
    quarantine = quarantines.Quarantine()
    for crash in range(quarantines.EXPLAINED_CRASH_LIMIT):
        assert not quarantine.is_quarantined(7, 0.0)
        for fingerprint in (7, 8):
            record(quarantine, fingerprint, crash)
    assert quarantine.is_quarantined(7, 0.0)
    assert quarantine.is_quarantined(8, 0.0)


def test_answer_clears_a_request():
    """Guards against popular requests that collect crashes for hours."""
    quarantine = quarantines.Quarantine()
    for crash in range(20):
        record(quarantine, 7, crash)
        assert quarantine.clear(7)
        # A report that was on its way.
        assert not record(quarantine, 7, crash)
        assert not quarantine.is_quarantined(7, 0.0)
    assert not quarantine.clear(7)
    assert not quarantine.list_crashes()


def test_crash_is_shared_once_and_not_after_an_answer():
    """Guards against reports on each stream that a server had in progress."""
    quarantine = quarantines.Quarantine()
    record(quarantine, 7, 1, is_weak=True, is_shared=False)
    assert quarantine.list_crashes() == {}
    assert not quarantine.clear(7)
    assert quarantine.is_empty
    record(quarantine, 7, 1, is_weak=True, is_shared=False)
    assert quarantine.share(7) == [crashes_module.Crash(2, True)]
    assert quarantine.share(7) == []
    assert quarantine.list_crashes() == {7: [crashes_module.Crash(2, True)]}


def test_repeated_crashes_outlast_a_flood_of_single_ones():
    """Guards against a fatal request that is forgotten in a mass failure."""
    quarantine = quarantines.Quarantine()
    for crash in range(2):
        record(quarantine, -1, crash)
    for number in range(quarantines.FINGERPRINTS_LIMIT + 10):
        record(quarantine, number, 100, 1.0)
    assert quarantine.count_crashes(-1) == 2


def test_fingerprint_distinguishes_path_workspace_and_body():
    """Guards against different requests with the same fingerprint.

    Moving bytes from one part to the next must change the fingerprint.
    """
    seen = {
        quarantines.compute_fingerprint("/a", "b", b"c"),
        quarantines.compute_fingerprint("/ab", "", b"c"),
        quarantines.compute_fingerprint("/a", "bc", b""),
        quarantines.compute_fingerprint("/a", "", b"bc"),
    }
    assert len(seen) == 4
    again = quarantines.compute_fingerprint("/a", "b", b"c")
    assert again in seen
    assert -(1 << 63) <= again < 1 << 63


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 3),
            strategies.integers(0, 5),
        ),
        max_size=30,
    )
)
def test_entries_that_exchange_all_crashes_agree(steps):
    """Guards against entries that know different crashes of a request."""
    entries = [quarantines.Quarantine() for _ in range(3)]
    for entry, fingerprint, crash in steps:
        record(entries[entry], fingerprint, crash)
    for source in entries:
        for target in entries:
            for fingerprint, crashes in source.list_crashes().items():
                for crash in crashes:
                    target.record_crash(fingerprint, crash, 0.0)
    first = entries[0].list_crashes()
    assert all(entry.list_crashes() == first for entry in entries[1:])
