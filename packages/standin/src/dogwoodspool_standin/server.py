"""One backend server of a stand-in database group."""

import os
from collections.abc import Callable

from dogwoodspool_api import Announcement, PositionMessage
from dogwoodspool_common import (
    Address,
    Clock,
    JsonClient,
    JsonServer,
    RequestSigner,
    Role,
    log_event,
)
from dogwoodspool_common.const import MILLISECONDS

from .announcer import Announcer
from .commands import StandinCommands
from .const import FIRST_TERM, HTTP_THREADS, REPLICATION_USER, SLOT_WAIT_TIMEOUT
from .counters import StatementCounters
from .diagnostics import Diagnostics
from .faults import FaultsMessage, FaultsRequest, FaultSwitches
from .introspection import Introspection
from .listener import Listener
from .member import GroupMember
from .models import DurableState
from .replication import Replicator
from .session import CallerSession, SessionDependencies
from .settings import StandinSettings
from .slots import Slots
from .state import StateStore
from .storage import Storage


class StandinServer:
    """A backend server of a stand-in database group.

    Args:
        settings: settings of the server; ports may be 0.
        clock: the runtime's clock.
        terminate: ends the process when the ``kill`` switch is set.

    Example:
        >>> server = StandinServer(settings, SystemClock())
        >>> server.set_up()
        >>> pymysql.connect(host=server.address.host, port=server.address.port)
        >>> server.unload()
    """

    def __init__(
        self,
        settings: StandinSettings,
        clock: Clock,
        terminate: Callable[[int], None] = os._exit,
    ) -> None:
        self._settings = settings
        settings.data_folder.mkdir(parents=True, exist_ok=True)
        shared_key = settings.shared_key.get_secret_value()
        signer = RequestSigner(shared_key.encode())
        self._faults = FaultSwitches(_initial_faults(settings), terminate)
        self._slots = Slots(settings.slots, SLOT_WAIT_TIMEOUT, clock)
        self._storage = Storage(settings.data_folder, clock)
        self._member = GroupMember(
            name=settings.name,
            failure_domain=settings.failure_domain,
            initial=_initial_state(settings),
            storage=self._storage,
            store=StateStore(settings.data_folder),
            clock=clock,
            is_leaving=lambda: self._faults.current.leaving,
        )
        self._listener = Listener(
            address=Address.parse(settings.listen),
            limit=settings.connections,
            connect_delay_ms=settings.connect_delay_ms,
            users={
                settings.user: settings.password.get_secret_value(),
                REPLICATION_USER: shared_key,
            },
            faults=self._faults,
            new_session=lambda: CallerSession(self._dependencies),
        )
        self._replicator = Replicator(
            member=self._member,
            storage=self._storage,
            callers=self._listener,
            faults=self._faults,
            shared_key=shared_key,
            failure_domain=settings.failure_domain,
            clock=clock,
        )
        counters = StatementCounters()
        self._dependencies = SessionDependencies(
            storage=self._storage,
            member=self._member,
            commands=StandinCommands(
                member=self._member,
                slots=settings.slots,
                connections=settings.connections,
                writers=self._listener,
                follower=self._replicator,
            ),
            introspection=Introspection(self._member),
            slots=self._slots,
            faults=self._faults,
            counters=counters,
            clock=clock,
            lock_wait=settings.lock_wait_ms / MILLISECONDS,
        )
        self._diagnostics = Diagnostics(
            self._member,
            self._listener.connection_limiter,
            self._slots,
            counters,
            self._faults,
        )
        self._http = JsonServer(
            Address.parse(settings.control_listen),
            signer,
            [*self._faults.routes(), self._diagnostics.route()],
            threads=HTTP_THREADS,
        )
        self._client = JsonClient(signer)
        self._announcers = [
            Announcer(
                peer=peer,
                interval=settings.announce_interval_ms / MILLISECONDS,
                client=self._client,
                faults=self._faults,
                announcement=self._announcement,
            )
            for peer in settings.announce_addresses
        ]
        self._faults.set_change_handler(self._handle_fault_change)

    @property
    def address(self) -> Address:
        """Address for callers; its port is known after ``set_up``."""
        return self._listener.address

    @property
    def control_address(self) -> Address:
        """HTTP address of the fault switches and the diagnostics."""
        return self._http.address

    @property
    def faults(self) -> FaultSwitches:
        """The fault switches."""
        return self._faults

    @property
    def diagnostics(self) -> Diagnostics:
        """Counters and state."""
        return self._diagnostics

    def set_up(self) -> None:
        """Start serving callers, replicating and announcing the server."""
        self._listener.set_up()
        self._http.set_up()
        self._replicator.set_up()
        for announcer in self._announcers:
            announcer.set_up()
        log_event(
            "standin_ready",
            address=self.address,
            control_address=self.control_address,
            role=self._member.status().role,
        )

    def unload(self) -> None:
        """Stop the server; committed data stays in the data folder."""
        self._faults.apply(FaultsRequest(freeze=False))
        for announcer in self._announcers:
            announcer.unload()
        self._replicator.unload()
        self._http.unload()
        self._member.interrupt_waits()
        self._listener.unload()
        self._client.close()
        self._member.close()

    def _announcement(self) -> Announcement:
        status = self._member.status()
        return Announcement(
            server=self._settings.name,
            group=self._settings.group,
            failure_domain=self._settings.failure_domain,
            address=str(self.address),
            role=status.role,
            position=PositionMessage.of(status.position),
            slots=self._settings.slots,
            connections=self._settings.connections,
            is_leaving=status.is_leaving,
        )

    def _handle_fault_change(self, request: FaultsRequest) -> None:
        if request.silence_connections:
            self._listener.silence()
        if request.refuse_connections or request.cut_failure_domains:
            self._listener.drop_cut()
        if request.freeze:
            self._listener.freeze()


def _initial_faults(settings: StandinSettings) -> FaultsMessage:
    return FaultsMessage(
        lag_ms=settings.replication_lag_ms,
        statement_ms=settings.statement_ms,
        latency_ms=settings.latency_ms,
    )


def _initial_state(settings: StandinSettings) -> DurableState:
    is_primary = settings.role is Role.PRIMARY
    follow = None if is_primary else settings.follow_address
    return DurableState(
        role=settings.role,
        term=FIRST_TERM if is_primary else 0,
        fenced_term=0,
        follow=follow,
        follow_term=FIRST_TERM if follow else 0,
    )
