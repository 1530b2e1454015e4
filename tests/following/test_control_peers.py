"""Tests of how a proxy determines the control leader."""

import unittest

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import Address, PeerRefusedError
from dogwoodspool_common.const import CODE_NOT_LEADER
from dogwoodspool_following import ControlPeers

FIRST, SECOND, THIRD, FOURTH = (Address("127.0.0.1", port) for port in range(1, 5))


def member(
    address: Address, domain: str = "fd1", *, is_voter: bool = True
) -> MemberMessage:
    """Return a member of the control group."""
    return MemberMessage(address=str(address), failure_domain=domain, is_voter=is_voter)


def refusal(leader: Address) -> PeerRefusedError:
    """Return the refusal of a process that names another one as the leader."""
    return PeerRefusedError(421, CODE_NOT_LEADER, str(leader))


class LeaderTests(unittest.TestCase):
    """A leader's own answer overrides what other processes say about the leader."""

    def setUp(self) -> None:
        self.peers = ControlPeers((FIRST, SECOND, THIRD))
        self.peers.record_leader_answer(FIRST)

    def test_hint_to_a_silent_leader_is_ignored(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), THIRD)

    def test_hint_to_a_silent_leader_is_followed_once_all_were_asked(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.peers.record_refusal(THIRD, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), FIRST)

    def test_hint_to_a_process_that_refused_is_followed(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.peers.record_refusal(THIRD, refusal(SECOND))
        self.assertEqual(self.peers.leader_or_next(), SECOND)

    def test_leader_that_answers_again_is_followed_at_once(self) -> None:
        # If a leader's own answer counted only as a hint, a proxy whose link had failed
        # for a moment would renew with the leader and still ask the others who leads.
        self.peers.record_failure(FIRST)
        self.peers.record_leader_answer(FIRST)
        self.assertEqual(self.peers.leader_or_next(), FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), FIRST)


class ContactTests(unittest.TestCase):
    """Whether enough control processes answer to make decisions.

    A proxy in a cut-off failure domain reaches one of three. During an election all of
    them answer and none leads, which must not be taken for a partition.
    """

    def setUp(self) -> None:
        self.peers = ControlPeers((FIRST, SECOND, THIRD))
        self.peers.record_leader_answer(FIRST)

    def test_two_silent_processes_of_three_are_a_majority(self) -> None:
        self.peers.record_failure(FIRST)
        self.assertFalse(self.peers.contact().is_majority_silent)
        self.peers.record_failure(SECOND)
        self.assertTrue(self.peers.contact().is_majority_silent)
        self.assertFalse(self.peers.contact().has_control_contact)

    def test_answers_of_a_cut_off_process_do_not_restore_the_majority(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        self.peers.record_behind(THIRD)
        self.peers.record_refusal(THIRD, refusal(FIRST))
        self.assertTrue(self.peers.contact().is_majority_silent)

    def test_election_is_not_a_partition(self) -> None:
        self.peers.record_failure(FIRST)
        self.assertTrue(self.peers.contact().has_missed_answer)
        for _ in range(10):
            self.peers.record_refusal(SECOND, refusal(FIRST))
            self.peers.record_refusal(THIRD, refusal(FIRST))
        self.assertFalse(self.peers.contact().is_majority_silent)
        self.assertFalse(self.peers.contact().has_missed_answer)

    def test_answer_of_the_leader_ends_the_silence(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        self.peers.record_leader_answer(THIRD)
        self.assertFalse(self.peers.contact().is_majority_silent)

    def test_only_a_poll_of_a_current_process_restores_control_contact(self) -> None:
        # The leader answers a report while the poll for the view still waits on a
        # connection from before the partition.
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        self.peers.record_leader_answer(FIRST)
        self.assertFalse(self.peers.contact().has_control_contact)
        self.peers.record_success(FIRST)
        self.assertTrue(self.peers.contact().has_control_contact)

    def test_outdated_answer_degrades_the_contact(self) -> None:
        self.assertFalse(self.peers.contact().is_degraded)
        self.peers.record_behind(THIRD)
        self.assertTrue(self.peers.contact().is_degraded)
        self.assertFalse(self.peers.contact().has_missed_answer)
        self.peers.record_success(SECOND)
        self.assertFalse(self.peers.contact().is_degraded)

    def test_removed_members_are_not_counted(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        kept = [
            MemberMessage(address=str(one), failure_domain="fd1")
            for one in (THIRD, Address("127.0.0.1", 4), Address("127.0.0.1", 5))
        ]
        self.peers.adopt(kept)
        self.assertFalse(self.peers.contact().is_majority_silent)

    def test_lost_learners_do_not_count(self) -> None:
        """Guard against leaving the rotation because replaced members are silent."""
        lost = [Address("127.0.0.1", port) for port in (4, 5, 6)]
        self.peers.adopt(
            [
                *(member(one) for one in (FIRST, SECOND, THIRD)),
                *(member(one, is_voter=False) for one in lost),
            ]
        )
        for one in lost:
            self.peers.record_failure(one)
        self.assertFalse(self.peers.contact().is_majority_silent)


class ReplacedMemberTests(unittest.TestCase):
    """Members that were lost and replaced are asked after the others."""

    def setUp(self) -> None:
        self.peers = ControlPeers((FIRST, SECOND, THIRD), "fd1", "edge-1")

    def order(self) -> list[Address]:
        """Return the addresses in the order in which they are asked."""
        asked = []
        for _ in self.peers.addresses:
            asked.append(self.peers.any())
            self.peers.record_failure(asked[-1])
        return asked

    def test_voters_are_asked_before_replaced_members_of_the_own_domain(self) -> None:
        self.peers.adopt(
            [
                member(FIRST, is_voter=False),
                member(SECOND, "fd2"),
                member(THIRD),
                member(FOURTH, "fd2", is_voter=False),
            ]
        )
        order = self.order()
        self.assertEqual(order[:2], [THIRD, SECOND])
        self.assertEqual(set(order[2:]), {FIRST, FOURTH})

    def test_learner_of_the_own_domain_is_asked_first_without_a_voter_there(
        self,
    ) -> None:
        self.peers.adopt(
            [member(FIRST, is_voter=False), member(SECOND, "fd2"), member(THIRD, "fd2")]
        )
        self.assertEqual(self.peers.any(), FIRST)

    def test_lost_process_stays_last_after_the_leader_has_answered(self) -> None:
        """Guard against asking all lost processes again after each leader's answer."""
        self.peers.adopt([member(FIRST), member(SECOND, "fd2"), member(THIRD, "fd2")])
        lost = SECOND
        self.peers.record_failure(lost)
        self.peers.record_leader_answer(FIRST)
        self.peers.record_failure(FIRST)
        self.assertNotIn(self.peers.any(), {FIRST, lost})
