"""Tests of which heartbeats are accepted and what they change."""

import unittest

from dogwoodspool_common import Role
from dogwoodspool_control.commands import RemoveServer, RetireServer
from dogwoodspool_failover.models import Heartbeat

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
        self.voter.heartbeat(self.s3, 1, is_leaving=True)
        self.assertEqual(self.recorded(), (1, True, False))

    def test_heartbeats_of_a_retired_server_change_nothing(self) -> None:
        """Guard against an entry in the log for each heartbeat."""
        self.voter.heartbeat(self.s3, 1, is_leaving=True)
        self.voter.commit(RetireServer("s3", 1))
        self.assertEqual(self.voter.heartbeat(self.s3, 2, is_leaving=True), [])
        self.assertTrue(self.voter.state.servers["s3"].is_retired)

    def test_repeated_call_is_committed_if_the_first_was_not(self) -> None:
        """Guard against an announcement of leaving that is acknowledged and lost."""
        heartbeat = Heartbeat(self.s3.described(is_leaving=True), 5, self.s3.role)
        refused = self.voter.heartbeats.record(heartbeat)
        self.assertEqual(len(refused), 1)
        for command in self.voter.heartbeats.record(heartbeat):
            self.voter.node.propose(command)
        self.assertEqual(self.recorded(), (1, True, False))
        self.assertEqual(self.voter.heartbeats.record(heartbeat), [])

    def test_delayed_heartbeat_does_not_undo_leaving(self) -> None:
        # A network partition delayed a heartbeat with the status "ready". It arrives
        # after the one that announced that the server is leaving.
        self.voter.heartbeat(self.s3, 5, is_leaving=True)
        self.assertEqual(self.voter.heartbeat(self.s3, 4), [])
        self.assertEqual(self.voter.heartbeat(self.s3, 6), [])
        self.assertEqual(self.recorded(), (1, True, False))

    def test_a_restarted_server_is_another_process(self) -> None:
        self.voter.heartbeat(self.s3, 5, is_leaving=True)
        self.s3.incarnation = 2
        self.voter.heartbeat(self.s3, 1)
        self.assertEqual(self.recorded(), (2, False, False))
        self.s3.incarnation = 1
        self.voter.heartbeat(self.s3, 9)
        self.assertEqual(self.recorded(), (2, False, False))

    def test_address_belongs_to_the_newer_process(self) -> None:
        address = self.s3.described().address
        newcomer = FakeServer("s9", incarnation=5)
        self.voter.heartbeat(newcomer, 1, address=address)
        self.assertEqual(self.recorded(), (1, True, True))
        self.assertEqual(self.voter.heartbeat(self.s3, 99), [])
        self.assertEqual(self.recorded("s9"), (5, False, False))

    def test_a_removed_server_is_not_recorded_again(self) -> None:
        for command in self.voter.heartbeats.end("s3", 1):
            self.voter.commit(command)
        self.voter.commit(RemoveServer("s3"))
        self.assertEqual(self.voter.heartbeat(self.s3, 50), [])
        self.assertNotIn("s3", self.voter.state.servers)

    def test_late_end_message_does_not_end_the_next_process(self) -> None:
        # A server ends and restarts under the same id. The end message of the first
        # process is delayed and arrives while the second one serves.
        self.assertEqual(self.voter.heartbeats.end("s3"), [])
        self.s3.incarnation = 2
        self.voter.heartbeat(self.s3, 1)
        self.assertEqual(self.voter.heartbeats.end("s3", 1), [])
        self.voter.heartbeat(self.s3, 2, is_leaving=True)
        self.assertEqual(len(self.voter.heartbeats.end("s3")), 1)

    def test_server_without_start_time_may_restart_its_sequence(self) -> None:
        unstated = FakeServer("s8", incarnation=0)
        self.voter.heartbeat(unstated, 40)
        self.voter.heartbeat(unstated, 1, role=Role.PRIMARY)
        self.assertIs(self.voter.heartbeats.role(unstated.described()), Role.REPLICA)
        self.voter.heartbeat(unstated, 2, role=Role.PRIMARY)
        self.assertIs(self.voter.heartbeats.role(unstated.described()), Role.PRIMARY)

    def test_role_is_valid_for_its_own_process_only(self) -> None:
        self.voter.heartbeat(self.s3, 1, role=Role.PRIMARY)
        described = self.s3.described()
        self.assertIs(self.voter.heartbeats.role(described), Role.PRIMARY)
        self.s3.incarnation = 2
        self.assertIsNone(self.voter.heartbeats.role(self.s3.described()))
