"""Tokens that a limit owner has for the proxies of its failure domain."""

import threading
from collections.abc import Callable, Mapping

from dogwoodspool_common import Clock, RateLimit

from .allocation import Allocation, Allocator
from .const import (
    EXHAUSTED_PAUSE_SECONDS,
    FORGOTTEN_DEMAND,
    HOLD_SECONDS,
    HOLD_TOKENS,
    LOW_SECONDS,
    LOW_TOKENS,
    MIN_WAIT_SECONDS,
    NO_DEMAND,
    RESERVE_OWNER_SECONDS,
)
from .demand import Demand
from .owner_bucket import OwnerBucket


class _AccountTokens:
    """Tokens and demand of one account."""

    def __init__(self, parts: Allocation, now: float) -> None:
        self.demand = Demand(now)
        self.bucket = OwnerBucket(parts.base, now, parts.start)
        self.drawn_seconds = parts.drawn_seconds
        self.draw_after = now
        self.asked_at = self.asked_since = now

    def max_unused(self, now: float) -> float:
        """Return the most unused tokens to keep."""
        return self.demand.per_second(now) * HOLD_SECONDS + HOLD_TOKENS

    def min_unused(self, now: float) -> float:
        """Return the tokens below which more are drawn."""
        return self.demand.per_second(now) * LOW_SECONDS + LOW_TOKENS


class DomainAllowance:
    """Count the operations of accounts in one failure domain.

    Each account has a base part of its limit here, and tokens drawn from control's
    leader in addition, as many as its demand needs for a fraction of a second. An
    owner that has just started has few tokens, because it does not know how many its
    predecessor used. At first an owner in reserve has only these and what it draws,
    because the first owner may still give out the base part.

    Args:
        is_first: returns whether this process is the first owner of an account.
    """

    def __init__(
        self,
        allocator: Allocator,
        clock: Clock,
        is_first: Callable[[str], bool] = lambda _account: True,
    ) -> None:
        self._is_first = is_first
        self._allocator = allocator
        self._clock = clock
        self._changed = threading.Condition()
        self._accounts: dict[str, _AccountTokens] = {}

    def take(self, account: str, count: int = 1) -> int:
        """Take tokens of an account, as many as there are; return how many."""
        now = self._clock.now()
        with self._changed:
            tokens = self._tokens(account, now)
            if tokens is None:
                return count
            tokens.demand.record(now, count)
            return tokens.bucket.take_up_to(now, count)

    def take_later(self, account: str, seconds: float) -> int:
        """Wait for one token of an account; return 0 if none comes in time.

        Tokens come with a draw or accrue in the base part. If the leader has just run
        out of the account's tokens, only the latter are waited for.
        """
        return int(self._wait_for(account, seconds, lambda one, now: one.take(now)))

    def exchange(self, account: str, age: float, seconds: float = 0.0) -> bool:
        """Return a token of some age and take another one; return whether there is one.

        Without another one the old token is not returned either.

        Args:
            account: name of the account.
            age: seconds since the token was taken, at the most.
            seconds: time to wait for another token, as in ``take_later``.
        """
        taken_after = self._clock.now() - age
        return self._wait_for(
            account, seconds, lambda one, now: one.exchange(now, taken_after)
        )

    def _wait_for(
        self,
        account: str,
        seconds: float,
        attempt: Callable[[OwnerBucket, float], bool],
    ) -> bool:
        """Repeat an attempt until it succeeds or no token can come in time."""
        deadline = self._clock.now() + seconds
        while True:
            now = self._clock.now()
            with self._changed:
                tokens = self._tokens(account, now)
                if tokens is None or attempt(tokens.bucket, now):
                    return True
                accrued_at = now + tokens.bucket.seconds_until(now)
                if tokens.draw_after > now and accrued_at > deadline:
                    return False
                if now >= deadline:
                    return False
                # A remainder too small for the clock to advance by is rounded up.
                wait = max(MIN_WAIT_SECONDS, min(deadline, accrued_at) - now)
                self._clock.wait(self._changed, wait)

    def give_back(self, account: str, count: int, age: float = 0.0) -> None:
        """Return tokens of operations that did not run; wake who waits for them.

        Args:
            account: name of the account.
            count: number of tokens.
            age: seconds since the oldest of them was taken, at the most.
        """
        now = self._clock.now()
        with self._changed:
            tokens = self._accounts.get(account)
            if tokens is not None and tokens.bucket.give_back(now, count, now - age):
                self._changed.notify_all()

    def wanted(self) -> dict[str, int]:
        """Return the tokens to draw for each account that runs short of them."""
        now = self._clock.now()
        wanted = {}
        with self._changed:
            self._drop_idle(now)
            for account, tokens in self._accounts.items():
                if tokens.draw_after > now:
                    continue
                if tokens.demand.per_second(now) < NO_DEMAND:
                    continue
                max_unused = tokens.max_unused(now)
                tokens.bucket.trim(now, max_unused)
                level = tokens.bucket.level(now)
                count = round(max_unused - level)
                if level < tokens.min_unused(now) and count > 0:
                    wanted[account] = count
        return wanted

    def record_draw(
        self,
        wanted: Mapping[str, int],
        given: Mapping[str, int],
        asked_at: float | None = None,
    ) -> None:
        """Add drawn tokens and wake the requests that wait for them.

        Args:
            wanted: tokens that the leader was asked for, by account.
            given: tokens that it gave.
            asked_at: clock seconds before it was asked; by default the present.
        """
        now = self._clock.now()
        with self._changed:
            for account, count in wanted.items():
                tokens = self._accounts.get(account)
                if tokens is None:
                    continue
                received = given.get(account, 0)
                drawn_at = now if asked_at is None else asked_at
                expires_at = drawn_at + tokens.drawn_seconds
                tokens.bucket.add_drawn(now, received, expires_at)
                if received < count:
                    tokens.draw_after = now + EXHAUSTED_PAUSE_SECONDS
            self._changed.notify_all()

    def retry_seconds(self, account: str) -> float:
        """Return the seconds until the base part has a token for an account."""
        now = self._clock.now()
        with self._changed:
            tokens = self._tokens(account, now)
            return 0.0 if tokens is None else tokens.bucket.seconds_until(now)

    def _drop_idle(self, now: float) -> None:
        """Forget accounts that are no longer used; those used again start anew."""
        idle = [
            account
            for account, tokens in self._accounts.items()
            if tokens.demand.per_second(now) < FORGOTTEN_DEMAND
        ]
        for account in idle:
            del self._accounts[account]

    def _tokens(self, account: str, now: float) -> _AccountTokens | None:
        parts = self._allocator.parts_of(account)
        if parts is None:
            self._accounts.pop(account, None)
            return None
        known = self._accounts.get(account)
        if known is None:
            known = self._accounts[account] = _AccountTokens(parts, now)
        if now - known.asked_at >= RESERVE_OWNER_SECONDS:
            known.asked_since = now
        known.asked_at = now
        base = parts.base
        is_new = now - known.asked_since < RESERVE_OWNER_SECONDS
        if is_new and not self._is_first(account):
            base = RateLimit(0.0, parts.base.burst)
        known.bucket.set_limit(base, now)
        known.drawn_seconds = parts.drawn_seconds
        return known
