"""Validated models of a settings tree's snapshot."""

from typing import Any, Literal, Self

from dogwoodspool_api import Message, SettingsNode
from expression import Error, Ok
from pydantic import ValidationError

from .answers import ChangeAnswer, RecordedAnswer
from .const import SNAPSHOT_FORMAT
from .errors import SnapshotError
from .models import ChangeAccepted, ChangeRejected, HistoryEntry, RejectionCode


class StoredHistoryEntry(Message):
    """One accepted change, secrets included."""

    index: int
    change_id: str
    author: str
    path: str
    version: int
    overrides: dict[str, Any] | None

    @classmethod
    def of(cls, entry: HistoryEntry) -> Self:
        """Build the stored form of a history entry."""
        return cls(
            index=entry.index,
            change_id=entry.change_id,
            author=entry.author,
            path=entry.path,
            version=entry.version,
            overrides=entry.overrides,
        )

    def value(self) -> HistoryEntry:
        """Return the history entry."""
        return HistoryEntry(
            self.index,
            self.change_id,
            self.author,
            self.path,
            self.version,
            self.overrides,
        )


class StoredAnswer(Message):
    """One recorded answer; ``code`` is None for an accepted change."""

    change_id: str
    digest: str
    path: str = ""
    version: int
    index: int = 0
    code: RejectionCode | None = None
    message: str = ""

    @classmethod
    def of(cls, recorded: RecordedAnswer) -> Self:
        """Build the stored form of a recorded answer."""
        answer = recorded.answer
        if answer.is_ok():
            return cls(
                change_id=recorded.change_id,
                digest=recorded.digest,
                path=answer.ok.path,
                version=answer.ok.version,
                index=answer.ok.index,
            )
        return cls(
            change_id=recorded.change_id,
            digest=recorded.digest,
            version=answer.error.current_version,
            code=answer.error.code,
            message=answer.error.message,
        )

    def value(self) -> RecordedAnswer:
        """Return the recorded answer."""
        answer: ChangeAnswer
        if self.code is None:
            answer = Ok(ChangeAccepted(self.path, self.version, self.index))
        else:
            answer = Error(ChangeRejected(self.code, self.message, self.version))
        return RecordedAnswer(self.change_id, self.digest, answer)


class TreeSnapshot(Message):
    """The whole state of a settings tree."""

    format: Literal[1] = SNAPSHOT_FORMAT
    version: int
    nodes: list[SettingsNode]
    deleted_versions: dict[str, int]
    history: list[StoredHistoryEntry]
    answers: list[StoredAnswer]

    @classmethod
    def parse(cls, content: dict[str, Any]) -> Self:
        """Validate a snapshot; raise ``SnapshotError`` for an invalid one."""
        try:
            return cls.model_validate(content)
        except ValidationError as error:
            first = error.errors(include_url=False, include_input=False)[0]
            where = ".".join(str(part) for part in first["loc"])
            raise SnapshotError(
                f"settings snapshot: {where}: {first['msg']}"
            ) from error
