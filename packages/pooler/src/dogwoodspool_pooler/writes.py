"""Writes outside of transactions."""

from dogwoodspool_common import BackendServer, Clock, log_rate_limited
from dogwoodspool_connections import OutcomeUnknownError

from .access import ServerAccess
from .const import BUSY_RETRY_SECONDS
from .local_connection import LocalHeldConnection
from .models import ErrorCode, Reply, StatementError, TransactionState
from .primaries import PrimaryPath
from .requests import Request


class WritePath:
    """Serve writes outside of transactions, which commit on their own.

    A write is sent again only after the server reported that it did not run it.
    """

    def __init__(
        self,
        primaries: PrimaryPath[LocalHeldConnection],
        access: ServerAccess,
        clock: Clock,
    ) -> None:
        self._primaries = primaries
        self._access = access
        self._clock = clock

    def run(self, request: Request) -> Reply:
        """Serve one write.

        Raises:
            NotServedError: it did not run.
        """
        try:
            held, reply = self._primaries.run(
                request, lambda one: self._attempt(one, request), may_write=True
            )
        except OutcomeUnknownError as error:
            return write_in_doubt(request, error)
        held.finish(is_good=reply.state is TransactionState.IDLE)
        if reply.error is None and self._primaries.is_given_up(held.server):
            return given_up_in_doubt(request, held.server)
        return reply

    def _attempt(self, held: LocalHeldConnection, request: Request) -> Reply:
        while True:
            asked_at = self._clock.now()
            reply = held.run(
                request.values, request.statement, request.prepared, request.deadline
            )
            if reply.error is None:
                self._access.record_freshness(held.server, reply.position, asked_at)
                return reply
            is_busy = reply.error.code is ErrorCode.BUSY
            if not is_busy or self._clock.now() >= request.start_by:
                return reply
            self._clock.sleep(BUSY_RETRY_SECONDS)
            self._access.check_token(request.admission_request())


def write_in_doubt(request: Request, error: OutcomeUnknownError) -> Reply:
    """Log a write that was sent and not answered, and return its reply."""
    log_rate_limited(
        "write_in_doubt",
        request=request.statement.request_id,
        database=request.endpoint.database,
        reason=error,
    )
    return in_doubt("the write was sent to the server and got no complete answer")


def given_up_in_doubt(request: Request, server: BackendServer) -> Reply:
    """Log an acknowledgement that may not last, and return the reply instead of it."""
    log_rate_limited(
        "acknowledged_by_given_up_server",
        request=request.statement.request_id,
        database=request.endpoint.database,
        server=server.name,
        incarnation=server.incarnation,
    )
    return in_doubt("the server that acknowledged it is being replaced")


def in_doubt(message: str) -> Reply:
    """Return the reply to a request that may have run."""
    error = StatementError(ErrorCode.IN_DOUBT, message)
    return Reply((), "", error, TransactionState.IDLE, None)
