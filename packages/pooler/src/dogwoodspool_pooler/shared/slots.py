"""How many requests of neighbours an owner works on at a time."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from .errors import OwnerFullError


class WorkSlots:
    """Leave room to the ends of transactions.

    Requests that wait for a connection must not hold up the commit that gives one back,
    and one more than an owner can place is better placed at the next.
    """

    def __init__(self, count: int) -> None:
        self._slots = threading.BoundedSemaphore(count)

    @contextmanager
    def taken(self) -> Iterator[None]:
        """Hold a slot; raise ``OwnerFullError`` when there is none."""
        if not self._slots.acquire(blocking=False):
            raise OwnerFullError("it works on as many new requests as it can")
        try:
            yield
        finally:
            self._slots.release()
