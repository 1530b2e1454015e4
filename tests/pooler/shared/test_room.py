"""Tests of read-only transactions that owners keep off a loaded primary."""

import unittest

from dogwoodspool_common import Consistency, Role

from ..fakes import FakeServer, endpoint, run_text
from .neighbours import SharingProxy

BOUNDED = endpoint(Consistency.BOUNDED_STALENESS, max_age_ms=1_500)
SHARE = 1 / 6


class KeptRoomTests(unittest.TestCase):
    """The owner knows the load of the primary, which other proxies do not see."""

    def setUp(self) -> None:
        self.servers = [
            FakeServer("s1", Role.PRIMARY),
            FakeServer("s2", Role.REPLICA, failure_domain="fd2"),
        ]
        self.proxy = SharingProxy(self.servers, BOUNDED, SHARE)
        self.owner = self.proxy.owner("o1").pooler
        run_text(self.owner.session(), "WRITE k v")
        self.servers[1].position = self.servers[0].position

    def read(self) -> str:
        """Read in a read-only transaction and return the server."""
        session = self.proxy.session()
        run_text(session, "BEGIN READ")
        answer = run_text(session, "READ k")
        self.assertIsNone(answer.error)
        self.assertIsNone(run_text(session, "COMMIT").error)
        return answer.proof.partition(":")[0]

    def load_primary(self) -> None:
        """Have statements of other callers fill the primary at the owner."""
        for _ in range(3):
            self.owner.table.begin("s1")
        self.owner.clock.advance(1.0)

    def test_a_transaction_uses_an_idle_primary_of_its_own_domain(self) -> None:
        self.assertEqual(self.read(), "s1")

    def test_a_transaction_moves_from_a_loaded_primary_to_a_replica(self) -> None:
        # Guards against read-only transactions that fill the primary, because the
        # proxies that choose their servers see none of its load.
        self.load_primary()
        self.assertEqual(self.read(), "s2")

    def test_without_a_replica_the_loaded_primary_serves_it(self) -> None:
        self.load_primary()
        self.servers[1].is_down = True
        self.assertEqual(self.read(), "s1")
