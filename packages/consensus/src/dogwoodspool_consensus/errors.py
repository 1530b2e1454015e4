"""Errors of the consensus library."""

from dogwoodspool_common import Address, DogwoodspoolError


class ConsensusError(DogwoodspoolError):
    """Base class of the errors of the replicated log."""


class NotLeaderError(ConsensusError):
    """Report that this node is not the leader or cannot accept the request.

    A proposal that fails with this error is not committed and never will be.

    Attributes:
        leader: address of the leader that this node knows; None if it knows none.
    """

    def __init__(self, leader: Address | None) -> None:
        super().__init__(f"request not accepted; known leader: {leader}")
        self.leader = leader


class OutcomeUnknownError(ConsensusError):
    """Report a proposal that was appended and may or may not be committed."""


class NotConfirmedError(ConsensusError):
    """Report a read that no quorum confirmed before its deadline."""


class ProposalRefusedError(ConsensusError):
    """Report a command that can never be appended, such as one too large."""


class MembershipChangeError(ConsensusError):
    """Report a membership change that is refused, now or permanently."""


class PeerCallError(ConsensusError):
    """Report a call to a peer that failed or was refused.

    Attributes:
        code: error code of the peer's refusal; None if no answer arrived.
    """

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.code = code


class IdentityRefusedError(ConsensusError):
    """Report a message whose sender or receiver is not the pinned member.

    Attributes:
        code: ``CODE_SOURCE_REFUSED`` or ``CODE_TARGET_MISMATCH``.
    """

    def __init__(self, message: str, code: str) -> None:
        super().__init__(message)
        self.code = code


class StorageError(ConsensusError):
    """Base class of the errors of durable files."""


class StorageCorruptError(StorageError):
    """Report files with corrupt or inconsistent content.

    A node must not start on such files.
    """


class StorageFailedError(StorageError):
    """Report a failed write or sync, after which the disk is treated as lost."""
