"""Tests of promotion requests to the platform."""

import socket
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer

from dogwoodspool_common import Address, BackendServer
from dogwoodspool_failover import (
    PromotionNotTakenError,
    PromotionRefusedError,
    PromotionUnknownError,
)
from dogwoodspool_platform.promotion import CloudPromotionService

TIMEOUT = 5.0
SHORT_TIMEOUT = 0.2
SERVER = BackendServer(
    name="s1",
    group="chat",
    failure_domain="fd1",
    address=Address("127.0.0.1", 1),
    slots=3,
    connections=20,
)


class Platform(HTTPServer):
    """A promotion service with one answer, or none."""

    def __init__(self, status: int | None) -> None:
        super().__init__(("127.0.0.1", 0), Handler)
        self.status = status
        self.tokens: list[str] = []
        self.is_over = threading.Event()


class Handler(BaseHTTPRequestHandler):
    """Answer one request."""

    server: Platform

    def do_POST(self) -> None:  # noqa: N802
        """Answer with the status of the service, or not at all."""
        self.server.tokens.append(self.headers["Dogwoodspool-Fencing-Token"])
        if self.server.status is None:
            self.server.is_over.wait(TIMEOUT)
            return
        self.send_response(self.server.status)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object) -> None:
        """Log nothing."""


class CloudPromotionServiceTests(unittest.TestCase):
    """An answer tells whether the call can still be carried out."""

    def request(self, status: int | None, timeout: float = TIMEOUT) -> None:
        platform = Platform(status)
        thread = threading.Thread(target=platform.serve_forever, daemon=True)
        thread.start()
        service = CloudPromotionService(f"127.0.0.1:{platform.server_port}")
        try:
            service.promote(SERVER, "core-1", 7, timeout)
        finally:
            platform.is_over.set()
            platform.shutdown()
            thread.join()
            platform.server_close()
            self.assertEqual(platform.tokens, ["7"])

    def test_accepted(self) -> None:
        self.request(200)

    def test_conflict(self) -> None:
        with self.assertRaises(PromotionRefusedError):
            self.request(409)

    def test_too_many_calls(self) -> None:
        """Guard against a change that chooses anew because the platform is full."""
        with self.assertRaises(PromotionNotTakenError):
            self.request(429)

    def test_failing_platform(self) -> None:
        """Guard against a call that counts as refused though it is carried out."""
        with self.assertRaises(PromotionUnknownError):
            self.request(503)

    def test_answer_that_the_platform_does_not_give(self) -> None:
        """Guard against a call that counts as refused though it is carried out."""
        for status in (202, 204, 304):
            with self.subTest(status), self.assertRaises(PromotionUnknownError):
                self.request(status)

    def test_no_answer(self) -> None:
        """Guard against a call that counts as refused though it is carried out."""
        with self.assertRaises(PromotionUnknownError):
            self.request(None, SHORT_TIMEOUT)

    def test_nothing_listens(self) -> None:
        """Guard against a change that waits for a call which was never sent."""
        with socket.create_server(("127.0.0.1", 0)) as unused:
            port = unused.getsockname()[1]
        service = CloudPromotionService(f"127.0.0.1:{port}")
        with self.assertRaises(PromotionNotTakenError):
            service.promote(SERVER, "core-1", 7, TIMEOUT)
