"""Tests of a proxy's directory of neighbours."""

import unittest

from dogwoodspool_common import ManualClock
from dogwoodspool_sharing import (
    ConnectionPart,
    Neighbour,
    PoolRole,
    ProxyDirectory,
    ServerLimits,
)
from dogwoodspool_sharing.const import (
    CLOSE_ROOM,
    MAX_CONNECTIONS_OUTSIDE,
    NEIGHBOUR_RETENTION_SECONDS,
    OWNER_RETRY_SECONDS,
    TAKEOVER_REQUESTS,
    TAKEOVER_SECONDS,
)

from .test_ownership import neighbours

OWN = Neighbour("own", "10.0.0.250:7440")
DOMAINS = 3
LIMITS = ServerLimits(slots=3, connections=35)
GROUPS = [f"g{n}" for n in range(4)]


class ProxyDirectoryTests(unittest.TestCase):
    """The owners of a group's pools depend on the known neighbours."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = ProxyDirectory(OWN, DOMAINS, self.clock)
        self.directory.set_groups(dict.fromkeys(GROUPS, LIMITS))

    def owners(self, group: str = "g1") -> list[str]:
        found = self.directory.owners(group)
        assert found is not None
        return [owner.name for owner in found]

    def group_of_others(self) -> str:
        """Return a group that this process does not own."""
        return next(
            group for group in GROUPS if self.directory.owners(group) is not None
        )

    def test_a_proxy_that_knows_of_few_others_uses_its_own_pools(self) -> None:
        self.assertIsNone(self.directory.owners("g1"))
        self.directory.adopt(neighbours(2))
        self.assertIsNone(self.directory.owners("g1"))

    def test_many_neighbours_share_pools(self) -> None:
        self.directory.adopt(neighbours(23))
        self.assertEqual(len(self.owners(self.group_of_others())), 2)

    def test_an_owner_uses_its_own_pools(self) -> None:
        self.directory.adopt(neighbours(3))
        shared = [group for group in GROUPS if self.directory.owners(group) is not None]
        self.assertEqual(len(shared), 3)

    def parts(self, domains: int, limits: ServerLimits) -> dict[str, ConnectionPart]:
        """Return the part of each proxy of one of several equal failure domains."""
        available = limits.connections - 2
        found = {}
        for own in neighbours(24):
            directory = ProxyDirectory(own, domains, self.clock)
            directory.adopt(neighbours(24))
            directory.set_groups({"g1": limits})
            part = directory.connection_part("g1", available)
            assert part is not None
            found[own.name] = part
        return found

    def test_all_parts_fit_a_server_and_use_all_its_connections(self) -> None:
        """Guard against servers that refuse connections or have some left over.

        Owners in reserve and proxies that serve their own callers were not counted.
        """
        for slots, connections in ((3, 35), (3, 166), (4, 56), (5, 70), (6, 53)):
            for domains in (1, 2, 3, 4, 5, 6):
                with self.subTest(slots=slots, domains=domains):
                    limits = ServerLimits(slots, connections)
                    parts = self.parts(domains, limits).values()
                    held = sum(one.connections * one.turn_share for one in parts)
                    owners = [one for one in parts if one.role is PoolRole.OWNER]
                    self.assertLessEqual(held * domains, connections - 2)
                    # Half of those that are taken in turns, the room for closes, and
                    # what an equal division leaves over, stay free.
                    left = connections - 2 - held * domains
                    room = (CLOSE_ROOM + 1) * len(owners) * domains
                    self.assertLess(left, MAX_CONNECTIONS_OUTSIDE / 2 + room)

    def test_a_reserve_owner_takes_over_the_part_of_a_lost_owner(self) -> None:
        parts = self.parts(DOMAINS, LIMITS)
        by_role = {part.role: name for name, part in parts.items()}
        own = Neighbour(by_role[PoolRole.RESERVE], "10.0.0.1:7440")
        directory = ProxyDirectory(own, DOMAINS, self.clock)
        directory.adopt(neighbours(24))
        directory.set_groups({"g1": LIMITS})
        self.assertEqual(directory.connection_part("g1", 33), parts[own.name])
        directory.record_owner_failure(by_role[PoolRole.OWNER])
        in_use = parts[by_role[PoolRole.OWNER]]
        self.assertEqual(directory.connection_part("g1", 33), in_use)
        self.clock.advance(TAKEOVER_SECONDS)
        self.assertEqual(directory.connection_part("g1", 33), parts[own.name])

    def test_a_reserve_owner_that_is_often_asked_takes_over(self) -> None:
        """Guard against one connection for all requests of a large failure domain."""
        parts = self.parts(DOMAINS, LIMITS)
        by_role = {part.role: name for name, part in parts.items()}
        own = Neighbour(by_role[PoolRole.RESERVE], "10.0.0.1:7440")
        directory = ProxyDirectory(own, DOMAINS, self.clock)
        directory.adopt(neighbours(24))
        directory.set_groups({"g1": LIMITS})
        for _ in range(TAKEOVER_REQUESTS):
            self.assertEqual(directory.connection_part("g1", 33), parts[own.name])
            directory.record_neighbour_request("g1")
        in_use = parts[by_role[PoolRole.OWNER]]
        self.assertEqual(directory.connection_part("g1", 33), in_use)

    def test_a_leaving_owner_hands_its_part_and_its_requests_on(self) -> None:
        """Guard against two owners with the same connections while one drains."""
        parts = self.parts(DOMAINS, LIMITS)
        by_role = {part.role: name for name, part in parts.items()}
        known = {one.name: one for one in neighbours(24)}
        directory = ProxyDirectory(known[by_role[PoolRole.OWNER]], DOMAINS, self.clock)
        directory.adopt(known.values())
        directory.set_groups({"g1": LIMITS})
        self.assertIsNone(directory.owners("g1"))
        directory.leave()
        reserve = by_role[PoolRole.RESERVE]
        for account in ("", "shop"):
            owners = directory.owners("g1", account)
            self.assertEqual([one.name for one in owners or ()], [reserve])
        self.assertEqual(directory.connection_part("g1", 33), parts[reserve])

    def test_other_proxies_take_turns_whatever_their_number(self) -> None:
        """Guard against thousands of proxies that all connect to one server."""
        for proxies in (24, 80, 194, 4_100):
            directory = ProxyDirectory(OWN, DOMAINS, self.clock)
            directory.adopt(neighbours(proxies // DOMAINS))
            directory.set_groups(dict.fromkeys(GROUPS, LIMITS))
            part = next(
                part
                for part in (directory.connection_part(one, 33) for one in GROUPS)
                if part is not None and part.role is PoolRole.OUTSIDE
            )
            self.assertEqual(part.connections, 1)
            self.assertLess(part.turn_share * proxies, MAX_CONNECTIONS_OUTSIDE)

    def test_pools_that_are_not_shared_have_no_parts(self) -> None:
        self.directory.adopt(neighbours(2))
        self.assertIsNone(self.directory.connection_part("g1", 33))
        self.assertIsNone(self.directory.connection_part("g99", 33))

    def test_requests_of_an_account_go_to_one_owner(self) -> None:
        limits = ServerLimits(slots=12, connections=300)
        known = neighbours(23)
        firsts = set()
        for own in known[:8]:
            directory = ProxyDirectory(own, DOMAINS, self.clock)
            directory.adopt(known)
            directory.set_groups({"g1": limits})
            found = directory.owners("g1", "shop")
            firsts.add(found[0].name if found else own.name)
        self.assertEqual(len(firsts), 1)

    def test_accounts_are_spread_over_the_owners(self) -> None:
        self.directory.adopt(neighbours(23))
        self.directory.set_groups({"g1": ServerLimits(slots=12, connections=300)})
        firsts = set()
        for number in range(40):
            found = self.directory.owners("g1", f"a{number}")
            firsts.add(found[0].name if found else OWN.name)
        self.assertEqual(len(firsts), 6)

    def test_unknown_groups_are_not_shared(self) -> None:
        self.directory.adopt(neighbours(23))
        self.assertIsNone(self.directory.owners("g99"))

    def test_an_owner_that_failed_is_skipped_for_the_retry_time(self) -> None:
        self.directory.adopt(neighbours(23))
        group = self.group_of_others()
        first, second = self.owners(group)
        self.directory.record_owner_failure(first)
        self.assertEqual(self.owners(group), [second])
        self.directory.record_owner_failure(second)
        self.assertEqual(self.owners(group), [])
        self.clock.advance(OWNER_RETRY_SECONDS)
        self.assertEqual(self.owners(group), [first, second])

    def test_a_restarted_control_process_changes_no_owner(self) -> None:
        """Guard against owners that all change with each restart of control."""
        self.directory.adopt(neighbours(23))
        group = self.group_of_others()
        before = self.owners(group)
        self.directory.adopt([OWN])
        self.clock.advance(NEIGHBOUR_RETENTION_SECONDS / 2)
        self.directory.adopt(neighbours(2))
        self.assertEqual(self.owners(group), before)
        self.assertEqual(self.directory.count, 24)

    def test_an_unreported_neighbour_is_removed_after_the_retention(self) -> None:
        self.directory.adopt(neighbours(23))
        self.directory.adopt(neighbours(20))
        self.clock.advance(NEIGHBOUR_RETENTION_SECONDS)
        self.directory.adopt(neighbours(20))
        self.assertEqual(self.directory.count, 21)

    def test_neighbours_are_kept_while_control_does_not_answer(self) -> None:
        """Guard against lost owners in a domain that is disconnected for hours."""
        self.directory.adopt(neighbours(23))
        self.clock.advance(3_600)
        self.assertEqual(self.directory.count, 24)
        self.directory.adopt(neighbours(22))
        self.assertEqual(self.directory.count, 24)
