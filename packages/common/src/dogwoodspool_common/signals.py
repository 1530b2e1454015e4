"""Signals of the process, acted on in a thread of their own."""

import os
import signal
import threading
import time
from collections.abc import Callable, Mapping
from types import FrameType

from .log import log_event


class StopEvent(threading.Event):
    """An event that remembers when it was first set."""

    def __init__(self) -> None:
        super().__init__()
        self._set_at: float | None = None

    @property
    def elapsed(self) -> float:
        """Seconds since the event was first set; 0 before."""
        return 0.0 if self._set_at is None else time.monotonic() - self._set_at

    def set(self) -> None:
        """Set the event."""
        if self._set_at is None:
            self._set_at = time.monotonic()
        super().set()


class SignalWatcher:
    """Run an action for each signal that the process receives.

    A handler in Python runs in the main thread, inside whatever that thread is doing,
    so it must not use a lock. If the system delivers the signal to another thread
    while the main thread waits, it does not run at all. The wake-up pipe is written at
    once, whichever thread receives the signal, and is read in a thread of its own.

    Args:
        actions: what to do on each signal; an action may log and use locks.

    Example:
        >>> SignalWatcher({signal.SIGTERM: stop.set}).set_up()
    """

    def __init__(self, actions: Mapping[signal.Signals, Callable[[], None]]) -> None:
        self._actions = dict(actions)
        self._reader = -1
        self._thread = threading.Thread(
            target=self._run, name="signal-watcher", daemon=True
        )

    def set_up(self) -> None:
        """Watch the signals until the process ends; call it in the main thread."""
        self._reader, writer = os.pipe()
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        self._thread.start()
        for number in self._actions:
            signal.signal(number, _leave_to_watcher)

    def _run(self) -> None:
        while received := os.read(self._reader, 1):
            # The pipe also gets the numbers of signals with handlers set elsewhere.
            if received[0] in self._actions:
                self._act(signal.Signals(received[0]))

    def _act(self, number: signal.Signals) -> None:
        # The action first: a stop must not depend on the log.
        try:
            self._actions[number]()
        except Exception as error:  # noqa: BLE001 - later signals must be acted on
            log_event(
                "signal_action_failed",
                level="ERROR",
                signal=number.name,
                error=repr(error),
            )
        log_event("signal_received", signal=number.name)


def _leave_to_watcher(_number: int, _frame: FrameType | None) -> None:
    """Replace the default action of a signal."""
