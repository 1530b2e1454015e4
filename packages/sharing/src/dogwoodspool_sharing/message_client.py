"""Interface of the clients that call other proxies."""

from typing import Any, Protocol

from dogwoodspool_common import Address


class MessageClient(Protocol):
    """Interface that sends a message to another proxy; see ``JsonLineClient``."""

    def post(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        """Send a message once, without retries."""
        ...
