"""Tests of peridotyard_core.buffers."""

import random

from peridotyard_core import buffers


def open_named(shared, evicted, name, now=0.0):
    return shared.open(lambda: evicted.append(name), now)


def test_stopped_message_is_given_up_ahead_of_arriving_ones():
    """Guards against stalled messages that keep the memory from others."""
    shared = buffers.Buffers(100)
    evicted = []
    stalled = open_named(shared, evicted, "stalled")
    shared.resize(stalled, 60, 0.0)
    small = open_named(shared, evicted, "small", 0.1)
    shared.resize(small, 1, 0.1)
    arriving = open_named(shared, evicted, "arriving", 5.0)
    shared.resize(arriving, 39, 5.0)
    assert evicted == []
    shared.resize(arriving, 70, 5.1)
    assert evicted == ["stalled"]
    assert stalled.is_evicted and not arriving.is_evicted
    assert shared.total_bytes == 71


def test_message_that_exceeds_the_limit_alone_is_given_up():
    """Guards against a loop that finds nothing else to give up."""
    shared = buffers.Buffers(100)
    evicted = []
    buffer = open_named(shared, evicted, "only")
    shared.resize(buffer, 101, 0.0)
    assert evicted == ["only"] and shared.total_bytes == 0
    # Its reader may not have noticed yet.
    shared.resize(buffer, 120, 0.1)
    shared.close(buffer)
    assert evicted == ["only"] and shared.total_bytes == 0


def test_total_stays_within_the_limit():
    """Guards against a sum that drifts when messages end in any order."""
    source = random.Random(1)
    shared = buffers.Buffers(1000)
    held = []
    for step in range(5000):
        now = float(step)
        if not held or source.random() < 0.3:
            held.append(shared.open(lambda: None, now))
        buffer = source.choice(held)
        if source.random() < 0.2:
            shared.close(buffer)
            held.remove(buffer)
        else:
            size = buffer.size_bytes + source.randrange(200)
            shared.resize(buffer, size, now)
        held = [item for item in held if not item.is_evicted]
        assert shared.total_bytes == sum(item.size_bytes for item in held)
        assert shared.total_bytes <= 1000


def test_complete_messages_count_and_are_not_given_up():
    """Guards against memory of requests in progress that is not counted."""
    shared = buffers.Buffers(100, 10)
    evicted = []
    complete = open_named(shared, evicted, "complete")
    shared.resize(complete, 90, 0.0)
    shared.keep(complete)
    small = open_named(shared, evicted, "small", 1.0)
    shared.resize(small, 10, 1.0)
    large = open_named(shared, evicted, "large", 2.0)
    shared.resize(large, 11, 2.0)
    assert evicted == ["large"]
    # Small messages arrive even if others have used up the limit.
    other = open_named(shared, evicted, "other", 3.0)
    shared.resize(other, 10, 3.0)
    assert evicted == ["large"] and shared.total_bytes == 110
    shared.close(complete)
    assert shared.total_bytes == 20
