"""Tests of the fencing of a group's servers."""

import unittest
from dataclasses import replace

from dogwoodspool_common import BackendServer
from dogwoodspool_control.commands import RecordResume
from dogwoodspool_failover import ServerState
from dogwoodspool_failover.const import OPEN_RESUME_SECONDS
from dogwoodspool_failover.fencing import GroupFencing

from .fakes import GROUP, Voter


class GroupFencingTestCase(unittest.TestCase):
    """A group whose servers are fenced in rounds."""

    def setUp(self) -> None:
        self.voter = Voter()
        self.servers = self.voter.group.servers
        self.fencing = GroupFencing(self.voter.dependencies)

    @property
    def members(self) -> list[BackendServer]:
        return self.voter.state.servers_of(GROUP)

    def ask(self) -> dict[str, ServerState]:
        return self.fencing.ask_all(self.members, "s1")

    def fence(self, states: dict[str, ServerState] | None = None) -> None:
        """Fence the members in one round."""
        self.fencing.fence_all(self.members, states or self.ask(), "s1")

    def assert_fenced(self, *names: str) -> None:
        self.assertEqual(set(self.fencing.fenced(self.members)), set(names))


class RoundTests(GroupFencingTestCase):
    """A server is fenced by its answer in the present round."""

    def test_all_that_answer_are_fenced(self) -> None:
        self.fence()
        self.assert_fenced("s1", "s2", "s3")

    def test_server_without_an_answer_to_the_question_is_not_fenced(self) -> None:
        """Guard against a fence that is remembered while a call ends its pause."""
        self.fence()
        self.servers["s3"].is_silent = True
        self.fence()
        self.assert_fenced("s1", "s2")
        self.servers["s3"].is_silent = False
        self.fence()
        self.assert_fenced("s1", "s2", "s3")

    def test_server_without_an_answer_to_the_pause_is_not_fenced(self) -> None:
        """Guard against a question that counts as a confirmed pause."""
        self.fence()
        states = self.ask()
        self.servers["s3"].is_silent = True
        self.fence(states)
        self.assert_fenced("s1", "s2")

    def test_server_that_ends_while_it_is_fenced(self) -> None:
        """Guard against a group that waits for what a server can't have received."""
        self.fence()
        self.servers["s3"].is_refusing = True
        self.fence()
        self.assertEqual(self.fencing.fenced_until_end(self.members), {})
        gone = replace(self.voter.state.servers["s3"], is_leaving=True, is_gone=True)
        self.voter.record(gone)
        self.assertEqual(set(self.fencing.fenced_until_end(self.members)), {"s3"})

    def test_server_that_runs_unfenced_before_it_ends(self) -> None:
        """Guard against an answer from before a server received again."""
        self.fence()
        states = self.ask()
        self.servers["s3"].paused_term, self.servers["s3"].term = 0, 9
        self.fence(states)
        self.servers["s3"].is_refusing = True
        self.fence()
        gone = replace(self.voter.state.servers["s3"], is_leaving=True, is_gone=True)
        self.voter.record(gone)
        self.assertEqual(self.fencing.fenced_until_end(self.members), {})

    def test_next_process_of_a_server_that_was_fenced(self) -> None:
        """Guard against the answer of a process that is not the one that ended."""
        self.fence()
        described = self.servers["s3"].described(incarnation=2)
        self.voter.record(replace(described, is_leaving=True, is_gone=True))
        self.assertEqual(self.fencing.fenced_until_end(self.members), {})

    def test_position_is_that_of_the_present_round(self) -> None:
        """Guard against a choice by positions of an earlier round."""
        self.fence()
        position = self.servers["s2"].received
        self.servers["s2"].received = type(position)(1, position.offset + 7)
        self.fence()
        fenced = self.fencing.fenced(self.members)
        self.assertEqual(fenced["s2"].received.offset, position.offset + 7)


class FencingTermTests(GroupFencingTestCase):
    """The fencing term is the lowest one that has an effect."""

    def test_rounds_do_not_raise_it(self) -> None:
        """Guard against commands that have an effect after the change."""
        for _ in range(5):
            self.fence()
        paused = {one.paused_term for one in self.servers.values()}
        self.assertEqual(paused, {2})

    def test_it_is_above_the_newest_term(self) -> None:
        self.servers["s3"].term = 6
        self.fence()
        self.assertEqual(self.servers["s2"].paused_term, 7)

    def test_replica_that_is_not_paused_raises_it(self) -> None:
        """Guard against a round that never fences a server of a newer term."""
        states = self.ask()
        self.servers["s3"].term = 5
        self.fence(states)
        self.assert_fenced("s1", "s2")
        self.fence(states)
        self.assert_fenced("s1", "s2", "s3")
        self.assertEqual(self.servers["s3"].paused_term, 6)


class OpenResumeTests(GroupFencingTestCase):
    """A pause that a command may still end fences nothing."""

    def setUp(self) -> None:
        super().setUp()
        command = RecordResume("s3", is_open=True)
        self.opened_at = self.voter.node.commit(command).version
        self.voter.begin()

    def test_server_is_not_fenced_until_the_command_is_too_old(self) -> None:
        """Guard against a choice that rests on a pause which is about to end."""
        self.fence()
        self.assert_fenced("s1", "s2")
        self.voter.clock.advance(OPEN_RESUME_SECONDS - 0.1)
        self.fence()
        self.assert_fenced("s1", "s2")
        self.voter.clock.advance(0.2)
        self.assert_fenced("s1", "s2")
        self.fence()
        self.assert_fenced("s1", "s2", "s3")

    def test_server_is_fenced_by_the_round_after_the_answer(self) -> None:
        """Guard against a pause that counts though the command has ended it."""
        self.fence()
        answer = RecordResume("s3", is_open=False, opened_at=self.opened_at)
        self.voter.commit(answer)
        self.assert_fenced("s1", "s2")
        self.fence()
        self.assert_fenced("s1", "s2", "s3")
