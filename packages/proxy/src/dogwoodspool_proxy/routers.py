"""Read routers for each database group."""

import threading

from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ReadRouter, RouterSettings, ServerTable


class GroupRouters:
    """Provide a read router for each group, with the settings in force there."""

    def __init__(self, views: ViewStore, table: ServerTable) -> None:
        self._views = views
        self._table = table
        self._lock = threading.Lock()
        self._routers: dict[str, tuple[RouterSettings, ReadRouter]] = {}

    def router(self, group: str) -> ReadRouter:
        """Return a group's router, updated to the settings in force."""
        current = RouterSettings(self._views.settings(group).replica_wait_ms)
        with self._lock:
            settings, router = self._routers.get(group, (None, None))
            if router is None:
                self._drop_removed_groups()
                router = ReadRouter(self._table, current)
            elif settings != current:
                router.update_settings(current)
            self._routers[group] = current, router
            return router

    def _drop_removed_groups(self) -> None:
        present = self._views.view.groups
        for group in [name for name in self._routers if name not in present]:
            del self._routers[group]
