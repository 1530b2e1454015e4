"""Wire the parts together that share pools among the proxies of a failure domain."""

from dogwoodspool_common import Clock, JsonClient, JsonLineClient, Route
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ControlPeers, ViewStore
from dogwoodspool_sharing import Neighbour, PresenceCoordinator, ProxyDirectory

from ..access import ServerAccess
from ..statements import Statements
from .access import SharingAccess
from .const import (
    CONNECTIONS_TO_OWNER,
    NEW_REQUESTS,
    OWNER_CONNECT_TIMEOUT,
    OWNER_UNACKNOWLEDGED_MS,
)
from .group_limits import GroupLimits
from .leases import LeaseExpiry, LeaseTracker
from .owner_client import OwnerClient
from .slots import WorkSlots
from .statement_api import StatementApi
from .statements import NeighbourStatements, SharedStatements
from .transaction_api import TransactionApi


class SharedPoolsRuntime:
    """Create, start and stop the parts that share pools with the neighbours.

    Args:
        own: this process.
        failure_domain: failure domain that it runs in.
        failure_domains: number of failure domains.
        peers: control processes in the order of the failure domain.
        views: the views from control.
        access: access to the local pools.
        statements: serves single statements on the local pools.
        client: calls control.
        clock: source of time for all parts.
    """

    def __init__(
        self,
        own: Neighbour,
        failure_domain: str,
        failure_domains: int,
        peers: ControlPeers,
        views: ViewStore,
        access: ServerAccess,
        statements: Statements,
        client: JsonClient,
        clock: Clock,
    ) -> None:
        self._views = views
        self._directory = ProxyDirectory(own, failure_domains, clock)
        self._presence = PresenceCoordinator(
            own, failure_domain, self._directory, peers, client, clock
        )
        self._leases = LeaseTracker(self._idle_limit, clock)
        self._expiry = LeaseExpiry(self._leases, clock)
        self._slots = WorkSlots(NEW_REQUESTS)
        self._statement_api = StatementApi(
            views,
            NeighbourStatements(statements, self._directory),
            self._slots,
            clock,
        )
        self._transaction_api = TransactionApi(
            views, access, self._leases, self._slots, clock
        )
        self._client = JsonLineClient(
            CONNECTIONS_TO_OWNER, OWNER_CONNECT_TIMEOUT, OWNER_UNACKNOWLEDGED_MS
        )
        self._limits = GroupLimits(self._directory, views)
        owner_client = OwnerClient(self._directory, self._client)
        self._statements = SharedStatements(
            statements, self._directory, owner_client, clock
        )
        self._access = SharingAccess(access, self._directory, owner_client)

    @property
    def statements(self) -> SharedStatements:
        """Server of single statements, on local pools or at an owner."""
        return self._statements

    @property
    def access(self) -> SharingAccess:
        """Provider of connections for transactions, from local pools or an owner."""
        return self._access

    @property
    def routes(self) -> list[Route]:
        """The endpoints for other proxies."""
        return [*self._statement_api.routes(), *self._transaction_api.routes()]

    @property
    def directory(self) -> ProxyDirectory:
        """The neighbours of this process."""
        return self._directory

    @property
    def neighbours(self) -> int:
        """Number of proxies of the failure domain, including this one."""
        return self._directory.count

    @property
    def leases(self) -> int:
        """Number of connections that transactions of other proxies hold."""
        return self._leases.count

    def is_forwarded(self, group: str) -> bool:
        """Return whether requests to a group are forwarded to owners at present."""
        return bool(self._directory.owners(group))

    def set_up(self) -> None:
        """Start to share pools."""
        self._limits.set_up()
        self._expiry.set_up()
        self._presence.set_up()

    def leave(self) -> None:
        """Stop accepting requests, and have control announce it to the neighbours."""
        self._slots.leave()
        self._directory.leave()
        self._presence.leave()

    def unload(self) -> None:
        """Stop all parts."""
        self._presence.unload()
        self._expiry.unload()
        self._client.close()

    def _idle_limit(self, group: str) -> float:
        return self._views.settings(group).max_transaction_idle_ms / MILLISECONDS
