"""Compare the terms of steady groups' primaries with the recorded epochs."""

import threading
from collections.abc import Iterable, Sequence

from dogwoodspool_common import (
    BackendServer,
    Clock,
    GroupState,
    Phase,
    Role,
    log_event,
)
from dogwoodspool_common.const import NEVER
from dogwoodspool_control.command_queue import CommandQueue
from dogwoodspool_control.commands import BeginPromotion, RecordEpoch
from dogwoodspool_control.models import PromotionReason

from .const import (
    CHECKS_PER_TICK,
    EPOCH_CHECK_SECONDS,
    EPOCH_RETRY_SECONDS,
    FIRST_TERM,
    LATE_COMMAND_SECONDS,
)
from .dependencies import ChangeDependencies
from .models import epoch_of


class EpochChecks:
    """Record epochs that are not known yet, and end those that are over.

    An epoch is not known after the bootstrap of a group and after an upgrade from a
    build without epochs, whose promotion calls may still be open. A primary in another
    term than its epoch's acknowledges writes that no proxy passes on; a change of
    primary then adopts it.
    """

    def __init__(self, dependencies: ChangeDependencies, queue: CommandQueue) -> None:
        self._dependencies = dependencies
        self._queue = queue
        self._clock: Clock = dependencies.clock
        self._lock = threading.Lock()
        self._began_at = NEVER
        self._asked_at: dict[str, float] = {}
        self._unchecked: set[str] = set()
        self._in_flight: set[str] = set()
        self._compared_at = NEVER
        self._next = 0

    def reset(self, groups: Iterable[str]) -> None:
        """Check all groups anew at the start of a leadership."""
        with self._lock:
            self._began_at = self._clock.now()
            self._asked_at.clear()
            self._unchecked = set(groups)

    def check(self, group: str) -> None:
        """Check a group whose change of primary has ended."""
        with self._lock:
            self._unchecked.add(group)

    def run(self, groups: Iterable[GroupState]) -> None:
        """Ask the primaries of steady groups that are to be checked."""
        steady = [one for one in groups if one.phase is Phase.STEADY]
        self._check_one_in_turn(steady)
        for group in steady:
            primary = self._dependencies.state.servers.get(group.primary or "")
            if primary is None or primary.is_gone or not self._may_ask(group):
                continue
            self._dependencies.executor.submit(self._compare, group, primary)

    def _check_one_in_turn(self, steady: Sequence[GroupState]) -> None:
        """Check one group a second, whatever number there is of them."""
        now = self._clock.now()
        with self._lock:
            if not steady or now - self._compared_at < EPOCH_CHECK_SECONDS:
                return
            self._compared_at = now
            self._next = (self._next + 1) % len(steady)
            self._unchecked.add(steady[self._next].name)

    def _may_ask(self, group: GroupState) -> bool:
        now = self._clock.now()
        with self._lock:
            is_busy = len(self._in_flight) >= CHECKS_PER_TICK
            if is_busy or group.name in self._in_flight:
                return False
            if group.epoch is not None and group.name not in self._unchecked:
                return False
            # A call of an earlier build may still be carried out.
            is_upgraded = group.epoch is None and group.term > FIRST_TERM
            if is_upgraded and now - self._began_at < LATE_COMMAND_SECONDS:
                return False
            if now - self._asked_at.get(group.name, NEVER) < EPOCH_RETRY_SECONDS:
                return False
            self._asked_at[group.name] = now
            self._in_flight.add(group.name)
            return True

    def _compare(self, group: GroupState, primary: BackendServer) -> None:
        try:
            self._compare_now(group, primary)
        finally:
            with self._lock:
                self._in_flight.discard(group.name)

    def _compare_now(self, group: GroupState, primary: BackendServer) -> None:
        state = self._dependencies.state_of(primary)
        if state is None or state.role is not Role.PRIMARY:
            return
        with self._lock:
            self._unchecked.discard(group.name)
        found = epoch_of(primary, state)
        if group.epoch is None:
            self._queue.offer(RecordEpoch(group.name, group.term, found))
        elif group.epoch.term != found.term:
            log_event(
                "epoch_is_over",
                level="WARNING",
                group=group.name,
                server=primary.name,
                recorded_term=group.epoch.term,
                server_term=found.term,
            )
            reason = PromotionReason.FAILED
            self._queue.offer(BeginPromotion(group.name, group.term, reason))
