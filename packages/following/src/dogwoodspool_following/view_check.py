"""A second way to newer views, beside the watch."""

from dogwoodspool_common import Clock, log_event

from .confirmation import ViewConfirmation
from .const import (
    CONFIRMATION_READ_TIMEOUT,
    MAX_VIEW_CHECK_SECONDS,
    VIEW_CHECK_SECONDS,
)
from .coordinator import Coordinator
from .view import ViewStore


class ViewCheck(Coordinator):
    """Confirm the view every few seconds, whatever the watch has been told.

    The watch believes a control process that claims to be up to date, and it may be
    held up by a request or by what depends on a view. Either would leave this process
    with an old view although control can be reached.

    While no process has a free slot for a check, checks become rarer: there are more
    proxies than control can confirm views for. After other failures they do not, as a
    proxy may need the next one to have a change in time.
    """

    def __init__(
        self, views: ViewStore, confirmation: ViewConfirmation, clock: Clock
    ) -> None:
        super().__init__("view-check", clock)
        self._views = views
        self._confirmation = confirmation
        self._interval = VIEW_CHECK_SECONDS

    def step(self) -> float:
        """Confirm the view once."""
        if not self._views.is_filled:
            return VIEW_CHECK_SECONDS
        before, age_ms = self._views.view.version, self._views.age_ms
        confirmed_by = self._views.confirmed_by
        is_newest = self._confirmation.confirm(CONFIRMATION_READ_TIMEOUT)
        if not is_newest:
            return self._pause_after_failure()
        self._interval = VIEW_CHECK_SECONDS
        view = self._views.view
        if view.version > before and view.sender == self._confirmation.confirmed_by:
            log_event(
                "newer_view_found",
                version=view.version,
                before=before,
                sender=view.sender,
                watch_age_ms=age_ms,
                watch_confirmed_by=confirmed_by,
            )
        return self._interval

    def _pause_after_failure(self) -> float:
        self._interval = (
            min(2 * self._interval, MAX_VIEW_CHECK_SECONDS)
            if self._confirmation.lacks_slot
            else VIEW_CHECK_SECONDS
        )
        return self._interval
