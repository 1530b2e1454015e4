"""Rate limits of client accounts, enforced by all proxies together."""

from .allocation import Allocation, Allocator, LimitTolerance, allocate
from .const import RETURN_AGE_SECONDS, TOKEN_AGE_MARGIN, TOKEN_AGE_SECONDS
from .domain_allowance import DomainAllowance
from .errors import RateLimitedError
from .limiter import AccountLimiter, NoLimits, OperationLimiter
from .limits_runtime import LimitsRuntime
from .reserve import LimitReserve
from .reserve_api import ReserveApi
from .token_bucket import TokenBucket
from .usage import AccountUsage, UsageCounter

__all__ = [
    "RETURN_AGE_SECONDS",
    "TOKEN_AGE_MARGIN",
    "TOKEN_AGE_SECONDS",
    "AccountLimiter",
    "AccountUsage",
    "Allocation",
    "Allocator",
    "DomainAllowance",
    "LimitReserve",
    "LimitTolerance",
    "LimitsRuntime",
    "NoLimits",
    "OperationLimiter",
    "RateLimitedError",
    "ReserveApi",
    "TokenBucket",
    "UsageCounter",
    "allocate",
]
