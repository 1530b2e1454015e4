"""Tests of an HTTP server with more connections than its library's default limit.

The HTTP library stops accepting at 100 open connections. Each proxy keeps a connection
to every control process that it has called, and connections of proxies that lost power
stay open for two minutes. A control process at the limit received no votes, though it
was needed for a quorum, and confirmed changes did not reach some proxies. With 76
proxies the leader logged the following 1.4 s after its start and accepted no connection
again; with 194 proxies 97 of them had no view 23 s after the others:

    total open connections reached the connection limit, no longer accepting ...
"""

import logging
import resource
import socket
import unittest
from pathlib import Path
from typing import Any
from unittest.mock import patch

from dogwoodspool_common import Address, JsonRequest, JsonResponse, JsonServer, Route

CONNECTIONS = 1_200
TIMEOUT_SECONDS = 10.0
# Columns in /proc/net/tcp, and the value of an active keep-alive timer.
LOCAL_COLUMN, TIMER_COLUMN = 1, 5
KEEPALIVE_TIMER = "02:"


def answer(_request: JsonRequest) -> JsonResponse:
    return JsonResponse({"status": "live"})


class ConnectionTests(unittest.TestCase):
    """Idle connections do not block new ones, and lost callers are detected."""

    def setUp(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = min(hard, 4 * CONNECTIONS)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
        route = Route("GET", "/live", answer)
        server = JsonServer(Address("127.0.0.1", 0), None, [route], threads=2)
        server.set_up()
        self.addCleanup(server.unload)
        self.server, self.address = server, server.address

    def connect(self) -> socket.socket:
        sock = socket.create_connection(
            (self.address.host, self.address.port), TIMEOUT_SECONDS
        )
        self.addCleanup(sock.close)
        return sock

    def ask(self, sock: socket.socket) -> bytes:
        sock.sendall(b"GET /live HTTP/1.1\r\nHost: one\r\n\r\n")
        return sock.recv(4096).split(b"\r\n")[0]

    def test_idle_connections_do_not_block_new_ones(self) -> None:
        """Guard against a connection limit that only suits few proxies."""
        for _ in range(CONNECTIONS):
            self.assertEqual(self.ask(self.connect()), b"HTTP/1.1 200 OK")

    def test_keepalive_is_enabled_on_connections(self) -> None:
        """Guard against connections that stay open after their callers lost power."""
        sock = self.connect()
        self.ask(sock)
        self.assertEqual(self.active_timers(), [KEEPALIVE_TIMER])

    def test_library_warning_is_logged_as_an_event(self) -> None:
        """Guard against unstructured log lines with a traceback for each lost peer."""
        with patch("dogwoodspool_common.http_server.log_rate_limited") as log:
            try:
                raise TimeoutError("timed out")
            except TimeoutError:
                logging.getLogger("waitress").exception("Socket error")
        log.assert_called_once_with(
            "http_server_warning",
            level="WARNING",
            reason="Socket error",
            error="TimeoutError('timed out')",
            peer=None,
        )

    def test_library_warning_about_a_connection_names_the_peer(self) -> None:
        """Guard against hundreds of log lines that do not name the lost peer."""
        sock = self.connect()
        self.ask(sock)
        host, port = sock.getsockname()
        channels: Any = self.server._server.active_channels
        (channel,) = channels.values()
        with patch("dogwoodspool_common.http_server.log_rate_limited") as log:
            channel.logger.warning("Socket error")
        self.assertEqual(log.call_args.kwargs["peer"], Address(host, port))

    def active_timers(self) -> list[str]:
        """Return the timers of the server's established connections."""
        port = f":{self.address.port:04X}"
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()]
        return [
            row[TIMER_COLUMN][:3]
            for row in rows[1:]
            if row[LOCAL_COLUMN].endswith(port) and row[3] == "01"
        ]
