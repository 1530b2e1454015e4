"""Helpers shared by the endpoints of a control process."""

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
    """Limit how many requests hold a thread while they wait."""

    def __init__(self, count: int) -> None:
        self._slots = threading.BoundedSemaphore(count)

    @contextmanager
    def taken(self) -> Iterator[None]:
        """Hold a slot; raise ``TooManyWaitersError`` when none is free."""
        if not self._slots.acquire(blocking=False):
            raise TooManyWaitersError("all slots for waiting requests are in use")
        try:
            yield
        finally:
            self._slots.release()


def with_error_responses(handler: Handler) -> Handler:
    """Convert errors of the control and consensus libraries to error responses."""

    def handle(request: JsonRequest) -> JsonResponse:
        try:
            return handler(request)
        except (ControlError, ConsensusError) as error:
            return _error_response(error)

    return handle


def _error_response(error: Exception) -> JsonResponse:
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


def parse_query_number(request: JsonRequest, name: str, default: int) -> int:
    """Return a query parameter as a non-negative integer.

    Raises:
        CommandRejectedError: the parameter is not a number.
    """
    text = request.query.get(name, str(default))
    if not text.isdecimal():
        raise CommandRejectedError(CODE_INVALID, f"{name}={text!r} is not a number")
    return int(text)
