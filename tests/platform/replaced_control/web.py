"""Calls over HTTP to control processes."""

import contextlib
import http.client
import json
import socket
import urllib.error
import urllib.request
from typing import Any, Final

from .const import CALL_SECONDS, REDIRECTS


class _NoRedirects(urllib.request.HTTPRedirectHandler):
    def redirect_request(self, *_arguments: Any) -> None:
        return None


OPENER: Final = urllib.request.build_opener(
    urllib.request.ProxyHandler({}), _NoRedirects()
)


def call(method: str, url: str, body: Any = None) -> tuple[int, Any, str]:
    """Make a call and follow redirects; return status, body and the host asked last."""
    data = None if body is None else json.dumps(body).encode()
    for _ in range(REDIRECTS + 1):
        host = url.split("/")[2].rpartition(":")[0]
        request = urllib.request.Request(url, data, method=method)
        request.add_header("Content-Type", "application/json")
        try:
            with OPENER.open(request, timeout=CALL_SECONDS) as response:
                return response.status, json.loads(response.read() or b"{}"), host
        except urllib.error.HTTPError as error:
            error.close()
            if error.code != 307:
                return error.code, None, host
            url = error.headers["Location"]
        except (OSError, ValueError, http.client.HTTPException):
            return 0, None, host
    return 307, None, host


def send_only(url: str, body: Any) -> None:
    """Send a PUT and close the connection without reading the answer."""
    _, _, address, path = url.split("/", 3)
    data = json.dumps(body).encode()
    host, _, port = address.partition(":")
    head = (
        f"PUT /{path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    with contextlib.suppress(OSError):
        one = socket.create_connection((host, int(port)), timeout=CALL_SECONDS)
        with one:
            one.sendall(head.encode() + data)
