"""Accept callers' connections and serve the MySQL protocol to them."""

from .authentication import hash_password
from .classify import classify
from .const import (
    CR_SERVER_LOST,
    ER_NO_DATABASE,
    ER_NOT_SUPPORTED,
    ER_OPTION_PREVENTS_STATEMENT,
    ER_TOO_MANY_USER_CONNECTIONS,
    ER_UNKNOWN_VARIABLE,
    ER_WRONG_ARGUMENTS,
    VARIABLE_SESSION,
)
from .errors import GatewayError
from .listener import CallerListener
from .models import (
    Answer,
    AnswerColumn,
    CallerSession,
    Classification,
    DoneAnswer,
    ErrorAnswer,
    Outcome,
    RequestProperties,
    RowsAnswer,
    SessionFactory,
    StatementKind,
    StatementRequest,
)
from .variables import system_variable

__all__ = [
    "system_variable",
    "CR_SERVER_LOST",
    "ER_NOT_SUPPORTED",
    "ER_NO_DATABASE",
    "ER_OPTION_PREVENTS_STATEMENT",
    "ER_TOO_MANY_USER_CONNECTIONS",
    "ER_UNKNOWN_VARIABLE",
    "ER_WRONG_ARGUMENTS",
    "VARIABLE_SESSION",
    "Answer",
    "AnswerColumn",
    "CallerListener",
    "CallerSession",
    "Classification",
    "DoneAnswer",
    "ErrorAnswer",
    "GatewayError",
    "Outcome",
    "RequestProperties",
    "RowsAnswer",
    "SessionFactory",
    "StatementKind",
    "StatementRequest",
    "classify",
    "hash_password",
]
