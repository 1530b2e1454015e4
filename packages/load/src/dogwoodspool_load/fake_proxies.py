"""Light proxies that only renew and watch, to load control with many of them."""

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
# Nothing listens there; healthy servers are not contacted by control.
NOWHERE: Final = "127.0.0.1:9"
POSITION: Final = PositionMessage(term=1, offset=1)


def announcements_of(
    groups: int, servers_per_group: int, failure_domains: Sequence[str]
) -> list[Announcement]:
    """Return what the servers of so many groups would announce."""
    return [
        Announcement(
            server=f"group{group}-{number}",
            group=f"group{group}",
            failure_domain=failure_domains[number % len(failure_domains)],
            address=NOWHERE,
            role=Role.REPLICA if number else Role.PRIMARY,
            position=POSITION,
            slots=FAKE_SLOTS,
            connections=FAKE_CONNECTIONS,
        )
        for group in range(groups)
        for number in range(servers_per_group)
    ]


class FakeProxy:
    """Renew and watch as a proxy without callers does.

    Args:
        leader: address to renew at and to watch.
        servers: every server, as it would announce itself; this proxy repeats
            the announcements of its own failure domain and reports all as healthy.
        on_version: told each newer version of the view.
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
        self._held: dict[str, int] = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._renew_always, daemon=True),
            threading.Thread(target=self._watch_always, daemon=True),
        ]
        self.renewals = 0
        self.refusals = 0
        self._request = RenewRequest(
            proxy=name,
            incarnation=uuid.uuid4().hex,
            failure_domain=failure_domain,
            address=NOWHERE,
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
        """Groups for which control gave a grant."""
        return len(self._held)

    def set_up(self) -> None:
        """Begin to renew and to watch."""
        for thread in self._threads:
            thread.start()

    def unload(self) -> None:
        """Stop."""
        self._stop.set()

    def _renew_always(self) -> None:
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
                    for group, term in self._held.items()
                ],
            }
        )
        answer: dict[str, Any] = self._client.post(
            self._leader, PATH_RENEW, request.model_dump(mode="json")
        )
        self._held = {grant["group"]: grant["term"] for grant in answer["grants"]}
        self.renewals += 1

    def _watch_always(self) -> None:
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
                # Control has no place for one more waiting request.
                self._stop.wait(RETRY_SECONDS)
