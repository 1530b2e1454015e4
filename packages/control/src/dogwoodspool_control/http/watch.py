"""The endpoint by which proxies follow the committed state."""

from collections.abc import Callable

from dogwoodspool_api import MemberMessage, WatchResponse
from dogwoodspool_api.const import (
    PATH_WATCH,
    QUERY_AFTER,
    QUERY_CONFIRMED,
    QUERY_WAIT_MS,
)
from dogwoodspool_common import JsonRequest, JsonResponse, Route
from dogwoodspool_common.const import MILLISECONDS

from ..const import MAX_WATCH_MS, WATCH_CONFIRM_TIMEOUT
from ..errors import TooManyWaitersError
from ..node import ControlNode
from ..state import ControlState
from .support import WaitSlots, answering, number_in_query


class WatchApi:
    """Serve proxies that follow the committed state.

    Args:
        members: the control processes that proxies are told of; none where the
            operator gives proxies their addresses.
    """

    def __init__(
        self,
        node: ControlNode,
        state: ControlState,
        wait_slots: WaitSlots,
        members: Callable[[], list[MemberMessage]] = list,
    ) -> None:
        self._node = node
        self._state = state
        self._wait_slots = wait_slots
        self._members = members

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [Route("GET", PATH_WATCH, answering(self._watch))]

    def _watch(self, request: JsonRequest) -> JsonResponse:
        after = number_in_query(request, QUERY_AFTER, 0)
        wait_ms = min(number_in_query(request, QUERY_WAIT_MS, 0), MAX_WATCH_MS)
        if request.query.get(QUERY_CONFIRMED) == "1":
            self._node.confirm_read(WATCH_CONFIRM_TIMEOUT)
        is_newer = self._state.version > after
        if not is_newer and wait_ms > 0:
            is_newer = self._wait_newer(after, wait_ms / MILLISECONDS)
        response = WatchResponse(
            view=self._state.view_since(after) if is_newer else None,
            leader=self._node.leader or None,
            members=self._members(),
            is_current=self._node.is_following,
        )
        return JsonResponse(response.model_dump(mode="json"))

    def _wait_newer(self, after: int, seconds: float) -> bool:
        try:
            with self._wait_slots.taken():
                return self._state.wait_newer(after, seconds)
        except TooManyWaitersError:
            # Answered at once: the proxy asks again after its own pause.
            return False
