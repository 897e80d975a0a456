"""Tests of peridotyard_daemon.process.gateway and its mesh."""

import dataclasses
import itertools
import json
import time

from peridotyard_core import addresses
from peridotyard_core import prompts
from peridotyard_daemon.process import gateway
from peridotyard_daemon.process import presence
from peridotyard_platform import codec
import pytest
import trio

from tests.support import cases
from tests.support import deployments
from tests.support import gateways
from tests.support import odd_values
from tests.support import servers as servers_module


@cases.run_on_virtual_clock
async def test_request_goes_from_caller_to_servers_and_back():
    async with deployments.open_deployment() as deployment:
        data = await deployment.call()
        assert data.startswith(b"HTTP/1.1 200")
        assert gateways.read_event_ids(data) == list(range(1, 11))
        assert data.endswith(b"0\r\n\r\n")
        headers = deployment.servers["x"].requests[0]
        assert "api-key" not in headers
        assert headers["x-tenant"] == "north"


@cases.run_on_virtual_clock
async def test_refusals_by_configuration():
    async with deployments.open_deployment() as deployment:
        assert b" 404 " in (await deployment.call(target="/other/"))[:15]
        assert b" 401 " in (await deployment.call(key="wrong"))[:15]
        assert deployment.servers["x"].requests == []


@cases.run_on_virtual_clock
async def test_keys_are_asked_for_after_the_last_one_was_removed():
    # Guards against requests with any key that run once no key is left (ROUTE),
    # also at an entry that receives the configuration from another one.
    async with deployments.open_deployment(entries=2) as deployment:
        await trio.sleep(5)
        deployment.cut_from_store(2)
        tenants = [{"name": "north", "apiKeys": []}]
        value = deployments.encode_routing(5, tenants=tenants)
        deployment.rows.put("op", "config", value)
        await trio.sleep(2)
        for number in (1, 2):
            assert deployment.entries[number - 1].view.routing.version == 5
            for key in ("key-1", "wrong", ""):
                data = await deployment.call(number, key=key)
                assert b" 401 " in data[:15]
        assert deployment.servers["x"].requests == []


@cases.run_on_virtual_clock
async def test_rejected_configuration_is_shown_until_it_is_replaced():
    """Guards against an operator who takes a version for one in effect."""
    async with deployments.open_deployment(entries=2) as deployment:
        await trio.sleep(5)
        tenants = [{"name": "north", "apiKeys": 3}]
        value = deployments.encode_routing(5, tenants=tenants)
        deployment.rows.put("op", "config", value)
        await trio.sleep(2)
        for number in (1, 2):
            routing = await read_routing_state(deployment, number)
            assert routing["version"] == 3
            assert routing["rejected"]["version"] == 5
            assert routing["rejected"]["error"]
            assert routing["rejected"]["age_s"] < 3
            assert b" 200 " in (await deployment.call(number))[:15]
            assert b" 401 " in (await deployment.call(number, key="k"))[:15]
            data = await deployment.call(number, port=83)
            assert b"unreadable_rows" in data
        value = deployments.encode_routing(6, key="key-2")
        deployment.rows.put("op", "config", value)
        await trio.sleep(2)
        for number in (1, 2):
            routing = await read_routing_state(deployment, number)
            assert routing["version"] == 6
            assert routing["rejected"] is None


async def read_routing_state(deployment, number) -> dict:
    data = await deployment.call(number, port=83, target=gateway.FLEET_TARGET)
    return json.loads(data.partition(b"\r\n\r\n")[2])["routing"]


@cases.run_on_virtual_clock
async def test_keys_that_became_null_are_not_valid_any_more():
    # Guards against dropped keys that go on working (CONFIG): some encoders
    # write an empty list as null, and such a version was not taken over.
    async with deployments.open_deployment() as deployment:
        for version, tenants in (
            (5, [{"name": "north", "apiKeys": None}]),
            (6, None),
        ):
            value = deployments.encode_routing(version, tenants=tenants)
            deployment.rows.put("op", "config", value)
            await trio.sleep(2)
            assert deployment.entries[0].view.routing.version == version
            for key in ("key-1", ""):
                assert b" 401 " in (await deployment.call(key=key))[:15]
        assert deployment.servers["x"].requests == []


NORTH = {"name": "north", "apiKeys": ["key-1"]}
SOUTH = {"name": "south", "apiKeys": ["key-2"]}


@pytest.mark.parametrize(
    ("tenants", "valid"),
    [
        ([SOUTH], ["key-2"]),
        ([], []),
        ([{"name": "north"}, {"name": "south"}], []),
        ([{"name": "north", "apiKeys": []}, SOUTH], ["key-2"]),
        ([{"name": "north", "apiKeys": ["key-3"]}], ["key-3"]),
        ([{"name": "south", "apiKeys": ["key-1"]}], ["key-1"]),
    ],
    ids=[
        "tenant dropped",
        "all tenants dropped",
        "keys missing",
        "keys of one tenant dropped",
        "key replaced",
        "key moved",
    ],
)
@cases.run_on_virtual_clock
async def test_dropped_keys_are_valid_on_no_entry(tenants, valid):
    """Guards against requests that run with a key that was dropped (ROUTE).

    Also on an entry that the store does not reach, and on one that starts
    after the change while the store is away.
    """
    async with deployments.open_deployment(entries=3) as deployment:
        value = deployments.encode_routing(4, tenants=[NORTH, SOUTH])
        deployment.rows.put("op", "config", value)
        await trio.sleep(5)
        deployment.cut_from_store(2)
        value = deployments.encode_routing(5, tenants=tenants)
        deployment.rows.put("op", "config", value)
        await trio.sleep(2)
        deployment.rows.fault = "silent"
        deployment.start_entry(4, seeds=(1, 2, 3))
        await trio.sleep(2)
        for number in (1, 2, 3, 4):
            view = deployment.entries[number - 1].view
            assert view.routing.version == 5
            for key in ("key-1", "key-2", "key-3", "key-of-nobody", ""):
                data = await deployment.call(number, key=key)
                expected = b" 200 " if key in valid else b" 401 "
                assert expected in data[:15], (number, key)
        owners = {tenant["name"] for tenant in tenants}
        requests = deployment.servers["x"].requests
        assert {request["x-tenant"] for request in requests} <= owners


@cases.run_on_virtual_clock
async def test_key_dropped_while_a_body_arrives_is_not_valid():
    """Guards against a request admitted by its head under an older version."""
    async with deployments.open_deployment() as deployment:
        stream = await deployment.network.join("caller").dial(
            deployment.entries[0]._settings.callers
        )
        head = (
            b"POST /chat/x HTTP/1.1\r\nHost: api.example\r\n"
            b"Api-Key: key-1\r\nX-Attempt-Id: a1\r\n"
            b"Content-Length: 4\r\n\r\n"
        )
        await stream.send_all(head + b"12")
        await trio.sleep(0.5)
        value = deployments.encode_routing(5, tenants=[SOUTH])
        deployment.rows.put("op", "config", value)
        await trio.sleep(2)
        await stream.send_all(b"34")
        assert b" 401 " in (await stream.receive_some())[:15]
        assert deployment.servers["x"].requests == []


@cases.run_on_virtual_clock
async def test_entry_without_configuration_refuses_as_not_run():
    # Guards against a 404 or 401 for a valid request, which a caller would not
    # retry.
    async with deployments.open_deployment() as deployment:
        deployment.entries[0].view.routing = None
        data = await deployment.call()
        assert b" 503 " in data[:15]
        assert b"not-run" in data


@cases.run_on_virtual_clock
async def test_readiness_follows_configuration_and_servers():
    async with deployments.open_deployment() as deployment:
        assert b" 200 " in (await deployment.call(port=81))[:15]
        deployment.entries[0].view.servers.clear()
        assert b" 503 " in (await deployment.call(port=81))[:15]


@cases.run_on_virtual_clock
async def test_metrics_are_served():
    async with deployments.open_deployment() as deployment:
        await deployment.call()
        data = await deployment.call(port=83)
        assert b"peridotyard_requests_total 1" in data
        assert b'peridotyard_outcome_total{kind="status"} 1' in data
        assert b"peridotyard_first_event_seconds" in data


@cases.run_on_virtual_clock
async def test_fleet_state_is_shown_with_its_age():
    async with deployments.open_deployment() as deployment:
        data = await deployment.call(port=83, target=gateway.FLEET_TARGET)
        fleet_state = json.loads(data.partition(b"\r\n\r\n")[2])
        assert fleet_state["routing"]["version"] == 3
        assert fleet_state["routing"]["age_s"] < 5
        assert fleet_state["list_age_s"] < 2
        assert fleet_state["ready"]
        assert fleet_state["shares"] == []
        layers = {s["instance"]: s["layers"] for s in fleet_state["servers"]}
        assert layers == {"x": "0-10", "y": "10-20"}


@cases.run_on_virtual_clock
async def test_request_whose_caller_left_ends_at_its_server():
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))]
    ) as deployment:
        deployment.servers["x"].events = 100
        with trio.move_on_after(0.5):
            await deployment.call()
        deployment.network.reset("caller")
        await trio.sleep(0.3)
        assert deployment.servers["x"].abandoned == ["r1"]
        data = await deployment.call(port=83)
        assert b'peridotyard_outcome_total{kind="abandoned"} 1' in data


@cases.run_on_virtual_clock
async def test_time_limit_counts_from_the_arrival_of_a_request():
    """Guards against work for a caller whose time limit has passed.

    A request may wait for the first configuration after a start.
    """
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))]
    ) as deployment:
        (entry,) = deployment.entries
        routing, entry.view.routing = entry.view.routing, None
        entry._started_at = trio.current_time()
        deployment.nursery.start_soon(deployment.call)
        await trio.sleep(0.4)
        entry.view.apply_routing(routing, "test")
        await trio.sleep(0.1)
        (request,) = deployment.servers["x"].requests
        assert int(request["x-deadline-ms"]) <= 19_650


@cases.run_on_virtual_clock
async def test_stopping_entry_ends_its_streams_and_refuses_new_ones():
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))]
    ) as deployment:
        deployment.servers["x"].events = 100
        received = []

        async def call():
            received.append(await deployment.call())

        deployment.nursery.start_soon(call)
        await trio.sleep(0.5)
        deployment.entries[0]._lifecycle.request_stop()
        assert b" 503 " in (await deployment.call(port=81))[:15]
        # New requests are served until the load balancer has removed the entry.
        await trio.sleep(2.5)
        data = await deployment.call()
        assert b" 503 " in data[:15]
        assert b"draining" in data
        await trio.sleep(3)
        assert received[0].endswith(b"0\r\n\r\n")


@cases.run_on_virtual_clock
async def test_slow_store_does_not_prolong_the_admission_of_a_stopping_entry():
    """Guards against requests that are taken late in the grace and then cut.

    The holder of the placement lease waited for the store before it counted
    the time in which it takes requests.
    """
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))]
    ) as deployment:
        await trio.sleep(6)
        (entry,) = deployment.entries
        assert entry._presence.is_lease_holder()
        deployment.servers["x"].events = 100
        deployment.nursery.start_soon(deployment.call)
        await trio.sleep(0.1)
        deployment.rows.fault = "silent"
        entry._lifecycle.request_stop()
        await trio.sleep(gateway.BALANCER_REMOVAL_S + 0.01)
        data = await deployment.call()
        assert b" 503 " in data[:15]
        assert b"draining" in data
        assert len(deployment.servers["x"].runs) == 1


async def stop_with_requests(deployment, grace_s, targets, taken_s=0.5):
    """Stops the entry, calls it, and returns the responses by target.

    Args:
        deployment: A deployment of one entry.
        grace_s: Time from the request to stop to the end of the process.
        targets: Targets of the requests.
        taken_s: Time from the request to stop to the calls, negative for
            calls that are in progress.

    Returns:
        For each target the response, and its time after the request to stop.
    """
    (entry,) = deployment.entries
    entry._settings = dataclasses.replace(entry._settings, grace_s=grace_s)
    responses = {}

    async def call(target):
        await trio.sleep(max(0.0, taken_s))
        data = await deployment.call(target=target)
        responses[target] = (data, trio.current_time() - stopped_at)

    stopped_at = trio.current_time() + max(0.0, -taken_s)
    async with trio.open_nursery() as nursery:
        for target in targets:
            nursery.start_soon(call, target)
        await trio.sleep_until(stopped_at)
        entry._lifecycle.request_stop()
    return responses


@pytest.mark.parametrize("taken_s", [-1, 0.5])
@pytest.mark.parametrize("grace_s", [2, 4, 8, 30])
@cases.run_on_virtual_clock
async def test_requests_in_progress_are_answered_at_the_end_of_the_grace(
    grace_s, taken_s
):
    """Guards against requests that are cut without an answer by a stop.

    Their servers are still at work at the end of the grace.
    """
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))], plain_servers=1
    ) as deployment:
        routing = deployments.encode_routing(4, kind="unsafe")
        deployment.rows.put("op", "config", routing)
        await trio.sleep(1.5)
        plain, model = deployment.servers["p1"], deployment.servers["x"]
        plain.faults = [servers_module.Fault("hang")]
        model.faults = [servers_module.Fault("stall", 0)]
        targets = ["/ledger/x", "/chat/x"]
        responses = await stop_with_requests(
            deployment, grace_s, targets, taken_s
        )
        for data, after_s in responses.values():
            assert b" 504 " in data[:15]
            assert b"may-have-run" in data
            # At the end of their own time limit, or within the last sixth of
            # the grace.
            assert after_s > min(20 + taken_s, grace_s * 5 / 6)
            assert after_s < grace_s
        assert plain.runs == ["r1"]
        if taken_s > 0:
            # The servers' time limits end before the process does.
            for server in (plain, model):
                (request,) = server.requests
                limit_s = int(request["x-deadline-ms"]) / 1000
                assert taken_s + limit_s < grace_s


@pytest.mark.parametrize("grace_s", [2, 4, 8])
@cases.run_on_virtual_clock
async def test_stream_that_has_begun_ends_incomplete_at_the_end_of_the_grace(
    grace_s,
):
    """Guards against a stream that looks complete, or that outlasts the grace.

    It runs until the last sixth of the grace.
    """
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))]
    ) as deployment:
        deployment.servers["x"].events = 1000
        responses = await stop_with_requests(deployment, grace_s, ["/chat/x"])
        data, after_s = responses["/chat/x"]
        assert b" 200 " in data[:15]
        assert not data.endswith(b"0\r\n\r\n")
        assert grace_s * 5 / 6 < after_s < grace_s
        count = len(gateways.read_event_ids(data))
        assert count > (after_s - 0.7) / servers_module.EVENT_GAP_S


@pytest.mark.parametrize("kind", ["unsafe", "safe"])
@pytest.mark.parametrize(
    ("work_s", "taken_s", "status"),
    [(3, 1.9, 503), (3, 0.3, 200), (1, 1.9, 200), (0.02, 1.9, 200)],
)
@cases.run_on_virtual_clock
async def test_request_that_cannot_end_in_the_grace_is_refused_at_once(
    kind, work_s, taken_s, status
):
    """Guards against a request that is passed on although it will be cut off.

    One that can end in time is served. The grace is 4 s.
    """
    async with deployments.open_deployment(plain_servers=1) as deployment:
        routing = deployments.encode_routing(4, kind=kind)
        deployment.rows.put("op", "config", routing)
        await trio.sleep(1.5)
        server = deployment.servers["p1"]
        server.work_s = work_s
        assert b" 200 " in (await deployment.call(target="/ledger/x"))[:15]
        responses = await stop_with_requests(
            deployment, 4, ["/ledger/y"], taken_s
        )
        data, after_s = responses["/ledger/y"]
        assert data.startswith(f"HTTP/1.1 {status}".encode())
        if status == 503:
            assert b"not-run" in data
            assert b"retry-after" in data
            assert after_s < taken_s + 0.1
            assert len(server.runs) == 1


@pytest.mark.parametrize(
    ("objective_s", "status"), [(1.5, 200), (2.5, 503), (30, 503)]
)
@cases.run_on_virtual_clock
async def test_first_request_of_a_route_is_expected_within_its_objective(
    objective_s, status
):
    """Guards against an entry that stops before it knows any duration."""
    async with deployments.open_deployment(plain_servers=1) as deployment:
        routing = deployments.encode_routing(
            4, kind="unsafe", objective_s=objective_s
        )
        deployment.rows.put("op", "config", routing)
        await trio.sleep(1.5)
        responses = await stop_with_requests(deployment, 4, ["/ledger/x"], 1.5)
        data, _ = responses["/ledger/x"]
        assert data.startswith(f"HTTP/1.1 {status}".encode())


@cases.run_on_virtual_clock
async def test_request_whose_body_arrives_late_is_refused_when_stopping():
    """Guards against a request that is passed on late in the grace.

    It began before the signal, on a new connection or behind another request.
    """
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))]
    ) as deployment:
        (entry,) = deployment.entries
        deployment.servers["x"].events = 20
        received = []

        async def call(begin):
            stream = await deployment.network.join("caller").dial(
                addresses.Address("10.1.0.1", 80)
            )
            await stream.send_all(begin)
            await trio.sleep(1 + gateway.BALANCER_REMOVAL_S + 2)
            await stream.send_all(b"{}")
            data = b""
            while chunk := await stream.receive_some():
                data += chunk
            received.append(data)

        head = (
            b"POST /chat/x HTTP/1.1\r\nHost: api.example\r\n"
            b"X-Attempt-Id: r1\r\nApi-Key: key-1\r\n"
            b"Content-Length: %d\r\n\r\n"
        )
        deployment.nursery.start_soon(call, head % 2)
        deployment.nursery.start_soon(call, head % 0 + head % 2)
        await trio.sleep(1)
        entry._lifecycle.request_stop()
        await trio.sleep(7)
        assert len(deployment.servers["x"].requests) == 1
        assert len(received) == 2
        for data in received:
            assert data.count(b" 503 ") == 1
            assert b"draining" in data
            assert data.rstrip().endswith(b"}")
        assert sorted(data.count(b" 200 ") for data in received) == [0, 1]


@pytest.mark.parametrize("sent_s", [0.1, 1, 2.2])
@cases.run_on_virtual_clock
async def test_pipelined_requests_are_all_answered_when_stopping(sent_s):
    """Guards against a request that was read and ends without an answer.

    It arrives while the one before it is served.
    """
    async with deployments.open_deployment(plain_servers=1) as deployment:
        routing = deployments.encode_routing(4, kind="unsafe")
        deployment.rows.put("op", "config", routing)
        await trio.sleep(1.5)
        server = deployment.servers["p1"]
        server.work_s = 0.5
        (entry,) = deployment.entries
        entry._lifecycle.request_stop()
        await trio.sleep(sent_s)
        stream = await deployment.network.join("caller").dial(
            addresses.Address("10.1.0.1", 80)
        )
        await stream.send_all(
            b"".join(
                b"POST /ledger/x HTTP/1.1\r\nHost: api.example\r\n"
                b"X-Attempt-Id: r%d\r\nApi-Key: key-1\r\n"
                b"Content-Length: 0\r\n\r\n" % number
                for number in (1, 2)
            )
        )
        data = b""
        while chunk := await stream.receive_some():
            data += chunk
        assert data.count(b"HTTP/1.1 ") == 2
        assert data.count(b" 200 ") == len(server.runs) >= 1
        # Only the last response announces the end of the connection.
        assert data.lower().count(b"connection: close") == 1


@cases.run_on_virtual_clock
async def test_second_stop_answers_the_requests_in_progress():
    """Guards against requests that a second signal cuts without an answer."""
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20))]
    ) as deployment:
        deployment.servers["x"].faults = [servers_module.Fault("stall", 0)]
        (entry,) = deployment.entries

        async def stop_again():
            await trio.sleep(4)
            entry._lifecycle.request_stop()

        deployment.nursery.start_soon(stop_again)
        responses = await stop_with_requests(deployment, 8, ["/chat/x"])
        data, after_s = responses["/chat/x"]
        assert b" 504 " in data[:15]
        assert after_s < 4.1


@cases.run_on_virtual_clock
async def test_entry_without_the_store_gets_changes_from_the_others():
    # Guards against a removed API key that is still accepted by an entry that
    # cannot reach the store.
    async with deployments.open_deployment(entries=2) as deployment:
        await trio.sleep(4)
        deployment.cut_from_store(2)
        await trio.sleep(3)
        deployment.rows.put(
            "op", "config", deployments.encode_routing(9, key="key-2")
        )
        await trio.sleep(1)
        assert deployment.entries[1].view.routing.version == 9
        assert b" 401 " in (await deployment.call(number=2))[:15]


@cases.run_on_virtual_clock
async def test_entry_that_starts_without_the_store_learns_from_its_seeds():
    """Guards against an entry that serves nothing until the store is back.

    The others cannot know of it, whatever its address is.
    """
    async with deployments.open_deployment(entries=3) as deployment:
        await trio.sleep(5)
        deployment.rows.fault = "silent"
        deployment.start_entry(4, seeds=(1, 2, 3))
        await trio.sleep(1.5)
        entry = deployment.entries[3]
        assert entry.is_ready
        known = deployment.entries[0].view
        assert entry.view.routing.version == known.routing.version
        assert entry.view.servers.keys() == known.servers.keys()
        assert entry.view.servers_at <= known.servers_at + 0.01
        assert b" 200 " in (await deployment.call(4))[:15]
        # The store's own list applies again once it can be read.
        deployment.rows.fault = ""
        await trio.sleep(5)
        deployment.rows.put("servers", "x", None)
        await trio.sleep(8)
        assert "x" not in entry.view.servers
        await trio.sleep(5)
        assert {
            len(e._mesh._peers.connections) for e in deployment.entries
        } == {3}


@cases.run_on_virtual_clock
async def test_one_entry_reads_the_store_for_the_others():
    # Guards against store calls, which are billed, that grow with the number of
    # entries. With each of 23 entries reading by itself, they cost 6 % of a
    # day's score.
    async with deployments.open_deployment(entries=4) as deployment:
        await trio.sleep(10)
        before = sum(deployment.rows.calls.values())
        await trio.sleep(20)
        # Calls per second: two tables read by one entry 2.2, lease 1.25, rows
        # of entries 2.4, as the emulated store takes two calls for five rows.
        assert sum(deployment.rows.calls.values()) - before <= 20 * 5.9
        deployment.rows.put("op", "config", deployments.encode_routing(5))
        deployment.rows.put("servers", "x", None)
        await trio.sleep(0.5)
        for entry in deployment.entries:
            assert entry.view.routing.version == 5
            assert list(entry.view.servers) == ["y"]
            assert entry.view.get_store_age_s() < 1


@cases.run_on_virtual_clock
async def test_change_is_known_in_time_if_the_reading_entry_is_partitioned():
    # Guards against entries that rely for too long on a partitioned entry. Its
    # watch call hangs, so that it cannot detect the partition by itself.
    for failure in ("store", "entries", "dead"):
        async with deployments.open_deployment(entries=3) as deployment:
            await trio.sleep(10)
            match failure:
                case "store":
                    deployment.cut_from_store(1)
                case "entries":
                    deployment.isolate(1)
                    deployment.cut_from_store(1)
                case "dead":
                    deployment.network.reset("10.1.0.1")
                    deployment.network.stop_serving("10.1.0.1:82")
                    deployment.cut_from_store(1)
            deployment.rows.put("op", "config", deployments.encode_routing(9))
            await trio.sleep(1.6)
            for entry in deployment.entries[1:]:
                assert entry.view.routing.version == 9, failure


@cases.run_on_virtual_clock
async def test_each_entry_reads_a_new_configuration_once():
    # Guards against a configuration that is decoded once for each other entry.
    # With 23 entries, each received it 22 times; entries were blocked for 0.1 s
    # or more and suspected all servers.
    async with deployments.open_deployment(entries=6) as deployment:
        await trio.sleep(10)
        read = []
        for entry in deployment.entries:
            synchronizer = entry._synchronizer
            decode = synchronizer._schema.decode_routing
            synchronizer._schema.decode_routing = lambda value, decode=decode: (
                read.append(value) or decode(value)
            )
        deployment.rows.put("op", "config", deployments.encode_routing(5))
        await trio.sleep(3)
        assert [entry.view.routing.version for entry in deployment.entries] == [
            5
        ] * 6
        assert len(read) == 6


@cases.run_on_virtual_clock
async def test_lease_passes_on_after_its_holder_ends():
    # Guards against a lease without a holder: the other entries read it only
    # once the heartbeats of its holder have stopped.
    async with deployments.open_deployment(entries=3) as deployment:
        await trio.sleep(10)
        holder = deployment.find_holder()
        deployment.cut_from_store(holder)
        await trio.sleep(3.5)
        assert not deployment.entries[holder - 1]._presence.is_lease_holder()
        held = [
            entry._presence.is_lease_holder() for entry in deployment.entries
        ]
        assert sum(held) == 1


@cases.run_on_virtual_clock
async def test_another_entry_acts_until_the_lease_of_a_lost_holder_expires():
    # Guards against a layer that no server holds for two seconds when the lease
    # holder is killed together with a server.
    async with deployments.open_deployment(entries=3) as deployment:
        await trio.sleep(10)
        number = deployment.find_holder()
        others = [
            e for e in deployment.entries if not e._presence.is_lease_holder()
        ]
        assert not any(entry._may_place() for entry in others)
        deployment.isolate(number)
        deployment.network.stop_serving(f"10.1.0.{number}:82")
        deployment.network.reset(f"10.1.0.{number}:82")
        deployment.network.reset(f"10.1.0.{number}")
        deployment.cut_from_store(number)
        await trio.sleep(0.1)
        assert [entry._may_place() for entry in others] == [True, False]
        await trio.sleep(4)
        assert sum(entry._presence.is_lease_holder() for entry in others) == 1
        assert not any(entry._mesh.is_acting_holder() for entry in others)


@cases.run_on_virtual_clock
async def test_partitioned_entry_does_not_act_for_the_holder():
    # Guards against a partitioned entry that moves layers because of servers
    # that only it cannot reach.
    async with deployments.open_deployment(entries=4) as deployment:
        await trio.sleep(10)
        holder = deployment.entries[deployment.find_holder() - 1]
        number = 1 if holder is not deployment.entries[0] else 2
        deployment.isolate(number)
        partitioned = deployment.entries[number - 1]
        for _ in range(60):
            await trio.sleep(0.1)
            assert not partitioned._may_place()
            assert holder._may_place()


@cases.run_on_virtual_clock
async def test_others_act_only_for_a_time_for_a_live_holder():
    # Guards against two entries that place layers for long: a partitioned
    # holder keeps its lease and continues.
    async with deployments.open_deployment(entries=4) as deployment:
        await trio.sleep(10)
        number = deployment.find_holder()
        holder = deployment.entries[number - 1]
        deployment.isolate(number)
        await trio.sleep(6)
        others = [entry for entry in deployment.entries if entry is not holder]
        assert holder._may_place()
        assert not any(entry._may_place() for entry in others)


@cases.run_on_virtual_clock
async def test_entries_exchange_their_requests_in_flight():
    async with deployments.open_deployment(entries=2) as deployment:
        await trio.sleep(4)
        deployment.servers["x"].events = 50
        deployment.nursery.start_soon(deployment.call)
        await trio.sleep(1)
        server = deployment.entries[1].view.servers["x"]
        assert deployment.entries[1].view.get_load(server) == 1
        await trio.sleep(4)
        assert deployment.entries[1].view.get_load(server) == 0


SPARE_LAYERS = [
    ("x", "a", (0, 10)),
    ("y", "a", (10, 20)),
    ("z", "a", (0, 10)),
]


async def check_layers_of_y_are_placed(deployment):
    """Stops the server that alone holds layers; the spare replaces it."""
    address = str(deployment.servers["y"].server.address)
    deployment.network.stop_serving(address)
    deployment.network.reset(address)
    for entry in deployment.entries:
        entry.view.suspect(entry.view.servers["y"], "test")
    await trio.sleep(2)
    layer_ranges = [
        deployment.servers[name].server.layer_range for name in ("x", "z")
    ]
    assert {layer_range.first for layer_range in layer_ranges} == {0, 10}


@cases.run_on_virtual_clock
async def test_layers_are_placed_during_an_outage_of_the_store():
    # Guards against a service without a complete path while no lease can be
    # renewed. Three servers left during an outage of the store, and there was
    # no path for eight seconds.
    async with deployments.open_deployment(
        entries=2, server_layers=SPARE_LAYERS
    ) as deployment:
        await trio.sleep(6)
        deployment.rows.fault = "refuse"
        await trio.sleep(6)
        acting = [
            entry._mesh.is_acting_holder() for entry in deployment.entries
        ]
        assert acting == [True, False]
        await check_layers_of_y_are_placed(deployment)
        deployment.rows.fault = ""
        await trio.sleep(6)
        assert not any(
            entry._mesh.is_acting_holder() for entry in deployment.entries
        )


# Guards against servers that start and stay empty, since the store responds to
# reads but fails the writes that would grant the lease.
@pytest.mark.parametrize("fault", ["full", "late"])
@cases.run_on_virtual_clock
async def test_layers_are_placed_while_the_store_fails_writes(fault):
    async with deployments.open_deployment(
        entries=3, server_layers=SPARE_LAYERS
    ) as deployment:
        await trio.sleep(6)
        deployment.rows.fault = fault
        await trio.sleep(6)
        assert sum(entry._may_place() for entry in deployment.entries) == 1
        await check_layers_of_y_are_placed(deployment)
        deployment.rows.fault = ""
        await trio.sleep(6)
        assert sum(entry._may_place() for entry in deployment.entries) == 1
        assert not any(
            entry._mesh.is_acting_holder() for entry in deployment.entries
        )


@cases.run_on_virtual_clock
async def test_entries_write_less_often_to_a_store_that_fails_writes():
    """Guards against a store whose queue the retries of all entries keep full.

    The lease is granted soon after it accepts writes again.
    """
    async with deployments.open_deployment(entries=3) as deployment:
        await trio.sleep(6)
        deployment.rows.fault = "full"
        await trio.sleep(10)
        before = deployment.rows.calls["/rows-tx"]
        await trio.sleep(20)
        writes = deployment.rows.calls["/rows-tx"] - before
        longest_s = presence.FAILURE_PAUSE_MAX_S
        assert writes <= 3 * (20 / longest_s + 1)
        deployment.rows.fault = ""
        await trio.sleep(longest_s + 0.5)
        held = [
            entry._presence.is_lease_holder() for entry in deployment.entries
        ]
        assert sum(held) == 1


@cases.run_on_virtual_clock
async def test_entry_that_was_paused_does_not_act_for_the_lease_holder():
    """Guards against orders of an entry whose knowledge is as old as its pause.

    It took the store for lost when it resumed, and sent an order before the
    first response.
    """
    async with deployments.open_deployment(entries=3) as deployment:
        await trio.sleep(6)
        trio.lowlevel.current_clock().jump(4.0)
        for _ in range(20):
            acting = [
                entry._mesh.is_acting_holder() for entry in deployment.entries
            ]
            assert not any(acting)
            await trio.sleep(0.05)


@cases.run_on_virtual_clock
async def test_stopping_entry_releases_the_lease():
    # Guards against a next holder that has to wait until the lease expires.
    async with deployments.open_deployment(entries=2) as deployment:
        await trio.sleep(6)
        old, new = deployment.entries
        if new._presence.is_lease_holder():
            old, new = new, old
        assert old._presence.is_lease_holder()
        old._lifecycle.request_stop()
        await trio.sleep(0.2)
        assert not old._presence.is_lease_holder()
        await trio.sleep(2.5)
        assert new._presence.is_lease_holder()


@cases.run_on_virtual_clock
async def test_request_that_crashes_servers_is_quarantined_on_all_entries():
    # Guards against a request that crashes servers again when its caller
    # retries it at another entry.
    server_layers = [(f"s{n}", "a", (0, 20)) for n in range(6)]
    async with deployments.open_deployment(
        entries=3, server_layers=server_layers
    ) as deployment:
        await trio.sleep(6)
        for server in deployment.servers.values():
            server.faults = [servers_module.Fault("end", 0)]
        first = await deployment.call(number=1)
        assert b" 200 " not in first[:15]
        await deployment.call(number=2)
        data = await deployment.call(number=3)
        assert data.startswith(b"HTTP/1.1 429")
        assert b"quarantined" in data
        assert b"not-run" in data
        ran = [name for s in deployment.servers.values() for name in s.runs]
        assert len(ran) == 3
        for server in deployment.servers.values():
            server.faults = []
        assert (
            b" 200 " in (await deployment.call(number=3, target="/chat/y"))[:15]
        )


@cases.run_on_virtual_clock
async def test_part_of_prompts_that_crashes_servers_is_refused_by_all_entries():
    """Guards against requests, no two alike, that crash servers at any entry.

    An entry that starts later learns of it from the others.
    """
    server_layers = [(f"s{n}", "a", (0, 20)) for n in range(8)]
    async with deployments.open_deployment(
        entries=3, server_layers=server_layers
    ) as deployment:
        await trio.sleep(6)
        for server in deployment.servers.values():
            server.fatal_part = "bad"
        for number in range(9):
            entry = 1 + number % 3
            bad = f"a:40,bad:20,f{number}:9"
            sound = f"a:40,g:20,s{number}:9"
            data = await deployment.call(
                entry, target=f"/chat/{number}", prompt=bad
            )
            assert b" 200 " not in data[:15]
            data = await deployment.call(entry, prompt=sound)
            assert b" 200 " in data[:15]
        ended = [
            name
            for name, server in deployment.servers.items()
            if f"{server.server.address}" not in deployment.network._handlers
        ]
        assert len(ended) <= 5
        assert data.startswith(b"HTTP/1.1 200")
        data = await deployment.call(2, target="/chat/z", prompt=bad)
        assert data.startswith(b"HTTP/1.1 429")
        assert b"quarantined" in data
        assert b"not-run" in data
        assert b"retry-after" in data.lower()
        deployment.start_entry(4)
        await trio.sleep(3)
        data = await deployment.call(4, target="/chat/y", prompt=bad)
        assert data.startswith(b"HTTP/1.1 429")
        data = await deployment.call(1, port=83, target=gateway.FLEET_TARGET)
        fleet_state = json.loads(data.partition(b"\r\n\r\n")[2])
        assert len(fleet_state["quarantined_parts"]) == 1


@cases.run_on_virtual_clock
async def test_waiting_request_is_ended_when_a_part_of_it_is_quarantined():
    """Guards against one more crash by a request that was sent before."""
    async with deployments.open_deployment(
        server_layers=[("x", "a", (0, 20)), ("y", "a", (0, 20))]
    ) as deployment:
        for server in deployment.servers.values():
            server.faults = [servers_module.Fault("stall", 0)] * 2
        (entry,) = deployment.entries
        received = {}

        async def call(prompt):
            target = f"/chat/{prompt}"
            received[prompt] = await deployment.call(
                target=target, prompt=prompt
            )

        deployment.nursery.start_soon(call, "a:40,bad:20,c:9")
        deployment.nursery.start_soon(call, "a:40,good:20,d:9")
        await trio.sleep(0.02)
        parts = tuple(
            prompts.compute_part_fingerprint("model", part)
            for part in ("a", "bad")
        )
        server = entry.view.servers["x"]
        for number in range(3):
            entry.context.parts.record_crash(
                parts,
                dataclasses.replace(server, instance=f"z{number}"),
                entry.context.parts.get_successions(parts),
            )
            entry.context.parts.record_answer(())
        await trio.sleep(0.05)
        assert list(received) == ["a:40,bad:20,c:9"]
        assert b" 502 " in received["a:40,bad:20,c:9"][:15]
        assert b"may-have-run" in received["a:40,bad:20,c:9"]
        abandoned = [s.abandoned for s in deployment.servers.values()]
        assert sum(len(names) for names in abandoned) == 1


def spend_all(deployment, entries) -> int:
    """Returns the number of retries that entries spend within a second."""
    now = trio.current_time()
    return sum(
        entry.context.find_budget("model").try_spend(
            now, entry.view.entry_count if entry.context.is_listed() else 0
        )
        for entry in entries
        for _ in range(300)
    )


@pytest.mark.parametrize("start_s", [12, 13, 14, 15, 16])
@pytest.mark.parametrize("calm_s", [4])
@cases.run_on_virtual_clock
async def test_partitioned_entries_do_not_exceed_the_retry_budget(
    start_s, calm_s
):
    """Guards against shares of the retry budget that add up to more than it.

    Load pattern: a third of the entries is partitioned from the others and the
    store for longer than their rows live, while servers crash. The others
    divided the budget among themselves, and the partitioned ones went on.
    """
    async with deployments.open_deployment(entries=6) as deployment:
        await trio.sleep(start_s)
        partitioned, others = deployment.entries[:2], deployment.entries[2:]
        for number in (1, 2):
            deployment.isolate(number)
            deployment.cut_from_store(number)
        await trio.sleep(calm_s)
        reserve = 200
        spent = []
        for _ in range(30):
            await trio.sleep(1)
            spent.append(
                spend_all(deployment, partitioned)
                + spend_all(deployment, others)
            )
            assert sum(spent[-10:]) <= reserve
        # All of it is used by the others in the end.
        await trio.sleep(11)
        assert spend_all(deployment, others) > 0.9 * reserve


@cases.run_on_virtual_clock
async def test_paused_entry_does_not_use_a_share_that_has_expired():
    """Guards against a permission that has run out during a pause."""
    async with deployments.open_deployment(entries=2) as deployment:
        await trio.sleep(8)
        entry = deployment.entries[0]
        assert entry.context.is_listed()
        clock = entry._presence._clock
        entry._presence._clock = lambda: clock() + 13.0
        assert not entry.context.is_listed()


def test_jump_of_the_time_of_day_changes_nothing(monkeypatch):
    """Guards against a lease, timeout or age that follows the time of day.

    It jumps by seconds in both directions here, and back again.
    """
    offsets = itertools.cycle((0.0, 2.4, -2.4, 3600.0, -3600.0))
    read = []

    def read_time():
        read.append(next(offsets))
        return 1.8e9 + read[-1]

    monkeypatch.setattr(time, "time", read_time)

    @cases.run_on_virtual_clock
    async def check():
        async with deployments.open_deployment(entries=3) as deployment:
            await trio.sleep(10)
            holder = deployment.find_holder()
            data = await deployment.call()
            assert gateways.read_event_ids(data) == list(range(1, 11))
            await trio.sleep(10)
            assert deployment.find_holder() == holder
            assert {e.view.entry_count for e in deployment.entries} == {3}

    check()
    assert not read


@cases.run_on_virtual_clock
async def test_entries_write_their_rows_again_after_a_restore():
    """Guards against retry budgets that count too few entries."""
    async with deployments.open_deployment(1) as deployment:
        await trio.sleep(6)
        saved = deployment.rows.copy()
        deployment.start_entry(2)
        deployment.start_entry(3)
        await trio.sleep(8)
        counts = {entry.view.entry_count for entry in deployment.entries}
        assert counts == {3}
        deployment.rows.restore(saved)
        await trio.sleep(1.5)
        names = [k for t, k in deployment.rows.rows if k.startswith("entry/")]
        assert len(names) == 3
        holders = [
            entry
            for entry in deployment.entries
            if entry._presence.is_lease_holder()
        ]
        assert len(holders) <= 1
        await trio.sleep(3)
        assert deployment.find_holder()


@cases.run_on_virtual_clock
async def test_all_entries_follow_a_store_that_returns_from_a_copy():
    async with deployments.open_deployment(4) as deployment:
        await trio.sleep(3)
        saved = deployment.rows.copy()
        for _ in range(50):
            deployment.rows.put("status", "x", b"")
        await trio.sleep(2)
        deployment.rows.restore(saved)
        value = deployments.encode_routing(7, key="key-2")
        deployment.rows.put("op", "config", value)
        for _ in range(60):
            deployment.rows.put("status", "x", b"")
        await trio.sleep(2)
        versions = [e.view.routing.version for e in deployment.entries]
        assert versions == [7] * 4
        assert b" 200 " in await deployment.call(3, key="key-2")


@cases.run_on_virtual_clock
async def test_internal_error_ends_only_its_own_request(monkeypatch):
    """Guards against an entry that ends with all its streams."""
    async with deployments.open_deployment(expects_errors=True) as deployment:

        def fail(*_):
            raise AttributeError("reason")

        with monkeypatch.context() as patch:
            patch.setattr(deployment.entries[0].view, "choose_path", fail)
            assert await deployment.call() == b""
        assert b" 200 " in await deployment.call()


@cases.run_on_virtual_clock
async def test_fleet_state_shows_what_servers_state():
    async with deployments.open_deployment(2) as deployment:
        deployment.servers["x"].stated = ((b"Server-Limit", b"2"),)
        await deployment.call(1)
        await trio.sleep(0.2)
        response = await deployment.call(2, target="/admin/v1/fleet", port=83)
        described = json.loads(response.partition(b"\r\n\r\n")[2])
        states = {s["instance"]: s["states"] for s in described["servers"]}
        assert states["y"] == {}
        assert states["x"]["limit_per_s"] == 2.0
        assert states["x"]["source"].startswith("front-1#")


@cases.run_on_virtual_clock
async def test_odd_rows_of_entries_and_the_lease_end_no_entry():
    """Guards against one row that ends all entries, or placement for good."""
    entry_row = {
        "clock_s": 1.0,
        "address": "10.1.0.9:82",
        "zone": "a",
        "capacity": 1.0,
    }
    lease = {"holder": "front-9#1", "until_s": 1e9}
    async with deployments.open_deployment(2) as deployment:
        await trio.sleep(3)
        values = odd_values.DOCUMENTS + tuple(
            odd_values.list_variants(entry_row)
        )
        for number, value in enumerate(values):
            deployment.rows.put("peridotyard", f"entry/odd-{number}", value)
        for value in (*odd_values.DOCUMENTS, json.dumps(lease).encode()):
            deployment.rows.put("peridotyard", "lease/placement", value)
            await trio.sleep(6)
            assert b" 200 " in await deployment.call(2)
        assert deployment.find_holder()
        metrics = await deployment.call(1, target="/metrics", port=83)
        assert b'unreadable_rows_total{kind="entry"}' in metrics


@cases.run_on_virtual_clock
async def test_many_odd_rows_of_entries_do_not_keep_the_lease_from_all():
    """Guards against a write of more rows than the store accepts."""
    async with deployments.open_deployment(2) as deployment:
        sizes = []
        commit = deployment.rows._commit

        def record(call):
            sizes.append(sum(map(len, call.values())))
            return commit(call)

        deployment.rows._commit = record
        for number in range(300):
            deployment.rows.put("peridotyard", f"entry/odd-{number}", b"[")
        await trio.sleep(10)
        assert deployment.find_holder()
        assert max(sizes) <= 100


@cases.run_on_virtual_clock
async def test_odd_head_of_a_caller_ends_no_entry():
    """Guards against a header of 5,000 digits that ends the process."""
    async with deployments.open_deployment() as deployment:
        key = "key-1\r\nLast-Event-Id: " + "9" * 5000
        assert b" 200 " in await deployment.call(key=key)
        assert b" 200 " in await deployment.call()


@cases.run_on_virtual_clock
async def test_error_before_the_admission_ends_only_its_own_request(
    monkeypatch,
):
    """Guards against an entry that ends when one head cannot be decoded."""
    async with deployments.open_deployment(expects_errors=True) as deployment:

        def fail(*_):
            raise ValueError("reason")

        with monkeypatch.context() as patch:
            patch.setattr(codec.Codec, "decode_request", fail)
            assert await deployment.call() == b""
        with monkeypatch.context() as patch:
            patch.setattr(deployment.entries[0].view, "describe", fail)
            target = gateway.FLEET_TARGET
            assert await deployment.call(target=target, port=83) == b""
        assert b" 200 " in await deployment.call()
        metrics = await deployment.call(target="/metrics", port=83)
        for kind in ("request", "connection"):
            name = f'internal_errors_total{{kind="{kind}"}} 1'
            assert name.encode() in metrics


@pytest.mark.parametrize(
    ("part", "method"),
    [
        ("_synchronizer", "_wait_while_reads_skipped"),
        ("_presence", "_refresh_rows"),
        ("_placement", "_may_place"),
        ("_prober", "_discard_unlisted"),
        ("_mesh", "_update_topology"),
        ("_mesh", "_post_loads"),
    ],
)
@cases.run_on_virtual_clock
async def test_error_in_a_duty_ends_no_request_and_the_duty_goes_on(
    part, method, monkeypatch
):
    """Guards against an entry that ends, or continues without a part."""
    async with deployments.open_deployment(expects_errors=True) as deployment:
        entry = deployment.entries[0]
        calls = []

        def fail(*_):
            calls.append(trio.current_time())
            raise KeyError("reason")

        with monkeypatch.context() as patch:
            patch.setattr(getattr(entry, part), method, fail)
            deployment.rows.put("op", "config", deployments.encode_routing(4))
            await trio.sleep(10)
            assert b" 200 " in await deployment.call()
        assert 1 <= len(calls) < 50
        deployment.rows.put("op", "config", deployments.encode_routing(5))
        await trio.sleep(12)
        assert entry.view.routing.version == 5
        assert deployment.find_holder() == 1
        assert b" 200 " in await deployment.call()
