"""Tests of fast leader election after restarts, and of its safety."""

import unittest

from dogwoodspool_consensus import NotConfirmedError, Role

from .fakes import SETTINGS, Cluster


class RestartTests(unittest.TestCase):
    """A control group elects a leader without an idle wait after a power loss."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.cluster.run(1.5)
        self.old = self.cluster.leader()

    def restart_all(self) -> None:
        """Crash all nodes and start them again."""
        for name in sorted(self.cluster.nodes):
            self.cluster.crash(name)
        for name in sorted(self.cluster.addresses):
            self.cluster.start(name)

    def test_the_node_that_led_is_elected_at_once(self) -> None:
        # All processes lose power right after a change was acknowledged. Guards against
        # callers that wait for a leader while each node refuses its vote for an
        # election timeout, in case of a leader that no longer exists.
        self.restart_all()
        self.cluster.run(0.1)
        self.assertEqual(self.cluster.leaders(), [self.old])

    def test_voters_that_start_together_do_not_split_their_votes(self) -> None:
        # The leader's disk is lost and the others lose power. Both load for longer than
        # an election timeout, so that both elections are overdue. Without jitter they
        # request votes at the same moment, each having voted for itself, and a second
        # timeout passes without a leader.
        cluster = self.cluster
        others = sorted(set(cluster.nodes) - {self.old})
        for name in sorted(cluster.nodes):
            cluster.crash(name)
        for name in others:
            cluster.start(name, loading=SETTINGS.election_timeout_max)
        deadlines = [cluster.nodes[name]._state.election_deadline for name in others]
        now = [cluster.clocks[name].now() for name in others]
        waits = [deadline - at for deadline, at in zip(deadlines, now, strict=True)]
        self.assertGreaterEqual(min(waits), 0)
        self.assertGreater(abs(waits[0] - waits[1]), 0.001)
        self.assertLessEqual(max(waits), SETTINGS.heartbeat_interval)
        cluster.run(SETTINGS.heartbeat_interval * 3)
        self.assertEqual(len(cluster.leaders()), 1)

    def test_start_time_in_the_future_does_not_block_elections(self) -> None:
        # The recorded start time comes from another clock and lies an hour ahead.
        # Guards against voters that assume contact with a leader until then: they
        # refuse each other's votes and start no election, so that nothing is served
        # after a power loss.
        cluster = self.cluster
        others = sorted(set(cluster.nodes) - {self.old})
        for name in sorted(cluster.nodes):
            cluster.crash(name)
        for name in others:
            cluster.start(name, loading=-3600.0)
        cluster.run(SETTINGS.election_timeout_max * 4)
        self.assertEqual(len(cluster.leaders()), 1)

    def test_another_candidate_still_has_to_wait(self) -> None:
        # Only the leader keeps its power, and it is partitioned. Its lease is still
        # valid, so the restarted voters must not elect another leader within it.
        cluster = self.cluster
        cluster.cut_off(self.old)
        others = sorted(set(cluster.nodes) - {self.old})
        for name in others:
            cluster.crash(name)
            cluster.start(name)
        cluster.run(SETTINGS.election_timeout_min * 0.8)
        self.assertEqual([n for n in cluster.leaders() if n != self.old], [])

    def test_restarted_leader_is_elected_by_its_followers(self) -> None:
        cluster = self.cluster
        cluster.crash(self.old)
        cluster.start(self.old)
        cluster.run(0.15)
        self.assertEqual(cluster.leaders(), [self.old])

    def test_a_newer_leader_is_not_replaced_by_the_one_before(self) -> None:
        # The old leader restarts after another was elected. The last leader in its log
        # is still itself.
        cluster = self.cluster
        cluster.crash(self.old)
        newer = cluster.leader()
        cluster.start(self.old)
        cluster.run(0.5)
        self.assertEqual(cluster.leaders(), [newer])
        self.assertIs(cluster.nodes[self.old].diagnostics().role, Role.FOLLOWER)


class EmptyDiskTests(unittest.TestCase):
    """A node that lost its disk rejects reads immediately."""

    def test_read_on_an_empty_disk_fails_without_waiting(self) -> None:
        # All machines lose power and one disk loses its content. All proxies ask that
        # node first, as it is the first address that they know. Guards against a wait
        # of two seconds for a leader, which contacts that node only after it has
        # joined.
        cluster = Cluster(3)
        cluster.run(1.5)
        cluster.crash("n0")
        cluster.storages["n0"].wipe()
        cluster.start("n0")
        began_at = cluster.clocks["n0"].now()
        with self.assertRaises(NotConfirmedError):
            cluster.nodes["n0"].confirm_read(2.0)
        self.assertEqual(cluster.clocks["n0"].now(), began_at)


class CommitNotificationTests(unittest.TestCase):
    """Followers learn of a commit immediately, not with the next heartbeat."""

    def test_commit_reaches_followers_without_a_heartbeat(self) -> None:
        # Proxies follow control through the control process of their machine. If a
        # change arrived there only with the next heartbeat, every change of primary
        # would reach callers a quarter of a second later.
        cluster = Cluster(3)
        cluster.run(1.5)
        leader = cluster.leader()
        cluster.nodes[leader].submit({"id": "news"})
        cluster.settle(3)
        applied = [machine.applied.values() for machine in cluster.machines.values()]
        self.assertEqual(["news" in values for values in applied], [True] * 3)


class MemberTests(unittest.TestCase):
    """The vote can move between members, which keep their identities."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.cluster.run(1.5)
        self.leader = self.cluster.leader()
        self.node = self.cluster.nodes[self.leader]

    def members(self) -> dict[str, bool]:
        """Return whether each member is a voter."""
        members = self.node.diagnostics().members
        return {one.node_id: one.is_voter for one in members}

    def test_learner_replaces_a_silent_voter(self) -> None:
        cluster = self.cluster
        cluster.start("n9")
        self.node.add_learner("n9", cluster.addresses["n9"], "fd9", 5.0)
        silent = next(name for name in cluster.voters if name != self.leader)
        cluster.crash(silent)
        self.node.demote_voter(silent, 5.0)
        self.node.add_voter("n9", cluster.addresses["n9"], 5.0)
        self.assertEqual(
            self.members(),
            {**{name: name != silent for name in cluster.voters}, "n9": True},
        )
        cluster.start(silent)
        cluster.run(0.5)
        self.assertFalse(cluster.nodes[silent].diagnostics().is_refused)
        self.node.demote_voter("n9", 5.0)
        self.node.add_voter(silent, cluster.addresses[silent], 5.0)
        self.assertTrue(self.members()[silent])

    def test_learner_reports_its_failure_domain(self) -> None:
        self.cluster.start("n9")
        address = self.cluster.addresses["n9"]
        self.node.add_learner("n9", address, "", 5.0)
        self.node.add_learner("n9", address, "fd9", 5.0)
        domains = {
            one.node_id: one.failure_domain for one in self.node.diagnostics().members
        }
        self.assertEqual(domains["n9"], "fd9")


class TimerTests(unittest.TestCase):
    """Elections start at random times, even if the nodes started together."""

    def test_timer_wakes_at_the_election_deadline(self) -> None:
        # Two voters start in the same millisecond and tick together. If their random
        # deadlines fall between the same two ticks, both start an election at the
        # second one and vote for themselves: no leader three times in a row.
        cluster = Cluster(3)
        node = cluster.nodes["n0"]
        state = node._state
        state.election_deadline = cluster.clocks["n0"].now() + 0.013
        pause = node._threads.pause_before_tick()
        self.assertAlmostEqual(pause, 0.013)
        state.election_deadline = cluster.clocks["n0"].now() + 60
        pause = node._threads.pause_before_tick()
        self.assertEqual(pause, SETTINGS.heartbeat_interval / 2)
