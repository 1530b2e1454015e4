"""Tests of acknowledgements of servers that control has given up."""

import unittest

from dogwoodspool_common import Phase, Role
from dogwoodspool_pooler import ErrorCode, StatementKind, TransactionState

from .fakes import FakeServer, Pooler, run_text
from .shared.neighbours import SharingProxy


class GivenUpServerTests(unittest.TestCase):
    """A caller gets no success that the next primary may not know of.

    The server is cut off from control only, so that it still acknowledges writes with
    a replica that control does not know yet.
    """

    def setUp(self) -> None:
        self.servers = [
            FakeServer("s1", Role.PRIMARY),
            FakeServer("s2", Role.REPLICA),
        ]
        self.pooler = Pooler(self.servers)

    def give_up(self) -> None:
        self.pooler.apply_view(primary=None, phase=Phase.PROMOTING, given_up=("s1",))

    def give_up_before_the_answer_to(self, kind: StatementKind) -> None:
        def on_answer(answered: StatementKind) -> None:
            if answered is kind:
                self.give_up()

        self.servers[0].on_answer = on_answer

    def test_write_acknowledged_by_it_is_in_doubt(self) -> None:
        """Guard against a write that succeeds and is missing at the new primary."""
        self.give_up_before_the_answer_to(StatementKind.WRITE)
        answer = run_text(self.pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertEqual(answer.proof, "")
        self.assertEqual(len(self.servers[0].runs), 1)

    def test_commit_acknowledged_by_it_is_in_doubt(self) -> None:
        """Guard against a commit that succeeds and is missing at the new primary."""
        self.give_up_before_the_answer_to(StatementKind.COMMIT)
        session = self.pooler.session()
        for text in ("BEGIN", "WRITE k v"):
            self.assertIsNone(run_text(session, text).error)
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
        self.assertIs(answer.state, TransactionState.IDLE)

    def test_commit_is_not_sent_to_it(self) -> None:
        """Guard against commits in doubt that need not be sent at all."""
        session = self.pooler.session()
        for text in ("BEGIN", "WRITE k v"):
            run_text(session, text)
        self.give_up()
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.ABORTED)
        kinds = [run.kind for run in self.servers[0].runs]
        self.assertNotIn(StatementKind.COMMIT, kinds)

    def test_write_is_not_sent_to_it(self) -> None:
        """Guard against writes in doubt that need not be sent at all."""
        self.give_up()
        answer = run_text(self.pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.BUSY)
        self.assertEqual(self.servers[0].runs, [])

    def test_answer_that_arrives_after_the_change_is_in_doubt(self) -> None:
        """Guard against late acknowledgements once the group is steady again."""

        def end_change(answered: StatementKind) -> None:
            if answered is StatementKind.WRITE:
                self.pooler.apply_view(primary="s2", given_up=("s1",))

        self.servers[0].on_answer = end_change
        answer = run_text(self.pooler.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)

    def test_reads_and_commits_without_writes_succeed(self) -> None:
        session = self.pooler.session()
        for text in ("BEGIN", "READ k"):
            run_text(session, text)
        self.give_up()
        self.assertIsNone(run_text(session, "COMMIT").error)

    def test_without_the_field_the_old_primary_serves_on(self) -> None:
        """Guard against refused writes beside a control group of an earlier build."""
        self.pooler.apply_view(primary=None, phase=Phase.PROMOTING)
        answer = run_text(self.pooler.session(), "WRITE k v")
        self.assertEqual(answer.proof, "s1:r")


class SharedPoolsTests(unittest.TestCase):
    """Owners of shared pools pass on no such success either."""

    def setUp(self) -> None:
        self.server = FakeServer("s1", Role.PRIMARY)
        self.proxy = SharingProxy([self.server, FakeServer("s2", Role.REPLICA)])

    def give_up_before_the_answer_to(
        self, kind: StatementKind, informed: Pooler
    ) -> None:
        def on_answer(answered: StatementKind) -> None:
            if answered is kind:
                informed.apply_view(
                    primary=None, phase=Phase.PROMOTING, given_up=("s1",)
                )

        self.server.on_answer = on_answer

    def test_write_that_an_owner_runs_is_in_doubt(self) -> None:
        self.give_up_before_the_answer_to(
            StatementKind.WRITE, self.proxy.owner("o1").pooler
        )
        answer = run_text(self.proxy.session(), "WRITE k v")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)

    def test_commit_at_an_owner_is_in_doubt(self) -> None:
        self.give_up_before_the_answer_to(StatementKind.COMMIT, self.proxy)
        session = self.proxy.session()
        for text in ("BEGIN", "WRITE k v"):
            self.assertIsNone(run_text(session, text).error)
        answer = run_text(session, "COMMIT")
        assert answer.error is not None
        self.assertIs(answer.error.code, ErrorCode.IN_DOUBT)
