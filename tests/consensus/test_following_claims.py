"""Tests of what a node claims to the proxies that follow the state through it.

A proxy takes a node that is in contact with the leader for up to date, and the members
that it names for the present ones.
"""

import unittest
from dataclasses import replace
from unittest import mock

from dogwoodspool_common import Address
from dogwoodspool_consensus import ConsensusNode

from . import fakes
from .fakes import Cluster

STEP_SECONDS = 0.05
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
