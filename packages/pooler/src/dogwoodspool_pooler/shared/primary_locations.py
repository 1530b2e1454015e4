"""Keep ``RemoteOwners`` informed of where the primaries are."""

from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_sharing import PrimaryLocation, RemoteOwners


class PrimaryLocations:
    """Update the remote owners with the primaries of each new view."""

    def __init__(self, remote: RemoteOwners, views: ViewStore) -> None:
        self._remote = remote
        self._views = views

    def set_up(self) -> None:
        """Begin to apply new views."""
        self._views.add_listener(self._apply_view)

    def _apply_view(self, view: ProxyView) -> None:
        primaries = {}
        for group in view.groups.values():
            server = view.servers.get(group.primary or "")
            if server is not None:
                primaries[group.name] = PrimaryLocation(
                    server.name, server.failure_domain
                )
        self._remote.set_primaries(primaries)
