"""Run requests at most once."""

from .const import CREATE_TABLE, ER_NO_SUCH_TABLE, PRUNE
from .errors import RequestError, RequestIdReusedError, RequestNotRunError
from .models import RequestIdentity, RequestOutcome
from .runner import RequestRunner, StatementRunner

__all__ = [
    "CREATE_TABLE",
    "ER_NO_SUCH_TABLE",
    "PRUNE",
    "RequestError",
    "RequestIdReusedError",
    "RequestIdentity",
    "RequestNotRunError",
    "RequestOutcome",
    "RequestRunner",
    "StatementRunner",
]
