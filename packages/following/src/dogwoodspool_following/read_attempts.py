"""Attempts to have a control process confirm the view, several at a time."""

import random
import threading
from collections import Counter
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from dogwoodspool_common import Address, Clock
from dogwoodspool_common.const import MILLISECONDS

from .confirmed_read import NOT_CONFIRMED, ReadResult
from .const import (
    ACCEPTED_AGE_MS,
    CONFIRMATION_THREADS,
    HEDGE_FACTOR,
    HEDGE_SECONDS,
    MAX_ATTEMPT_SECONDS,
    MAX_HEDGE_SECONDS,
    MAX_NO_SLOT_PAUSE_SECONDS,
    MAX_READS_IN_FLIGHT,
    MIN_NO_SLOT_PAUSE_SECONDS,
)
from .control_peers import ControlPeers


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A read that a quorum confirmed.

    Attributes:
        began_at: clock time; everything that was acknowledged before is in force here.
            It may be before the read.
        address: the control process that answered.
    """

    began_at: float
    address: Address


@dataclass(eq=False, slots=True)
class Attempt:
    """Reads of which one is enough.

    Attributes:
        began_at: clock time.
        max_age_ms: greatest age of a confirmation that counts, in milliseconds.
        on_failed: called if all reads have ended without a confirmation, in time.
        others: processes that are asked if the first one does not answer soon.
        others_at: clock time at which they are asked.
        is_crowded: whether the last answer was that a process has no free slot; only
            one of the others is asked then.
        asked: number of reads that were begun.
        in_flight: number of reads that have not ended.
        is_confirmed: whether a read was confirmed, or a later one.
        retry_after: longest time in seconds that a process without a free slot named
            until it may have one; 0 if none did.
    """

    began_at: float
    max_age_ms: int
    on_failed: Callable[["Attempt"], None]
    others: tuple[Address, ...]
    others_at: float
    is_crowded: bool = False
    asked: int = 0
    in_flight: int = 0
    is_confirmed: bool = False
    retry_after: float = 0.0

    @property
    def accepted_since(self) -> float:
        """Earliest time at which a confirmation that counts may begin."""
        return self.began_at - self.max_age_ms / MILLISECONDS

    @property
    def is_over(self) -> bool:
        """Whether all reads have ended."""
        return not self.others and self.in_flight == 0

    @property
    def has_failed(self) -> bool:
        """Whether all reads have ended without a confirmation."""
        return self.is_over and self.asked > 0 and not self.is_confirmed


class ReadAttempts:
    """Ask one control process, and the others if it does not answer soon.

    Where many proxies read at the same moment, a process has no free slot for most of
    them. Each of them asks another process after a short random time, so that they do
    not meet again there. Where answers take long, it is later that others are asked:
    reads of one proxy at all processes would leave too few slots to the other proxies.

    Reads that hang do not keep later attempts from being made; only their number at
    each process is limited.

    Args:
        read: asks a process for a confirmation by a quorum, of at most some age in
            milliseconds.
        changed: its lock is held by callers; it is notified of each end of a read.
        on_confirmed: called with each confirmation.
        on_failed: called once all reads of an attempt have ended without one, in time,
            unless the attempt has a function of its own for that.
        rng: source of the random times.
    """

    def __init__(
        self,
        read: Callable[[Address, int], ReadResult],
        peers: ControlPeers,
        clock: Clock,
        changed: threading.Condition,
        on_confirmed: Callable[[Confirmation], None],
        on_failed: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self._read = read
        self._peers = peers
        self._clock = clock
        self._changed = changed
        self._on_confirmed = on_confirmed
        self._on_failed = on_failed
        self._rng = rng
        self._executor = ThreadPoolExecutor(CONFIRMATION_THREADS, "view-confirmation")
        self._hedge_seconds = HEDGE_SECONDS
        self._is_closed = False
        self._attempts: list[Attempt] = []
        self._in_flight: Counter[Address] = Counter()

    @property
    def newest(self) -> Attempt | None:
        """The attempt that began last and is not over; None without one."""
        return self._attempts[-1] if self._attempts else None

    @property
    def newest_with_age(self) -> Attempt | None:
        """The newest attempt that accepts an earlier confirmation; None without one."""
        accepting = [one for one in self._attempts if one.max_age_ms]
        return accepting[-1] if accepting else None

    @property
    def next_hedge_at(self) -> float | None:
        """When other processes are to be asked; None while none are."""
        times = [one.others_at for one in self._attempts if one.others]
        return min(times, default=None)

    def begin(
        self,
        *,
        includes_others: bool = False,
        max_age_ms: int = ACCEPTED_AGE_MS,
        on_failed: Callable[[Attempt], None] | None = None,
    ) -> Attempt:
        """Begin an attempt.

        Args:
            includes_others: whether to ask configured processes that are no members,
                too. Such a process may belong to another system; see
                ``ConfirmedReader``.
            max_age_ms: greatest age of a confirmation that counts, in milliseconds.
            on_failed: called in place of the function for all attempts.
        """
        preferred = self._peers.any()
        members = [one for one in self._peers.addresses if self._peers.is_member(one)]
        members.sort(key=lambda one: one != preferred)
        others = self._peers.others if includes_others else ()
        now = self._clock.now()
        attempt = Attempt(
            now,
            max_age_ms,
            on_failed or self._report_failure,
            (*members[1:], *others),
            now + self._hedge_seconds,
        )
        if self._ask(attempt, members[:1]) == 0:
            self._ask_others(attempt)
        if not attempt.is_over:
            self._attempts.append(attempt)
        return attempt

    def hedge(self) -> None:
        """Ask the other processes where the first one has not answered soon."""
        now = self._clock.now()
        for attempt in list(self._attempts):
            if attempt.others and attempt.others_at <= now:
                self._ask_others(attempt)
                self._settle(attempt)

    def unload(self) -> None:
        """Begin no more reads, and wait for those in progress."""
        with self._changed:
            self._is_closed = True
        self._executor.shutdown()

    def _ask_others(self, attempt: Attempt) -> None:
        count = 1 if attempt.is_crowded else len(attempt.others)
        others, attempt.others = attempt.others[:count], attempt.others[count:]
        attempt.others_at = self._clock.now() + HEDGE_SECONDS
        attempt.is_crowded = False
        self._ask(attempt, others)

    def _ask(self, attempt: Attempt, addresses: Iterable[Address]) -> int:
        """Ask processes unless too many reads hang there; return how many."""
        free = [one for one in addresses if self._in_flight[one] < MAX_READS_IN_FLIGHT]
        if self._is_closed:
            return 0
        for address in free:
            self._in_flight[address] += 1
            attempt.asked += 1
            attempt.in_flight += 1
            began = Confirmation(self._clock.now(), address)
            self._executor.submit(self._run, attempt, began)
        return len(free)

    def _run(self, attempt: Attempt, began: Confirmation) -> None:
        result = NOT_CONFIRMED
        try:
            result = self._read(began.address, attempt.max_age_ms)
        finally:
            with self._changed:
                self._end_read(attempt, began, result)
                self._changed.notify_all()

    def _end_read(
        self, attempt: Attempt, began: Confirmation, result: ReadResult
    ) -> None:
        self._in_flight[began.address] -= 1
        attempt.in_flight -= 1
        if result.age is not None:
            attempt.is_confirmed = True
            attempt.others = ()
            since = began.began_at - result.age
            self._end_earlier(began.began_at, since)
            self._record_duration(self._clock.now() - began.began_at)
            self._on_confirmed(Confirmation(since, began.address))
        elif result.has_no_slot:
            attempt.is_crowded = True
            attempt.retry_after = max(attempt.retry_after, result.retry_after)
            attempt.others_at = self._clock.now() + self._rng.uniform(
                MIN_NO_SLOT_PAUSE_SECONDS, MAX_NO_SLOT_PAUSE_SECONDS
            )
        elif attempt.others:
            self._ask_others(attempt)
        self._settle(attempt)

    def _settle(self, attempt: Attempt) -> None:
        """Forget attempts that are over; report it if this one has failed."""
        self._attempts = [one for one in self._attempts if not one.is_over]
        # An attempt that was held up in this process tells nothing of control.
        is_in_time = self._clock.now() <= attempt.began_at + MAX_ATTEMPT_SECONDS
        if attempt.has_failed and is_in_time:
            attempt.on_failed(attempt)

    def _report_failure(self, _attempt: Attempt) -> None:
        self._on_failed()

    def _record_duration(self, seconds: float) -> None:
        """Leave the next reads more time than the last confirmed one has taken."""
        self._hedge_seconds = min(
            max(HEDGE_FACTOR * seconds, HEDGE_SECONDS), MAX_HEDGE_SECONDS
        )

    def _end_earlier(self, began_at: float, since: float) -> None:
        """Ask nobody else in attempts for which a confirmed read is enough.

        Args:
            began_at: clock time of the read.
            since: clock time before which all that was acknowledged is in force.
        """
        for one in self._attempts:
            if one.began_at <= began_at and one.accepted_since <= since:
                one.is_confirmed = True
                one.others = ()
