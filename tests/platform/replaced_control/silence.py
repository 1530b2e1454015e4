"""Addresses of machines that have lost their power for good."""

import socket
import struct
import threading

from .const import FULL_SECONDS, MAX_BACKLOG


class SilentHost:
    """Ports of a machine without power, which answer nothing.

    Args:
        accepts: whether connections are accepted by the kernel; otherwise their setup
            is not answered either.
    """

    def __init__(self, host: str, ports: list[int], *, accepts: bool) -> None:
        self._sockets: list[socket.socket] = []
        for port in ports:
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
            listener.listen(1000 if accepts else 0)
            self._sockets.append(listener)
            if not accepts:
                self._fill(host, port)

    def _fill(self, host: str, port: int) -> None:
        for _ in range(3):
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex((host, port))
            self._sockets.append(one)

    def close(self) -> None:
        """Free the ports."""
        for one in self._sockets:
            one.close()


class FullBacklog:
    """Connections that fill the backlogs of a stopped process.

    Later connections are not answered, and those that were open before stay open, as
    with a machine that has lost its power.
    """

    def __init__(self, host: str, ports: list[int]) -> None:
        self._sockets: list[socket.socket] = []
        for port in ports:
            self._fill(host, port)

    def _fill(self, host: str, port: int) -> None:
        for _ in range(MAX_BACKLOG):
            one = socket.socket()
            self._sockets.append(one)
            one.settimeout(FULL_SECONDS)
            try:
                one.connect((host, port))
            except OSError:
                return

    def close(self) -> None:
        """Close the connections."""
        for one in self._sockets:
            one.close()


class ResettingHost:
    """Ports of a machine without power, whose address resets each connection."""

    def __init__(self, host: str, ports: list[int]) -> None:
        self._sockets = [socket.create_server((host, port)) for port in ports]
        for one in self._sockets:
            threading.Thread(target=self._reset_on, args=(one,), daemon=True).start()

    def _reset_on(self, listener: socket.socket) -> None:
        linger = struct.pack("ii", 1, 0)
        while True:
            try:
                one, _ = listener.accept()
            except OSError:
                return
            one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            one.close()

    def close(self) -> None:
        """Free the ports."""
        for one in self._sockets:
            one.shutdown(socket.SHUT_RDWR)
            one.close()
