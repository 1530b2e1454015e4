"""Failover and switchover for groups that replicate synchronously and self-fence."""

from .errors import (
    FailoverError,
    PromotionNotTakenError,
    PromotionRefusedError,
    PromotionUnknownError,
    ServerBusyError,
    ServerCallError,
    ServerRefusingError,
)
from .joining import JoinCoordinator
from .models import Heartbeat, ServerState
from .runtime import FailoverRuntime
from .servers import GroupServers, PromotionService
from .service import ControlService

__all__ = [
    "ControlService",
    "FailoverError",
    "FailoverRuntime",
    "GroupServers",
    "Heartbeat",
    "JoinCoordinator",
    "PromotionNotTakenError",
    "PromotionRefusedError",
    "PromotionService",
    "PromotionUnknownError",
    "ServerBusyError",
    "ServerCallError",
    "ServerRefusingError",
    "ServerState",
]
