"""The subcommand local: a trial deployment of processes on this machine."""

import argparse
import collections
import collections.abc
import dataclasses
import functools
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import sysconfig
import tempfile
import time
import typing

import httpcore
from peridotyard_core import configuration
from peridotyard_core import errors

HOST = "127.0.0.1"
# Ports from 32768 on are ephemeral: an outgoing connection could take one
# before the process listens on it.
FIRST_PORT = 10240
END_PORT = 32768
ZONES = ("superior-north", "huron-west", "erie-south")
MODEL = "plot-summary"
MODEL_VERSION = "1"
LAYERS = 12
STAGES = 4
# Duration of one iteration of an emulated engine. With four stages a token
# takes 8 ms, so that a stream of 400 tokens lasts at least 3 s.
ITERATION_S = 0.002
# Name suffixes of the replicas of each stage.
REPLICAS = "ab"
# Number of servers of each service.
SERVICES = {"ledger": 2, "bookings": 2}
# Path segment of the records, by service.
RECORD_PATHS = {"ledger": "tallies", "bookings": "bookings"}
ENTRIES = 2
# The service that each workspace may call.
WORKSPACES = {"survey": "ledger", "travel": "bookings"}
# A graceful shutdown has to wait for streams to end; one of 600 tokens takes up
# to 15 s on a busy machine.
DRAIN_S = 40.0
START_TIMEOUT_S = 60.0
# Time for a process to exit after its drain or, if it has none, after SIGTERM.
STOP_TIMEOUT_S = 5.0
# Keeps a process that fails at its start from being restarted in a busy loop.
RESTART_DELAY_S = 1.0
# Interval between two checks of a condition.
POLL_S = 0.05
LOG_TAIL_LINES = 20


class DeploymentError(errors.PeridotyardError):
    """The deployment could not be started, or a process name is unknown."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """Name, role and settings of one process.

    Attributes:
        name: Unique name, such as "sidecar-engine-1a".
        role: "entry", "sidecar" or a role of the emulator.
        zone: Availability zone.
        sections: Content of the settings file: sections with their options
            and values.
        command: Command without the option --settings; empty for the usual one
            of the role.
    """

    name: str
    role: str
    zone: str
    sections: dict[str, dict[str, typing.Any]]
    command: tuple[str, ...] = ()

    @property
    def is_daemon(self) -> bool:
        """Whether the process runs peridotyardd and drains before it exits."""
        return self.role in ("entry", "sidecar")

    @property
    def address(self) -> str:
        """Address at which other processes reach this one."""
        listen = self.sections["listen"]
        return str(listen["peers" if self.is_daemon else "address"])

    def render(self) -> str:
        """Returns the text of the settings file."""
        lines = []
        for section, values in self.sections.items():
            lines.append(f"[{section}]")
            lines += [f"{name} = {value}" for name, value in values.items()]
            lines.append("")
        return "\n".join(lines)


def choose_addresses(count: int) -> list[str]:
    """Returns free loopback addresses below the ephemeral port range.

    All ports stay bound until the last one is found, so that none is returned
    twice.

    Raises:
        DeploymentError: Too few ports are free.
    """
    sockets = []
    size = END_PORT - FIRST_PORT
    start = random.randrange(size)
    try:
        for offset in range(size):
            if len(sockets) == count:
                break
            port = FIRST_PORT + (start + offset) % size
            candidate = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                candidate.bind((HOST, port))
            except OSError:
                candidate.close()
            else:
                sockets.append(candidate)
        if len(sockets) < count:
            raise DeploymentError(
                f"only {len(sockets)} of {count} ports are free from"
                f" {FIRST_PORT} to {END_PORT - 1}"
            )
        return [f"{HOST}:{candidate.getsockname()[1]}" for candidate in sockets]
    finally:
        for candidate in sockets:
            candidate.close()


def plan_processes(admin_token: str) -> list[Plan]:
    """Returns all processes in the order in which they are started."""
    engines = [
        (f"engine-{stage + 1}{replica}", stage, index)
        for stage in range(STAGES)
        for index, replica in enumerate(REPLICAS)
    ]
    services = [
        (f"{service}-{number + 1}", service, number)
        for service, count in SERVICES.items()
        for number in range(count)
    ]
    # Addresses: one for each of four platform services, two for an engine, one
    # for a service server, one for each sidecar and three for an entry.
    free_addresses = iter(
        choose_addresses(4 + 3 * len(engines) + 2 * len(services) + 3 * ENTRIES)
    )
    platform = [
        _plan(
            role, role, ZONES[0], {"listen": {"address": next(free_addresses)}}
        )
        for role in ("table", "instances", "objects", "weights")
    ]
    table, instances = platform[0].address, platform[1].address
    backends = []
    for name, stage, index in engines:
        # The replicas of one layer range are in different zones.
        zone = ZONES[(stage + index) % len(ZONES)]
        backends.append(
            _plan_engine(
                name, stage, zone, next(free_addresses), next(free_addresses)
            )
        )
    for name, service, number in services:
        backends.append(
            _plan(
                name,
                "service",
                ZONES[number % len(ZONES)],
                {
                    "listen": {"address": next(free_addresses)},
                    "service": {"kind": service},
                },
            )
        )
    sidecars = [
        _plan_sidecar(plan, next(free_addresses), table) for plan in backends
    ]
    digest = configuration.hash_secret(admin_token)
    entries = [
        _plan(
            f"entry-{number + 1}",
            "entry",
            ZONES[number % len(ZONES)],
            {
                "listen": {
                    "peers": next(free_addresses),
                    "callers": next(free_addresses),
                    "admin": next(free_addresses),
                },
                "platform": {
                    "table": table,
                    "instances": instances,
                    "instance_poll_s": 0.5,
                },
                "admin": {"token_sha256": digest},
            },
        )
        for number in range(ENTRIES)
    ]
    return platform + backends + sidecars + entries


def _plan(name, role, zone, sections) -> Plan:
    process = {"instance": name, "zone": zone}
    if role in ("entry", "sidecar"):
        process["drain_s"] = DRAIN_S
    return Plan(name, role, zone, {"process": process, **sections})


def _plan_engine(name, stage, zone, address, control) -> Plan:
    width = LAYERS // STAGES
    return _plan(
        name,
        "engine",
        zone,
        {
            "listen": {"address": address, "control": control},
            "engine": {"base_s": ITERATION_S},
            "model": {
                "name": MODEL,
                "version": MODEL_VERSION,
                "layers": LAYERS,
                "first_layer": stage * width,
                "end_layer": (stage + 1) * width,
            },
        },
    )


def _plan_sidecar(backend: Plan, address: str, table: str) -> Plan:
    values = {"address": backend.address, "kind": "model"}
    if backend.role == "service":
        values["kind"] = "service"
        values["service"] = backend.sections["service"]["kind"]
    return _plan(
        f"sidecar-{backend.name}",
        "sidecar",
        backend.zone,
        {
            "listen": {"peers": address},
            "backend": values,
            "platform": {"table": table},
        },
    )


def make_change(keys: dict[str, str]) -> dict:
    """Returns the change that submits the first configuration.

    It is the request body of `POST /admin/v1/config/changes`.

    Args:
        keys: API key by workspace.
    """
    objects = [
        configuration.Model(MODEL, MODEL_VERSION, LAYERS),
        *(configuration.Service(name) for name in SERVICES),
        *(
            configuration.Workspace(
                name,
                key_hashes=(configuration.hash_secret(keys[name]),),
                models=(MODEL,),
                services=(service,),
            )
            for name, service in WORKSPACES.items()
        ),
    ]
    values = [configuration.render_object(item) for item in objects]
    return {
        # The same for each attempt, so that a repeated change whose first
        # response was lost is not refused as a conflict.
        "change_id": "first-configuration",
        "expected": {f"{v['kind']}/{v['name']}": 0 for v in values},
        "put": values,
    }


def make_command(plan: Plan) -> list[str]:
    """Returns the command of a process, without the option --settings."""
    if plan.command:
        return list(plan.command)
    if plan.is_daemon:
        scripts = pathlib.Path(sysconfig.get_path("scripts"))
        return [str(scripts / "peridotyardd"), plan.role]
    return [sys.executable, "-m", "peridotyard_emulator", plan.role]


class _Process:
    """One process with its settings and log file, owned by the deployment."""

    def __init__(self, plan: Plan, directory: pathlib.Path):
        self.plan = plan
        self.settings = directory / f"{plan.name}.ini"
        self.log = directory / f"{plan.name}.log"
        self.child = None
        # Whether an exit is expected, and so is not reported.
        self.is_exit_expected = False

    def start(self) -> None:
        self.settings.write_text(self.plan.render(), encoding="utf-8")
        self.is_exit_expected = False
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [*make_command(self.plan), "--settings", str(self.settings)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                # Keeps the SIGINT of a Ctrl-C in the terminal from the child:
                # the deployment stops its processes in order.
                start_new_session=True,
            )

    @property
    def is_running(self) -> bool:
        return self.child is not None and self.child.poll() is None

    def signal(self, number: int) -> None:
        if self.is_running:
            self.child.send_signal(number)

    def wait(self, timeout_s: float) -> int | None:
        """Returns the exit status, None if it still runs after `timeout_s`."""
        try:
            return self.child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def read_tail(self) -> str:
        try:
            text = self.log.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            return str(error)
        return "\n".join(text.splitlines()[-LOG_TAIL_LINES:])


class Deployment:
    """A trial deployment, owned by the program that starts and stops it.

    Processes are identified by name, for example "engine-1a",
    "sidecar-engine-1a", "sidecar-ledger-2", "entry-1", "table".
    """

    def __init__(
        self,
        directory: str | None = None,
        *,
        keep_logs: bool = False,
        make_plans: collections.abc.Callable[[str], list[Plan]] | None = None,
    ):
        """Prepares the deployment; nothing is started yet.

        Args:
            directory: Where settings and logs are written; a new temporary
                directory if None.
            keep_logs: Whether `stop` keeps a temporary directory.
            make_plans: Function from the administration token to all processes
                in the order in which they are started; `plan_processes` if
                None.
        """
        self._is_temporary = directory is None
        self._keep_logs = keep_logs
        if directory is not None:
            os.makedirs(directory, exist_ok=True)
        self.directory = pathlib.Path(
            directory or tempfile.mkdtemp(prefix="peridotyard-")
        )
        self.admin_token = secrets.token_hex(16)
        self.keys = {name: secrets.token_hex(16) for name in WORKSPACES}
        plans = (make_plans or plan_processes)(self.admin_token)
        self._processes = {
            plan.name: _Process(plan, self.directory) for plan in plans
        }

    @property
    def plans(self) -> list[Plan]:
        """All processes in the order in which they are started."""
        return [process.plan for process in self._processes.values()]

    @property
    def entry_urls(self) -> list[str]:
        """URLs of the entries for callers."""
        return [f"http://{a}" for a in self._list_listen_addresses("callers")]

    @property
    def admin_url(self) -> str:
        """URL of the first entry's administration API."""
        return self.list_admin_urls()[0]

    def list_admin_urls(self) -> list[str]:
        """Returns the URL of each entry's administration API."""
        return [f"http://{a}" for a in self._list_listen_addresses("admin")]

    def start(
        self,
        timeout_s: float = START_TIMEOUT_S,
        is_interrupted: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """Starts everything and waits until requests are served.

        Args:
            timeout_s: Time limit for the start, in seconds.
            is_interrupted: The start is aborted when it returns True.

        Raises:
            DeploymentError: A process exited, the wait was interrupted or the
                time is up; all processes are stopped.
        """
        deadline = time.monotonic() + timeout_s
        try:
            for process in self._processes.values():
                process.start()
            waiter = _Waiter(self, deadline, is_interrupted)
            self._publish_instances(waiter)
            self._submit_configuration(waiter)
            self._wait_until_served(waiter)
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stops all processes, entries first; removes a temporary directory."""
        # None stands for all processes that still run.
        for role in ("entry", "sidecar", None):
            processes = [
                process
                for process in self._processes.values()
                if process.is_running and role in (process.plan.role, None)
            ]
            for process in processes:
                process.is_exit_expected = True
                # A paused process handles SIGTERM only after it is resumed.
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGTERM)
            limit_s = STOP_TIMEOUT_S + (DRAIN_S if role else 0)
            deadline = time.monotonic() + limit_s
            for process in processes:
                if process.wait(max(0, deadline - time.monotonic())) is None:
                    _log(
                        f"{process.plan.name} did not stop within"
                        f" {limit_s:g} s, sending SIGKILL"
                    )
                    process.signal(signal.SIGKILL)
                    process.wait(STOP_TIMEOUT_S)
        if self._is_temporary and not self._keep_logs:
            shutil.rmtree(self.directory, ignore_errors=True)

    def kill(self, name: str) -> None:
        """Ends a process with SIGKILL, which acts like a crash."""
        process = self._find_process(name)
        process.is_exit_expected = True
        process.signal(signal.SIGKILL)
        process.wait(STOP_TIMEOUT_S)

    def pause(self, name: str) -> None:
        """Suspends a process until `resume`."""
        self._find_process(name).signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continues a paused process."""
        self._find_process(name).signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Starts a graceful shutdown of a process without waiting for it."""
        process = self._find_process(name)
        process.is_exit_expected = True
        process.signal(signal.SIGTERM)

    def wait(self, name: str, timeout_s: float) -> int | None:
        """Waits for a process to exit.

        Returns:
            The exit status, or None if the process runs after `timeout_s`.
        """
        return self._find_process(name).wait(timeout_s)

    def restart(self, name: str) -> None:
        """Starts a process again with the same settings and addresses.

        A running process is stopped first, with SIGKILL if it does not exit in
        time.
        """
        process = self._find_process(name)
        if process.is_running:
            process.is_exit_expected = True
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
            if process.wait(STOP_TIMEOUT_S + DRAIN_S) is None:
                self.kill(name)
        process.start()

    def is_running(self, name: str) -> bool:
        """Returns whether a process has been started and has not ended."""
        return self._find_process(name).is_running

    def find_pid(self, name: str) -> int:
        """Returns the process id."""
        return self._find_process(name).child.pid

    def collect_unexpected_exits(self) -> list[str]:
        """Returns the processes that exited unexpectedly.

        Each exit is reported by one call only.
        """
        exited = []
        for name, process in self._processes.items():
            started = process.child is not None
            if (
                started
                and not process.is_running
                and not process.is_exit_expected
            ):
                process.is_exit_expected = True
                exited.append(name)
        return exited

    def describe_exit(self, name: str) -> str:
        """Returns the exit status and the last log lines of a process."""
        process = self._find_process(name)
        return (
            f"{name} ended with status {process.child.returncode}; last lines"
            f" of {process.log}:\n{process.read_tail()}"
        )

    def describe(self) -> dict:
        """Returns the content of the ready file."""
        return {
            "entries": self.entry_urls,
            "admin": self.admin_url,
            "admin_token": self.admin_token,
            "workspaces": dict(self.keys),
            "models": [
                {"name": MODEL, "version": MODEL_VERSION, "layers": LAYERS}
            ],
            "services": {
                service: [w for w, s in WORKSPACES.items() if s == service]
                for service in SERVICES
            },
            "processes": [
                {
                    "role": process.plan.role,
                    "name": name,
                    "zone": process.plan.zone,
                    "pid": process.child.pid,
                    "address": process.plan.address,
                    "control": process.plan.sections["listen"].get(
                        "control", ""
                    ),
                }
                for name, process in self._processes.items()
            ],
        }

    def _find_process(self, name: str) -> _Process:
        if name not in self._processes:
            names = ", ".join(self._processes)
            raise DeploymentError(f"no process {name!r}; allowed: {names}")
        return self._processes[name]

    def _list_listen_addresses(self, name: str) -> list[str]:
        return [
            plan.sections["listen"][name]
            for plan in self.plans
            if plan.role == "entry"
        ]

    def _publish_instances(self, waiter: "_Waiter") -> None:
        address = self._processes["instances"].plan.address
        body = {
            "instances": [
                {
                    "instance": plan.name,
                    "zone": plan.zone,
                    "role": plan.role,
                    "address": plan.address,
                    "state": "live",
                }
                for plan in self.plans
                if plan.is_daemon
            ]
        }
        waiter.wait(
            "the list of instances is accepted",
            lambda: send(
                "PUT", f"http://{address}/control/instances", value=body
            ),
            lambda response: response.status in (200, 204),
        )

    def _submit_configuration(self, waiter: "_Waiter") -> None:
        path = f"{self.admin_url}/admin/v1/config"
        change = make_change(self.keys)
        response = waiter.wait(
            "the first configuration is accepted",
            lambda: send("POST", f"{path}/changes", self.admin_token, change),
        )
        query = f"revision={response.json['revision']}"
        waiter.wait(
            "the first configuration is in effect",
            lambda: send("GET", f"{path}/status?{query}", self.admin_token),
            lambda response: response.status == 200
            and response.json["in_effect"],
        )

    def _wait_until_served(self, waiter: "_Waiter") -> None:
        prompt = {"model": MODEL, "prompt": "ready?", "max_tokens": 1}
        served = {
            plan.sections["service"]["kind"]
            for plan in self.plans
            if plan.role == "service"
        }
        for url in self.entry_urls:
            for name, service in WORKSPACES.items():
                key = self.keys[name]
                waiter.wait(
                    f"{url} serves {MODEL} to {name}",
                    functools.partial(
                        send, "POST", f"{url}/v1/completions", key, prompt
                    ),
                )
                if service not in served:
                    continue
                path = make_path(service, "none")
                waiter.wait(
                    f"{url} serves {service} to {name}",
                    functools.partial(send, "GET", url + path, key),
                    # The service responds with 404, since it has no such
                    # record; a 404 of the entry itself has the field
                    # "verdict" in its body.
                    lambda response: (
                        response.status == 404
                        and b'"verdict"' not in response.body
                    ),
                )


def make_path(service: str, record: str = "") -> str:
    """Returns the path of a record at an entry, or of all records."""
    path = f"/v1/services/{service}/{RECORD_PATHS[service]}"
    return f"{path}/{record}" if record else path


@dataclasses.dataclass(frozen=True)
class Response:
    """Status and body of an HTTP response; status 0 if there was none."""

    status: int
    body: bytes

    @property
    def json(self) -> typing.Any:
        """The JSON value of the body."""
        return json.loads(self.body)


def send(
    method: str,
    url: str,
    token: str = "",
    value: typing.Any = None,
    headers: collections.abc.Mapping[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Response:
    """Sends one request on a new connection; returns the complete response."""
    pairs = dict(headers or {})
    if token:
        pairs["authorization"] = f"Bearer {token}"
    content = b""
    if value is not None:
        content = json.dumps(value).encode()
        pairs["content-type"] = "application/json"
    limits = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
    try:
        response = httpcore.request(
            method,
            url,
            headers=pairs,
            content=content,
            extensions={"timeout": limits},
        )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as error:
        return Response(0, type(error).__name__.encode())
    return Response(response.status, response.content)


class _Waiter:
    """Waits for conditions during the start of a deployment."""

    def __init__(self, deployment: Deployment, deadline: float, is_interrupted):
        self._deployment = deployment
        self._deadline = deadline
        self._is_interrupted = is_interrupted

    def wait(
        self,
        condition: str,
        request: collections.abc.Callable[[], Response],
        accept: collections.abc.Callable[[Response], bool] = (
            lambda response: response.status == 200
        ),
    ) -> Response:
        """Repeats a request until its response is accepted, and returns that.

        Args:
            condition: What the accepted response shows, for the error message.
            request: Sends the request.
            accept: Returns whether a response shows the condition.

        Raises:
            DeploymentError: A process exited, the deadline passed, or a signal
                was received.
        """
        while True:
            response = request()
            if accept(response):
                return response
            exited = self._deployment.collect_unexpected_exits()
            if exited:
                raise DeploymentError(
                    "\n".join(map(self._deployment.describe_exit, exited))
                )
            if self._is_interrupted():
                raise DeploymentError("start interrupted by a signal")
            if time.monotonic() > self._deadline:
                text = response.body[:500].decode(errors="replace")
                raise DeploymentError(
                    f"start timed out, condition not met: {condition}; last"
                    f" response: {response.status} {text}"
                )
            time.sleep(POLL_S)


def _log(message: str) -> None:
    print(f"peridotyard local: {message}", file=sys.stderr, flush=True)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the options of `peridotyard local`."""
    parser.add_argument(
        "--ready-file",
        metavar="F",
        help="JSON file that is written when requests are served",
    )
    parser.add_argument(
        "--directory",
        metavar="D",
        help="directory of settings and logs (default: a temporary one)",
    )
    parser.add_argument(
        "--keep-logs",
        action="store_true",
        help="keep the temporary directory",
    )
    parser.add_argument(
        "--restart",
        action="store_true",
        help="restart a process that exits unexpectedly",
    )


def run(options: argparse.Namespace) -> int:
    """Runs a deployment until SIGINT or SIGTERM; returns the exit status."""
    received = []
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda number, _: received.append(number))
    deployment = Deployment(options.directory, keep_logs=options.keep_logs)
    _log(f"settings and logs are in {deployment.directory}")
    try:
        deployment.start(is_interrupted=lambda: bool(received))
    except DeploymentError as error:
        _log(str(error))
        return 0 if received else 1
    try:
        _log("requests are served by " + ", ".join(deployment.entry_urls))
        if options.ready_file:
            write_ready_file(options.ready_file, deployment.describe())
        _watch(deployment, options, received)
    finally:
        _log("stopping")
        deployment.stop()
        if options.ready_file:
            pathlib.Path(options.ready_file).unlink(missing_ok=True)
    return 0


def _watch(deployment: Deployment, options, received: list[int]) -> None:
    restarts = collections.Counter()
    while not received:
        for name in deployment.collect_unexpected_exits():
            _log(deployment.describe_exit(name))
            if options.restart:
                restarts[name] += 1
                time.sleep(RESTART_DELAY_S)
                _log(f"restarting {name} (restart {restarts[name]})")
                deployment.restart(name)
                if options.ready_file:
                    write_ready_file(options.ready_file, deployment.describe())
        time.sleep(POLL_S)


def write_ready_file(path: str, value: dict) -> None:
    """Writes a JSON file atomically, so that readers never see part of it.

    It contains API keys, so only its owner can read it.
    """
    target = pathlib.Path(path)
    partial = target.with_name(f"{target.name}.{os.getpid()}.tmp")
    with open(os.open(partial, os.O_WRONLY | os.O_CREAT, 0o600), "w") as file:
        json.dump(value, file, indent=2)
        file.write("\n")
    os.replace(partial, target)
