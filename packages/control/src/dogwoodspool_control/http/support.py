"""What all endpoints of a control process share."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from dogwoodspool_common import JsonRequest, JsonResponse, error_response
from dogwoodspool_common.const import CODE_NOT_LEADER
from dogwoodspool_consensus import ConsensusError
from dogwoodspool_consensus.const import CODE_NOT_CONFIRMED

from ..const import (
    CODE_CONFLICT,
    CODE_INVALID,
    CODE_OUTCOME_UNKNOWN,
    CODE_TOO_MANY,
)
from ..errors import (
    CommandRejectedError,
    ControlError,
    LeadershipLostError,
    OutcomeUnknownError,
    StaleIncarnationError,
    TooManyRenewalsError,
    TooManyWaitersError,
)

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


def number_in_query(request: JsonRequest, name: str, default: int) -> int:
    """Return a number of the query; raise ``CommandRejectedError`` for a bad one."""
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise CommandRejectedError(CODE_INVALID, f"{name} is no number")
    return int(text)
