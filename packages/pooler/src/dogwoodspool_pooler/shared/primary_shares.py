"""The connections and slots of a primary that this process may use."""

from dogwoodspool_common import BackendServer
from dogwoodspool_following import ViewStore
from dogwoodspool_sharing import (
    PrimaryShare,
    ProxyDirectory,
    RemoteOwners,
    ServerLimits,
)

from ..const import CONTROL_CONNECTIONS


class PrimaryShares:
    """Divide the connections of primaries among the owners of all failure domains.

    It applies where the owners near a primary serve it for all proxies.
    """

    def __init__(
        self, views: ViewStore, directory: ProxyDirectory, remote: RemoteOwners
    ) -> None:
        self._views = views
        self._directory = directory
        self._remote = remote

    def share(self, server: BackendServer) -> PrimaryShare | None:
        """Return this process's share of a server; None if the usual share applies.

        Without known owners near a primary elsewhere, this process sends requests to
        the primary itself and needs its usual share.
        """
        group = server.group
        connections = self._views.connections_of(server)
        if not connections or not self._remote.is_primary(group, server.name):
            return None
        is_near = server.failure_domain == self._views.failure_domain
        if not is_near and not self._remote.is_elsewhere(group):
            return None
        limits = ServerLimits(server.slots, connections - CONTROL_CONNECTIONS)
        return self._directory.primary_share(group, limits, is_near=is_near)
