"""Tests of the polls that the simulated proxies send."""

import unittest

from dogwoodspool_api.const import QUERY_AFTER, QUERY_WAIT_MS
from dogwoodspool_common.const import HTTP_CONNECT_TIMEOUT

from .replaced_voters import World
from .replaced_voters.clock import TICK
from .replaced_voters.polls import Poll


class PollTests(unittest.TestCase):
    """Guards against simulated polls that end earlier or later than real ones."""

    def setUp(self) -> None:
        self.world = World(1)
        self.machine = self.world.add_machine("a")
        self.world.start(self.machine, {self.machine.name: self.machine.address})
        self.world.run(2.0)

    def _seconds(self, poll: Poll) -> float:
        began = self.world.now
        while not poll.advance(is_cut=False):
            self.world.run(TICK)
            self.assertLess(self.world.now - began, 5.0)
        return self.world.now - began

    def _poll(self, wait_ms: int, timeout: float, *, is_connected: bool) -> Poll:
        process = self.machine.process
        assert process is not None
        after = str(process.state.version)
        return Poll(
            machine=self.machine,
            process=process,
            power_losses=self.machine.power_losses,
            is_connected=is_connected,
            clock=self.machine.clock,
            query={QUERY_AFTER: after, QUERY_WAIT_MS: str(wait_ms)},
            sent=self.machine.clock.now(),
            timeout=timeout,
            acked=0,
        )

    def test_poll_waits_for_the_time_that_it_names(self) -> None:
        for wait_ms in (0, 1_000):
            with self.subTest(wait_ms=wait_ms):
                poll = self._poll(wait_ms, 1.5, is_connected=True)
                self.assertAlmostEqual(self._seconds(poll), wait_ms / 1e3, delta=0.11)
                self.assertIsNone(poll.error)

    def test_frozen_process_costs_the_whole_timeout(self) -> None:
        self.machine.is_frozen = True
        for timeout in (0.4, 1.5):
            with self.subTest(timeout=timeout):
                poll = self._poll(0, timeout, is_connected=False)
                self.assertAlmostEqual(self._seconds(poll), timeout, delta=0.11)
                self.assertIsNotNone(poll.error)

    def test_power_that_returns_does_not_end_a_poll_in_progress(self) -> None:
        poll = self._poll(1_000, 1.5, is_connected=True)
        self.world.lose_power(self.machine)
        self.world.run(0.2)
        self.world.start(self.machine)
        self.assertAlmostEqual(self._seconds(poll), 1.3, delta=0.11)
        self.assertIsNotNone(poll.error)

    def test_new_connection_fails_after_its_own_timeout(self) -> None:
        poll = self._poll(1_000, 1.5, is_connected=False)
        self.world.lose_power(self.machine)
        self.assertAlmostEqual(self._seconds(poll), HTTP_CONNECT_TIMEOUT, delta=0.11)
        self.assertIsNotNone(poll.error)
