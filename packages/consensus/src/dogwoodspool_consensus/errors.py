"""Errors of the consensus library."""

from dogwoodspool_common import Address, DogwoodspoolError


class ConsensusError(DogwoodspoolError):
    """Base of the errors of the replicated log."""


class NotLeaderError(ConsensusError):
    """Report that a proposal surely has no effect: it is not in the log.

    Attributes:
        leader: address of the leader as far as this node knows it.
    """

    def __init__(self, leader: Address | None) -> None:
        super().__init__(f"not appended by this node; the leader is {leader}")
        self.leader = leader


class OutcomeUnknownError(ConsensusError):
    """Report that a proposal is in a log and may or may not be committed."""


class NotConfirmedError(ConsensusError):
    """Report that no quorum confirmed a read in time."""


class ProposalRefusedError(ConsensusError):
    """Report a command that can never be appended, such as one too large."""


class MembershipChangeError(ConsensusError):
    """Report a change of voters that is not allowed now or ever."""


class PeerCallError(ConsensusError):
    """Report a call to a peer without an answer that can be used.

    Attributes:
        code: the peer's reason when it refused; None when no answer came.
    """

    def __init__(self, message: str, code: str | None = None) -> None:
        super().__init__(message)
        self.code = code


class IdentityRefusedError(ConsensusError):
    """Report a message between nodes that are not who the configuration pins.

    Attributes:
        code: whether the sender or the receiver is the wrong one.
    """

    def __init__(self, message: str, code: str) -> None:
        super().__init__(message)
        self.code = code


class StorageError(ConsensusError):
    """Base of the errors of durable files."""


class StorageCorruptError(StorageError):
    """Report files whose content cannot be trusted; the node must not start."""


class StorageFailedError(StorageError):
    """Report a failed write or sync: the disk counts as lost."""
