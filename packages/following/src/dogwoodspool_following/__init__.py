"""Follow the committed state of control from another process."""

from .control_peers import ControlPeers
from .coordinator import Coordinator
from .view import ProxyView, ViewListener, ViewStore
from .watch import WatchCoordinator

__all__ = [
    "ControlPeers",
    "Coordinator",
    "ProxyView",
    "ViewListener",
    "ViewStore",
    "WatchCoordinator",
]
