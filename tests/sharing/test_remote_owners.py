"""Tests of the owners in the failure domains of primaries."""

import unittest
from unittest import mock

from dogwoodspool_common import ManualClock
from dogwoodspool_sharing import (
    Neighbour,
    Owners,
    PrimaryLocation,
    ProxyDirectory,
    RemoteOwners,
    ServerLimits,
)
from dogwoodspool_sharing.const import (
    MAX_FORWARDING_PROXIES,
    OWNER_RETRY_SECONDS,
    REMOTE_OWNERS_USE_SECONDS,
)

from .test_ownership import neighbours

OWN = Neighbour("own", "10.0.0.250:7440")
LIMITS = ServerLimits(slots=6, connections=53)
FIRST, SECOND, STANDBY, CONTACT = (
    Neighbour(name, f"{name}:7440") for name in ("r1", "r2", "r3", "r4")
)
OWNERS = Owners((FIRST, SECOND), (STANDBY,))


class RemoteOwnersTests(unittest.TestCase):
    """Requests for a primary elsewhere go to the owners there, if these are usable."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.directory = ProxyDirectory(OWN, 3, self.clock, uses_primary_owners=True)
        self.directory.set_groups({"g1": LIMITS, "g2": LIMITS})
        self.directory.adopt(neighbours(23))
        self.remote = RemoteOwners("own", "fd1", self.directory, self.clock)
        self.changes = 0
        self.remote.set_listener(self.count_change)
        self.move_primary("fd2")

    def count_change(self) -> None:
        self.changes += 1

    def move_primary(self, failure_domain: str) -> None:
        self.remote.set_primaries({"g1": PrimaryLocation("s1", failure_domain)})

    def follow(self) -> None:
        """Use the group and record its owners."""
        self.remote.owners("g1")
        self.adopt({"g1": OWNERS})
        self.clock.advance(0.01)

    def adopt(self, owners: dict[str, Owners] | None) -> None:
        self.remote.adopt("fd2", CONTACT, "digest", owners, [CONTACT])

    def names(self, account: str = "") -> list[str]:
        return [owner.name for owner in self.remote.owners("g1", account)]

    def fail_owner(self, name: str, *, is_unreachable: bool) -> None:
        asked_at = self.clock.now()
        self.clock.advance(0.15)
        self.remote.record_owner_failure(name, asked_at, is_unreachable=is_unreachable)

    def test_owners_are_requested_at_the_first_use(self) -> None:
        self.assertEqual(self.remote.wanted(), {})
        self.assertEqual((self.names(), self.names()), ([], []))
        self.assertEqual(self.changes, 1)
        self.assertEqual(self.remote.wanted(), {"fd2": ["g1"]})
        self.adopt({"g1": OWNERS})
        self.assertEqual(sorted(self.names()[:2]), ["r1", "r2"])
        self.assertEqual(self.names()[2], "r3")
        self.assertEqual(self.remote.confirmed_at("g1"), self.clock.now())

    def test_all_proxies_send_an_account_s_requests_to_one_owner(self) -> None:
        self.follow()
        other = RemoteOwners("other", "fd3", self.directory, self.clock)
        other.set_primaries({"g1": PrimaryLocation("s1", "fd2")})
        other.owners("g1")
        other.adopt("fd2", CONTACT, "digest", {"g1": OWNERS}, None)
        for account in ("a1", "a2", "a3", "a4"):
            expected = [owner.name for owner in other.owners("g1", account)]
            self.assertEqual(self.names(account), expected)

    def test_nothing_is_forwarded_where_it_does_not_apply(self) -> None:
        """Guard against new behaviour in deployments that are served well."""
        self.follow()
        self.assertNotEqual(self.names(), [])
        with mock.patch.object(self.directory, "_uses_primary_owners", new=False):
            self.assertEqual(self.names(), [])
        self.directory.adopt(neighbours(MAX_FORWARDING_PROXIES // 3 + 1))
        self.assertEqual(self.names(), [])
        self.directory.set_groups({})
        self.assertEqual(self.names(), [])
        self.move_primary("fd1")
        self.directory.set_groups({"g1": LIMITS})
        self.assertEqual(self.names(), [])

    def test_a_single_failure_domain_keeps_the_usual_shares(self) -> None:
        directory = ProxyDirectory(OWN, 1, self.clock, uses_primary_owners=True)
        directory.set_groups({"g1": LIMITS})
        directory.adopt(neighbours(40))
        self.assertIsNone(directory.primary_share("g1", LIMITS, is_near=True))
        self.assertFalse(directory.forwards_to_primary_owners("g1"))

    def test_a_group_that_is_not_shared_there_has_no_owners(self) -> None:
        self.follow()
        self.adopt({})
        self.assertEqual(self.names(), [])

    def test_an_owner_that_refuses_connections_is_skipped_alone(self) -> None:
        self.follow()
        self.fail_owner("r1", is_unreachable=False)
        self.assertEqual(self.names(), ["r2", "r3"])
        self.clock.advance(OWNER_RETRY_SECONDS + 0.01)
        self.assertEqual(len(self.names()), 3)

    def test_one_attempt_marks_a_failure_domain_that_is_cut_off(self) -> None:
        """Guard against callers that wait for each owner of a domain in turn."""
        self.follow()
        self.fail_owner("r1", is_unreachable=True)
        self.assertEqual(self.names(), [])
        self.assertTrue(self.remote.has_failed_domain())
        self.clock.advance(OWNER_RETRY_SECONDS / 2)
        self.remote.record_contact_failure("fd2", CONTACT, self.clock.now())
        self.clock.advance(OWNER_RETRY_SECONDS / 2)
        self.assertEqual(self.names(), [])
        self.adopt(None)
        self.assertIn("r2", self.names())

    def test_a_lost_machine_does_not_mark_a_domain_that_answers(self) -> None:
        """Guard against the loss of a common queue whenever one owner loses power."""
        self.follow()
        asked_at = self.clock.now()
        self.clock.advance(0.1)
        self.remote.record_answer("r2")
        self.remote.record_owner_failure("r1", asked_at, is_unreachable=True)
        self.assertEqual(self.names(), ["r2", "r3"])

    def test_a_silent_contact_alone_marks_no_failure_domain(self) -> None:
        self.follow()
        self.remote.record_contact_failure("fd2", CONTACT, self.clock.now())
        self.assertEqual(len(self.names()), 3)
        self.assertTrue(self.remote.needs_contacts("fd2"))

    def test_a_moved_primary_has_other_owners(self) -> None:
        """Guard against requests that follow a primary to where it was before."""
        self.follow()
        self.move_primary("fd3")
        self.assertEqual(self.changes, 2)
        self.assertEqual(self.names(), [])
        self.assertEqual(self.remote.wanted(), {"fd3": ["g1"]})
        self.move_primary("fd1")
        self.assertEqual(self.remote.wanted(), {})

    def test_unused_groups_are_forgotten_and_requested_again(self) -> None:
        """Guard against a group without owners after a response without changes."""
        self.follow()
        self.clock.advance(REMOTE_OWNERS_USE_SECONDS + 1)
        self.assertEqual(self.remote.wanted(), {})
        self.assertEqual(self.names(), [])
        self.assertEqual(self.remote.digest("fd2"), "")
        self.adopt(None)
        self.assertEqual(self.remote.digest("fd2"), "")
        self.adopt({"g1": OWNERS})
        self.assertEqual(len(self.names()), 3)
