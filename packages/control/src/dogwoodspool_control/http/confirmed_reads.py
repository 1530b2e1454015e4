"""Confirmed reads of proxies, which share what a quorum has confirmed."""

import threading

from dogwoodspool_common import Clock
from dogwoodspool_common.const import NEVER
from dogwoodspool_consensus import ConsensusError

from ..const import (
    CONFIRMATION_RENEWAL_FRACTION,
    MAX_CONFIRMED_READS,
    WATCH_CONFIRM_TIMEOUT,
)
from ..errors import TooManyWaitersError
from ..node import ControlNode
from .support import WaitSlots


class ConfirmedReads:
    """Confirm reads, each in a slot, or by the last confirmation if that is recent.

    A read that waits for a quorum holds a thread, and while there is no leader it does
    so until its timeout. The few slots are then taken, and most proxies find none. A
    confirmation does not depend on who asked for it: once a read has been confirmed,
    those that accept one of a short time ago need no slot, however many there are.
    """

    def __init__(self, node: ControlNode, clock: Clock) -> None:
        self._node = node
        self._clock = clock
        self._slots = WaitSlots(MAX_CONFIRMED_READS)
        self._renewing = threading.Lock()
        self._recording = threading.Lock()
        self._confirmed_at = NEVER

    @property
    def slots(self) -> WaitSlots:
        """The slots of reads that wait for a quorum."""
        return self._slots

    def confirm(self, max_age: float) -> float:
        """Confirm a read and return the age of its confirmation in seconds.

        Everything that was acknowledged that long before this call is applied here
        when it returns.

        Args:
            max_age: greatest age in seconds that the caller accepts.

        Raises:
            TooManyWaitersError: there is no such confirmation and no free slot.
            ConsensusError: no quorum confirmed the read.
        """
        age = self._clock.now() - self._confirmed_at
        if max_age <= 0 or age > max_age:
            return self._confirm()
        if age > CONFIRMATION_RENEWAL_FRACTION * max_age and self._renew():
            return 0.0
        return age

    def _confirm(self) -> float:
        began_at = self._clock.now()
        with self._slots.taken():
            self._node.confirm_read(WATCH_CONFIRM_TIMEOUT)
        with self._recording:
            self._confirmed_at = max(began_at, self._confirmed_at)
        return 0.0

    def _renew(self) -> bool:
        """Renew the confirmation unless another read does; return whether it was."""
        if not self._renewing.acquire(blocking=False):
            return False
        try:
            self._confirm()
        except (ConsensusError, TooManyWaitersError):
            return False
        finally:
            self._renewing.release()
        return True
