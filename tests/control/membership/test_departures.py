"""Tests of promotions for leaving primaries."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_control.commands import BeginPromotion, RecordServer
from dogwoodspool_control.const import DEPARTURE_RETRY_SECONDS
from dogwoodspool_control.membership.departures import Departures
from dogwoodspool_control.models import PromotionReason

from ..fakes import GROUP, FakeLog, Voter, populate, server


class DeparturesTests(unittest.TestCase):
    """Planned promotions begin for leaving primaries, with a pause between attempts."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.voter = Voter(self.clock, FakeLog())
        self.voter.lead(term=1)
        populate(self.voter, {"p1": "fd1"})
        self.departures = Departures(self.clock, self.voter.state)

    def due(self) -> list[BeginPromotion]:
        return list(self.departures.due_commands())

    def leave(self, name: str, failure_domain: str) -> None:
        leaving = server(name, failure_domain, is_leaving=True)
        self.voter.commit(RecordServer(leaving))

    def test_leaving_replica_begins_no_promotion(self) -> None:
        self.leave("s2", "fd2")
        self.assertEqual(self.due(), [])

    def test_leaving_primary_is_replaced_and_retried_after_a_pause(self) -> None:
        # An operator takes the primary's machine out of service. Without a
        # promotion every write would go there until the machine stops.
        self.leave("s1", "fd1")
        term = self.voter.state.groups[GROUP].term
        expected = [BeginPromotion(GROUP, term, PromotionReason.PLANNED)]
        self.assertEqual(self.due(), expected)
        self.assertEqual(self.due(), [])
        self.clock.advance(DEPARTURE_RETRY_SECONDS)
        self.assertEqual(self.due(), expected)

    def test_group_whose_servers_all_leave_keeps_its_primary(self) -> None:
        for name, failure_domain in (("s1", "fd1"), ("s2", "fd2"), ("s3", "fd3")):
            self.leave(name, failure_domain)
        self.assertEqual(self.due(), [])
