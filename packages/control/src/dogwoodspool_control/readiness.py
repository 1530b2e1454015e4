"""Readiness of this voter, for the load balancer."""

import threading

from dogwoodspool_common import Clock
from dogwoodspool_common.const import NEVER
from dogwoodspool_consensus import ConsensusError

from .const import READINESS_SECONDS
from .node import ControlNode


class Readiness:
    """Cache whether a quorum confirmed a read.

    The endpoint needs no signature, so anyone can call it. However often it is called,
    the quorum is queried by one thread at a time and once per ``READINESS_SECONDS``.
    """

    def __init__(self, clock: Clock, node: ControlNode) -> None:
        self._clock = clock
        self._node = node
        self._lock = threading.Lock()
        self._checked_at = NEVER
        self._is_ready = False

    def is_ready(self) -> bool:
        """Return whether a read was confirmed recently."""
        is_due = self._clock.now() - self._checked_at >= READINESS_SECONDS
        if is_due and self._lock.acquire(blocking=False):
            try:
                self._is_ready = self._check()
                self._checked_at = self._clock.now()
            finally:
                self._lock.release()
        return self._is_ready

    def _check(self) -> bool:
        try:
            self._node.confirm_read()
        except ConsensusError:
            return False
        return True
