"""What a queue discipline knows of the server and of the queue's capacity."""

from dogwoodspool_common import Clock

from .service_times import ServiceTimes


class QueueLoad:
    """Estimates that a queue keeps and its order reads.

    Attributes:
        service_times: expected service times.
        capacity: statements outside of open transactions that may run at a time, on
            average.
        name: the server's name in log lines; without one nothing is logged.
    """

    def __init__(self, clock: Clock, capacity: float, name: str = "") -> None:
        self._clock = clock
        self.service_times = ServiceTimes()
        self.capacity = capacity
        self.name = name

    def now(self) -> float:
        """Return clock seconds."""
        return self._clock.now()
