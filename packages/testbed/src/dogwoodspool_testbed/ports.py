"""Ports for processes that bind them later."""

import random
import socket
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from .errors import TestbedError

FIRST_PORT: Final = 16_384
LAST_PORT: Final = 60_999
LOCAL_PORT_RANGE: Final = Path("/proc/sys/net/ipv4/ip_local_port_range")
ANY_HOST: Final = "0.0.0.0"
# No process of a deployment listens at this address.
RESERVING_HOST: Final = "127.255.255.254"


class PortReservations:
    """Choose ports that nobody else takes before their processes bind them.

    A port that was only probed is free for others until its process binds it. Those
    chosen here are outside of the range from which the kernel gives ports to sockets
    that ask for none. Until ``release`` a socket listens on each at an address that no
    process uses, which keeps other runs on this machine from choosing it.

    Args:
        candidates: the ports to choose from; by default those below the kernel's
            range, or any where it begins too low.

    Example:
        >>> reservations = PortReservations()
        >>> first, second = reservations.reserve(2)
    """

    def __init__(self, candidates: Sequence[int] | None = None) -> None:
        self._candidates = _default_candidates() if candidates is None else candidates
        self._listeners: list[socket.socket] = []

    def reserve(self, count: int) -> list[int]:
        """Reserve some ports at all addresses of this machine.

        Raises:
            TestbedError: too few ports are free.
        """
        reserved: list[int] = []
        for port in random.sample(self._candidates, len(self._candidates)):
            if len(reserved) == count:
                break
            if self._take(port):
                reserved.append(port)
        if len(reserved) < count:
            raise TestbedError(f"only {len(reserved)} of {count} ports are free")
        return reserved

    def release(self) -> None:
        """Make all reserved ports available to others."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()

    def _take(self, port: int) -> bool:
        """Reserve a port if no process listens on it at any address."""
        try:
            socket.create_server((ANY_HOST, port)).close()
            self._listeners.append(socket.create_server((RESERVING_HOST, port)))
        except OSError:
            return False
        return True


def _default_candidates() -> Sequence[int]:
    first_of_kernel = int(LOCAL_PORT_RANGE.read_text().split()[0])
    if first_of_kernel > FIRST_PORT:
        return range(FIRST_PORT, first_of_kernel)
    return range(FIRST_PORT, LAST_PORT)
