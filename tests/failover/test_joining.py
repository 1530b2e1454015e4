"""Tests of how a control process asks to become a member."""

import unittest
from typing import Any, Final, cast
from unittest import mock

from dogwoodspool_api import JoinRequest
from dogwoodspool_common import Address, JsonClient, ManualClock, PeerUnreachableError
from dogwoodspool_failover import JoinCoordinator
from dogwoodspool_following import ControlPeers

LOST: Final = (Address("127.0.0.1", 1), Address("127.0.0.2", 1))
PRESENT: Final = (Address("127.0.0.3", 1),)
REQUEST: Final = JoinRequest(
    node="core-9", address="127.0.0.9:1", failure_domain="zone-a"
)
MAX_STEPS: Final = 4


class Configured:
    """Addresses that an operator has configured."""

    def __init__(self) -> None:
        self.addresses: tuple[Address, ...] = LOST

    def read(self) -> tuple[Address, ...]:
        """Return the addresses."""
        return self.addresses


class JoinTests(unittest.TestCase):
    """A process with an empty disk, at whose configured addresses nobody answers."""

    def setUp(self) -> None:
        self.asked: list[Address] = []
        self.configured = Configured()
        node = mock.Mock()
        node.diagnostics.return_value.members = []
        self.join = JoinCoordinator(
            REQUEST,
            node,
            ControlPeers(LOST),
            self.configured,
            cast(JsonClient, self),
            ManualClock(),
        )

    def post(self, address: Address, *_args: Any) -> dict[str, Any]:
        """Answer as the present leader, or not at all."""
        self.asked.append(address)
        if address not in PRESENT:
            raise PeerUnreachableError(f"{address} is lost")
        return {}

    def test_addresses_that_are_configured_later(self) -> None:
        """Guard against a process that never joins, as it reads its seeds once."""
        self.join.step()
        self.configured.addresses = PRESENT
        for _ in range(MAX_STEPS):
            self.join.step()
        self.assertEqual(PRESENT[0], self.asked[-1])


if __name__ == "__main__":
    unittest.main()
