"""Decide what a read must reflect and on which server it runs."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from dogwoodspool_common import (
    BackendServer,
    Clock,
    Consistency,
    Position,
    log_rate_limited,
)
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_following import ViewStore
from dogwoodspool_routing import ServerTable

from .const import CATCH_UP_SHARE, MAX_CATCH_UP_WAITS
from .freshness import FreshnessTracker
from .held import ConnectionAccess, HeldConnection, ReadBound
from .known_primaries import KnownPrimaries
from .models import ErrorCode, Reply
from .placement import rank_for_read
from .read_choice import ReadChoice, ReadChooser, ReadConditions
from .requests import Request


@dataclass(frozen=True, slots=True)
class SharedReads:
    """What places the reads of a group whose pools are shared among proxies.

    Attributes:
        chooser: chooses a server by its cost.
        freshness: the positions that satisfy bounds on the age of data.
        share: returns the part of a group's load that an owner has; None if the pools
            of the group are not shared.
        clock: the clock that reads wait on.
    """

    chooser: ReadChooser
    freshness: FreshnessTracker
    share: Callable[[str], float | None]
    clock: Clock


class ReadPlacement:
    """Choose servers for reads and read-only transactions.

    Args:
        shared: places reads of groups whose pools are shared; all others are placed by
            constant penalties and never wait for a replica.
    """

    def __init__(
        self,
        views: ViewStore,
        table: ServerTable,
        known: KnownPrimaries,
        access: ConnectionAccess[HeldConnection],
        shared: SharedReads | None = None,
    ) -> None:
        self._shared = shared
        self._lock = threading.Lock()
        self._waiting = 0
        self._views = views
        self._table = table
        self._known = known
        self._access = access

    def bound(self, request: Request) -> ReadBound | None:
        """Return what a server must reflect; None if only the primary may serve it."""
        endpoint = request.endpoint
        if endpoint.consistency is Consistency.PRIMARY or request.max_age is None:
            return None
        is_own = endpoint.consistency is Consistency.READ_YOUR_WRITES
        at_least = request.session_position if is_own else None
        bound = ReadBound(request.max_age, at_least)
        if not self._access.can_satisfy(endpoint.group, bound):
            return None
        return bound

    def choose(
        self,
        request: Request,
        bound: ReadBound,
        excluded: set[str],
        *,
        may_wait: bool = False,
    ) -> ReadChoice | None:
        """Return the best server for a read; None if all are excluded or unusable.

        Args:
            request: the read.
            bound: what the server must reflect.
            excluded: servers that did not serve it.
            may_wait: whether it may wait for a replica to reach its position.
        """
        group = request.endpoint.group
        servers, primary = self._table.servers(group), self._known.current(group)
        shared = self._shared_by(group)
        if shared is None:
            ranked = rank_for_read(
                servers,
                primary=primary,
                failure_domain=self._views.failure_domain,
                excluded=excluded,
            )
            return ReadChoice(ranked[0].server) if ranked else None
        conditions = ReadConditions(
            primary,
            self._views.failure_domain,
            excluded,
            _min_position(shared, group, bound),
            self._max_wait(request, shared.clock.now()) if may_wait else 0.0,
            request.target - shared.clock.now(),
        )
        choice = shared.chooser.choose(servers, conditions)
        if choice is not None:
            _log_read_placed(request, choice, primary)
        return choice

    def is_by_load(self, group: str) -> bool:
        """Return whether ``choose`` considers the load and lag of a group's servers."""
        return self._shared_by(group) is not None

    def keeps_room(self, server: BackendServer, bound: ReadBound) -> bool:
        """Return whether a primary's room is kept from reads that replicas can serve.

        The proxy that a caller is connected to chooses the server of a read-only
        transaction and sees little of the primary's load, so the owner checks it.
        """
        shared = self._shared_by(server.group)
        if shared is None or not self.is_primary(server):
            return False
        min_position = _min_position(shared, server.group, bound)
        if min_position is None:
            return False
        conditions = ReadConditions(
            server.name, self._views.failure_domain, (), min_position, 0.0
        )
        choice = shared.chooser.choose(self._table.servers(server.group), conditions)
        return choice is not None and choice.server.name != server.name

    def wait(self, request: Request, choice: ReadChoice) -> Request:
        """Wait until a replica is expected to have the position of a read.

        The read holds no connection and no admission meanwhile.

        Returns:
            The read, which may wait for admission as long as if it had not waited here.
        """
        shared = self._shared_by(request.endpoint.group)
        if shared is None or not choice.wait:
            return request
        began_at = shared.clock.now()
        self._count_waiting(1)
        try:
            shared.clock.sleep(choice.wait)
        finally:
            self._count_waiting(-1)
        waited = shared.clock.now() - began_at
        _log_read_waited(request, choice, waited)
        return replace(request, waited=request.waited + waited)

    def record_wait(self, choice: ReadChoice, reply: Reply) -> None:
        """Record whether a replica had the position of a read that had waited."""
        shared = self._shared_by(choice.server.group)
        if shared is None or not choice.wait or choice.min_position is None:
            return
        is_behind = reply.error is not None and reply.error.code is ErrorCode.BEHIND
        shared.chooser.record_wait(
            choice.server.name, choice.min_position, was_enough=not is_behind
        )

    def is_primary(self, server: BackendServer) -> bool:
        """Return whether a server is probably the primary of its group."""
        return server.name == self._known.current(server.group)

    def _shared_by(self, group: str) -> SharedReads | None:
        if self._shared is None or self._shared.share(group) is None:
            return None
        return self._shared

    def _max_wait(self, request: Request, now: float) -> float:
        """Return the seconds that a read may still wait for a replica."""
        if self._waiting >= MAX_CATCH_UP_WAITS:
            return 0.0
        arrived_at = request.arrived_at
        target_latency = request.target - arrived_at
        return max(0.0, arrived_at + target_latency * CATCH_UP_SHARE - now)

    def _count_waiting(self, change: int) -> None:
        with self._lock:
            self._waiting += change


def _min_position(shared: SharedReads, group: str, bound: ReadBound) -> Position | None:
    recent = shared.freshness.min_position(group, bound.max_age)
    if recent is None or bound.at_least is None:
        return recent
    return max(recent, bound.at_least)


def log_read_moved(request: Request, server: BackendServer, reason: object) -> None:
    """Log that a read or the begin of a read-only transaction tries another server."""
    log_rate_limited(
        "read_moved",
        request=request.statement.request_id,
        database=request.endpoint.database,
        server=server.name,
        reason=reason,
    )


def _log_read_placed(request: Request, choice: ReadChoice, primary: str | None) -> None:
    """Log the chosen server with the costs that led to the choice."""
    log_rate_limited(
        "read_placed",
        request=request.statement.request_id,
        database=request.endpoint.database,
        server=choice.server.name,
        primary=primary,
        reason=choice.reason,
        costs=choice.costs_text,
    )


def _log_read_waited(request: Request, choice: ReadChoice, waited: float) -> None:
    position = choice.min_position
    log_rate_limited(
        "read_waited",
        request=request.statement.request_id,
        server=choice.server.name,
        position="-" if position is None else f"{position.term}.{position.offset}",
        waited_ms=round(waited * MILLISECONDS, 1),
    )
