"""Tests of how late a change arrives where only view checks bring it."""

import itertools
import unittest
from typing import Final

from .baton import Baton
from .confirming_fleet import (
    ADDRESSES,
    ControlGroup,
    Loss,
    longest_delay,
    play,
)

# Seconds within which a change has to be in force at a proxy that reaches control.
BOUND: Final = 3.0
LOST_AT: Final = 4.0
ELECTIONS: Final = (1.0, 2.5)


class ViewCheckBoundTests(unittest.TestCase):
    """No watch brings newer views, and no caller asks for a confirmation."""

    def test_change_after_an_election(self) -> None:
        """Guard against checks that pause when control has a leader again."""
        for loss, election in itertools.product(Loss, ELECTIONS):
            with self.subTest(loss=loss, election=election):
                group = ControlGroup(
                    Baton(), loss, {ADDRESSES[0]: LOST_AT}, election=election
                )
                self.assertLess(longest_delay(play(group)), (BOUND,))

    def test_change_after_an_election_at_many_proxies(self) -> None:
        """Guard against proxies that have no turn among all that read at once."""
        group = ControlGroup(
            Baton(),
            Loss.HANGING,
            {ADDRESSES[0]: LOST_AT},
            election=ELECTIONS[1],
            proxies=100,
            end=12.0,
        )
        self.assertLess(longest_delay(play(group)), (BOUND,))

    def test_change_beside_a_process_that_is_lost_without_an_election(self) -> None:
        """Guard against a check that waits for a process that gives no answer."""
        for loss in Loss:
            with self.subTest(loss=loss):
                group = ControlGroup(Baton(), loss, {ADDRESSES[2]: LOST_AT})
                self.assertLess(longest_delay(play(group)), (BOUND,))

    def test_change_at_slow_answers(self) -> None:
        """Guard against a read that is only begun when a slow one has ended."""
        group = ControlGroup(
            Baton(), Loss.HANGING, {ADDRESSES[0]: LOST_AT}, election=1.0, answer=0.8
        )
        self.assertLess(longest_delay(play(group)), (BOUND,))

    def test_change_after_a_cut(self) -> None:
        """Guard against a proxy that comes back late once control can be reached."""
        for loss in Loss:
            with self.subTest(loss=loss):
                group = ControlGroup(Baton(), loss, cut=(4.0, 12.0))
                self.assertLess(longest_delay(play(group)), (BOUND,))
