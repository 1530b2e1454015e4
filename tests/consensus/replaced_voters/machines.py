"""The machines of the simulation and the control processes that run on them."""

from dataclasses import dataclass, field
from typing import Any

from dogwoodspool_common import Address
from dogwoodspool_consensus import ConsensusNode
from dogwoodspool_control.http.watch import WatchApi
from dogwoodspool_control.node import ControlNode
from dogwoodspool_control.state import ControlState
from dogwoodspool_failover.voters import VoterMaintenance

from ..fakes import MemoryLogStorage
from .clock import WorldClock


@dataclass(eq=False)
class Process:
    """A running control process."""

    machine: "Machine"
    node: ConsensusNode
    state: ControlState
    control: ControlNode
    voters: VoterMaintenance
    watch: WatchApi
    next_voters_step: float = 0.0
    next_join: float = 0.0
    checked_index: int = 0
    inbox: list[tuple[str, dict[str, Any]]] = field(default_factory=list)
    is_in_upkeep: bool = False
    # Concurrent reads share one request, so one inside the other would wait in vain.
    is_reading: bool = False


@dataclass(eq=False)
class Machine:
    """A machine with one disk, at one address."""

    name: str
    domain: str
    address: Address
    clock: WorldClock
    storage: MemoryLogStorage
    node_id: str
    process: Process | None = None
    is_powered: bool = True
    is_frozen: bool = False
    is_gone: bool = False
    disks: int = 0
    power_losses: int = 0
