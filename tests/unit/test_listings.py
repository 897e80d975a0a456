"""Tests of peridotyard_daemon.process.listings."""

import collections

from peridotyard_daemon.process import listings
from peridotyard_daemon.process import stores

from tests.support import fleets


def test_number_of_rows_is_bounded(monkeypatch):
    """Guards against a writer of ever new keys that fills the memory."""
    monkeypatch.setattr(listings, "MAX_ROWS", 3)
    counts = collections.Counter()
    servers = listings.ServerRows(
        lambda key, _value, revision: fleets.make_server(
            key, revision=revision
        ),
        lambda name: counts.update([name]),
    )

    def write(key, revision, removed=False):
        row = stores.Row(key, b"", revision, removed)
        return [item.key for item in servers.update((row,))]

    changed = [write(f"s{number}", number) for number in range(1, 9)]
    assert changed == [["s1"], ["s2"], ["s3"], [], [], [], [], []]
    assert not servers.has_row("s4")
    assert counts["unreadable_rows.server"] == 5
    # A row that ends makes room for another one.
    write("s1", 10, removed=True)
    assert write("s4", 11) == ["s4"]
    assert write("s2", 12, removed=True) == ["s2"]
