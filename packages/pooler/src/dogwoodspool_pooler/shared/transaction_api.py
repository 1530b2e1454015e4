"""Run transactions of neighbours on the connections of this proxy."""

from collections.abc import Callable

from dogwoodspool_common import (
    BackendServer,
    Clock,
    JsonRequest,
    JsonResponse,
    Route,
    error_response,
    log_rate_limited,
)
from dogwoodspool_connections import (
    ConnectFailedError,
    OutcomeUnknownError,
    ServerDownError,
)
from dogwoodspool_following import ViewStore

from ..access import ServerAccess
from ..const import BUSY_RETRY_MS
from ..errors import NotFreshError, NotServedError
from ..final_writes import FinalWrites
from ..held import ReadBound
from ..local_connection import LocalHeldConnection
from ..models import Access, ErrorCode, Reply, StatementError, StatementKind
from ..requests import AdmissionRequest
from ..writes import reply_if_final
from .caller_check import CallerCheck
from .const import (
    FORWARDED_TOKEN_AGE,
    HOP_SECONDS,
    OWNER_ATTEMPTS,
    PATH_RELEASE,
    PATH_TRANSACTION,
)
from .errors import OwnerBehindError, OwnerUnavailableError
from .handling import internal_errors
from .leases import LeaseTracker
from .messages import (
    Failure,
    OwnerRefusal,
    RefusalMessage,
    ReleaseLease,
    ReplyMessage,
    TransactionRequest,
    TransactionResponse,
    caller_of,
)
from .route_check import RouteCheck
from .slots import WorkSlots, refusal_response

# Returns whether a server is to refuse read-only transactions with a bound, because it
# is a loaded primary whose capacity only other requests need.
KeepsRoom = Callable[[BackendServer, ReadBound], bool]


class TransactionApi:
    """Serve transactions of other proxies on connections that are leased to them."""

    def __init__(
        self,
        views: ViewStore,
        callers: CallerCheck,
        access: ServerAccess,
        leases: LeaseTracker,
        slots: WorkSlots,
        final_writes: FinalWrites,
        clock: Clock,
        keeps_room: KeepsRoom = lambda _server, _bound: False,
    ) -> None:
        self._final_writes = final_writes
        self._keeps_room = keeps_room
        self._views = views
        self._routes = RouteCheck(views)
        self._callers = callers
        self._slots = slots
        self._access = access
        self._leases = leases
        self._clock = clock

    def routes(self) -> list[Route]:
        """Return the routes that it serves."""
        return [
            Route("POST", PATH_TRANSACTION, self._run),
            Route("POST", PATH_RELEASE, self._release),
        ]

    def _run(self, request: JsonRequest) -> JsonResponse:
        message = TransactionRequest.model_validate(request.body)
        with internal_errors():
            return self._serve(message)

    def _serve(self, message: TransactionRequest) -> JsonResponse:
        try:
            if message.statement.kind is not StatementKind.ROLLBACK:
                self._callers.check(caller_of(message.caller))
        except OwnerBehindError as error:
            # An open transaction goes on: its begin was checked here.
            if message.lease is None:
                return refusal_response(error)
        except NotServedError as error:
            return self._refuse(message, error)
        if message.lease is not None:
            held = self._leases.take(message.lease)
            if held is None:
                return error_response(410, OwnerRefusal.UNKNOWN_LEASE, message.lease)
            return _json_response(self._run_on_connection(held, message))
        server = self._server(message)
        if server is None:
            return error_response(421, OwnerRefusal.NOT_KNOWN, message.server.server)
        bound = None if message.bound is None else message.bound.value()
        if bound is not None and self._keeps_room(server, bound):
            return _json_response(_refused_at_primary(server))
        try:
            with self._slots.acquire_slot():
                return _json_response(self._begin(server, message))
        except OwnerUnavailableError as error:
            return refusal_response(error)

    def _refuse(
        self, message: TransactionRequest, error: NotServedError
    ) -> JsonResponse:
        """Refuse a statement and roll back the transaction that it belongs to."""
        held = None if message.lease is None else self._leases.take(message.lease)
        if held is not None:
            held.finish(is_good=False)
        refusal = RefusalMessage.of(error.error)
        return _json_response(
            TransactionResponse(failure=Failure.REFUSED, refusal=refusal)
        )

    def _release(self, request: JsonRequest) -> JsonResponse:
        message = ReleaseLease.model_validate(request.body)
        held = self._leases.take(message.lease)
        if held is not None:
            held.finish(is_good=message.is_good)
        return JsonResponse()

    def _server(self, message: TransactionRequest) -> BackendServer | None:
        """Return the requested server if this process knows the same incarnation.

        It is not used if the view has no database that it serves.
        """
        requested = message.server
        known = self._views.view.servers.get(requested.server)
        if known is None or known.is_gone:
            return None
        if not self._routes.is_known(known.group, message.kind):
            return None
        is_same = str(known.address) == requested.address
        return known if is_same and known.incarnation == requested.incarnation else None

    def _begin(
        self, server: BackendServer, message: TransactionRequest
    ) -> TransactionResponse:
        now = self._clock.now()
        admission_request = AdmissionRequest(
            priority=message.priority,
            values=message.values,
            start_by=now + message.wait,
            deadline=now + message.wait + message.answer,
            target=None if message.target is None else now + message.target,
            kind=message.kind,
            account=caller_of(message.caller).account,
            arrived_at=now - FORWARDED_TOKEN_AGE - HOP_SECONDS,
        )
        for _attempt in range(OWNER_ATTEMPTS):
            try:
                held = self._access.open_local(server, admission_request)
            except NotServedError as error:
                refusal = RefusalMessage.of(error.error)
                return TransactionResponse(failure=Failure.REFUSED, refusal=refusal)
            except ConnectFailedError as error:
                return _not_reached(error)
            response = self._run_on_connection(held, message)
            if response.failure is not Failure.ENDED:
                break
        return response

    def _run_on_connection(
        self, held: LocalHeldConnection, message: TransactionRequest
    ) -> TransactionResponse:
        """Run a statement on a connection, then keep or release the connection."""
        is_good = False
        deadline = self._clock.now() + message.answer
        try:
            reply = self._perform(held, message)
            is_good = True
        except NotFreshError as error:
            is_good = True
            return TransactionResponse(failure=Failure.NOT_FRESH, message=str(error))
        except ConnectFailedError as error:
            return TransactionResponse(failure=Failure.ENDED, message=str(error))
        except OutcomeUnknownError as error:
            log_rate_limited(
                "neighbour_unanswered",
                request=message.statement.request_id,
                server=held.server.name,
                reason=error,
            )
            return TransactionResponse(failure=Failure.UNANSWERED, message=str(error))
        finally:
            is_kept = is_good and held.in_transaction
            if not is_kept:
                held.finish(is_good=is_good)
        lease = self._leases.put(held, message.lease) if is_kept else None
        reply = self._final(held, message, reply, deadline)
        return TransactionResponse(reply=ReplyMessage.of(reply), lease=lease)

    def _perform(self, held: LocalHeldConnection, message: TransactionRequest) -> Reply:
        asked_at = self._clock.now()
        deadline = asked_at + message.answer
        statement = message.statement.value()
        if message.is_order:
            bound = None if message.bound is None else message.bound.value()
            reply = held.run_internal(statement, deadline, bound=bound)
        else:
            prepared = None if message.prepared is None else message.prepared.value()
            reply = held.run(message.values, statement, prepared, deadline)
        if reply.error is None and _needs_primary(message):
            self._access.record_freshness(held.server, reply.position, asked_at)
        return reply

    def _final(
        self,
        held: LocalHeldConnection,
        message: TransactionRequest,
        reply: Reply,
        deadline: float,
    ) -> Reply:
        """Return the reply, or one in doubt to a commit that is not final."""
        is_commit = message.statement.kind is StatementKind.COMMIT
        if reply.error is not None or not is_commit or not held.has_written:
            return reply
        request_id = message.statement.request_id
        return reply_if_final(self._final_writes, held, reply, request_id, deadline)


def _needs_primary(message: TransactionRequest) -> bool:
    """Return whether only the acting primary runs a statement without an error."""
    is_write = message.prepared is not None and message.prepared.access is Access.WRITE
    kind = message.statement.kind
    return is_write or kind in (StatementKind.BEGIN, StatementKind.WRITE)


def _refused_at_primary(server: BackendServer) -> TransactionResponse:
    message = f"{server.name} is the primary and loaded; a replica can serve the read"
    error = StatementError(ErrorCode.BUSY, message, BUSY_RETRY_MS)
    refusal = RefusalMessage.of(error)
    return TransactionResponse(failure=Failure.REFUSED, refusal=refusal)


def _not_reached(error: ConnectFailedError) -> TransactionResponse:
    failure = Failure.NOT_REACHED
    if isinstance(error, ServerDownError):
        failure = Failure.DOWN
    return TransactionResponse(failure=failure, message=str(error))


def _json_response(response: TransactionResponse) -> JsonResponse:
    return JsonResponse(response.model_dump(mode="json", exclude_none=True))
