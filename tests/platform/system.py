"""The whole system in one process, with the stand-in for the platform."""

import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import ClassVar

from dogwoodspool_platform.boot import BootSettings
from dogwoodspool_platform.core import Core
from dogwoodspool_platform.edge import Edge
from dogwoodspool_testbed import PortReservations

from .standin import Cloud, GroupLog, TextClient, TextServer, call
from .test_messages import config, heartbeat, route

HOSTS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
TIMEOUT_SECONDS = 30.0


def eventually(check: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds; fail after ``TIMEOUT_SECONDS``."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not check():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting until {what}")
        time.sleep(0.05)


def answers(url: str) -> bool:
    """Return whether a GET request succeeds."""
    return call("GET", url)[0] == 200


class SystemFixture(unittest.TestCase):
    """Three voters, some proxies and one database group, over real sockets.

    Attributes:
        EDGE_HOSTS: hosts that run one proxy each.
        MAX_CONNECTIONS: configured maximum of connections to a server.
        SERVER_ZONE: zone of all servers.
    """

    EDGE_HOSTS: ClassVar[tuple[str, ...]] = ("127.0.0.21",)
    MAX_CONNECTIONS: ClassVar[int] = 46
    SERVER_ZONE: ClassVar[str] = "a"

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = GroupLog()
        self.servers = [
            TextServer(f"i-{n}", "s1", self.log, is_primary=n == 1) for n in (1, 2, 3)
        ]
        self.cloud = Cloud(self.servers)
        self.addCleanup(self.cloud.close)
        for server in self.servers:
            self.addCleanup(server.close)
        reservations = PortReservations()
        self.addCleanup(reservations.release)
        ports = reservations.reserve(5)
        self.internal, self.pools, self.control, self.front, self.ready = ports
        self.sequence = self.attempts = 0
        self.reporting = {server.name for server in self.servers}
        self.stop = threading.Event()
        self.addCleanup(self.stop.set)
        self.start_all()

    def boot(self, host: str, **changes: object) -> BootSettings:
        settings = {
            "node": f"node-{host.rpartition('.')[2]}",
            "ip": host,
            "zone": f"zone-{host[-1]}",
            "internalPorts": [self.internal, self.pools],
            "seeds": [f"{one}:{self.control}" for one in HOSTS],
            "bootstrap": True,
            "cloud": {"addr": self.cloud.address},
            **changes,
        }
        return BootSettings.model_validate(settings)

    def start_all(self) -> None:
        for host in HOSTS:
            boot = self.boot(
                host,
                dataDir=str(self.folder / host),
                listen={"control": f"{host}:{self.control}"},
            )
            core = Core(boot)
            core.set_up()
            self.addCleanup(core.unload)
        self.edges = [self.start_edge(host) for host in self.EDGE_HOSTS]
        self.put_until_acknowledged(self.configuration(7))
        threading.Thread(target=self.send_heartbeats, daemon=True).start()
        for host in self.EDGE_HOSTS:
            ready = f"http://{host}:{self.ready}/dogwoodspool/readiness"
            eventually(partial(answers, ready), "the proxy is ready")

    def start_edge(self, host: str) -> Edge:
        listen = {"front": f"{host}:{self.front}", "ready": f"{host}:{self.ready}"}
        edge = Edge(self.boot(host, zone="zone-1", listen=listen))
        edge.set_up()
        self.addCleanup(edge.unload)
        return edge

    def configuration(self, version: int) -> dict[str, object]:
        bounded = route(
            name="r2", host="db2", kind="bounded_staleness", maxStalenessMs=1500
        )
        routes = [route(), bounded, route(name="r3", host="db3", kind="primary")]
        service = {
            "name": "s1",
            "maxConns": self.MAX_CONNECTIONS,
            "syncReplicas": 1,
        }
        return config(version=version, routes=routes, services=[service])

    def url(self, path: str, host: str = HOSTS[0]) -> str:
        return f"http://{host}:{self.control}/dogwoodspool/{path}"

    def put_until_acknowledged(self, body: dict[str, object]) -> None:
        eventually(
            lambda: call("PUT", self.url("config"), body)[0] == 200,
            "the configuration is acknowledged",
        )

    def send_heartbeats(self) -> None:
        while not self.stop.wait(0.2):
            self.sequence += 1
            for server in self.servers:
                if server.name not in self.reporting:
                    continue
                body = heartbeat(
                    addr=f"127.0.0.1:{server.port}",
                    zone=self.SERVER_ZONE,
                    seq=self.sequence,
                    born=1,
                    dbRole="primary" if server.is_primary else "replica",
                )
                call("PUT", self.url(f"instances/{server.name}"), body)

    def client(
        self, database: str = "db1", host: str | None = None, key: str = "caller"
    ) -> TextClient:
        address = f"{host or self.EDGE_HOSTS[0]}:{self.front}"
        client = TextClient(address, database, key)
        self.addCleanup(client.close)
        return client

    def write(self, client: TextClient, number: int) -> bool:
        self.attempts += 1
        request_id = f"w{number}.{self.attempts}"
        answer = client.ask(request_id, f"WRITE k{number} v{number}")
        return answer[0].startswith("COMPLETE")
