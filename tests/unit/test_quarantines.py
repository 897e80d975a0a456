"""Tests of peridotyard_core.quarantines."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import quarantines

from tests.support import cases


def test_request_is_quarantined_after_the_third_crash():
    """Guards against a request that crashes one server after the other."""
    quarantine = quarantines.Quarantine()
    assert quarantine.is_empty
    for crash in (1, 2):
        quarantine.record_crash(7, crash, 0.0)
        assert not quarantine.is_quarantined(7, 1.0)
    assert quarantine.record_crash(7, 3, 2.0) == 3
    assert quarantine.is_quarantined(7, 3.0)
    assert not quarantine.is_quarantined(8, 3.0)


def test_crash_that_is_reported_twice_counts_once():
    """Guards against a quarantine caused by repeated reports of one crash."""
    quarantine = quarantines.Quarantine()
    for _ in range(5):
        quarantine.record_crash(7, 1, 0.0)
    assert not quarantine.is_quarantined(7, 1.0)


def test_request_that_is_repeated_stays_quarantined():
    """Guards against a request that leaves quarantine while it is repeated.

    The next attempt would crash another server.
    """
    quarantine = quarantines.Quarantine()
    for crash in range(quarantines.CRASH_LIMIT):
        quarantine.record_crash(7, crash, 0.0)
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
        quarantine.record_crash(number, 1, float(number))
    crashes_by_fingerprint = quarantine.list_crashes()
    assert len(crashes_by_fingerprint) == quarantines.FINGERPRINTS_LIMIT
    assert min(crashes_by_fingerprint) == 10


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
        entries[entry].record_crash(fingerprint, crash, 0.0)
    for source in entries:
        for target in entries:
            for fingerprint, crashes in source.list_crashes().items():
                for crash in crashes:
                    target.record_crash(fingerprint, crash, 0.0)
    first = entries[0].list_crashes()
    assert all(entry.list_crashes() == first for entry in entries[1:])
