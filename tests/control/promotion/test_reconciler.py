"""Tests of servers that are redirected to their group's primary."""

import unittest
from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_common import ManualClock, Position, Role, ServerStatus
from dogwoodspool_control.commands import (
    BeginPromotion,
    ChoosePrimary,
    EndPromotion,
)
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.promotion.reconciler import Reconciler
from dogwoodspool_control.promotion.server_observations import ServerObservations

from ..fakes import (
    GROUP,
    FakeLog,
    FakeServer,
    FakeServers,
    Voter,
    observation,
    populate,
    renewal,
)


class ReconcilerTests(unittest.TestCase):
    """The primary s1 was replaced by s2 at term 2."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.voter = Voter(self.clock, FakeLog())
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1"})
        self.voter.commit(BeginPromotion(GROUP, 1, PromotionReason.FAILED))
        self.voter.commit(ChoosePrimary(GROUP, 2, "s2", 5))
        self.servers = FakeServers(
            {name: FakeServer(Position(1, 5)) for name in ("s1", "s2", "s3")}
        )
        self.server_observations = ServerObservations(self.clock)

    def run_once(self) -> list[tuple[str, str, int]]:
        with ThreadPoolExecutor(2) as executor:
            Reconciler(
                self.clock,
                self.voter.state,
                self.server_observations,
                self.servers,
                executor,
            ).run()
        return sorted(self.servers.calls)

    def observe(self, name: str, role: Role, position: Position) -> None:
        status = ServerStatus(name, role, position, 0.0, False)
        seen = [observation(name, status=status)]
        self.server_observations.observe(renewal("p1", observations=seen))

    def test_returned_primary_and_outdated_replica_are_told_to_follow(self) -> None:
        """The old primary was cut off and still acts as primary when it returns.

        It serves outdated rows and accepts writes that no proxy acknowledges, until
        it is told to follow the new primary.
        """
        self.voter.commit(EndPromotion(GROUP, 2, 5))
        self.observe("s1", Role.PRIMARY, Position(1, 8))
        self.observe("s2", Role.PRIMARY, Position(2, 6))
        self.observe("s3", Role.REPLICA, Position(1, 5))
        self.assertEqual(self.run_once(), [("follow", "s1", 2), ("follow", "s3", 2)])

    def test_no_server_is_told_to_follow_during_a_promotion(self) -> None:
        self.observe("s1", Role.PRIMARY, Position(1, 8))
        self.assertEqual(self.run_once(), [])

    def test_replica_of_the_current_term_is_not_told_to_follow(self) -> None:
        self.voter.commit(EndPromotion(GROUP, 2, 5))
        self.observe("s3", Role.REPLICA, Position(2, 5))
        self.assertEqual(self.run_once(), [])
