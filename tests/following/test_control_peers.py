"""Tests of whom a proxy takes for the control leader."""

import unittest

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import Address, PeerRefusedError
from dogwoodspool_common.const import CODE_NOT_LEADER
from dogwoodspool_following import ControlPeers

FIRST, SECOND, THIRD = (Address("127.0.0.1", port) for port in (1, 2, 3))


def refusal(leader: Address) -> PeerRefusedError:
    """Return the answer of a process that names another one as the leader."""
    return PeerRefusedError(421, CODE_NOT_LEADER, str(leader))


class LeaderTests(unittest.TestCase):
    """What a process says of itself counts more than what others say of it."""

    def setUp(self) -> None:
        self.peers = ControlPeers((FIRST, SECOND, THIRD))
        self.peers.record_leader_answer(FIRST)

    def test_a_silent_leader_is_not_believed_to_lead_by_hearsay(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), THIRD)

    def test_once_all_were_asked_it_is(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.peers.record_refusal(THIRD, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), FIRST)

    def test_a_process_that_refused_may_have_been_elected_since(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.peers.record_refusal(THIRD, refusal(SECOND))
        self.assertEqual(self.peers.leader_or_next(), SECOND)

    def test_a_leader_that_answers_again_is_followed_at_once(self) -> None:
        # Its answers counted as hearsay: a proxy whose link had failed for a moment
        # renewed with the leader and went on to ask the others who leads.
        self.peers.record_failure(FIRST)
        self.peers.record_leader_answer(FIRST)
        self.assertEqual(self.peers.leader_or_next(), FIRST)
        self.peers.record_refusal(SECOND, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), FIRST)


class ContactTests(unittest.TestCase):
    """Whether enough control processes answer to make decisions without this one.

    A proxy in a cut-off failure domain reaches one of three. During an election all
    answer and none leads, which must not look like a cut.
    """

    def setUp(self) -> None:
        self.peers = ControlPeers((FIRST, SECOND, THIRD))
        self.peers.record_leader_answer(FIRST)

    def test_two_silent_ones_of_three_are_a_majority(self) -> None:
        self.peers.record_failure(FIRST)
        self.assertFalse(self.peers.contact().is_majority_silent)
        self.peers.record_failure(SECOND)
        self.assertTrue(self.peers.contact().is_majority_silent)
        self.assertFalse(self.peers.contact().is_in_touch)

    def test_the_one_that_is_cut_off_as_well_does_not_help(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        self.peers.record_behind(THIRD)
        self.peers.record_refusal(THIRD, refusal(FIRST))
        self.assertTrue(self.peers.contact().is_majority_silent)

    def test_an_election_is_no_cut(self) -> None:
        self.peers.record_failure(FIRST)
        self.assertTrue(self.peers.contact().has_missed_answer)
        for _ in range(10):
            self.peers.record_refusal(SECOND, refusal(FIRST))
            self.peers.record_refusal(THIRD, refusal(FIRST))
        self.assertFalse(self.peers.contact().is_majority_silent)
        self.assertFalse(self.peers.contact().has_missed_answer)

    def test_a_leader_that_answers_ends_the_silence(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        self.peers.record_leader_answer(THIRD)
        self.assertFalse(self.peers.contact().is_majority_silent)

    def test_only_a_poll_of_a_current_process_brings_back_in_touch(self) -> None:
        # The leader answers a report while the poll for the view still hangs on a
        # connection of before the cut.
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        self.peers.record_leader_answer(FIRST)
        self.assertFalse(self.peers.contact().is_in_touch)
        self.peers.record_success(FIRST)
        self.assertTrue(self.peers.contact().is_in_touch)

    def test_an_answer_that_is_behind_puts_control_in_question(self) -> None:
        self.assertFalse(self.peers.contact().is_in_question)
        self.peers.record_behind(THIRD)
        self.assertTrue(self.peers.contact().is_in_question)
        self.assertFalse(self.peers.contact().has_missed_answer)
        self.peers.record_success(SECOND)
        self.assertFalse(self.peers.contact().is_in_question)

    def test_members_that_are_gone_are_not_counted(self) -> None:
        self.peers.record_failure(FIRST)
        self.peers.record_failure(SECOND)
        kept = [
            MemberMessage(address=str(one), failure_domain="fd1")
            for one in (THIRD, Address("127.0.0.1", 4), Address("127.0.0.1", 5))
        ]
        self.peers.adopt(kept)
        self.assertFalse(self.peers.contact().is_majority_silent)
