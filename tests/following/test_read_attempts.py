"""Tests of the reads that confirm a view: who is asked, how often, and since when."""

import unittest
from typing import Final, cast
from unittest import mock

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import JsonClient, ManualClock, PeerUnreachableError
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ControlPeers, ViewConfirmation, ViewStore
from dogwoodspool_following.const import MAX_READS_IN_FLIGHT

from .baton import Baton
from .confirming_fleet import ADDRESSES, ConfirmingProxy, ControlGroup, Loss

READ_SECONDS: Final = 0.9
LATER_SECONDS: Final = 1.0


class ReadTests(unittest.TestCase):
    """One proxy reads, on emulated time."""

    def test_confirmation_is_as_old_as_the_beginning_of_its_read(self) -> None:
        """Guard against a slow read that hides what was acknowledged meanwhile."""
        clock = Baton()
        proxy = ConfirmingProxy(ControlGroup(clock, answer=READ_SECONDS), "edge-1", 0.0)

        def read() -> None:
            proxy.confirmation.advance()
            clock.sleep(LATER_SECONDS)

        clock.play([read])
        self.assertEqual(LATER_SECONDS * MILLISECONDS, proxy.confirmation.age_ms)

    def test_reads_that_hang_do_not_pile_up(self) -> None:
        """Guard against threads that are all in use by processes without an answer."""
        lost = dict.fromkeys(ADDRESSES, 0.0)
        group = ControlGroup(Baton(), Loss.HANGING, lost, end=10.0)
        proxy = ConfirmingProxy(group, "edge-1", 0.0)
        group.clock.play([proxy.check])
        limit = MAX_READS_IN_FLIGHT * len(ADDRESSES)
        self.assertEqual(limit, proxy.executor.most_running)


class MemberTests(unittest.TestCase):
    """The members are lost, and the addresses of the settings are tried again."""

    def test_only_members_are_asked(self) -> None:
        """Guard against a confirmation by a process of another system."""
        member, clock, client = ADDRESSES[0], ManualClock(100.0), mock.Mock()
        client.get.side_effect = PeerUnreachableError("no answer")
        peers = ControlPeers(ADDRESSES)
        peers.adopt([MemberMessage(address=str(member), failure_domain="zone-a")])
        peers.record_failure(member)
        self.assertEqual(set(ADDRESSES), set(peers.addresses))
        views = ViewStore("zone-a", clock)
        confirmation = ViewConfirmation(views, peers, cast(JsonClient, client), clock)
        self.addCleanup(confirmation.unload)
        self.assertFalse(confirmation.confirm())
        self.assertEqual([member], [one.args[0] for one in client.get.call_args_list])
