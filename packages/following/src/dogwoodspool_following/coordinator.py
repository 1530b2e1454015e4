"""Base class for threads that repeat a step until they are stopped."""

import threading
from abc import ABC, abstractmethod

from dogwoodspool_common import Clock, log_event

from .const import RETRY_PAUSE_SECONDS


class Coordinator(ABC):
    """Base of coordinators; each runs its step in a thread of its own."""

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
        """Stop the thread after the current step."""
        with self._wake:
            self._is_stopped = True
            self._wake.notify_all()
        self._thread.join()

    def wake(self) -> None:
        """Start the next step at once."""
        with self._wake:
            self._is_woken = True
            self._wake.notify_all()

    @abstractmethod
    def step(self) -> float:
        """Run one step; return the seconds until the next one."""

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                pause = self.step()
            except Exception as error:
                # An error in one step must not end the thread: grants would expire or
                # settings become outdated without a visible cause.
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
