"""Convert backend servers' heartbeats into commands."""

import threading
from collections.abc import Iterator
from dataclasses import dataclass, replace

from dogwoodspool_common import BackendServer, Clock, Role
from dogwoodspool_control.commands import BootstrapGroup, Command, RecordServer
from dogwoodspool_control.state import ControlState

from .const import ADDRESS_HOLD_SECONDS, FIRST_TERM
from .models import Heartbeat


@dataclass(frozen=True, slots=True)
class ReceivedHeartbeat:
    """The newest heartbeat of a server, timed by the leader's clock on receipt."""

    incarnation: int
    sequence: int
    role: Role | None
    received_at: float


class HeartbeatTracker:
    """Track heartbeats and determine what they change in the committed state.

    A heartbeat delayed by a network partition may arrive after newer ones of its
    process, after its process has ended, or after another server has taken over its
    address. Such a heartbeat is ignored. It is recognized by its sequence, by its
    incarnation, or by a server at the same address that started later.
    """

    def __init__(self, clock: Clock, state: ControlState) -> None:
        self._clock = clock
        self._state = state
        self._lock = threading.Lock()
        self._latest: dict[str, ReceivedHeartbeat] = {}
        self._lower_sequences: dict[str, int] = {}
        self._started_at = clock.now()

    def reset(self) -> None:
        """Discard all heartbeats at the start of a leadership."""
        with self._lock:
            self._latest.clear()
            self._lower_sequences.clear()
            self._started_at = self._clock.now()

    def silence(self, server: str) -> float:
        """Return the seconds since the last heartbeat of a server.

        Without one, they count from the start of the leadership.
        """
        with self._lock:
            latest = self._latest.get(server)
            since = self._started_at if latest is None else latest.received_at
        return self._clock.now() - since

    def role(self, server: BackendServer) -> Role | None:
        """Return the role that this process of a server last reported."""
        with self._lock:
            latest = self._latest.get(server.name)
        if latest is None or latest.incarnation != server.incarnation:
            return None
        return latest.role

    def record(self, heartbeat: Heartbeat) -> list[Command]:
        """Record a heartbeat; return the commands that follow from it.

        The heartbeat may be acknowledged once they are committed.
        """
        if self._is_late(heartbeat):
            return []
        server = heartbeat.server
        with self._lock:
            self._latest[server.name] = ReceivedHeartbeat(
                server.incarnation,
                heartbeat.sequence,
                heartbeat.role,
                self._clock.now(),
            )
        return list(self._due(heartbeat))

    def end(self, name: str, incarnation: int | None = None) -> list[Command]:
        """Record that a server's process ends; return the commands that follow.

        Args:
            name: the server.
            incarnation: the process that ends; None if not stated. The recorded process
                is then meant, provided that it is leaving: a server announces its
                leaving before it ends, and a delayed message must not end a process
                that started later.
        """
        known = self._state.servers.get(name)
        if known is None or known.is_gone:
            return []
        if incarnation is None and not known.is_leaving:
            return []
        if incarnation not in (None, known.incarnation):
            return []
        return [RecordServer(replace(known, is_leaving=True, is_gone=True))]

    def _is_late(self, heartbeat: Heartbeat) -> bool:
        server = heartbeat.server
        if server.incarnation <= self._state.ended_servers.get(server.name, -1):
            return True
        known = self._state.servers.get(server.name)
        if known is not None:
            if server.incarnation < known.incarnation:
                return True
            is_same = server.incarnation == known.incarnation
            if is_same and _has_ended_for_good(known):
                return True
        if any(self._is_newer_process(one, server) for one in self._others(server)):
            return True
        return self._is_out_of_order(heartbeat)

    def _is_newer_process(self, holder: BackendServer, claimant: BackendServer) -> bool:
        """Tell whether the recorded holder of an address is the newer process."""
        if holder.is_gone or holder.incarnation < claimant.incarnation:
            return False
        if holder.incarnation > claimant.incarnation:
            return True
        return self.silence(holder.name) < ADDRESS_HOLD_SECONDS

    def _is_out_of_order(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a newer heartbeat of the same process was received before.

        A server that does not report its start time may have restarted, in which case
        its sequence starts again from a lower number. Two consecutive heartbeats after
        the drop are taken as a restart.
        """
        name = heartbeat.server.name
        with self._lock:
            latest = self._latest.get(name)
            if latest is None or latest.incarnation != heartbeat.server.incarnation:
                return False
            # The same call may come again, as its changes may not have been committed.
            if heartbeat.sequence >= latest.sequence:
                return False
            lower_sequence = self._lower_sequences.get(name)
            self._lower_sequences[name] = heartbeat.sequence
            is_restart = (
                lower_sequence is not None and heartbeat.sequence == lower_sequence + 1
            )
            return heartbeat.server.incarnation > 0 or not is_restart

    def _due(self, heartbeat: Heartbeat) -> Iterator[Command]:
        server = heartbeat.server
        for other in self._others(server):
            if not _has_ended_for_good(other):
                yield RecordServer(replace(other, is_leaving=True, is_gone=True))
        known = self._state.servers.get(server.name)
        if known is not None and known.incarnation == server.incarnation:
            # A process that has announced its leaving never returns to service.
            is_leaving = known.is_leaving or server.is_leaving
            server = replace(server, is_leaving=is_leaving, is_retired=known.is_retired)
        if known != server:
            yield RecordServer(server)
        is_new_group = self._state.group(server.group) is None
        if is_new_group and heartbeat.role is Role.PRIMARY:
            yield BootstrapGroup(server.group, FIRST_TERM, server.name)

    def _others(self, server: BackendServer) -> list[BackendServer]:
        return [
            other
            for other in self._state.servers.values()
            if other.address == server.address and other.name != server.name
        ]


def _has_ended_for_good(server: BackendServer) -> bool:
    """Tell whether a server has announced its end or another has its address.

    One that only did not listen for a while may return.
    """
    return server.is_gone and server.is_leaving
