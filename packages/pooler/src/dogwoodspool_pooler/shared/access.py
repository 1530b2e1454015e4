"""Provide transactions with connections at the owners of their groups' pools."""

from collections.abc import Sequence

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_sharing import Neighbour, ProxyDirectory, RemoteOwners

from ..access import ServerAccess
from ..held import HeldConnection, ReadBound
from ..models import Reply
from ..requests import Request
from .owner_client import OwnerClient
from .remote_connection import RemoteHeldConnection


class SharingAccess:
    """Provide connections of this process or of an owner.

    Implements ``ConnectionAccess``.

    Args:
        local: provides connections of this process.
        directory: the owners in this failure domain.
        client: calls owners.
        remote: the owners in the failure domains of primaries, if they are used.
        sends_target: whether owners order requests by their targets.
    """

    def __init__(
        self,
        local: ServerAccess,
        directory: ProxyDirectory,
        client: OwnerClient,
        remote: RemoteOwners | None = None,
        *,
        sends_target: bool = False,
    ) -> None:
        self._local = local
        self._directory = directory
        self._client = client
        self._remote = remote
        self._sends_target = sends_target

    def open(
        self,
        server: BackendServer,
        request: Request,
        *,
        has_alternatives: bool = False,
    ) -> HeldConnection:
        """Return a connection; nothing is sent to an owner before its first use."""
        owners = self._directory.owners(server.group, request.caller.account)
        primary_owners = self._primary_owners(server, request)
        if owners is None and not primary_owners:
            return self._local.open(server, request, has_alternatives=has_alternatives)
        usable = () if self._remote is None else self._remote.usable(primary_owners)
        return RemoteHeldConnection(
            server,
            request,
            owners or (),
            self._local,
            self._client,
            usable,
            sends_target=self._sends_target,
        )

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

    def _primary_owners(
        self, server: BackendServer, request: Request
    ) -> Sequence[Neighbour]:
        if self._remote is None or not self._remote.is_primary(
            server.group, server.name
        ):
            return ()
        return self._remote.owners(server.group, request.caller.account)
