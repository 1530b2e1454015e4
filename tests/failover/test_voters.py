"""Tests of which members of the control group are voters."""

import unittest
from dataclasses import replace

from dogwoodspool_consensus import PeerDiagnostics
from dogwoodspool_failover.voters import MemberAction, due_change


def member(name: str, *, is_voter: bool = True, silent: float = 0.1) -> PeerDiagnostics:
    """Return a member as the leader sees it."""
    address = f"10.0.0.{name[1:]}:1"
    return PeerDiagnostics(name, address, "x", is_voter, f"fd{name[1:]}", 0, silent)


class DueChangeTests(unittest.TestCase):
    """The control group keeps as many live voters as possible."""

    def setUp(self) -> None:
        self.members = [member("n1"), member("n2"), member("n3")]
        self.spare = member("n4", is_voter=False)

    def due(self, *members: PeerDiagnostics) -> tuple[MemberAction, str] | None:
        change = due_change("n1", members, 3)
        return None if change is None else (change.action, change.member.node_id)

    def test_nothing_is_due_while_all_answer(self) -> None:
        self.assertIsNone(self.due(*self.members, self.spare))

    def test_silent_voter_is_replaced_by_a_learner(self) -> None:
        # A voter's instance is lost permanently. The group must still have a majority
        # when a second one is lost a few seconds later. The learner gets its vote
        # first: at no moment are fewer voters left than are wanted.
        silent = member("n3", silent=3.0)
        voters = [*self.members[:2], silent]
        due = self.due(*voters, self.spare)
        self.assertEqual(due, (MemberAction.GIVE_VOTE, "n4"))
        promoted = [*voters, replace(self.spare, is_voter=True)]
        due = self.due(*promoted)
        self.assertEqual(due, (MemberAction.TAKE_VOTE, "n3"))
        demoted = [*promoted[:2], replace(silent, is_voter=False), promoted[3]]
        self.assertIsNone(self.due(*demoted))

    def test_voter_that_returns_during_its_replacement_keeps_its_vote(self) -> None:
        # Four voters tolerate one failure, as three do; the next silent one is dropped
        # without waiting for a learner.
        spare = replace(self.spare, is_voter=True)
        self.assertIsNone(self.due(*self.members, spare))
        due = self.due(*self.members[:2], replace(self.members[2], silent_s=3.0), spare)
        self.assertEqual(due, (MemberAction.TAKE_VOTE, "n3"))

    def test_surplus_of_an_odd_group_is_not_taken_without_a_learner(self) -> None:
        # Three voters where one is wanted: without the silent one, two would be left,
        # which tolerate no failure.
        silent = replace(self.members[2], silent_s=3.0)
        self.assertIsNone(due_change("n1", [*self.members[:2], silent], 1))

    def test_vote_goes_to_the_failure_domain_of_the_silent_voter(self) -> None:
        # Its domain counts as free, although it still holds its vote.
        near = replace(member("n0", is_voter=False), failure_domain="fd1")
        same = replace(self.spare, failure_domain="fd3")
        due = self.due(*self.members[:2], member("n3", silent=3.0), near, same)
        self.assertEqual(due, (MemberAction.GIVE_VOTE, "n4"))

    def test_silent_voter_keeps_its_vote_without_a_learner(self) -> None:
        self.assertIsNone(self.due(*self.members[:2], member("n3", silent=60.0)))

    def test_silent_or_lagging_learner_does_not_become_a_voter(self) -> None:
        voters = self.members[:2]
        self.assertIsNone(self.due(*voters, replace(self.spare, silent_s=5.0)))
        self.assertIsNone(self.due(*voters, replace(self.spare, lag=5_000)))

    def test_member_that_lost_its_disk_is_removed(self) -> None:
        # Its instance runs again at the same address under another identity.
        lost = member("n3", silent=1.0)
        back = replace(member("n9", is_voter=False), address=lost.address)
        due = self.due(*self.members[:2], lost, back)
        self.assertEqual(due, (MemberAction.TAKE_VOTE, "n3"))
        due = self.due(*self.members[:2], replace(lost, is_voter=False), back)
        self.assertEqual(due, (MemberAction.REMOVE, "n3"))

    def test_new_member_is_not_mistaken_for_the_one_it_replaces(self) -> None:
        # A control process loses its disk and rejoins within 1.5 s. Between its joining
        # and its first answer, the leader must not count it as silent for the whole
        # leadership: it would seem silent for longer than the lost identity, which fell
        # silent a second ago, and would be removed permanently instead of it. If a
        # failure domain is cut off four seconds later, two of three voters are gone and
        # no primary can be replaced until the partition heals.
        lost = member("n3", silent=1.4)
        joined = replace(
            member("n9", is_voter=False),
            address=lost.address,
            silent_s=None,
            followed_s=0.01,
        )
        self.assertIsNone(self.due(*self.members[:2], lost, joined))
        answered = replace(joined, silent_s=0.0, followed_s=0.1)
        due = self.due(*self.members[:2], lost, answered)
        self.assertEqual(due, (MemberAction.TAKE_VOTE, "n3"))

    def test_member_that_never_answered_a_new_leader_is_replaced(self) -> None:
        lost = replace(member("n3"), silent_s=None, followed_s=1.0)
        back = replace(member("n9", is_voter=False), address=lost.address)
        due = self.due(*self.members[:2], lost, back)
        self.assertEqual(due, (MemberAction.TAKE_VOTE, "n3"))

    def test_votes_are_spread_over_failure_domains(self) -> None:
        near = replace(member("n5", is_voter=False), failure_domain="fd1")
        due = self.due(*self.members[:2], near, self.spare)
        self.assertEqual(due, (MemberAction.GIVE_VOTE, "n4"))
