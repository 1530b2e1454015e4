"""Emulated proxies that run the production classes without threads or sockets."""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from dogwoodspool_common import BackendServer, Position
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_connections import (
    ConnectionLimitError,
    ConnectionPool,
    LeastUsed,
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
    Work,
)
from dogwoodspool_pooler.ceiling import ConnectionCeiling
from dogwoodspool_pooler.const import (
    BUSY_RETRY_SECONDS,
    CATCH_UP_SHARE,
    CONNECTION_RETRY_SECONDS,
    CONNECTION_SHARE,
    CONTROL_CONNECTIONS,
    MAX_READ_ATTEMPTS,
    NO_CONNECTION_RETRY_MS,
    NO_TURN_RETRY_MS,
    QUEUE_LIMIT,
    SHARED_QUEUE_LIMIT,
    SLOT_OVERSUBSCRIPTION,
    WAIT_SHARE,
)
from dogwoodspool_pooler.freshness import FreshnessTracker
from dogwoodspool_pooler.lag import LagTracker
from dogwoodspool_pooler.placement import rank_for_read
from dogwoodspool_pooler.queue_orders import ORDERS, QueueOrderName
from dogwoodspool_pooler.read_choice import ReadChoice, ReadChooser, ReadConditions
from dogwoodspool_pooler.read_cost import AdmissionState, LoadCost
from dogwoodspool_pooler.registry import POOL_SETTINGS
from dogwoodspool_pooler.replica_lag import ReplicaLag
from dogwoodspool_pooler.shared.const import POSITION_SECONDS, POSITION_USE_SECONDS
from dogwoodspool_pooler.turns import ConnectionTurns
from dogwoodspool_routing import ServerTable
from dogwoodspool_sharing import (
    ConnectionPart,
    Neighbour,
    Owners,
    PoolRole,
    PrimaryLocation,
    PrimaryShare,
    ProxyDirectory,
    RemoteOwners,
    ServerLimits,
)
from dogwoodspool_sharing.const import CLOSE_ROOM
from expression import Error, Ok, Result

from .const import CLOSE_CHECK_SECONDS, PROXY_UPTIME_SECONDS
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
# Forwards an attempt to the owners near its primary; returns False if there are none.
Forward = Callable[["Attempt", EndCallback], bool]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller's request.

    Attributes:
        work: slot seconds that each statement takes.
        statements: number of statements; more than one for a transaction.
        account: client account that it belongs to; empty for none.
        at_primary: whether another proxy forwarded it to be served at the primary.
        hop: one-way latency in seconds between the proxy that holds its connection and
            the one that sends its statements.
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
    at_primary: bool = False
    hop: float = 0.0

    @property
    def needs_primary(self) -> bool:
        """Return whether only the primary can serve it, whatever the replicas have."""
        changes = self.writes or (self.is_transaction and not self.is_read_only)
        return changes or self.kind.max_age_ms is None

    @property
    def is_transaction(self) -> bool:
        """Return whether its statements are one transaction."""
        return self.statements > 1

    @property
    def deadline(self) -> float:
        """Time after which the caller no longer uses an answer."""
        return self.arrived_at + self.kind.deadline_ms / MILLISECONDS

    @property
    def target(self) -> float:
        """Time until which an answer is in time."""
        target = min(self.kind.target_ms, self.kind.deadline_ms)
        return self.arrived_at + target / MILLISECONDS

    @property
    def work_request(self) -> Work:
        """What an owner of pools orders the attempt by."""
        return Work(
            priority=self.kind.priority,
            target=self.target,
            deadline=self.deadline,
            kind=self.kind.name,
            account=self.account,
        )

    @property
    def resend_until(self) -> float:
        """Time until which a statement is resent after a full server refused it."""
        if self.is_transaction:
            return self.deadline
        return self.start_by if self.writes else self.arrived_at

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
    turns: ConnectionTurns

    def apply_ceiling(self) -> None:
        """Apply the current ceiling to the pool and the queue."""
        limit = self.ceiling.value()
        if limit != self.pool.limit:
            close_room = CLOSE_ROOM if self.ceiling.is_part else 0
            self.pool.set_limit(limit, close_room=close_room)
            self.queue.set_max_in_flight(self.pool.caller_limit)


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


class _ProxyTimeline:
    """Run the events of one proxy while it is up."""

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self.clock = timeline.clock
        self.is_up = True

    def now(self) -> float:
        return self._timeline.now()

    def after(self, seconds: float, event: Callable[[], None]) -> None:
        self._timeline.after(seconds, partial(self._run, event))

    def _run(self, event: Callable[[], None]) -> None:
        if self.is_up:
            event()


class _Connector:
    def __init__(
        self,
        server: Server,
        ceiling: ConnectionCeiling,
        turns: ConnectionTurns,
        opened: list[Connection],
    ) -> None:
        self._server = server
        self._ceiling = ceiling
        self._turns = turns
        self._opened = opened

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> Connection:
        connection = self._server.connect()
        self._opened.append(connection)
        self._ceiling.record_connection_opened()
        self._turns.record_connection_opened()
        return connection


class Proxy:
    """One proxy with its own state, pools and queues.

    Args:
        distance: one-way latency in seconds to a server of another failure domain.
        connection_share: greatest part of a server's connections that it may hold.
        forward: forwards reads that no replica serves.
        has_parts: whether it holds a part that depends on its role instead.
        has_rated_accounts: see ``Variant``.
        rng: random numbers for its turns at servers.
        started_at: clock seconds at which it started.
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
        order: QueueOrderName = QueueOrderName.ARRIVAL,
        forward: Forward = lambda _attempt, _on_end: False,
        has_parts: bool = True,
        has_rated_accounts: bool = True,
        rng: random.Random | None = None,
        rules: ReadRules | None = None,
        stats: ServerStats | None = None,
        uses_primary_owners: bool = False,
        started_at: float = -PROXY_UPTIME_SECONDS,
    ) -> None:
        self._rules = rules or ReadRules()
        self._stats = stats or ServerStats()
        self.neighbour = neighbour
        self.failure_domain = failure_domain
        self.directory = ProxyDirectory(
            neighbour,
            failure_domains,
            timeline.clock,
            uses_primary_owners=uses_primary_owners,
        )
        self.remote = RemoteOwners(
            neighbour.name, failure_domain, self.directory, timeline.clock
        )
        self._forward = forward
        self._timeline = _ProxyTimeline(timeline)
        self._started_at = started_at
        self._opened: list[Connection] = []
        self._distance = distance
        self._pool_settings = pool_settings
        self._connection_share = connection_share
        self._order = order
        self._has_parts = has_parts
        self._has_rated_accounts = has_rated_accounts
        self._rng = rng or random.Random(0)
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

    @property
    def is_up(self) -> bool:
        """Return whether it runs."""
        return self._timeline.is_up

    def role(self, group: str) -> PoolRole | None:
        """Return the role of this proxy for a group's pools."""
        part = self.directory.connection_part(group, 1)
        return None if part is None else part.role

    def stop(self) -> None:
        """Stop at once, without closing connections."""
        self._timeline.is_up = False

    def mark_connections(self) -> None:
        """Record that the servers count connections of a process that has ended."""
        for connection in self._opened:
            connection.mark_dead()

    def drop_connections(self) -> None:
        """Have the servers drop the connections of this proxy, which has stopped."""
        for connection in self._opened:
            connection.close()

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

    def adopt_owners(self, owners: Mapping[str, Owners]) -> None:
        """Record the owners in the failure domains of the primaries."""
        primaries = {
            group: PrimaryLocation(one.server_info.name, one.server_info.failure_domain)
            for group, one in self._primaries.items()
        }
        self.remote.set_primaries(primaries)
        for group, primary in primaries.items():
            # Only the owners of groups in use are recorded.
            self.remote.owners(group)
            if primary.failure_domain != self.failure_domain and group in owners:
                responder = owners[group].in_use[0]
                domain = primary.failure_domain
                self.remote.adopt(domain, responder, "", owners, None)

    def newest_position(self, group: str) -> tuple[float, Position] | None:
        """Return the newest position that it knows of a primary, and its time."""
        return self._freshness.newest(group)

    def outdated_groups(self) -> list[str]:
        """Return the groups whose primary's position is needed and not known."""
        now = self._timeline.now()
        return self._freshness.outdated(
            wanted_since=now - POSITION_USE_SECONDS,
            newest_before=now - POSITION_SECONDS,
        )

    def record_position(self, group: str, position: Position, asked_at: float) -> None:
        """Record a position that a primary had reached."""
        self._freshness.record(group, position, asked_at)

    def close_expired(self) -> None:
        """Close connections whose idle time has expired."""
        if not self.is_up:
            return
        for backend in self._backends.values():
            self._apply_part(backend)
            if backend.turns.wait() > 0:
                backend.pool.close_idle()
            else:
                backend.pool.close_expired()

    def _min_position(self, attempt: Attempt) -> Position | None:
        age_ms = attempt.kind.max_age_ms
        if attempt.needs_primary or attempt.at_primary or age_ms is None:
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
            attempt.target - self._timeline.now(),
        )
        return self._chooser.choose(servers, conditions)

    def _serve_on_primary(self, attempt: Attempt, on_end: EndCallback) -> None:
        primary = self._primaries[attempt.group]
        asked_at = self._timeline.now()

        def on_forwarded(result: Result[None, Refused]) -> None:
            if result.is_ok():
                self._freshness.record(attempt.group, primary.position, asked_at)
            on_end(result)

        is_read = not attempt.needs_primary and not attempt.at_primary
        if is_read and self._forward(attempt, on_forwarded):
            return

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
            return
        if choice.wait:
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
        server = self._servers[name]
        asked_at = self._timeline.now()

        def on_forwarded(result: Result[None, Refused]) -> None:
            if result.is_ok():
                position = server.position
                self._freshness.record(attempt.group, position, asked_at)
                on_end(result)
                return
            excluded.add(name)
            self._serve_read(attempt, min_position, excluded, on_end, number + 1)

        if server.is_primary and self._forward(attempt, on_forwarded):
            return

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

        queue = backend.queue
        if self._is_ordered_by_target(attempt.group):
            admission = queue.request_work(attempt.work_request, on_ticket_changed)
        else:
            admission = queue.request_admission(
                attempt.deadline,
                attempt.kind.priority,
                on_ticket_changed,
                wait_until=attempt.start_by,
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
        wait = backend.turns.wait()
        if wait > 0 and self._timeline.now() + wait > execution.start_by:
            backend.queue.end(ticket, 0.0, AdmissionOutcome.NO_WORK)
            no_turn = Refused("no turn", NO_TURN_RETRY_MS / MILLISECONDS)
            execution.on_end(Error(no_turn))
            return
        if wait > 0:
            self._timeline.after(wait, partial(self._connect, execution, ticket))
            return
        try:
            connection = backend.pool.acquire(
                self._timeline.now(), account=execution.attempt.account
            )
        except PoolTimeoutError:
            retry_at = self._timeline.now() + CLOSE_CHECK_SECONDS
            if backend.pool.closing and retry_at < execution.start_by:
                retry = partial(self._connect, execution, ticket)
                self._timeline.after(CLOSE_CHECK_SECONDS, retry)
                return
            backend.queue.end(ticket, 0.0, AdmissionOutcome.NO_WORK)
            execution.on_end(Error(refused))
        except ConnectionLimitError:
            backend.ceiling.record_connection_refused(backend.pool.open_count)
            backend.turns.record_connection_refused()
            backend.apply_ceiling()
            remaining = execution.start_by - self._timeline.now()
            if remaining <= 0 or execution.has_alternatives:
                backend.queue.end(ticket, 0.0, AdmissionOutcome.NO_WORK)
                execution.on_end(Error(refused))
                return
            pause = min(remaining, CONNECTION_RETRY_SECONDS)
            self._timeline.after(pause, partial(self._connect, execution, ticket))
        else:
            backend.apply_ceiling()
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
        if ticket is None and self._is_ordered_by_target(execution.attempt.group):
            queue = execution.backend.queue
            ticket = queue.begin_continuation(execution.attempt.work_request)
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
            following = partial(self._send, execution, connection, remaining - 1)
            self._timeline.after(2 * execution.attempt.hop, following)
        elif answer is Answer.BUSY and retry_at < execution.attempt.resend_until:
            retry = partial(self._send, execution, connection, remaining)
            self._timeline.after(BUSY_RETRY_SECONDS, retry)
        else:
            turns = execution.backend.turns
            turns.record_use()
            execution.backend.pool.release(connection, reuse=turns.wait() <= 0)
            execution.on_end(Ok(answer))

    def _server_busy(self, server: Server) -> Refused:
        backend = self._backends[server.server_info.name]
        return Refused(
            "server busy", backend.queue.next_retry_after_ms() / MILLISECONDS
        )

    def _is_ordered_by_target(self, group: str) -> bool:
        return self._order is not QueueOrderName.ARRIVAL and self._is_shared(group)

    def _is_shared(self, group: str) -> bool:
        return self.directory.owner_share(group) is not None

    def _get_backend(self, server: Server) -> Backend:
        name = server.server_info.name
        found = self._backends.get(name)
        if found is None:
            found = self._build_backend(server)
            self._backends[name] = found
        return found

    def _build_backend(self, server: Server) -> Backend:
        server_info, clock = server.server_info, self._timeline.clock
        part = self._part(server)
        ceiling = ConnectionCeiling(
            clock,
            int(server_info.connections * self._connection_share)
            if part is None
            else part.connections,
            self._started_at,
            is_part=part is not None,
        )
        turn_share = 1.0 if part is None else part.turn_share
        turns = ConnectionTurns(clock, turn_share, self._rng)
        first = ceiling.value()
        pool = ConnectionPool(
            server_info,
            _Connector(server, ceiling, turns, self._opened),
            clock,
            self._pool_settings,
            0,
        )
        if self._has_rated_accounts:
            pool.set_eviction(LeastUsed(clock))
        queue = StatementQueue(clock, server_info.slots, first, QUEUE_LIMIT)
        order = ORDERS[self._order]()
        if order is not None and self._is_shared(server_info.group):
            queue.set_queue_limit(SHARED_QUEUE_LIMIT)
            queue.set_order(order)
            queue.set_slots(self._slots(server))
        backend = Backend(server, pool, queue, ceiling, turns)
        backend.apply_ceiling()
        return backend

    def _apply_part(self, backend: Backend) -> None:
        """Apply the part that follows from the present role of this proxy."""
        part = self._part(backend.server)
        if part is not None:
            settles = not backend.turns.is_always
            backend.ceiling.set_highest(part.connections, is_part=True, settles=settles)
            backend.turns.set_share(part.turn_share)
            backend.apply_ceiling()

    def _part(self, server: Server) -> ConnectionPart | None:
        if not self._has_parts:
            return None
        info = server.server_info
        available = max(1, info.connections - CONTROL_CONNECTIONS)
        part = self.directory.connection_part(info.group, available)
        primary = self._primary_share(server)
        if part is None or primary is None or part.role is not PoolRole.OWNER:
            return part
        return replace(part, connections=primary.connections)

    def _slots(self, server: Server) -> int:
        """Return the statements that it may have in flight; see ``BackendRegistry``."""
        primary = self._primary_share(server)
        if primary is not None:
            return primary.slots
        info = server.server_info
        share = self.directory.owner_share(info.group)
        is_near = info.failure_domain == self.failure_domain
        if share is None or (is_near and not server.is_primary):
            return info.slots
        return min(info.slots, math.ceil(SLOT_OVERSUBSCRIPTION * info.slots * share))

    def _primary_share(self, server: Server) -> PrimaryShare | None:
        """Return its share of a primary that few owners serve for all proxies."""
        server_info = server.server_info
        is_near = server_info.failure_domain == self.failure_domain
        group = server_info.group
        if not self.remote.is_primary(group, server_info.name):
            return None
        if not is_near and not self.remote.is_elsewhere(group):
            return None
        connections = server_info.connections - CONTROL_CONNECTIONS
        limits = ServerLimits(server_info.slots, connections)
        return self.directory.primary_share(group, limits, is_near=is_near)


def _to_refused(refusal: Refusal) -> Refused:
    retry_after = refusal.retry_after_ms / MILLISECONDS
    return Refused(f"admission {refusal.reason}", retry_after)
