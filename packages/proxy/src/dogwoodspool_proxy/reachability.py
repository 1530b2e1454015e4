"""Reachability of the database groups that a proxy serves."""

from dogwoodspool_following import ControlContact, ViewStore
from dogwoodspool_routing import ServerTable

from .grants import GrantTracker


class ProxyReachability:
    """See ``ReachabilitySource``."""

    def __init__(
        self, views: ViewStore, grants: GrantTracker, table: ServerTable
    ) -> None:
        self._views = views
        self._grants = grants
        self._table = table

    def probe_actively(self, control: ControlContact) -> None:
        """Do nothing: renewals and probes already run continuously."""

    def lost_groups(self) -> int:
        """Return how many groups this proxy holds no valid grant for."""
        groups = self._views.view.groups
        return sum(self._grants.current(group) is None for group in groups)

    def answered_outside(self) -> float:
        """Return when a server of another failure domain last answered."""
        return self._table.answered_outside(self._views.failure_domain)
