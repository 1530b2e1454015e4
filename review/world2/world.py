# ruff: noqa: PLR2004
"""A small installation: the project's own processes, and stand-ins around them.

The processes are started with the commands of the deploy file, on loopback addresses
and the real clock. All times are in seconds.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from backends import Server, Service

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_SECONDS = 1.2
CALL_SECONDS = 1.0
PROMOTE_SECONDS = 0.6
GRACE_SECONDS = 6.0
DRAIN_SECONDS = 7.0
RECOVERY_SECONDS = 12.0
TOUCH_SECONDS = 4.0
READY_SECONDS = 40.0
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT")
# Python itself ends with 1 on an error; run.sh turns BROKEN into 1.
BROKEN, HELD, NOT_RUN = 10, 0, 2


class NotRunError(Exception):
    """The case could not run."""


@dataclass
class Operation:
    """One operation of a client.

    Attributes:
        outcome: "ok", an error code, "closed" or "silent".
        request: id of its last attempt.
        server: the backend whose proof it got.
        ended: when it was answered.
    """

    at: float
    database: str
    text: str
    outcome: str = "silent"
    request: str = ""
    server: str = ""
    ended: float = 0.0
    edge: str = ""


@dataclass
class Node:
    """One process of the system."""

    name: str
    role: str
    host: str
    boot: Path
    process: subprocess.Popen[bytes] | None = None
    started_at: float = 0.0


class World:
    """Start, disturb and watch one installation.

    Args:
        record: file for what was sent, answered and run.
        has_trouble: whether the case plays its disruption.
        has_born: whether backends tell when they started.
    """

    def __init__(
        self, record: Path, *, has_trouble: bool, has_born: bool = False
    ) -> None:
        self.has_trouble = has_trouble
        self.has_born = has_born
        self.began = time.monotonic()
        self.operations: list[Operation] = []
        self.promotion_calls: list[tuple[float, str, str, int]] = []
        self.acks: list[tuple[float, str, str]] = []
        self._record = record.open("w", encoding="utf-8")
        self._temporary = Path(tempfile.mkdtemp(prefix="case-"))
        self._net = _free_net()
        self._ports = _free_ports(self._net, 6)
        self.nodes: list[Node] = []
        self.service = Service("orders", self.note)
        self._tokens = 0
        self._tasks: list[asyncio.Task[Any]] = []
        self._requests = 0
        self._version = 0
        self._random = random.Random(7)

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self.began

    def note(self, text: str) -> None:
        """Write one line into the record."""
        self._record.write(f"{self.now:8.3f}  {text}\n")
        self._record.flush()

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run something beside the case until it ends."""
        self._tasks.append(asyncio.ensure_future(work))

    # The processes of the system.

    @property
    def cores(self) -> list[Node]:
        """The processes that serve control."""
        return [one for one in self.nodes if one.role == "core"]

    @property
    def edges(self) -> list[Node]:
        """The processes that clients connect to."""
        return [one for one in self.nodes if one.role == "edge"]

    def host(self, number: int) -> str:
        """Return one loopback address of this installation."""
        return f"{self._net}.{number}"

    def add_node(self, role: str, number: int) -> Node:
        """Describe a process; it is not started."""
        host = self.host((10 if role == "core" else 20) + number)
        name = f"{role}-{ZONES[number % 3]}-{number}"
        node = Node(name, role, host, self._temporary / f"{name}.toml")
        self.nodes.append(node)
        return node

    def start(self, node: Node, *, bootstrap: bool = False) -> None:
        """Write the settings of a process and start it."""
        self._write_boot(node, bootstrap=bootstrap)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        words = deploy["roles"][node.role]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["DOGWOODSPOOL_BOOT"] = str(node.boot)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self._temporary / f"{node.name}.log").open("ab") as log:
            node.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        node.started_at = self.now
        self.note(f"operator: {node.name} is started")

    def kill(self, node: Node) -> None:
        """Kill a process."""
        if node.process is not None and node.process.poll() is None:
            node.process.send_signal(signal.SIGKILL)
            node.process.wait()
            self.note(f"operator: {node.name} is killed")

    async def stop(self, node: Node) -> None:
        """Stop a process as the platform does."""
        if node.process is None:
            return
        node.process.send_signal(signal.SIGTERM)
        self.note(f"operator: {node.name} gets SIGTERM")
        until = self.now + GRACE_SECONDS
        while node.process.poll() is None and self.now < until:
            await asyncio.sleep(0.05)
        self.kill(node)

    def _write_boot(self, node: Node, *, bootstrap: bool) -> None:
        front, ready, control, first, last, _ = self._ports
        is_core = node.role == "core"
        hosts = [self.host(10 + number) for number in range(3)]
        listen = {"control": f"{node.host}:{control}"}
        if not is_core:
            listen = {"front": f"{node.host}:{front}", "ready": f"{node.host}:{ready}"}
        tables: dict[str, dict[str, Any]] = {
            "zones": dict.fromkeys(ZONES, "region"),
            "listen": listen,
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 128 if is_core else 0,
            },
            "bounds": {
                "seedLagS": 3,
                "reuseAfterS": 2,
                "stableWindowMs": 4000,
                "ackMs": 5000,
                "catchUpS": 4,
                "drainMs": 7000,
                "graceS": int(GRACE_SECONDS),
                "lossSlackMs": 200,
                "configApplyMs": 3000,
                "rollbackSlackMs": 250,
                "maxSkewMs": 12000,
                "recoveryS": int(RECOVERY_SECONDS),
                "requireFencing": True,
                "thawMs": 300,
            },
            "cloud": {"addr": f"{self.host(200)}:{control}"},
        }
        content: dict[str, Any] = {
            "node": node.name,
            "role": node.role,
            "machineClass": node.role,
            "ip": node.host,
            "zone": node.name.split("-", 1)[1].rsplit("-", 1)[0],
            "region": "region",
            "internalPorts": [first, last],
            "seeds": [f"{host}:{control}" for host in hosts],
            "bootstrap": bootstrap,
            "heartbeatMs": 1200,
            "invariants": ["base", "drain", "config", "cost", "recover", "sql"],
            "config_mode": "highest",
        }
        if is_core:
            data = self._temporary / f"{node.name}-data"
            data.mkdir(exist_ok=True)
            content["dataDir"] = str(data)
        lines = [f"{name} = {json.dumps(value)}" for name, value in content.items()]
        for title, table in tables.items():
            lines.append(f"[{title}]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in table.items()]
        node.boot.write_text("\n".join(lines) + "\n", encoding="utf-8")

    # The platform.

    async def set_up(self, edges: int = 3) -> None:
        """Start everything and wait until requests are served."""
        await asyncio.start_server(self._serve_cloud, self.host(200), self._ports[2])
        for number in range(3):
            server = self.new_server(f"i-{number + 1:08x}", number)
            await server.start()
            self.attach(server)
        self.service.primary = self.service.servers["i-00000001"]
        for number in range(3):
            self.add_node("core", number)
        for number in range(edges):
            self.add_node("edge", number)
        for node in self.nodes:
            self.start(node, bootstrap=True)
        await self.configure()
        until = self.now + READY_SECONDS
        for edge in self.edges:
            while True:
                operation = await self.operate(edge, "db-primary", "WRITE warm up")
                if operation.outcome == "ok":
                    break
                if self.now > until:
                    raise NotRunError(f"{edge.name} does not serve")
                await asyncio.sleep(0.3)
        self.operations.clear()
        self.note("all is up")

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        for server in self.service.servers.values():
            server.end()
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)
        self._record.close()

    def new_server(self, name: str, number: int) -> Server:
        """Return a backend that has not started."""
        born = int(time.time() * 1000) if self.has_born else 0
        host = self.host(100 + number)
        return Server(self.service, name, ZONES[number % 3], host, born)

    def attach(self, server: Server) -> None:
        """Have a backend send heartbeats."""
        self.spawn(self._send_heartbeats(server))

    def crash(self, server: Server) -> None:
        """End the process of a backend without a farewell."""
        self.note(f"{server.name} at {server.address} crashes")
        server.end()

    async def come_back(self, lost: Server, name: str) -> Server:
        """Start a crashed backend again at its address, with its log and a new id."""
        server = Server(lost.service, name, lost.zone, lost.host)
        server.born = int(time.time() * 1000) if self.has_born else 0
        server.log, server.applied = list(lost.log), lost.applied
        server.log_term, server.term = lost.log_term, lost.service.term
        if lost.service.primary is lost:
            lost.service.primary = server
        del lost.service.servers[lost.name]
        await server.start(lost.port)
        role = "primary" if server.is_primary else "replica"
        self.note(f"{lost.name} is back as {name}, a {role} with {len(server.log)}")
        self.attach(server)
        return server

    async def configure(self) -> None:
        """Send the next configuration until it is acknowledged."""
        self._version += 1
        body = _config(self._version)
        until = self.now + READY_SECONDS
        while self.now < until:
            status, _ = await self.call("PUT", "/dogwoodspool/config", body)
            if status == 200:
                self.note(f"operator: version {self._version} is acknowledged")
                return
            await asyncio.sleep(0.3)
        raise NotRunError("no configuration is acknowledged")

    async def call(self, method: str, path: str, body: Any) -> tuple[int, str]:
        """Call control as operators and backends do; return status and machine."""
        hosts = [node.host for node in self.cores]
        self._random.shuffle(hosts)
        for host in hosts:
            target = f"http://{host}:{self._ports[2]}{path}"
            for _hop in range(3):
                try:
                    status, location = await asyncio.wait_for(
                        _exchange(method, target, body), CALL_SECONDS
                    )
                except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                    status, location = 0, ""
                if status != 307:
                    break
                target = location
            if 200 <= status < 500 and status != 307:
                return status, target
        return 0, ""

    async def _send_heartbeats(self, server: Server) -> None:
        while server.is_running:
            role, until = server.is_primary, self.now + HEARTBEAT_SECONDS
            await self.send_heartbeat(server)
            # A change of its role is reported at once.
            while server.is_running and self.now < until:
                if server.is_primary is not role:
                    break
                await asyncio.sleep(0.05)

    async def send_heartbeat(self, server: Server) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        server.sequence += 1
        body: dict[str, Any] = {
            "service": server.service.name,
            "addr": server.address,
            "zone": server.zone,
            "version": "v1",
            "slots": 3,
            "state": "draining" if server.is_leaving else "ready",
            "warmupLeftMs": 0,
            "dbRole": "primary" if server.is_primary else "replica",
            "seq": server.sequence,
        }
        if server.born:
            body["born"] = server.born
        path = f"/dogwoodspool/instances/{server.name}"
        is_leaving = server.is_leaving
        status, machine = await self.call("PUT", path, body)
        if status == 200 and is_leaving:
            self.acks.append((self.now, server.name, machine))
        return status == 200

    async def drain(
        self, server: Server, successor: str, serves_on: float = 1.0
    ) -> float:
        """Have a backend leave; return when that was acknowledged first.

        Args:
            server: the backend.
            successor: id of the new backend that gets its log and its address.
            serves_on: how long it serves after the draining time.
        """
        server.is_leaving = True
        while not await self.send_heartbeat(server):
            await asyncio.sleep(0.2)
        acknowledged = self.now
        self.note(f"{server.name} leaves, which is acknowledged")
        self.spawn(self._end_drained(server, successor, serves_on))
        return acknowledged

    async def _end_drained(
        self, server: Server, successor: str, serves_on: float
    ) -> None:
        await asyncio.sleep(DRAIN_SECONDS + serves_on)
        body = {"born": server.born} if server.born else None
        await self.call("DELETE", f"/dogwoodspool/instances/{server.name}", body)
        self.note(f"{server.name} has left")
        server.end()
        await self.come_back(server, successor)

    async def _serve_cloud(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            headers = _headers(head)
            raw = await reader.readexactly(int(headers.get("content-length", "0")))
            status = self._promote(json.loads(raw), headers)
            writer.write(_response(status))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def _promote(self, body: dict[str, str], headers: dict[str, str]) -> int:
        token = int(headers["dogwoodspool-fencing-token"])
        holder = headers["dogwoodspool-lease-holder"]
        self.promotion_calls.append((self.now, body["id"], holder, token))
        server = self.service.servers.get(body["id"])
        is_refused = token < self._tokens or server is None or not server.is_running
        status = 409 if is_refused else 200
        self.note(f"provider: promotion of {body['id']} with {token} gets {status}")
        if server is not None and not is_refused:
            self._tokens = token
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_SECONDS, self.service.promote, server)
        return status

    # The clients.

    async def operate(
        self, edge: Node, database: str, text: str, limit: float = 2.5
    ) -> Operation:
        """Run one operation, with two more attempts after a promise."""
        operation = Operation(self.now, database, text, edge=edge.name)
        self.operations.append(operation)
        until = self.now + limit
        for attempt in range(3):
            if attempt:
                await asyncio.sleep(0.15 * attempt)
            self._requests += 1
            operation.request = f"{self._requests:016x}"
            try:
                operation.outcome = await asyncio.wait_for(
                    self._attempt(edge, operation), max(0.05, until - self.now)
                )
            except TimeoutError:
                operation.outcome = "silent"
            except (OSError, EOFError, asyncio.IncompleteReadError):
                operation.outcome = "closed"
            operation.ended = self.now
            may_repeat = operation.outcome in PROMISES or "READ" in text
            if operation.outcome == "ok" or not may_repeat or self.now > until:
                break
        return operation

    async def _attempt(self, edge: Node, operation: Operation) -> str:
        reader, writer = await asyncio.open_connection(edge.host, self._ports[0])
        try:
            writer.write(f"STARTUP {operation.database} app\r\n".encode())
            greeting = await _line(reader)
            if not greeting.startswith("READY"):
                return greeting.split(" ")[1]
            query = f"QUERY {operation.request} {operation.text}\r\n"
            writer.write(query.encode())
            code = ""
            while not (line := await _line(reader)).startswith("READY"):
                if line.startswith("ERROR"):
                    code = line.split(" ")[1]
                if line.startswith("COMPLETE"):
                    operation.server = line.split(" ")[1].partition(".")[0]
            return code or "ok"
        finally:
            writer.close()

    async def load(self, per_second: float = 12.0) -> None:
        """Send operations to all running edges until cancelled."""
        number = 0
        texts = (
            ("db-primary", "WRITE item{} data"),
            ("db-primary", "READ item{}"),
            ("db-own", "READ item{}"),
            ("db-bounded", "READ item{}"),
        )
        while True:
            number += 1
            database, text = texts[number % len(texts)]
            edges = [one for one in self.edges if one.process is not None]
            edge = edges[number % len(edges)]
            self.spawn(self.logged(edge, database, text.format(number)))
            await asyncio.sleep(1 / per_second)

    async def logged(self, edge: Node, database: str, text: str) -> None:
        """Run one operation and write it into the record."""
        done = await self.operate(edge, database, text)
        self.note(
            f"client: {done.request} {database} {text} at {edge.name}, sent at "
            f"{done.at:.3f}: {done.outcome} {done.server}".rstrip()
        )

    def served(self, since: float, until: float) -> tuple[int, int]:
        """Return how many operations of a span were served, and how many there were."""
        span = [one for one in self.operations if since <= one.at < until]
        return sum(one.outcome == "ok" for one in span), len(span)


def run_case(
    case: Callable[[World], Awaitable[int]],
    record: Path,
    *,
    has_trouble: bool,
    has_born: bool = False,
) -> int:
    """Run a case; return its exit status."""
    world = World(record, has_trouble=has_trouble, has_born=has_born)

    async def run() -> int:
        task = asyncio.ensure_future(case(world))
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(task, 110.0)
        except (Exception, asyncio.CancelledError) as error:
            world.note(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            await world.close()

    return asyncio.run(run())


def _config(version: int) -> dict[str, Any]:
    kinds = {
        "db-primary": "primary",
        "db-own": "read_your_writes",
        "db-bounded": "bounded_staleness",
    }
    routes = [
        {
            "name": f"r-{host}",
            "host": host,
            "pathPrefix": "/",
            "kind": kind,
            "timeoutMs": 800 + version,
            "targetLatencyMs": 250,
            "priority": 1,
            "service": "orders",
            "maxAttempts": 2,
            **({} if kind == "primary" else {"maxStalenessMs": 2500}),
        }
        for host, kind in kinds.items()
    ]
    service = {
        "name": "orders",
        "healthPath": "/health",
        "maxConns": 46,
        "protocol": "h1",
        "tls": False,
        "syncReplicas": 1,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
        "txIdleMs": 3000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [service],
        "limits": limits,
    }


async def _line(reader: asyncio.StreamReader) -> str:
    raw = await reader.readline()
    if not raw.endswith(b"\r\n"):
        raise EOFError
    return raw.decode().rstrip("\r\n")


async def _exchange(method: str, url: str, body: Any) -> tuple[int, str]:
    """Make one HTTP request; return its status and the location it names."""
    authority, _, path = url.removeprefix("http://").partition("/")
    host, _, port = authority.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        content = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} /{path} HTTP/1.1\r\nHost: {authority}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(content)}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + content)
        answer = (await reader.readuntil(b"\r\n\r\n")).decode()
        return int(answer.split(" ")[1]), _headers(answer).get("location", "")
    finally:
        writer.close()


def _headers(head: str) -> dict[str, str]:
    pairs = (line.partition(":") for line in head.split("\r\n")[1:] if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


def _response(status: int) -> bytes:
    words = {200: "OK", 409: "Conflict"}
    return (
        f"HTTP/1.1 {status} {words[status]}\r\nContent-Type: application/json\r\n"
        "Content-Length: 2\r\nConnection: close\r\n\r\n{}"
    ).encode()


def _free_net() -> str:
    """Return the first three numbers of loopback addresses that nobody uses."""
    chosen = random.SystemRandom()
    return f"127.{chosen.randint(40, 250)}.{chosen.randint(1, 250)}"


def _free_ports(net: str, count: int) -> list[int]:
    """Return ports that are free at the addresses of an installation."""
    ports: list[int] = []
    while len(ports) < count:
        with contextlib.closing(socket.socket()) as probe:
            probe.bind((f"{net}.1", 0))
            port = int(probe.getsockname()[1])
        if port not in ports:
            ports.append(port)
    return sorted(ports)
