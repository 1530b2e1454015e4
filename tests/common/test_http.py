"""Tests of HTTP with JSON between processes."""

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
    """Routes answer by method and path, signed or open."""

    def serve(self, signer: RequestSigner | None, *routes: Route) -> Address:
        server = JsonServer(Address("127.0.0.1", 0), signer, routes, threads=2)
        server.set_up()
        self.addCleanup(server.unload)
        return server.address

    def client(self, signer: RequestSigner | None) -> JsonClient:
        client = JsonClient(signer)
        self.addCleanup(client.close)
        return client

    def test_a_template_names_the_last_part_of_the_path(self) -> None:
        def show(request: JsonRequest) -> JsonResponse:
            return JsonResponse({"name": request.parameters["name"]})

        address = self.serve(None, Route("GET", "/servers/{name}", show))
        client = self.client(None)
        self.assertEqual(client.get(address, "/servers/s1"), {"name": "s1"})
        for path in ("/servers/", "/servers/s1/more", "/server/s1"):
            with self.assertRaises(PeerRefusedError, msg=path):
                client.get(address, path)

    def test_headers_of_an_answer_are_sent(self) -> None:
        moved = JsonResponse(status=307, headers={"Location": "http://10.0.0.1/x"})
        address = self.serve(None, Route("GET", "/x", lambda _request: moved))
        connection = HTTPConnection(address.host, address.port, timeout=5)
        self.addCleanup(connection.close)
        connection.request("GET", "/x")
        answer = connection.getresponse()
        self.assertEqual(answer.status, 307)
        self.assertEqual(answer.getheader("Location"), "http://10.0.0.1/x")

    def test_without_a_signature_a_signed_endpoint_refuses(self) -> None:
        route = Route("GET", "/x", lambda _request: JsonResponse({"a": 1}))
        address = self.serve(RequestSigner(b"key"), route)
        with self.assertRaises(PeerRefusedError) as caught:
            self.client(None).get(address, "/x")
        self.assertEqual(caught.exception.status, 401)
        signed = self.client(RequestSigner(b"key"))
        self.assertEqual(signed.get(address, "/x"), {"a": 1})

    def test_a_machine_that_does_not_answer_is_given_up_soon(self) -> None:
        # An instance without power answers no opening packet. The next one would
        # be sent a second later, and a proxy that waits for it has no state.
        with self.assertRaises(PeerUnreachableError):
            self.client(None).get(Address("127.0.0.1", 9), "/x", timeout=1.0)
