"""A small deployment of the project's programs, with stand-ins around them.

The programs run as separate processes with the commands of the deploy file, each with
a settings file as the users' pages describe it. All addresses are loopback addresses.
"""

# ruff: noqa: PLR2004

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from database import Group, Server
from record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_SECONDS = 1.2
CALL_SECONDS = 1.0
DRAIN_SECONDS = 7.0
GRACE_SECONDS = 6.0
# A program that fails ends with 1, so that a broken rule has another status.
STATUS_HELD = 0
STATUS_NOT_RUN = 2
STATUS_BROKEN = 3
# Below the range from which the kernel gives ports to connections.
PORTS = range(17_000, 32_000)
KEPT_VARIABLES = ("PATH", "HOME", "LANG")


class NotRunnableError(Exception):
    """The scenario could not run; says why."""


class Machine:
    """One machine of the deployment, which runs one of the project's programs."""

    def __init__(
        self, name: str, role: str, zone: str, host: str, folder: Path
    ) -> None:
        self.name = name
        self.role = role
        self.zone = zone
        self.host = host
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self, command: list[str]) -> None:
        """Start its process."""
        kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        # The platform puts this folder on Python's path.
        kept["PYTHONPATH"] = str(ROOT / "target" / "deps")
        kept["DOGWOODSPOOL_BOOT"] = str(self.folder / "boot.toml")
        with (self.folder / "output.log").open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=kept, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        """Send a signal to its process if that runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """Machines, the platform's provider, and the operator.

    Args:
        record: where events are written.
        edges: number of edge machines.
        cores: number of core machines.
    """

    def __init__(self, record: Record, edges: int = 3, cores: int = 3) -> None:
        self.record = record
        self.groups: dict[str, Group] = {}
        self.config: dict[str, Any] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._commands = _commands()
        self._prefix = f"127.{random.randint(64, 250)}.{random.randint(1, 250)}"
        self.internal, self.pools, self.control, self.front, self.ready = _free_ports(5)
        self._server_ports: Iterator[int] = iter(_free_ports(40))
        self.provider = Provider(self, f"{self._prefix}.250")
        self.stopping = threading.Event()
        self.cores = [self._machine("core", n) for n in range(cores)]
        self.edges = [self._machine("edge", n) for n in range(edges)]
        for machine in [*self.cores, *self.edges]:
            self._write_settings(machine, is_first=True)

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.cores, *self.edges]

    def start(self) -> None:
        """Start all processes."""
        for machine in self.machines:
            self.start_machine(machine)

    def start_machine(self, machine: Machine) -> None:
        """Start the process of one machine."""
        machine.start(self._commands[machine.role])

    def restart_all(self, down_seconds: float) -> None:
        """Kill all processes at the same moment and start them again."""
        for machine in self.machines:
            machine.signal(signal.SIGKILL)
        self.record.write("all processes of the system are killed")
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        time.sleep(down_seconds)
        for machine in self.machines:
            self._write_settings(machine, is_first=False)
            self.start_machine(machine)
        self.record.write("all processes of the system are started again")

    def terminate(self, machine: Machine) -> None:
        """Send SIGTERM, and SIGKILL after the grace time, as the provider does."""
        machine.signal(signal.SIGTERM)
        self.record.write(f"{machine.name} gets SIGTERM")
        threading.Thread(target=self._kill_later, args=(machine,), daemon=True).start()

    def stop(self) -> None:
        """End everything that was started."""
        self.stopping.set()
        for machine in self.machines:
            machine.signal(signal.SIGKILL)
            if machine.process is not None:
                machine.process.wait()
        self.provider.close()
        for group in self.groups.values():
            for server in list(group.servers.values()):
                server.end()
        self._folder.cleanup()

    def add_server(self, name: str, group: Group, zone: str) -> "Backend":
        """Start a backend server, which announces itself."""
        number = sum(len(one.servers) for one in self.groups.values()) + 1
        self.groups[group.name] = group
        address = f"{self._prefix}.{150 + number}", next(self._server_ports)
        is_primary = not group.servers
        server = Server(name, group, address, zone)
        group.add(server, is_primary=is_primary)
        self.record.write(f"{name} starts as {'primary' if is_primary else 'replica'}")
        return Backend(self, server)

    def put_config(self, config: dict[str, Any], seconds: float = 30.0) -> None:
        """Send a configuration until it is acknowledged.

        Raises:
            NotRunnableError: it was not acknowledged in time.
        """
        self.config = config
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for core in self.cores:
                url = f"http://{core.host}:{self.control}/dogwoodspool/config"
                if call("PUT", url, config)[0] == 200:
                    self.record.write(f"config {config['version']} is acknowledged")
                    return
            time.sleep(0.2)
        raise NotRunnableError("the configuration was not acknowledged")

    def call_control(
        self, method: str, path: str, build: Callable[[], Any] = lambda: None
    ) -> int:
        """Call the first core machine that answers; return the status.

        Args:
            method: HTTP method.
            path: path of the call.
            build: returns the body of each call.
        """
        for core in random.sample(self.cores, len(self.cores)):
            url = f"http://{core.host}:{self.control}{path}"
            status = call(method, url, build())[0]
            if 200 <= status < 300:
                return status
        return 0

    def is_ready(self, edge: Machine) -> bool:
        """Ask an edge machine whether it is ready, as the provider does."""
        url = f"http://{edge.host}:{self.ready}/dogwoodspool/readiness"
        return call("GET", url)[0] == 200

    def wait_ready(self, seconds: float = 30.0) -> None:
        """Wait until all edge machines are ready.

        Raises:
            NotRunnableError: they were not in time.
        """
        wait_until(
            lambda: all(self.is_ready(edge) for edge in self.edges),
            "all edge machines are ready",
            seconds,
        )

    def _kill_later(self, machine: Machine) -> None:
        process = machine.process
        if process is None:
            return
        try:
            process.wait(GRACE_SECONDS)
            self.record.write(f"{machine.name} has ended by itself")
        except subprocess.TimeoutExpired:
            process.kill()
            self.record.write(f"{machine.name} gets SIGKILL")

    def _machine(self, role: str, number: int) -> Machine:
        zone = ZONES[number % len(ZONES)]
        base = 10 if role == "core" else 50
        name = f"{role}-{zone}-{number + 1}"
        folder = Path(self._folder.name) / name
        (folder / "data").mkdir(parents=True)
        return Machine(name, role, zone, f"{self._prefix}.{base + number}", folder)

    def _write_settings(self, machine: Machine, *, is_first: bool) -> None:
        is_core = machine.role == "core"
        listen = {
            "front": f"{machine.host}:{self.front}",
            "ready": f"{machine.host}:{self.ready}",
        }
        if is_core:
            listen = {"control": f"{machine.host}:{self.control}"}
        seeds = [f"{core.host}:{self.control}" for core in self.cores[:3]]
        lines = [
            f"node = {json.dumps(machine.name)}",
            f"role = {json.dumps(machine.role)}",
            f"machineClass = {json.dumps(machine.role)}",
            f"serves = [{json.dumps('control_plane' if is_core else 'edge')}]",
            f"ip = {json.dumps(machine.host)}",
            f"zone = {json.dumps(machine.zone)}",
            'region = "region"',
            f"internalPorts = [{self.internal}, {self.pools}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(is_first)}",
            f"lossCounts = {json.dumps(is_core)}",
            'discovery = "registry"',
            'entry = "vip"',
            "heartbeatMs = 1200",
            'invariants = ["base", "drain", "config", "cost", "recover", "sql"]',
            'config_mode = "highest"',
        ]
        if is_core:
            lines.append(f"dataDir = {json.dumps(str(machine.folder / 'data'))}")
        lines += ["[zones]", *(f'{zone} = "region"' for zone in ZONES)]
        lines += ["[listen]", *(f'{key} = "{one}"' for key, one in listen.items())]
        lines += ["[faultTolerance]", "machines = 1", "zones = 1", "regions = 0"]
        lines += ["[bounds]", *BOUNDS]
        lines += ["[cloud]", f'addr = "{self.provider.address}"']
        text = "\n".join(lines) + "\n"
        (machine.folder / "boot.toml").write_text(text, encoding="utf-8")


BOUNDS = (
    "seedLagS = 3",
    "reuseAfterS = 2",
    "stableWindowMs = 4000",
    "ackMs = 5000",
    "catchUpS = 4",
    "drainMs = 7000",
    "graceS = 6",
    "lossSlackMs = 200",
    "configApplyMs = 3000",
    "rollbackSlackMs = 250",
    "maxSkewMs = 12000",
    "recoveryS = 12",
    "requireFencing = true",
    "thawMs = 300",
)


class Backend:
    """The life of one backend server: heartbeats, a planned end, or its loss."""

    def __init__(self, deployment: Deployment, server: Server) -> None:
        self._deployment = deployment
        self.server = server
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._wake = threading.Event()
        self._is_draining = False
        self._is_cut_off = False
        self._acknowledged_at: float | None = None
        threading.Thread(target=self._run, daemon=True).start()

    @property
    def has_ended(self) -> bool:
        """Whether its process has ended."""
        return not self.server.is_running

    def drain(self) -> None:
        """Announce the planned end; it serves for ``drainMs`` after the answer."""
        self._deployment.record.write(f"{self.server.name} begins to drain")
        self._is_draining = True
        self._wake.set()

    def lose(self) -> None:
        """End at once and for good, without a word."""
        self._deployment.record.write(f"{self.server.name} is lost for good")
        self.server.end()

    def crash(self, down_seconds: float, new_name: str) -> "Backend":
        """Crash, and come back with the log at the same address, under a new id."""
        old = self.server
        self._deployment.record.write(f"{old.name} crashes")
        old.end()
        time.sleep(down_seconds)
        group = old.group
        server = Server(new_name, group, old.address, old.zone)
        with group.changed:
            server.append(old.log)
            del group.servers[old.name]
            group.add(server, is_primary=group.primary == old.name)
        role = "primary" if server.is_primary else "replica"
        self._deployment.record.write(f"{new_name} is back in its place as {role}")
        return Backend(self._deployment, server)

    def cut_off(self, *, is_cut: bool) -> None:
        """Cut it off from the core machines, or end the cut."""
        state = "is cut off from the core" if is_cut else "reaches the core again"
        self._deployment.record.write(f"{self.server.name} {state}")
        self._is_cut_off = is_cut
        self.server.behaviour.ignores = lambda process: (
            self._is_cut_off and process.startswith("core-")
        )

    def _run(self) -> None:
        role = ""
        next_at = 0.0
        while not self._deployment.stopping.is_set() and self.server.is_running:
            now_role = "primary" if self.server.is_primary else "replica"
            if time.monotonic() >= next_at or now_role != role or self._wake.is_set():
                self._wake.clear()
                role, next_at = now_role, time.monotonic() + HEARTBEAT_SECONDS
                if not self._is_cut_off:
                    self._beat(role)
            drained_at = (self._acknowledged_at or 0.0) + DRAIN_SECONDS
            if self._acknowledged_at and time.monotonic() >= drained_at:
                self._end()
                return
            self._wake.wait(0.02)

    def _message(self, role: str) -> dict[str, Any]:
        """Return the next heartbeat; its sequence increases with each call."""
        self._sequence += 1
        host, port = self.server.address
        return {
            "service": self.server.group.name,
            "addr": f"{host}:{port}",
            "zone": self.server.zone,
            "version": "v1",
            "slots": 3,
            "state": "draining" if self._is_draining else "ready",
            "warmupLeftMs": 0,
            "dbRole": role,
            "seq": self._sequence,
            "born": self._born,
        }

    def _beat(self, role: str) -> None:
        is_draining = self._is_draining
        path = f"/dogwoodspool/instances/{self.server.name}"
        status = self._deployment.call_control("PUT", path, lambda: self._message(role))
        if status and is_draining and self._acknowledged_at is None:
            self._acknowledged_at = time.monotonic()
            self._deployment.record.write(f"{self.server.name} may leave: acknowledged")

    def _end(self) -> None:
        path = f"/dogwoodspool/instances/{self.server.name}"
        while not self._deployment.stopping.is_set():
            if self._deployment.call_control("DELETE", path) > 0:
                break
            time.sleep(0.5)
        self.server.end()
        self._deployment.record.write(f"{self.server.name} has deregistered and ended")


class Provider:
    """The platform's promotion service, which checks fencing tokens."""

    def __init__(self, deployment: Deployment, host: str) -> None:
        provider = self
        self._deployment = deployment
        self._newest: dict[str, int] = {}
        self.requested = threading.Event()
        self._lock = threading.Lock()

        class Handler(BaseHTTPRequestHandler):
            def do_POST(self) -> None:  # noqa: N802
                length = int(self.headers["Content-Length"])
                body = json.loads(self.rfile.read(length))
                token = int(self.headers["Dogwoodspool-Fencing-Token"])
                status = provider.promote(str(body["service"]), str(body["id"]), token)
                self.send_response(status)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, *_arguments: Any) -> None:
                return

        self._http = ThreadingHTTPServer((host, 0), Handler)
        self.address = f"{host}:{self._http.server_port}"
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def promote(self, service: str, name: str, token: int) -> int:
        """Handle one promotion request; return its HTTP status."""
        group = self._deployment.groups[service]
        server = group.servers.get(name)
        with self._lock:
            if token < self._newest.get(service, 0):
                return 409
            self._newest[service] = token
        if server is None or not server.is_running:
            return 409
        if server.is_primary:
            return 200
        self._deployment.record.write(f"promotion of {name} is requested")
        self.requested.set()
        timer = threading.Timer(group.promote_seconds, group.promote, (name,))
        timer.daemon = True
        timer.start()
        return 200

    def close(self) -> None:
        """Stop answering."""
        self._http.shutdown()
        self._http.server_close()


class Session:
    """A client's connection to an edge machine.

    Raises:
        OSError: it could not be opened.
    """

    def __init__(
        self, deployment: Deployment, edge: Machine, database: str, seconds: float = 2.0
    ) -> None:
        address = (edge.host, deployment.front)
        self._socket = socket.create_connection(address, seconds)
        self._stream = self._socket.makefile("rwb")
        self._send(f"STARTUP {database} client")
        self.greeting = self._read()

    @property
    def is_open(self) -> bool:
        """Whether the session was accepted."""
        return self.greeting.startswith("READY")

    def ask(self, request: str, text: str, seconds: float) -> list[str]:
        """Send a statement and return the messages of its answer.

        An answer that is cut off ends with an empty message.
        """
        self._socket.settimeout(seconds)
        try:
            self._send(f"QUERY {request} {text}")
            messages = [self._read()]
            while messages[-1] and not messages[-1].startswith("READY"):
                messages.append(self._read())
        except OSError as error:
            return [f"no answer: {error}", ""]
        return messages

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _send(self, line: str) -> None:
        self._stream.write(f"{line}\r\n".encode())
        self._stream.flush()

    def _read(self) -> str:
        return self._stream.readline().decode().rstrip("\r\n")


def run_scenario(path: Path, run: Callable[[Deployment, Record], bool]) -> int:
    """Run a scenario with a new deployment, and end everything that it started.

    Args:
        path: the record to write, ``record.txt`` in the folder of the case.
        run: runs the scenario; returns whether the rule was broken.

    Returns:
        The exit status for ``run.sh``, which differs from that of a failed program.
    """
    record = Record(path)
    signal.signal(signal.SIGTERM, _exit_on_signal)
    signal.signal(signal.SIGINT, _exit_on_signal)
    try:
        deployment = Deployment(record)
    except NotRunnableError as error:
        record.write(f"not run: {error}")
        return STATUS_NOT_RUN
    try:
        return STATUS_BROKEN if run(deployment, record) else STATUS_HELD
    except NotRunnableError as error:
        record.write(f"not run: {error}")
    finally:
        deployment.stop()
    return STATUS_NOT_RUN


def call(
    method: str, url: str, body: Any = None, redirects: int = 2
) -> tuple[int, Any]:
    """Make one HTTP request; follow redirects to the leader as callers do."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=CALL_SECONDS) as response:
            return response.status, json.loads(response.read() or b"{}")
    except urllib.error.HTTPError as error:
        if error.code == 307 and redirects:
            return call(method, error.headers["Location"], body, redirects - 1)
        return error.code, None
    except (OSError, ValueError):
        return 0, None


def wait_until(check: Callable[[], bool], what: str, seconds: float = 30.0) -> None:
    """Wait until a condition holds.

    Raises:
        NotRunnableError: it did not hold in time.
    """
    until = time.monotonic() + seconds
    while not check():
        if time.monotonic() > until:
            raise NotRunnableError(f"timed out waiting until {what}")
        time.sleep(0.05)


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with these routes and their services."""
    services = sorted({str(route["service"]) for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConns": 46,
                "protocol": "h1",
                "tls": False,
                "syncReplicas": 1,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
            "txIdleMs": 3000,
        },
    }


def route(name: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route to a database of a service."""
    return {
        "name": f"r-{name}",
        "host": name,
        "pathPrefix": "/",
        "kind": "read_your_writes",
        "timeoutMs": 800,
        "targetLatencyMs": 250,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "maxStalenessMs": 2500,
        **changes,
    }


def _exit_on_signal(_number: int, _frame: object) -> None:
    sys.exit(STATUS_NOT_RUN)


def _commands() -> dict[str, list[str]]:
    """Return the command of each role, as the deploy file says."""
    if not (ROOT / "target" / "deps").is_dir():
        raise NotRunnableError("the build of the deploy file has not run")
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text("utf-8"))
    return {name: one["run"].split(" ") for name, one in deploy["roles"].items()}


def _free_ports(count: int) -> list[int]:
    """Return ports that nothing on this machine listens on."""
    ports: list[int] = []
    for port in random.sample(PORTS, len(PORTS)):
        if len(ports) == count:
            break
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports
