"""Servers that leave: their lead, their writes and their record."""

import threading
from collections.abc import Iterator

from dogwoodspool_common import BackendServer, Clock, GroupState, Phase, log_event
from dogwoodspool_common.const import NEVER
from dogwoodspool_control.commands import BeginPromotion, Command, RemoveServer
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.state import ControlState

from .const import (
    COVER_RETRY_SECONDS,
    DEPARTURE_RETRY_SECONDS,
    SERVER_CALL_TIMEOUT,
)
from .errors import ServerCallError
from .parts import ChangeParts


class Departures:
    """Say what is due for servers that leave or have ended."""

    def __init__(self, clock: Clock, state: ControlState, parts: ChangeParts) -> None:
        self._clock = clock
        self._state = state
        self._parts = parts
        self._lock = threading.Lock()
        self._tried_at: dict[str, float] = {}
        self._covered: set[tuple[str, int]] = set()

    def start_over(self) -> None:
        """Forget everything, as at the beginning of a leadership."""
        with self._lock:
            self._tried_at.clear()
            self._covered.clear()

    def due_commands(self) -> Iterator[Command]:
        """Return the commands that are due now."""
        for group in self._state.groups.values():
            if group.phase is not Phase.STEADY or group.primary is None:
                continue
            servers = self._state.servers_of(group.name)
            yield from self._due_handover(group, servers)
            yield from self._due_removals(group, servers)
        known = self._state.groups
        for server in self._state.servers.values():
            if server.is_gone and server.group not in known:
                yield RemoveServer(server.name)

    def _due_handover(
        self, group: GroupState, servers: list[BackendServer]
    ) -> Iterator[Command]:
        primary = next((one for one in servers if one.name == group.primary), None)
        if primary is None or not primary.is_leaving:
            return
        has_successor = any(
            not one.is_leaving for one in servers if one.name != primary.name
        )
        if not has_successor and not primary.is_gone:
            return
        if not self._is_time(f"handover {group.name}", DEPARTURE_RETRY_SECONDS):
            return
        reason = PromotionReason.PLANNED
        if primary.is_gone:
            reason = PromotionReason.FAILED
        yield BeginPromotion(group.name, group.term, reason)

    def _due_removals(
        self, group: GroupState, servers: list[BackendServer]
    ) -> Iterator[Command]:
        for server in servers:
            if not server.is_gone or server.name == group.primary:
                continue
            with self._lock:
                is_covered = (server.name, server.incarnation) in self._covered
            if is_covered:
                yield RemoveServer(server.name)
            elif self._is_time(f"cover {server.name}", COVER_RETRY_SECONDS):
                self._parts.executor.submit(self._check_covered, group, server)

    def _check_covered(self, group: GroupState, gone: BackendServer) -> None:
        """See whether another replica has what was acknowledged with a server's help.

        A write that only the primary and the ended replica had is on the primary
        alone now. Were the ended one forgotten at once, a failure of the primary
        would be answered with a replica that lacks that write.
        """
        servers = self._state.servers_of(group.name)
        primary = next((one for one in servers if one.name == group.primary), None)
        if primary is None or primary.is_gone:
            return
        calls = self._parts.servers
        try:
            reached = calls.status(primary, SERVER_CALL_TIMEOUT).received
            for server in servers:
                if server.name == primary.name or server.is_gone:
                    continue
                replica = calls.status(server, SERVER_CALL_TIMEOUT)
                if replica.received >= reached and not server.is_leaving:
                    log_event("departure_covered", server=gone.name, by=server.name)
                    with self._lock:
                        self._covered.add((gone.name, gone.incarnation))
                    return
        except ServerCallError as error:
            log_event("departure_not_covered", server=gone.name, reason=error)

    def _is_time(self, key: str, pause: float) -> bool:
        now = self._clock.now()
        with self._lock:
            if now - self._tried_at.get(key, NEVER) < pause:
                return False
            self._tried_at[key] = now
            return True
