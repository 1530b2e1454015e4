"""Tests of reads that wait until a replica has the session's last write."""

import unittest
from collections import Counter
from unittest import mock

from dogwoodspool_common import Consistency, Position, Role

from .fakes import FakeServer, Pooler, endpoint, run_text

READ_YOUR_WRITES = endpoint(Consistency.READ_YOUR_WRITES, max_age_ms=2_500)
SHARE = 1 / 6
STEP_SECONDS = 0.02


class CatchUpTests(unittest.TestCase):
    """A replica that is nearly there is waited for while the primary is loaded."""

    def start(self, lag: float, share: float | None = SHARE) -> None:
        """Start a pooler at a loaded primary, with a replica that follows at a lag."""
        self.lag = lag
        self.servers = [
            FakeServer("s1", Role.PRIMARY, failure_domain="fd2"),
            FakeServer("s2", Role.REPLICA),
        ]
        self.pooler = Pooler(self.servers, READ_YOUR_WRITES, share)
        clock = self.pooler.clock
        self.written = [(0.0, self.servers[0].position)]
        patched = mock.patch.object(clock, "sleep", side_effect=self.advance)
        self.sleep = patched.start()
        self.addCleanup(patched.stop)
        self.session = self.pooler.session()
        for _ in range(20):
            self.write()
            run_text(self.pooler.session(), "READ k")
            self.advance(STEP_SECONDS)
        self.session = self.pooler.session()
        self.sleep.reset_mock()

    def advance(self, seconds: float) -> None:
        """Advance the clock, and the replica unless it receives nothing."""
        self.pooler.clock.advance(seconds)
        state_at = self.pooler.clock.now() - self.lag
        reached = [position for at, position in self.written if at <= state_at]
        self.servers[1].position = max([self.servers[1].position, *reached])

    def write(self) -> None:
        self.assertIsNone(run_text(self.session, "WRITE k v").error)
        self.written.append((self.pooler.clock.now(), self.servers[0].position))

    def read(self) -> str:
        """Read and return the server."""
        for _ in range(4):
            self.pooler.table.begin("s1")
        self.pooler.clock.advance(0.0)
        answer = run_text(self.session, "READ k")
        for _ in range(4):
            self.pooler.table.end("s1", 0.1, is_answered=True)
        return answer.proof.partition(":")[0]

    def load_primary(self) -> None:
        """Have statements of other callers fill the primary for some seconds."""
        for _ in range(4):
            self.pooler.table.begin("s1")
        self.advance(5.0)
        for _ in range(20):
            self.write()
            run_text(self.pooler.session(), "READ k")
            self.advance(STEP_SECONDS)
        self.sleep.reset_mock()

    def test_a_read_after_a_write_waits_for_the_replica(self) -> None:
        for lag in (0.03, 0.1):
            with self.subTest(lag):
                self.start(lag)
                self.load_primary()
                self.write()
                self.assertEqual(self.read(), "s2")
                self.sleep.assert_called_once()

    def test_it_holds_no_admission_meanwhile(self) -> None:
        """Guard against waiting reads that keep others from a server."""
        self.start(0.1)
        self.load_primary()
        self.write()
        in_flight: Counter[int] = Counter()

        def sleep(seconds: float) -> None:
            for backend in self.pooler.registry.all():
                in_flight[backend.admission.in_flight + backend.pool.in_use] += 1
            self.advance(seconds)

        self.sleep.side_effect = sleep
        self.read()
        self.assertEqual(set(in_flight), {0})

    def test_a_lag_beyond_the_bound_is_not_waited_for(self) -> None:
        self.start(0.3)
        self.load_primary()
        self.write()
        self.assertEqual(self.read(), "s1")
        self.sleep.assert_not_called()

    def test_a_replica_that_receives_nothing_costs_one_wait(self) -> None:
        """Guard against every read waiting in vain, and then reading the primary."""
        self.start(0.06)
        self.load_primary()
        self.lag = 1_000.0
        self.write()
        for _ in range(5):
            self.assertEqual(self.read(), "s1")
        self.sleep.assert_called_once()

    def test_with_pools_of_its_own_a_proxy_never_waits(self) -> None:
        self.start(0.03, share=None)
        self.write()
        self.sleep.reset_mock()
        self.assertEqual(self.read(), "s1")
        self.sleep.assert_not_called()
        self.assertGreater(self.servers[0].position, Position(3, 100))
