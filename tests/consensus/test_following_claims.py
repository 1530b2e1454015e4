"""Tests of what a node claims to the proxies that follow the state through it.

A proxy takes a node that is in contact with the leader for up to date, and the members
that it names for the present ones.
"""

import itertools
import random
import unittest
from dataclasses import replace
from typing import Any
from unittest import mock

from dogwoodspool_common import Address
from dogwoodspool_common.const import CODE_BAD_REQUEST
from dogwoodspool_consensus import ConsensusNode, PeerCallError
from dogwoodspool_consensus.configurations import ConfigurationAt
from dogwoodspool_consensus.const import PATH_APPEND

from tests.following.test_watch_replaced_members import LEADER_CLAIMS, LEARNER_CLAIMS

from . import fakes
from .fakes import Cluster
from .test_node import header

STEP_SECONDS = 0.05
# Heartbeats and elections as on a platform that bills traffic between failure domains.
RARE_HEARTBEATS = replace(
    fakes.SETTINGS,
    heartbeat_interval=0.2,
    election_timeout_min=0.65,
    election_timeout_max=1.1,
)
# A log that takes several messages and no snapshot.
LONG_LOG = replace(fakes.SETTINGS, snapshot_every=1_024, log_kept=128)


class FollowingClaimTests(unittest.TestCase):
    """A node that claims contact with the leader is up to date within moments."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)

    def test_restarted_node_that_has_heard_no_leader(self) -> None:
        """Guard against a restarted node that counts its start as leader contact."""
        leader = self.cluster.leader()
        name = next(one for one in self.cluster.voters if one != leader)
        self.cluster.run(1.0)
        self.cluster.crash(name)
        self.cluster.cut_off(name)
        self.cluster.start(name)
        self.assertFalse(self.cluster.nodes[name].is_following)

    def test_learner_beside_a_deposed_leader(self) -> None:
        """Guard against a learner that counts the messages of a deposed leader."""
        leader = self.cluster.leader()
        self.join("learner")
        self.cluster.run(2.0)
        self.cluster.cut_links |= {
            frozenset({name, other})
            for name in (leader, "learner")
            for other in self.cluster.voters
            if other != leader
        }
        while not any(one != leader for one in self.cluster.leaders()):
            self.cluster.run(STEP_SECONDS)
        self.assertFalse(self.cluster.nodes["learner"].is_following)

    def test_new_member_that_has_received_a_part_of_the_log(self) -> None:
        """Guard against a new member that names only members that are long gone.

        All first members were lost and replaced one after the other. A proxy that took
        over such a list would ask none of the present members ever again.
        """
        with mock.patch.object(fakes, "SETTINGS", LONG_LOG):
            self.cluster = Cluster(3)
            claims = self.claims_of_new_member()
        running = {self.cluster.addresses[name] for name in self.cluster.nodes}
        self.assertTrue(claims)
        for members in claims:
            known = {Address.parse(one) for one in members}
            self.assertTrue(known & running, f"claims contact and names {members}")

    def claims_of_new_member(self) -> list[list[str]]:
        """Replace all first members; return what one more names as the members."""
        for number in range(3):
            self.commit(8)
            self.replace(f"n{number}", f"m{number}")
        claims: list[list[str]] = []
        self.cluster.on_step = lambda: self.record_claim("late", claims)
        self.join("late")
        return claims

    def record_claim(self, name: str, claims: list[list[str]]) -> None:
        node: ConsensusNode = self.cluster.nodes[name]
        members = [one.address for one in node.diagnostics().members]
        if node.is_following and members:
            claims.append(members)

    def commit(self, count: int) -> None:
        for number in range(count):
            self.cluster.nodes[self.cluster.leader()].submit({"id": f"{number}"})
            self.cluster.run(0.1)

    def join(self, name: str) -> None:
        if name not in self.cluster.nodes:
            self.cluster.start(name)
        address = self.cluster.addresses[name]
        node = self.cluster.nodes[self.cluster.leader()]
        node.add_learner(name, address, "", 5.0)
        self.cluster.run(1.0)

    def replace(self, lost: str, name: str) -> None:
        """Replace a voter that lost power for good by an empty node."""
        self.cluster.crash(lost)
        self.cluster.run(3.0)
        self.join(name)
        node = self.cluster.nodes[self.cluster.leader()]
        node.add_voter(name, self.cluster.addresses[name], 5.0)
        self.cluster.run(1.0)
        node = self.cluster.nodes[self.cluster.leader()]
        node.demote_voter(lost, 5.0)
        self.cluster.run(1.0)


class ClaimDurationTests(unittest.TestCase):
    """How long a leader and a learner that are cut off claim to be up to date.

    The tests of the proxies' polls emulate processes that claim it for these times.
    """

    def setUp(self) -> None:
        settings = mock.patch.object(fakes, "SETTINGS", RARE_HEARTBEATS)
        settings.start()
        self.addCleanup(settings.stop)

    def test_claims_after_the_cut(self) -> None:
        """Guard against emulated processes that give up their claims too early."""
        found = [self.claims(phase) for phase in range(20)]
        leader = max(one for one, _ in found)
        learner = max(one for _, one in found)
        for longest, expected in (leader, LEADER_CLAIMS), (learner, LEARNER_CLAIMS):
            self.assertLessEqual(longest, expected)
            self.assertGreater(longest, expected - 2 * STEP_SECONDS)

    def claims(self, phase: int) -> tuple[float, float]:
        """Return the times from the cut until leader and learner end their claims.

        They are cut off from the voters of which one leads next, at another moment of
        the heartbeats for each phase.
        """
        cluster = Cluster(3)
        leader = cluster.leader()
        cluster.start("learner")
        cluster.nodes[leader].add_learner(
            "learner", cluster.addresses["learner"], "", 5.0
        )
        cluster.run(2.0 + phase * STEP_SECONDS)
        cluster.cut_links |= {
            frozenset({name, other})
            for name in (leader, "learner")
            for other in cluster.voters
            if other != leader
        }
        ends = {leader: 0.0, "learner": 0.0}
        for step in range(1, 80):
            cluster.run(STEP_SECONDS)
            claiming = [name for name in ends if cluster.nodes[name].is_following]
            ends |= dict.fromkeys(claiming, (step + 1) * STEP_SECONDS)
        return round(ends[leader], 2), round(ends["learner"], 2)


class SteadyClaimTests(unittest.TestCase):
    """Members that are in contact with the leader claim it without interruption."""

    settings = fakes.SETTINGS

    def setUp(self) -> None:
        settings = mock.patch.object(fakes, "SETTINGS", self.settings)
        settings.start()
        self.addCleanup(settings.stop)
        self.cluster = Cluster(3)
        self.leader = self.cluster.leader()
        self.cluster.start("learner")
        self.cluster.nodes[self.leader].add_learner(
            "learner", self.cluster.addresses["learner"], "", 5.0
        )
        self.cluster.run(1.0)
        self.lapses: list[str] = []

    def record_lapses(self) -> None:
        nodes = self.cluster.nodes
        self.lapses += [name for name in nodes if not nodes[name].is_following]

    def test_idle_group(self) -> None:
        """Guard against claims that lapse between two heartbeats."""
        self.cluster.on_step = self.record_lapses
        self.cluster.run(10.0)
        self.assertEqual(self.lapses, [])

    def test_group_that_lacks_a_voter(self) -> None:
        """Guard against claims that lapse when a single voter makes up the quorum."""
        self.cluster.crash(sorted({*self.cluster.voters} - {self.leader})[0])
        self.cluster.on_step = self.record_lapses
        self.cluster.run(10.0)
        self.assertEqual(self.lapses, [])

    def test_changes(self) -> None:
        """Guard against claims that lapse while a committed entry is being applied."""
        self.cluster.on_step = self.record_lapses
        for number in range(100):
            self.cluster.nodes[self.leader].submit({"id": f"{number}"})
            self.cluster.run(STEP_SECONDS)
        self.assertEqual(self.lapses, [])


class RareHeartbeatTests(SteadyClaimTests):
    """The same with rare heartbeats."""

    settings = RARE_HEARTBEATS


class ConfirmationTests(unittest.TestCase):
    """Which messages of a leader let a follower claim to be up to date."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.leader = self.cluster.leader()
        self.name = sorted({*self.cluster.voters} - {self.leader})[0]
        self.cluster.run(1.0)
        self.cluster.cut_off(self.name)
        self.node = self.cluster.nodes[self.name]
        self.cluster.clocks[self.name].advance(fakes.SETTINGS.election_timeout_max)
        self.assertFalse(self.node.is_following)

    def receive(self, **fields: Any) -> bool:
        """Pass a heartbeat to the node; return whether it accepted its entries."""
        seen = self.node.diagnostics()
        body = {
            **header(self.cluster, self.leader, self.name, seen.term),
            "leader_address": "10.0.0.1:1",
            "prev_index": seen.last_index,
            "prev_term": seen.term,
            "entries": [],
            "commit_index": seen.commit_index,
            **fields,
        }
        return bool(self.node.handle(PATH_APPEND, body)["is_success"])

    def test_confirmed_heartbeat(self) -> None:
        self.assertTrue(self.receive(confirmed_s=0.5))
        self.cluster.clocks[self.name].advance(0.49)
        self.assertTrue(self.node.is_following)
        self.cluster.clocks[self.name].advance(0.02)
        self.assertFalse(self.node.is_following)

    def test_heartbeat_shortly_before_the_end_of_the_confirmation(self) -> None:
        """Guard against claims of learners that lapse between two heartbeats."""
        self.assertTrue(self.receive(confirmed_s=0.01))
        self.cluster.clocks[self.name].advance(0.39)
        self.assertTrue(self.node.is_following)
        self.cluster.clocks[self.name].advance(0.02)
        self.assertFalse(self.node.is_following)

    def test_leader_without_a_quorum(self) -> None:
        """Guard against claims that rest on a leader that has lost its quorum."""
        self.assertTrue(self.receive(confirmed_s=0.0))
        self.assertFalse(self.node.is_following)

    def test_refused_entries(self) -> None:
        """Guard against claims of a follower that lacks the leader's entries."""
        last = self.node.diagnostics().last_index
        self.assertFalse(self.receive(confirmed_s=0.3, prev_index=last + 1))
        self.assertFalse(self.node.is_following)

    def test_unknown_committed_entries(self) -> None:
        """Guard against claims of a follower that lacks committed entries."""
        commit = self.node.diagnostics().commit_index + 1
        self.assertTrue(self.receive(confirmed_s=0.3, commit_index=commit))
        self.assertFalse(self.node.is_following)

    def test_entries_that_are_committed_but_not_applied(self) -> None:
        """Guard against claims before the newest state can be read here."""
        seen = self.node.diagnostics()
        entry = {"term": seen.term, "kind": "command", "data": '{"id":"x"}'}
        self.receive(
            confirmed_s=0.3, entries=[entry], commit_index=seen.commit_index + 1
        )
        self.assertFalse(self.node.is_following)
        self.node.apply_committed()
        self.assertTrue(self.node.is_following)

    def test_node_that_is_no_member(self) -> None:
        """Guard against claims of a node that the others have removed."""
        state = self.node._state
        self.receive(confirmed_s=0.3)
        others = state.configuration.without(self.name)
        state.configurations.install(ConfigurationAt(state.commit_index, others), [])
        self.assertFalse(self.node.is_following)

    def test_message_of_an_earlier_term(self) -> None:
        """Guard against a confirmation that outlasts the leader's term."""
        self.receive(confirmed_s=0.3)
        self.receive(confirmed_s=0.0, term=self.node.diagnostics().term + 1)
        self.assertFalse(self.node.is_following)

    def test_new_leader_that_has_committed_nothing(self) -> None:
        """Guard against claims that rest on a leader that does not know all commits.

        It was elected with entries that are committed without its knowledge.
        """
        leader = self.cluster.nodes[self.leader]
        leader._state.first_own_index = leader.diagnostics().commit_index + 1
        self.assertEqual(leader._confirmations.remaining(), 0.0)


class PartitionedClaimTests(unittest.TestCase):
    """Voters and a learner among which connections are lost at random."""

    def setUp(self) -> None:
        self.cluster = Cluster(5)
        self.rng = random.Random(0)
        self.now = 0.0
        self.applied_at: dict[int, float] = {}
        self.claims = 0

    def test_claiming_nodes_have_applied_earlier_changes(self) -> None:
        """Guard against any node that claims to be up to date and is not."""
        for seed in range(10):
            with self.subTest(seed=seed):
                self.setUp()
                self.rng.seed(seed)
                self.play()
                self.assertGreater(self.claims, 0)

    def play(self) -> None:
        leader = self.cluster.leader()
        self.cluster.start("learner")
        self.cluster.nodes[leader].add_learner(
            "learner", self.cluster.addresses["learner"], "", 5.0
        )
        self.cluster.run(1.0)
        for number in range(400):
            if number % 20 == 0:
                self.cut_links()
            for name in self.cluster.leaders():
                self.cluster.nodes[name].submit({"id": f"{number} {name}"})
            self.cluster.run(STEP_SECONDS)
            self.now += STEP_SECONDS
            self.check()

    def cut_links(self) -> None:
        """Cut the connections between two random parts, or each with one chance."""
        names = sorted(self.cluster.addresses)
        pairs = [frozenset(pair) for pair in itertools.combinations(names, 2)]
        part = set(self.rng.sample(names, self.rng.randrange(4)))
        cut = {pair for pair in pairs if len(pair & part) == 1}
        if self.rng.random() < 0.3:
            cut = {pair for pair in pairs if self.rng.random() < 0.3}
        self.cluster.cut_links = cut

    def check(self) -> None:
        for index in self.cluster.committed:
            self.applied_at.setdefault(index, self.now)
        bound = self.now - fakes.SETTINGS.election_timeout_min - 2 * STEP_SECONDS
        earlier = [index for index, at in self.applied_at.items() if at < bound]
        for node in self.cluster.nodes.values():
            if node.is_following:
                self.claims += 1
                self.assertGreaterEqual(node.last_applied, max(earlier, default=0))


class EarlierBuildTests(unittest.TestCase):
    """Nodes of a build that knows no confirmations, and that rejects unknown fields."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.leader = self.cluster.leader()
        self.name = sorted({*self.cluster.voters} - {self.leader})[0]
        self.node = self.cluster.nodes[self.name]

    def handle(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        if "confirmed_s" in body:
            raise PeerCallError("peer answered 400", CODE_BAD_REQUEST)
        return self.node.handle(path, body)

    def earlier_build(self) -> Any:
        """Return a node that rejects messages as an earlier build does."""
        return mock.Mock(wraps=self.node, handle=self.handle)

    def test_follower(self) -> None:
        """Guard against a follower that rejects all messages and stops replicating."""
        self.cluster.nodes[self.name] = self.earlier_build()
        self.cluster.nodes[self.leader].submit({"id": "x"})
        self.cluster.run(1.0)
        self.assertIn("x", self.cluster.machines[self.name].applied.values())
        self.assertEqual(self.cluster.leaders(), [self.leader])

    def test_follower_that_is_updated(self) -> None:
        """Guard against a follower that gets no confirmations after its update."""
        self.cluster.nodes[self.name] = self.earlier_build()
        self.cluster.run(1.0)
        self.cluster.crash(self.name)
        self.cluster.run(0.5)
        self.cluster.start(self.name)
        self.cluster.run(1.0)
        bodies = [body for name, _, body in self.cluster.sent if name == self.name]
        self.assertIn("confirmed_s", bodies[-1])

    def test_leader(self) -> None:
        """Guard against followers that are out of date until their leader's update.

        Their claims still end soon after its messages do.
        """
        self.cluster.run(1.0)
        omits_confirmations = mock.patch.object(
            self.cluster.nodes[self.leader]._replication._caller,
            "is_earlier_build",
            return_value=True,
        )
        with omits_confirmations:
            self.cluster.run(2.0)
            self.assertTrue(self.node.is_following)
        self.cluster.cut_off(self.name)
        self.cluster.run(fakes.SETTINGS.election_timeout_min + STEP_SECONDS)
        self.assertFalse(self.node.is_following)
