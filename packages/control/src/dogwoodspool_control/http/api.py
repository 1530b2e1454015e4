"""Endpoints for renewals by proxies and for changes of the state."""

from dogwoodspool_api import (
    PromoteRequest,
    RenewRequest,
    SettingsChangeRequest,
    SettingsChangeResponse,
)
from dogwoodspool_api.const import PATH_PROMOTE, PATH_RENEW, PATH_SETTINGS_CHANGE
from dogwoodspool_common import JsonRequest, JsonResponse, Route

from ..commands import ChangeSettings
from ..const import CODE_INVALID, MAX_RENEW_ITEMS, PROMOTE_WAIT_SECONDS, QUERY_WAIT
from ..errors import CommandRejectedError
from ..grants.renewals import Renewals
from ..node import ControlNode
from ..promotion.planned import PlannedPromotions
from ..state import ControlState
from .support import WaitSlots, with_error_responses


class ControlApi:
    """Serve renewals by proxies and changes of the state."""

    def __init__(
        self,
        node: ControlNode,
        state: ControlState,
        renewals: Renewals,
        planned: PlannedPromotions,
        wait_slots: WaitSlots,
    ) -> None:
        self._node = node
        self._state = state
        self._renewals = renewals
        self._planned = planned
        self._wait_slots = wait_slots

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("POST", PATH_RENEW, with_error_responses(self._renew)),
            Route(
                "POST",
                PATH_SETTINGS_CHANGE,
                with_error_responses(self._change_settings),
            ),
            Route("POST", PATH_PROMOTE, with_error_responses(self._promote)),
        ]

    def _renew(self, request: JsonRequest) -> JsonResponse:
        message = RenewRequest.model_validate(request.body)
        counts = (
            len(message.groups),
            len(message.observations),
            len(message.announcements),
            len(message.connection_demand),
        )
        if max(counts) > MAX_RENEW_ITEMS:
            raise CommandRejectedError(
                CODE_INVALID,
                f"more than {MAX_RENEW_ITEMS} items in a list of the renewal",
            )
        return JsonResponse(self._renewals.renew(message).model_dump(mode="json"))

    def _change_settings(self, request: JsonRequest) -> JsonResponse:
        message = SettingsChangeRequest.model_validate(request.body)
        command = ChangeSettings(
            change_id=message.change_id,
            path=message.path,
            expected_version=message.expected_version,
            overrides=message.overrides,
            author=message.author,
        )
        outcome = self._node.commit(command)
        response = SettingsChangeResponse(
            path=message.path, version=outcome.version, view_version=outcome.index
        )
        return JsonResponse(response.model_dump(mode="json"))

    def _promote(self, request: JsonRequest) -> JsonResponse:
        message = PromoteRequest.model_validate(request.body)
        term = self._planned.begin(message)
        is_ended = False
        if QUERY_WAIT in request.query:
            with self._wait_slots.taken():
                is_ended = self._planned.wait_ended(
                    message.group, term, PROMOTE_WAIT_SECONDS
                )
        group = self._state.group(message.group)
        return JsonResponse(
            {
                "group": message.group,
                "term": term,
                "is_ended": is_ended,
                "primary": None if group is None else group.primary,
            }
        )
