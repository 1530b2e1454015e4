"""A TCP relay that counts the bytes that it forwards."""

import socket
import threading
from collections.abc import Callable
from typing import Final

from dogwoodspool_common import Address

CHUNK_BYTES: Final = 65_536
CONNECT_TIMEOUT_SECONDS: Final = 2.0


class CountingRelay:
    """Forward connections to a target and count the bytes in both directions.

    Args:
        target: returns the target's address; called for each connection, since the
            address may change.
    """

    def __init__(self, target: Callable[[], Address]) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self._lock = threading.Lock()
        self._count = 0
        self._sockets: list[socket.socket] = []

    @property
    def address(self) -> Address:
        """Address that the relay listens on."""
        return Address("127.0.0.1", int(self._listener.getsockname()[1]))

    @property
    def count(self) -> int:
        """Bytes forwarded so far, both directions together."""
        with self._lock:
            return self._count

    def set_up(self) -> None:
        """Start accepting connections."""
        threading.Thread(target=self._accept, daemon=True).start()

    def unload(self) -> None:
        """Close the listener and every connection."""
        self._listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for one in sockets:
            one.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return  # Closed by ``unload``.
            try:
                target = self._target()
                upstream = socket.create_connection(
                    (target.host, target.port), CONNECT_TIMEOUT_SECONDS
                )
            except OSError:
                client.close()
                continue
            upstream.settimeout(None)
            for one in (client, upstream):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._sockets += [client, upstream]
            for source, destination in ((client, upstream), (upstream, client)):
                threading.Thread(
                    target=self._forward, args=(source, destination), daemon=True
                ).start()

    def _forward(self, source: socket.socket, destination: socket.socket) -> None:
        try:
            while data := source.recv(CHUNK_BYTES):
                with self._lock:
                    self._count += len(data)
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            destination.close()
