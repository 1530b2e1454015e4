"""Tests of groups with servers that have ended without announcing it."""

import unittest

from dogwoodspool_common import Position, Role
from dogwoodspool_control.models import PromotionReason

from .fakes import FakeServer
from .test_ended_servers import EndedServerTestCase


class LostMemberTests(EndedServerTestCase):
    """The log of the only writer is enough, whatever members are missing."""

    def replace_lost(self, *names: str) -> None:
        """Lose replicas without a word; others start with the primary's log."""
        for name in names:
            self.crash(name)
            self.voter.join(FakeServer(f"n{int(name[-1]) + 3}"))

    def test_primary_comes_back_after_a_replica_was_lost(self) -> None:
        """Guard against a group that waits for ever for a replica that has ended."""
        self.proxy.write(["s3"])
        self.replace_lost("s2")
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assert_waits()
        self.come_back("s1", role=Role.PRIMARY)
        self.change()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_replica_is_lost_and_not_replaced(self) -> None:
        """Guard against a lost replica that ends the group with the next crash."""
        self.proxy.write(["s2"])
        self.crash("s2")
        self.crash("s1")
        self.voter.begin()
        self.come_back("s1", role=Role.PRIMARY)
        self.change()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_planned_change_after_replicas_were_lost(self) -> None:
        """Guard against a planned change that demotes the primary and never ends."""
        self.proxy.write(["s2"])
        self.replace_lost("s2", "s3")
        self.follow_new_primary("n5", "n6")
        self.voter.begin(PromotionReason.PLANNED)
        self.voter.change()
        self.assert_has_primary()
        self.assert_nothing_lost()

    def test_primary_is_lost_as_well(self) -> None:
        """Guard against a choice among servers that may lack the last write."""
        self.proxy.write(["s2"])
        self.crash("s2")
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assert_waits()

    def test_primary_comes_back_without_its_log(self) -> None:
        """Guard against an empty server that is taken for the primary of before."""
        self.proxy.write(["s2"])
        self.crash("s2")
        self.crash("s1")
        self.voter.begin()
        self.come_back("s1", received=Position(0, 0))
        self.change()
        self.assert_waits()

    def test_silent_member_may_lead(self) -> None:
        """Guard against a writer whose log another primary has rolled back."""
        self.group.late_promotions = {"s2"}
        self.proxy.write(["s2"])
        self.crash("s1")
        self.voter.begin()
        self.change()
        self.assertIn(("promote", "s2"), self.group.orders)
        self.group.move_role("s2")
        self.servers["s2"].is_silent = True
        self.crash("s3")
        self.come_back("s1", received=Position(1, 100))
        self.group.promoted_at = None
        self.change()
        self.assertIsNone(self.group.promoted_at)


if __name__ == "__main__":
    unittest.main()
