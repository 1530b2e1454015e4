"""Confirmation by a quorum of control that a view is the newest one."""

import random
import threading

from dogwoodspool_common import Address, Clock, JsonClient
from dogwoodspool_common.const import MILLISECONDS, NEVER

from .confirmed_read import ConfirmedReader
from .const import (
    CONFIRMATION_READ_TIMEOUT,
    CONFIRMATION_RETRY_SECONDS,
    CONFIRMATION_TIMEOUT,
    CONFIRMED_FOR_SECONDS,
    HELD_UP_SECONDS,
    MAX_CONFIRMATION_RETRY_SECONDS,
    MAX_UNCONFIRMED_SECONDS,
    MAX_VIEW_CHECKS_PER_SECOND,
    MAX_WAITS,
    VIEW_CHECK_ATTEMPT_SECONDS,
    VIEW_CHECK_SECONDS,
    VIEW_CHECK_SPREAD_SECONDS,
)
from .contradictions import ContradictionLog
from .control_peers import ControlPeers
from .neighbour_record import NeighbourRecord
from .read_attempts import Attempt, Confirmation, ReadAttempts
from .read_requests import ReadRequests
from .view import ViewStore


class ViewConfirmation:
    """Know until when the view in force was the newest one, and keep that recent.

    The watch follows any control process that claims to be up to date, and may itself
    be held up. A confirmation does not depend on the watch: it is a read that a quorum
    confirms, at another process if the first one does not answer soon.

    The next read is due some time after the beginning of the last one that was
    confirmed, which varies a little. While none is, attempts go on at a steady pace,
    whether or not earlier ones have ended, and whatever callers asked for. With very
    many proxies the reads become rarer, by the number of proxies and not by how control
    answers: in an election it has no free slot either, and the reads after it must not
    be late.

    Concurrent callers share a confirmation, and it holds for a short time, so that
    callers with unknown names cost control one request a second for each proxy.

    Args:
        views: gets newer views.
        peers: the control processes.
        client: makes the calls.
        clock: the runtime's clock.
        rng: source of the random times, which must differ between proxies; None for one
            that is seeded with the name of this process.
    """

    def __init__(
        self,
        views: ViewStore,
        peers: ControlPeers,
        client: JsonClient,
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._views = views
        self._clock = clock
        self._changed = threading.Condition()
        self._rng = rng or random.Random(peers.name)
        self._attempts = ReadAttempts(
            ConfirmedReader(views, peers, client).read,
            peers,
            clock,
            self._changed,
            self._record_confirmation,
            self._record_failure,
            self._rng,
        )
        self._is_closed = False
        self._created_at = clock.now()
        self._last: Confirmation | None = None
        self._contradictions = ContradictionLog(views, clock)
        self._neighbours = NeighbourRecord(views, clock)
        self._attempted_at = NEVER
        self._requests = ReadRequests(clock, self._rng)
        self._spread = 0.0
        self._failed_at = NEVER
        self._retry_at = NEVER
        self._retry_seconds = CONFIRMATION_RETRY_SECONDS
        self._held_up_at = NEVER
        self._waiting = 0
        self._waits = 0
        self._waits_until = NEVER

    @property
    def confirmed_by(self) -> Address | None:
        """The control process that confirmed the view last; None before the first."""
        return None if self._last is None else self._last.address

    @property
    def age_ms(self) -> int | None:
        """Milliseconds since the last confirmation; None before the first."""
        last = self._last
        if last is None:
            return None
        return round((self._clock.now() - last.began_at) * MILLISECONDS)

    @property
    def is_overdue(self) -> bool:
        """Whether the last attempt to confirm the view should have succeeded by now."""
        return self.overdue_in <= 0

    @property
    def overdue_in(self) -> float:
        """Seconds until the view is overdue without another confirmation."""
        last = self._last
        since = self._created_at if last is None else last.began_at
        overdue_at = since + self._interval + self._attempt_interval
        return overdue_at - self._clock.now()

    @property
    def is_outdated(self) -> bool:
        """Whether a neighbour has told lately of a newer view that is confirmed."""
        return self._neighbours.newer_version is not None

    @property
    def refusal(self) -> str | None:
        """Why a view that nobody confirmed must not be used; None if it may be.

        It may be used where control is known not to answer, as a proxy that is cut off
        goes on serving. A proxy that hardly runs knows nothing of control.
        """
        newer = self._neighbours.newer_version
        if newer is not None:
            return f"view {newer} is in force elsewhere"
        if self._held_up_at > self._failed_at:
            return "this proxy is held up, and control has not confirmed its view"
        return None

    def record_neighbour(self, version: int, began_at: float) -> None:
        """Record which view a neighbour has; arguments as for ``NeighbourRecord``."""
        with self._changed:
            self._neighbours.record(version, began_at)
            self._changed.notify_all()

    def advance(self) -> float:
        """Begin the reads that are due; return the seconds until the next ones are."""
        with self._changed:
            return self._advance()

    def refresh(self) -> bool:
        """Return whether the view was confirmed lately.

        Otherwise callers wait together for a confirmation, but only for a moment. While
        control is known not to confirm the view they do not wait: then the attempts
        that go on in the background bring the next one.
        """
        if self._is_recent_enough():
            return True
        with self._changed:
            if self._waiting == 0:
                self._waits = 1
                self._waits_until = self._clock.now() + CONFIRMATION_TIMEOUT
            self._waiting += 1
            try:
                return self._wait_for_refresh()
            finally:
                self._waiting -= 1

    def confirm(self, timeout: float = CONFIRMATION_TIMEOUT) -> bool:
        """Return whether the view is the newest one; a newer one is put in force.

        Right after a failure it returns False at once.

        Args:
            timeout: seconds to wait. An answer that comes later counts for later calls.
        """
        with self._changed:
            now = self._clock.now()
            if self._is_recent():
                return True
            if self._is_closed or now < self._retry_at:
                return False
            attempt = self._attempts.newest_with_age
            if attempt is None or now >= attempt.began_at + self._attempt_interval:
                attempt = self._begin()
            return self._wait_for_attempt(attempt, now + timeout)

    def request_read(self) -> None:
        """Begin a read that rests on no earlier confirmation; do not wait for it.

        Calls in short succession share a read. With very many proxies these reads
        become as rare as the others; see ``ReadRequests``. Their failure tells nothing
        of the other reads, which accept an earlier confirmation and need no free slot
        for it.
        """
        with self._changed:
            # The thread of the checks may sleep until its next read.
            self._attempts.hedge()
            if self._is_closed or not self._requests.is_due(self._least_interval):
                return
            attempt = self._attempts.begin(
                includes_others=self.is_overdue,
                max_age_ms=0,
                on_failed=self._requests.record_failure,
            )
            self._requests.record_begun(attempt)

    def unload(self) -> None:
        """Stop after the requests in progress; later calls of ``confirm`` fail."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
        self._attempts.unload()

    @property
    def _interval(self) -> float:
        """Time from the beginning of a confirmed read to the next one."""
        return max(VIEW_CHECK_SECONDS, self._least_interval)

    @property
    def _attempt_interval(self) -> float:
        """Time between attempts while none succeeds."""
        return max(VIEW_CHECK_ATTEMPT_SECONDS, self._least_interval)

    @property
    def _least_interval(self) -> float:
        """Time between reads at which those of all proxies are not too many."""
        return len(self._views.view.proxies) / MAX_VIEW_CHECKS_PER_SECOND

    @property
    def _max_age(self) -> float:
        """Age of the last confirmation beyond which callers wait for another one."""
        return self._interval + MAX_UNCONFIRMED_SECONDS - VIEW_CHECK_SECONDS

    def _advance(self) -> float:
        if self._is_closed:
            return self._attempt_interval
        self._attempts.hedge()
        if self._clock.now() >= self._next_read_at:
            self._begin()
        hedge_at = self._attempts.next_hedge_at
        due = self._next_read_at if hedge_at is None else hedge_at
        return max(0.0, min(due, self._next_read_at) - self._clock.now())

    @property
    def _next_read_at(self) -> float:
        after_attempt = self._attempted_at + self._attempt_interval
        if self._last is None:
            return after_attempt
        after_last = self._last.began_at + self._interval + self._spread
        return max(after_attempt, after_last)

    def _begin(self) -> Attempt:
        self._attempted_at = self._clock.now()
        self._spread = self._rng.uniform(
            -VIEW_CHECK_SPREAD_SECONDS, VIEW_CHECK_SPREAD_SECONDS
        )
        return self._attempts.begin(includes_others=self.is_overdue)

    def _is_recent(self) -> bool:
        return self._is_since(self._clock.now() - CONFIRMED_FOR_SECONDS)

    def _is_recent_enough(self) -> bool:
        since = self._clock.now() - self._max_age
        return self._is_since(since) or self._neighbours.confirmed_at >= since

    def _is_since(self, since: float) -> bool:
        last = self._last
        return last is not None and last.began_at >= since

    def _wait_for_attempt(self, attempt: Attempt, deadline: float) -> bool:
        while not self._is_recent():
            self._attempts.hedge()
            remaining = deadline - self._clock.now()
            if attempt.has_failed or self._is_closed:
                return False
            if remaining <= 0:
                self._end_wait(-remaining)
                return False
            self._wait(remaining)
        return True

    def _wait_for_refresh(self) -> bool:
        while not self._is_recent_enough():
            # Callers begin what is due too: the thread of the checks may be held up.
            pause = self._advance()
            if self._is_closed or self._is_known_away() or self._is_known_held_up():
                return False
            remaining = self._waits_until - self._clock.now()
            if remaining > 0:
                self._wait(min(pause, remaining))
            elif not self._prolong_wait(-remaining):
                self._end_wait(-remaining)
                return False
        return True

    def _end_wait(self, late: float) -> None:
        """Record what a wait in vain tells, which ended some seconds late."""
        if late < HELD_UP_SECONDS:
            self._record_failure()
        else:
            self._held_up_at = self._clock.now()

    def _prolong_wait(self, late: float) -> bool:
        """Wait again after a wait that ended late, a limited number of times.

        This process was held up, and control had no time to answer.
        """
        if late < HELD_UP_SECONDS or self._waits >= MAX_WAITS:
            return False
        self._waits += 1
        self._waits_until = self._clock.now() + CONFIRMATION_TIMEOUT
        return True

    def _wait(self, seconds: float) -> None:
        """Wait for the end of a read, or until other processes are to be asked."""
        hedge_at = self._attempts.next_hedge_at
        if hedge_at is not None:
            seconds = min(seconds, max(0.0, hedge_at - self._clock.now()))
        self._clock.wait(self._changed, seconds)

    def _is_known_away(self) -> bool:
        """Whether an attempt has failed since the last confirmation, and lately.

        It holds until the next attempts must have ended. An older failure is no
        knowledge of what control does now.
        """
        holds = 2 * self._attempt_interval + CONFIRMATION_READ_TIMEOUT
        return self._clock.now() < self._failed_at + holds

    def _is_known_held_up(self) -> bool:
        """Whether callers have waited in vain lately, as this process hardly runs."""
        return self._clock.now() < self._held_up_at + self._attempt_interval

    def _record_confirmation(self, confirmation: Confirmation) -> None:
        self._views.record_read(confirmation.began_at)
        if not self._is_since(confirmation.began_at):
            self._contradictions.record(confirmation)
            self._last = confirmation
        self._failed_at = self._held_up_at = self._retry_at = NEVER
        self._retry_seconds = CONFIRMATION_RETRY_SECONDS

    def _record_failure(self) -> None:
        """Record that an attempt did not succeed, or not within callers' time."""
        self._failed_at = self._clock.now()
        self._retry_at = self._failed_at + self._retry_seconds
        longer = 2 * self._retry_seconds
        self._retry_seconds = min(longer, MAX_CONFIRMATION_RETRY_SECONDS)
