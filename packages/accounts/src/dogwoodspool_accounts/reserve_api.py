"""The endpoint at which limit owners draw tokens from control's leader."""

from collections.abc import Callable

from dogwoodspool_common import JsonRequest, JsonResponse, Route

from .const import PATH_DRAW
from .messages import DrawRequest, DrawResponse
from .reserve import LimitReserve


class ReserveApi:
    """Serve limit owners that draw tokens.

    Args:
        leads_since: returns the clock seconds since which this process leads; raises
            the error of a process that does not lead.
    """

    def __init__(self, reserve: LimitReserve, leads_since: Callable[[], float]) -> None:
        self._reserve = reserve
        self._leads_since = leads_since

    def routes(self) -> list[Route]:
        """Return the routes that it serves."""
        return [Route("POST", PATH_DRAW, self._draw)]

    def _draw(self, request: JsonRequest) -> JsonResponse:
        message = DrawRequest.model_validate(request.body)
        given = self._reserve.draw(message.wanted, self._leads_since())
        return JsonResponse(DrawResponse(given=given).model_dump(mode="json"))
