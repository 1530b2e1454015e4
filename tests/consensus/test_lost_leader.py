"""Tests of elections after a restart where the leader is lost permanently."""

import threading
import time
import unittest

from dogwoodspool_common import JsonRequest, ManualClock
from dogwoodspool_consensus.const import PATH_READ, PATH_VOTE
from dogwoodspool_consensus.messages import VoteRequest
from dogwoodspool_consensus.models import Vote
from dogwoodspool_consensus.threads import NodeSteps, NodeThreads

from .fakes import SETTINGS, Cluster
from .test_node import header


class LostLeaderTests(unittest.TestCase):
    """A power loss on all machines that also destroys the leader's disk.

    Guards against an election 0.65 s later than after a power loss alone: the remaining
    voters find the leader in their logs and refuse their votes until its lease must
    have expired, although another process answers at its address.
    """

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.cluster.run(1.5)
        self.old = self.cluster.leader()
        self.others = sorted(set(self.cluster.nodes) - {self.old})

    def restart_all(self) -> None:
        for name in sorted(self.cluster.nodes):
            self.cluster.crash(name)
        for name in sorted(self.cluster.addresses):
            self.cluster.start(name)

    def test_remaining_voters_elect_at_once(self) -> None:
        self.cluster.crash(self.old)
        self.cluster.storages[self.old].wipe()
        self.restart_all()
        self.cluster.run(SETTINGS.election_timeout_min * 0.9)
        (leader,) = self.cluster.leaders()
        self.assertIn(leader, self.others)

    def test_remaining_voters_wait_while_leader_address_is_silent(self) -> None:
        self.cluster.crash(self.old)
        for name in self.others:
            self.cluster.crash(name)
            self.cluster.start(name)
        self.cluster.run(SETTINGS.election_timeout_min * 0.9)
        self.assertEqual(self.cluster.leaders(), [])

    def test_voter_that_heard_a_leader_since_its_start_keeps_it(self) -> None:
        # A response from another process at the leader's old address must not end the
        # lease that the leader holds at its new address.
        voter = self.cluster.nodes[self.others[0]]
        voter._state.record_process_ended(self.old)
        self.assertTrue(voter.is_following)
        self.assertEqual(voter._state.leader_id, self.old)

    def test_a_voter_that_knows_a_newer_term_than_its_log_waits(self) -> None:
        # It may have acknowledged a leader of that term that its log does not name.
        self.cluster.crash(self.old)
        self.cluster.storages[self.old].wipe()
        for name in self.others:
            self.cluster.crash(name)
            term = self.cluster.storages[name].load().vote.term
            self.cluster.storages[name].save_vote(Vote(term + 1, None))
        self.restart_all()
        self.cluster.run(SETTINGS.election_timeout_min * 0.9)
        self.assertEqual(self.cluster.leaders(), [])


class TwoPowerLossesTests(unittest.TestCase):
    """A second power loss before the new leader has committed an entry.

    The voters that start last request a read point from the leader, which has none
    yet. Guards against an internal error as the response (seed 777 of the fuzz tests).
    """

    def lose_power_everywhere(self, cluster: Cluster) -> None:
        for name in list(cluster.nodes):
            cluster.crash(name)
        cluster.heal()

    def test_leader_is_elected_after_both(self) -> None:
        cluster = Cluster(3)
        cluster.leader()
        cluster.heal()
        cluster.run(0.1)
        self.lose_power_everywhere(cluster)
        self.lose_power_everywhere(cluster)
        cluster.run(3.0)
        self.assertEqual(len(cluster.leaders()), 1)

    def test_leader_without_a_commit_does_not_confirm_a_read(self) -> None:
        cluster = Cluster(3)
        node = cluster.nodes[cluster.leader()]
        node._state.first_own_index = node._state.log.last_index + 1_000
        source, target = (name for name in cluster.nodes if name in ("n0", "n1"))
        leader = node.node_id
        other = source if source != leader else target
        body = header(cluster, other, leader, node.diagnostics().term)
        (read,) = [route for route in node.routes() if route.path == PATH_READ]
        answer = read.handler(JsonRequest(PATH_READ, {}, body))
        self.assertEqual((answer.status, answer.body["error"]), (503, "not_confirmed"))


class DeferredElectionTests(unittest.TestCase):
    """Guard against split votes of voters that start elections together.

    After a power loss that destroyed the leader's disk, two voters detect the loss
    together and request votes 1 ms apart, each having voted for itself: there is no
    leader for another half a second.
    """

    def test_voter_defers_to_the_first_candidate(self) -> None:
        cluster = Cluster(3)
        old = cluster.leader()
        candidate, voter = sorted(set(cluster.nodes) - {old})
        cluster.crash(old)
        cluster.advance(SETTINGS.election_timeout_min * 1.1)
        state = cluster.nodes[voter]._state
        term = state.term
        request = VoteRequest(
            **header(cluster, candidate, voter, term + 1),
            last_index=100,
            last_term=term,
            is_pre_vote=True,
        )
        now = cluster.clocks[voter].now()
        state.election_deadline = now + 0.001
        for _ in range(2):
            answer = cluster.nodes[voter].handle(PATH_VOTE, request.model_dump())
            self.assertTrue(answer["is_granted"])
            self.assertEqual(state.election_deadline, now + SETTINGS.heartbeat_interval)
            # Only once: a candidate that keeps asking must not block the others.
            cluster.advance(SETTINGS.heartbeat_interval / 2)


class EarlierElectionTests(unittest.TestCase):
    """An election whose deadline moves forward starts then, not at the next tick.

    Guards against split votes of two voters that started together and detected the end
    of the leader together: both timers slept for the same 0.1 s and found their
    deadlines passed.
    """

    def test_timer_wakes_at_once(self) -> None:
        cluster = Cluster(3)
        old = cluster.leader()
        voter = next(name for name in cluster.nodes if name != old)
        cluster.crash(voter)
        cluster.start(voter)
        state = cluster.nodes[voter]._state
        clock = state.clock = ManualClock()
        ticked = threading.Semaphore(0)
        steps = NodeSteps(
            tick=ticked.release,
            step_peer=lambda _peer: None,
            write_pending=lambda: None,
            apply_committed=lambda: None,
        )
        threads = NodeThreads(
            state,
            steps,
            peer_due=lambda _peer: float("inf"),
            has_proposals=lambda: False,
            has_committed=lambda: False,
        )
        threads.set_up()
        self.assertTrue(ticked.acquire(timeout=10))
        # The timer, the log writer, the applier and one thread for each of two peers.
        while clock.waiters < 5:
            time.sleep(0.001)
        with state.changed:
            state.record_process_ended(old)
        self.assertTrue(ticked.acquire(timeout=10))
        with state.changed:
            state.is_closed = True
        threads.unload()
