"""Tests of connections that idle in pools which nobody uses."""

import unittest

from dogwoodspool_common import Role
from dogwoodspool_pooler.expiry import ConnectionExpiry

from .fakes import GROUP, FakeServer, Pooler, say


class ConnectionExpiryTests(unittest.TestCase):
    """A look at all pools closes what is not needed."""

    def setUp(self) -> None:
        self.pooler = Pooler([FakeServer("s1", Role.PRIMARY)])
        self.handed_on: set[str] = set()
        self.expiry = ConnectionExpiry(
            self.pooler.registry, self.handed_on.__contains__, self.pooler.clock
        )
        say(self.pooler.session(), "WRITE k v")
        (self.backend,) = self.pooler.registry.all()

    def test_a_connection_in_recent_use_stays(self) -> None:
        self.expiry.step()
        self.assertEqual(self.backend.pool.open_count, 1)

    def test_a_group_that_is_handed_on_keeps_no_connection(self) -> None:
        """Guard against owners without connections after all proxies have started."""
        self.handed_on.add(GROUP)
        self.expiry.step()
        self.assertEqual(self.backend.pool.open_count, 0)

    def test_a_transaction_keeps_its_connection(self) -> None:
        session = self.pooler.session()
        say(session, "BEGIN")
        say(session, "WRITE k v")
        self.handed_on.add(GROUP)
        self.expiry.step()
        self.assertIsNone(say(session, "COMMIT").error)
