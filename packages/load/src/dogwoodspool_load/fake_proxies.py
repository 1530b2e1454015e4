"""Simulated proxies that only renew and watch, to load control with many of them."""

import threading
import time
import uuid
from collections.abc import Callable, Sequence
from typing import Any, Final

from dogwoodspool_api import (
    Announcement,
    GroupReport,
    Observation,
    PositionMessage,
    RenewRequest,
    StatusMessage,
)
from dogwoodspool_api.const import PATH_RENEW, PATH_WATCH
from dogwoodspool_common import Address, HttpError, JsonClient, Role
from dogwoodspool_common.const import MILLISECONDS

RENEW_SECONDS: Final = 0.3
RETRY_SECONDS: Final = 0.1
WATCH_WAIT_MS: Final = 10_000
WATCH_TIMEOUT: Final = 12.0
FAKE_SLOTS: Final = 3
FAKE_CONNECTIONS: Final = 1_000
# No process listens on this port; control does not contact healthy servers.
UNUSED_ADDRESS: Final = "127.0.0.1:9"
POSITION: Final = PositionMessage(term=1, offset=1)


def build_announcements(
    groups: int, servers_per_group: int, failure_domains: Sequence[str]
) -> list[Announcement]:
    """Return the announcements that the servers of the given groups would send."""
    return [
        Announcement(
            server=f"group{group}-{number}",
            group=f"group{group}",
            failure_domain=failure_domains[number % len(failure_domains)],
            address=UNUSED_ADDRESS,
            role=Role.REPLICA if number else Role.PRIMARY,
            position=POSITION,
            slots=FAKE_SLOTS,
            connections=FAKE_CONNECTIONS,
        )
        for group in range(groups)
        for number in range(servers_per_group)
    ]


class FakeProxy:
    """Send the renewals and watch requests of a proxy without callers.

    Args:
        leader: address that renewals and watch requests are sent to.
        servers: announcements of all servers; this proxy forwards those of its own
            failure domain and reports every server as healthy.
        on_version: called with the proxy's name and each newer version of the view.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        leader: Address,
        client: JsonClient,
        servers: Sequence[Announcement],
        on_version: Callable[[str, int], None],
    ) -> None:
        self._leader = leader
        self._client = client
        self._on_version = on_version
        self._name = name
        self._version = 0
        self._held_terms: dict[str, int] = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._renew_loop, daemon=True),
            threading.Thread(target=self._watch_loop, daemon=True),
        ]
        self.renewals = 0
        self.refusals = 0
        self._request = RenewRequest(
            proxy=name,
            incarnation=uuid.uuid4().hex,
            failure_domain=failure_domain,
            address=UNUSED_ADDRESS,
            view_version=0,
            observations=[
                Observation(
                    server=one.server,
                    unreachable_ms=0,
                    status=StatusMessage(
                        role=one.role, position=POSITION, lag_ms=0, is_leaving=False
                    ),
                )
                for one in servers
            ],
            connection_demand={one.server: 1 for one in servers},
            announcements=[
                one for one in servers if one.failure_domain == failure_domain
            ],
        )

    @property
    def held_groups(self) -> int:
        """Number of groups for which control issued a grant."""
        return len(self._held_terms)

    def set_up(self) -> None:
        """Start the renewals and the watch."""
        for thread in self._threads:
            thread.start()

    def unload(self) -> None:
        """Signal both threads to stop."""
        self._stop.set()

    def _renew_loop(self) -> None:
        pause = 0.0
        while not self._stop.wait(pause):
            began_at = time.monotonic()
            try:
                self._renew()
            except HttpError:
                self.refusals += 1
            pause = max(0.0, RENEW_SECONDS - (time.monotonic() - began_at))

    def _renew(self) -> None:
        request = self._request.model_copy(
            update={
                "view_version": self._version,
                "groups": [
                    GroupReport(group=group, held_term=term, acked=POSITION)
                    for group, term in self._held_terms.items()
                ],
            }
        )
        answer: dict[str, Any] = self._client.post(
            self._leader, PATH_RENEW, request.model_dump(mode="json")
        )
        self._held_terms = {grant["group"]: grant["term"] for grant in answer["grants"]}
        self.renewals += 1

    def _watch_loop(self) -> None:
        while not self._stop.is_set():
            query = {"after": str(self._version), "wait_ms": str(WATCH_WAIT_MS)}
            began_at = time.monotonic()
            try:
                answer = self._client.get(
                    self._leader, PATH_WATCH, query, WATCH_TIMEOUT
                )
            except HttpError:
                self._stop.wait(RETRY_SECONDS)
                continue
            if answer["view"] is not None:
                self._version = int(answer["view"]["version"])
                self._on_version(self._name, self._version)
            elif time.monotonic() - began_at < WATCH_WAIT_MS / MILLISECONDS / 2:
                # Control answered early: it is at its limit of waiting watch requests.
                self._stop.wait(RETRY_SECONDS)
