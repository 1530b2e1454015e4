"""The endpoint at which limit owners draw tokens from the leader."""

from dataclasses import replace

from dogwoodspool_accounts import LimitReserve, ReserveApi
from dogwoodspool_common import Route

from ..node import ControlNode
from .support import with_error_responses


def reserve_routes(reserve: LimitReserve, node: ControlNode) -> list[Route]:
    """Return the routes that give out tokens while this voter leads."""
    api = ReserveApi(reserve, lambda: node.require_leadership().since)
    return [
        replace(route, handler=with_error_responses(route.handler))
        for route in api.routes()
    ]
