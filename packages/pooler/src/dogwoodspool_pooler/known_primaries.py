"""Which servers may lead the groups, as this process knows."""

from dogwoodspool_common import BackendServer
from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ServerTable

from .const import LEAVING_GRACE_SECONDS
from .placement import PrimaryMemory


class KnownPrimaries:
    """Remember who leads each group, and who said that it does not."""

    def __init__(self, views: ViewStore, table: ServerTable) -> None:
        self._views = views
        self._table = table
        self._memory = PrimaryMemory()
        # Group, and the server that refused to lead it under that version of the view.
        self._refusals: dict[str, tuple[str, int]] = {}
        views.add_listener(lambda view: self._memory.note(view.groups.values()))

    def current(self, group: str) -> str | None:
        """Return the name of the server that probably leads."""
        candidates = self.candidates(group)
        return candidates[0].name if candidates else None

    def candidates(self, group: str) -> list[BackendServer]:
        """Return the servers that may lead now and take work, the likeliest first."""
        view = self._views.view
        servers = view.servers_of(group)
        found = self._memory.candidates(view.groups.get(group), servers)
        return [one for one in found if self._takes_work(one.name)]

    def note_refusal(self, group: str, server: str) -> None:
        """Take in that a server said that it does not lead."""
        self._refusals[group] = (server, self._views.view.version)

    def lost_groups(self) -> int:
        """Return how many of the groups that callers use have no primary in reach.

        A server that says that it does not lead counts as lost until a newer view
        comes: another was promoted, and this process does not know of it.
        """
        view = self._views.view
        in_doubt = self._table.failing_groups() | set(self._refusals)
        used = {one.group for one in view.databases.values()}
        return sum(self._is_lost(group, view.version) for group in in_doubt & used)

    def names(self, most: int) -> list[str]:
        """Return the servers that probably lead the groups that callers use."""
        view = self._views.view
        groups = sorted({one.group for one in view.databases.values()})
        found = (self.current(group) for group in groups[:most])
        return [name for name in found if name is not None]

    def _is_lost(self, group: str, version: int) -> bool:
        current = self.current(group)
        return current is None or self._refusals.get(group) == (current, version)

    def _takes_work(self, name: str) -> bool:
        """Tell whether a server may get new work.

        A leaving primary goes on for a while, since its lead is moved meanwhile
        and nobody else can take its writes. Then it gets none, also where the
        lead could not be moved.
        """
        known = self._table.get(name)
        if known is None:
            return True
        leaving_for = known.leaving_for
        is_leaving = leaving_for is not None and leaving_for >= LEAVING_GRACE_SECONDS
        return not known.is_failing and not is_leaving
