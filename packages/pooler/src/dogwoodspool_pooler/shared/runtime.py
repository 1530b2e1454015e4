"""Wire together what shares pools among the proxies of a failure domain."""

from dogwoodspool_common import Clock, JsonClient, Route
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ControlPeers, ViewStore
from dogwoodspool_sharing import Neighbour, PresenceCoordinator, ProxyDirectory

from ..access import ServerAccess
from .const import CONNECTIONS_TO_OWNER, MAX_OWNERS_CONNECTED, OWNER_CONNECT_TIMEOUT
from .leases import LeaseBook, LeaseExpiry
from .owner_api import OwnerApi
from .remote import OwnedPools


class SharedPoolsRuntime:
    """Hold the parts by which one proxy borrows connections and lends its own.

    Args:
        own: this process.
        peers: control processes in the order of the failure domain.
        access: the own pools.
        client: calls control.
    """

    def __init__(
        self,
        own: Neighbour,
        failure_domain: str,
        failure_domains: int,
        peers: ControlPeers,
        views: ViewStore,
        access: ServerAccess,
        client: JsonClient,
        clock: Clock,
    ) -> None:
        self._views = views
        self._access = access
        self._directory = ProxyDirectory(own, failure_domains, clock)
        self._presence = PresenceCoordinator(
            own, failure_domain, self._directory, peers, client, clock
        )
        self._leases = LeaseBook(self._idle_limit, clock)
        self._expiry = LeaseExpiry(self._leases, clock)
        self._owner = OwnerApi(views, access, self._leases, clock)
        self._client = JsonClient(
            None, CONNECTIONS_TO_OWNER, MAX_OWNERS_CONNECTED, OWNER_CONNECT_TIMEOUT
        )
        self._pools = OwnedPools(self._directory, views, access, self._client)

    @property
    def routes(self) -> list[Route]:
        """The endpoints for other proxies."""
        return self._owner.routes()

    @property
    def neighbours(self) -> int:
        """Proxies of the failure domain, this one included."""
        return self._directory.count

    @property
    def leases(self) -> int:
        """Connections that transactions of other proxies hold."""
        return self._leases.count

    def set_up(self) -> None:
        """Begin to lend and to borrow."""
        self._access.set_shared_pools(self._pools)
        self._expiry.set_up()
        self._presence.set_up()

    def leave(self) -> None:
        """Take no more requests, and have control tell the others."""
        self._owner.leave()
        self._presence.leave()

    def unload(self) -> None:
        """Stop."""
        self._presence.unload()
        self._expiry.unload()
        self._client.close()

    def _idle_limit(self, group: str) -> float:
        return self._views.settings(group).max_transaction_idle_ms / MILLISECONDS
