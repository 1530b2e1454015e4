"""Tests of heartbeats: which ones count, and what they change."""

import unittest

from dogwoodspool_common import Role
from dogwoodspool_control.commands import RemoveServer

from .fakes import FakeServer, Voter


class HeartbeatTests(unittest.TestCase):
    """Late and repeated heartbeats change nothing."""

    def setUp(self) -> None:
        self.voter = Voter()
        self.s3 = self.voter.group.servers["s3"]

    def recorded(self, name: str = "s3") -> tuple[int, bool, bool]:
        server = self.voter.state.servers[name]
        return server.incarnation, server.is_leaving, server.is_gone

    def test_leaving_is_committed_with_the_heartbeat(self) -> None:
        self.voter.beat(self.s3, 1, is_leaving=True)
        self.assertEqual(self.recorded(), (1, True, False))

    def test_an_earlier_heartbeat_does_not_bring_it_back(self) -> None:
        # A partition held back a heartbeat that said "ready". It arrives after
        # the one that said the server leaves.
        self.voter.beat(self.s3, 5, is_leaving=True)
        self.assertEqual(self.voter.beat(self.s3, 4), [])
        self.assertEqual(self.voter.beat(self.s3, 6), [])
        self.assertEqual(self.recorded(), (1, True, False))

    def test_a_restarted_server_is_another_process(self) -> None:
        self.voter.beat(self.s3, 5, is_leaving=True)
        self.s3.incarnation = 2
        self.voter.beat(self.s3, 1)
        self.assertEqual(self.recorded(), (2, False, False))
        self.s3.incarnation = 1
        self.voter.beat(self.s3, 9)
        self.assertEqual(self.recorded(), (2, False, False))

    def test_an_address_belongs_to_the_later_process(self) -> None:
        address = self.s3.described().address
        newcomer = FakeServer("s9", incarnation=5)
        self.voter.beat(newcomer, 1, address=address)
        self.assertEqual(self.recorded(), (1, True, True))
        self.assertEqual(self.voter.beat(self.s3, 99), [])
        self.assertEqual(self.recorded("s9"), (5, False, False))

    def test_a_removed_server_is_not_recorded_again(self) -> None:
        for command in self.voter.heartbeats.end("s3", 1):
            self.voter.commit(command)
        self.voter.commit(RemoveServer("s3"))
        self.assertEqual(self.voter.beat(self.s3, 50), [])
        self.assertNotIn("s3", self.voter.state.servers)

    def test_a_late_goodbye_does_not_end_the_process_after_it(self) -> None:
        # A server ends and starts again under its id. The goodbye of the first
        # process was held up and arrives while the second one serves.
        self.assertEqual(self.voter.heartbeats.end("s3"), [])
        self.s3.incarnation = 2
        self.voter.beat(self.s3, 1)
        self.assertEqual(self.voter.heartbeats.end("s3", 1), [])
        self.voter.beat(self.s3, 2, is_leaving=True)
        self.assertEqual(len(self.voter.heartbeats.end("s3")), 1)

    def test_a_server_that_does_not_state_its_start_may_count_anew(self) -> None:
        unstated = FakeServer("s8", incarnation=0)
        self.voter.beat(unstated, 40)
        self.voter.beat(unstated, 1, role=Role.PRIMARY)
        self.assertIs(self.voter.heartbeats.role(unstated.described()), Role.REPLICA)
        self.voter.beat(unstated, 2, role=Role.PRIMARY)
        self.assertIs(self.voter.heartbeats.role(unstated.described()), Role.PRIMARY)

    def test_a_role_counts_for_its_own_process_only(self) -> None:
        self.voter.beat(self.s3, 1, role=Role.PRIMARY)
        described = self.s3.described()
        self.assertIs(self.voter.heartbeats.role(described), Role.PRIMARY)
        self.s3.incarnation = 2
        self.assertIsNone(self.voter.heartbeats.role(self.s3.described()))
