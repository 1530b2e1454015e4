"""Callers that write continuously."""

import threading
import time

from .callers import Caller
from .const import POLL_SECONDS
from .world import World


class Writers:
    """Callers that write numbered lines continuously, spread over three proxies."""

    def __init__(self, world: World, count: int) -> None:
        self._world = world
        self._stopped = threading.Event()
        self.outcomes: dict[str, str] = {}
        self._threads = [
            threading.Thread(
                target=self._write,
                args=(world.caller(f"writer {number}", world.proxy(number % 3 + 1)),),
                kwargs={"number": number},
                daemon=True,
            )
            for number in range(count)
        ]

    def set_up(self) -> None:
        """Start writing."""
        for thread in self._threads:
            thread.start()

    def unload(self) -> None:
        """Stop writing."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def lines(self, outcome: str) -> set[str]:
        """Return the lines whose write had a given outcome."""
        return {line for line, found in list(self.outcomes.items()) if found == outcome}

    def _write(self, caller: Caller, number: int) -> None:
        count = 0
        while not self._stopped.is_set():
            line = f"writer {number} line {count}"
            self.outcomes[line] = caller.run(self._world.insert(line)).outcome
            count += 1
            time.sleep(POLL_SECONDS)
