"""Operations of accounts at one proxy, for operators."""

import threading
from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AccountUsage:
    """Operations of one account since the start of the process.

    Attributes:
        operations: operations that were admitted, those that did not run included.
        rate_limited: operations that were refused for the account's rate limit.
    """

    account: str
    operations: int
    rate_limited: int


class UsageCounter:
    """Count the operations of each account."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._operations: Counter[str] = Counter()
        self._rate_limited: Counter[str] = Counter()

    def record(self, account: str, *, is_admitted: bool) -> None:
        """Count one operation."""
        counts = self._operations if is_admitted else self._rate_limited
        with self._lock:
            counts[account] += 1

    def usage(self) -> list[AccountUsage]:
        """Return the counts of all accounts, by name."""
        with self._lock:
            accounts = sorted({*self._operations, *self._rate_limited})
            return [
                AccountUsage(one, self._operations[one], self._rate_limited[one])
                for one in accounts
            ]
