"""In-memory backend servers and a pooler wired to them without threads."""

import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field, replace

from dogwoodspool_accounts import NoLimits, OperationLimiter
from dogwoodspool_api import (
    AccountMessage,
    ControlView,
    EndpointMessage,
    GroupMessage,
    ServerMessage,
)
from dogwoodspool_common import (
    Address,
    BackendServer,
    ClientAccount,
    Clock,
    Consistency,
    Endpoint,
    GroupState,
    ManualClock,
    Phase,
    Position,
    PrimaryEpoch,
    Role,
    key_digest,
)
from dogwoodspool_common.const import LONG_LEAVING_GRACE_SECONDS
from dogwoodspool_common.counters import Counters
from dogwoodspool_connections import (
    ConnectFailedError,
    ConnectionLimitError,
    OutcomeUnknownError,
    ServerDownError,
)
from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_limits import QueueOrder
from dogwoodspool_pooler import (
    Access,
    Answer,
    ConnectionState,
    ErrorCode,
    Reply,
    Statement,
    StatementError,
    StatementKind,
    TransactionState,
)
from dogwoodspool_pooler.access import ServerAccess
from dogwoodspool_pooler.final_writes import FinalWrites
from dogwoodspool_pooler.freshness import FreshnessTracker
from dogwoodspool_pooler.held import ConnectionAccess, HeldConnection
from dogwoodspool_pooler.known_primaries import KnownPrimaries
from dogwoodspool_pooler.lag import LagTracker
from dogwoodspool_pooler.primaries import PrimaryPath
from dogwoodspool_pooler.read_choice import ReadChooser
from dogwoodspool_pooler.read_cost import LoadCost
from dogwoodspool_pooler.read_placement import ReadPlacement, SharedReads
from dogwoodspool_pooler.reads import ReadPath
from dogwoodspool_pooler.registry import BackendRegistry
from dogwoodspool_pooler.replica_lag import ReplicaLag
from dogwoodspool_pooler.replica_positions import ReplicaPositions
from dogwoodspool_pooler.session import PooledSession
from dogwoodspool_pooler.sessions import PooledSessions
from dogwoodspool_pooler.stalls import StallTracker
from dogwoodspool_pooler.statements import LocalStatements, Statements
from dogwoodspool_pooler.transactions import TransactionPath
from dogwoodspool_pooler.writes import WritePath
from dogwoodspool_routing import ServerTable
from dogwoodspool_settings import SettingsNode, WriteAck
from dogwoodspool_sharing import ConnectionPart, PoolRole

GROUP = "chat"
OWN_DOMAIN = "fd1"
# Connections of an owner of shared pools to each server.
SHARED_PART = 6
# Statements that change the state of a session on a server.
CHANGES = (StatementKind.SET, StatementKind.RESET, StatementKind.PREPARE)


@dataclass
class ExecutedStatement:
    """A statement that a server ran, with the session state at that time."""

    request_id: str
    kind: StatementKind
    text: str
    values: dict[str, str]
    shape: str | None
    in_transaction: bool
    connection: int
    account: str


@dataclass
class FakeServer:
    """One backend server.

    Attributes:
        refusals: error codes with which it refuses the next statements, in order.
        refused_preparations: how often it still refuses to change a session's state,
            by kind of statement.
        refuses_preparation: whether it refuses such a statement by chance.
        applies_refused: whether such a statement has its effect nonetheless.
        unanswered_kinds: kinds of statements that it never answers.
        connections_to_refuse: number of new connections that it still refuses.
        is_replaced: whether another server was promoted in its place; it then still
            answers reads outside of read-write transactions.
        on_answer: called with the kind of a statement before its answer arrives.
        received: position that it has received as a replica and not applied.
        is_deaf: whether it receives nothing.
        followers: the other servers of its group, which receive its commits.
        queries: number of times that its received position was asked for.
        group: name of its group.
        incarnation: number of its process; a change ends all connections.
    """

    name: str
    role: Role
    position: Position = Position(3, 100)
    failure_domain: str = OWN_DOMAIN
    is_down: bool = False
    is_replaced: bool = False
    refusals: list[ErrorCode] = field(default_factory=list)
    refused_preparations: dict[StatementKind, int] = field(default_factory=dict)
    refuses_preparation: Callable[[StatementKind], bool] = lambda _kind: False
    applies_refused: bool = False
    unanswered_kinds: set[StatementKind] = field(default_factory=set)
    connections_to_refuse: int = 0
    runs: list[ExecutedStatement] = field(default_factory=list)
    opened: int = 0
    on_answer: Callable[[StatementKind], None] = lambda _kind: None
    refused_as_behind: int = 0
    received: Position = Position(0, 0)
    is_deaf: bool = False
    followers: "list[FakeServer]" = field(default_factory=list, repr=False)
    queries: int = 0
    group: str = GROUP
    incarnation: int = 0

    def commit(self) -> None:
        """Append a commit to its log, which the other servers receive."""
        self.position = Position(self.position.term, self.position.offset + 1)
        for one in self.followers:
            if not one.is_deaf and not one.is_down:
                one.received = self.position

    def as_backend_server(self) -> BackendServer:
        return BackendServer(
            name=self.name,
            group=self.group,
            failure_domain=self.failure_domain,
            address=Address("10.0.0.1", 1000 + sum(self.name.encode())),
            slots=3,
            connections=20,
            incarnation=self.incarnation,
        )


class FakeConnection:
    """A connection to a fake server; implements ``ServerConnection``."""

    def __init__(
        self, fake: FakeServer, server: BackendServer, clock: ManualClock
    ) -> None:
        self._fake = fake
        self._clock = clock
        self._is_open = True
        self._state = TransactionState.IDLE
        self._is_read_write = False
        self._has_written = False
        self._prepared: dict[str, tuple[Access | None, str]] = {}
        self._values: dict[str, str] = {}
        fake.opened += 1
        self._incarnation = fake.incarnation
        self.number = fake.opened
        self.server = server
        self.session = ConnectionState()
        self.answered_at = clock.now()
        self.is_probing = False
        self.generation = 0
        self.account = ""
        self.running_since = self.used_at = self.answered_at

    @property
    def went_silent(self) -> bool:
        return False

    @property
    def is_open(self) -> bool:
        return self._is_open

    @property
    def in_transaction(self) -> bool:
        return self._state is not TransactionState.IDLE

    @property
    def needs_reset(self) -> bool:
        return False

    @property
    def has_unread_answer(self) -> bool:
        return False

    def has_unexpected_input(self) -> bool:
        has_ended = self._incarnation != self._fake.incarnation
        return has_ended or not self._is_open

    def received_position(self, deadline: float) -> Position | None:
        if self._fake.is_down:
            self._is_open = False
            raise OutcomeUnknownError("down")
        self._fake.queries += 1
        return max(self._fake.received, self._fake.position)

    def ping(self, timeout: float) -> None:
        if self._fake.is_down:
            self._is_open = False
            raise OutcomeUnknownError("down")

    def reset(self, timeout: float) -> None:
        self._state = TransactionState.IDLE

    def close(self) -> None:
        self._is_open = False

    def exchange(self, statements: Sequence[Statement], deadline: float) -> list[Reply]:
        if not self._is_open:
            raise ConnectFailedError("the connection is closed")
        if self._fake.is_down:
            self._is_open = False
            raise OutcomeUnknownError("down")
        replies = [self._run(statement) for statement in statements]
        self._fake.on_answer(statements[-1].kind)
        self.answered_at = self._clock.now()
        return replies

    def _run(self, statement: Statement) -> Reply:
        fake = self._fake
        if statement.kind in fake.unanswered_kinds:
            self._is_open = False
            raise OutcomeUnknownError("silent")
        error = self._refusal(statement)
        is_refused_change = statement.kind in CHANGES and error is not None
        if error is None or (is_refused_change and fake.applies_refused):
            self._apply(statement)
        if error is None:
            self.session.record(statement)
        position = fake.position
        proof = "" if error else f"{fake.name}:{statement.request_id}"
        rows = () if error else ("row",)
        failure = StatementError(error, "refused") if error else None
        return Reply(rows, proof, failure, self._state, position)

    def _refusal(self, statement: Statement) -> ErrorCode | None:
        fake = self._fake
        if statement.wait_for is not None and statement.wait_for > fake.position:
            fake.refused_as_behind += 1
            return ErrorCode.BEHIND
        is_primary = fake.role is Role.PRIMARY and not fake.is_replaced
        is_write = statement.kind is StatementKind.WRITE
        needs_primary = statement.kind is StatementKind.BEGIN or is_write
        is_end = statement.kind is StatementKind.ROLLBACK
        is_end = is_end or (
            statement.kind is StatementKind.COMMIT and not self._has_written
        )
        if not is_primary and not is_end and (needs_primary or self._is_read_write):
            return ErrorCode.READ_ONLY
        is_work = statement.kind in (
            StatementKind.READ,
            StatementKind.WRITE,
            StatementKind.EXECUTE,
            StatementKind.COMMIT,
        )
        if is_work and fake.refusals:
            return fake.refusals.pop(0)
        if statement.kind in CHANGES and self._refuses_change(statement.kind):
            return ErrorCode.FAILED
        is_known = statement.name in self._prepared
        if statement.kind is StatementKind.EXECUTE and not is_known:
            return ErrorCode.UNKNOWN_STATEMENT
        return None

    def _refuses_change(self, kind: StatementKind) -> bool:
        left = self._fake.refused_preparations.get(kind, 0)
        if left:
            self._fake.refused_preparations[kind] = left - 1
        return bool(left) or self._fake.refuses_preparation(kind)

    def _apply(self, statement: Statement) -> None:
        fake = self._fake
        shape = None
        match statement.kind:
            case StatementKind.BEGIN | StatementKind.BEGIN_READ_ONLY:
                self._state = TransactionState.OPEN
                self._is_read_write = statement.kind is StatementKind.BEGIN
                self._has_written = False
                return
            case StatementKind.ROLLBACK:
                self._state, self._is_read_write = TransactionState.IDLE, False
                return
            case StatementKind.SET:
                self._values[statement.name] = statement.argument
                return
            case StatementKind.PREPARE:
                known = (statement.access, statement.argument)
                self._prepared[statement.name] = known
                return
            case StatementKind.RESET:
                self._values.clear()
                self._prepared.clear()
                return
            case StatementKind.EXECUTE:
                shape = self._prepared[statement.name][1]
        fake.runs.append(
            ExecutedStatement(
                statement.request_id,
                statement.kind,
                statement.text,
                dict(self._values),
                shape,
                self.in_transaction,
                self.number,
                self.account,
            )
        )
        self._has_written = self._has_written or statement.kind is StatementKind.WRITE
        if statement.kind is StatementKind.COMMIT:
            self._state, self._is_read_write = TransactionState.IDLE, False
        if statement.kind in (StatementKind.WRITE, StatementKind.COMMIT):
            fake.commit()


CONNECT_SECONDS = 0.012
# Uptime of the process before each test, so that its connection ceilings have risen.
UPTIME_SECONDS = 10.0


class AutoAdvanceClock(ManualClock):
    """A manual clock that advances through every wait, as there is no other thread."""

    def sleep(self, seconds: float) -> None:
        self.advance(seconds)

    def wait(self, condition: threading.Condition, seconds: float) -> bool:
        self.advance(max(0.0, seconds))
        return False


class FakeNetwork:
    """Connector to fake servers by name; fails with less than 12 ms to the deadline."""

    def __init__(self, servers: Sequence[FakeServer], clock: ManualClock) -> None:
        self.servers = {server.name: server for server in servers}
        for server in servers:
            server.followers = [
                one
                for one in servers
                if one is not server and one.group == server.group
            ]
        self._clock = clock
        self.opened_for: list[str] = []

    def connect(
        self, server: BackendServer, deadline: float, account: str = ""
    ) -> FakeConnection:
        fake = self.servers.get(server.name)
        if deadline - self._clock.now() < CONNECT_SECONDS:
            raise ConnectFailedError("timed out")
        if fake is None:
            raise ConnectFailedError("no such server")
        if fake.is_down:
            raise ServerDownError(f"{server.name} is down")
        if fake.connections_to_refuse:
            fake.connections_to_refuse -= 1
            raise ConnectionLimitError(f"{server.name} has too many connections")
        connection = FakeConnection(fake, server, self._clock)
        self.opened_for.append(account)
        return connection


def endpoint(
    consistency: Consistency = Consistency.PRIMARY, *, max_age_ms: int | None = None
) -> Endpoint:
    """Return the endpoint of the database ``db``."""
    return Endpoint("r1", "db", GROUP, consistency, 1_000, 400, 1, max_age_ms)


class ConfirmedView:
    """Control, which confirms the view in force as the newest one.

    Attributes:
        is_reachable: whether it confirms anything.
        bring: puts control's newest view in force, when it is reached.
    """

    confirmed_by = None
    age_ms = 0
    refusal: str | None = None

    def __init__(self) -> None:
        self.is_reachable = True
        self.bring: Callable[[], object] = lambda: None

    def confirm(self) -> bool:
        if self.is_reachable:
            self.bring()
        return self.is_reachable

    def refresh(self) -> bool:
        return self.is_reachable

    @property
    def is_overdue(self) -> bool:
        return not self.is_reachable

    def request_read(self) -> None:
        if self.is_reachable:
            self.bring()


class Pooler:
    """The parts of a pooler over fake servers, on a clock that tests advance.

    Args:
        share: part of the group's load that it has as an owner; None for a proxy with
            pools of its own.
        build_order: returns the queue discipline of an owner; None for the standing
            one.

    Attributes:
        is_replicated: whether a group of several servers replicates synchronously.
    """

    is_replicated = True

    def __init__(
        self,
        servers: Sequence[FakeServer],
        served_endpoint: Endpoint | None = None,
        share: float | None = None,
        build_order: Callable[[], QueueOrder | None] = lambda: None,
    ) -> None:
        self.clock = AutoAdvanceClock()
        self.network = FakeNetwork(servers, self.clock)
        self.views = ViewStore(OWN_DOMAIN, self.clock)
        self.table = ServerTable(self.clock, leaving_grace=LONG_LEAVING_GRACE_SECONDS)
        self.suspected: list[str] = []
        self.stalls, self.freshness = (
            StallTracker(self.clock),
            FreshnessTracker(self.clock),
        )
        part = None if share is None else ConnectionPart(PoolRole.OWNER, SHARED_PART)
        self.registry = BackendRegistry(
            self.views,
            self.network,
            self.clock,
            lambda _group, _available: part,
            build_order=build_order,
        )
        self.registry.set_up()
        refusals, replica_lag = LagTracker(self.clock), ReplicaLag(self.clock)
        self.replica_lag = replica_lag
        access = ServerAccess(
            self.registry,
            self.table,
            self.stalls,
            self.freshness,
            refusals,
            self.suspected.append,
            self.clock,
            replica_lag,
        )
        costs = LoadCost(lambda _group: share, self.registry.admission_state)
        chooser = ReadChooser(costs, refusals, replica_lag, self.clock)
        self.shared_reads = SharedReads(
            chooser, self.freshness, lambda _group: share, self.clock
        )
        self.views.add_listener(self._apply_view)
        self.access = access
        known = KnownPrimaries(self.views, self.table)
        self.primaries = PrimaryPath(self.views, known, access, self.clock)
        self.known = known
        self.control = ConfirmedView()
        self.final_writes = FinalWrites(
            self.views,
            ReplicaPositions(
                OWN_DOMAIN, self.registry, self.table, access, replica_lag
            ),
            self.control,
            self.clock,
        )
        self.counters = Counters()
        self.limiter: OperationLimiter = NoLimits()
        placement = ReadPlacement(
            self.views, self.table, known, access, self.shared_reads
        )
        self.placement = placement
        self.reads = ReadPath(
            access, placement, self.primaries, self.counters, self.clock
        )
        self.local_statements = LocalStatements(
            self.reads, WritePath(self.primaries, access, self.final_writes, self.clock)
        )
        self.sessions = self.sessions_with(self.views, self.clock)
        self.served_endpoint = served_endpoint or endpoint()
        self.version = 0
        self.apply_view(primary=servers[0].name)
        self.clock.advance(UPTIME_SECONDS)

    def sessions_with(
        self,
        views: ViewStore,
        clock: Clock,
        statements: Statements | None = None,
        access: ConnectionAccess[HeldConnection] | None = None,
    ) -> PooledSessions:
        """Return sessions that open once a view store has its first view.

        Args:
            views: the view store.
            clock: the clock that sessions wait on.
            statements: serves single statements; by default from local pools.
            access: provides transactions with connections; by default local ones.
        """
        held = access or self.access
        transactions = TransactionPath(
            self.views,
            ReadPlacement(self.views, self.table, self.known, held, self.shared_reads),
            PrimaryPath(self.views, self.known, held, self.clock),
            held,
            self.final_writes,
            self.clock,
        )
        return PooledSessions(
            views,
            self.control,
            statements or self.local_statements,
            transactions,
            self.limiter,
            self.counters,
            clock,
        )

    def apply_view(
        self,
        *,
        primary: str | None,
        phase: Phase = Phase.STEADY,
        endpoints: Sequence[Endpoint] | None = None,
        leaving: Collection[str] = (),
        retired: Collection[str] = (),
        accounts: Sequence[ClientAccount] | None = None,
        given_up: tuple[str, ...] = (),
        other_primaries: Mapping[str, str] | None = None,
        epoch: PrimaryEpoch | None = None,
        term: int | None = None,
    ) -> None:
        """Apply a new view; without ``accounts`` callers need none.

        ``other_primaries`` are those of further groups, by group. Each view has a new
        ``term`` of the group unless one is given.
        """
        self.version += 1
        view_endpoints = [self.served_endpoint] if endpoints is None else endpoints
        term = self.version if term is None else term
        group = GroupState(GROUP, term, primary, phase, (), given_up, epoch)
        others = [
            GroupState(name, self.version, one, Phase.STEADY, ())
            for name, one in (other_primaries or {}).items()
        ]
        servers = [
            replace(
                fake.as_backend_server(),
                is_leaving=fake.name in leaving,
                is_retired=fake.name in retired,
            )
            for fake in self.network.servers.values()
        ]
        self.views.adopt(
            ControlView(
                version=self.version,
                groups=[GroupMessage.of(one) for one in (group, *others)],
                servers=[ServerMessage.of(server) for server in servers],
                proxies=[],
                settings=[self._root_settings()],
                endpoints=[EndpointMessage.of(one) for one in view_endpoints],
                accounts=[AccountMessage.of(one) for one in accounts or ()],
                requires_account=accounts is not None,
                revision=self.version,
            )
        )

    def _root_settings(self) -> SettingsNode:
        """Return settings by which no group of a single server replicates."""
        is_replicated = self.is_replicated and len(self.network.servers) > 1
        write_ack = WriteAck.GROUP if is_replicated else WriteAck.PRIMARY
        return SettingsNode(path="/", version=1, overrides={"write_ack": write_ack})

    def session(self, key: str = "") -> PooledSession:
        """Open a session at ``db``."""
        return self.sessions.open("db", key_digest(key))

    def _apply_view(self, view: ProxyView) -> None:
        self.table.adopt_committed(view.servers.values())


_KINDS = {
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "BEGIN": StatementKind.BEGIN,
    "BEGIN READ": StatementKind.BEGIN_READ_ONLY,
}


def run_text(session: PooledSession, text: str, request_id: str = "r") -> Answer:
    """Run a read, a write, or the begin or end of a transaction, given as text."""
    kind = _KINDS.get(text) or _KINDS[text.split(" ", maxsplit=1)[0]]
    return session.run(Statement(kind, request_id, text))


def set_value(session: PooledSession, name: str, value: str) -> Answer:
    """Set a session value."""
    return session.run(Statement(StatementKind.SET, "r", "", name, value))


def prepare(session: PooledSession, name: str, access: Access, shape: str) -> Answer:
    """Prepare a statement."""
    statement = Statement(StatementKind.PREPARE, "r", "", name, shape, access)
    return session.run(statement)


def execute(
    session: PooledSession, name: str, argument: str = "k", request_id: str = "r"
) -> Answer:
    """Execute a prepared statement."""
    statement = Statement(StatementKind.EXECUTE, request_id, "", name, argument)
    return session.run(statement)
