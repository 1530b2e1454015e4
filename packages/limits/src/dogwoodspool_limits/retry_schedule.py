"""Choose when refused callers retry."""

from .const import RETRY_HORIZON


class RetrySchedule:
    """Spread the retries of refused callers, in the order of their refusals.

    In a burst many callers are refused within a few milliseconds. If all of them
    were given the same delay, they would retry together, and all but a few would be
    refused again until they give up. So each retry is scheduled after the one before
    by the time that the server needs for one statement.

    Retries are scheduled within a horizon: under a lasting overload the schedule
    would otherwise grow without bound, and callers do not wait for times at its end.

    Args:
        horizon: seconds within which all retries lie, unless the wait for the queue
            itself is longer.
    """

    def __init__(self, horizon: float = RETRY_HORIZON) -> None:
        self._horizon = horizon
        self._latest = 0.0

    def schedule_retry(
        self, now: float, wait: float, spacing: float, horizon: float | None = None
    ) -> float:
        """Return the seconds after which the next refused caller should retry.

        Args:
            now: clock seconds.
            wait: seconds until the present queue is expected to be empty.
            spacing: seconds that the server takes for one statement.
            horizon: seconds within which this retry is useful to its caller, whatever
                the wait; None for the horizon of the schedule.
        """
        retry_at = max(now + wait, self._latest + spacing)
        if horizon is None:
            horizon = max(wait, self._horizon)
        self._latest = min(retry_at, now + horizon)
        return self._latest - now
