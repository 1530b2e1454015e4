"""Count operations against the rate limits of client accounts."""

from collections.abc import Callable

from dogwoodspool_accounts import OperationLimiter, RateLimitedError
from dogwoodspool_common import Clock
from dogwoodspool_common.counters import Counters

from .errors import AnswerLostError, NotServedError
from .identity import Caller
from .models import ErrorCode, Reply, StatementError
from .requests import Request
from .transactions import Transaction


class OperationCounter:
    """Take a token before an operation, and give it back if the operation did not run.

    An operation is a statement outside of a transaction, or a whole transaction, which
    is counted at its first statement that needs a server.
    """

    def __init__(
        self, limiter: OperationLimiter, counters: Counters, clock: Clock
    ) -> None:
        self._limiter = limiter
        self._counters = counters
        self._clock = clock

    def run_single(self, request: Request, run: Callable[[Request], Reply]) -> Reply:
        """Run a statement outside of a transaction.

        Raises:
            NotServedError: it did not run, possibly because of the rate limit.
        """
        self._take(request.caller)
        try:
            reply = run(request)
        except AnswerLostError:
            raise  # It may have run.
        except NotServedError:
            self._give_back(request)
            raise
        self._give_back_if_not_run(request, reply)
        return reply

    def run_in_transaction(
        self,
        transaction: Transaction,
        request: Request,
        run: Callable[[Transaction, Request], Reply],
    ) -> Reply:
        """Run a statement of a transaction, or its commit.

        Raises:
            NotServedError: the transaction must not run because of the rate limit.
        """
        if transaction.is_counted or transaction.has_failed:
            return run(transaction, request)
        self._take(transaction.caller)
        transaction.is_counted = True
        reply = run(transaction, request)
        self._give_back_if_not_run(request, reply)
        return reply

    def _take(self, caller: Caller) -> None:
        if not caller.account:
            return
        try:
            self._limiter.acquire(caller.account)
        except RateLimitedError as error:
            self._counters.rate_limited(caller.account)
            raise NotServedError(
                StatementError(ErrorCode.BUSY, str(error), error.retry_after_ms)
            ) from error

    def _give_back_if_not_run(self, request: Request, reply: Reply) -> None:
        if reply.error is not None and reply.error.code.is_not_run:
            self._give_back(request)

    def _give_back(self, request: Request) -> None:
        age = self._clock.now() - request.arrived_at
        self._limiter.give_back(request.caller.account, age)
