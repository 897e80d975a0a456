"""Tests of peridotyard_platform.main: the process as the platform starts it."""

import os
import signal
import socket
import subprocess
import sys
import time

# A separate loopback address, so that the fixed metrics port is free.
HOST = "127.0.64.7"
SETTINGS = """
node: "front-1"
ip: "{host}"
zone: "a"
listen: {{front: "{host}:{front}", ready: "{host}:{ready}",
  control: "{host}:{control}"}}
bounds: {{graceS: 2, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetExtra: 9}}
provider: {{address: "{host}:{store}"}}
"""


def find_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((HOST, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def start_process(path):
    environment = os.environ | {"PERIDOTYARD_NODE_FILE": str(path)}
    return subprocess.Popen(
        [sys.executable, "-m", "peridotyard_platform"],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )


def read_status_line(port):
    """Returns the status line of the readiness check, once it is served."""
    for _ in range(200):
        try:
            with socket.create_connection((HOST, port), 1) as connection:
                connection.sendall(
                    b"GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n"
                )
                return connection.recv(100)
        except OSError:
            time.sleep(0.05)
    raise AssertionError("the process does not listen")


def test_process_starts_without_the_store_and_stops_on_request(tmp_path):
    """Guards against an entry that ends if its store or a reload fails."""
    front, ready, control, store = find_ports(4)
    path = tmp_path / "settings.yaml"
    path.write_text(
        SETTINGS.format(
            host=HOST, front=front, ready=ready, control=control, store=store
        )
    )
    process = start_process(path)
    try:
        assert b" 503 " in read_status_line(ready)[:15]
        # A reload applies a valid file; an invalid one changes no settings.
        path.write_text(path.read_text().replace("graceS: 2", "graceS: 3"))
        process.send_signal(signal.SIGHUP)
        time.sleep(0.5)
        window = "budgetWindowS: 10"
        assert window in path.read_text()
        for text in (
            "node: 3",
            "[" * 5000,
            path.read_text().replace(window, "budgetWindowS: 0"),
        ):
            path.write_text(text)
            process.send_signal(signal.SIGHUP)
            time.sleep(0.5)
            assert b" 503 " in read_status_line(ready)[:15]
        process.send_signal(signal.SIGTERM)
        output, errors = process.communicate(timeout=20)
    finally:
        process.kill()
    assert process.returncode == 0
    assert errors == ""
    assert "entry started" in output
    assert "entry stopped" in output
    assert '"applied": "grace_s"' in output
    assert output.count("settings file invalid, settings kept") == 3


def test_wrong_settings_end_the_process_with_the_reason(tmp_path):
    """Guards against a start with invalid settings, or without an error."""
    path = tmp_path / "settings.yaml"
    path.write_text("node: 3\n")
    process = start_process(path)
    _, errors = process.communicate(timeout=20)
    assert process.returncode == 2
    assert "allowed" in errors
