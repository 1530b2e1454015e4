"""Fault switches: what is broken on purpose, changed over HTTP."""

import threading
from collections.abc import Callable

from dogwoodspool_api import HostPort, Message, Name
from dogwoodspool_common import JsonRequest, JsonResponse, Route, log_event
from dogwoodspool_common.const import MILLISECONDS
from pydantic import Field

from .const import EXIT_KILLED, PATH_FAULTS


class FaultsMessage(Message):
    """State of all switches that stay as they are set; times in milliseconds.

    Attributes:
        freeze: answer nothing, announce nothing, replicate nothing; sockets stay
            open.
        refuse_connections: drop open connections and refuse new ones.
        cut_failure_domains: drop and refuse connections that name one of these
            as their failure domain; follow no server that runs in one.
        cut_addresses: announce to none of these and follow none of them.
        stop_replication: pull no log.
        lag_ms: hold each pulled entry back for this long.
        statement_ms: service time of a statement.
        latency_ms: one-way delay of each command and each answer.
        leaving: ask for no new work, in the status and in announcements.
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
    """Change the switches that are named; the others stay.

    Attributes:
        kill: end the process at once, with nothing tidied up.
        silence_connections: connections open now swallow what they get and
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
    """Hold the switches and stop threads while the server is frozen.

    Args:
        initial: the switches at the start.
        terminate: ends the process, given its exit status.
    """

    def __init__(
        self, initial: FaultsMessage, terminate: Callable[[int], None]
    ) -> None:
        self._current = initial
        self._terminate = terminate
        self._lock = threading.Lock()
        self._running = threading.Event()
        self._running.set()
        self._on_change: Callable[[FaultsRequest], None] = lambda _: None

    @property
    def current(self) -> FaultsMessage:
        """The switches as they are now."""
        return self._current

    @property
    def replication_lag(self) -> float:
        """Seconds that each pulled entry is held back."""
        return self._current.lag_ms / MILLISECONDS

    @property
    def service_time(self) -> float:
        """Seconds that each statement takes besides its work."""
        return self._current.statement_ms / MILLISECONDS

    @property
    def latency(self) -> float:
        """Seconds of one-way delay."""
        return self._current.latency_ms / MILLISECONDS

    def set_listener(self, on_change: Callable[[FaultsRequest], None]) -> None:
        """Set who acts on changes, such as by dropping connections."""
        self._on_change = on_change

    def pause_while_frozen(self) -> None:
        """Block the calling thread while the server is frozen."""
        self._running.wait()

    def is_cut(self, failure_domain: str) -> bool:
        """Tell whether a failure domain is cut off from this server."""
        return failure_domain in self._current.cut_failure_domains

    def is_address_cut(self, address: object) -> bool:
        """Tell whether this server is cut off from an address."""
        return str(address) in self._current.cut_addresses

    def apply(self, request: FaultsRequest) -> None:
        """Change switches and act on it."""
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
        self._on_change(request)

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
