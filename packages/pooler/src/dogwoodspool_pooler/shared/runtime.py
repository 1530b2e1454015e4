"""Wire the parts together that share pools among the proxies of a failure domain."""

from collections.abc import Callable

from dogwoodspool_common import (
    BackendServer,
    Clock,
    JsonClient,
    JsonLineClient,
    Route,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ControlPeers, ViewStore
from dogwoodspool_sharing import (
    Neighbour,
    OwnersApi,
    PresenceCoordinator,
    PrimaryShare,
    ProxyDirectory,
    RemoteOwners,
    RemoteOwnersCoordinator,
)

from ..access import ServerAccess
from ..databases import Confirmer
from ..final_writes import FinalWrites
from ..freshness import FreshnessTracker
from ..models import Reply
from ..requests import Request
from ..statements import Statements
from .access import SharingAccess
from .caller_check import CallerCheck
from .const import (
    CONNECTIONS_TO_OWNER,
    NEW_REQUESTS,
    OWNER_CONNECT_TIMEOUT,
    OWNER_UNACKNOWLEDGED_MS,
)
from .group_limits import GroupLimits
from .leases import LeaseExpiry, LeaseTracker
from .owner_client import OwnerClient
from .owner_statements import OwnerStatements
from .positions import PositionCoordinator, PositionsApi
from .primary_forwarder import PrimaryForwarder
from .primary_locations import PrimaryLocations
from .primary_shares import PrimaryShares
from .slots import WorkSlots
from .statement_api import StatementApi
from .statements import NeighbourStatements, SharedStatements
from .transaction_api import KeepsRoom, TransactionApi


class SharedPoolsRuntime:
    """Create, start and stop the parts that share pools with the neighbours.

    Args:
        own: this process.
        failure_domain: failure domain that it runs in.
        failure_domains: number of failure domains.
        peers: control processes in the order of the failure domain.
        views: the views from control.
        confirmer: confirms that the view in force is the newest one.
        access: access to the local pools.
        statements: serves single statements on the local pools.
        freshness: positions of primaries known to this process.
        on_shares: called when ``primary_share`` may have changed without a new view.
        final_writes: decides which commits of neighbours are final.
        client: calls control.
        clock: source of time for all parts.
        keeps_room: returns whether a loaded primary refuses a read-only transaction
            that a replica can serve.
        uses_primary_owners: see ``ProxyDirectory``.
        sends_target: see ``SharingAccess``.
    """

    def __init__(
        self,
        own: Neighbour,
        failure_domain: str,
        failure_domains: int,
        peers: ControlPeers,
        views: ViewStore,
        confirmer: Confirmer,
        access: ServerAccess,
        statements: Statements,
        freshness: FreshnessTracker,
        on_shares: Callable[[], None],
        final_writes: FinalWrites,
        client: JsonClient,
        clock: Clock,
        keeps_room: KeepsRoom,
        *,
        uses_primary_owners: bool = False,
        sends_target: bool = False,
    ) -> None:
        self._views = views
        self._directory = ProxyDirectory(
            own, failure_domains, clock, uses_primary_owners=uses_primary_owners
        )
        self._presence = PresenceCoordinator(
            own, failure_domain, self._directory, peers, client, clock
        )
        self._leases = LeaseTracker(self._idle_limit, clock)
        self._expiry = LeaseExpiry(self._leases, clock)
        self._slots = WorkSlots(NEW_REQUESTS)
        callers = CallerCheck(views, confirmer)
        self._statement_api = StatementApi(
            views,
            callers,
            NeighbourStatements(statements, self._directory),
            self._slots,
            clock,
        )
        self._transaction_api = TransactionApi(
            views,
            callers,
            access,
            self._leases,
            self._slots,
            final_writes,
            clock,
            keeps_room,
        )
        self._client = JsonLineClient(
            CONNECTIONS_TO_OWNER, OWNER_CONNECT_TIMEOUT, OWNER_UNACKNOWLEDGED_MS
        )
        self._limits = GroupLimits(self._directory, views)
        self._owners_api = OwnersApi(own.name, self._directory)
        self._positions_api = PositionsApi(freshness, clock)
        self._remote = RemoteOwners(own.name, failure_domain, self._directory, clock)
        self._primaries = PrimaryLocations(self._remote, views)
        self._remote_coordinator = RemoteOwnersCoordinator(
            self._remote, self._directory, peers, client, self._client, clock
        )
        self._remote.set_listener(self._remote_coordinator.wake, on_shares)
        self._primary_shares = PrimaryShares(views, self._directory, self._remote)
        self._positions = PositionCoordinator(
            freshness, self._remote, self._client, clock
        )
        owner_client = OwnerClient(self._directory, self._client, self._remote)
        self._forwarder = PrimaryForwarder(
            self._remote,
            OwnerStatements(owner_client, clock),
            freshness.record,
            clock,
        )
        self._statements = SharedStatements(
            statements, self._directory, owner_client, clock, self._forwarder
        )
        self._access = SharingAccess(
            access,
            self._directory,
            owner_client,
            self._remote,
            sends_target=sends_target,
        )

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
        return [
            *self._statement_api.routes(),
            *self._transaction_api.routes(),
            *self._owners_api.routes(),
            *self._positions_api.routes(),
        ]

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

    def end_leases(self) -> None:
        """Roll back transactions of other proxies that no statement runs in."""
        self._leases.end_all()

    def is_forwarded(self, group: str) -> bool:
        """Return whether requests to a group are forwarded to owners at present."""
        return bool(self._directory.owners(group))

    def forward_to_primary(self, request: Request) -> Reply | None:
        """Serve a read at a primary elsewhere; see ``PrimaryForwarder.forward``."""
        return self._forwarder.forward(request)

    def primary_share(self, server: BackendServer) -> PrimaryShare | None:
        """Return what this process may use of a primary; see ``PrimaryShares``."""
        return self._primary_shares.share(server)

    def set_up(self) -> None:
        """Start to share pools."""
        self._limits.set_up()
        self._primaries.set_up()
        self._expiry.set_up()
        self._presence.set_up()
        self._remote_coordinator.set_up()
        self._positions.set_up()

    def leave(self) -> None:
        """Stop accepting requests, and have control announce it to the neighbours."""
        self._slots.leave()
        self._directory.leave()
        self._presence.leave()

    def unload(self) -> None:
        """Stop all parts."""
        self._positions.unload()
        self._remote_coordinator.unload()
        self._presence.unload()
        self._expiry.unload()
        self._client.close()

    def _idle_limit(self, group: str) -> float:
        return self._views.settings(group).max_transaction_idle_ms / MILLISECONDS
