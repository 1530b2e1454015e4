"""Choose the backend server for a read."""

import random
from collections.abc import Sequence, Set
from dataclasses import dataclass
from typing import Final, Protocol

from dogwoodspool_common import GroupState
from dogwoodspool_common.const import MILLISECONDS
from expression import Error, Ok, Result

from .const import (
    REMOTE_DOMAIN_PENALTY,
    RETRY_AFTER_PROBE_MS,
    RETRY_AFTER_PROMOTION_MS,
)
from .eligibility import may_satisfy, satisfies
from .models import (
    NoServer,
    NoServerReason,
    ReadChoice,
    ReadNeed,
    RouterSettings,
    ServerView,
)

RANDOM_CANDIDATES: Final = 2


class KnownServers(Protocol):
    """Provide what is known of a group's servers."""

    def servers(self, group: str | None = None) -> list[ServerView]:
        """Return the servers of a group."""
        ...


@dataclass(frozen=True, slots=True)
class _Read:
    """One read and the conditions that its server must meet."""

    group: GroupState
    need: ReadNeed
    own_failure_domain: str
    unconfirmed_ms: float

    @property
    def can_be_fresh(self) -> bool:
        """Return whether any server's data can be recent enough."""
        max_age_ms = self.need.max_age_ms
        return max_age_ms is None or self.unconfirmed_ms <= max_age_ms

    def is_satisfied_by(self, view: ServerView) -> bool:
        """Return whether a server's last known status satisfies the read."""
        elapsed_ms = view.elapsed_ms + self.unconfirmed_ms
        return view.status is not None and satisfies(
            view.status, self.need, self.group, elapsed_ms
        )

    def may_be_satisfied_by(self, view: ServerView) -> bool:
        """Return whether a newer status of a server could satisfy the read."""
        return view.status is not None and may_satisfy(
            view.status, self.need, self.group
        )

    def cost(self, view: ServerView) -> float:
        """Return the cost in seconds by which replicas are compared."""
        is_local = view.server.failure_domain == self.own_failure_domain
        return view.estimated_time + (0.0 if is_local else REMOTE_DOMAIN_PENALTY)


class ReadRouter:
    """Route reads to replicas wherever their consistency guarantees allow it.

    Servers are preferred in this order: a replica whose last status already
    satisfies the read; a replica that probably satisfies it by now, if querying and
    waiting for it takes little longer than the primary would; the primary; any
    replica that may catch up. Of several replicas, two are drawn at random and the
    one with the lower estimated time is chosen. A replica of another failure domain
    must be faster by its additional network latency.

    Args:
        random_source: for tests; each proxy needs a seed of its own, so that
            proxies with the same view do not all choose the same replica.
    """

    def __init__(
        self,
        table: KnownServers,
        settings: RouterSettings,
        random_source: random.Random | None = None,
    ) -> None:
        self._table = table
        self._settings = settings
        self._random = random_source or random.Random()

    def update_settings(self, settings: RouterSettings) -> None:
        """Use other settings from now on."""
        self._settings = settings

    def choose(
        self,
        group: GroupState,
        need: ReadNeed,
        *,
        exclude: Set[str] = frozenset(),
        own_failure_domain: str,
        unconfirmed_ms: float = 0.0,
    ) -> Result[ReadChoice, NoServer]:
        """Choose a server for one read.

        Args:
            group: the group's committed state.
            need: what the answer must reflect.
            exclude: servers on which this read has already failed.
            own_failure_domain: the failure domain of this process.
            unconfirmed_ms: time since control's confirmation that the group's term is
                current has expired, 0 while it is valid. Since then a newer term may
                have begun elsewhere: data here may be older than its status says by
                that much, and a session whose writes are not known may have written
                in the newer term.
        """
        read = _Read(group, need, own_failure_domain, unconfirmed_ms)
        views = [
            view for view in self._table.servers(group.name) if view.name not in exclude
        ]
        primaries = [view for view in views if view.name == group.primary]
        primary = next((view for view in primaries if view.takes_primary_work), None)
        if need.needs_primary:
            return _primary_only(read, primary)
        replicas = [
            view
            for view in views
            if view.name != group.primary and view.takes_replica_work
        ]
        satisfying = [view for view in replicas if read.is_satisfied_by(view)]
        if satisfying:
            return self._choose_replica(read, satisfying, must_check_status=False)
        if not read.can_be_fresh:
            reason = NoServerReason.TERM_UNCONFIRMED
            return Error(NoServer(reason, RETRY_AFTER_PROBE_MS))
        return self._choose_unverified(read, primary, replicas)

    def _choose_unverified(
        self, read: _Read, primary: ServerView | None, replicas: Sequence[ServerView]
    ) -> Result[ReadChoice, NoServer]:
        """Choose between the primary and replicas whose status must be checked."""
        candidates = [view for view in replicas if read.may_be_satisfied_by(view)]
        likely = [view for view in candidates if self._is_worth_checking(view, primary)]
        if likely:
            return self._choose_replica(read, likely, must_check_status=True)
        if primary is not None:
            return Ok(ReadChoice(primary.server, False, True))
        if candidates:
            # Without a primary, a replica that lags far behind may still catch up
            # in time.
            furthest = [max(candidates, key=_progress)]
            return self._choose_replica(read, furthest, must_check_status=True)
        return Error(_no_server(read.group))

    def _choose_replica(
        self, read: _Read, views: Sequence[ServerView], *, must_check_status: bool
    ) -> Result[ReadChoice, NoServer]:
        drawn = self._random.sample(list(views), min(RANDOM_CANDIDATES, len(views)))
        chosen = min(drawn, key=read.cost)
        return Ok(ReadChoice(chosen.server, must_check_status, False))

    def _is_worth_checking(self, view: ServerView, primary: ServerView | None) -> bool:
        """Return whether to wait for a replica rather than use the primary.

        Writes need the primary's slots, so a replica may take longer than the primary
        by up to the whole replica wait. The busier the primary, the longer a replica
        may take.
        """
        status = view.status
        if status is None or status.lag_ms is None:
            return False
        if status.lag_ms > self._settings.replica_wait_ms:
            return False
        if primary is None:
            return True
        allowed = self._settings.replica_wait_ms / MILLISECONDS
        expected = status.lag_ms / MILLISECONDS + view.estimated_time
        return expected <= primary.estimated_time + allowed


def _primary_only(
    read: _Read, primary: ServerView | None
) -> Result[ReadChoice, NoServer]:
    if read.unconfirmed_ms > 0:
        reason = NoServerReason.TERM_UNCONFIRMED
        return Error(NoServer(reason, RETRY_AFTER_PROBE_MS))
    if primary is None:
        return Error(_no_server(read.group))
    return Ok(ReadChoice(primary.server, False, True))


def _progress(view: ServerView) -> tuple[int, int]:
    if view.status is None:
        return (-1, -1)
    return (view.status.position.term, view.status.position.offset)


def _no_server(group: GroupState) -> NoServer:
    if group.primary is None:
        return NoServer(NoServerReason.NO_PRIMARY, RETRY_AFTER_PROMOTION_MS)
    return NoServer(NoServerReason.PRIMARY_UNREACHABLE, RETRY_AFTER_PROBE_MS)
