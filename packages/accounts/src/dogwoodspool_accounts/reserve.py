"""The part of each account's limit that control's leader gives out on demand."""

import threading
from collections.abc import Callable, Mapping

from dogwoodspool_api import Message, Name
from dogwoodspool_common import Clock, JsonRequest, JsonResponse, Route
from pydantic import Field

from .allocation import Allocator
from .const import PATH_DRAW
from .token_bucket import TokenBucket


class DrawRequest(Message):
    """Tokens that a limit owner wants, by account."""

    wanted: dict[Name, int] = Field(max_length=100_000)


class DrawResponse(Message):
    """Tokens that the leader gives, by account; accounts without any are left out."""

    given: dict[str, int]


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


class ReserveApi:
    """Serve limit owners that draw tokens.

    Args:
        leads_since: returns the clock seconds since which this process leads; raises
            the error of a process that does not lead.
    """

    def __init__(self, reserve: LimitReserve, leads_since: Callable[[], float]) -> None:
        self._reserve = reserve
        self._leads_since = leads_since

    def routes(self) -> list[Route]:
        """Return the routes that it serves."""
        return [Route("POST", PATH_DRAW, self._draw)]

    def _draw(self, request: JsonRequest) -> JsonResponse:
        message = DrawRequest.model_validate(request.body)
        given = self._reserve.draw(message.wanted, self._leads_since())
        return JsonResponse(DrawResponse(given=given).model_dump(mode="json"))
