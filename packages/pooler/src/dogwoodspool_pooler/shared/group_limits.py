"""Tell the directory what each group's servers take."""

from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_sharing import ProxyDirectory


class GroupLimits:
    """Keep the directory at the groups and connection limits of the newest view."""

    def __init__(self, directory: ProxyDirectory, views: ViewStore) -> None:
        self._directory = directory
        self._views = views

    def set_up(self) -> None:
        """Follow the view."""
        self._views.add_listener(self._follow)

    def _follow(self, view: ProxyView) -> None:
        taken: dict[str, int] = {}
        for server in view.servers.values():
            connections = self._views.connections_of(server)
            if connections:
                least = taken.get(server.group, connections)
                taken[server.group] = min(least, connections)
        self._directory.set_groups(taken)
