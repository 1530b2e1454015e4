"""Tests of when a process leaves and rejoins the load balancer's rotation."""

import unittest
from dataclasses import replace

from dogwoodspool_common import ManualClock
from dogwoodspool_common.const import NEVER
from dogwoodspool_following import (
    ControlContact,
    Reachability,
    Rotation,
    RotationPhase,
)
from dogwoodspool_following.const import (
    LEAVE_AFTER_SECONDS,
    RETURN_AFTER_SECONDS,
    ROTATION_CHECK_SECONDS,
)

HEALTHY = Reachability(
    ControlContact(
        is_majority_silent=False,
        has_missed_answer=False,
        is_degraded=False,
        has_control_contact=True,
    )
)
CUT_OFF = Reachability(
    ControlContact(
        is_majority_silent=True,
        has_missed_answer=True,
        is_degraded=True,
        has_control_contact=False,
    ),
    lost_groups=1,
)
# One control process gave no answer, and a group has lost its primary.
MISSED_ANSWER = Reachability(
    replace(HEALTHY.control, has_missed_answer=True), lost_groups=1
)


class RotationTestCase(unittest.TestCase):
    """Base of tests that update a rotation at the coordinator's interval."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.rotation = Rotation(self.clock)

    def update_for(self, seconds: float, reachability: Reachability) -> None:
        """Update with the same reachability repeatedly for some time."""
        for _ in range(round(seconds / ROTATION_CHECK_SECONDS) + 2):
            self.rotation.update(reachability)
            self.clock.advance(ROTATION_CHECK_SECONDS)


class CutOffTests(RotationTestCase):
    """A failure domain is cut off; its proxies reach neither control nor primaries.

    If they stayed ready, they would refuse three quarters of their callers' requests
    until the end of the partition, while other failure domains serve everything.
    """

    def test_cut_off_process_leaves(self) -> None:
        self.update_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)
        self.assertFalse(self.rotation.answer_balancer())

    def test_balancer_is_refused_as_soon_as_a_cut_is_suspected(self) -> None:
        self.rotation.update(CUT_OFF)
        self.assertFalse(self.rotation.answer_balancer())

    def test_withdrawn_suspicion_does_not_delay_a_stronger_one(self) -> None:
        # The control process in the proxy's own failure domain answers between two that
        # do not, and the suspicion is withdrawn. If the proxy then paused for a second
        # before the next suspicion, it would keep the callers of its whole failure
        # domain for as long.
        self.rotation.update(MISSED_ANSWER)
        self.clock.advance(ROTATION_CHECK_SECONDS)
        self.rotation.update(replace(HEALTHY, lost_groups=1))
        self.clock.advance(ROTATION_CHECK_SECONDS)
        self.update_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)

    def test_callers_are_moved_only_once_the_balancer_has_acted(self) -> None:
        # Connections closed earlier would be sent back to the same process.
        self.update_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.rotation.answer_balancer()
        self.assertFalse(self.rotation.is_out)
        self.rotation.answer_balancer()
        self.assertTrue(self.rotation.is_out)

    def test_process_without_any_answer_from_outside_can_be_logged(self) -> None:
        # For a proxy without statements at servers of other failure domains the time
        # since their last answer is infinite. If logging it failed, each update would
        # fail and the proxy would stay in the rotation.
        self.rotation.update(replace(CUT_OFF, outside_answered_at=NEVER))
        self.assertIs(self.rotation.phase, RotationPhase.SUSPECTED)


class StayTests(RotationTestCase):
    """Failures in which leaving the rotation would not help callers."""

    def assert_stays(self, reachability: Reachability) -> None:
        self.update_for(10.0, reachability)
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)
        self.assertTrue(self.rotation.answer_balancer())

    def test_control_has_crashed_and_primaries_work(self) -> None:
        # All proxies would leave at once, and none would serve.
        self.assert_stays(replace(CUT_OFF, lost_groups=0))

    def test_a_primary_has_crashed_and_control_works(self) -> None:
        self.assert_stays(replace(HEALTHY, lost_groups=1))

    def test_control_elects_while_a_primary_is_lost(self) -> None:
        # The control leader and a primary are in the failure domain that is cut off. In
        # the others control has no leader for a second, but a majority answers.
        lost = replace(HEALTHY, lost_groups=2)
        for _ in range(10):
            self.rotation.update(replace(MISSED_ANSWER, lost_groups=2))
            self.clock.advance(ROTATION_CHECK_SECONDS)
            self.rotation.update(lost)
            self.clock.advance(ROTATION_CHECK_SECONDS)
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)
        self.assertTrue(self.rotation.answer_balancer())

    def test_control_and_a_primary_have_crashed_and_other_servers_answer(self) -> None:
        for _ in range(100):
            reached = replace(CUT_OFF, outside_answered_at=self.clock.now())
            self.rotation.update(reached)
            self.clock.advance(ROTATION_CHECK_SECONDS)
        self.assertIsNot(self.rotation.phase, RotationPhase.LEFT)

    def test_lossy_link_passes_some_answers(self) -> None:
        for number in range(100):
            self.rotation.update(HEALTHY if number % 3 == 0 else CUT_OFF)
            self.clock.advance(ROTATION_CHECK_SECONDS)
        self.assertIsNot(self.rotation.phase, RotationPhase.LEFT)

    def test_intermittent_suspicions_give_no_consecutive_refusals(self) -> None:
        # A proxy is cut off from control and one primary, and reaches everything else.
        # If it suspected a cut and withdrew the suspicion ten times a second, each
        # health check would have an even chance of a refusal.
        refused = []
        for number in range(300):
            answered_at = (
                self.clock.now() if number % 3 == 0 else self.clock.now() - 0.2
            )
            self.rotation.update(replace(CUT_OFF, outside_answered_at=answered_at))
            if number % 10 == 7:
                refused.append(not self.rotation.answer_balancer())
            self.clock.advance(ROTATION_CHECK_SECONDS)
        in_a_row = zip(refused, refused[1:], strict=False)
        self.assertFalse(any(one and other for one, other in in_a_row))

    def test_withdrawn_suspicion_resets_the_refusals(self) -> None:
        self.rotation.update(CUT_OFF)
        self.rotation.answer_balancer()
        self.rotation.update(HEALTHY)
        self.assertTrue(self.rotation.answer_balancer())
        self.update_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.rotation.answer_balancer()
        self.assertFalse(self.rotation.is_out)


class ReturnTests(RotationTestCase):
    """A process that has left rejoins once it can serve callers."""

    def setUp(self) -> None:
        super().setUp()
        self.update_for(LEAVE_AFTER_SECONDS, CUT_OFF)

    def test_rejoins_when_control_has_answered_for_some_time(self) -> None:
        self.update_for(RETURN_AFTER_SECONDS, HEALTHY)
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)
        self.assertTrue(self.rotation.answer_balancer())

    def test_rejoins_only_with_a_current_view(self) -> None:
        # A leader answers a report while the poll for the view still waits: the old
        # view names primaries that were replaced during the partition.
        without_contact = replace(HEALTHY.control, has_control_contact=False)
        self.update_for(10.0, Reachability(without_contact))
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)

    def test_intermittent_partition_moves_callers_once(self) -> None:
        for _ in range(10):
            self.update_for(RETURN_AFTER_SECONDS / 2, HEALTHY)
            self.update_for(RETURN_AFTER_SECONDS / 2, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)

    def test_rejoins_although_a_group_has_no_primary(self) -> None:
        # The primary crashed meanwhile, so no other process serves the group either.
        self.update_for(RETURN_AFTER_SECONDS, replace(HEALTHY, lost_groups=1))
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)

    def test_leaves_again_on_a_second_partition_one_second_later(self) -> None:
        self.update_for(1.0, HEALTHY)
        self.update_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)
