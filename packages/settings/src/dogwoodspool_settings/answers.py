"""Record the answer to each change, so that a retry gets the same one."""

import hashlib
import json
from collections import OrderedDict
from dataclasses import dataclass

from expression import Result

from .models import ChangeAccepted, ChangeRejected, SettingsChange

ChangeAnswer = Result[ChangeAccepted, ChangeRejected]


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """The first answer to a change id.

    Attributes:
        digest: digest of the change's content.
    """

    change_id: str
    digest: str
    answer: ChangeAnswer


class AnswerStore:
    """Store the latest answers and evict the oldest first.

    Retention is limited by the number of answers and not by time, so that every
    voter evicts the same ones at the same log entry.
    """

    def __init__(self, retained: int) -> None:
        self._retained = retained
        self._answers: OrderedDict[str, RecordedAnswer] = OrderedDict()

    def all(self) -> list[RecordedAnswer]:
        """Return the recorded answers, the oldest first."""
        return list(self._answers.values())

    def get(self, change_id: str) -> RecordedAnswer | None:
        """Return the recorded answer to a change id."""
        return self._answers.get(change_id)

    def add(self, answer: RecordedAnswer) -> None:
        """Add an answer and evict the oldest ones beyond the retention."""
        self._answers[answer.change_id] = answer
        while len(self._answers) > self._retained:
            self._answers.popitem(last=False)


def content_digest(change: SettingsChange) -> str:
    """Return a digest of what a change requests; its author is not part of it."""
    content = [change.path, change.expected_version, change.overrides]
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()
