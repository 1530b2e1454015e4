"""Tests of servers in trouble: they are tried until they answer, not forgotten."""

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

from .fakes import FakeConnection, FakeNetwork, FakeServer, Pooler, say


class RecoveryTests(unittest.TestCase):
    """A server that failed takes work again once it answers."""

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

    def note_failure(self) -> None:
        self.table.record_failure("s1")
        self.prober.suspect("s1")

    def is_failing(self) -> bool:
        known = self.table.get("s1")
        assert known is not None
        return known.is_failing

    def test_a_server_that_answers_is_used_again(self) -> None:
        self.note_failure()
        self.prober.step()
        self.assertFalse(self.is_failing())

    def test_a_server_that_is_down_is_tried_again(self) -> None:
        self.pooler.network.servers["s1"].is_down = True
        self.note_failure()
        self.prober.step()
        self.assertTrue(self.is_failing())
        self.pooler.network.servers["s1"].is_down = False
        self.prober.step()
        self.assertFalse(self.is_failing())

    def test_a_failure_during_a_probe_is_followed_by_another_probe(self) -> None:
        # After a loss of power a proxy refused all writes of one group for good. A
        # statement had failed while the server was being probed for another failure:
        # the probe found it well, then the statement noted it as failing, and it was
        # no longer to be tried. Who gets no statements cannot show that it works.
        network = _FailingNetwork(self.pooler.network, during_connect=self.note_failure)
        registry = BackendRegistry(self.pooler.views, network, self.pooler.clock)
        prober = RecoveryProber(
            self.pooler.views, registry, self.table, self.pooler.clock
        )
        self.prober = prober
        self.note_failure()
        prober.step()
        # Noted late, as by a thread that waited for its turn meanwhile.
        self.table.record_failure("s1")
        prober.step()
        self.assertFalse(self.is_failing())


class DeadlineTests(unittest.TestCase):
    """A request that came too late says nothing of the server."""

    def test_a_passed_deadline_is_no_sign_of_failure(self) -> None:
        # In the crowd after a loss of power requests reached their connection when
        # their time was over. Each counted as a failure of its server, so that a
        # primary that worked got no requests until it had been probed.
        self.assertFalse(DeadlinePassedError("too late").suggests_unreachable)
        servers = [FakeServer("s1", Role.PRIMARY), FakeServer("s2", Role.REPLICA)]
        pooler = Pooler(servers)
        pooler.access.note_unreachable(
            servers[0].described(), DeadlinePassedError("too late")
        )
        known = pooler.table.get("s1")
        assert known is not None
        self.assertFalse(known.is_failing)
        self.assertEqual(pooler.suspected, [])
        pooler.access.note_unreachable(servers[0].described(), ServerDownError("down"))
        self.assertEqual(pooler.suspected, ["s1"])

    def test_a_connection_that_had_ended_only_has_the_server_asked(self) -> None:
        # A transaction's connection was cut between two of its statements. The second
        # one took the server for unreachable, and all requests went elsewhere or were
        # refused until it had been probed.
        pooler = Pooler([FakeServer("s1", Role.PRIMARY)])
        server = pooler.network.servers["s1"].described()
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
        pooler.access.note_unreachable(
            pooler.network.servers["s1"].described(), DeadlinePassedError("too late")
        )
        self.assertIsNone(say(pooler.session(), "WRITE k v").error)


class _FailingNetwork:
    """A network in which a statement fails while the first connection comes up."""

    def __init__(
        self, network: FakeNetwork, during_connect: Callable[[], None]
    ) -> None:
        self._network = network
        self._during_connect = during_connect
        self._lock = threading.Lock()
        self._is_first = True

    def connect(self, server: BackendServer, deadline: float) -> FakeConnection:
        with self._lock:
            is_first, self._is_first = self._is_first, False
        if is_first:
            self._during_connect()
        return self._network.connect(server, deadline)
