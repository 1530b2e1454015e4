"""Writes outside of transactions."""

from dogwoodspool_common import BackendServer, Clock, log_rate_limited
from dogwoodspool_connections import OutcomeUnknownError

from .access import ServerAccess
from .const import BUSY_RETRY_SECONDS, NO_PRIMARY_RETRY_MS
from .errors import NotServedError
from .final_writes import Doubt, FinalWrites
from .held import HeldConnection
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
        request_id = request.statement.request_id
        return reply_if_final(
            self._final_writes, held, reply, request_id, request.deadline
        )

    def _attempt(self, held: LocalHeldConnection, request: Request) -> Reply:
        while True:
            # The view may have changed since the last attempt.
            doubt = self._final_writes.doubt_before(held)
            if doubt is not None:
                raise NotServedError(_not_final(held.server, doubt))
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


def reply_if_final(
    final_writes: FinalWrites,
    held: HeldConnection,
    reply: Reply,
    request_id: str,
    deadline: float,
) -> Reply:
    """Return the reply to an acknowledged write, or one in doubt if it may not last.

    Args:
        final_writes: decides whether it is sure to be kept.
        held: the connection that the write or its commit was answered on.
        reply: the server's reply.
        request_id: names the request in the log.
        deadline: clock seconds until which to wait for a replica.
    """
    doubt = final_writes.doubt_after(held, reply.position, deadline)
    if doubt is None:
        return reply
    log_rate_limited(
        "acknowledged_write_not_final",
        request=request_id,
        server=held.server.name,
        incarnation=held.server.incarnation,
        reason=doubt.value,
    )
    return in_doubt(doubt.value)


def _not_final(server: BackendServer, doubt: Doubt) -> StatementError:
    """Return the refusal of a write that could not become final."""
    message = f"the write was not sent to {server.name}: {doubt}"
    return StatementError(ErrorCode.BUSY, message, NO_PRIMARY_RETRY_MS)


def in_doubt(message: str) -> Reply:
    """Return the reply to a request that may have run."""
    error = StatementError(ErrorCode.IN_DOUBT, message)
    return Reply((), "", error, TransactionState.IDLE, None)
