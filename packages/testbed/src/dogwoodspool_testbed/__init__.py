"""Run complete deployments on loopback for tests, the demo and measurements."""

from .deployment import CallerConnection, Deployment
from .errors import TestbedError
from .models import (
    ControlHandle,
    DeploymentShape,
    ProxyHandle,
    StandinHandle,
    StandinShape,
)
from .ports import PortReservations
from .time_limit import TimeLimit

__all__ = [
    "CallerConnection",
    "ControlHandle",
    "Deployment",
    "DeploymentShape",
    "PortReservations",
    "ProxyHandle",
    "StandinHandle",
    "StandinShape",
    "TestbedError",
    "TimeLimit",
]
