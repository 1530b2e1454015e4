"""Tests of the connections to a primary that one process may hold."""

import unittest

from dogwoodspool_common import ManualClock, Role
from dogwoodspool_following import ViewStore
from dogwoodspool_pooler.registry import BackendRegistry
from dogwoodspool_pooler.shared.primary_connections import PrimaryConnections
from dogwoodspool_pooler.shared.primary_locations import PrimaryLocations
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


class PrimaryConnectionsTests(unittest.TestCase):
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
        limits = PrimaryConnections(self.views, self.directory, self.remote)
        self.registry = BackendRegistry(
            self.views,
            self.pooler.network,
            self.pooler.clock,
            self.directory.owner_share,
            limits.limit,
        )
        self.registry.set_up()
        self.remote.set_listener(lambda: None, self.registry.adjust)
        self.pooler.apply_view(primary="s1")
        self.pooler.clock.advance(10)

    def directory_of(self, own: Neighbour, clock: ManualClock) -> ProxyDirectory:
        directory = ProxyDirectory(own, 3, clock)
        directory.adopt(self.proxies)
        directory.set_groups({GROUP: ServerLimits(3, CONNECTIONS)})
        return directory

    def limit(self, server: str) -> int:
        backend = self.registry.backend(self.views.view.servers[server])
        backend.adjust()
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
        self.assertEqual(usual, 6)
        self.learn_owners()
        self.assertEqual(self.limit("s1"), 2)
        self.assertEqual(self.limit("s2"), usual)

    def test_the_parts_follow_the_primary(self) -> None:
        self.learn_owners()
        self.pooler.apply_view(primary="s2")
        self.assertEqual(self.limit("s1"), 6)
        self.assertEqual(self.limit("s2"), 14)
        self.pooler.apply_view(primary="s1")
        self.assertEqual(self.limit("s2"), 6)
