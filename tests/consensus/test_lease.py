"""Tests of the leader's lease."""

import contextlib
import unittest

from dogwoodspool_consensus import (
    ConsensusSettings,
    NotConfirmedError,
    NotLeaderError,
    Role,
)

from .fakes import SETTINGS, Cluster


class LeaseTests(unittest.TestCase):
    """At any moment at most one node answers as leader."""

    def setUp(self) -> None:
        # The leader's clock is slow and the followers' clocks are fast by the maximum
        # drift.
        self.cluster = Cluster(3, rates=(0.98, 1.02, 1.02))
        self.cluster.run(1.5)
        self.old = self.cluster.leader()

    def run_until_another_leads(self) -> None:
        """Run until another node leads; fail if two would answer as leader."""
        for _ in range(200):
            self.cluster.run(0.05)
            leaders = self.cluster.leaders()
            self.assertLessEqual(len(leaders), 1)
            if leaders and leaders != [self.old]:
                return
        self.fail("no other leader was elected")

    def test_resumed_leader_has_no_leadership(self) -> None:
        # The leader's process is paused for a while and resumes in the middle of a
        # response. Another node was elected meanwhile, so its state is stale, but it
        # has not received any message about that yet.
        cluster = self.cluster
        node = cluster.nodes[self.old]
        cluster.frozen.add(self.old)
        self.run_until_another_leads()
        self.assertIsNone(node.leadership())
        with self.assertRaises(NotLeaderError):
            node.submit({"id": "late"})

    def test_cut_off_leader_loses_its_lease_before_another_is_elected(self) -> None:
        # A network partition isolates the leader, which keeps running and is still
        # reachable for its callers.
        self.cluster.cut_off(self.old)
        self.run_until_another_leads()
        with self.assertRaises(NotConfirmedError):
            self.cluster.nodes[self.old].confirm_read(0.3)
        self.cluster.run(1.0)
        seen = self.cluster.nodes[self.old].diagnostics()
        self.assertIsNot(seen.role, Role.LEADER)

    def test_slow_answers_do_not_lengthen_the_lease(self) -> None:
        # Heartbeats arrive immediately, but their responses take most of the election
        # timeout. Measured from the responses, the lease would still be valid while
        # the followers elect another leader.
        cluster = self.cluster
        cluster.run(0.3)
        node = cluster.nodes[self.old]
        for peer in sorted(set(cluster.nodes) - {self.old}):
            cluster.clocks[self.old].advance(SETTINGS.heartbeat_interval * 1.1)
            cluster.on_answer = lambda: cluster.advance(SETTINGS.election_timeout_min)
            node.step_peer(peer)
        self.assertIsNone(node.leadership())

    def test_restarted_follower_refuses_votes_as_if_it_had_heard_the_leader(
        self,
    ) -> None:
        # A follower answers a heartbeat and restarts within a fraction of a second
        # without a record of it. The leader is partitioned from the others at that
        # moment; with that follower's vote another node would lead too early.
        cluster = self.cluster
        other, restarted = sorted(set(cluster.nodes) - {self.old})
        cluster.cut_links.add(frozenset({self.old, other}))
        cluster.run(0.55)
        cluster.cut_off(self.old)
        cluster.crash(restarted)
        cluster.start(restarted)
        self.run_until_another_leads()

    def test_no_leadership_before_an_entry_of_the_own_term_is_applied(self) -> None:
        # An operator's change is acknowledged and the leader fails. The next leader
        # holds the change but does not know yet that it is committed, so a response
        # from its state would miss the change. The third node lacks the change, so its
        # first response renews the lease and commits nothing.
        cluster = self.cluster
        behind = sorted(set(cluster.nodes) - {self.old})[1]
        cluster.cut_links.add(frozenset({self.old, behind}))
        proposal = cluster.nodes[self.old].submit({"id": "x"})
        for _ in range(10):
            if not proposal.is_done:
                cluster.step(self.old)
        self.assertTrue(proposal.is_done)
        cluster.frozen.add(self.old)
        seen: set[bool] = set()
        for _ in range(60):
            cluster.advance(0.05)
            for name in cluster.running():
                cluster.step(name)
                node, machine = cluster.nodes[name], cluster.machines[name]
                if node.leadership() is not None:
                    seen.add("x" in machine.applied.values())
                with contextlib.suppress(NotConfirmedError):
                    node.confirm_read(0.0)
                    seen.add("x" in machine.applied.values())
        self.assertEqual(seen, {True})


class ConsensusSettingsTests(unittest.TestCase):
    """Times for which the lease would not be safe are rejected."""

    def test_lease_is_shorter_than_the_refusal_of_votes_by_the_drift(self) -> None:
        settings = ConsensusSettings(clock_drift=0.1, lease_fraction=1.0)
        slow_leader = settings.lease / (1 - settings.clock_drift)
        fast_follower = settings.election_timeout_min / (1 + settings.clock_drift)
        self.assertLessEqual(slow_leader, fast_follower)

    def test_bad_times_are_refused(self) -> None:
        with self.assertRaises(ValueError):
            ConsensusSettings(heartbeat_interval=0.7)
        with self.assertRaises(ValueError):
            ConsensusSettings(election_timeout_max=0.5)
        with self.assertRaises(ValueError):
            ConsensusSettings(clock_drift=1.0)
