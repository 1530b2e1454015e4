"""Tests of what a voter logs when it refuses its vote."""

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from dogwoodspool_common.log import EventRateLimiter
from dogwoodspool_consensus.const import PATH_VOTE
from dogwoodspool_consensus.messages import VoteRequest
from loguru import logger

from .fakes import SETTINGS, Cluster
from .test_node import header


@contextmanager
def logged() -> Iterator[list[str]]:
    """Collect the lines that are logged.

    Each time with a whole budget of lines: tests that ran before in this process may
    have used up that of an event, and it fills again by the machine's clock.
    """
    lines: list[str] = []
    sink = logger.add(lambda line: lines.append(str(line)), format="{message}")
    try:
        with mock.patch("dogwoodspool_common.log._rate_limiter", EventRateLimiter()):
            yield lines
    finally:
        logger.remove(sink)


class VoteRefusalTests(unittest.TestCase):
    """A group stays without a leader, and the logs say which vote was missing and why.

    Callers were refused for seconds after a restart. The voters' logs showed one
    election after the other, but not what the others had against the candidate.
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
        """Ask for a vote; return the line that says why it was refused."""
        request = VoteRequest(
            **header(self.cluster, self.candidate, self.voter, term),
            last_index=last_index,
            last_term=self.term if last_index else 0,
            is_pre_vote=is_pre_vote,
        )
        with logged() as lines:
            answer = self.cluster.nodes[self.voter].handle(
                PATH_VOTE, request.model_dump(mode="json")
            )
        self.assertFalse(answer["is_granted"])
        (line,) = [one for one in lines if "event=vote_refused" in one]
        return line

    def lose_sight_of_the_leader(self) -> None:
        self.cluster.advance(SETTINGS.election_timeout_min * 2)

    def test_a_voter_that_hears_the_leader_says_so(self) -> None:
        line = self.ask(term=self.term + 1, is_pre_vote=True)
        self.assertIn("reason=hears_leader", line)
        self.assertIn(f"candidate={self.candidate}", line)

    def test_a_candidate_that_lacks_entries_is_called_behind(self) -> None:
        self.lose_sight_of_the_leader()
        for is_pre_vote in (True, False):
            with self.subTest(is_pre_vote=is_pre_vote):
                line = self.ask(
                    term=self.term + 1, last_index=0, is_pre_vote=is_pre_vote
                )
                self.assertIn("reason=log_behind", line)

    def test_an_old_term_is_named(self) -> None:
        self.lose_sight_of_the_leader()
        self.assertIn("reason=old_term", self.ask(term=self.term - 1))

    def test_a_vote_given_to_another_is_named(self) -> None:
        self.lose_sight_of_the_leader()
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
