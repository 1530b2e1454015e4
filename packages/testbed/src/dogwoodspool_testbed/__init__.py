"""Run whole deployments as processes on loopback, for tests, demo and measurements."""

from .deployment import CallerConnection, Deployment
from .errors import TestbedError
from .models import (
    ControlHandle,
    DeploymentShape,
    ProxyHandle,
    StandinHandle,
    StandinShape,
)

__all__ = [
    "CallerConnection",
    "ControlHandle",
    "Deployment",
    "DeploymentShape",
    "ProxyHandle",
    "StandinHandle",
    "StandinShape",
    "TestbedError",
]
