"""Tests of the polls for owners in other failure domains."""

import unittest
from typing import Any

from dogwoodspool_common import (
    Address,
    JsonClient,
    JsonRequest,
    ManualClock,
    PeerUnreachableError,
    Route,
)
from dogwoodspool_following import ControlPeers
from dogwoodspool_sharing import (
    ContactsApi,
    Neighbour,
    OwnersApi,
    PrimaryLocation,
    ProxyDirectory,
    ProxyRoster,
    RemoteOwners,
    RemoteOwnersCoordinator,
    ServerLimits,
)
from dogwoodspool_sharing.const import OWNERS_RETRY_SECONDS, PRESENCE_SECONDS
from dogwoodspool_sharing.models import Presence

CONTROL = (Address("c1", 7440), Address("c2", 7440))
GROUPS = {"g1": ServerLimits(slots=6, connections=53)}
COUNT = 12


class FakeProcesses(JsonClient):
    """Processes that are called in memory."""

    def __init__(self) -> None:
        super().__init__(None)
        self.routes: dict[str, list[Route]] = {}
        self.silent: set[str] = set()
        self.called: list[str] = []
        self.answers: list[dict[str, Any]] = []

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float = 1.0
    ) -> dict[str, Any]:
        self.called.append(address.host)
        if address.host in self.silent:
            raise PeerUnreachableError(f"{address} is unreachable")
        (route,) = (one for one in self.routes[address.host] if one.path == path)
        self.answers.append(dict(route.handler(JsonRequest(path, {}, body)).body))
        return self.answers[-1]


class RemoteOwnersCoordinatorTests(unittest.TestCase):
    """A proxy in ``fd1`` follows the owners in ``fd2``, where the primary is."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.processes = FakeProcesses()
        rosters = [ProxyRoster(self.clock) for _ in CONTROL]
        for address, roster in zip(CONTROL, rosters, strict=True):
            self.processes.routes[address.host] = ContactsApi(roster).routes()
        # The second control process gets the heartbeats of fd2.
        proxies = [Neighbour(f"p{n}", f"p{n}:7440") for n in range(COUNT)]
        for proxy in proxies:
            rosters[1].record(
                Presence(proxy=proxy.name, failure_domain="fd2", address=proxy.address)
            )
            api = OwnersApi(proxy.name, self.directory(proxy, proxies))
            self.processes.routes[proxy.name] = api.routes()
        self.expected = self.directory(proxies[0], proxies).assigned("g1")
        own = Neighbour("own", "own:7440")
        directory = self.directory(own, [Neighbour(f"n{n}", "n:1") for n in range(12)])
        self.remote = RemoteOwners("own", "fd1", directory, self.clock)
        self.remote.set_primaries({"g1": PrimaryLocation("s1", "fd2")})
        self.coordinator = RemoteOwnersCoordinator(
            self.remote,
            directory,
            ControlPeers(CONTROL),
            self.processes,
            self.processes,
            self.clock,
        )

    def directory(self, own: Neighbour, proxies: list[Neighbour]) -> ProxyDirectory:
        directory = ProxyDirectory(own, 3, self.clock, uses_primary_owners=True)
        directory.adopt(proxies)
        directory.set_groups(GROUPS)
        return directory

    def follow(self) -> None:
        """Poll until the owners are known."""
        self.remote.owners("g1")
        pauses = [self.coordinator.step() for _ in range(2)]
        self.assertEqual(pauses, [OWNERS_RETRY_SECONDS, PRESENCE_SECONDS])

    def poll_seconds(self, seconds: int) -> None:
        for _ in range(seconds):
            self.remote.owners("g1")
            self.coordinator.step()
            self.clock.advance(1)

    def test_nothing_is_sent_for_groups_that_are_not_used(self) -> None:
        self.coordinator.step()
        self.assertEqual(self.processes.called, [])

    def test_owners_are_found_through_control_and_a_proxy(self) -> None:
        self.follow()
        assert self.expected is not None
        names = sorted(owner.name for owner in self.remote.owners("g1"))
        known = (*self.expected.in_use, *self.expected.in_reserve)
        self.assertEqual(names, sorted(owner.name for owner in known))

    def test_unchanged_owners_are_not_sent_again(self) -> None:
        self.follow()
        self.coordinator.step()
        self.assertEqual(list(self.processes.answers[-1]), ["digest"])
        self.assertEqual(self.remote.confirmed_at("g1"), self.clock.now())

    def test_known_proxies_are_asked_while_control_is_silent(self) -> None:
        """Guard against lost owners during an outage of control."""
        self.follow()
        self.processes.silent = {address.host for address in CONTROL}
        self.poll_seconds(60)
        self.assertNotEqual(self.remote.owners("g1"), ())

    def test_another_proxy_is_asked_if_one_is_silent(self) -> None:
        self.follow()
        self.processes.silent = {self.processes.called[-1]}
        self.processes.called.clear()
        self.coordinator.step()
        self.assertEqual(self.coordinator.step(), PRESENCE_SECONDS)
        self.assertEqual(len(set(self.processes.called)), 2)
        self.assertFalse(self.remote.needs_contacts("fd2"))

    def test_control_is_asked_again_once_no_known_proxy_answers(self) -> None:
        """Guard against a proxy that keeps asking proxies that were replaced."""
        self.follow()
        contacts = {f"p{n}" for n in range(COUNT)}
        self.processes.silent = contacts
        self.poll_seconds(9)
        self.processes.called.clear()
        self.poll_seconds(2)
        self.assertIn("c2", self.processes.called)
        self.processes.silent = set()
        self.poll_seconds(1)
        self.assertNotEqual(self.remote.owners("g1"), ())
