"""Client for JSON over HTTP between the system's processes."""

import json
from typing import Any
from urllib.parse import urlencode

import urllib3

from .const import (
    DEFAULT_HTTP_TIMEOUT,
    FIRST_ERROR_STATUS,
    HEADER_SIGNATURE,
    HEADER_TRACEPARENT,
    HTTP_CONNECT_TIMEOUT,
)
from .errors import PeerRefusedError, PeerUnreachableError
from .models import Address
from .signature import RequestSigner
from .tcp import TCP_OPTIONS
from .trace import current_traceparent


class JsonClient:
    """Call JSON endpoints of other processes.

    Calls are never retried here: only the caller knows whether a call may be
    repeated. Without a signer requests are not signed, which suits a network that
    itself blocks untrusted peers.

    Example:
        >>> client = JsonClient(RequestSigner(b"shared key"))
        >>> client.post(Address("127.0.0.1", 7001), "/v1/renew", {"proxy": "p1"})
    """

    def __init__(self, signer: RequestSigner | None, max_connections: int = 16) -> None:
        self._signer = signer
        # Idle connections to a peer that was lost are closed by the keep-alive: a
        # request on one of them would wait for its whole timeout.
        self._pool = urllib3.PoolManager(
            num_pools=64,
            maxsize=max_connections,
            retries=False,
            socket_options=list(TCP_OPTIONS),
        )

    def get(
        self,
        address: Address,
        path: str,
        query: dict[str, str] | None = None,
        timeout: float = DEFAULT_HTTP_TIMEOUT,
    ) -> dict[str, Any]:
        """Send a GET request and return the answer.

        Args:
            address: the peer.
            path: path of the endpoint, beginning with a slash.
            query: query parameters.
            timeout: seconds for the whole exchange.

        Raises:
            PeerUnreachableError: no complete answer was received in time.
            PeerRefusedError: the answer has an error status.
        """
        target = f"{path}?{urlencode(query)}" if query else path
        return self._call("GET", address, target, b"", timeout)

    def post(
        self,
        address: Address,
        path: str,
        body: dict[str, Any],
        timeout: float = DEFAULT_HTTP_TIMEOUT,
    ) -> dict[str, Any]:
        """Send a POST request; arguments and errors as for ``get``."""
        content = json.dumps(body, separators=(",", ":")).encode()
        return self._call("POST", address, path, content, timeout)

    def close(self) -> None:
        """Close pooled connections."""
        self._pool.clear()

    def _call(
        self, method: str, address: Address, target: str, body: bytes, timeout: float
    ) -> dict[str, Any]:
        headers = {"Content-Type": "application/json"}
        if self._signer is not None:
            headers[HEADER_SIGNATURE] = self._signer.sign(method, target, body)
        traceparent = current_traceparent()
        if traceparent:
            headers[HEADER_TRACEPARENT] = traceparent
        try:
            response = self._pool.request(
                method,
                f"http://{address}{target}",
                body=body or None,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=min(timeout, HTTP_CONNECT_TIMEOUT), total=timeout
                ),
            )
            answer = json.loads(response.data or b"{}")
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise PeerUnreachableError(f"{address}{target}: {error}") from error
        if not isinstance(answer, dict):
            raise PeerUnreachableError(
                f"{address}{target}: answer is not a JSON object"
            )
        if response.status >= FIRST_ERROR_STATUS:
            raise PeerRefusedError(
                response.status,
                str(answer.get("error", "unknown")),
                str(answer.get("message", "")),
            )
        return answer
