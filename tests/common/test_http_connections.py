"""Tests of an HTTP server with more connections than its library's default.

A change that was confirmed did not reach some proxies at all, and a control process
that was needed for a quorum got no votes: it accepted no connection any more. The HTTP
library stops at 100 open connections, each proxy keeps one to every control process
that it has asked, and those of proxies that lost their power stay open for two minutes.
On a deployment of 76 proxies the leader wrote this 1.4 s after the start, and did not
listen again; with 194 proxies 97 had no view 23 s after the others:

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

CALLERS = 1_200
PATIENCE_SECONDS = 10.0
# Columns of the kernel's table of connections, and the mark of a keep-alive timer.
LOCAL_COLUMN, TIMER_COLUMN = 1, 5
KEEPALIVE_TIMER = "02:"


def answer(_request: JsonRequest) -> JsonResponse:
    return JsonResponse({"status": "live"})


class ConnectionTests(unittest.TestCase):
    """Idle connections keep nobody out, and do not outlast their callers' machines."""

    def setUp(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = min(hard, 4 * CALLERS)
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
        route = Route("GET", "/live", answer)
        server = JsonServer(Address("127.0.0.1", 0), None, [route], threads=2)
        server.set_up()
        self.addCleanup(server.unload)
        self.server, self.address = server, server.address

    def connect(self) -> socket.socket:
        sock = socket.create_connection(
            (self.address.host, self.address.port), PATIENCE_SECONDS
        )
        self.addCleanup(sock.close)
        return sock

    def ask(self, sock: socket.socket) -> bytes:
        sock.sendall(b"GET /live HTTP/1.1\r\nHost: one\r\n\r\n")
        return sock.recv(4096).split(b"\r\n")[0]

    def test_connections_that_idle_keep_nobody_out(self) -> None:
        """Guard against a limit of connections that suits a few proxies only."""
        for _ in range(CALLERS):
            self.assertEqual(self.ask(self.connect()), b"HTTP/1.1 200 OK")

    def test_the_kernel_looks_after_connections_that_idle(self) -> None:
        """Guard against connections that outlast the power of their callers."""
        sock = self.connect()
        self.ask(sock)
        self.assertEqual(self.timers(), [KEEPALIVE_TIMER])

    def test_what_the_library_warns_of_is_an_event(self) -> None:
        """Guard against lines of another form, a traceback for each lost peer."""
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

    def test_what_the_library_warns_of_a_connection_names_its_peer(self) -> None:
        """Guard against hundreds of lines that do not say who was lost."""
        sock = self.connect()
        self.ask(sock)
        host, port = sock.getsockname()
        channels: Any = self.server._server.active_channels
        (channel,) = channels.values()
        with patch("dogwoodspool_common.http_server.log_rate_limited") as log:
            channel.logger.warning("Socket error")
        self.assertEqual(log.call_args.kwargs["peer"], Address(host, port))

    def timers(self) -> list[str]:
        """Return the timers of the server's established connections."""
        port = f":{self.address.port:04X}"
        rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()]
        return [
            row[TIMER_COLUMN][:3]
            for row in rows[1:]
            if row[LOCAL_COLUMN].endswith(port) and row[3] == "01"
        ]
