"""Typed access to the replicated log and to the leadership of this voter."""

from typing import Any, Protocol

from dogwoodspool_common import Address, log_rate_limited
from dogwoodspool_consensus import (
    ConsensusError,
    Leadership,
    NotLeaderError,
    ProposalRefusedError,
)

from .commands import Command, decode_outcome, encode_command
from .const import CODE_INVALID, CONFIRM_TIMEOUT, PROPOSE_TIMEOUT
from .errors import CommandRejectedError, LeadershipLostError, OutcomeUnknownError
from .models import Outcome


class LogNode(Protocol):
    """The part of ``dogwoodspool_consensus.ConsensusNode`` that control uses."""

    @property
    def leader_address(self) -> Address | None:
        """Address of the leader, if known."""
        ...

    @property
    def is_following(self) -> bool:
        """Whether this process leads or is up to date with the leader."""
        ...

    def propose(self, command: dict[str, Any], timeout: float) -> dict[str, Any]:
        """Commit and apply a command; return the result of the state machine."""
        ...

    def leadership(self) -> Leadership | None:
        """Return the leadership if this voter is certain to be the leader now."""
        ...

    def holders(self, index: int) -> tuple[str, ...]:
        """Return the voters that hold an entry durably; meaningful on the leader."""
        ...

    def confirm_read(self, timeout: float) -> int:
        """Wait until every entry committed before the call is applied here."""
        ...


class ControlNode:
    """Propose typed commands and report whether this voter may act as leader."""

    def __init__(self, node: LogNode) -> None:
        self._node = node
        self._caught_up_term: int | None = None

    @property
    def leader(self) -> str:
        """Address of the leader; empty when unknown."""
        address = self._node.leader_address
        return "" if address is None else str(address)

    @property
    def is_following(self) -> bool:
        """Whether this process leads or is up to date with the leader."""
        return self._node.is_following

    def leadership(self) -> Leadership | None:
        """Return the leadership if it is valid and earlier entries are applied here."""
        current = self._node.leadership()
        if current is None or current.term != self._caught_up_term:
            return None
        return current

    def require_leadership(self) -> Leadership:
        """Return the leadership, or raise ``LeadershipLostError``."""
        current = self.leadership()
        if current is None:
            raise LeadershipLostError(self.leader)
        return current

    def catch_up(self) -> Leadership | None:
        """Wait until the entries of earlier leaders are applied; return the leadership.

        A new leader holds every committed entry but may not have applied all of
        them. Grants issued from such an older state could be for a term that has
        ended.
        """
        current = self._node.leadership()
        if current is None or current.term == self._caught_up_term:
            return current
        try:
            self._node.confirm_read(CONFIRM_TIMEOUT)
        except ConsensusError as error:
            log_rate_limited("not_caught_up", term=current.term, reason=error)
            return None
        self._caught_up_term = current.term
        return self.leadership()

    def confirm_read(self, timeout: float = CONFIRM_TIMEOUT) -> None:
        """Ensure that later reads see every entry committed before this call.

        Args:
            timeout: seconds within which a quorum must confirm the read.

        Raises:
            ConsensusError: no quorum confirmed the read.
        """
        self._node.confirm_read(timeout)

    def holders(self, index: int) -> tuple[str, ...]:
        """Return the voters that hold an entry durably; meaningful on the leader."""
        return self._node.holders(index)

    def propose(self, command: Command, timeout: float = PROPOSE_TIMEOUT) -> Outcome:
        """Commit a command and return its outcome, which may be a rejection.

        Raises:
            LeadershipLostError: another voter leads; the command has no effect.
            CommandRejectedError: the command is too large for the log.
            OutcomeUnknownError: the command may or may not take effect.
        """
        try:
            answer = self._node.propose(encode_command(command), timeout)
        except NotLeaderError as error:
            leader = "" if error.leader is None else str(error.leader)
            raise LeadershipLostError(leader) from error
        except ProposalRefusedError as error:
            raise CommandRejectedError(CODE_INVALID, str(error)) from error
        except ConsensusError as error:
            raise OutcomeUnknownError(str(error)) from error
        return decode_outcome(answer)

    def commit(self, command: Command) -> Outcome:
        """Commit a command that must be accepted.

        Raises:
            CommandRejectedError: the command was committed and rejected.
        """
        outcome = self.propose(command)
        if not outcome.is_accepted:
            raise CommandRejectedError(outcome.code, outcome.message)
        return outcome
