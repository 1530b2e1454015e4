"""The servers that may be the primaries of their groups, as known to this process."""

from dogwoodspool_common import BackendServer
from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ServerTable

from .placement import PrimaryHistory


class KnownPrimaries:
    """Track each group's probable primary and the servers that denied being it."""

    def __init__(self, views: ViewStore, table: ServerTable) -> None:
        self._views = views
        self._table = table
        self._history = PrimaryHistory()
        # By group: the server that answered that it is not the primary, and the version
        # of the view at that time.
        self._refusals: dict[str, tuple[str, int]] = {}
        views.add_listener(lambda view: self._history.record(view.groups.values()))

    def current(self, group: str) -> str | None:
        """Return the name of the probable primary; None if there is none."""
        candidates = self.candidates(group)
        return candidates[0].name if candidates else None

    def candidates(self, group: str) -> list[BackendServer]:
        """Return usable servers that may be the primary now, most likely first."""
        view = self._views.view
        servers = view.servers_of(group)
        found = self._history.candidates(view.groups.get(group), servers)
        return [one for one in found if self._accepts_work(one.name)]

    def record_not_primary(self, group: str, server: str) -> None:
        """Record that a server answered that it is not the primary."""
        self._refusals[group] = (server, self._views.view.version)

    def lost_groups(self) -> int:
        """Return the number of groups used by callers that have no reachable primary.

        A group whose server answered that it is not the primary counts as lost until a
        newer view arrives: another server was promoted, and this process has not
        learned of it.
        """
        view = self._views.view
        suspected_groups = self._table.failing_groups() | set(self._refusals)
        used = {one.group for one in view.databases.values()}
        return sum(
            self._is_lost(group, view.version) for group in suspected_groups & used
        )

    def primary_names(self, limit: int) -> list[str]:
        """Return the probable primaries of the groups that callers use.

        Args:
            limit: greatest number of groups to look at, in order of their names.
        """
        view = self._views.view
        groups = sorted({one.group for one in view.databases.values()})
        found = (self.current(group) for group in groups[:limit])
        return [name for name in found if name is not None]

    def _is_lost(self, group: str, version: int) -> bool:
        current = self.current(group)
        return current is None or self._refusals.get(group) == (current, version)

    def _accepts_work(self, name: str) -> bool:
        """Return whether a server may be given new work as a primary."""
        known = self._table.get(name)
        return known is None or known.takes_primary_work
