"""Shapes of the two users' deployments, on stand-ins."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, Final

from dogwoodspool_testbed import DeploymentShape, StandinShape

from .const import DEFAULT_LAG_MS, DEFAULT_STATEMENT_MS
from .errors import LoadError
from .mixes import CHAT_MIX, FLOW_MIX, RequestProfile


@dataclass(frozen=True, slots=True)
class UserDeployment:
    """One user's deployment with the request mix of its callers."""

    name: str
    shape: DeploymentShape
    mix: Sequence[RequestProfile]


CHAGUANAS: Final = UserDeployment(
    "chaguanas",
    DeploymentShape(
        failure_domains=("tt-north-1", "tt-north-2", "tt-north-3", "tt-north-4"),
        controls=3,
        proxies=9,
        groups=("chat1", "chat2", "chat3"),
        servers_per_group=3,
        standin=StandinShape(
            slots=3,
            connections=20,
            connect_delay_ms=10,
            statement_ms=DEFAULT_STATEMENT_MS,
            replication_lag_ms=DEFAULT_LAG_MS,
            latency_ms=0.5,
        ),
    ),
    CHAT_MIX,
)
HANBIT: Final = UserDeployment(
    "hanbit",
    DeploymentShape(
        failure_domains=("lab-1", "lab-2", "office", "annex"),
        controls=3,
        proxies=8,
        groups=("flow1", "flow2", "flow3"),
        servers_per_group=3,
        standin=StandinShape(
            slots=3,
            connections=50,
            connect_delay_ms=10,
            statement_ms=DEFAULT_STATEMENT_MS,
            replication_lag_ms=DEFAULT_LAG_MS,
            latency_ms=1.5,
        ),
    ),
    FLOW_MIX,
)
DEPLOYMENTS: Final = {one.name: one for one in (CHAGUANAS, HANBIT)}


def get_deployment(name: str) -> UserDeployment:
    """Return a user's deployment.

    Raises:
        LoadError: no deployment has this name.
    """
    if name not in DEPLOYMENTS:
        known = ", ".join(DEPLOYMENTS)
        raise LoadError(f"unknown deployment {name!r}; known: {known}")
    return DEPLOYMENTS[name]


def adapt_deployment(
    deployment: UserDeployment,
    statement_ms: float | None = None,
    root_settings: dict[str, Any] | None = None,
) -> UserDeployment:
    """Return the deployment with another service time or other root settings."""
    shape = deployment.shape
    if statement_ms is not None:
        standin = replace(shape.standin, statement_ms=statement_ms)
        shape = replace(shape, standin=standin)
    if root_settings is not None:
        shape = replace(shape, root_settings={**shape.root_settings, **root_settings})
    return replace(deployment, shape=shape)
