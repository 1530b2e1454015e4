"""Guarantee each kind of work a minimum of service."""

from .const import MAX_KINDS, MIN_KIND_SHARE, MINIMUM_WEIGHT


class KindMinimum:
    """Track which fraction of each kind's waiting statements ran in time.

    A kind whose fraction is below the minimum goes before all others until it reaches
    the minimum. Otherwise an overload by more urgent or shorter work would keep the
    kind that goes last from running at all.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def is_starved(self, kind: str) -> bool:
        """Return whether a kind gets less than the minimum."""
        return self._shares.get(kind, 1.0) < MIN_KIND_SHARE

    def record_waiting(self, kind: str) -> None:
        """Record a statement that found no room and is to wait."""
        share = self._shares.get(kind)
        if share is not None:
            self._shares[kind] = share * (1 - MINIMUM_WEIGHT)
        elif len(self._shares) < MAX_KINDS:
            self._shares[kind] = 1.0

    def record_served(self, kind: str) -> None:
        """Record that a statement which had to wait runs in time."""
        if kind in self._shares:
            self._shares[kind] += MINIMUM_WEIGHT
