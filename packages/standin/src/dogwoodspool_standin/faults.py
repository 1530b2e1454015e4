"""Fault injection: switches that are changed over HTTP."""

import threading
from collections.abc import Callable

from dogwoodspool_api import HostPort, Message, Name
from dogwoodspool_common import JsonRequest, JsonResponse, Route, log_event
from dogwoodspool_common.const import MILLISECONDS
from pydantic import Field

from .const import EXIT_KILLED, PATH_FAULTS


class FaultsMessage(Message):
    """State of the persistent fault switches; times are in milliseconds.

    Attributes:
        freeze: stop answering, announcing and replicating; sockets stay open.
        refuse_connections: drop open connections and refuse new ones.
        cut_failure_domains: drop and refuse connections that name one of these
            as their failure domain; do not follow a server that runs in one.
        cut_addresses: do not announce to these addresses and do not follow them.
        stop_replication: do not pull the log.
        lag_ms: delay before a pulled entry is applied.
        statement_ms: service time of a statement.
        latency_ms: one-way delay of each command and each answer.
        leaving: report in the status and in announcements that the server takes
            no new work.
    """

    freeze: bool = False
    refuse_connections: bool = False
    cut_failure_domains: tuple[Name, ...] = ()
    cut_addresses: tuple[HostPort, ...] = ()
    stop_replication: bool = False
    lag_ms: float = Field(default=0, ge=0)
    statement_ms: float = Field(default=0, ge=0)
    latency_ms: float = Field(default=0, ge=0)
    leaving: bool = False


class FaultsRequest(Message):
    """Change the given switches and leave the others unchanged.

    Attributes:
        kill: end the process immediately, without any cleanup.
        silence_connections: currently open connections discard their input and
            never answer again; new ones work.
    """

    kill: bool = False
    silence_connections: bool = False
    freeze: bool | None = None
    refuse_connections: bool | None = None
    cut_failure_domains: tuple[Name, ...] | None = None
    cut_addresses: tuple[HostPort, ...] | None = None
    stop_replication: bool | None = None
    lag_ms: float | None = Field(default=None, ge=0)
    statement_ms: float | None = Field(default=None, ge=0)
    latency_ms: float | None = Field(default=None, ge=0)
    leaving: bool | None = None


class FaultSwitches:
    """Hold the switches and block threads while the server is frozen.

    Args:
        initial: initial state of the switches.
        terminate: ends the process with the given exit status.
    """

    def __init__(
        self, initial: FaultsMessage, terminate: Callable[[int], None]
    ) -> None:
        self._current = initial
        self._terminate = terminate
        self._lock = threading.Lock()
        self._running = threading.Event()
        self._running.set()
        self._change_handler: Callable[[FaultsRequest], None] = lambda _: None

    @property
    def current(self) -> FaultsMessage:
        """The current state of the switches."""
        return self._current

    @property
    def replication_lag(self) -> float:
        """Delay before a pulled entry is applied, in seconds."""
        return self._current.lag_ms / MILLISECONDS

    @property
    def service_time(self) -> float:
        """Time added to the execution of each statement, in seconds."""
        return self._current.statement_ms / MILLISECONDS

    @property
    def latency(self) -> float:
        """One-way delay, in seconds."""
        return self._current.latency_ms / MILLISECONDS

    def set_change_handler(
        self, change_handler: Callable[[FaultsRequest], None]
    ) -> None:
        """Set the handler of changes, which for example drops connections."""
        self._change_handler = change_handler

    def pause_while_frozen(self) -> None:
        """Block the calling thread while the server is frozen."""
        self._running.wait()

    def is_cut(self, failure_domain: str) -> bool:
        """Return whether this server is cut off from a failure domain."""
        return failure_domain in self._current.cut_failure_domains

    def is_address_cut(self, address: object) -> bool:
        """Return whether this server is cut off from an address."""
        return str(address) in self._current.cut_addresses

    def apply(self, request: FaultsRequest) -> None:
        """Change switches and apply their effects."""
        if request.kill:
            self._terminate(EXIT_KILLED)
        changes = request.model_dump(
            exclude_none=True, exclude={"kill", "silence_connections"}
        )
        with self._lock:
            self._current = self._current.model_copy(update=changes)
            frozen = self._current.freeze
        log_event("faults_changed", changes=request.model_dump_json(exclude_none=True))
        if frozen:
            self._running.clear()
        else:
            self._running.set()
        self._change_handler(request)

    def routes(self) -> list[Route]:
        """Return the endpoints that show and change the switches."""
        return [
            Route("GET", PATH_FAULTS, lambda _: self._show()),
            Route("POST", PATH_FAULTS, self._change),
        ]

    def _change(self, request: JsonRequest) -> JsonResponse:
        self.apply(FaultsRequest.model_validate(request.body))
        return self._show()

    def _show(self) -> JsonResponse:
        return JsonResponse(self._current.model_dump(mode="json"))
