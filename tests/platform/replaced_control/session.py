"""One session of a caller, which fails without an exception."""

import socket

from .const import ANSWER_SECONDS


class Session:
    """Connect to a database at a proxy.

    Attributes:
        greeting: ``READY``, the error code or, without an answer, nothing.
    """

    def __init__(self, host: str, port: int, database: str) -> None:
        self.database = database
        self.greeting = ""
        self._socket = socket.socket()
        self._socket.settimeout(ANSWER_SECONDS)
        self._stream = self._socket.makefile("rb")
        try:
            self._socket.connect((host, port))
            self._socket.sendall(f"STARTUP {database} probe\r\n".encode())
            self.greeting = word_of(self._read())
        except OSError:
            self.close()

    def ask(self, request_id: str, text: str) -> str:
        """Return ``READY`` after a success, the error code, or nothing."""
        try:
            self._socket.sendall(f"QUERY {request_id} {text}\r\n".encode())
            word = ""
            while line := self._read():
                if line.startswith("READY"):
                    return word
                word = word_of(line)
        except OSError:
            return ""
        # An error without the state after it ends the session.
        return word if word != "READY" else ""

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self._socket.close()

    def _read(self) -> str:
        return self._stream.readline().decode().rstrip("\r\n")


def word_of(line: str) -> str:
    """Return the error code of a message; ``READY`` if it is none."""
    words = line.split()
    if not words:
        return ""
    return words[1] if words[0] == "ERROR" else "READY"
