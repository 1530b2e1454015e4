"""Transport of requests between nodes."""

from typing import Any, Protocol

from dogwoodspool_common import (
    Address,
    HttpError,
    JsonClient,
    PeerRefusedError,
)

from .errors import PeerCallError


class PeerTransport(Protocol):
    """Send a request to a peer and return its response."""

    def call(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        """Return the peer's response within ``timeout`` seconds.

        Raises:
            PeerCallError: no response arrived, or the peer refused the request.
        """
        ...


class HttpPeerTransport:
    """Send requests as signed JSON over HTTP."""

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    def call(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        """Return the peer's response; see ``PeerTransport``."""
        try:
            return self._client.post(address, path, body, timeout)
        except PeerRefusedError as error:
            raise PeerCallError(str(error), error.code) from error
        except HttpError as error:
            raise PeerCallError(str(error)) from error
