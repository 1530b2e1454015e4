"""Exchange the tokens of operations that have waited, before a server sees them."""

from collections.abc import Callable

from dogwoodspool_accounts import RateLimitedError
from dogwoodspool_common import Clock
from dogwoodspool_common.counters import Counters

from .const import MAX_TOKEN_AGE
from .errors import NotServedError
from .models import ErrorCode, StatementError
from .requests import AdmissionRequest


class TokenAge:
    """Bound the time between the token of an operation and its first statement.

    A token counts in the window in which it was taken, but its operation in the window
    in which a server sees it. Without a bound, operations with old tokens could exceed
    the limit of a later window.

    Args:
        exchange: exchanges a token of an account; see ``OperationLimiter.exchange``.
    """

    def __init__(
        self,
        exchange: Callable[[str, float], None],
        counters: Counters,
        clock: Clock,
    ) -> None:
        self._exchange = exchange
        self._counters = counters
        self._clock = clock

    def check(self, request: AdmissionRequest, max_age: float = MAX_TOKEN_AGE) -> None:
        """Exchange the token of an operation if it is older than a bound.

        Raises:
            NotServedError: there is no token for it at present; it must not run.
        """
        if not request.account or request.arrived_at is None:
            return
        age = self._clock.now() - request.arrived_at
        if age <= max_age:
            return
        try:
            self._exchange(request.account, age)
        except RateLimitedError as error:
            self._counters.rate_limited(request.account)
            raise NotServedError(
                StatementError(ErrorCode.BUSY, str(error), error.retry_after_ms)
            ) from error
