"""The clock of the runtime, which tests can also advance."""

from dogwoodspool_common import SystemClock


class ShiftedClock(SystemClock):
    """Tell the runtime's time and what tests have added to it."""

    def __init__(self) -> None:
        super().__init__()
        self._offset = 0.0

    def now(self) -> float:
        return super().now() + self._offset

    def advance(self, seconds: float) -> None:
        """Let time pass at once."""
        self._offset += seconds
