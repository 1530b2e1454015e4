"""Connection pools of backend servers, independent of the protocol."""

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
from .eviction import EvictionOrder, LeastUsed, LongestIdle
from .models import PoolSettings
from .pool import ConnectionPool
from .pooled import Connector, PooledConnection
from .process_run import ProcessRun

__all__ = [
    "BackendError",
    "ConnectFailedError",
    "ConnectionLimitError",
    "ConnectionPool",
    "Connector",
    "DeadlinePassedError",
    "EvictionOrder",
    "LeastUsed",
    "LongestIdle",
    "OutcomeUnknownError",
    "PoolClosedError",
    "PoolSettings",
    "PoolTimeoutError",
    "PooledConnection",
    "ProcessRun",
    "ServerDownError",
    "ServerNotReachedError",
]
