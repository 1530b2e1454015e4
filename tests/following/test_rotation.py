"""Tests of when a process asks the balancer for no more callers."""

import unittest
from dataclasses import replace

from dogwoodspool_common import ManualClock
from dogwoodspool_common.const import NEVER
from dogwoodspool_following import (
    ControlContact,
    Reach,
    Rotation,
    RotationPhase,
)
from dogwoodspool_following.const import (
    LEAVE_AFTER_SECONDS,
    LOOK_SECONDS,
    RETURN_AFTER_SECONDS,
)

WELL = Reach(
    ControlContact(
        is_majority_silent=False,
        has_missed_answer=False,
        is_in_question=False,
        is_in_touch=True,
    )
)
CUT_OFF = Reach(
    ControlContact(
        is_majority_silent=True,
        has_missed_answer=True,
        is_in_question=True,
        is_in_touch=False,
    ),
    lost_groups=1,
)
# One control process gave no answer, and a group has lost its primary.
MISSED = Reach(replace(WELL.control, has_missed_answer=True), lost_groups=1)


class RotationTestCase(unittest.TestCase):
    """A rotation that is looked at as its coordinator does."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.rotation = Rotation(self.clock)

    def look_for(self, seconds: float, reach: Reach) -> None:
        """Look at the same reach again and again for some time."""
        for _ in range(round(seconds / LOOK_SECONDS) + 2):
            self.rotation.look(reach)
            self.clock.advance(LOOK_SECONDS)


class CutOffTests(RotationTestCase):
    """A failure domain is cut off; its proxies reach neither control nor primaries.

    They went on to call themselves ready and refused three quarters of their callers'
    requests until the end of the cut, while other failure domains served everything.
    """

    def test_a_cut_off_process_leaves(self) -> None:
        self.look_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)
        self.assertFalse(self.rotation.answer_balancer())

    def test_the_balancer_hears_of_the_doubt_at_once(self) -> None:
        self.rotation.look(CUT_OFF)
        self.assertFalse(self.rotation.answer_balancer())

    def test_a_first_doubt_that_passed_holds_up_no_second_one(self) -> None:
        # The control process next to the proxy answered between two that did not, and
        # the doubt was withdrawn. The proxy then waited for a second before it doubted
        # again, and kept the callers of its whole failure domain for as long.
        self.rotation.look(MISSED)
        self.clock.advance(LOOK_SECONDS)
        self.rotation.look(replace(WELL, lost_groups=1))
        self.clock.advance(LOOK_SECONDS)
        self.look_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)

    def test_callers_are_moved_only_once_the_balancer_sends_them_elsewhere(
        self,
    ) -> None:
        # Closed before, they would come back to the same process.
        self.look_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.rotation.answer_balancer()
        self.assertFalse(self.rotation.is_out)
        self.rotation.answer_balancer()
        self.assertTrue(self.rotation.is_out)

    def test_the_log_takes_a_process_that_never_heard_from_outside(self) -> None:
        # A proxy without callers at other servers failed at each look, since the time
        # since their last answer had no end, and stayed in the rotation.
        self.rotation.look(replace(CUT_OFF, outside_answered_at=NEVER))
        self.assertIs(self.rotation.phase, RotationPhase.IN_DOUBT)


class StayTests(RotationTestCase):
    """Trouble in which a process that leaves would help nobody."""

    def assert_stays(self, reach: Reach) -> None:
        self.look_for(10.0, reach)
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)
        self.assertTrue(self.rotation.answer_balancer())

    def test_control_is_dead_and_primaries_work(self) -> None:
        # All proxies would leave at once, and nobody would serve.
        self.assert_stays(replace(CUT_OFF, lost_groups=0))

    def test_a_primary_has_crashed_and_control_works(self) -> None:
        self.assert_stays(replace(WELL, lost_groups=1))

    def test_control_elects_while_a_primary_is_lost(self) -> None:
        # The control leader and a primary were in the failure domain that was cut off.
        # For the others control has no leader for a second, but a majority answers.
        lost = replace(WELL, lost_groups=2)
        for _ in range(10):
            self.rotation.look(replace(MISSED, lost_groups=2))
            self.clock.advance(LOOK_SECONDS)
            self.rotation.look(lost)
            self.clock.advance(LOOK_SECONDS)
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)
        self.assertTrue(self.rotation.answer_balancer())

    def test_control_and_a_primary_are_dead_and_other_servers_answer(self) -> None:
        for _ in range(100):
            heard = replace(CUT_OFF, outside_answered_at=self.clock.now())
            self.rotation.look(heard)
            self.clock.advance(LOOK_SECONDS)
        self.assertIsNot(self.rotation.phase, RotationPhase.LEFT)

    def test_a_lossy_link_lets_some_answers_through(self) -> None:
        for number in range(100):
            self.rotation.look(WELL if number % 3 == 0 else CUT_OFF)
            self.clock.advance(LOOK_SECONDS)
        self.assertIsNot(self.rotation.phase, RotationPhase.LEFT)

    def test_doubts_that_come_and_go_do_not_add_up(self) -> None:
        # A proxy was cut off from control and one primary, and reached all else. It
        # doubted and took heart ten times a second, and each of the balancer's
        # questions had an even chance of a refusal.
        refused = []
        for number in range(300):
            heard = self.clock.now() if number % 3 == 0 else self.clock.now() - 0.2
            self.rotation.look(replace(CUT_OFF, outside_answered_at=heard))
            if number % 10 == 7:
                refused.append(not self.rotation.answer_balancer())
            self.clock.advance(LOOK_SECONDS)
        in_a_row = zip(refused, refused[1:], strict=False)
        self.assertFalse(any(one and other for one, other in in_a_row))

    def test_a_doubt_that_passes_leaves_no_refusal_behind(self) -> None:
        self.rotation.look(CUT_OFF)
        self.rotation.answer_balancer()
        self.rotation.look(WELL)
        self.assertTrue(self.rotation.answer_balancer())
        self.look_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.rotation.answer_balancer()
        self.assertFalse(self.rotation.is_out)


class ReturnTests(RotationTestCase):
    """A process that had left takes callers once it can serve them."""

    def setUp(self) -> None:
        super().setUp()
        self.look_for(LEAVE_AFTER_SECONDS, CUT_OFF)

    def test_it_returns_when_control_has_answered_for_a_while(self) -> None:
        self.look_for(RETURN_AFTER_SECONDS, WELL)
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)
        self.assertTrue(self.rotation.answer_balancer())

    def test_it_waits_for_its_view(self) -> None:
        # A leader answers a report while the poll for the view still hangs: the old
        # view names primaries that were replaced during the cut.
        out_of_touch = replace(WELL.control, is_in_touch=False)
        self.look_for(10.0, Reach(out_of_touch))
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)

    def test_a_cut_that_comes_and_goes_moves_callers_once(self) -> None:
        for _ in range(10):
            self.look_for(RETURN_AFTER_SECONDS / 2, WELL)
            self.look_for(RETURN_AFTER_SECONDS / 2, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)

    def test_it_returns_also_where_a_group_has_no_primary(self) -> None:
        # The primary crashed meanwhile: nobody serves the group, elsewhere neither.
        self.look_for(RETURN_AFTER_SECONDS, replace(WELL, lost_groups=1))
        self.assertIs(self.rotation.phase, RotationPhase.SERVING)

    def test_a_second_cut_a_second_later_makes_it_leave_again(self) -> None:
        self.look_for(1.0, WELL)
        self.look_for(LEAVE_AFTER_SECONDS, CUT_OFF)
        self.assertIs(self.rotation.phase, RotationPhase.LEFT)
