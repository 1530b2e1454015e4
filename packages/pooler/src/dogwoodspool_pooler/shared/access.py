"""Provide transactions with connections at the owners of their groups' pools."""

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_sharing import ProxyDirectory

from ..access import ServerAccess
from ..held import HeldConnection, ReadBound
from ..models import Reply
from ..requests import Request
from .owner_client import OwnerClient
from .remote_connection import RemoteHeldConnection


class SharingAccess:
    """Provide connections of this process or of an owner.

    Implements ``ConnectionAccess``.
    """

    def __init__(
        self, local: ServerAccess, directory: ProxyDirectory, client: OwnerClient
    ) -> None:
        self._local = local
        self._directory = directory
        self._client = client

    def open(
        self,
        server: BackendServer,
        request: Request,
        *,
        has_alternatives: bool = False,
    ) -> HeldConnection:
        """Return a connection; nothing is sent to an owner before its first use."""
        owners = self._directory.owners(server.group, request.caller.account)
        if owners is None:
            return self._local.open(server, request, has_alternatives=has_alternatives)
        return RemoteHeldConnection(server, request, owners, self._local, self._client)

    def begin_on_primary(self, held: HeldConnection, request: Request) -> Reply:
        """Begin a read-write transaction, which only the acting primary accepts."""
        return self._local.begin_on_primary(held, request)

    def can_satisfy(self, group: str, bound: ReadBound) -> bool:
        """Return whether the serving process may know a position within a bound."""
        if self._directory.owners(group) is not None:
            return True
        return self._local.can_satisfy(group, bound)

    def record_freshness(
        self, server: BackendServer, position: Position | None, asked_at: float
    ) -> None:
        """Record a log position of a server that was certainly the primary then."""
        self._local.record_freshness(server, position, asked_at)
