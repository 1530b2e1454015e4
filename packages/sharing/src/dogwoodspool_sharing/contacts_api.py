"""The endpoint of control processes that returns proxies of a failure domain."""

from dogwoodspool_common import JsonRequest, JsonResponse, Route

from .const import PATH_CONTACTS
from .models import ContactsRequest, ContactsResponse, NeighbourMessage
from .roster import ProxyRoster


class ContactsApi:
    """Return some proxies of a failure domain to proxies of other failure domains."""

    def __init__(self, roster: ProxyRoster) -> None:
        self._roster = roster

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [Route("POST", PATH_CONTACTS, self._contacts)]

    def _contacts(self, request: JsonRequest) -> JsonResponse:
        wanted = ContactsRequest.model_validate(request.body)
        found = self._roster.sample(wanted.failure_domain)
        response = ContactsResponse(proxies=[NeighbourMessage.of(one) for one in found])
        return JsonResponse(response.model_dump(mode="json"))
