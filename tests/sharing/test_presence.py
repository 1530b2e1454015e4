"""Tests of heartbeats: from a proxy to a control process and back."""

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
from dogwoodspool_sharing.const import MISSED_PRESENCES, PRESENCE_SECONDS
from dogwoodspool_sharing.roster import presence_interval

CONTROL = (Address("10.1.0.1", 7440), Address("10.2.0.1", 7440))


class FakeControl(JsonClient):
    """Control processes, each with a roster of its own."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(None)
        members = [
            MemberMessage(address=str(one), failure_domain=f"fd{n}")
            for n, one in enumerate(CONTROL)
        ]
        self.apis = {
            one: PresenceApi(ProxyRoster(clock), lambda: members) for one in CONTROL
        }
        self.silent: set[Address] = set()
        self.answers: list[dict[str, Any]] = []

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float = 1.0
    ) -> dict[str, Any]:
        if address in self.silent:
            raise PeerUnreachableError("silent")
        (route,) = self.apis[address].routes()
        answer = dict(route.handler(JsonRequest(path, {}, body)).body)
        self.answers.append(answer)
        return answer


class PresenceTests(unittest.TestCase):
    """Proxies of a failure domain learn of each other through control."""

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
        (one, seen), (two, _), (far, seen_far) = (
            self.proxy("p1"),
            self.proxy("p2"),
            self.proxy("p3", "fd2"),
        )
        # Each turns to the process of its own failure domain once it knows of it.
        for each in (one, two, far) * 3:
            each.step()
        self.assertEqual(seen.count, 2)
        self.assertEqual(seen_far.count, 1)

    def test_what_a_proxy_knows_already_is_not_sent_again(self) -> None:
        one, seen = self.proxy("p1")
        one.step()
        one.step()
        self.assertIn("proxies", self.control.answers[0])
        self.assertNotIn("proxies", self.control.answers[1])
        self.assertEqual(seen.count, 1)

    def test_proxies_that_start_together_soon_know_each_other(self) -> None:
        """Guard against a second in which each proxy opens connections of its own."""
        proxies = [self.proxy(f"p{number}") for number in range(24)]
        pauses = [each.step() for each, _ in proxies]
        self.assertLess(max(pauses), PRESENCE_SECONDS / 2)
        for _round in range(2):
            pauses = [each.step() for each, _ in proxies]
        self.assertEqual({seen.count for _, seen in proxies}, {24})
        self.assertEqual([each.step() for each, _ in proxies], [PRESENCE_SECONDS] * 24)

    def test_a_proxy_that_leaves_is_named_no_more(self) -> None:
        (one, _), (two, _) = self.proxy("p1"), self.proxy("p2")
        one.step()
        two.leave()
        two.step()
        one.step()
        self.assertEqual(len(self.control.answers[0]["proxies"]), 1)
        self.assertNotIn("proxies", self.control.answers[-1])

    def test_a_proxy_that_says_nothing_is_forgotten(self) -> None:
        (one, _), (two, _) = self.proxy("p1"), self.proxy("p2")
        two.step()
        one.step()
        self.assertEqual(len(self.control.answers[-1]["proxies"]), 2)
        self.clock.advance(MISSED_PRESENCES * PRESENCE_SECONDS + 0.1)
        one.step()
        self.assertEqual(len(self.control.answers[-1]["proxies"]), 1)

    def test_another_control_process_is_told_where_one_is_silent(self) -> None:
        one, _ = self.proxy("p1")
        one.step()
        self.control.silent = {CONTROL[0]}
        pauses = [one.step() for _ in range(3)]
        self.assertIn(PRESENCE_SECONDS, pauses)

    def test_signs_of_life_come_less_often_from_a_large_failure_domain(self) -> None:
        self.assertEqual(presence_interval(9), PRESENCE_SECONDS)
        self.assertGreater(presence_interval(683), 6 * PRESENCE_SECONDS)
