"""Wire the parts of a pooling proxy together."""

from collections.abc import Callable

from dogwoodspool_accounts import LimitsRuntime, LimitTolerance
from dogwoodspool_common import (
    Address,
    BackendServer,
    Clock,
    JsonClient,
    JsonLineClient,
    RateLimit,
    Route,
    log_event,
)
from dogwoodspool_common.const import LONG_LEAVING_GRACE_SECONDS
from dogwoodspool_common.counters import Counters
from dogwoodspool_connections import Connector
from dogwoodspool_following import (
    AddressSource,
    Callers,
    ControlPeers,
    ControlSearch,
    ProxyView,
    Rotation,
    RotationCoordinator,
    ViewCheck,
    ViewConfirmation,
    ViewStore,
    WatchCoordinator,
)
from dogwoodspool_routing import ServerTable
from dogwoodspool_sharing import (
    ConnectionPart,
    Neighbour,
    NeighbourViewApi,
    NeighbourViewReader,
    PrimaryShare,
)

from .accepted_work import AcceptedWork
from .access import ServerAccess
from .connection import ServerConnection
from .const import CONNECTIONS_TO_LIMIT_OWNER, WATCH_WAIT_MS
from .expiry import ConnectionExpiry
from .final_writes import FinalWrites
from .freshness import FreshnessTracker
from .group_reachability import GroupReachability
from .held import ConnectionAccess, HeldConnection
from .known_primaries import KnownPrimaries
from .lag import LagTracker
from .models import Reply
from .primaries import PrimaryPath
from .queue_orders import ORDERS, QueueOrderName
from .read_choice import ReadChooser
from .read_cost import LoadCost
from .read_placement import ReadPlacement, SharedReads
from .reads import ReadPath
from .recovery import RecoveryProber
from .registry import BackendRegistry
from .replica_lag import ReplicaLag
from .replica_positions import ReplicaPositions
from .reporting import ReportCoordinator
from .requests import Request
from .session import PooledSession
from .sessions import PooledSessions
from .shared.const import OWNER_CONNECT_TIMEOUT, OWNER_UNACKNOWLEDGED_MS
from .shared.runtime import SharedPoolsRuntime
from .stalls import StallTracker
from .statements import LocalStatements
from .token_age import TokenAge
from .transactions import TransactionPath
from .writes import WritePath


class PoolerRuntime:
    """Create, start and stop the parts of one pooling proxy.

    Args:
        name: name of this instance.
        failure_domain: failure domain that it runs in.
        failure_domains: number of failure domains.
        address: address at which the system's other processes reach its routes.
        control: where the addresses of control processes are configured.
        connector: opens connections to backend servers.
        client: calls control.
        clock: source of time for all parts.
        tolerance: how far operations of client accounts may exceed their limits.
        uses_primary_owners: see ``ProxyDirectory``.
        queue_order: order in which requests wait at an owner of shared pools.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        failure_domains: int,
        address: Address,
        control: AddressSource,
        connector: Connector[ServerConnection],
        client: JsonClient,
        clock: Clock,
        tolerance: LimitTolerance | None = None,
        *,
        uses_primary_owners: bool = False,
        queue_order: QueueOrderName = QueueOrderName.ARRIVAL,
    ) -> None:
        self._accepted_work = AcceptedWork(clock)
        self._views = ViewStore(failure_domain, clock)
        configured = control.read()
        self._peers = ControlPeers(configured, failure_domain, name)
        # Of one order for the whole failure domain.
        shared_peers = ControlPeers(configured, failure_domain, failure_domain)
        self._peers.share_with(shared_peers)
        self._confirmation = ViewConfirmation(self._views, self._peers, client, clock)
        self._table = ServerTable(clock, leaving_grace=LONG_LEAVING_GRACE_SECONDS)
        self._registry = BackendRegistry(
            self._views,
            connector,
            clock,
            self._connection_part,
            self._owner_share,
            self._primary_share,
            ORDERS[queue_order],
        )
        self._counters = Counters()
        self._recovery = RecoveryProber(self._views, self._registry, self._table, clock)
        stalls, freshness = StallTracker(clock), FreshnessTracker(clock)
        refusals, replica_lag = LagTracker(clock), ReplicaLag(clock)
        access = ServerAccess(
            self._registry,
            self._table,
            stalls,
            freshness,
            refusals,
            self._suspect,
            clock,
            replica_lag,
            TokenAge(self._exchange, self._counters, clock),
        )
        costs = LoadCost(self._owner_share, self._registry.admission_state)
        chooser = ReadChooser(costs, refusals, replica_lag, clock)
        self._shared_reads = SharedReads(chooser, freshness, self._owner_share, clock)
        known = KnownPrimaries(self._views, self._table)
        primaries = PrimaryPath(self._views, known, access, clock)
        self._final_writes = FinalWrites(
            self._views,
            ReplicaPositions(
                failure_domain, self._registry, self._table, access, replica_lag
            ),
            self._confirmation,
            clock,
        )
        placement = ReadPlacement(
            self._views, self._table, known, access, self._shared_reads
        )
        reads = ReadPath(
            access,
            placement,
            primaries,
            self._counters,
            clock,
            self._forward_to_primary,
        )
        writes = WritePath(primaries, access, self._final_writes, clock)
        statements = LocalStatements(reads, writes)
        self._shared = SharedPoolsRuntime(
            Neighbour(name, str(address)),
            failure_domain,
            failure_domains,
            shared_peers,
            self._views,
            self._confirmation,
            access,
            statements,
            freshness,
            self._registry.refresh,
            self._final_writes,
            client,
            clock,
            placement.keeps_room,
            uses_primary_owners=uses_primary_owners,
            sends_target=queue_order is not QueueOrderName.ARRIVAL,
        )
        self._limits_client = JsonLineClient(
            CONNECTIONS_TO_LIMIT_OWNER, OWNER_CONNECT_TIMEOUT, OWNER_UNACKNOWLEDGED_MS
        )
        self._limits = LimitsRuntime(
            Neighbour(name, str(address)),
            self._rate_limit,
            self._shared.directory,
            tolerance or LimitTolerance(),
            lambda: failure_domains,
            self._peers,
            client,
            self._limits_client,
            clock,
        )
        self._expiry = ConnectionExpiry(
            self._registry,
            self._shared.is_forwarded,
            lambda: self._confirmation.is_overdue,
            clock,
        )
        self._sessions = PooledSessions(
            self._views,
            self._confirmation,
            self._shared.statements,
            self._transaction_path(self._shared.access, known, clock),
            self._limits.limiter,
            self._counters,
            clock,
        )
        self._watch = WatchCoordinator(
            self._views, self._peers, client, clock, WATCH_WAIT_MS
        )
        self._view_check = ViewCheck(self._views, self._confirmation, clock)
        self._neighbour_views = NeighbourViewApi(
            name, self._views, self._confirmation, self._peers
        )
        self._neighbours_client = JsonLineClient(1)
        self._control_search = ControlSearch(
            self._confirmation,
            self._peers,
            control,
            NeighbourViewReader(
                name, self._shared.directory, self._neighbours_client, clock
            ),
            clock,
        )
        self._reports = ReportCoordinator(
            name, failure_domain, self._table, stalls, self._peers, client, clock
        )
        self._rotation = Rotation(clock)
        reachability = GroupReachability(
            failure_domain, known, self._table, self._recovery, self._reports
        )
        self._rotation_watch = RotationCoordinator(
            self._rotation, self._peers, reachability, clock
        )

    @property
    def view_version(self) -> int:
        """Version of the committed state that this process applies."""
        return self._views.view.version

    @property
    def open_sessions(self) -> int:
        """Number of open caller sessions."""
        return self._sessions.count

    @property
    def accepted_work(self) -> AcceptedWork:
        """The requests of callers that are in progress."""
        return self._accepted_work

    @property
    def routes(self) -> list[Route]:
        """The endpoints for the system's other processes."""
        return [
            *self._shared.routes,
            *self._limits.routes,
            *self._neighbour_views.routes(),
        ]

    def open_session(self, database: str, key_digest: str) -> PooledSession:
        """Return a session; errors as for ``PooledSessions.open``."""
        return self._sessions.open(database, key_digest)

    def add_view_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each new view is in force."""
        self._views.add_listener(lambda _view: listener())

    def answer_balancer(self) -> str | None:
        """Return why the balancer should send no callers; None if it may send them."""
        # Called even if there is no configuration: the rotation counts its refusals.
        takes_callers = self._rotation.answer_balancer()
        if not self._views.view.databases:
            return "no configuration"
        if self._confirmation.is_outdated:
            return "outdated configuration"
        return None if takes_callers else "cut off"

    def move_callers(self, callers: Callers) -> None:
        """Close idle connections of these callers when they can be served elsewhere."""
        self._rotation_watch.set_callers(callers)

    def leave(self) -> None:
        """Stop accepting requests of other proxies, as the process ends soon."""
        self._shared.leave()

    @property
    def leased_connections(self) -> int:
        """Number of connections that transactions of other proxies hold."""
        return self._shared.leases

    def end_leases(self) -> None:
        """Roll back transactions of other proxies that no statement runs in."""
        self._shared.end_leases()

    def set_up(self) -> None:
        """Start to follow control's views and to serve."""
        self._views.add_listener(self._apply_view)
        self._registry.set_up()
        self._expiry.set_up()
        self._shared.set_up()
        self._limits.set_up()
        self._recovery.set_up()
        self._reports.set_up()
        self._rotation_watch.set_up()
        self._sessions.set_up()
        # Last: a view must not come before those that depend on it listen.
        self._watch.set_up()
        self._view_check.set_up()
        self._control_search.set_up()

    def unload(self) -> None:
        """Stop all parts; open sessions must have ended before."""
        self._sessions.unload()
        self._rotation_watch.unload()
        self._reports.unload()
        self._recovery.unload()
        self._limits.unload()
        self._limits_client.close()
        self._shared.unload()
        self._control_search.unload()
        self._neighbours_client.close()
        self._view_check.unload()
        self._watch.unload()
        self._confirmation.unload()
        self._expiry.unload()
        self._registry.unload()

    def metrics(self) -> str:
        """Return the metrics in text form."""
        lines = [
            f"dogwoodspool_view_version {self.view_version}",
            f"dogwoodspool_sessions_open {self.open_sessions}",
            f"dogwoodspool_neighbours {self._shared.neighbours}",
            f"dogwoodspool_connections_leased {self._shared.leases}",
        ]
        for backend in self._registry.all():
            label = f'{{server="{backend.server.name}"}}'
            pool = backend.pool
            lines.append(f"dogwoodspool_connections_open{label} {pool.open_count}")
            lines.append(f"dogwoodspool_connections_limit{label} {pool.limit}")
            lines.append(f"dogwoodspool_connections_in_use{label} {pool.in_use}")
            refused = backend.connector.refused
            lines.append(f"dogwoodspool_connections_refused{label} {refused}")
            admission = backend.admission
            waiting, demoted = admission.waiting, admission.demoted
            lines.append(f"dogwoodspool_statements_waiting{label} {waiting}")
            lines.append(f"dogwoodspool_statements_demoted{label} {demoted}")
            for reason, count in sorted(admission.refused.items()):
                labels = f'{{server="{backend.server.name}",reason="{reason}"}}'
                lines.append(f"dogwoodspool_statements_refused{labels} {count}")
        return self._counters.page() + "\n".join(lines) + "\n"

    def _transaction_path(
        self,
        access: ConnectionAccess[HeldConnection],
        known: KnownPrimaries,
        clock: Clock,
    ) -> TransactionPath:
        primaries = PrimaryPath(self._views, known, access, clock)
        placement = ReadPlacement(
            self._views, self._table, known, access, self._shared_reads
        )
        return TransactionPath(
            self._views, placement, primaries, access, self._final_writes, clock
        )

    def _owner_share(self, group: str) -> float | None:
        return self._shared.directory.owner_share(group)

    def _connection_part(self, group: str, available: int) -> ConnectionPart | None:
        return self._shared.directory.connection_part(group, available)

    def _primary_share(self, server: BackendServer) -> PrimaryShare | None:
        return self._shared.primary_share(server)

    def _forward_to_primary(self, request: Request) -> Reply | None:
        return self._shared.forward_to_primary(request)

    def _rate_limit(self, account: str) -> RateLimit | None:
        known = self._views.view.accounts.get(account)
        return None if known is None else known.rate_limit

    def _exchange(self, account: str, age: float) -> None:
        self._limits.limiter.exchange(account, age)

    def _suspect(self, server: str) -> None:
        """Probe the server and have control called, as either may be unreachable."""
        self._recovery.suspect(server)
        self._reports.ask_control()

    def _apply_view(self, view: ProxyView) -> None:
        self._table.adopt_committed(view.servers.values())
        log_event(
            "view_in_force",
            version=view.version,
            revision=view.revision,
            sender=view.sender,
            databases=len(view.databases),
            groups=",".join(
                f"{one.name}:{one.term}:{one.primary}:{one.phase}"
                for one in view.groups.values()
            ),
        )
