"""Assemble the components of a proxy process."""

import ssl
import threading
import uuid

from dogwoodspool_api import Observation, RenewRequest
from dogwoodspool_backend import MySqlPool, Prober
from dogwoodspool_common import (
    Address,
    BackendServer,
    Clock,
    JsonClient,
    JsonServer,
    Phase,
    RequestSigner,
    log_event,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_common.counters import Counters
from dogwoodspool_following import (
    ControlPeers,
    ProxyView,
    Rotation,
    RotationCoordinator,
    ViewCheck,
    ViewConfirmation,
    ViewStore,
    WatchCoordinator,
)
from dogwoodspool_gateway import CallerListener
from dogwoodspool_limits import RetryBudget
from dogwoodspool_routing import ServerTable

from .access import BackendAccess
from .accounts import AccountLimits, CallerAccounts
from .acks import ReplicaAcks
from .backends import BackendRegistry
from .diagnostics import ProxyDiagnostics
from .endpoints import ProxyEndpoints
from .grants import GrantTracker
from .models import ProxySettings
from .probes import ProbeCoordinator
from .pruning import RequestPruner
from .reachability import ProxyReachability
from .reads import ReadPath
from .renew import RenewCoordinator
from .routers import GroupRouters
from .sessions import CallerSessions
from .transactions import TransactionPath
from .writes import WritePath


class Proxy:
    """One proxy process."""

    def __init__(self, settings: ProxySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = uuid.uuid4().hex
        signer = RequestSigner(settings.shared_key.get_secret_value().encode())
        self._client = JsonClient(signer)
        self._views = ViewStore(settings.failure_domain, clock)
        self._accounts = CallerAccounts(self._views)
        self._peers = ControlPeers(settings.control_addresses, name=settings.name)
        self._confirmation = ViewConfirmation(
            self._views, self._peers, self._client, clock
        )
        self._limits = AccountLimits(
            settings.name,
            settings.http_listen,
            self._views,
            self._accounts,
            self._peers,
            self._client,
            clock,
        )
        self._grants = GrantTracker(clock)
        self._table = ServerTable(clock)
        self._registry = BackendRegistry(
            settings.name, self._views, self._table, self._probe_now, clock
        )
        self._counters = Counters()
        self._terms: dict[str, tuple[int, Phase]] = {}
        self._build_statement_paths()
        self._build_coordinators()
        self._listener = CallerListener(
            Address.parse(settings.listen),
            self._sessions,
            clock,
            tls=_tls_context(settings),
            workers=settings.workers,
            max_callers=settings.max_callers,
        )
        self._rotation_coordinator.set_callers(self._listener)
        self._build_http(signer)

    @property
    def caller_address(self) -> Address:
        """The address on which callers connect."""
        return self._listener.address

    @property
    def view_version(self) -> int:
        """Version of the committed state that this process applies."""
        return self._views.view.version

    @property
    def http_address(self) -> Address:
        """The address of the proxy's HTTP server."""
        return self._http.address

    def set_up(self) -> None:
        """Start all components.

        Callers are accepted at once, but their statements are refused as not run
        until the first view has been received from control.
        """
        self._views.add_listener(self._apply_settings)
        self._views.add_listener(self._apply_servers)
        self._limits.set_up()
        self._registry.set_up()
        self._probes.set_up()
        self._http.set_up()
        self._watch.set_up()
        self._view_check.set_up()
        self._renew = self._build_renewal()
        self._renew.set_up()
        self._sessions.set_up()
        self._pruner.set_up()
        self._listener.set_up()
        self._rotation_coordinator.set_up()
        self._views.add_listener(self._renew_for_changed_groups)
        log_event(
            "proxy_started",
            address=self.caller_address,
            http_address=self.http_address,
        )

    def drain(self) -> bool:
        """Finish requests in flight; return whether none had to be aborted."""
        log_event("drain_started", callers=self._listener.callers)
        self._diagnostics.start_draining()
        is_complete = self._listener.drain(self._settings.drain_seconds)
        log_event("drain_ended", is_complete=is_complete)
        return is_complete

    def unload(self) -> None:
        """Release grants and connection shares and stop all components."""
        self._renew.start_draining()
        self._rotation_coordinator.unload()
        self._listener.unload()
        for group in self._views.view.groups.values():
            self._grants.release(group.name, group.term, 0)
        self._renew.unload()
        self._report_release()
        self._view_check.unload()
        self._watch.unload()
        self._confirmation.unload()
        self._limits.unload()
        self._sessions.unload()
        self._pruner.unload()
        self._probes.unload()
        self._acks.unload()
        self._registry.unload()
        self._http.unload()
        self._client.close()
        log_event("proxy_stopped")

    def request_drain(self) -> None:
        """Start draining; the process keeps running until it gets a signal."""
        threading.Thread(target=self.drain, name="drain", daemon=True).start()

    def _build_statement_paths(self) -> None:
        clock = self._clock
        access = BackendAccess(self._registry, self._table, clock)
        settings = self._views.settings(None)
        budget = RetryBudget(
            clock, settings.retry_budget_ratio, settings.retry_budget_min
        )
        self._budget = budget
        self._acks = ReplicaAcks(self._views, self._registry, self._table, clock)
        reads = ReadPath(
            self._views,
            self._grants,
            access,
            self._table,
            GroupRouters(self._views, self._table),
            budget,
            self._counters,
            clock,
        )
        writes = WritePath(self._views, self._grants, access, self._acks, budget, clock)
        transactions = TransactionPath(self._views, self._grants, reads, writes, clock)
        self._sessions = CallerSessions(
            self._views,
            self._confirmation,
            reads,
            writes,
            transactions,
            self._accounts,
            self._limits.limiter,
            self._counters,
            clock,
        )
        self._pruner = RequestPruner(self._views, self._grants, writes, clock)

    def _build_coordinators(self) -> None:
        self._watch = WatchCoordinator(
            self._views, self._peers, self._client, self._clock
        )
        self._view_check = ViewCheck(self._views, self._confirmation, self._clock)
        self._probes = ProbeCoordinator(
            self._views,
            self._table,
            Prober(self._pool_of, self._clock, self._probe_timeout),
            self._renew_now,
            self._clock,
        )
        self._rotation = Rotation(self._clock)
        self._rotation_coordinator = RotationCoordinator(
            self._rotation,
            self._peers,
            ProxyReachability(self._views, self._grants, self._table),
            self._clock,
        )

    def _build_renewal(self) -> RenewCoordinator:
        identity = RenewRequest(
            proxy=self._settings.name,
            incarnation=self._incarnation,
            failure_domain=self._settings.failure_domain,
            address=str(self.http_address),
            view_version=0,
        )
        return RenewCoordinator(
            identity,
            self._views,
            self._grants,
            self._registry,
            self._peers,
            self._client,
            self._observe,
            self._table.announcements,
            self._clock,
        )

    def _build_http(self, signer: RequestSigner) -> None:
        settings = self._settings
        self._diagnostics = ProxyDiagnostics(
            settings.name,
            self._views,
            self._grants,
            self._registry,
            lambda: self._listener.callers,
            lambda: self._renew.seconds_since_renewal,
            self._rotation,
            self._accounts.usage,
        )
        endpoints = ProxyEndpoints(
            self._incarnation,
            settings.failure_domain,
            self._grants,
            self._table,
            self._counters,
            self._diagnostics,
            self._renew_now,
            self.request_drain,
        )
        address = Address.parse(settings.http_listen)
        routes = [*endpoints.routes(), *self._limits.routes()]
        self._http = JsonServer(address, signer, routes)

    def _pool_of(self, server: BackendServer) -> MySqlPool:
        return self._registry.backend(server).pool

    def _probe_now(self, server: str) -> None:
        self._probes.probe_now(server)

    def _probe_timeout(self, server: BackendServer) -> float:
        return self._views.settings(server.group).probe_timeout_ms / MILLISECONDS

    def _renew_now(self) -> None:
        self._renew.wake()

    def _observe(self) -> list[Observation]:
        return self._table.observations()

    def _apply_settings(self, _view: ProxyView) -> None:
        settings = self._views.settings(None)
        self._budget.update_settings(
            settings.retry_budget_ratio, settings.retry_budget_min
        )

    def _apply_servers(self, view: ProxyView) -> None:
        self._table.adopt_committed(view.servers.values())

    def _renew_for_changed_groups(self, view: ProxyView) -> None:
        """Request grants at once when a group's term or phase has changed.

        Otherwise callers would wait for the next periodic renewal after each failover.
        """
        terms = {
            group.name: (group.term, group.phase) for group in view.groups.values()
        }
        if terms != self._terms:
            self._terms = terms
            self._renew_now()

    def _report_release(self) -> None:
        """Report to control at once that this proxy holds no grants any more."""
        self._renew.step()


def _tls_context(settings: ProxySettings) -> ssl.SSLContext | None:
    if settings.tls_certificate is None or settings.tls_key is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.tls_certificate, settings.tls_key)
    return context
