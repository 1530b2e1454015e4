"""The network between the simulated machines."""

import contextlib
from typing import TYPE_CHECKING, Any

from dogwoodspool_common import Address
from dogwoodspool_consensus import (
    IdentityRefusedError,
    NotConfirmedError,
    NotLeaderError,
    PeerCallError,
)

from ..fakes import SimulatedCrashError
from .clock import TICK
from .machines import Machine, Process

if TYPE_CHECKING:
    from .world import World

# Long calls begin only at the outermost levels, so that few wait for one another.
MAX_CALL_DEPTH = 2


class Transport:
    """Carry the calls of one process."""

    def __init__(self, network: "Network", machine: Machine) -> None:
        self._network = network
        self._machine = machine

    def call(
        self, address: Address, path: str, body: dict[str, Any], timeout: float
    ) -> dict[str, Any]:
        return self._network.call(self._machine, address, path, body)


class Network:
    """Links that can be cut, and messages that are lost, late or repeated.

    ``cuts`` has the pairs of source and target between which nothing arrives, and
    ``chaos`` is the fraction of the calls that do not simply succeed.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        self.cuts: set[tuple[str, str]] = set()
        self.chaos = 0.0
        self.late: list[tuple[float, Address, str, dict[str, Any]]] = []

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing arrives in one of the directions between two."""
        return bool({(one, other), (other, one)} & self.cuts)

    def call(
        self, source: Machine, address: Address, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Carry a call between two machines and return the answer.

        Raises:
            PeerCallError: the request or its answer was lost.
            SimulatedCrashError: the calling process ended meanwhile.
        """
        process = source.process
        target = next(
            one for one in self._world.machines.values() if one.address == address
        )
        if (source.name, target.name) in self.cuts:
            raise PeerCallError("no answer")
        fate = self._fate()
        if fate == "lost":
            raise PeerCallError("no answer")
        if fate in ("late", "repeated"):
            due = self._world.now + self._world.rng.choice((0.1, 0.5, 1.0, 3.0))
            self.late.append((due, address, path, body))
        if fate == "late":
            raise PeerCallError("no answer")
        if fate == "slow request":
            self._delay(source, process)
        answer = self.deliver(target, path, body)
        if fate == "slow answer":
            self._delay(source, process)
        if fate == "answer lost" or (target.name, source.name) in self.cuts:
            raise PeerCallError("the answer was lost")
        if source.process is not process:
            raise SimulatedCrashError
        return answer

    def _fate(self) -> str:
        if self._world.rng.random() >= self.chaos:
            return ""
        return self._world.rng.choice(
            ("lost", "late", "repeated", "slow request", "slow answer", "answer lost")
        )

    def _delay(self, source: Machine, process: Process | None) -> None:
        """Run everything else while one message is in transit."""
        if self._world.depth > MAX_CALL_DEPTH:
            return
        for _ in range(self._world.rng.choice((1, 3, 8, 16))):
            self._world.pass_time(TICK)
        if source.process is not process:
            raise SimulatedCrashError

    def deliver(
        self, target: Machine, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Deliver a request to the process at a machine and return its answer."""
        process = target.process
        if process is None:
            raise PeerCallError("no answer")
        if target.is_frozen:
            process.inbox.append((path, body))
            raise PeerCallError("no answer")
        try:
            answer = process.node.handle(path, body)
        except IdentityRefusedError as error:
            raise PeerCallError(str(error), error.code) from error
        except (NotLeaderError, NotConfirmedError) as error:
            raise PeerCallError(str(error)) from error
        except SimulatedCrashError as error:
            raise PeerCallError("no answer") from error
        if target.process is not process:
            raise PeerCallError("no answer")
        return answer

    def deliver_late(self) -> None:
        """Deliver the messages whose delay is over."""
        due = [one for one in self.late if one[0] <= self._world.now]
        self.late = [one for one in self.late if one[0] > self._world.now]
        for _, address, path, body in due:
            for machine in self._world.machines.values():
                if machine.address == address:
                    with contextlib.suppress(PeerCallError):
                        self.deliver(machine, path, body)
