"""Emulated time for real threads, of which one runs at a time."""

import heapq
import threading
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any, Final

# Emulated time after which a thread that waits for another one looks again.
LOOK_AGAIN_SECONDS: Final = 0.005


class Baton:
    """A clock whose threads run one at a time, in the order of their wake-ups."""

    def __init__(self) -> None:
        self._now = 0.0
        self._lock = threading.Lock()
        self._queue: list[tuple[float, int, threading.Event]] = []
        self._threads: list[threading.Thread] = []
        self._count = 0

    def now(self) -> float:
        return self._now

    def sleep(self, seconds: float) -> None:
        event = self._enqueue(self._now + max(0.0, seconds))
        self._pass_on()
        event.wait()

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        """Sleep without the condition's lock; callers look again afterwards."""
        condition.release()
        try:
            self.sleep(min(seconds, LOOK_AGAIN_SECONDS))
        finally:
            condition.acquire()
        return True

    def start(self, actor: Callable[[], None]) -> None:
        """Run an actor in a thread of its own, from now on."""
        event = self._enqueue(self._now)

        def run() -> None:
            event.wait()
            try:
                actor()
            finally:
                self._pass_on()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        # Only now: ``play`` may join it at once, and joins the starting thread as well.
        self._threads.append(thread)

    def play(self, actors: list[Callable[[], None]]) -> None:
        """Run all actors, and what they start, to their ends."""
        for actor in actors:
            self.start(actor)
        self._pass_on()
        while self._threads:
            self._threads.pop().join()

    def _enqueue(self, at: float) -> threading.Event:
        event = threading.Event()
        with self._lock:
            self._count += 1
            heapq.heappush(self._queue, (at, self._count, event))
        return event

    def _pass_on(self) -> None:
        """Wake the next thread, if there is one."""
        with self._lock:
            if not self._queue:
                return
            at, _, event = heapq.heappop(self._queue)
            self._now = max(self._now, at)
        event.set()


class BatonExecutor:
    """An executor whose calls take emulated time, each in a thread of its own."""

    def __init__(self, baton: Baton) -> None:
        self._baton = baton
        self.most_running = 0
        self._running = 0

    def submit(self, call: Callable[..., Any], *args: Any) -> Future[Any]:
        """Begin a call."""
        future: Future[Any] = Future()

        def run() -> None:
            self._running += 1
            self.most_running = max(self.most_running, self._running)
            try:
                future.set_result(call(*args))
            except Exception as error:
                future.set_exception(error)
            finally:
                self._running -= 1

        self._baton.start(run)
        return future

    def shutdown(self) -> None:
        """Do nothing: calls end by themselves."""
