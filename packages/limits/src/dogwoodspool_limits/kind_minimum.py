"""Guarantee each kind of work a minimum of service."""

from .const import MAX_KINDS, MIN_KIND_SHARE, MINIMUM_WEIGHT


class KindMinimum:
    """Track which part of each kind's work ran in time.

    A kind whose part is below the minimum goes before all others until it is
    reached. Otherwise an overload by more urgent or shorter work would keep the last
    kind from running at all.
    """

    def __init__(self) -> None:
        self._shares: dict[str, float] = {}

    def is_starved(self, kind: str) -> bool:
        """Return whether a kind gets less than the minimum."""
        return self._shares.get(kind, 1.0) < MIN_KIND_SHARE

    def record_asked(self, kind: str) -> None:
        """Record work that asked to wait."""
        share = self._shares.get(kind)
        if share is not None:
            self._shares[kind] = share * (1 - MINIMUM_WEIGHT)
        elif len(self._shares) < MAX_KINDS:
            self._shares[kind] = 1.0

    def record_served(self, kind: str) -> None:
        """Record that work which had asked runs in time."""
        if kind in self._shares:
            self._shares[kind] += MINIMUM_WEIGHT
