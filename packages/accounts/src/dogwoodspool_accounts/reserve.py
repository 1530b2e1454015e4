"""The part of each account's limit that control's leader gives out on demand."""

import threading
from collections.abc import Mapping

from dogwoodspool_common import Clock

from .allocation import Allocator
from .token_bucket import TokenBucket


class LimitReserve:
    """Give out tokens of accounts; kept in memory by the leader.

    A new leader does not know what its predecessor gave out, so its reserves start
    empty and fill at their rates. The predecessor's leadership has ended by then.
    """

    def __init__(self, allocator: Allocator, clock: Clock) -> None:
        self._allocator = allocator
        self._clock = clock
        self._lock = threading.Lock()
        self._leads_since: float | None = None
        self._buckets: dict[str, TokenBucket] = {}

    def draw(self, wanted: Mapping[str, int], leads_since: float) -> dict[str, int]:
        """Take tokens for a limit owner.

        Args:
            wanted: tokens that it wants, by account.
            leads_since: clock seconds at which this process became the leader.
        """
        now = self._clock.now()
        with self._lock:
            if leads_since != self._leads_since:
                self._leads_since = leads_since
                self._buckets.clear()
            given = {}
            for account, count in wanted.items():
                bucket = self._bucket(account, leads_since, now)
                if bucket is None:
                    continue
                taken = bucket.take_up_to(now, count)
                if taken:
                    given[account] = taken
            return given

    def _bucket(
        self, account: str, leads_since: float, now: float
    ) -> TokenBucket | None:
        parts = self._allocator.parts_of(account)
        if parts is None:
            self._buckets.pop(account, None)
            return None
        bucket = self._buckets.get(account)
        if bucket is None:
            self._drop_unknown()
            bucket = self._buckets[account] = TokenBucket(parts.reserve, leads_since)
        bucket.set_limit(parts.reserve, now)
        return bucket

    def _drop_unknown(self) -> None:
        for account in list(self._buckets):
            if self._allocator.parts_of(account) is None:
                del self._buckets[account]
