"""Socket wrapper that bounds every wait by a common deadline."""

import io
import select
import socket
from typing import Any, BinaryIO

from dogwoodspool_common import Clock

from .const import READ_BUFFER_BYTES


class DeadlineSocket:
    """Wrap PyMySQL's socket and bound every wait by a deadline.

    A plain read timeout restarts with every received byte, so a server that sends
    single bytes at intervals would block its caller indefinitely. Here all waits of
    one statement share its remaining time.

    Attributes:
        has_timed_out: a wait ended at its deadline; the peer may be unresponsive.
    """

    def __init__(self, connected: socket.socket, clock: Clock, deadline: float) -> None:
        self._socket = connected
        self._clock = clock
        self._deadline = deadline
        self._reader = _DeadlineReader(self)
        self._buffered = io.BufferedReader(self._reader, READ_BUFFER_BYTES)
        self._poll = select.poll()
        self._poll.register(connected, select.POLLIN | select.POLLHUP | select.POLLERR)
        self.has_timed_out = False

    def set_deadline(self, deadline: float) -> None:
        """Set the deadline of all further waits, in clock seconds."""
        self._deadline = deadline

    def has_input(self) -> bool:
        """Return without waiting whether input or end of stream is available."""
        self._reader.is_blocking = False
        try:
            return bool(self._buffered.peek(1)) or bool(self._poll.poll(0))
        finally:
            self._reader.is_blocking = True

    def settimeout(self, value: float | None) -> None:
        """Ignore PyMySQL's own timeout, since the deadline applies."""

    def makefile(self, mode: str) -> BinaryIO:
        """Return the buffered reader."""
        return self._buffered

    def recv_into(self, buffer: Any) -> int:
        """Read available bytes; raise ``TimeoutError`` at the deadline."""
        try:
            self._socket.settimeout(self._remaining())
            return self._socket.recv_into(buffer)
        except TimeoutError:
            self.has_timed_out = True
            raise

    def sendall(self, data: bytes) -> None:
        """Send all bytes; raise ``TimeoutError`` at the deadline."""
        try:
            self._socket.settimeout(self._remaining())
            self._socket.sendall(data)
        except TimeoutError:
            self.has_timed_out = True
            raise

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _remaining(self) -> float:
        remaining = self._deadline - self._clock.now()
        if remaining <= 0:
            raise TimeoutError("the deadline has passed")
        return remaining


class _DeadlineReader(io.RawIOBase):
    """Raw reader of the socket; returns at once while ``is_blocking`` is false."""

    def __init__(self, owner: DeadlineSocket) -> None:
        self._owner = owner
        self.is_blocking = True

    def readable(self) -> bool:
        """Return that the stream is readable."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read available bytes; None in non-blocking mode."""
        if not self.is_blocking:
            return None
        return self._owner.recv_into(buffer)
