"""Tests of how the connections to a primary are divided among owners."""

import itertools
import unittest

from dogwoodspool_sharing import ServerLimits
from dogwoodspool_sharing.ownership import owner_count, primary_parts


class PrimaryPartsTests(unittest.TestCase):
    """The parts of all owners fit in what the server accepts."""

    def test_all_parts_add_up_to_no_more_than_the_server_accepts(self) -> None:
        """Guard against connections that a server refuses when all parts are used."""
        slots, connections, domains = (2, 4, 6, 64), (5, 35, 53, 56, 2_000), (1, 3, 6)
        for one in itertools.product(slots, connections, domains):
            owners = owner_count(ServerLimits(one[0], one[1]), one[2])
            parts = primary_parts(one[1], owners, one[2])
            others = owners * (one[2] - 1)
            total = owners * parts.near + others * parts.elsewhere
            self.assertLessEqual(total, one[1], one)

    def test_owners_near_the_primary_hold_most(self) -> None:
        for slots, connections, domains in ((6, 53, 3), (4, 56, 4)):
            owners = owner_count(ServerLimits(slots, connections), domains)
            parts = primary_parts(connections, owners, domains)
            self.assertGreater(owners * parts.near, 0.7 * connections)
            self.assertEqual(parts.elsewhere, 2)
