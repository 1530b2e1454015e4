"""What proxies of a failure domain tell each other of control and of their views."""

from collections.abc import Sequence
from itertools import count, islice

from dogwoodspool_common import (
    Clock,
    HttpError,
    JsonRequest,
    JsonResponse,
    Route,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import (
    ControlPeers,
    NeighbourView,
    ViewConfirmation,
    ViewStore,
)
from pydantic import ValidationError

from .const import (
    NEIGHBOUR_VIEW_TIMEOUT,
    NEIGHBOURS_ASKED,
    OWN_CONFIRMATION_TIMEOUT,
    PATH_NEIGHBOUR_VIEW,
)
from .directory import ProxyDirectory
from .message_client import MessageClient
from .models import Neighbour, NeighbourViewResponse


class NeighbourViewApi:
    """Tell neighbours which view this proxy has, if control confirms it."""

    def __init__(
        self,
        own: str,
        views: ViewStore,
        confirmation: ViewConfirmation,
        peers: ControlPeers,
    ) -> None:
        self._own = own
        self._views = views
        self._confirmation = confirmation
        self._peers = peers

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [Route("POST", PATH_NEIGHBOUR_VIEW, self._answer)]

    def _answer(self, _request: JsonRequest) -> JsonResponse:
        is_confirmed = self._confirmation.confirm(OWN_CONFIRMATION_TIMEOUT)
        age_ms = self._confirmation.age_ms
        response = NeighbourViewResponse(proxy=self._own)
        if is_confirmed and age_ms is not None:
            # A view that comes after the age was read has all that was confirmed.
            response = NeighbourViewResponse(
                proxy=self._own,
                confirmed_age_ms=age_ms + 1,  # Rounded up.
                version=self._views.view.version,
                members=list(self._peers.members),
            )
        return JsonResponse(response.model_dump(mode="json"))


class NeighbourViewReader:
    """Ask the neighbours for their views, a few at a time and all in turn."""

    def __init__(
        self, own: str, directory: ProxyDirectory, client: MessageClient, clock: Clock
    ) -> None:
        self._own = own
        self._directory = directory
        self._client = client
        self._clock = clock
        self._turns = count()

    def read(self) -> Sequence[NeighbourView]:
        """Return what the neighbours know that are asked now; see ``NeighbourViews``.

        Those that do not answer, or that control does not confirm either, are left out.
        """
        others = [one for one in self._directory.neighbours if one.name != self._own]
        found = []
        for turn in islice(self._turns, min(NEIGHBOURS_ASKED, len(others))):
            view = self._ask(others[turn % len(others)])
            if view is not None:
                found.append(view)
        return found

    def _ask(self, neighbour: Neighbour) -> NeighbourView | None:
        asked_at = self._clock.now()
        try:
            answer = self._client.post(
                neighbour.endpoint, PATH_NEIGHBOUR_VIEW, {}, NEIGHBOUR_VIEW_TIMEOUT
            )
            response = NeighbourViewResponse.model_validate(answer)
        except (HttpError, ValidationError) as error:
            log_rate_limited(
                "neighbour_view_not_told", neighbour=neighbour.name, reason=error
            )
            return None
        # The address of a lost neighbour may belong to another proxy by now.
        if response.proxy != neighbour.name or response.confirmed_age_ms is None:
            return None
        return NeighbourView(
            response.version,
            asked_at - response.confirmed_age_ms / MILLISECONDS,
            response.members,
        )
