"""Learn the positions of primaries that other owners serve.

Replies of a primary tell an owner which positions its reads need. An owner that sends
the primary nothing learns none, and would have to forward its reads to the primary. So
it asks an owner that serves the primary, which answers without calling a server.
"""

from collections.abc import Sequence

from dogwoodspool_api import PositionMessage
from dogwoodspool_common import (
    Clock,
    HttpError,
    JsonRequest,
    JsonResponse,
    Route,
    log_rate_limited,
)
from dogwoodspool_following import Coordinator
from dogwoodspool_sharing import MessageClient, Neighbour, RemoteOwners
from pydantic import ValidationError

from ..freshness import FreshnessTracker
from .const import (
    PATH_POSITIONS,
    POSITION_SECONDS,
    POSITION_TIMEOUT,
    POSITION_USE_SECONDS,
)
from .position_messages import GroupPositionMessage, PositionsRequest, PositionsResponse


class PositionsApi:
    """Return the newest known positions of primaries to other owners."""

    def __init__(self, freshness: FreshnessTracker, clock: Clock) -> None:
        self._freshness = freshness
        self._clock = clock

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [Route("POST", PATH_POSITIONS, self._positions)]

    def _positions(self, request: JsonRequest) -> JsonResponse:
        wanted = PositionsRequest.model_validate(request.body)
        known = []
        for group in wanted.groups:
            newest = self._freshness.newest(group)
            if newest is None:
                continue
            asked_at, position = newest
            message = GroupPositionMessage(
                group=group,
                position=PositionMessage.of(position),
                age=max(0.0, self._clock.now() - asked_at),
            )
            known.append(message)
        response = PositionsResponse(positions=known)
        return JsonResponse(response.model_dump(mode="json"))


class PositionCoordinator(Coordinator):
    """Ask owners elsewhere for the positions that this process's reads need."""

    def __init__(
        self,
        freshness: FreshnessTracker,
        remote: RemoteOwners,
        client: MessageClient,
        clock: Clock,
    ) -> None:
        super().__init__("positions", clock)
        self._freshness = freshness
        self._remote = remote
        self._client = client

    def step(self) -> float:
        """Ask once for the positions that are older than the poll interval."""
        now = self._clock.now()
        groups = self._freshness.outdated(
            wanted_since=now - POSITION_USE_SECONDS,
            newest_before=now - POSITION_SECONDS,
        )
        by_owner: dict[Neighbour, list[str]] = {}
        for group in groups:
            owners = self._remote.owners(group)
            if owners:
                by_owner.setdefault(owners[0], []).append(group)
        for owner, wanted in by_owner.items():
            self._ask(owner, wanted)
        return POSITION_SECONDS

    def _ask(self, owner: Neighbour, groups: Sequence[str]) -> None:
        content = PositionsRequest(groups=list(groups)).model_dump(mode="json")
        # The position is at least as new as its age says at this time, since the owner
        # determines the age later.
        asked_at = self._clock.now()
        try:
            answer = self._client.post(
                owner.endpoint, PATH_POSITIONS, content, POSITION_TIMEOUT
            )
            response = PositionsResponse.model_validate(answer)
        except (HttpError, ValidationError) as error:
            log_rate_limited("positions_not_named", owner=owner.name, reason=error)
            return
        for one in response.positions:
            self._freshness.record(one.group, one.position.value(), asked_at - one.age)
