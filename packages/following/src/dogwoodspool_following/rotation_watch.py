"""Look at what this process reaches, and move callers once it leaves the rotation."""

from typing import Protocol

from dogwoodspool_common import Clock, log_event

from .const import LOOK_SECONDS, MOVE_SECONDS, MOVE_SHARE
from .control_peers import ControlContact, ControlPeers
from .coordinator import Coordinator
from .rotation import Reach, Rotation


class Callers(Protocol):
    """The callers that are connected."""

    def close_idle(self, share: float) -> int:
        """Close idle connections, at most a share of all; return how many."""
        ...


class ReachabilitySource(Protocol):
    """What else a process reaches; looked at while control is in question."""

    def probe_actively(self, control: ControlContact) -> None:
        """Ask for what the requests of few callers would show too late."""
        ...

    def lost_groups(self) -> int:
        """Return how many groups in use have no primary in reach."""
        ...

    def answered_outside(self) -> float:
        """Return when a server of another failure domain last answered."""
        ...


class RotationCoordinator(Coordinator):
    """Keep the rotation up to date, and let callers reconnect elsewhere.

    Only connections without a request and without a transaction are closed. A caller
    that keeps its connection stays with this process for as long as the cut lasts:
    without moving them the worth served is 0.879 in place of 0.900 (see ``Rotation``).
    """

    def __init__(
        self,
        rotation: Rotation,
        peers: ControlPeers,
        surroundings: ReachabilitySource,
        clock: Clock,
    ) -> None:
        super().__init__("rotation", clock)
        self._rotation = rotation
        self._peers = peers
        self._surroundings = surroundings
        self._callers: Callers | None = None
        self._out_since: float | None = None
        self._moved = 0

    def set_callers(self, callers: Callers) -> None:
        """Move these callers; called before ``set_up``."""
        self._callers = callers

    def step(self) -> float:
        """Look once, and move some callers where they are served elsewhere."""
        self._rotation.look(self._reach())
        if not self._rotation.is_out:
            self._out_since = None
        elif self._out_since is None:
            self._out_since = self._clock.now()
            self._moved = 0
        elif self._clock.now() - self._out_since < MOVE_SECONDS:
            self._move()
        return LOOK_SECONDS

    def _reach(self) -> Reach:
        control = self._peers.contact()
        if not control.is_in_question:
            # The usual case, ten times a second: nothing is looked for among servers.
            return Reach(control)
        self._surroundings.probe_actively(control)
        return Reach(
            control,
            self._surroundings.lost_groups(),
            self._surroundings.answered_outside(),
        )

    def _move(self) -> None:
        if self._callers is None:
            return
        closed = self._callers.close_idle(MOVE_SHARE)
        if closed and not self._moved:
            log_event("moving_callers", closed=closed)
        self._moved += closed
