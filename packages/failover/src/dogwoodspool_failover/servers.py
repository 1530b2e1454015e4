"""Interfaces to backend servers and their platform used by changes of primary."""

from typing import Protocol

from dogwoodspool_common import BackendServer

from .models import ServerState


class GroupServers(Protocol):
    """Query and command backend servers.

    Each method returns the server's state afterwards and raises
    ``ServerCallError``; all are idempotent.
    """

    def status(self, server: BackendServer, timeout: float) -> ServerState:
        """Return the current state."""
        ...

    def pause(self, server: BackendServer, term: int, timeout: float) -> ServerState:
        """Stop replication to a replica until it is resumed or restarts."""
        ...

    def resume(self, server: BackendServer, timeout: float) -> ServerState:
        """Resume replication to a paused replica."""
        ...

    def step_down(
        self, server: BackendServer, term: int, timeout: float
    ) -> ServerState:
        """Demote a primary of a lower term to a replica; it then accepts no writes."""
        ...


class PromotionService(Protocol):
    """Request the promotion of a server to its group's primary from the platform."""

    def promote(
        self, server: BackendServer, holder: str, token: int, timeout: float
    ) -> None:
        """Request the promotion, which is carried out some time after the answer.

        Raises:
            PromotionRefusedError: it will not be carried out.
            PromotionNotTakenError: it will not be carried out; the platform did not
                look at it.
            PromotionUnknownError: it may be carried out, even after later calls; the
                platform compares the token again at that time.
        """
        ...
