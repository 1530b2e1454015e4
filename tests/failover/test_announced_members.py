"""Tests of the members of the control group that a voter announces to proxies."""

import unittest
from types import SimpleNamespace
from typing import cast

from dogwoodspool_consensus import ConsensusNode
from dogwoodspool_failover.api import members_of


class AnnouncedMembersTests(unittest.TestCase):
    """Only a process in contact with the leader announces members."""

    def test_process_without_contact_to_the_leader_announces_no_members(self) -> None:
        """Guard against proxies that adopt members which have been replaced."""
        member = SimpleNamespace(
            address="10.0.0.1:1", failure_domain="fd1", is_voter=True
        )
        consensus = SimpleNamespace(
            is_following=True, diagnostics=lambda: SimpleNamespace(members=[member])
        )
        self.assertEqual(len(members_of(cast(ConsensusNode, consensus))), 1)
        consensus.is_following = False
        self.assertEqual(members_of(cast(ConsensusNode, consensus)), [])
