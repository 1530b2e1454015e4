"""Tests of JSON over persistent connections, one line per message."""

import socket
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from unittest.mock import patch

from dogwoodspool_common import (
    Address,
    JsonLineClient,
    JsonLineServer,
    JsonRequest,
    JsonResponse,
    PeerNotConnectedError,
    PeerRefusedError,
    PeerUnreachableError,
    Route,
)
from dogwoodspool_common.const import MAX_LINE_BYTES

TIMEOUT_SECONDS = 1.0
connect = socket.create_connection


class JsonLineTests(unittest.TestCase):
    """A client calls a server's endpoints over persistent connections."""

    def setUp(self) -> None:
        self.serving_threads: set[int] = set()
        self.release = threading.Event()
        routes = [
            Route("POST", "/double", self.double),
            Route("POST", "/wait", self.wait),
            Route("POST", "/fail", self.raise_error),
        ]
        self.server = JsonLineServer(Address("127.0.0.1", 0), routes)
        self.server.set_up()
        self.addCleanup(self.server.unload)
        self.addCleanup(self.release.set)
        self.connect_count = 0
        self.enterContext(
            patch("socket.create_connection", side_effect=self.counting_connect)
        )
        self.client = JsonLineClient(connect_timeout=0.2, user_timeout_ms=250)
        self.addCleanup(self.client.close)

    def counting_connect(self, *arguments: Any) -> socket.socket:
        self.connect_count += 1
        return connect(*arguments)

    def double(self, request: JsonRequest) -> JsonResponse:
        self.serving_threads.add(threading.get_ident())
        return JsonResponse({"value": request.body["value"] * 2})

    def wait(self, _request: JsonRequest) -> JsonResponse:
        self.release.wait(10)
        return JsonResponse()

    def raise_error(self, _request: JsonRequest) -> JsonResponse:
        raise RuntimeError("handler failed")

    def post(self, path: str, body: dict[str, object]) -> dict[str, object]:
        return self.client.post(self.server.address, path, body, TIMEOUT_SECONDS)

    def test_messages_are_in_progress_until_they_are_answered(self) -> None:
        address = self.server.address
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self.client.post, address, "/wait", {}, 10.0)
            while not self.server.in_progress(("/wait",)):
                self.assertFalse(waiting.done())
            self.assertEqual(self.server.in_progress(("/double", "/fail")), 0)
            self.release.set()
            waiting.result()
        until = time.monotonic() + 30.0
        while self.server.in_progress(("/wait",)):
            self.assertLess(time.monotonic(), until)

    def test_calls_reuse_one_connection(self) -> None:
        for value in range(20):
            self.assertEqual(
                self.post("/double", {"value": value}), {"value": 2 * value}
            )
        self.assertEqual(len(self.serving_threads), 1)

    def test_large_messages_arrive_complete(self) -> None:
        text = "line\n" * 200_000
        self.assertEqual(self.post("/double", {"value": text}), {"value": text * 2})

    def test_unknown_endpoint_and_handler_error_are_error_responses(self) -> None:
        for path, status in (("/none", 404), ("/fail", 500)):
            with self.assertRaises(PeerRefusedError) as caught:
                self.post(path, {})
            self.assertEqual(caught.exception.status, status)
        self.assertEqual(self.post("/double", {"value": 1}), {"value": 2})

    def test_late_answer_is_not_returned_to_the_next_call(self) -> None:
        """Guard against answers of one request that reach another caller."""
        with self.assertRaises(PeerUnreachableError):
            self.client.post(self.server.address, "/wait", {}, 0.05)
        self.release.set()
        time.sleep(0.05)
        self.assertEqual(self.post("/double", {"value": 3}), {"value": 6})

    def test_timeout_closes_the_idle_connections_to_the_peer(self) -> None:
        """Guard against consecutive calls that each use another dead connection."""
        with ThreadPoolExecutor(4) as executor:
            calls = [executor.submit(self.post, "/wait", {}) for _ in range(3)]
            time.sleep(0.2)
            self.release.set()
            for call in calls:
                call.result()
        before = self.connect_count
        self.release.clear()
        with self.assertRaises(PeerUnreachableError):
            self.client.post(self.server.address, "/wait", {}, 0.05)
        self.assertEqual(self.connect_count, before)
        self.post("/double", {"value": 1})
        self.assertEqual(self.connect_count, before + 1)

    def test_refused_connection_reports_that_nothing_was_sent(self) -> None:
        self.server.unload()
        with self.assertRaises(PeerNotConnectedError):
            self.post("/double", {"value": 1})

    def test_closed_connection_does_not_report_that_nothing_was_sent(self) -> None:
        """Guard against a write that is retried as if it had not run."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def close_first() -> None:
            accepted, _peer = listener.accept()
            accepted.recv(1)
            accepted.close()

        threading.Thread(target=close_first, daemon=True).start()
        with self.assertRaises(PeerUnreachableError) as caught:
            self.client.post(
                Address(*listener.getsockname()), "/x", {}, TIMEOUT_SECONDS
            )
        self.assertNotIsInstance(caught.exception, PeerNotConnectedError)

    def test_user_timeout_is_set_on_connections(self) -> None:
        """Guard against requests that wait for a machine that lost power."""
        opened: list[socket.socket] = []

        def recording_connect(*arguments: Any) -> socket.socket:
            opened.append(connect(*arguments))
            return opened[-1]

        with patch("socket.create_connection", side_effect=recording_connect):
            self.post("/double", {"value": 1})
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(opened[0].getsockopt(*option), 250)

    def test_connection_closed_by_the_peer_while_idle_is_not_used(self) -> None:
        """Guard against writes with unknown outcome after a neighbour's restart."""
        self.post("/double", {"value": 1})
        address = self.server.address
        self.server.unload()
        time.sleep(0.05)
        restarted = JsonLineServer(address, [Route("POST", "/double", self.double)])
        restarted.set_up()
        self.addCleanup(restarted.unload)
        self.assertEqual(self.post("/double", {"value": 2}), {"value": 4})

    def test_malformed_message_closes_only_its_connection(self) -> None:
        for content in (b"no json\n", b"x" * (MAX_LINE_BYTES + 1)):
            address = self.server.address
            with socket.create_connection((address.host, address.port), 5) as peer:
                peer.sendall(content)
                peer.shutdown(socket.SHUT_WR)
                self.assertEqual(peer.recv(10), b"")
        self.assertEqual(self.post("/double", {"value": 1}), {"value": 2})
