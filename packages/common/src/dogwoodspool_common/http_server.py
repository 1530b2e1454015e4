"""Server for JSON over HTTP: other processes, balancers and operators."""

import json
import logging
import socket
import threading
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, cast
from urllib.parse import parse_qsl

from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser
from waitress.server import BaseWSGIServer, create_server

from .const import (
    DEFAULT_HTTP_THREADS,
    FINISH_POLL_SECONDS,
    HEADER_SIGNATURE,
    HEADER_TRACEPARENT,
    MAX_HTTP_BODY_BYTES,
    MAX_HTTP_CONNECTIONS,
)
from .log import log_event, log_rate_limited
from .models import Address
from .routes import JsonRequest, JsonResponse, Route, answer, error_response
from .signature import RequestSigner
from .tcp import TCP_OPTIONS


class JsonServer:
    """Serve routes with a bounded pool of threads.

    Each long poll occupies a thread while it waits, so ``threads`` limits them.

    Args:
        address: address to listen on; port 0 selects any free port.
        signer: checks signatures; None where the network itself blocks untrusted
            peers, in which case every endpoint is open.
        routes: the endpoints.
        threads: maximum requests handled at a time.
    """

    def __init__(
        self,
        address: Address,
        signer: RequestSigner | None,
        routes: Iterable[Route],
        threads: int = DEFAULT_HTTP_THREADS,
    ) -> None:
        self._signer = signer
        self._routes = {(route.method, route.path): route for route in routes}
        self._templates = [
            route for route in self._routes.values() if route.path.endswith("}")
        ]
        _forward_library_warnings()
        listener = socket.create_server((address.host, address.port), backlog=1024)
        self._address = Address(address.host, int(listener.getsockname()[1]))
        server = create_server(
            self._application,
            sockets=[listener],
            threads=threads,
            max_request_body_size=MAX_HTTP_BODY_BYTES,
            clear_untrusted_proxy_headers=True,
            ident="dogwoodspool",
            # The library's default of 100 is too low where there are many proxies.
            connection_limit=MAX_HTTP_CONNECTIONS,
            asyncore_use_poll=True,
        )
        self._server = cast(BaseWSGIServer, server)  # It has one socket.
        self._server.channel_class = _Channel
        # Without keep-alive, connections of callers that lost power would occupy the
        # connection limit for minutes.
        self._server.adj.socket_options = list(TCP_OPTIONS)
        self._thread = threading.Thread(
            target=self._server.run, name="http-server", daemon=True
        )

    @property
    def address(self) -> Address:
        """The bound address, with the actual port if 0 was requested."""
        return self._address

    def set_up(self) -> None:
        """Start serving requests."""
        self._thread.start()

    def finish_requests(self, timeout: float) -> bool:
        """Wait until the requests in progress have been answered.

        Later requests are served meanwhile, but are not waited for.

        Args:
            timeout: time limit in seconds.

        Returns:
            Whether all of them were answered within the time limit.
        """
        # The library's type stubs give a single channel here.
        channels = cast(dict[int, HTTPChannel], self._server.active_channels)
        in_progress = [
            (channel, request)
            for channel in list(channels.values())
            for request in list(channel.requests)
        ]
        deadline = time.monotonic() + timeout
        while any(_is_in_progress(*one) for one in in_progress):
            if time.monotonic() >= deadline:
                log_event(
                    "http_requests_cut_off", level="WARNING", address=self._address
                )
                return False
            time.sleep(FINISH_POLL_SECONDS)
        return True

    def unload(self) -> None:
        """Stop serving requests and close the listening socket."""
        # Threads first: one that is still answering needs the server's wake-up pipe.
        self._server.task_dispatcher.shutdown(timeout=1)
        self._server.close()

    def _application(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> list[bytes]:
        response = self._respond(environ)
        if response.text is not None:
            content, kind = response.text.encode(), "text/plain; charset=utf-8"
        else:
            content = json.dumps(response.body, separators=(",", ":")).encode()
            kind = "application/json"
        headers = [("Content-Type", kind), ("Content-Length", str(len(content)))]
        headers += response.headers.items()
        start_response(_status_line(response.status), headers)
        return [content]

    def _respond(self, environ: dict[str, Any]) -> JsonResponse:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        route, parameters = self._find(method, path)
        if route is None:
            return error_response(404, "no_such_endpoint", f"{method} {path}")
        body = environ["wsgi.input"].read()
        query = environ.get("QUERY_STRING", "")
        target = f"{path}?{query}" if query else path
        signature = environ.get(_environ_key(HEADER_SIGNATURE), "")
        needs_signature = self._signer is not None and not route.is_open
        if needs_signature and not self._is_signed(signature, method, target, body):
            log_event("request_refused", level="WARNING", path=path, reason="signature")
            return error_response(
                401, "bad_signature", "signature is missing or invalid"
            )
        try:
            content = json.loads(body) if body else None
        except (ValueError, RecursionError) as error:
            return error_response(400, "bad_json", str(error))
        request = JsonRequest(path, dict(parse_qsl(query)), content, parameters)
        return answer(route, request, environ.get(_environ_key(HEADER_TRACEPARENT)))

    def _find(self, method: str, path: str) -> tuple[Route | None, dict[str, str]]:
        route = self._routes.get((method, path))
        if route is not None:
            return route, {}
        for candidate in self._templates:
            prefix, _, name = candidate.path.rstrip("}").rpartition("{")
            value = path.removeprefix(prefix)
            is_match = path.startswith(prefix) and value and "/" not in value
            if candidate.method == method and is_match:
                return candidate, {name: value}
        return None, {}

    def _is_signed(self, signature: str, method: str, target: str, body: bytes) -> bool:
        return self._signer is not None and self._signer.is_valid(
            signature, method, target, body
        )


def _is_in_progress(channel: HTTPChannel, request: HTTPRequestParser) -> bool:
    if not channel.connected:
        return False
    is_being_handled = any(one is request for one in list(channel.requests))
    return is_being_handled or channel.total_outbufs_len > 0


class _Channel(HTTPChannel):
    """One connection; its log warnings name the peer."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The library uses the logger only to log, which an adapter supports.
        named: Any = logging.LoggerAdapter(self.logger, {"peer": self.addr})
        self.logger = named


class _LibraryWarnings(logging.Handler):
    """Forward warnings of the HTTP library, such as requests waiting for a thread."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log one of the library's warnings as an event."""
        error = record.exc_info[1] if record.exc_info else None
        log_rate_limited(
            "http_server_warning",
            level="WARNING",
            reason=record.getMessage(),
            error=repr(error) if error is not None else None,
            peer=_peer_of(record),
        )


def _peer_of(record: logging.LogRecord) -> Address | None:
    """Return the peer that a warning is about; None where it names none."""
    peer = getattr(record, "peer", None)
    return None if peer is None else Address(str(peer[0]), int(peer[1]))


def _forward_library_warnings() -> None:
    logger = logging.getLogger("waitress")
    if not any(isinstance(handler, _LibraryWarnings) for handler in logger.handlers):
        logger.addHandler(_LibraryWarnings(logging.WARNING))
        logger.propagate = False


def _status_line(status: int) -> str:
    return f"{status} {HTTPStatus(status).phrase}"


def _environ_key(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")
