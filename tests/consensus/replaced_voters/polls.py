"""The polls of a simulated proxy."""

from dataclasses import dataclass
from typing import Any

from dogwoodspool_api.const import QUERY_AFTER, QUERY_CONFIRMED, QUERY_WAIT_MS
from dogwoodspool_api.models import ControlView
from dogwoodspool_common import JsonRequest, JsonResponse, PeerRefusedError
from dogwoodspool_common.const import HTTP_CONNECT_TIMEOUT, MILLISECONDS
from dogwoodspool_common.errors import PeerUnreachableError

from ..fakes import SimulatedCrashError
from .checks import revision_of
from .clock import WorldClock
from .machines import Machine, Process


@dataclass(eq=False)
class Poll:
    """A poll in transit or waiting at a control process.

    A closed process ends its connections at once. A machine without power, a frozen
    process and a cut link are silent: a poll on an open connection then waits for its
    whole timeout, and one that has to connect for the timeout of connecting.

    ``process`` is the one that ran at the machine when the poll was sent, and ``acked``
    the highest revision that had been acknowledged by then.
    """

    machine: Machine
    process: Process | None
    power_losses: int
    is_connected: bool
    clock: WorldClock
    query: dict[str, str]
    sent: float
    timeout: float
    acked: int
    has_confirmed: bool = False
    is_connection_lost: bool = False
    answer: dict[str, Any] | None = None
    error: Exception | None = None

    def advance(self, *, is_cut: bool) -> bool:
        """Return whether the poll has an answer or has failed by now."""
        machine, process = self.machine, self.process
        if self._fail_after(self.timeout):
            return True
        if not self._connect(is_reachable=machine.is_powered and not is_cut):
            return self._fail_after(HTTP_CONNECT_TIMEOUT)
        if self._is_silent or is_cut:
            return False
        if process is None or machine.process is not process:
            return self._fail_after(0.0)
        if self._is_held(process):
            return False
        response = self._ask(process)
        if response is None:
            return self._fail_after(0.0)
        return self._fail_after(self.timeout) or self._record(response)

    def _connect(self, *, is_reachable: bool) -> bool:
        """Return whether there is a connection; a first packet is not sent again."""
        if not self.is_connected and not is_reachable:
            self.is_connection_lost = True
        self.is_connected = self.is_connected or not self.is_connection_lost
        return self.is_connected

    @property
    def _is_silent(self) -> bool:
        """Return whether the machine neither answers nor ends the connection."""
        machine = self.machine
        has_lost_power = machine.power_losses != self.power_losses
        return has_lost_power or not machine.is_powered or machine.is_frozen

    @property
    def _is_confirmed(self) -> bool:
        return self.query.get(QUERY_CONFIRMED) == "1"

    @property
    def _is_over(self) -> bool:
        return (
            self.clock.now() - self.sent
            >= int(self.query[QUERY_WAIT_MS]) / MILLISECONDS
        )

    def _is_held(self, process: Process) -> bool:
        """Return whether the process has nothing to answer yet."""
        is_waiting = self.has_confirmed or not self._is_confirmed
        after = int(self.query[QUERY_AFTER])
        if is_waiting and not self._is_over and process.state.version <= after:
            return True
        return self._is_confirmed and process.is_reading

    def _ask(self, process: Process) -> JsonResponse | None:
        """Return the answer of the process, or nothing if it ends meanwhile."""
        query = {**self.query, QUERY_WAIT_MS: "0"}
        (route,) = process.watch.routes()
        process.is_reading = self._is_confirmed or process.is_reading
        try:
            return route.handler(JsonRequest(route.path, query, {}))
        except SimulatedCrashError:
            return None
        finally:
            process.is_reading = process.is_reading and not self._is_confirmed

    def _record(self, response: JsonResponse) -> bool:
        body = response.body
        if response.status != 200:
            self.error = PeerRefusedError(
                response.status, body["error"], body["message"]
            )
            return True
        if body["view"] is None and not self._is_over:
            self.has_confirmed = True
            return False
        self.answer = dict(body)
        if self._is_confirmed and body["view"] is not None:
            seen = revision_of(ControlView.model_validate(body["view"]))
            assert seen >= self.acked, (
                f"{self.machine.node_id} confirmed a view of {seen}, not {self.acked}"
            )
        return True

    def _fail_after(self, limit: float) -> bool:
        if self.clock.now() - self.sent < limit:
            return False
        self.error = PeerUnreachableError("no answer")
        return True
