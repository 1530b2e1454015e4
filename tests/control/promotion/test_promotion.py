"""Tests of promotions from start to end."""

import threading
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Any

from dogwoodspool_common import (
    BackendServer,
    Phase,
    Position,
    Role,
    ServerStatus,
)
from dogwoodspool_control.commands import BeginPromotion, ForgetProxy, RegisterProxy
from dogwoodspool_control.errors import CommandRejectedError
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.promotion.promoter import Promoter, Promotions

from ..fakes import (
    GROUP,
    FakeLog,
    FakeProxies,
    FakeServer,
    FakeServers,
    SteppedClock,
    Voter,
    change_root,
    populate,
    renewal,
    run_advancing,
)

BEGIN = BeginPromotion(GROUP, 1, PromotionReason.FAILED)


def is_kind(kind: str) -> Callable[[dict[str, Any]], bool]:
    """Return a predicate that matches commands of one kind."""
    return lambda command: command["kind"] == kind


class PromotionCase(unittest.TestCase):
    """A group with the primary s1, two proxies and two voters."""

    def setUp(self) -> None:
        self.clock = SteppedClock()
        self.log = FakeLog()
        self.voter = Voter(self.clock, self.log)
        self.other = Voter(self.clock, self.log)
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1", "p2": "fd2"})
        self.clock.advance(10.0)
        self.servers = FakeServers(
            {
                "s1": FakeServer(Position(1, 20), Role.PRIMARY, is_silent=True),
                "s2": FakeServer(Position(1, 18)),
                "s3": FakeServer(Position(1, 17)),
            }
        )
        self.proxies = FakeProxies()
        self.executor = ThreadPoolExecutor(8)
        self.addCleanup(self.executor.shutdown)

    def promote(
        self, voter: Voter, seconds: float = 5.0, is_failed: bool = True
    ) -> bool:
        dependencies = voter.dependencies(
            self.servers, self.proxies, self.executor, is_failed
        )
        return run_advancing(self.clock, Promoter(GROUP, dependencies).run, seconds)

    def renew(self, voter: Voter, *names: str) -> None:
        for name in names:
            voter.table.renew(renewal(name), self.clock.now())

    def assert_steady(self, term: int, primary: str) -> None:
        group = self.voter.state.group(GROUP)
        assert group is not None
        found = (group.phase, group.term, group.primary)
        self.assertEqual(found, (Phase.STEADY, term, primary))


class FailoverTests(PromotionCase):
    """A failed primary is replaced."""

    def test_most_advanced_replica_becomes_primary_of_the_next_term(self) -> None:
        self.renew(self.voter, "p1", "p2")
        self.voter.commit(BEGIN)
        began_at = self.clock.now()
        self.assertTrue(self.promote(self.voter))
        self.assert_steady(2, "s2")
        self.assertLess(self.clock.now() - began_at, 1.0)
        group = self.voter.state.group(GROUP)
        assert group is not None
        self.assertEqual(group.term_starts, (Position(2, 18),))
        phases = self.voter.timeline.describe()[-1]["phases_ms"]
        expected = ["detected", "begun", "released", "chosen", "promoted", "ended"]
        self.assertEqual(list(phases), expected)

    def test_promotion_waits_for_the_lease_of_a_silent_proxy(self) -> None:
        """A proxy is cut off from control but still reaches the old primary.

        It acknowledges writes until its grant has expired. If s2 were promoted
        before that, such a write would be acknowledged by a replaced primary.
        """
        self.renew(self.voter, "p1", "p2")
        granted_at = self.clock.now()
        self.proxies.silent = {"p2"}
        self.voter.commit(BEGIN)
        self.assertTrue(self.promote(self.voter))
        self.assert_steady(2, "s2")
        self.assertGreaterEqual(self.clock.now() - granted_at, 1.53)

    def test_no_server_is_promoted_while_an_acknowledged_write_may_be_lost(
        self,
    ) -> None:
        self.proxies.acked = {"p1": Position(1, 19)}
        self.renew(self.voter, "p1")
        self.voter.commit(BEGIN)
        self.assertFalse(self.promote(self.voter, seconds=2.0))
        self.servers.servers["s3"].position = Position(1, 19)
        self.assertTrue(self.promote(self.voter))
        self.assert_steady(2, "s3")

    def test_writes_acknowledged_by_the_primary_alone_wait_for_it(self) -> None:
        change_root(self.voter, 0, write_ack="primary")
        self.voter.commit(BEGIN)
        self.assertFalse(self.promote(self.voter, seconds=2.0))
        self.servers.servers["s1"].is_silent = False
        self.assertTrue(self.promote(self.voter, is_failed=False))
        self.assert_steady(2, "s1")

    def test_failure_of_the_chosen_server_starts_another_term(self) -> None:
        """The chosen replica fails before its promotion is confirmed.

        It may have been promoted to the term although its answer was lost, so the
        next server needs another one: two histories would share a term otherwise.
        """
        self.voter.commit(BEGIN)
        self.voter.log_node.loses_leadership_before = is_kind("end_promotion")
        self.assertTrue(self.promote(self.voter))
        self.servers.servers["s2"].is_silent = True
        self.voter.log_node.loses_leadership_before = lambda _command: False
        self.voter.lead(term=2)
        self.assertFalse(self.promote(self.voter, seconds=5.0))
        self.servers.servers["s1"].is_silent = False
        self.servers.servers["s1"].position = Position(1, 17)
        self.assertTrue(self.promote(self.voter))
        self.assert_steady(3, "s3")
        promotions = [call for call in self.servers.calls if call[0] == "promote"]
        self.assertEqual(
            {(name, term) for _, name, term in promotions}, {("s2", 2), ("s3", 3)}
        )

    def test_chosen_server_that_lost_entries_is_not_accepted_as_primary(self) -> None:
        self.voter.commit(BEGIN)
        promote = self.servers.promote

        def lose_entries_and_promote(server: BackendServer, term: int) -> ServerStatus:
            self.servers.servers["s2"].position = Position(1, 5)
            return promote(server, term)

        self.servers.promote = lose_entries_and_promote  # type: ignore[method-assign]
        self.assertFalse(self.promote(self.voter, seconds=2.0))
        group = self.voter.state.group(GROUP)
        assert group is not None
        self.assertIs(group.phase, Phase.PROMOTING)


class NextLeaderTests(PromotionCase):
    """An interrupted promotion is completed by the next leader."""

    def test_every_step_can_be_resumed(self) -> None:
        for number, kind in enumerate(("choose_primary", "end_promotion")):
            with self.subTest(loses_leadership_before=kind):
                term = self.voter.state.groups[GROUP].term
                self.voter.lead(term=2 * number + 1)
                self.other.stop_leading()
                self.voter.commit(BeginPromotion(GROUP, term, PromotionReason.FAILED))
                self.voter.log_node.loses_leadership_before = is_kind(kind)
                self.assertTrue(self.promote(self.voter))
                phase = self.other.state.groups[GROUP].phase
                self.assertIs(phase, Phase.PROMOTING)
                self.other.lead(term=2 * number + 2)
                self.assertTrue(self.promote(self.other))
                self.assertIs(self.voter.state.groups[GROUP].phase, Phase.STEADY)
                self.assertEqual(self.voter.state.groups[GROUP].term, term + 1)
                self.voter.log_node.loses_leadership_before = lambda _command: False
                self.servers.servers["s1"].is_silent = False
                self.servers.servers["s1"].role = Role.REPLICA
                self.servers.servers["s1"].position = Position(2, 18)
                self.servers.servers["s2"].is_silent = True

    def test_new_leader_waits_for_unknown_grants(self) -> None:
        """The leader issues a grant to p2, begins a promotion and fails; p2 is cut off.

        The next leader's table is empty. Only the time since the start of its
        leadership shows that p2 can no longer acknowledge writes.
        """
        self.renew(self.voter, "p1", "p2")
        self.voter.commit(BEGIN)
        self.voter.stop_leading()
        self.proxies.silent = {"p2"}
        self.other.lead(term=2)
        began_at = self.clock.now()
        self.assertTrue(self.promote(self.other))
        self.assertGreaterEqual(self.clock.now() - began_at, 1.53)

    def test_new_leader_does_not_wait_when_all_proxies_have_answered(self) -> None:
        self.voter.commit(BEGIN)
        self.voter.stop_leading()
        self.other.lead(term=2)
        began_at = self.clock.now()
        self.assertTrue(self.promote(self.other))
        self.assertLess(self.clock.now() - began_at, 1.0)

    def test_answer_of_a_restarted_proxy_does_not_cover_its_old_process(self) -> None:
        """p2's process is suspended with a grant; a new one starts and registers.

        Then the leader changes. The new process answers the release, but the old
        one resumes and acknowledges writes under its old grant.
        """
        self.renew(self.voter, "p2")
        address = self.voter.state.proxies["p2"].address
        self.voter.commit(RegisterProxy("p2", "p2-b", "fd2", address))
        self.other.ages.observe(self.other.state.proxies)
        self.voter.commit(BEGIN)
        self.voter.stop_leading()
        self.other.lead(term=2)
        began_at = self.clock.now()
        self.assertTrue(self.promote(self.other))
        self.assertGreaterEqual(self.clock.now() - began_at, 1.53)

    def test_promotion_waits_for_a_removed_proxy(self) -> None:
        """An operator removes p2 from control while its process still runs.

        Then the leader changes. All registered proxies answer, but p2 is no longer
        called and acknowledges writes until its grant has expired.
        """
        self.other.ages.observe(self.other.state.proxies)
        self.renew(self.voter, "p2")
        self.voter.commit(ForgetProxy("p2"))
        self.other.ages.observe(self.other.state.proxies)
        self.voter.commit(BEGIN)
        self.voter.stop_leading()
        self.other.lead(term=2)
        began_at = self.clock.now()
        self.assertTrue(self.promote(self.other))
        self.assertGreaterEqual(self.clock.now() - began_at, 1.53)


class RacingPromotionTests(PromotionCase):
    """Concurrent promotions of one group."""

    def test_the_second_to_begin_is_rejected(self) -> None:
        self.voter.commit(BEGIN)
        for expected_term in (1, 2):
            planned = BeginPromotion(
                GROUP, expected_term, PromotionReason.PLANNED, "s2", change_id="c1"
            )
            with self.assertRaises(CommandRejectedError):
                self.voter.commit(planned)
        self.assertTrue(self.promote(self.voter))
        with self.assertRaises(CommandRejectedError):
            self.voter.commit(BEGIN)
        again = BeginPromotion(GROUP, 2, PromotionReason.PLANNED, "s3", change_id="c1")
        with self.assertRaises(CommandRejectedError):
            self.voter.commit(again)

    def test_one_group_has_one_promoter(self) -> None:
        self.renew(self.voter, "p1")
        self.proxies.silent = {"p1"}
        self.voter.commit(BEGIN)
        dependencies = self.voter.dependencies(
            self.servers, self.proxies, self.executor
        )
        promotions = Promotions(dependencies)
        promotions.run_missing()
        promotions.run_missing()
        # The clock does not advance, so that the promoter waits for p1's lease.
        names = [thread.name for thread in threading.enumerate()]
        self.assertEqual(names.count(f"promote-{GROUP}"), 1)
        join = partial(promotions.join, timeout=20.0)
        self.assertTrue(run_advancing(self.clock, join, 5.0))
        self.assert_steady(2, "s2")


class PlannedPromotionTests(PromotionCase):
    """An operator changes the primary while all servers are healthy."""

    def setUp(self) -> None:
        super().setUp()
        self.servers.servers["s1"].is_silent = False
        self.renew(self.voter, "p1", "p2")
        self.voter.commit(
            BeginPromotion(GROUP, 1, PromotionReason.PLANNED, "s3", change_id="c1")
        )

    def test_old_primary_is_fenced_and_its_last_entry_is_kept(self) -> None:
        began_at = self.clock.now()
        self.assertTrue(self.promote(self.voter, is_failed=False))
        self.assert_steady(2, "s3")
        self.assertLess(self.clock.now() - began_at, 1.0)
        self.assertEqual(self.servers.calls[0], ("fence", "s1", 2))
        self.assertEqual(self.servers.servers["s3"].position, Position(2, 20))

    def test_candidate_that_does_not_catch_up_reverts_the_promotion(self) -> None:
        self.servers.replicates = False
        self.assertTrue(self.promote(self.voter, is_failed=False, seconds=8.0))
        self.assert_steady(2, "s1")
