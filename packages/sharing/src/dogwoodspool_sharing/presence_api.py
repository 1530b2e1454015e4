"""The endpoint of control processes for heartbeats of proxies."""

import hashlib
from collections.abc import Callable, Iterable

from dogwoodspool_api import MemberMessage
from dogwoodspool_common import JsonRequest, JsonResponse, Route
from dogwoodspool_common.const import MILLISECONDS

from .const import (
    DIGEST_BYTES,
    PATH_PRESENCE,
    PRESENCE_SECONDS,
    PRESENCE_SETTLING_SECONDS,
)
from .models import Neighbour, NeighbourMessage, Presence, PresenceResponse
from .roster import ProxyRoster, presence_interval


class PresenceApi:
    """Answer heartbeats with the neighbours of the proxy that sends one.

    Args:
        members: the control processes.
    """

    def __init__(
        self, roster: ProxyRoster, members: Callable[[], list[MemberMessage]]
    ) -> None:
        self._roster = roster
        self._members = members

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [Route("POST", PATH_PRESENCE, self._record)]

    def _record(self, request: JsonRequest) -> JsonResponse:
        presence = Presence.model_validate(request.body)
        neighbours = self._roster.record(presence)
        # A heartbeat does not say whether the proxy's build knows votes.
        members = sorted(
            (member.without_vote() for member in self._members()),
            key=lambda member: member.address,
        )
        digest = _digest(neighbours, members)
        pause = presence_interval(len(neighbours))
        has_changed = presence.known != digest
        if has_changed:
            pause *= PRESENCE_SETTLING_SECONDS / PRESENCE_SECONDS
        response = PresenceResponse(digest=digest, next_ms=round(pause * MILLISECONDS))
        if has_changed:
            proxies = [NeighbourMessage.of(neighbour) for neighbour in neighbours]
            response = response.model_copy(
                update={"proxies": proxies, "members": members}
            )
        return JsonResponse(response.model_dump(mode="json", exclude_none=True))


def _digest(neighbours: Iterable[Neighbour], members: Iterable[MemberMessage]) -> str:
    lines = [f"{neighbour.name} {neighbour.address}" for neighbour in neighbours]
    lines += [f"{member.address} {member.failure_domain}" for member in members]
    content = "\n".join(lines).encode()
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
