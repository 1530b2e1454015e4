"""Decide when polls that cannot wait at a control process come back."""

import threading

from dogwoodspool_common import Clock
from dogwoodspool_limits import RetrySchedule

from ..const import POLL_HORIZON_SECONDS, POLL_PAUSE_SECONDS, POLL_SPACING_SECONDS


class PollPace:
    """Choose when the polls that find no slot come back.

    The load pattern that it answers: a control process is lost, and the proxies that
    polled it turn to those that are left. Without a pause each poll beyond the slots
    would follow on the answer to the one before.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._returns = RetrySchedule(POLL_HORIZON_SECONDS)

    def take_turn(self) -> float:
        """Return the seconds after which the next of them comes back."""
        with self._lock:
            return self._returns.schedule_retry(
                self._clock.now(), POLL_PAUSE_SECONDS, POLL_SPACING_SECONDS
            )
