"""What neighbours have told of their confirmed views."""

from dogwoodspool_common import Clock
from dogwoodspool_common.const import NEVER

from .const import TOLD_FOR_SECONDS
from .view import ViewStore


class NeighbourRecord:
    """Remember whether the view in force is as new as those of neighbours."""

    def __init__(self, views: ViewStore, clock: Clock) -> None:
        self._views = views
        self._clock = clock
        self._confirmed_at = NEVER
        self._newest = 0
        self._newest_told_at = NEVER

    @property
    def confirmed_at(self) -> float:
        """Clock time; all that was acknowledged before is known to be in force here."""
        return self._confirmed_at

    @property
    def newer_version(self) -> int | None:
        """A version that is in force elsewhere, as told lately; None without one."""
        is_known = self._clock.now() < self._newest_told_at + TOLD_FOR_SECONDS
        return self._newest if is_known and self._is_newer(self._newest) else None

    def record(self, version: int, began_at: float) -> None:
        """Record a neighbour's view.

        Args:
            version: its version.
            began_at: clock time; all that was acknowledged before is in that version.
        """
        if self._is_newer(version):
            self._newest = version
            self._newest_told_at = self._clock.now()
        else:
            self._confirmed_at = max(began_at, self._confirmed_at)

    def _is_newer(self, version: int) -> bool:
        return version > self._views.view.version
