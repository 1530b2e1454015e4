"""Shared code of all libraries and programs: clock, log, traces, JSON over HTTP."""

from .clock import Clock, ManualClock, SystemClock
from .digests import endpoints_digest
from .errors import (
    DogwoodspoolError,
    HttpError,
    PeerNotConnectedError,
    PeerRefusedError,
    PeerUnreachableError,
    SettingsError,
)
from .http_client import JsonClient
from .http_server import JsonServer
from .json_lines import JsonLineClient, JsonLineServer
from .keys import key_digest
from .log import log_event, log_rate_limited, set_up_logging, shut_down_logging
from .models import (
    Address,
    BackendServer,
    ClientAccount,
    Consistency,
    Endpoint,
    GroupState,
    Phase,
    Position,
    PrimaryEpoch,
    RateLimit,
    Role,
    ServerStatus,
)
from .problems import first_problem
from .process import (
    process_started_at,
    read_settings,
    run_program,
    stop_event_on_signals,
    write_ready_file,
)
from .routes import JsonRequest, JsonResponse, Route, error_response
from .signature import RequestSigner
from .tcp import TCP_OPTIONS
from .trace import current_traceparent, set_up_tracing, span

__all__ = [
    "ServerStatus",
    "Role",
    "Phase",
    "GroupState",
    "BackendServer",
    "Address",
    "ClientAccount",
    "RateLimit",
    "Clock",
    "Consistency",
    "DogwoodspoolError",
    "Endpoint",
    "HttpError",
    "JsonClient",
    "JsonLineClient",
    "JsonLineServer",
    "JsonRequest",
    "JsonResponse",
    "JsonServer",
    "ManualClock",
    "PeerNotConnectedError",
    "PeerRefusedError",
    "PeerUnreachableError",
    "Position",
    "PrimaryEpoch",
    "RequestSigner",
    "Route",
    "SettingsError",
    "SystemClock",
    "TCP_OPTIONS",
    "current_traceparent",
    "endpoints_digest",
    "error_response",
    "first_problem",
    "key_digest",
    "log_event",
    "log_rate_limited",
    "process_started_at",
    "read_settings",
    "run_program",
    "set_up_logging",
    "set_up_tracing",
    "shut_down_logging",
    "span",
    "stop_event_on_signals",
    "write_ready_file",
]
