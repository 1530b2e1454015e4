"""Errors of the control library."""

from dogwoodspool_common import DogwoodspoolError


class ControlError(DogwoodspoolError):
    """Base class of the errors of the control library."""


class LeadershipLostError(ControlError):
    """Report that this voter is not, or is no longer, the leader.

    Attributes:
        leader: address of the leader; empty when unknown.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__("this voter is not the leader")
        self.leader = leader


class StaleIncarnationError(ControlError):
    """Report a renewal of a process that a newer one has replaced."""


class CommandRejectedError(ControlError):
    """Report a command or request that was rejected as invalid or as too late.

    Attributes:
        code: machine-readable reason.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class OutcomeUnknownError(ControlError):
    """Report a command that may or may not take effect."""


class ReleaseFailedError(ControlError):
    """Report a proxy that did not confirm the release of a grant."""


class TooManyRenewalsError(ControlError):
    """Report a proxy that renews too often."""


class TooManyWaitersError(ControlError):
    """Report that no slot for a waiting request is free."""
