"""Tests of what proxies of a failure domain tell each other of control."""

import unittest
from typing import Any, Final
from unittest import mock

from dogwoodspool_api import ControlView, MemberMessage, WatchResponse
from dogwoodspool_common import (
    Address,
    JsonRequest,
    PeerRefusedError,
    PeerUnreachableError,
)
from dogwoodspool_following import ControlPeers, ViewConfirmation, ViewStore
from dogwoodspool_sharing import (
    Neighbour,
    NeighbourViewApi,
    NeighbourViewReader,
    ProxyDirectory,
)
from dogwoodspool_sharing.const import NEIGHBOURS_ASKED

from tests.common.shifted_clock import ShiftedClock

CONTROL: Final = Address("127.0.0.1", 1)
MEMBER: Final = MemberMessage(address=str(CONTROL), failure_domain="zone-a")
OWN: Final = Neighbour("edge-0", "127.0.0.50:2")
PROXIES: Final = tuple(Neighbour(f"edge-{n}", f"127.0.0.{50 + n}:2") for n in range(5))
AGE_SECONDS: Final = 0.5


class NeighbourProxy:
    """A proxy whose view control confirms, or does not."""

    def __init__(self, clock: ShiftedClock) -> None:
        views = ViewStore("zone-a", clock)
        views.adopt(
            ControlView(version=7, groups=[], servers=[], proxies=[], settings=[])
        )
        peers = ControlPeers((CONTROL,))
        peers.adopt([MEMBER])
        self.control = mock.Mock()
        self.control.get.return_value = WatchResponse(
            view=None, leader=None
        ).model_dump(mode="json")
        self.confirmation = ViewConfirmation(views, peers, self.control, clock)
        self.apis = {
            one.endpoint: NeighbourViewApi(one.name, views, self.confirmation, peers)
            for one in PROXIES
        }


class NeighbourViewTests(unittest.TestCase):
    """A proxy that finds no control process asks its neighbours."""

    def setUp(self) -> None:
        self.clock = ShiftedClock()
        self.neighbour = NeighbourProxy(self.clock)
        self.addCleanup(self.neighbour.confirmation.unload)
        directory = ProxyDirectory(OWN, 1, self.clock)
        directory.adopt(PROXIES)
        self.asked: list[Address] = []
        self.silent: set[Address] = set()
        self.moved: dict[Address, Address] = {}
        self.reader = NeighbourViewReader(OWN.name, directory, self, self.clock)

    def post(
        self, address: Address, path: str, body: dict[str, Any], _timeout: float
    ) -> dict[str, Any]:
        """Call a neighbour; as ``JsonLineClient.post``."""
        self.asked.append(address)
        if address in self.silent:
            raise PeerUnreachableError(f"{address} is silent")
        (route,) = self.neighbour.apis[self.moved.get(address, address)].routes()
        return dict(route.handler(JsonRequest(path, {}, body)).body)

    def test_confirmed_view_is_told(self) -> None:
        """Guard against a lost proxy that learns neither members nor a newer view."""
        self.assertTrue(self.neighbour.confirmation.confirm())
        self.clock.advance(AGE_SECONDS)
        before = self.clock.now()
        view = self.reader.read()[0]
        self.assertEqual(7, view.version)
        self.assertEqual([MEMBER], list(view.members))
        # What was acknowledged since the neighbour's confirmation may be missing.
        self.assertLessEqual(view.began_at, before - AGE_SECONDS)

    def test_neighbour_without_control_tells_nothing(self) -> None:
        """Guard against proxies of a cut-off domain that confirm each other's views."""
        self.neighbour.control.get.side_effect = PeerUnreachableError("timed out")
        self.assertEqual([], list(self.reader.read()))

    def test_neighbours_that_do_not_answer_are_left_out(self) -> None:
        """Guard against a search that ends at a lost neighbour or an earlier build."""
        self.silent = {PROXIES[1].endpoint}
        self.assertEqual(NEIGHBOURS_ASKED - 1, len(self.reader.read()))
        refusal = PeerRefusedError(404, "no_such_endpoint", "")
        with mock.patch.object(self, "post", side_effect=refusal):
            self.assertEqual([], list(self.reader.read()))

    def test_other_proxy_at_the_address_is_not_believed(self) -> None:
        """Guard against a proxy of another system at a lost neighbour's address."""
        self.moved = {one.endpoint: OWN.endpoint for one in PROXIES}
        self.assertEqual([], list(self.reader.read()))

    def test_all_neighbours_are_asked_in_turn(self) -> None:
        """Guard against a proxy that asks the same lost neighbours for good."""
        for _ in range(len(PROXIES)):
            self.reader.read()
        others = {one.endpoint for one in PROXIES} - {OWN.endpoint}
        self.assertEqual(others, set(self.asked))
        self.assertEqual(NEIGHBOURS_ASKED * len(PROXIES), len(self.asked))


if __name__ == "__main__":
    unittest.main()
