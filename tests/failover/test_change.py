"""Tests of a change of primary from its beginning to its end."""

import unittest
from dataclasses import replace

from dogwoodspool_common import Phase, Position, Role
from dogwoodspool_control.commands import RecordServer
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_failover.changes import PrimaryChanges
from dogwoodspool_failover.departures import Departures

from .fakes import GROUP, REFUSED, UNKNOWN, FakeServer, Voter


class FailoverTests(unittest.TestCase):
    """After a failure a server with every acknowledged write leads."""

    def setUp(self) -> None:
        self.voter = Voter()
        self.servers = self.voter.group.servers

    def test_a_dead_primary_is_replaced_by_the_furthest_replica(self) -> None:
        self.servers["s1"].is_silent = True
        self.servers["s3"].received = Position(1, 101)
        self.voter.begin()
        self.voter.change()
        self.assertEqual(self.voter.primary, "s3")
        self.assertIs(self.servers["s3"].role, Role.PRIMARY)

    def test_replicas_are_paused_before_one_is_chosen(self) -> None:
        # The primary is cut off from control but not from its replicas. It would
        # go on to acknowledge writes while the lead moves to a server that has
        # been asked before them.
        self.servers["s1"].is_silent = True
        self.voter.begin()
        self.voter.change()
        orders = self.voter.group.orders
        promoted_at = orders.index(("promote", "s2"))
        self.assertLess(orders.index(("pause", "s2")), promoted_at)
        self.assertLess(orders.index(("pause", "s3")), promoted_at)

    def test_a_primary_that_answers_is_stopped_first(self) -> None:
        self.voter.begin()
        self.voter.change()
        orders = [order for order, _ in self.voter.group.orders]
        self.assertLess(orders.index("step_down"), orders.index("promote"))

    def test_it_waits_for_a_replica_that_may_have_more(self) -> None:
        self.servers["s1"].is_silent = self.servers["s3"].is_silent = True
        self.voter.begin()
        self.voter.change(max_pauses=3)
        self.assertIsNone(self.voter.primary)
        self.servers["s3"].is_silent = False
        self.servers["s3"].received = Position(1, 105)
        self.voter.change()
        self.assertEqual(self.voter.primary, "s3")

    def test_a_replica_that_restarts_is_asked_again(self) -> None:
        # A paused replica restarts: its pause is over, and it has received a line
        # since. What it had said before must not count any more.
        change = self.voter
        self.servers["s1"].is_silent = self.servers["s3"].is_silent = True
        change.begin()
        change.change(max_pauses=2)
        restarted = self.servers["s2"]
        restarted.incarnation, restarted.paused_term = 2, 0
        restarted.received = Position(1, 108)
        change.commit(RecordServer(restarted.described()))
        self.servers["s3"].is_silent = False
        change.change()
        self.assertEqual(change.primary, "s2")

    def test_each_call_has_a_higher_token(self) -> None:
        self.servers["s1"].is_silent = True
        self.voter.group.answers = [UNKNOWN, True]
        self.voter.begin()
        self.voter.change()
        late = self.voter.group.late[0]
        self.assertLess(late[1], self.voter.group.tokens[-1])

    def test_a_call_that_is_carried_out_late_changes_nothing(self) -> None:
        # The order to promote got no answer and another server was promoted. The
        # platform carries the first order out seconds later: the lead would move
        # to a server that lacks what was acknowledged since.
        self.servers["s1"].is_silent = True
        self.voter.group.answers = [UNKNOWN, True]
        self.voter.begin()
        self.voter.change()
        leader = self.voter.primary
        name, token = self.voter.group.late[0]
        self.voter.group.carry_out("s3" if leader == "s2" else "s2", token)
        self.assertIs(self.servers[leader or ""].role, Role.PRIMARY)
        self.assertEqual(name, leader)

    def test_a_refused_order_begins_again_under_a_new_term(self) -> None:
        self.servers["s1"].is_silent = True
        self.voter.group.answers = [REFUSED, True]
        self.voter.begin()
        self.voter.change()
        self.assertIsNotNone(self.voter.primary)
        group = self.voter.state.group(GROUP)
        assert group is not None
        self.assertEqual((group.phase, group.term), (Phase.STEADY, 3))

    def test_a_server_that_leads_already_is_taken_over(self) -> None:
        # An order of an earlier leader of the control group was carried out after
        # that leader had ended.
        self.voter.begin()
        self.voter.group.carry_out("s3", 1)
        self.voter.change()
        self.assertEqual(self.voter.primary, "s3")
        self.assertNotIn(("promote", "s2"), self.voter.group.orders)

    def test_the_next_leader_goes_on_where_the_last_one_stopped(self) -> None:
        self.servers["s1"].is_silent = True
        self.voter.group.answers = [UNKNOWN] * 50
        self.voter.begin()
        self.voter.change(max_pauses=1)
        self.voter.group.answers = []
        self.voter.change()
        self.assertIn(self.voter.primary, ("s2", "s3"))

    def test_replicas_receive_again_afterwards(self) -> None:
        self.servers["s1"].is_silent = True
        self.voter.begin()
        self.voter.change()
        changes = PrimaryChanges(self.voter.parts)
        changes.resume_replicas(GROUP)
        paused = [one.name for one in self.servers.values() if one.paused_term]
        self.assertEqual(paused, [])


class HandoverTests(unittest.TestCase):
    """A planned change leaves the old primary at work until the lead has moved."""

    def setUp(self) -> None:
        self.voter = Voter()
        self.servers = self.voter.group.servers

    def test_the_old_primary_is_not_stopped(self) -> None:
        self.voter.begin(PromotionReason.PLANNED)
        self.voter.change()
        orders = self.voter.group.orders
        self.assertNotIn(("step_down", "s1"), orders)
        self.assertEqual(self.voter.primary, "s2")
        self.assertIn(("pause", "s3"), orders)
        self.assertNotIn(("pause", "s2"), orders)

    def test_a_primary_that_dies_meanwhile_is_failed_over(self) -> None:
        self.servers["s1"].is_silent = True
        self.voter.begin(PromotionReason.PLANNED)
        self.voter.change(max_pauses=60)
        self.assertEqual(self.voter.primary, "s2")


class DepartureTests(unittest.TestCase):
    """Servers that leave lose their lead first, and their record last."""

    def setUp(self) -> None:
        self.voter = Voter()
        self.departures = Departures(
            self.voter.clock, self.voter.state, self.voter.parts
        )

    def due(self) -> list[str]:
        return [type(one).__name__ for one in self.departures.due_commands()]

    def mark(self, name: str, *, is_gone: bool = False) -> None:
        described = self.voter.state.servers[name]
        leaving = replace(described, is_leaving=True, is_gone=is_gone)
        self.voter.commit(RecordServer(leaving))

    def test_a_leaving_primary_hands_over(self) -> None:
        self.mark("s1")
        self.assertEqual(self.due(), ["BeginPromotion"])

    def test_without_a_successor_it_stays(self) -> None:
        for name in ("s1", "s2", "s3"):
            self.mark(name)
        self.assertEqual(self.due(), [])

    def test_an_ended_replica_is_kept_until_another_has_its_writes(self) -> None:
        # A line was acknowledged with the help of a replica that then left. The
        # primary dies next, and the replica that is left never had the line.
        self.mark("s3", is_gone=True)
        self.voter.group.servers["s1"].received = Position(1, 120)
        self.assertEqual(self.due(), [])
        self.voter.clock.advance(1)
        self.assertEqual(self.due(), [])
        self.voter.group.servers["s2"].received = Position(1, 120)
        self.voter.clock.advance(1)
        self.due()
        self.assertEqual(self.due(), ["RemoveServer"])


class FakeServerTests(unittest.TestCase):
    """The fake keeps the platform's own rule about late calls."""

    def test_an_older_token_is_ignored(self) -> None:
        voter = Voter([FakeServer("s1", Role.PRIMARY), FakeServer("s2")])
        voter.group.carry_out("s2", 9)
        voter.group.carry_out("s1", 8)
        self.assertIs(voter.group.servers["s2"].role, Role.PRIMARY)
