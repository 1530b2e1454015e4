"""Writes outside of transactions."""

from dogwoodspool_common import BackendServer, Clock, log_rate_limited
from dogwoodspool_connections import OutcomeUnknownError

from .access import ServerAccess
from .const import BUSY_RETRY_SECONDS, NO_PRIMARY_RETRY_MS
from .errors import NotServedError
from .final_writes import FinalWrites
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
        final_writes: FinalWrites,
        clock: Clock,
    ) -> None:
        self._primaries = primaries
        self._access = access
        self._final_writes = final_writes
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
        if reply.error is not None:
            return reply
        if self._final_writes.is_final(held, reply.position, request.deadline):
            return reply
        return not_final_in_doubt(request.statement.request_id, held.server)

    def _attempt(self, held: LocalHeldConnection, request: Request) -> Reply:
        if not self._final_writes.can_be_final(held):
            raise NotServedError(no_replica(held.server))
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


def not_final_in_doubt(request_id: str, server: BackendServer) -> Reply:
    """Log an acknowledgement that may not last, and return the reply instead of it."""
    log_rate_limited(
        "acknowledged_write_not_final",
        request=request_id,
        server=server.name,
        incarnation=server.incarnation,
    )
    return in_doubt("no recorded replica is known to have it")


def no_replica(server: BackendServer) -> StatementError:
    """Return the refusal of a write that could not become final."""
    message = f"no replica of {server.name} that could receive it can be reached"
    return StatementError(ErrorCode.BUSY, message, NO_PRIMARY_RETRY_MS)


def in_doubt(message: str) -> Reply:
    """Return the reply to a request that may have run."""
    error = StatementError(ErrorCode.IN_DOUBT, message)
    return Reply((), "", error, TransactionState.IDLE, None)
