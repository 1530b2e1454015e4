"""Callers that wait for a connection."""

import threading

from .connection import BackendConnection


class Waiter:
    """One caller in a pool's queue, woken with a connection or with room for one.

    Args:
        lock: the pool's lock.
        is_probe: it may take the connection that callers leave.
    """

    def __init__(self, lock: threading.Lock, *, is_probe: bool) -> None:
        self.is_probe = is_probe
        self.condition = threading.Condition(lock)
        self.connection: BackendConnection | None = None
        self.may_open = False

    @property
    def is_served(self) -> bool:
        """Tell whether the wait is over."""
        return self.may_open or self.connection is not None
