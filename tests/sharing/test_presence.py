"""Tests of heartbeats of proxies to control processes."""

import unittest
from typing import Any

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import (
    Address,
    JsonClient,
    JsonRequest,
    ManualClock,
    PeerUnreachableError,
)
from dogwoodspool_following import ControlPeers
from dogwoodspool_sharing import (
    Neighbour,
    PresenceApi,
    PresenceCoordinator,
    ProxyDirectory,
    ProxyRoster,
)
from dogwoodspool_sharing.const import MAX_MISSED_HEARTBEATS, PRESENCE_SECONDS
from dogwoodspool_sharing.roster import presence_interval

CONTROL = (Address("10.1.0.1", 7440), Address("10.2.0.1", 7440))


class FakeControl(JsonClient):
    """Control processes, each with its own roster."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(None)
        members = [
            MemberMessage(address=str(address), failure_domain=f"fd{n}")
            for n, address in enumerate(CONTROL)
        ]
        self.apis = {
            address: PresenceApi(ProxyRoster(clock), lambda: members)
            for address in CONTROL
        }
        self.unreachable: set[Address] = set()
        self.answers: list[dict[str, Any]] = []

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float = 1.0
    ) -> dict[str, Any]:
        if address in self.unreachable:
            raise PeerUnreachableError(f"{address} is unreachable")
        (route,) = self.apis[address].routes()
        answer = dict(route.handler(JsonRequest(path, {}, body)).body)
        self.answers.append(answer)
        return answer


class PresenceTests(unittest.TestCase):
    """Proxies of a failure domain discover each other through control."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.control = FakeControl(self.clock)

    def proxy(
        self, name: str, domain: str = "fd1"
    ) -> tuple[PresenceCoordinator, ProxyDirectory]:
        own = Neighbour(name, f"{name}:7440")
        directory = ProxyDirectory(own, 3, self.clock)
        peers = ControlPeers(CONTROL, domain, domain)
        coordinator = PresenceCoordinator(
            own, domain, directory, peers, self.control, self.clock
        )
        return coordinator, directory

    def test_proxies_of_one_failure_domain_know_each_other(self) -> None:
        (first, directory), (second, _), (remote, remote_directory) = (
            self.proxy("p1"),
            self.proxy("p2"),
            self.proxy("p3", "fd2"),
        )
        # Each switches to the control process of its own failure domain once it knows
        # that process.
        for coordinator in (first, second, remote) * 3:
            coordinator.step()
        self.assertEqual(directory.count, 2)
        self.assertEqual(remote_directory.count, 1)

    def test_unchanged_neighbours_are_not_sent_again(self) -> None:
        coordinator, directory = self.proxy("p1")
        coordinator.step()
        coordinator.step()
        self.assertIn("proxies", self.control.answers[0])
        self.assertNotIn("proxies", self.control.answers[1])
        self.assertEqual(directory.count, 1)

    def test_proxies_that_start_together_soon_know_each_other(self) -> None:
        """Guard against a second in which each proxy opens its own connections."""
        proxies = [self.proxy(f"p{number}") for number in range(24)]
        pauses = [coordinator.step() for coordinator, _ in proxies]
        self.assertLess(max(pauses), PRESENCE_SECONDS / 2)
        for _round in range(2):
            pauses = [coordinator.step() for coordinator, _ in proxies]
        self.assertEqual({directory.count for _, directory in proxies}, {24})
        self.assertEqual(
            [coordinator.step() for coordinator, _ in proxies], [PRESENCE_SECONDS] * 24
        )

    def test_a_leaving_proxy_is_no_longer_reported(self) -> None:
        (staying, _), (leaving, _) = self.proxy("p1"), self.proxy("p2")
        staying.step()
        leaving.leave()
        leaving.step()
        staying.step()
        self.assertEqual(len(self.control.answers[0]["proxies"]), 1)
        self.assertNotIn("proxies", self.control.answers[-1])

    def test_a_proxy_without_heartbeats_is_removed(self) -> None:
        (running, _), (stopped, _) = self.proxy("p1"), self.proxy("p2")
        stopped.step()
        running.step()
        self.assertEqual(len(self.control.answers[-1]["proxies"]), 2)
        self.clock.advance(MAX_MISSED_HEARTBEATS * PRESENCE_SECONDS + 0.1)
        running.step()
        self.assertEqual(len(self.control.answers[-1]["proxies"]), 1)

    def test_heartbeats_go_to_another_control_process_if_one_is_unreachable(
        self,
    ) -> None:
        coordinator, _ = self.proxy("p1")
        coordinator.step()
        self.control.unreachable = {CONTROL[0]}
        pauses = [coordinator.step() for _ in range(3)]
        self.assertIn(PRESENCE_SECONDS, pauses)

    def test_heartbeats_are_less_frequent_in_a_large_failure_domain(self) -> None:
        self.assertEqual(presence_interval(9), PRESENCE_SECONDS)
        self.assertGreater(presence_interval(683), 6 * PRESENCE_SECONDS)
