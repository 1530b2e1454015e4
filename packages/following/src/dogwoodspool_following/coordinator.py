"""A thread that repeats one step until it is told to stop."""

import threading
from abc import ABC, abstractmethod

from dogwoodspool_common import Clock, log_event

from .const import RETRY_PAUSE_SECONDS


class Coordinator(ABC):
    """Base of the proxy's coordinators: one thread for each data source."""

    def __init__(self, name: str, clock: Clock) -> None:
        self._name = name
        self._clock = clock
        self._wake = threading.Condition()
        self._is_woken = False
        self._is_stopped = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def set_up(self) -> None:
        """Start the thread."""
        self._thread.start()

    def unload(self) -> None:
        """Stop the thread after the step that is under way."""
        with self._wake:
            self._is_stopped = True
            self._wake.notify_all()
        self._thread.join()

    def wake(self) -> None:
        """Begin the next step at once."""
        with self._wake:
            self._is_woken = True
            self._wake.notify_all()

    @abstractmethod
    def step(self) -> float:
        """Do one step; return the seconds until the next."""

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                pause = self.step()
            except Exception as error:
                # A fault in one step must not end the coordinator: grants would
                # run out or settings stay old with no one to see why.
                log_event(
                    "step_failed", level="ERROR", step=self._name, error=repr(error)
                )
                pause = RETRY_PAUSE_SECONDS
            self._pause(pause)

    def _pause(self, seconds: float) -> None:
        deadline = self._clock.now() + seconds
        with self._wake:
            while not self._is_stopped and not self._is_woken:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                self._clock.wait(self._wake, remaining)
            self._is_woken = False
