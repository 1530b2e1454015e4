"""Send heartbeats of this proxy to control and receive its neighbours."""

from dogwoodspool_common import (
    Address,
    Clock,
    HttpError,
    JsonClient,
    PeerRefusedError,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ControlPeers, Coordinator
from pydantic import ValidationError

from .const import PATH_PRESENCE, PRESENCE_RETRY_SECONDS, PRESENCE_TIMEOUT
from .directory import ProxyDirectory
from .models import Neighbour, Presence, PresenceResponse


class PresenceCoordinator(Coordinator):
    """Keep the directory of neighbours up to date with control.

    Args:
        peers: the control processes in an order that is the same for the whole failure
            domain, so that one of them gets the heartbeats of all its proxies.
    """

    def __init__(
        self,
        own: Neighbour,
        failure_domain: str,
        directory: ProxyDirectory,
        peers: ControlPeers,
        client: JsonClient,
        clock: Clock,
    ) -> None:
        super().__init__("presence", clock)
        self._own = own
        self._failure_domain = failure_domain
        self._directory = directory
        self._peers = peers
        self._client = client
        self._is_leaving = False
        self._digest = ""
        self._reported: list[Neighbour] = []

    def leave(self) -> None:
        """Have control report to the neighbours that this process takes no requests."""
        self._is_leaving = True
        self.wake()

    def step(self) -> float:
        """Send one heartbeat."""
        address = self._peers.any()
        try:
            return self._step(address)
        except Exception:
            # The same process would be asked for good.
            self._peers.record_behind(address)
            raise

    def _step(self, address: Address) -> float:
        message = Presence(
            proxy=self._own.name,
            failure_domain=self._failure_domain,
            address=self._own.address,
            is_leaving=self._is_leaving,
            known=self._digest,
        )
        content = message.model_dump(mode="json")
        try:
            answer = self._client.post(
                address, PATH_PRESENCE, content, PRESENCE_TIMEOUT
            )
            response = PresenceResponse.model_validate(answer)
        except PeerRefusedError as error:
            log_rate_limited("presence_refused", address=address, reason=error)
            self._peers.record_refusal(address, error)
            return PRESENCE_RETRY_SECONDS
        except (HttpError, ValidationError) as error:
            log_rate_limited("presence_failed", address=address, reason=error)
            self._peers.record_failure(address)
            return PRESENCE_RETRY_SECONDS
        self._peers.record_success(address)
        self._apply(response)
        return response.next_ms / MILLISECONDS

    def _apply(self, response: PresenceResponse) -> None:
        self._digest = response.digest
        if response.proxies is not None:
            self._reported = [
                Neighbour(message.proxy, message.address)
                for message in response.proxies
            ]
        members = response.members or ()
        # They come without their votes, which are known already for the same members.
        known = {one.address for one in self._peers.members}
        if {one.address for one in members} - known:
            self._peers.adopt(members)
        self._directory.adopt(self._reported)
