"""How many connections to a primary this process may hold."""

from dogwoodspool_common import BackendServer
from dogwoodspool_following import ViewStore
from dogwoodspool_sharing import ProxyDirectory, RemoteOwners

from ..const import CONTROL_CONNECTIONS


class PrimaryConnections:
    """Divide the connections to primaries that few owners use for all proxies."""

    def __init__(
        self, views: ViewStore, directory: ProxyDirectory, remote: RemoteOwners
    ) -> None:
        self._views = views
        self._directory = directory
        self._remote = remote

    def limit(self, server: BackendServer) -> int | None:
        """Return the greatest number of connections; None if the usual share applies.

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
        available = connections - CONTROL_CONNECTIONS
        return self._directory.primary_part(group, available, is_near=is_near)
