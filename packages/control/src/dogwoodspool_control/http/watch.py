"""The endpoint by which proxies follow the committed state."""

import math
from collections.abc import Callable

from dogwoodspool_api import ControlView, MemberMessage, WatchResponse
from dogwoodspool_api.const import (
    PATH_WATCH,
    QUERY_AFTER,
    QUERY_ALL_EPOCHS,
    QUERY_CONFIRMED,
    QUERY_DOCUMENT,
    QUERY_DOCUMENT_AGE,
    QUERY_EPOCHS,
    QUERY_GIVEN_UP,
    QUERY_MAX_AGE_MS,
    QUERY_RETIRED,
    QUERY_VOTERS,
    QUERY_WAIT_MS,
)
from dogwoodspool_common import Clock, JsonRequest, JsonResponse, Route
from dogwoodspool_common.const import MILLISECONDS

from ..const import (
    CONFIRMED_READ_RETRY_SECONDS,
    MAX_WATCH_MS,
    WATCH_CONFIRM_TIMEOUT,
)
from ..errors import TooManyWaitersError
from ..node import ControlNode
from ..state import ControlState
from .confirmed_reads import ConfirmedReads
from .poll_retry import PollRetrySchedule
from .support import WaitSlots, parse_query_number, with_error_responses


class WatchApi:
    """Serve proxies that follow the committed state.

    Polls that wait, including those that wait for a quorum, must leave threads for
    the votes and log entries that form one. If they held all threads, the control
    group could not elect a leader. Each of them therefore holds a slot, and a poll
    that finds no free slot is answered at once with the time after which to retry.
    Confirmed reads that wait for no change have slots of their own: they end soon, and
    polls that wait may hold all others all the time; see ``ConfirmedReads``.

    Args:
        wait_slots: slots for waiting polls; fewer than the server has threads.
        members: returns the control processes that are announced to proxies; empty
            where the operator configures their addresses at the proxies.
    """

    def __init__(
        self,
        node: ControlNode,
        state: ControlState,
        wait_slots: WaitSlots,
        clock: Clock,
        members: Callable[[], list[MemberMessage]] = list,
    ) -> None:
        self._node = node
        self._state = state
        self._wait_slots = wait_slots
        self._reads = ConfirmedReads(node, clock)
        self._members = members
        self._retries = PollRetrySchedule(clock)

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [Route("GET", PATH_WATCH, with_error_responses(self._watch))]

    def _watch(self, request: JsonRequest) -> JsonResponse:
        after = parse_query_number(request, QUERY_AFTER, 0)
        wait_ms = min(parse_query_number(request, QUERY_WAIT_MS, 0), MAX_WATCH_MS)
        must_confirm = request.query.get(QUERY_CONFIRMED) == "1"
        # A proxy that lacks epochs is sent them with the version that it has, too.
        newer_than = max(after - 1, 0) if _wants_all_epochs(request) else after
        is_newer = not must_confirm and self._state.version > newer_than
        retry_after = age = 0.0
        if must_confirm and wait_ms == 0:
            max_age = parse_query_number(request, QUERY_MAX_AGE_MS, 0) / MILLISECONDS
            is_newer, retry_after, age = self._read_newer(newer_than, max_age)
        elif not is_newer and (must_confirm or wait_ms > 0):
            try:
                with self._wait_slots.taken():
                    is_newer = self._wait_newer(
                        newer_than, wait_ms / MILLISECONDS, must_confirm=must_confirm
                    )
            except TooManyWaitersError:
                retry_after = self._retries.next_delay()
        view = self._view(request, after) if is_newer else None
        members = self._members()
        if request.query.get(QUERY_VOTERS) != "1":
            members = [one.without_vote() for one in members]
        response = WatchResponse(
            view=view,
            leader=self._node.leader or None,
            members=members,
            is_current=self._node.is_following,
            retry_after_ms=round(retry_after * MILLISECONDS),
            confirmed_age_ms=math.ceil(age * MILLISECONDS),
        )
        return JsonResponse(response.model_dump(mode="json"))

    def _view(self, request: JsonRequest, after: int) -> ControlView:
        """Return the view from a version, with the fields that the proxy knows."""
        view = self._state.view_since(after, with_all_groups=_wants_all_epochs(request))
        if request.query.get(QUERY_DOCUMENT_AGE) == "1":
            # Read last: the age of a newer document than that of the view is less.
            view = view.with_document_age(self._state.document_age_ms)
        if request.query.get(QUERY_GIVEN_UP) != "1":
            view = view.without_given_up()
        if request.query.get(QUERY_RETIRED) != "1":
            view = view.without_retired()
        if request.query.get(QUERY_EPOCHS) != "1":
            view = view.without_epochs()
        if QUERY_ALL_EPOCHS not in request.query:
            view = view.without_epoch_coverage()
        if request.query.get(QUERY_DOCUMENT) != "1":
            view = view.without_document()
        return view

    def _read_newer(self, after: int, max_age: float) -> tuple[bool, float, float]:
        """Confirm a read; return whether there is a newer view, when to retry, its age.

        Without a free slot a newer view is returned unconfirmed, except as the first
        one.
        """
        retry_after = age = 0.0
        try:
            age = self._reads.confirm(max_age)
        except TooManyWaitersError:
            retry_after = CONFIRMED_READ_RETRY_SECONDS
            if after == 0:
                return False, retry_after, age
        return self._state.version > after, retry_after, age

    def _wait_newer(self, after: int, seconds: float, *, must_confirm: bool) -> bool:
        if must_confirm:
            self._node.confirm_read(WATCH_CONFIRM_TIMEOUT)
        return self._state.wait_newer(after, seconds)


def _wants_all_epochs(request: JsonRequest) -> bool:
    return request.query.get(QUERY_ALL_EPOCHS) == "1"
