"""Keep the directory informed of the limits of each group's servers."""

from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_sharing import ProxyDirectory, ServerLimits


class GroupLimits:
    """Update the directory with the groups and server limits of each new view."""

    def __init__(self, directory: ProxyDirectory, views: ViewStore) -> None:
        self._directory = directory
        self._views = views

    def set_up(self) -> None:
        """Begin to apply new views."""
        self._views.add_listener(self._apply_view)

    def _apply_view(self, view: ProxyView) -> None:
        limits: dict[str, ServerLimits] = {}
        for server in view.servers.values():
            connections = self._views.connections_of(server)
            if connections:
                least = limits.get(server.group)
                limits[server.group] = ServerLimits(
                    min(server.slots, least.slots if least else server.slots),
                    min(connections, least.connections if least else connections),
                )
        self._directory.set_groups(limits)
