"""A second way to newer views, beside the watch."""

from dogwoodspool_common import Clock

from .confirmation import ViewConfirmation
from .const import VIEW_CHECK_ATTEMPT_SECONDS
from .coordinator import Coordinator
from .view import ViewStore


class ViewCheck(Coordinator):
    """Keep the view confirmed, whatever the watch has been told.

    The watch believes a control process that claims to be up to date, and it may be
    held up by a request or by what depends on a view. Either would leave this process
    with an old view although control can be reached.
    """

    def __init__(
        self, views: ViewStore, confirmation: ViewConfirmation, clock: Clock
    ) -> None:
        super().__init__("view-check", clock)
        self._views = views
        self._confirmation = confirmation

    def step(self) -> float:
        """Begin the reads that are due."""
        if not self._views.is_filled:
            return VIEW_CHECK_ATTEMPT_SECONDS
        return self._confirmation.advance()
