"""Tests of moving callers away from a process that left the rotation."""

import unittest
from typing import cast

from dogwoodspool_common import ManualClock
from dogwoodspool_following import (
    ControlContact,
    ControlPeers,
    Reach,
    Rotation,
    RotationCoordinator,
)
from dogwoodspool_following.const import (
    LEAVE_AFTER_SECONDS,
    LOOK_SECONDS,
    MOVE_SECONDS,
    MOVE_SHARE,
)

from .test_rotation import CUT_OFF, WELL


class FakeReach:
    """Control and the servers, as a test says that a look finds them."""

    def __init__(self, reach: Reach = WELL) -> None:
        self.reach = reach
        self.looked_closer = 0

    def contact(self) -> ControlContact:
        return self.reach.control

    def probe_actively(self, control: ControlContact) -> None:
        self.looked_closer += 1

    def lost_groups(self) -> int:
        return self.reach.lost_groups

    def answered_outside(self) -> float:
        return self.reach.outside_answered_at


def coordinator(
    rotation: Rotation, fake: FakeReach, clock: ManualClock
) -> RotationCoordinator:
    """Return a coordinator that finds what the fake says."""
    return RotationCoordinator(rotation, cast(ControlPeers, fake), fake, clock)


class FakeCallers:
    """Callers whose idle connections can be closed."""

    def __init__(self, idle: int) -> None:
        self.idle = idle
        self.closed: list[int] = []

    def close_idle(self, share: float) -> int:
        closed = min(self.idle, max(1, round(self.idle * share)))
        self.idle -= closed
        self.closed.append(closed)
        return closed


class MovingTests(unittest.TestCase):
    """Callers that keep a connection to a cut-off process would never leave it."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.rotation = Rotation(self.clock)
        self.fake = FakeReach()
        self.callers = FakeCallers(100)
        self.watch = coordinator(self.rotation, self.fake, self.clock)
        self.watch.set_callers(self.callers)

    def step_for(self, seconds: float) -> None:
        for _ in range(round(seconds / LOOK_SECONDS) + 2):
            self.clock.advance(self.watch.step())

    def leave(self) -> None:
        self.fake.reach = CUT_OFF
        self.step_for(LEAVE_AFTER_SECONDS)
        self.rotation.answer_balancer()
        self.rotation.answer_balancer()

    def test_nobody_is_moved_while_all_is_well(self) -> None:
        self.step_for(10.0)
        self.assertEqual(self.callers.closed, [])

    def test_servers_are_looked_at_only_while_control_is_in_question(self) -> None:
        # With thousands of groups a look at all of them, ten times a second, costs more
        # than a proxy may spend.
        self.step_for(10.0)
        self.assertEqual(self.fake.looked_closer, 0)
        self.fake.reach = CUT_OFF
        self.step_for(1.0)
        self.assertGreater(self.fake.looked_closer, 5)

    def test_nobody_is_moved_before_the_balancer_knows(self) -> None:
        self.fake.reach = CUT_OFF
        self.step_for(10.0)
        self.assertEqual(self.callers.closed, [])

    def test_callers_move_by_and_by(self) -> None:
        self.leave()
        self.step_for(LOOK_SECONDS)
        self.assertLessEqual(max(self.callers.closed), 100 * MOVE_SHARE)
        self.step_for(MOVE_SECONDS)
        self.assertLessEqual(self.callers.idle, 5)

    def test_callers_that_come_later_are_kept(self) -> None:
        # All failure domains are cut off from each other: the balancer has no better
        # place, and callers would be sent round in circles.
        self.leave()
        self.step_for(MOVE_SECONDS + LOOK_SECONDS)
        self.callers.idle = 10
        self.step_for(10.0)
        self.assertEqual(self.callers.idle, 10)

    def test_a_second_cut_moves_callers_again(self) -> None:
        self.leave()
        self.step_for(MOVE_SECONDS)
        self.fake.reach = WELL
        self.step_for(10.0)
        self.rotation.answer_balancer()
        self.callers.idle, self.callers.closed = 50, []
        self.leave()
        self.step_for(MOVE_SECONDS)
        self.assertGreater(sum(self.callers.closed), 40)
