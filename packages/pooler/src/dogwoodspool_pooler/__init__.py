"""Pool transactions over connections to groups that replicate synchronously.

The parts that serve callers are in ``runtime`` and ``session``: who only asks servers,
such as a control process, does not load them (5 % of its start's instructions).
"""

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
from .session_state import ConnectionState

__all__ = [
    "Access",
    "Answer",
    "ConnectionState",
    "ErrorCode",
    "NoDatabaseError",
    "NotReadyError",
    "NotServedError",
    "PoolerError",
    "Prepared",
    "Reply",
    "ServerConnection",
    "Statement",
    "StatementError",
    "StatementKind",
    "TransactionState",
]
