"""Follow the committed state of control from another process."""

from .control_peers import ControlPeers
from .coordinator import Coordinator
from .open_sessions import OpenSessions
from .view import ProxyView, ViewListener, ViewStore
from .watch import WatchCoordinator

__all__ = [
    "ControlPeers",
    "Coordinator",
    "OpenSessions",
    "ProxyView",
    "ViewListener",
    "ViewStore",
    "WatchCoordinator",
]
