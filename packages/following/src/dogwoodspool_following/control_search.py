"""Search for the present control processes while none confirms the view."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import Address, Clock, log_event

from .confirmation import ViewConfirmation
from .const import CONTROL_SEARCH_SECONDS
from .control_peers import ControlPeers
from .coordinator import Coordinator


class AddressSource(Protocol):
    """Where the addresses of control processes are configured."""

    def read(self) -> tuple[Address, ...]:
        """Return the addresses that are configured now."""
        ...


@dataclass(frozen=True, slots=True)
class FixedAddresses:
    """Addresses that stay as they are; implements ``AddressSource``."""

    addresses: tuple[Address, ...]

    def read(self) -> tuple[Address, ...]:
        """Return the addresses."""
        return self.addresses


@dataclass(frozen=True, slots=True)
class NeighbourView:
    """What a neighbour whose view control has confirmed lately knows.

    Attributes:
        version: version of its view.
        began_at: clock time; all that was acknowledged before is in that version.
        members: the control processes that it follows.
    """

    version: int
    began_at: float
    members: Sequence[MemberMessage]


class NeighbourViews(Protocol):
    """Asks other proxies for what they know of control."""

    def read(self) -> Sequence[NeighbourView]:
        """Ask some of them; return what those know whose view is confirmed."""
        ...


class ControlSearch(Coordinator):
    """Learn addresses of control processes from all who may know them.

    A proxy follows the members that control announces. Where all of them have been
    replaced before it learned of their successors, such as while its process stood
    still, it would ask lost ones for good, and it cannot tell that from being cut off.
    So while no control process confirms the view, the configured addresses are read
    anew, and neighbours are asked. A neighbour also tells whether the view in force is
    an old one.
    """

    def __init__(
        self,
        confirmation: ViewConfirmation,
        peers: ControlPeers,
        addresses: AddressSource,
        neighbours: NeighbourViews,
        clock: Clock,
    ) -> None:
        super().__init__("control-search", clock)
        self._confirmation = confirmation
        self._peers = peers
        self._addresses = addresses
        self._neighbours = neighbours
        self._is_searching = False

    def step(self) -> float:
        """Search once, unless control confirms the view."""
        if self._confirmation.is_overdue:
            self._begin_search()
            self._peers.configure(self._addresses.read())
            for one in self._neighbours.read():
                if one.members:
                    self._peers.adopt(one.members)
                self._confirmation.record_neighbour(one.version, one.began_at)
        elif self._is_searching:
            self._is_searching = False
            log_event("control_found", confirmed_by=self._confirmation.confirmed_by)
        return max(CONTROL_SEARCH_SECONDS, self._confirmation.overdue_in)

    def _begin_search(self) -> None:
        if self._is_searching:
            return
        self._is_searching = True
        log_event(
            "control_searched",
            level="WARNING",
            members=",".join(str(one) for one in self._peers.addresses),
            confirmed_by=self._confirmation.confirmed_by,
            confirmed_ago_ms=self._confirmation.age_ms,
        )
