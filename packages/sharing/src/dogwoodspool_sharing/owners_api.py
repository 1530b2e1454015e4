"""The endpoint of proxies that names the owners in their failure domain."""

import hashlib

from dogwoodspool_common import JsonRequest, JsonResponse, Route

from .const import DIGEST_BYTES, MAX_CONTACTS, PATH_OWNERS
from .directory import ProxyDirectory
from .models import (
    GroupOwnersMessage,
    NeighbourMessage,
    OwnersRequest,
    OwnersResponse,
)
from .ownership import contact_order


class OwnersApi:
    """Answer proxies of other failure domains from the directory of this proxy."""

    def __init__(self, own: str, directory: ProxyDirectory) -> None:
        self._own = own
        self._directory = directory

    def routes(self) -> list[Route]:
        """Return the endpoints."""
        return [Route("POST", PATH_OWNERS, self._owners)]

    def _owners(self, request: JsonRequest) -> JsonResponse:
        wanted = OwnersRequest.model_validate(request.body)
        owners = []
        for group in wanted.groups:
            assigned = self._directory.assigned(group)
            if assigned is not None:
                owners.append(GroupOwnersMessage.of(group, assigned))
        # The same proxies in each response, so that the digest stays the same.
        neighbours = contact_order(self._own, self._directory.neighbours)
        contacts = [NeighbourMessage.of(one) for one in neighbours[:MAX_CONTACTS]]
        response = OwnersResponse(digest="", owners=owners, contacts=contacts)
        digest = _digest(response)
        if digest == wanted.known:
            response = OwnersResponse(digest=digest)
        else:
            response = response.model_copy(update={"digest": digest})
        return JsonResponse(response.model_dump(mode="json", exclude_none=True))


def _digest(response: OwnersResponse) -> str:
    content = response.model_dump_json().encode()
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
