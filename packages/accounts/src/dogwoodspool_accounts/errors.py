"""Errors of the accounts library."""

from dogwoodspool_common import DogwoodspoolError


class RateLimitedError(DogwoodspoolError):
    """Report an operation that exceeds its account's rate limit; it did not run.

    Attributes:
        retry_after_ms: milliseconds until an operation of the account can pass.
    """

    def __init__(self, message: str, retry_after_ms: int) -> None:
        super().__init__(message)
        self.retry_after_ms = retry_after_ms
