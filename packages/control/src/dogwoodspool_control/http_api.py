"""Endpoints of a control process."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from dogwoodspool_api import (
    MemberMessage,
    PromoteRequest,
    RenewRequest,
    SettingsChangeRequest,
    SettingsChangeResponse,
    WatchResponse,
)
from dogwoodspool_api.const import (
    PATH_PROMOTE,
    PATH_RENEW,
    PATH_SETTINGS_CHANGE,
    PATH_WATCH,
    QUERY_AFTER,
    QUERY_CONFIRMED,
    QUERY_WAIT_MS,
)
from dogwoodspool_common import JsonRequest, JsonResponse, Route, error_response
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_consensus import ConsensusError

from .commands import ChangeSettings
from .const import (
    CODE_CONFLICT,
    CODE_INVALID,
    CODE_NOT_CONFIRMED,
    CODE_NOT_LEADER,
    CODE_OUTCOME_UNKNOWN,
    CODE_TOO_MANY,
    MAX_RENEW_ITEMS,
    MAX_WATCH_MS,
    PROMOTE_WAIT_SECONDS,
    QUERY_WAIT,
)
from .errors import (
    CommandRejectedError,
    ControlError,
    LeadershipLostError,
    OutcomeUnknownError,
    StaleIncarnationError,
    TooManyRenewalsError,
    TooManyWaitersError,
)
from .node import ControlNode
from .planned import PlannedPromotions
from .renewals import Renewals
from .state import ControlState

Handler = Callable[[JsonRequest], JsonResponse]


class WaitSlots:
    """Bound how many requests hold a thread while they wait."""

    def __init__(self, count: int) -> None:
        self._slots = threading.BoundedSemaphore(count)

    @contextmanager
    def taken(self) -> Iterator[None]:
        """Hold a slot; raise ``TooManyWaitersError`` when there is none."""
        if not self._slots.acquire(blocking=False):
            raise TooManyWaitersError("too many requests wait here")
        try:
            yield
        finally:
            self._slots.release()


class WatchApi:
    """Serve proxies that follow the committed state.

    Args:
        members: the control processes that proxies are told of; none where the
            operator gives proxies their addresses.
    """

    def __init__(
        self,
        node: ControlNode,
        state: ControlState,
        wait_slots: WaitSlots,
        members: Callable[[], list[MemberMessage]] = list,
    ) -> None:
        self._node = node
        self._state = state
        self._wait_slots = wait_slots
        self._members = members

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [Route("GET", PATH_WATCH, answering(self._watch))]

    def _watch(self, request: JsonRequest) -> JsonResponse:
        after = _number(request, QUERY_AFTER, 0)
        wait_ms = min(_number(request, QUERY_WAIT_MS, 0), MAX_WATCH_MS)
        if request.query.get(QUERY_CONFIRMED) == "1":
            self._node.confirm_read()
        is_newer = self._state.version > after
        if not is_newer and wait_ms > 0:
            is_newer = self._wait_newer(after, wait_ms / MILLISECONDS)
        response = WatchResponse(
            view=self._state.view_since(after) if is_newer else None,
            leader=self._node.leader or None,
            members=self._members(),
            is_current=self._node.is_following,
        )
        return JsonResponse(response.model_dump(mode="json"))

    def _wait_newer(self, after: int, seconds: float) -> bool:
        try:
            with self._wait_slots.taken():
                return self._state.wait_newer(after, seconds)
        except TooManyWaitersError:
            # Answered at once: the proxy asks again after its own pause.
            return False


class ControlApi:
    """Serve proxies and changes of the state."""

    def __init__(
        self,
        node: ControlNode,
        state: ControlState,
        renewals: Renewals,
        planned: PlannedPromotions,
        wait_slots: WaitSlots,
    ) -> None:
        self._node = node
        self._state = state
        self._renewals = renewals
        self._planned = planned
        self._wait_slots = wait_slots

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [
            Route("POST", PATH_RENEW, answering(self._renew)),
            Route("POST", PATH_SETTINGS_CHANGE, answering(self._change_settings)),
            Route("POST", PATH_PROMOTE, answering(self._promote)),
        ]

    def _renew(self, request: JsonRequest) -> JsonResponse:
        message = RenewRequest.model_validate(request.body)
        counts = (
            len(message.groups),
            len(message.observations),
            len(message.announcements),
            len(message.connection_demand),
        )
        if max(counts) > MAX_RENEW_ITEMS:
            raise CommandRejectedError(CODE_INVALID, "the renewal has too many items")
        return JsonResponse(self._renewals.renew(message).model_dump(mode="json"))

    def _change_settings(self, request: JsonRequest) -> JsonResponse:
        message = SettingsChangeRequest.model_validate(request.body)
        command = ChangeSettings(
            change_id=message.change_id,
            path=message.path,
            expected_version=message.expected_version,
            overrides=message.overrides,
            author=message.author,
        )
        outcome = self._node.commit(command)
        response = SettingsChangeResponse(
            path=message.path, version=outcome.version, view_version=outcome.index
        )
        return JsonResponse(response.model_dump(mode="json"))

    def _promote(self, request: JsonRequest) -> JsonResponse:
        message = PromoteRequest.model_validate(request.body)
        term = self._planned.begin(message)
        is_ended = False
        if QUERY_WAIT in request.query:
            with self._wait_slots.taken():
                is_ended = self._planned.wait_ended(
                    message.group, term, PROMOTE_WAIT_SECONDS
                )
        group = self._state.group(message.group)
        return JsonResponse(
            {
                "group": message.group,
                "term": term,
                "is_ended": is_ended,
                "primary": None if group is None else group.primary,
            }
        )


def answering(handler: Handler) -> Handler:
    """Turn this library's errors into error answers."""

    def handle(request: JsonRequest) -> JsonResponse:
        try:
            return handler(request)
        except (ControlError, ConsensusError) as error:
            return _error_answer(error)

    return handle


def _error_answer(error: Exception) -> JsonResponse:
    match error:
        case LeadershipLostError():
            return error_response(421, CODE_NOT_LEADER, error.leader)
        case CommandRejectedError(code=code):
            status = 409 if code == CODE_CONFLICT else 400
            return error_response(status, code, str(error))
        case StaleIncarnationError():
            return error_response(409, "stale_incarnation", str(error))
        case OutcomeUnknownError():
            return error_response(503, CODE_OUTCOME_UNKNOWN, str(error))
        case TooManyRenewalsError() | TooManyWaitersError():
            return error_response(429, CODE_TOO_MANY, str(error))
        case _:
            return error_response(503, CODE_NOT_CONFIRMED, str(error))


def _number(request: JsonRequest, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise CommandRejectedError(CODE_INVALID, f"{name} is no number")
    return int(text)
