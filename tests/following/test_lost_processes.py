"""Tests of control processes that gave no answer once and are up again."""

import unittest

from dogwoodspool_common import Address, PeerRefusedError
from dogwoodspool_common.const import CODE_NOT_LEADER
from dogwoodspool_following import ControlPeers

FIRST, SECOND, THIRD = (Address("127.0.0.1", port) for port in (1, 2, 3))


def not_leader(leader: str = "") -> PeerRefusedError:
    """Return the refusal of a process that names the leader that it knows."""
    return PeerRefusedError(421, CODE_NOT_LEADER, leader)


class LostProcessTests(unittest.TestCase):
    """A process that gave no answer is asked again while the others refuse."""

    def setUp(self) -> None:
        self.peers = ControlPeers((FIRST, SECOND, THIRD))

    def asked(self, refusals: int) -> set[Address]:
        """Return the processes that are asked while each one asked refuses."""
        asked = set()
        for _ in range(refusals):
            address = self.peers.leader_or_next()
            asked.add(address)
            self.peers.record_refusal(address, not_leader())
        return asked

    def test_lost_process_is_asked_again_while_the_others_refuse(self) -> None:
        """Guard against a process that is up again and never asked any more.

        Two processes without the leader refuse reports, draws, joins and polls for the
        first view. Each refusal counts as an answer.
        """
        self.peers.record_failure(THIRD)
        self.assertIn(THIRD, self.asked(30))

    def test_earlier_failure_does_not_hide_the_silence_of_a_majority(self) -> None:
        """Guard against staying in the rotation after a partition.

        The third process gave no answer once, long before, and was not asked since.
        Later only the first one can be reached.
        """
        self.peers.record_failure(THIRD)
        self.peers.record_success(FIRST)
        self.peers.record_leader_answer(SECOND)
        for _ in range(30):
            address = self.peers.leader_or_next()
            if address == FIRST:
                self.peers.record_refusal(address, not_leader(str(SECOND)))
            else:
                self.peers.record_failure(address)
        self.assertTrue(self.peers.contact().is_majority_silent)

    def test_leader_is_found_again_after_one_report_without_an_answer(self) -> None:
        """Guard against reports that never reach the leader though all processes run.

        The third process led and was restarted, and was not asked since. Then the
        second one, which leads, is late with one answer. The first one is up to date
        and names the leader each time; the view is polled from it all the while.
        """
        self.peers.record_failure(THIRD)
        self.peers.record_success(FIRST)
        self.peers.record_leader_answer(SECOND)
        self.peers.record_failure(SECOND)
        asked = []
        for _ in range(100):
            asked.append(self.peers.leader_or_next())
            self.peers.record_refusal(asked[-1], not_leader(str(SECOND)))
            self.peers.record_success(FIRST)
        self.assertIn(SECOND, set(asked))
