"""Pool transactions over connections to groups that replicate synchronously."""

from .connection import ServerConnection
from .errors import NoDatabaseError, NotReadyError, NotServedError, PoolerError
from .models import (
    Access,
    Answer,
    ErrorCode,
    Prepared,
    Reply,
    Statement,
    StatementError,
    StatementKind,
    TransactionState,
)
from .runtime import PoolerRuntime
from .session import PooledSession
from .session_state import ConnectionState

__all__ = [
    "Access",
    "Answer",
    "ConnectionState",
    "ErrorCode",
    "NoDatabaseError",
    "NotReadyError",
    "NotServedError",
    "PooledSession",
    "PoolerError",
    "PoolerRuntime",
    "Prepared",
    "Reply",
    "ServerConnection",
    "Statement",
    "StatementError",
    "StatementKind",
    "TransactionState",
]
