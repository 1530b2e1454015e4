"""Data classes of deployments for tests, the demo and measurements."""

from dataclasses import dataclass, field
from typing import Any

from dogwoodspool_common import Address


@dataclass(frozen=True, slots=True)
class StandinShape:
    """Limits and delays of one stand-in; see ``dogwoodspool-standin --help``."""

    slots: int = 3
    connections: int = 20
    connect_delay_ms: int = 0
    statement_ms: float = 0
    replication_lag_ms: int = 0
    latency_ms: float = 0


@dataclass(frozen=True, slots=True)
class DeploymentShape:
    """Processes and settings of a deployment.

    Attributes:
        failure_domains: names of the failure domains; proxies are assigned to them
            in turn.
        controls: number of control processes, assigned to the failure domains in
            turn.
        proxies: number of proxy processes.
        groups: names of the database groups.
        servers_per_group: number of backend servers of each group; the first one
            is the primary.
        standin: limits and delays of each backend server.
        root_settings: overrides at the root of the settings tree.
        has_traces: whether proxies write a span for each hop to ``NAME.spans``.
    """

    failure_domains: tuple[str, ...] = ("fd-a", "fd-b", "fd-c")
    controls: int = 3
    proxies: int = 3
    groups: tuple[str, ...] = ("orders",)
    servers_per_group: int = 3
    standin: StandinShape = StandinShape()
    root_settings: dict[str, Any] = field(default_factory=dict)
    has_traces: bool = False


@dataclass(frozen=True, slots=True)
class ControlHandle:
    """A control process of a running deployment."""

    name: str
    failure_domain: str
    address: Address


@dataclass(frozen=True, slots=True)
class ProxyHandle:
    """A proxy process of a running deployment."""

    name: str
    failure_domain: str
    address: Address
    http_address: Address


@dataclass(frozen=True, slots=True)
class StandinHandle:
    """A stand-in backend server of a running deployment."""

    name: str
    group: str
    failure_domain: str
    address: Address
    control_address: Address
