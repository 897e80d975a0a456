"""Tests of the emulated services."""

import json

from peridotyard_daemon.connection import http
from peridotyard_emulator import faults
from peridotyard_emulator import main
from peridotyard_emulator import service
from peridotyard_emulator import table
from peridotyard_emulator import web
import pytest
import trio

from tests.support import cases


def make_service(**options):
    state = service.ServiceState("bookings", **options)
    crashes = []
    application = web.Application(
        state, faults.Faults(), lambda: crashes.append(1)
    )
    return state, web.LocalClient(application, 10.0), crashes


async def submit(client, **record):
    return await client.request_json("POST", "/bookings", record)


@cases.run_on_virtual_clock
async def test_service_counts_executions():
    """Guards against a duplicate execution that is not counted."""
    state, client, _ = make_service()
    for count in (1, 2):
        response = await submit(client, id="b1")
        assert (response.status, response.json["executions"]) == (201, count)
    found = await client.request("GET", "/bookings/b1")
    assert found.json == {"id": "b1"}
    assert (await client.request("GET", "/bookings/b2")).status == 404
    assert (await client.request("GET", "/tallies/b1")).status == 404
    assert (await submit(client)).status == 400
    shown = (await client.request("GET", "/control/state")).json
    assert shown["executions"] == {"b1": 2}


@pytest.mark.parametrize("mark", ["crash", "silent", "slow", "error"])
@cases.run_on_virtual_clock
async def test_marked_request_runs_and_fails(mark):
    """Guards against a marked request that fails without being counted."""
    state, client, crashes = make_service(mark_delay_s=3)
    try:
        response = await submit(client, id="b1", mark=mark)
    except http.LostError:
        assert mark in ("crash", "silent")
    else:
        assert response.status == {"slow": 201, "error": 500}[mark]
    assert state.executions["b1"] == 1
    assert bool(crashes) == (mark == "crash")
    assert (trio.current_time() >= 3) == (mark != "error")


@cases.run_on_virtual_clock
async def test_faults_last_for_their_count_and_path():
    """Guards against a fault that outlasts its count or affects other paths."""
    state = table.TableState()
    application = web.Application(state, faults.Faults())
    client = web.LocalClient(application, 1.0)
    body = {"faults": [{"kind": "refuse", "count": 2, "path": "/v1/rows"}]}
    await client.request_json("POST", "/control/faults", body)
    statuses = [
        (await client.request("GET", path)).status
        for path in ("/v1/rows/a", "/other", "/v1/rows/a", "/v1/rows/a")
    ]
    assert statuses == [503, 404, 503, 404]
    async with trio.open_nursery() as application.nursery:
        application.faults.add(faults.Fault("late-effect", 1, 5.0))
        put = {"puts": [{"key": "a", "value": 1}]}
        with pytest.raises(http.LostError):
            await client.request_json("POST", "/v1/transact", put)
        assert not state.rows
    assert list(state.rows) == ["a"]


@pytest.mark.parametrize(
    ("fault", "place"),
    [
        ({"kind": "fire"}, "faults[0].kind: allowed: outage"),
        ({"kind": "slow", "count": -1}, "faults[0].count: allowed"),
        ({"kind": "slow", "delay_s": "1"}, "faults[0].delay_s: allowed"),
        ({"kind": "slow", "oops": 1}, "faults[0].oops: allowed"),
    ],
)
def test_bad_fault_is_rejected_with_its_place(fault, place):
    """Guards against a mistyped fault that is accepted without an effect."""
    with pytest.raises(ValueError, match="allowed") as caught:
        faults.Faults().set_json({"faults": [fault]})
    assert place in str(caught.value)


def test_unknown_fault_in_settings_is_a_usage_error(tmp_path, capsys):
    """Guards against a service that starts without its configured fault."""
    file = tmp_path / "table.ini"
    file.write_text(
        "[process]\ninstance = t\nzone = z\n[listen]\n"
        "address = 127.0.0.1:0\n[faults]\nkinds = fire\n"
    )
    assert main.main(["table", "--settings", str(file)]) == main.EXIT_USAGE
    assert "outage" in capsys.readouterr().err


def test_control_state_is_json():
    """Guards against a state that the control interface cannot encode."""
    state = table.TableState()
    call = web.Call("POST", "/v1/transact", {}, {}, b'{"puts": []}')
    assert state.handle(call).status == 200
    assert json.dumps(state.describe())
