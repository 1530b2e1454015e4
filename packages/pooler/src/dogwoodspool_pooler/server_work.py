"""Classify a server's replies by what they show of its load."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from dogwoodspool_limits import AdmissionOutcome

from .models import ErrorCode, Reply, Statement, StatementKind

# Statements that take a server's time; it answers all others at once.
WORKING_KINDS: Final = frozenset(
    {
        StatementKind.READ,
        StatementKind.WRITE,
        StatementKind.EXECUTE,
        StatementKind.COMMIT,
    }
)


@dataclass(slots=True)
class ServerWork:
    """Whether a server worked on what it was sent."""

    was_done: bool = False

    def record(self, statements: Sequence[Statement], replies: Sequence[Reply]) -> None:
        """Record replies; those to statements without work do not show its speed."""
        self.was_done = any(
            outcome_of(statement, reply) is AdmissionOutcome.ANSWERED
            for statement, reply in zip(statements, replies, strict=True)
        )


def outcome_of(statement: Statement, reply: Reply) -> AdmissionOutcome:
    """Return the admission outcome that a reply stands for.

    Example:
        >>> reply = Reply((), "", None, TransactionState.OPEN, None)
        >>> outcome_of(Statement(StatementKind.BEGIN), reply).name
        'NO_WORK'
    """
    if reply.error is not None and reply.error.code is ErrorCode.BUSY:
        return AdmissionOutcome.OVERLOADED
    is_refused = reply.error is not None and reply.error.code.is_not_run
    if is_refused or statement.kind not in WORKING_KINDS:
        return AdmissionOutcome.NO_WORK
    return AdmissionOutcome.ANSWERED
