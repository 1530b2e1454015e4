"""Tests of the polls for control's state while the group's members are replaced.

Members that were lost remain listed for two minutes, and a voter that is cut off from
the others keeps answering with the members that it knows. Each case tolerates one lost
or cut-off control process at a time: all the while two voters of three run, and the
proxy reaches them.
"""

import itertools
import unittest
from typing import Final

from dogwoodspool_common import Address

from .control_processes import FollowingProxy, Kind

# Seconds within which a change has to be in force at a proxy that reaches control.
BOUND: Final = 3.0
GIVE_UP_SECONDS: Final = 30.0
# Times in seconds, from a cut that separates the leader and a learner from the other
# voters, until which each of the two claims to be in contact with the leader, and until
# another leader acknowledges changes.
LEADER_CLAIMS: Final = 0.6
LEARNER_CLAIMS: Final = 1.45
NEXT_LEADER: Final = 0.75


def orders(kinds: list[Kind]) -> list[tuple[Kind, ...]]:
    """Return all orders in which a proxy may prefer these processes."""
    return sorted(set(itertools.permutations(kinds)))


class OutdatedMemberListTests(unittest.TestCase):
    """A voter is cut off from the others, but not from the proxy."""

    def test_list_of_a_cut_off_voter_hides_the_members_that_replaced_the_others(
        self,
    ) -> None:
        """Guard against a proxy that never asks the present voters again."""
        kinds = [Kind.NOT_CURRENT, Kind.SILENT, Kind.SILENT, Kind.LIVE, Kind.LIVE]
        proxy = FollowingProxy(kinds)
        cut_off, *others = proxy.addresses
        proxy.control.processes[cut_off].members = [cut_off, *others[:2]]
        proxy.control.changed_at = proxy.clock.now()
        self.assertLess(
            proxy.seconds_until(2, GIVE_UP_SECONDS, reports=True), GIVE_UP_SECONDS
        )

    def test_list_of_a_cut_off_voter_is_not_adopted(self) -> None:
        """Guard against the list itself, whatever a later search makes of it.

        The other tests of this class pass with the list adopted: the initial addresses
        are those of all processes, and they are asked after an unanswered round.
        """
        proxy = FollowingProxy([Kind.NOT_CURRENT, Kind.LIVE, Kind.LIVE])
        known = proxy.peers.addresses
        cut_off = proxy.addresses[0]
        former = Address("10.0.0.1", 99)
        proxy.control.processes[cut_off].members = [cut_off, former]
        proxy.step()
        self.assertEqual(proxy.control.polls[-1][0], cut_off)
        self.assertEqual(proxy.peers.addresses, known)

    def test_list_of_a_cut_off_voter_restarts_the_search(self) -> None:
        """Guard against polls of all lost members before each poll of a live one."""
        for lost in range(4):
            kinds = [Kind.NOT_CURRENT, Kind.LIVE, Kind.LIVE] + [Kind.SILENT] * lost
            with self.subTest(lost=lost):
                longest = max(map(self.longest_gap, orders(kinds)))
                self.assertLess(longest, BOUND)

    def longest_gap(self, kinds: tuple[Kind, ...]) -> float:
        """Return the longest time between two polls of live processes."""
        proxy = FollowingProxy(list(kinds))
        cut_off = proxy.addresses[kinds.index(Kind.NOT_CURRENT)]
        joined = proxy.addresses[kinds.index(Kind.LIVE)]
        known = [one for one in proxy.addresses if one != joined]
        proxy.control.processes[cut_off].members = known
        ended_at: float | None = None
        longest = 0.0
        for _ in range(60):
            proxy.step()
            address, started_at, end = proxy.control.polls[-1]
            if proxy.control.kind_at(address, started_at) is Kind.LIVE:
                if ended_at is not None:
                    longest = max(longest, started_at - ended_at)
                ended_at = end
        return longest


class LostMemberTests(unittest.TestCase):
    """The polled process loses power while lost members are still listed."""

    def test_loss_beside_listed_lost_members(self) -> None:
        """Guard against one connect timeout for each lost member that is listed."""
        for lost in range(4):
            with self.subTest(lost=lost):
                self.assertLess(self.longest_delay(lost, open_connections=0), BOUND)

    def test_loss_beside_open_connections_to_lost_members(self) -> None:
        """Guard against whole poll timeouts on connections kept to lost members."""
        for lost in range(1, 4):
            with self.subTest(lost=lost):
                self.assertLess(self.longest_delay(lost, open_connections=1), BOUND)

    def longest_delay(self, lost: int, open_connections: int) -> float:
        """Return the longest time from a loss until a change just after it arrives."""
        kinds = [Kind.LIVE] * 3 + [Kind.SILENT] * lost
        return max(
            self.delay(order, place, open_connections)
            for order in orders(kinds)
            for place, kind in enumerate(order)
            if kind is Kind.LIVE
        )

    def delay(
        self, kinds: tuple[Kind, ...], place: int, open_connections: int
    ) -> float:
        proxy = FollowingProxy(list(kinds))
        proxy.select(place)
        for address, kind in zip(proxy.addresses, kinds, strict=True):
            if kind is Kind.SILENT:
                process = proxy.control.processes[address]
                process.open_connections = open_connections
        polled = proxy.control.processes[proxy.addresses[place]]
        polled.until = proxy.control.changed_at = proxy.clock.now()
        polled.later, polled.open_connections = Kind.SILENT, 1
        return proxy.seconds_until(2, GIVE_UP_SECONDS, reports=True)


class DeposedLeaderTests(unittest.TestCase):
    """A leader and a learner are cut off from the voters that elect another leader."""

    def test_learner_beside_a_deposed_leader_claims_to_be_up_to_date(self) -> None:
        """Guard against polls held by a learner that follows a deposed leader."""
        for lost in range(4):
            with self.subTest(lost=lost):
                self.assertLess(self.longest_delay(lost), BOUND)

    def longest_delay(self, lost: int) -> float:
        """Return the longest time from an acknowledgement until the change arrives."""
        longest = 0.0
        others = [Kind.BEHIND, Kind.LIVE, Kind.LIVE] + [Kind.SILENT] * lost
        for order, phase in itertools.product(orders(others), range(10)):
            proxy = FollowingProxy([Kind.BEHIND, *order])
            learner = proxy.addresses[0]
            leader = proxy.addresses[1 + order.index(Kind.BEHIND)]
            cut_at = proxy.clock.now() + phase / 10
            for address, claims in ((learner, LEARNER_CLAIMS), (leader, LEADER_CLAIMS)):
                process = proxy.control.processes[address]
                process.until, process.later = cut_at + claims, Kind.NOT_CURRENT
            proxy.control.changed_at = cut_at + NEXT_LEADER
            delay = proxy.seconds_until(2, GIVE_UP_SECONDS, reports=True)
            longest = max(longest, delay)
        return longest


class LostAddressesTests(unittest.TestCase):
    """A proxy is cut off while all members that it knows are replaced."""

    def test_addresses_of_the_settings_are_asked_when_all_members_are_lost(
        self,
    ) -> None:
        """Guard against a proxy that never asks the processes of its settings again."""
        proxy = FollowingProxy([Kind.LIVE, Kind.LIVE, Kind.LIVE])
        seed, *members = proxy.addresses
        proxy.control.members = list(members)
        proxy.step()
        lost_at = proxy.control.changed_at = proxy.clock.now()
        for address in members:
            process = proxy.control.processes[address]
            process.until, process.later = lost_at, Kind.SILENT
        self.assertLess(
            proxy.seconds_until(2, GIVE_UP_SECONDS, reports=False), GIVE_UP_SECONDS
        )
