"""Emulated proxies that run the production classes without threads or sockets."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_connections import (
    ConnectionLimitError,
    ConnectionPool,
    PoolSettings,
    PoolTimeoutError,
)
from dogwoodspool_limits import (
    AdmissionOutcome,
    Priority,
    Refusal,
    StatementQueue,
    Ticket,
    TicketState,
)
from dogwoodspool_pooler.ceiling import ConnectionCeiling
from dogwoodspool_pooler.const import (
    BUSY_RETRY_SECONDS,
    CATCH_UP_SHARE,
    CONNECTION_RETRY_SECONDS,
    CONNECTION_SHARE,
    MAX_READ_ATTEMPTS,
    NO_CONNECTION_RETRY_MS,
    QUEUE_LIMIT,
    WAIT_SHARE,
)
from dogwoodspool_pooler.freshness import FreshnessTracker
from dogwoodspool_pooler.lag import LagTracker
from dogwoodspool_pooler.placement import rank_for_read
from dogwoodspool_pooler.read_choice import ReadChoice, ReadChooser, ReadConditions
from dogwoodspool_pooler.read_cost import AdmissionState, LoadCost
from dogwoodspool_pooler.registry import POOL_SETTINGS
from dogwoodspool_pooler.replica_lag import ReplicaLag
from dogwoodspool_routing import ServerTable
from dogwoodspool_sharing import Neighbour, ProxyDirectory
from expression import Error, Ok, Result

from .const import PROXY_UPTIME_SECONDS
from .models import Placement, Requests
from .outcomes import ServerStats
from .read_rules import ReadRules
from .servers import Answer, Connection, Server
from .timeline import Timeline

OUTCOMES: Final = {
    Answer.OK: AdmissionOutcome.ANSWERED,
    Answer.BUSY: AdmissionOutcome.OVERLOADED,
    Answer.BEHIND: AdmissionOutcome.NO_WORK,
    Answer.NONE: AdmissionOutcome.UNANSWERED,
}


@dataclass(frozen=True, slots=True)
class Refused:
    """A refused statement or request.

    Attributes:
        reason: the reason, which the results count.
        retry_after: seconds after which the caller should retry.
    """

    reason: str
    retry_after: float


# Called with the result of an attempt.
EndCallback = Callable[[Result[None, Refused]], None]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller's request.

    Attributes:
        work: slot seconds that each statement takes.
        statements: number of statements; more than one for a transaction.
        account: client account that it belongs to; empty for none.
        is_read_only: whether it is a read-only transaction.
        own_write_at: time of a write that it must reflect; None for none.
        waited: seconds that it waited for a replica.
    """

    kind: Requests
    group: str
    writes: bool
    work: float
    arrived_at: float
    statements: int = 1
    account: str = ""
    is_read_only: bool = False
    own_write_at: float | None = None
    waited: float = 0.0

    @property
    def is_transaction(self) -> bool:
        """Return whether its statements are one transaction."""
        return self.statements > 1

    @property
    def deadline(self) -> float:
        """Time after which the caller no longer uses an answer."""
        return self.arrived_at + self.kind.deadline_ms / MILLISECONDS

    @property
    def resend_until(self) -> float:
        """Time until which a statement is resent after a full server refused it."""
        if self.is_transaction:
            return self.deadline
        return self.start_by if self.writes else self.arrived_at

    @property
    def target_at(self) -> float:
        """Time after which an answer is late."""
        target = min(self.kind.target_ms, self.kind.deadline_ms) / MILLISECONDS
        return self.arrived_at + target

    @property
    def start_by(self) -> float:
        """Time until which it may wait for admission."""
        target = min(self.kind.target_ms, self.kind.deadline_ms) / MILLISECONDS
        return self.arrived_at + self.waited + target * WAIT_SHARE

    @property
    def max_wait(self) -> float:
        """Seconds from its arrival for which it may wait for a replica."""
        target = min(self.kind.target_ms, self.kind.deadline_ms) / MILLISECONDS
        return target * CATCH_UP_SHARE


@dataclass(frozen=True, slots=True)
class Backend:
    """One server, with the pool and the limits of a proxy's work on it."""

    server: Server
    pool: ConnectionPool[Connection]
    queue: StatementQueue
    ceiling: ConnectionCeiling

    def apply_ceiling(self) -> None:
        """Apply the current ceiling to the pool and the queue."""
        limit = self.ceiling.value()
        if limit != self.pool.limit:
            self.pool.set_limit(limit)
            self.queue.set_max_in_flight(limit)


@dataclass(frozen=True, slots=True)
class _Execution:
    """The execution of an attempt's statements on one server.

    Attributes:
        min_position: position that the server must have; None for any.
        start_by: time until which it may wait for admission.
        has_alternatives: whether another server may serve it as well.
    """

    backend: Backend
    attempt: Attempt
    min_position: Position | None
    start_by: float
    has_alternatives: bool
    on_end: Callable[[Result[Answer, Refused]], None]


class _Connector:
    def __init__(self, server: Server) -> None:
        self._server = server

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> Connection:
        return self._server.connect()


class Proxy:
    """One proxy with its own state, pools and queues.

    Args:
        distance: one-way latency in seconds to a server of another failure domain.
        connection_share: greatest part of a server's connections that it may hold.
    """

    def __init__(
        self,
        neighbour: Neighbour,
        failure_domain: str,
        failure_domains: int,
        servers: list[Server],
        timeline: Timeline,
        *,
        distance: float,
        pool_settings: PoolSettings = POOL_SETTINGS,
        connection_share: float = CONNECTION_SHARE,
        rules: ReadRules | None = None,
        stats: ServerStats | None = None,
    ) -> None:
        self._rules = rules or ReadRules()
        self._stats = stats or ServerStats()
        self.neighbour = neighbour
        self.failure_domain = failure_domain
        self.directory = ProxyDirectory(neighbour, failure_domains, timeline.clock)
        self._timeline = timeline
        self._distance = distance
        self._pool_settings = pool_settings
        self._connection_share = connection_share
        self._servers = {one.server_info.name: one for one in servers}
        self._primaries = {
            one.server_info.group: one for one in servers if one.is_primary
        }
        self._table = ServerTable(timeline.clock)
        self._table.adopt_committed(one.server_info for one in servers)
        self._freshness = FreshnessTracker(timeline.clock)
        self._lag_tracker = LagTracker(timeline.clock)
        self._replica_lag = ReplicaLag(timeline.clock)
        self._chooser = ReadChooser(
            LoadCost(self.directory.owner_share, self._admission_state),
            self._lag_tracker,
            self._replica_lag,
            timeline.clock,
            self._rules.random_source,
        )
        self._backends: dict[str, Backend] = {}

    def serve(self, attempt: Attempt, on_end: EndCallback) -> None:
        """Serve one attempt on the pools of this proxy."""
        min_position = self._min_position(attempt)
        if min_position is None:
            self._serve_on_primary(attempt, on_end)
        else:
            behind: set[str] = set()
            if not self._is_by_load(attempt.group):
                behind = self._lag_tracker.lagging(min_position)
            self._serve_read(attempt, min_position, behind, on_end)

    def close_expired(self) -> None:
        """Close connections whose idle time has expired."""
        for backend in self._backends.values():
            backend.pool.close_expired()

    def _min_position(self, attempt: Attempt) -> Position | None:
        age_ms = attempt.kind.max_age_ms
        needs_primary = attempt.is_transaction and not attempt.is_read_only
        if attempt.writes or needs_primary or age_ms is None:
            return None
        recent = self._freshness.min_position(attempt.group, age_ms / MILLISECONDS)
        if recent is None or attempt.own_write_at is None:
            return recent
        own = self._primaries[attempt.group].position_at(attempt.own_write_at)
        return max(recent, own)

    def _is_by_load(self, group: str) -> bool:
        is_standing = self._rules.placement is Placement.STANDING
        return not is_standing and self.directory.owner_share(group) is not None

    def _admission_state(self, server: str) -> AdmissionState | None:
        backend = self._backends.get(server)
        if backend is None:
            return None
        queue = backend.queue
        wait = queue.estimated_wait(Priority.READ)
        return AdmissionState(queue.limit, queue.waiting, wait)

    def _choose(
        self, attempt: Attempt, min_position: Position, excluded: set[str]
    ) -> ReadChoice | None:
        """Choose a server for a read by the rule of this proxy."""
        servers = self._table.servers(attempt.group)
        primary = self._primaries[attempt.group].server_info.name
        if not self._is_by_load(attempt.group):
            ranked = rank_for_read(
                servers,
                primary=primary,
                failure_domain=self.failure_domain,
                excluded=excluded,
                cost=self._rules.standing_cost,
            )
            return ReadChoice(ranked[0].server) if ranked else None
        remaining = attempt.arrived_at + attempt.max_wait - self._timeline.now()
        if attempt.waited or self._rules.placement is Placement.LOAD:
            remaining = 0.0
        conditions = ReadConditions(
            primary,
            self.failure_domain,
            excluded,
            min_position,
            max(0.0, remaining),
            attempt.target_at - self._timeline.now(),
        )
        return self._chooser.choose(servers, conditions)

    def _serve_on_primary(self, attempt: Attempt, on_end: EndCallback) -> None:
        primary = self._primaries[attempt.group]
        asked_at = self._timeline.now()

        def on_result(result: Result[Answer, Refused]) -> None:
            if result.is_error():
                on_end(Error(result.error))
            elif result.ok is Answer.OK:
                if attempt.writes:
                    primary.commit()
                position = primary.position
                self._freshness.record(attempt.group, position, asked_at)
                self._replica_lag.record_primary(attempt.group, position, asked_at)
                on_end(Ok(None))
            else:
                on_end(Error(self._server_busy(primary)))

        self._run_attempt(primary, attempt, None, on_result, has_alternatives=False)

    def _serve_read(
        self,
        attempt: Attempt,
        min_position: Position,
        excluded: set[str],
        on_end: EndCallback,
        number: int = 0,
    ) -> None:
        choice = self._choose(attempt, min_position, excluded)
        if choice is None or number >= MAX_READ_ATTEMPTS:
            self._serve_on_primary(attempt, on_end)
        elif choice.wait:
            self._stats.waits += 1
            after = replace(attempt, waited=choice.wait)
            run = partial(
                self._run_read, after, min_position, choice, excluded, on_end, number
            )
            self._timeline.after(choice.wait, run)
        else:
            self._run_read(attempt, min_position, choice, excluded, on_end, number)

    def _run_read(
        self,
        attempt: Attempt,
        min_position: Position,
        choice: ReadChoice,
        excluded: set[str],
        on_end: EndCallback,
        number: int,
    ) -> None:
        name = choice.server.name

        def on_result(result: Result[Answer, Refused]) -> None:
            if choice.wait and result.is_ok():
                was_enough = result.ok is not Answer.BEHIND
                self._stats.failed_waits += not was_enough
                self._chooser.record_wait(name, min_position, was_enough=was_enough)
            if result.is_ok() and result.ok is Answer.OK:
                on_end(Ok(None))
                return
            excluded.add(name)
            self._serve_read(attempt, min_position, excluded, on_end, number + 1)

        self._run_attempt(
            self._servers[name], attempt, min_position, on_result, has_alternatives=True
        )

    def _run_attempt(
        self,
        server: Server,
        attempt: Attempt,
        min_position: Position | None,
        on_end: Callable[[Result[Answer, Refused]], None],
        *,
        has_alternatives: bool,
    ) -> None:
        """Wait for admission and a connection, and run the statements."""
        backend = self._get_backend(server)
        backend.apply_ceiling()
        start_by = max(attempt.start_by, self._timeline.now())
        execution = _Execution(
            backend, attempt, min_position, start_by, has_alternatives, on_end
        )

        def on_ticket_changed() -> None:
            if ticket.state is TicketState.ADMITTED:
                self._timeline.after(0.0, partial(self._connect, execution, ticket))
            elif ticket.state is TicketState.DISPLACED:
                self._refuse_waiting(execution, ticket)

        admission = backend.queue.request_admission(
            start_by, attempt.kind.priority, on_ticket_changed
        )
        if admission.is_error():
            on_end(Error(_to_refused(admission.error)))
            return
        ticket = admission.ok
        if ticket.state is TicketState.ADMITTED:
            self._connect(execution, ticket)
            return

        def on_wait_timeout() -> None:
            if ticket.state is TicketState.WAITING:
                self._refuse_waiting(execution, ticket)

        self._timeline.after(
            ticket.latest_start - self._timeline.now(), on_wait_timeout
        )

    def _refuse_waiting(self, execution: _Execution, ticket: Ticket) -> None:
        execution.on_end(
            Error(_to_refused(execution.backend.queue.refuse_ticket(ticket)))
        )

    def _connect(self, execution: _Execution, ticket: Ticket) -> None:
        backend = execution.backend
        refused = Refused("no connection", NO_CONNECTION_RETRY_MS / MILLISECONDS)
        try:
            connection = backend.pool.acquire(
                self._timeline.now(), account=execution.attempt.account
            )
        except PoolTimeoutError:
            backend.queue.end(ticket, 0.0, AdmissionOutcome.NO_WORK)
            execution.on_end(Error(refused))
        except ConnectionLimitError:
            backend.ceiling.record_connection_refused(backend.pool.open_count)
            backend.apply_ceiling()
            remaining = execution.start_by - self._timeline.now()
            if remaining <= 0 or execution.has_alternatives:
                backend.queue.end(ticket, 0.0, AdmissionOutcome.NO_WORK)
                execution.on_end(Error(refused))
                return
            pause = min(remaining, CONNECTION_RETRY_SECONDS)
            self._timeline.after(pause, partial(self._connect, execution, ticket))
        else:
            self._send(execution, connection, execution.attempt.statements - 1, ticket)

    def _send(
        self,
        execution: _Execution,
        connection: Connection,
        remaining: int,
        ticket: Ticket | None = None,
    ) -> None:
        """Send a statement; the other statements of its transaction follow.

        Args:
            execution: the attempt and its server.
            connection: the connection, which is held until the last statement.
            remaining: number of statements to send after this one.
            ticket: the admission, which ends with the answer to the first statement.
        """
        server = execution.backend.server
        name = server.server_info.name
        began_at = self._timeline.now()
        self._table.begin(name)

        def on_answer(answer: Answer) -> None:
            elapsed = self._timeline.now() - began_at
            worked = elapsed if answer is Answer.OK else None
            self._table.end(name, worked, is_answered=True)
            self._record_replica_lag(execution, answer)
            if ticket is not None:
                execution.backend.queue.end(ticket, elapsed, OUTCOMES[answer])
            self._continue(execution, connection, remaining, answer)

        is_same_domain = server.server_info.failure_domain == self.failure_domain
        latency = 0.0 if is_same_domain else self._distance
        self._stats.crossings += not is_same_domain

        def return_answer(answer: Answer) -> None:
            self._timeline.after(latency, partial(on_answer, answer))

        self._timeline.after(
            latency,
            partial(
                server.run,
                connection,
                execution.attempt.work,
                execution.min_position,
                return_answer,
            ),
        )

    def _record_replica_lag(self, execution: _Execution, answer: Answer) -> None:
        name = execution.backend.server.server_info.name
        if answer is Answer.BEHIND and execution.min_position is not None:
            self._lag_tracker.record_lagging(name, execution.min_position)
        elif execution.min_position is not None:
            self._lag_tracker.record_caught_up(name)
        if execution.min_position is not None:
            server = execution.backend.server
            self._replica_lag.record_replica(server.server_info, server.position)

    def _continue(
        self,
        execution: _Execution,
        connection: Connection,
        remaining: int,
        answer: Answer,
    ) -> None:
        """Send the next statement, resend this one, or end the execution."""
        retry_at = self._timeline.now() + BUSY_RETRY_SECONDS
        if answer is Answer.OK and remaining:
            self._send(execution, connection, remaining - 1)
        elif answer is Answer.BUSY and retry_at < execution.attempt.resend_until:
            retry = partial(self._send, execution, connection, remaining)
            self._timeline.after(BUSY_RETRY_SECONDS, retry)
        else:
            execution.backend.pool.release(connection, reuse=True)
            execution.on_end(Ok(answer))

    def _server_busy(self, server: Server) -> Refused:
        backend = self._backends[server.server_info.name]
        return Refused(
            "server busy", backend.queue.next_retry_after_ms() / MILLISECONDS
        )

    def _get_backend(self, server: Server) -> Backend:
        name = server.server_info.name
        found = self._backends.get(name)
        if found is None:
            found = self._build_backend(server)
            self._backends[name] = found
        return found

    def _build_backend(self, server: Server) -> Backend:
        server_info, clock = server.server_info, self._timeline.clock
        highest = int(server_info.connections * self._connection_share)
        ceiling = ConnectionCeiling(clock, highest, -PROXY_UPTIME_SECONDS)
        first = ceiling.value()
        pool = ConnectionPool(
            server_info, _Connector(server), clock, self._pool_settings, first
        )
        queue = StatementQueue(clock, server_info.slots, first, QUEUE_LIMIT)
        return Backend(server, pool, queue, ceiling)


def _to_refused(refusal: Refusal) -> Refused:
    retry_after = refusal.retry_after_ms / MILLISECONDS
    return Refused(f"admission {refusal.reason}", retry_after)
