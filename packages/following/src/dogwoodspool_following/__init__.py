"""Tracking of the committed state of control from other processes."""

from .confirmation import ViewConfirmation
from .control_peers import ControlContact, ControlPeers
from .control_search import (
    AddressSource,
    ControlSearch,
    FixedAddresses,
    NeighbourView,
    NeighbourViews,
)
from .coordinator import Coordinator
from .open_sessions import OpenSessions
from .rotation import Reachability, Rotation, RotationPhase
from .rotation_coordinator import Callers, ReachabilitySource, RotationCoordinator
from .view import ProxyLocation, ProxyView, ViewListener, ViewStore
from .view_check import ViewCheck
from .watch import WatchCoordinator

__all__ = [
    "AddressSource",
    "Callers",
    "ControlContact",
    "ControlPeers",
    "ControlSearch",
    "Coordinator",
    "FixedAddresses",
    "NeighbourView",
    "NeighbourViews",
    "OpenSessions",
    "ProxyLocation",
    "ProxyView",
    "Reachability",
    "ReachabilitySource",
    "Rotation",
    "RotationCoordinator",
    "RotationPhase",
    "ViewCheck",
    "ViewConfirmation",
    "ViewListener",
    "ViewStore",
    "WatchCoordinator",
]
