"""Tests of JSON over HTTP between processes."""

import unittest
from http.client import HTTPConnection

from dogwoodspool_common import (
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
