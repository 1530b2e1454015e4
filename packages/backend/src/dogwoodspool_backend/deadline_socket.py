"""A socket whose every wait ends at one deadline."""

import io
import select
import socket
from typing import Any, BinaryIO

from dogwoodspool_common import Clock

from .const import READ_BUFFER_BYTES


class DeadlineSocket:
    """Stand between PyMySQL and its socket and bound each wait by a deadline.

    A plain read timeout starts again with every received byte, so a server that
    sends one byte now and then would hold its caller for ever. Here all waits of
    one statement share the time that is left of it.

    Attributes:
        has_timed_out: a wait ended at its deadline; the peer may be silent.
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
        """Bound all further waits, in the clock's seconds."""
        self._deadline = deadline

    def has_input(self) -> bool:
        """Tell without waiting whether bytes or the end of the stream are there."""
        self._reader.is_waiting = False
        try:
            return bool(self._buffered.peek(1)) or bool(self._poll.poll(0))
        finally:
            self._reader.is_waiting = True

    def settimeout(self, value: float | None) -> None:
        """Ignore the library's own timeout: the deadline holds."""

    def makefile(self, mode: str) -> BinaryIO:
        """Return the buffered reading side."""
        return self._buffered

    def recv_into(self, buffer: Any) -> int:
        """Read some bytes before the deadline."""
        try:
            self._socket.settimeout(self._remaining())
            return self._socket.recv_into(buffer)
        except TimeoutError:
            self.has_timed_out = True
            raise

    def sendall(self, data: bytes) -> None:
        """Send all bytes before the deadline."""
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
    """The reading side; gives up at once while ``is_waiting`` is false."""

    def __init__(self, owner: DeadlineSocket) -> None:
        self._owner = owner
        self.is_waiting = True

    def readable(self) -> bool:
        """Tell that the stream can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read some bytes; None when there are none and nobody waits."""
        if not self.is_waiting:
            return None
        return self._owner.recv_into(buffer)
