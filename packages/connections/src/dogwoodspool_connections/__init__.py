"""Pool connections to backend servers, whatever protocol they speak."""

from .errors import (
    BackendError,
    ConnectFailedError,
    ConnectionLimitError,
    DeadlinePassedError,
    OutcomeUnknownError,
    PoolClosedError,
    PoolTimeoutError,
    ServerDownError,
    ServerNotReachedError,
)
from .models import PoolSettings
from .pool import ConnectionPool
from .pooled import Connector, PooledConnection

__all__ = [
    "BackendError",
    "ConnectFailedError",
    "ConnectionLimitError",
    "ConnectionPool",
    "Connector",
    "DeadlinePassedError",
    "OutcomeUnknownError",
    "PoolClosedError",
    "PoolSettings",
    "PoolTimeoutError",
    "PooledConnection",
    "ServerDownError",
    "ServerNotReachedError",
]
