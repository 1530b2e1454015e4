"""Tests of the membership of backend servers."""

import unittest
from dataclasses import replace

from dogwoodspool_api import Announcement, PositionMessage
from dogwoodspool_common import (
    BackendServer,
    ManualClock,
    Position,
    Role,
    ServerStatus,
)
from dogwoodspool_control.commands import (
    BootstrapGroup,
    RecordServer,
    RemoveServer,
    RetireServer,
)
from dogwoodspool_control.const import OUTDATED_RECORD_SECONDS
from dogwoodspool_control.membership.membership import Membership
from dogwoodspool_control.promotion.server_observations import ServerObservations

from ..fakes import GROUP, FakeLog, Voter, observation, populate, renewal, server


def announcement(announced: BackendServer, role: Role = Role.REPLICA) -> Announcement:
    """Return the announcement of a server."""
    return Announcement(
        server=announced.name,
        group=announced.group,
        failure_domain=announced.failure_domain,
        address=str(announced.address),
        role=role,
        position=PositionMessage(term=4, offset=7),
        slots=announced.slots,
        connections=announced.connections,
        is_leaving=announced.is_leaving,
    )


class MembershipTests(unittest.TestCase):
    """Commands derived from the renewals of proxies."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.voter = Voter(self.clock, FakeLog())
        self.voter.lead(term=1)
        self.server_observations = ServerObservations(self.clock)
        self.membership = Membership(
            self.clock, self.voter.state, self.server_observations
        )

    def announce(self, proxy: str, *announced: BackendServer) -> None:
        messages = [announcement(one) for one in announced]
        self.server_observations.observe(renewal(proxy, announcements=messages))

    def test_primary_of_an_unknown_group_bootstraps_it(self) -> None:
        message = announcement(server("s1"), Role.PRIMARY)
        self.server_observations.observe(renewal("p1", announcements=[message]))
        self.assertEqual(
            self.membership.due_commands(),
            [RecordServer(server("s1")), BootstrapGroup(GROUP, 4, "s1")],
        )

    def test_leaving_server_is_recorded_immediately(self) -> None:
        populate(self.voter, {"p1": "fd1"})
        leaving = server("s2", "fd2", is_leaving=True)
        self.announce("p1", server("s2", "fd2"))
        self.announce("p1", leaving)
        self.assertEqual(self.membership.due_commands(), [RecordServer(leaving)])

    def test_retired_server_announces_itself(self) -> None:
        """Guard against a record that changes with each announcement."""
        populate(self.voter, {"p1": "fd1"})
        leaving = server("s2", "fd2", is_leaving=True)
        self.voter.commit(RecordServer(leaving))
        self.voter.commit(RetireServer("s2", 0))
        self.clock.advance(2 * OUTDATED_RECORD_SECONDS)
        self.announce("p1", leaving)
        self.assertEqual(self.membership.due_commands(), [])

    def test_alternating_announcements_do_not_change_the_record(self) -> None:
        """A server restarts with more slots; one proxy repeats its old announcement.

        Without the delay the record, and with it the view of every proxy, would
        change with each renewal.
        """
        populate(self.voter, {"p1": "fd1"})
        old = server("s2", "fd2")
        new = replace(old, slots=9)
        for _ in range(5):
            self.clock.advance(0.3)
            self.announce("p2", new)
            self.announce("p1", old)
            self.announce("p2", new)
            self.assertEqual(self.membership.due_commands(), [])
        self.clock.advance(1.0)
        self.announce("p2", new)
        self.assertEqual(self.membership.due_commands(), [RecordServer(new)])


class RemovalTests(unittest.TestCase):
    """Removal of servers that have become silent."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.voter = Voter(self.clock, FakeLog())
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1", "p2": "fd2", "p3": "fd3"})
        self.server_observations = ServerObservations(self.clock)
        self.membership = Membership(
            self.clock, self.voter.state, self.server_observations
        )

    def run_for(
        self, seconds: int, proxies: str, offsets: dict[str, int]
    ) -> list[object]:
        due: list[object] = []
        for _ in range(seconds * 2):
            self.clock.advance(0.5)
            for proxy in proxies.split():
                observations = [
                    observation(
                        name,
                        status=ServerStatus(
                            name,
                            Role.PRIMARY if name == "s1" else Role.REPLICA,
                            Position(1, offset),
                            0.0,
                            False,
                        ),
                    )
                    for name, offset in offsets.items()
                ]
                domain = f"fd{proxy[1:]}"
                self.server_observations.observe(
                    renewal(proxy, domain, observations=observations)
                )
            due = list(self.membership.due_commands())
        return due

    def test_silent_replica_is_removed(self) -> None:
        offsets = {"s1": 9, "s3": 9}
        self.assertEqual(self.run_for(29, "p1 p2 p3", offsets), [])
        due = self.run_for(3, "p1 p2 p3", offsets)
        self.assertEqual(due, [RemoveServer("s2")])

    def test_only_replica_with_an_acknowledged_write_is_kept(self) -> None:
        """The only replica with an acknowledged write, s2, becomes silent.

        If it were removed, a promotion would query s3 only and lose the write.
        """
        due = self.run_for(40, "p1 p2 p3", {"s1": 9, "s3": 8})
        self.assertEqual(due, [])

    def test_servers_of_a_cut_off_domain_are_kept(self) -> None:
        due = self.run_for(40, "p1 p3", {"s1": 9, "s3": 9})
        self.assertEqual(due, [])

    def test_silent_primary_is_kept(self) -> None:
        due = self.run_for(40, "p1 p2 p3", {"s2": 9, "s3": 9})
        self.assertEqual(due, [])
