"""Callers that wait for a connection."""

import threading
from collections.abc import Callable
from typing import Generic

from .pooled import ConnectionT


class Waiter(Generic[ConnectionT]):
    """One caller in a pool's queue.

    It is woken with a connection or with permission to open one.

    Args:
        lock: the pool's lock.
        account: client account that it needs a connection of; empty for none.
        is_probe: whether it may use the connection reserved for probes.
    """

    def __init__(self, lock: threading.Lock, account: str, *, is_probe: bool) -> None:
        self.account = account
        self.is_probe = is_probe
        self.condition = threading.Condition(lock)
        self.connection: ConnectionT | None = None
        self.may_open = False
        # Idle connection of another account to close before opening one.
        self.evicted: ConnectionT | None = None
        self.rank: Callable[[ConnectionT], float] | None = None

    @property
    def is_served(self) -> bool:
        """Return whether the wait is over."""
        return self.may_open or self.connection is not None
