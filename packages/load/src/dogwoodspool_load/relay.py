"""A relay that counts the bytes between two ends."""

import socket
import threading
from collections.abc import Callable
from typing import Final

from dogwoodspool_common import Address

CHUNK_BYTES: Final = 65_536
CONNECT_SECONDS: Final = 2.0


class CountingRelay:
    """Pass connections on to a target and count the bytes both ways.

    Args:
        target: asked at each connection, so that it may move.
    """

    def __init__(self, target: Callable[[], Address]) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._lock = threading.Lock()
        self._count = 0
        self._sockets: list[socket.socket] = []

    @property
    def address(self) -> Address:
        """Where it listens."""
        return Address("127.0.0.1", int(self._listener.getsockname()[1]))

    @property
    def count(self) -> int:
        """Bytes passed on until now, both ways together."""
        with self._lock:
            return self._count

    def set_up(self) -> None:
        """Begin to accept."""
        threading.Thread(target=self._accept, daemon=True).start()

    def unload(self) -> None:
        """Close every connection."""
        self._listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for one in sockets:
            one.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return  # Closed by ``unload``.
            try:
                target = self._target()
                far = socket.create_connection(
                    (target.host, target.port), CONNECT_SECONDS
                )
            except OSError:
                near.close()
                continue
            far.settimeout(None)
            for one in (near, far):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._sockets += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(source, sink), daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                with self._lock:
                    self._count += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            sink.close()
