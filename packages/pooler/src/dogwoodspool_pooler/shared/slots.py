"""How many requests of neighbours an owner works on at a time."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from dogwoodspool_common import JsonResponse, error_response

from .errors import OwnerFullError, OwnerLeavingError, OwnerUnavailableError
from .messages import OwnerRefusal


class WorkSlots:
    """Leave room to the ends of transactions.

    Requests that wait for a connection must not hold up the commit that gives one back,
    and one more than an owner can place is better placed at the next.
    """

    def __init__(self, count: int) -> None:
        self._slots = threading.BoundedSemaphore(count)
        self._is_leaving = False

    def leave(self) -> None:
        """Give no more slots: the process ends soon."""
        self._is_leaving = True

    @contextmanager
    def taken(self) -> Iterator[None]:
        """Hold a slot.

        Raises:
            OwnerLeavingError: none is given any more.
            OwnerFullError: there is none at present.
        """
        if self._is_leaving:
            raise OwnerLeavingError("the process ends soon")
        if not self._slots.acquire(blocking=False):
            raise OwnerFullError("it works on as many new requests as it can")
        try:
            yield
        finally:
            self._slots.release()


def refusal_of(error: OwnerUnavailableError) -> JsonResponse:
    """Return the answer to a request that got no slot."""
    if isinstance(error, OwnerLeavingError):
        return error_response(421, OwnerRefusal.LEAVING, str(error))
    return error_response(503, OwnerRefusal.FULL, str(error))
