"""Tests of JSON over persistent connections, a line for each message."""

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

SECOND = 1.0
connect = socket.create_connection


class JsonLineTests(unittest.TestCase):
    """A client calls a server's endpoints, many times over one connection."""

    def setUp(self) -> None:
        self.peers: set[int] = set()
        self.release = threading.Event()
        routes = [
            Route("POST", "/double", self.double),
            Route("POST", "/wait", self.wait),
            Route("POST", "/fail", self.fail_here),
        ]
        self.server = JsonLineServer(Address("127.0.0.1", 0), routes)
        self.server.set_up()
        self.addCleanup(self.server.unload)
        self.addCleanup(self.release.set)
        self.accepted = 0
        self.enterContext(
            patch("socket.create_connection", side_effect=self.connect_counted)
        )
        self.client = JsonLineClient(connect_timeout=0.2, unacknowledged_ms=250)
        self.addCleanup(self.client.close)

    def connect_counted(self, *arguments: Any) -> socket.socket:
        self.accepted += 1
        return connect(*arguments)

    def double(self, request: JsonRequest) -> JsonResponse:
        self.peers.add(threading.get_ident())
        return JsonResponse({"value": request.body["value"] * 2})

    def wait(self, _request: JsonRequest) -> JsonResponse:
        self.release.wait(10)
        return JsonResponse()

    def fail_here(self, _request: JsonRequest) -> JsonResponse:
        raise RuntimeError("a handler's fault")

    def post(self, path: str, body: dict[str, object]) -> dict[str, object]:
        return self.client.post(self.server.address, path, body, SECOND)

    def test_calls_share_a_connection(self) -> None:
        for value in range(20):
            self.assertEqual(
                self.post("/double", {"value": value}), {"value": 2 * value}
            )
        self.assertEqual(len(self.peers), 1)

    def test_large_messages_arrive_whole(self) -> None:
        text = "line\n" * 200_000
        self.assertEqual(self.post("/double", {"value": text}), {"value": text * 2})

    def test_an_unknown_endpoint_and_a_handler_s_fault_are_refusals(self) -> None:
        for path, status in (("/none", 404), ("/fail", 500)):
            with self.assertRaises(PeerRefusedError) as caught:
                self.post(path, {})
            self.assertEqual(caught.exception.status, status)
        self.assertEqual(self.post("/double", {"value": 1}), {"value": 2})

    def test_an_answer_that_comes_late_is_not_given_to_the_next_call(self) -> None:
        """Guard against answers of one request that reach another's caller."""
        with self.assertRaises(PeerUnreachableError):
            self.client.post(self.server.address, "/wait", {}, 0.05)
        self.release.set()
        time.sleep(0.05)
        self.assertEqual(self.post("/double", {"value": 3}), {"value": 6})

    def test_one_silent_connection_drops_the_idle_ones(self) -> None:
        """Guard against calls that each find another silent connection."""
        with ThreadPoolExecutor(4) as executor:
            calls = [executor.submit(self.post, "/wait", {}) for _ in range(3)]
            time.sleep(0.2)
            self.release.set()
            for call in calls:
                call.result()
        before = self.accepted
        self.release.clear()
        with self.assertRaises(PeerUnreachableError):
            self.client.post(self.server.address, "/wait", {}, 0.05)
        self.assertEqual(self.accepted, before)
        self.post("/double", {"value": 1})
        self.assertEqual(self.accepted, before + 1)

    def test_a_peer_that_is_not_there_was_sent_nothing(self) -> None:
        self.server.unload()
        with self.assertRaises(PeerNotConnectedError):
            self.post("/double", {"value": 1})

    def test_a_peer_that_closes_may_have_been_sent_something(self) -> None:
        """Guard against a write that is sent again as if it had not run."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def close_first() -> None:
            accepted, _peer = listener.accept()
            accepted.recv(1)
            accepted.close()

        threading.Thread(target=close_first, daemon=True).start()
        with self.assertRaises(PeerUnreachableError) as caught:
            self.client.post(Address(*listener.getsockname()), "/x", {}, SECOND)
        self.assertNotIsInstance(caught.exception, PeerNotConnectedError)

    def test_a_machine_that_is_gone_is_noticed_before_the_answer_is_due(self) -> None:
        """Guard against requests that wait for a machine without power."""
        opened: list[socket.socket] = []

        def remember(*arguments: Any) -> socket.socket:
            opened.append(connect(*arguments))
            return opened[-1]

        with patch("socket.create_connection", side_effect=remember):
            self.post("/double", {"value": 1})
        option = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(opened[0].getsockopt(*option), 250)

    def test_a_connection_that_the_peer_closed_while_idle_is_not_used(self) -> None:
        """Guard against writes in doubt after each restart of a neighbour."""
        self.post("/double", {"value": 1})
        address = self.server.address
        self.server.unload()
        time.sleep(0.05)
        again = JsonLineServer(address, [Route("POST", "/double", self.double)])
        again.set_up()
        self.addCleanup(again.unload)
        self.assertEqual(self.post("/double", {"value": 2}), {"value": 4})

    def test_what_is_no_message_ends_its_connection_only(self) -> None:
        for content in (b"no json\n", b"x" * (MAX_LINE_BYTES + 1)):
            address = self.server.address
            with socket.create_connection((address.host, address.port), 5) as peer:
                peer.sendall(content)
                peer.shutdown(socket.SHUT_WR)
                self.assertEqual(peer.recv(10), b"")
        self.assertEqual(self.post("/double", {"value": 1}), {"value": 2})
