"""Times at which reads that callers request may begin."""

import math
import random

from dogwoodspool_common import Clock

from .const import MAX_REQUEST_DOUBLINGS, REQUESTED_READ_SECONDS
from .read_attempts import Attempt


class ReadRequests:
    """Know when the next requested read may begin.

    Each one keeps the next from beginning for a time that grows with the number of
    proxies. One for which control has no free slot keeps it only for the time that
    control names, as what it was requested for still waits. With each further one that
    time doubles and varies more, so that the reads of very many proxies become as rare
    as those that succeed.

    Args:
        clock: the runtime's clock.
        rng: source of the random times.
    """

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._newest: Attempt | None = None
        self._failures = 0
        self._retry_at = math.inf

    def is_due(self, least_interval: float) -> bool:
        """Return whether a read may begin.

        Args:
            least_interval: seconds between reads at which those of all proxies are not
                too many.
        """
        if self._newest is None:
            return True
        now = self._clock.now()
        since = self._newest.began_at
        if now < since + REQUESTED_READ_SECONDS:
            return False
        return now >= min(since + least_interval, self._retry_at)

    def record_begun(self, attempt: Attempt) -> None:
        """Record a read that has begun."""
        if self._newest is not None and self._newest.is_confirmed:
            self._failures = 0
        self._newest = attempt
        self._retry_at = math.inf

    def record_failure(self, attempt: Attempt) -> None:
        """Record that all processes were asked, and none confirmed a read."""
        if attempt is not self._newest or not attempt.retry_after:
            return
        # The pauses between the processes have spread the first retries already.
        factor = 2 ** min(self._failures, MAX_REQUEST_DOUBLINGS)
        retry_after = attempt.retry_after * self._rng.uniform(factor, 2 * factor - 1)
        self._retry_at = self._clock.now() + retry_after
        self._failures += 1
