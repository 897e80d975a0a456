"""Tests of peridotyard_cli.local with processes that only wait."""

import collections
import json
import pathlib
import signal
import stat
import sys
import threading
import time

from peridotyard_cli import local
import pytest


@pytest.fixture
def deployment(tmp_path, monkeypatch):
    """A deployment whose processes only wait for a signal."""
    program = tmp_path / "program.py"
    program.write_text(
        "import signal, sys, time\n"
        "signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))\n"
        "print('started', flush=True)\n"
        "time.sleep(600)\n"
    )
    monkeypatch.setattr(
        local,
        "make_command",
        lambda plan: [sys.executable, str(program), plan.role],
    )
    # Four processes are enough: they cover each phase of `Deployment.stop`.
    plans = local.plan_processes("token")
    plans_by_role = {plan.role: plan for plan in plans}
    selected = [
        plans_by_role[role] for role in ("table", "engine", "sidecar", "entry")
    ]
    monkeypatch.setattr(local, "plan_processes", lambda _: selected)
    item = local.Deployment(str(tmp_path / "run"))
    yield item
    item.stop()


def start_all(deployment):
    for plan in deployment.plans:
        deployment.restart(plan.name)
        log = deployment.directory / f"{plan.name}.log"
        deadline = time.monotonic() + 30
        while "started" not in log.read_text():
            assert time.monotonic() < deadline, log
            time.sleep(0.01)


def test_addresses_are_distinct_and_below_the_ephemeral_range():
    """Guards against ports that outgoing connections can take."""
    got = local.choose_addresses(200)
    ports = {int(address.rpartition(":")[2]) for address in got}
    assert len(ports) == 200
    assert all(local.FIRST_PORT <= port < 32768 for port in ports)


def test_too_few_ports_are_reported(monkeypatch):
    """Guards against an endless search if too few ports are free."""
    monkeypatch.setattr(local, "END_PORT", local.FIRST_PORT + 3)
    with pytest.raises(local.DeploymentError, match="of 4 ports are free"):
        local.choose_addresses(4)


def test_plan_covers_each_layer_twice_in_different_zones():
    """Guards against a stage whose replicas are in the same zone."""
    zones = collections.defaultdict(list)
    for plan in local.plan_processes("token"):
        if plan.role == "engine":
            model = plan.sections["model"]
            for layer in range(model["first_layer"], model["end_layer"]):
                zones[layer].append(plan.zone)
    assert sorted(zones) == list(range(local.LAYERS))
    for used in zones.values():
        assert len(used) == len(set(used)) == 2
    assert {zone for used in zones.values() for zone in used} == set(
        local.ZONES
    )


def test_stop_ends_every_process(deployment):
    """Guards against processes that outlive the deployment."""
    start_all(deployment)
    names = [plan.name for plan in deployment.plans]
    # A paused process handles SIGTERM only after it is resumed.
    deployment.pause(names[1])
    deployment.stop()
    assert not any(map(deployment.is_running, names))
    assert [deployment.wait(name, 0) for name in names] == [0, 0, 0, 0]
    assert deployment.collect_unexpected_exits() == []


def test_unexpected_exit_is_reported_once_with_its_log(deployment):
    """Guards against an unexpected exit that is not reported."""
    start_all(deployment)
    table, engine, *_ = [plan.name for plan in deployment.plans]
    deployment.kill(engine)
    assert deployment.collect_unexpected_exits() == []
    deployment._find_process(table).signal(signal.SIGKILL)
    deployment.wait(table, 5)
    assert deployment.collect_unexpected_exits() == [table]
    assert deployment.collect_unexpected_exits() == []
    text = deployment.describe_exit(table)
    assert f"{table} ended with status -9" in text
    assert text.endswith("started")


def test_unknown_process_is_rejected(deployment):
    """Guards against a test that passes because its kill had no effect."""
    with pytest.raises(local.DeploymentError, match="no process 'engine-9'"):
        deployment.kill("engine-9")


def test_failed_start_stops_everything(deployment, monkeypatch):
    """Guards against processes left behind by a failed start."""
    calls = []

    def fail(self, waiter):
        calls.append([deployment.is_running(p.name) for p in deployment.plans])
        raise local.DeploymentError("refused")

    monkeypatch.setattr(local.Deployment, "_publish_instances", fail)
    with pytest.raises(local.DeploymentError, match="refused"):
        deployment.start()
    assert calls == [[True] * 4]
    assert not any(deployment.is_running(p.name) for p in deployment.plans)


def test_ready_file_is_written_atomically_and_private(tmp_path):
    """Guards against a partly written file, and keys that others can read."""
    path = tmp_path / "ready.json"
    values = [{"entries": [str(n)] * 2000} for n in range(50)]
    local.write_ready_file(str(path), values[0])
    ended = threading.Event()
    seen = []

    def read():
        while not ended.is_set():
            seen.append(json.loads(path.read_text()) in values)

    thread = threading.Thread(target=read)
    thread.start()
    for value in values:
        local.write_ready_file(str(path), value)
    ended.set()
    thread.join()
    assert seen
    assert all(seen)
    assert stat.S_IMODE(path.stat().st_mode) == 0o600
    assert [item.name for item in pathlib.Path(tmp_path).iterdir()] == [
        "ready.json"
    ]


def test_plan_may_name_its_own_command():
    """Guards against a bench that starts the usual entry, not its own."""
    plan = local.Plan("entry-1", "entry", "z", {}, ("python", "-m", "bench"))
    assert local.make_command(plan) == ["python", "-m", "bench"]
    engine = local.Plan("engine-1", "engine", "z", {})
    assert local.make_command(engine)[-1] == "engine"
