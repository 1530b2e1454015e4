"""Guards of rate limits."""

from typing import Any

from .model import Guard, replace


def limit_counted_per_proxy() -> None:
    """Let each proxy count with a whole limit of its own."""
    from dogwoodspool_accounts import AccountLimiter, RateLimitedError, TokenBucket

    buckets: dict[str, TokenBucket] = {}

    def acquire(self: Any, account: str) -> None:
        limit = self._limit_of(account)
        if limit is None:
            return
        now = self._clock.now()
        bucket = buckets.setdefault(account, TokenBucket(limit, now, limit.burst * 8))
        if not bucket.take(now):
            raise RateLimitedError("over the limit", 10)

    replace(AccountLimiter, "acquire", acquire)


def limit_kept() -> None:
    """Keep the first limit of an account whatever the settings say later."""
    from dogwoodspool_proxy.accounts import CallerAccounts

    first: dict[str, Any] = {}

    def rate_limit(self: Any, account: str) -> Any:
        current = original(self, account)
        if current is not None:
            first.setdefault(account, current)
        return first.get(account)

    original = replace(CallerAccounts, "rate_limit", rate_limit)


GUARDS = (
    Guard("limit-counted-per-proxy", limit_counted_per_proxy),
    Guard("limit-kept", limit_kept),
)
