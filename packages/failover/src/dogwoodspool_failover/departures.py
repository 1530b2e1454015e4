"""Handle servers that leave: move the primary role, then remove their records."""

import threading
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from dogwoodspool_common import (
    BackendServer,
    Clock,
    GroupState,
    Phase,
    Position,
    Role,
    log_event,
)
from dogwoodspool_common.const import NEVER
from dogwoodspool_control.commands import BeginPromotion, Command, RemoveServer
from dogwoodspool_control.models import PromotionReason
from dogwoodspool_control.state import ControlState

from .const import (
    DEPARTURE_RETRY_SECONDS,
    PRESERVED_CHECK_SECONDS,
)
from .dependencies import ChangeDependencies
from .ended import EndedServers


class Departures:
    """Determine the commands due for servers that are leaving or have ended."""

    def __init__(
        self,
        clock: Clock,
        state: ControlState,
        dependencies: ChangeDependencies,
        ended: EndedServers | None = None,
    ) -> None:
        self._clock = clock
        self._state = state
        self._dependencies = dependencies
        self._ended = ended or EndedServers(dependencies)
        self._lock = threading.Lock()
        self._tried_at: dict[str, float] = {}
        self._in_progress: set[str] = set()
        self._preserved: set[tuple[str, int]] = set()
        self._replaceable: set[tuple[str, int]] = set()
        self._needed: dict[tuple[str, int, int], Position] = {}

    def reset(self) -> None:
        """Discard all state at the start of a leadership."""
        with self._lock:
            self._tried_at.clear()
            self._preserved.clear()
            self._replaceable.clear()
            self._needed.clear()

    def due_commands(self) -> Iterator[Command]:
        """Yield the commands that are due now."""
        for group in self._state.groups.values():
            if group.phase is not Phase.STEADY or group.primary is None:
                continue
            servers = self._state.servers_of(group.name)
            # A change of primary waits for every recorded server, and none can be
            # removed while it waits.
            yield from self._due_removals(group, servers)
            yield from self._due_switchover(group, servers)
        known = self._state.groups
        for server in self._state.servers.values():
            if server.is_gone and server.group not in known:
                yield RemoveServer(server.name)

    def _due_switchover(
        self, group: GroupState, servers: list[BackendServer]
    ) -> Iterator[Command]:
        primary = next((one for one in servers if one.name == group.primary), None)
        if primary is None or not primary.is_leaving:
            return
        if not primary.is_gone and not self._has_successor(group, servers, primary):
            return
        if not self._is_retry_due(f"switchover {group.name}", DEPARTURE_RETRY_SECONDS):
            return
        reason = PromotionReason.PLANNED
        if primary.is_gone:
            reason = PromotionReason.FAILED
        yield BeginPromotion(group.name, group.term, reason)

    def _has_successor(
        self, group: GroupState, servers: list[BackendServer], primary: BackendServer
    ) -> bool:
        """Tell whether a server that stays can take over from a leaving primary.

        Without one, the change would become a failover to another leaving server or to
        the same one, again and again.
        """
        key = group.name, group.term
        if all(one.is_leaving for one in servers if one.name != primary.name):
            return False
        self._check(
            f"successor {group.name}",
            lambda: self._check_successor(group, servers, primary),
        )
        with self._lock:
            return key in self._replaceable

    def _check_successor(
        self, group: GroupState, servers: list[BackendServer], primary: BackendServer
    ) -> None:
        """Look for a server that stays and has what the leaving primary had."""
        successor = self._find_holder(group, servers, primary)
        key = group.name, group.term
        with self._lock:
            if successor is None:
                self._replaceable.discard(key)
            else:
                self._replaceable.add(key)

    def _due_removals(
        self, group: GroupState, servers: list[BackendServer]
    ) -> Iterator[Command]:
        for server in servers:
            if not server.is_gone:
                self._forget(server)
                continue
            if server.name == group.primary:
                continue
            with self._lock:
                writes_preserved = (server.name, server.incarnation) in self._preserved
            if writes_preserved:
                yield RemoveServer(server.name)
            else:
                self._check(
                    f"writes {server.name}",
                    partial(self._check_writes_preserved, group, server),
                )

    def _forget(self, server: BackendServer) -> None:
        """Discard what was found of the end of a server that has returned."""
        if server.is_leaving:
            return
        key = server.name, server.incarnation
        with self._lock:
            self._preserved.discard(key)
            self._needed = {
                needed: position
                for needed, position in self._needed.items()
                if needed[:2] != key
            }

    def _check_writes_preserved(self, group: GroupState, gone: BackendServer) -> None:
        """Check that another replica has the writes the ended server acknowledged.

        A write that only the primary and the ended replica had is now on the primary
        alone. If the ended replica were removed at once and the primary then failed,
        a replica without that write could be promoted.
        """
        if not self._ended.has_ended(gone):
            return
        servers = self._state.servers_of(group.name)
        holder = self._find_holder(group, servers, gone)
        if holder is None:
            return
        log_event("departure_covered", server=gone.name, by=holder.name)
        with self._lock:
            self._preserved.add((gone.name, gone.incarnation))

    def _find_holder(
        self,
        group: GroupState,
        servers: Iterable[BackendServer],
        leaving: BackendServer,
    ) -> BackendServer | None:
        """Return a replica that stays and has all that is needed of a leaving server.

        That is what the primary had when the server had ended, or had begun to leave.
        """
        needed = self._needed_position(group, servers, leaving)
        if needed is None:
            return None
        for server in servers:
            if server.name == group.primary or server.is_gone or server.is_leaving:
                continue
            state = self._dependencies.state_of(server)
            if state is None or state.received.term != needed.term:
                continue
            if state.received >= needed:
                return server
        log_event(
            "departure_not_covered",
            server=leaving.name,
            needed=f"{needed.term}.{needed.offset}",
        )
        return None

    def _needed_position(
        self,
        group: GroupState,
        servers: Iterable[BackendServer],
        leaving: BackendServer,
    ) -> Position | None:
        """Return what the primary had once a server was leaving; None if not known.

        The first answer counts, as a replica under load is always a little behind the
        newest one. A primary that has restarted with a shorter log has not all of it.
        """
        key = leaving.name, leaving.incarnation, group.term
        with self._lock:
            known = self._needed.get(key)
        if known is not None:
            return known
        primary = next((one for one in servers if one.name == group.primary), None)
        if primary is None or primary.is_gone:
            return None
        state = self._dependencies.state_of(primary)
        if state is None or state.role is not Role.PRIMARY:
            return None
        start = None if group.epoch is None else group.epoch.start
        if start is not None and (
            state.received.term != start.term or state.received < start
        ):
            return None
        with self._lock:
            self._needed[key] = state.received
        return state.received

    def _check(self, key: str, check: Callable[[], None]) -> None:
        """Run a check in the background unless one is in progress or was just made."""
        with self._lock:
            if key in self._in_progress:
                return
        if not self._is_retry_due(key, PRESERVED_CHECK_SECONDS):
            return
        with self._lock:
            self._in_progress.add(key)
        self._dependencies.executor.submit(self._run_check, key, check)

    def _run_check(self, key: str, check: Callable[[], None]) -> None:
        try:
            check()
        finally:
            with self._lock:
                self._in_progress.discard(key)

    def _is_retry_due(self, key: str, pause: float) -> bool:
        now = self._clock.now()
        with self._lock:
            if now - self._tried_at.get(key, NEVER) < pause:
                return False
            self._tried_at[key] = now
            return True
