"""Tests of the choice of a group's owners."""

import unittest
from collections import Counter

from dogwoodspool_sharing import Neighbour
from dogwoodspool_sharing.ownership import (
    choose_owners,
    is_scarce,
    order_for,
    owner_count,
)


def neighbours(count: int) -> list[Neighbour]:
    """Return the proxies of a failure domain."""
    return [Neighbour(f"p{n}", f"10.0.0.{n}:7440") for n in range(count)]


class ScarcityTests(unittest.TestCase):
    """Few proxies keep pools of their own; many share some."""

    def test_each_proxy_needs_two_connections_for_a_pool_of_its_own(self) -> None:
        self.assertFalse(is_scarce(connections=18, proxies=9))
        self.assertTrue(is_scarce(connections=17, proxies=9))

    def test_owners_are_at_least_two_and_follow_from_the_connections(self) -> None:
        self.assertEqual(owner_count(connections=5, failure_domains=6), 2)
        self.assertEqual(owner_count(connections=117, failure_domains=6), 3)
        self.assertEqual(owner_count(connections=2_000, failure_domains=6), 55)


class OwnerChoiceTests(unittest.TestCase):
    """Proxies come to the same owners without asking each other."""

    def test_the_order_in_which_neighbours_are_known_does_not_matter(self) -> None:
        known = neighbours(32)
        self.assertEqual(
            choose_owners("g1", known, 3), choose_owners("g1", reversed(known), 3)
        )

    def test_a_lost_owner_moves_no_other(self) -> None:
        known = neighbours(32)
        before = choose_owners("g1", known, 3)
        left = [one for one in known if one != before[1]]
        after = choose_owners("g1", left, 3)
        self.assertEqual(after[:2], [before[0], before[2]])

    def test_groups_are_spread_over_the_proxies(self) -> None:
        known = neighbours(32)
        owned = Counter(
            one.name for n in range(320) for one in choose_owners(f"g{n}", known, 3)
        )
        self.assertEqual(len(owned), 32)
        self.assertLess(max(owned.values()), 60)

    def test_proxies_begin_at_different_owners(self) -> None:
        owners = choose_owners("g1", neighbours(32), 3)
        first = Counter(order_for(f"p{n}", "g1", owners)[0].name for n in range(300))
        self.assertEqual(len(first), 3)
        self.assertGreater(min(first.values()), 60)

    def test_each_proxy_turns_to_all_owners(self) -> None:
        owners = choose_owners("g1", neighbours(32), 3)
        self.assertCountEqual(order_for("p9", "g1", owners), owners)
        self.assertEqual(order_for("p9", "g1", []), [])
