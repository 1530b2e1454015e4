"""Tests of the estimates of how far replicas are behind."""

import random
import unittest

from dogwoodspool_common import Address, BackendServer, ManualClock, Position
from dogwoodspool_pooler.replica_lag import ReplicaLag

GROUP = "chat"
WRITE_SECONDS = 0.02
REPLICA = BackendServer("s2", GROUP, "fd1", Address("10.0.0.1", 1), 3, 20)


class ReplicaLagTests(unittest.TestCase):
    """Lags are derived from positions in replies and when the primary had them."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.lags = ReplicaLag(self.clock)
        self.offset = 0
        self.written_at: list[float] = []

    def write(self) -> Position:
        """Have the primary write and answer."""
        asked_at = self.clock.now()
        self.clock.advance(WRITE_SECONDS / 4)
        self.offset += 1
        self.written_at.append(self.clock.now())
        position = Position(1, self.offset)
        self.lags.record_primary(GROUP, position, asked_at)
        self.clock.advance(WRITE_SECONDS * 3 / 4)
        return position

    def answer(self, lag: float) -> None:
        """Have the replica answer with the position that it has at a lag."""
        state_at = self.clock.now() - lag
        offset = sum(1 for at in self.written_at if at <= state_at)
        self.lags.record_replica(REPLICA, Position(1, offset))

    def test_the_estimate_is_near_the_lag(self) -> None:
        for mean in (0.03, 0.15):
            with self.subTest(mean):
                self.setUp()
                source = random.Random(1)
                for _ in range(100):
                    self.write()
                    self.answer(source.uniform(0.8, 1.2) * mean)
                lag = self.lags.lag("s2")
                assert lag is not None
                self.assertAlmostEqual(lag, 1.1 * mean, delta=0.1 * mean + 0.01)

    def test_the_lag_is_unknown_before_the_first_reply(self) -> None:
        """Guard against reads that wait for a replica of which nothing is known."""
        position = self.write()
        self.assertIsNone(self.lags.seconds_until(REPLICA, position))

    def test_an_old_estimate_is_not_used(self) -> None:
        self.write()
        self.write()
        self.answer(0.0)
        self.clock.advance(60.0)
        self.assertIsNone(self.lags.lag("s2"))

    def test_a_position_that_it_has_reached_needs_no_wait(self) -> None:
        for _ in range(20):
            position = self.write()
            self.answer(0.03)
        self.clock.advance(0.06)
        self.assertEqual(self.lags.seconds_until(REPLICA, position), 0.0)

    def test_a_new_position_needs_a_wait_of_about_the_lag(self) -> None:
        for _ in range(20):
            self.write()
            self.answer(0.1)
        seconds = self.lags.seconds_until(REPLICA, self.write())
        assert seconds is not None
        self.assertAlmostEqual(seconds, 0.1, delta=0.03)

    def test_the_lag_of_a_stopped_replica_grows(self) -> None:
        """Guard against reads that keep waiting for a replica that receives nothing."""
        for _ in range(20):
            self.write()
            self.answer(0.03)
        stopped_at = Position(1, self.offset)
        for _ in range(50):
            self.write()
            self.lags.record_replica(REPLICA, stopped_at)
        lag = self.lags.lag("s2")
        assert lag is not None
        self.assertGreater(lag, 0.5)

    def test_a_replica_without_writes_to_receive_does_not_look_late(self) -> None:
        """Guard against a lag that grows while the primary writes nothing."""
        self.write()
        self.write()
        self.answer(0.0)
        asked_at = self.clock.now()
        self.clock.advance(5.0)
        self.lags.record_primary(GROUP, Position(1, self.offset), asked_at)
        self.answer(0.0)
        lag = self.lags.lag("s2")
        assert lag is not None
        self.assertLess(lag, 0.05)
