"""The connections that a simulated proxy keeps open."""

from dogwoodspool_common import PeerRefusedError
from dogwoodspool_common.const import (
    KEEPALIVE_IDLE_SECONDS,
    KEEPALIVE_INTERVAL_SECONDS,
    KEEPALIVE_PROBES,
)

from .machines import Machine, Process
from .polls import Poll

KEEPALIVE_SECONDS = (
    KEEPALIVE_IDLE_SECONDS + KEEPALIVE_INTERVAL_SECONDS * KEEPALIVE_PROBES
)


class Connections:
    """Which machines the next request reaches, or misses, without connecting."""

    def __init__(self) -> None:
        self._processes: dict[str, tuple[Process | None, float]] = {}

    def is_open(self, machine: Machine, now: float) -> bool:
        """Return whether a connection is open, as far as the proxy can tell.

        The loss of power closes none, so it stays open until the keep-alive fails.
        """
        process, used_at = self._processes.get(machine.name, (None, 0.0))
        if process is None:
            return False
        if not machine.is_powered:
            return now - used_at < KEEPALIVE_SECONDS
        return machine.process is process

    def record(self, poll: Poll, now: float) -> None:
        """Keep the connection of an answered poll; close that of any other."""
        if poll.error is None or isinstance(poll.error, PeerRefusedError):
            self._processes[poll.machine.name] = (poll.process, now)
        else:
            self._processes.pop(poll.machine.name, None)
