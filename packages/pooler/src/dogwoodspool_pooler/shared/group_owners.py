"""The owners of each group's pools, by what its servers take."""

from collections.abc import Sequence

from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_sharing import Neighbour, ProxyDirectory


class GroupOwners:
    """Look up to whom requests to a group go."""

    def __init__(self, directory: ProxyDirectory, views: ViewStore) -> None:
        self._directory = directory
        self._views = views
        self._connections: dict[str, int] = {}
        views.add_listener(self._follow)

    def of(self, group: str) -> Sequence[Neighbour] | None:
        """Return the owners to ask in turn; None for the pools of this process."""
        connections = self._connections.get(group)
        if connections is None:
            return None
        return self._directory.owners(group, connections)

    def _follow(self, view: ProxyView) -> None:
        taken: dict[str, int] = {}
        for server in view.servers.values():
            settings = self._views.settings(server.group)
            connections = settings.server_connections or server.connections
            if connections:
                least = taken.get(server.group, connections)
                taken[server.group] = min(least, connections)
        self._connections = taken
