"""Tests of the clocks."""

import threading
import unittest

from dogwoodspool_common import ManualClock


class ManualClockTests(unittest.TestCase):
    """The manual clock moves only when a test advances it."""

    def test_sleep_returns_after_the_time_has_passed(self) -> None:
        clock = ManualClock()
        woke = threading.Event()

        def sleeper() -> None:
            clock.sleep(2.0)
            woke.set()

        thread = threading.Thread(target=sleeper)
        thread.start()
        self.assertFalse(woke.wait(0.05))
        while not woke.is_set():
            clock.advance(1.0)
            woke.wait(0.01)
        thread.join()
        self.assertGreaterEqual(clock.now(), 2.0)

    def test_wait_with_zero_timeout_returns_immediately(self) -> None:
        condition = threading.Condition()
        with condition:
            self.assertFalse(ManualClock().wait(condition, 0))
