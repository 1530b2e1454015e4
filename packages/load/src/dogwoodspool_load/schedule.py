"""Parse a schedule of faults from text."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final

from .errors import ScheduleError


class FaultAction(StrEnum):
    """Faults, repairs and commands that a schedule can contain."""

    KILL_PRIMARY = "kill-primary"
    FREEZE_PRIMARY = "freeze-primary"
    PROMOTE = "promote"
    CUT = "cut"
    HEAL = "heal"
    KILL_PROXY = "kill-proxy"
    TERMINATE_PROXY = "terminate-proxy"
    KILL_LEADER = "kill-leader"
    THAW = "thaw"
    RESTART = "restart"
    LAG = "lag"
    SILENCE = "silence"


# Arguments after the action: a target, and for ``LAG`` also its milliseconds;
# ``KILL_LEADER`` takes none.
_ARGUMENT_COUNTS: Final[Mapping[FaultAction, int]] = {
    FaultAction.KILL_LEADER: 0,
    FaultAction.LAG: 2,
}
_DEFAULT_ARGUMENT_COUNT: Final = 1
_MIN_WORDS: Final = 2


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault and its time.

    Attributes:
        at: seconds from the start of the run.
        target: the group, failure domain or process that the action applies to.
        amount_ms: milliseconds of lag.
    """

    at: float
    action: FaultAction
    target: str = ""
    amount_ms: float = 0.0

    def __str__(self) -> str:
        words = [f"{self.at:g}", self.action, self.target]
        if self.amount_ms or self.action is FaultAction.LAG:
            words.append(f"{self.amount_ms:g}")
        return " ".join(word for word in words if word)


def parse_schedule(text: str) -> tuple[ScheduledFault, ...]:
    """Parse faults, one per line or separated by semicolons.

    Raises:
        ScheduleError: a fault cannot be parsed; the message quotes it.

    Example:
        >>> [str(fault) for fault in parse_schedule("3 kill-primary chat1; 5 lag a 9")]
        ['3 kill-primary chat1', '5 lag a 9']
    """
    parts = [part.strip() for part in text.replace("\n", ";").split(";")]
    faults = [_parse(part) for part in parts if part and not part.startswith("#")]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def read_schedule(text: str) -> tuple[ScheduledFault, ...]:
    """Read a schedule from the file that ``text`` names, or else from ``text``."""
    path = Path(text) if text and ";" not in text and " " not in text else None
    if path is not None and path.is_file():
        return parse_schedule(path.read_text())
    return parse_schedule(text)


def _parse(part: str) -> ScheduledFault:
    words = part.split()
    if len(words) < _MIN_WORDS:
        raise ScheduleError(
            f"{part!r}: expected SECONDS ACTION [TARGET] [MILLISECONDS]"
        )
    at = _number(part, words[0], float)
    if words[1] not in tuple(FaultAction):
        known = ", ".join(FaultAction)
        raise ScheduleError(f"{part!r}: unknown action {words[1]!r}; known: {known}")
    action = FaultAction(words[1])
    wanted = _ARGUMENT_COUNTS.get(action, _DEFAULT_ARGUMENT_COUNT)
    arguments = words[_MIN_WORDS:]
    if len(arguments) != wanted:
        raise ScheduleError(
            f"{part!r}: {action} takes {wanted} arguments, got {len(arguments)}"
        )
    amount = _number(part, arguments[1], float) if len(arguments) > 1 else 0.0
    return ScheduledFault(at, action, arguments[0] if arguments else "", amount)


def _number(part: str, word: str, convert: Callable[[str], float]) -> float:
    try:
        value = convert(word)
    except ValueError as error:
        raise ScheduleError(f"{part!r}: {word!r} is not a number") from error
    if value < 0:
        raise ScheduleError(f"{part!r}: {word!r} is negative")
    return value
