"""Run one backend server of a stand-in database group."""

from .faults import FaultsMessage, FaultsRequest, FaultSwitches
from .server import StandinServer
from .settings import StandinSettings

__all__ = [
    "FaultSwitches",
    "FaultsMessage",
    "FaultsRequest",
    "StandinServer",
    "StandinSettings",
]
