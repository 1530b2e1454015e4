"""Pool transactions over connections to groups that replicate synchronously.

The parts that serve callers are in ``runtime`` and ``session`` and are not imported
here: a process that only queries servers, such as a control process, would otherwise
spend 5 % of the instructions of its start on loading them.
"""

from .connection import ServerConnection
from .errors import (
    NoDatabaseError,
    NotReadyError,
    NotServedError,
    PoolerError,
    UnknownKeyError,
)
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
    "UnknownKeyError",
]
