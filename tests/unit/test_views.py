"""Tests of peridotyard_daemon.process.views."""

import dataclasses

import hypothesis
from hypothesis import strategies
from peridotyard_core import addresses
from peridotyard_core import fleet
from peridotyard_core import links
from peridotyard_daemon.process import views
import pytest
import trio

from tests.support import cases
from tests.support import fleets
from tests.support import virtual_clock

SERVICE = fleet.Service("model", 100, fleets.make_engine(layers=20))


def make_view():
    view = views.View("a")
    for name, layer_range in (("x", (0, 10)), ("y", (10, 20)), ("z", (10, 20))):
        number = "xyz".index(name) + 1
        view.apply_server(
            fleets.make_server(
                name,
                layer_range=fleet.LayerRange(*layer_range),
                address=addresses.Address(f"10.0.0.{number}", 80),
                started_at_ms=number,
                revision=1,
            )
        )
    return view


def list_used(view):
    path = view.choose_path(SERVICE)
    return path and [stage.server.instance for stage in path]


@cases.run_on_virtual_clock
async def test_refusing_server_gets_no_work_for_a_growing_time():
    view = make_view()
    server = view.servers["y"]
    pauses = []
    for _ in range(5):
        view.record_refusal(server)
        # Refusals of requests that were sent concurrently count once.
        view.record_refusal(server)
        began = trio.current_time()
        while server not in view.list_usable("model"):
            await trio.sleep(0.1)
        pauses.append(trio.current_time() - began)
    # The loop above polls each 0.1 s.
    assert pauses == pytest.approx([0.4, 0.8, 1.6, 3.2, 3.2], abs=0.11)
    assert view.is_leaving(server)
    view.record_acceptance(server)
    assert not view.is_leaving(server)


@cases.run_on_virtual_clock
async def test_report_takes_precedence_over_the_list_for_a_time():
    # Guards against paths over released layers: the list is updated with the
    # heartbeats of a server, so it still shows them for a time.
    view = make_view()
    view.apply_report("y", fleet.LayerRange(0, 10))
    listed = dataclasses.replace(
        view.servers["y"], layer_range=fleet.LayerRange(10, 20)
    )
    view.apply_server(dataclasses.replace(listed, revision=2))
    assert view.servers["y"].layer_range == fleet.LayerRange(0, 10)
    await trio.sleep(views.REPORT_PRECEDENCE_S)
    view.apply_server(dataclasses.replace(listed, revision=3))
    assert view.servers["y"].layer_range == fleet.LayerRange(10, 20)


@cases.run_on_virtual_clock
async def test_restart_discards_report_and_suspicion():
    view = make_view()
    view.apply_report("y", fleet.LayerRange(0, 10))
    view.suspect(view.servers["y"], "test")
    restarted = dataclasses.replace(
        view.servers["y"], layer_range=None, started_at_ms=99, revision=2
    )
    view.apply_server(restarted)
    assert view.servers["y"].layer_range is None
    assert not view.is_suspected(view.servers["y"])


@cases.run_on_virtual_clock
async def test_report_of_an_earlier_process_is_ignored():
    """Guards against paths over the layers of a server before its restart."""
    view = make_view()
    before = view.servers["y"].layer_range
    restarted = dataclasses.replace(
        view.servers["y"], layer_range=None, started_at_ms=99, revision=2
    )
    view.apply_server(restarted)
    assert not view.apply_report("y", before, 98)
    assert view.servers["y"].layer_range is None
    assert view.apply_report("y", before, 99)


@cases.run_on_virtual_clock
async def test_older_row_does_not_replace_a_newer_one():
    view = make_view()
    server = view.servers["y"]
    newer = dataclasses.replace(server, ready=False, revision=5)
    view.apply_server(newer)
    view.apply_server(dataclasses.replace(server, revision=4))
    assert not view.servers["y"].ready
    view.remove_server("y", 4)
    assert "y" in view.servers


_row_steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.sampled_from(["list", "restart"]),
            strategies.sampled_from("abcd"),
            strategies.integers(1, 2),
        ),
        strategies.tuples(
            strategies.just("remove"), strategies.sampled_from("abcd")
        ),
    ),
    max_size=20,
)


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(steps=_row_steps, clocks=strategies.permutations(range(20)))
def test_order_of_the_store_decides_who_is_used_at_an_address(steps, clocks):
    """Guards against a live server that a clock of another machine hides.

    Times of the starts of servers tell their processes apart and no more.
    """

    async def run():
        view = views.View("a")
        # Address, start and the revision of the first row with these.
        listed = {}
        for number, step in enumerate(steps):
            revision = number + 1
            match step:
                case (kind, name, host):
                    address = addresses.Address(f"10.0.1.{host}", 80)
                    known = listed.get(name)
                    started_at_ms = clocks[number]
                    if known is not None and kind == "list":
                        started_at_ms = known[1]
                    if known is None or known[:2] != (address, started_at_ms):
                        listed[name] = (address, started_at_ms, revision)
                    view.apply_server(
                        fleets.make_server(
                            name,
                            address=address,
                            started_at_ms=started_at_ms,
                            revision=revision,
                        )
                    )
                case ("remove", name):
                    listed.pop(name, None)
                    view.remove_server(name, revision)
            newest = {}
            for name, (address, _, since) in listed.items():
                newest[address] = max(
                    newest.get(address, (0, "")), (since, name)
                )
            used = {name for _, name in newest.values()}
            assert set(view.servers) == used
            for name in used:
                assert view.servers[name].address == listed[name][0]

    virtual_clock.run(run)


@cases.run_on_virtual_clock
async def test_configuration_decides_which_services_name_a_server():
    """Guards against a server that stays unused after its service is added."""
    view = views.View("a")
    for number, (name, service) in enumerate((("x", "model"), ("y", "other"))):
        address = addresses.Address("10.0.0.1", 80)
        server = fleets.make_server(
            name, service=service, address=address, revision=number + 1
        )
        view.apply_server(server)
    assert list(view.servers) == ["y"]
    other = fleet.Service("other", 100)
    for version, services, used in (
        (1, (SERVICE,), "x"),
        (2, (SERVICE, other), "y"),
        (3, (other,), "y"),
    ):
        routing = fleet.Routing(
            version, (), services, None, fleet.CallerLimits()
        )
        view.apply_routing(routing, "test")
        assert list(view.servers) == [used]


@cases.run_on_virtual_clock
async def test_suspected_server_is_avoided_until_it_responds():
    view = make_view()
    notified = []
    view.notify_suspect = notified.append
    view.suspect(view.servers["y"], "test")
    view.suspect(view.servers["y"], "test")
    assert len(notified) == 1
    assert list_used(view) == ["x", "z"]
    view.clear_suspicion(view.servers["y"])
    view.suspect(view.servers["z"], "test")
    assert list_used(view) == ["x", "y"]


@cases.run_on_virtual_clock
async def test_loads_of_other_entries_move_new_paths():
    view = make_view()
    view.apply_peer_load("other", {"y": 60})
    assert list_used(view) == ["x", "z"]
    view.apply_peer_load("other", {"z": 60})
    assert list_used(view) == ["x", "y"]
    view.apply_peer_load("other", None)
    assert view.get_load(view.servers["z"]) == 0


@cases.run_on_virtual_clock
async def test_full_server_gets_no_new_streams():
    """Guards against sends that servers without memory reject."""
    view = make_view()
    full = {"y": 1000, "z": 1000}
    view.apply_peer_load("other", full)
    assert view.choose_path(SERVICE, needs_room=True) is None
    # It is no failure of the service, and streams that have begun may use it.
    assert view.get_no_path_duration_s("model") == 0
    assert list_used(view) is not None
    view.apply_peer_load("other", full | {"z": 1})
    path = view.choose_path(SERVICE, needs_room=True)
    assert [stage.server.instance for stage in path] == ["x", "z"]


@cases.run_on_virtual_clock
async def test_withheld_room_is_used_by_others_only():
    """Guards against a low priority that takes the last room."""
    view = make_view()
    capacity = find_capacity(view, "x")
    view.apply_peer_load("other", dict.fromkeys("xyz", capacity - 2))
    assert view.choose_path(SERVICE, needs_room=True) is not None
    assert view.choose_path(SERVICE, needs_room=True, withheld=0.5) is None
    # Streams that have begun need no known room.
    assert view.choose_path(SERVICE, withheld=0.5) is not None


@hypothesis.settings(**cases.DERANDOMIZED)
@hypothesis.given(
    loads=strategies.dictionaries(
        strategies.sampled_from("xyz"), strategies.integers(0, 12)
    )
)
def test_path_is_the_same_if_nothing_is_withheld(loads):
    """Guards against another choice where no requests compete."""

    async def run():
        view = make_view()
        view.apply_peer_load("other", loads)
        assert view.choose_path(SERVICE, needs_room=True, withheld=0.0) == (
            view.choose_path(SERVICE, needs_room=True)
        )
        capacity = find_capacity(view, "x")
        if max(loads.values(), default=0) <= 0.7 * capacity - 1:
            # A withheld part that is free on each server changes nothing.
            assert view.choose_path(
                SERVICE, needs_room=True, withheld=0.3
            ) == view.choose_path(SERVICE, needs_room=True)

    virtual_clock.run(run)


def find_capacity(view, instance):
    """Returns the whole streams for which a server has room."""
    planner = view.make_planner(SERVICE)
    return int(planner.estimate_stream_capacity(view.servers[instance]))


@cases.run_on_virtual_clock
async def test_server_whose_memory_seems_too_small_is_not_taken_to_be_full():
    """Guards against a service that refuses all streams on a wrong estimate."""
    view = make_view()
    for server in list(view.servers.values()):
        view.apply_report(server.instance, fleet.LayerRange(0, 20))
    view.apply_peer_load("other", {"x": 10, "y": 10, "z": 10})
    assert view.choose_path(SERVICE, needs_room=True) is not None


@cases.run_on_virtual_clock
async def test_full_server_that_refuses_work_is_not_leaving():
    """Guards against a full server that is replaced as if it were leaving."""
    view = make_view()
    server = view.servers["y"]
    view.apply_peer_load("other", {"y": 1000})
    for _ in range(2 * views.REFUSALS_UNTIL_LEAVING):
        view.record_refusal(server, SERVICE)
        assert server not in view.list_usable("model")
        await trio.sleep(views.REFUSAL_PAUSE_MIN_S)
        assert server in view.list_usable("model")
    assert not view.is_leaving(server)
    view.apply_peer_load("other", {"y": 1})
    for _ in range(views.REFUSALS_UNTIL_LEAVING):
        view.record_refusal(server, SERVICE)
        await trio.sleep(views.REFUSAL_PAUSE_MAX_S)
    assert view.is_leaving(server)


@cases.run_on_virtual_clock
async def test_new_streams_change_zones_only_within_the_share_of_the_links():
    """Guards against links between zones that new streams saturate."""
    view = make_view()
    for name in ("y", "z"):
        server = view.servers[name]
        view.apply_server(dataclasses.replace(server, zone="b", revision=2))
    view.entry_count = 1
    rate_per_s = links.compute_rate(SERVICE.engine)
    sent = 0
    while trio.current_time() < 5.0:
        path = view.choose_path(SERVICE, needs_room=True)
        if path is not None:
            view.record_path(SERVICE, path)
            sent += 1
        # A stream that has begun may always change zones.
        assert view.choose_path(SERVICE) is not None
        await trio.sleep(0.01)
    most = (5.0 + links.SAVED_S) * rate_per_s
    assert 0.8 * 5.0 * rate_per_s <= sent <= most + 2


@cases.run_on_virtual_clock
async def test_slow_server_has_a_higher_cost_for_a_time():
    view = make_view()
    view.record_slowness(view.servers["y"], 8.0)
    assert list_used(view) == ["x", "z"]
    view.record_slowness(view.servers["y"], 1.0)
    view.record_slowness(view.servers["z"], 8.0)
    assert list_used(view) == ["x", "y"]


@cases.run_on_virtual_clock
async def test_time_without_a_path_is_measured():
    view = make_view()
    view.suspect(view.servers["x"], "test")
    assert view.choose_path(SERVICE) is None
    await trio.sleep(2)
    assert view.choose_path(SERVICE) is None
    assert view.get_no_path_duration_s("model") == 2
    view.clear_suspicion(view.servers["x"])
    assert view.choose_path(SERVICE) is not None
    assert view.get_no_path_duration_s("model") == 0


@cases.run_on_virtual_clock
async def test_failing_plain_server_has_a_higher_cost():
    view = make_view()
    good, bad = view.servers["y"], view.servers["z"]
    for _ in range(5):
        view.record_outcome(good, True, 0.02)
        view.record_outcome(bad, False, 0.02)
    assert view.estimate_cost(bad) > 2 * view.estimate_cost(good)


@cases.run_on_virtual_clock
async def test_streams_are_notified_of_servers_with_reduced_capacity():
    # Guards against streams and a server that wait for each other: the streams
    # until the server stops responding, the server until the streams end.
    view = make_view()
    leaving = []
    view.notify_leaving = leaving.append
    view.apply_report("x", fleet.LayerRange(0, 8))
    view.apply_report("x", fleet.LayerRange(0, 12))
    assert leaving == ["x"]
    listed = dataclasses.replace(view.servers["y"], ready=False, revision=2)
    view.apply_server(listed)
    view.suspect(view.servers["z"], "test")
    view.suspect(view.servers["z"], "again")
    view.remove_server("z", 5)
    assert leaving == ["x", "y", "z", "z"]


@cases.run_on_virtual_clock
async def test_outdated_report_does_not_stay_in_effect():
    """Guards against a late report that hides the layers of a server for good.

    The list is forwarded between entries only when a server changes.
    """
    view = make_view()
    view.apply_report("y", None)
    await trio.sleep(views.REPORT_PRECEDENCE_S)
    view.expire_reports()
    assert view.servers["y"].layer_range == fleet.LayerRange(10, 20)
