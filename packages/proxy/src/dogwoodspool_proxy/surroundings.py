"""What a proxy reaches of the groups that it serves."""

from dogwoodspool_following import ControlContact, ViewStore
from dogwoodspool_routing import ServerTable

from .grants import GrantTracker


class ProxySurroundings:
    """See ``Surroundings``."""

    def __init__(
        self, views: ViewStore, grants: GrantTracker, table: ServerTable
    ) -> None:
        self._views = views
        self._grants = grants
        self._table = table

    def look_closer(self, control: ControlContact) -> None:
        """Do nothing: renewals ask control and probes the servers, all the time."""

    def lost_groups(self) -> int:
        """Return how many groups cannot be written from here."""
        groups = self._views.view.groups
        return sum(self._grants.current(group) is None for group in groups)

    def answered_outside(self) -> float:
        """Return when a server of another failure domain last answered."""
        return self._table.answered_outside(self._views.failure_domain)
