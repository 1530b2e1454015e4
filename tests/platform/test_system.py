"""Tests of the whole system with the stand-in for the platform."""

from .standin import TextClient, call
from .system import HOSTS, SystemFixture, eventually
from .test_messages import config, route


class SystemTests(SystemFixture):
    """One proxy serves callers through configuration changes and a failover."""

    def test_configuration_changes_and_failover(self) -> None:
        client = self.client()
        self.assertEqual(client.greeting, "READY I -")
        eventually(lambda: self.write(client, 1), "a write is served")
        rows = client.ask("r1", "READ k1")
        self.assertEqual(rows[:2], ["DATAROW v1", "COMPLETE proof.r1"])
        self.check_transaction(client)
        self.check_refusals()
        self.check_configuration()
        self.check_closing_idle()
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
        self.put_until_acknowledged(added)
        eventually(
            lambda: self.client("db9").greeting == "READY I -",
            "the new route works",
        )

    def check_closing_idle(self) -> None:
        """Only idle connections are closed, never one in a transaction."""
        idle, busy = self.client(), self.client()
        busy.ask("m1", "BEGIN")
        while self.edges[0].callers.close_idle(1.0):
            pass
        self.assertEqual(idle.read(), "")
        self.assertEqual(busy.ask("m2", "ROLLBACK"), ["COMPLETE -", "READY I -"])

    def check_failover(self, client: TextClient) -> None:
        """Kill the primary: writes continue elsewhere; none is lost or run twice."""
        self.reporting.discard("i-1")
        self.servers[0].close()
        eventually(lambda: self.write(client, 3), "writes succeed after the failover")
        self.assertNotEqual(self.cloud.calls[0][0], "i-1")
        for number in (1, 2, 3):
            row = client.ask(f"c{number}", f"READ k{number}")[0]
            self.assertEqual(row, f"DATAROW v{number}")
        ids = self.log.ids
        self.assertEqual(len(ids), len(set(ids)))
