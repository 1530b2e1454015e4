"""Decide whether a write that a primary has acknowledged may be called successful.

A primary that replicates synchronously acknowledges a write once any other server has
it, also one that control has never heard of. A change of primary considers the
servers that control has recorded, so that only a write which one of those has is sure
to be kept.
"""

from collections.abc import Iterable
from contextlib import AbstractContextManager
from enum import StrEnum
from typing import Protocol, TypeGuard

from dogwoodspool_common import (
    BackendServer,
    Clock,
    GroupState,
    Phase,
    Position,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ProxyView, ViewStore
from dogwoodspool_settings import WriteAck

from .const import (
    APPLIED_RETRY_SECONDS,
    APPLIED_WAIT_SECONDS,
    FINAL_RETRY_SECONDS,
    MAX_FINAL_RETRY_SECONDS,
    REPLICA_ANSWER_SECONDS,
)
from .held import HeldConnection
from .replica_positions import ExpectedApply, KnownPosition


class Copy(StrEnum):
    """What a round of questions shows of a write.

    Attributes:
        FOUND: a server has it.
        UNPROVEN: a server has it that may have restarted since it was paused for a
            choice that did not count it.
        MISSING: no server that answered has it yet.
        BRANCHED: no server has it in its term, and one follows a newer primary, so
            that no other will receive it.
    """

    FOUND = "found"
    UNPROVEN = "unproven"
    MISSING = "missing"
    BRANCHED = "branched"


class Doubt(StrEnum):
    """Why a write is not sure to be kept, as callers and the log are told.

    Attributes:
        NO_REPLICA: no recorded replica can be reached.
        UNPROVEN: no replica is known to run since before any change of primary.
        NOT_RECEIVED: no recorded replica is known to have it.
        NOT_RECORDED: it is outside of the lead that control has recorded.
        GIVEN_UP: control has moved the group away from its server.
    """

    NO_REPLICA = "no replica that could receive it can be reached"
    UNPROVEN = "its replicas may have restarted during a change of primary"
    NOT_RECEIVED = "no recorded replica is known to have it"
    NOT_RECORDED = "the lead of its server is not recorded"
    GIVEN_UP = "control has given its server up as the primary"


class PositionQueries(Protocol):
    """Interface to the positions of replicas; see ``ReplicaPositions``."""

    def keeping(self) -> "AbstractContextManager[PositionQueries]":
        """Return positions whose connections are kept until the context ends."""
        ...

    def reachable(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the servers that can be asked, the preferred one first."""
        ...

    def first_to_apply(
        self, servers: Iterable[BackendServer], position: Position
    ) -> ExpectedApply | None:
        """Return the server that should be the first to apply a position."""
        ...

    def applied(
        self, server: BackendServer, position: Position, deadline: float
    ) -> KnownPosition | None:
        """Return what a server has applied; None without an answer."""
        ...

    def received(self, server: BackendServer, deadline: float) -> KnownPosition | None:
        """Return what a server has received; None without an answer."""
        ...

    def running_since(self, server: BackendServer) -> float | None:
        """Return since when a server's process is known to run.

        None without an open connection to it.
        """
        ...


class ViewReads(Protocol):
    """Interface to confirmed reads of the view; see ``ViewConfirmation``."""

    @property
    def is_overdue(self) -> bool:
        """Whether control should have confirmed the view by now."""
        ...

    def request_read(self) -> None:
        """Begin a confirmed read; do not wait for it."""
        ...


def is_given_up(view: ProxyView, server: BackendServer) -> bool:
    """Return whether control has moved a group away from a failed server.

    The new primary may lack what that server acknowledges.
    """
    group = view.groups.get(server.group)
    return group is not None and server.name in group.given_up


def may_lead(view: ProxyView, server: BackendServer) -> bool:
    """Return whether a server is the primary of its group's recorded epoch, if any.

    A promoted server may lead before control has recorded that, and be replaced by
    another call that is still open.
    """
    group = view.groups.get(server.group)
    if group is None or group.epoch is None:
        return True
    return group.epoch.server == server.name


def is_in_epoch(
    view: ProxyView, server: BackendServer, position: Position | None
) -> bool:
    """Return whether a primary's write belongs to its group's recorded epoch, if any.

    Terms tell a lead from an earlier or later one of the same server, where its answer
    states a position.
    """
    group = view.groups.get(server.group)
    if group is None or group.epoch is None:
        return True
    is_term = position is None or group.epoch.term == position.term
    return may_lead(view, server) and is_term


def deciding_servers(view: ProxyView, primary: BackendServer) -> list[BackendServer]:
    """Return the servers any of which makes a write of a primary final.

    During a planned change that is the chosen successor alone: the others no longer
    receive, and one that has started since is not considered in the choice. What a
    server acknowledges that a failover has moved the group away from is never final.
    """
    group = view.groups.get(primary.group)
    if group is None or is_given_up(view, primary):
        return []
    successor = _successor(group)
    return [
        one
        for one in view.servers_of(primary.group)
        if one.name != primary.name
        and not one.is_gone
        and (successor in (None, primary.name) or one.name == successor)
    ]


def _successor(group: GroupState) -> str | None:
    return group.primary if group.phase is Phase.PROMOTING else None


class FinalWrites:
    """Ask recorded replicas whether they have what a primary acknowledged.

    A replica that is paused for a choice receives again once it restarts. Its answer
    therefore counts only if its process has been running since before a confirmed read
    that showed the group steady: any change of primary that is not in the view then
    pauses that process and no earlier one. Where servers do not report incarnations,
    a name stands for one process.

    The answer rests on no clock and on no contact to control: whatever this process
    has not learned yet, a recorded replica that has a write is fenced with it before
    another server is chosen. That holds for writes of a recorded epoch: what a server
    acknowledges before its lead is recorded, or after, is never final.

    A group that does not replicate synchronously has its writes on no replica when they
    are acknowledged, and none is asked. The recorded epoch is compared there as well:
    what a replaced primary acknowledges is not passed on.

    Whether a replica has applied a write costs it nothing to tell, so that is asked
    first, if it can be expected soon. What it has received and not yet applied only a
    status query shows, which takes one of its slots.
    """

    def __init__(
        self,
        views: ViewStore,
        replicas: PositionQueries,
        reads: ViewReads,
        clock: Clock,
    ) -> None:
        self._views = views
        self._reads = reads
        self._replicas = replicas
        self._clock = clock

    def doubt_before(self, held: HeldConnection) -> Doubt | None:
        """Return why a write that is sent on a connection now cannot become final."""
        view = self._views.view
        if not may_lead(view, held.server):
            return Doubt.NOT_RECORDED
        if is_given_up(view, held.server):
            return Doubt.GIVEN_UP
        if held.is_remote or not self._is_replicated(held.server):
            return None
        servers = deciding_servers(view, held.server)
        reachable = self._replicas.reachable(servers)
        if not reachable:
            return Doubt.NO_REPLICA
        return None if any(map(self._is_provable, reachable)) else Doubt.UNPROVEN

    def doubt_after(
        self, held: HeldConnection, position: Position | None, deadline: float
    ) -> Doubt | None:
        """Return why an acknowledged write may be lost; None if it is sure to be kept.

        Args:
            held: the connection that the write or its commit was answered on.
            position: position of the primary's log in that answer.
            deadline: clock seconds until which to wait for a replica.
        """
        if held.is_remote:
            return _given_up(self._views.view, held.server)
        if not self._is_replicated(held.server):
            return self._doubt_of_lead(held.server, position)
        if position is None:
            return Doubt.NOT_RECEIVED
        with self._replicas.keeping() as replicas:
            return self._doubt_of_copies(replicas, held, position, deadline)

    def _doubt_of_copies(
        self,
        replicas: PositionQueries,
        held: HeldConnection,
        position: Position,
        deadline: float,
    ) -> Doubt | None:
        """Ask until a server has a position; return why it may be lost."""
        pause = FINAL_RETRY_SECONDS
        while True:
            if not is_in_epoch(self._views.view, held.server, position):
                return self._outside(held.server, position)
            copy = self._find_copy(replicas, held.server, position, deadline)
            if copy is Copy.FOUND:
                break
            if copy is Copy.UNPROVEN:
                self._reads.request_read()
            can_wait = self._clock.now() + pause < deadline
            doubt = self.doubt_before(held)
            if copy is Copy.BRANCHED or not can_wait or doubt is not None:
                is_unproven = copy is Copy.UNPROVEN
                return doubt or (Doubt.UNPROVEN if is_unproven else Doubt.NOT_RECEIVED)
            self._clock.sleep(pause)
            pause = min(2 * pause, MAX_FINAL_RETRY_SECONDS)
        return self._doubt_of_lead(held.server, position)

    def _doubt_of_lead(
        self, server: BackendServer, position: Position | None
    ) -> Doubt | None:
        view = self._views.view
        if not is_in_epoch(view, server, position):
            return self._outside(server, position)
        return _given_up(view, server)

    def _outside(self, server: BackendServer, position: Position | None) -> Doubt:
        """Log that a write is in no recorded epoch, and return that."""
        group = self._views.view.groups.get(server.group)
        epoch = None if group is None else group.epoch
        log_rate_limited(
            "write_outside_epoch",
            server=server.name,
            term=None if position is None else position.term,
            epoch_server=None if epoch is None else epoch.server,
            epoch_term=None if epoch is None else epoch.term,
            view=self._views.view.version,
        )
        return Doubt.NOT_RECORDED

    def _find_copy(
        self,
        replicas: PositionQueries,
        primary: BackendServer,
        position: Position,
        deadline: float,
    ) -> Copy:
        """Ask each server, some more than once, whether it has a position."""
        servers = replicas.reachable(deciding_servers(self._views.view, primary))
        if self._is_applied_soon(replicas, servers, position, deadline):
            return Copy.FOUND
        result = Copy.MISSING
        for server in servers:
            received = replicas.received(server, self._answer_by(deadline))
            if _is_copy(received, position):
                if self._is_proven(server, received):
                    return Copy.FOUND
                self._log_unproven(server, received)
                result = Copy.UNPROVEN
            elif received is not None and received.position.term > position.term:
                result = Copy.BRANCHED
        return result

    def _log_unproven(self, server: BackendServer, known: KnownPosition) -> None:
        running = self._clock.now() - known.running_since
        log_rate_limited(
            "replica_process_unproven",
            server=server.name,
            incarnation=server.incarnation,
            running_ms=round(running * MILLISECONDS),
            view=self._views.view.version,
        )

    def _is_proven(self, server: BackendServer, known: KnownPosition) -> bool:
        """Return whether the process that told a position is the one that counts."""
        return not server.incarnation or self._is_counted(server, known.running_since)

    def _is_counted(self, server: BackendServer, running_since: float) -> bool:
        """Return whether a change that is not in the view pauses a process first."""
        return running_since < self._views.steady_read_at(server.group)

    def _is_provable(self, server: BackendServer) -> bool:
        """Return whether an answer of a server can count soon."""
        if not server.incarnation:
            return True
        running_since = self._replicas.running_since(server)
        if running_since is not None and self._is_counted(server, running_since):
            return True
        group = self._views.view.groups.get(server.group)
        is_steady = group is not None and group.phase is Phase.STEADY
        return is_steady and not self._reads.is_overdue

    def _is_applied_soon(
        self,
        replicas: PositionQueries,
        servers: list[BackendServer],
        position: Position,
        deadline: float,
    ) -> bool:
        """Wait for a server to apply a position, if that is expected soon."""
        apply_by = min(deadline, self._clock.now() + APPLIED_WAIT_SECONDS)
        pause = 0.0
        while True:
            expected = replicas.first_to_apply(servers, position)
            if expected is None:
                return False
            wait = max(expected.seconds, pause)
            if self._clock.now() + wait > apply_by:
                return False
            if wait:
                self._clock.sleep(wait)
            applied = replicas.applied(
                expected.server, position, self._answer_by(deadline)
            )
            if _is_copy(applied, position):
                return self._is_proven(expected.server, applied)
            if applied is None or applied.position.term > position.term:
                return False
            pause = APPLIED_RETRY_SECONDS

    def _answer_by(self, deadline: float) -> float:
        return min(deadline, self._clock.now() + REPLICA_ANSWER_SECONDS)

    def _is_replicated(self, server: BackendServer) -> bool:
        """Return whether writes are acknowledged once a replica has them."""
        settings = self._views.settings(server.group)
        return settings.write_ack is not WriteAck.PRIMARY


def _given_up(view: ProxyView, server: BackendServer) -> Doubt | None:
    return Doubt.GIVEN_UP if is_given_up(view, server) else None


def _is_copy(
    known: KnownPosition | None, position: Position
) -> TypeGuard[KnownPosition]:
    """Return whether a server with a known position has another one of a primary.

    The log of a newer term may have branched off before.
    """
    if known is None or known.position.term != position.term:
        return False
    return known.position >= position
