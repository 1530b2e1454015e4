"""Remember the answer to each change, so that a resend gets the first one."""

import hashlib
import json
from collections import OrderedDict
from dataclasses import dataclass

from expression import Result

from .models import ChangeAccepted, ChangeRejected, SettingsChange

ChangeAnswer = Result[ChangeAccepted, ChangeRejected]


@dataclass(frozen=True, slots=True)
class RememberedAnswer:
    """The first answer to a change id.

    Attributes:
        digest: digest of the change's content.
    """

    change_id: str
    digest: str
    answer: ChangeAnswer


class AnswerMemory:
    """Hold the latest answers, the oldest forgotten first.

    Retention counts answers and reads no clock, so that every voter forgets the
    same ones at the same log entry.
    """

    def __init__(self, retained: int) -> None:
        self._retained = retained
        self._answers: OrderedDict[str, RememberedAnswer] = OrderedDict()

    def all(self) -> list[RememberedAnswer]:
        """Return the remembered answers, the oldest first."""
        return list(self._answers.values())

    def get(self, change_id: str) -> RememberedAnswer | None:
        """Return the remembered answer to a change id."""
        return self._answers.get(change_id)

    def remember(self, answer: RememberedAnswer) -> None:
        """Add an answer and forget the oldest one beyond the retention."""
        self._answers[answer.change_id] = answer
        while len(self._answers) > self._retained:
            self._answers.popitem(last=False)


def content_digest(change: SettingsChange) -> str:
    """Return a digest of what a change asks for; its author does not matter."""
    content = [change.path, change.expected_version, change.overrides]
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
