"""Tests of JSON over HTTP between processes."""

import threading
import unittest
from http.client import HTTPConnection
from unittest.mock import patch

from dogwoodspool_common import (
    TCP_OPTIONS,
    Address,
    JsonClient,
    JsonRequest,
    JsonResponse,
    JsonServer,
    PeerRefusedError,
    PeerUnreachableError,
    RequestSigner,
    Route,
)


class HttpTests(unittest.TestCase):
    """Requests are routed by method and path, signed or open."""

    def serve(self, signer: RequestSigner | None, *routes: Route) -> Address:
        server = JsonServer(Address("127.0.0.1", 0), signer, routes, threads=2)
        server.set_up()
        self.addCleanup(server.unload)
        return server.address

    def client(self, signer: RequestSigner | None) -> JsonClient:
        client = JsonClient(signer)
        self.addCleanup(client.close)
        return client

    def test_template_captures_the_last_path_segment(self) -> None:
        def show(request: JsonRequest) -> JsonResponse:
            return JsonResponse({"name": request.parameters["name"]})

        address = self.serve(None, Route("GET", "/servers/{name}", show))
        client = self.client(None)
        self.assertEqual(client.get(address, "/servers/s1"), {"name": "s1"})
        for path in ("/servers/", "/servers/s1/more", "/server/s1"):
            with self.assertRaises(PeerRefusedError, msg=path):
                client.get(address, path)

    def test_response_headers_are_sent(self) -> None:
        moved = JsonResponse(status=307, headers={"Location": "http://10.0.0.1/x"})
        address = self.serve(None, Route("GET", "/x", lambda _request: moved))
        connection = HTTPConnection(address.host, address.port, timeout=5)
        self.addCleanup(connection.close)
        connection.request("GET", "/x")
        answer = connection.getresponse()
        self.assertEqual(answer.status, 307)
        self.assertEqual(answer.getheader("Location"), "http://10.0.0.1/x")

    def test_body_that_cannot_be_parsed_is_a_bad_request(self) -> None:
        # Guards against a 500 response, which tells the sender to send it elsewhere.
        route = Route("PUT", "/x", lambda _request: JsonResponse())
        address = self.serve(None, route)
        for body in (b"{", b"\xff\xfe", b"[" * 100_000):
            connection = HTTPConnection(address.host, address.port, timeout=5)
            self.addCleanup(connection.close)
            connection.request("PUT", "/x", body)
            self.assertEqual(connection.getresponse().status, 400, body[:8])

    def test_unsigned_request_to_a_signed_endpoint_is_rejected(self) -> None:
        route = Route("GET", "/x", lambda _request: JsonResponse({"a": 1}))
        address = self.serve(RequestSigner(b"key"), route)
        with self.assertRaises(PeerRefusedError) as caught:
            self.client(None).get(address, "/x")
        self.assertEqual(caught.exception.status, 401)
        signed = self.client(RequestSigner(b"key"))
        self.assertEqual(signed.get(address, "/x"), {"a": 1})

    def test_unreachable_machine_fails_within_the_timeout(self) -> None:
        # An instance that lost power does not answer the SYN packet. TCP resends it
        # only after 1 s, and a proxy that waits for that has no state meanwhile.
        with self.assertRaises(PeerUnreachableError):
            self.client(None).get(Address("127.0.0.1", 9), "/x", timeout=1.0)


class ClientConnectionTests(unittest.TestCase):
    """Connections of the client to its peers."""

    def test_connections_to_lost_peers_are_noticed(self) -> None:
        """Guard against requests that wait on idle connections to a lost peer."""
        client = JsonClient(None)
        self.addCleanup(client.close)
        target = "urllib3.util.connection.create_connection"
        with (
            patch(target, side_effect=OSError("no route")) as opened,
            self.assertRaises(PeerUnreachableError),
        ):
            client.get(Address("127.0.0.1", 9), "/v1/status")
        options = opened.call_args.kwargs["socket_options"]
        self.assertLessEqual(set(TCP_OPTIONS), set(options))


class FinishRequestsTests(unittest.TestCase):
    """A process that stops answers the requests in progress first."""

    def setUp(self) -> None:
        self.entered, self.release = threading.Event(), threading.Event()
        self.addCleanup(self.release.set)
        route = Route("GET", "/x", self.answer)
        self.server = JsonServer(Address("127.0.0.1", 0), None, [route], threads=2)
        self.server.set_up()
        self.addCleanup(self.server.unload)
        address = self.server.address
        self.connection = HTTPConnection(address.host, address.port, timeout=30)
        self.addCleanup(self.connection.close)

    def answer(self, _request: JsonRequest) -> JsonResponse:
        self.entered.set()
        self.release.wait(30)
        return JsonResponse({"a": 1})

    def test_nothing_in_progress(self) -> None:
        self.assertTrue(self.server.finish_requests(0.0))

    def test_answer_is_sent_before_it_returns(self) -> None:
        self.connection.request("GET", "/x")
        self.assertTrue(self.entered.wait(30))
        threading.Timer(0.1, self.release.set).start()
        self.assertTrue(self.server.finish_requests(30.0))
        self.assertTrue(self.release.is_set())
        self.assertEqual(self.connection.getresponse().read(), b'{"a":1}')

    def test_request_that_is_not_answered_in_time_is_reported(self) -> None:
        self.connection.request("GET", "/x")
        self.assertTrue(self.entered.wait(30))
        self.assertFalse(self.server.finish_requests(0.0))
        self.release.set()
        self.assertEqual(self.connection.getresponse().status, 200)
