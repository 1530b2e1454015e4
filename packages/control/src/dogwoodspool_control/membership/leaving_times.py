"""Since when servers are leaving, by the clock of one voter."""

from collections.abc import Mapping

from dogwoodspool_common import BackendServer, Clock


class LeavingTimes:
    """Times at which this process applied the announcements of leaving servers.

    They are no part of the replicated state, as no clock is shared. A time is known for
    an entry that was applied when it was committed, and not for one of a snapshot or
    of the log that a process finds at its start.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._replayed_until: int | None = None
        # By server: its incarnation, and when it began to leave if that is known.
        self._began: dict[str, tuple[int, float | None]] = {}

    def begin_live(self, last_index: int) -> None:
        """Know the times of entries after an index."""
        self._replayed_until = last_index

    def age(self, name: str) -> float | None:
        """Return the seconds since a server began to leave; None if not known."""
        _, began_at = self._began.get(name, (0, None))
        return None if began_at is None else self._clock.now() - began_at

    def record(self, index: int, servers: Mapping[str, BackendServer]) -> None:
        """Record the servers that are leaving after an entry."""
        is_live = self._replayed_until is not None and index > self._replayed_until
        self._update(servers, self._clock.now() if is_live else None)

    def restore(self, servers: Mapping[str, BackendServer]) -> None:
        """Record the servers that are leaving in a snapshot."""
        self._update(servers, None)

    def _update(self, servers: Mapping[str, BackendServer], now: float | None) -> None:
        leaving = [one for one in servers.values() if one.is_leaving]
        self._began = {one.name: self._began_of(one, now) for one in leaving}

    def _began_of(
        self, server: BackendServer, now: float | None
    ) -> tuple[int, float | None]:
        known = self._began.get(server.name)
        if known is not None and known[0] == server.incarnation:
            return known
        return server.incarnation, now
