"""Follow the committed state of control from another process."""

from .control_peers import ControlContact, ControlPeers
from .coordinator import Coordinator
from .open_sessions import OpenSessions
from .rotation import Reach, Rotation, RotationPhase
from .rotation_watch import Callers, ReachabilitySource, RotationCoordinator
from .view import ProxyView, ViewListener, ViewStore
from .watch import WatchCoordinator

__all__ = [
    "Callers",
    "ControlContact",
    "ControlPeers",
    "Coordinator",
    "OpenSessions",
    "ProxyView",
    "Reach",
    "ReachabilitySource",
    "Rotation",
    "RotationCoordinator",
    "RotationPhase",
    "ViewListener",
    "ViewStore",
    "WatchCoordinator",
]
