"""The tokens that a limit owner has of one account."""

from collections import deque

from dogwoodspool_common import RateLimit

from .take_history import TakeHistory
from .token_bucket import TokenBucket


class OwnerBucket(TokenBucket):
    """A base part of a limit, and tokens drawn from control's leader.

    The level never exceeds the capacity of the base part and the drawn tokens that have
    not expired, returned tokens included. So the tokens that are taken in any span of
    time are at most the capacity, what accrues, and the drawn tokens that expire after
    its beginning.

    Example:
        >>> bucket = OwnerBucket(RateLimit(per_second=0, burst=4), now=0.0, level=4)
        >>> bucket.take_up_to(0.0, 4), bucket.give_back(0.5, 2, since=0.0)
        (4, 2.0)
        >>> bucket.level(0.5)
        2.0
    """

    def __init__(self, limit: RateLimit, now: float, level: float = 0.0) -> None:
        super().__init__(limit, now, level)
        self._history = TakeHistory(now)
        self._drawn: deque[tuple[float, int]] = deque()

    def take(self, now: float, count: float = 1) -> bool:
        """Take tokens if there are enough."""
        is_taken = super().take(now, count)
        if is_taken:
            self._record_take(count)
        return is_taken

    def take_up_to(self, now: float, count: float) -> int:
        """Take as many whole tokens as there are, up to a number; return how many."""
        taken = super().take_up_to(now, count)
        if taken:
            self._record_take(taken)
        return taken

    def add_drawn(self, now: float, count: int, expires_at: float) -> None:
        """Add tokens of the leader, which add to the capacity until a time."""
        if count > 0 and expires_at > now:
            self._fill(now)
            self._drawn.append((expires_at, count))
            self.add(now, count, self._level + count)

    def set_limit(self, limit: RateLimit, now: float) -> None:
        """Change rate and capacity; drawn tokens above the new capacity are dropped."""
        if limit.burst < self._limit.burst:
            self._drawn.clear()
        super().set_limit(limit, now)

    def give_back(self, now: float, count: float, since: float) -> float:
        """Put back tokens that were taken after a time; return how many were added.

        These may be fewer than ``count``; see ``TakeHistory``.
        """
        self._fill(now)
        worth = self._history.take_back(since, count)
        self._level += worth
        return worth

    def exchange(self, now: float, since: float) -> bool:
        """Put back a token that was taken after a time and take another one.

        If there is none to take, the old one is not put back either.

        Returns:
            Whether another token was taken.
        """
        self._fill(now)
        if self._level + self._history.worth(since, 1) < 1:
            return False
        self._level += self._history.take_back(since, 1) - 1
        self._record_take(1)
        return True

    @property
    def _room(self) -> float:
        """How far the level is below its maximum."""
        drawn = sum(count for _expires_at, count in self._drawn)
        return self._limit.burst + drawn - self._level

    def _record_take(self, count: float) -> None:
        self._history.record_take(count, self._room)

    def _fill(self, now: float) -> None:
        super()._fill(now)
        while self._drawn and self._drawn[0][0] <= now:
            self._drawn.popleft()
        self._level += min(0.0, self._room)
        self._history.record_room(now, self._room)
