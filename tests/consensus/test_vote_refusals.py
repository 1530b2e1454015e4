"""Tests of the log line of a refused vote."""

import unittest

from dogwoodspool_consensus.const import PATH_VOTE
from dogwoodspool_consensus.messages import VoteRequest

from tests.common.captured_logs import captured_logs

from .fakes import SETTINGS, Cluster
from .test_node import header


class VoteRefusalTests(unittest.TestCase):
    """The logs of a group without a leader show which vote was refused and why.

    Guards against voters that refuse callers for seconds after a restart and log one
    election after another, but not why the other voters refuse the candidate.
    """

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        leader = self.cluster.leader()
        self.candidate, self.voter = sorted(set(self.cluster.nodes) - {leader})
        self.cluster.nodes[leader].submit({"id": "x"})
        self.cluster.run(0.2)
        self.term = self.cluster.nodes[leader].diagnostics().term

    def ask(
        self, *, term: int, last_index: int = 100, is_pre_vote: bool = False
    ) -> str:
        """Request a vote; return the log line of its refusal."""
        request = VoteRequest(
            **header(self.cluster, self.candidate, self.voter, term),
            last_index=last_index,
            last_term=self.term if last_index else 0,
            is_pre_vote=is_pre_vote,
        )
        with captured_logs() as lines:
            answer = self.cluster.nodes[self.voter].handle(
                PATH_VOTE, request.model_dump(mode="json")
            )
        self.assertFalse(answer["is_granted"])
        (line,) = [one for one in lines if "event=vote_refused" in one]
        return line

    def expire_leader_contact(self) -> None:
        self.cluster.advance(SETTINGS.election_timeout_min * 2)

    def test_recent_leader_contact_is_logged(self) -> None:
        line = self.ask(term=self.term + 1, is_pre_vote=True)
        self.assertIn("reason=hears_leader", line)
        self.assertIn(f"candidate={self.candidate}", line)

    def test_candidate_with_a_log_behind_is_logged(self) -> None:
        self.expire_leader_contact()
        for is_pre_vote in (True, False):
            with self.subTest(is_pre_vote=is_pre_vote):
                line = self.ask(
                    term=self.term + 1, last_index=0, is_pre_vote=is_pre_vote
                )
                self.assertIn("reason=log_behind", line)

    def test_old_term_is_logged(self) -> None:
        self.expire_leader_contact()
        self.assertIn("reason=old_term", self.ask(term=self.term - 1))

    def test_vote_for_another_candidate_is_logged(self) -> None:
        self.expire_leader_contact()
        request = VoteRequest(
            **header(self.cluster, self.candidate, self.voter, self.term + 1),
            last_index=100,
            last_term=self.term,
            is_pre_vote=False,
        ).model_copy(update={"source": "other", "source_incarnation": "other"})
        answer = self.cluster.nodes[self.voter].handle(
            PATH_VOTE, request.model_dump(mode="json")
        )
        self.assertTrue(answer["is_granted"])
        self.assertIn("reason=voted_for_another", self.ask(term=self.term + 1))
