"""Serve single statements of neighbours on the pools of this proxy."""

from dogwoodspool_common import (
    Clock,
    JsonRequest,
    JsonResponse,
    Route,
    error_response,
)
from dogwoodspool_following import ViewStore

from ..errors import AnswerLostError, NoPrimaryError, NotServedError
from ..statements import Statements
from .caller_check import CallerCheck
from .const import PATH_STATEMENT
from .errors import OwnerUnavailableError
from .handling import internal_errors
from .messages import (
    OwnerRefusal,
    RefusalMessage,
    ReplyMessage,
    StatementRequest,
    StatementResponse,
)
from .route_check import RouteCheck
from .slots import WorkSlots, refusal_response


class StatementApi:
    """Serve single statements of other proxies like those of local callers."""

    def __init__(
        self,
        views: ViewStore,
        callers: CallerCheck,
        statements: Statements,
        slots: WorkSlots,
        clock: Clock,
    ) -> None:
        self._routes = RouteCheck(views)
        self._callers = callers
        self._slots = slots
        self._statements = statements
        self._clock = clock

    def routes(self) -> list[Route]:
        """Return the routes that it serves."""
        return [Route("POST", PATH_STATEMENT, self._run)]

    def _run(self, request: JsonRequest) -> JsonResponse:
        message = StatementRequest.model_validate(request.body)
        with internal_errors():
            return self._serve(message)

    def _serve(self, message: StatementRequest) -> JsonResponse:
        wanted = message.value(self._clock.now())
        endpoint = wanted.endpoint
        if not self._routes.is_known(endpoint.group, endpoint.database):
            return error_response(421, OwnerRefusal.NOT_KNOWN, endpoint.database)
        try:
            self._callers.check(wanted.caller)
            with self._slots.acquire_slot():
                reply = self._statements.run(wanted)
        except OwnerUnavailableError as error:
            return refusal_response(error)
        except NotServedError as error:
            refused = StatementResponse(
                refusal=RefusalMessage.of(error.error),
                has_no_primary=isinstance(error, NoPrimaryError),
                is_answer_lost=isinstance(error, AnswerLostError),
            )
            return _json_response(refused)
        return _json_response(StatementResponse(reply=ReplyMessage.of(reply)))


def _json_response(response: StatementResponse) -> JsonResponse:
    return JsonResponse(response.model_dump(mode="json", exclude_none=True))
