"""The clocks of the simulated machines."""

import threading
from collections.abc import Callable

TICK = 0.05


class WorldClock:
    """The clock of one machine; a wait runs the other machines meanwhile.

    Args:
        pass_time: lets a time in seconds pass for all machines.
        rate: seconds of this clock in one second of the simulation.
    """

    def __init__(self, pass_time: Callable[[float], None], rate: float) -> None:
        self._pass_time = pass_time
        self._rate = rate
        self._now = 100.0

    def now(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        self._now += seconds * self._rate

    def sleep(self, seconds: float) -> None:
        raise AssertionError("no simulated component sleeps")

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        del condition
        self._pass_time(min(max(seconds, 0.001), TICK))
        return False
