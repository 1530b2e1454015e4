"""Emulated proxies that run the production classes without threads or sockets."""

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from dogwoodspool_common import Position
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_connections import (
    ConnectionLimitError,
    PoolSettings,
    PoolTimeoutError,
)
from dogwoodspool_limits import (
    AdmissionOutcome,
    Refusal,
    Ticket,
    TicketState,
)
from dogwoodspool_pooler.const import (
    BUSY_RETRY_SECONDS,
    CONNECTION_RETRY_SECONDS,
    CONNECTION_SHARE,
    MAX_READ_ATTEMPTS,
    NO_CONNECTION_RETRY_MS,
    NO_TURN_RETRY_MS,
)
from dogwoodspool_pooler.freshness import FreshnessTracker
from dogwoodspool_pooler.lag import LagTracker
from dogwoodspool_pooler.placement import rank_for_read
from dogwoodspool_pooler.queue_orders import QueueOrderName
from dogwoodspool_pooler.read_choice import ReadChoice, ReadChooser, ReadConditions
from dogwoodspool_pooler.read_cost import LoadCost
from dogwoodspool_pooler.registry import POOL_SETTINGS
from dogwoodspool_pooler.replica_lag import ReplicaLag
from dogwoodspool_pooler.shared.const import POSITION_SECONDS, POSITION_USE_SECONDS
from dogwoodspool_routing import ServerTable
from dogwoodspool_sharing import (
    Neighbour,
    Owners,
    PoolRole,
    PrimaryLocation,
    ProxyDirectory,
    RemoteOwners,
)
from expression import Error, Ok, Result

from .attempts import Attempt, EndCallback, Forward, Refused
from .backends import Backend, BackendOptions, Backends
from .const import CLOSE_CHECK_SECONDS, PROXY_UPTIME_SECONDS
from .models import Placement
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
        self._distance = distance
        self._order = order
        options = BackendOptions(
            pool_settings,
            connection_share,
            order,
            has_parts,
            has_rated_accounts,
            rng or random.Random(0),
            started_at,
        )
        self._backends = Backends(
            failure_domain, self.directory, self.remote, options, timeline.clock
        )
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
            LoadCost(self.directory.owner_share, self._backends.admission_state),
            self._lag_tracker,
            self._replica_lag,
            timeline.clock,
            self._rules.random_source,
        )

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
        for connection in self._backends.opened:
            connection.mark_dead()

    def drop_connections(self) -> None:
        """Have the servers drop the connections of this proxy, which has stopped."""
        for connection in self._backends.opened:
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
        for backend in self._backends.all():
            self._backends.apply_part(backend)
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
        backend = self._backends.get(server)
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
        backend = self._backends.get(server)
        return Refused(
            "server busy", backend.queue.next_retry_after_ms() / MILLISECONDS
        )

    def _is_ordered_by_target(self, group: str) -> bool:
        return self._order is not QueueOrderName.ARRIVAL and self._backends.is_shared(
            group
        )


def _to_refused(refusal: Refusal) -> Refused:
    retry_after = refusal.retry_after_ms / MILLISECONDS
    return Refused(f"admission {refusal.reason}", retry_after)
