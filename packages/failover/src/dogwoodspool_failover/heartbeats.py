"""Turn backend servers' heartbeats into commands."""

import threading
from collections.abc import Iterator
from dataclasses import dataclass, replace

from dogwoodspool_common import BackendServer, Clock, Role
from dogwoodspool_control.commands import BootstrapGroup, Command, RecordServer
from dogwoodspool_control.state import ControlState

from .const import ADDRESS_HOLD_SECONDS, FIRST_TERM
from .models import Heartbeat


@dataclass(frozen=True, slots=True)
class Heard:
    """The newest heartbeat of a server, by the leader's time of receipt."""

    incarnation: int
    sequence: int
    role: Role | None
    at: float


class HeartbeatBook:
    """Remember heartbeats and say what they change in the committed state.

    A heartbeat may arrive late, from behind a partition: after newer ones of its
    process, after its process has ended, or after another server has taken its
    address. Such a one changes nothing. It shows by its sequence, by its
    incarnation, or by a server of a later start at the same address.
    """

    def __init__(self, clock: Clock, state: ControlState) -> None:
        self._clock = clock
        self._state = state
        self._lock = threading.Lock()
        self._heard: dict[str, Heard] = {}
        self._dropped_to: dict[str, int] = {}
        self._started_at = clock.now()

    def start_over(self) -> None:
        """Forget everything, as at the beginning of a leadership."""
        with self._lock:
            self._heard.clear()
            self._dropped_to.clear()
            self._started_at = self._clock.now()

    def silence(self, server: str) -> float:
        """Return the seconds since a server was last heard."""
        with self._lock:
            heard = self._heard.get(server)
            since = self._started_at if heard is None else heard.at
        return self._clock.now() - since

    def role(self, server: BackendServer) -> Role | None:
        """Return the role that this very process of a server last stated."""
        with self._lock:
            heard = self._heard.get(server.name)
        if heard is None or heard.incarnation != server.incarnation:
            return None
        return heard.role

    def take(self, beat: Heartbeat) -> list[Command]:
        """Take in a heartbeat; return the commands that it makes due.

        The heartbeat may be acknowledged once they are committed.
        """
        if self._is_late(beat):
            return []
        server = beat.server
        with self._lock:
            self._heard[server.name] = Heard(
                server.incarnation, beat.sequence, beat.role, self._clock.now()
            )
        return list(self._due(beat))

    def end(self, name: str, incarnation: int | None = None) -> list[Command]:
        """Take in that a server's process ends; return the commands due.

        Args:
            name: the server.
            incarnation: the process that ends; None where it does not say. It then
                is the recorded one if that one leaves: a server says so before it
                ends, and a late word must not end a process that came after.
        """
        known = self._state.servers.get(name)
        if known is None or known.is_gone:
            return []
        if incarnation is None and not known.is_leaving:
            return []
        if incarnation not in (None, known.incarnation):
            return []
        return [RecordServer(replace(known, is_leaving=True, is_gone=True))]

    def _is_late(self, beat: Heartbeat) -> bool:
        server = beat.server
        if server.incarnation <= self._state.ended_servers.get(server.name, -1):
            return True
        known = self._state.servers.get(server.name)
        if known is not None:
            if server.incarnation < known.incarnation:
                return True
            if known.is_gone and server.incarnation == known.incarnation:
                return True
        if any(self._outlives(one, server) for one in self._others(server)):
            return True
        return self._is_out_of_order(beat)

    def _outlives(self, holder: BackendServer, claimant: BackendServer) -> bool:
        """Tell whether the recorded holder of an address is the later process."""
        if holder.is_gone or holder.incarnation < claimant.incarnation:
            return False
        if holder.incarnation > claimant.incarnation:
            return True
        return self.silence(holder.name) < ADDRESS_HOLD_SECONDS

    def _is_out_of_order(self, beat: Heartbeat) -> bool:
        """Tell whether a newer heartbeat of the same process has come before.

        A server that does not state its start may have restarted: its sequence
        begins anew. Two heartbeats in order after the drop are taken for that.
        """
        name = beat.server.name
        with self._lock:
            heard = self._heard.get(name)
            if heard is None or heard.incarnation != beat.server.incarnation:
                return False
            if beat.sequence > heard.sequence:
                return False
            dropped_to = self._dropped_to.get(name)
            self._dropped_to[name] = beat.sequence
            is_restart = dropped_to is not None and beat.sequence == dropped_to + 1
            return beat.server.incarnation > 0 or not is_restart

    def _due(self, beat: Heartbeat) -> Iterator[Command]:
        server = beat.server
        for other in self._others(server):
            if not other.is_gone:
                yield RecordServer(replace(other, is_leaving=True, is_gone=True))
        known = self._state.servers.get(server.name)
        if known is not None and known.incarnation == server.incarnation:
            # A process that leaves does not come back to stay.
            is_leaving = known.is_leaving or server.is_leaving
            server = replace(server, is_leaving=is_leaving)
        if known != server:
            yield RecordServer(server)
        is_new_group = self._state.group(server.group) is None
        if is_new_group and beat.role is Role.PRIMARY:
            yield BootstrapGroup(server.group, FIRST_TERM, server.name)

    def _others(self, server: BackendServer) -> list[BackendServer]:
        return [
            other
            for other in self._state.servers.values()
            if other.address == server.address and other.name != server.name
        ]
