"""A control state that is compared with those of the other processes."""

from typing import Any

from dogwoodspool_control.state import ControlState

from .checks import Checks
from .clock import WorldClock


class CheckedState(ControlState):
    """A control state whose content at each version is compared with the others'."""

    def __init__(self, clock: WorldClock, checks: Checks) -> None:
        super().__init__(clock)
        self._checks = checks

    def apply(self, index: int, command: dict[str, Any]) -> dict[str, Any]:
        self._checks.check_command(index, command)
        outcome = super().apply(index, command)
        self._checks.check_state(self)
        return outcome

    def restore(self, snapshot: dict[str, Any]) -> None:
        super().restore(snapshot)
        self._checks.check_state(self)
