"""Send heartbeats of this proxy to control and receive its neighbours."""

from dataclasses import dataclass, field

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

from .const import (
    PATH_PRESENCE,
    PRESENCE_RETRY_SECONDS,
    PRESENCE_TIMEOUT,
    SECOND_PRESENCE_AFTER_SECONDS,
)
from .directory import ProxyDirectory
from .models import Neighbour, Presence, PresenceResponse


@dataclass(slots=True)
class _Report:
    """What a control process has told last.

    Attributes:
        digest: its digest of what it told; empty for nothing.
        proxies: the proxies of this failure domain that report to it.
        has_members: whether it named the members of the control group. One without
            contact to the leader does not.
    """

    digest: str = ""
    proxies: list[Neighbour] = field(default_factory=list)
    has_members: bool = True

    def record(self, response: PresenceResponse) -> None:
        """Record an answer, which leaves out what was told before."""
        self.digest = response.digest
        if response.proxies is not None:
            self.proxies = [one.value() for one in response.proxies]
            self.has_members = bool(response.members)


class PresenceCoordinator(Coordinator):
    """Keep the directory of neighbours up to date with control.

    A control process without contact to the leader may be cut off together with this
    failure domain, whose proxies then know each other through it alone. Or it is cut
    off by itself, and proxies that start later report elsewhere. So heartbeats go to
    another process as well then, and what both tell counts.

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
        self._report = _Report()
        self._second_report = _Report()
        self._second_failures = 0
        self._leaderless_since: float | None = None

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
        try:
            response = self._send(address, self._report)
        except PeerRefusedError as error:
            log_rate_limited("presence_refused", address=address, reason=error)
            self._peers.record_refusal(address, error)
            return PRESENCE_RETRY_SECONDS
        except (HttpError, ValidationError) as error:
            log_rate_limited("presence_failed", address=address, reason=error)
            self._peers.record_failure(address)
            return PRESENCE_RETRY_SECONDS
        self._peers.record_success(address)
        self._adopt_members(response)
        self._send_second(address)
        self._directory.adopt([*self._report.proxies, *self._second_report.proxies])
        return response.next_ms / MILLISECONDS

    def _send(self, address: Address, report: _Report) -> PresenceResponse:
        """Send a heartbeat and record the answer."""
        message = Presence(
            proxy=self._own.name,
            failure_domain=self._failure_domain,
            address=self._own.address,
            is_leaving=self._is_leaving,
            known=report.digest,
        )
        content = message.model_dump(mode="json")
        answer = self._client.post(address, PATH_PRESENCE, content, PRESENCE_TIMEOUT)
        response = PresenceResponse.model_validate(answer)
        report.record(response)
        return response

    def _send_second(self, first: Address) -> None:
        """Send another heartbeat where the first process has no leader for long."""
        others = [one for one in self._peers.addresses if one != first]
        if not others or not self._is_leaderless():
            self._second_report = _Report()
            return
        address = others[self._second_failures % len(others)]
        try:
            self._send(address, self._second_report)
        except Exception as error:
            # Nothing is known of the others: the first process may be right.
            log_rate_limited("presence_failed", address=address, reason=repr(error))
            self._second_report = _Report()
        if not self._second_report.proxies or not self._second_report.has_members:
            self._second_failures += 1

    def _is_leaderless(self) -> bool:
        """Return whether the first process has been without the leader for long.

        Without known members it is the operator who names the control processes, and
        none of them names any.
        """
        now = self._clock.now()
        if self._report.has_members or not self._peers.members:
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = now
        return now - self._leaderless_since >= SECOND_PRESENCE_AFTER_SECONDS

    def _adopt_members(self, response: PresenceResponse) -> None:
        members = response.members or ()
        # They come without their votes, which are known already for the same members.
        known = {one.address for one in self._peers.members}
        if {one.address for one in members} - known:
            self._peers.adopt(members)
