"""Choose the backend server for a statement."""

from .eligibility import may_satisfy, satisfies
from .models import (
    NoServer,
    NoServerReason,
    ReadChoice,
    ReadNeed,
    RouterSettings,
    ServerView,
)
from .read_router import KnownServers, ReadRouter
from .server_table import ServerTable

__all__ = [
    "KnownServers",
    "NoServer",
    "NoServerReason",
    "ReadChoice",
    "ReadNeed",
    "ReadRouter",
    "RouterSettings",
    "ServerTable",
    "ServerView",
    "may_satisfy",
    "satisfies",
]
