"""Talk to backend servers: connections, pools, probes, role changes."""

from .connection import BackendConnection, StatementResult
from .connector import Connector, MySqlConnector
from .errors import (
    BackendError,
    ConnectFailedError,
    ConnectionLimitError,
    OutcomeUnknownError,
    PoolClosedError,
    PoolTimeoutError,
    StatementFailedError,
    UnreadableStatusError,
)
from .models import Column, Credentials, PoolSettings, Row
from .pool import ConnectionPool
from .probe import Probe, Prober
from .role_change import RoleChanger, SqlRoleChanger
from .status import parse_status

__all__ = [
    "BackendConnection",
    "BackendError",
    "Column",
    "ConnectFailedError",
    "ConnectionLimitError",
    "ConnectionPool",
    "Connector",
    "Credentials",
    "MySqlConnector",
    "OutcomeUnknownError",
    "PoolClosedError",
    "PoolSettings",
    "PoolTimeoutError",
    "Probe",
    "Prober",
    "RoleChanger",
    "Row",
    "SqlRoleChanger",
    "StatementFailedError",
    "StatementResult",
    "UnreadableStatusError",
    "parse_status",
]
