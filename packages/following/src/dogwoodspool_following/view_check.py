"""A second way to newer views, for when the watch is held up."""

from dogwoodspool_common import Clock, log_rate_limited
from dogwoodspool_common.const import MILLISECONDS

from .confirmation import ViewConfirmation
from .const import VIEW_CHECK_SECONDS, VIEW_OUTDATED_SECONDS
from .coordinator import Coordinator
from .view import ViewStore


class ViewCheck(Coordinator):
    """Ask for newer views while the watch has confirmed none for too long.

    The watch asks one control process at a time, and calls what depends on a view in
    its own thread: a request or a call that takes long would leave this process with
    an old view although control can be reached.
    """

    def __init__(
        self, views: ViewStore, confirmation: ViewConfirmation, clock: Clock
    ) -> None:
        super().__init__("view-check", clock)
        self._views = views
        self._confirmation = confirmation

    def step(self) -> float:
        """Confirm the view if the watch has not done so for too long."""
        age_ms = self._views.age_ms
        if age_ms is not None and age_ms > VIEW_OUTDATED_SECONDS * MILLISECONDS:
            is_newest = self._confirmation.confirm()
            log_rate_limited(
                "view_outdated",
                level="WARNING",
                age_ms=age_ms,
                confirmed_by=self._views.confirmed_by,
                view=self._views.view.version,
                is_newest=is_newest,
            )
        return VIEW_CHECK_SECONDS
