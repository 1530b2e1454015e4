"""End a process so that every request it accepted gets its answer."""

import threading
from dataclasses import dataclass
from typing import Protocol

from dogwoodspool_common import Clock, log_event

from .accepted_work import AcceptedWork
from .const import (
    ARRIVAL_SECONDS,
    DRAIN_POLL_SECONDS,
    EXIT_GRACE_SHARE,
    INTERRUPT_GRACE_SHARE,
    NEW_WORK_GRACE_SHARE,
)


class DrainingCallers(Protocol):
    """The connected callers of a process that ends."""

    @property
    def callers(self) -> int:
        """Number of connected callers."""
        ...

    def close_when_idle(self, *, spares_new: bool) -> None:
        """Close each connection once nothing is in progress on it.

        Args:
            spares_new: whether to wait for the first request of the callers that
                connected during the drain.
        """
        ...

    def abandon_transactions(self) -> None:
        """Roll back open transactions, each once no statement of it is running."""
        ...

    def stop_accepting(self) -> None:
        """Close the listener after accepting all connections that have arrived."""
        ...

    def interrupt(self) -> None:
        """Answer each request in progress as one that may have run, and close."""
        ...


class NeighbourWork(Protocol):
    """What a process that ends does for other proxies."""

    @property
    def in_progress(self) -> int:
        """Number of their requests that have not been answered."""
        ...

    @property
    def leases(self) -> int:
        """Number of connections that their open transactions hold."""
        ...

    def end_leases(self) -> None:
        """Roll back their transactions, each once no statement of it is running."""
        ...


@dataclass(frozen=True, slots=True)
class DrainSchedule:
    """When the steps of a drain begin, in clock seconds.

    Attributes:
        close_idle_at: when idle connections are closed; until then the balancer may
            send callers, and all are served as usual.
        refuse_at: from when on no new work begins. Open transactions have until then.
        interrupt_at: when requests in progress are answered as in doubt.
        exit_at: when the process ends whatever is in progress.
    """

    close_idle_at: float
    refuse_at: float
    interrupt_at: float
    exit_at: float

    @classmethod
    def plan(
        cls, stopped_at: float, grace: float, leave_rotation: float
    ) -> "DrainSchedule":
        """Return the schedule of a drain.

        Args:
            stopped_at: clock seconds at which the process was told to end.
            grace: seconds after which the process is killed.
            leave_rotation: seconds until the balancer sends no more callers.
        """
        refuse = grace * NEW_WORK_GRACE_SHARE
        return cls(
            stopped_at + min(leave_rotation, refuse),
            stopped_at + refuse,
            stopped_at + grace * INTERRUPT_GRACE_SHARE,
            stopped_at + grace * EXIT_GRACE_SHARE,
        )


class Drain:
    """Serve what was accepted, refuse what comes too late, and then end.

    The clock decides when each step begins. The process ends sooner if nothing is left.
    """

    def __init__(
        self,
        callers: DrainingCallers,
        neighbours: NeighbourWork,
        work: AcceptedWork,
        schedule: DrainSchedule,
        clock: Clock,
    ) -> None:
        self._callers = callers
        self._neighbours = neighbours
        self._work = work
        self._schedule = schedule
        self._clock = clock
        self._has_ended = threading.Event()
        # A server that does not answer must not hold up the drain.
        self._roll_back = threading.Thread(
            target=self._roll_back_all, name="roll-back", daemon=True
        )

    @property
    def _is_refusing(self) -> bool:
        return self._clock.now() >= self._schedule.refuse_at

    @property
    def _has_work(self) -> bool:
        """Whether a request is in progress, or a transaction that may go on."""
        if self._neighbours.in_progress or self._work.in_progress:
            return True
        if self._is_refusing:
            return False
        return bool(self._callers.callers or self._neighbours.leases)

    @property
    def _has_callers(self) -> bool:
        return bool(self._callers.callers) or self._has_work

    def run(self) -> None:
        """Return when the process may end."""
        while self._clock.now() < self._schedule.close_idle_at:
            self._wait()
        self._end_work()
        if self._is_refusing:
            self._refuse_new()
        self._callers.stop_accepting()
        log_event("drain_listener_closed", callers=self._callers.callers)
        self._end_callers()
        if self._has_callers:
            self._callers.interrupt()
        while self._has_callers and self._clock.now() < self._schedule.exit_at:
            self._wait()
        self._has_ended.set()
        self._work.log_drain(neighbour_requests=self._neighbours.in_progress)

    def _end_work(self) -> None:
        """Close idle connections until no work is in progress."""
        while self._has_work and self._clock.now() < self._schedule.interrupt_at:
            self._close_idle(spares_new=True)
            self._wait()

    def _end_callers(self) -> None:
        """Close all connections; those that came last get time for a request."""
        spared_until = self._clock.now() + ARRIVAL_SECONDS
        while self._has_callers and self._clock.now() < self._schedule.interrupt_at:
            self._close_idle(spares_new=self._clock.now() < spared_until)
            self._wait()

    def _close_idle(self, *, spares_new: bool) -> None:
        if self._is_refusing:
            self._refuse_new()
        self._callers.close_when_idle(spares_new=spares_new)

    def _refuse_new(self) -> None:
        if not self._work.is_refusing:
            self._work.refuse_new()
            self._roll_back.start()
        self._neighbours.end_leases()

    def _roll_back_all(self) -> None:
        while not self._has_ended.is_set():
            self._callers.abandon_transactions()
            self._wait()

    def _wait(self) -> None:
        self._has_ended.wait(DRAIN_POLL_SECONDS)
