"""Open transactions at the owners of their groups' pools."""

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_sharing import ProxyDirectory

from ..access import ServerAccess
from ..held import HeldConnection, ReadBound
from ..models import Reply
from ..requests import Request
from .owner_client import OwnerClient
from .remote import RemoteHold


class SharingAccess:
    """Give transactions connections of this process or of an owner.

    See ``ConnectionAccess``.
    """

    def __init__(
        self, own: ServerAccess, directory: ProxyDirectory, client: OwnerClient
    ) -> None:
        self._own = own
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
        owners = self._directory.owners(server.group)
        if owners is None:
            return self._own.open(server, request, has_alternatives=has_alternatives)
        return RemoteHold(server, request, owners, self._own, self._client)

    def begin_on_primary(self, held: HeldConnection, request: Request) -> Reply:
        """Begin a transaction, which only a server that leads does."""
        return self._own.begin_on_primary(held, request)

    def may_be_fresh(self, group: str, bound: ReadBound) -> bool:
        """Tell whether a position that meets a bound may be known where it runs."""
        if self._directory.owners(group) is not None:
            return True
        return self._own.may_be_fresh(group, bound)

    def note_fresh(
        self, server: BackendServer, position: Position | None, asked_at: float
    ) -> None:
        """Take in how far a primary was that surely held its place."""
        self._own.note_fresh(server, position, asked_at)
