"""Tests of what a proxy knows of its neighbours."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_sharing import Neighbour, ProxyDirectory, ServerLimits
from dogwoodspool_sharing.const import NEIGHBOUR_LIFE_SECONDS, OWNER_RETRY_SECONDS

from .test_ownership import neighbours

OWN = Neighbour("own", "10.0.0.250:7440")
DOMAINS = 3
LIMITS = ServerLimits(slots=3, connections=35)
GROUPS = [f"g{n}" for n in range(4)]


class ProxyDirectoryTests(unittest.TestCase):
    """Who owns a group's pools follows from the neighbours that are known."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = ProxyDirectory(OWN, DOMAINS, self.clock)
        self.directory.set_groups(dict.fromkeys(GROUPS, LIMITS))

    def owners(self, group: str = "g1") -> list[str]:
        found = self.directory.owners(group)
        assert found is not None
        return [one.name for one in found]

    def foreign_group(self) -> str:
        """Return a group that this process does not own."""
        return next(one for one in GROUPS if self.directory.owners(one) is not None)

    def test_a_proxy_that_knows_of_few_others_uses_its_own_pools(self) -> None:
        self.assertIsNone(self.directory.owners("g1"))
        self.directory.adopt(neighbours(2))
        self.assertIsNone(self.directory.owners("g1"))

    def test_many_neighbours_share_pools(self) -> None:
        self.directory.adopt(neighbours(23))
        self.assertEqual(len(self.owners(self.foreign_group())), 2)

    def test_an_owner_uses_its_own_pools(self) -> None:
        self.directory.adopt(neighbours(7))
        shared = [one for one in GROUPS if self.directory.owners(one) is not None]
        self.assertEqual(len(shared), 3)

    def test_groups_of_which_nothing_is_known_are_not_shared(self) -> None:
        self.directory.adopt(neighbours(23))
        self.assertIsNone(self.directory.owners("g99"))

    def test_an_owner_that_failed_is_passed_over_for_a_while(self) -> None:
        self.directory.adopt(neighbours(23))
        group = self.foreign_group()
        first, second = self.owners(group)
        self.directory.record_owner_failure(first)
        self.assertEqual(self.owners(group), [second])
        self.directory.record_owner_failure(second)
        self.assertEqual(self.owners(group), [])
        self.clock.advance(OWNER_RETRY_SECONDS)
        self.assertEqual(self.owners(group), [first, second])

    def test_a_control_process_that_has_just_started_takes_no_owner_away(self) -> None:
        """Guard against owners that all change with each restart of control."""
        self.directory.adopt(neighbours(23))
        group = self.foreign_group()
        before = self.owners(group)
        self.directory.adopt([OWN])
        self.clock.advance(NEIGHBOUR_LIFE_SECONDS / 2)
        self.directory.adopt(neighbours(2))
        self.assertEqual(self.owners(group), before)
        self.assertEqual(self.directory.count, 24)

    def test_a_neighbour_that_is_named_no_more_goes_in_the_end(self) -> None:
        self.directory.adopt(neighbours(23))
        self.directory.adopt(neighbours(20))
        self.clock.advance(NEIGHBOUR_LIFE_SECONDS)
        self.directory.adopt(neighbours(20))
        self.assertEqual(self.directory.count, 21)

    def test_neighbours_stay_known_while_control_is_silent(self) -> None:
        """Guard against a domain cut off for hours that loses its owners."""
        self.directory.adopt(neighbours(23))
        self.clock.advance(3_600)
        self.assertEqual(self.directory.count, 24)
        self.directory.adopt(neighbours(22))
        self.assertEqual(self.directory.count, 24)
