"""Tests of what one process may use of a primary."""

import unittest

from dogwoodspool_common import ManualClock, Role
from dogwoodspool_following import ViewStore
from dogwoodspool_limits import AdmissionOutcome, PriorityOrder
from dogwoodspool_pooler.registry import BackendRegistry
from dogwoodspool_pooler.shared.primary_locations import PrimaryLocations
from dogwoodspool_pooler.shared.primary_shares import PrimaryShares
from dogwoodspool_sharing import (
    Neighbour,
    Owners,
    ProxyDirectory,
    RemoteOwners,
    ServerLimits,
)

from ..fakes import GROUP, OWN_DOMAIN, FakeServer, Pooler

CONNECTIONS = 20
ELSEWHERE = "fd9"


class PrimarySharesTests(unittest.TestCase):
    """Most connections to a primary are for the owners near it."""

    def setUp(self) -> None:
        servers = [
            FakeServer("s1", Role.PRIMARY, failure_domain=ELSEWHERE),
            FakeServer("s2", Role.REPLICA),
        ]
        self.pooler = Pooler(servers)
        self.views: ViewStore = self.pooler.views
        # The first process in use of the group, as all others would compute it.
        names = [f"p{n}" for n in range(12)]
        self.proxies = [Neighbour(name, f"{name}:1") for name in names]
        clock = ManualClock()
        own = self.directory_of(self.proxies[0], clock).assigned(GROUP)
        assert own is not None
        self.directory = self.directory_of(own.in_use[0], clock)
        self.remote = RemoteOwners("own", OWN_DOMAIN, self.directory, clock)
        PrimaryLocations(self.remote, self.views).set_up()
        shares = PrimaryShares(self.views, self.directory, self.remote)
        self.registry = BackendRegistry(
            self.views,
            self.pooler.network,
            self.pooler.clock,
            self.directory.connection_part,
            self.directory.owner_share,
            shares.share,
            PriorityOrder,
        )
        self.registry.set_up()
        self.remote.set_listener(lambda: None, self.registry.refresh)
        self.pooler.apply_view(primary="s1")
        self.pooler.clock.advance(10)

    def directory_of(self, own: Neighbour, clock: ManualClock) -> ProxyDirectory:
        directory = ProxyDirectory(own, 3, clock, uses_primary_owners=True)
        directory.adopt(self.proxies)
        directory.set_groups({GROUP: ServerLimits(3, CONNECTIONS)})
        return directory

    def limit(self, server: str) -> int:
        """Return the connections to a server once the present part has been taken."""
        backend = self.registry.backend(self.views.view.servers[server])
        self.pooler.clock.advance(5)
        self.registry.refresh()
        return backend.pool.limit

    def learn_owners(self) -> None:
        self.remote.owners(GROUP)
        near = self.proxies[1]
        owners = {GROUP: Owners((near,), ())}
        self.remote.adopt(ELSEWHERE, near, "digest", owners, [])

    def test_an_owner_elsewhere_holds_few_once_it_knows_the_owners_there(self) -> None:
        """Guard against connections that other failure domains keep from the owners.

        Until then it sends its requests to the primary itself.
        """
        usual = self.limit("s1")
        self.assertEqual(usual, 4)
        self.learn_owners()
        self.assertEqual(self.limit("s1"), 2)
        self.assertEqual(self.limit("s2"), usual)

    def test_the_parts_follow_the_primary(self) -> None:
        self.learn_owners()
        self.pooler.apply_view(primary="s2")
        self.assertEqual(self.limit("s1"), 4)
        self.assertEqual(self.limit("s2"), 8)
        self.pooler.apply_view(primary="s1")
        self.assertEqual(self.limit("s2"), 4)

    def test_an_owner_near_the_primary_keeps_its_part_of_the_slots_in_use(self) -> None:
        """Guard against idle slots while requests wait for the primary.

        Work that takes longer than before looks like waiting inside the server, and
        only the owners near the primary send it any.
        """
        self.pooler.apply_view(primary="s2")
        backend = self.registry.backend(self.views.view.servers["s2"])
        later = self.pooler.clock.now() + 60
        for latency in (0.01, *[0.1] * 20):
            for _ in range(20):
                admitted = backend.admission.admit(later, 2)
                admitted.ok.done(latency, AdmissionOutcome.ANSWERED)
        # This process is the only owner, so that all three slots are its part.
        for _ in range(3):
            self.assertTrue(backend.admission.admit(later, 2).is_ok())
        self.assertEqual(backend.admission.waiting, 0)
