"""Choose a server for a read by its cost and by when it has the read's position."""

import math
import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from dogwoodspool_common import BackendServer, Clock, Position
from dogwoodspool_common.const import MILLISECONDS
from dogwoodspool_routing import ServerView

from .const import CATCH_UP_COST, CATCH_UP_RUN_FACTOR, MIN_CATCH_UP_SECONDS
from .lag import LagTracker
from .placement import usable_for_read
from .read_cost import ReadCost, expected_time
from .replica_lag import ReplicaLag


@dataclass(frozen=True, slots=True)
class ReadChoice:
    """The server for a read.

    Attributes:
        wait: seconds after which the server is expected to have the position that the
            read requires; 0 if it is tried at once.
        min_position: the position that the read requires; None if it is not known.
        considered: the servers with their costs in seconds, the lowest first.
    """

    server: BackendServer
    wait: float = 0.0
    min_position: Position | None = None
    considered: tuple[tuple[str, float], ...] = ()

    @property
    def reason(self) -> str:
        """Return why the server was chosen."""
        if self.wait:
            return "wait_for_position"
        is_lowest = not self.considered or self.considered[0][0] == self.server.name
        return "lowest_cost" if is_lowest else "nearly_equal_cost"

    @property
    def costs_text(self) -> str:
        """Return the considered servers with their costs in ms, for log lines."""
        return ",".join(
            f"{name}:{seconds * MILLISECONDS:.1f}" for name, seconds in self.considered
        )


class ReadConditions(NamedTuple):
    """What decides on the server of one read.

    Attributes:
        primary: name of the group's probable primary; None if there is none.
        failure_domain: the failure domain of this process.
        excluded: servers that the read must not use.
        min_position: position that a server must have; None if it is not known here.
        max_wait: seconds that the read may wait for a replica.
        time_left: seconds until the read misses its target.
    """

    primary: str | None
    failure_domain: str
    excluded: Collection[str]
    min_position: Position | None
    max_wait: float
    time_left: float = math.inf


class _Candidate(NamedTuple):
    cost: float
    name: str
    server: BackendServer
    wait: float


class ReadChooser:
    """Choose the server with the lowest cost, including the wait for a replica.

    Among servers of nearly equal cost one is chosen at random, so that processes that
    observe the same do not all move their reads at once. The probability falls with
    the difference to the lowest cost and is 0 at the tolerance.

    A replica that is expected to reach the position of the read within the time that
    the read may wait is chosen with that wait, which adds a part of its length to the
    cost. So a read waits longer the more the room of the primary is worth.

    Args:
        random_source: for tests; each process needs a seed of its own.
    """

    def __init__(
        self,
        costs: ReadCost,
        refusals: LagTracker,
        replica_lag: ReplicaLag,
        clock: Clock,
        random_source: random.Random | None = None,
    ) -> None:
        self._costs = costs
        self._refusals = refusals
        self._replica_lag = replica_lag
        self._failed_waits = LagTracker(clock)
        self._random = random_source or random.Random()

    def choose(
        self, servers: Iterable[ServerView], conditions: ReadConditions
    ) -> ReadChoice | None:
        """Return the server for a read; None if no server may be given it."""
        candidates = []
        for one, wait in self._with_waits(servers, conditions):
            cost = self._costs.cost(
                one,
                is_primary=one.name == conditions.primary,
                is_own_domain=one.server.failure_domain == conditions.failure_domain,
            )
            candidates.append(
                _Candidate(cost + wait * CATCH_UP_COST, one.name, one.server, wait)
            )
        if not candidates:
            return None
        candidates.sort(key=lambda one: (one.cost, one.name))
        drawn = self._draw(candidates)
        considered = tuple((one.name, one.cost) for one in candidates)
        return ReadChoice(drawn.server, drawn.wait, conditions.min_position, considered)

    def record_wait(
        self, server: str, min_position: Position, *, was_enough: bool
    ) -> None:
        """Record whether a replica had a position after a read had waited for it."""
        if was_enough:
            self._failed_waits.record_caught_up(server)
        else:
            self._failed_waits.record_lagging(server, min_position)

    def _draw(self, candidates: Sequence[_Candidate]) -> _Candidate:
        lowest, tolerance = candidates[0].cost, self._costs.tolerance
        weights = [max(0.0, tolerance - (one.cost - lowest)) for one in candidates]
        if len(candidates) == 1 or not weights[1]:
            return candidates[0]
        (drawn,) = self._random.choices(candidates, weights)
        return drawn

    def _with_waits(
        self, servers: Iterable[ServerView], conditions: ReadConditions
    ) -> list[tuple[ServerView, float]]:
        usable = usable_for_read(servers, conditions.excluded)
        position = conditions.min_position
        if position is None:
            return [(one, 0.0) for one in usable]
        pauses = self._refusals.pauses(position)
        failed_waits = self._failed_waits.lagging(position)
        found = []
        for one in usable:
            if one.name == conditions.primary:
                found.append((one, 0.0))
                continue
            pause = pauses.get(one.name, 0.0)
            wait = self._wait(one, position, pause)
            is_bounded = wait is not None and wait <= _max_wait(one, conditions)
            if wait and is_bounded and one.name not in failed_waits:
                found.append((one, wait))
            elif not pause:
                # A refusal shows its position and begins a pause.
                found.append((one, 0.0))
        return found

    def _wait(self, one: ServerView, position: Position, pause: float) -> float | None:
        """Return the seconds after which a replica is worth trying; None if unknown."""
        seconds = self._replica_lag.seconds_until(one.server, position)
        if seconds is None:
            return None
        wait = max(seconds, pause)
        return 0.0 if not pause and wait < MIN_CATCH_UP_SECONDS else wait


def _max_wait(one: ServerView, conditions: ReadConditions) -> float:
    """Return the seconds for which a read may wait for a replica, with time to run."""
    time_to_run = CATCH_UP_RUN_FACTOR * expected_time(one)
    return min(conditions.max_wait, conditions.time_left - time_to_run)
