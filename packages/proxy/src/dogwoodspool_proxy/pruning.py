"""Removal of the rows of old request ids."""

import random

from dogwoodspool_backend import BackendError, StatementFailedError
from dogwoodspool_common import Clock, log_event
from dogwoodspool_following import Coordinator, ViewStore
from dogwoodspool_requests import PRUNE

from .const import (
    PRUNE_FIRST_SECONDS,
    PRUNE_INTERVAL_SECONDS,
    PRUNE_TIMEOUT_SECONDS,
)
from .grants import GrantTracker
from .writes import WritePath


class RequestPruner(Coordinator):
    """Delete rows of request ids that are older than their retention.

    A request sent again after the retention would run a second time, so callers must
    not resend for longer than that (see ``docs/OPERATIONS.md``).
    """

    def __init__(
        self, views: ViewStore, grants: GrantTracker, writes: WritePath, clock: Clock
    ) -> None:
        super().__init__("request-pruner", clock)
        self._views = views
        self._grants = grants
        self._writes = writes
        self._has_begun = False
        self._random = random.Random()

    def step(self) -> float:
        """Prune every group for which this proxy holds a grant."""
        if not self._has_begun:
            self._has_begun = True
            return PRUNE_FIRST_SECONDS
        for group in list(self._views.view.groups):
            self._prune(group)
        # The random part keeps proxies that started together from pruning together.
        return PRUNE_INTERVAL_SECONDS * (1 + self._random.random())

    def _prune(self, group: str) -> None:
        permit = self._grants.begin_write(group)
        if permit is None:
            return
        retention_s = self._views.settings(group).request_retention_s
        deadline = self._clock.now() + PRUNE_TIMEOUT_SECONDS
        try:
            opened = self._writes.open(permit, deadline)
            if opened.is_error():
                return
            held = opened.ok
            try:
                result = held.connection.execute(
                    PRUNE.format(retention_s=retention_s), PRUNE_TIMEOUT_SECONDS
                )
                log_event("requests_pruned", group=group, rows=result.affected_rows)
            except StatementFailedError as error:
                # The table does not exist before the first request with an id.
                log_event("prune_refused", level="DEBUG", group=group, error=error)
            except BackendError as error:
                log_event("prune_failed", group=group, error=error)
            finally:
                held.finish(held.connection.is_open)
        finally:
            self._grants.end_write(permit)
