"""Choose the proxies that own a group's pools and track which proxies run."""

from .contacts_api import ContactsApi
from .directory import ProxyDirectory
from .message_client import MessageClient
from .models import (
    Neighbour,
    Owners,
    PrimaryLocation,
    PrimaryShare,
    ServerLimits,
)
from .neighbour_views import NeighbourViewApi, NeighbourViewReader
from .owners_api import OwnersApi
from .parts import ConnectionPart, ConnectionParts, PoolRole
from .presence import PresenceCoordinator
from .presence_api import PresenceApi
from .remote_coordinator import RemoteOwnersCoordinator
from .remote_owners import RemoteOwners
from .roster import ProxyRoster

__all__ = [
    "ConnectionPart",
    "ConnectionParts",
    "ContactsApi",
    "MessageClient",
    "Neighbour",
    "NeighbourViewApi",
    "NeighbourViewReader",
    "Owners",
    "OwnersApi",
    "PoolRole",
    "PresenceApi",
    "PresenceCoordinator",
    "PrimaryLocation",
    "PrimaryShare",
    "ProxyDirectory",
    "ProxyRoster",
    "RemoteOwners",
    "RemoteOwnersCoordinator",
    "ServerLimits",
]
