"""Detect failed primaries from proxies' reports and the leader's own probes."""

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
from .heartbeats import HeartbeatTracker
from .reports import Reporter, ReportTracker
from .servers import GroupServers


class Verdict(StrEnum):
    """What is wrong with a primary.

    Attributes:
        FAILED: it does not answer, or it is no longer a primary.
        STALLED: it answers reads, but its writes reach no replica.
        CUT_OFF: the leader reaches it, but several proxies do not.
    """

    FAILED = "failed"
    STALLED = "stalled"
    CUT_OFF = "cut_off"


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Result of the leader's probes of one server.

    Attributes:
        failing_since: when the first of the consecutive failed probes was sent; None
            while the server answers.
        is_refusing: whether its machine refused the connection each time.
        role: the role in its last answer.
        sent_at: when the last probe was sent.
    """

    sent_at: float
    failing_since: float | None = None
    is_refusing: bool = False
    role: Role | None = None


class PrimaryProbes:
    """Probe suspected servers without blocking the leader's loop."""

    def __init__(self, clock: Clock, servers: GroupServers, executor: Executor) -> None:
        self._clock = clock
        self._servers = servers
        self._executor = executor
        self._lock = threading.Lock()
        self._results: dict[str, ProbeResult] = {}
        self._in_flight: set[str] = set()
        # Number of resets, which tells probes of earlier leaderships.
        self._resets = 0

    def reset(self) -> None:
        """Discard all results, also of probes in flight, at the start of a leadership.

        Such a probe may have been sent long before.
        """
        with self._lock:
            self._resets += 1
            self._results.clear()

    def discard_result(self, server: str) -> None:
        """Discard the result of a server that is no longer suspected."""
        with self._lock:
            self._results.pop(server, None)

    def result(self, server: str) -> ProbeResult | None:
        """Return the result of the probes; None before the first has ended."""
        with self._lock:
            return self._results.get(server)

    def probe(self, server: BackendServer) -> None:
        """Send a probe unless one is in flight or was sent within ``PROBE_PAUSE``."""
        now = self._clock.now()
        with self._lock:
            known = self._results.get(server.name)
            is_recent = known is not None and now - known.sent_at < PROBE_PAUSE
            if server.name in self._in_flight or is_recent:
                return
            self._in_flight.add(server.name)
            resets = self._resets
        self._executor.submit(self._probe, server, resets)

    def _probe(self, server: BackendServer, resets: int) -> None:
        sent_at = self._clock.now()
        try:
            state = self._servers.status(server, PROBE_TIMEOUT)
            result = ProbeResult(sent_at, role=state.role)
        except ServerBusyError:
            result = ProbeResult(sent_at)
        except ServerCallError as error:
            result = self._failure(server.name, sent_at, error)
            log_event(
                "probe_failed",
                server=server.name,
                since=result.failing_since,
                reason=error,
            )
        finally:
            with self._lock:
                self._in_flight.discard(server.name)
        with self._lock:
            if resets == self._resets:
                self._results[server.name] = result

    def _failure(
        self, server: str, sent_at: float, error: ServerCallError
    ) -> ProbeResult:
        is_refusing = isinstance(error, ServerRefusingError)
        known = self.result(server)
        if known is None or known.failing_since is None:
            return ProbeResult(sent_at, sent_at, is_refusing)
        # Refusals and time-outs have different thresholds. A machine that stops
        # answering after refusing has not refused connections throughout.
        is_same = known.is_refusing == is_refusing
        since = known.failing_since if is_same or not is_refusing else sent_at
        return ProbeResult(sent_at, since, is_refusing and is_same)


@dataclass(frozen=True, slots=True)
class SeenLead:
    """A server that leads its group.

    Attributes:
        lead: its name and incarnation, and the term of the group.
        since: clock seconds at which it was first seen.
    """

    lead: tuple[str, int, int]
    since: float


class PrimaryFailureDetector:
    """Decide at each tick of the leader whether a primary has failed.

    Two observers must agree: a proxy whose requests fail, and the leader's own
    probes. Either of them alone may be cut off itself. The only exception: if the
    leader reaches the server and several proxies in several failure domains do
    not, their reports are enough, as the server works but not for them.
    """

    def __init__(
        self,
        clock: Clock,
        reports: ReportTracker,
        heartbeats: HeartbeatTracker,
        probes: PrimaryProbes,
    ) -> None:
        self._clock = clock
        self._reports = reports
        self._heartbeats = heartbeats
        self._probes = probes
        # The lead that was last looked at, by group.
        self._leads: dict[str, SeenLead] = {}

    def verdict(self, primary: BackendServer, term: int) -> Verdict | None:
        """Return what is wrong with a primary; None if it is healthy.

        Args:
            primary: the server that leads its group.
            term: term of the group that it leads in. A probe that was sent before
                shows nothing of this lead.
        """
        lead = primary.name, primary.incarnation, term
        known = self._leads.get(primary.group)
        if known is None or known.lead != lead:
            self._leads[primary.group] = SeenLead(lead, self._clock.now())
        if self._heartbeats.role(primary) is Role.REPLICA:
            self._probes.probe(primary)
            return self._lost_role_verdict(primary)
        reporters = self._reports.reporters(primary.name)
        is_silent = self._heartbeats.silence(primary.name) >= HEARTBEAT_SILENCE
        if not reporters and not is_silent:
            self._probes.discard_result(primary.name)
            return None
        self._probes.probe(primary)
        result = self._result(primary)
        if result is None:
            return None
        if result.failing_since is None:
            return _verdict_of_reports(reporters)
        if _agree(
            reporters,
            lambda one: one.reports_unreachable,
            minimum=MIN_REPORTING_DOMAINS,
        ):
            # Proxies in several failure domains have already waited for the failure
            # time, so a single failed probe is enough.
            return Verdict.FAILED
        threshold = REFUSING_SECONDS if result.is_refusing else SILENT_SECONDS
        since = max(result.failing_since, self._leads[primary.group].since)
        has_failed = self._clock.now() - since >= threshold
        is_confirmed = is_silent or any(one.reports_unreachable for one in reporters)
        return Verdict.FAILED if has_failed and is_confirmed else None

    def _lost_role_verdict(self, primary: BackendServer) -> Verdict | None:
        result = self._result(primary)
        if result is None or result.role is not Role.REPLICA:
            return None
        return Verdict.FAILED

    def _result(self, primary: BackendServer) -> ProbeResult | None:
        """Return the result of a probe of this lead, if there is any yet."""
        result = self._probes.result(primary.name)
        if result is None or result.sent_at < self._leads[primary.group].since:
            return None
        return result


def _verdict_of_reports(reporters: Sequence[Reporter]) -> Verdict | None:
    if _agree(
        reporters, lambda one: one.reports_stalled, minimum=MIN_REPORTING_DOMAINS
    ):
        return Verdict.STALLED
    if _agree(reporters, lambda one: one.reports_unreachable, minimum=MIN_REPORTERS):
        return Verdict.CUT_OFF
    return None


def _agree(
    reporters: Sequence[Reporter],
    predicate: Callable[[Reporter], bool],
    *,
    minimum: int,
) -> bool:
    agreeing = [one for one in reporters if predicate(one)]
    domains = {one.failure_domain for one in agreeing}
    return len(agreeing) >= minimum and len(domains) >= MIN_REPORTING_DOMAINS
