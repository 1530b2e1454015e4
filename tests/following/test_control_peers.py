"""Tests of whom a proxy takes for the control leader."""

import unittest

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
        self.peers.note_led(FIRST)

    def test_a_silent_leader_is_not_believed_to_lead_by_hearsay(self) -> None:
        self.peers.note_failure(FIRST)
        self.peers.note_refusal(SECOND, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), THIRD)

    def test_once_all_were_asked_it_is(self) -> None:
        self.peers.note_failure(FIRST)
        self.peers.note_refusal(SECOND, refusal(FIRST))
        self.peers.note_refusal(THIRD, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), FIRST)

    def test_a_process_that_refused_may_have_been_elected_since(self) -> None:
        self.peers.note_failure(FIRST)
        self.peers.note_refusal(SECOND, refusal(FIRST))
        self.peers.note_refusal(THIRD, refusal(SECOND))
        self.assertEqual(self.peers.leader_or_next(), SECOND)

    def test_a_leader_that_answers_again_is_followed_at_once(self) -> None:
        # Its answers counted as hearsay: a proxy whose link had failed for a moment
        # renewed with the leader and went on to ask the others who leads.
        self.peers.note_failure(FIRST)
        self.peers.note_led(FIRST)
        self.assertEqual(self.peers.leader_or_next(), FIRST)
        self.peers.note_refusal(SECOND, refusal(FIRST))
        self.assertEqual(self.peers.leader_or_next(), FIRST)
