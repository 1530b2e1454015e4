"""Choose the proxies that own a group's pools and track which proxies run."""

from .directory import ProxyDirectory
from .models import Neighbour, ServerLimits
from .presence import PresenceCoordinator
from .presence_api import PresenceApi
from .roster import ProxyRoster

__all__ = [
    "Neighbour",
    "PresenceApi",
    "PresenceCoordinator",
    "ProxyDirectory",
    "ProxyRoster",
    "ServerLimits",
]
