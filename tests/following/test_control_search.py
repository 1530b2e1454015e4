"""Tests of the search for control processes that replaced all known ones."""

import unittest
from collections.abc import Callable
from typing import Final, cast

from dogwoodspool_api import ControlView, EndpointMessage, MemberMessage, WatchResponse
from dogwoodspool_common import (
    Address,
    Consistency,
    Endpoint,
    JsonClient,
    endpoints_digest,
)
from dogwoodspool_following import (
    ControlPeers,
    ControlSearch,
    NeighbourView,
    ViewConfirmation,
    ViewStore,
)
from dogwoodspool_following.const import CONTROL_SEARCH_SECONDS

from tests.common.captured_logs import captured_logs
from tests.common.shifted_clock import ShiftedClock

from .test_confirmation import Control, confirmed, unreachable

LOST: Final = tuple(Address(f"127.0.0.{number}", 1) for number in (1, 2, 3))
PRESENT: Final = tuple(Address(f"127.0.0.{number}", 1) for number in (4, 5, 6))
LONG_SECONDS: Final = 10.0
ENDPOINT: Final = Endpoint("r1", "db", "g1", Consistency.PRIMARY, 800, 250, 1)
OTHER_ENDPOINT: Final = Endpoint("r2", "other", "g1", Consistency.PRIMARY, 800, 250, 1)


def whole(version: int, endpoint: Endpoint = ENDPOINT) -> ControlView:
    """Return a whole view with one endpoint."""
    return ControlView(
        version=version,
        groups=[],
        servers=[],
        proxies=[],
        settings=[],
        endpoints=[EndpointMessage.of(endpoint)],
        digest=endpoints_digest([endpoint]),
    )


def members(*addresses: Address) -> list[MemberMessage]:
    """Return members of the control group."""
    return [
        MemberMessage(address=str(one), failure_domain="zone-a") for one in addresses
    ]


class Configured:
    """Addresses that an operator has configured."""

    def __init__(self) -> None:
        self.addresses = LOST

    def read(self) -> tuple[Address, ...]:
        """Return the addresses."""
        return self.addresses


class Neighbours:
    """What neighbours know of control."""

    def __init__(self) -> None:
        self.views: list[NeighbourView] = []
        self.reads = 0

    def read(self) -> list[NeighbourView]:
        """Return what those know whose view is confirmed."""
        self.reads += 1
        return self.views


class LostProxyFixture(unittest.TestCase):
    """A proxy with view 5, whose known control processes have all been replaced."""

    def setUp(self) -> None:
        self.clock = ShiftedClock()
        self.control = Control()
        self.views = ViewStore("zone-a", self.clock)
        self.views.adopt(whole(5))
        self.peers = ControlPeers(LOST)
        self.peers.adopt(members(*LOST))
        self.confirmation = ViewConfirmation(
            self.views, self.peers, cast(JsonClient, self.control), self.clock
        )
        self.addCleanup(self.confirmation.unload)
        self.configured, self.neighbours = Configured(), Neighbours()
        self.search = ControlSearch(
            self.confirmation, self.peers, self.configured, self.neighbours, self.clock
        )
        self.answer(LOST, unreachable)
        self.answer(PRESENT, lambda: self.present(7, OTHER_ENDPOINT))

    def answer(
        self, addresses: tuple[Address, ...], answer: Callable[[], WatchResponse]
    ) -> None:
        """Set the answer of some processes."""
        self.control.answers.update(dict.fromkeys(addresses, answer))

    def present(self, version: int, endpoint: Endpoint = ENDPOINT) -> WatchResponse:
        """Return an answer of one of the present members."""
        if self.views.view.version >= version and self.last_after() != "0":
            return confirmed().model_copy(update={"members": members(*PRESENT)})
        return WatchResponse(
            view=whole(version, endpoint), leader=None, members=members(*PRESENT)
        )

    def last_after(self) -> str:
        """Return the version from which the newest read asked."""
        return self.control.queries[-1]["after"]

    def neighbour(self, version: int, *addresses: Address) -> NeighbourView:
        """Return what a neighbour knows that control has just confirmed."""
        return NeighbourView(version, self.clock.now(), members(*addresses))

    def pass_time(self) -> None:
        """Let searches and attempts go on for some time."""
        for _ in range(round(LONG_SECONDS / CONTROL_SEARCH_SECONDS)):
            self.clock.advance(CONTROL_SEARCH_SECONDS)
            self.search.step()
            self.confirmation.confirm()


class FoundTests(LostProxyFixture):
    """Where the addresses of the present members come from."""

    def test_settings_that_were_written_anew(self) -> None:
        """Guard against a proxy that reads its control addresses only at its start."""
        self.pass_time()
        self.assertEqual(5, self.views.view.version)
        self.configured.addresses = PRESENT
        self.pass_time()
        self.assertEqual(7, self.views.view.version)
        self.assertEqual(set(PRESENT), set(self.peers.addresses))
        self.assertTrue(self.confirmation.refresh())

    def test_neighbour_that_follows_them(self) -> None:
        """Guard against a proxy that is lost beside neighbours that are current."""
        self.pass_time()
        self.neighbours.views = [self.neighbour(7, *PRESENT)]
        self.pass_time()
        self.assertEqual(7, self.views.view.version)
        self.assertIsNone(self.confirmation.refusal)

    def test_search_ends_with_a_confirmation(self) -> None:
        """Guard against a proxy that asks its neighbours without need."""
        self.configured.addresses = PRESENT
        with captured_logs() as lines:
            self.pass_time()
            reads = self.neighbours.reads
            self.pass_time()
        self.assertEqual(reads, self.neighbours.reads)
        text = "".join(lines)
        self.assertIn("event=control_searched", text)
        self.assertIn("event=control_found", text)

    def test_settings_written_anew_before_the_first_view(self) -> None:
        """Guard against a proxy that starts with lost seeds and never gets a view."""
        peers = ControlPeers(LOST)
        peers.record_failure(peers.any())
        peers.configure(PRESENT)
        self.assertEqual(set(PRESENT), set(peers.addresses))
        self.assertIn(peers.any(), PRESENT)
        self.assertEqual((), peers.others)

    def test_other_peers_of_the_process_learn_of_them(self) -> None:
        """Guard against heartbeats that go to lost control processes for good."""
        shared = ControlPeers(LOST)
        self.peers.share_with(shared)
        self.configured.addresses = PRESENT
        self.pass_time()
        self.assertEqual(set(PRESENT), set(shared.addresses))


class OtherSystemTests(LostProxyFixture):
    """A configured process that is no member may belong to another system."""

    def setUp(self) -> None:
        super().setUp()
        self.configured.addresses = PRESENT

    def assert_not_believed(self) -> None:
        """Check that no process counts."""
        self.pass_time()
        self.assertEqual(set(LOST), set(self.peers.addresses))
        self.assertFalse(self.confirmation.refresh())
        self.assertEqual(ENDPOINT, self.views.view.databases["db"])

    def test_process_with_the_same_state_counts(self) -> None:
        """Guard against a proxy that is lost until the next change."""
        self.answer(PRESENT, lambda: self.present(5))
        self.pass_time()
        self.assertEqual(set(PRESENT), set(self.peers.addresses))
        self.assertTrue(self.confirmation.refresh())

    def test_process_with_another_state_of_the_same_version(self) -> None:
        """Guard against a confirmation by another system."""
        self.answer(PRESENT, lambda: self.present(5, OTHER_ENDPOINT))
        self.assert_not_believed()

    def test_process_with_an_older_state(self) -> None:
        """Guard against members of a younger system."""
        self.answer(PRESENT, lambda: self.present(4))
        self.assert_not_believed()

    def test_process_without_a_state(self) -> None:
        """Guard against members of a system that has just been started."""
        self.answer(PRESENT, confirmed)
        self.assert_not_believed()


class UnconfirmedTests(LostProxyFixture):
    """Whether a view is used that no control process confirms."""

    def test_it_is_used_where_neighbours_are_cut_off_too(self) -> None:
        """Guard against a failure domain that serves nothing while it is cut off."""
        self.pass_time()
        self.assertFalse(self.confirmation.refresh())
        self.assertIsNone(self.confirmation.refusal)

    def test_it_is_not_used_where_a_neighbour_has_a_newer_one(self) -> None:
        """Guard against removed databases at a proxy whose link to control is cut."""
        self.neighbours.views = [self.neighbour(7, *LOST)]
        self.pass_time()
        self.assertFalse(self.confirmation.refresh())
        self.assertIn("view 7", self.confirmation.refusal or "")

    def test_it_is_used_again_once_no_neighbour_tells_of_a_newer_one(self) -> None:
        """Guard against a proxy that refuses for good because of one answer."""
        self.neighbours.views = [self.neighbour(7, *LOST)]
        self.pass_time()
        self.neighbours.views = []
        self.pass_time()
        self.assertIsNone(self.confirmation.refusal)

    def test_it_is_confirmed_by_a_neighbour_that_has_the_same(self) -> None:
        """Guard against a proxy that others could tell that its view is the newest."""
        self.pass_time()
        self.neighbours.views = [self.neighbour(5, *LOST)]
        self.search.step()
        self.assertTrue(self.confirmation.refresh())
        self.clock.advance(LONG_SECONDS)
        self.neighbours.views = []
        self.pass_time()
        self.assertFalse(self.confirmation.refresh())


if __name__ == "__main__":
    unittest.main()
