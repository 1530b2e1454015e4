"""Choose the proxies that own a group's pools and track which proxies run."""

from .directory import ProxyDirectory
from .models import Neighbour, ServerLimits
from .parts import ConnectionPart, ConnectionParts, PoolRole
from .presence import PresenceCoordinator
from .presence_api import PresenceApi
from .roster import ProxyRoster

__all__ = [
    "ConnectionPart",
    "ConnectionParts",
    "Neighbour",
    "PoolRole",
    "PresenceApi",
    "PresenceCoordinator",
    "ProxyDirectory",
    "ProxyRoster",
    "ServerLimits",
]
