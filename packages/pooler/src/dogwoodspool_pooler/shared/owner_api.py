"""Run statements of neighbours on the connections of this proxy."""

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
from ..errors import NotFreshError, NotServedError
from ..held import HeldConnection
from ..models import Access, Reply, StatementKind
from ..requests import PlaceRequest
from .const import (
    CODE_NOT_OWNER,
    CODE_UNKNOWN_LEASE,
    OWNER_ATTEMPTS,
    PATH_RELEASE,
    PATH_STATEMENT,
)
from .leases import LeaseBook
from .messages import (
    Failure,
    ReleaseLease,
    ReplyMessage,
    StatementRequest,
    StatementResponse,
)


class OwnerApi:
    """Take statements of other proxies, which wait for a place like one's own callers.

    A statement that leaves a transaction open keeps its connection under a lease; every
    other one gives it back at once.
    """

    def __init__(
        self, views: ViewStore, access: ServerAccess, leases: LeaseBook, clock: Clock
    ) -> None:
        self._views = views
        self._access = access
        self._leases = leases
        self._clock = clock
        self._is_leaving = False

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [
            Route("POST", PATH_STATEMENT, self._run),
            Route("POST", PATH_RELEASE, self._release),
        ]

    def leave(self) -> None:
        """Take no more requests, but those of transactions that are open here."""
        self._is_leaving = True

    def _run(self, request: JsonRequest) -> JsonResponse:
        message = StatementRequest.model_validate(request.body)
        if message.lease is not None:
            held = self._leases.take(message.lease)
            if held is None:
                return error_response(410, CODE_UNKNOWN_LEASE, message.lease)
            return _answer(self._continue(held, message, message.lease))
        server = self._server(message)
        if self._is_leaving or server is None:
            return error_response(421, CODE_NOT_OWNER, message.server.server)
        return _answer(self._begin(server, message))

    def _release(self, request: JsonRequest) -> JsonResponse:
        message = ReleaseLease.model_validate(request.body)
        held = self._leases.take(message.lease)
        if held is not None:
            held.finish(is_good=message.is_good)
        return JsonResponse()

    def _server(self, message: StatementRequest) -> BackendServer | None:
        """Return the server that is meant, where this process knows the very same."""
        meant = message.server
        known = self._views.view.servers.get(meant.server)
        if known is None or known.is_gone:
            return None
        is_same = str(known.address) == meant.address
        return known if is_same and known.incarnation == meant.incarnation else None

    def _begin(
        self, server: BackendServer, message: StatementRequest
    ) -> StatementResponse:
        now = self._clock.now()
        place = PlaceRequest(
            priority=message.priority,
            values=message.values,
            start_by=now + message.wait,
            deadline=now + message.wait + message.answer,
        )
        for _attempt in range(OWNER_ATTEMPTS):
            try:
                held: HeldConnection = self._access.open_here(server, place)
            except NotServedError as error:
                return _refused(error)
            except ConnectFailedError as error:
                return _not_reached(error)
            response = self._continue(held, message, None)
            if response.failure is not Failure.ENDED:
                return response
        return response

    def _continue(
        self, held: HeldConnection, message: StatementRequest, lease: str | None
    ) -> StatementResponse:
        """Run a statement on a connection, and keep or give back the connection."""
        is_good = False
        try:
            reply = self._perform(held, message)
            is_good = True
        except NotFreshError as error:
            is_good = True
            return StatementResponse(failure=Failure.NOT_FRESH, message=str(error))
        except ConnectFailedError as error:
            return StatementResponse(failure=Failure.ENDED, message=str(error))
        except OutcomeUnknownError as error:
            log_rate_limited(
                "neighbour_unanswered",
                request=message.statement.request_id,
                server=held.server.name,
                reason=error,
            )
            return StatementResponse(failure=Failure.UNANSWERED, message=str(error))
        finally:
            is_kept = is_good and held.in_transaction
            if not is_kept:
                held.finish(is_good=is_good)
        kept = self._leases.put(held, lease) if is_kept else None
        return StatementResponse(reply=ReplyMessage.of(reply), lease=kept)

    def _perform(self, held: HeldConnection, message: StatementRequest) -> Reply:
        deadline = self._clock.now() + message.answer
        statement = message.statement.value()
        bound = None if message.bound is None else message.bound.value()
        asked_at = self._clock.now()
        if message.is_order:
            reply = held.order(statement, deadline, bound=bound)
        else:
            reply = held.run(
                message.values,
                statement,
                None if message.prepared is None else message.prepared.value(),
                deadline,
                then=None if message.then is None else message.then.value(),
                bound=bound,
            )
        if reply.error is None and _needs_lead(message):
            self._access.note_fresh(held.server, reply.position, asked_at)
        return reply


def _needs_lead(message: StatementRequest) -> bool:
    """Tell whether only a server that leads answers a statement without an error."""
    is_write = message.prepared is not None and message.prepared.access is Access.WRITE
    kind = message.statement.kind
    return is_write or kind in (StatementKind.BEGIN, StatementKind.WRITE)


def _refused(error: NotServedError) -> StatementResponse:
    return StatementResponse(
        failure=Failure.REFUSED,
        message=error.error.message,
        error_code=error.error.code,
        retry_after_ms=error.error.retry_after_ms,
    )


def _not_reached(error: ConnectFailedError) -> StatementResponse:
    if isinstance(error, ServerDownError):
        failure = Failure.DOWN
    elif error.suggests_unreachable:
        failure = Failure.NOT_REACHED
    else:
        failure = Failure.REFUSED
    return StatementResponse(failure=failure, message=str(error))


def _answer(response: StatementResponse) -> JsonResponse:
    return JsonResponse(response.model_dump(mode="json", exclude_none=True))
