"""One read router for each database group, with the group's own settings."""

import threading

from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ReadRouter, RouterSettings, ServerTable


class GroupRouters:
    """Give each group's router with its settings in force."""

    def __init__(self, views: ViewStore, table: ServerTable) -> None:
        self._views = views
        self._table = table
        self._lock = threading.Lock()
        self._routers: dict[str, tuple[RouterSettings, ReadRouter]] = {}

    def router(self, group: str) -> ReadRouter:
        """Return a group's router."""
        wanted = RouterSettings(self._views.settings(group).replica_wait_ms)
        with self._lock:
            settings, router = self._routers.get(group, (None, None))
            if router is None:
                router = ReadRouter(self._table, wanted)
            elif settings != wanted:
                router.update_settings(wanted)
            self._routers[group] = wanted, router
            return router
