"""How many requests of neighbours an owner works on at a time."""

import threading
from collections.abc import Iterator
from contextlib import contextmanager

from .errors import OwnerFullError


class WorkSlots:
    """Leave threads to the ends of transactions.

    A request that waits for a connection holds a thread. With all of them waiting, no
    commit would get through that gives a connection back.
    """

    def __init__(self, count: int) -> None:
        self._slots = threading.BoundedSemaphore(count)

    @contextmanager
    def taken(self) -> Iterator[None]:
        """Hold a slot; raise ``OwnerFullError`` when there is none."""
        if not self._slots.acquire(blocking=False):
            raise OwnerFullError("all threads for new requests are taken")
        try:
            yield
        finally:
            self._slots.release()
