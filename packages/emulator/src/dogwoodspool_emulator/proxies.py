"""Proxies that decide with the product's own objects, without threads or sockets."""

from collections.abc import Callable
from dataclasses import dataclass
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
    Refusal,
    StatementQueue,
    Ticket,
    TicketState,
)
from dogwoodspool_pooler.ceiling import ConnectionCeiling
from dogwoodspool_pooler.const import (
    BUSY_RETRY_SECONDS,
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
from dogwoodspool_pooler.registry import POOL_SETTINGS
from dogwoodspool_routing import ServerTable
from dogwoodspool_sharing import Neighbour, ProxyDirectory
from expression import Error, Ok, Result

from .const import UP_FOR_SECONDS
from .models import Requests
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
    """A statement that did not run.

    Attributes:
        retry_after: seconds until its caller shall come back.
    """

    reason: str
    retry_after: float


# How a statement ends.
Ended = Callable[[Result[None, Refused]], None]


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller's request.

    Attributes:
        work: seconds of a slot that each statement takes.
        statements: one, or those of a transaction.
    """

    kind: Requests
    group: str
    writes: bool
    work: float
    arrived_at: float
    statements: int = 1

    @property
    def is_transaction(self) -> bool:
        """Tell whether its statements are one transaction."""
        return self.statements > 1

    @property
    def deadline(self) -> float:
        """When an answer is of no more use."""
        return self.arrived_at + self.kind.deadline_ms / MILLISECONDS

    @property
    def sent_again_until(self) -> float:
        """When a statement that a full server refused is sent no more."""
        if self.is_transaction:
            return self.deadline
        return self.start_by if self.writes else self.arrived_at

    @property
    def start_by(self) -> float:
        """When it may wait no longer for a place."""
        target = min(self.kind.target_ms, self.kind.deadline_ms) / MILLISECONDS
        return self.arrived_at + target * WAIT_SHARE


@dataclass(frozen=True, slots=True)
class Backend:
    """One server with what bounds a proxy's work on it."""

    server: Server
    pool: ConnectionPool[Connection]
    queue: StatementQueue
    ceiling: ConnectionCeiling

    def adjust(self) -> None:
        """Put the present ceiling in force."""
        limit = self.ceiling.value()
        if limit != self.pool.limit:
            self.pool.set_limit(limit)
            self.queue.set_max_in_flight(limit)


@dataclass(frozen=True, slots=True)
class _Run:
    """A statement on its way to one server.

    Attributes:
        floor: position that the server must have; None for any.
        start_by: when it may wait no longer for a place.
        has_alternatives: another server may serve it as well.
    """

    backend: Backend
    attempt: Attempt
    floor: Position | None
    start_by: float
    has_alternatives: bool
    ended: Callable[[Result[Answer, Refused]], None]


class _Connector:
    def __init__(self, server: Server) -> None:
        self._server = server

    def connect(self, server: BackendServer, deadline: float) -> Connection:
        return self._server.connect()


class Proxy:
    """One proxy: its own knowledge, pools and queues.

    Args:
        distance: seconds of one way to a server of another failure domain.
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
    ) -> None:
        self.neighbour = neighbour
        self.failure_domain = failure_domain
        self.directory = ProxyDirectory(neighbour, failure_domains, timeline.clock)
        self._timeline = timeline
        self._distance = distance
        self._pool_settings = pool_settings
        self._servers = {one.described.name: one for one in servers}
        self._primaries = {
            one.described.group: one for one in servers if one.is_primary
        }
        self._table = ServerTable(timeline.clock)
        self._table.adopt_committed(one.described for one in servers)
        self._freshness = FreshnessTracker(timeline.clock)
        self._behind = LagTracker(timeline.clock)
        self._backends: dict[str, Backend] = {}

    def serve(self, attempt: Attempt, ended: Ended) -> None:
        """Serve one attempt on the pools of this proxy."""
        floor = self._floor(attempt)
        if floor is None:
            self._serve_on_primary(attempt, ended)
        else:
            behind = self._behind.lagging(floor)
            self._serve_read(attempt, floor, behind, ended)

    def close_expired(self) -> None:
        """Close connections that have idled for too long."""
        for backend in self._backends.values():
            backend.pool.close_expired()

    def _floor(self, attempt: Attempt) -> Position | None:
        age_ms = attempt.kind.max_age_ms
        if attempt.writes or attempt.is_transaction or age_ms is None:
            return None
        return self._freshness.min_position(attempt.group, age_ms / MILLISECONDS)

    def _serve_on_primary(self, attempt: Attempt, ended: Ended) -> None:
        primary = self._primaries[attempt.group]
        asked_at = self._timeline.now()

        def take(result: Result[Answer, Refused]) -> None:
            if result.is_error():
                ended(Error(result.error))
            elif result.ok is Answer.OK:
                if attempt.writes:
                    primary.commit()
                self._freshness.record(attempt.group, primary.position, asked_at)
                ended(Ok(None))
            else:
                ended(Error(self._full(primary)))

        self._run(primary, attempt, None, take, has_alternatives=False)

    def _serve_read(
        self,
        attempt: Attempt,
        floor: Position,
        excluded: set[str],
        ended: Ended,
        number: int = 0,
    ) -> None:
        ranked = rank_for_read(
            self._table.servers(attempt.group),
            primary=self._primaries[attempt.group].described.name,
            failure_domain=self.failure_domain,
            excluded=excluded,
        )
        if not ranked or number >= MAX_READ_ATTEMPTS:
            self._serve_on_primary(attempt, ended)
            return
        server = self._servers[ranked[0].name]

        def take(result: Result[Answer, Refused]) -> None:
            if result.is_ok() and result.ok is Answer.OK:
                ended(Ok(None))
                return
            excluded.add(server.described.name)
            self._serve_read(attempt, floor, excluded, ended, number + 1)

        self._run(server, attempt, floor, take, has_alternatives=True)

    def _run(
        self,
        server: Server,
        attempt: Attempt,
        floor: Position | None,
        ended: Callable[[Result[Answer, Refused]], None],
        *,
        has_alternatives: bool,
    ) -> None:
        """Wait for a place and a connection, and run a statement."""
        backend = self._backend(server)
        backend.adjust()
        start_by = max(attempt.start_by, self._timeline.now())
        run = _Run(backend, attempt, floor, start_by, has_alternatives, ended)

        def changed() -> None:
            if ticket.state is TicketState.ADMITTED:
                self._timeline.after(0.0, partial(self._connect, run, ticket))
            elif ticket.state is TicketState.DISPLACED:
                self._give_up(run, ticket)

        arrived = backend.queue.request_admission(
            start_by, attempt.kind.priority, changed
        )
        if arrived.is_error():
            ended(Error(_refused(arrived.error)))
            return
        ticket = arrived.ok
        if ticket.state is TicketState.ADMITTED:
            self._connect(run, ticket)
            return

        def time_out() -> None:
            if ticket.state is TicketState.WAITING:
                self._give_up(run, ticket)

        self._timeline.after(ticket.latest_start - self._timeline.now(), time_out)

    def _give_up(self, run: _Run, ticket: Ticket) -> None:
        run.ended(Error(_refused(run.backend.queue.refuse_ticket(ticket))))

    def _connect(self, run: _Run, ticket: Ticket) -> None:
        backend = run.backend
        refused = Refused("no connection", NO_CONNECTION_RETRY_MS / MILLISECONDS)
        try:
            connection = backend.pool.acquire(self._timeline.now())
        except PoolTimeoutError:
            backend.queue.end(ticket, 0.0, AdmissionOutcome.NO_WORK)
            run.ended(Error(refused))
        except ConnectionLimitError:
            backend.ceiling.record_connection_refused(backend.pool.open_count)
            backend.adjust()
            remaining = run.start_by - self._timeline.now()
            if remaining <= 0 or run.has_alternatives:
                backend.queue.end(ticket, 0.0, AdmissionOutcome.NO_WORK)
                run.ended(Error(refused))
                return
            pause = min(remaining, CONNECTION_RETRY_SECONDS)
            self._timeline.after(pause, partial(self._connect, run, ticket))
        else:
            self._send(run, connection, run.attempt.statements - 1, ticket)

    def _send(
        self,
        run: _Run,
        connection: Connection,
        left: int,
        ticket: Ticket | None = None,
    ) -> None:
        """Send a statement, with others of its transaction left to send after it.

        Args:
            run: what runs where.
            connection: it is held until the last statement.
            left: statements left.
            ticket: its place in the queue, which only the first one has.
        """
        server = run.backend.server
        name = server.described.name
        began_at = self._timeline.now()
        self._table.begin(name)

        def done(answer: Answer) -> None:
            elapsed = self._timeline.now() - began_at
            worked = elapsed if answer is Answer.OK else None
            self._table.end(name, worked, is_answered=True)
            self._note_floor(run, answer)
            if ticket is not None:
                run.backend.queue.end(ticket, elapsed, OUTCOMES[answer])
            self._go_on(run, connection, left, answer)

        is_near = server.described.failure_domain == self.failure_domain
        way = 0.0 if is_near else self._distance

        def answered(answer: Answer) -> None:
            self._timeline.after(way, partial(done, answer))

        self._timeline.after(
            way,
            partial(server.run, connection, run.attempt.work, run.floor, answered),
        )

    def _note_floor(self, run: _Run, answer: Answer) -> None:
        name = run.backend.server.described.name
        if answer is Answer.BEHIND and run.floor is not None:
            self._behind.record_lagging(name, run.floor)
        elif run.floor is not None:
            self._behind.record_caught_up(name)

    def _go_on(
        self, run: _Run, connection: Connection, left: int, answer: Answer
    ) -> None:
        """Send the next statement, or this one again, or end."""
        again_at = self._timeline.now() + BUSY_RETRY_SECONDS
        if answer is Answer.OK and left:
            self._send(run, connection, left - 1)
        elif answer is Answer.BUSY and again_at < run.attempt.sent_again_until:
            again = partial(self._send, run, connection, left)
            self._timeline.after(BUSY_RETRY_SECONDS, again)
        else:
            run.backend.pool.release(connection, reuse=True)
            run.ended(Ok(answer))

    def _full(self, server: Server) -> Refused:
        backend = self._backends[server.described.name]
        return Refused(
            "server busy", backend.queue.next_retry_after_ms() / MILLISECONDS
        )

    def _backend(self, server: Server) -> Backend:
        name = server.described.name
        found = self._backends.get(name)
        if found is None:
            found = self._build(server)
            self._backends[name] = found
        return found

    def _build(self, server: Server) -> Backend:
        described, clock = server.described, self._timeline.clock
        highest = int(described.connections * CONNECTION_SHARE)
        ceiling = ConnectionCeiling(clock, highest, -UP_FOR_SECONDS)
        first = ceiling.value()
        pool = ConnectionPool(
            described, _Connector(server), clock, self._pool_settings, first
        )
        queue = StatementQueue(clock, described.slots, first, QUEUE_LIMIT)
        return Backend(server, pool, queue, ceiling)


def _refused(refusal: Refusal) -> Refused:
    retry_after = refusal.retry_after_ms / MILLISECONDS
    return Refused(f"admission {refusal.reason}", retry_after)
