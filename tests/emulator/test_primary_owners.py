"""Emulations of owners that serve a primary for all failure domains."""

import unittest

from dogwoodspool_emulator import Outcomes
from dogwoodspool_emulator.models import Variant
from dogwoodspool_pooler.queue_orders import QueueOrderName

from .test_emulation import SHARED, make_scenario, run_emulation

NEAR = Variant(name="near", has_primary_owners=True, order=QueueOrderName.PRIORITY)


def run_lagging(variant: Variant, **changes: object) -> Outcomes:
    """Run a load that nearly fills the primaries while replicas lag."""
    trouble = {"kind": "lag", "at": 1.0, "lasts": 4.0, "factor": 500.0}
    scenario = make_scenario(
        seconds=5.0,
        per_second=330.0,
        distance_ms=4.4,
        troubles=[trouble],
        **changes,
    )
    return run_emulation(scenario, variant)


class PrimaryOwnersEmulationTests(unittest.TestCase):
    """One queue for a primary serves more than one in each failure domain."""

    def test_more_is_in_time_with_fewer_connections_opened(self) -> None:
        """Guard against a primary whose slots are idle while requests wait."""
        standing, near = run_lagging(SHARED), run_lagging(NEAR)
        self.assertGreater(near.served_share, standing.served_share)
        self.assertLess(near.connects_per_100, standing.connects_per_100)
        self.assertEqual(near.servers.refused_connects, 0)

    def test_requests_are_served_while_owners_are_lost(self) -> None:
        lost = {"kind": "lost_proxies", "at": 1.0, "lasts": 2.0, "share": 0.4}
        scenario = make_scenario(troubles=[lost], distance_ms=4.4)
        self.assertGreater(run_emulation(scenario, NEAR).served_share, 0.98)
