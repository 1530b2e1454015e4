"""Retry delays for polls that find no free slot at a control process."""

import threading

from dogwoodspool_common import Clock
from dogwoodspool_limits import RetrySchedule

from ..const import (
    MAX_POLL_RETRY_SECONDS,
    MIN_POLL_RETRY_SECONDS,
    POLL_RETRY_SPACING_SECONDS,
)


class PollRetrySchedule:
    """Spread the retries of polls that find no free slot.

    When a control process is lost, the proxies that polled it poll the remaining ones
    instead. Without a delay, each poll beyond the slots would be repeated as soon as
    it is answered.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._retries = RetrySchedule(MAX_POLL_RETRY_SECONDS)

    def next_delay(self) -> float:
        """Return the seconds after which the next of these polls is to be retried."""
        with self._lock:
            return self._retries.schedule_retry(
                self._clock.now(), MIN_POLL_RETRY_SECONDS, POLL_RETRY_SPACING_SECONDS
            )
