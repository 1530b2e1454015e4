"""JSON over persistent TCP connections, one line per message.

For frequent short calls between neighbours: a call with ``JsonClient`` takes several
times the CPU time, most of it for HTTP headers.
"""

import json
import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from .const import (
    CODE_BAD_REQUEST,
    FIRST_ERROR_STATUS,
    HTTP_CONNECT_TIMEOUT,
    LINE_BACKLOG,
    LINE_READ_BYTES,
    MAX_LINE_BYTES,
    MAX_LINE_CONNECTIONS,
    MILLISECONDS,
    TCP_USER_TIMEOUT_MS,
)
from .errors import PeerNotConnectedError, PeerRefusedError, PeerUnreachableError
from .log import log_event, log_rate_limited
from .models import Address
from .routes import JsonRequest, JsonResponse, Route, answer, error_response
from .tcp import TCP_OPTIONS
from .trace import current_traceparent

LINE_END = b"\n"


class JsonLineServer:
    """Serve routes over persistent connections, with one thread per connection.

    Args:
        address: address to listen on; port 0 selects any free port.
        routes: the endpoints; only their paths are used.
    """

    def __init__(self, address: Address, routes: Iterable[Route]) -> None:
        self._routes = {route.path: route for route in routes}
        self._listener = socket.create_server(
            (address.host, address.port), backlog=LINE_BACKLOG
        )
        self._address = Address(address.host, int(self._listener.getsockname()[1]))
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._answering: Counter[str] = Counter()
        self._is_closed = False
        self._thread = threading.Thread(target=self._run, name="lines", daemon=True)

    @property
    def address(self) -> Address:
        """The bound address, with the actual port if 0 was requested."""
        return self._address

    def in_progress(self, paths: Iterable[str]) -> int:
        """Return how many messages to some endpoints were read and not answered."""
        with self._lock:
            return sum(self._answering[path] for path in paths)

    def set_up(self) -> None:
        """Start accepting."""
        self._thread.start()

    def unload(self) -> None:
        """Stop accepting and close open connections."""
        self._is_closed = True
        _shut_down(self._listener)  # Wakes the accepting thread.
        self._listener.close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            _shut_down(connection)

    def _run(self) -> None:
        while not self._is_closed:
            try:
                connection, peer = self._listener.accept()
            except OSError as error:
                if not self._is_closed:
                    log_event("accept_failed", level="WARNING", reason=error)
                    time.sleep(HTTP_CONNECT_TIMEOUT)
                continue
            with self._lock:
                is_full = len(self._open) >= MAX_LINE_CONNECTIONS
                if not is_full:
                    self._open.add(connection)
            if is_full:
                log_rate_limited(
                    "peer_refused", peer=peer, reason="connection limit reached"
                )
                connection.close()
                continue
            threading.Thread(
                target=self._serve, args=(connection,), name="line", daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            _set_socket_options(connection)
            buffer = bytearray()
            while (line := _read_line(connection, buffer)) is not None:
                self._answer(connection, json.loads(line))
        except (OSError, ValueError, RecursionError) as error:
            log_rate_limited("peer_lost", level="DEBUG", reason=error)
        finally:
            with self._lock:
                self._open.discard(connection)
            connection.close()

    def _answer(self, connection: socket.socket, message: Any) -> None:
        path = str(message.get("path", "")) if isinstance(message, dict) else ""
        with self._lock:
            self._answering[path] += 1
        try:
            response = self._respond(message)
            content = {"status": response.status, "body": response.body}
            connection.sendall(_encode(content))
        finally:
            with self._lock:
                self._answering[path] -= 1
                if not self._answering[path]:
                    del self._answering[path]

    def _respond(self, message: Any) -> JsonResponse:
        if not isinstance(message, dict):
            return error_response(
                400, CODE_BAD_REQUEST, "message must be a JSON object"
            )
        path = str(message.get("path", ""))
        route = self._routes.get(path)
        if route is None:
            return error_response(404, "no_such_endpoint", path)
        request = JsonRequest(path, {}, message.get("body"))
        return answer(route, request, message.get("traceparent"))


class JsonLineClient:
    """Call endpoints of ``JsonLineServer``; calls are never retried here.

    Args:
        max_connections: maximum idle connections kept per peer.
        connect_timeout: seconds to establish a new connection.
        user_timeout_ms: milliseconds within which a peer's machine must acknowledge
            sent data, however long the answer takes; otherwise the connection fails.

    Example:
        >>> JsonLineClient().post(Address("10.1.0.8", 7441), "/v1/x", {"a": 1}, 0.5)
        {'b': 2}
    """

    def __init__(
        self,
        max_connections: int = 8,
        connect_timeout: float = HTTP_CONNECT_TIMEOUT,
        user_timeout_ms: int = TCP_USER_TIMEOUT_MS,
    ) -> None:
        self._max_connections = max_connections
        self._connect_timeout = connect_timeout
        self._user_timeout_ms = user_timeout_ms
        self._lock = threading.Lock()
        self._idle: dict[Address, list[_Connection]] = {}

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        """Send one message and return the answer.

        Args:
            address: the peer.
            path: path of the endpoint.
            body: the message.
            timeout: seconds for the whole exchange.

        Raises:
            PeerNotConnectedError: no connection was established; nothing was sent.
            PeerUnreachableError: no complete answer was received in time.
            PeerRefusedError: the answer has an error status.
        """
        until = time.monotonic() + timeout
        message: dict[str, Any] = {"path": path, "body": body}
        traceparent = current_traceparent()
        if traceparent:
            message["traceparent"] = traceparent
        connection = self._take_idle(address) or self._connect(address, timeout)
        try:
            connection.send(_encode(message), until)
            response = json.loads(connection.read_line(until))
            status, content = int(response["status"]), dict(response["body"])
        except (OSError, EOFError, ValueError, KeyError, TypeError) as error:
            connection.close()
            # The cause of this failure likely affects the idle connections too.
            self._close_idle(address)
            raise PeerUnreachableError(f"{address}{path}: {error!r}") from error
        self._return_idle(address, connection)
        if status >= FIRST_ERROR_STATUS:
            raise PeerRefusedError(
                status,
                str(content.get("error", "unknown")),
                str(content.get("message", "")),
            )
        return content

    def close(self) -> None:
        """Close idle connections."""
        with self._lock:
            addresses = list(self._idle)
        for address in addresses:
            self._close_idle(address)

    def _close_idle(self, address: Address) -> None:
        with self._lock:
            idle = self._idle.pop(address, [])
        for connection in idle:
            connection.close()

    def _connect(self, address: Address, timeout: float) -> "_Connection":
        seconds = min(timeout, self._connect_timeout)
        try:
            connected = socket.create_connection((address.host, address.port), seconds)
        except OSError as error:
            raise PeerNotConnectedError(f"{address}: {error}") from error
        _set_socket_options(connected)
        connected.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, self._user_timeout_ms
        )
        return _Connection(connected)

    def _take_idle(self, address: Address) -> "_Connection | None":
        """Take the most recently used idle connection that the peer has not closed."""
        while True:
            with self._lock:
                idle = self._idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None or not connection.has_input():
                return connection
            connection.close()

    def _return_idle(self, address: Address, connection: "_Connection") -> None:
        with self._lock:
            idle = self._idle.setdefault(address, [])
            if len(idle) < self._max_connections:
                idle.append(connection)
                return
        connection.close()


class _Connection:
    """A client's non-blocking connection, which polls before it reads or writes.

    A socket with its own time-out would take two more system calls for each step.
    """

    def __init__(self, connected: socket.socket) -> None:
        connected.setblocking(False)
        self._socket = connected
        self._poller = select.poll()
        self._buffer = bytearray()

    def send(self, content: bytes, until: float) -> None:
        """Send all bytes; raise ``TimeoutError`` at ``time.monotonic()`` seconds."""
        remaining = memoryview(content)
        while remaining:
            try:
                remaining = remaining[self._socket.send(remaining) :]
            except BlockingIOError:
                self._wait(select.POLLOUT, until)

    def read_line(self, until: float) -> bytes:
        """Return the next line; raise ``EOFError`` at the end, or as ``send``."""
        while (line := _take_line(self._buffer)) is None:
            self._wait(select.POLLIN, until)
            received = self._socket.recv(LINE_READ_BYTES)
            if not received:
                raise EOFError("the peer closed the connection")
            self._buffer += received
        return line

    def has_input(self) -> bool:
        """Return whether the peer closed it or sent unexpected data."""
        try:
            self._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return bool(self._buffer)
        except OSError as error:
            log_rate_limited("peer_lost", level="DEBUG", reason=error)
        return True

    def close(self) -> None:
        """Close the connection immediately."""
        self._socket.close()

    def _wait(self, event: int, until: float) -> None:
        remaining = until - time.monotonic()
        self._poller.register(self._socket, event)
        if remaining <= 0 or not self._poller.poll(remaining * MILLISECONDS):
            raise TimeoutError("no answer by the deadline")


def _set_socket_options(connection: socket.socket) -> None:
    for level, option, value in TCP_OPTIONS:
        connection.setsockopt(level, option, value)


def _encode(message: dict[str, Any]) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode() + LINE_END


def _read_line(connection: socket.socket, buffer: bytearray) -> bytes | None:
    """Return the next line, None at the end; later bytes stay in the buffer."""
    while (line := _take_line(buffer)) is None:
        received = connection.recv(LINE_READ_BYTES)
        if not received:
            return None
        buffer += received
    return line


def _take_line(buffer: bytearray) -> bytes | None:
    """Remove and return the first line of a buffer; None while it is incomplete."""
    end = buffer.find(LINE_END)
    if end < 0:
        if len(buffer) > MAX_LINE_BYTES:
            raise ValueError(f"line exceeds {MAX_LINE_BYTES} bytes")
        return None
    line = bytes(buffer[:end])
    del buffer[: end + 1]
    return line


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError as error:
        log_rate_limited("peer_lost", level="DEBUG", reason=error)
