"""Assemble the components of one voter for synchronously replicated groups."""

from concurrent.futures import ThreadPoolExecutor
from functools import partial

from dogwoodspool_accounts import Allocator, LimitReserve, LimitTolerance
from dogwoodspool_common import Clock, Route
from dogwoodspool_consensus import ConsensusNode
from dogwoodspool_control.command_queue import CommandQueue
from dogwoodspool_control.http.limits import reserve_routes
from dogwoodspool_control.http.support import WaitSlots
from dogwoodspool_control.http.watch import WatchApi
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.promotion.failovers import FailoverTimeline
from dogwoodspool_control.state import ControlState
from dogwoodspool_sharing import ContactsApi, PresenceApi, ProxyRoster

from .api import FailoverApi, members_of
from .changes import PrimaryChanges
from .const import MAX_WATCHERS, WORKER_THREADS
from .departures import Departures
from .dependencies import ChangeDependencies
from .detection import PrimaryFailureDetector, PrimaryProbes
from .diagnostics import FailoverDiagnostics
from .ended import EndedServers
from .epochs import EpochChecks
from .heartbeats import HeartbeatTracker
from .joining import JoinApi
from .loop import FailoverLoop
from .lost import LostServers
from .reports import ReportTracker
from .servers import GroupServers, PromotionService
from .service import ControlService
from .voters import VoterMaintenance


class FailoverRuntime:
    """Hold the components of one voter; the program supplies clock, log and platform.

    Args:
        servers: queries and commands backend servers.
        service: requests promotions from the platform.
        wanted_voters: see ``voters.due_change``.
        tolerance: how far operations of client accounts may exceed their limits.
        failure_domains: number of failure domains.
    """

    def __init__(
        self,
        clock: Clock,
        consensus: ConsensusNode,
        state: ControlState,
        *,
        servers: GroupServers,
        service: PromotionService,
        wanted_voters: int,
        tolerance: LimitTolerance | None = None,
        failure_domains: int = 1,
    ) -> None:
        self._consensus = consensus
        self._state = state
        self._executor = ThreadPoolExecutor(WORKER_THREADS, "failover-worker")
        node = ControlNode(consensus)
        heartbeats = HeartbeatTracker(clock, state)
        reports = ReportTracker(clock)
        probes = PrimaryProbes(clock, servers, self._executor)
        timeline = FailoverTimeline(clock)
        dependencies = ChangeDependencies(
            clock=clock,
            node=node,
            state=state,
            heartbeats=heartbeats,
            servers=servers,
            service=service,
            holder=consensus.node_id,
            timeline=timeline,
            executor=self._executor,
        )
        self._queue = CommandQueue(clock, node)
        epochs = EpochChecks(dependencies, self._queue)
        ended = EndedServers(dependencies)
        self._changes = PrimaryChanges(dependencies, epochs, ended)
        self._loop = FailoverLoop(
            clock,
            node,
            state,
            heartbeats=heartbeats,
            reports=reports,
            probes=probes,
            detector=PrimaryFailureDetector(clock, reports, heartbeats, probes),
            departures=Departures(clock, state, dependencies, ended),
            lost=LostServers(dependencies, reports),
            changes=self._changes,
            epochs=epochs,
            queue=self._queue,
            timeline=timeline,
        )
        self._voters = VoterMaintenance(consensus, wanted_voters, clock)
        diagnostics = FailoverDiagnostics(
            consensus, node, state, self._changes, timeline
        )
        members = partial(members_of, consensus)
        watch = WatchApi(node, state, WaitSlots(MAX_WATCHERS), clock, members)
        roster = ProxyRoster(clock)
        presence = PresenceApi(roster, members)
        api = FailoverApi(node, reports, diagnostics, self._loop.wake)
        allocator = Allocator(
            state.rate_limit, tolerance or LimitTolerance(), lambda: failure_domains
        )
        reserve = LimitReserve(allocator, clock)
        self._service = ControlService(node, state, heartbeats, self._loop.wake)
        self._routes = [
            *consensus.routes(),
            *watch.routes(),
            *presence.routes(),
            *ContactsApi(roster).routes(),
            *api.routes(),
            *reserve_routes(reserve, node),
            *JoinApi(consensus, node).routes(),
        ]

    @property
    def routes(self) -> list[Route]:
        """All endpoints that the voter offers to the system's other processes."""
        return self._routes

    @property
    def service(self) -> ControlService:
        """The operations that external callers may request from this voter."""
        return self._service

    def set_up(self) -> None:
        """Start the threads, which act once this voter is the leader."""
        self._state.begin_live(self._consensus.diagnostics().last_index)
        self._queue.set_up()
        self._loop.set_up()
        self._voters.set_up()

    def unload(self) -> None:
        """Stop; changes in progress are left to the next leader."""
        self._voters.unload()
        self._loop.unload()
        self._queue.unload()
        self._changes.join(timeout=0.2)
        self._executor.shutdown(wait=False, cancel_futures=True)
