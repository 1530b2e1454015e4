"""Tests of the leader's record of grants."""

import unittest

from dogwoodspool_common import ManualClock, Position
from dogwoodspool_consensus import Leadership
from dogwoodspool_control.commands import BeginPromotion, RegisterProxy
from dogwoodspool_control.errors import LeadershipLostError, StaleIncarnationError
from dogwoodspool_control.models import PromotionReason, Release

from ..fakes import FAR_FUTURE, GROUP, FakeLog, Voter, change_root, populate, renewal


class GrantTableTests(unittest.TestCase):
    """When a grant is issued, and when it is certain to have ended."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.log = FakeLog()
        self.voter = Voter(self.clock, self.log)
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1"})
        self.table = self.voter.table

    def test_grant_is_held_for_its_lease_plus_clock_drift(self) -> None:
        lease = self.table.renew(renewal("p1"), received_at=0.0)
        self.assertEqual([grant.term for grant in lease.grants], [1])
        self.assertEqual(lease.lease_ms, 1500)
        self.clock.advance(1.5)
        self.assertEqual(len(self.table.holdings(GROUP)), 1)
        self.clock.advance(0.031)
        self.assertEqual(self.table.holdings(GROUP), [])

    def test_shorter_lease_does_not_shorten_an_earlier_one(self) -> None:
        self.table.renew(renewal("p1"), received_at=0.0)
        change_root(self.voter, 0, lease_ms=700)
        self.assertEqual(self.table.renew(renewal("p1"), 0.1).lease_ms, 700)
        self.clock.advance(1.5)
        self.assertEqual(len(self.table.holdings(GROUP)), 1)

    def test_no_grant_while_the_group_is_promoting(self) -> None:
        begin = BeginPromotion(GROUP, 1, PromotionReason.FAILED)
        self.voter.commit(begin)
        self.assertEqual(self.table.renew(renewal("p1"), 0.0).grants, ())

    def test_no_grant_for_an_unregistered_proxy(self) -> None:
        lease = self.table.renew(renewal("p9"), received_at=0.0)
        self.assertFalse(lease.is_registered)
        self.assertEqual(lease.grants, ())

    def test_grant_is_withheld_if_leadership_is_lost_meanwhile(self) -> None:
        """A leader is suspended between its leadership check and its answer.

        It would send a grant after another voter became the leader. The second
        check, after the grant was computed, prevents this.
        """
        answers = iter([Leadership(1, 0.0, FAR_FUTURE), None])
        self.voter.log_node.leadership = lambda: next(answers, None)  # type: ignore[method-assign]
        with self.assertRaises(LeadershipLostError):
            self.table.renew(renewal("p1"), 0.0)

    def test_new_leader_accounts_for_grants_missing_from_its_table(self) -> None:
        """A leader issues a grant to p1, then another voter becomes the leader.

        Its table is empty. If it relied on that, a primary could be replaced while
        p1 still acknowledges writes of the old term.
        """
        self.table.renew(renewal("p1"), 0.0)
        self.clock.advance(0.5)
        other = Voter(self.clock, FakeLog())
        other.lead(term=2)
        self.assertEqual(other.table.holdings(GROUP), [])
        self.assertAlmostEqual(other.table.predecessor_expiry, 0.5 + 1.53)

    def test_longer_lease_of_earlier_settings_still_applies(self) -> None:
        change_root(self.voter, 0, lease_ms=6000, clock_drift=0.0)
        change_root(self.voter, 1, lease_ms=900, clock_drift=0.0)
        self.voter.lead(term=2)
        self.assertAlmostEqual(self.table.predecessor_expiry, 6.0)

    def test_replaced_process_is_rejected_and_its_grant_still_counts(self) -> None:
        """A proxy restarts; its old process was suspended and resumes.

        Both would acknowledge writes. The old one gets no further grant, and the
        grant it holds counts until it expires.
        """
        self.table.renew(renewal("p1"), 0.0)
        newer = renewal("p1", incarnation="p1-b")
        self.assertFalse(self.table.renew(newer, 0.1).is_registered)
        with self.assertRaises(StaleIncarnationError):
            self.table.renew(renewal("p1"), 0.2)
        address = self.voter.state.proxies["p1"].address
        self.voter.commit(RegisterProxy("p1", "p1-b", "fd1", address))
        self.assertTrue(self.table.renew(newer, 0.3).grants)
        self.table.release(Release("p1", "p1-b", GROUP, 1, None))
        held = [holding.incarnation for holding in self.table.holdings(GROUP)]
        self.assertEqual(held, ["p1-a"])
        self.voter.lead(term=2)
        with self.assertRaises(StaleIncarnationError):
            self.table.renew(renewal("p1"), 0.4)

    def test_late_release_answer_keeps_the_newer_grant(self) -> None:
        self.table.renew(renewal("p1"), 0.0)
        self.table.release(Release("p1", "p1-a", GROUP, 0, None))
        self.assertEqual(len(self.table.holdings(GROUP)), 1)


class AcknowledgedWritesTests(unittest.TestCase):
    """What is known about acknowledged writes."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.voter = Voter(self.clock, FakeLog())
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1"})
        self.table = self.voter.table

    def test_acks_are_complete_once_history_and_holders_are_known(self) -> None:
        self.clock.advance(2.0)
        self.table.renew(renewal("p1", acked=Position(1, 5)), 2.0)
        self.assertFalse(self.table.acknowledged_writes(GROUP).is_complete)
        self.table.record_primary_position(GROUP, Position(1, 9), asked_at=2.0)
        self.assertFalse(self.table.acknowledged_writes(GROUP).is_complete)
        self.table.release(Release("p1", "p1-a", GROUP, 1, Position(1, 12)))
        acks = self.table.acknowledged_writes(GROUP)
        self.assertTrue(acks.is_complete)
        self.assertEqual(acks.positions, (Position(1, 12),))

    def test_position_from_before_the_predecessors_leases_ended_is_no_bound(
        self,
    ) -> None:
        self.table.renew(renewal("p1"), 0.0)
        self.table.release(Release("p1", "p1-a", GROUP, 1, None))
        self.table.record_primary_position(GROUP, Position(1, 9), asked_at=1.0)
        self.assertFalse(self.table.acknowledged_writes(GROUP).is_complete)

    def test_writes_acknowledged_by_the_primary_alone_count_as_unreplicated(
        self,
    ) -> None:
        self.assertTrue(self.table.acknowledged_writes(GROUP).is_replicated)
        change_root(self.voter, 0, write_ack="primary")
        change_root(self.voter, 1, write_ack="replica")
        self.assertFalse(self.table.acknowledged_writes(GROUP).is_replicated)
