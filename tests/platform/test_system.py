"""Tests of the whole system on the stand-in of the platform."""

import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from pathlib import Path

from dogwoodspool_platform.boot import BootSettings
from dogwoodspool_platform.core import Core
from dogwoodspool_platform.edge import Edge

from .standin import Cloud, GroupLog, TextClient, TextServer, call
from .test_messages import config, heartbeat, route

HOSTS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
EDGE_HOST = "127.0.0.21"
PATIENCE = 30.0


def free_ports(count: int) -> list[int]:
    """Return ports that are free at this moment."""
    import socket  # noqa: PLC0415

    sockets = [socket.create_server(("0.0.0.0", 0)) for _ in range(count)]
    ports = [int(one.getsockname()[1]) for one in sockets]
    for one in sockets:
        one.close()
    return ports


def eventually(check: Callable[[], bool], what: str) -> None:
    """Wait until something holds."""
    deadline = time.monotonic() + PATIENCE
    while not check():
        if time.monotonic() > deadline:
            raise AssertionError(f"never: {what}")
        time.sleep(0.05)


class SystemTests(unittest.TestCase):
    """Three voters, one proxy and one database group, over real sockets."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.log = GroupLog()
        self.servers = [
            TextServer(f"i-{n}", "s1", self.log, leads=n == 1) for n in (1, 2, 3)
        ]
        self.cloud = Cloud(self.servers)
        self.addCleanup(self.cloud.close)
        for server in self.servers:
            self.addCleanup(server.close)
        self.inner, self.control, self.front, self.ready = free_ports(4)
        self.sequence = self.attempts = 0
        self.beating = {server.name for server in self.servers}
        self.stop = threading.Event()
        self.addCleanup(self.stop.set)
        self.start_all()

    def boot(self, host: str, **changes: object) -> BootSettings:
        settings = {
            "node": f"node-{host.rpartition('.')[2]}",
            "ip": host,
            "zone": f"zone-{host[-1]}",
            "internalPorts": [self.inner, self.inner],
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
        listen = {
            "front": f"{EDGE_HOST}:{self.front}",
            "ready": f"{EDGE_HOST}:{self.ready}",
        }
        self.edge = Edge(self.boot(EDGE_HOST, listen=listen))
        self.edge.set_up()
        self.addCleanup(self.edge.unload)
        self.put_until_taken(self.configuration(7))
        threading.Thread(target=self.beat_on, daemon=True).start()
        ready = f"http://{EDGE_HOST}:{self.ready}/dogwoodspool/readiness"
        eventually(lambda: call("GET", ready)[0] == 200, "the proxy is ready")

    def configuration(self, version: int) -> dict[str, object]:
        bounded = route(
            name="r2", host="db2", kind="bounded_staleness", maxStalenessMs=1500
        )
        routes = [route(), bounded, route(name="r3", host="db3", kind="primary")]
        return config(version=version, routes=routes)

    def url(self, path: str, host: str = HOSTS[0]) -> str:
        return f"http://{host}:{self.control}/dogwoodspool/{path}"

    def put_until_taken(self, body: dict[str, object]) -> None:
        eventually(
            lambda: call("PUT", self.url("config"), body)[0] == 200,
            "the configuration is acknowledged",
        )

    def beat_on(self) -> None:
        while not self.stop.wait(0.2):
            self.sequence += 1
            for server in self.servers:
                if server.name not in self.beating:
                    continue
                body = heartbeat(
                    addr=f"127.0.0.1:{server.port}",
                    seq=self.sequence,
                    born=1,
                    dbRole="primary" if server.leads else "replica",
                )
                call("PUT", self.url(f"instances/{server.name}"), body)

    def client(self, database: str = "db1") -> TextClient:
        client = TextClient(f"{EDGE_HOST}:{self.front}", database)
        self.addCleanup(client.close)
        return client

    def write(self, client: TextClient, number: int) -> bool:
        self.attempts += 1
        request_id = f"w{number}.{self.attempts}"
        answer = client.ask(request_id, f"WRITE k{number} v{number}")
        return answer[0].startswith("COMPLETE")

    def test_it_serves_changes_and_survives_the_primary(self) -> None:
        client = self.client()
        self.assertEqual(client.greeting, "READY I -")
        eventually(lambda: self.write(client, 1), "a write is served")
        rows = client.ask("r1", "READ k1")
        self.assertEqual(rows[:2], ["DATAROW v1", "COMPLETE proof.r1"])
        self.check_transaction(client)
        self.check_refusals()
        self.check_configuration()
        self.check_moving()
        self.check_failover(self.client())

    def check_transaction(self, client: TextClient) -> None:
        self.assertEqual(client.ask("t1", "BEGIN"), ["COMPLETE -", "READY T -"])
        client.ask("t2", "WRITE k2 v2")
        self.assertEqual(client.ask("t3", "COMMIT"), ["COMPLETE proof.t3", "READY I -"])
        self.assertEqual(client.ask("t4", "READ k2")[0], "DATAROW v2")

    def check_refusals(self) -> None:
        unknown = self.client("no-such")
        self.assertTrue(unknown.greeting.startswith("ERROR NODB"))
        self.assertEqual(unknown.read(), "")
        client = self.client()
        self.assertTrue(client.ask("x", "DROP all")[0].startswith("ERROR MALFORMED"))
        self.assertEqual(client.ask("y", "READ k1")[0], "DATAROW v1")

    def check_configuration(self) -> None:
        bad = config(version=8, routes=[route(timeoutMs=0)])
        self.assertEqual(call("PUT", self.url("config"), bad)[0], 400)
        self.assertEqual(
            call("PUT", self.url("config", HOSTS[1]), self.configuration(5))[0], 200
        )
        for host in HOSTS:
            status, body = call("GET", self.url("config", host))
            self.assertEqual((status, body["version"]), (200, 7))
        added = self.configuration(9)
        added["routes"] = [*added["routes"], route(name="r9", host="db9")]  # type: ignore[misc]
        self.put_until_taken(added)
        eventually(
            lambda: self.client("db9").greeting == "READY I -", "the new route is there"
        )

    def check_moving(self) -> None:
        """Callers are moved between their requests only, never in a transaction."""
        idle, busy = self.client(), self.client()
        busy.ask("m1", "BEGIN")
        while self.edge.callers.close_idle(1.0):
            pass
        self.assertEqual(idle.read(), "")
        self.assertEqual(busy.ask("m2", "ROLLBACK"), ["COMPLETE -", "READY I -"])

    def check_failover(self, client: TextClient) -> None:
        """Kill the primary: writes go on elsewhere, and none is lost or doubled."""
        self.beating.discard("i-1")
        self.servers[0].close()
        eventually(lambda: self.write(client, 3), "writes go on")
        self.assertNotEqual(self.cloud.calls[0][0], "i-1")
        for number in (1, 2, 3):
            row = client.ask(f"c{number}", f"READ k{number}")[0]
            self.assertEqual(row, f"DATAROW v{number}")
        ids = self.log.ids
        self.assertEqual(len(ids), len(set(ids)))
