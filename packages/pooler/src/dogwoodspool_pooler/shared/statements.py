"""Forward single statements to the owners of their groups' pools."""

from dogwoodspool_common import Clock
from dogwoodspool_sharing import ProxyDirectory

from ..models import Reply
from ..requests import Request
from ..statements import Statements
from ..writes import write_in_doubt
from .errors import OwnerSilentError
from .owner_client import OwnerClient
from .owner_statements import OwnerStatements
from .primary_forwarder import PrimaryForwarder


class SharedStatements:
    """Serve single statements at the owners of their group's pools.

    Implements ``Statements``. A statement that only a primary in another failure domain
    can serve goes to the owners there. If they do not serve it, and for all other
    statements, the owners in this failure domain are tried, and after the last one this
    process serves it. An owner that accepted a write and does not answer may have had
    it run.
    """

    def __init__(
        self,
        local: Statements,
        directory: ProxyDirectory,
        client: OwnerClient,
        clock: Clock,
        forwarder: PrimaryForwarder | None = None,
    ) -> None:
        self._local = local
        self._directory = directory
        self._owners = OwnerStatements(client, clock)
        self._forwarder = forwarder

    def run(self, request: Request) -> Reply:
        """Serve one statement."""
        if self._forwarder is None or not request.needs_primary:
            return self._run_in_domain(request)
        owners = self._forwarder.owners(request)
        if not owners:
            return self._run_in_domain(request)
        reply = self._forwarder.forward_to(request, owners)
        if reply is not None:
            return reply
        # The owners here must not try the same owners again.
        return self._run_in_domain(request.for_primary())

    def _run_in_domain(self, request: Request) -> Reply:
        owners = self._directory.owners(request.endpoint.group, request.caller.account)
        if owners is None:
            return self._local.run(request)
        try:
            reply = self._owners.run(request, owners)
        except OwnerSilentError as error:
            if request.writes:
                return write_in_doubt(request, error)
            reply = None
        return self._local.run(request) if reply is None else reply


class NeighbourStatements:
    """Serve single statements of neighbours on the local pools.

    Implements ``Statements``.
    """

    def __init__(self, local: Statements, directory: ProxyDirectory) -> None:
        self._local = local
        self._directory = directory

    def run(self, request: Request) -> Reply:
        """Serve one statement."""
        self._directory.record_neighbour_request(request.endpoint.group)
        return self._local.run(request)
