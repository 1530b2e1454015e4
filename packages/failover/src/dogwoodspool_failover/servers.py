"""What a change of primary needs of backend servers and of their platform."""

from typing import Protocol

from dogwoodspool_common import BackendServer

from .models import ServerState


class GroupServers(Protocol):
    """Ask backend servers and give them orders.

    Each method returns the server's state afterwards and raises
    ``ServerCallError``; all may be repeated.
    """

    def status(self, server: BackendServer, timeout: float) -> ServerState:
        """Ask for the state."""
        ...

    def pause(self, server: BackendServer, term: int, timeout: float) -> ServerState:
        """Stop a replica from receiving, until it is resumed or restarts."""
        ...

    def resume(self, server: BackendServer, timeout: float) -> ServerState:
        """Let a paused replica receive again."""
        ...

    def step_down(
        self, server: BackendServer, term: int, timeout: float
    ) -> ServerState:
        """Make a primary of a lower term a replica, so that it writes no more."""
        ...


class PromotionService(Protocol):
    """Ask the platform to make a server its group's primary."""

    def promote(
        self, server: BackendServer, holder: str, token: int, timeout: float
    ) -> None:
        """Order the promotion; it is carried out some time after the answer.

        Raises:
            PromotionRefusedError: it will not be carried out.
            PromotionUnknownError: it may be carried out, also after later calls;
                the token is compared again at that moment.
        """
        ...
