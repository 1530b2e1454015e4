"""Choose when refused callers come back."""

from .const import RETURN_HORIZON


class RetrySchedule:
    """Give refused callers turns to return, in the order of their refusals.

    The load pattern that it answers: a burst, in which many callers are refused
    within a few milliseconds. Told the same time, all of them would come back
    together, and all but a few would be refused again until they give up. Each turn
    lies behind the one before by the time that the server needs for one statement.

    Turns lie within a horizon: under an overload that lasts, the queue of returns would
    grow without end, and nobody waits for the places at its end.

    Args:
        horizon: seconds within which all turns lie, unless the queue itself is longer.
    """

    def __init__(self, horizon: float = RETURN_HORIZON) -> None:
        self._horizon = horizon
        self._latest = 0.0

    def schedule_retry(self, now: float, wait: float, spacing: float) -> float:
        """Return the seconds after which the next refused caller shall come back.

        Args:
            now: clock seconds.
            wait: seconds until the present queue is expected to be empty.
            spacing: seconds in which the server takes one statement.
        """
        turn = max(now + wait, self._latest + spacing)
        self._latest = min(turn, now + max(wait, self._horizon))
        return self._latest - now
