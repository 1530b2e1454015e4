"""A schedule of faults, read from text."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Final

from .errors import ScheduleError


class FaultAction(StrEnum):
    """What can be broken, mended or ordered during a run."""

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


# Words after the action: a target, and for some an amount in milliseconds.
_WORDS: Final[Mapping[FaultAction, int]] = {
    FaultAction.KILL_LEADER: 0,
    FaultAction.LAG: 2,
}
_DEFAULT_WORDS: Final = 1
_WORDS_BEFORE: Final = 2


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault and when it happens, in seconds from the run's begin.

    Attributes:
        target: a group, failure domain or process, as the action needs.
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
    """Read faults, one a line or separated by semicolons.

    Raises:
        ScheduleError: naming the fault that cannot be read.

    Example:
        >>> [str(fault) for fault in parse_schedule("3 kill-primary chat1; 5 lag a 9")]
        ['3 kill-primary chat1', '5 lag a 9']
    """
    parts = [part.strip() for part in text.replace("\n", ";").split(";")]
    faults = [_parse(part) for part in parts if part and not part.startswith("#")]
    return tuple(sorted(faults, key=lambda fault: fault.at))


def read_schedule(text: str) -> tuple[ScheduledFault, ...]:
    """Read a schedule from a file of that name, or from the text itself."""
    path = Path(text) if text and ";" not in text and " " not in text else None
    if path is not None and path.is_file():
        return parse_schedule(path.read_text())
    return parse_schedule(text)


def _parse(part: str) -> ScheduledFault:
    words = part.split()
    if len(words) < _WORDS_BEFORE:
        raise ScheduleError(f"{part!r}: write SECONDS ACTION [TARGET] [MILLISECONDS]")
    at = _number(part, words[0], float)
    if words[1] not in tuple(FaultAction):
        known = ", ".join(FaultAction)
        raise ScheduleError(f"{part!r}: no action {words[1]!r}; known are {known}")
    action = FaultAction(words[1])
    wanted = _WORDS.get(action, _DEFAULT_WORDS)
    rest = words[_WORDS_BEFORE:]
    if len(rest) != wanted:
        raise ScheduleError(f"{part!r}: {action} takes {wanted} words after it")
    amount = _number(part, rest[1], float) if len(rest) > 1 else 0.0
    return ScheduledFault(at, action, rest[0] if rest else "", amount)


def _number(part: str, word: str, convert: Callable[[str], float]) -> float:
    try:
        value = convert(word)
    except ValueError as error:
        raise ScheduleError(f"{part!r}: {word!r} is no number") from error
    if value < 0:
        raise ScheduleError(f"{part!r}: {word!r} is negative")
    return value
