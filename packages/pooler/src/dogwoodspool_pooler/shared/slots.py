"""Limit on the requests of neighbours that an owner serves at a time."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from dogwoodspool_common import JsonResponse, error_response

from .errors import (
    OwnerBehindError,
    OwnerFullError,
    OwnerLeavingError,
    OwnerUnavailableError,
)
from .messages import OwnerRefusal


class WorkSlots:
    """Limit new requests, so that statements of open transactions are never held up.

    Requests that wait for a connection must not block the commit that releases one, and
    a request beyond what an owner can admit is better served by the next owner.
    """

    def __init__(self, count: int) -> None:
        self._slots = threading.BoundedSemaphore(count)
        self._is_leaving = False

    def leave(self) -> None:
        """Grant no more slots, as the process is shutting down."""
        self._is_leaving = True

    @contextmanager
    def acquire_slot(self) -> Iterator[None]:
        """Hold a slot.

        Raises:
            OwnerLeavingError: the process is shutting down.
            OwnerFullError: no slot is free.
        """
        if self._is_leaving:
            raise OwnerLeavingError("this proxy is shutting down")
        if not self._slots.acquire(blocking=False):
            raise OwnerFullError("all slots for new requests are in use")
        try:
            yield
        finally:
            self._slots.release()


def refusal_response(error: OwnerUnavailableError) -> JsonResponse:
    """Return the response to a request that the owner did not accept."""
    if isinstance(error, OwnerBehindError):
        return error_response(421, OwnerRefusal.NOT_KNOWN, str(error))
    if isinstance(error, OwnerLeavingError):
        return error_response(421, OwnerRefusal.LEAVING, str(error))
    return error_response(503, OwnerRefusal.FULL, str(error))
