"""Check that a neighbour's request is for a database of this process's own view."""

from dogwoodspool_following import ProxyView, ViewStore


class RouteCheck:
    """Compare routes of neighbours with those of this process's own view.

    A neighbour that is cut off from control may not know that a database was removed or
    moved to another group. An owner that does must not run what it forwards. If the
    owner is the one that is behind, the neighbour serves the request elsewhere.
    """

    def __init__(self, views: ViewStore) -> None:
        self._views = views
        # The groups that serve a database of one view, which is kept with them.
        self._groups: tuple[ProxyView | None, frozenset[str]] = (None, frozenset())

    def is_known(self, group: str, database: str = "") -> bool:
        """Return whether a group serves a database, or any if none is named."""
        view = self._views.view
        if group not in view.groups:
            return False
        if not database:
            return group in self._groups_of(view)
        endpoint = view.databases.get(database)
        return endpoint is not None and endpoint.group == group

    def _groups_of(self, view: ProxyView) -> frozenset[str]:
        known, groups = self._groups
        if known is not view:
            groups = frozenset(one.group for one in view.databases.values())
            self._groups = (view, groups)
        return groups
