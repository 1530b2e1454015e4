"""Construction of the components of one voter."""

from concurrent.futures import ThreadPoolExecutor

from dogwoodspool_accounts import Allocator, LimitReserve, LimitTolerance
from dogwoodspool_common import Clock, Route
from dogwoodspool_consensus import ConsensusNode

from .command_queue import CommandQueue
from .const import MAX_RATE_LIMITED_PROXIES, MAX_WATCHERS, WORKER_THREADS
from .grants.grants import GrantTable
from .grants.release import ReleaseClient
from .grants.renewals import RenewalRate, Renewals
from .grants.shares import ShareLedger
from .http.admin import AdminApi
from .http.api import ControlApi
from .http.limits import reserve_routes
from .http.support import WaitSlots
from .http.watch import WatchApi
from .leader import FailureWatch, LeaderLoop
from .membership.departures import Departures
from .membership.incarnations import IncarnationAges
from .membership.maintenance import AckAudit, LeaseBoundMaintenance
from .membership.membership import Membership
from .node import ControlNode
from .promotion.dependencies import PromotionDependencies, RoleChangers
from .promotion.detector import FailureDetector
from .promotion.failovers import FailoverTimeline
from .promotion.planned import PlannedPromotions
from .promotion.promoter import Promotions
from .promotion.reconciler import Reconciler
from .promotion.server_observations import ServerObservations
from .readiness import Readiness
from .state import ControlState
from .status import StatusReport


class ControlRuntime:
    """Build and run the components of one voter.

    The program provides the clock and the connections to other processes.

    Args:
        consensus: the consensus node, whose state machine is ``state``.
        secret_key: key of the fingerprints that are shown in place of secrets.
    """

    def __init__(
        self,
        clock: Clock,
        consensus: ConsensusNode,
        state: ControlState,
        *,
        role_changers: RoleChangers,
        release_client: ReleaseClient,
        secret_key: bytes,
    ) -> None:
        self._executor = ThreadPoolExecutor(WORKER_THREADS, "control-worker")
        self._consensus = consensus
        self._state = state
        node = ControlNode(consensus)
        table = GrantTable(clock, state, node)
        detector = FailureDetector(clock)
        watch = FailureWatch(state, detector)
        ages = IncarnationAges(clock)
        timeline = FailoverTimeline(clock)
        server_observations = ServerObservations(clock)
        self._queue = CommandQueue(clock, node)
        self._promotions = Promotions(
            PromotionDependencies(
                clock=clock,
                node=node,
                state=state,
                table=table,
                ages=ages,
                release_client=release_client,
                role_changers=role_changers,
                timeline=timeline,
                executor=self._executor,
                is_failed=watch.is_failed,
            )
        )
        self._loop = LeaderLoop(
            clock,
            node,
            state,
            ages=ages,
            detector=detector,
            watch=watch,
            server_observations=server_observations,
            membership=Membership(clock, state, server_observations),
            departures=Departures(clock, state),
            queue=self._queue,
            promotions=self._promotions,
            reconciler=Reconciler(
                clock, state, server_observations, role_changers, self._executor
            ),
            lease_bound=LeaseBoundMaintenance(clock, state, table),
            ack_audit=AckAudit(
                clock,
                state,
                table=table,
                server_observations=server_observations,
                role_changers=role_changers,
                submit=self._executor.submit,
            ),
            timeline=timeline,
        )
        renewals = Renewals(
            clock,
            node,
            state,
            table=table,
            ledger=ShareLedger(clock),
            detector=detector,
            server_observations=server_observations,
            queue=self._queue,
            rate=RenewalRate(clock, MAX_RATE_LIMITED_PROXIES),
            on_unreachable=self._loop.wake,
        )
        planned = PlannedPromotions(clock, node, state, role_changers, timeline)
        status = StatusReport(
            clock,
            consensus,
            node,
            state,
            renewals=renewals,
            promotions=self._promotions,
            timeline=timeline,
        )
        wait_slots = WaitSlots(MAX_WATCHERS)
        watch_api = WatchApi(node, state, wait_slots, clock)
        api = ControlApi(node, state, renewals, planned, wait_slots)
        admin = AdminApi(
            consensus,
            node,
            state,
            status,
            readiness=Readiness(clock, node),
            secret_key=secret_key,
        )
        allocator = Allocator(state.rate_limit, LimitTolerance(), state.proxy_domains)
        reserve = LimitReserve(allocator, clock)
        self._routes = [
            *consensus.routes(),
            *reserve_routes(reserve, node),
            *watch_api.routes(),
            *api.routes(),
            *admin.routes(),
        ]

    @property
    def routes(self) -> list[Route]:
        """All routes of the voter."""
        return self._routes

    def set_up(self) -> None:
        """Start the threads; they act while this voter is the leader."""
        self._state.begin_live(self._consensus.diagnostics().last_index)
        self._queue.set_up()
        self._loop.set_up()

    def unload(self) -> None:
        """Stop; promotions in progress are left to the next leader.

        The consensus node must be unloaded first, so that running promotions notice
        that this voter is no longer the leader.
        """
        self._loop.unload()
        self._queue.unload()
        self._promotions.join(timeout=1.0)
        self._executor.shutdown(wait=False, cancel_futures=True)
