"""Sharing of one read point request among concurrent reads."""

import threading
from collections.abc import Callable

from dogwoodspool_common import Clock

from .errors import NotConfirmedError


class _SharedFetch:
    """One request for a read point, shared by the reads that began before it."""

    def __init__(self) -> None:
        self.is_finished = False
        self.index: int | None = None


class SharedReadPoint:
    """Request a read point once for all reads that wait at the same time.

    After a power loss all proxies request their first view together; one request to
    the leader for each of them would occupy its threads while it is being elected. A
    read shares only a request that was sent after the read began, so that the response
    covers everything acknowledged before the read.

    Args:
        fetch: returns a read point by a deadline, or raises ``NotConfirmedError``.
    """

    def __init__(self, clock: Clock, fetch: Callable[[float], int]) -> None:
        self._clock = clock
        self._fetch = fetch
        self._fetch_ended = threading.Condition()
        self._is_fetching = False
        self._next_fetch = _SharedFetch()

    def get(self, deadline: float) -> int:
        """Return a read point.

        Args:
            deadline: clock time in seconds until which to wait.

        Raises:
            NotConfirmedError: no leader confirmed it before the deadline.
        """
        while True:
            shared = self._join(deadline)
            if shared is None:
                return self._run(deadline)
            if shared.index is not None:
                return shared.index
            # The shared request had an earlier deadline than this read: try again.

    def _join(self, deadline: float) -> _SharedFetch | None:
        """Wait for the next request to finish.

        Returns None if this read must send that request itself.
        """
        with self._fetch_ended:
            shared = self._next_fetch
            while not shared.is_finished:
                if not self._is_fetching:
                    self._is_fetching = True
                    return None
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    raise NotConfirmedError(
                        "no leader confirmed the read before the deadline"
                    )
                self._clock.wait(self._fetch_ended, remaining)
            return shared

    def _run(self, deadline: float) -> int:
        with self._fetch_ended:
            shared, self._next_fetch = self._next_fetch, _SharedFetch()
        try:
            shared.index = self._fetch(deadline)
            return shared.index
        finally:
            with self._fetch_ended:
                shared.is_finished = True
                self._is_fetching = False
                self._fetch_ended.notify_all()
