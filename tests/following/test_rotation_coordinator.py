"""Tests of moving callers away from a process that left the rotation."""

import unittest
from typing import cast

from dogwoodspool_common import ManualClock
from dogwoodspool_following import (
    ControlContact,
    ControlPeers,
    Reachability,
    Rotation,
    RotationCoordinator,
)
from dogwoodspool_following.const import (
    LEAVE_AFTER_SECONDS,
    MOVE_FRACTION,
    MOVE_SECONDS,
    ROTATION_CHECK_SECONDS,
)

from .test_rotation import CUT_OFF, HEALTHY


class FakeReachability:
    """Control contact and server reachability that a test sets."""

    def __init__(self, reachability: Reachability = HEALTHY) -> None:
        self.reachability = reachability
        self.probe_calls = 0

    def contact(self) -> ControlContact:
        return self.reachability.control

    def probe_actively(self, control: ControlContact) -> None:
        self.probe_calls += 1

    def lost_groups(self) -> int:
        return self.reachability.lost_groups

    def answered_outside(self) -> float:
        return self.reachability.outside_answered_at


def coordinator(
    rotation: Rotation, fake: FakeReachability, clock: ManualClock
) -> RotationCoordinator:
    """Return a coordinator that reads the fake reachability."""
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
    """Callers that keep a connection to a cut-off process must be moved."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.rotation = Rotation(self.clock)
        self.fake = FakeReachability()
        self.callers = FakeCallers(100)
        self.watch = coordinator(self.rotation, self.fake, self.clock)
        self.watch.set_callers(self.callers)

    def step_for(self, seconds: float) -> None:
        for _ in range(round(seconds / ROTATION_CHECK_SECONDS) + 2):
            self.clock.advance(self.watch.step())

    def leave(self) -> None:
        self.fake.reachability = CUT_OFF
        self.step_for(LEAVE_AFTER_SECONDS)
        self.rotation.answer_balancer()
        self.rotation.answer_balancer()

    def test_no_caller_is_moved_without_a_failure(self) -> None:
        self.step_for(10.0)
        self.assertEqual(self.callers.closed, [])

    def test_servers_are_examined_only_while_control_contact_is_degraded(self) -> None:
        # Examining thousands of groups ten times a second costs more than a proxy may
        # spend.
        self.step_for(10.0)
        self.assertEqual(self.fake.probe_calls, 0)
        self.fake.reachability = CUT_OFF
        self.step_for(1.0)
        self.assertGreater(self.fake.probe_calls, 5)

    def test_no_caller_is_moved_before_the_balancer_is_refused(self) -> None:
        self.fake.reachability = CUT_OFF
        self.step_for(10.0)
        self.assertEqual(self.callers.closed, [])

    def test_callers_are_moved_gradually(self) -> None:
        self.leave()
        self.step_for(ROTATION_CHECK_SECONDS)
        self.assertLessEqual(max(self.callers.closed), 100 * MOVE_FRACTION)
        self.step_for(MOVE_SECONDS)
        self.assertLessEqual(self.callers.idle, 5)

    def test_callers_that_connect_later_are_kept(self) -> None:
        # All failure domains are cut off from each other: the balancer has no better
        # target, and moved callers would be sent from one cut-off process to another.
        self.leave()
        self.step_for(MOVE_SECONDS + ROTATION_CHECK_SECONDS)
        self.callers.idle = 10
        self.step_for(10.0)
        self.assertEqual(self.callers.idle, 10)

    def test_second_partition_moves_callers_again(self) -> None:
        self.leave()
        self.step_for(MOVE_SECONDS)
        self.fake.reachability = HEALTHY
        self.step_for(10.0)
        self.rotation.answer_balancer()
        self.callers.idle, self.callers.closed = 50, []
        self.leave()
        self.step_for(MOVE_SECONDS)
        self.assertGreater(sum(self.callers.closed), 40)
