"""Decide whether a primary has failed, from reports and the leader's own probes."""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import Executor
from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import BackendServer, Clock, Role, log_event

from .const import (
    HEARTBEAT_SILENCE,
    MIN_REPORTERS,
    MIN_REPORTING_DOMAINS,
    PROBE_PAUSE,
    PROBE_TIMEOUT,
    REFUSING_SECONDS,
    SILENT_SECONDS,
)
from .errors import ServerBusyError, ServerCallError, ServerRefusingError
from .heartbeats import HeartbeatBook
from .reports import ReportBook, Reporter
from .servers import GroupServers


class Verdict(StrEnum):
    """What is wrong with a primary.

    Attributes:
        FAILED: it does not answer, or it has no place any more.
        STALLED: it answers, but its writes reach no replica.
        CUT_OFF: the leader reaches it, many proxies do not.
    """

    FAILED = "failed"
    STALLED = "stalled"
    CUT_OFF = "cut_off"


@dataclass(frozen=True, slots=True)
class ProbeRecord:
    """The leader's own questions to one server.

    Attributes:
        failing_since: when the first of the failed ones was asked; None while it
            answers.
        is_refusing: whether its machine refused the connection each time.
        role: what it last said of itself.
        asked_at: when the last question was sent.
    """

    asked_at: float
    failing_since: float | None = None
    is_refusing: bool = False
    role: Role | None = None


class PrimaryProbes:
    """Ask servers that are in doubt, without holding up the leader's loop."""

    def __init__(self, clock: Clock, servers: GroupServers, executor: Executor) -> None:
        self._clock = clock
        self._servers = servers
        self._executor = executor
        self._lock = threading.Lock()
        self._records: dict[str, ProbeRecord] = {}
        self._asking: set[str] = set()

    def start_over(self) -> None:
        """Forget everything, as at the beginning of a leadership."""
        with self._lock:
            self._records.clear()

    def forget(self, server: str) -> None:
        """Forget a server that is in doubt no more."""
        with self._lock:
            self._records.pop(server, None)

    def record(self, server: str) -> ProbeRecord | None:
        """Return what the questions showed; None before the first answer."""
        with self._lock:
            return self._records.get(server)

    def ask(self, server: BackendServer) -> None:
        """Ask once more, unless a question is under way or was just answered."""
        now = self._clock.now()
        with self._lock:
            known = self._records.get(server.name)
            is_recent = known is not None and now - known.asked_at < PROBE_PAUSE
            if server.name in self._asking or is_recent:
                return
            self._asking.add(server.name)
        self._executor.submit(self._ask, server)

    def _ask(self, server: BackendServer) -> None:
        asked_at = self._clock.now()
        try:
            state = self._servers.status(server, PROBE_TIMEOUT)
            record = ProbeRecord(asked_at, role=state.role)
        except ServerBusyError:
            record = ProbeRecord(asked_at)
        except ServerCallError as error:
            record = self._failure(server.name, asked_at, error)
            log_event(
                "probe_failed",
                server=server.name,
                since=record.failing_since,
                reason=error,
            )
        finally:
            with self._lock:
                self._asking.discard(server.name)
        with self._lock:
            self._records[server.name] = record

    def _failure(
        self, server: str, asked_at: float, error: ServerCallError
    ) -> ProbeRecord:
        is_refusing = isinstance(error, ServerRefusingError)
        known = self.record(server)
        if known is None or known.failing_since is None:
            return ProbeRecord(asked_at, asked_at, is_refusing)
        # A machine that goes dark after it refused has not refused all the while.
        is_same = known.is_refusing == is_refusing
        since = known.failing_since if is_same or not is_refusing else asked_at
        return ProbeRecord(asked_at, since, is_refusing and is_same)


class PrimaryJudge:
    """Decide about each primary at each look of the leader.

    Two observers must agree: a proxy in whose requests the failure shows, and the
    leader's own questions. One of them alone may be cut off itself. Only where
    the leader reaches the server and several proxies in several failure domains
    do not, their word is enough: the server works, but not for them.
    """

    def __init__(
        self,
        clock: Clock,
        reports: ReportBook,
        heartbeats: HeartbeatBook,
        probes: PrimaryProbes,
    ) -> None:
        self._clock = clock
        self._reports = reports
        self._heartbeats = heartbeats
        self._probes = probes

    def verdict(self, primary: BackendServer) -> Verdict | None:
        """Return what is wrong with a primary, None for nothing."""
        if self._heartbeats.role(primary) is Role.REPLICA:
            self._probes.ask(primary)
            return self._judge_lost_role(primary)
        reporters = self._reports.reporters(primary.name)
        is_silent = self._heartbeats.silence(primary.name) >= HEARTBEAT_SILENCE
        if not reporters and not is_silent:
            self._probes.forget(primary.name)
            return None
        self._probes.ask(primary)
        record = self._probes.record(primary.name)
        if record is None:
            return None
        if record.failing_since is None:
            return _judge_reports(reporters)
        if _agree(
            reporters, lambda one: one.calls_unreachable, minimum=MIN_REPORTING_DOMAINS
        ):
            # Proxies in several failure domains have waited long enough already.
            return Verdict.FAILED
        needed = REFUSING_SECONDS if record.is_refusing else SILENT_SECONDS
        has_failed = self._clock.now() - record.failing_since >= needed
        is_confirmed = is_silent or any(one.calls_unreachable for one in reporters)
        return Verdict.FAILED if has_failed and is_confirmed else None

    def _judge_lost_role(self, primary: BackendServer) -> Verdict | None:
        record = self._probes.record(primary.name)
        if record is None or record.role is not Role.REPLICA:
            return None
        return Verdict.FAILED


def _judge_reports(reporters: Sequence[Reporter]) -> Verdict | None:
    if _agree(reporters, lambda one: one.calls_stalled, minimum=MIN_REPORTING_DOMAINS):
        return Verdict.STALLED
    if _agree(reporters, lambda one: one.calls_unreachable, minimum=MIN_REPORTERS):
        return Verdict.CUT_OFF
    return None


def _agree(
    reporters: Sequence[Reporter], says: Callable[[Reporter], bool], *, minimum: int
) -> bool:
    agreeing = [one for one in reporters if says(one)]
    domains = {one.failure_domain for one in agreeing}
    return len(agreeing) >= minimum and len(domains) >= MIN_REPORTING_DOMAINS
