"""Tests of peridotyard_core.shares."""

import hypothesis
from hypothesis import strategies
from peridotyard_core import demands
from peridotyard_core import shares
import pytest

from tests.support import cases
from tests.support import share_models

HIGH = share_models.Source(0, "high", 25.0)
MIDDLE = share_models.Source(1, "middle", 25.0)
LOW = share_models.Source(9, "low", 20.0, surge=6.0)
FAULTY = share_models.Faults(lost=0.3, delay_s=1.5)


def make_figures(levels, workspaces=()):
    """Returns figures from needed streams and streams in progress."""
    figures = {
        demands.Key("model", level): demands.Figures(needed / 2, needed, used)
        for level, (needed, used) in levels.items()
    }
    for (level, name), (needed, used) in dict(workspaces).items():
        key = demands.Key("model", level, name)
        figures[key] = demands.Figures(needed / 2, needed, used)
    return figures


def compute(levels, workspaces=(), capacity=100.0):
    figures = make_figures(levels, workspaces)
    return shares.compute_shares(figures, "model", capacity)


def run_model(sources, **changes):
    """Returns the model after its run, and the results by workspace."""
    model = share_models.Model(sources, **changes)
    results = model.run()
    return model, {source.workspace: results[source] for source in sources}


def check_floors(results):
    """Checks that no source is served far less than all together."""
    offered = sum(result.offered for result in results.values())
    served = sum(result.served for result in results.values())
    for result in results.values():
        assert result.served_share >= 0.25 * served / offered


def test_high_priority_callers_beside_a_surge_of_the_lowest():
    """Guards against capacity that goes to whoever comes first.

    Without shares, all kinds are rejected alike.
    """
    _, before = run_model([HIGH, MIDDLE, LOW], shares_capacity=False)
    assert before["high"].served_share < 0.8
    model, results = run_model([HIGH, MIDDLE, LOW])
    assert results["high"].served_share >= 0.99
    assert results["middle"].served_share >= 0.98
    check_floors(results)
    # One caller in five is rejected at first at most; it waits in an entry.
    assert results["high"].rejections <= 0.2 * results["high"].offered
    # The capacity that is kept free stays small.
    assert results["low"].served >= 0.5 * before["low"].served
    assert model.most_used <= share_models.SERVERS * 10


def test_one_hot_workspace():
    """Guards against a workspace that takes the capacity of its priority."""
    sources = [
        HIGH,
        share_models.Source(1, "hot", 5.0, surge=20.0),
        *(share_models.Source(1, f"w{n}", 3.0) for n in range(8)),
        share_models.Source(9, "low", 10.0),
    ]
    _, results = run_model(sources)
    for name, result in results.items():
        if name.startswith("w"):
            assert result.served_share >= 0.9
            assert result.served_share > 1.5 * results["hot"].served_share
    assert results["high"].served_share >= 0.98
    check_floors(results)


def test_callers_that_retry_immediately():
    """Guards against callers that get more by asking more often."""
    sources = [
        HIGH,
        share_models.Source(1, "eager", 60.0, retry_s=0.05, retries=20),
        *(share_models.Source(1, f"w{n}", 3.0) for n in range(8)),
        share_models.Source(9, "low", 10.0),
    ]
    _, before = run_model(sources, shares_capacity=False)
    _, results = run_model(sources)
    for name in ("high", *(f"w{n}" for n in range(8))):
        assert results[name].served_share >= 0.9
        assert results[name].served_share > before[name].served_share
    assert results["eager"].served_share < before["eager"].served_share
    check_floors(results)


def test_a_quarter_of_the_servers_lost_under_load():
    """Guards against a loss of capacity that hits all priorities alike."""
    sources = [
        HIGH,
        share_models.Source(1, "middle", 35.0),
        share_models.Source(9, "low", 35.0),
    ]
    lost = share_models.SERVERS // 4
    _, before = run_model(sources, lost_servers=lost, shares_capacity=False)
    _, results = run_model(sources, lost_servers=lost)
    assert results["high"].served_share >= 0.98
    assert before["high"].served_share < 0.9
    assert results["middle"].served_share > results["low"].served_share
    check_floors(results)


def test_return_after_a_power_failure():
    """Guards against an order of arrival that decides when all return.

    The entries know nothing at first, and all callers begin at once.
    """
    sources = [
        share_models.Source(0, "high", 25.0, surge=3.0),
        share_models.Source(1, "middle", 25.0, surge=3.0),
        share_models.Source(9, "low", 20.0, surge=3.0),
    ]
    _, before = run_model(sources, began_at=10.0, shares_capacity=False)
    _, results = run_model(sources, began_at=10.0)
    assert results["high"].served_share >= 0.8
    assert results["high"].served_share > 1.4 * before["high"].served_share
    check_floors(results)


# Guards against shares that depend on messages that arrive in order and time,
# and against entries without messages that use more than their part.
@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    "changes",
    [{"faults": FAULTY}, {"isolated": 4}, {"faults": FAULTY, "isolated": 2}],
    ids=["lost-and-reordered", "isolated", "both"],
)
def test_shares_hold_in_40_entries_with_disturbed_messages(seed, changes):
    model, results = run_model([HIGH, MIDDLE, LOW], seed=seed, **changes)
    assert results["high"].served_share >= 0.97
    assert results["middle"].served_share >= 0.9
    check_floors(results)
    for _, withheld, total in model.withheld:
        for part in withheld.values():
            assert 0 <= part <= shares.MAX_WITHHELD
        assert total.entries <= share_models.ENTRIES + 1e-6


def test_entries_agree_on_the_demand():
    """Guards against shares whose sum is not the capacity.

    With the messages of half a second, each entry finds about the arrivals
    that there are.
    """
    model, _ = run_model([HIGH, MIDDLE, LOW])
    late = [item for item in model.withheld if 20.0 <= item[0] < 24.0]
    for level, rate_per_s in ((0, 25.0), (1, 25.0)):
        key = demands.Key(share_models.SERVICE, level)
        rates = [total.figures[key].arrivals_per_s for _, _, total in late]
        assert rate_per_s * 0.6 <= min(rates)
        # Rejected callers that return are arrivals again.
        assert max(rates) <= rate_per_s * 2.5


def test_nothing_is_withheld_with_one_priority_or_ample_capacity():
    """Guards against unused capacity where nobody competes for it."""
    hot = {(1, "hot"): (500.0, 90.0)}
    assert compute({1: (500.0, 100.0)}, hot) is shares.NOTHING_WITHHELD
    ample = {0: (20.0, 20.0), 9: (25.0, 25.0)}
    assert compute(ample) is shares.NOTHING_WITHHELD
    scarce = {0: (50.0, 40.0), 9: (200.0, 60.0)}
    for capacity in (0.0, float("inf")):
        found = compute(scarce, capacity=capacity)
        assert found is shares.NOTHING_WITHHELD
    assert compute(scarce).get_withheld(9, "") > 0
    model, _ = run_model(
        [share_models.Source(0, "a", 10.0), share_models.Source(9, "b", 10.0)]
    )
    assert not any(withheld for _, withheld, _ in model.withheld)


def test_unused_reserve_is_lent_and_reclaimed():
    """Guards against capacity that stays reserved for who does not come."""
    assert compute({0: (0.01, 0.0), 9: (200.0, 100.0)}).get_withheld(9, "") < (
        0.01
    )
    idle = compute({0: (5.0, 5.0), 9: (200.0, 95.0)}).get_withheld(9, "")
    back = compute({0: (50.0, 5.0), 9: (200.0, 95.0)}).get_withheld(9, "")
    assert idle < 0.05
    assert back > 0.4


def test_each_priority_keeps_its_floor():
    """Guards against the starvation of a low priority."""
    found = compute({0: (300.0, 100.0), 9: (100.0, 0.0)})
    assert found.get_withheld(9, "") == 0
    assert found.get_withheld(0, "") == pytest.approx(shares.FLOOR_SHARE * 0.25)


def test_few_workspaces_do_not_lose_to_many():
    """Guards against a share that is divided by requests, not workspaces."""
    workspaces = {(1, "hot"): (300.0, 75.0), (1, "small"): (10.0, 2.0)}
    found = compute({0: (20.0, 20.0), 1: (310.0, 77.0)}, workspaces)
    assert found.get_withheld(1, "hot") > found.get_withheld(1, "small")
    assert found.get_pace(1, "small") == float("inf")


def test_part_of_a_stream_is_withheld_on_a_part_of_the_servers():
    """Guards against a fraction that takes a whole stream of each server."""
    names = [f"i-{number}" for number in range(1000)]
    full = [shares.exceeds_share(2.0, 3.0, 0.1, name) for name in names]
    assert 250 <= sum(full) <= 350
    assert not any(shares.exceeds_share(2.0, 3.0, 0.0, name) for name in names)
    assert all(shares.exceeds_share(2.0, 3.0, 0.4, name) for name in names)


def test_capacity_is_the_least_over_the_layers():
    """Guards against streams for which some layer has no memory left."""
    servers = [(0, 10, 1, 8.6), (10, 20, 1, 3.2), (8, 20, 1, 2.0)]
    assert shares.compute_capacity(servers, 20) == 5.0
    assert shares.compute_capacity(servers[:1], 20) == 0.0
    pairs = [(0, 10, 2, 8.6), (10, 20, 2, 3.2), (8, 20, 1, 2.0)]
    assert shares.compute_capacity(pairs, 20) == 8.0
    unknown = [*servers, (0, 20, 1, float("inf"))]
    assert shares.compute_capacity(unknown, 20) == float("inf")


def test_expected_wait_grows_with_lower_priority():
    """Guards against a low priority that is told to return too early."""
    found = compute({0: (50.0, 40.0), 9: (200.0, 60.0)})
    assert found.estimate_wait(0, 0) < found.estimate_wait(9, 0)
    assert found.estimate_wait(9, 0) < found.estimate_wait(9, 10)
    assert found.estimate_wait(5, 0) == float("inf")


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    strategies.dictionaries(
        strategies.integers(0, 9),
        strategies.tuples(
            strategies.floats(0.0, 1e6), strategies.floats(0.0, 1e6)
        ),
    ),
    strategies.dictionaries(
        strategies.tuples(
            strategies.integers(0, 9), strategies.sampled_from("abc")
        ),
        strategies.tuples(
            strategies.floats(0.0, 1e6), strategies.floats(0.0, 1e6)
        ),
    ),
    strategies.floats(0.0, 1e5),
)
def test_withheld_fractions_are_bounded(levels, workspaces, capacity):
    """Guards against figures for which a priority gets nothing at all."""
    found = compute(levels, workspaces, capacity)
    for part in [*found.withheld.values(), *found.by_workspace.values()]:
        assert 0 <= part <= shares.MAX_WITHHELD
    for pace_per_s in found.paces_per_s.values():
        assert pace_per_s >= 0


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    strategies.lists(strategies.floats(0.0, 100.0), min_size=1, max_size=20),
    strategies.floats(0.0, 500.0),
)
def test_fair_shares_use_what_is_available(needs, available):
    """Guards against shares whose sum differs from what is divided."""
    share = shares.compute_fair_share(needs, available)
    given = sum(min(need, share) for need in needs)
    assert given == pytest.approx(min(sum(needs), available), abs=1e-6)
