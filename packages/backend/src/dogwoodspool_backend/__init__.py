"""Connect to backend servers: connections, pools, probes and role changes."""

from dogwoodspool_connections import (
    ConnectionPool,
    Connector,
    PooledConnection,
    PoolSettings,
)

from .connection import BackendConnection
from .connector import MySqlConnector, MySqlPool
from .errors import (
    BackendError,
    ConnectFailedError,
    ConnectionLimitError,
    OutcomeUnknownError,
    PoolClosedError,
    PoolTimeoutError,
    ServerDownError,
    StatementFailedError,
    UnreadableStatusError,
)
from .models import Column, Credentials, Row
from .probe import Probe, Prober
from .result import StatementResult
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
    "MySqlPool",
    "OutcomeUnknownError",
    "PoolClosedError",
    "PoolSettings",
    "PoolTimeoutError",
    "PooledConnection",
    "Probe",
    "Prober",
    "RoleChanger",
    "ServerDownError",
    "Row",
    "SqlRoleChanger",
    "StatementFailedError",
    "StatementResult",
    "UnreadableStatusError",
    "parse_status",
]
