"""Follow the owners of groups in the failure domains of their primaries."""

from collections import Counter

from dogwoodspool_common import (
    Clock,
    HttpError,
    JsonClient,
    PeerRefusedError,
    log_rate_limited,
)
from dogwoodspool_following import ControlPeers, Coordinator
from pydantic import ValidationError

from .const import (
    OWNERS_RETRY_SECONDS,
    OWNERS_TIMEOUT,
    PATH_CONTACTS,
    PATH_OWNERS,
    PRESENCE_TIMEOUT,
)
from .directory import ProxyDirectory
from .message_client import MessageClient
from .models import (
    ContactsRequest,
    ContactsResponse,
    Neighbour,
    OwnersRequest,
    OwnersResponse,
)
from .remote_owners import RemoteOwners
from .roster import presence_interval


class RemoteOwnersCoordinator(Coordinator):
    """Keep ``RemoteOwners`` up to date with one proxy of each failure domain in use.

    Control is asked only while no proxy of a failure domain is known that answers, so
    that the proxies find each other while control does not answer.

    Args:
        peers: the control processes.
        control: calls control.
        proxies: calls proxies of other failure domains.
    """

    def __init__(
        self,
        remote: RemoteOwners,
        directory: ProxyDirectory,
        peers: ControlPeers,
        control: JsonClient,
        proxies: MessageClient,
        clock: Clock,
    ) -> None:
        super().__init__("remote-owners", clock)
        self._remote = remote
        self._directory = directory
        self._peers = peers
        self._control = control
        self._proxies = proxies
        # Calls of control for each failure domain since a proxy there last answered.
        self._control_calls: Counter[str] = Counter()

    def step(self) -> float:
        """Ask one proxy of each failure domain in use."""
        pause = presence_interval(self._directory.count)
        for failure_domain, groups in self._remote.wanted().items():
            if self._remote.needs_contacts(failure_domain):
                self._ask_control(failure_domain)
            if not self._poll(failure_domain, groups):
                pause = min(pause, self._retry_pause(failure_domain, pause))
        if self._remote.has_failed_domain():
            pause = min(pause, OWNERS_RETRY_SECONDS)
        return pause

    def _retry_pause(self, failure_domain: str, longest: float) -> float:
        """Return a short pause until each control process has been asked once."""
        calls = self._control_calls[failure_domain]
        has_untried = calls <= len(self._peers.addresses)
        return OWNERS_RETRY_SECONDS if has_untried else longest

    def _poll(self, failure_domain: str, groups: list[str]) -> bool:
        contact = self._remote.contact(failure_domain)
        if contact is None:
            return False
        known = self._remote.digest(failure_domain)
        asked_at = self._clock.now()
        try:
            response = self._ask(contact, OwnersRequest(groups=groups, known=known))
        except (HttpError, ValidationError) as error:
            log_rate_limited("owners_not_named", contact=contact.name, reason=error)
            self._remote.record_contact_failure(failure_domain, contact, asked_at)
            return False
        self._control_calls.pop(failure_domain, None)
        self._adopt(failure_domain, contact, response)
        return True

    def _ask(self, contact: Neighbour, request: OwnersRequest) -> OwnersResponse:
        content = request.model_dump(mode="json", exclude_defaults=True)
        answer = self._proxies.post(
            contact.endpoint, PATH_OWNERS, content, OWNERS_TIMEOUT
        )
        return OwnersResponse.model_validate(answer)

    def _adopt(
        self, failure_domain: str, contact: Neighbour, response: OwnersResponse
    ) -> None:
        owners = contacts = None
        if response.owners is not None:
            owners = {one.group: one.value() for one in response.owners}
        if response.contacts is not None:
            contacts = [one.value() for one in response.contacts]
        self._remote.adopt(failure_domain, contact, response.digest, owners, contacts)

    def _ask_control(self, failure_domain: str) -> None:
        """Ask the next control process: each knows only proxies that call it."""
        addresses = self._peers.addresses
        address = addresses[self._control_calls[failure_domain] % len(addresses)]
        self._control_calls[failure_domain] += 1
        content = ContactsRequest(failure_domain=failure_domain).model_dump(mode="json")
        try:
            answer = self._control.post(
                address, PATH_CONTACTS, content, PRESENCE_TIMEOUT
            )
            response = ContactsResponse.model_validate(answer)
        except (HttpError, PeerRefusedError, ValidationError) as error:
            log_rate_limited("contacts_not_named", address=address, reason=error)
            return
        contacts = [one.value() for one in response.proxies]
        self._remote.set_contacts(failure_domain, contacts)
