"""Grants that this proxy holds, and the positions acknowledged under them."""

import math
import threading
from collections import Counter
from collections.abc import Iterable

from dogwoodspool_api import Grant, GroupReport, PositionMessage
from dogwoodspool_common import Clock, Position, log_event

from .models import HeldGrant, WritePermit


class GrantTracker:
    """Decide whether a write may start and whether it may be acknowledged.

    Control promotes a new primary only after each proxy has released its grant
    or the grant has expired. So a write that a replaced primary answers late must
    not be acknowledged: the grant is checked when the answer has arrived, under the
    lock under which grants are released.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._grants: dict[str, HeldGrant] = {}
        self._released: dict[str, int] = {}
        self._acked: dict[str, Position] = {}
        self._writing: Counter[tuple[str, int]] = Counter()
        self._confirmed_until: dict[str, tuple[int, float]] = {}

    def renew(
        self,
        grants: Iterable[Grant],
        withdrawn: Iterable[str],
        sent_at: float,
        lease_seconds: float,
    ) -> None:
        """Apply the response to a renewal.

        Args:
            grants: grants given by the control leader.
            withdrawn: groups whose grant must be dropped at once.
            sent_at: clock time at which the renewal was *sent*: the leader may
                have answered at any moment since.
            lease_seconds: lifetime of the grants, counted from ``sent_at``.
        """
        with self._changed:
            for grant in grants:
                self._accept(grant, sent_at + lease_seconds)
            for group in withdrawn:
                self._remove(group)

    def current(self, group: str) -> HeldGrant | None:
        """Return the group's valid grant; None without one."""
        with self._changed:
            return self._valid(group)

    def unconfirmed_seconds(self, group: str, term: int) -> float:
        """Return the seconds since the term was last known to be the newest one.

        While the grant is valid no newer primary acknowledges anything, so the
        result is 0. It is infinite for a term that was never confirmed here.
        """
        with self._changed:
            known_term, until = self._confirmed_until.get(group, (0, 0.0))
            if known_term != term:
                return math.inf
            return max(0.0, self._clock.now() - until)

    def begin_write(self, group: str) -> WritePermit | None:
        """Start a write under the valid grant; return None without one."""
        with self._changed:
            grant = self._valid(group)
            if grant is None:
                return None
            self._writing[group, grant.term] += 1
            return WritePermit(group, grant.term, grant.primary)

    def is_valid(self, permit: WritePermit) -> bool:
        """Return whether the permit's grant is valid, also during its release."""
        with self._changed:
            grant = self._valid(permit.group, is_ending=True)
            return grant is not None and grant.term == permit.term

    def acknowledge(self, permit: WritePermit, position: Position) -> bool:
        """Decide whether a write that the primary has answered is acknowledged.

        The position is recorded in the same step, so that a release never
        misses a write that was acknowledged.
        """
        with self._changed:
            grant = self._valid(permit.group, is_ending=True)
            if grant is None or grant.term != permit.term:
                return False
            acked = self._acked.get(permit.group)
            if acked is None or position > acked:
                self._acked[permit.group] = position
            return True

    def end_write(self, permit: WritePermit) -> None:
        """Record the end of a write or transaction, whatever its outcome."""
        with self._changed:
            self._writing[permit.group, permit.term] -= 1
            self._changed.notify_all()

    def release(self, group: str, term: int, drain_seconds: float) -> Position | None:
        """Release the grants of a group up to a term, permanently.

        No write starts from now on. Writes in flight have ``drain_seconds`` to
        finish; those that finish later are not acknowledged.

        Returns:
            The highest position that this proxy acknowledged.
        """
        deadline = self._clock.now() + drain_seconds
        with self._changed:
            self._released[group] = max(term, self._released.get(group, 0))
            while self._writing[group, term] > 0:
                remaining = deadline - self._clock.now()
                if remaining <= 0:
                    break
                self._clock.wait(self._changed, remaining)
            self._remove(group, up_to_term=term)
            return self._acked.get(group)

    def reports(self, groups: Iterable[str]) -> list[GroupReport]:
        """Return held grants and acknowledged positions for the next renewal."""
        with self._changed:
            return [self._report(group) for group in groups]

    def _report(self, group: str) -> GroupReport:
        grant = self._valid(group)
        acked = self._acked.get(group)
        return GroupReport(
            group=group,
            held_term=grant.term if grant else None,
            acked=PositionMessage.of(acked) if acked else None,
        )

    def _accept(self, grant: Grant, expires_at: float) -> None:
        # A response that was in flight while the grant was released must not
        # restore it.
        if grant.term <= self._released.get(grant.group, 0):
            return
        held = self._grants.get(grant.group)
        if held is not None and held.term > grant.term:
            return
        if held is None or held.term < grant.term:
            log_event(
                "grant_taken",
                group=grant.group,
                term=grant.term,
                primary=grant.primary,
            )
        elif held.expires_at > expires_at:
            return
        self._grants[grant.group] = HeldGrant(
            grant.group, grant.term, grant.primary, expires_at
        )
        self._confirmed_until[grant.group] = (grant.term, expires_at)

    def _remove(self, group: str, up_to_term: int | None = None) -> None:
        held = self._grants.get(group)
        if held is None or (up_to_term is not None and held.term > up_to_term):
            return
        del self._grants[group]
        until = min(held.expires_at, self._clock.now())
        self._confirmed_until[group] = (held.term, until)
        log_event("grant_given_up", group=group, term=held.term)

    def _valid(self, group: str, is_ending: bool = False) -> HeldGrant | None:
        grant = self._grants.get(group)
        if grant is None or self._clock.now() >= grant.expires_at:
            return None
        if not is_ending and grant.term <= self._released.get(group, 0):
            return None
        return grant
