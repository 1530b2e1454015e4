"""Choose the backend server of a read."""

import random
from collections.abc import Sequence, Set
from dataclasses import dataclass
from typing import Final, Protocol

from dogwoodspool_common import GroupState
from dogwoodspool_common.const import MILLISECONDS
from expression import Error, Ok, Result

from .const import (
    FAR_PENALTY,
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

CHOICES: Final = 2


class KnownServers(Protocol):
    """Give what is known of a group's servers."""

    def servers(self, group: str | None = None) -> list[ServerView]:
        """Return the servers of a group."""
        ...


@dataclass(frozen=True, slots=True)
class _Read:
    """One read with what it is judged by."""

    group: GroupState
    need: ReadNeed
    own_failure_domain: str
    unconfirmed_ms: float

    @property
    def can_be_fresh(self) -> bool:
        """Tell whether any server's data can be young enough."""
        max_age_ms = self.need.max_age_ms
        return max_age_ms is None or self.unconfirmed_ms <= max_age_ms

    def is_satisfied_by(self, view: ServerView) -> bool:
        """Tell whether what is known of a server suffices."""
        elapsed_ms = view.elapsed_ms + self.unconfirmed_ms
        return view.status is not None and satisfies(
            view.status, self.need, self.group, elapsed_ms
        )

    def may_be_satisfied_by(self, view: ServerView) -> bool:
        """Tell whether asking a server could help."""
        return view.status is not None and may_satisfy(
            view.status, self.need, self.group
        )

    def cost(self, view: ServerView) -> float:
        """Return the seconds by which replicas are compared."""
        is_near = view.server.failure_domain == self.own_failure_domain
        return view.estimated_time + (0.0 if is_near else FAR_PENALTY)


class ReadRouter:
    """Send reads to replicas wherever their promises allow it.

    In this order: a replica whose last status already satisfies the read; a
    replica that probably does by now, when asking it and waiting costs little more
    than the primary would; the primary; any replica that may catch up. Between
    replicas the one with the shorter estimated time of two random ones is taken,
    and one of another failure domain must be better by its extra way.

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
        """Put other settings in force."""
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
            exclude: servers that this read has tried in vain.
            own_failure_domain: where this process runs.
            unconfirmed_ms: time since control's word that the group's term is
                current has run out, 0 while it holds. Since then a newer term may
                have begun elsewhere: data here may be older than it seems by that
                much, and a session whose writes are not known may have written there.
        """
        read = _Read(group, need, own_failure_domain, unconfirmed_ms)
        views = [
            view for view in self._table.servers(group.name) if view.name not in exclude
        ]
        primaries = [view for view in views if view.name == group.primary]
        primary = next((one for one in primaries if one.takes_primary_work), None)
        if need.needs_primary:
            return _primary_only(read, primary)
        replicas = [
            view
            for view in views
            if view.name != group.primary and view.takes_replica_work
        ]
        known = [view for view in replicas if read.is_satisfied_by(view)]
        if known:
            return self._choose_replica(read, known, must_check_status=False)
        if not read.can_be_fresh:
            reason = NoServerReason.TERM_UNCONFIRMED
            return Error(NoServer(reason, RETRY_AFTER_PROBE_MS))
        return self._choose_unknown(read, primary, replicas)

    def _choose_unknown(
        self, read: _Read, primary: ServerView | None, replicas: Sequence[ServerView]
    ) -> Result[ReadChoice, NoServer]:
        """Weigh a replica that must be asked first against the primary."""
        candidates = [view for view in replicas if read.may_be_satisfied_by(view)]
        likely = [view for view in candidates if self._is_worth_asking(view, primary)]
        if likely:
            return self._choose_replica(read, likely, must_check_status=True)
        if primary is not None:
            return Ok(ReadChoice(primary.server, False, True))
        if candidates:
            # Without a primary a replica far behind is still a hope.
            furthest = [max(candidates, key=_progress)]
            return self._choose_replica(read, furthest, must_check_status=True)
        return Error(_no_server(read.group))

    def _choose_replica(
        self, read: _Read, views: Sequence[ServerView], *, must_check_status: bool
    ) -> Result[ReadChoice, NoServer]:
        drawn = self._random.sample(list(views), min(CHOICES, len(views)))
        chosen = min(drawn, key=read.cost)
        return Ok(ReadChoice(chosen.server, must_check_status, False))

    def _is_worth_asking(self, view: ServerView, primary: ServerView | None) -> bool:
        """Tell whether waiting for a replica is better than the primary.

        The primary's slots are wanted by writes, so a replica may cost up to the
        whole replica wait more; the busier the primary, the more.
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
