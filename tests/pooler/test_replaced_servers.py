"""Tests of requests that chose a server process which was replaced since."""

import unittest
from dataclasses import replace

from dogwoodspool_common import Role
from dogwoodspool_connections import PoolClosedError

from .fakes import FakeServer, Pooler, run_text

REQUEST_SECONDS = 0.5


class ReplacedServerTests(unittest.TestCase):
    """The pool of the process that the view names stays."""

    def setUp(self) -> None:
        self.primary = FakeServer("s1", Role.PRIMARY)
        self.pooler = Pooler([self.primary])
        self.former = replace(self.primary.as_backend_server(), incarnation=-1)

    def test_request_for_the_former_process(self) -> None:
        """Guard against a pool that a request of before a restart takes away.

        Its idle connections would be closed and its requests refused.
        """
        self.assertIsNone(run_text(self.pooler.session(), "READ k").error)
        (known,) = self.pooler.registry.all()
        late = self.pooler.registry.backend(self.former)
        with self.assertRaises(PoolClosedError):
            late.pool.acquire(self.pooler.clock.now() + REQUEST_SECONDS)
        self.assertEqual([known], self.pooler.registry.all())
        self.assertIsNone(run_text(self.pooler.session(), "READ k").error)
        self.assertEqual(1, self.primary.opened)

    def test_request_for_a_process_that_is_not_in_use_yet(self) -> None:
        """Guard against a pool for a process that no longer exists."""
        self.pooler.registry.backend(self.former)
        self.assertEqual([], self.pooler.registry.all())


if __name__ == "__main__":
    unittest.main()
