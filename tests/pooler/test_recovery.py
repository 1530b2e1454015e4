"""Tests of probing failed servers until they answer again."""

import threading
import unittest
from collections.abc import Callable

from dogwoodspool_common import BackendServer, Role
from dogwoodspool_connections import (
    ConnectFailedError,
    DeadlinePassedError,
    ServerDownError,
)
from dogwoodspool_pooler import Statement, StatementKind
from dogwoodspool_pooler.recovery import RecoveryProber
from dogwoodspool_pooler.registry import BackendRegistry

from .fakes import FakeConnection, FakeNetwork, FakeServer, Pooler, run_text


class RecoveryTests(unittest.TestCase):
    """A server that failed gets work again once it answers."""

    def setUp(self) -> None:
        servers = [FakeServer("s1", Role.PRIMARY), FakeServer("s2", Role.REPLICA)]
        self.pooler = Pooler(servers)
        self.table = self.pooler.table
        self.registry = BackendRegistry(
            self.pooler.views, self.pooler.network, self.pooler.clock
        )
        self.prober = RecoveryProber(
            self.pooler.views, self.registry, self.table, self.pooler.clock
        )

    def record_server_failure(self) -> None:
        self.table.record_failure("s1")
        self.prober.suspect("s1")

    def is_failing(self) -> bool:
        known = self.table.get("s1")
        assert known is not None
        return known.is_failing

    def test_a_server_that_answers_is_used_again(self) -> None:
        self.record_server_failure()
        self.prober.step()
        self.assertFalse(self.is_failing())

    def test_a_server_that_is_down_is_probed_again(self) -> None:
        self.pooler.network.servers["s1"].is_down = True
        self.record_server_failure()
        self.prober.step()
        self.assertTrue(self.is_failing())
        self.pooler.network.servers["s1"].is_down = False
        self.prober.step()
        self.assertFalse(self.is_failing())

    def test_a_failure_during_a_probe_is_followed_by_another_probe(self) -> None:
        # Guards against a proxy that refuses all writes of a group for good after a
        # power loss. A statement fails while its server is being probed for another
        # failure: the probe succeeds, the statement then records the server as failing,
        # and it is not probed again. A failing server gets no statements that could
        # show that it works.
        network = _FailingNetwork(
            self.pooler.network, during_connect=self.record_server_failure
        )
        registry = BackendRegistry(self.pooler.views, network, self.pooler.clock)
        prober = RecoveryProber(
            self.pooler.views, registry, self.table, self.pooler.clock
        )
        self.prober = prober
        self.record_server_failure()
        prober.step()
        # Recorded late, as by a thread that was delayed meanwhile.
        self.table.record_failure("s1")
        prober.step()
        self.assertFalse(self.is_failing())


class DeadlineTests(unittest.TestCase):
    """A request that missed its deadline is no evidence against the server."""

    def test_a_missed_deadline_does_not_count_as_a_failure(self) -> None:
        # Under the load after a power loss, requests get their connection only after
        # their deadline. Guards against counting each of them as a failure of its
        # server, so that a working primary gets no requests until it has been probed.
        self.assertFalse(DeadlinePassedError("too late").suggests_unreachable)
        servers = [FakeServer("s1", Role.PRIMARY), FakeServer("s2", Role.REPLICA)]
        pooler = Pooler(servers)
        pooler.access.record_unreachable(
            servers[0].as_backend_server(), DeadlinePassedError("too late")
        )
        known = pooler.table.get("s1")
        assert known is not None
        self.assertFalse(known.is_failing)
        self.assertEqual(pooler.suspected, [])
        pooler.access.record_unreachable(
            servers[0].as_backend_server(), ServerDownError("down")
        )
        self.assertEqual(pooler.suspected, ["s1"])

    def test_a_connection_that_had_ended_only_has_the_server_probed(self) -> None:
        # A transaction's connection is cut between two of its statements. Guards
        # against the second one marking the server as unreachable, so that all requests
        # go elsewhere or are refused until it has been probed.
        pooler = Pooler([FakeServer("s1", Role.PRIMARY)])
        server = pooler.network.servers["s1"].as_backend_server()
        connection = pooler.network.connect(server, pooler.clock.now() + 1.0)
        connection.close()
        with self.assertRaises(ConnectFailedError):
            pooler.access.exchange(
                server,
                connection,
                [Statement(StatementKind.READ)],
                pooler.clock.now() + 1.0,
            )
        known = pooler.table.get("s1")
        assert known is not None
        self.assertFalse(known.is_failing)
        self.assertEqual(pooler.suspected, ["s1"])

    def test_the_next_request_is_served(self) -> None:
        pooler = Pooler([FakeServer("s1", Role.PRIMARY)])
        pooler.access.record_unreachable(
            pooler.network.servers["s1"].as_backend_server(),
            DeadlinePassedError("too late"),
        )
        self.assertIsNone(run_text(pooler.session(), "WRITE k v").error)


class _FailingNetwork:
    """A network in which a statement fails while the first connection is opened."""

    def __init__(
        self, network: FakeNetwork, during_connect: Callable[[], None]
    ) -> None:
        self._network = network
        self._during_connect = during_connect
        self._lock = threading.Lock()
        self._is_first = True

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> FakeConnection:
        with self._lock:
            is_first, self._is_first = self._is_first, False
        if is_first:
            self._during_connect()
        return self._network.connect(server, deadline, account)
